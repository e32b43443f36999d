package esi

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Action is what a page wants done.
type Action struct {
	Kind     ActionKind
	ID       int     // of the fragment
	URL      string  // path and query of it
	Deadline float64 // when it is given up; of a Wake: when Tick is due
}

// ActionKind is what an Act is.
type ActionKind uint8

// The kinds of acts.
const (
	Fetch   ActionKind = iota + 1 // ask for a fragment
	Cancel                        // nobody wants it any more: end what is out for it
	Restart                       // ask for the page itself again: Template begins anew
)

// Page puts a page together. Bytes and news go in, acts and bytes in their order come
// out; it keeps no clock, and no more than its Setup says.
type Page struct {
	s        Options
	vars     *Vars
	url      *url.URL
	deadline float64
	now      float64

	root     *seq
	parser   *Parser
	raw      []byte // of the template, where it may have to go out as it is
	meta     Meta
	pieces   []*piece
	byURL    map[string]*piece
	inlines  map[inDoc][]byte // that pages and fragments bring along, each for itself
	locals   map[inDoc]*piece
	brought  int64 // bytes of inlines
	holes    []*hole
	out      int // being fetched
	uses     int
	attempts int
	steps    int
	held     int64
	most     int64
	sent     int64
	at       []cursor
	acts     []Action
	waits    bool // it is the client that holds things up
	busy     bool // what went out is not taken yet
	late     bool // what fails now was late
	plain    bool
	mustEnd  float64 // what goes out is purged, and is old from then on; 0: it is not
	restarts int
	err      error
}

type pieceState uint8

const (
	wanting pieceState = iota
	fetching
	whole
	failed
)

// piece is a fragment, however often it is used.
type piece struct {
	id      int
	key     string
	url     *url.URL
	state   pieceState
	need    need
	until   float64
	cause   string
	data    []byte
	gone    int64 // bytes that went out and were dropped
	meta    Meta
	since   float64 // when its head came
	parser  *Parser
	seq     *seq // of one that is a page itself
	depth   int
	up      []*piece // those that it is used in
	uses    int      // holes that still wait for it
	begun   bool     // some of it went out
	brought bool     // its page brought it along
	doc     *piece   // that one; nil: the page itself
}

// hole is a place where a fragment goes.
type hole struct {
	p     *piece
	in    *seq
	alt   string
	cont  bool
	empty bool // it failed, and is left out
	done  bool // it went out, or is not wanted any more
}

// seq is a row of parts.
type seq struct {
	parts []part
	open  bool   // more may come
	gone  bool   // it is not wanted any more
	ready bool   // all of it is known: it can go out without a wait
	of    *piece // whose it is; nil: the template's
	up    *seq   // that it stands in, by a try
	tried bool   // it is an attempt: what fails in it has an except
}

type part struct {
	text    []byte
	hole    *hole
	attempt *seq
	except  *seq
	nodes   []Node // of except, until it is wanted
}

type cursor struct {
	s   *seq
	i   int
	off int
}

// NewPage begins a page that is at a path and query, and has time until deadline.
func NewPage(s Options, vars *Vars, path string, now, deadline float64) (*Page, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("esi: the page's own address: %w", err)
	}
	p := &Page{s: s.filled(), vars: vars, url: u, deadline: deadline, now: now}
	p.begin()
	return p, nil
}

func (p *Page) begin() {
	p.root = &seq{open: true}
	p.parser = NewParser(p.s.Parser)
	p.raw, p.pieces, p.holes, p.out, p.uses, p.held = nil, nil, nil, 0, 0, 0
	p.byURL, p.inlines = map[string]*piece{}, map[inDoc][]byte{}
	p.locals, p.brought = map[inDoc]*piece{}, 0
	p.at = append(p.at[:0], cursor{s: p.root})
}

// elapse is that time passes. While the next bytes are there and the client does not take
// them it is the client's: neither the page nor what is paused for it runs out of it.
func (p *Page) elapse(now float64) {
	if d := now - p.now; (p.waits || p.busy) && d > 0 {
		p.deadline += d
		for _, x := range p.pieces {
			if x.state == fetching {
				x.until += d
			}
		}
	}
	p.now = now
}

// SetClientBusy says whether the client has yet to take some of what went out.
func (p *Page) SetClientBusy(on bool, now float64) {
	p.elapse(now)
	p.busy = on
}

