package platform

import (
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// acceptsPerTurn is the largest number of connections accepted in one turn of the loop.
const acceptsPerTurn = 64

// listener accepts connections from clients.
type listener struct {
	eventloop.Listener
	server  *Server
	fd      int // -1 once it is closed
	address string
}

func listen(server *Server, address string) (*listener, error) {
	fd, bound, err := eventloop.Listen(address)
	if err != nil {
		return nil, err
	}
	ln := &listener{server: server, fd: fd, address: bound}
	ln.Listener = eventloop.Listener{PerTurn: acceptsPerTurn, Take: ln.acceptClient, MakeRoom: server.closeIdleClient}
	return ln, ln.Start(server.loop, fd)
}

// acceptClient starts to serve a new connection. At the connection limit it closes an idle
// connection first, or the new one if no connection is idle.
func (ln *listener) acceptClient(fd int) {
	server := ln.server
	server.counts.Accepted++
	if len(server.clients) >= server.connectionLimits.Clients && !server.closeIdleClient() {
		closeFD(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	client := &client{server: server, fd: fd, open: map[int32]*request{}, activity: limits.ClientActivity{AcceptedAt: server.loop.Now()}}
	client.pendingTimer.F = client.resumeInput
	client.allReadAt = eventloop.Clock()
	if !eventloop.Idle(fd) { // its data may have arrived while it waited in the backlog
		client.unreadSince = ln.EarliestArrival()
	}
	if err := server.loop.Add(fd, eventloop.Read, client); err != nil {
		closeFD(fd)
		return
	}
	server.loop.Prioritize(fd)
	server.clients[client] = struct{}{}
}

// close accepts the connections in the backlog and stops listening.
func (ln *listener) close() {
	if ln.fd < 0 {
		return
	}
	ln.Accept()
	ln.Stop()
	closeFD(ln.fd)
	ln.fd = -1
}

// closeIdleClient closes the client connection that comes first by ClientActivity.ClosesBefore,
// to make room for another one. It reports whether there was one.
func (s *Server) closeIdleClient() bool {
	var first *client
	for candidate := range s.clients {
		if candidate.output.Len() > 0 || candidate.inputHeld {
			continue // an answer is being written
		}
		candidate.activity.OpenRequests = candidate.openCalls()
		var other *limits.ClientActivity
		if first != nil {
			other = &first.activity
		}
		// A request that has arrived but is unread must be answered too.
		if candidate.activity.ClosesBefore(other) && eventloop.Idle(candidate.fd) {
			first = candidate
		}
	}
	if first == nil {
		return false
	}
	first.close()
	return true
}

func closeFD(fd int) { unix.Close(fd) }
