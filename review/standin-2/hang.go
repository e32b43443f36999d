package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hang"] = playHang }

// playHang: a cache takes requests and answers none for some seconds; clients send keyed writes.
func playHang(d *drill) {
	const window = 2 * time.Second
	var mu sync.Mutex
	lastRun := map[string]time.Time{}
	runs := map[string]int{}
	originAddress := d.serveOrigin(func(r *http.Request, body []byte) []byte {
		time.Sleep(30 * time.Millisecond)
		key := r.Header.Get("Idempotency-Key")
		mu.Lock()
		defer mu.Unlock()
		if last, known := lastRun[key]; known && time.Since(last) < window {
			d.note("origin drops a repeat of %s %s with key %s", r.Method, r.URL.Path, key)
			return response(r, 200, []byte("saved\n"))
		}
		lastRun[key] = time.Now()
		runs[key]++
		d.note("origin runs %s %s with key %s, %d bytes, attempt %s", r.Method, r.URL.Path, key, len(body), r.Header.Get("Spool-Fill"))
		return response(r, 200, []byte("saved\n"))
	})
	var box1 *process
	members := ""
	for i := range 9 { // three in the branch of the router, six in others
		name, zone := fmt.Sprintf("box-%d", i+1), "north"
		if i >= 3 {
			zone = "south"
		}
		box, address := d.cache(name, "", "")
		if i == 0 {
			box1 = box
		}
		members += fmt.Sprintf("(member %s (zone %s) (address %q))\n", name, zone, address)
	}
	listen, _ := d.router(fmt.Sprintf(common, "") + members + fmt.Sprintf(`(zone south (hub hub))
(limits (attempts 6))
(fill (flow 4))
(member origin (zone hub) (kind origin) (address %q))
`, originAddress))
	write := func(name string) {
		if a := d.ask(listen, "POST", "/o/"+name, []byte("mark "+name), "Idempotency-Key", "key-"+name); a.err == nil && a.status == 200 {
			mu.Lock()
			defer mu.Unlock()
			if runs["key-"+name] == 0 {
				d.breach("%s was answered 200 and never ran", name)
			}
		}
	}
	for i := range 4 {
		write(fmt.Sprintf("before-%d", i))
	}
	if d.trouble {
		d.note("box-1 stops")
		box1.signal(syscall.SIGSTOP)
	}
	stopped := time.Now()
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() { write(fmt.Sprintf("during-%d", i)) })
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Until(stopped.Add(6 * time.Second)))
	if d.trouble {
		d.note("box-1 goes on")
		box1.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for key, n := range runs {
		if n > 1 {
			d.breach("the write with key %s, sent once by its client, ran %d times", key, n)
		}
	}
}
