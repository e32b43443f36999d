package scenario

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// clients makes the requests of one zone's clients. Arrivals are open-loop: a slow router
// receives requests at the same rate as a fast one.
type clients struct {
	day      *Day
	zone     string
	rate     float64
	random   *rand.Rand // for the arrivals; each session has a source of its own
	sequence *atomic.Int64
	sessions *sync.WaitGroup
}

// run starts sessions until the context ends.
func (c *clients) run(ctx context.Context) {
	var total float64
	for i := range c.day.script.Classes {
		total += c.day.script.Classes[i].Share / c.day.script.Classes[i].meanParts()
	}
	if total <= 0 {
		return
	}
	// The rate of sessions is the rate of requests divided by the mean number of requests
	// in a session.
	var perSession float64
	for i := range c.day.script.Classes {
		perSession += c.day.script.Classes[i].Share / total
	}
	next := trafficlog.Now()
	for {
		next += c.random.ExpFloat64() * 1000 * perSession / c.rate
		if d := next - trafficlog.Now(); d > 0.5 {
			select {
			case <-time.After(time.Duration(d * float64(time.Millisecond))):
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		pick := c.random.Float64() * total
		class := &c.day.script.Classes[len(c.day.script.Classes)-1]
		for i := range c.day.script.Classes {
			k := &c.day.script.Classes[i]
			if pick -= k.Share / k.meanParts(); pick < 0 {
				class = k
				break
			}
		}
		rng := rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
		c.sessions.Add(1)
		go func() {
			defer c.sessions.Done()
			c.session(ctx, class, rng)
		}()
	}
}

// meanParts returns the mean number of requests in a session.
func (k *Class) meanParts() float64 {
	if k.Parts == 0 {
		return 1
	}
	if k.ContinueChance >= 1 {
		return float64(k.Parts)
	}
	return max((1-math.Pow(k.ContinueChance, float64(k.Parts)))/(1-k.ContinueChance), 1)
}

// chooseObject returns the name of a random object. Lower numbers are more popular.
func (c *clients) chooseObject(class *Class, rng *rand.Rand) string {
	now := trafficlog.Now()
	if hot := c.day.hotKey.Load(); hot != nil && now < hot.until && rng.Float64() < hot.share {
		return hot.name
	}
	if scan := c.day.scan.Load(); scan != nil && now < scan.until && rng.Float64() < scan.share {
		return fmt.Sprintf("once%d", c.sequence.Add(1))
	}
	z := rand.NewZipf(rng, class.Zipf, 1, uint64(class.Objects-1))
	if class.Objects == 1 || z == nil {
		return "o0"
	}
	return fmt.Sprintf("o%d", z.Uint64())
}

// groupOf returns the group of an object, a hash of its name.
func groupOf(name string, groups int) int {
	h := uint32(2166136261)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % uint32(groups))
}

// session makes one request or, for an object in parts, requests for its parts in order
// until the client stops.
func (c *clients) session(ctx context.Context, class *Class, rng *rand.Rand) {
	name := c.chooseObject(class, rng)
	base := fmt.Sprintf("/%s/%d/%s", class.Name, groupOf(class.Name+name, c.day.script.Day.Groups), name)
	if class.PageFragments > 0 {
		base = c.day.script.pagePath(class, name)
	}
	if class.Write {
		base = fmt.Sprintf("/%s/0/w%d", class.Name, c.sequence.Add(1))
	}
	if class.Parts == 0 {
		c.request(ctx, class, base, rng)
		return
	}
	for part := 0; part < class.Parts; part++ {
		if !c.request(ctx, class, fmt.Sprintf("%s/%d", base, part), rng) || rng.Float64() >= class.ContinueChance {
			return
		}
		select {
		case <-time.After(time.Duration(class.PartInterval * (0.5 + rng.Float64()) * float64(time.Millisecond))):
		case <-ctx.Done():
			return
		}
	}
}

// request makes one request, with retries. It reports whether the request was served.
func (c *clients) request(ctx context.Context, class *Class, path string, rng *rand.Rand) bool {
	key := ""
	tries := newWriteTries(class, c.day.script.Limits.AnswerSlack+4*c.day.script.Day.ObservationSkew)
	if class.Write {
		key = fmt.Sprintf("k%d", c.sequence.Add(1))
	}
	for try := 0; ; try++ {
		endpoint := c.day.routerFor(c.zone, rng)
		sentAt := trafficlog.Now()
		result := c.try(endpoint, class, path, key, try, tries.limit(), rng)
		if result.complete && result.status < 400 {
			return true
		}
		if try >= c.day.script.Day.Retries || ctx.Err() != nil {
			return false
		}
		if class.Write {
			tries.add(sentAt, result)
		}
		wait := c.day.script.Day.RetryWait * (0.5 + rng.Float64())
		wait = max(wait, result.retryAfter)
		if !tries.repeatable(trafficlog.Now() + wait) {
			return false
		}
		select {
		case <-time.After(time.Duration(wait * float64(time.Millisecond))):
		case <-ctx.Done():
			return false
		}
		if !tries.repeatable(trafficlog.Now()) { // the timer was late
			return false
		}
	}
}

// outcomeUnreached is the outcome of a try that no router accepted, in response.err and in the
// traffic log.
const outcomeUnreached = "unreached"

// response is the outcome of a try.
type response struct {
	status     int     // HTTP status; 0: no response
	complete   bool    // the whole response was read
	err        string  // why the response is not complete, as in the traffic log; empty: it is
	retryAfter float64 // ms, from the header Retry-After; 0: none
}

// conn is a connection to a router.
type conn struct {
	net.Conn
	br       *bufio.Reader
	lastUsed float64 // see trafficlog.Now
}

// closedByPeer reports whether the router has closed the idle connection. A router may do
// so at any time, and does not read a request that is sent on it afterwards.
func (c *conn) closedByPeer() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return ended || err != nil
}

