package main

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"time"
)

const (
	purgeLength     = 50 * time.Second
	purgeConns      = 16
	purgeRate       = 160.0 // requests a second
	purgeObjects    = 12
	purgeEvery      = 700 * time.Millisecond // an object is purged
	purgeNotice     = 200 * time.Millisecond
	purgeDone       = 5 * time.Second // after a purge all caches have dropped older copies by themselves
	purgeBadClients = 130
	purgeGrace      = 500 * time.Millisecond // purge_slack in the settings
	socketSlack     = 50 * time.Millisecond
	measuring       = 50 * time.Millisecond // for the time until the stand-in has read a request
)

// purgeEvent is a purge of an object.
type purgeEvent struct{ at, told time.Time }

// purges are the purges so far, by object.
type purges struct {
	mu  sync.Mutex
	all map[string][]purgeEvent
}

// dropped reports whether a copy must have been dropped by the cache itself.
func (p *purges) dropped(key string, issued, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range p.all[key] {
		if issued.Before(event.at) && now.Sub(event.at) > purgeDone {
			return true
		}
	}
	return false
}

// late returns how long after the grace a request was sent that is answered from a copy older than
// a purge; 0 if there is no such purge.
func (p *purges) late(key string, issued, sent time.Time) (late time.Duration, event purgeEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.all[key] {
		if over := sent.Sub(e.told) - purgeGrace - socketSlack; issued.Before(e.at) && over > late {
			late, event = over, e
		}
	}
	return late, event
}

// copies is what one cache keeps: when the origin gave out each copy.
type copies struct {
	mu     sync.Mutex
	issued map[string]time.Time
}

// purge: objects are purged as on any day. The disruption is some bad clients, which send hundreds
// of requests and withdraw each at once, at full speed.
func purge(e *env) error {
	events := &purges{all: map[string][]purgeEvent{}}
	var mu sync.Mutex
	answers, broken, worst := 0, 0, time.Duration(0)
	serve := func(c *call, how string, issued time.Time) {
		if late, event := events.late(c.fields["key"], issued, c.at); late > measuring {
			mu.Lock()
			broken++
			worst = max(worst, late)
			mu.Unlock()
			e.rec.logf("%s answers %s, got %.0f ms after the router was told of a purge of %s, from a copy that was issued %.0f ms before it",
				c.cache.id, c.id, float64(c.at.Sub(event.told))/1e6, c.fields["key"], float64(event.at.Sub(issued))/1e6)
		}
		mu.Lock()
		answers++
		mu.Unlock()
		c.hit(how, issued, objectBody(c.fields["key"], c.fields["part"], withdrawBody))
	}
	box := func() func(*call) {
		kept := &copies{issued: map[string]time.Time{}}
		return func(c *call) {
			now := time.Now()
			within, _ := strconv.Atoi(c.fields["within"])
			if within == 0 {
				within = 20000 // the fresh time of the class
			}
			object := c.fields["key"] + "/" + c.fields["part"]
			kept.mu.Lock()
			issued, held := kept.issued[object]
			if held && events.dropped(c.fields["key"], issued, now) {
				delete(kept.issued, object)
				held = false
			}
			kept.mu.Unlock()
			switch {
			case held && now.Sub(issued) <= time.Duration(within)*time.Millisecond:
				if !c.over(20 * time.Millisecond) {
					serve(c, "cached", issued)
				}
			case c.fields["miss"] == "":
				c.answer("NONE", "-", nil)
			default:
				if c.over(fillTime) {
					return
				}
				issued = time.Now()
				kept.mu.Lock()
				kept.issued[object] = issued
				kept.mu.Unlock()
				serve(c, "fetched", issued)
			}
		}
	}
	source := func(c *call) {
		if !c.over(fillTime) {
			serve(c, "fetched", time.Now())
		}
	}
	rows, err := startMembers(e, []func(*call){box(), box(), box()}, source)
	if err != nil {
		return err
	}
	f, err := newFeed(e.rec, 2)
	if err != nil {
		return err
	}
	config := deployment{classes: siteClasses, memoryMB: 192, sockets: 1024, routers: 1}
	r, err := e.startRouter("n1", config.config(f.listener.Addr().String(), "8c1f30d27a5be964", known(rows...)))
	if err != nil {
		return err
	}
	stop := time.Now().Add(purgeLength)
	if e.trouble {
		for n := range purgeBadClients {
			go e.badClient(r.address, n, stop)
		}
	}
	random := rand.New(rand.NewSource(1))
	go func() {
		for time.Now().Before(stop) {
			time.Sleep(purgeEvery)
			key := random.Intn(purgeObjects) + 0x1000
			at := time.Now()
			time.Sleep(purgeNotice)
			payload := binary.BigEndian.AppendUint64(nil, uint64(key))
			payload = binary.BigEndian.AppendUint64(payload, uint64(at.UnixMilli()))
			events.mu.Lock()
			number := f.tell(3, payload)
			name := fmt.Sprintf("%016x", key)
			events.all[name] = append(events.all[name], purgeEvent{at: at.Truncate(time.Millisecond), told: time.Now()})
			events.mu.Unlock()
			e.rec.logf("event %d: purge of %s at %d", number, name, at.UnixMilli())
		}
	}()
	newAsk := func(random *rand.Rand) *ask {
		return &ask{id: fmt.Sprintf("%016x", random.Uint64()), class: "drawing-image", wait: 2500,
			key: fmt.Sprintf("%016x", random.Intn(purgeObjects)+0x1000), part: "0"}
	}
	clients := make([]*usualClient, purgeConns)
	var group sync.WaitGroup
	for n := range clients {
		clients[n] = &usualClient{env: e, router: r, number: n, random: rand.New(rand.NewSource(int64(1000 + n))), newAsk: newAsk, burst: 1,
			patient: true, pause: time.Duration(purgeConns / purgeRate * float64(time.Second))}
		group.Go(func() { clients[n].run(stop) })
	}
	group.Wait()
	crashed := !r.running()
	r.kill()
	if crashed {
		e.breach("the router has ended by itself")
	}
	mu.Lock()
	defer mu.Unlock()
	e.rec.say("%d answers of caches, %d of them from a copy older than a purge, to a request sent too late, by %v at most", answers, broken, worst)
	if broken > 0 {
		e.breach("%d requests were answered from copies older than a purge", broken)
	}
	return nil
}
