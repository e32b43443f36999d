package engine

import (
	"bytes"
	"fmt"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/protocol/http1"
)

// segKind is the kind of a path segment in a pattern.
type segKind uint8

const (
	segText   segKind = iota // literal text
	segAny                   // another {name}, or {group} in a route without groups: any text
	segObject                // {object}: the object's name ends with this segment
	segGroup                 // {group}
	segPart                  // {part}
	segRest                  // *: the rest of the path
)

type segment struct {
	kind segKind
	text []byte // of segText
}

// route is a compiled config.Route.
type route struct {
	segs            []segment
	class           string
	methods         [][]byte
	write           bool    // the class is of writes
	idempotentByKey bool    // writes need an Idempotency-Key
	kb              float64 // size of an object or part
	deadline        float64 // ms after the arrival of the request
	ranges          bool    // the Range header selects the part
	rangeBytes      int64   // size of a part that Range selects
	hasObject       bool    // the pattern contains {object}; without it the whole path is the object

	deadlineField, sizeField, retryField string // header names in lower case; empty: not used
}

// match is the result of matching a path with a pattern.
type match struct {
	object  int // length of the object's name, which begins the path
	group   int // -1: none
	part    int
	badPart bool // the segment of {part} is not a number
}

func compile(s *config.Settings, r *config.Route) (route, error) {
	if fault := config.CheckPattern(r.Pattern); fault != "" || !strings.HasPrefix(r.Pattern, "/") {
		return route{}, fmt.Errorf("engine: pattern %q: %s", r.Pattern, fault)
	}
	out := route{class: r.Class, kb: r.KB, ranges: r.Ranges, rangeBytes: int64(s.Fill.RangeKB) * 1024,
		deadlineField: strings.ToLower(s.Router.DeadlineHeader), sizeField: strings.ToLower(s.Router.SizeHeader),
		retryField: strings.ToLower(s.Router.RetryHeader)}
	for i := range s.Classes {
		if c := &s.Classes[i]; c.Name == r.Class {
			out.write, out.deadline, out.idempotentByKey = c.Write, c.Deadline, c.Idempotency == "guarded"
		}
	}
	for _, m := range r.Methods {
		out.methods = append(out.methods, []byte(strings.ToUpper(m)))
	}
	for _, seg := range strings.Split(r.Pattern[1:], "/") {
		k := segment{kind: segText, text: []byte(seg)}
		switch {
		case seg == "{object}":
			k.kind, out.hasObject = segObject, true
		case seg == "{group}" && !r.NoGroup:
			k.kind = segGroup
		case seg == "{part}":
			k.kind = segPart
		case seg == "*":
			k.kind = segRest
		case strings.HasPrefix(seg, "{"):
			k.kind = segAny
		}
		out.segs = append(out.segs, k)
	}
	return out, nil
}

// accepts reports whether the route accepts a method; write is isWrite of that method. If no
// methods are configured, a route of writes accepts every write but CONNECT, and any other
// route accepts GET and HEAD.
func (r *route) accepts(method []byte, write bool) bool {
	if len(r.methods) == 0 {
		if r.write {
			return write && string(method) != "CONNECT"
		}
		return string(method) == "GET" || string(method) == "HEAD"
	}
	for _, m := range r.methods {
		if bytes.Equal(m, method) {
			return true
		}
	}
	return false
}

// match reports whether the path of target, without the query, matches the pattern, and sets m
// to what the segments contain.
func (r *route) match(target []byte, m *match) bool {
	*m = match{group: -1}
	path := target
	if i := bytes.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if len(path) == 0 || path[0] != '/' {
		return false
	}
	at := 1
	for _, seg := range r.segs {
		if at > len(path) {
			return false
		}
		if seg.kind == segRest {
			at = len(path) + 1
			break
		}
		end := len(path)
		if i := bytes.IndexByte(path[at:], '/'); i >= 0 {
			end = at + i
		}
		text := path[at:end]
		if len(text) == 0 && seg.kind != segText {
			return false
		}
		switch seg.kind {
		case segText:
			if !bytes.Equal(text, seg.text) {
				return false
			}
		case segObject:
			m.object = end
		case segGroup:
			m.group = groupNumber(text)
		case segPart:
			m.part, m.badPart = parseNumber(text)
		}
		at = end + 1
	}
	if at != len(path)+1 {
		return false
	}
	if !r.hasObject {
		m.object = len(path)
	}
	return true
}

// parseNumber parses a decimal number of one to nine digits.
func parseNumber(b []byte) (n int, bad bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, true
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, true
		}
		n = n*10 + int(c-'0')
	}
	return n, false
}

// groupNumber returns the number by which the module knows a group: that in the text, or else
// 30 bits of the text's FNV-1a hash plus 1<<30, which no number of nine digits reaches.
func groupNumber(text []byte) int {
	if n, bad := parseNumber(text); !bad {
		return n
	}
	h := uint32(2166136261)
	for _, c := range text {
		h = (h ^ uint32(c)) * 16777619
	}
	return int(h>>1) | 1<<30
}

// GroupNumber returns the number by which the module knows a group named in a path.
func GroupNumber(text string) int { return groupNumber([]byte(text)) }

// Parse parses a request head within the limits of the settings; see http1.ParseRequest.
func (c *Core) Parse(buf []byte, h *http1.Head) (int, error) {
	l := &c.Settings.Limits
	return http1.ParseRequest(buf, h, http1.Limits{Line: l.RequestLineBytes, Head: l.HeadBytes, Fields: l.Fields})
}
