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
func TakeOver(settings *config.Settings, log *AccessLog) (*Edge, error) {
	inherited, err := contactPredecessor(settings)
	if err != nil {
		return nil, err
	}
	e, err := newEdge(settings, log, inherited)
	if err != nil && inherited != nil {
		inherited.Abort()
	}
	return e, err
}

// contactPredecessor asks the one that offers at the settings' handover path; nil: nobody does.
func contactPredecessor(settings *config.Settings) (*hotrestart.Inherited, error) {
	if settings.Router.Handover == "" {
		return nil, nil
	}
	inherited, err := hotrestart.TakeOver(settings.Router.Handover)
	if errors.Is(err, hotrestart.ErrNoPredecessor) {
		return nil, nil
	}
	return inherited, err
}

// inheritListener takes the listening socket of a predecessor, where it is bound the address
// that the settings name.
func inheritListener(inherited *hotrestart.Inherited, address string) (fd int, bound string, ok bool) {
	if inherited == nil || inherited.Listener == 0 {
		return 0, "", false
	}
	sockaddr, err := unix.Getsockname(inherited.Listener)
	if err != nil {
		return 0, "", false
	}
	port := 0
	switch a := sockaddr.(type) {
	case *unix.SockaddrInet4:
		port = a.Port
	case *unix.SockaddrInet6:
		port = a.Port
	}
	bound = net.JoinHostPort(addressOf(sockaddr).String(), fmt.Sprint(port))
	want, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || want.Port != 0 && want.Port != port || len(want.IP) > 0 && !want.IP.Equal(net.IP(addressOf(sockaddr).AsSlice())) {
		return 0, "", false // it is told to listen elsewhere
	}
	fd, inherited.Listener = inherited.Listener, 0
	unix.SetNonblock(fd, true) // whatever the giver's runtime has made of it
	return fd, bound, true
}

