package hotrestart

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Handover is what a predecessor sends before the successor serves. The predecessor keeps its
// descriptors: the successor receives duplicates.
type Handover struct {
	Listener      int    // descriptor of the listening socket; 0: none
	Admin         int    // descriptor of the admin listener; 0: none
	LearnedState  []byte // by package learnedstate
	Clients       []byte // what is known of clients, as JSON
	ConfigVersion []byte // the configuration version in use; nil: that of the file
}

// Options are the options of Listen. The functions are called one at a time, on goroutines of
// this package.
type Options struct {
	// Path is the path of the Unix socket. Listen replaces a socket that an ended process left
	// there, and returns an error for any other file.
	Path string
	// ReadyTimeout is how long a successor may take from the complete handover to Ready.
	ReadyTimeout time.Duration
	// Prepare returns the handover for a successor that has connected. An error rejects the
	// successor.
	Prepare func() (*Handover, error)
	// OnServing is called once the successor serves, with the sender to it.
	OnServing func(sender *Sender)
	// OnFailure is called if the successor fails, or takes too long, after a successful
	// Prepare: this process must continue to serve.
	OnFailure func(err error)
	// OnConfigVersion is called after OnServing with each configuration version that the
	// successor switches to. If it is nil, reading from the successor ends at the first.
	OnConfigVersion func(version []byte)
	// OnNote is called after OnServing with each note of the successor. If it is nil, reading
	// from the successor ends at the first.
	OnNote func(json []byte)
	// Warn receives warnings for the operator. If it is nil they are dropped.
	Warn func(text string)
}

// Server is the predecessor's side: it waits for successors until one serves.
type Server struct {
	options  Options
	listener *net.UnixListener
	closed   chan struct{}
	running  sync.WaitGroup
}

// Listen begins to wait for a successor.
func Listen(options Options) (*Server, error) {
	if options.Warn == nil {
		options.Warn = func(string) {}
	}
	if info, err := os.Lstat(options.Path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(options.Path)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: options.Path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("hot restart: %w; name a path in a folder that the router may write to", err)
	}
	listener.SetUnlinkOnClose(false) // the path may be the successor's by then
	if err := os.Chmod(options.Path, 0o600); err != nil {
		listener.Close()
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	s := &Server{options: options, listener: listener, closed: make(chan struct{})}
	s.running.Add(1)
	go s.acceptSuccessors()
	return s, nil
}

// Close stops waiting for successors and ends a handover in progress. It does not affect a
// successor that serves.
func (s *Server) Close() {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.listener.Close()
}

func (s *Server) acceptSuccessors() {
	defer s.running.Done()
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			select {
			case <-s.closed:
			default:
				s.options.Warn("hot restart: accept a successor: " + err.Error())
			}
			return
		}
		serving, err := s.handOver(conn)
		if err != nil {
			s.options.Warn(err.Error())
		}
		if serving {
			return
		}
		conn.Close()
	}
}

// handOver sends a successor the handover, and reports whether the successor serves.
func (s *Server) handOver(conn *net.UnixConn) (serving bool, err error) {
	if err := checkSameUser(conn); err != nil {
		return false, err
	}
	if err := readHello(conn); err != nil {
		return false, err
	}
	handover, err := s.options.Prepare()
	if err != nil {
		conn.Write(message(messageRefuse, []byte(err.Error())))
		return false, fmt.Errorf("hot restart: prepare the handover: %w", err)
	}
	err = writeHandover(conn, handover)
	if err == nil {
		err = s.awaitReady(conn)
	}
	if err != nil {
		err = fmt.Errorf("hot restart: successor failed, this process continues to serve: %w", err)
		s.options.OnFailure(err)
		return false, err
	}
	s.listener.Close() // the successor listens at the path from now on
	sender := newSender(conn)
	s.options.OnServing(sender)
	go s.receiveFromSuccessor(conn)
	return true, nil
}

// readHello reads a successor's first message, and rejects another protocol version.
func readHello(conn *net.UnixConn) error {
	conn.SetDeadline(time.Now().Add(messageTimeout))
	buf := make([]byte, 256)
	n, err := conn.Read(buf)
	if err != nil {
		return fmt.Errorf("hot restart: read the successor's hello: %w", err)
	}
	if n != 2 || messageKind(buf[0]) != messageHello || buf[1] != Version {
		conn.Write(message(messageRefuse, fmt.Appendf(nil, "this process uses protocol version %d", Version)))
		return fmt.Errorf("hot restart: the successor's hello is malformed or of another protocol version: %q", buf[:n])
	}
	return nil
}

// writeHandover sends all that a successor needs before it serves.
func writeHandover(conn *net.UnixConn, handover *Handover) error {
	var descriptors []int
	var names []byte
	if handover.Listener > 0 {
		descriptors = append(descriptors, handover.Listener)
		names = append(names, socketListener)
	}
	if handover.Admin > 0 {
		descriptors = append(descriptors, handover.Admin)
		names = append(names, socketAdmin)
	}
	if _, _, err := conn.WriteMsgUnix(message(messageSockets, names), unix.UnixRights(descriptors...), nil); err != nil {
		return err
	}
	if err := writeParts(conn, messageLearnedState, handover.LearnedState); err != nil {
		return err
	}
	if err := writeParts(conn, messageClients, handover.Clients); err != nil {
		return err
	}
	if err := writeParts(conn, messageConfigVersion, handover.ConfigVersion); err != nil {
		return err
	}
	_, err := conn.Write(message(messageComplete, nil))
	return err
}

// awaitReady waits until the successor reports that it serves; Close ends the wait.
func (s *Server) awaitReady(conn *net.UnixConn) error {
	conn.SetDeadline(time.Now().Add(s.options.ReadyTimeout))
	answered := make(chan struct{})
	go func() {
		select {
		case <-s.closed:
			conn.Close()
		case <-answered:
		}
	}()
	buf := make([]byte, 256)
	n, err := conn.Read(buf)
	close(answered)
	if err != nil {
		return err
	}
	if n != 1 || messageKind(buf[0]) != messageReady {
		return fmt.Errorf("it sent %q instead of ready", buf[:n])
	}
	conn.SetDeadline(time.Time{})
	return nil
}

// receiveFromSuccessor handles the messages of a successor that serves, until the connection
// ends.
func (s *Server) receiveFromSuccessor(conn *net.UnixConn) {
	buf := make([]byte, maxPartBytes+1)
	var version []byte
	for {
		n, err := conn.Read(buf)
		if err != nil || n == 0 {
			return
		}
		kind, payload := messageKind(buf[0]), buf[1:n]
		switch {
		case kind == messageConfigVersion && len(version)+n <= maxTotalBytes:
			version = append(version, payload...)
		case kind == messageComplete && s.options.OnConfigVersion != nil:
			s.options.OnConfigVersion(version)
			version = nil
		case kind == messageNote && s.options.OnNote != nil:
			s.options.OnNote(payload)
		default:
			return
		}
	}
}
