package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// giver offers a listener, a memory and a version, and notes what it hears.
type giver struct {
	t      *testing.T
	path   string
	ln     *net.TCPListener
	given  Handover
	server *Server

	mu     sync.Mutex
	to     *Sender
	failed []error
	heard  [][]byte
	warned []string
}

func newGiver(t *testing.T, ready time.Duration) *giver {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	g := &giver{t: t, path: filepath.Join(t.TempDir(), "handover"), ln: ln.(*net.TCPListener),
		given: Handover{Listener: int(f.Fd()), LearnedState: bytes.Repeat([]byte("memory "), 30000), Clients: []byte("peers"), ConfigVersion: bytes.Repeat([]byte("version "), 20000)}}
	t.Cleanup(func() { f.Close(); ln.Close() })
	g.offer(ready)
	return g
}

func (g *giver) offer(ready time.Duration) {
	var err error
	g.server, err = Listen(Options{Path: g.path, ReadyTimeout: ready,
		Prepare:         func() (*Handover, error) { return &g.given, nil },
		OnServing:       func(to *Sender) { g.mu.Lock(); g.to = to; g.mu.Unlock() },
		OnFailure:       func(err error) { g.mu.Lock(); g.failed = append(g.failed, err); g.mu.Unlock() },
		OnConfigVersion: func(b []byte) { g.mu.Lock(); g.heard = append(g.heard, b); g.mu.Unlock() },
		Warn:            func(s string) { g.mu.Lock(); g.warned = append(g.warned, s); g.mu.Unlock() }})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(g.server.Close)
}

