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

// admin starts the admin interface for operators, on a loopback address or a Unix socket and on
// goroutines of its own: PURGE of an object, or of a group with ?group=, /state and /members.
func (e *Edge) admin() (stop func(), err error) {
	network, address := "tcp", e.settings.Router.Admin
	if strings.HasPrefix(address, "/") {
		network = "unix"
		if st, err := os.Stat(address); err == nil && st.Mode()&os.ModeSocket != 0 {
			os.Remove(address) // left by an earlier process
		}
	}
	listener := inheritAdmin(e.inherited, address)
	if listener == nil {
		if listener, err = net.Listen(network, address); err != nil {
			return nil, fmt.Errorf("edge: admin listener %s: %w", address, err)
		}
	}
	switch ln := listener.(type) {
	case *net.TCPListener:
		if e.settings.Router.HotRestartSocket != "" {
			e.adminFile, _ = ln.File()
		}
	case *net.UnixListener:
		ln.SetUnlinkOnClose(false) // the path may belong to a successor by then
	}
	e.adminAddr.Store(listener.Addr().String())
	mux := http.NewServeMux()
	mux.HandleFunc("PURGE /", e.adminPurge)
	mux.HandleFunc("GET /state", e.adminState)
	mux.HandleFunc("GET /members", e.adminMembers)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go srv.Serve(listener)
	return func() { srv.Close() }, nil
}

// AdminAddr returns the address of the admin interface, once the router runs.
func (e *Edge) AdminAddr() string {
	s, _ := e.adminAddr.Load().(string)
	return s
}

func (e *Edge) adminPurge(w http.ResponseWriter, req *http.Request) {
	purge := &engine.Purge{Object: req.URL.Path}
	if group := req.URL.Query().Get("group"); group != "" {
		purge = &engine.Purge{Group: engine.GroupNumber(group)}
	}
	e.forwardPurge(purge)
	if err := e.Query(func(*Stats, *engine.Core) { e.applyUpdate(&engine.Update{Purge: purge}) }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// reply sends v as JSON, or err as status 503.
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
	err := e.Query(func(stats *Stats, core *engine.Core) {
		out["name"], out["stats"], out["list_rev"], out["lag_ms"] = e.name, *stats, core.Rev(), e.loop.Lag()
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

// versionsView returns the status of the config versions as /state shows it.
func versionsView(status service.AgentStatus) map[string]any {
	list := []map[string]any{}
	for _, version := range status.Versions {
		entry := map[string]any{"number": version.Number, "state": version.State.String(), "service": version.Service}
		if len(version.Reasons) > 0 {
			lines := []string{}
			for _, reason := range version.Reasons {
				lines = append(lines, reason.String())
			}
			entry["reasons"] = lines
		}
		list = append(list, entry)
	}
	out := map[string]any{"running": status.Running, "accepted": status.Accepted, "service": status.Service, "stream": status.StreamState,
		"unconfirmed_ms": status.Age, "list": list}
	if status.NotStored > 0 {
		out["not_stored"] = status.NotStored
	}
	if status.StoreFault != nil {
		out["store_fault"], out["store_fault_since"] = status.StoreFault.Error(), status.StoreFaultSince.UTC()
	}
	return out
}

func (e *Edge) adminMembers(w http.ResponseWriter, _ *http.Request) {
	type row struct { // its field names are the JSON keys
		ID, Zone, Kind, State, Address string
		Idle, Open, Waiting            int
	}
	rows := []row{}
	states := map[spool.State]string{spool.Serving: "serving", spool.Draining: "draining", spool.Removed: "removed"}
	err := e.Query(func(_ *Stats, core *engine.Core) {
		core.Members(func(member spool.Member, address string) {
			entry := row{ID: member.ID, Zone: member.Zone, Kind: member.Kind, State: states[member.State], Address: address}
			if p := e.pools[address]; p != nil {
				entry.Idle, entry.Open, entry.Waiting = len(p.idle), len(p.connections), len(p.waiting)
			}
			rows = append(rows, entry)
		})
	})
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	reply(w, err, rows)
}
