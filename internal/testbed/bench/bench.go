// Package bench measures the router as a proxy and compares it, in the same run, with the
// alternatives that a user has and with the machine's limit: Go's httputil.ReverseProxy, a proxy
// built on fasthttp, and a relay on epoll that copies bytes without parsing HTTP. Each proxy is a
// process of its own in front of the same server, which has all objects in memory. The results
// are the requests per CPU second of the proxy's process and the latency that clients see.
//
// Package bench measures on loopback only. The kernel's work for loopback traffic counts as CPU
// time of the proxy, for all proxies alike. CI does not compare proxies.
package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/httpfront"
	"indigospool/internal/testbed/testserver"
)

// Proxies lists the proxies that spool-bench run can measure.
var Proxies = []string{"spool", "reverseproxy", "fasthttp", "relay"}

// RunChild runs the proxy or server with the given name until standard input is closed. It
// prints its address as its first line.
func RunChild(name, backend string) error {
	// The process that started this one has set its CPU affinity, if any.
	switch name {
	case "server":
		return serveObjects()
	case "spool":
		return serveSpool(backend, "", `(class c (deadline 6000))`, "")
	case "spool-journal": // with a decision journal
		dir, err := os.MkdirTemp("", "spool-bench-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		return serveSpool(backend, fmt.Sprintf("(journal %q)", dir), `(class c (deadline 6000))`, "")
	case "spool-overload": // with a deadline of 500 ms, the default of the flag --patience of spool-bench overload
		return serveSpool(backend, "", `(class c (aim 250) (deadline 500))`, "(socket-kb 1024)")
	case "spool-pages": // the router, assembling pages of ESI fragments
		return serveSpool(backend, "", `(class c (deadline 6000)) (class page (pages) (deadline 10000)) (route "/p/{group}/{object}" (class page))`, "")
	case "sequential": // a page assembler that fetches one fragment at a time
		return serveAssembler(backend, 1)
	case "parallel": // a page assembler with up to 8 fetches at a time
		return serveAssembler(backend, 8)
	case "control": // the control service; backend is its store
		return serveControl(backend)
	case "follower": // a router that takes its settings from a control service
		return serveFollower(backend)
	case "reverseproxy":
		return serveReverseProxy(backend)
	case "fasthttp":
		return serveFasthttp(backend)
	case "relay":
		return serveRelay(backend)
	}
	if ms, ok := strings.CutPrefix(name, "pages-"); ok { // a server of pages and fragments, with a delay in ms for each fragment
		n, err := strconv.Atoi(ms)
		if err != nil {
			return fmt.Errorf("bench: invalid delay %q, want a number of ms", ms)
		}
		return servePages(time.Duration(n) * time.Millisecond)
	}
	if mb, ok := strings.CutPrefix(name, "spool-flood-"); ok { // the router with limits in MB for its memory and for its sockets' buffers
		return serveSpool(backend, "", `(class c (deadline 6000))`, fmt.Sprintf("(memory-mb %s) (sockets-mb %s) (head-grace 5000) (client-grace 10000)", mb, mb))
	}
	return fmt.Errorf("bench: unknown child process %q; the proxies of spool-bench run are %v", name, Proxies)
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReaderSize(c, 16<<10) }

// waitUntilOrphaned returns when the parent process closes standard input or exits.
func waitUntilOrphaned() { io.Copy(io.Discard, os.Stdin) }

// serveObjects answers /s/0/N with an object of N KB, as a cache does for a hit.
func serveObjects() error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var bodies sync.Map
	fmt.Println(ln.Addr())
	go fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		kb, err := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
		if err != nil || kb < 1 || kb > 4096 {
			ctx.SetStatusCode(404)
			return
		}
		b, ok := bodies.Load(kb)
		if !ok {
			body := make([]byte, kb<<10)
			testserver.Content(body, path, 1, 0)
			b, _ = bodies.LoadOrStore(kb, body)
		}
		ctx.Response.Header.Set("Cache-Status", `"b"; hit`)
		ctx.SetContentType("application/octet-stream")
		ctx.Response.SetBodyRaw(b.([]byte))
	})
	waitUntilOrphaned()
	return nil
}

