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
	set   *Settings
	log   *zap.Logger
	store *configstore.Store
	ln    net.Listener
	admin net.Listener
	http  *http.Server
	done  chan struct{}
	once  sync.Once
	keep  *diskKeeper
	last  string // what was last said of the folder, once each
}

// kept is a service's state as the store has it; the versions stand beside it.
type kept struct {
	ID     string `json:"id"`
	Last   int64  `json:"last"`
	Base   int64  `json:"base"`
	Next   int64  `json:"next,omitempty"`
	Stage  int    `json:"stage,omitempty"`
	Halted string `json:"halted,omitempty"`
	Folder string `json:"folder,omitempty"` // sum of what the folder held when it was last offered
}

// diskKeeper keeps a rollout's state in a store.
type diskKeeper struct {
	store *configstore.Store
	id    string

	mu     sync.Mutex
	folder string
}

// fromFolder reports whether a content of the folder was offered before: it is
// offered once, also where its rollout was halted, or rolled back since.
func (k *diskKeeper) fromFolder(sum string) (before string, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, k.folder = k.folder, sum
	return before, before == sum
}

// Save implements StateStore.
func (k *diskKeeper) Save(st rollout.State) error {
	k.mu.Lock()
	folder := k.folder
	k.mu.Unlock()
	text, err := json.Marshal(kept{k.id, st.LastNumber, st.Base.Number, st.Next.Number, st.Stage, st.HaltReason, folder})
	if err != nil {
		return err
	}
	return k.store.SaveState(text, []configversion.Version{st.Base, st.Next}, time.Now())
}

// load is the state that was kept, and who the service is: the same over all its
// restarts with this store, so that routers know it again.
func (k *diskKeeper) load() (st rollout.State, err error) {
	text, err := k.store.State()
	if err != nil {
		return st, err
	}
	if text == nil {
		var id [4]byte
		rand.Read(id[:])
		k.id = hex.EncodeToString(id[:])
		return st, k.Save(st)
	}
	var s kept
	if err := json.Unmarshal(text, &s); err != nil {
		return st, fmt.Errorf("control: the stored state: %w", err)
	}
	k.id, k.folder = s.ID, s.Folder
	st = rollout.State{LastNumber: s.Last, Stage: s.Stage, HaltReason: s.Halted}
	for _, one := range []struct {
		number int64
		v      *configversion.Version
	}{{s.Base, &st.Base}, {s.Next, &st.Next}} {
		if one.number == 0 {
			continue
		}
		if *one.v, _, err = k.store.Version(one.number); err != nil {
			return st, fmt.Errorf("control: version %d of the stored state: %w", one.number, err)
		}
	}
	return st, nil
}

// Start begins a service from its store and listens. sent is as in
// ServerConfig.
func Start(set *Settings, log *zap.Logger, sent func(router string, v configversion.Version)) (*Service, error) {
	return StartWithFiles(configstore.Disk{}, set, log, sent)
}

