package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["burst"] = playBurst }

// playBurst: clients ask for the heads of new objects, and for objects that are kept, at once.
func playBurst(d *drill) {
	origin := &photos{d: d, bytes: 20000, delay: 60 * time.Millisecond}
	originAddress := d.serveOrigin(origin.handle)
	_, box := d.cache("box-1", "", "(run-on)")
	listen, _ := d.router(fmt.Sprintf(common, "") + fmt.Sprintf(`(limits (attempts 6) (upstream 2) (pipeline 8))
(fill (flow 4))
(member box-1 (zone north) (address %q))
(member origin (zone hub) (kind origin) (address %q))
`, box, originAddress))
	const rounds, kept, fresh = 12, 8, 2
	for i := range kept {
		path := fmt.Sprintf("/s/1/kept-%d.jpg", i)
		for range 2 {
			if a := d.ask(listen, "GET", path, nil); a.err != nil || a.status != 200 {
				d.giveUp("%s is not served: %v", path, a)
			}
		}
	}
	for round := range rounds {
		var calls [][2]string
		for i := range fresh {
			calls = append(calls, [2]string{"HEAD", fmt.Sprintf("/s/2/new-%d-%d.jpg", round, i)})
		}
		for i := range kept {
			calls = append(calls, [2]string{"GET", fmt.Sprintf("/s/1/kept-%d.jpg", i)})
		}
		var all sync.WaitGroup
		for i, call := range calls {
			ask := func() { d.ask(listen, call[0], call[1], nil) }
			if !d.trouble {
				ask()
				continue
			}
			all.Go(ask)
			if i == fresh-1 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		all.Wait()
		time.Sleep(200 * time.Millisecond)
	}
	for round := range rounds {
		for i := range fresh {
			path := fmt.Sprintf("/s/2/new-%d-%d.jpg", round, i)
			a := d.ask(listen, "GET", path, nil)
			if a.err == nil && a.status == 200 && origin.versionOf(path, a.body) == 0 {
				d.breach("%s is answered 200 with bytes that are not its own: %.40q", path, a.body)
			}
		}
	}
}
