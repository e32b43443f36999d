package indigospool

// Millis is a time on the caller's clock, or a span of it, in milliseconds.
// The clock may start anywhere; it only goes forward.
type Millis = float64

// Idempotency says what a retry of a request can do: its idempotency.
type Idempotency int

// The effect classes.
const (
	Idempotent      Idempotency = iota // idempotent: may be retried and rejected at will
	IdempotentByKey                    // carries an idempotency key: a group of caches drops repeats for a while
	NonIdempotent                      // not idempotent: may be retried only where it surely never ran
)

// Scope names a set of caches: those that remember the idempotency key of a Guarded request, or
// those that may be a source for one another.
type Scope int

// The scopes.
const (
	ScopeNone Scope = iota
	ScopeCell       // of one cell in a zone
	ScopeZone       // of one zone
	ScopeAll        // all
)

// Detail says how much the Note of an Outcome tells of hits and fills.
type Detail int

// The levels of detail.
const (
	DetailOff Detail = iota // nothing
	DetailHit               // whether it was a hit
	DetailAll               // all notes
)

// Class describes one class of requests.
type Class struct {
	Name                            string
	LatencyObjective                Millis  // latency objective: an answer within it has its full weight
	ObjectivePerSendTime            float64 // the objective grows by this multiple of the time that the answer takes to send
	Deadline                        Millis  // the client's timeout, where the request states no deadline
	PriorityWeight, LateWeightShare float64 // priority weight; the share of it that is left when late, 0 to 1
	Idempotency                     Idempotency
	KeyScope                        Scope  // for Guarded: who remembers the idempotency key
	KeyWindow                       Millis // for Guarded: how long they remember it
	Streamed                        bool   // answers are streamed (a Started event comes)
	InParts                         bool   // objects come in parts
	Write                           bool   // runs at the origin, and its answer is never cached
	Fresh, Grace                    Millis // how long a copy is fresh (0: until purged), and usable after
	StaleWeightShare                float64
}

// Settings are the settings of a router. A zero value in a field means that nothing is stated.
type Settings struct {
	RouterIndex, Routers     int                // this router's number, and how many there are
	Zone                     string             // this router's zone
	Zones                    []string           // all zones
	RoutersByZone            []int              // in the order of Zones
	HubOfZone                []int              // in the order of Zones: place of the hub zone
	LinkCapacity             map[string]float64 // capacity of the link into a zone, in KB per millisecond
	ParentKind               string             // Member.Kind of parents; empty: there are none
	OriginKind               string             // Member.Kind of the origin
	Classes                  []Class            // one at least
	TimerResolution          Millis             // resolution of the caller's timers
	AnswerSlack              Millis
	DrainGrace               Millis
	WarmUpInitialShare       float64 // share of its capacity with which a cache starts, 0 to 1
	WarmUpTime               Millis  // longest time until it is warm
	OverloadFactor           float64 // a cache fails at this multiple of its present capacity
	OverloadTime             Millis  // when the overload lasts this long
	ParentWarmUpInitialShare float64 // as ColdFrom, of parents
	ParentWarmUpTime         Millis  // as ColdTime, of parents
	ParentOverloadFactor     float64 // as FallFactor, of parents
	OriginOverloadFactor     float64 // as FallFactor, of the origin
	PurgeTime                Millis  // all older copies are gone this long after a purge
	PurgeSlack               Millis  // added to PurgeTakes
	DirectAttempts           bool    // parents and the origin take attempts too
	JoinFills                bool    // a request may join a fill under way
	SiblingScope             Scope   // caches that may be a source; Nowhere: none
	Detail                   Detail
	FlowKBPerMs              float64 // rate of one transfer to a client, in KB per millisecond
	SizeIsCapacity           bool    // Member.Size means capacity
	MaxAttempts              int     // attempts of one request; 0: 4
	MaxRequests              int
	MaxRetryAfter            Millis // longest Retry-After that a client heeds; 0: none may be named
	HedgedRequests           bool   // hedged requests: one request may have two attempts out
	CanCancel                bool   // attempts can be cancelled
	CanProbe                 bool   // caches can be probed
	WatchRequired            bool   // discovery notifies of changes only once it is asked to (Watch)
	PollInterval             Millis // ask again at least this often
	LoadMetrics              []string
}

// Event is one thing that happened: what Router.Handle takes.
type Event interface{ event() }

// State is a listed member's state.
type State int

// The states.
const (
	Serving  State = iota
	Draining       // it finishes what it has and is sent nothing more
	Removed
)

// Member is a row of the endpoint list: a cache, a parent or an origin.
type Member struct {
	ID, Zone, Kind string
	Cell           int
	State          State
	Size           float64 // capacity, where Settings.SizesCompare
	ReadyAt        Millis  // its last start; 0: long ago
}

// Members is an update of the endpoint list: a snapshot (Full), which replaces what was known, or
// a delta. Lost says that a call to discovery failed and brings no rows.
type Members struct {
	Full, Lost bool
	Rows       []Member
}

// Request is a client's request for an object, or for one part of it.
type Request struct {
	ID, Class, Tenant, Object string
	Deadline                  Millis  // on the caller's clock; 0: that of the class
	KB                        float64 // size of the answer; 0: unknown
	Group                     int     // group of the object, for purges
	Part                      int     // index of the part, from 0
	Retry, Write              bool    // the client's retry of an earlier request; a write
}

// Result says how an attempt ended.
type Result int

