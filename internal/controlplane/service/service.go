package service

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

// Service is a control service as a program runs it.
type Service struct {
	*Server
	settings          *Settings
	log               *zap.Logger
	store             *configstore.Store
	routerListener    net.Listener
	adminListener     net.Listener
	adminServer       *http.Server
	done              chan struct{}
	closeOnce         sync.Once
	stateStore        *diskStateStore
	lastFolderMessage string // what was last said of the folder, once each
}

// storedState is a service's state as the store has it; the versions stand beside it.
type storedState struct {
	ID     string `json:"id"`
	Last   int64  `json:"last"`
	Base   int64  `json:"base"`
	Next   int64  `json:"next,omitempty"`
	Stage  int    `json:"stage,omitempty"`
	Halted string `json:"halted,omitempty"`
	Folder string `json:"folder,omitempty"` // sum of what the folder held when it was last offered
}

// diskStateStore keeps a rollout's state in a store.
type diskStateStore struct {
	store *configstore.Store
	id    string

	mu        sync.Mutex
	folderSum string
}

// swapFolderSum reports whether a content of the folder was offered before: it is
// offered once, also where its rollout was halted, or rolled back since.
func (k *diskStateStore) swapFolderSum(sum string) (previous string, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous, k.folderSum = k.folderSum, sum
	return previous, previous == sum
}

// Save implements StateStore.
func (k *diskStateStore) Save(state rollout.State) error {
	k.mu.Lock()
	folder := k.folderSum
	k.mu.Unlock()
	text, err := json.Marshal(storedState{k.id, state.LastNumber, state.Base.Number, state.Next.Number, state.Stage, state.HaltReason, folder})
	if err != nil {
		return err
	}
	return k.store.SaveState(text, []configversion.Version{state.Base, state.Next}, time.Now())
}

// load is the state that was kept, and who the service is: the same over all its
// restarts with this store, so that routers know it again.
func (k *diskStateStore) load() (state rollout.State, err error) {
	text, err := k.store.State()
	if err != nil {
		return state, err
	}
	if text == nil {
		var id [4]byte
		rand.Read(id[:])
		k.id = hex.EncodeToString(id[:])
		return state, k.Save(state)
	}
	var stored storedState
	if err := json.Unmarshal(text, &stored); err != nil {
		return state, fmt.Errorf("control: the stored state: %w", err)
	}
	k.id, k.folderSum = stored.ID, stored.Folder
	state = rollout.State{LastNumber: stored.Last, Stage: stored.Stage, HaltReason: stored.Halted}
	for _, one := range []struct {
		number int64
		v      *configversion.Version
	}{{stored.Base, &state.Base}, {stored.Next, &state.Next}} {
		if one.number == 0 {
			continue
		}
		if *one.v, _, err = k.store.Version(one.number); err != nil {
			return state, fmt.Errorf("control: version %d of the stored state: %w", one.number, err)
		}
	}
	return state, nil
}

// Start begins a service from its store and listens. sent is as in
// ServerConfig.
func Start(settings *Settings, log *zap.Logger, onSend func(router string, v configversion.Version)) (*Service, error) {
	return StartWithFiles(configstore.Disk{}, settings, log, onSend)
}

// StartWithFiles is Start by the operations of a file system, for fault injection.
func StartWithFiles(files configstore.FileSystem, settings *Settings, log *zap.Logger, onSend func(router string, v configversion.Version)) (*Service, error) {
	service := &Service{settings: settings, log: log, done: make(chan struct{})}
	section := &settings.Service
	var err error
	service.store, err = configstore.OpenWith(files, section.Store, section.Keep)
	var damaged *configstore.DamagedError
	var fault *configstore.FaultError
	if errors.As(err, &damaged) {
		// numbers go on above what routers say that they have accepted
		log.Error("the store was damaged; push the settings anew", zap.String("store", damaged.Path),
			zap.String("set_aside", damaged.Quarantine), zap.Error(damaged.Err))
	} else if errors.As(err, &fault) {
		log.Error("the store can't be written, or not be read, for now", zap.Error(err))
	} else if err != nil {
		return nil, err
	}
	stateStore := &diskStateStore{store: service.store}
	state, err := stateStore.load()
	if err != nil {
		service.store.Close()
		return nil, err
	}
	var options []grpc.ServerOption
	if section.Cert != "" {
		certificates := &CertificateFiles{Cert: section.Cert, Key: section.Key, Authorities: section.Authorities, Warn: func(text string) { log.Warn(text) }}
		if err := certificates.Load(); err != nil {
			service.store.Close()
			return nil, err
		}
		options = append(options, grpc.Creds(certificates.ServerCredentials()))
	}
	service.stateStore = stateStore
	service.Server = NewServer(ServerConfig{Name: section.Name + "/" + stateStore.id, Rollout: settings.Rollout.settings(), State: state, Store: stateStore,
		StreamsPerSecond: section.PerSecond, MaxStreams: section.Streams, ReportInterval: time.Duration(section.Reports * float64(time.Millisecond)),
		Limits: configversion.CheckLimits{ParentChurn: settings.Checks.ParentChurn, CacheChurn: settings.Checks.BoxChurn,
			MaxCapacity: settings.Checks.MaxSize, MaxLinkCapacity: settings.Checks.MaxLink},
		OnSend: onSend, OnEvent: func(text string) { log.Info(text) }}, options...)
	if err := service.listen(); err != nil {
		service.Close()
		return nil, err
	}
	go renewStore(service.store, service.done)
	go service.Server.Serve(service.routerListener)
	go service.adminServer.Serve(service.adminListener)
	if section.Folder != "" {
		if err := watchFolder(section.Folder, service.done, service.offerFolder); err != nil {
			service.Close()
			return nil, err
		}
	}
	return service, nil
}

