package config

import (
	"fmt"
	"net"
	"strings"
)

// Settings are the settings of a router. Programs that compute a router's
// decisions read them as well. Durations are in milliseconds, sizes in KB
// unless stated otherwise.
type Settings struct {
	Router  Router   `edn:"router,required"`
	Limits  Limits   `edn:"limits"`
	Rules   Rules    `edn:"rules"`
	Fill    Fill     `edn:"fill"`
	Pages   Pages    `edn:"pages"`
	Zones   []Zone   `edn:"zone"`
	Classes []Class  `edn:"class"`
	Routes  []Route  `edn:"route"`
	Members []Member `edn:"member"`
	Control Control  `edn:"control"`

	anyRouter bool // of no particular router; what each router adds is not required
}

// Router identifies and configures one router.
type Router struct {
	Place            Place
	Name             string `edn:"name" def:"edge"`
	Index            int    `edn:"me" min:"0"`                  // number of this router, from 0
	Routers          int    `edn:"of" def:"1" min:"1"`          // number of routers
	Zone             string `edn:"zone"`                        // zone of this router
	Listen           string `edn:"listen" def:"127.0.0.1:8080"` // address for clients
	Admin            string `edn:"admin"`                       // address for PURGE and status: host:port, or the path of a Unix socket; empty: none
	DiscoveryAddress string `edn:"list"`                        // address of the discovery service; empty: only the members of this file
	AccessLog        string `edn:"log" def:"stderr"`            // stderr, stdout, none or a file
	LogLevel         string `edn:"level" def:"info" oneof:"debug info warn error"`
	Seed             int    `edn:"seed" def:"1"`

	HotRestartSocket string `edn:"handover"` // path of the Unix socket for hot restarts, on which a new process takes over from the running one; empty: none

	Journal             string `edn:"journal"`                                    // folder of the decision journal; empty: none
	JournalSegmentBytes int    `edn:"journal-part" def:"67108864" min:"4096"`     // size of a segment
	JournalTotalBytes   int    `edn:"journal-total" def:"2147483648" min:"65536"` // total size; the oldest segments are deleted
	JournalQueue        int    `edn:"journal-queue" def:"65536" min:"64"`         // records waiting to be written; further ones are dropped and counted

	DeadlineHeader string `edn:"deadline-header" def:"Spool-Deadline"` // header with the client's deadline in ms, which can only shorten that of the class
	SizeHeader     string `edn:"size-header" def:"Spool-KB"`           // header with the size of the object or part in KB, if the client knows it
	RetryHeader    string `edn:"retry-header" def:"Spool-Retry"`       // header that marks a client's retry
}

