package platform

import (
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// answer sends a request's final answer.
func (c *client) answer(req *request, frame []byte) {
	c.server.detachClient(req)
	c.queue(frame)
	c.flush()
}

// queueLocal queues an answer that does not belong to an open request. Such answers cost the client
// nothing, so their number is limited, see holdsBack.
func (c *client) queueLocal(frame []byte) {
	c.localAnswers++
	c.queue(frame)
}

// queue adds a frame to the output. The next flush writes it.
func (c *client) queue(frame []byte) {
	if c.closed {
		return
	}
	server := c.server
	now := server.loop.Now()
	if c.output.Len() == 0 {
		c.activity.StalledSince = now
	}
	c.output.Add(&server.buffers, frame)
	server.unsentBytes += len(frame)
	c.activity.LastUsed = now
}

// flush writes as much of the output as the kernel accepts. If more than the limit remains
// unsent for all clients together, it closes the client with the most buffered bytes.
func (c *client) flush() {
	server := c.server
	for !c.closed && c.output.Len() > 0 {
		size, err := server.loop.Write(c.fd, c.output.Bytes())
		if eventloop.Retryable(err) {
			break
		}
		if err != nil {
			c.close()
			return
		}
		c.output.Take(&server.buffers, size)
		server.unsentBytes -= size
		c.activity.StalledSince = server.loop.Now()
	}
	if c.closed {
		return
	}
	if c.output.Len() == 0 {
		c.activity.StalledSince = 0
		c.localAnswers = 0
		if c.inputHeld {
			server.loop.Arm(&c.pendingTimer, 0)
		}
		server.loop.Want(c.fd, c.interest())
		return
	}
	if server.unsentBytes > server.maxBufferedBytes() {
		server.closeLargestBuffer()
	}
	if !c.closed {
		server.loop.Want(c.fd, c.interest())
	}
}

// interest returns the events that the client's connection waits for. It is not read while input
// is held, except to learn of its end.
func (c *client) interest() eventloop.Interest {
	want := eventloop.Read
	if c.inputHeld {
		want = eventloop.End
	}
	if c.output.Len() > 0 {
		want |= eventloop.Write
	}
	return want
}

// bufferedBytes returns the memory that the client's unsent answers and incomplete message take.
func (c *client) bufferedBytes() int { return c.input.Cap() + c.output.Cap() }

// maxBufferedBytes returns the limit of the bytes buffered for all clients together.
func (s *Server) maxBufferedBytes() int {
	return limits.WaitingBytes(s.memoryBytes())
}

// memoryBytes returns the memory limit of the process.
func (s *Server) memoryBytes() int { return int(s.config.Limits.MemoryMB * (1 << 20)) }

// closeLargestBuffer closes the client with the most buffered bytes if the sum for all clients
// is over the limit.
func (s *Server) closeLargestBuffer() {
	var largest *client
	total := 0
	for candidate := range s.clients {
		size := candidate.bufferedBytes()
		total += size
		if largest == nil || size > largest.bufferedBytes() {
			largest = candidate
		}
	}
	if total > s.maxBufferedBytes() {
		largest.close()
	}
}
