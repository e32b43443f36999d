package platform

import (
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// acceptsPerTurn is how many connections one turn of the loop accepts at most.
const acceptsPerTurn = 64

// listener accepts clients' connections.
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

// acceptClient serves a new connection, if there is or can be made room for it.
func (ln *listener) acceptClient(fd int) {
	server := ln.server
	server.counts.Accepted++
	if len(server.clients) >= server.connectionLimits.Clients && !server.closeIdleClient() {
		closeFD(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	client := &client{server: server, fd: fd, open: map[int32]*request{}, activity: limits.ClientActivity{AcceptedAt: server.loop.Now()}}
	client.pendingTimer.F = client.startPending
	client.allReadAt = eventloop.Clock()
	if !eventloop.Idle(fd) { // it may have waited in the listener's queue
		client.unreadSince = ln.EarliestArrival()
	}
	if err := server.loop.Add(fd, eventloop.Read, client); err != nil {
		closeFD(fd)
		return
	}
	server.loop.Prioritize(fd)
	server.clients[client] = struct{}{}
}

// close accepts the connections that wait in the queue, and ends listening.
func (ln *listener) close() {
	if ln.fd < 0 {
		return
	}
	ln.Accept()
	ln.Stop()
	closeFD(ln.fd)
	ln.fd = -1
}

// closeIdleClient closes the client's connection that yields first to a new one, and
// reports whether there was one.
func (s *Server) closeIdleClient() bool {
	var first *client
	for candidate := range s.clients {
		if candidate.output.Len() > 0 {
			continue // an answer is under way
		}
		candidate.activity.OpenRequests = candidate.openCalls()
		var other *limits.ClientActivity
		if first != nil {
			other = &first.activity
		}
		// What has been sent meanwhile counts as accepted, and is owed an answer.
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