// Limits bound the resources and waiting times of a router.
type Limits struct {
	Place                  Place
	Connections            int     `edn:"connections" def:"20000" min:"1"`            // client connections
	MaxRequests            int     `edn:"held" def:"20000" min:"1"`                   // requests in flight
	ReadAheadBytes         int     `edn:"pipelined" def:"16384" min:"1024"`           // bytes read ahead of the current request of a connection
	HeadBytes              int     `edn:"head" def:"32768" min:"1024"`                // size of a request head
	RequestLineBytes       int     `edn:"line" def:"8192" min:"256"`                  // size of a request line
	Fields                 int     `edn:"fields" def:"100" min:"8"`                   // field lines of a head
	BodyBytes              int     `edn:"body" def:"1048576" min:"0"`                 // size of a request body
	BufferBytes            int     `edn:"buffer" def:"262144" min:"4096"`             // output buffered for a slow client
	HeadTimeout            float64 `edn:"head-time" def:"10000" min:"1"`              // for receiving a complete request
	ClientIdle             float64 `edn:"client-idle" def:"60000" min:"1"`            // idle time between requests
	WriteIdle              float64 `edn:"write-idle" def:"20000" min:"1"`             // for a client that reads nothing
	ConnectTimeout         float64 `edn:"connect" def:"500" min:"1"`                  // for connecting to a member
	BodyIdle               float64 `edn:"body-idle" def:"5000" min:"1"`               // for a member that has started its answer and sends nothing
	MemberConnections      int     `edn:"upstream" def:"512" min:"1"`                 // connections per member
	Pipeline               int     `edn:"pipeline" def:"1" min:"1" max:"64"`          // GETs in flight per connection to a member, if all connections to it are in use
	MemberIdle             float64 `edn:"upstream-idle" def:"15000" min:"1"`          // idle time of a connection to a member
	DrainTimeout           float64 `edn:"drain" def:"10000" min:"0"`                  // for completing requests after SIGTERM
	PerAddress             int     `edn:"connections-per-address" def:"5000" min:"1"` // connections per client address
	MemoryMB               float64 `edn:"memory-mb" def:"512" min:"0"`                // memory of the process; near the limit, idle connections are closed first, then requests are shed; 0: no limit
	HeadRate               float64 `edn:"head-rate" def:"0.1" min:"0"`                // minimum rate of a request head, in KB per second; 0: none
	HeadGrace              float64 `edn:"head-grace" def:"5000" min:"100"`            // ms by which a client may fall behind the minimum rate
	ClientRate             float64 `edn:"client-rate" def:"2" min:"0"`                // minimum rate at which a client sends a body or reads an answer, in KB per second
	ClientGrace            float64 `edn:"client-grace" def:"30000" min:"100"`         // as HeadGrace, for ClientRate
	MemberRate             float64 `edn:"member-rate" def:"4" min:"0"`                // minimum rate at which a member sends an answer, in KB per second
	MemberGrace            float64 `edn:"member-grace" def:"5000" min:"100"`          // as HeadGrace, for MemberRate
	MassSlownessShare      float64 `edn:"jury" def:"0.5" min:"0" max:"1"`             // share of slow members among the active ones above which none is disconnected
	TurnKB                 float64 `edn:"turn-kb" def:"2048" min:"16"`                // transferred per tick of the event loop
	QuantumKB              float64 `edn:"quantum-kb" def:"256" min:"4"`               // quantum of a class with TransferWeight 1 in deficit round robin
	OverloadTarget         float64 `edn:"overload-target" def:"20" min:"1"`           // target of the queueing delay in the router
	OverloadQueueingShare  float64 `edn:"overload-part" def:"0.25" min:"0" max:"1"`   // share of the time until its deadline that a request may wait for its first attempt; 0: any
	OverloadMinInFlight    int     `edn:"overload-least" def:"64" min:"1"`            // requests in flight that are always admitted
	SocketKB               int     `edn:"socket-kb" def:"512" min:"0"`                // buffered by the kernel per socket of a client or a member; 0: chosen by the kernel
	SocketsMB              float64 `edn:"sockets-mb" def:"512" min:"0"`               // buffered by the kernel for all clients; above it, clients that read nothing are disconnected; 0: no limit
	RetryShare             float64 `edn:"retry-share" def:"0.25" min:"0"`             // retries per first attempt of all clients during overload
	SuccessorTimeout       float64 `edn:"successor" def:"30000" min:"100"`            // for the successor in a hot restart to be ready
	RetryBurst             int     `edn:"retry-burst" def:"200" min:"1"`              // retries of a client address in a burst; each first attempt refills one
	PoorReputationRequests int     `edn:"poor-held" def:"16" min:"1"`                 // requests in flight of all client addresses with a poor reputation
	LogQueue               int     `edn:"log-queue" def:"8192" min:"16"`              // lines waiting to be written
	Attempts               int     `edn:"attempts" def:"6" min:"1" max:"100"`         // attempts per request
	MaxRetryAfter          float64 `edn:"retry-after" def:"2000" min:"0"`             // longest Retry-After; 0: none is sent
	HedgedRequests         bool    `edn:"second-copies"`                              // a request may have two attempts in flight
	DiscoveryBackoff       float64 `edn:"list-backoff" def:"200" min:"1"`             // first delay before the discovery service is called again; doubles up to 32 times this
	DiscoveryLineBytes     int     `edn:"list-line" def:"4194304" min:"4096"`         // size of a line of the discovery stream
	HalfClose              bool    `edn:"half-close"`                                 // a client that has closed its sending side still gets its answer
	NoCancel               bool    `edn:"no-cancel"`                                  // attempts cannot be cancelled; members complete them
	TimerResolution        float64 `edn:"tick" def:"5" min:"0.1"`                     // timers run up to half of it early
	AnswerSlack            float64 `edn:"answer-slack" def:"50" min:"0"`              // how long past its deadline a client still waits
	AcceptPerTurn          int     `edn:"accept-per-turn" def:"64" min:"1"`           // connections accepted per tick of the event loop
	LingerTime             float64 `edn:"linger" def:"500" min:"0"`                   // how long input is read and discarded after an error response
}

