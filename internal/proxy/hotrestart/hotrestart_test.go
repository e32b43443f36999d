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

// predecessor is a process that hands over a listener, learned state and a configuration
// version, and records the callbacks of its Server.
type predecessor struct {
	t        *testing.T
	path     string
	listener *net.TCPListener
	handover Handover
	server   *Server

	mu             sync.Mutex
	sender         *Sender
	failures       []error
	configVersions [][]byte
	notes          []string
	warnings       []string
}

func newPredecessor(t *testing.T, ready time.Duration) *predecessor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	p := &predecessor{t: t, path: filepath.Join(t.TempDir(), "handover"), listener: listener.(*net.TCPListener),
		handover: Handover{Listener: int(file.Fd()), LearnedState: bytes.Repeat([]byte("memory "), 30000), Clients: []byte("peers"), ConfigVersion: bytes.Repeat([]byte("version "), 20000)}}
	t.Cleanup(func() { file.Close(); listener.Close() })
	p.listen(ready)
	return p
}

func (p *predecessor) listen(ready time.Duration) {
	var err error
	p.server, err = Listen(Options{Path: p.path, ReadyTimeout: ready,
		Prepare:         func() (*Handover, error) { return &p.handover, nil },
		OnServing:       func(to *Sender) { p.mu.Lock(); p.sender = to; p.mu.Unlock() },
		OnFailure:       func(err error) { p.mu.Lock(); p.failures = append(p.failures, err); p.mu.Unlock() },
		OnConfigVersion: func(b []byte) { p.mu.Lock(); p.configVersions = append(p.configVersions, b); p.mu.Unlock() },
		OnNote:          func(b []byte) { p.mu.Lock(); p.notes = append(p.notes, string(b)); p.mu.Unlock() },
		Warn:            func(s string) { p.mu.Lock(); p.warnings = append(p.warnings, s); p.mu.Unlock() }})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(p.server.Close)
}

