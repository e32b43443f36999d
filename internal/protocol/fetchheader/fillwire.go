// Package fetchheader encodes and decodes the HTTP fields of an attempt and of its
// outcome: the request field Spool-Fill and the response fields Cache-Status (RFC 9211),
// Spool-Copy and Spool-Load. All are structured fields (RFC 9651). Routers and caches use
// the package; docs/protocol.md defines the fields.
//
// The package holds no state and makes no decisions: it only maps a response to a Result
// and a Note of the decision module. The functions that a router calls for each attempt do
// not allocate and are tested against github.com/dunglas/httpsfv. The functions that only
// caches need use that library.
package fetchheader

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/dunglas/httpsfv"

	spool "indigospool"
	"indigospool/internal/protocol/http1"
)

// The fields of the protocol.
const (
	FillField           = "Spool-Fill"
	CopyField           = "Spool-Copy"
	LoadField           = "Spool-Load"
	StatusField         = "Cache-Status"
	IdempotencyKeyField = "Idempotency-Key"
)

// Attempt is what a router sends to a cache, parent or origin in addition to the
// request itself.
type Attempt struct {
	ID            string // identifies the request at the router
	Number        int    // number of the attempt in its request, from 0
	From          string // name of the router
	Class         string
	Object        string  // key of the object, used by purges; all parts of an object share it
	Group         int     // group of the object, used by purges; -1: none
	Source        string  // member to fill from; empty: only a cached copy is served, unless MayFetch
	SourceAddress string  // address of the source
	Keep          int     // rank of the copy to cache, 1 to 3; 0: not cached
	Age           float64 // maximum age of the copy, ms; 0: no bound given
	TimeLeft      float64 // time until the request's deadline at the router, ms; 0: not given
	Join          bool    // may join a fill in flight
	Held          bool    // fill only if the source has a copy
	Renew         bool    // refresh an aging copy in the background while it is served

	Via      string // in a fill: the cache that fills; empty: a router sent the request
	MayFetch bool   // in a fill: a source without a copy may fetch one from its configured upstream
}

// NewAttempt returns the attempt for a Send of the decision module. If the source is the
// target itself, the attempt has no source, so there is no fill. address is the address
// of the source, timeLeft the time until the request's deadline in milliseconds.
func NewAttempt(send *spool.Send, request *spool.Request, number int, from, address string, timeLeft float64) Attempt {
	a := Attempt{ID: send.ID, Number: number, From: from, Class: request.Class, Object: request.Object, Group: request.Group,
		Keep: send.Keep, Age: send.Age, TimeLeft: timeLeft, Join: send.Join, Held: send.Held, Renew: send.Renew}
	if send.Source != send.Cache {
		a.Source, a.SourceAddress = send.Source, address
	}
	return a
}

// Append appends the value of Spool-Fill, a Dictionary, to dst.
func (a *Attempt) Append(dst []byte) []byte {
	dst = appendString(append(dst, "id="...), a.ID)
	dst = strconv.AppendInt(append(dst, ", n="...), int64(a.Number), 10)
	dst = appendString(append(dst, ", from="...), a.From)
	dst = appendString(append(dst, ", class="...), a.Class)
	dst = appendString(append(dst, ", obj="...), a.Object)
	if a.Group >= 0 {
		dst = strconv.AppendInt(append(dst, ", group="...), int64(a.Group), 10)
	}
	if a.Source != "" {
		dst = appendString(append(dst, ", src="...), a.Source)
		dst = appendString(append(dst, ", at="...), a.SourceAddress)
	}
	dst = strconv.AppendInt(append(dst, ", keep="...), int64(a.Keep), 10)
	if a.Age > 0 {
		dst = appendDecimal(append(dst, ", age="...), a.Age)
	}
	if a.TimeLeft > 0 {
		dst = appendDecimal(append(dst, ", left="...), a.TimeLeft)
	}
	if a.Join {
		dst = append(dst, ", join"...)
	}
	if a.Held {
		dst = append(dst, ", held"...)
	}
	if a.Renew {
		dst = append(dst, ", renew"...)
	}
	if a.Via != "" {
		dst = appendString(append(dst, ", via="...), a.Via)
	}
	if a.MayFetch {
		dst = append(dst, ", fetch"...)
	}
	return dst
}