// restoreLearnedState goes on from the predecessor's memory, on the loop, before any news.
func (e *Edge) restoreLearnedState() {
	if e.inherited == nil {
		return
	}
	var records []limits.AddressRecord
	if len(e.inherited.Clients) > 0 {
		if err := json.Unmarshal(e.inherited.Clients, &records); err != nil {
			e.log.Log.Warn("what the predecessor knew of clients is not used", zap.Error(err))
		}
		e.guard.reputation.Restore(records, e.loop.Now())
	}
	if len(e.inherited.LearnedState) == 0 {
		return
	}
	state, err := learnedstate.Decode(e.inherited.LearnedState)
	if err != nil {
		e.log.Log.Warn("the predecessor's memory is not used: this router starts as new", zap.Error(err))
		return
	}
	actions := e.core.Restore(e.loop.Now(), state, nil)
	for i := range actions {
		e.execute(actions[i])
	}
	e.log.Log.Info("goes on from its predecessor", zap.Int("members", len(state.Members)), zap.Int("bytes", len(e.inherited.LearnedState)))
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
				sockaddr, err := unix.Getpeername(fd)
				if err != nil {
					unix.Close(fd) // its client has gone meanwhile
					return
				}
				unix.SetNonblock(fd, true)
				e.stats.HandedIn++
				if c := e.addClient(fd, addressOf(sockaddr), true); c != nil {
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
		var purge engine.Purge
		if json.Unmarshal(note, &purge) == nil {
			e.Query(func(*Stats, *engine.Core) {
				e.applyUpdate(&engine.Update{Purge: &purge})
				if e.successor != nil {
					e.successor.SendNote(&purge)
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
func (e *Edge) forwardVersion(version configversion.Version) {
	if !e.predecessorReachable.Load() { // until this one serves it follows the service itself
		return
	}
	encoded, err := json.Marshal(version)
	if err == nil {
		err = e.inherited.SendConfigVersion(encoded)
	}
	if err != nil && e.predecessorReachable.Swap(false) {
		e.log.Log.Warn("the predecessor is not told of a version", zap.Int64("version", version.Number), zap.Error(err))
	}
}

// forwardPurge has a predecessor that still drains know of a purge that came to this
// router only: its requests in hand may get no older copy either.
func (e *Edge) forwardPurge(purge *engine.Purge) {
	if !e.predecessorReachable.Load() {
		return
	}
	if err := e.inherited.SendNote(purge); err != nil && e.predecessorReachable.Swap(false) {
		e.log.Log.Warn("the predecessor is not told of a purge", zap.Error(err))
	}
}

// receivePurge goes by a purge that came to the successor.
func (e *Edge) receivePurge(encoded []byte) {
	var purge engine.Purge
	if json.Unmarshal(encoded, &purge) != nil {
		return
	}
	e.Query(func(*Stats, *engine.Core) { e.applyUpdate(&engine.Update{Purge: &purge}) })
	e.forwardPurge(&purge)
}

// receiveVersion goes by a version that the successor goes by.
func (e *Edge) receiveVersion(encoded []byte) {
	var version configversion.Version
	err := json.Unmarshal(encoded, &version)
	settings := &config.Settings{}
	if err == nil {
		err = config.ReadVersion("successor", string(version.Body), e.configClient.local, settings)
	}
	if err != nil {
		e.log.Log.Warn("the successor's version is not used", zap.Error(err))
		return
	}
	e.loop.Post(func() { e.activateVersion(configversion.Activate{Version: version, Settings: settings}) })
	e.forwardVersion(version) // its own predecessor may still drain, too
}

// offerHandover waits for a successor, from now on.
func (e *Edge) offerHandover() error {
	path := e.settings.Router.Handover
	if path == "" {
		return nil
	}
	server, err := hotrestart.Listen(hotrestart.Options{Path: path, ReadyTimeout: time.Duration(e.settings.Limits.Successor) * time.Millisecond,
		Prepare: func() (handover *hotrestart.Handover, err error) {
			queryErr := e.loop.Call(5*time.Second, func() { handover, err = e.prepareHandover() })
			if err = errors.Join(queryErr, err); err == nil && e.configClient != nil {
				if version := e.configClient.agent.Accepted(); version.Number > 0 {
					handover.ConfigVersion, err = json.Marshal(version)
				}
				e.configClient.releaseStore()
			}
			return handover, err
		},
		OnServing: func(successor *hotrestart.Sender) {
			if e.configClient != nil {
				e.configClient.agent.Close() // the successor follows from now on
			}
			if e.loop.Call(5*time.Second, func() { e.drainTo(successor) }) != nil {
				successor.Close()
			}
		},
		OnFailure: func(error) {
			e.loop.Call(5*time.Second, func() {
				e.handingOver, e.purgesDuringHandover = false, nil
				e.dispatch(spool.Retired{})
			})
			go e.configClient.reacquireStore()
		},
		OnConfigVersion: func(encoded []byte) {
			if e.configClient != nil {
				e.receiveVersion(encoded)
			}
		},
		OnNote: e.receivePurge,
		Warn:   func(text string) { e.log.Log.Warn(text) }})
	if err != nil {
		return err
	}
	e.handoverServer = server
	return nil
}

// prepareHandover is what a successor gets first. From now on cold budgets are its to spend.
func (e *Edge) prepareHandover() (*hotrestart.Handover, error) {
	if e.draining {
		return nil, errors.New("this router drains already")
	}
	state, err := learnedstate.Encode(e.core.LearnedState())
	if err != nil {
		return nil, err
	}
	records, err := json.Marshal(e.guard.reputation.Records(e.loop.Now()))
	if err != nil {
		return nil, err
	}
	e.handingOver, e.purgesDuringHandover = true, nil
	e.dispatch(spool.Retired{On: true})
	handover := &hotrestart.Handover{Listener: e.listenFD, LearnedState: state, Clients: records}
	if e.adminFile != nil {
		handover.Admin = int(e.adminFile.Fd())
		unix.SetNonblock(handover.Admin, true) // Fd has ended that, for the listener too
	}
	e.log.Log.Info("a successor takes over", zap.Int("bytes", len(state)))
	return handover, nil
}

// drainTo drains for a successor that serves: nothing is accepted here any more, and
// connections go successor it, each once it is between requests.
func (e *Edge) drainTo(successor *hotrestart.Sender) {
	if e.draining {
		go successor.Close()
		return
	}
	for i := range e.purgesDuringHandover { // what was purged since the memory was taken
		successor.SendNote(&e.purgesDuringHandover[i])
	}
	e.handingOver, e.purgesDuringHandover, e.successor = false, nil, successor
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
func inheritAdmin(inherited *hotrestart.Inherited, address string) net.Listener {
	if inherited == nil || inherited.Admin == 0 {
		return nil
	}
	file := os.NewFile(uintptr(inherited.Admin), "admin")
	inherited.Admin = 0
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil
	}
	if want, err := net.ResolveTCPAddr("tcp", address); err != nil || want.Port != 0 && want.Port != listener.Addr().(*net.TCPAddr).Port {
		listener.Close()
		return nil
	}
	return listener
}
