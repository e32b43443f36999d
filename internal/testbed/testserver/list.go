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
	cfg        ListConfig
	trafficLog *trafficlog.Writer
	listener   net.Listener
	http       *http.Server
	done       chan struct{}
	once       sync.Once

	mu               sync.Mutex
	rng              *rand.Rand
	rev              int64
	log              []entry
	changed          chan struct{}
	cutAt            map[string]float64 // when streams of a router (empty: of all) were to be cut in a line
	rollback         int64              // the next full lists bear this much older a version
	unavailableUntil float64            // until when it takes no stream
}

// entry is one thing that has happened; rows are whole.
type entry struct {
	time      float64
	rev       int64
	row       *engine.Row
	startedAt float64 // when the row's start began, on the tap's clock; 0: long ago
	purge     *engine.Purge
	madeAt    float64
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
	l := &List{cfg: cfg, trafficLog: w, listener: ln, done: make(chan struct{}), changed: make(chan struct{}),
		cutAt: map[string]float64{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0x1157))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /watch", l.watch)
	mux.HandleFunc("POST /-/news", l.handleUpdate)
	l.http = &http.Server{Handler: mux}
	go l.http.Serve(ln)
	return l, nil
}

// Addr is where it serves.
func (l *List) Addr() string { return l.listener.Addr().String() }

// Close ends it and all its streams.
func (l *List) Close() {
	l.once.Do(func() { close(l.done); l.http.Close() })
}

