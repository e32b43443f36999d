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

// TakeOver returns a router that takes over from the predecessor which listens at the settings'
// handover path, or an ordinary router if there is none. The router continues with the learned
// state of the predecessor, or starts without one if that cannot be decoded.
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

// contactPredecessor connects to the predecessor at the settings' handover path, and receives
// its sockets and its state. It returns nil if there is no predecessor.
func contactPredecessor(settings *config.Settings) (*hotrestart.Inherited, error) {
	if settings.Router.HotRestartSocket == "" {
		return nil, nil
	}
	inherited, err := hotrestart.TakeOver(settings.Router.HotRestartSocket)
	if errors.Is(err, hotrestart.ErrNoPredecessor) {
		return nil, nil
	}
	return inherited, err
}

// inheritListener takes over the listening socket of a predecessor if it is bound to the address
// of the settings.
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
		return 0, "", false // the listen address has changed
	}
	fd, inherited.Listener = inherited.Listener, 0
	unix.SetNonblock(fd, true) // the predecessor's runtime may have made it blocking
	return fd, bound, true
}

// restoreLearnedState restores the predecessor's learned state. It runs on the loop before the
// first update.
func (e *Edge) restoreLearnedState() {
	if e.inherited == nil {
		return
	}
	var records []limits.AddressRecord
	if len(e.inherited.Clients) > 0 {
		if err := json.Unmarshal(e.inherited.Clients, &records); err != nil {
			e.log.Log.Warn("cannot decode the predecessor's reputation records; starting without them", zap.Error(err))
		}
		e.guard.reputation.Restore(records, e.loop.Now())
	}
	if len(e.inherited.LearnedState) == 0 {
		return
	}
	state, err := learnedstate.Decode(e.inherited.LearnedState)
	if err != nil {
		e.log.Log.Warn("cannot decode the predecessor's learned state; starting without it", zap.Error(err))
		return
	}
	actions := e.core.Restore(e.loop.Now(), state, nil)
	for i := range actions {
		e.execute(actions[i])
	}
	e.log.Log.Info("restored the predecessor's learned state", zap.Int("members", len(state.Members)), zap.Int("bytes", len(e.inherited.LearnedState)))
}

// ackedUnknown is lower than any count of acknowledged bytes that clientConn.acknowledged returns
// for a connection that a predecessor has passed. The send buffer may still hold responses of the
// predecessor, which writtenBytes does not count, so the count of acknowledged bytes may be negative.
const ackedUnknown = -1 << 40