// clientHolds reports whether bytes could go out now.
func (p *Page) clientHolds() bool {
	n := len(p.at)
	if n == 0 || p.held == 0 {
		return false
	}
	c := &p.at[n-1]
	if c.i >= len(c.s.parts) {
		return !c.s.open
	}
	switch t := &c.s.parts[c.i]; {
	case t.hole != nil && !t.hole.empty && !t.hole.done:
		x := t.hole.p
		if x.seq != nil {
			return p.isReady(x.seq)
		}
		return x.state == whole || p.streams(x) && len(x.data) > c.off && (x.gone > 0 || int64(len(x.data)) >= p.s.StreamThreshold)
	case t.attempt != nil:
		return p.isReady(t.attempt)
	}
	return true
}

// Errors of pages, told by errors.Is.
var (
	ErrMalformed = errors.New("esi: malformed")
	ErrFragment  = errors.New("esi: a fragment is missing")
	ErrLimit     = errors.New("esi: past a limit")
	ErrPurged    = errors.New("esi: purged while it went out")
	ErrDeadline  = errors.New("esi: not whole by its deadline")
)

func (p *Page) stop(kind error, format string, args ...any) {
	if p.err != nil {
		return
	}
	p.err = fmt.Errorf("%w: %s", kind, fmt.Sprintf(format, args...))
	for _, x := range p.pieces {
		if x.state == fetching {
			p.acts = append(p.acts, Action{Kind: Cancel, ID: x.id})
		}
	}
	p.out = 0
}

// Err is why the page can't be made; nil: so far it can.
func (p *Page) Err() error { return p.err }

// Sent reports whether some of the page has gone out: from then on it can't be replaced
// by an error's.
func (p *Page) Sent() bool { return p.sent > 0 }

// Done reports whether all of the page has gone out.
func (p *Page) Done() bool { return p.err == nil && len(p.at) == 0 }

// Ready reports whether all of the page is known.
func (p *Page) Ready() bool { return p.err == nil && p.isReady(p.root) }

// Waiting is how many bytes wait, and Most how many ever did.
func (p *Page) Waiting() int64 { return p.held }

// MaxWaiting is how many bytes ever waited at once.
func (p *Page) MaxWaiting() int64 { return p.most }

// Attempts is how many attempts fragments have taken.
func (p *Page) Attempts() int { return p.attempts }

// Meta is what can be said of the whole page, once it is Ready.
func (p *Page) Meta() Meta {
	list := []Meta{p.meta}
	for _, h := range p.holes {
		if !h.empty && h.p != nil && h.p.state == whole {
			m := h.p.meta
			if m.Fresh > 0 {
				m.Fresh = max(m.Fresh-(p.now-h.p.since), 0)
			}
			list = append(list, m)
		}
		if h.empty { // it may be there the next time
			list = append(list, Meta{})
		}
	}
	return Combine(list)
}

// Do is what is wanted since the last call, and when Tick is due; 0: never.
func (p *Page) Actions(now float64) (acts []Action, tick float64) {
	p.elapse(now)
	p.schedule()
	p.waits = p.err == nil && p.clientHolds()
	acts, p.acts = p.acts, nil
	if p.err != nil || p.Done() {
		return acts, 0
	}
	tick = p.deadline
	for _, x := range p.pieces {
		if x.state == fetching {
			tick = min(tick, x.until)
		}
	}
	if p.mustEnd > 0 {
		tick = min(tick, p.mustEnd)
	}
	return acts, tick
}

// TemplateHead is the head of the template's answer. Without ESI it is text, whatever stands in it.
func (p *Page) TemplateHead(m Meta) { p.meta, p.plain = m, !m.ESI }

// Template is the next bytes of the page itself.
func (p *Page) Template(b []byte, now float64) {
	p.elapse(now)
	if p.err != nil {
		return
	}
	if p.plain {
		p.addText(p.root, b, false)
		return
	}
	if p.s.PassMalformed { // only a page that is known whole is known to be well formed
		p.keep(&p.raw, b, "the page")
		return
	}
	p.feed(p.parser, p.root, nil, p.url, b)
}

// TemplateEnd ends the page itself.
func (p *Page) TemplateEnd(now float64) {
	p.elapse(now)
	if p.err != nil {
		return
	}
	if p.plain {
		p.root.open = false
		return
	}
	if p.s.PassMalformed {
		raw := p.raw
		p.raw = nil
		p.held -= int64(len(raw))
		if wellFormed(raw, p.s.Parser) != nil {
			p.root.parts = []part{{text: raw}}
			p.hold(int64(len(raw)))
			p.root.open = false
			return
		}
		p.feed(p.parser, p.root, nil, p.url, raw)
	}
	nodes, err := p.parser.Close(nil)
	if err != nil {
		p.stop(ErrMalformed, "%v", err)
		return
	}
	p.build(p.root, nodes, p.url)
	p.root.open = false
	p.unkeep()
}