// routerEndpoint holds a router's addresses and the clients' idle connections to it.
type routerEndpoint struct {
	name, zone string
	mu         sync.Mutex
	addr       string
	admin      string // address of the admin listener
	generation int    // incremented when the address changes
	idle       []*conn
}

// isUp reports whether the router is running.
func (r *routerEndpoint) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr != ""
}

// address returns the present address; it is empty while the router is down.
func (r *routerEndpoint) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// setAddress sets the router's addresses; empty ones mean that it is down.
func (r *routerEndpoint) setAddress(addr, admin string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr != "" && addr == r.addr { // a hot restart: the successor inherits the listener, and the connections stay usable
		r.admin = admin
		return
	}
	r.addr, r.admin = addr, admin
	r.generation++
	for _, c := range r.idle {
		c.Close()
	}
	r.idle = nil
}

// get returns an idle connection that is still open, or a new one.
func (r *routerEndpoint) get() (*conn, error) {
	r.mu.Lock()
	if r.addr == "" {
		r.mu.Unlock()
		return nil, errors.New("day: the router is down")
	}
	for len(r.idle) > 0 {
		c := r.idle[len(r.idle)-1]
		r.idle = r.idle[:len(r.idle)-1]
		if trafficlog.Now()-c.lastUsed < 5000 && !c.closedByPeer() { // well below the router's idle timeout
			r.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	addr := r.addr
	r.mu.Unlock()
	n, err := net.DialTimeout("tcp", addr, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, br: bufio.NewReaderSize(n, 8<<10)}, nil
}

// put makes a connection idle, or closes it if the router has another address by now.
func (r *routerEndpoint) put(c *conn) {
	c.lastUsed = trafficlog.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) < 64 && c.RemoteAddr().String() == r.addr {
		r.idle = append(r.idle, c)
		return
	}
	c.Close()
}

// try makes one try of a request with a deadline of at most until, and records what the
// client observes.
func (c *clients) try(endpoint *routerEndpoint, class *Class, path, key string, try int, until float64, rng *rand.Rand) (result response) {
	id := "c" + strconv.FormatInt(c.sequence.Add(1), 10)
	writer := c.day.trafficLog
	timeout := class.Deadline * (c.day.script.Day.MinTimeoutShare + (1-c.day.script.Day.MinTimeoutShare)*rng.Float64())
	start := trafficlog.Now()
	timeout = min(timeout, until-start)
	rec := trafficlog.Record{ID: id, Subject: endpoint.name, Class: class.Name, Key: key, Write: class.Write, Retry: try, Limit: start + timeout}
	end := func(err string, bytes int64) {
		e := rec
		e.Event, e.Err, e.Bytes = trafficlog.ResponseEnd, err, bytes
		writer.Add(e)
		result.err = err
	}
	sent := rec
	sent.Event, sent.Time, sent.Object = trafficlog.RequestSent, start, path
	connection, err := endpoint.get()
	if err != nil {
		writer.Add(sent)
		end(outcomeUnreached, 0)
		return result
	}
	reuse := false
	defer func() {
		if reuse {
			endpoint.put(connection)
		} else {
			connection.Close()
		}
	}()
	abandon := rng.Float64() < c.day.script.Day.AbandonShare
	limit := timeout + c.day.script.Limits.AnswerSlack + 4*c.day.script.Day.ObservationSkew
	if abandon {
		limit = timeout * rng.Float64() * 0.5
	}
	connection.SetDeadline(time.Now().Add(time.Duration(limit * float64(time.Millisecond))))
	var b strings.Builder
	method, body := "GET", ""
	if class.Write {
		method, body = "POST", strings.Repeat("x", 200)
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: day\r\nX-Request-Id: %s\r\nSpool-Deadline: %.3f\r\n", method, path, id,
		max(rec.Limit-trafficlog.Now(), 1)) // the time that remains after connecting
	if !class.Write {
		fmt.Fprintf(&b, "Spool-KB: %.3f\r\n", float64(testserver.SizeOf(path, class.KB))/1024)
	}
	if try > 0 {
		b.WriteString("Spool-Retry: 1\r\n")
	}
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	writer.Add(sent)
	if _, err := io.WriteString(connection, b.String()); err != nil {
		end(outcomeUnreached, 0) // the connection was closed: the router has not received the whole request
		return result
	}
	fail := func(err error, n int64) {
		var netErr net.Error
		switch {
		case abandon && errors.As(err, &netErr) && netErr.Timeout():
			connection.Close()
			end("gone", n)
		case errors.As(err, &netErr) && netErr.Timeout():
			end("late", n)
		default:
			end("closed", n)
		}
	}
	res, err := http.ReadResponse(connection.br, &http.Request{Method: method})
	if err != nil {
		fail(err, 0)
		return result
	}
	head := rec
	head.Event, head.Status, head.Note = trafficlog.ResponseHead, res.StatusCode, res.Header.Get(fetchheader.StatusField)
	head.Hit = strings.HasSuffix(head.Note, ";hit") || strings.Contains(head.Note, ";hit;")
	version, versionErr := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
	if versionErr == nil {
		head.Version = version.Number
	}
	result.status = res.StatusCode
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		result.retryAfter = float64(s) * 1000
	}
	writer.Add(head)
	if !abandon { // the response has begun: from here on only a stall of 30 s ends it
		limit = 30_000
	}
	buf := make([]byte, 32<<10)
	var received int64
	var page []byte
	var reads []readMark
	for {
		if !abandon {
			connection.SetReadDeadline(time.Now().Add(time.Duration(limit * float64(time.Millisecond))))
		}
		m, err := res.Body.Read(buf)
		if m > 0 && head.Status == 200 && !class.Write && (versionErr == nil || class.PageFragments > 0) {
			if class.PageFragments > 0 {
				page = append(page, buf[:m]...)
				reads = append(reads, readMark{len(page), trafficlog.Now()})
			} else if at, ok := testserver.Matches(buf[:m], path, version.Number, received); !ok {
				end(fmt.Sprintf("byte %d is not of version %d", at, version.Number), received)
				return result
			}
		}
		received += int64(m)
		if err == io.EOF {
			break
		}
		if err != nil {
			fail(err, received)
			return result
		}
	}
	result.complete = true
	if class.PageFragments > 0 && head.Status == 200 {
		fragments, err := testserver.Pieces(path, page)
		for i, fragment := range fragments {
			p := rec
			p.Event, p.Object, p.Group, p.Version, p.Attempt = trafficlog.FragmentRead, fragment.Key, groupFromPath(fragment.Key), fragment.Version, i
			for _, r := range reads {
				if r.bytes >= fragment.End && fragment.End > 0 {
					p.Time = r.at
					break
				}
			}
			if fragment.Missing {
				p.Err = "missing"
			}
			writer.Add(p)
		}
		if err != nil {
			p := rec
			p.Event, p.Attempt, p.Err = trafficlog.FragmentRead, len(fragments), err.Error()
			writer.Add(p)
		}
	}
	end("", received)
	if connection.br.Buffered() > 0 { // bytes after the response belong to no request
		extra := rec
		extra.Event, extra.Note = trafficlog.ResponseHead, "bytes after the answer"
		writer.Add(extra)
		return result
	}
	reuse = !res.Close
	return result
}

// readMark is the time at which a number of bytes of a response had been read.
type readMark struct {
	bytes int
	at    float64
}

// pagePath returns the path of a page.
func (s *Script) pagePath(k *Class, name string) string {
	objects := 1
	for i := range s.Classes {
		if s.Classes[i].Name == k.FragmentClass {
			objects = s.Classes[i].Objects
		}
	}
	return fmt.Sprintf("/%s/%d/%s", k.Name, groupOf(k.Name+name, s.Day.Groups), testserver.PageName(name, k.PageFragments, objects, k.FragmentClass))
}

// groupFromPath returns the group that a path names.
func groupFromPath(path string) int {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return 0
	}
	n, _ := strconv.Atoi(parts[2])
	return n
}

// isFragment reports whether pages include the objects of a class.
func (s *Script) isFragment(k *Class) bool {
	for i := range s.Classes {
		if s.Classes[i].PageFragments > 0 && s.Classes[i].FragmentClass == k.Name {
			return true
		}
	}
	return false
}
