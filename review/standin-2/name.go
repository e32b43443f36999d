package main

import (
	"fmt"
	"time"
)

func init() { cases["name"] = playName }

// playName: an object whose name has an escaped byte is purged at the admin address.
func playName(d *drill) {
	origin := &photos{d: d, bytes: 8000, delay: 40 * time.Millisecond}
	originAddress := d.serveOrigin(origin.handle)
	_, box := d.cache("box-1", "", "")
	listen, admin := d.router(fmt.Sprintf(common, "") + fmt.Sprintf(`(limits (attempts 6))
(fill (direct) (flow 4))
(member box-1 (zone north) (address %q))
(member origin (zone hub) (kind origin) (address %q))
`, box, originAddress))
	paths := []string{"/s/7/caf%C3%A9.jpg", "/s/7/night%20shift.jpg", "/s/7/plain.jpg"}
	for _, path := range paths {
		if a := d.ask(listen, "GET", path, nil); a.err != nil || a.status != 200 {
			d.giveUp("%s is not served: %v", path, a)
		}
	}
	time.Sleep(time.Second)
	if d.trouble {
		for _, path := range paths {
			origin.renew(path)
			d.note("%s is purged", path)
			if a := d.ask(admin, "PURGE", path, nil); a.status != 204 {
				d.giveUp("the router does not take the purge: %v", a)
			}
		}
	}
	purged := time.Now()
	for _, ms := range []time.Duration{500, 2000, 4000, 5500} {
		time.Sleep(time.Until(purged.Add(ms * time.Millisecond)))
		for _, path := range paths {
			a := d.ask(listen, "GET", path, nil)
			if d.trouble && a.err == nil && a.status == 200 && origin.versionOf(path, a.body) == 1 {
				d.breach("%s, asked for %d ms after the router was told of its purge, is answered from the copy before it", path, ms)
			}
		}
	}
}
