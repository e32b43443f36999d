package platform

import (
	"slices"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// pool holds the connections to one member. It belongs to the member's id: another member
// may get its address later.
type pool struct {
	server      *Server
	id          string
	address     string
	connections []*memberConn
	inFlight    int // attempts that were assigned to it and are not finished
}

// poolOf is the pool of a member, created on first use.
func (s *Server) poolOf(id string) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{server: s, id: id, address: s.engine.Address(id)}
		s.pools[id] = p
	}
	return p
}

// pick chooses the connection for another attempt of a request: an idle one, else a new one,
// else the one with the fewest attempts. Where there is none it returns nil and how the attempt
// ends. One request to a connection is the aim, since one malformed answer ends all that share it.
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

// candidates are the idle connection that was used last and the busy one with the fewest
// attempts, of those that take an attempt of the request; nil where there is none.
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

// mayGrow reports whether the limits allow one more connection. It closes an idle one of
// some member for that if need be.
func (p *pool) mayGrow() bool {
	server := p.server
	if len(p.connections) >= server.connectionLimits.PerMember(len(server.pools)) {
		return false
	}
	return server.memberConnections < server.connectionLimits.Members || server.closeIdleMemberConn()
}

// maxPerConnection is how many attempts may share a connection.
func (p *pool) maxPerConnection() int { return max(p.server.config.settings.Streams, 1) }

const (
	minStaleIdle    = 100 // ms; the shortest idle time after which a member may have forgotten a connection
	staleIdleFactor = 0.8 // of the idle time after which one was forgotten: others may be by then
)

// closeIdleFor closes the connections that have been idle for minIdle ms or longer.
func (p *pool) closeIdleFor(minIdle float64) {
	now := p.server.loop.Now()
	for _, c := range slices.Clone(p.connections) {
		if c.idle() && now-c.lastUsed >= minIdle {
			c.close()
		}
	}
}

// closeIdleMemberConn closes the connection to any member that has been idle longest, and
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

// dial begins another connection. Where that fails it returns nil and how the attempt ends
// that it was for.
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

// dialFailed logs that a connection could not be begun, and returns whose fault that was.
func (p *pool) dialFailed(err error) spool.Result {
	server := p.server
	server.counts.FailedDials++
	failures := server.counts.FailedDials
	if failures&(failures-1) == 0 { // the 1st, 2nd, 4th, 8th...
		server.log.Warn("dial of member failed", zap.String("member", p.id), zap.String("address", p.address),
			zap.Uint64("times", failures), zap.Error(err))
	}
	if eventloop.IsLocalShortage(err) {
		return spool.LocalFailure
	}
	return spool.ConnectFailed
}

// close ends the pool of a member that is draining, was removed or has another address. Its
// connections are closed once no attempt is on them; later attempts get a new pool.
func (p *pool) close() {
	delete(p.server.pools, p.id)
	for _, c := range slices.Clone(p.connections) {
		c.closing = true
		if c.load() == 0 {
			c.close()
		}
	}
}

// cleanUp closes the connections that the member would soon close as idle.
func (p *pool) cleanUp(now float64) {
	for _, c := range slices.Clone(p.connections) {
		if c.idle() && limits.MemberIdleExpired(now-c.lastUsed, p.server.config.settings.ConnIdle) {
			c.close()
		}
	}
}
