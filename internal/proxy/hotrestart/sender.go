package hotrestart

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

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