func (l *List) addEntry(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.time = trafficlog.Now()
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
func (l *List) Set(row engine.Row, since float64) { l.addEntry(entry{row: &row, startedAt: since}) }

// Purge is news of a purge made at a time on the tap's clock.
func (l *List) Purge(object string, group int, made float64) {
	l.addEntry(entry{purge: &engine.Purge{Object: object, Group: group}, madeAt: made})
}

// Cut ends a router's stream in the middle of its next line; empty: all routers'.
func (l *List) Cut(router string) {
	l.mu.Lock()
	l.cutAt[router] = trafficlog.Now()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
}

// SetBack has full lists bear a version that is older by n, as a service does
// that has come back from an old backup; 0 ends that.
func (l *List) SetBack(n int64) { l.mu.Lock(); l.rollback = n; l.mu.Unlock() }

// Down takes no streams for so long.
func (l *List) Down(span float64) {
	l.mu.Lock()
	l.unavailableUntil = trafficlog.Now() + span
	l.mu.Unlock()
}

// rows is the list as it was at a time, with its version.
func (l *List) rows(at float64) (rows []entry, rev int64) {
	last := map[string]entry{}
	for _, e := range l.log {
		if e.time > at {
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

func (e entry) rowAt(now float64) engine.Row {
	row := *e.row
	if e.startedAt > 0 {
		row.UptimeMillis = max(now-e.startedAt, 0.001)
	}
	return row
}

// watch streams news to one router: first a full list, as old as its lag, then
// each change when it is due.
func (l *List) watch(w http.ResponseWriter, r *http.Request) {
	router := r.URL.Query().Get("router")
	flusher, ok := w.(http.Flusher)
	if !ok || router == "" {
		http.Error(w, "standin: watch wants ?router=NAME", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	now := trafficlog.Now()
	down := now < l.unavailableUntil
	lag := l.cfg.LagFrom + l.rng.Float64()*(l.cfg.LagTo-l.cfg.LagFrom)
	purgeLag := l.cfg.PurgeFrom + l.rng.Float64()*(l.cfg.PurgeTo-l.cfg.PurgeFrom)
	listTime := now - l.cfg.StaleOnStart
	rows, rev := l.rows(listTime)
	if len(rows) == 0 { // nothing was known so long ago
		listTime = now
		rows, rev = l.rows(listTime)
	}
	next := 0
	for next < len(l.log) && l.log[next].time <= listTime {
		next++
	}
	rollback := l.rollback
	l.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	send := func(update engine.Update, records []trafficlog.Record) bool {
		line, err := json.Marshal(update)
		if err != nil {
			return false
		}
		l.mu.Lock()
		cut := max(l.cutAt[router], l.cutAt[""]) > now
		l.mu.Unlock()
		if cut {
			w.Write(line[:len(line)/2])
			flusher.Flush()
			return false
		}
		t := trafficlog.Now()
		for _, rec := range records {
			rec.Time, rec.Event, rec.Subject = t, trafficlog.UpdateSent, router
			l.trafficLog.Add(rec)
		}
		_, err = w.Write(append(line, '\n'))
		flusher.Flush()
		return err == nil
	}
	full := engine.Update{Rev: max(rev-rollback, 0), Kind: "full"}
	records := []trafficlog.Record{{Note: "full"}}
	for _, e := range rows {
		full.Members = append(full.Members, e.rowAt(now))
		records = append(records, trafficlog.Record{Source: e.row.ID, State: stateName(e.row.State), Start: e.row.Start})
	}
	if rollback > 0 {
		records = []trafficlog.Record{{Note: "set back"}} // passed over by a router that knows more
	}
	if !send(full, records) {
		return
	}
	l.mu.Lock()
	var recent []entry
	for _, e := range l.log[:next] {
		if e.purge != nil && now-e.madeAt < l.cfg.PurgeTakes+1000 {
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
	var pending []entry // in the order in which they are due
	for {
		l.mu.Lock()
		for ; next < len(l.log); next++ {
			pending = append(pending, l.log[next])
		}
		changed := l.changed
		cut := max(l.cutAt[router], l.cutAt[""]) > now
		l.mu.Unlock()
		if cut {
			w.Write([]byte(`{"rev":`))
			flusher.Flush()
			return
		}
		sort.SliceStable(pending, func(i, j int) bool { return due(pending[i], lag, purgeLag) < due(pending[j], lag, purgeLag) })
		now := trafficlog.Now()
		for len(pending) > 0 && due(pending[0], lag, purgeLag) <= now {
			e := pending[0]
			pending = pending[1:]
			ok := true
			if e.purge != nil {
				ok = l.sendPurge(send, e)
			} else {
				ok = send(engine.Update{Rev: e.rev, Kind: "delta", Members: []engine.Row{e.rowAt(now)}},
					[]trafficlog.Record{{Source: e.row.ID, State: stateName(e.row.State), Start: e.row.Start}})
			}
			if !ok {
				return
			}
		}
		wait := time.Hour
		if len(pending) > 0 {
			wait = time.Duration(max(due(pending[0], lag, purgeLag)-trafficlog.Now(), 0.2) * float64(time.Millisecond))
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
		return e.time + purgeLag
	}
	return e.time + lag
}

func stateName(s string) string {
	if s == "" {
		return "serving"
	}
	return s
}

func (l *List) sendPurge(send func(engine.Update, []trafficlog.Record) bool, e entry) bool {
	purge := *e.purge
	purge.AgeMs = max(trafficlog.Now()-e.madeAt, 0)
	return send(engine.Update{Rev: e.rev, Purge: &purge}, []trafficlog.Record{{Object: purge.Object, Group: purge.Group, Created: e.madeAt, Note: "purge"}})
}

// handleUpdate takes news from outside: a row, or a purge; ?ago=MS says how long ago
// the member started, or the purge was made.
func (l *List) handleUpdate(w http.ResponseWriter, r *http.Request) {
	var update engine.Update
	if err := json.NewDecoder(r.Body).Decode(&update); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ago, _ := strconv.ParseFloat(r.URL.Query().Get("ago"), 64)
	now := trafficlog.Now()
	for _, row := range update.Members {
		startedAt := 0.0
		if row.UptimeMillis > 0 {
			startedAt = now - row.UptimeMillis
		}
		l.Set(row, startedAt)
	}
	if update.Purge != nil {
		l.Purge(update.Purge.Object, update.Purge.Group, now-ago)
	}
	w.WriteHeader(http.StatusNoContent)
}