// serveSpool runs the router with the given settings added to its own. Times in them are in ms:
// aim is the latency objective of a class, and head-grace and client-grace are how far a client
// may fall behind its minimum rate. flow is the transfer rate to one client, in KB per ms.
func serveSpool(backend, routerSettings, class, limits string) error {
	text := fmt.Sprintf(`(router (zone z) (listen "127.0.0.1:0") (log none) %s)
		(limits (upstream 4096) (connections-per-address 20000) %s) (fill (flow 1000)) %s (route "/s/{group}/{object}" (class c))
		(member b (zone z) (address %q))`, routerSettings, limits, class, backend)
	var s config.Settings
	if err := config.Read("bench", text, &s); err != nil {
		return err
	}
	cli.TuneGC(s.Limits.MemoryMB) // the same garbage collector settings as spool-router serve
	log, err := httpfront.NewAccessLog(&s)
	if err != nil {
		return err
	}
	e, err := httpfront.New(&s, log)
	if err != nil {
		return err
	}
	go func() { waitUntilOrphaned(); e.Stop() }()
	fmt.Println(e.Addr())
	return e.Run()
}

func serveReverseProxy(backend string) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	p.ErrorLog = log.New(io.Discard, "", 0)
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 4096, DisableCompression: true}
	fmt.Println(ln.Addr())
	go http.Serve(ln, p)
	waitUntilOrphaned()
	return nil
}

func serveFasthttp(backend string) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c := &fasthttp.HostClient{Addr: backend, MaxConns: 8192}
	fmt.Println(ln.Addr())
	go fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
		ctx.Request.Header.Del("Connection")
		if err := c.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), 502)
			return
		}
		ctx.Response.Header.Del("Connection")
	})
	waitUntilOrphaned()
	return nil
}

// serveRelay runs a relay that copies bytes between each client and a server connection of its
// own. It uses the router's event loop, without parsing, connection pools or routing.
func serveRelay(backend string) error {
	loop, err := eventloop.New(0)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	to, err := net.ResolveTCPAddr("tcp4", backend)
	if err != nil {
		return err
	}
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	fd := int(f.Fd())
	unix.SetNonblock(fd, true)
	r := &relay{loop: loop, buf: make([]byte, 256<<10)}
	copy(r.to.Addr[:], to.IP.To4())
	r.to.Port = to.Port
	listener := eventloop.Listener{PerTurn: 64, Take: r.pair}
	if err := listener.Start(loop, fd); err != nil {
		return err
	}
	go func() { waitUntilOrphaned(); loop.Stop() }()
	fmt.Println(ln.Addr())
	return loop.Run()
}

type relay struct {
	loop *eventloop.Loop
	to   unix.SockaddrInet4
	buf  []byte
}

// relayEnd is one of the two connections of a pair; data read from it is written to its peer.
type relayEnd struct {
	relay   *relay
	fd      int
	peer    *relayEnd
	pending []byte // read from the peer, not yet written to this connection
}

func (r *relay) pair(c int) {
	u, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		unix.Close(c)
		return
	}
	if err := unix.Connect(u, &r.to); err != nil { // on loopback a blocking connect returns at once
		unix.Close(c)
		unix.Close(u)
		return
	}
	unix.SetNonblock(u, true)
	a, b := &relayEnd{relay: r, fd: c}, &relayEnd{relay: r, fd: u}
	a.peer, b.peer = b, a
	for _, s := range []*relayEnd{a, b} {
		unix.SetsockoptInt(s.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		r.loop.Add(s.fd, eventloop.Read, s)
	}
}

