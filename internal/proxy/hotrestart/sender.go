package hotrestart

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Sender passes connections and notes to a successor that serves. It is safe for
// concurrent use, and only Close waits.
type Sender struct {
	conn   *net.UnixConn
	queue  chan any // int: a descriptor, which is the sender's; []byte: a note's message
	ended  chan struct{}
	mu     sync.Mutex
	closed bool // by Close, or since the successor is gone: nothing more is queued

	// Sent counts the connections that were passed; to be read after Close.
	Sent int
}

func newSender(conn *net.UnixConn) *Sender {
	s := &Sender{conn: conn, queue: make(chan any, sendQueueLen), ended: make(chan struct{})}
	go s.sendQueued()
	return s
}

// SendConn passes a connection's descriptor on, and closes it here. false: it can't be
// passed any more, and stays the caller's. It never waits.
func (s *Sender) SendConn(fd int) bool { return s.enqueue(fd) }

// SendNote passes a value on as JSON; after the connections that were passed before it.
// false: it is not sent. It never waits.
func (s *Sender) SendNote(note any) bool {
	payload, err := json.Marshal(note)
	if err != nil || len(payload) >= maxPartBytes {
		return false
	}
	return s.enqueue(message(messageNote, payload))
}

func (s *Sender) enqueue(item any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	select {
	case s.queue <- item:
		return true
	default:
		return false
	}
}

// Close sends what is queued, and ends the connection to the successor.
func (s *Sender) Close() {
	s.closeQueue()
	<-s.ended
}

func (s *Sender) closeQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
}

// sendQueued sends until the queue is closed: descriptors in batches, and each note after
// the descriptors that were queued before it.
func (s *Sender) sendQueued() {
	defer close(s.ended)
	defer s.conn.Close()
	var pending []int
	for item := range s.queue {
		switch item := item.(type) {
		case int:
			pending = append(pending, item)
			if len(pending) >= maxDescriptors || len(s.queue) == 0 {
				s.sendConns(pending)
				pending = pending[:0]
			}
		case []byte:
			s.sendConns(pending)
			pending = pending[:0]
			s.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
			s.conn.Write(item)
		}
	}
	s.sendConns(pending)
}

// sendConns passes descriptors on, and closes them here. Those that could not be passed end:
// there is nobody to serve them, and their clients see an end and no silence.
func (s *Sender) sendConns(descriptors []int) {
	if len(descriptors) == 0 {
		return
	}
	s.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	_, _, err := s.conn.WriteMsgUnix(message(messageConnections, nil), unix.UnixRights(descriptors...), nil)
	if err != nil {
		s.closeQueue()
	} else {
		s.Sent += len(descriptors)
	}
	closeAll(descriptors)
}
