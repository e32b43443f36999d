package httpfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/hotrestart"
	"indigospool/internal/proxy/learnedstate"
	"indigospool/internal/proxy/limits"
)

// TakeOver makes a router that takes over from the one that offers at the settings'
// handover path, or an ordinary one where nobody does. What the predecessor has learned is
// gone on from, unless it can't be read: then the router starts as new.
func TakeOver(s *config.Settings, log *AccessLog) (*Edge, error) {
	in, err := contactPredecessor(s)
	if err != nil {
		return nil, err
	}
	e, err := newEdge(s, log, in)
	if err != nil && in != nil {
		in.Abort()
	}
	return e, err
}

// contactPredecessor asks the one that offers at the settings' handover path; nil: nobody does.
func contactPredecessor(s *config.Settings) (*hotrestart.Inherited, error) {
	if s.Router.Handover == "" {
		return nil, nil
	}
	in, err := hotrestart.TakeOver(s.Router.Handover)
	if errors.Is(err, hotrestart.ErrNoPredecessor) {
		return nil, nil
	}
	return in, err
}

// inheritListener takes the listening socket of a predecessor, where it is at the address
// that the settings name.
func inheritListener(in *hotrestart.Inherited, address string) (fd int, at string, ok bool) {
	if in == nil || in.Listener == 0 {
		return 0, "", false
	}
	sa, err := unix.Getsockname(in.Listener)
	if err != nil {
		return 0, "", false
	}
	port := 0
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		port = a.Port
	case *unix.SockaddrInet6:
		port = a.Port
	}
	at = net.JoinHostPort(addressOf(sa).String(), fmt.Sprint(port))
	want, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || want.Port != 0 && want.Port != port || len(want.IP) > 0 && !want.IP.Equal(net.IP(addressOf(sa).AsSlice())) {
		return 0, "", false // it is told to listen elsewhere
	}
	fd, in.Listener = in.Listener, 0
	unix.SetNonblock(fd, true) // whatever the giver's runtime has made of it
	return fd, at, true
}

// restoreLearnedState goes on from the predecessor's memory, on the loop, before any news.
func (e *Edge) restoreLearnedState() {
	if e.inherited == nil {
		return
	}
	var peers []limits.AddressRecord
	if len(e.inherited.Clients) > 0 {
		if err := json.Unmarshal(e.inherited.Clients, &peers); err != nil {
			e.log.Log.Warn("what the predecessor knew of clients is not used", zap.Error(err))
		}
		e.guard.reputation.Restore(peers, e.loop.Now())
	}
	if len(e.inherited.LearnedState) == 0 {
		return
	}
	m, err := learnedstate.Decode(e.inherited.LearnedState)
	if err != nil {
		e.log.Log.Warn("the predecessor's memory is not used: this router starts as new", zap.Error(err))
		return
	}
	acts := e.core.Restore(e.loop.Now(), m, nil)
	for i := range acts {
		e.execute(acts[i])
	}
	e.log.Log.Info("goes on from its predecessor", zap.Int("members", len(m.Members)), zap.Int("bytes", len(e.inherited.LearnedState)))
}

// announceServing tells the predecessor that this router announceServing, and takes its connections.
func (e *Edge) announceServing() error {
	if e.inherited == nil {
		return nil
	}
	if err := e.loop.Post(func() { e.predecessorRuns = true }); err != nil {
		return err
	}
	err := e.inherited.Ready(func(fd int) {
		for {
			err := e.loop.Post(func() {
				if e.draining { // it has a successor of its own by now, or ends
					if e.successor == nil || !e.successor.SendConn(fd) {
						unix.Close(fd)
					}
					return
				}
				sa, err := unix.Getpeername(fd)
				if err != nil {
					unix.Close(fd) // its client has gone meanwhile
					return
				}
				unix.SetNonblock(fd, true)
				e.stats.HandedIn++
				if c := e.addClient(fd, addressOf(sa), true); c != nil {
					c.ackedBytes, c.ackedAtTimeout = -1<<40, -1<<40 // the kernel may still hold the predecessor's answers
					e.guard.trackUnread(c)
				}
			})
			switch err {
			case nil:
				return
			case eventloop.ErrFull:
				time.Sleep(time.Millisecond)
			default:
				unix.Close(fd)
				return
			}
		}
	}, func(note []byte) {
		var p engine.Purge
		if json.Unmarshal(note, &p) == nil {
			e.Query(func(*Stats, *engine.Core) {
				e.applyUpdate(&engine.Update{Purge: &p})
				if e.successor != nil {
					e.successor.SendNote(&p)
				}
			})
		}
	}, func() {
		e.predecessorReachable.Store(false)
		e.log.Log.Info("the predecessor has ended")
		e.loop.Post(func() {
			e.predecessorRuns = false
			e.checkDrained()
		})
	})
	if err == nil {
		e.predecessorReachable.Store(true)
		if e.configClient != nil {
			e.configClient.agent.Connect()
		}
	}
	return err
}

// forwardVersion has a predecessor that still drains go by a version too: nobody else
// tells it of members that leave.
func (e *Edge) forwardVersion(v configversion.Version) {
	if !e.predecessorReachable.Load() { // until this one serves it follows the service itself
		return
	}
	b, err := json.Marshal(v)
	if err == nil {
		err = e.inherited.SendConfigVersion(b)
	}
	if err != nil && e.predecessorReachable.Swap(false) {
		e.log.Log.Warn("the predecessor is not told of a version", zap.Int64("version", v.Number), zap.Error(err))
	}
}