// wellFormed reads a page for its faults only.
func wellFormed(raw []byte, l Limits) error {
	check := NewParser(l)
	_, err := check.Feed(nil, raw)
	if err == nil {
		_, err = check.Close(nil)
	}
	return err
}

func (p *Page) keep(to *[]byte, b []byte, what string) {
	if int64(len(*to)+len(b)) > p.s.MaxBuffered {
		p.stop(ErrLimit, "%s is longer than %d bytes, and has to be known whole", what, p.s.MaxBuffered)
		return
	}
	*to = append(*to, b...)
	p.hold(int64(len(b)))
}

func (p *Page) hold(n int64) {
	p.held += n
	p.most = max(p.most, p.held)
}

// feed has a parser read on, and takes what it finds into a row.
func (p *Page) feed(parser *Parser, to *seq, of *piece, base *url.URL, b []byte) {
	nodes, err := parser.Feed(nil, b)
	if err == nil {
		p.build(to, nodes, base)
		return
	}
	if of == nil {
		p.stop(ErrMalformed, "%v", err)
		return
	}
	p.fail(of, err.Error())
}

// build takes nodes into a row.
func (p *Page) build(to *seq, nodes []Node, base *url.URL) {
	for i := range nodes {
		if p.err != nil || to.gone { // what came before may have failed all of it
			return
		}
		n := &nodes[i]
		switch n.Kind {
		case Text:
			p.addText(to, n.Text, false)
		case Expand:
			p.addText(to, p.vars.Expand(nil, string(n.Text), HTML), true)
		case Inline:
			if u := p.resolve(base, n.Src); u != nil {
				if at := (inDoc{to.of, u.RequestURI()}); p.inlines[at] == nil {
					if p.brought += int64(len(n.Text)); p.brought > p.s.MaxWaiting {
						p.stop(ErrLimit, "its inlines have more than %d bytes", p.s.MaxWaiting)
						return
					}
					p.inlines[at] = append([]byte{}, n.Text...)
				}
			}
		case Choose:
			for _, b := range n.Branches {
				if b.Test == nil || b.Test.True(p.vars) {
					p.build(to, b.Body, base)
					break
				}
			}
		case Try:
			to.parts = append(to.parts, part{nodes: n.Branches[1].Body})
			k := len(to.parts) - 1
			attempt := &seq{of: to.of, up: to, tried: true}
			to.parts[k].attempt = attempt
			p.build(attempt, n.Branches[0].Body, base)
		case Include:
			p.include(to, n, base)
		}
	}
}

func (p *Page) addText(to *seq, b []byte, own bool) {
	if len(b) == 0 {
		return
	}
	p.hold(int64(len(b)))
	if k := len(to.parts); k > 0 && to.parts[k-1].text != nil && !p.under(to, k-1) {
		to.parts[k-1].text = append(to.parts[k-1].text, b...)
		return
	}
	if !own {
		b = append([]byte(nil), b...)
	}
	to.parts = append(to.parts, part{text: b})
}

// under reports whether the cursor has passed or is at a part.
func (p *Page) under(s *seq, i int) bool {
	for k := range p.at {
		if p.at[k].s == s && p.at[k].i > i {
			return true
		}
	}
	return false
}

// resolve is the address of a fragment; nil: it is none that a page may ask for. Only
// the space of objects that the page's own host has is there: no other host or scheme.
func (p *Page) resolve(base *url.URL, src string) *url.URL {
	ref, err := url.Parse(string(p.vars.Expand(nil, src, URL)))
	if err != nil || ref.Opaque != "" || ref.User != nil || strings.Contains(ref.Path, "\\") {
		return nil
	}
	if ref.Host != "" && !strings.EqualFold(ref.Host, p.vars.Host) || ref.Scheme != "" && ref.Scheme != "http" && ref.Scheme != "https" {
		return nil
	}
	if ref.Scheme != "" && ref.Host == "" {
		return nil
	}
	u := base.ResolveReference(&url.URL{Path: ref.Path, RawPath: ref.RawPath, RawQuery: ref.RawQuery})
	if !strings.HasPrefix(u.Path, "/") || strings.HasPrefix(u.Path, "//") || control(u.Path) {
		return nil
	}
	return u
}

