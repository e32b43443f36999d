package config

import (
	"fmt"
	"net"
	"strings"
)

// Settings is the settings file of a router, and of all programs that reach
// its decisions. Spans are in milliseconds, sizes in KB unless said otherwise.
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

	anyRouter bool // no router's in particular: what a router brings is not missed
}

// Router is what one router is.
type Router struct {
	Place            Place
	Name             string `edn:"name" def:"edge"`
	Index            int    `edn:"me" min:"0"`                  // its number among the routers
	Routers          int    `edn:"of" def:"1" min:"1"`          // how many routers there are
	Zone             string `edn:"zone"`                        // its own
	Listen           string `edn:"listen" def:"127.0.0.1:8080"` // for clients
	Admin            string `edn:"admin"`                       // for PURGE and state; host:port, or the path of a Unix socket; empty: none
	DiscoveryAddress string `edn:"list"`                        // address of the list service; empty: the members below only
	AccessLog        string `edn:"log" def:"stderr"`            // access log: stderr, stdout, none or a file
	LogLevel         string `edn:"level" def:"info" oneof:"debug info warn error"`
	Seed             int    `edn:"seed" def:"1"`

	HotRestartSocket string `edn:"handover"` // path of a Unix socket, for a restart without a gap: a process that is started takes over from the one there; empty: none

	Journal             string `edn:"journal"`                                    // folder for the journal of decisions; empty: none
	JournalSegmentBytes int    `edn:"journal-part" def:"67108864" min:"4096"`     // bytes of a segment
	JournalTotalBytes   int    `edn:"journal-total" def:"2147483648" min:"65536"` // bytes of all; the oldest segments go
	JournalQueue        int    `edn:"journal-queue" def:"65536" min:"64"`         // records that wait for the disk; more are lost, and counted

	DeadlineHeader string `edn:"deadline-header" def:"Spool-Deadline"` // a client's own time in ms, lowers its class's
	SizeHeader     string `edn:"size-header" def:"Spool-KB"`           // size of the object's part, where the client knows it
	RetryHeader    string `edn:"retry-header" def:"Spool-Retry"`       // marks a client's repeat
}

