package main

import (
	"fmt"
	"time"
)

func init() { cases["refill"] = playRefill }

// playRefill: the parent drops what was purged some seconds after the cache.
func playRefill(d *drill) {
	origin := &photos{d: d, bytes: 8000, delay: 40 * time.Millisecond}
	originAddress := d.serveOrigin(origin.handle)
	_, parent := d.cache("parent-1", originAddress, "")
	_, box := d.cache("box-1", "", "")
	list := d.serveList(fmt.Sprintf(`{"id":"box-1","zone":"north","kind":"box","address":%q,"start":1},{"id":"parent-1","zone":"hub","kind":"parent","address":%q,"start":1},{"id":"origin","zone":"hub","kind":"origin","address":%q,"start":1}`,
		box, parent, originAddress))
	listen, _ := d.router(fmt.Sprintf(common, fmt.Sprintf("(list %q)", list.address)) + "(limits (attempts 6))\n(fill (direct) (flow 4))\n")
	const group, objects = 7, 6
	var paths []string
	for i := range objects {
		path := fmt.Sprintf("/s/%d/photo-%d.jpg", group, i)
		paths = append(paths, path)
		if a := d.ask(listen, "GET", path, nil); a.err != nil || a.status != 200 {
			d.giveUp("%s is not served: %v", path, a)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, path := range paths {
		origin.renew(path)
	}
	purged := time.Now()
	at := func(ms time.Duration) { time.Sleep(time.Until(purged.Add(ms * time.Millisecond))) }
	drop := func(name, address string) {
		a := request(address, "POST", "/-/purge", []byte(fmt.Sprintf(`{"group":%d}`, group)))
		d.note("%s is told the purge of group %d: %v", name, group, a)
		if a.status != 200 {
			d.giveUp("%s does not take the purge", name)
		}
	}
	d.note("group %d is purged", group)
	at(50)
	if !d.trouble {
		drop("parent-1", parent)
	}
	drop("box-1", box)
	at(150)
	for _, path := range paths {
		d.ask(listen, "GET", path, nil) // the router has not been told yet
	}
	at(400)
	list.tell(fmt.Sprintf(`{"rev":1,"purge":{"group":%d,"age_ms":%.1f}}`, group, float64(time.Since(purged).Microseconds())/1000))
	told := time.Now()
	d.note("the list tells the purge of group %d", group)
	if d.trouble {
		at(5000)
		drop("parent-1", parent)
	}
	for _, ms := range []time.Duration{7000, 10000, 20000} {
		at(ms)
		for _, path := range paths {
			sent := time.Since(told).Milliseconds()
			a := d.ask(listen, "GET", path, nil)
			if a.err == nil && a.status == 200 && origin.versionOf(path, a.body) == 1 {
				d.breach("%s, asked for %d ms after the router was told of its purge, is answered from a copy before it", path, sent)
			}
		}
	}
}