// include takes a place for a fragment into a row.
func (p *Page) include(to *seq, n *Node, base *url.URL) {
	if p.uses++; p.uses > p.s.Includes {
		p.stop(ErrLimit, "more than %d includes", p.s.Includes)
		return
	}
	h := &hole{in: to, cont: n.Continue}
	if n.Alt != "" {
		if u := p.resolve(base, n.Alt); u != nil {
			h.alt = u.RequestURI()
		}
	}
	p.holes = append(p.holes, h)
	to.parts = append(to.parts, part{hole: h})
	u := p.resolve(base, n.Src)
	if u == nil {
		p.fallback(h, fmt.Sprintf("src %.80q is no address of this host's", n.Src))
		return
	}
	p.want(h, u)
}

// want has a hole wait for a fragment.
func (p *Page) want(h *hole, u *url.URL) {
	key := u.RequestURI()
	of := h.in.of
	if key == p.url.RequestURI() || p.cycle(of, key) {
		p.fallback(h, fmt.Sprintf("%.80q is within itself", key))
		return
	}
	depth := 1
	if of != nil {
		depth = of.depth + 1
	}
	if depth > p.s.Depth {
		p.fallback(h, fmt.Sprintf("%.80q is nested deeper than %d", key, p.s.Depth))
		return
	}
	if at, has := p.inline(of, key); has {
		x := p.locals[at]
		fresh := x == nil || x.begun || x.state != whole
		if fresh {
			x = &piece{id: len(p.pieces), key: key, url: u, doc: at.of, brought: true, depth: depth}
			p.pieces = append(p.pieces, x)
			p.locals[at] = x
		}
		x.up, h.p = append(x.up, of), x
		x.uses++
		x.depth = max(x.depth, depth)
		if fresh {
			p.local(x, p.inlines[at])
		}
		return
	}
	x := p.byURL[key]
	if x == nil || x.begun { // what goes out already is not whole any more
		x = nil
	}
	if x == nil {
		if len(p.pieces) >= p.s.Fragments {
			p.fallback(h, fmt.Sprintf("%.80q is past the limit of %d fragments", key, p.s.Fragments))
			return
		}
		x = &piece{id: len(p.pieces), key: key, url: u}
		p.pieces = append(p.pieces, x)
		p.byURL[key] = x
	}
	x.depth = max(x.depth, depth)
	x.up = append(x.up, of)
	x.uses++
	h.p = x
	switch n := h.need(); {
	case x.state == failed:
		p.fallback(h, x.cause)
	case x.uses == 1 || n < x.need:
		x.need = n
	}
}

// inDoc is a name in a page or a fragment; nil: in the page itself.
type inDoc struct {
	of  *piece
	key string
}

// inline finds what a page or fragment has brought along by a name.
func (p *Page) inline(of *piece, key string) (inDoc, bool) {
	for {
		if _, has := p.inlines[inDoc{of, key}]; has {
			return inDoc{of, key}, true
		}
		if of == nil || !of.brought {
			return inDoc{}, false
		}
		of = of.doc // an inline has the names of where it stands
	}
}

// local gives a fragment the content that its page has brought along.
func (p *Page) local(x *piece, text []byte) {
	x.state, x.since, x.meta = whole, p.now, p.meta
	x.seq = &seq{of: x, open: true}
	x.parser = NewParser(p.s.Parser)
	p.feed(x.parser, x.seq, x, x.url, text)
	if x.state != failed {
		p.closePiece(x)
	}
}

func (h *hole) need() need {
	switch {
	case h.alt != "":
		return replaced
	case h.cont:
		return spared
	}
	for s := h.in; s != nil; s = s.up {
		if s.tried {
			return replaced // by the except
		}
	}
	if of := h.in.of; of != nil {
		return of.need // it is what fails then
	}
	return required
}

// cycle reports whether a key is that of a fragment or of one that it is used in.
func (p *Page) cycle(x *piece, key string) bool {
	seen := map[*piece]bool{}
	var look func(x *piece) bool
	look = func(x *piece) bool {
		if x == nil || seen[x] {
			return false
		}
		seen[x] = true
		if x.key == key {
			return true
		}
		for _, u := range x.up {
			if look(u) {
				return true
			}
		}
		return false
	}
	return look(x)
}

