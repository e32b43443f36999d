package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/rollout"
)

// adminHandler returns the handler of operators' requests; see docs/control.md.
func (s *Service) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /push", s.handlePush)
	mux.HandleFunc("POST /rollback", s.handleRollback)
	mux.HandleFunc("POST /halt", s.handleHalt)
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /versions", s.handleVersions)
	mux.HandleFunc("GET /version", s.handleVersion)
	return mux
}

// PushResult is the result of a push, a rollback or a halt.
type PushResult struct {
	Number  int64    `json:"number,omitempty"`
	Created bool     `json:"fresh"`             // false: the newest version already has that content
	Reasons []string `json:"reasons,omitempty"` // why it was rejected
	Error   string   `json:"error,omitempty"`   // why the request failed
}

func writeJSON(response http.ResponseWriter, status int, v any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	json.NewEncoder(response).Encode(v)
}

func writeError(response http.ResponseWriter, status int, text string) {
	writeJSON(response, status, PushResult{Error: text})
}

func writePushResult(response http.ResponseWriter, number int64, created bool, err error) {
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		var lines []string
		for _, reason := range rejected.Reasons {
			lines = append(lines, reason.String())
		}
		writeJSON(response, http.StatusUnprocessableEntity, PushResult{Reasons: lines})
	case err != nil:
		writeError(response, http.StatusServiceUnavailable, err.Error())
	default:
		writeJSON(response, http.StatusOK, PushResult{Number: number, Created: created})
	}
}

// handlePush pushes a text of settings. With ?now it goes to all routers at once; with
// ?unchecked the service's checks are skipped, but not those of the routers. ?name is
// the file name in reported faults.
func (s *Service) handlePush(response http.ResponseWriter, request *http.Request) {
	limit := int64(s.settings.Service.MaxBytes)
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, limit))
	if err != nil {
		writeError(response, http.StatusRequestEntityTooLarge, fmt.Sprintf("%v; raise (service (max-bytes n))", err))
		return
	}
	query := request.URL.Query()
	immediate := query.Has("now")
	if query.Has("unchecked") {
		number, err := s.PushUnchecked(body, immediate)
		writePushResult(response, number, true, err)
		return
	}
	name := query.Get("name")
	if name == "" {
		name = "pushed"
	}
	number, created, err := s.PushSources([]config.Source{{File: name, Text: string(body)}}, immediate)
	writePushResult(response, number, created, err)
}

// versionErrorStatus returns the HTTP status for a version that is not stored or can't
// be read.
func versionErrorStatus(err error) int {
	if errors.Is(err, configstore.ErrNoVersion) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// handleRollback pushes the content of an earlier version (?to) under a new number.
func (s *Service) handleRollback(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	to, err := strconv.ParseInt(query.Get("to"), 10, 64)
	if err != nil {
		writeError(response, http.StatusBadRequest, "rollback requires ?to=NUMBER")
		return
	}
	version, _, err := s.store.Version(to)
	if err != nil {
		writeError(response, versionErrorStatus(err),
			fmt.Sprintf("version %d is not stored or can't be read: %v; see spool-control versions", to, err))
		return
	}
	number, err := s.PushUnchecked(version.Body, query.Has("now"))
	writePushResult(response, number, true, err)
}

func (s *Service) handleHalt(response http.ResponseWriter, _ *http.Request) {
	err := s.Halt("by an operator")
	writePushResult(response, s.Status().State.Base.Number, true, err)
}

// StatusView is Status as shown to operators, without the bodies of versions.
type StatusView struct {
	Service         string                 `json:"service"`
	Last            int64                  `json:"last"`           // highest number assigned
	Base            int64                  `json:"base"`           // version for all routers
	Next            int64                  `json:"next,omitempty"` // version being rolled out
	Stage           int                    `json:"stage,omitempty"`
	Halted          string                 `json:"halted,omitempty"` // why the last rollout was halted
	Routers         []rollout.RouterStatus `json:"routers"`
	Events          []string               `json:"events"`
	StateFault      string                 `json:"unkept,omitempty"`       // why the state can't be persisted
	StateFaultSince string                 `json:"unkept_since,omitempty"` // RFC 3339
	StateFaultMs    float64                `json:"unkept_ms,omitempty"`
}

// View returns the status as shown to operators.
func (s *Service) View() StatusView {
	status := s.Status()
	view := StatusView{
		Service: status.Service,
		Last:    status.State.LastNumber,
		Base:    status.State.Base.Number,
		Next:    status.State.Next.Number,
		Stage:   status.State.Stage,
		Halted:  status.State.HaltReason,
		Routers: status.Routers,
		Events:  status.Events,
	}
	since, fault := s.store.Fault()
	if status.PersistError != nil {
		since, fault = status.PersistError.Since, status.PersistError.Err
	}
	if fault != nil {
		view.StateFault = fault.Error()
		view.StateFaultSince = since.UTC().Format(time.RFC3339Nano)
		view.StateFaultMs = millisSince(since)
	}
	return view
}

func (s *Service) handleStatus(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, s.View())
}

// VersionView is a stored version as shown to operators.
type VersionView struct {
	Number int64   `json:"number"`
	Sum    string  `json:"sum"` // SHA-256, in hex
	Bytes  int     `json:"bytes"`
	AgeMs  float64 `json:"age_ms"` // since it was stored
}

func (s *Service) handleVersions(response http.ResponseWriter, _ *http.Request) {
	history, err := s.store.History(time.Now())
	if err != nil {
		writeError(response, http.StatusServiceUnavailable, err.Error())
		return
	}
	views := []VersionView{}
	for _, stored := range history {
		views = append(views, VersionView{
			Number: stored.Version.Number,
			Sum:    stored.Version.Sum,
			Bytes:  len(stored.Version.Body),
			AgeMs:  stored.Age,
		})
	}
	writeJSON(response, http.StatusOK, views)
}

func (s *Service) handleVersion(response http.ResponseWriter, request *http.Request) {
	number, err := strconv.ParseInt(request.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(response, "version requires ?number=N", http.StatusBadRequest)
		return
	}
	version, _, err := s.store.Version(number)
	if err != nil {
		http.Error(response, fmt.Sprintf("version %d is not stored or can't be read: %v", number, err), versionErrorStatus(err))
		return
	}
	response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	response.Write(version.Body)
}
