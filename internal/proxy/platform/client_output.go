package platform

import (
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// answer gives a request its final answer.
func (c *client) answer(r *request, frame []byte) {
	c.server.endForClient(r)
	c.queue(frame)
	c.flush()
}

// queue adds bytes for the client. One that asks and takes nothing is closed before
// what waits for all takes too much memory.
func (c *client) queue(b []byte) {
	server := c.server
	if c.closed {
		return
	}
	if c.output.Len() == 0 {
		c.activity.Stuck = server.loop.Now()
	}
	c.output.Add(&server.buffers, b)
	server.unsentBytes += len(b)
	c.activity.Last = server.loop.Now()
}

func (c *client) flush() {
	server := c.server
	for !c.closed && c.output.Len() > 0 {
		written, err := server.loop.Write(c.fd, c.output.Bytes())
		if eventloop.Later(err) {
			break
		}
		if err != nil {
			c.close()
			return
		}
		c.output.Take(&server.buffers, written)
		server.unsentBytes -= written
		c.activity.Stuck = server.loop.Now()
	}
	if c.closed {
		return
	}
	interest := eventloop.Read
	if c.output.Len() > 0 {
		interest |= eventloop.Write
		if server.unsentBytes > server.maxBufferedBytes() {
			server.closeLargestBuffer()
		}
		if c.closed {
			return
		}
	} else {
		c.activity.Stuck = 0
	}
	server.loop.Want(c.fd, interest)
}

// kept is how many bytes wait for the client, or for the rest of its message.
func (c *client) bufferedBytes() int { return c.input.Len() + c.output.Len() }

// relieve closes the client for which most bytes are kept, where those that are kept for
// clients take too much memory: answers that they don't read, and messages that don't come
// whole.
func (s *Server) closeLargestBuffer() {
	var largest *client
	total := 0
	for client := range s.clients {
		if total += client.bufferedBytes(); largest == nil || client.bufferedBytes() > largest.bufferedBytes() {
			largest = client
		}
	}
	if total > s.maxBufferedBytes() {
		largest.close()
	}
}

// waitingBytes is how much may wait, and be held of what has come in part.
func (s *Server) maxBufferedBytes() int {
	return limits.WaitingBytes(int(s.config.Limits.MemoryMB * (1 << 20)))
}
