package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["pause"] = playPause }

// playPause: a cache stands still for less than 290 ms, as the answer of the origin comes.
func playPause(d *drill) {
	origin := &photos{d: d, bytes: 8000, delay: 40 * time.Millisecond}
	asked, gave := make(chan string, 100), make(chan string, 100)
	origin.asked, origin.gave = func(by string) { asked <- by }, func(path string) { gave <- path }
	originAddress := d.serveOrigin(origin.handle)
	boxes, addresses, members := map[string]*process{}, map[string]string{}, ""
	for i := range 3 {
		name := fmt.Sprintf("box-%d", i+1)
		boxes[name], addresses[name] = d.cache(name, "", "")
		members += fmt.Sprintf(`{"id":%q,"zone":"north","kind":"box","address":%q,"start":1},`, name, addresses[name])
	}
	list := d.serveList(members + fmt.Sprintf(`{"id":"origin","zone":"hub","kind":"origin","address":%q,"start":1}`, originAddress))
	listen, _ := d.router(fmt.Sprintf(common, fmt.Sprintf("(list %q)", list.address)) + "(limits (attempts 6))\n(fill (direct) (flow 4))\n")
	for round := range 5 {
		path := fmt.Sprintf("/s/%d/photo.jpg", round+1)
		first := make(chan *answer, 1)
		go func() { first <- d.ask(listen, "GET", path, nil) }()
		name := <-asked
		box := boxes[name]
		if box == nil {
			d.giveUp("%q has asked the origin", name)
		}
		if d.trouble {
			d.note("%s stands still", name)
			box.signal(syscall.SIGSTOP)
		}
		still := time.Now()
		<-gave
		time.Sleep(40 * time.Millisecond)
		origin.renew(path)
		purged := time.Now()
		d.note("%s is purged", path)
		time.Sleep(120 * time.Millisecond)
		if d.trouble {
			time.Sleep(time.Until(still.Add(250 * time.Millisecond)))
			box.signal(syscall.SIGCONT)
			d.note("%s goes on after %d ms", name, time.Since(still).Milliseconds())
		}
		<-first
		age := float64(time.Since(purged).Microseconds()) / 1000
		d.note("the list tells the purge of %s, made %.1f ms ago", path, age)
		list.tell(fmt.Sprintf(`{"rev":1,"purge":{"object":%q,"age_ms":%.1f}}`, path, age))
		told := time.Now()
		for _, after := range []time.Duration{400, 1000, 2000, 3000} {
			time.Sleep(time.Until(told.Add(after * time.Millisecond)))
			sent := time.Since(told).Milliseconds()
			a := d.ask(listen, "GET", path, nil)
			if a.err == nil && a.status == 200 && origin.versionOf(path, a.body) == 1 {
				d.breach("%s, asked for %d ms after the router was told of its purge, is answered from the copy before it", path, sent)
			}
			for len(asked) > 0 {
				<-asked
			}
			for len(gave) > 0 {
				<-gave
			}
		}
		for name, address := range addresses {
			request(address, "POST", "/-/purge", []byte(fmt.Sprintf(`{"object":%q}`, path)))
			d.note("%s is told the purge of %s %d ms after it", name, path, time.Since(purged).Milliseconds())
		}
	}
}
