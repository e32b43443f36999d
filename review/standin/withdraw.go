package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand"
	"net"
	"sync"
	"time"
)

// The load of the case withdraw: about 790 requests a second, from 40 connections.
const (
	withdrawLength = 60 * time.Second
	withdrawConns  = 40
	withdrawBurst  = 3                      // requests that a client sends at once
	withdrawPause  = 150 * time.Millisecond // between two bursts, on average
	withdrawBody   = 2000                   // bytes of an answer
	hitShare       = 0.7                    // of the parts are held by each cache
	meanSendTime   = 500 * time.Millisecond // of the parts of videos; images take a fifth
	fillTime       = 100 * time.Millisecond
	badClients     = 12
	badPairs       = 500 // requests that a bad client sends and withdraws at once
)

// hashShare returns a number in [0, 1) that depends on the text.
func hashShare(text string) float64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return float64(h.Sum64()%10007) / 10007
}

// sendTime is how long the bytes of an object take to a client; sizes vary widely.
func sendTime(c *call) time.Duration {
	mean, sigma := meanSendTime, 1.0
	if c.fields["class"] == "drawing-image" {
		mean /= 5
	}
	u := hashShare("size of " + c.fields["key"] + "/" + c.fields["part"])
	normal := math.Sqrt2 * math.Erfinv(2*min(max(u, 0.001), 0.999)-1)
	return time.Duration(float64(mean) * math.Exp(sigma*normal-sigma*sigma/2))
}

// soundMembers starts three caches of the branch, two upper caches and the store. They answer as
// sound ones do, after the time that the bytes take.
func soundMembers(e *env, bodyBytes int) (rows []map[string]any, err error) {
	answerWith := func(c *call, how string, wait time.Duration) {
		if !c.over(wait) {
			c.hit(how, time.Now(), objectBody(c.fields["key"], c.fields["part"], bodyBytes))
		}
	}
	box := func(c *call) {
		switch {
		case hashShare(c.fields["key"]+"/"+c.fields["part"]) < hitShare:
			answerWith(c, "cached", sendTime(c))
		case c.fields["miss"] == "":
			if !c.over(2 * time.Millisecond) {
				c.answer("NONE", "-", nil)
			}
		default:
			answerWith(c, "fetched", fillTime+sendTime(c))
		}
	}
	source := func(c *call) { answerWith(c, "fetched", fillTime+sendTime(c)) }
	return startMembers(e, []func(*call){box, box, box}, source)
}

// startMembers starts the caches of the branch, two upper caches and the store, and returns their
// rows for the known list.
func startMembers(e *env, boxes []func(*call), source func(*call)) (rows []map[string]any, err error) {
	add := func(id, zone, kind string, handle func(*call)) {
		var c *cache
		if err == nil {
			if c, err = newCache(e.rec, id, zone, kind, handle); err == nil {
				rows = append(rows, memberRow(c, 0))
			}
		}
	}
	for i, box := range boxes {
		add(fmt.Sprintf("s-000000c%d", i+1), branch, kinds[0], box)
	}
	add("s-000000b1", hub, kinds[1], source)
	add("s-000000b2", hub, kinds[1], source)
	add("s-000000a1", hub, kinds[2], source)
	return rows, err
}

// withdraw: the usual clients send requests and give some up, as on any day. The disruption is
// some bad clients, which send hundreds of requests and withdraw each at once, at full speed.
func withdraw(e *env) error {
	rows, err := soundMembers(e, withdrawBody)
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
	stop := time.Now().Add(withdrawLength)
	if e.trouble {
		for n := range badClients {
			go e.badClient(r.address, n, stop)
		}
	}
	clients := make([]*usualClient, withdrawConns)
	var group sync.WaitGroup
	for n := range clients {
		clients[n] = &usualClient{env: e, router: r, number: n, random: rand.New(rand.NewSource(int64(1000 + n))), newAsk: newAsk,
			burst: withdrawBurst, pause: withdrawPause}
		group.Go(func() { clients[n].run(stop) })
	}
	group.Wait()
	crashed := !r.running()
	r.kill()
	var all []*ask
	extra := 0
	for _, c := range clients {
		all = append(all, c.asks...)
		for _, conn := range c.conns {
			extra += conn.extra
		}
	}
	return e.judgeAnswers(all, extra, crashed)
}

