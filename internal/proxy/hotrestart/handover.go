// Package handover passes a router's sockets, and what it has learned, to the
// process that takes over from it, over a Unix socket (SCM_RIGHTS, see unix(7)): the
// listening sockets first, then a memory as bytes, and, once the successor serves,
// clients' connections between requests.
//
// It decides nothing of a router's. It belongs to goroutines of its own: an event
// loop only queues descriptors, and is called back where something has come. The
// predecessor goes on as before until the successor has said that it serves.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Version is that of what is said on the socket; both sides must speak the same.
const Version = 2

// The kinds of messages, the first byte of each. Messages are whole (SOCK_SEQPACKET).
const (
	kHello   = 'h' // successor: version
	kRefuse  = 'x' // predecessor: why not
	kSockets = 's' // predecessor: what the descriptors with it are
	kMemory  = 'm' // predecessor: a part of the memory
	kPeers   = 'p' // predecessor: a part of what it knows of clients
	kVersion = 'v' // either: a part of a version of the settings
	kWhole   = 'w' // predecessor: all was given; either, later: the version was whole
	kReady   = 'r' // successor: it serves
	kNote    = 'n' // either: a note, as JSON
	kConns   = 'c' // predecessor: connections between requests
)

const (
	partBytes = 48 << 10
	mostFDs   = 64        // in a message; the kernel takes 253
	mostBytes = 256 << 20 // of a memory, or a version
	waiting   = 8192
	step      = 10 * time.Second // for each message up to the memory's end
)

// ErrNobody says that no predecessor is there.
var ErrNoPredecessor = errors.New("handover: nobody to take over from")

// Given is what a predecessor hands over first. Descriptors stay the giver's.
type Handover struct {
	Listener, Admin int // 0: none
	LearnedState    []byte
	Clients         []byte // what is known of clients
	ConfigVersion   []byte // of the settings, that it goes by; nil: the file
}

// Offer is what a predecessor offers. Its functions are called one at a time.
type Options struct {
	Path            string
	ReadyTimeout    time.Duration             // that a successor may take until it serves
	Prepare         func() (*Handover, error) // a successor has come
	OnServing       func(to *Sender)          // it serves
	OnFailure       func(err error)           // it went, or took too long, after Ask
	OnConfigVersion func(version []byte)      // after Go: it goes by another version of the settings
	OnNote          func(json []byte)         // after Go: a note of its
	Warn            func(text string)         // for the operator
}

// Server waits for a successor.
type Server struct {
	o    Options
	ln   *net.UnixListener
	done chan struct{}
	wg   sync.WaitGroup
}

