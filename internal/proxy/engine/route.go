package engine

import (
	"bytes"
	"fmt"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/protocol/http1"
)

type segKind uint8

const (
	segText segKind = iota
	segAny
	segObject
	segGroup
	segPart
	segRest
)

type segment struct {
	kind segKind
	text []byte
}

// route is a compiled pattern.
type route struct {
	segs            []segment
	class           string
	methods         [][]byte
	write           bool // takes writes where no methods are named
	idempotentByKey bool
	kb              float64
	deadline        float64
	ranges          bool
	rangeBytes      int64
	hasObject       bool // the pattern names an object

	deadlineField, sizeField, retryField string
}

// match is what a path was found to name.
type match struct {
	object  int // length of the path up to the end of the object
	group   int // -1: none
	part    int
	badPart bool
}

func compile(s *config.Settings, r *config.Route) (route, error) {
	if what := config.CheckPattern(r.Pattern); what != "" || !strings.HasPrefix(r.Pattern, "/") {
		return route{}, fmt.Errorf("core: pattern %q: %s", r.Pattern, what)
	}
	out := route{class: r.Class, kb: r.KB, ranges: r.Ranges, rangeBytes: int64(s.Fill.RangeKB) * 1024,
		deadlineField: strings.ToLower(s.Router.DeadlineHeader), sizeField: strings.ToLower(s.Router.SizeHeader),
		retryField: strings.ToLower(s.Router.RetryHeader)}
	for i := range s.Classes {
		if c := &s.Classes[i]; c.Name == r.Class {
			out.write, out.deadline, out.idempotentByKey = c.Write, c.Deadline, c.Effect == "guarded"
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

// match compares a path, without its query, with the pattern.
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

// groupNumber is the number of a group: itself where it is one, else a hash.
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

// GroupNumber is the number by which the module knows a group named in a path.
func GroupNumber(text string) int { return groupNumber([]byte(text)) }

// Parse reads a request head, with the limits of the settings.
func (c *Core) Parse(buf []byte, h *http1.Head) (int, error) {
	l := &c.Settings.Limits
	return http1.ParseRequest(buf, h, http1.Limits{Line: l.Line, Head: l.Head, Fields: l.Fields})
}
