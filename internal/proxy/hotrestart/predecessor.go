package hotrestart

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

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