// Rules are the parameters of the rules that a router's decisions must keep.
type Rules struct {
	Place                    Place
	DrainGrace               float64 `edn:"drain-grace" def:"500" min:"0"`               // how long a draining member still takes attempts
	WarmUpInitialShare       float64 `edn:"cold-from" def:"0.2" min:"0" max:"1"`         // share of its capacity that a cache has at its start
	WarmUpTime               float64 `edn:"cold-time" def:"18000" min:"0"`               // time after which a cache has its whole capacity
	OverloadFactor           float64 `edn:"fall-factor" def:"4" min:"1"`                 // a cache fails at this multiple of its present capacity
	OverloadTime             float64 `edn:"fall-time" def:"3000" min:"1"`                // if the overload lasts this long
	ParentWarmUpInitialShare float64 `edn:"parent-cold-from" def:"0.06" min:"0" max:"1"` // WarmUpInitialShare of parents
	ParentWarmUpTime         float64 `edn:"parent-cold-time" def:"22000" min:"0"`        // WarmUpTime of parents
	ParentOverloadFactor     float64 `edn:"parent-fall" def:"2" min:"1"`                 // OverloadFactor of parents
	PurgeTime                float64 `edn:"purge-takes" def:"6000" min:"0"`              // time after a purge within which all caches drop older copies
	PurgeSlack               float64 `edn:"purge-slack" def:"300" min:"0"`               // margin added to PurgeTime
	Loosen                   bool    `edn:"loosen"`                                      // this version may loosen a rule that requests in flight depend on
}

// Fill describes what caches and parents support.
type Fill struct {
	Place          Place
	ParentKind     string   `edn:"parent-kind" def:"parent"`                    // Member.Kind of parents
	OriginKind     string   `edn:"origin-kind" def:"origin"`                    // Member.Kind of the origin
	DirectAttempts bool     `edn:"direct"`                                      // attempts may be sent to parents and the origin directly
	JoinFills      bool     `edn:"joins"`                                       // a request may join a fill that is in flight
	SiblingScope   string   `edn:"siblings" def:"off" oneof:"off location any"` // other caches that a cache may fill from
	Detail         string   `edn:"detail" def:"all" oneof:"off hit all"`        // what members report about hits and fills
	FlowKBPerMs    float64  `edn:"flow" def:"0" min:"0"`                        // transfer rate to one client, in KB per ms; 0: unknown
	SizeIsCapacity bool     `edn:"sizes"`                                       // members' size is their capacity
	LoadMetrics    []string `edn:"feedback"`                                    // names of the values in load reports
	RangeKB        int      `edn:"range-kb" def:"0" min:"0"`                    // size of the parts of a route with ranges
	DefaultKB      float64  `edn:"default-kb" def:"0" min:"0"`
}

