package indigospool

// Millis is a time on the caller's clock, or a span of it, in milliseconds.
// The clock may start anywhere; it only goes forward.
type Millis = float64

// Effect says what a repeat of a request can do.
type Effect int

// The effect classes.
const (
	Free       Effect = iota // may be repeated and refused at will
	Guarded                  // repeats are dropped by a group of caches for a while
	SingleShot               // may be repeated only where it surely never ran
)

// Scope names a set of caches: those that drop a guarded request's repeats,
// or those that may be a source for one another.
type Scope int

// The scopes.
const (
	Nowhere Scope = iota
	Cell
	Location
	Everywhere
)

// Detail says how much an Outcome tells of hits and fills.
type Detail int

// The levels of detail.
const (
	DetailOff Detail = iota
	DetailHit
	DetailAll
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Aim              Millis  // full worth when answered within it
	AimStretch       float64 // the aim grows by this multiple of the own sending time
	Deadline         Millis  // the client's whole patience
	Worth, LateWorth float64 // worth in time; share of it paid when late
	Effect           Effect
	Group            Scope  // for Guarded: who drops repeats
	Window           Millis // for Guarded: how long they remember
	Streamed         bool   // answers are streamed (a Started event comes)
	InParts          bool   // objects come in parts
	Write            bool   // runs at the origin and is never kept
	Fresh, Grace     Millis // how long a copy is fresh (0: until purged), and usable after
	StaleWorth       float64
}

// Settings is what a router is told at its start. A zero value in a field
// means that nothing was said.
type Settings struct {
	Me, Routers    int // this router's number, and how many there are
	Zone           string
	Zones          []string
	RoutersByZone  []int // in the order of Zones
	HubOfZone      []int // in the order of Zones: place of the hub zone
	LinkIn         map[string]float64
	ParentKind     string // kind of the parents; empty: there are none
	OriginKind     string
	Classes        []Class
	Tick           Millis
	AnswerSlack    Millis
	DrainGrace     Millis
	ColdFrom       float64 // least part of its capacity with which a cache starts
	ColdTime       Millis  // longest time until it is warm
	FallFactor     float64 // it falls over at this multiple of its present capacity
	FallTime       Millis  // when the overload lasts this long
	ParentColdFrom float64
	ParentColdTime Millis
	ParentFall     float64
	OriginFall     float64
	PurgeTakes     Millis // all older copies are gone this long after a purge
	PurgeSlack     Millis
	Direct         bool  // parents and the origin take attempts too
	Joins          bool  // a request may join a fill under way
	Siblings       Scope // caches that may be a source
	Detail         Detail
	FlowKBPerMs    float64 // pace of one transfer to a client
	SizesCompare   bool    // Member.Size means capacity
	MaxAttempts    int
	MaxHeld        int
	MaxRetryAfter  Millis // longest wait that a client heeds; 0: none may be named
	SecondCopies   bool   // one request may have two attempts out
	Cancels        bool
	Probes         bool
	OnRequest      bool   // the list of caches has to be asked for
	AskWithin      Millis // ask again at least this often
	Feedback       []string
}

// Event is one thing that a router hears of.
type Event interface{ event() }

// State is a listed cache's state.
type State int

// The states.
const (
	Serving State = iota
	Draining
	Removed
)

// Member is a line of the list of caches, parents and origins.
type Member struct {
	ID, Zone, Kind string
	Cell           int
	State          State
	Size           float64
	ReadyAt        Millis // its last start; 0: long ago
}

// Members is news of the list. Full lists replace what was known; Lost says
// that a call to discovery failed and brings no rows.
type Members struct {
	Full, Lost bool
	Rows       []Member
}

// Request is a client's request for an object, or for one part of it.
type Request struct {
	ID, Class, Tenant, Object string
	Deadline                  Millis // on the clock
	KB                        float64
	Group                     int // group of the object, for purges
	Part                      int
	Retry, Write              bool
}

// Result says how an attempt ended.
type Result int

// The results. RanNot is true of those that prove that nothing was run.
const (
	OK Result = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
	Miss
	LocalFailure // it could not be begun here: no descriptor, port, buffer or route for now
)

