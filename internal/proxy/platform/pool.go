package platform

import (
	"slices"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// pool holds the connections to one member. It is keyed by the member's id, not by its
// address, which another member may get later.
type pool struct {
	server      *Server
	id          string
	address     string
	connections []*memberConn
	inFlight    int // attempts assigned to the pool that are not finished
}

// poolOf returns the pool of a member, creating it on first use.
func (s *Server) poolOf(id string) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{server: s, id: id, address: s.engine.Address(id)}
		s.pools[id] = p
	}
	return p
}

// pick chooses the connection for an attempt of a request: an idle one, else a new one, else
// the one with the fewest attempts. If there is none, it returns nil and the result of the
// attempt. It prefers one request per connection, since a malformed answer ends all attempts
// on its connection.
func (p *pool) pick(requestID string) (conn *memberConn, failure spool.Result) {
	idle, leastLoaded := p.candidates(requestID)
	if idle != nil {
		return idle, 0
	}
	if !p.mayGrow() {
		return leastLoaded, spool.LocalFailure
	}
	conn, failure = p.dial()
	if conn != nil {
		return conn, 0
	}
	return leastLoaded, failure
}

// candidates returns, of the connections that may carry an attempt of the request, the idle
// one that was used last and the busy one with the fewest attempts; nil if there is none.
func (p *pool) candidates(requestID string) (idle, leastLoaded *memberConn) {
	for _, conn := range p.connections {
		load := conn.load()
		if conn.closing || load >= p.maxPerConnection() || slices.Contains(conn.recent[:], requestID) {
			continue
		}
		switch {
		case conn.idle() && eventloop.Idle(conn.fd):
			if idle == nil || conn.lastUsed > idle.lastUsed {
				idle = conn
			}
		case load > 0 && (leastLoaded == nil || load < leastLoaded.load()):
			leastLoaded = conn
		}
	}
	return idle, leastLoaded
}

// mayGrow reports whether the limits allow one more connection. At the limit for all members
// it closes an idle connection of any member to make room.
func (p *pool) mayGrow() bool {
	server := p.server
	if len(p.connections) >= server.connectionLimits.PerMember(len(server.pools)) {
		return false
	}
	return server.memberConnections < server.connectionLimits.Members || server.closeIdleMemberConn()
}

// maxPerConnection returns the number of attempts that may share a connection.
func (p *pool) maxPerConnection() int { return max(p.server.config.settings.Streams, 1) }

const (
	minStaleIdle    = 100 // ms; a connection that was idle for less does not count as stale
	staleIdleFactor = 0.8 // once a connection was stale, those idle for this part of its idle time are treated as stale
)

// closeIdleFor closes the connections that have been idle for at least minIdle ms.
func (p *pool) closeIdleFor(minIdle float64) {
	now := p.server.loop.Now()
	for _, c := range slices.Clone(p.connections) {
		if c.idle() && now-c.lastUsed >= minIdle {
			c.close()
		}
	}
}

// closeIdleMemberConn closes the connection that has been idle longest, of all members, and
// reports whether there was one.
func (s *Server) closeIdleMemberConn() bool {
	var longestIdle *memberConn
	for _, pool := range s.pools {
		for _, conn := range pool.connections {
			if conn.idle() && (longestIdle == nil || conn.lastUsed < longestIdle.lastUsed) {
				longestIdle = conn
			}
		}
	}
	if longestIdle == nil {
		return false
	}
	longestIdle.close()
	return true
}

// dial starts another connection. If that fails at once, it returns nil and the result of the
// attempt that needed the connection.
func (p *pool) dial() (conn *memberConn, failure spool.Result) {
	server := p.server
	server.counts.Dials++
	fd, _, err := server.loop.Dial(p.address)
	if err != nil {
		return nil, p.dialFailed(err)
	}
	conn = &memberConn{pool: p, fd: fd, lastUsed: server.loop.Now()}
	if err := server.loop.Add(fd, eventloop.Read|eventloop.Write, conn); err != nil {
		closeFD(fd)
		return nil, p.dialFailed(err)
	}
	conn.connectTimer.F = func() { conn.fail(spool.ConnectFailed) }
	conn.frameTimer.F = func() { conn.abandonOverdueFrame() }
	if timeout := server.config.settings.ConnectTimeout; timeout > 0 {
		server.loop.Arm(&conn.connectTimer, timeout)
	}
	server.memberConnections++
	p.connections = append(p.connections, conn)
	return conn, 0
}

// dialFailed logs a dial that failed at once, and returns LocalFailure if this machine lacks a
// resource, else ConnectFailed.
func (p *pool) dialFailed(err error) spool.Result {
	server := p.server
	server.counts.FailedDials++
	failures := server.counts.FailedDials
	if failures&(failures-1) == 0 { // log only the 1st, 2nd, 4th, 8th... failure
		server.log.Warn("dial of member failed", zap.String("member", p.id), zap.String("address", p.address),
			zap.Uint64("times", failures), zap.Error(err))
	}
	if eventloop.IsLocalShortage(err) {
		return spool.LocalFailure
	}
	return spool.ConnectFailed
}

// close removes the pool of a member that is draining, was removed or has another address. Attempts
// that are not written at all are taken back: another process may have the address now. The
// connections are closed once no attempt is on them. Later attempts use a new pool.
func (p *pool) close() {
	delete(p.server.pools, p.id)
	var unwritten []*attempt
	for _, c := range p.connections {
		unwritten = append(unwritten, c.queued...)
	}
	for _, a := range unwritten {
		a.detach()
		a.finish(spool.NotSent, spool.NoteNone, 0)
	}
	for _, c := range slices.Clone(p.connections) {
		c.closing = true
		if c.load() == 0 && c.writing == nil {
			c.close()
		}
	}
}

// cleanUp closes the connections that the member would soon close because they are idle.
func (p *pool) cleanUp(now float64) {
	for _, c := range slices.Clone(p.connections) {
		if c.idle() && limits.MemberIdleExpired(now-c.lastUsed, p.server.config.settings.ConnIdle) {
			c.close()
		}
	}
}