// Pages bound the assembly of ESI pages (docs/esi.md).
type Pages struct {
	Place             Place
	Fragments         int     `edn:"fragments" def:"256" min:"1"`               // distinct fragments of a page
	Includes          int     `edn:"includes" def:"2000" min:"1"`               // include elements processed in a page and its fragments
	Depth             int     `edn:"depth" def:"4" min:"1" max:"16"`            // nesting depth of fragments
	Parallel          int     `edn:"parallel" def:"8" min:"1" max:"1024"`       // fragments of a page fetched concurrently
	Attempts          int     `edn:"attempts" def:"400" min:"1"`                // attempts at members for all fragments of a page
	StreamThresholdKB int     `edn:"whole-kb" def:"64" min:"1"`                 // KB received of a fragment before it may be sent incomplete
	MaxBufferedKB     int     `edn:"piece-kb" def:"1024" min:"1" max:"65536"`   // KB of a fragment or page that must be complete before it is sent
	WaitingKB         int     `edn:"held-kb" def:"1024" min:"16" max:"65536"`   // KB of a page waiting to be sent at which reading ahead pauses, and limit on the KB buffered for one element
	MaxPageMB         int     `edn:"most-mb" def:"64" min:"1"`                  // size of an assembled page
	Elements          int     `edn:"elements" def:"10000" min:"1"`              // elements of a template or fragment
	Nesting           int     `edn:"nesting" def:"16" min:"1" max:"100"`        // nesting depth of elements
	Tag               int     `edn:"tag" def:"8192" min:"64"`                   // bytes of a tag
	Reserve           float64 `edn:"reserve" def:"100" min:"1"`                 // ms before the page's deadline at which fetches of fragments time out
	Malformed         string  `edn:"malformed" def:"error" oneof:"error as-is"` // what happens to a page with invalid ESI
}

// Zone is a location or a hub.
type Zone struct {
	Place        Place
	Name         string  `edn:"@,required"`
	Hub          string  `edn:"hub"`                  // hub of the zone; a hub names itself
	Routers      int     `edn:"routers" min:"0"`      // number of routers in the zone
	LinkCapacity float64 `edn:"link" def:"0" min:"0"` // capacity of the link into the zone, in KB per ms; 0: not specified
}

// Class is a class of requests.
type Class struct {
	Place                Place
	Name                 string  `edn:"@,required"`
	LatencyObjective     float64 `edn:"aim" def:"400" min:"1"`                              // an answer within it has its full priority weight
	ObjectivePerSendTime float64 `edn:"aim-stretch" min:"0"`                                // multiple of the send time that is added to the objective
	Deadline             float64 `edn:"deadline" def:"3000" min:"1"`                        // client's timeout, if the request has no deadline
	PriorityWeight       float64 `edn:"worth" def:"1" min:"0"`                              // weight of an answer in time
	LateWeightShare      float64 `edn:"late-worth" min:"0" max:"1"`                         // share of the priority weight that a late answer has
	Idempotency          string  `edn:"effect" def:"free" oneof:"free guarded single-shot"` // free: idempotent; guarded: has an idempotency key; single-shot: non-idempotent
	KeyScope             string  `edn:"group" def:"nowhere" oneof:"nowhere cell zone all"`  // of guarded: the caches that remember idempotency keys
	KeyWindow            float64 `edn:"window" min:"0"`                                     // of guarded: how long they remember them
	TransferWeight       float64 `edn:"weight" def:"1" min:"0.01" max:"1000"`               // weight of the class when the event loop schedules transfers
	InParts              bool    `edn:"parts"`                                              // objects are requested in parts
	Pages                bool    `edn:"pages"`                                              // answers may be ESI pages, if they say so
	Write                bool    `edn:"write"`                                              // executed by the origin; the answer is not cached
	Fresh                float64 `edn:"fresh" min:"0"`                                      // how long a copy is fresh; 0: until purged
	Grace                float64 `edn:"grace" min:"0"`                                      // how long a stale copy may be served
	StaleWeightShare     float64 `edn:"stale-worth" min:"0" max:"1"`                        // share of the priority weight that a stale answer has
}

// Route maps requests to a class. The first route that matches applies. The
// segments of a pattern are text, {object}, {group}, {part}, or {name}, which
// matches any segment; * at the end matches the rest. The name of the object is
// the path up to and including {object}.
type Route struct {
	Place   Place
	Pattern string   `edn:"@,required"`
	Class   string   `edn:"class,required"`
	Methods []string `edn:"methods"`       // default: GET and HEAD; for a class of writes POST, PUT, PATCH and DELETE
	KB      float64  `edn:"kb" min:"0"`    // size of the objects, if all have the same
	Ranges  bool     `edn:"ranges"`        // the part is the first byte of the Range header, divided by (fill (range-kb n))
	NoGroup bool     `edn:"without-group"` // {group} has no meaning
}