// appendString appends s as an sf-string. A byte that an sf-string cannot hold is replaced
// by '?'.
func appendString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			dst = append(dst, '\\', c)
		case c < ' ' || c >= 0x7f:
			dst = append(dst, '?')
		default:
			dst = append(dst, c)
		}
	}
	return append(dst, '"')
}

// appendDecimal appends v as an sf-decimal: at most 12 digits, a point and 1 to 3 digits.
// A value outside that range is replaced by the nearest bound.
func appendDecimal(dst []byte, v float64) []byte {
	const most = 999_999_999_999
	if !(v > -most && v < most) {
		v = min(max(v, -most), most)
	}
	start := len(dst)
	dst = strconv.AppendFloat(dst, v, 'f', 3, 64)
	for len(dst)-start > 3 && dst[len(dst)-1] == '0' && dst[len(dst)-2] != '.' {
		dst = dst[:len(dst)-1]
	}
	return dst
}

// ParseAttempt parses the values of Spool-Fill. Unknown members are ignored.
func ParseAttempt(values []string) (Attempt, error) {
	a := Attempt{Group: -1}
	d, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return a, fmt.Errorf("fetchheader: parse %s %q: %w", FillField, values, err)
	}
	for _, name := range d.Names() {
		m, _ := d.Get(name)
		item, ok := m.(httpsfv.Item)
		if !ok {
			return a, fmt.Errorf("fetchheader: %s: member %s is an inner list, want an item", FillField, name)
		}
		switch name {
		case "id":
			err = setValue(&a.ID, item)
		case "n":
			err = setInt(&a.Number, item)
		case "from":
			err = setValue(&a.From, item)
		case "class":
			err = setValue(&a.Class, item)
		case "obj":
			err = setValue(&a.Object, item)
		case "group":
			err = setInt(&a.Group, item)
		case "src":
			err = setValue(&a.Source, item)
		case "at":
			err = setValue(&a.SourceAddress, item)
		case "keep":
			err = setInt(&a.Keep, item)
		case "age":
			err = setNumber(&a.Age, item)
		case "left":
			err = setNumber(&a.TimeLeft, item)
		case "join":
			err = setValue(&a.Join, item)
		case "held":
			err = setValue(&a.Held, item)
		case "renew":
			err = setValue(&a.Renew, item)
		case "via":
			err = setValue(&a.Via, item)
		case "fetch":
			err = setValue(&a.MayFetch, item)
		} // later versions may define other members
		if err != nil {
			return a, fmt.Errorf("fetchheader: %s: member %s: %w", FillField, name, err)
		}
	}
	switch {
	case a.ID == "":
		err = errors.New("fetchheader: Spool-Fill has no id")
	case a.Source != "" && a.SourceAddress == "":
		err = fmt.Errorf("fetchheader: Spool-Fill: source %q has no address (at)", a.Source)
	case a.Keep < 0 || a.Keep > 3:
		err = fmt.Errorf("fetchheader: Spool-Fill: keep is %d, want 0 to 3", a.Keep)
	case a.Age < 0 || a.TimeLeft < 0:
		err = fmt.Errorf("fetchheader: Spool-Fill: age %v ms or left %v ms is negative", a.Age, a.TimeLeft)
	}
	return a, err
}

func setValue[T any](dst *T, item httpsfv.Item) error {
	v, ok := item.Value.(T)
	if !ok {
		return fmt.Errorf("value %v has type %T, want %T", item.Value, item.Value, v)
	}
	*dst = v
	return nil
}

func setInt(dst *int, item httpsfv.Item) error {
	v, ok := item.Value.(int64)
	if !ok || v < -1<<31 || v >= 1<<31 {
		return fmt.Errorf("value %v is not a 32-bit integer", item.Value)
	}
	*dst = int(v)
	return nil
}

func setNumber(dst *float64, item httpsfv.Item) error {
	switch v := item.Value.(type) {
	case int64:
		*dst = float64(v)
	case float64:
		*dst = v
	default:
		return fmt.Errorf("value %v is not a number", item.Value)
	}
	return nil
}

