package platform

import (
	"slices"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// pool is the connections to one member, by its id: another one may come to have its address.
type pool struct {
	server      *Server
	id          string
	address     string
	connections []*memberConn
	inFlight    int // attempts
}

// poolOf is the pool of a member, made where there is none yet.
func (s *Server) poolOf(id string) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{server: s, id: id, address: s.engine.Address(id)}
		s.pools[id] = p
	}
	return p
}

// pick is the connection for another attempt of a request, or how the attempt ends where
// there can be none. One request to a connection is the aim, since one spoilt answer ends
// all that share it.
func (p *pool) pick(requestID string) (conn *memberConn, failure spool.Result) {
	server := p.server
	var idle, leastLoaded *memberConn
	for _, conn := range p.connections {
		load := len(conn.awaiting) + len(conn.queued)
		if conn.closing || load >= p.maxPerConnection() || slices.Contains(conn.recent[:], requestID) {
			continue
		}
		switch {
		case load == 0 && conn.connected && eventloop.Quiet(conn.fd):
			if idle == nil || conn.lastUsed > idle.lastUsed {
				idle = conn
			}
		case load > 0 && (leastLoaded == nil || load < len(leastLoaded.awaiting)+len(leastLoaded.queued)):
			leastLoaded = conn
		}
	}
	if idle != nil {
		return idle, 0
	}
	failure = spool.LocalFailure // no place for a connection
	if len(p.connections) < server.connectionLimits.PerMember(len(server.pools)) && (server.memberConnections < server.connectionLimits.Members || server.closeIdleMemberConn()) {
		if conn, failure = p.dial(); conn != nil {
			return conn, 0
		}
	}
	return leastLoaded, failure
}

func (p *pool) maxPerConnection() int {
	if s := p.server.config.settings.Streams; s > 0 {
		return s
	}
	return 1
}

const (
	minForgetAfter = 100 // ms; the least rest after which a member may have forgotten a connection
	forgetMargin   = 0.8 // of the rest after which one was forgotten: so may be others
)

// closeRested closes connections that were not used for so long.
func (p *pool) closeIdleFor(span float64) {
	now := p.server.loop.Now()
	for _, c := range slices.Clone(p.connections) {
		if len(c.awaiting)+len(c.queued) == 0 && c.connected && now-c.lastUsed >= span {
			c.close()
		}
	}
}

// room closes the connection to members that was idle longest, if there is one.
func (s *Server) closeIdleMemberConn() bool {
	var idlest *memberConn
	for _, pool := range s.pools {
		for _, conn := range pool.connections {
			if len(conn.awaiting)+len(conn.queued) == 0 && conn.connected && (idlest == nil || conn.lastUsed < idlest.lastUsed) {
				idlest = conn
			}
		}
	}
	if idlest != nil {
		idlest.close()
	}
	return idlest != nil
}

// dial begins another connection, or tells how the attempt ends that wanted it.
func (p *pool) dial() (c *memberConn, failure spool.Result) {
	server := p.server
	server.counts.Dials++
	fd, _, err := server.loop.Dial(p.address)
	if err != nil {
		return nil, p.dialFailed(err)
	}
	c = &memberConn{pool: p, fd: fd, lastUsed: server.loop.Now()}
	if err := server.loop.Add(fd, eventloop.Read|eventloop.Write, c); err != nil {
		closeFD(fd)
		return nil, p.dialFailed(err)
	}
	c.connectTimer.F = func() { c.fail(spool.ConnectFailed) }
	c.frameTimer.F = func() { c.abandonOverdueFrame() }
	if t := server.config.settings.ConnectTimeout; t > 0 {
		server.loop.Arm(&c.connectTimer, t)
	}
	server.memberConnections++
	p.connections = append(p.connections, c)
	return c, 0
}

// failed notes that a connection could not be begun, and tells whose fault that was.
func (p *pool) dialFailed(err error) spool.Result {
	server := p.server
	if server.counts.FailedDials++; server.counts.FailedDials&(server.counts.FailedDials-1) == 0 { // the 1st, 2nd, 4th, 8th...
		server.log.Warn("no connection", zap.String("member", p.id), zap.String("address", p.address),
			zap.Uint64("times", server.counts.FailedDials), zap.Error(err))
	}
	if eventloop.Lacking(err) {
		return spool.LocalFailure
	}
	return spool.ConnectFailed
}

// close ends the pool of a member that drains, is gone or is reached elsewhere: its
// connections go once nothing is open there, and what is sent to the id again gets others.
func (p *pool) close() {
	delete(p.server.pools, p.id)
	for _, c := range slices.Clone(p.connections) {
		if c.closing = true; len(c.awaiting)+len(c.queued) == 0 {
			c.close()
		}
	}
}

func (p *pool) cleanUp(now float64) {
	for _, c := range slices.Clone(p.connections) {
		if len(c.awaiting)+len(c.queued) == 0 && c.connected && limits.Rests(now-c.lastUsed, p.server.config.settings.ConnIdle) {
			c.close()
		}
	}
}