// Member is a cache, a parent or an origin.
type Member struct {
	Place   Place
	ID      string  `edn:"@,required"`
	Zone    string  `edn:"zone"`
	Kind    string  `edn:"kind" def:"box"`
	Cell    int     `edn:"cell"`
	Size    float64 `edn:"size" def:"1" min:"0"`
	Address string  `edn:"address,required"`
	State   string  `edn:"state" def:"serving" oneof:"serving draining removed"`
	Start   int     `edn:"start" min:"0"` // counter of its starts; a new number means that its cache is empty

	FillFrom []string `edn:"fill-from"` // the fill sources that the operator expects; only checked
}

// Control configures from which control services a router gets versions of its
// settings. A version replaces all of the file except this section and the
// (router ...) section; of the latter it replaces (of n) and the names of
// headers. The rest of the file applies at the start if no version is stored.
type Control struct {
	Place            Place
	Services         []string `edn:"services"`                                // addresses; the first one that answers is used
	Store            string   `edn:"store"`                                   // file of the last valid version; empty: none
	Start            string   `edn:"start" def:"file" oneof:"file wait"`      // if nothing is stored: use this file, or wait for the first version
	Protocol         string   `edn:"protocol" def:"delta" oneof:"delta full"` // versions arrive as deltas or as full states
	Name             string   `edn:"name"`                                    // name in the certificate of the services
	Cert             string   `edn:"cert"`                                    // certificate of the router; empty: no TLS, for loopback addresses only
	Key              string   `edn:"key"`                                     // private key of the certificate
	Roots            string   `edn:"authorities"`                             // CA certificates for the service's certificate
	ReportInterval   float64  `edn:"report" def:"10000" min:"0"`              // interval of status reports; 0: none
	Jitter           float64  `edn:"spread" def:"1000" min:"0"`               // see configversion.MachineSettings
	Lease            float64  `edn:"lease" def:"30000" min:"100"`             // see configversion.MachineSettings
	UnconfirmedAfter float64  `edn:"old" def:"60000" min:"100"`               // see configversion.MachineSettings
	StaleAfter       float64  `edn:"stale" def:"600000" min:"1000"`           // see configversion.MachineSettings
	Backoff          float64  `edn:"backoff" def:"250" min:"1"`               // first delay before a service is called again; doubles up to 64 times this
	MaxBytes         int      `edn:"max-bytes" def:"16777216" min:"1024"`     // size of a version
}

// UsesControlService reports whether the router gets its settings from a control service.
func (s *Settings) UsesControlService() bool { return len(s.Control.Services) > 0 }

// awaitsVersion reports whether the router waits for a version, so that the file need not be
// complete.
func (s *Settings) awaitsVersion() bool {
	return s.anyRouter || s.UsesControlService() && s.Control.Start == "wait"
}

// ReadVersion reads the settings of a version from one text; see ReadSources.
func ReadVersion(file, src string, local, s *Settings) error {
	return ReadSources([]Source{{file, src}}, local, s)
}

// ReadSources reads the settings of a version that consists of several texts.
// If local is not nil, it is the file of the router that is to run the version,
// and its sections (router ...) and (control ...) take precedence as Control
// describes. Otherwise only conditions that hold for every router are checked.
func ReadSources(sources []Source, local, s *Settings) error {
	return readInto(sources, s, func() {
		if local == nil {
			s.anyRouter = true
			return
		}
		fromVersion, router := &s.Router, local.Router
		router.Routers, router.DeadlineHeader, router.SizeHeader, router.RetryHeader = fromVersion.Routers, fromVersion.DeadlineHeader, fromVersion.SizeHeader, fromVersion.RetryHeader
		router.Place = fromVersion.Place
		s.Router, s.Control = router, local.Control
		s.Control.Start = "file" // with a version, the settings must be complete
	})
}