// forwardPurge has a predecessor that still drains know of a purge that came to this
// router only: its requests in hand may get no older copy either.
func (e *Edge) forwardPurge(p *engine.Purge) {
	if !e.predecessorReachable.Load() {
		return
	}
	if err := e.inherited.SendNote(p); err != nil && e.predecessorReachable.Swap(false) {
		e.log.Log.Warn("the predecessor is not told of a purge", zap.Error(err))
	}
}

// receivePurge goes by a purge that came to the successor.
func (e *Edge) receivePurge(b []byte) {
	var p engine.Purge
	if json.Unmarshal(b, &p) != nil {
		return
	}
	e.Query(func(*Stats, *engine.Core) { e.applyUpdate(&engine.Update{Purge: &p}) })
	e.forwardPurge(&p)
}

// receiveVersion goes by a version that the successor goes by.
func (e *Edge) receiveVersion(b []byte) {
	var v configversion.Version
	err := json.Unmarshal(b, &v)
	s := &config.Settings{}
	if err == nil {
		err = config.ReadVersion("successor", string(v.Body), e.configClient.local, s)
	}
	if err != nil {
		e.log.Log.Warn("the successor's version is not used", zap.Error(err))
		return
	}
	e.loop.Post(func() { e.activateVersion(configversion.Activate{Version: v, Settings: s}) })
	e.forwardVersion(v) // its own predecessor may still drain, too
}

// offerHandover waits for a successor, from now on.
func (e *Edge) offerHandover() error {
	path := e.settings.Router.Handover
	if path == "" {
		return nil
	}
	srv, err := hotrestart.Listen(hotrestart.Options{Path: path, ReadyTimeout: time.Duration(e.settings.Limits.Successor) * time.Millisecond,
		Prepare: func() (g *hotrestart.Handover, err error) {
			qerr := e.loop.Call(5*time.Second, func() { g, err = e.prepareHandover() })
			if err = errors.Join(qerr, err); err == nil && e.configClient != nil {
				if v := e.configClient.agent.Accepted(); v.Number > 0 {
					g.ConfigVersion, err = json.Marshal(v)
				}
				e.configClient.releaseStore()
			}
			return g, err
		},
		OnServing: func(to *hotrestart.Sender) {
			if e.configClient != nil {
				e.configClient.agent.Close() // the successor follows from now on
			}
			if e.loop.Call(5*time.Second, func() { e.drainTo(to) }) != nil {
				to.Close()
			}
		},
		OnFailure: func(error) {
			e.loop.Call(5*time.Second, func() {
				e.handingOver, e.purgesDuringHandover = false, nil
				e.dispatch(spool.Retired{})
			})
			go e.configClient.reacquireStore()
		},
		OnConfigVersion: func(b []byte) {
			if e.configClient != nil {
				e.receiveVersion(b)
			}
		},
		OnNote: e.receivePurge,
		Warn:   func(text string) { e.log.Log.Warn(text) }})
	if err != nil {
		return err
	}
	e.handoverServer = srv
	return nil
}

// prepareHandover is what a successor gets first. From now on cold budgets are its to spend.
func (e *Edge) prepareHandover() (*hotrestart.Handover, error) {
	if e.draining {
		return nil, errors.New("this router drains already")
	}
	b, err := learnedstate.Encode(e.core.LearnedState())
	if err != nil {
		return nil, err
	}
	peers, err := json.Marshal(e.guard.reputation.Records(e.loop.Now()))
	if err != nil {
		return nil, err
	}
	e.handingOver, e.purgesDuringHandover = true, nil
	e.dispatch(spool.Retired{On: true})
	g := &hotrestart.Handover{Listener: e.listenFD, LearnedState: b, Clients: peers}
	if e.adminFile != nil {
		g.Admin = int(e.adminFile.Fd())
		unix.SetNonblock(g.Admin, true) // Fd has ended that, for the listener too
	}
	e.log.Log.Info("a successor takes over", zap.Int("bytes", len(b)))
	return g, nil
}

// drainTo drains for a successor that serves: nothing is accepted here any more, and
// connections go to it, each once it is between requests.
func (e *Edge) drainTo(to *hotrestart.Sender) {
	if e.draining {
		go to.Close()
		return
	}
	for i := range e.purgesDuringHandover { // what was purged since the memory was taken
		to.SendNote(&e.purgesDuringHandover[i])
	}
	e.handingOver, e.purgesDuringHandover, e.successor = false, nil, to
	if e.stopAdmin != nil {
		go e.stopAdmin()
		e.stopAdmin = nil
	}
	e.log.Log.Info("drains for its successor", zap.Int("connections", len(e.clients)))
	e.drainNow()
}

// handOver gives a connection between requests to the successor; false: it stays.
func (c *clientConn) handOver() bool {
	edge := c.edge
	if edge.successor == nil || c.closed || c.eof || c.discardInput || c.current != nil || len(c.unparsed) > 0 || c.output.Len() > 0 {
		return false
	}
	fd := c.fd
	if !c.detach() {
		return false
	}
	if !edge.successor.SendConn(fd) {
		unix.Close(fd)
	} else {
		edge.stats.HandedOut++
	}
	if edge.draining {
		edge.checkDrained()
	}
	return true
}

// inheritAdmin is the listener that a predecessor's admin listener was, if it is the
// one that the settings name.
func inheritAdmin(in *hotrestart.Inherited, address string) net.Listener {
	if in == nil || in.Admin == 0 {
		return nil
	}
	f := os.NewFile(uintptr(in.Admin), "admin")
	in.Admin = 0
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil
	}
	if want, err := net.ResolveTCPAddr("tcp", address); err != nil || want.Port != 0 && want.Port != ln.Addr().(*net.TCPAddr).Port {
		ln.Close()
		return nil
	}
	return ln
}
