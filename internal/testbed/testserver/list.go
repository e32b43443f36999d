package testserver

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/trafficlog"
)

// ListConfig is how late the list service is. Spans are in ms.
type ListConfig struct {
	ID           string  `json:"id"`
	Listen       string  `json:"listen"`
	LagFrom      float64 `json:"lag_from"` // news of members reaches each router after so long
	LagTo        float64 `json:"lag_to"`
	PurgeFrom    float64 `json:"purge_from"` // news of purges
	PurgeTo      float64 `json:"purge_to"`
	PurgeTakes   float64 `json:"purge_takes"` // purges so recent are told to a router that connects
	StaleOnStart float64 `json:"stale"`       // a router that connects gets the list of so long ago
	Seed         uint64  `json:"seed"`
}

// List is a list service: it streams versioned news of members and purges to
// each router, late by design.
type List struct {
	cfg  ListConfig
	tap  *trafficlog.Writer
	ln   net.Listener
	http *http.Server
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	rng     *rand.Rand
	rev     int64
	log     []entry
	changed chan struct{}
	cut     map[string]float64 // when streams of a router (empty: of all) were to be cut in a line
	setBack int64              // the next full lists bear this much older a version
	down    float64            // until when it takes no stream
}

// entry is one thing that has happened; rows are whole.
type entry struct {
	t     float64
	rev   int64
	row   *engine.Row
	since float64 // when the row's start began, on the tap's clock; 0: long ago
	purge *engine.Purge
	made  float64
}

// StartList begins to serve. Later calls of Set and Purge are its news.
func StartList(cfg ListConfig, w *trafficlog.Writer) (*List, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.PurgeTakes <= 0 {
		cfg.PurgeTakes = 6000
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("standin %s: %w", cfg.ID, err)
	}
	l := &List{cfg: cfg, tap: w, ln: ln, done: make(chan struct{}), changed: make(chan struct{}),
		cut: map[string]float64{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0x1157))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /watch", l.watch)
	mux.HandleFunc("POST /-/news", l.post)
	l.http = &http.Server{Handler: mux}
	go l.http.Serve(ln)
	return l, nil
}

// Addr is where it serves.
func (l *List) Addr() string { return l.ln.Addr().String() }

// Close ends it and all its streams.
func (l *List) Close() {
	l.once.Do(func() { close(l.done); l.http.Close() })
}

func (l *List) add(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.t = trafficlog.Now()
	if e.row != nil {
		l.rev++ // a purge has no version: it can only be heeded too often
	}
	e.rev = l.rev
	l.log = append(l.log, e)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Set is news of one member. since is when its present start began, on the
// tap's clock; 0: long ago.
func (l *List) Set(row engine.Row, since float64) { l.add(entry{row: &row, since: since}) }

// Purge is news of a purge made at a time on the tap's clock.
func (l *List) Purge(object string, group int, made float64) {
	l.add(entry{purge: &engine.Purge{Object: object, Group: group}, made: made})
}

// Cut ends a router's stream in the middle of its next line; empty: all routers'.
func (l *List) Cut(router string) {
	l.mu.Lock()
	l.cut[router] = trafficlog.Now()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
}

// SetBack has full lists bear a version that is older by n, as a service does
// that has come back from an old backup; 0 ends that.
func (l *List) SetBack(n int64) { l.mu.Lock(); l.setBack = n; l.mu.Unlock() }

// Down takes no streams for so long.
func (l *List) Down(span float64) { l.mu.Lock(); l.down = trafficlog.Now() + span; l.mu.Unlock() }

// rows is the list as it was at a time, with its version.
func (l *List) rows(at float64) (rows []entry, rev int64) {
	last := map[string]entry{}
	for _, e := range l.log {
		if e.t > at {
			break
		}
		if rev = e.rev; e.row != nil {
			last[e.row.ID] = e
		}
	}
	for _, e := range last {
		if e.row.State != "removed" {
			rows = append(rows, e)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].row.ID < rows[j].row.ID })
	return rows, rev
}

func (e entry) told(now float64) engine.Row {
	r := *e.row
	if e.since > 0 {
		r.UptimeMillis = max(now-e.since, 0.001)
	}
	return r
}