func (p *predecessor) await(what string, done func() bool) {
	p.t.Helper()
	for range 500 {
		p.mu.Lock()
		ok := done()
		p.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatalf("no %s in 5 s; failures %v, warnings %v", what, p.failures, p.warnings)
}

// TestTakeOver checks a complete hot restart: the listening socket, learned state and
// configuration version of many messages, connections and notes in order, configuration versions
// in the other direction, and the end.
func TestTakeOver(t *testing.T) {
	p := newPredecessor(t, 5*time.Second)
	successor, err := TakeOver(p.path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(successor.LearnedState, p.handover.LearnedState) || !bytes.Equal(successor.ConfigVersion, p.handover.ConfigVersion) || string(successor.Clients) != "peers" || successor.Listener <= 0 || successor.Admin != 0 {
		t.Fatalf("%d bytes of learned state, %d of a configuration version, listener %d, admin %d", len(successor.LearnedState), len(successor.ConfigVersion), successor.Listener, successor.Admin)
	}
	f := os.NewFile(uintptr(successor.Listener), "listener")
	listener, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if listener.Addr().String() != p.listener.Addr().String() {
		t.Errorf("the successor listens at %v, want %v", listener.Addr(), p.listener.Addr())
	}
	events, ended := make(chan string, 1000), make(chan bool)
	err = successor.Ready(func(fd int) {
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
	p.await("call of OnServing", func() bool { return p.sender != nil })
	const conns = 200
	var clients []net.Conn
	for i := range conns { // the predecessor accepts each, and the successor answers it
		c, err := net.Dial("tcp", p.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		clients = append(clients, c)
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := accepted.(*net.TCPConn).File()
		fd, err := unix.Dup(int(raw.Fd()))
		raw.Close()
		accepted.Close()
		if err != nil || !p.sender.SendConn(fd) {
			t.Fatal(err, "a connection was not queued")
		}
		if i == conns/2 && !p.sender.SendNote(map[string]int{"half": i}) {
			t.Fatal("a note was not queued")
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
			t.Errorf("event %d is %q, want %q", i, got, want)
		}
	}
	for _, v := range []string{"small", strings.Repeat("large ", 40000)} {
		if err := successor.SendConfigVersion([]byte(v)); err != nil {
			t.Fatal(err)
		}
	}
	p.await("two configuration versions", func() bool {
		return len(p.configVersions) == 2 && string(p.configVersions[0]) == "small" && len(p.configVersions[1]) == 240000
	})
	p.sender.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("onEnd was not called within 5 s")
	}
	if p.sender.Sent != conns || p.sender.SendConn(0) || p.sender.SendNote(1) {
		t.Errorf("%d connections sent, want 200 and none after Close", p.sender.Sent)
	}
	if _, err := TakeOver(p.path); !errors.Is(err, ErrNoPredecessor) { // the successor may listen at the path
		t.Errorf("TakeOver from a predecessor that has ended: %v, want ErrNoPredecessor", err)
	}
}

// TestSuccessorFails checks that the predecessor keeps listening for the next successor when one
// crashes at any point, sends nothing or sends malformed messages, and that OnFailure is called
// if the failed one had received the handover.
func TestSuccessorFails(t *testing.T) {
	hello := message(messageHello, []byte{Version})
	for _, c := range []struct {
		name   string
		behave func(c *net.UnixConn)
		failed bool // OnFailure must be called
	}{
		{"sends nothing", func(c *net.UnixConn) {}, false},
		{"sends another version", func(c *net.UnixConn) { c.Write(message(messageHello, []byte{Version + 1})) }, false},
		{"sends another protocol", func(c *net.UnixConn) { c.Write([]byte("GET / HTTP/1.1")) }, false},
		{"reads nothing", func(c *net.UnixConn) { c.Write(hello) }, true},
		{"reads part of the handover", func(c *net.UnixConn) { c.Write(hello); c.Read(make([]byte, 10)); receive(c) }, true},
		{"does not become ready", func(c *net.UnixConn) { c.Write(hello); readAndDrop(c, 300*time.Millisecond) }, true},
		{"sends a malformed ready", func(c *net.UnixConn) { c.Write(hello); go readAndDrop(c, time.Second); c.Write([]byte("ready")) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPredecessor(t, 100*time.Millisecond)
			conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: p.path, Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			c.behave(conn)
			conn.Close()
			p.await("warning", func() bool { return len(p.warnings) == 1 && (len(p.failures) == 1) == c.failed })
			successor, err := TakeOver(p.path)
			if err != nil || !bytes.Equal(successor.LearnedState, p.handover.LearnedState) {
				t.Fatal("the next successor got no handover:", err)
			}
			successor.Abort()
			p.await("second warning", func() bool { return len(p.warnings) == 2 && p.sender == nil })
			if c, err := net.Dial("tcp", p.listener.Addr().String()); err != nil { // the listener is open
				t.Error(err)
			} else {
				c.Close()
			}
		})
	}
}

// readAndDrop reads messages for the given time and discards them.
func readAndDrop(conn *net.UnixConn, span time.Duration) {
	conn.SetReadDeadline(time.Now().Add(span))
	for {
		_, _, descriptors, err := receive(conn)
		closeAll(descriptors)
		if err != nil {
			return
		}
	}
}

// TestSuccessorCrashesAfterReady guards against clients that wait for an answer which no process
// will send: connections queued for a successor that has crashed must be closed, and SendConn
// must soon accept no more.
func TestSuccessorCrashesAfterReady(t *testing.T) {
	p := newPredecessor(t, 5*time.Second)
	successor, err := TakeOver(p.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.Ready(func(fd int) { unix.Close(fd) }, func([]byte) {}, func() {}); err != nil {
		t.Fatal(err)
	}
	p.await("call of OnServing", func() bool { return p.sender != nil })
	successor.Abort()
	queued := 0
	for range 200 {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		if !p.sender.SendConn(pair[0]) {
			unix.Close(pair[0])
			unix.Close(pair[1])
			break
		}
		queued++
		unix.SetsockoptTimeval(pair[1], unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 5})
		if n, err := unix.Read(pair[1], make([]byte, 1)); n != 0 || err != nil {
			t.Fatalf("connection %d: read %d bytes, %v, want the end of the connection", queued, n, err)
		}
		unix.Close(pair[1])
	}
	if queued == 200 {
		t.Error("200 connections were queued for a successor that has crashed")
	}
	p.sender.Close()
}

// TestPredecessorFails checks that TakeOver returns an error if the predecessor has ended or fails
// during the handover, and that Listen replaces a stale socket but no other file.
func TestPredecessorFails(t *testing.T) {
	path := filepath.Join(t.TempDir(), "handover")
	if _, err := TakeOver(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("no predecessor: %v", err)
	}
	for name, messages := range map[string][][]byte{
		"rejects":               {message(messageRefuse, []byte("drains already"))},
		"ends early":            {message(messageSockets, nil), message(messageLearnedState, []byte("half"))},
		"uses another protocol": {[]byte("HTTP/1.1 200 OK")},
	} {
		listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			c.Read(make([]byte, 10))
			for _, b := range messages {
				c.Write(b)
			}
			c.Close()
		}()
		if in, err := TakeOver(path); err == nil || errors.Is(err, ErrNoPredecessor) || in != nil {
			t.Errorf("%s: %v", name, err)
		}
		listener.Close()
	}
	stale, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	stale.Close()
	if _, err := TakeOver(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("a stale socket: %v", err)
	}
	s, err := Listen(Options{Path: path, Prepare: func() (*Handover, error) { return nil, errors.New("not now") }})
	if err != nil {
		t.Fatal("a stale socket:", err)
	}
	if _, err := TakeOver(path); err == nil || !strings.Contains(err.Error(), "not now") {
		t.Errorf("a predecessor that rejects: %v", err)
	}
	s.Close()
	file := filepath.Join(t.TempDir(), "precious")
	os.WriteFile(file, []byte("x"), 0o600)
	if _, err := Listen(Options{Path: file}); err == nil || !strings.Contains(err.Error(), "name a path") {
		t.Errorf("Listen at the path of a file: %v", err)
	}
	if b, err := os.ReadFile(file); string(b) != "x" {
		t.Errorf("Listen changed or removed the file: %v", err)
	}
}
