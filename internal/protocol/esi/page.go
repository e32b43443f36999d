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
	options  Options
	vars     *Vars
	url      *url.URL
	deadline float64
	now      float64

	root            *sequence
	parser          *Parser
	rawTemplate     []byte // of the template, where it may have to go out as it is
	meta            Meta
	fragments       []*fragment
	byURL           map[string]*fragment
	inlines         map[inlineKey][]byte // that pages and fragments bring along, each for itself
	inlineFragments map[inlineKey]*fragment
	inlineBytes     int64 // bytes of inlines
	slots           []*slot
	inFlight        int // being fetched
	includes        int
	attempts        int
	steps           int
	waiting         int64
	maxWaiting      int64
	sent            int64
	cursors         []cursor
	actions         []Action
	outputReady     bool // it is the client that holds things up
	clientBusy      bool // what went out is not taken yet
	failedLate      bool // what fails now was late
	plainText       bool
	mustEndAt       float64 // what goes out is purged, and is old from then on; 0: it is not
	restarts        int
	err             error
}

type fragmentState uint8

const (
	pending fragmentState = iota
	fetching
	complete
	failed
)

// fragment is a fragment, however often it is used.
type fragment struct {
	id           int
	key          string
	url          *url.URL
	state        fragmentState
	importance   importance
	deadline     float64
	cause        string
	data         []byte
	dropped      int64 // bytes that went out and were dropped
	meta         Meta
	headAt       float64 // when its head came
	parser       *Parser
	sequence     *sequence // of one that is a page itself
	depth        int
	includedBy   []*fragment // those that it is used in
	waitingSlots int         // holes that still wait for it
	partlySent   bool        // some of it went out
	isInline     bool        // its page brought it along
	definedIn    *fragment   // that one; nil: the page itself
}

// slot is a place where a fragment goes.
type slot struct {
	fragment        *fragment
	sequence        *sequence
	alt             string
	continueOnError bool
	leftOut         bool // it failed, and is left out
	done            bool // it went out, or is not wanted any more
}

// sequence is a row of parts.
type sequence struct {
	parts     []part
	open      bool      // more may come
	discarded bool      // it is not wanted any more
	ready     bool      // all of it is known: it can go out without a wait
	owner     *fragment // whose it is; nil: the template's
	parent    *sequence // that it stands in, by a try
	isAttempt bool      // it is an attempt: what fails in it has an except
}

type part struct {
	text        []byte
	slot        *slot
	attempt     *sequence
	except      *sequence
	exceptNodes []Node // of except, until it is wanted
}

type cursor struct {
	sequence *sequence
	index    int
	offset   int
}

// NewPage begins a page that is at a path and query, and has time until deadline.
func NewPage(s Options, vars *Vars, path string, now, deadline float64) (*Page, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("esi: the page's own address: %w", err)
	}
	p := &Page{options: s.withDefaults(), vars: vars, url: u, deadline: deadline, now: now}
	p.reset()
	return p, nil
}

func (p *Page) reset() {
	p.root = &sequence{open: true}
	p.parser = NewParser(p.options.Parser)
	p.rawTemplate, p.fragments, p.slots, p.inFlight, p.includes, p.waiting = nil, nil, nil, 0, 0, 0
	p.byURL, p.inlines = map[string]*fragment{}, map[inlineKey][]byte{}
	p.inlineFragments, p.inlineBytes = map[inlineKey]*fragment{}, 0
	p.cursors = append(p.cursors[:0], cursor{sequence: p.root})
}

// advanceClock is that time passes. While the next bytes are there and the client does not take
// them it is the client's: neither the page nor what is paused for it runs out of it.
func (p *Page) advanceClock(now float64) {
	if d := now - p.now; (p.outputReady || p.clientBusy) && d > 0 {
		p.deadline += d
		for _, f := range p.fragments {
			if f.state == fetching {
				f.deadline += d
			}
		}
	}
	p.now = now
}

// SetClientBusy says whether the client has yet to take some of what went out.
func (p *Page) SetClientBusy(on bool, now float64) {
	p.advanceClock(now)
	p.clientBusy = on
}