func (g *giver) await(what string, f func() bool) {
	g.t.Helper()
	for range 500 {
		g.mu.Lock()
		ok := f()
		g.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("waited in vain for %s; failed %v, warned %v", what, g.failed, g.warned)
}

// All of it: sockets that accept, memory and version over many messages, connections
// with notes between them in their order, versions the other way, and the end.
func TestTakesOver(t *testing.T) {
	g := newGiver(t, 5*time.Second)
	in, err := TakeOver(g.path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(in.LearnedState, g.given.LearnedState) || !bytes.Equal(in.ConfigVersion, g.given.ConfigVersion) || string(in.Clients) != "peers" || in.Listener <= 0 || in.Admin != 0 {
		t.Fatalf("%d bytes of memory, %d of a version, listener %d, admin %d", len(in.LearnedState), len(in.ConfigVersion), in.Listener, in.Admin)
	}
	f := os.NewFile(uintptr(in.Listener), "listener")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if ln.Addr().String() != g.ln.Addr().String() {
		t.Errorf("it listens at %v, not at %v", ln.Addr(), g.ln.Addr())
	}
	events, ended := make(chan string, 1000), make(chan bool)
	err = in.Ready(func(fd int) {
		f := os.NewFile(uintptr(fd), "conn")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			events <- err.Error()
			return
		}
		fmt.Fprintf(c, "hello from the successor")
		c.Close()
		events <- "conn"
	}, func(b []byte) { events <- "note " + string(b) }, func() { close(ended) })
	if err != nil {
		t.Fatal(err)
	}
	g.await("Go", func() bool { return g.to != nil })
	const conns = 200
	var clients []net.Conn
	for i := range conns { // each is accepted here, and answered there
		c, err := net.Dial("tcp", g.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		clients = append(clients, c)
		a, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := a.(*net.TCPConn).File()
		fd, err := unix.Dup(int(raw.Fd()))
		raw.Close()
		a.Close()
		if err != nil || !g.to.SendConn(fd) {
			t.Fatal(err, "a connection is not taken")
		}
		if i == conns/2 && !g.to.SendNote(map[string]int{"half": i}) {
			t.Fatal("a note is not taken")
		}
	}
	for i, c := range clients {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if b, err := io.ReadAll(c); string(b) != "hello from the successor" {
			t.Fatalf("client %d: %q %v", i, b, err)
		}
	}
	for i := range conns + 1 {
		want := "conn"
		if i == conns/2+1 {
			want = `note {"half":100}`
		}
		if got := <-events; got != want {
			t.Errorf("event %d is %q, not %q", i, got, want)
		}
	}
	for _, v := range []string{"small", strings.Repeat("large ", 40000)} {
		if err := in.SendConfigVersion([]byte(v)); err != nil {
			t.Fatal(err)
		}
	}
	g.await("two versions", func() bool { return len(g.heard) == 2 && string(g.heard[0]) == "small" && len(g.heard[1]) == 240000 })
	g.to.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the successor does not hear of the end")
	}
	if g.to.Sent != conns || g.to.SendConn(0) || g.to.SendNote(1) {
		t.Errorf("%d sent, and one more after the end", g.to.Sent)
	}
	if _, err := TakeOver(g.path); !errors.Is(err, ErrNoPredecessor) { // the path is the successor's to offer at
		t.Errorf("who asks the one that has left gets %v", err)
	}
}

// A successor that crashes at any moment, is silent or speaks nonsense leaves the
// predecessor offering, and is told of as failed where it had got something.
func TestSuccessorFails(t *testing.T) {
	hello := []byte{kHello, Version}
	for _, c := range []struct {
		what string
		do   func(c *net.UnixConn)
		got  bool // it had the memory
	}{
		{"says nothing", func(c *net.UnixConn) {}, false},
		{"speaks another version", func(c *net.UnixConn) { c.Write([]byte{kHello, Version + 1}) }, false},
		{"says something else", func(c *net.UnixConn) { c.Write([]byte("GET / HTTP/1.1")) }, false},
		{"reads nothing", func(c *net.UnixConn) { c.Write(hello) }, true},
		{"reads half", func(c *net.UnixConn) { c.Write(hello); c.Read(make([]byte, 10)); receive(c) }, true},
		{"does not become ready", func(c *net.UnixConn) { c.Write(hello); drain(c, 300*time.Millisecond) }, true},
		{"is not ready but says so otherwise", func(c *net.UnixConn) { c.Write(hello); go drain(c, time.Second); c.Write([]byte("ready")) }, true},
	} {
		t.Run(c.what, func(t *testing.T) {
			g := newGiver(t, 100*time.Millisecond)
			conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: g.path, Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			c.do(conn)
			conn.Close()
			g.await("the warning", func() bool { return len(g.warned) == 1 && (len(g.failed) == 1) == c.got })
			in, err := TakeOver(g.path)
			if err != nil || !bytes.Equal(in.LearnedState, g.given.LearnedState) {
				t.Fatal("the next one gets nothing:", err)
			}
			in.Abort()
			g.await("its end", func() bool { return len(g.warned) == 2 && g.to == nil })
			if c, err := net.Dial("tcp", g.ln.Addr().String()); err != nil { // the listener lives on
				t.Error(err)
			} else {
				c.Close()
			}
		})
	}
}

func drain(c *net.UnixConn, span time.Duration) {
	c.SetReadDeadline(time.Now().Add(span))
	for {
		_, fds, err := receive(c)
		for _, fd := range fds {
			unix.Close(fd)
		}
		if err != nil {
			return
		}
	}
}

// What is queued for a successor that has died is closed, and nothing more is taken:
// clients see an end and not silence.
func TestSuccessorDies(t *testing.T) {
	g := newGiver(t, 5*time.Second)
	in, err := TakeOver(g.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := in.Ready(func(fd int) { unix.Close(fd) }, func([]byte) {}, func() {}); err != nil {
		t.Fatal(err)
	}
	g.await("Go", func() bool { return g.to != nil })
	in.Abort()
	taken := 0
	for range 200 {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		if !g.to.SendConn(pair[0]) {
			unix.Close(pair[0])
			unix.Close(pair[1])
			break
		}
		taken++
		unix.SetsockoptTimeval(pair[1], unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 5})
		if n, err := unix.Read(pair[1], make([]byte, 1)); n != 0 || err != nil {
			t.Fatalf("connection %d: %d bytes, %v, where its end was due", taken, n, err)
		}
		unix.Close(pair[1])
	}
	if taken == 200 {
		t.Error("200 connections were taken for a successor that is gone")
	}
	g.to.Close()
}

// A predecessor that is gone or breaks off leaves the successor with nothing open; a
// socket that was left behind is replaced, and a file that is none is not.
func TestPredecessorFails(t *testing.T) {
	path := filepath.Join(t.TempDir(), "handover")
	if _, err := TakeOver(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("nobody: %v", err)
	}
	for name, say := range map[string][][]byte{
		"refuses":       {append([]byte{kRefuse}, "drains already"...)},
		"breaks off":    {{kSockets}, append([]byte{kMemory}, "half"...)},
		"talks at once": {[]byte("HTTP/1.1 200 OK")},
	} {
		ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			c.Read(make([]byte, 10))
			for _, b := range say {
				c.Write(b)
			}
			c.Close()
		}()
		if in, err := TakeOver(path); err == nil || errors.Is(err, ErrNoPredecessor) || in != nil {
			t.Errorf("%s: %v", name, err)
		}
		ln.Close()
	}
	left, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	left.SetUnlinkOnClose(false)
	left.Close()
	if _, err := TakeOver(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("a socket that was left: %v", err)
	}
	s, err := Listen(Options{Path: path, Prepare: func() (*Handover, error) { return nil, errors.New("not now") }})
	if err != nil {
		t.Fatal("a socket that was left:", err)
	}
	if _, err := TakeOver(path); err == nil || !strings.Contains(err.Error(), "not now") {
		t.Errorf("one that refuses: %v", err)
	}
	s.Close()
	file := filepath.Join(t.TempDir(), "precious")
	os.WriteFile(file, []byte("x"), 0o600)
	if _, err := Listen(Options{Path: file}); err == nil || !strings.Contains(err.Error(), "name a path") {
		t.Errorf("a file in the way: %v", err)
	}
	if b, err := os.ReadFile(file); string(b) != "x" {
		t.Errorf("the file is gone: %v", err)
	}
}
