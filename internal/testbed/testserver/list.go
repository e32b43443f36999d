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

// ListServiceConfig configures a list service. Durations are in ms. The delays are drawn once for each
// stream.
type ListServiceConfig struct {
	ID             string  `json:"id"`
	Listen         string  `json:"listen"`
	LagFrom        float64 `json:"lag_from"`    // minimum delay of updates of members
	LagTo          float64 `json:"lag_to"`      // maximum delay of updates of members
	PurgeFrom      float64 `json:"purge_from"`  // minimum delay of purges
	PurgeTo        float64 `json:"purge_to"`    // maximum delay of purges
	PurgeWindow    float64 `json:"purge_takes"` // a router that connects is sent the purges of this last period
	InitialListAge float64 `json:"stale"`       // age of the full list that a router gets when it connects
	Seed           uint64  `json:"seed"`
}

// ListService is a list service. It streams updates of members, which carry a revision, and purges to
// each router, with configured delays.
type ListService struct {
	cfg        ListServiceConfig
	trafficLog *trafficlog.Writer
	listener   net.Listener
	http       *http.Server
	done       chan struct{}
	once       sync.Once

	mu               sync.Mutex
	rng              *rand.Rand
	rev              int64
	log              []entry
	changed          chan struct{}      // closed and replaced to wake up the streams
	cutAt            map[string]float64 // by router (empty: all routers): streams that began before this time are cut within a line
	rollback         int64              // subtracted from the revision of full lists
	unavailableUntil float64            // new streams are rejected until this time
}

// entry is one update of a member or one purge. Times are in ms on the clock of trafficlog.Now.
type entry struct {
	time      float64
	rev       int64
	row       *engine.Row // the complete row; nil for a purge
	startedAt float64     // when the member's process started; 0: unknown
	purge     *engine.Purge
	madeAt    float64
}

// StartListService starts a list service that writes to the traffic log w. Set and Purge add its
// updates.
func StartListService(cfg ListServiceConfig, w *trafficlog.Writer) (*ListService, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.PurgeWindow <= 0 {
		cfg.PurgeWindow = 6000
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("testserver: %s: %w", cfg.ID, err)
	}
	l := &ListService{cfg: cfg, trafficLog: w, listener: listener, done: make(chan struct{}), changed: make(chan struct{}),
		cutAt: map[string]float64{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0x1157))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /watch", l.watch)
	mux.HandleFunc("POST /-/news", l.handleUpdate)
	l.http = &http.Server{Handler: mux}
	go l.http.Serve(listener)
	return l, nil
}

// Addr returns the address that the service listens on.
func (l *ListService) Addr() string { return l.listener.Addr().String() }

// Close stops the service and closes all streams.
func (l *ListService) Close() {
	l.once.Do(func() { close(l.done); l.http.Close() })
}

func (l *ListService) addEntry(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.time = trafficlog.Now()
	if e.row != nil {
		l.rev++ // a purge has no revision of its own, since applying it twice is harmless
	}
	e.rev = l.rev
	l.log = append(l.log, e)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Set adds or updates a member. startedAt is when its process started, in ms on the clock of
// trafficlog.Now; if startedAt is 0, the row is sent with the uptime that it has.
func (l *ListService) Set(row engine.Row, startedAt float64) {
	l.addEntry(entry{row: &row, startedAt: startedAt})
}

// Purge adds a purge that was made at madeAt, in ms on the clock of trafficlog.Now.
func (l *ListService) Purge(object string, group int, madeAt float64) {
	l.addEntry(entry{purge: &engine.Purge{Object: object, Group: group}, madeAt: madeAt})
}

// CutStreams ends the current streams of a router in the middle of a line. An empty name cuts the
// streams of all routers.
func (l *ListService) CutStreams(router string) {
	l.mu.Lock()
	l.cutAt[router] = trafficlog.Now()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
}

// RollBackRevision subtracts n from the revision of full lists, as a service does that was restored from
// an old backup; 0 ends this.
func (l *ListService) RollBackRevision(n int64) { l.mu.Lock(); l.rollback = n; l.mu.Unlock() }

// RejectStreams rejects new streams with status 503 for a time in ms.
func (l *ListService) RejectStreams(span float64) {
	l.mu.Lock()
	l.unavailableUntil = trafficlog.Now() + span
	l.mu.Unlock()
}

// rows returns the members as they were at a time, sorted by ID, and the revision of the list.
func (l *ListService) rows(at float64) (rows []entry, rev int64) {
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

// rowAt returns the row with the member's uptime at a time.
func (e entry) rowAt(now float64) engine.Row {
	row := *e.row
	if e.startedAt > 0 {
		row.UptimeMillis = max(now-e.startedAt, 0.001)
	}
	return row
}

// watch streams updates to one router: first a full list, which is InitialListAge old, then each
// later update and purge after the stream's delay.
func (l *ListService) watch(w http.ResponseWriter, r *http.Request) {
	router := r.URL.Query().Get("router")
	flusher, ok := w.(http.Flusher)
	if !ok || router == "" {
		http.Error(w, "testserver: /watch needs the query ?router=NAME", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	now := trafficlog.Now()
	down := now < l.unavailableUntil
	lag := l.cfg.LagFrom + l.rng.Float64()*(l.cfg.LagTo-l.cfg.LagFrom)
	purgeLag := l.cfg.PurgeFrom + l.rng.Float64()*(l.cfg.PurgeTo-l.cfg.PurgeFrom)
	listTime := now - l.cfg.InitialListAge
	rows, rev := l.rows(listTime)
	if len(rows) == 0 { // there was no list yet
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
		records = []trafficlog.Record{{Note: "set back"}} // a router ignores a list older than its own
	}
	if !send(full, records) {
		return
	}
	l.mu.Lock()
	var recent []entry
	for _, e := range l.log[:next] {
		if e.purge != nil && now-e.madeAt < l.cfg.PurgeWindow+1000 {
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
	var pending []entry // entries not yet sent, in the order in which they are due
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

// due returns the time at which an entry is to be sent.
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

func (l *ListService) sendPurge(send func(engine.Update, []trafficlog.Record) bool, e entry) bool {
	purge := *e.purge
	purge.AgeMs = max(trafficlog.Now()-e.madeAt, 0)
	return send(engine.Update{Rev: e.rev, Purge: &purge}, []trafficlog.Record{{Object: purge.Object, Group: purge.Group, Created: e.madeAt, Note: "purge"}})
}

// handleUpdate adds the members and the purge of an update that is posted to the service. The
// start time of a member follows from its uptime; ?ago=MS tells how long ago the purge was made.
func (l *ListService) handleUpdate(w http.ResponseWriter, r *http.Request) {
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