// Limits bound what a router holds and how long it waits.
type Limits struct {
	Place                  Place
	Connections            int     `edn:"connections" def:"20000" min:"1"`
	MaxRequests            int     `edn:"held" def:"20000" min:"1"`          // requests in hand
	ReadAheadBytes         int     `edn:"pipelined" def:"16384" min:"1024"`  // bytes read ahead of a connection's present request
	HeadBytes              int     `edn:"head" def:"32768" min:"1024"`       // bytes of a head
	RequestLineBytes       int     `edn:"line" def:"8192" min:"256"`         // bytes of a request line
	Fields                 int     `edn:"fields" def:"100" min:"8"`          // field lines
	BodyBytes              int     `edn:"body" def:"1048576" min:"0"`        // bytes of a request's body
	BufferBytes            int     `edn:"buffer" def:"262144" min:"4096"`    // bytes that wait for a slow client
	HeadTimeout            float64 `edn:"head-time" def:"10000" min:"1"`     // for a whole request to come
	ClientIdle             float64 `edn:"client-idle" def:"60000" min:"1"`   // between requests
	WriteIdle              float64 `edn:"write-idle" def:"20000" min:"1"`    // a client that takes nothing
	ConnectTimeout         float64 `edn:"connect" def:"500" min:"1"`         // to a member
	BodyIdle               float64 `edn:"body-idle" def:"5000" min:"1"`      // a member that has begun to answer and sends nothing
	MemberConnections      int     `edn:"upstream" def:"512" min:"1"`        // connections a member
	Pipeline               int     `edn:"pipeline" def:"1" min:"1" max:"64"` // GETs on one connection to a member, once all of its connections are in use
	MemberIdle             float64 `edn:"upstream-idle" def:"15000" min:"1"` // kept unused for
	DrainTimeout           float64 `edn:"drain" def:"10000" min:"0"`         // to finish after SIGTERM
	PerAddress             int     `edn:"connections-per-address" def:"5000" min:"1"`
	MemoryMB               float64 `edn:"memory-mb" def:"512" min:"0"`     // that the process may use; near it idle connections go, then requests; 0: no limit
	HeadRate               float64 `edn:"head-rate" def:"0.1" min:"0"`     // KB a second that a request's head comes at, at least; 0: any
	HeadGrace              float64 `edn:"head-grace" def:"5000" min:"100"` // ms that a client may run up beyond what its bytes pay for
	ClientRate             float64 `edn:"client-rate" def:"2" min:"0"`     // KB a second that a client sends a body or takes an answer at, at least
	ClientGrace            float64 `edn:"client-grace" def:"30000" min:"100"`
	MemberRate             float64 `edn:"member-rate" def:"4" min:"0"` // KB a second that a member sends an answer at, at least
	MemberGrace            float64 `edn:"member-grace" def:"5000" min:"100"`
	MassSlownessShare      float64 `edn:"jury" def:"0.5" min:"0" max:"1"`           // where more of the members at work are slow at once, none is cut
	TickKB                 float64 `edn:"turn-kb" def:"2048" min:"16"`              // that a turn of the loop moves at most
	QuantumKB              float64 `edn:"quantum-kb" def:"256" min:"4"`             // that a class of weight 1 moves in its turn
	OverloadTarget         float64 `edn:"overload-target" def:"20" min:"1"`         // ms that ready bytes may wait for the router
	OverloadQueueingShare  float64 `edn:"overload-part" def:"0.25" min:"0" max:"1"` // of its time until the deadline, that a request may wait for its first attempt; 0: any
	OverloadMinInFlight    int     `edn:"overload-least" def:"64" min:"1"`          // requests in hand that are always allowed
	SocketKB               int     `edn:"socket-kb" def:"512" min:"0"`              // that the kernel holds of an answer, for a client and of a member each; 0: as much as it likes
	SocketsMB              float64 `edn:"sockets-mb" def:"512" min:"0"`             // that the kernel holds of answers for all clients; past it those that take nothing are cut; 0: no limit
	RetryShare             float64 `edn:"retry-share" def:"0.25" min:"0"`           // repeats for each first try, of all clients, while overloaded
	SuccessorTimeout       float64 `edn:"successor" def:"30000" min:"100"`          // ms that a process that takes over may take until it serves
	RetryBurst             int     `edn:"retry-burst" def:"200" min:"1"`            // repeats of one address at once; each first try gives one back
	PoorReputationRequests int     `edn:"poor-held" def:"16" min:"1"`               // requests in hand of all addresses that have wasted their places
	LogQueue               int     `edn:"log-queue" def:"8192" min:"16"`            // lines
	Attempts               int     `edn:"attempts" def:"6" min:"1" max:"100"`       // a request
	MaxRetryAfter          float64 `edn:"retry-after" def:"2000" min:"0"`           // longest advice to clients; 0: none
	HedgedRequests         bool    `edn:"second-copies"`
	DiscoveryBackoff       float64 `edn:"list-backoff" def:"200" min:"1"` // first wait before the list service is called again; doubles to 32 times
	DiscoveryLineBytes     int     `edn:"list-line" def:"4194304" min:"4096"`
	HalfClose              bool    `edn:"half-close"`                    // a client that has closed its side still waits for its answer
	NoCancel               bool    `edn:"no-cancel"`                     // members go on with what was given up
	TimerResolution        float64 `edn:"tick" def:"5" min:"0.1"`        // how early a deadline is met, half of it
	AnswerSlack            float64 `edn:"answer-slack" def:"50" min:"0"` // a client's wait past its deadline
	AcceptPerTick          int     `edn:"accept-per-turn" def:"64" min:"1"`
	LingerTime             float64 `edn:"linger" def:"500" min:"0"` // reads and drops what a client still sends after a fault's answer
}

