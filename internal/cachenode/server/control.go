package server

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"indigospool/internal/cachenode/store"
)

// handleControl handles requests to /-/: purges, and the state for operators.
func (r *request) handleControl() {
	s := r.server
	switch r.target {
	case "/-/purge":
		var params struct {
			Object  string  `json:"object"`
			Group   int32   `json:"group"`
			Tag     string  `json:"tag"`
			Prefix  string  `json:"prefix"`
			Version int64   `json:"version"`
			Made    float64 `json:"made"`
		}
		if err := json.Unmarshal(r.body, &params); err != nil {
			r.conn.respond(400, "malformed purge, want {\"object\": PATH}, or group, tag or prefix: "+err.Error())
			return
		}
		purge := store.Purge{Scope: store.ByGroup, Group: params.Group, Version: params.Version}
		switch {
		case params.Object != "":
			purge.Scope, purge.Text = store.ByObject, params.Object
		case params.Tag != "":
			purge.Scope, purge.Text = store.ByTag, params.Tag
		case params.Prefix != "":
			purge.Scope, purge.Text = store.ByPrefix, params.Prefix
		}
		done := func(number uint64, err error) {
			if r.ended {
				return
			}
			if err != nil {
				r.conn.respond(500, err.Error())
				return
			}
			r.conn.respond(200, fmt.Sprintf("{\"number\":%d,\"made\":%v}\n", number, strconv.FormatFloat(params.Made, 'f', -1, 64)))
		}
		if !s.disk.Submit(func() {
			number, err := s.store.Purge(purge)
			s.post(func() { done(number, err) })
		}) {
			r.conn.respond(503, "the disk hangs or is overloaded: the purge is not acknowledged; send it again")
		}
	case "/-/caught-up":
		if !s.disk.Submit(func() {
			s.store.MarkPurgesCaughtUp()
			s.post(func() {
				if !r.ended {
					r.conn.respond(200, "")
				}
			})
		}) {
			r.conn.respond(503, "the disk hangs or is overloaded: send the request again")
		}
	case "/-/state":
		state := map[string]any{"name": s.cfg.Name, "fills": s.fillsInFlight, "stats": s.stats, "found": s.Recovered, "hung": s.disk.Hung(),
			"in_bytes": s.stats.In, "out_bytes": s.stats.Out, "hits": s.stats.Hits, "misses": s.stats.Looked + s.stats.Fills}
		respond := func() {
			if encoded, err := json.Marshal(state); err == nil && !r.ended {
				r.conn.respond(200, string(encoded)+"\n")
			}
		}
		if !s.disk.Submit(func() {
			state["copies"], state["bytes"] = s.store.Usage()
			state["store"] = s.store.Counts()
			status := s.store.Status()
			state["disk"], state["found"] = describeDisk(status), status.Found
			s.post(respond)
		}) {
			respond()
		}
	default:
		r.conn.respond(404, "not found; the control paths are /-/purge, /-/caught-up and /-/state\n")
	}
}

// diskState is the state of the disk in the answer to GET /-/state.
type diskState struct {
	Fault              string `json:"fault,omitempty"` // operation that failed
	File               string `json:"file,omitempty"`
	Cause              string `json:"cause,omitempty"`
	Since              string `json:"since,omitempty"` // RFC 3339
	FaultMillis        int64  `json:"for_ms,omitempty"`
	LogsUnread         bool   `json:"unread"`     // objects stored before the start are not served: the logs could not be read yet
	PurgesDurable      bool   `json:"purges"`     // purges can be acknowledged
	UnreadableSegments int    `json:"unreadable"` // number of segments whose objects are not served for now
}

func describeDisk(status store.Status) diskState {
	out := diskState{LogsUnread: status.LogsUnread, PurgesDurable: status.PurgesDurable, UnreadableSegments: status.UnreadableSegments}
	if fault := status.Fault; fault != nil {
		out.Fault, out.File, out.Since, out.FaultMillis = fault.Op, fault.File, fault.Since.UTC().Format(time.RFC3339), status.FaultDuration.Milliseconds()
		out.Cause = fault.Err.Error()
	}
	return out
}