func (s *relayEnd) close() {
	for _, x := range []*relayEnd{s, s.peer} {
		if x.fd >= 0 {
			s.relay.loop.Remove(x.fd)
			unix.Close(x.fd)
			x.fd = -1
		}
	}
}

func (s *relayEnd) OnReady(ready eventloop.Ready) {
	if ready.Writable() && len(s.pending) > 0 {
		n, err := s.relay.loop.Write(s.fd, s.pending)
		if err != nil && !eventloop.Retryable(err) {
			s.close()
			return
		}
		if s.pending = s.pending[n:]; len(s.pending) == 0 {
			s.relay.loop.Want(s.fd, eventloop.Read)
			s.relay.loop.Want(s.peer.fd, eventloop.Read) // resume reading, which a short write stopped
		}
	}
	if !ready.Readable() || len(s.peer.pending) > 0 {
		return
	}
	read, err := s.relay.loop.Read(s.fd, s.relay.buf)
	if eventloop.Retryable(err) {
		return
	}
	if err != nil || read == 0 {
		s.close()
		return
	}
	written, err := s.relay.loop.Write(s.peer.fd, s.relay.buf[:read])
	if err != nil && !eventloop.Retryable(err) {
		s.close()
		return
	}
	if written < read {
		s.peer.pending = append([]byte(nil), s.relay.buf[written:read]...)
		s.relay.loop.Want(s.peer.fd, eventloop.Read|eventloop.Write)
		s.relay.loop.Want(s.fd, 0) // stop reading here until the peer has written its pending bytes
	}
}

// Result is the measurement of one proxy with one object size and number of connections.
type Result struct {
	Proxy     string  `json:"proxy"`
	KB        int     `json:"kb"`
	Conns     int     `json:"conns"`
	Requests  int64   `json:"requests"`
	PerSecond float64 `json:"per_second"`
	PerCPU    float64 `json:"per_cpu_second"` // requests per CPU second of the proxy's process
	P50us     int64   `json:"p50_us"`
	P99us     int64   `json:"p99_us"`
	RSSKB     int64   `json:"rss_kb"`
	Failed    int64   `json:"failed"` // connections that ended early because of an error
}

// Process is a running child process, a proxy or a server.
type Process struct {
	Addr string
	cmd  *exec.Cmd
	in   io.Closer
}

// StartChild starts a child process by the name that RunChild takes, without setting its CPUs.
func StartChild(ctx context.Context, self []string, name, backend string) (*Process, error) {
	return (*CPUSplit)(nil).StartChild(ctx, self, name, backend)
}

// StartChild starts a child process on the CPUs reserved for the proxy. A nil CPUSplit sets none.
func (cores *CPUSplit) StartChild(ctx context.Context, self []string, name, backend string) (*Process, error) {
	cmd := exec.CommandContext(ctx, self[0], append(append([]string{}, self[1:]...), name, backend)...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cores.start(cmd); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("bench: %s did not start: %w", name, err)
	}
	return &Process{Addr: strings.TrimSpace(line), cmd: cmd, in: in}, nil
}

// Stop closes the child's standard input, and kills the child if it is still running after 3 s.
func (child *Process) Stop() {
	child.in.Close()
	done := make(chan struct{})
	go func() { child.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		child.cmd.Process.Kill()
		<-done
	}
}

// usage returns the CPU time and the resident memory, in KB, of the child.
func (child *Process) usage() (time.Duration, int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", child.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	if len(f) < 22 {
		return 0, 0, fmt.Errorf("bench: /proc/%d/stat has %d fields after the name, want 22", child.cmd.Process.Pid, len(f))
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	return time.Duration(user+system) * tick, pages * int64(os.Getpagesize()) / 1024, nil
}