// StartWithFiles is Start by the operations of a file system, for fault injection.
func StartWithFiles(files configstore.FileSystem, set *Settings, log *zap.Logger, sent func(router string, v configversion.Version)) (*Service, error) {
	s := &Service{set: set, log: log, done: make(chan struct{})}
	f := &set.Service
	var err error
	s.store, err = configstore.OpenWith(files, f.Store, f.Keep)
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
	keep := &diskKeeper{store: s.store}
	state, err := keep.load()
	if err != nil {
		s.store.Close()
		return nil, err
	}
	var opts []grpc.ServerOption
	if f.Cert != "" {
		keys := &CertificateFiles{Cert: f.Cert, Key: f.Key, Authorities: f.Authorities, Warn: func(text string) { log.Warn(text) }}
		if err := keys.Load(); err != nil {
			s.store.Close()
			return nil, err
		}
		opts = append(opts, grpc.Creds(keys.ServerCredentials()))
	}
	s.keep = keep
	s.Server = NewServer(ServerConfig{Name: f.Name + "/" + keep.id, Rollout: set.Rollout.settings(), State: state, Store: keep,
		StreamsPerSecond: f.PerSecond, MaxStreams: f.Streams, ReportInterval: time.Duration(f.Reports * float64(time.Millisecond)),
		Limits: configversion.CheckLimits{ParentChurn: set.Checks.ParentChurn, CacheChurn: set.Checks.BoxChurn,
			MaxCapacity: set.Checks.MaxSize, MaxLinkCapacity: set.Checks.MaxLink},
		OnSend: sent, OnEvent: func(text string) { log.Info(text) }}, opts...)
	if err := s.listen(); err != nil {
		s.Close()
		return nil, err
	}
	go renewStore(s.store, s.done)
	go s.Server.Serve(s.ln)
	go s.http.Serve(s.admin)
	if f.Folder != "" {
		if err := watchFolder(f.Folder, s.done, s.lookAtFolder); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Service) listen() (err error) {
	f := &s.set.Service
	if s.ln, err = net.Listen("tcp", f.Listen); err != nil {
		return fmt.Errorf("control: listen %s: %w; is the address free, and one of this machine?", f.Listen, err)
	}
	network := "tcp"
	if strings.HasPrefix(f.Admin, "/") {
		network = "unix"
		if st, err := os.Stat(f.Admin); err == nil && st.Mode()&os.ModeSocket != 0 {
			os.Remove(f.Admin) // of an earlier life
		}
	}
	if s.admin, err = net.Listen(network, f.Admin); err != nil {
		return fmt.Errorf("control: listener for operators %s: %w", f.Admin, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /push", s.httpPush)
	mux.HandleFunc("POST /rollback", s.httpRollback)
	mux.HandleFunc("POST /halt", s.httpHalt)
	mux.HandleFunc("GET /status", s.httpStatus)
	mux.HandleFunc("GET /versions", s.httpVersions)
	mux.HandleFunc("GET /version", s.httpVersion)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// Addr is where routers reach the service, AdminAddr where operators do.
func (s *Service) Addr() string      { return s.ln.Addr().String() }
func (s *Service) AdminAddr() string { return s.admin.Addr().String() }

// Close ends the service.
func (s *Service) Close() {
	s.once.Do(func() {
		close(s.done)
		s.Server.Stop()
		if s.http != nil {
			s.http.Close()
		}
		for _, ln := range []net.Listener{s.ln, s.admin} {
			if ln != nil {
				ln.Close()
			}
		}
		s.store.Close()
	})
}

// lookAtFolder offers what the folder holds, and says after how long to look again.
// It is called from one goroutine.
func (s *Service) lookAtFolder() time.Duration {
	say := func(text string, level func(string, ...zap.Field)) {
		if text != s.last {
			level(text)
		}
		s.last = text
	}
	sources, err := ReadFolder(s.set.Service.Folder)
	if err != nil {
		say(err.Error(), s.log.Error)
		return lookEvery
	}
	var sum []byte
	for _, one := range sources {
		sum = append(append(sum, one.Text...), 0)
	}
	before, known := s.keep.fromFolder(configversion.Checksum(sum))
	if known {
		return lookEvery
	}
	number, fresh, err := s.PushSources(sources, false)
	var unkept *PersistError
	switch {
	case errors.As(err, &unkept) && !unkept.Queued:
		s.keep.fromFolder(before)
		return lastRetry
	case err != nil:
		say(err.Error(), s.log.Error)
	case fresh:
		say(fmt.Sprintf("%s is version %d", s.set.Service.Folder, number), s.log.Info)
	}
	return lookEvery
}

// PushResult is what became of a push.
type PushResult struct {
	Number  int64    `json:"number,omitempty"`
	Created bool     `json:"fresh"` // false: the newest version has that content already
	Reasons []string `json:"reasons,omitempty"`
	Error   string   `json:"error,omitempty"`
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func pushed(w http.ResponseWriter, number int64, fresh bool, err error) {
	var refused *RejectedError
	switch {
	case errors.As(err, &refused):
		var lines []string
		for _, r := range refused.Reasons {
			lines = append(lines, r.String())
		}
		answerJSON(w, http.StatusUnprocessableEntity, PushResult{Reasons: lines})
	case err != nil:
		answerJSON(w, http.StatusServiceUnavailable, PushResult{Error: err.Error()})
	default:
		answerJSON(w, http.StatusOK, PushResult{Number: number, Created: fresh})
	}
}

// httpPush takes a text of settings. ?now has it go to all routers at once,
// ?unchecked has it go out though it does not pass the service's checks: the
// routers make theirs. ?name is what faults call it by.
func (s *Service) httpPush(w http.ResponseWriter, r *http.Request) {
	limit := int64(s.set.Service.MaxBytes)
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		answerJSON(w, http.StatusRequestEntityTooLarge, PushResult{Error: fmt.Sprintf("%v; raise (service (max-bytes n))", err)})
		return
	}
	q := r.URL.Query()
	name := q.Get("name")
	if name == "" {
		name = "pushed"
	}
	if q.Has("unchecked") {
		number, err := s.PushUnchecked(b, q.Has("now"))
		pushed(w, number, true, err)
		return
	}
	number, fresh, err := s.PushSources([]config.Source{{File: name, Text: string(b)}}, q.Has("now"))
	pushed(w, number, fresh, err)
}

// unread is the status of an answer that wanted a version which is not kept, or can't
// be read for now.
func unread(err error) int {
	if errors.Is(err, configstore.ErrNoVersion) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// httpRollback gives the content of an earlier version (?to) a new number.
func (s *Service) httpRollback(w http.ResponseWriter, r *http.Request) {
	to, err := strconv.ParseInt(r.URL.Query().Get("to"), 10, 64)
	if err != nil {
		answerJSON(w, http.StatusBadRequest, PushResult{Error: "rollback wants ?to=NUMBER"})
		return
	}
	v, _, err := s.store.Version(to)
	if err != nil {
		answerJSON(w, unread(err), PushResult{Error: fmt.Sprintf("version %d is not kept, or can't be read: %v; see spool-control versions", to, err)})
		return
	}
	number, err := s.PushUnchecked(v.Body, r.URL.Query().Has("now"))
	pushed(w, number, true, err)
}

func (s *Service) httpHalt(w http.ResponseWriter, _ *http.Request) {
	err := s.Halt("by hand")
	st := s.Status()
	pushed(w, st.State.Base.Number, true, err)
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
	st := s.Status()
	v := StatusView{Service: st.Service, Last: st.State.LastNumber, Base: st.State.Base.Number, Next: st.State.Next.Number,
		Stage: st.State.Stage, Halted: st.State.HaltReason, Routers: st.Routers, Events: st.Events}
	since, fault := s.store.Fault()
	if st.PersistError != nil {
		since, fault = st.PersistError.Since, st.PersistError.Err
	}
	if fault != nil {
		v.StateFault, v.StateFaultSince, v.StateFaultMs = fault.Error(), since.UTC().Format(time.RFC3339Nano), float64(time.Since(since).Microseconds())/1000
	}
	return v
}

func (s *Service) httpStatus(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, s.View())
}

// VersionView is a kept version.
type VersionView struct {
	Number int64   `json:"number"`
	Sum    string  `json:"sum"`
	Bytes  int     `json:"bytes"`
	AgeMs  float64 `json:"age_ms"`
}

func (s *Service) httpVersions(w http.ResponseWriter, _ *http.Request) {
	list, err := s.store.History(time.Now())
	if err != nil {
		answerJSON(w, http.StatusServiceUnavailable, PushResult{Error: err.Error()})
		return
	}
	out := []VersionView{}
	for _, a := range list {
		out = append(out, VersionView{a.Version.Number, a.Version.Sum, len(a.Version.Body), a.Age})
	}
	answerJSON(w, http.StatusOK, out)
}

func (s *Service) httpVersion(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseInt(r.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(w, "version wants ?number=N", http.StatusBadRequest)
		return
	}
	v, _, err := s.store.Version(number)
	if err != nil {
		http.Error(w, fmt.Sprintf("version %d is not kept: %v", number, err), unread(err))
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(v.Body)
}
