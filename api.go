package indigospool

// Millis is a time on the caller's clock, or a duration on it, in milliseconds. The clock may
// start at any value and must not go backwards.
type Millis = float64

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be retried and rejected at any time
	IdempotentByKey                    // has an idempotency key: caches of a scope drop repeats within a window
	NonIdempotent                      // may be retried only if it certainly did not run
)

// Scope is the set of caches that share something with a cache: the idempotency keys that they
// remember, or the copies that they fill from one another.
type Scope int

// The scopes.
const (
	ScopeNone Scope = iota
	ScopeCell       // caches of the same cell and zone
	ScopeZone       // caches of the same zone
	ScopeAll        // all caches
)

// Detail is how much the Note of an Outcome reports about hits and fills.
type Detail int

// The levels of detail.
const (
	DetailOff Detail = iota // no notes
	DetailHit               // only whether the request was a hit
	DetailAll               // all notes
)

// Class describes a class of requests.
type Class struct {
	Name                            string
	LatencyObjective                Millis  // an answer within it has its full priority weight
	ObjectivePerSendTime            float64 // multiple of the send time that is added to the objective
	Deadline                        Millis  // the client's timeout, if the request has no deadline
	PriorityWeight, LateWeightShare float64 // weight of an answer in time; share of it that a late one has, 0 to 1
	Idempotency                     Idempotency
	KeyScope                        Scope   // for IdempotentByKey: the caches that remember the key
	KeyWindow                       Millis  // for IdempotentByKey: how long they remember it
	Streamed                        bool    // answers are streamed: a Started event reports their start
	InParts                         bool    // objects are requested in parts
	Write                           bool    // executed by the origin; the answer is not cached
	Fresh, Grace                    Millis  // how long a copy is fresh (0: until purged), and may be served stale after that
	StaleWeightShare                float64 // share of the priority weight that a stale answer has, 0 to 1
}

// Settings configure a router. A field that is zero is not specified.
type Settings struct {
	RouterIndex, Routers     int                // number of this router; how many routers there are
	Zone                     string             // zone of this router
	Zones                    []string           // all zones
	RoutersByZone            []int              // number of routers in each of Zones
	HubOfZone                []int              // index in Zones of the hub of each zone
	LinkCapacity             map[string]float64 // capacity of the link into each zone, in KB per millisecond
	ParentKind               string             // Member.Kind of parents; empty: there are no parents
	OriginKind               string             // Member.Kind of the origin
	Classes                  []Class            // at least one
	TimerResolution          Millis             // resolution of the caller's timers
	AnswerSlack              Millis             // how long past its deadline a client still waits for an answer
	DrainGrace               Millis             // how long a draining member still takes attempts
	WarmUpInitialShare       float64            // share of its capacity that a cache has at its start, 0 to 1
	WarmUpTime               Millis             // time after which a cache has its whole capacity
	OverloadFactor           float64            // a cache fails at this multiple of its present capacity
	OverloadTime             Millis             // if the overload lasts this long
	ParentWarmUpInitialShare float64            // WarmUpInitialShare of parents
	ParentWarmUpTime         Millis             // WarmUpTime of parents
	ParentOverloadFactor     float64            // OverloadFactor of parents
	OriginOverloadFactor     float64            // OverloadFactor of the origin
	PurgeTime                Millis             // time after a purge within which all caches drop older copies
	PurgeSlack               Millis             // margin added to PurgeTime
	DirectAttempts           bool               // attempts may be sent to parents and the origin directly
	JoinFills                bool               // a request may join a fill that is in flight
	SiblingScope             Scope              // other caches that a cache may fill from
	Detail                   Detail             // what the Note of an Outcome reports
	FlowKBPerMs              float64            // transfer rate to one client, in KB per millisecond
	SizeIsCapacity           bool               // Member.Size is the member's capacity
	MaxAttempts              int                // attempts per request; 0: 4
	MaxRequests              int                // requests that the caller holds at a time
	MaxRetryAfter            Millis             // longest Retry-After that clients honor; 0: none is sent
	HedgedRequests           bool               // a request may have two attempts in flight
	CanCancel                bool               // attempts can be cancelled
	CanProbe                 bool               // caches can be probed
	WatchRequired            bool               // discovery sends updates only after a Watch
	PollInterval             Millis             // longest time between two requests to discovery
	LoadMetrics              []string           // names of the values in Outcome.Load
}

// Event is an input of Router.Handle.
type Event interface{ event() }

// State is the state of a member in the endpoint list.
type State int

// The states.
const (
	Serving  State = iota
	Draining       // completes the attempts that it has and takes no new ones
	Removed
)

// Member is an entry of the endpoint list: a cache, a parent or an origin.
type Member struct {
	ID, Zone, Kind string
	Cell           int
	State          State
	Size           float64 // capacity, if Settings.SizeIsCapacity
	ReadyAt        Millis  // time of its last start; 0: long ago
}

// Members is an update of the endpoint list: a snapshot (Full), which replaces the whole list, or
// a delta. Lost reports that a call to discovery failed; it has no rows.
type Members struct {
	Full, Lost bool
	Rows       []Member
}

// Request is a client's request for an object or for one of its parts.
type Request struct {
	ID, Class, Tenant, Object string
	Deadline                  Millis  // on the caller's clock; 0: after the class's Deadline
	KB                        float64 // size of the answer; 0: unknown
	Group                     int     // group of the object, for purges
	Part                      int     // index of the part, from 0
	Retry, Write              bool    // whether it is the client's retry of an earlier request; whether it is a write
}