// announceServing tells the predecessor that this router serves, and from then on takes over the
// connections and the purges that the predecessor passes.
func (e *Edge) announceServing() error {
	if e.inherited == nil {
		return nil
	}
	// Set before the predecessor may pass connections, so that this router does not end before its
	// predecessor if it is told to drain.
	if err := e.loop.Post(func() { e.predecessorRuns = true }); err != nil {
		return err
	}
	err := e.inherited.Ready(func(fd int) { // a connection that the predecessor passes
		for {
			err := e.loop.Post(func() {
				if e.draining { // pass the connection on to this router's own successor, if there is one
					if e.successor == nil || !e.successor.SendConn(fd) {
						unix.Close(fd)
					}
					return
				}
				sockaddr, err := unix.Getpeername(fd)
				if err != nil {
					unix.Close(fd) // the client has left
					return
				}
				unix.SetNonblock(fd, true)
				e.stats.HandedIn++
				if c := e.addClient(fd, addressOf(sockaddr), true); c != nil {
					c.ackedBytes, c.ackedAtTimeout = ackedUnknown, ackedUnknown
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
	}, func(encodedPurge []byte) { // a note: a purge that the predecessor received
		var purge engine.Purge
		if json.Unmarshal(encodedPurge, &purge) == nil {
			e.Query(func(*Stats, *engine.Core) { // runs on the loop, and waits for it
				e.applyUpdate(&engine.Update{Purge: &purge})
				if e.successor != nil {
					e.successor.SendNote(&purge)
				}
			})
		}
	}, func() { // the predecessor has closed the connection
		e.predecessorReachable.Store(false)
		e.log.Log.Info("the predecessor has ended")
		e.loop.Post(func() {
			e.predecessorRuns = false
			e.checkDrained()
		})
	})
	if err == nil {
		e.predecessorReachable.Store(true) // from now on config versions and purges are forwarded to it
		if e.configClient != nil {
			e.configClient.agent.Connect()
		}
	}
	return err
}

// forwardVersion sends a config version to a predecessor that still drains, which has no other
// way to learn that members leave.
func (e *Edge) forwardVersion(version configversion.Version) {
	if !e.predecessorReachable.Load() { // before this router serves, the predecessor follows the config service itself
		return
	}
	encoded, err := json.Marshal(version)
	if err == nil {
		err = e.inherited.SendConfigVersion(encoded)
	}
	if err != nil && e.predecessorReachable.Swap(false) {
		e.log.Log.Warn("cannot send a config version to the predecessor", zap.Int64("version", version.Number), zap.Error(err))
	}
}

// forwardPurge sends a purge, which only this router received, to a predecessor that still
// drains, so that its requests in flight get no older copy either.
func (e *Edge) forwardPurge(purge *engine.Purge) {
	if !e.predecessorReachable.Load() {
		return
	}
	if err := e.inherited.SendNote(purge); err != nil && e.predecessorReachable.Swap(false) {
		e.log.Log.Warn("cannot send a purge to the predecessor", zap.Error(err))
	}
}

// receivePurge applies a purge that the successor has forwarded.
func (e *Edge) receivePurge(encoded []byte) {
	var purge engine.Purge
	if json.Unmarshal(encoded, &purge) != nil {
		return
	}
	e.Query(func(*Stats, *engine.Core) { e.applyUpdate(&engine.Update{Purge: &purge}) }) // Query runs it on the loop and waits
	e.forwardPurge(&purge)
}

// receiveVersion activates a config version that the successor has forwarded.
func (e *Edge) receiveVersion(encoded []byte) {
	var version configversion.Version
	err := json.Unmarshal(encoded, &version)
	settings := &config.Settings{}
	if err == nil {
		err = config.ReadVersion("successor", string(version.Body), e.configClient.local, settings)
	}
	if err != nil {
		e.log.Log.Warn("cannot read the config version of the successor", zap.Error(err))
		return
	}
	e.loop.Post(func() { e.activateVersion(configversion.Activate{Version: version, Settings: settings}) })
	e.forwardVersion(version) // this router's own predecessor may still drain
}

// offerHandover begins to listen for a successor at the settings' handover path.
func (e *Edge) offerHandover() error {
	path := e.settings.Router.HotRestartSocket
	if path == "" {
		return nil
	}
	server, err := hotrestart.Listen(hotrestart.Options{Path: path, ReadyTimeout: time.Duration(e.settings.Limits.SuccessorTimeout) * time.Millisecond,
		Prepare: func() (handover *hotrestart.Handover, err error) {
			queryErr := e.loop.Call(5*time.Second, func() { handover, err = e.prepareHandover() })
			if err = errors.Join(queryErr, err); err == nil && e.configClient != nil {
				if version := e.configClient.agent.Accepted(); version.Number > 0 {
					handover.ConfigVersion, err = json.Marshal(version)
				}
				e.configClient.releaseStore() // the config store, which the successor opens
			}
			return handover, err
		},
		OnServing: func(successor *hotrestart.Sender) {
			if e.configClient != nil {
				e.configClient.agent.Close() // the successor follows the control services from now on
			}
			if e.loop.Call(5*time.Second, func() { e.drainTo(successor) }) != nil {
				successor.Close()
			}
		},
		OnFailure: func(error) {
			e.loop.Call(5*time.Second, func() {
				e.handingOver, e.purgesDuringHandover = false, nil
				e.dispatch(spool.Retired{}) // the module uses slow-start tokens again
			})
			go e.configClient.reacquireStore() // the config store; on a goroutine, since it may have to try again
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

// prepareHandover returns the sockets and the state for a successor. From then on, until OnFailure,
// only the successor uses the slow-start tokens of members.
func (e *Edge) prepareHandover() (*hotrestart.Handover, error) {
	if e.draining {
		return nil, errors.New("this router is already draining")
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
	e.dispatch(spool.Retired{On: true}) // the module uses no slow-start tokens while a successor does
	handover := &hotrestart.Handover{Listener: e.listenFD, LearnedState: state, Clients: records}
	if e.adminFile != nil {
		handover.Admin = int(e.adminFile.Fd())
		unix.SetNonblock(handover.Admin, true) // File.Fd makes the open socket blocking, which the admin listener shares
	}
	e.log.Log.Info("a successor is taking over", zap.Int("bytes", len(state)))
	return handover, nil
}

// drainTo begins to drain in favour of a successor that serves. The router accepts no more
// connections, and hands over each connection as soon as it is between requests.
func (e *Edge) drainTo(successor *hotrestart.Sender) {
	if e.draining {
		go successor.Close()
		return
	}
	for i := range e.purgesDuringHandover { // the successor's learned state does not contain these
		successor.SendNote(&e.purgesDuringHandover[i])
	}
	e.handingOver, e.purgesDuringHandover, e.successor = false, nil, successor
	if e.stopAdmin != nil {
		go e.stopAdmin()
		e.stopAdmin = nil
	}
	e.log.Log.Info("draining for the successor", zap.Int("connections", len(e.clients)))
	e.drainNow()
}

// handOver passes a connection that is between requests to the successor. It reports false if
// the connection stays here.
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

// inheritAdmin returns the admin listener of a predecessor if its port is that of the settings,
// and else nil.
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