// watch streams news to one router: first a full list, as old as its lag, then
// each change when it is due.
func (l *List) watch(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("router")
	flush, ok := w.(http.Flusher)
	if !ok || name == "" {
		http.Error(w, "standin: watch wants ?router=NAME", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	now := trafficlog.Now()
	down := now < l.down
	lag := l.cfg.LagFrom + l.rng.Float64()*(l.cfg.LagTo-l.cfg.LagFrom)
	purgeLag := l.cfg.PurgeFrom + l.rng.Float64()*(l.cfg.PurgeTo-l.cfg.PurgeFrom)
	seen := now - l.cfg.StaleOnStart
	rows, rev := l.rows(seen)
	if len(rows) == 0 { // nothing was known so long ago
		seen = now
		rows, rev = l.rows(seen)
	}
	at := 0
	for at < len(l.log) && l.log[at].t <= seen {
		at++
	}
	back := l.setBack
	l.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	send := func(n engine.Update, recs []trafficlog.Record) bool {
		line, err := json.Marshal(n)
		if err != nil {
			return false
		}
		l.mu.Lock()
		cut := max(l.cut[name], l.cut[""]) > now
		l.mu.Unlock()
		if cut {
			w.Write(line[:len(line)/2])
			flush.Flush()
			return false
		}
		t := trafficlog.Now()
		for _, rec := range recs {
			rec.Time, rec.Event, rec.Subject = t, trafficlog.UpdateSent, name
			l.tap.Add(rec)
		}
		_, err = w.Write(append(line, '\n'))
		flush.Flush()
		return err == nil
	}
	full := engine.Update{Rev: max(rev-back, 0), Kind: "full"}
	recs := []trafficlog.Record{{Note: "full"}}
	for _, e := range rows {
		full.Members = append(full.Members, e.told(now))
		recs = append(recs, trafficlog.Record{Source: e.row.ID, State: state(e.row.State), Start: e.row.Start})
	}
	if back > 0 {
		recs = []trafficlog.Record{{Note: "set back"}} // passed over by a router that knows more
	}
	if !send(full, recs) {
		return
	}
	l.mu.Lock()
	var recent []entry
	for _, e := range l.log[:at] {
		if e.purge != nil && now-e.made < l.cfg.PurgeTakes+1000 {
			recent = append(recent, e)
		}
	}
	l.mu.Unlock()
	for _, e := range recent {
		if !l.sendPurge(send, e) {
			return
		}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	var waiting []entry // in the order in which they are due
	for {
		l.mu.Lock()
		for ; at < len(l.log); at++ {
			waiting = append(waiting, l.log[at])
		}
		changed := l.changed
		cut := max(l.cut[name], l.cut[""]) > now
		l.mu.Unlock()
		if cut {
			w.Write([]byte(`{"rev":`))
			flush.Flush()
			return
		}
		sort.SliceStable(waiting, func(i, j int) bool { return due(waiting[i], lag, purgeLag) < due(waiting[j], lag, purgeLag) })
		now := trafficlog.Now()
		for len(waiting) > 0 && due(waiting[0], lag, purgeLag) <= now {
			e := waiting[0]
			waiting = waiting[1:]
			ok := true
			if e.purge != nil {
				ok = l.sendPurge(send, e)
			} else {
				ok = send(engine.Update{Rev: e.rev, Kind: "delta", Members: []engine.Row{e.told(now)}},
					[]trafficlog.Record{{Source: e.row.ID, State: state(e.row.State), Start: e.row.Start}})
			}
			if !ok {
				return
			}
		}
		wait := time.Hour
		if len(waiting) > 0 {
			wait = time.Duration(max(due(waiting[0], lag, purgeLag)-trafficlog.Now(), 0.2) * float64(time.Millisecond))
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func due(e entry, lag, purgeLag float64) float64 {
	if e.purge != nil {
		return e.t + purgeLag
	}
	return e.t + lag
}

func state(s string) string {
	if s == "" {
		return "serving"
	}
	return s
}

func (l *List) sendPurge(send func(engine.Update, []trafficlog.Record) bool, e entry) bool {
	p := *e.purge
	p.AgeMs = max(trafficlog.Now()-e.made, 0)
	return send(engine.Update{Rev: e.rev, Purge: &p}, []trafficlog.Record{{Object: p.Object, Group: p.Group, Created: e.made, Note: "purge"}})
}

// post takes news from outside: a row, or a purge; ?ago=MS says how long ago
// the member started, or the purge was made.
func (l *List) post(w http.ResponseWriter, r *http.Request) {
	var n engine.Update
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ago, _ := strconv.ParseFloat(r.URL.Query().Get("ago"), 64)
	now := trafficlog.Now()
	for _, row := range n.Members {
		since := 0.0
		if row.UptimeMillis > 0 {
			since = now - row.UptimeMillis
		}
		l.Set(row, since)
	}
	if n.Purge != nil {
		l.Purge(n.Purge.Object, n.Purge.Group, now-ago)
	}
	w.WriteHeader(http.StatusNoContent)
}