// Result says how an attempt ended.
type Result int

// The results. NotExecuted tells which of them prove that the request did not run.
const (
	OK            Result = iota
	Errored              // answered with an error
	Rejected             // rejected for lack of capacity
	TimedOut             // no answer within the timeout
	ConnectFailed        // no connection was established
	Reset                // the connection broke
	Cancelled            // cancelled by the router
	NotSent              // not sent
	Miss                 // the cache has no copy
	LocalFailure         // this router had no descriptor, port, buffer or route for it at the time
)

// NotExecuted reports whether the result proves that the request did not run.
func (r Result) NotExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == Miss || r == LocalFailure
}

// Note reports how the hit or fill of an attempt went.
type Note int

// The notes.
const (
	NoteNone              Note = iota
	NoteHit                    // answered from a cached copy
	NoteFilled                 // filled from the source
	NoteFilledByOrigin         // filled through the source from the origin
	NoteJoined                 // joined a fill in flight
	NoteStale                  // answered from a stale copy
	NoteSourceRejected         // the source rejected the fill
	NoteSourceUnreachable      // the source could not be reached
	NoteSourceMiss             // the source has no copy
	NoteNoCapacity             // the cache has no capacity for a fill
	NoteOriginFailed           // the origin failed
)

// Outcome reports the end of an attempt.
type Outcome struct {
	ID, Cache string
	Attempt   int // number of the attempt in its request
	Result    Result
	Took      Millis
	Last      bool // whether the request has ended
	Note      Note
	Waited    Millis    // how much of Took the target waited for its source
	Load      []float64 // load report of the target, in the order of Settings.LoadMetrics
}

// Started reports that a streamed answer has begun. The request is then not retried.
type Started struct {
	ID, Cache string
	Attempt   int
}

// Stalled reports that an answer in transfer waits for its client to read (On), or that the
// transfer has resumed (not On).
type Stalled struct {
	ID      string
	Attempt int
	On      bool
}

// Gone reports that the client no longer waits for the answer.
type Gone struct{ ID string }

// Purge invalidates the copies of an object or, if Object is empty, of a group that are older than
// the purge.
type Purge struct {
	Object string
	Group  int
	Age    Millis // time since the purge was issued
}

// Timer reports that the time of a Wake has come. Token is the one of the Wake.
type Timer struct{ Token int64 }

// Probed is the result of a probe.
type Probed struct {
	Cache string
	OK    bool
	Load  []float64
}

// SettingsChanged replaces the settings, except Zone and RouterIndex. The router keeps its learned
// state. Settings for which Settings.Valid returns an error are ignored.
type SettingsChanged struct{ Settings Settings }

// Message is a message from another router.
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

// Reason says why a member was or was not chosen for an attempt.
type Reason int

// The reasons.
const (
	ReasonAccepted           Reason = iota
	ReasonOverLoadBound             // its load is above the bound; a later pass may accept it
	ReasonFailedBefore              // an earlier attempt of the request failed at it; a later pass may accept it
	ReasonAlreadyConsidered         // an earlier pass has considered it
	ReasonOutsideKeyScope           // it is outside the scope that remembers the request's idempotency key
	ReasonUnavailable               // it is draining or removed
	ReasonEjected                   // it is ejected, and this request may not be its health check
	ReasonAtConcurrencyLimit        // it is at its concurrency limit
	ReasonSlowStartExhausted        // it is warming up and has no slow-start tokens left
	ReasonLinkAtLimit               // the link into the zone is at its concurrency limit
	ReasonAttemptsExhausted         // the request may make no further attempt
	ReasonNoMember                  // no member of the required role is available
)

// Candidate is a member that was considered for an attempt. Member is empty if the reason concerns
// the request itself.
type Candidate struct {
	Request, Member string
	AsSource        bool // considered as the source of a fill, not as the target
	Pass            int  // number of the pass over the members, from 0
	Reason          Reason
}

// Range is the half-open range of part indices [From, To) that a cache serves. To is -1 in the
// last range, which has no upper end.
type Range struct {
	Cache    string
	From, To int
}

// Action is an output of Router.Handle, to be carried out by the caller.
type Action interface{ action() }

// Send starts an attempt. The attempts of a request are numbered from 0.
type Send struct {
	ID, Cache, Source string // request; target; where the target fills from, the target itself for no fill
	Keep              int    // rank of the copy to cache, 1 to 3; 0: not cached
	Age               Millis // maximum age of the copy; always above 0
	Timeout           Millis // timeout of the attempt; 0: until the request's deadline
	Within            Millis // the attempt must be sent within this time or not at all; 0: no bound
	Join, Held, Renew bool   // join a fill in flight; fill only if the source has a copy; refresh an aging copy
}

// Refuse rejects a request. The client may retry it safely.
type Refuse struct {
	ID    string
	After Millis // Retry-After; 0: none
}

// Fail ends a request with a failure. The request may have run.
type Fail struct{ ID string }

// Cancel cancels an attempt. The Outcome of the attempt still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake requests a Timer event after the time In.
type Wake struct {
	In    Millis
	Token int64
}

// Probe requests a probe of a cache.
type Probe struct{ Cache string }

// Watch subscribes to the endpoint list.
type Watch struct{}

// Fetch requests a snapshot of the endpoint list from discovery.
type Fetch struct{}

func (Send) action()   {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Wake) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Fetch) action()  {}