// schedule asks for fragments: first the one that the page waits for, then in the order
// of the page, as many as may be out and as long as there is room for what comes.
func (p *Page) schedule() {
	if p.err != nil {
		return
	}
	first, wanted := p.blocking(), 0
	for _, x := range p.pieces {
		if x.state == wanting && x.uses > 0 {
			wanted++
		}
	}
	if wanted == 0 {
		return
	}
	waves := p.s.waves(wanted)
	ask := func(x *piece) {
		if p.attempts >= p.s.Attempts {
			p.fail(x, fmt.Sprintf("the page's %d attempts are used up", p.s.Attempts))
			return
		}
		x.state, x.until = fetching, p.s.until(p.now, p.end(), waves, x.need)
		p.out++
		p.acts = append(p.acts, Action{Kind: Fetch, ID: x.id, URL: x.key, Deadline: x.until})
	}
	if first != nil && first.state == wanting {
		ask(first)
	}
	for i := 0; i < len(p.pieces) && p.err == nil && p.out < p.s.Parallel && p.held < p.s.MaxWaiting; i++ {
		if x := p.pieces[i]; x.state == wanting && x.uses > 0 { // a failure may add some
			ask(x)
		}
	}
	if first = p.blocking(); p.err == nil && first != nil && first.state == wanting {
		ask(first)
	}
}

// blocking is the first fragment that the page waits for; nil: none.
func (p *Page) blocking() *piece {
	for k := len(p.at) - 1; k >= 0; k-- {
		c := &p.at[k]
		from := c.i
		if k < len(p.at)-1 {
			from++ // that part is the row above
		}
		if x := p.firstOf(c.s, from); x != nil {
			return x
		}
		if x := c.s.of; c.s.open && x != nil && x.state == fetching {
			return x
		}
	}
	return nil
}

func (p *Page) firstOf(s *seq, from int) *piece {
	for i := from; i < len(s.parts); i++ {
		t := &s.parts[i]
		switch {
		case t.hole != nil && !t.hole.empty && !t.hole.done && t.hole.p != nil:
			x := t.hole.p
			if x.seq != nil {
				if !p.isReady(x.seq) {
					if y := p.firstOf(x.seq, 0); y != nil {
						return y
					}
				}
			}
			if x.state == wanting || x.state == fetching {
				return x
			}
		case t.except != nil:
			if y := p.firstOf(t.except, 0); y != nil {
				return y
			}
		case t.attempt != nil:
			if y := p.firstOf(t.attempt, 0); y != nil {
				return y
			}
		}
	}
	return nil
}

// CanRead reports whether more of a fragment is to be read now; with -1, of the template.
// What the page waits for is always read on.
func (p *Page) CanRead(id int) bool {
	if p.err != nil || p.held < p.s.MaxWaiting {
		return true
	}
	if id < 0 {
		return p.blocking() == nil && p.held < 2*p.s.MaxWaiting
	}
	x := p.pieces[id]
	return x == p.blocking() && (!p.streams(x) || int64(len(x.data)) < p.s.MaxWaiting)
}

// CountAttempt counts an attempt at a member for a fragment.
func (p *Page) CountAttempt() { p.attempts++ }

func (p *Page) piece(id int) *piece {
	if p.err != nil || id < 0 || id >= len(p.pieces) || p.pieces[id].state != fetching {
		return nil
	}
	return p.pieces[id]
}

// FragmentHead is the head of a fragment's answer.
func (p *Page) FragmentHead(id int, m Meta, now float64) {
	p.elapse(now)
	x := p.piece(id)
	if x == nil {
		return
	}
	x.meta, x.since = m, now
	if m.ESI {
		x.seq = &seq{of: x, open: true}
		x.parser = NewParser(p.s.Parser)
	}
}

// FragmentBody is the next bytes of a fragment.
func (p *Page) FragmentBody(id int, b []byte, now float64) {
	p.elapse(now)
	x := p.piece(id)
	if x == nil {
		return
	}
	if x.seq != nil && !p.s.PassMalformed {
		p.feed(x.parser, x.seq, x, x.url, b)
		return
	}
	if x.seq != nil || !p.streams(x) {
		if int64(len(x.data)+len(b)) > p.s.MaxBuffered {
			p.drop(x)
			p.fail(x, fmt.Sprintf("%.80q is longer than %d bytes, and has to be known whole", x.key, p.s.MaxBuffered))
			return
		}
	}
	x.data = append(x.data, b...)
	p.hold(int64(len(b)))
}

// streams reports whether a fragment may go out before it is whole.
func (p *Page) streams(x *piece) bool {
	if x.uses > 1 || x.seq != nil {
		return false
	}
	for _, h := range p.holes {
		if h.p == x && !h.empty && !h.done {
			return h.in.up == nil && (h.in.of == nil || h.in.of.begun)
		}
	}
	return false
}

