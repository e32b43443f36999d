package httpfront

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	spool "indigospool"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/proxy/engine"
)

// admin serves operators on a loopback address or a Unix socket, by goroutines
// of its own: PURGE of an object (or of a group by ?group=), /state and /members.
func (e *Edge) admin() (stop func(), err error) {
	network, address := "tcp", e.settings.Router.Admin
	if strings.HasPrefix(address, "/") {
		network = "unix"
		if st, err := os.Stat(address); err == nil && st.Mode()&os.ModeSocket != 0 {
			os.Remove(address) // of an earlier life
		}
	}
	ln := inheritAdmin(e.inherited, address)
	if ln == nil {
		if ln, err = net.Listen(network, address); err != nil {
			return nil, fmt.Errorf("edge: admin listener %s: %w", address, err)
		}
	}
	switch ln := ln.(type) {
	case *net.TCPListener:
		if e.settings.Router.Handover != "" {
			e.adminFile, _ = ln.File()
		}
	case *net.UnixListener:
		ln.SetUnlinkOnClose(false) // it may be a successor's by then
	}
	e.adminAddr.Store(ln.Addr().String())
	mux := http.NewServeMux()
	mux.HandleFunc("PURGE /", e.adminPurge)
	mux.HandleFunc("GET /state", e.adminState)
	mux.HandleFunc("GET /members", e.adminMembers)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go srv.Serve(ln)
	return func() { srv.Close() }, nil
}

// AdminAddr is where operators reach the router, once it runs.
func (e *Edge) AdminAddr() string {
	s, _ := e.adminAddr.Load().(string)
	return s
}

func (e *Edge) adminPurge(w http.ResponseWriter, r *http.Request) {
	p := &engine.Purge{Object: r.URL.Path}
	if g := r.URL.Query().Get("group"); g != "" {
		p = &engine.Purge{Group: engine.GroupNumber(g)}
	}
	e.forwardPurge(p)
	if err := e.Query(func(*Stats, *engine.Core) { e.applyUpdate(&engine.Update{Purge: p}) }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, err error, v any) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (e *Edge) adminState(w http.ResponseWriter, _ *http.Request) {
	out := map[string]any{}
	err := e.Query(func(s *Stats, c *engine.Core) {
		out["name"], out["stats"], out["list_rev"], out["lag_ms"] = e.name, *s, c.Rev(), e.loop.Lag()
		out["version"] = e.version
		guard := e.guard
		out["limits"] = map[string]any{"cut": guard.counts.Map(), "memory": guard.memory.Map(), "memory_used": guard.memory.Used(), "memory_most": guard.memory.Peak,
			"sockets": guard.unread.Held, "sockets_most": guard.unread.Peak,
			"in_hand_limit": guard.admission.Limit(), "overloaded": guard.admission.Overloaded(), "wait_ms": guard.admission.LastWait, "ready": guard.scheduler.Len(), "connections_limit": guard.maxClients,
			"spared": guard.massSlowness.Spared, "slow_ms": e.loop.SlowTime()}
		out["pages"] = len(e.pages)
		out["draining"], out["timers"] = e.draining, e.loop.Timers()
	})
	if e.journal != nil {
		out["journal_lost"] = e.journal.Lost()
	}
	if e.configClient != nil {
		out["versions"] = versionsView(e.configClient.agent.Status())
	}
	out["list"], out["log_dropped"] = e.listState.Load(), strconv.FormatUint(e.log.Dropped(), 10)
	reply(w, err, out)
}

// versionsView is what is known of versions, as /state has it.
func versionsView(st service.AgentStatus) map[string]any {
	list := []map[string]any{}
	for _, r := range st.Versions {
		one := map[string]any{"number": r.Number, "state": r.State.String(), "service": r.Service}
		if len(r.Reasons) > 0 {
			lines := []string{}
			for _, why := range r.Reasons {
				lines = append(lines, why.String())
			}
			one["reasons"] = lines
		}
		list = append(list, one)
	}
	out := map[string]any{"running": st.Running, "accepted": st.Accepted, "service": st.Service, "stream": st.StreamState,
		"unconfirmed_ms": st.Age, "list": list}
	if st.NotStored > 0 {
		out["not_stored"] = st.NotStored
	}
	if st.StoreFault != nil {
		out["store_fault"], out["store_fault_since"] = st.StoreFault.Error(), st.StoreFaultSince.UTC()
	}
	return out
}

func (e *Edge) adminMembers(w http.ResponseWriter, _ *http.Request) {
	type row struct {
		ID, Zone, Kind, State, Address string
		Idle, Open, Waiting            int
	}
	rows := []row{}
	states := map[spool.State]string{spool.Serving: "serving", spool.Draining: "draining", spool.Removed: "removed"}
	err := e.Query(func(_ *Stats, c *engine.Core) {
		c.Members(func(m spool.Member, address string) {
			one := row{ID: m.ID, Zone: m.Zone, Kind: m.Kind, State: states[m.State], Address: address}
			if p := e.pools[address]; p != nil {
				one.Idle, one.Open, one.Waiting = len(p.idle), len(p.connections), len(p.waiting)
			}
			rows = append(rows, one)
		})
	})
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	reply(w, err, rows)
}