// canSend reports whether bytes could go out now.
func (p *Page) canSend() bool {
	n := len(p.cursors)
	if n == 0 || p.waiting == 0 {
		return false
	}
	c := &p.cursors[n-1]
	if c.index >= len(c.sequence.parts) {
		return !c.sequence.open
	}
	switch t := &c.sequence.parts[c.index]; {
	case t.slot != nil && !t.slot.leftOut && !t.slot.done:
		f := t.slot.fragment
		if f.sequence != nil {
			return p.isReady(f.sequence)
		}
		return f.state == complete || p.mayStream(f) && len(f.data) > c.offset && (f.dropped > 0 || int64(len(f.data)) >= p.options.StreamThreshold)
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

func (p *Page) abort(kind error, format string, args ...any) {
	if p.err != nil {
		return
	}
	p.err = fmt.Errorf("%w: %s", kind, fmt.Sprintf(format, args...))
	for _, f := range p.fragments {
		if f.state == fetching {
			p.actions = append(p.actions, Action{Kind: Cancel, ID: f.id})
		}
	}
	p.inFlight = 0
}

// Err is why the page can't be made; nil: so far it can.
func (p *Page) Err() error { return p.err }

// Sent reports whether some of the page has gone out: from then on it can't be replaced
// by an error's.
func (p *Page) Sent() bool { return p.sent > 0 }

// Done reports whether all of the page has gone out.
func (p *Page) Done() bool { return p.err == nil && len(p.cursors) == 0 }

// Ready reports whether all of the page is known.
func (p *Page) Ready() bool { return p.err == nil && p.isReady(p.root) }

// Waiting is how many bytes wait, and Most how many ever did.
func (p *Page) Waiting() int64 { return p.waiting }

// MaxWaiting is how many bytes ever waited at once.
func (p *Page) MaxWaiting() int64 { return p.maxWaiting }

// Attempts is how many attempts fragments have taken.
func (p *Page) Attempts() int { return p.attempts }

// Meta is what can be said of the whole page, once it is Ready.
func (p *Page) Meta() Meta {
	list := []Meta{p.meta}
	for _, h := range p.slots {
		if !h.leftOut && h.fragment != nil && h.fragment.state == complete {
			m := h.fragment.meta
			if m.Fresh > 0 {
				m.Fresh = max(m.Fresh-(p.now-h.fragment.headAt), 0)
			}
			list = append(list, m)
		}
		if h.leftOut { // it may be there the next time
			list = append(list, Meta{})
		}
	}
	return Combine(list)
}

// Actions is what is wanted since the last call, and when Tick is due; 0: never.
func (p *Page) Actions(now float64) (acts []Action, tick float64) {
	p.advanceClock(now)
	p.schedule()
	p.outputReady = p.err == nil && p.canSend()
	acts, p.actions = p.actions, nil
	if p.err != nil || p.Done() {
		return acts, 0
	}
	tick = p.deadline
	for _, f := range p.fragments {
		if f.state == fetching {
			tick = min(tick, f.deadline)
		}
	}
	if p.mustEndAt > 0 {
		tick = min(tick, p.mustEndAt)
	}
	return acts, tick
}

// TemplateHead is the head of the template's answer. Without ESI it is text, whatever stands in it.
func (p *Page) TemplateHead(m Meta) { p.meta, p.plainText = m, !m.ESI }

// Template is the next bytes of the page itself.
func (p *Page) Template(b []byte, now float64) {
	p.advanceClock(now)
	if p.err != nil {
		return
	}
	if p.plainText {
		p.addText(p.root, b, false)
		return
	}
	if p.options.PassMalformed { // only a page that is known whole is known to be well formed
		p.buffer(&p.rawTemplate, b, "the page")
		return
	}
	p.feed(p.parser, p.root, nil, p.url, b)
}

// TemplateEnd ends the page itself.
func (p *Page) TemplateEnd(now float64) {
	p.advanceClock(now)
	if p.err != nil {
		return
	}
	if p.plainText {
		p.root.open = false
		return
	}
	if p.options.PassMalformed {
		raw := p.rawTemplate
		p.rawTemplate = nil
		p.waiting -= int64(len(raw))
		if checkSyntax(raw, p.options.Parser) != nil {
			p.root.parts = []part{{text: raw}}
			p.addWaiting(int64(len(raw)))
			p.root.open = false
			return
		}
		p.feed(p.parser, p.root, nil, p.url, raw)
	}
	nodes, err := p.parser.Close(nil)
	if err != nil {
		p.abort(ErrMalformed, "%v", err)
		return
	}
	p.addNodes(p.root, nodes, p.url)
	p.root.open = false
	p.discardUnused()
}

// checkSyntax reads a page for its faults only.
func checkSyntax(raw []byte, l Limits) error {
	check := NewParser(l)
	_, err := check.Feed(nil, raw)
	if err == nil {
		_, err = check.Close(nil)
	}
	return err
}

func (p *Page) buffer(to *[]byte, b []byte, what string) {
	if int64(len(*to)+len(b)) > p.options.MaxBuffered {
		p.abort(ErrLimit, "%s is longer than %d bytes, and has to be known whole", what, p.options.MaxBuffered)
		return
	}
	*to = append(*to, b...)
	p.addWaiting(int64(len(b)))
}

func (p *Page) addWaiting(n int64) {
	p.waiting += n
	p.maxWaiting = max(p.maxWaiting, p.waiting)
}

// feed has a parser read on, and takes what it finds into a row.
func (p *Page) feed(parser *Parser, to *sequence, of *fragment, base *url.URL, b []byte) {
	nodes, err := parser.Feed(nil, b)
	if err == nil {
		p.addNodes(to, nodes, base)
		return
	}
	if of == nil {
		p.abort(ErrMalformed, "%v", err)
		return
	}
	p.failFragment(of, err.Error())
}

// addNodes takes nodes into a row.
func (p *Page) addNodes(to *sequence, nodes []Node, base *url.URL) {
	for i := range nodes {
		if p.err != nil || to.discarded { // what came before may have failed all of it
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
				if at := (inlineKey{to.owner, u.RequestURI()}); p.inlines[at] == nil {
					if p.inlineBytes += int64(len(n.Text)); p.inlineBytes > p.options.MaxWaiting {
						p.abort(ErrLimit, "its inlines have more than %d bytes", p.options.MaxWaiting)
						return
					}
					p.inlines[at] = append([]byte{}, n.Text...)
				}
			}
		case Choose:
			for _, b := range n.Branches {
				if b.Test == nil || b.Test.Holds(p.vars) {
					p.addNodes(to, b.Body, base)
					break
				}
			}
		case Try:
			to.parts = append(to.parts, part{exceptNodes: n.Branches[1].Body})
			k := len(to.parts) - 1
			attempt := &sequence{owner: to.owner, parent: to, isAttempt: true}
			to.parts[k].attempt = attempt
			p.addNodes(attempt, n.Branches[0].Body, base)
		case Include:
			p.addInclude(to, n, base)
		}
	}
}

func (p *Page) addText(to *sequence, b []byte, own bool) {
	if len(b) == 0 {
		return
	}
	p.addWaiting(int64(len(b)))
	if k := len(to.parts); k > 0 && to.parts[k-1].text != nil && !p.cursorPassed(to, k-1) {
		to.parts[k-1].text = append(to.parts[k-1].text, b...)
		return
	}
	if !own {
		b = append([]byte(nil), b...)
	}
	to.parts = append(to.parts, part{text: b})
}

// cursorPassed reports whether the cursor has passed or is at a part.
func (p *Page) cursorPassed(s *sequence, i int) bool {
	for k := range p.cursors {
		if p.cursors[k].sequence == s && p.cursors[k].index > i {
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
	if !strings.HasPrefix(u.Path, "/") || strings.HasPrefix(u.Path, "//") || hasControl(u.Path) {
		return nil
	}
	return u
}

// addInclude takes a place for a fragment into a row.
func (p *Page) addInclude(to *sequence, n *Node, base *url.URL) {
	if p.includes++; p.includes > p.options.Includes {
		p.abort(ErrLimit, "more than %d includes", p.options.Includes)
		return
	}
	h := &slot{sequence: to, continueOnError: n.ContinueOnError}
	if n.Alt != "" {
		if u := p.resolve(base, n.Alt); u != nil {
			h.alt = u.RequestURI()
		}
	}
	p.slots = append(p.slots, h)
	to.parts = append(to.parts, part{slot: h})
	u := p.resolve(base, n.Src)
	if u == nil {
		p.fallBack(h, fmt.Sprintf("src %.80q is no address of this host's", n.Src))
		return
	}
	p.fillSlot(h, u)
}

// fillSlot has a hole wait for a fragment.
func (p *Page) fillSlot(h *slot, u *url.URL) {
	key := u.RequestURI()
	of := h.sequence.owner
	if key == p.url.RequestURI() || p.isCycle(of, key) {
		p.fallBack(h, fmt.Sprintf("%.80q is within itself", key))
		return
	}
	depth := 1
	if of != nil {
		depth = of.depth + 1
	}
	if depth > p.options.Depth {
		p.fallBack(h, fmt.Sprintf("%.80q is nested deeper than %d", key, p.options.Depth))
		return
	}
	if at, has := p.findInline(of, key); has {
		f := p.inlineFragments[at]
		fresh := f == nil || f.partlySent || f.state != complete
		if fresh {
			f = &fragment{id: len(p.fragments), key: key, url: u, definedIn: at.owner, isInline: true, depth: depth}
			p.fragments = append(p.fragments, f)
			p.inlineFragments[at] = f
		}
		f.includedBy, h.fragment = append(f.includedBy, of), f
		f.waitingSlots++
		f.depth = max(f.depth, depth)
		if fresh {
			p.parseInline(f, p.inlines[at])
		}
		return
	}
	f := p.byURL[key]
	if f == nil || f.partlySent { // what goes out already is not whole any more
		f = nil
	}
	if f == nil {
		if len(p.fragments) >= p.options.Fragments {
			p.fallBack(h, fmt.Sprintf("%.80q is past the limit of %d fragments", key, p.options.Fragments))
			return
		}
		f = &fragment{id: len(p.fragments), key: key, url: u}
		p.fragments = append(p.fragments, f)
		p.byURL[key] = f
	}
	f.depth = max(f.depth, depth)
	f.includedBy = append(f.includedBy, of)
	f.waitingSlots++
	h.fragment = f
	switch n := h.importance(); {
	case f.state == failed:
		p.fallBack(h, f.cause)
	case f.waitingSlots == 1 || n < f.importance:
		f.importance = n
	}
}

// inlineKey is a name in a page or a fragment; nil: in the page itself.
type inlineKey struct {
	owner *fragment
	key   string
}

// findInline finds what a page or fragment has brought along by a name.
func (p *Page) findInline(of *fragment, key string) (inlineKey, bool) {
	for {
		if _, has := p.inlines[inlineKey{of, key}]; has {
			return inlineKey{of, key}, true
		}
		if of == nil || !of.isInline {
			return inlineKey{}, false
		}
		of = of.definedIn // an inline has the names of where it stands
	}
}

// parseInline gives a fragment the content that its page has brought along.
func (p *Page) parseInline(f *fragment, text []byte) {
	f.state, f.headAt, f.meta = complete, p.now, p.meta
	f.sequence = &sequence{owner: f, open: true}
	f.parser = NewParser(p.options.Parser)
	p.feed(f.parser, f.sequence, f, f.url, text)
	if f.state != failed {
		p.closeFragment(f)
	}
}

func (h *slot) importance() importance {
	switch {
	case h.alt != "":
		return replaceable
	case h.continueOnError:
		return optional
	}
	for s := h.sequence; s != nil; s = s.parent {
		if s.isAttempt {
			return replaceable // by the except
		}
	}
	if of := h.sequence.owner; of != nil {
		return of.importance // it is what fails then
	}
	return required
}

// isCycle reports whether a key is that of a fragment or of one that it is used in.
func (p *Page) isCycle(f *fragment, key string) bool {
	seen := map[*fragment]bool{}
	var look func(f *fragment) bool
	look = func(f *fragment) bool {
		if f == nil || seen[f] {
			return false
		}
		seen[f] = true
		if f.key == key {
			return true
		}
		for _, u := range f.includedBy {
			if look(u) {
				return true
			}
		}
		return false
	}
	return look(f)
}

// schedule asks for fragments: first the one that the page waits for, then in the order
// of the page, as many as may be out and as long as there is room for what comes.
func (p *Page) schedule() {
	if p.err != nil {
		return
	}
	first, wanted := p.blockingFragment(), 0
	for _, f := range p.fragments {
		if f.state == pending && f.waitingSlots > 0 {
			wanted++
		}
	}
	if wanted == 0 {
		return
	}
	waves := p.options.fetchRounds(wanted)
	ask := func(f *fragment) {
		if p.attempts >= p.options.Attempts {
			p.failFragment(f, fmt.Sprintf("the page's %d attempts are used up", p.options.Attempts))
			return
		}
		f.state, f.deadline = fetching, p.options.fetchDeadline(p.now, p.latestEnd(), waves, f.importance)
		p.inFlight++
		p.actions = append(p.actions, Action{Kind: Fetch, ID: f.id, URL: f.key, Deadline: f.deadline})
	}
	if first != nil && first.state == pending {
		ask(first)
	}
	for i := 0; i < len(p.fragments) && p.err == nil && p.inFlight < p.options.Parallel && p.waiting < p.options.MaxWaiting; i++ {
		if f := p.fragments[i]; f.state == pending && f.waitingSlots > 0 { // a failure may add some
			ask(f)
		}
	}
	if first = p.blockingFragment(); p.err == nil && first != nil && first.state == pending {
		ask(first)
	}
}

// blockingFragment is the first fragment that the page waits for; nil: none.
func (p *Page) blockingFragment() *fragment {
	for k := len(p.cursors) - 1; k >= 0; k-- {
		c := &p.cursors[k]
		from := c.index
		if k < len(p.cursors)-1 {
			from++ // that part is the row above
		}
		if f := p.firstIncomplete(c.sequence, from); f != nil {
			return f
		}
		if f := c.sequence.owner; c.sequence.open && f != nil && f.state == fetching {
			return f
		}
	}
	return nil
}

func (p *Page) firstIncomplete(s *sequence, from int) *fragment {
	for i := from; i < len(s.parts); i++ {
		t := &s.parts[i]
		switch {
		case t.slot != nil && !t.slot.leftOut && !t.slot.done && t.slot.fragment != nil:
			f := t.slot.fragment
			if f.sequence != nil {
				if !p.isReady(f.sequence) {
					if g := p.firstIncomplete(f.sequence, 0); g != nil {
						return g
					}
				}
			}
			if f.state == pending || f.state == fetching {
				return f
			}
		case t.except != nil:
			if g := p.firstIncomplete(t.except, 0); g != nil {
				return g
			}
		case t.attempt != nil:
			if g := p.firstIncomplete(t.attempt, 0); g != nil {
				return g
			}
		}
	}
	return nil
}

// CanRead reports whether more of a fragment is to be read now; with -1, of the template.
// What the page waits for is always read on.
func (p *Page) CanRead(id int) bool {
	if p.err != nil || p.waiting < p.options.MaxWaiting {
		return true
	}
	if id < 0 {
		return p.blockingFragment() == nil && p.waiting < 2*p.options.MaxWaiting
	}
	f := p.fragments[id]
	return f == p.blockingFragment() && (!p.mayStream(f) || int64(len(f.data)) < p.options.MaxWaiting)
}

// CountAttempt counts an attempt at a member for a fragment.
func (p *Page) CountAttempt() { p.attempts++ }

func (p *Page) fetchingFragment(id int) *fragment {
	if p.err != nil || id < 0 || id >= len(p.fragments) || p.fragments[id].state != fetching {
		return nil
	}
	return p.fragments[id]
}

// FragmentHead is the head of a fragment's answer.
func (p *Page) FragmentHead(id int, m Meta, now float64) {
	p.advanceClock(now)
	f := p.fetchingFragment(id)
	if f == nil {
		return
	}
	f.meta, f.headAt = m, now
	if m.ESI {
		f.sequence = &sequence{owner: f, open: true}
		f.parser = NewParser(p.options.Parser)
	}
}

// FragmentBody is the next bytes of a fragment.
func (p *Page) FragmentBody(id int, b []byte, now float64) {
	p.advanceClock(now)
	f := p.fetchingFragment(id)
	if f == nil {
		return
	}
	if f.sequence != nil && !p.options.PassMalformed {
		p.feed(f.parser, f.sequence, f, f.url, b)
		return
	}
	if f.sequence != nil || !p.mayStream(f) {
		if int64(len(f.data)+len(b)) > p.options.MaxBuffered {
			p.cancelFetch(f)
			p.failFragment(f, fmt.Sprintf("%.80q is longer than %d bytes, and has to be known whole", f.key, p.options.MaxBuffered))
			return
		}
	}
	f.data = append(f.data, b...)
	p.addWaiting(int64(len(b)))
}

// mayStream reports whether a fragment may go out before it is whole.
func (p *Page) mayStream(f *fragment) bool {
	if f.waitingSlots > 1 || f.sequence != nil {
		return false
	}
	for _, h := range p.slots {
		if h.fragment == f && !h.leftOut && !h.done {
			return h.sequence.parent == nil && (h.sequence.owner == nil || h.sequence.owner.partlySent)
		}
	}
	return false
}

// FragmentEnd ends a fragment's answer.
func (p *Page) FragmentEnd(id int, now float64) {
	p.advanceClock(now)
	f := p.fetchingFragment(id)
	if f == nil {
		return
	}
	p.inFlight--
	f.state = complete
	if f.sequence == nil {
		return
	}
	if p.options.PassMalformed {
		raw := f.data
		if checkSyntax(raw, p.options.Parser) != nil {
			f.sequence, f.parser = nil, nil // as it is
			return
		}
		f.data = nil
		p.waiting -= int64(len(raw))
		p.feed(f.parser, f.sequence, f, f.url, raw)
	}
	p.closeFragment(f)
}

func (p *Page) closeFragment(f *fragment) {
	if f.state == failed || p.err != nil {
		return
	}
	nodes, err := f.parser.Close(nil)
	if err != nil {
		p.failFragment(f, err.Error())
		return
	}
	s := f.sequence
	p.addNodes(s, nodes, f.url)
	s.open = false
}

// FragmentFailed ends a fragment without an answer, or in the middle of one.
func (p *Page) FragmentFailed(id int, cause string, now float64) {
	p.advanceClock(now)
	if f := p.fetchingFragment(id); f != nil {
		p.inFlight--
		f.state = pending
		p.failedLate = now >= f.deadline-lateMargin
		p.failFragment(f, cause)
		p.failedLate = false
	}
}

// lateMargin is how shortly before a fragment is given up its failure counts as one by time.
const lateMargin = 20

// cancelFetch ends what is out for a fragment.
func (p *Page) cancelFetch(f *fragment) {
	if f.state == fetching {
		p.inFlight--
		f.state = pending
		p.actions = append(p.actions, Action{Kind: Cancel, ID: f.id})
	}
}

// failFragment gives a fragment up, and has each of its places go on without.
func (p *Page) failFragment(f *fragment, cause string) {
	if f.state == failed || p.err != nil {
		return
	}
	p.cancelFetch(f)
	p.discardContent(f)
	f.state, f.cause = failed, cause
	if f.partlySent {
		p.abort(ErrFragment, "%.80q broke off: %s", f.key, cause)
		return
	}
	for i := 0; i < len(p.slots) && p.err == nil; i++ {
		if h := p.slots[i]; h.fragment == f && !h.leftOut && !h.done {
			p.fallBack(h, cause)
		}
	}
}

// discardContent forgets what came of a fragment.
func (p *Page) discardContent(f *fragment) {
	p.waiting -= int64(len(f.data))
	f.data = nil
	if f.sequence != nil {
		p.discardSequence(f.sequence)
		f.sequence, f.parser = nil, nil
	}
}

// discardSequence gives up a row: what only it waits for is not wanted any more.
func (p *Page) discardSequence(s *sequence) {
	for i := range s.parts {
		t := &s.parts[i]
		p.waiting -= int64(len(t.text))
		t.text = nil
		if h := t.slot; h != nil && !h.done {
			p.releaseSlot(h)
		}
		if t.attempt != nil {
			p.discardSequence(t.attempt)
		}
		if t.except != nil {
			p.discardSequence(t.except)
		}
	}
	s.parts, s.discarded = nil, true
}

// releaseSlot has a hole wait for nothing any more.
func (p *Page) releaseSlot(h *slot) {
	if h.done {
		return
	}
	h.done = true
	f := h.fragment
	if f == nil {
		return
	}
	if f.waitingSlots--; f.waitingSlots > 0 {
		return
	}
	if f.state == complete && f.sequence == nil && f.dropped == 0 && p.root.open && p.waiting < p.options.MaxWaiting {
		f.partlySent = false // kept: the rest of the page may name it again
		return
	}
	switch f.state {
	case fetching:
		p.cancelFetch(f)
		p.discardContent(f)
	case complete:
		p.discardContent(f)
	}
	if f.state == pending || f.state == complete { // it is asked for anew if another place wants it
		if p.byURL[f.key] == f {
			delete(p.byURL, f.key)
		}
		f.state = failed
	}
}

// discardUnused forgets fragments that no place waits for.
func (p *Page) discardUnused() {
	for _, f := range p.fragments {
		if f.waitingSlots == 0 && f.state == complete {
			p.discardContent(f)
			delete(p.byURL, f.key)
			f.state = failed
		}
	}
}

// fallBack has a place go on whose fragment failed: with its alternative, without, or
// by what stands around it.
func (p *Page) fallBack(h *slot, cause string) {
	if f := h.fragment; f != nil {
		h.fragment = nil
		f.waitingSlots--
	}
	if alt := h.alt; alt != "" {
		h.alt = ""
		if u, err := url.ParseRequestURI(alt); err == nil {
			p.fillSlot(h, u)
			return
		}
	}
	if h.continueOnError {
		h.leftOut = true
		return
	}
	h.done = true
	p.failSequence(h.sequence, cause)
}

// failSequence has what is around a row go on without it.
func (p *Page) failSequence(s *sequence, cause string) {
	for ; s != nil; s = s.parent {
		if s.parent == nil {
			break
		}
		for i := range s.parent.parts {
			if t := &s.parent.parts[i]; t.attempt == s {
				p.discardSequence(s)
				t.attempt = nil
				t.except = &sequence{owner: s.owner, parent: s.parent}
				nodes := t.exceptNodes
				t.exceptNodes = nil
				base := p.url
				if s.owner != nil {
					base = s.owner.url
				}
				except := t.except
				p.addNodes(except, nodes, base)
				return
			}
		}
	}
	if s != nil && s.owner != nil {
		p.failFragment(s.owner, cause)
		return
	}
	if p.failedLate {
		p.abort(ErrDeadline, "%s", cause)
		return
	}
	p.abort(ErrFragment, "%s", cause)
}

// isReady reports whether all of a row is known.
func (p *Page) isReady(s *sequence) bool {
	if s.ready {
		return true
	}
	if s.open {
		return false
	}
	for i := range s.parts {
		t := &s.parts[i]
		switch {
		case t.slot != nil && !t.slot.leftOut && !t.slot.done:
			f := t.slot.fragment
			if f == nil || f.state != complete || f.sequence != nil && !p.isReady(f.sequence) {
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
	p.advanceClock(now)
	for _, f := range p.fragments {
		if p.err == nil && f.state == fetching && now >= f.deadline {
			p.cancelFetch(f)
			if f.partlySent {
				p.abort(ErrDeadline, "%.80q", f.key)
				return
			}
			p.failedLate = true
			p.failFragment(f, fmt.Sprintf("%.80q did not come in time", f.key))
			p.failedLate = false
		}
	}
	switch {
	case p.err != nil || p.Done():
	case p.mustEndAt > 0 && now >= p.mustEndAt:
		p.abort(ErrPurged, "what was sent of it is old by now")
	case now >= p.deadline && !p.Ready():
		p.abort(ErrDeadline, "%d fragments are out", p.inFlight)
	}
}

// Purged is that copies of what a function names are old, those that go out until a time
// not yet. What has not begun to go out is asked for again at once; a page of which
// something has gone out must be whole by then.
func (p *Page) Purged(template bool, match func(url string) bool, until, now float64) {
	p.advanceClock(now)
	if p.err != nil || p.Done() {
		return
	}
	if template {
		if p.sent == 0 && p.restarts < 2 && p.options.canRestart(now, p.deadline) {
			for _, f := range p.fragments {
				p.cancelFetch(f)
			}
			p.restarts++
			p.reset()
			p.actions = append(p.actions, Action{Kind: Restart})
			return
		}
		p.endBy(until)
		return
	}
	for i := 0; i < len(p.fragments) && p.err == nil; i++ {
		f := p.fragments[i]
		if f.isInline {
			continue
		}
		if f.waitingSlots == 0 && f.state == complete && match(f.key) {
			p.discardContent(f)
			delete(p.byURL, f.key)
			f.state = failed
		}
		if f.waitingSlots == 0 || f.state != fetching && f.state != complete || !match(f.key) {
			continue
		}
		if f.partlySent {
			p.endBy(until)
			continue
		}
		p.refetch(f)
	}
}

func (p *Page) endBy(until float64) {
	if p.mustEndAt == 0 || until < p.mustEndAt {
		p.mustEndAt = until
	}
	if p.now >= p.mustEndAt {
		p.abort(ErrPurged, "what was sent of it is old by now")
		return
	}
	for _, f := range p.fragments { // what the page can do without is not waited for past that
		if f.state == fetching && f.importance != required {
			f.deadline = min(f.deadline, p.latestEnd()-p.options.Reserve)
		}
	}
}

// latestEnd is when the page has to be whole.
func (p *Page) latestEnd() float64 {
	if p.mustEndAt > 0 {
		return min(p.deadline, p.mustEndAt+p.options.Reserve-endMargin)
	}
	return p.deadline
}

// endMargin is how long, in ms, before a page has to end its last fragments are given up,
// so that what is behind them has time to go out.
const endMargin = 30

// refetch has a fragment be asked for anew.
func (p *Page) refetch(f *fragment) {
	p.cancelFetch(f)
	p.discardContent(f)
	f.state, f.meta = pending, Meta{}
	for _, g := range p.fragments {
		if g.sequence != nil {
			clearReady(g.sequence)
		}
	}
	clearReady(p.root)
}

func clearReady(s *sequence) {
	s.ready = false
	for i := range s.parts {
		if t := &s.parts[i]; t.attempt != nil {
			clearReady(t.attempt)
		} else if t.except != nil {
			clearReady(t.except)
		}
	}
}

// maxSteps is how many parts a page may go through: nested fragments that are empty
// cost time, and no bytes.
const maxSteps = 200_000

// Take appends the next bytes of the page, at most most of them; none: it waits for
// something, is done, or has failed.
func (p *Page) Take(dst []byte, most int, now float64) []byte {
	p.advanceClock(now)
	had := len(dst)
	for p.err == nil && len(p.cursors) > 0 && len(dst)-had < most {
		if p.steps++; p.steps > maxSteps {
			p.abort(ErrLimit, "more than %d parts", maxSteps)
			break
		}
		c := &p.cursors[len(p.cursors)-1]
		if c.index >= len(c.sequence.parts) {
			if c.sequence.open {
				break
			}
			p.cursors = p.cursors[:len(p.cursors)-1]
			if n := len(p.cursors); n > 0 {
				p.advancePast(&p.cursors[n-1])
			}
			continue
		}
		t := &c.sequence.parts[c.index]
		room := most - (len(dst) - had)
		switch {
		case t.text != nil:
			n := min(room, len(t.text)-c.offset)
			dst = append(dst, t.text[c.offset:c.offset+n]...)
			if c.offset += n; c.offset == len(t.text) {
				if p.sentOnce() {
					p.waiting -= int64(len(t.text))
					t.text = nil
				}
				c.index, c.offset = c.index+1, 0
			}
		case t.slot != nil && !t.slot.leftOut && !t.slot.done:
			var more bool
			if dst, more = p.takeSlot(dst, c, t.slot, room); !more {
				return p.countSent(dst, had)
			}
		case t.except != nil:
			p.cursors = append(p.cursors, cursor{sequence: t.except})
		case t.attempt != nil:
			if !p.isReady(t.attempt) {
				return p.countSent(dst, had)
			}
			p.cursors = append(p.cursors, cursor{sequence: t.attempt})
		default:
			c.index, c.offset = c.index+1, 0
		}
	}
	return p.countSent(dst, had)
}

func (p *Page) countSent(dst []byte, had int) []byte {
	p.sent += int64(len(dst) - had)
	if p.sent > p.options.MaxPage {
		p.abort(ErrLimit, "the page is longer than %d bytes", p.options.MaxPage)
	}
	p.outputReady = p.err == nil && p.canSend()
	return dst
}

// advancePast goes on behind a row that went out.
func (p *Page) advancePast(c *cursor) {
	if t := &c.sequence.parts[c.index]; t.slot != nil {
		p.closeSlot(t.slot)
	}
	c.index, c.offset = c.index+1, 0
}

// closeSlot is that a hole's fragment has gone out; in a row that goes out again it is kept.
func (p *Page) closeSlot(h *slot) {
	if p.sentOnce() {
		p.releaseSlot(h)
	}
}

// sentOnce reports that what goes out now does not go out again.
func (p *Page) sentOnce() bool {
	for i := range p.cursors {
		if of := p.cursors[i].sequence.owner; of != nil && of.waitingSlots > 1 {
			return false
		}
	}
	return true
}

// takeSlot appends what may go out of a fragment now; more: all of it did.
func (p *Page) takeSlot(dst []byte, c *cursor, h *slot, room int) (out []byte, more bool) {
	f := h.fragment
	if f.sequence != nil {
		if !p.isReady(f.sequence) && (f.waitingSlots > 1 || h.importance() != required || p.options.PassMalformed) {
			return dst, false
		}
		if f.state == fetching && len(f.sequence.parts) == 0 {
			return dst, false
		}
		f.partlySent = true
		p.cursors = append(p.cursors, cursor{sequence: f.sequence})
		return dst, true
	}
	if f.state != complete && (f.state != fetching || !p.mayStream(f) || f.dropped == 0 && int64(len(f.data)) < p.options.StreamThreshold) {
		return dst, false
	}
	n := min(room, len(f.data)-c.offset)
	if n > 0 {
		f.partlySent = true
		dst = append(dst, f.data[c.offset:c.offset+n]...)
		c.offset += n
	}
	if c.offset < len(f.data) {
		return dst, true // the room is used up
	}
	if f.state == complete {
		p.closeSlot(h)
		c.index, c.offset = c.index+1, 0
		return dst, true
	}
	p.waiting -= int64(len(f.data))
	f.dropped += int64(len(f.data))
	f.data, c.offset = f.data[:0], 0
	return dst, false
}
