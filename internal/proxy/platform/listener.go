package platform

import (
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

const acceptsPerTurn = 64 // connections that one turn takes

// listener takes clients' connections.
type listener struct {
	eventloop.Listener
	server  *Server
	fd      int
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

// take begins to hear a client.
func (ln *listener) acceptClient(fd int) {
	server := ln.server
	server.counts.Accepted++
	if len(server.clients) >= server.connectionLimits.Clients && !server.closeIdleClient() {
		closeFD(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &client{server: server, fd: fd, open: map[int32]*request{}, activity: limits.Visitor{Since: server.loop.Now()}}
	c.settleTimer.F = c.startPending
	if c.emptiedAt = eventloop.Clock(); !eventloop.Quiet(fd) { // it may have waited in the queue
		c.unreadSince = ln.Since()
	}
	if err := server.loop.Add(fd, eventloop.Read, c); err != nil {
		closeFD(fd)
		return
	}
	server.loop.First(fd)
	server.clients[c] = struct{}{}
}

// close takes who has connected already, and ends listening.
func (ln *listener) close() {
	if ln.fd < 0 {
		return
	}
	ln.Accept()
	ln.Stop()
	closeFD(ln.fd)
	ln.fd = -1
}

// yield closes the connection that goes first where room is needed, if any may.
func (s *Server) closeIdleClient() bool {
	var idlest *client
	for client := range s.clients {
		if client.output.Len() > 0 {
			continue // an answer is under way
		}
		client.activity.Open = len(client.open) + len(client.pending)
		var idlestActivity *limits.Visitor
		if idlest != nil {
			idlestActivity = &idlest.activity
		}
		if client.activity.Yields(idlestActivity) && eventloop.Quiet(client.fd) { // what it has sent meanwhile was taken, and is owed an answer
			idlest = client
		}
	}
	if idlest != nil {
		idlest.close()
	}
	return idlest != nil
}