// The results. RanNot is true of those that prove that nothing was run.
const (
	OK            Result = iota
	Errored              // answered with an error
	Rejected             // rejected for want of capacity
	TimedOut             // no answer in time
	ConnectFailed        // no connection
	Reset                // the connection broke
	Cancelled            // its wait was ended
	NotSent              // not sent
	Miss                 // the cache has no copy
	LocalFailure         // it could not be begun here: no descriptor, port, buffer or route for now
)

// NotExecuted reports whether the result proves that the request did not run.
func (r Result) NotExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == Miss || r == LocalFailure
}

// Note says how an outcome's hit or fill went.
type Note int

// The notes.
const (
	NoteNone              Note = iota
	NoteHit                    // answered from a cached copy
	NoteFilled                 // filled from the source
	NoteFilledByOrigin         // filled by the origin, behind the source
	NoteJoined                 // joined a fill under way
	NoteStale                  // answered from a copy past its fresh time
	NoteSourceRejected         // the source rejected the fill
	NoteSourceUnreachable      // the source could not be reached
	NoteSourceMiss             // the source has no copy
	NoteNoCapacity             // the cache has no capacity for a fill
	NoteOriginFailed           // the origin failed
)

// Outcome ends one attempt.
type Outcome struct {
	ID, Cache string
	Attempt   int // its number in the request
	Result    Result
	Took      Millis
	Last      bool // the request has ended
	Note      Note
	Waited    Millis    // the part of the time that the target waited for its source
	Load      []float64 // the target's load report, in the order of Settings.Feedback
}

// Started says that a streamed answer has begun: it is final.
type Started struct {
	ID, Cache string
	Attempt   int
}

// Stalled says that an answer that has begun waits for its client (On), and not for a
// member, or goes on again (not On).
type Stalled struct {
	ID      string
	Attempt int
	On      bool
}

// Gone says that the client has left.
type Gone struct{ ID string }

// Purge invalidates the older copies of one object or, with no object, of a group.
type Purge struct {
	Object string
	Group  int
	Age    Millis // how long ago it was made
}

// Timer says that the time of a Wake has come; Token is that of the Wake.
type Timer struct{ Token int64 }

// Probed is the result of a probe.
type Probed struct {
	Cache string
	OK    bool
	Load  []float64
}

// SettingsChanged replaces the settings. The zone, the number of this router and what it has learned
// stay. Settings that contradict themselves change nothing: Settings.Valid says so beforehand.
type SettingsChanged struct{ Settings Settings }

// Message came from another router.
type Message struct {
	From int
	Text string
}

func (Members) event()         {}
func (Request) event()         {}
func (Outcome) event()         {}
func (Started) event()         {}
func (Gone) event()            {}
func (Stalled) event()         {}
func (Purge) event()           {}
func (Timer) event()           {}
func (Probed) event()          {}
func (Message) event()         {}
func (SettingsChanged) event() {}

// Reason says why a member was not taken for an attempt.
type Reason int

// The reasons.
const (
	ReasonAccepted           Reason = iota
	ReasonOverLoadBound             // above the load bound; it may be taken in a later pass
	ReasonFailedBefore              // the request failed at it before; it may be taken in a later pass
	ReasonAlreadyConsidered         // looked at in an earlier pass already
	ReasonOutsideKeyScope           // outside of the group that remembers the request's idempotency key
	ReasonUnavailable               // it is draining or removed
	ReasonEjected                   // it is ejected and not due for a health check, or not by this request
	ReasonAtConcurrencyLimit        // it is at its concurrency limit
	ReasonSlowStartExhausted        // it is warming up, and its slow-start budget is spent
	ReasonLinkAtLimit               // the location's link is at its concurrency limit
	ReasonAttemptsExhausted         // the request may make no further attempt
	NoMember                        // there is nobody to ask
)

// Candidate is one member that a choice looked at, in the order of looking. Member is
// empty where the reason concerns the request as such.
type Candidate struct {
	Request, Member string
	AsSource        bool // as a source, not as the cache
	Pass            int  // the first is 0
	Reason          Reason
}

// Range is a cache's range of part indices: From, up to but not with To; To -1:
// all from there on.
type Range struct {
	Cache    string
	From, To int
}

// Action is one thing that follows from an event: what Router.Handle returns.
type Action interface{ action() }

// Send asks for an attempt to be made. Attempts of a request are numbered from 0.
type Send struct {
	ID, Cache, Source string // Source == Cache: no fill
	Keep              int    // rank of the copy, 1 to 3; 0: pass through
	Age               Millis // age of the oldest copy that will do; always above 0
	Timeout           Millis // of the attempt; 0: until the request's deadline
	Within            Millis // it must be sent within this, or not at all; 0: no bound
	Join, Held, Renew bool   // join a fill; only what the source holds; renew an ageing copy
}

// Refuse is a final answer: rejected, a retry is harmless.
type Refuse struct {
	ID    string
	After Millis // Retry-After; 0: none is named
}

// Fail is a final answer: failed. The request may have run.
type Fail struct{ ID string }

// Cancel asks for an attempt to be cancelled; its Outcome still comes.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Timer event after a time.
type Wake struct {
	In    Millis
	Token int64
}

// Probe asks for a cache to be probed.
type Probe struct{ Cache string }

// Watch subscribes to the endpoint list.
type Watch struct{}

// Fetch asks discovery for one snapshot of the endpoint list.
type Fetch struct{}

func (Send) action()   {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Wake) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Fetch) action()  {}