// Rules are the figures of the five rules.
type Rules struct {
	Place                    Place
	DrainGrace               float64 `edn:"drain-grace" def:"500" min:"0"`
	WarmUpInitialShare       float64 `edn:"cold-from" def:"0.2" min:"0" max:"1"`
	WarmUpTime               float64 `edn:"cold-time" def:"18000" min:"0"`
	OverloadFactor           float64 `edn:"fall-factor" def:"4" min:"1"`
	OverloadTime             float64 `edn:"fall-time" def:"3000" min:"1"`
	ParentWarmUpInitialShare float64 `edn:"parent-cold-from" def:"0.06" min:"0" max:"1"`
	ParentWarmUpTime         float64 `edn:"parent-cold-time" def:"22000" min:"0"`
	ParentOverloadFactor     float64 `edn:"parent-fall" def:"2" min:"1"`
	PurgeTime                float64 `edn:"purge-takes" def:"6000" min:"0"`
	PurgeSlack               float64 `edn:"purge-slack" def:"300" min:"0"`
	Loosen                   bool    `edn:"loosen"` // this version may loosen a figure
}

// Fill says what caches and parents can do.
type Fill struct {
	Place          Place
	ParentKind     string   `edn:"parent-kind" def:"parent"`
	OriginKind     string   `edn:"origin-kind" def:"origin"`
	DirectAttempts bool     `edn:"direct"` // parents and the origin take attempts too
	JoinFills      bool     `edn:"joins"`
	SiblingScope   string   `edn:"siblings" def:"off" oneof:"off location any"`
	Detail         string   `edn:"detail" def:"all" oneof:"off hit all"`
	FlowKBPerMs    float64  `edn:"flow" def:"0" min:"0"` // KB a ms of one transfer to a client; 0: not known
	SizeIsCapacity bool     `edn:"sizes"`                // (size ...) of members is their capacity
	LoadMetrics    []string `edn:"feedback"`             // names of the load report's values
	RangeKB        int      `edn:"range-kb" def:"0" min:"0"`
	DefaultKB      float64  `edn:"default-kb" def:"0" min:"0"`
}

// Pages bound how pages are put together from fragments (docs/esi.md).
type Pages struct {
	Place             Place
	Fragments         int     `edn:"fragments" def:"256" min:"1"`               // different ones of a page
	Includes          int     `edn:"includes" def:"2000" min:"1"`               // met in a page and its fragments
	Depth             int     `edn:"depth" def:"4" min:"1" max:"16"`            // fragments in fragments
	Parallel          int     `edn:"parallel" def:"8" min:"1" max:"1024"`       // asked for at once, for one page
	Attempts          int     `edn:"attempts" def:"400" min:"1"`                // at members, for all fragments of a page
	StreamThresholdKB int     `edn:"whole-kb" def:"64" min:"1"`                 // of a fragment that waits until it is whole
	MaxBufferedKB     int     `edn:"piece-kb" def:"1024" min:"1" max:"65536"`   // of a fragment or page that has to be known whole
	WaitingKB         int     `edn:"held-kb" def:"1024" min:"16" max:"65536"`   // that may wait for its turn, of one page
	MaxPageMB         int     `edn:"most-mb" def:"64" min:"1"`                  // of a whole page
	Elements          int     `edn:"elements" def:"10000" min:"1"`              // of one template or fragment
	Nesting           int     `edn:"nesting" def:"16" min:"1" max:"100"`        // elements in elements
	Tag               int     `edn:"tag" def:"8192" min:"64"`                   // bytes of a tag
	Reserve           float64 `edn:"reserve" def:"100" min:"1"`                 // ms before the page's deadline by which its fragments are given up
	Malformed         string  `edn:"malformed" def:"error" oneof:"error as-is"` // what becomes of a page that is no valid ESI
}

// Zone is a location, or a hub.
type Zone struct {
	Place        Place
	Name         string  `edn:"@,required"`
	Hub          string  `edn:"hub"`                  // the hub zone it is tied to; itself of a hub
	Routers      int     `edn:"routers" min:"0"`      // in this zone
	LinkCapacity float64 `edn:"link" def:"0" min:"0"` // KB a ms; 0: not told
}