// Load sends requests for an object of kb KB in a closed loop: each of conns connections sends
// its next request as soon as it has the response, and ends at its first error. Load measures for
// span, after span/5 of warm-up; the latencies and Failed include the warm-up.
func Load(ctx context.Context, child *Process, proxy string, kb, conns int, span time.Duration) (Result, error) {
	r := Result{Proxy: proxy, KB: kb, Conns: conns}
	req := []byte(fmt.Sprintf("GET /s/0/%d HTTP/1.1\r\nHost: bench\r\nUser-Agent: spool-bench\r\nAccept: */*\r\n\r\n", kb))
	var stop atomic.Bool
	var count, failed atomic.Int64
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	ready := make(chan error, conns)
	begin := make(chan struct{})
	for range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp4", child.Addr)
			ready <- err
			if err != nil {
				return
			}
			defer c.Close()
			<-begin
			local := hdrhistogram.New(1, 60_000_000, 3)
			br := newReader(c)
			for !stop.Load() {
				start := time.Now()
				c.SetDeadline(start.Add(30 * time.Second))
				if _, err := c.Write(req); err != nil {
					failed.Add(1)
					break
				}
				if err := readOKResponse(br, int64(kb)<<10); err != nil {
					failed.Add(1)
					break
				}
				local.RecordValue(time.Since(start).Microseconds())
				count.Add(1)
			}
			mu.Lock()
			hist.Merge(local)
			mu.Unlock()
		}()
	}
	var errs []error
	for range conns {
		if err := <-ready; err != nil {
			errs = append(errs, err)
		}
	}
	close(begin)
	if len(errs) > 0 {
		stop.Store(true)
		wg.Wait()
		return r, errors.Join(errs[0], fmt.Errorf("bench: %d of %d connections could not be opened", len(errs), conns))
	}
	time.Sleep(span / 5) // warm-up
	hist.Reset()
	n0 := count.Load()
	cpu0, _, err := child.usage()
	if err != nil {
		return r, err
	}
	at := time.Now()
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
	r.Requests = count.Load() - n0
	cpu1, rss, err := child.usage()
	elapsed := time.Since(at).Seconds()
	stop.Store(true)
	wg.Wait()
	if err != nil {
		return r, err
	}
	r.PerSecond = float64(r.Requests) / elapsed
	r.PerCPU = float64(r.Requests) / max((cpu1-cpu0).Seconds(), 0.01)
	r.RSSKB, r.Failed = rss, failed.Load()
	r.P50us, r.P99us = hist.ValueAtQuantile(50), hist.ValueAtQuantile(99)
	return r, nil
}

// readOKResponse reads a response with status 200 and a body of a known size. It does as little
// work as possible, so that the load generator does not become the bottleneck.
func readOKResponse(br *bufio.Reader, size int64) error {
	first := true
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if first && !strings.HasPrefix(string(line[:min(len(line), 12)]), "HTTP/1.1 200") {
			return fmt.Errorf("bench: response begins with %q, want status 200", line)
		}
		first = false
		if len(line) <= 2 {
			break
		}
	}
	_, err := br.Discard(int(size))
	return err
}

// Idle opens conns connections that send one request each and then stay idle. It returns the
// proxy's resident memory, in KB, before and after.
func Idle(child *Process, conns int) (before, after int64, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(conns)+100 {
		limit.Cur = min(limit.Max, uint64(conns)+1000)
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
	if _, before, err = child.usage(); err != nil {
		return 0, 0, err
	}
	open := make([]net.Conn, 0, conns)
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for range conns {
		c, err := net.Dial("tcp4", child.Addr)
		if err != nil {
			return before, 0, fmt.Errorf("bench: connection %d: %w", len(open), err)
		}
		open = append(open, c)
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write([]byte("GET /s/0/1 HTTP/1.1\r\nHost: bench\r\n\r\n")); err != nil {
			return before, 0, err
		}
		if err := readOKResponse(bufio.NewReader(c), 1024); err != nil {
			return before, 0, err
		}
	}
	time.Sleep(time.Second)
	_, after, err = child.usage()
	return before, after, err
}