// Values of the detail parameter of Cache-Status by which a cache reports why a fill failed.
const (
	SourceRefused   = "source-refused"   // the source rejected the fill or answered with an error
	SourceUnreached = "source-unreached" // the source could not be reached
	SourceLacks     = "source-lacks"     // the source has no copy
	NoPlace         = "no-place"         // the cache has no capacity for a fill
	OriginFailed    = "origin-failed"    // the origin failed behind the source
)

// notesByDetail maps the details to the notes of the decision module.
var notesByDetail = map[string]spool.Note{
	SourceRefused: spool.NoteSourceRejected, SourceUnreached: spool.NoteSourceUnreachable,
	SourceLacks: spool.NoteSourceMiss, NoPlace: spool.NoteNoCapacity, OriginFailed: spool.NoteOriginFailed,
}

// CacheStatus reports how a cache handled an attempt. It is one member of the list
// Cache-Status.
type CacheStatus struct {
	Cache     string  // name of the cache
	Hit       bool    // answered from a cached copy
	TTL       float64 // remaining freshness lifetime of a hit, s; negative: stale; sent only if HasTTL
	HasTTL    bool
	Fwd       string // why the request was forwarded: "miss", "stale" or "bypass"
	Stored    bool   // the answer was cached
	Collapsed bool   // joined the fill of another request
	Detail    string // why a fill failed, such as NoPlace; empty: not given
}

// String returns the list member.
func (c CacheStatus) String() string {
	p := httpsfv.NewParams()
	if c.Hit {
		p.Add("hit", true)
		if c.HasTTL {
			p.Add("ttl", int64(c.TTL))
		}
	} else if c.Fwd != "" {
		p.Add("fwd", httpsfv.Token(c.Fwd))
	}
	if c.Stored {
		p.Add("stored", true)
	}
	if c.Collapsed {
		p.Add("collapsed", true)
	}
	if c.Detail != "" {
		p.Add("detail", httpsfv.Token(c.Detail))
	}
	s, err := httpsfv.Marshal(httpsfv.List{httpsfv.Item{Value: c.Cache, Params: p}})
	if err != nil {
		return `"?"`
	}
	return s
}

// memberStatus holds the parameters of a Cache-Status member that a router uses.
type memberStatus struct {
	hit, fwd, stale, collapsed bool
	detail                     []byte
}

// parseLastStatus returns the last member of Cache-Status, which the nearest cache added,
// and whether a member before it has the parameter fwd. Members and parameters that are
// malformed or unknown count as absent.
func parseLastStatus(v []byte) (last memberStatus, forwardedBefore bool) {
	for len(v) > 0 {
		var m []byte
		m, v = cutUnquoted(v, ',')
		forwardedBefore = forwardedBefore || last.fwd
		last = parseStatusMember(m)
	}
	return last, forwardedBefore
}

// cutUnquoted slices v around the first separator outside quoted strings. Without one,
// before is v and after is nil.
func cutUnquoted(v []byte, sep byte) (before, after []byte) {
	quoted := false
	for i := 0; i < len(v); i++ {
		switch c := v[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case c == sep && !quoted:
			return v[:i], v[i+1:]
		}
	}
	return v, nil
}

func parseStatusMember(m []byte) (s memberStatus) {
	_, m = cutUnquoted(m, ';') // the cache's name
	for len(m) > 0 {
		var p []byte
		p, m = cutUnquoted(m, ';')
		name, value, _ := bytes.Cut(bytes.TrimSpace(p), equalsSign)
		switch string(name) {
		case "hit":
			s.hit = string(value) != "?0"
		case "fwd":
			s.fwd = true
		case "collapsed":
			s.collapsed = string(value) != "?0"
		case "ttl":
			s.stale = len(value) > 0 && value[0] == '-'
		case "detail":
			s.detail = bytes.Trim(value, `"`)
		}
	}
	return s
}

var equalsSign = []byte("=")