// RanNot reports whether the result proves that the request did not run.
func (r Result) RanNot() bool {
	return r == Full || r == ConnectFailed || r == Moot || r == Miss || r == LocalFailure
}

// Note tells of an outcome's hit or fill.
type Note int

// The notes.
const (
	NoteNone Note = iota
	NoteHit
	NoteFilled
	NoteFilledByOrigin
	NoteJoined
	NoteStale
	NoteSourceRefused
	NoteSourceUnreached
	NoteSourceLacks
	NoteNoPlace
	NoteOriginFailed
)

// Outcome ends one attempt.
type Outcome struct {
	ID, Cache string
	Attempt   int
	Result    Result
	Took      Millis
	Last      bool // the request is over
	Note      Note
	Waited    Millis
	Load      []float64 // in the order of Settings.Feedback
}

// Started says that a streamed answer has begun: it is the client's now.
type Started struct {
	ID, Cache string
	Attempt   int
}

// Stalled says that an answer that has begun waits for its client (On), and for no
// member, or (not On) goes on again.
type Stalled struct {
	ID      string
	Attempt int
	On      bool
}

// Gone says that the client has left.
type Gone struct{ ID string }

// Purge voids older copies of one object or, with no object, of a group.
type Purge struct {
	Object string
	Group  int
	Age    Millis // how long ago it was made
}

// Timer is a Wake come due.
type Timer struct{ Token int64 }

// Probed is the result of a probe.
type Probed struct {
	Cache string
	OK    bool
	Load  []float64
}

// Resettled says that the settings are others from now on. The zone, the number
// of this router and what it has learned stay. Settings that contradict
// themselves change nothing: Settings.Valid tells beforehand.
type Resettled struct{ Settings Settings }

// Message came from another router.
type Message struct {
	From int
	Text string
}

func (Members) event()   {}
func (Request) event()   {}
func (Outcome) event()   {}
func (Started) event()   {}
func (Gone) event()      {}
func (Stalled) event()   {}
func (Purge) event()     {}
func (Timer) event()     {}
func (Probed) event()    {}
func (Message) event()   {}
func (Resettled) event() {}

// Reason says why a member was not taken for an attempt.
type Reason int

// The reasons.
const (
	Taken     Reason = iota
	OverBound        // it holds more than its share; it may be taken in a later pass
	LetDown          // it let the request down before; it may be taken in a later pass
	Passed           // looked at in an earlier pass already
	NotGroup         // outside of the group that drops the request's repeats
	Out              // it drains or is gone
	Suspect          // and not due for a trial, or not by this request
	GateFull         // it holds as much as it is thought to bear
	ColdSpent        // it is cold, and its budget is spent
	LinkFull         // the location's link bears no further fill now
	NoBudget         // the request may make no further attempt
	NoMember         // there is nobody to ask
)

// Look is one member that a choice looked at, in the order of looking. Member is
// empty of what concerns the request as such.
type Look struct {
	Request, Member string
	Source          bool // as a source, not as the cache
	Pass            int  // the first is 0
	Why             Reason
}

// Range is a cache's range of part indices: From, up to but not with To; To -1:
// all from there on.
type Range struct {
	Cache    string
	From, To int
}

// Action is one thing that a router wants done.
type Action interface{ action() }

// Send makes an attempt. Attempts of a request are numbered from 0.
type Send struct {
	ID, Cache, Source string // Source == Cache: no fill
	Keep              int    // rank of the copy, 1 to 3; 0: pass through
	Age               Millis // oldest copy that will do; always above 0
	Timeout           Millis
	Within            Millis // it must leave within this, or not at all; 0: no bound
	Join, Held, Renew bool   // join a fill; only what the source holds; renew an ageing copy
}

// Refuse is a final answer: turned away, a retry is harmless.
type Refuse struct {
	ID    string
	After Millis
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel stops the wait for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Timer event.
type Wake struct {
	In    Millis
	Token int64
}

// Probe checks a cache.
type Probe struct{ Cache string }

// Watch asks discovery for changes from now on.
type Watch struct{}

// Fetch asks discovery for the whole list, once.
type Fetch struct{}

func (Send) action()   {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Wake) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Fetch) action()  {}