// Class is a class of requests.
type Class struct {
	Place                Place
	Name                 string  `edn:"@,required"`
	LatencyObjective     float64 `edn:"aim" def:"400" min:"1"`
	ObjectivePerSendTime float64 `edn:"aim-stretch" min:"0"`
	Deadline             float64 `edn:"deadline" def:"3000" min:"1"`
	PriorityWeight       float64 `edn:"worth" def:"1" min:"0"`
	LateWeightShare      float64 `edn:"late-worth" min:"0" max:"1"`
	Idempotency          string  `edn:"effect" def:"free" oneof:"free guarded single-shot"`
	KeyScope             string  `edn:"group" def:"nowhere" oneof:"nowhere cell zone all"` // of guarded: who drops repeats
	KeyWindow            float64 `edn:"window" min:"0"`                                    // of guarded: for how long
	TransferWeight       float64 `edn:"weight" def:"1" min:"0.01" max:"1000"`              // share of the loop's bytes, beside other classes that have any to move
	InParts              bool    `edn:"parts"`
	Pages                bool    `edn:"pages"` // its answers may be pages that are put together (ESI), where they say so
	Write                bool    `edn:"write"`
	Fresh                float64 `edn:"fresh" min:"0"` // 0: until purged
	Grace                float64 `edn:"grace" min:"0"`
	StaleWeightShare     float64 `edn:"stale-worth" min:"0" max:"1"`
}

// Route maps requests to classes. The first that fits is taken. A pattern's
// segments are text, {object}, {group}, {part}, or {name} of anything; * at the
// end takes the rest. The object's name is the path up to and with {object}.
type Route struct {
	Place   Place
	Pattern string   `edn:"@,required"`
	Class   string   `edn:"class,required"`
	Methods []string `edn:"methods"`       // default: GET and HEAD; of writes POST, PUT, PATCH and DELETE
	KB      float64  `edn:"kb" min:"0"`    // size, where it is the same for all
	Ranges  bool     `edn:"ranges"`        // the part is the Range's first byte over (fill (range-kb n))
	NoGroup bool     `edn:"without-group"` // {group} is only text
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
	Start   int     `edn:"start" min:"0"` // number of its start; another number: it came back empty

	FillFrom []string `edn:"fill-from"` // where an operator expects it to be filled from; checked, never obeyed
}

// Control is whom a router follows for versions of its settings. It then keeps
// of its file: this section, and of (router ...) all but (of n) and the names of
// headers. The rest of the file is what it starts with where nothing is stored.
type Control struct {
	Place            Place
	Services         []string `edn:"services"`                           // addresses; the first that answers is followed
	Store            string   `edn:"store"`                              // file of the last good version; empty: none is kept
	Start            string   `edn:"start" def:"file" oneof:"file wait"` // with nothing stored: by this file, or wait for the first version
	Protocol         string   `edn:"protocol" def:"delta" oneof:"delta full"`
	Name             string   `edn:"name"`                       // of the services, as their certificate has it
	Cert             string   `edn:"cert"`                       // the router's; empty: the channel is in the clear, on loopback only
	Key              string   `edn:"key"`                        // of it
	Roots            string   `edn:"authorities"`                // that the service's certificate must come from
	ReportInterval   float64  `edn:"report" def:"10000" min:"0"` // how often service is reported; 0: never
	Jitter           float64  `edn:"spread" def:"1000" min:"0"`  // see configversion.MachineSettings
	Lease            float64  `edn:"lease" def:"30000" min:"100"`
	UnconfirmedAfter float64  `edn:"old" def:"60000" min:"100"`
	StaleAfter       float64  `edn:"stale" def:"600000" min:"1000"`
	Backoff          float64  `edn:"backoff" def:"250" min:"1"`           // first wait before a service is called again; doubles to 64 times
	MaxBytes         int      `edn:"max-bytes" def:"16777216" min:"1024"` // of a version
}

// UsesControlService reports whether versions come from a service.
func (s *Settings) UsesControlService() bool { return len(s.Control.Services) > 0 }

// awaitsVersion reports whether the file alone is not meant to be served by.
func (s *Settings) awaitsVersion() bool {
	return s.anyRouter || s.UsesControlService() && s.Control.Start == "wait"
}