// Listen begins to wait. A socket that an ended process has left is replaced.
func Listen(o Options) (*Server, error) {
	if o.Warn == nil {
		o.Warn = func(string) {}
	}
	if st, err := os.Lstat(o.Path); err == nil && st.Mode()&os.ModeSocket != 0 {
		os.Remove(o.Path)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: o.Path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w; name a path in a folder that the router may write to", err)
	}
	ln.SetUnlinkOnClose(false) // by then it may be the successor's
	if err := os.Chmod(o.Path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Server{o: o, ln: ln, done: make(chan struct{})}
	s.wg.Add(1)
	go s.run()
	return s, nil
}

// Close stops waiting. What is under way with a successor ends.
func (s *Server) Close() {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.ln.Close()
}

func (s *Server) run() {
	defer s.wg.Done()
	for {
		c, err := s.ln.AcceptUnix()
		if err != nil {
			select {
			case <-s.done:
			default:
				s.o.Warn("handover: " + err.Error())
			}
			return
		}
		over, err := s.one(c)
		if err != nil {
			s.o.Warn(err.Error())
		}
		if over {
			return
		}
		c.Close()
	}
}

// one serves a successor; over says that it has taken over.
func (s *Server) one(c *net.UnixConn) (over bool, err error) {
	if err := sameUser(c); err != nil {
		return false, err
	}
	c.SetDeadline(time.Now().Add(step))
	buf := make([]byte, 256)
	n, err := c.Read(buf)
	if err != nil {
		return false, fmt.Errorf("handover: a successor said nothing: %w", err)
	}
	if n != 2 || buf[0] != kHello || buf[1] != Version {
		c.Write(append([]byte{kRefuse}, fmt.Sprintf("this process speaks version %d", Version)...))
		return false, fmt.Errorf("handover: a successor speaks another version: %q", buf[:n])
	}
	g, err := s.o.Prepare()
	if err != nil {
		c.Write(append([]byte{kRefuse}, err.Error()...))
		return false, fmt.Errorf("handover: %w", err)
	}
	if err = give(c, g); err == nil {
		c.SetDeadline(time.Now().Add(s.o.ReadyTimeout))
		stop := make(chan struct{})
		go func() {
			select {
			case <-s.done:
				c.Close()
			case <-stop:
			}
		}()
		n, err = c.Read(buf)
		close(stop)
		if err == nil && (n != 1 || buf[0] != kReady) {
			err = fmt.Errorf("it said %q", buf[:n])
		}
	}
	if err != nil {
		err = fmt.Errorf("handover: the successor does not serve, this process goes on: %w", err)
		s.o.OnFailure(err)
		return false, err
	}
	c.SetDeadline(time.Time{})
	s.ln.Close() // the path is the successor's to listen at
	to := &Sender{c: c, q: make(chan any, waiting), done: make(chan struct{})}
	go to.run()
	s.o.OnServing(to)
	go s.hear(c)
	return true, nil
}

// hear takes what a successor that serves says, until the connection ends.
func (s *Server) hear(c *net.UnixConn) {
	buf := make([]byte, partBytes+1)
	var version []byte
	for {
		n, err := c.Read(buf)
		if err != nil || n == 0 {
			return
		}
		switch {
		case buf[0] == kVersion && len(version)+n <= mostBytes:
			version = append(version, buf[1:n]...)
		case buf[0] == kWhole && s.o.OnConfigVersion != nil:
			s.o.OnConfigVersion(version)
			version = nil
		case buf[0] == kNote && s.o.OnNote != nil:
			s.o.OnNote(buf[1:n])
		default:
			return
		}
	}
}

func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var cred *unix.Ucred
	var cerr error
	if err := raw.Control(func(fd uintptr) { cred, cerr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err != nil || cerr != nil {
		return fmt.Errorf("handover: %w", errors.Join(err, cerr))
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: process %d of user %d asked; only this process's user may take over", cred.Pid, cred.Uid)
	}
	return nil
}

func give(c *net.UnixConn, g *Handover) error {
	var fds []int
	what := []byte{kSockets}
	for _, one := range []struct {
		fd   int
		name byte
	}{{g.Listener, 'l'}, {g.Admin, 'a'}} {
		if one.fd > 0 {
			fds, what = append(fds, one.fd), append(what, one.name)
		}
	}
	if _, _, err := c.WriteMsgUnix(what, unix.UnixRights(fds...), nil); err != nil {
		return err
	}
	if err := parts(c, kMemory, g.LearnedState); err != nil {
		return err
	}
	if err := parts(c, kPeers, g.Clients); err != nil {
		return err
	}
	if err := parts(c, kVersion, g.ConfigVersion); err != nil {
		return err
	}
	_, err := c.Write([]byte{kWhole})
	return err
}

// parts sends bytes as messages of a kind.
func parts(c *net.UnixConn, kind byte, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), partBytes)
		if _, err := c.Write(append([]byte{kind}, b[:n]...)); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// Sender passes connections and notes to a successor that serves.
type Sender struct {
	c    *net.UnixConn
	q    chan any // int: a descriptor, which is the sender's; []byte: a note
	done chan struct{}
	mu   sync.Mutex
	gone bool // closed, or the successor is gone
	Sent int  // connections; to be read after Close
}

// Conn passes a descriptor on, and closes it here. False: it can't be passed any
// more, and stays the caller's. It never blocks.
func (s *Sender) SendConn(fd int) bool { return s.put(fd) }

// Note passes a note on.
func (s *Sender) SendNote(v any) bool {
	b, err := json.Marshal(v)
	return err == nil && len(b) < partBytes && s.put(append([]byte{kNote}, b...))
}

func (s *Sender) put(v any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return false
	}
	select {
	case s.q <- v:
		return true
	default:
		return false
	}
}

// Close sends what is queued, and ends.
func (s *Sender) Close() {
	s.mu.Lock()
	if !s.gone {
		s.gone = true
		close(s.q)
	}
	s.mu.Unlock()
	<-s.done
}

func (s *Sender) run() {
	defer close(s.done)
	defer s.c.Close()
	var fds []int
	flush := func() {
		if len(fds) == 0 {
			return
		}
		s.c.SetWriteDeadline(time.Now().Add(step))
		if _, _, err := s.c.WriteMsgUnix([]byte{kConns}, unix.UnixRights(fds...), nil); err != nil {
			s.mu.Lock()
			if !s.gone {
				s.gone = true
				close(s.q)
			}
			s.mu.Unlock()
		} else {
			s.Sent += len(fds)
		}
		for _, fd := range fds { // those that did not go end here: there is nobody to serve them
			unix.Close(fd)
		}
		fds = fds[:0]
	}
	for v := range s.q {
		switch v := v.(type) {
		case int:
			if fds = append(fds, v); len(fds) >= mostFDs || len(s.q) == 0 {
				flush()
			}
		case []byte:
			flush()
			s.c.SetWriteDeadline(time.Now().Add(step))
			s.c.Write(v)
		}
	}
	flush()
}

