package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNobody says that no predecessor is there.
var ErrNoPredecessor = errors.New("handover: nobody to take over from")

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