// FragmentEnd ends a fragment's answer.
func (p *Page) FragmentEnd(id int, now float64) {
	p.elapse(now)
	x := p.piece(id)
	if x == nil {
		return
	}
	p.out--
	x.state = whole
	if x.seq == nil {
		return
	}
	if p.s.PassMalformed {
		raw := x.data
		if wellFormed(raw, p.s.Parser) != nil {
			x.seq, x.parser = nil, nil // as it is
			return
		}
		x.data = nil
		p.held -= int64(len(raw))
		p.feed(x.parser, x.seq, x, x.url, raw)
	}
	p.closePiece(x)
}

func (p *Page) closePiece(x *piece) {
	if x.state == failed || p.err != nil {
		return
	}
	nodes, err := x.parser.Close(nil)
	if err != nil {
		p.fail(x, err.Error())
		return
	}
	s := x.seq
	p.build(s, nodes, x.url)
	s.open = false
}

// FragmentFailed ends a fragment without an answer, or in the middle of one.
func (p *Page) FragmentFailed(id int, cause string, now float64) {
	p.elapse(now)
	if x := p.piece(id); x != nil {
		p.out--
		x.state = wanting
		p.late = now >= x.until-lateBy
		p.fail(x, cause)
		p.late = false
	}
}

// lateBy is how shortly before a fragment is given up its failure counts as one by time.
const lateBy = 20

// drop ends what is out for a fragment.
func (p *Page) drop(x *piece) {
	if x.state == fetching {
		p.out--
		x.state = wanting
		p.acts = append(p.acts, Action{Kind: Cancel, ID: x.id})
	}
}

// fail gives a fragment up, and has each of its places go on without.
func (p *Page) fail(x *piece, cause string) {
	if x.state == failed || p.err != nil {
		return
	}
	p.drop(x)
	p.empty(x)
	x.state, x.cause = failed, cause
	if x.begun {
		p.stop(ErrFragment, "%.80q broke off: %s", x.key, cause)
		return
	}
	for i := 0; i < len(p.holes) && p.err == nil; i++ {
		if h := p.holes[i]; h.p == x && !h.empty && !h.done {
			p.fallback(h, cause)
		}
	}
}

// empty forgets what came of a fragment.
func (p *Page) empty(x *piece) {
	p.held -= int64(len(x.data))
	x.data = nil
	if x.seq != nil {
		p.forget(x.seq)
		x.seq, x.parser = nil, nil
	}
}

// forget gives up a row: what only it waits for is not wanted any more.
func (p *Page) forget(s *seq) {
	for i := range s.parts {
		t := &s.parts[i]
		p.held -= int64(len(t.text))
		t.text = nil
		if h := t.hole; h != nil && !h.done {
			p.leave(h)
		}
		if t.attempt != nil {
			p.forget(t.attempt)
		}
		if t.except != nil {
			p.forget(t.except)
		}
	}
	s.parts, s.gone = nil, true
}

// leave has a hole wait for nothing any more.
func (p *Page) leave(h *hole) {
	if h.done {
		return
	}
	h.done = true
	x := h.p
	if x == nil {
		return
	}
	if x.uses--; x.uses > 0 {
		return
	}
	if x.state == whole && x.seq == nil && x.gone == 0 && p.root.open && p.held < p.s.MaxWaiting {
		x.begun = false // kept: the rest of the page may name it again
		return
	}
	switch x.state {
	case fetching:
		p.drop(x)
		p.empty(x)
	case whole:
		p.empty(x)
	}
	if x.state == wanting || x.state == whole { // it is asked for anew if another place wants it
		if p.byURL[x.key] == x {
			delete(p.byURL, x.key)
		}
		x.state = failed
	}
}

// unkeep forgets fragments that no place waits for.
func (p *Page) unkeep() {
	for _, x := range p.pieces {
		if x.uses == 0 && x.state == whole {
			p.empty(x)
			delete(p.byURL, x.key)
			x.state = failed
		}
	}
}

// fallback has a place go on whose fragment failed: with its alternative, without, or
// by what stands around it.
func (p *Page) fallback(h *hole, cause string) {
	if x := h.p; x != nil {
		h.p = nil
		x.uses--
	}
	if alt := h.alt; alt != "" {
		h.alt = ""
		if u, err := url.ParseRequestURI(alt); err == nil {
			p.want(h, u)
			return
		}
	}
	if h.cont {
		h.empty = true
		return
	}
	h.done = true
	p.broken(h.in, cause)
}