// Defaults returns settings with all defaults. They lack required values.
func Defaults() *Settings {
	s := &Settings{}
	ReadVersion("", "(router)", nil, s)
	return s
}

// Check reports contradictions and references to names that are not defined.
func (s *Settings) Check(f *Faults) {
	add := func(p Pos, key, what, remedy string) { *f = append(*f, Fault{p, key, what, remedy}) }
	zones := map[string]bool{}
	for _, z := range s.Zones {
		if zones[z.Name] {
			add(z.Place.Pos, "zone", fmt.Sprintf("zone %q is named twice", z.Name), "keep one of them")
		}
		zones[z.Name] = true
	}
	for _, z := range s.Zones {
		if z.Hub != "" && !zones[z.Hub] {
			add(z.Place.Of("hub"), "zone/hub", fmt.Sprintf("hub %q is no zone", z.Hub), fmt.Sprintf("add (zone %s)", z.Hub))
		}
	}
	if s.Router.Zone == "" && !s.anyRouter {
		add(s.Router.Place.Pos, "router/zone", "the router's zone is not given", "add (zone name) to (router ...)")
	} else if len(s.Zones) > 0 && !zones[s.Router.Zone] && !s.awaitsVersion() {
		add(s.Router.Place.Of("zone"), "router/zone", fmt.Sprintf("%q is no zone", s.Router.Zone),
			fmt.Sprintf("add (zone %s), or name one of those listed", s.Router.Zone))
	}
	if s.Router.Index >= s.Router.Routers && !s.awaitsVersion() {
		add(s.Router.Place.Of("me"), "router/me", fmt.Sprintf("router number %d of %d", s.Router.Index, s.Router.Routers),
			"numbers run from 0; raise (of n)")
	}
	address := func(p Pos, key, a string) {
		if _, _, err := net.SplitHostPort(a); err != nil {
			add(p, key, fmt.Sprintf("%q is not an address", a), "write host:port, such as 127.0.0.1:8080")
		}
	}
	address(s.Router.Place.Of("listen"), "router/listen", s.Router.Listen)
	if a := s.Router.Admin; a != "" && !strings.HasPrefix(a, "/") {
		address(s.Router.Place.Of("admin"), "router/admin", a)
		if host, _, err := net.SplitHostPort(a); err == nil && host != "localhost" && !net.ParseIP(host).IsLoopback() {
			add(s.Router.Place.Of("admin"), "router/admin", fmt.Sprintf("%q is not a loopback address", a),
				"the admin listener has no authentication: bind it to 127.0.0.1 or to a Unix socket")
		}
	}
	if h := s.Router.HotRestartSocket; h != "" && !strings.HasPrefix(h, "/") {
		add(s.Router.Place.Of("handover"), "router/handover", fmt.Sprintf("%q is not an absolute path", h), "write the whole path of a socket, such as /run/spool/handover")
	}
	if s.Router.DiscoveryAddress != "" {
		address(s.Router.Place.Of("list"), "router/list", s.Router.DiscoveryAddress)
	}
	s.checkControl(add, address)
	classes := map[string]*Class{}
	if len(s.Classes) == 0 && (s.anyRouter || !s.awaitsVersion()) {
		add(s.Router.Place.Pos, "class", "no class is given", "add (class name ...)")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if classes[c.Name] != nil {
			add(c.Place.Pos, "class", fmt.Sprintf("class %q is named twice", c.Name), "keep one of them")
		}
		classes[c.Name] = c
		if c.LatencyObjective > c.Deadline {
			add(c.Place.Of("aim"), "class/aim", fmt.Sprintf("aim %v is past the deadline %v", c.LatencyObjective, c.Deadline),
				"lower the aim or raise the deadline")
		}
		if c.Idempotency == "guarded" && (c.KeyWindow <= 0 || c.KeyScope == "nowhere") {
			add(c.Place.Of("effect"), "class/effect", "a guarded class needs (window ms) and (group cell|zone|all)",
				"set which caches drop repeats and for how long")
		}
	}
	if len(s.Routes) == 0 && (s.anyRouter || !s.awaitsVersion()) {
		add(s.Router.Place.Pos, "route", "no route is given", `add (route "/path/{object}" (class name))`)
	}
	for _, r := range s.Routes {
		if classes[r.Class] == nil {
			add(r.Place.Of("class"), "route/class", fmt.Sprintf("class %q is not given", r.Class), "add it, or name another")
		}
		if !strings.HasPrefix(r.Pattern, "/") {
			add(r.Place.Pos, "route", fmt.Sprintf("pattern %q does not begin with /", r.Pattern), "write the whole path")
		}
		if err := CheckPattern(r.Pattern); err != "" {
			add(r.Place.Pos, "route", fmt.Sprintf("pattern %q: %s", r.Pattern, err), "see docs/operating.md")
		}
		if r.Ranges && s.Fill.RangeKB <= 0 {
			add(r.Place.Of("ranges"), "route/ranges", "the size of a part is not known", "add (range-kb n) to (fill ...)")
		}
	}
	ids := map[string]bool{}
	for _, m := range s.Members {
		if ids[m.ID] {
			add(m.Place.Pos, "member", fmt.Sprintf("member %q is named twice", m.ID), "keep one of them")
		}
		ids[m.ID] = true
		address(m.Place.Of("address"), "member/address", m.Address)
		if len(s.Zones) > 0 && m.Zone != "" && !zones[m.Zone] {
			add(m.Place.Of("zone"), "member/zone", fmt.Sprintf("%q is no zone", m.Zone), fmt.Sprintf("add (zone %s)", m.Zone))
		}
	}
	if len(s.Members) == 0 && s.Router.DiscoveryAddress == "" && !s.awaitsVersion() {
		add(s.Router.Place.Pos, "member", "no member and no discovery service is given", "add (member ...) or (router (list address))")
	}
	if s.Fill.ParentKind != "" && s.Fill.ParentKind == s.Fill.OriginKind {
		add(s.Fill.Place.Of("parent-kind"), "fill/parent-kind",
			fmt.Sprintf("parents and origin are both of kind %q", s.Fill.ParentKind), "name two kinds")
	}
}

