package main

import "runtime"

// cases has the play of each case by its name.
var cases = map[string]func(*drill){}

func init() { runtime.LockOSThread() } // children are bound to the thread that starts them

// common are the settings of a small deployment: a router at a branch, its caches, the rules.
const common = `(router (name north-1) (zone north) (me 0) (of 1) (listen "LISTEN") (admin "ADMIN") (log none) %s)
(zone north (hub hub) (routers 1))
(zone hub (hub hub))
(rules (drain-grace 500) (purge-takes 6000) (purge-slack 300))
(class still (aim 400) (aim-stretch 2) (deadline 3000))
(class order (write) (effect guarded) (group all) (window 2000) (deadline 3000))
(route "/s/{group}/{object}" (class still))
(route "/o/{object}" (class order))
`