// ClassifyResponse returns the result and the note of a response. copyOnly reports whether
// the attempt was for a cached copy only, without a fill. write reports whether the origin
// executes the request; it does not affect the classification.
//
// A 504 to an attempt for a copy only is a miss (RFC 9111, section 5.2.1.7). A 503 means
// that the request was rejected before it was executed. Any other 5xx is an error. Every
// other response is the answer for the object, a 404 too.
func ClassifyResponse(h *http1.Head, copyOnly, write bool) (spool.Result, spool.Note) {
	s, forwardedBefore := parseLastStatus(h.Get("cache-status"))
	note := spool.NoteNone
	switch {
	case s.detail != nil:
		note = notesByDetail[string(s.detail)]
	case s.hit && s.stale:
		note = spool.NoteStale
	case s.hit:
		note = spool.NoteHit
	case s.collapsed:
		note = spool.NoteJoined
	case s.fwd && forwardedBefore:
		note = spool.NoteFilledByOrigin
	case s.fwd:
		note = spool.NoteFilled
	}
	switch {
	case h.Status == 504 && copyOnly:
		if note != spool.NoteJoined {
			note = spool.NoteNone
		}
		return spool.Miss, note
	case h.Status == 503:
		return spool.Rejected, note
	case h.Status >= 500:
		return spool.Errored, note
	}
	return spool.OK, note
}

// CopyVersion is the content of Spool-Copy: version and age of the copy that a response
// was served from.
type CopyVersion struct {
	Number int64   // the origin's version of the object
	Age    float64 // time since the origin sent it, at the time of the response, ms
}

// String returns the value of Spool-Copy.
func (v CopyVersion) String() string {
	b := strconv.AppendInt([]byte("v="), v.Number, 10)
	return string(appendDecimal(append(b, ", age="...), v.Age))
}

// ParseCopyVersion parses the value of Spool-Copy. Unknown members are ignored.
func ParseCopyVersion(value string) (v CopyVersion, err error) {
	d, err := httpsfv.UnmarshalDictionary([]string{value})
	if err != nil {
		return v, fmt.Errorf("fetchheader: parse %s %q: %w", CopyField, value, err)
	}
	for _, name := range d.Names() {
		if item, ok := d.Get(name); ok {
			item, ok := item.(httpsfv.Item)
			switch {
			case ok && name == "v":
				err = setValue(&v.Number, item)
			case ok && name == "age":
				err = setNumber(&v.Age, item)
			}
			if err != nil {
				return v, fmt.Errorf("fetchheader: %s: member %s: %w", CopyField, name, err)
			}
		}
	}
	return v, nil
}

// FormatLoad returns the value of Spool-Load for a load report, a List of decimals.
func FormatLoad(load []float64) string {
	var b []byte
	for i, v := range load {
		if i > 0 {
			b = append(b, ", "...)
		}
		b = appendDecimal(b, v)
	}
	return string(b)
}

// ParseLoad parses a load report into the memory of dst. It returns an empty slice if the
// report is malformed.
func ParseLoad(dst []float64, value []byte) []float64 {
	dst = dst[:0]
	for len(value) > 0 {
		m := value
		if i := bytes.IndexByte(value, ','); i >= 0 {
			m, value = value[:i], value[i+1:]
		} else {
			value = nil
		}
		v, ok := parseDecimal(bytes.TrimSpace(m))
		if !ok {
			return dst[:0]
		}
		dst = append(dst, v)
	}
	return dst
}

// parseDecimal parses an sf-integer or sf-decimal.
func parseDecimal(b []byte) (v float64, ok bool) {
	negative := len(b) > 0 && b[0] == '-'
	if negative {
		b = b[1:]
	}
	scale, digits := 0.0, 0
	for i, c := range b {
		switch {
		case c >= '0' && c <= '9':
			if digits++; digits > 15 {
				return 0, false
			}
			if v = v*10 + float64(c-'0'); scale > 0 {
				scale *= 10
			}
		case c == '.' && scale == 0 && i > 0 && i < len(b)-1:
			scale = 1
		default:
			return 0, false
		}
	}
	if digits == 0 {
		return 0, false
	}
	if scale > 1 {
		v /= scale
	}
	if negative {
		v = -v
	}
	return v, true
}

// OnlyIfCached reports whether the values of Cache-Control contain only-if-cached.
func OnlyIfCached(values []string) bool {
	for _, v := range values {
		for _, d := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(d), "only-if-cached") {
				return true
			}
		}
	}
	return false
}
