package hotrestart

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Sender passes connections and notes to a successor that serves. It is safe for concurrent use.
// Only Close blocks.
type Sender struct {
	conn   *net.UnixConn
	queue  chan any // int: a descriptor, owned by the sender; []byte: the message of a note
	ended  chan struct{}
	mu     sync.Mutex
	closed bool // nothing more is queued: Close was called, or the successor has ended

	// Sent counts the connections that were passed on. It may be read after Close.
	Sent int
}

func newSender(conn *net.UnixConn) *Sender {
	s := &Sender{conn: conn, queue: make(chan any, sendQueueLen), ended: make(chan struct{})}
	go s.sendQueued()
	return s
}

// SendConn queues a connection's descriptor to be passed on and then closed here. If it returns
// false, the descriptor cannot be passed on and the caller still owns it. SendConn never blocks.
func (s *Sender) SendConn(fd int) bool { return s.enqueue(fd) }

// SendNote queues a value to be sent as JSON, after the connections that were queued before. It
// returns false if the value cannot be sent. SendNote never blocks.
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

// Close sends what is queued and closes the connection to the successor.
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

// sendQueued sends the queue until it is closed: descriptors in batches, and each note after the
// descriptors that were queued before it.
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

// sendConns passes descriptors on and closes them here. If that fails, this closes the
// connections themselves: no process serves them, and their clients see the end at once instead
// of waiting for an answer.
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