// broken has what is around a row go on without it.
func (p *Page) broken(s *seq, cause string) {
	for ; s != nil; s = s.up {
		if s.up == nil {
			break
		}
		for i := range s.up.parts {
			if t := &s.up.parts[i]; t.attempt == s {
				p.forget(s)
				t.attempt = nil
				t.except = &seq{of: s.of, up: s.up}
				nodes := t.nodes
				t.nodes = nil
				base := p.url
				if s.of != nil {
					base = s.of.url
				}
				except := t.except
				p.build(except, nodes, base)
				return
			}
		}
	}
	if s != nil && s.of != nil {
		p.fail(s.of, cause)
		return
	}
	if p.late {
		p.stop(ErrDeadline, "%s", cause)
		return
	}
	p.stop(ErrFragment, "%s", cause)
}

// isReady reports whether all of a row is known.
func (p *Page) isReady(s *seq) bool {
	if s.ready {
		return true
	}
	if s.open {
		return false
	}
	for i := range s.parts {
		t := &s.parts[i]
		switch {
		case t.hole != nil && !t.hole.empty && !t.hole.done:
			x := t.hole.p
			if x == nil || x.state != whole || x.seq != nil && !p.isReady(x.seq) {
				return false
			}
		case t.except != nil:
			if !p.isReady(t.except) {
				return false
			}
		case t.attempt != nil:
			if !p.isReady(t.attempt) {
				return false
			}
		}
	}
	s.ready = true
	return true
}

// Tick is that time has passed: fragments that are late are given up, and so is the page
// itself, where it can't be in time.
func (p *Page) Tick(now float64) {
	p.elapse(now)
	for _, x := range p.pieces {
		if p.err == nil && x.state == fetching && now >= x.until {
			p.drop(x)
			if x.begun {
				p.stop(ErrDeadline, "%.80q", x.key)
				return
			}
			p.late = true
			p.fail(x, fmt.Sprintf("%.80q did not come in time", x.key))
			p.late = false
		}
	}
	switch {
	case p.err != nil || p.Done():
	case p.mustEnd > 0 && now >= p.mustEnd:
		p.stop(ErrPurged, "what was sent of it is old by now")
	case now >= p.deadline && !p.Ready():
		p.stop(ErrDeadline, "%d fragments are out", p.out)
	}
}

// Purged is that copies of what a function names are old, those that go out until a time
// not yet. What has not begun to go out is asked for again at once; a page of which
// something has gone out must be whole by then.
func (p *Page) Purged(template bool, match func(url string) bool, until, now float64) {
	p.elapse(now)
	if p.err != nil || p.Done() {
		return
	}
	if template {
		if p.sent == 0 && p.restarts < 2 && p.s.worthAnother(now, p.deadline) {
			for _, x := range p.pieces {
				p.drop(x)
			}
			p.restarts++
			p.begin()
			p.acts = append(p.acts, Action{Kind: Restart})
			return
		}
		p.ends(until)
		return
	}
	for i := 0; i < len(p.pieces) && p.err == nil; i++ {
		x := p.pieces[i]
		if x.brought {
			continue
		}
		if x.uses == 0 && x.state == whole && match(x.key) {
			p.empty(x)
			delete(p.byURL, x.key)
			x.state = failed
		}
		if x.uses == 0 || x.state != fetching && x.state != whole || !match(x.key) {
			continue
		}
		if x.begun {
			p.ends(until)
			continue
		}
		p.refetch(x)
	}
}

func (p *Page) ends(until float64) {
	if p.mustEnd == 0 || until < p.mustEnd {
		p.mustEnd = until
	}
	if p.now >= p.mustEnd {
		p.stop(ErrPurged, "what was sent of it is old by now")
		return
	}
	for _, x := range p.pieces { // what the page can do without is not waited for past that
		if x.state == fetching && x.need != required {
			x.until = min(x.until, p.end()-p.s.Reserve)
		}
	}
}

// end is when the page has to be whole.
func (p *Page) end() float64 {
	if p.mustEnd > 0 {
		return min(p.deadline, p.mustEnd+p.s.Reserve-endBefore)
	}
	return p.deadline
}

// endBefore is how long, in ms, before a page has to end its last fragments are given up,
// so that what is behind them has time to go out.
const endBefore = 30