func (s *Service) listen() (err error) {
	section := &s.settings.Service
	if s.routerListener, err = net.Listen("tcp", section.Listen); err != nil {
		return fmt.Errorf("control: listen %s: %w; is the address free, and one of this machine?", section.Listen, err)
	}
	network := "tcp"
	if strings.HasPrefix(section.Admin, "/") {
		network = "unix"
		if st, err := os.Stat(section.Admin); err == nil && st.Mode()&os.ModeSocket != 0 {
			os.Remove(section.Admin) // of an earlier life
		}
	}
	if s.adminListener, err = net.Listen(network, section.Admin); err != nil {
		return fmt.Errorf("control: listener for operators %s: %w", section.Admin, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /push", s.handlePush)
	mux.HandleFunc("POST /rollback", s.handleRollback)
	mux.HandleFunc("POST /halt", s.handleHalt)
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /versions", s.handleVersions)
	mux.HandleFunc("GET /version", s.handleVersion)
	s.adminServer = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// Addr is where routers reach the service, AdminAddr where operators do.
func (s *Service) Addr() string      { return s.routerListener.Addr().String() }
func (s *Service) AdminAddr() string { return s.adminListener.Addr().String() }

// Close ends the service.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.Server.Stop()
		if s.adminServer != nil {
			s.adminServer.Close()
		}
		for _, ln := range []net.Listener{s.routerListener, s.adminListener} {
			if ln != nil {
				ln.Close()
			}
		}
		s.store.Close()
	})
}

// offerFolder offers what the folder holds, and says after how long to look again.
// It is called from one goroutine.
func (s *Service) offerFolder() time.Duration {
	logOnce := func(message string, level func(string, ...zap.Field)) {
		if message != s.lastFolderMessage {
			level(message)
		}
		s.lastFolderMessage = message
	}
	sources, err := ReadFolder(s.settings.Service.Folder)
	if err != nil {
		logOnce(err.Error(), s.log.Error)
		return folderPollInterval
	}
	var sum []byte
	for _, one := range sources {
		sum = append(append(sum, one.Text...), 0)
	}
	previous, known := s.stateStore.swapFolderSum(configversion.Checksum(sum))
	if known {
		return folderPollInterval
	}
	number, created, err := s.PushSources(sources, false)
	var unkept *PersistError
	switch {
	case errors.As(err, &unkept) && !unkept.Queued:
		s.stateStore.swapFolderSum(previous)
		return maxRetryDelay
	case err != nil:
		logOnce(err.Error(), s.log.Error)
	case created:
		logOnce(fmt.Sprintf("%s is version %d", s.settings.Service.Folder, number), s.log.Info)
	}
	return folderPollInterval
}

