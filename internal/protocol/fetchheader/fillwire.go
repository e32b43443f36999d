// Package fetchheader is the codec for an attempt and its outcome in HTTP: the request
// field Spool-Fill and the response fields Cache-Status (RFC 9211), Spool-Copy and
// Spool-Load, all of them structured fields (RFC 9651). Routers and caches both use it;
// docs/protocol.md is its definition in prose.
//
// It holds no state and decides nothing: it only says which Result and Note of the
// decision module a response amounts to. What the router does for each attempt is written
// here without allocation, and tested against github.com/dunglas/httpsfv; what only caches
// need uses that library.
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

// Attempt is what a router asks of a cache, parent or origin, beside the
// request itself.
type Attempt struct {
	ID            string // the router's name of the request
	Number        int    // of the attempt, from 0
	From          string // the router's name
	Class         string
	Object        string // what a purge names; all parts of an object share it
	Group         int    // group of the object, for purges; -1: none
	Source        string // member to fill from; empty: a look, answered from its own copy or not at all
	SourceAddress string // address of the source
	Keep          int    // rank of the copy, 1 to 3; 0: pass through
	Age           float64
	TimeLeft      float64 // time that the asker waits, ms; 0: not told
	Join          bool    // may join a fill under way
	Held          bool    // the source gives only what it holds
	Renew         bool    // renew an ageing copy behind the answer

	Via      string // of a fill: the cache that asks; empty: a router does
	MayFetch bool   // of a fill: the source may fetch what it lacks from where it is set to
}

// NewAttempt is the attempt that an action of the module asks for. Where a copy's
// own cache is named as its source, there is no fill.
func NewAttempt(send *spool.Send, request *spool.Request, number int, from, address string, timeLeft float64) Attempt {
	a := Attempt{ID: send.ID, Number: number, From: from, Class: request.Class, Object: request.Object, Group: request.Group,
		Keep: send.Keep, Age: send.Age, TimeLeft: timeLeft, Join: send.Join, Held: send.Held, Renew: send.Renew}
	if send.Source != send.Cache {
		a.Source, a.SourceAddress = send.Source, address
	}
	return a
}

// Append appends the value of Spool-Fill, a Dictionary.
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

// appendString writes an sf-string; what cannot stand in one is replaced by '?'.
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

// appendDecimal writes an sf-decimal: at most 12 digits, a point, 1 to 3 digits.
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

// ParseAttempt reads the value of Spool-Fill, as a cache does.
func ParseAttempt(values []string) (Attempt, error) {
	a := Attempt{Group: -1}
	d, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return a, fmt.Errorf("fillwire: %s %q: %w", FillField, values, err)
	}
	for _, name := range d.Names() {
		m, _ := d.Get(name)
		item, ok := m.(httpsfv.Item)
		if !ok {
			return a, fmt.Errorf("fillwire: %s: member %s is a list; an item is wanted", FillField, name)
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
		} // others are for later versions: ignored
		if err != nil {
			return a, fmt.Errorf("fillwire: %s: member %s: %w", FillField, name, err)
		}
	}
	switch {
	case a.ID == "":
		err = errors.New("fillwire: Spool-Fill names no id")
	case a.Source != "" && a.SourceAddress == "":
		err = fmt.Errorf("fillwire: Spool-Fill names the source %q without its address (at)", a.Source)
	case a.Keep < 0 || a.Keep > 3:
		err = fmt.Errorf("fillwire: Spool-Fill: keep is %d; 0 to 3 are known", a.Keep)
	case a.Age < 0 || a.TimeLeft < 0:
		err = errors.New("fillwire: Spool-Fill: a span is negative")
	}
	return a, err
}

func setValue[T any](dst *T, item httpsfv.Item) error {
	v, ok := item.Value.(T)
	if !ok {
		return fmt.Errorf("value %v is of another type", item.Value)
	}
	*dst = v
	return nil
}

func setInt(dst *int, item httpsfv.Item) error {
	v, ok := item.Value.(int64)
	if !ok || v < -1<<31 || v >= 1<<31 {
		return fmt.Errorf("value %v is no whole number of 32 bits", item.Value)
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
		return fmt.Errorf("value %v is no number", item.Value)
	}
	return nil
}

// Details that a cache states in Cache-Status when it could not fill.
const (
	SourceRefused   = "source-refused"
	SourceUnreached = "source-unreached"
	SourceLacks     = "source-lacks"
	NoPlace         = "no-place"
	OriginFailed    = "origin-failed"
)

var notesByDetail = map[string]spool.Note{
	SourceRefused: spool.NoteSourceRejected, SourceUnreached: spool.NoteSourceUnreachable,
	SourceLacks: spool.NoteSourceMiss, NoPlace: spool.NoteNoCapacity, OriginFailed: spool.NoteOriginFailed,
}

// CacheStatus is what a cache says of how it handled an attempt: one member of
// Cache-Status.
type CacheStatus struct {
	Cache     string
	Hit       bool
	TTL       float64 // seconds; below 0: past its fresh time. Told only of hits with HasTTL
	HasTTL    bool
	Fwd       string // why it went on: "miss", "stale", "bypass"
	Stored    bool
	Collapsed bool   // RFC 9211: collapsed
	Detail    string // one of the details above
}

// String is the list member.
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

// memberStatus is what a router reads of one Cache-Status member.
type memberStatus struct {
	hit, fwd, stale, collapsed bool
	detail                     []byte
}

// parseLastStatus reads the last member, which the nearest cache added, and whether
// one before it was forwarded by a miss. It reads loosely: what is not
// understood counts as not said.
func parseLastStatus(v []byte) (last memberStatus, forwardedBefore bool) {
	for len(v) > 0 {
		var m []byte
		m, v = cutUnquoted(v, ',')
		forwardedBefore = forwardedBefore || last.fwd
		last = parseStatusMember(m)
	}
	return last, forwardedBefore
}

// cutUnquoted cuts at the first separator outside of quoted strings.
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

// ClassifyResponse says which result and note a response amounts to. looked tells that
// only a copy was asked for; write that the request runs at the origin.
//
// 504 to a look is a miss (RFC 9111, section 5.2.1.7); 503 was turned away
// before anything ran; other 5xx are faults. All else is the object's answer,
// also where that is 404.
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

// CopyVersion is what Spool-Copy says of an answer's copy.
type CopyVersion struct {
	Number int64   // the origin's version of the object
	Age    float64 // ms since the origin gave it, at the time of the answer
}

// String is the value of Spool-Copy.
func (v CopyVersion) String() string {
	b := strconv.AppendInt([]byte("v="), v.Number, 10)
	return string(appendDecimal(append(b, ", age="...), v.Age))
}

// ParseCopyVersion reads Spool-Copy.
func ParseCopyVersion(value string) (v CopyVersion, err error) {
	d, err := httpsfv.UnmarshalDictionary([]string{value})
	if err != nil {
		return v, fmt.Errorf("fillwire: %s %q: %w", CopyField, value, err)
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
				return v, fmt.Errorf("fillwire: %s: member %s: %w", CopyField, name, err)
			}
		}
	}
	return v, nil
}

// FormatLoad writes a load report, a List of decimals.
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

// ParseLoad reads a load report into dst. A malformed report counts as none.
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

// parseDecimal reads an sf-integer or sf-decimal.
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

// OnlyIfCached reports whether a Cache-Control value asks for a held copy only.
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
