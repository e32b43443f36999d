package engine

import (
	"bytes"
	"fmt"
	"strconv"

	spool "indigospool"
)

// AnyGroup is the group of a request whose group is not known; see Target.
const AnyGroup = -2

// HTTPRequest is how a request stands in HTTP.
type HTTPRequest struct {
	Method string
	Path   string
	Fields [][2]string
}

// HTTPRequest is the other way of Classify: a message that is classified as the request
// was at the time now, with the same class, object, part, group and size. What
// stood in segments that nothing is taken of is lost: x stands there. An error says
// that no route leads to it.
func (c *Core) HTTPRequest(now spool.Millis, q *spool.Request) (t HTTPRequest, err error) {
	for i := range c.routes {
		r := &c.routes[i]
		if r.class != q.Class {
			continue
		}
		path := r.path(q)
		if path == nil {
			continue
		}
		t = HTTPRequest{Method: r.method(q.Write), Path: string(path)}
		if t.Method == "" || !c.routesTo(i, []byte(t.Method), path, q) {
			continue
		}
		add := func(name, value string) { t.Fields = append(t.Fields, [2]string{name, value}) }
		if r.ranges {
			from := int64(q.Part) * r.rangeBytes
			add("Range", fmt.Sprintf("bytes=%d-%d", from, from+r.rangeBytes-1))
		}
		if q.KB > 0 && q.KB != r.kb && r.sizeField != "" {
			add(c.Settings.Router.SizeHeader, strconv.FormatFloat(q.KB, 'f', -1, 64))
		}
		if left := q.Deadline - now; left > 0 && left < r.deadline && r.deadlineField != "" {
			add(c.Settings.Router.DeadlineHeader, strconv.FormatFloat(left, 'f', -1, 64))
		}
		if q.Retry && r.retryField != "" {
			add(c.Settings.Router.RetryHeader, "1")
		}
		return t, nil
	}
	return HTTPRequest{}, fmt.Errorf("core: no route of class %q leads to object %q part %d; are these the settings of the router that took it?", q.Class, q.Object, q.Part)
}

// path is the path by which a route would be taken for a request; nil: by none.
func (r *route) path(q *spool.Request) []byte {
	if !r.hasObject {
		return []byte(q.Object)
	}
	out := []byte(q.Object)
	afterObject := false
	for _, seg := range r.segs {
		switch {
		case seg.kind == segObject:
			afterObject = true
		case !afterObject: // stands in the object's name
		case seg.kind == segText:
			out = append(append(out, '/'), seg.text...)
		case seg.kind == segPart:
			out = strconv.AppendInt(append(out, '/'), int64(q.Part), 10)
		case seg.kind == segGroup && q.Group >= 0:
			out = strconv.AppendInt(append(out, '/'), int64(q.Group), 10)
		default:
			out = append(out, "/x"...)
		}
	}
	return out
}

// method is one that the route takes.
func (r *route) method(write bool) string {
	if len(r.methods) == 0 {
		if r.write != write {
			return ""
		}
		return map[bool]string{true: "POST", false: "GET"}[write]
	}
	for _, m := range r.methods {
		if isWrite(m) == write {
			return string(m)
		}
	}
	return ""
}

// routesTo reports whether a path is taken by the i-th route, as the request was.
func (c *Core) routesTo(i int, method, path []byte, q *spool.Request) bool {
	if bytes.ContainsAny(path, " ?#") {
		return false
	}
	for n := range c.routes[:i+1] {
		r := &c.routes[n]
		var m match
		if !r.match(path, &m) || !r.accepts(method, isWrite(method)) {
			continue
		}
		return n == i && !m.badPart && string(path[:m.object]) == q.Object && (m.group == q.Group || q.Group == AnyGroup) && (r.ranges || m.part == q.Part)
	}
	return false
}