// checkControl checks the section (control ...).
func (s *Settings) checkControl(add func(p Pos, key, what, remedy string), address func(p Pos, key, a string)) {
	c := &s.Control
	for _, a := range c.Services {
		address(c.Place.Of("services"), "control/services", a)
		host, _, err := net.SplitHostPort(a)
		if c.Cert == "" && err == nil && host != "localhost" && !net.ParseIP(host).IsLoopback() {
			add(c.Place.Of("services"), "control/services", fmt.Sprintf("%q is not a loopback address, and there is no certificate", a),
				"add (cert FILE) (key FILE) (authorities FILE) (name SERVICE): versions decide where requests are sent")
		}
	}
	if n := countGiven(c.Cert, c.Key, c.Roots, c.Name); n != 0 && n != 4 {
		add(c.Place.Pos, "control/cert", fmt.Sprintf("%d of cert, key, authorities and name are given", n), "set all four or none")
	}
	if !s.UsesControlService() && len(c.Place.keys) > 0 {
		add(c.Place.Pos, "control", "no service is named", "add (services host:port ...)")
	}
}

// countGiven returns the number of values that are not empty.
func countGiven(values ...string) (n int) {
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

// CheckPattern returns what is wrong with the pattern of a route, or "".
func CheckPattern(p string) string {
	seen := map[string]bool{}
	segs := strings.Split(strings.TrimPrefix(p, "/"), "/")
	for i, seg := range segs {
		switch {
		case seg == "*":
			if i != len(segs)-1 {
				return "* is allowed only at the end"
			}
		case strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}") && len(seg) > 2:
			if seen[seg] {
				return seg + " is used twice"
			}
			seen[seg] = true
		case strings.ContainsAny(seg, "{}*"):
			return fmt.Sprintf("segment %q is neither text nor one {name}", seg)
		}
	}
	if seen["{part}"] && !seen["{object}"] {
		return "{part} without {object}"
	}
	return ""
}