// ReadVersion reads the settings of a version from one text; see ReadSources.
func ReadVersion(file, src string, own, s *Settings) error {
	return ReadSources([]Source{{file, src}}, own, s)
}

// ReadSources reads the settings of a version from texts that are one. own, if given, is the file of the
// router that is to run it: its part of (router ...) and (control ...) go before
// the version's. Without it, only what holds at every router is checked.
func ReadSources(sources []Source, own, s *Settings) error {
	return readInto(sources, s, func() {
		if own == nil {
			s.anyRouter = true
			return
		}
		r, o := &s.Router, own.Router
		o.Routers, o.DeadlineHeader, o.SizeHeader, o.RetryHeader = r.Routers, r.DeadlineHeader, r.SizeHeader, r.RetryHeader
		o.Place = r.Place
		s.Router, s.Control = o, own.Control
		s.Control.Start = "file" // it must be complete now
	})
}

// Defaults are settings in which nothing is said. They are not good as they are.
func Defaults() *Settings {
	s := &Settings{}
	ReadVersion("", "(router)", nil, s)
	return s
}

// Check tells what contradicts itself.
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
			add(p, key, fmt.Sprintf("%q is no address", a), "write host:port, as 127.0.0.1:8080")
		}
	}
	address(s.Router.Place.Of("listen"), "router/listen", s.Router.Listen)
	if a := s.Router.Admin; a != "" && !strings.HasPrefix(a, "/") {
		address(s.Router.Place.Of("admin"), "router/admin", a)
		if host, _, err := net.SplitHostPort(a); err == nil && host != "localhost" && !net.ParseIP(host).IsLoopback() {
			add(s.Router.Place.Of("admin"), "router/admin", fmt.Sprintf("%q is not a loopback address", a),
				"the admin listener has no password: bind it to 127.0.0.1 or to a Unix socket")
		}
	}
	if h := s.Router.HotRestartSocket; h != "" && !strings.HasPrefix(h, "/") {
		add(s.Router.Place.Of("handover"), "router/handover", fmt.Sprintf("%q is no path of a socket", h), "write a whole path, as /run/spool/handover")
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
				"say who drops repeats and for how long")
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
		add(s.Router.Place.Pos, "member", "there is neither a member nor a list service", "add (member ...) or (router (list address))")
	}
	if s.Fill.ParentKind != "" && s.Fill.ParentKind == s.Fill.OriginKind {
		add(s.Fill.Place.Of("parent-kind"), "fill/parent-kind",
			fmt.Sprintf("parents and origin are both of kind %q", s.Fill.ParentKind), "name two kinds")
	}
}

func (s *Settings) checkControl(add func(p Pos, key, what, remedy string), address func(p Pos, key, a string)) {
	c := &s.Control
	for _, a := range c.Services {
		address(c.Place.Of("services"), "control/services", a)
		host, _, err := net.SplitHostPort(a)
		if c.Cert == "" && err == nil && host != "localhost" && !net.ParseIP(host).IsLoopback() {
			add(c.Place.Of("services"), "control/services", fmt.Sprintf("%q is not a loopback address, and there is no certificate", a),
				"give (cert FILE) (key FILE) (authorities FILE) (name SERVICE): versions say where requests go")
		}
	}
	if n := countGiven(c.Cert, c.Key, c.Roots, c.Name); n != 0 && n != 4 {
		add(c.Place.Pos, "control/cert", fmt.Sprintf("%d of cert, key, authorities and name are given", n), "give all four, or none")
	}
	if !s.UsesControlService() && len(c.Place.keys) > 0 {
		add(c.Place.Pos, "control", "no service is named", "add (services host:port ...)")
	}
}

func countGiven(values ...string) (n int) {
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

// CheckPattern says what is wrong with a route's pattern, or "".
func CheckPattern(p string) string {
	seen := map[string]bool{}
	segs := strings.Split(strings.TrimPrefix(p, "/"), "/")
	for i, seg := range segs {
		switch {
		case seg == "*":
			if i != len(segs)-1 {
				return "* stands before the end"
			}
		case strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}") && len(seg) > 2:
			if seen[seg] {
				return seg + " stands twice"
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