// PushResult is what became of a push.
type PushResult struct {
	Number  int64    `json:"number,omitempty"`
	Created bool     `json:"fresh"` // false: the newest version has that content already
	Reasons []string `json:"reasons,omitempty"`
	Error   string   `json:"error,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func writePushResult(response http.ResponseWriter, number int64, created bool, err error) {
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		var lines []string
		for _, r := range rejected.Reasons {
			lines = append(lines, r.String())
		}
		writeJSON(response, http.StatusUnprocessableEntity, PushResult{Reasons: lines})
	case err != nil:
		writeJSON(response, http.StatusServiceUnavailable, PushResult{Error: err.Error()})
	default:
		writeJSON(response, http.StatusOK, PushResult{Number: number, Created: created})
	}
}

// handlePush takes a text of settings. ?now has it go to all routers at once,
// ?unchecked has it go out though it does not pass the service's checks: the
// routers make theirs. ?name is what faults call it by.
func (s *Service) handlePush(response http.ResponseWriter, request *http.Request) {
	limit := int64(s.settings.Service.MaxBytes)
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, limit))
	if err != nil {
		writeJSON(response, http.StatusRequestEntityTooLarge, PushResult{Error: fmt.Sprintf("%v; raise (service (max-bytes n))", err)})
		return
	}
	query := request.URL.Query()
	name := query.Get("name")
	if name == "" {
		name = "pushed"
	}
	if query.Has("unchecked") {
		number, err := s.PushUnchecked(body, query.Has("now"))
		writePushResult(response, number, true, err)
		return
	}
	number, created, err := s.PushSources([]config.Source{{File: name, Text: string(body)}}, query.Has("now"))
	writePushResult(response, number, created, err)
}

// versionErrorStatus is the status of an answer that wanted a version which is not kept, or can't
// be read for now.
func versionErrorStatus(err error) int {
	if errors.Is(err, configstore.ErrNoVersion) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// handleRollback gives the content of an earlier version (?to) a new number.
func (s *Service) handleRollback(response http.ResponseWriter, request *http.Request) {
	to, err := strconv.ParseInt(request.URL.Query().Get("to"), 10, 64)
	if err != nil {
		writeJSON(response, http.StatusBadRequest, PushResult{Error: "rollback wants ?to=NUMBER"})
		return
	}
	version, _, err := s.store.Version(to)
	if err != nil {
		writeJSON(response, versionErrorStatus(err), PushResult{Error: fmt.Sprintf("version %d is not kept, or can't be read: %v; see spool-control versions", to, err)})
		return
	}
	number, err := s.PushUnchecked(version.Body, request.URL.Query().Has("now"))
	writePushResult(response, number, true, err)
}

func (s *Service) handleHalt(response http.ResponseWriter, _ *http.Request) {
	err := s.Halt("by hand")
	status := s.Status()
	writePushResult(response, status.State.Base.Number, true, err)
}

// StatusView is Status without the versions' bodies.
type StatusView struct {
	Service         string                 `json:"service"`
	Last            int64                  `json:"last"`
	Base            int64                  `json:"base"`           // everybody's
	Next            int64                  `json:"next,omitempty"` // on its way
	Stage           int                    `json:"stage,omitempty"`
	Halted          string                 `json:"halted,omitempty"` // why the last rollout was
	Routers         []rollout.RouterStatus `json:"routers"`
	Events          []string               `json:"events"`
	StateFault      string                 `json:"unkept,omitempty"`       // why the state can't be kept for now
	StateFaultSince string                 `json:"unkept_since,omitempty"` // since when, and
	StateFaultMs    float64                `json:"unkept_ms,omitempty"`    // for how long
}

// View is what operators are shown.
func (s *Service) View() StatusView {
	status := s.Status()
	view := StatusView{Service: status.Service, Last: status.State.LastNumber, Base: status.State.Base.Number, Next: status.State.Next.Number,
		Stage: status.State.Stage, Halted: status.State.HaltReason, Routers: status.Routers, Events: status.Events}
	since, fault := s.store.Fault()
	if status.PersistError != nil {
		since, fault = status.PersistError.Since, status.PersistError.Err
	}
	if fault != nil {
		view.StateFault, view.StateFaultSince, view.StateFaultMs = fault.Error(), since.UTC().Format(time.RFC3339Nano), float64(time.Since(since).Microseconds())/1000
	}
	return view
}

func (s *Service) handleStatus(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, s.View())
}

// VersionView is a kept version.
type VersionView struct {
	Number int64   `json:"number"`
	Sum    string  `json:"sum"`
	Bytes  int     `json:"bytes"`
	AgeMs  float64 `json:"age_ms"`
}

func (s *Service) handleVersions(response http.ResponseWriter, _ *http.Request) {
	list, err := s.store.History(time.Now())
	if err != nil {
		writeJSON(response, http.StatusServiceUnavailable, PushResult{Error: err.Error()})
		return
	}
	views := []VersionView{}
	for _, a := range list {
		views = append(views, VersionView{a.Version.Number, a.Version.Sum, len(a.Version.Body), a.Age})
	}
	writeJSON(response, http.StatusOK, views)
}

func (s *Service) handleVersion(response http.ResponseWriter, request *http.Request) {
	number, err := strconv.ParseInt(request.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(response, "version wants ?number=N", http.StatusBadRequest)
		return
	}
	version, _, err := s.store.Version(number)
	if err != nil {
		http.Error(response, fmt.Sprintf("version %d is not kept: %v", number, err), versionErrorStatus(err))
		return
	}
	response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	response.Write(version.Body)
}