// Inherited is what a successor has got. Its descriptors are the holder's.
type Inherited struct {
	Listener, Admin int // 0: none
	LearnedState    []byte
	Clients         []byte // what is known of clients
	ConfigVersion   []byte // of the settings, that it goes by; nil: the file
	c               *net.UnixConn
	mu              sync.Mutex // of what is said after Ready
}

// Ask takes over from the process that offers at a path. ErrNobody: there is none.
func TakeOver(path string) (*Inherited, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		if errors.Is(err, unix.ENOENT) || errors.Is(err, unix.ECONNREFUSED) {
			return nil, ErrNoPredecessor
		}
		return nil, fmt.Errorf("handover: %s: %w", path, err)
	}
	in := &Inherited{c: c}
	if err := in.take(); err != nil {
		in.Abort()
		return nil, err
	}
	return in, nil
}

func (in *Inherited) take() error {
	if err := sameUser(in.c); err != nil {
		return err
	}
	in.c.SetDeadline(time.Now().Add(step))
	if _, err := in.c.Write([]byte{kHello, Version}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var memory, peers, version []byte
	for {
		in.c.SetDeadline(time.Now().Add(step))
		b, fds, err := receive(in.c)
		if err != nil {
			return fmt.Errorf("handover: the predecessor broke off: %w", err)
		}
		switch b[0] {
		case kRefuse:
			return fmt.Errorf("handover: the predecessor refuses: %.200q", b[1:])
		case kSockets:
			for i, name := range b[1:] {
				switch {
				case i >= len(fds):
				case name == 'l':
					in.Listener = fds[i]
				case name == 'a':
					in.Admin = fds[i]
				default:
					unix.Close(fds[i])
				}
			}
		case kMemory:
			memory = append(memory, b[1:]...)
		case kPeers:
			peers = append(peers, b[1:]...)
		case kVersion:
			version = append(version, b[1:]...)
		case kWhole:
			in.LearnedState, in.Clients, in.ConfigVersion = memory, peers, version
			in.c.SetDeadline(time.Time{})
			return nil
		default:
			return fmt.Errorf("handover: the predecessor said %.40q", b)
		}
		if len(memory)+len(peers)+len(version) > mostBytes {
			return fmt.Errorf("handover: the predecessor gave more than %d MB", mostBytes>>20)
		}
	}
}

// Ready says that this process serves, and has conn called for each connection that
// comes, note for each note, and end once the predecessor has ended.
func (in *Inherited) Ready(conn func(fd int), note func(json []byte), end func()) error {
	if _, err := in.c.Write([]byte{kReady}); err != nil {
		return fmt.Errorf("handover: the predecessor is gone: %w", err)
	}
	go func() {
		defer end()
		defer in.c.Close()
		for {
			b, fds, err := receive(in.c)
			if err != nil {
				return
			}
			switch b[0] {
			case kConns:
				for _, fd := range fds {
					conn(fd)
				}
			case kNote:
				note(b[1:])
			}
		}
	}()
	return nil
}

// Tell says, after Ready, that this process goes by another version of the settings: the
// predecessor follows nobody any more, and has to hear who drains until it ends.
func (in *Inherited) SendConfigVersion(version []byte) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.c.SetWriteDeadline(time.Now().Add(step))
	if err := parts(in.c, kVersion, version); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err := in.c.Write([]byte{kWhole}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Note tells the predecessor, after Ready, what came to this process only.
func (in *Inherited) SendNote(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.c.SetWriteDeadline(time.Now().Add(step))
	if _, err := in.c.Write(append([]byte{kNote}, b...)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Abort gives up taking over: the predecessor goes on.
func (in *Inherited) Abort() {
	for _, fd := range []int{in.Listener, in.Admin} {
		if fd > 0 {
			unix.Close(fd)
		}
	}
	in.Listener, in.Admin = 0, 0
	in.c.Close()
}

func receive(c *net.UnixConn) (b []byte, fds []int, err error) {
	buf, oob := make([]byte, partBytes+1), make([]byte, unix.CmsgSpace(4*mostFDs))
	n, on, flags, _, err := c.ReadMsgUnix(buf, oob)
	if err != nil {
		return nil, nil, err
	}
	if on > 0 {
		list, err := unix.ParseSocketControlMessage(oob[:on])
		if err != nil {
			return nil, nil, err
		}
		for i := range list {
			got, err := unix.ParseUnixRights(&list[i])
			if err != nil {
				return nil, nil, err
			}
			fds = append(fds, got...)
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
		}
	}
	if n == 0 || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		for _, fd := range fds {
			unix.Close(fd)
		}
		return nil, nil, errors.New("an empty or cut message")
	}
	return buf[:n], fds, nil
}