// refetch has a fragment be asked for anew.
func (p *Page) refetch(x *piece) {
	p.drop(x)
	p.empty(x)
	x.state, x.meta = wanting, Meta{}
	for _, y := range p.pieces {
		if y.seq != nil {
			unready(y.seq)
		}
	}
	unready(p.root)
}

func unready(s *seq) {
	s.ready = false
	for i := range s.parts {
		if t := &s.parts[i]; t.attempt != nil {
			unready(t.attempt)
		} else if t.except != nil {
			unready(t.except)
		}
	}
}

// mostSteps is how many parts a page may go through: nested fragments that are empty
// cost time, and no bytes.
const mostSteps = 200_000

// Take appends the next bytes of the page, at most most of them; none: it waits for
// something, is done, or has failed.
func (p *Page) Take(dst []byte, most int, now float64) []byte {
	p.elapse(now)
	had := len(dst)
	for p.err == nil && len(p.at) > 0 && len(dst)-had < most {
		if p.steps++; p.steps > mostSteps {
			p.stop(ErrLimit, "more than %d parts", mostSteps)
			break
		}
		c := &p.at[len(p.at)-1]
		if c.i >= len(c.s.parts) {
			if c.s.open {
				break
			}
			p.at = p.at[:len(p.at)-1]
			if n := len(p.at); n > 0 {
				p.passed(&p.at[n-1])
			}
			continue
		}
		t := &c.s.parts[c.i]
		room := most - (len(dst) - had)
		switch {
		case t.text != nil:
			n := min(room, len(t.text)-c.off)
			dst = append(dst, t.text[c.off:c.off+n]...)
			if c.off += n; c.off == len(t.text) {
				if p.once() {
					p.held -= int64(len(t.text))
					t.text = nil
				}
				c.i, c.off = c.i+1, 0
			}
		case t.hole != nil && !t.hole.empty && !t.hole.done:
			var more bool
			if dst, more = p.takeHole(dst, c, t.hole, room); !more {
				return p.took(dst, had)
			}
		case t.except != nil:
			p.at = append(p.at, cursor{s: t.except})
		case t.attempt != nil:
			if !p.isReady(t.attempt) {
				return p.took(dst, had)
			}
			p.at = append(p.at, cursor{s: t.attempt})
		default:
			c.i, c.off = c.i+1, 0
		}
	}
	return p.took(dst, had)
}

func (p *Page) took(dst []byte, had int) []byte {
	p.sent += int64(len(dst) - had)
	if p.sent > p.s.MaxPage {
		p.stop(ErrLimit, "the page is longer than %d bytes", p.s.MaxPage)
	}
	p.waits = p.err == nil && p.clientHolds()
	return dst
}

// passed goes on behind a row that went out.
func (p *Page) passed(c *cursor) {
	if t := &c.s.parts[c.i]; t.hole != nil {
		p.close(t.hole)
	}
	c.i, c.off = c.i+1, 0
}

// close is that a hole's fragment has gone out; in a row that goes out again it is kept.
func (p *Page) close(h *hole) {
	if p.once() {
		p.leave(h)
	}
}

// once reports that what goes out now does not go out again.
func (p *Page) once() bool {
	for i := range p.at {
		if of := p.at[i].s.of; of != nil && of.uses > 1 {
			return false
		}
	}
	return true
}

// takeHole appends what may go out of a fragment now; more: all of it did.
func (p *Page) takeHole(dst []byte, c *cursor, h *hole, room int) (out []byte, more bool) {
	x := h.p
	if x.seq != nil {
		if !p.isReady(x.seq) && (x.uses > 1 || h.need() != required || p.s.PassMalformed) {
			return dst, false
		}
		if x.state == fetching && len(x.seq.parts) == 0 {
			return dst, false
		}
		x.begun = true
		p.at = append(p.at, cursor{s: x.seq})
		return dst, true
	}
	if x.state != whole && (x.state != fetching || !p.streams(x) || x.gone == 0 && int64(len(x.data)) < p.s.StreamThreshold) {
		return dst, false
	}
	n := min(room, len(x.data)-c.off)
	if n > 0 {
		x.begun = true
		dst = append(dst, x.data[c.off:c.off+n]...)
		c.off += n
	}
	if c.off < len(x.data) {
		return dst, true // the room is used up
	}
	if x.state == whole {
		p.close(h)
		c.i, c.off = c.i+1, 0
		return dst, true
	}
	p.held -= int64(len(x.data))
	x.gone += int64(len(x.data))
	x.data, c.off = x.data[:0], 0
	return dst, false
}
