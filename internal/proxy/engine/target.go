package engine

import (
	"bytes"
	"fmt"
	"strconv"

	spool "indigospool"
)

// AnyGroup is the group of a request whose group is unknown; see Core.HTTPRequest.
const AnyGroup = -2

// HTTPRequest is the HTTP form of a spool.Request.
type HTTPRequest struct {
	Method string
	Path   string
	Fields [][2]string // name and value of each header field
}

// HTTPRequest returns an HTTP request that Classify, at the time now, converts into a request
// with the class, object, part, group, size, deadline and retry flag of q. It is the inverse of
// Classify, except that a path segment whose text is not in q becomes "x". HTTPRequest returns
// an error if no route leads to q.
func (c *Core) HTTPRequest(now spool.Millis, q *spool.Request) (h HTTPRequest, err error) {
	for i := range c.routes {
		r := &c.routes[i]
		if r.class != q.Class {
			continue
		}
		path := r.path(q)
		if path == nil {
			continue
		}
		h = HTTPRequest{Method: r.method(q.Write), Path: string(path)}
		if h.Method == "" || !c.routesTo(i, []byte(h.Method), path, q) {
			continue
		}
		add := func(name, value string) { h.Fields = append(h.Fields, [2]string{name, value}) }
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
		return h, nil
	}
	return HTTPRequest{}, fmt.Errorf("engine: no route of class %q leads to object %q part %d; use the settings of the router that received the request", q.Class, q.Object, q.Part)
}

// path returns the path that the route's pattern gives for q.
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
		case !afterObject: // part of the object's name
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

// method returns a method that the route accepts for a write or for a read, or "" if it
// accepts none.
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

// routesTo reports whether Classify assigns a path to the i-th route, and finds the object, the
// group and the part of q in it.
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