// usualClient keeps one connection to the router. Every now and then it writes, all at once, the
// withdrawals of the requests that it has waited for at least half of their time, and some new
// requests.
type usualClient struct {
	*env
	router  *router
	number  int
	random  *rand.Rand
	newAsk  func(*rand.Rand) *ask
	burst   int
	pause   time.Duration // between two bursts, on average
	patient bool          // it withdraws nothing
	conns   []*clientConn
	asks    []*ask
}

func (u *usualClient) run(stop time.Time) {
	var c *clientConn
	for time.Now().Before(stop) && u.router.running() {
		if c == nil || c.isClosed() {
			var err error
			if c, err = dialClient(u.rec, fmt.Sprintf("client-%02d-%d", u.number, len(u.conns)), u.router.address); err != nil {
				u.rec.logf("client-%02d: %v", u.number, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			u.conns = append(u.conns, c)
			c.check = func(a *ask, answer reply) bool {
				return bytes.Equal(answer.body, objectBody(a.key, a.part, withdrawBody))
			}
			c.start()
		}
		open := c.openAsks()
		var forget, asks []*ask
		for _, a := range open {
			if !u.patient && time.Since(a.sentAt) > time.Duration(a.wait)*time.Millisecond/2 {
				forget = append(forget, a)
			}
		}
		for range min(maxOpen-(len(open)-len(forget)), u.burst) {
			asks = append(asks, u.newAsk(u.random))
		}
		if len(asks)+len(forget) > 0 {
			u.asks = append(u.asks, asks...)
			c.send(forget, asks)
		}
		time.Sleep(u.pause/2 + time.Duration(u.random.Int63n(int64(u.pause))))
	}
	if c != nil && !c.isClosed() {
		time.Sleep(6 * time.Second) // the answers that are still owed
		c.close()
	}
}

// maxOpen is how many open requests one connection carries.
const maxOpen = 32

func newAsk(random *rand.Rand) *ask {
	a := &ask{id: fmt.Sprintf("%016x", random.Uint64()), class: "walkthrough-video", wait: 5000,
		key: fmt.Sprintf("%016x", random.Intn(400)+0x1000), part: fmt.Sprint(random.Intn(10))}
	if random.Intn(2) == 0 {
		a.class, a.part, a.wait = "drawing-image", "0", 2500
	}
	return a
}

// badClient sends hundreds of requests and withdraws each at once, at full speed, and reads what
// it is sent.
func (e *env) badClient(address string, number int, stop time.Time) {
	random := rand.New(rand.NewSource(int64(100000 + number)))
	var burst []byte // the same calls each time, with new numbers
	var pairs [][2]int
	for range badPairs {
		at := len(burst)
		burst = append(burst, serveFrame(0, nil, "class", "walkthrough-video", "id", fmt.Sprintf("%016x", random.Uint64()), "wait", "5000",
			"key", fmt.Sprintf("%016x", random.Intn(400)+0x1000), "slice", fmt.Sprint(random.Intn(10)), "set", "17")...)
		pairs = append(pairs, [2]int{at, len(burst)})
		burst = append(burst, forgetFrame(0, 0)...)
	}
	for time.Now().Before(stop) {
		conn, err := net.DialTimeout("tcp", address, 2*time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		go io.Copy(io.Discard, conn)
		sent, seq := 0, uint32(0)
		for time.Now().Before(stop) {
			for _, pair := range pairs {
				seq++
				binary.BigEndian.PutUint32(burst[pair[0]+serveSeqOffset:], seq)
				binary.BigEndian.PutUint32(burst[pair[1]+forgetArgOffset:], seq)
				seq++
				binary.BigEndian.PutUint32(burst[pair[1]+forgetSeqOffset:], seq)
			}
			conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
			if _, err := conn.Write(burst); err != nil {
				break
			}
			sent += badPairs
		}
		e.rec.logf("bad-client-%d: %d requests sent and withdrawn", number, sent)
		conn.Close()
	}
}

func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
