package esi

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Action is a request of a Page to its caller.
type Action struct {
	Kind     ActionKind
	ID       int     // number of the fragment
	URL      string  // path and query of the fragment
	Deadline float64 // time at which the fetch times out
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Fetch   ActionKind = iota + 1 // fetch a fragment
	Cancel                        // cancel the fetch of a fragment, which is no longer needed
	Restart                       // fetch the template again and pass it to Template from its start
)

// Page assembles a page. Its inputs are the bytes of the template and of the fragments, failures,
// purges and the time. Its outputs are actions and the bytes of the page in their order. It buffers
// no more than its Options allow. Times are in milliseconds on the caller's clock.
type Page struct {
	options  Options
	vars     *Vars
	url      *url.URL
	deadline float64
	now      float64

	root            *sequence
	parser          *Parser
	rawTemplate     []byte // bytes of the template, if it may have to be sent unmodified
	meta            Meta
	fragments       []*fragment
	byURL           map[string]*fragment
	inlines         map[inlineKey][]byte // text of the inlines of the page and of each fragment
	inlineFragments map[inlineKey]*fragment
	inlineBytes     int64 // total size of inlines
	slots           []*slot
	inFlight        int // fragments that are being fetched
	includes        int
	attempts        int
	steps           int   // parts passed by Take
	waiting         int64 // bytes buffered and not yet sent
	maxWaiting      int64
	sent            int64
	cursors         []cursor // position of the output; the last one is the innermost
	actions         []Action
	outputReady     bool    // bytes can be sent, and the client has not taken them
	clientBusy      bool    // the client has not yet received all that was sent
	failedLate      bool    // the failure being handled is a timeout
	plainText       bool    // the template contains no ESI
	mustEndAt       float64 // time at which a purge makes the bytes already sent stale; 0: none
	restarts        int
	err             error
}

type fragmentState uint8

const (
	pending fragmentState = iota // to be fetched
	fetching
	complete
	failed // failed or discarded
)

// fragment is a fragment of the page. Several slots may use it.
type fragment struct {
	id           int
	key          string
	url          *url.URL
	state        fragmentState
	importance   importance // the lowest value, and so the strictest, of the slots that use it
	deadline     float64    // of the fetch in flight
	cause        string     // of the failure
	data         []byte     // content, unless it is parsed into sequence
	dropped      int64      // bytes removed from data after they were sent
	meta         Meta
	headAt       float64 // time at which the head of its answer arrived
	parser       *Parser
	sequence     *sequence // its content, if it contains ESI
	depth        int
	includedBy   []*fragment // fragments that include it; nil is the page itself
	waitingSlots int         // slots that still wait for it
	partlySent   bool        // some of it has been sent
	isInline     bool        // its text comes from an inline element
	definedIn    *fragment   // of an inline: the fragment with the element; nil: the page itself
}

// slot is the position of an include element.
type slot struct {
	fragment        *fragment
	sequence        *sequence // the sequence that contains it
	alt             string    // path and query of the alternative; empty: none is left
	continueOnError bool
	leftOut         bool // its fragment has failed and is left out
	done            bool // its fragment has been sent or is no longer needed
}

// sequence is a sequence of parts: the content of the page, a fragment, an attempt or an except.
type sequence struct {
	parts     []part
	open      bool      // parts may follow
	discarded bool      // no longer needed
	ready     bool      // complete: it can be sent without waiting for fragments
	owner     *fragment // the fragment that it belongs to; nil: the template
	parent    *sequence // of an attempt or except: the sequence that contains the try
	isAttempt bool      // an attempt: an except replaces it if it fails
}

// part is text, a slot or a try. A try has an attempt at first, and an except after the attempt has
// failed.
type part struct {
	text        []byte
	slot        *slot
	attempt     *sequence
	except      *sequence
	exceptNodes []Node // nodes of the except, until the attempt fails
}

// cursor is a position in a sequence: the index of a part and the offset in the bytes of the part.
type cursor struct {
	sequence *sequence
	index    int
	offset   int
}

// NewPage returns the assembly of the page at a path and query. The page must be complete by the
// deadline.
func NewPage(o Options, vars *Vars, path string, now, deadline float64) (*Page, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("esi: path of the page: %w", err)
	}
	p := &Page{options: o.withDefaults(), vars: vars, url: u, deadline: deadline, now: now}
	p.reset()
	return p, nil
}

// reset discards all fragments and starts the page again.
func (p *Page) reset() {
	p.root = &sequence{open: true}
	p.parser = NewParser(p.options.Parser)
	p.rawTemplate, p.fragments, p.slots, p.inFlight, p.includes, p.waiting = nil, nil, nil, 0, 0, 0
	p.byURL, p.inlines = map[string]*fragment{}, map[inlineKey][]byte{}
	p.inlineFragments, p.inlineBytes = map[inlineKey]*fragment{}, 0
	p.cursors = append(p.cursors[:0], cursor{sequence: p.root})
}

// advanceClock sets the time. Time that passes while bytes are ready and the client does not take
// them is added to the deadlines of the page and of the fetches in flight, since the client's speed
// must not make them time out.
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

// SetClientBusy sets whether the client has not yet received all that was sent.
func (p *Page) SetClientBusy(busy bool, now float64) {
	p.advanceClock(now)
	p.clientBusy = busy
}

// canSend reports whether bytes can be sent now.
func (p *Page) canSend() bool {
	n := len(p.cursors)
	if n == 0 || p.waiting == 0 {
		return false
	}
	c := &p.cursors[n-1]
	if c.index >= len(c.sequence.parts) {
		return !c.sequence.open
	}
	switch pt := &c.sequence.parts[c.index]; {
	case pt.slot != nil && !pt.slot.leftOut && !pt.slot.done:
		f := pt.slot.fragment
		if f.sequence != nil {
			return p.isReady(f.sequence)
		}
		return f.state == complete || p.mayStream(f) && len(f.data) > c.offset && (f.dropped > 0 || int64(len(f.data)) >= p.options.StreamThreshold)
	case pt.attempt != nil:
		return p.isReady(pt.attempt)
	}
	return true
}

// Errors of pages, for errors.Is.
var (
	ErrMalformed = errors.New("esi: malformed")
	ErrFragment  = errors.New("esi: required fragment failed")
	ErrLimit     = errors.New("esi: limit exceeded")
	ErrPurged    = errors.New("esi: purged while being sent")
	ErrDeadline  = errors.New("esi: incomplete at its deadline")
)

// abort fails the page and cancels all fetches.
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

// Err returns the error that ended the page, or nil.
func (p *Page) Err() error { return p.err }

// Sent reports whether some of the page has been sent. An error page can then no longer replace
// it.
func (p *Page) Sent() bool { return p.sent > 0 }

// Done reports whether all of the page has been sent.
func (p *Page) Done() bool { return p.err == nil && len(p.cursors) == 0 }

// Ready reports whether the page is complete, so that all of it can be sent.
func (p *Page) Ready() bool { return p.err == nil && p.isReady(p.root) }

// Waiting returns the number of bytes that are buffered and not yet sent.
func (p *Page) Waiting() int64 { return p.waiting }

// MaxWaiting returns the highest value that Waiting has had.
func (p *Page) MaxWaiting() int64 { return p.maxWaiting }

// Attempts returns the number of attempts for fragments so far.
func (p *Page) Attempts() int { return p.attempts }

// Meta returns the caching metadata of the page. It is valid once the page is Ready.
func (p *Page) Meta() Meta {
	list := []Meta{p.meta}
	for _, sl := range p.slots {
		if !sl.leftOut && sl.fragment != nil && sl.fragment.state == complete {
			m := sl.fragment.meta
			if m.Fresh > 0 {
				m.Fresh = max(m.Fresh-(p.now-sl.fragment.headAt), 0)
			}
			list = append(list, m)
		}
		if sl.leftOut { // not cacheable: the fragment may be available for the next request
			list = append(list, Meta{})
		}
	}
	return Combine(list)
}

// Actions returns the actions since the last call, and the time at which Tick is due; 0: never.
func (p *Page) Actions(now float64) (actions []Action, tick float64) {
	p.advanceClock(now)
	p.schedule()
	p.outputReady = p.err == nil && p.canSend()
	actions, p.actions = p.actions, nil
	if p.err != nil || p.Done() {
		return actions, 0
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
	return actions, tick
}

// TemplateHead takes the metadata of the template. A template without Meta.ESI is not parsed.
func (p *Page) TemplateHead(m Meta) { p.meta, p.plainText = m, !m.ESI }

// Template takes the next bytes of the template.
func (p *Page) Template(b []byte, now float64) {
	p.advanceClock(now)
	if p.err != nil {
		return
	}
	if p.plainText {
		p.addText(p.root, b, false)
		return
	}
	if p.options.PassMalformed { // whether a page is well-formed is known only at its end
		p.buffer(&p.rawTemplate, b, "the page")
		return
	}
	p.feed(p.parser, p.root, nil, p.url, b)
}

// TemplateEnd reports the end of the template.
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

// checkSyntax parses a page and returns its first fault.
func checkSyntax(raw []byte, l Limits) error {
	check := NewParser(l)
	_, err := check.Feed(nil, raw)
	if err == nil {
		_, err = check.Close(nil)
	}
	return err
}

// buffer appends b to a buffer of at most MaxBuffered bytes.
func (p *Page) buffer(to *[]byte, b []byte, what string) {
	if int64(len(*to)+len(b)) > p.options.MaxBuffered {
		p.abort(ErrLimit, "%s is longer than %d bytes and must be buffered until it is complete", what, p.options.MaxBuffered)
		return
	}
	*to = append(*to, b...)
	p.addWaiting(int64(len(b)))
}

func (p *Page) addWaiting(n int64) {
	p.waiting += n
	p.maxWaiting = max(p.maxWaiting, p.waiting)
}

// feed parses b and adds the nodes to a sequence. The owner is the fragment that is parsed; nil: the
// template.
func (p *Page) feed(parser *Parser, to *sequence, owner *fragment, base *url.URL, b []byte) {
	nodes, err := parser.Feed(nil, b)
	if err == nil {
		p.addNodes(to, nodes, base)
		return
	}
	if owner == nil {
		p.abort(ErrMalformed, "%v", err)
		return
	}
	p.failFragment(owner, err.Error())
}

// addNodes adds nodes to a sequence. URLs are resolved against base.
func (p *Page) addNodes(to *sequence, nodes []Node, base *url.URL) {
	for i := range nodes {
		if p.err != nil || to.discarded { // a node before this one may have failed the sequence
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
						p.abort(ErrLimit, "inlines have more than %d bytes in all", p.options.MaxWaiting)
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

// addText adds text to a sequence. Unless owned is set, b belongs to the caller and is copied.
func (p *Page) addText(to *sequence, b []byte, owned bool) {
	if len(b) == 0 {
		return
	}
	p.addWaiting(int64(len(b)))
	if k := len(to.parts); k > 0 && to.parts[k-1].text != nil && !p.cursorPassed(to, k-1) {
		to.parts[k-1].text = append(to.parts[k-1].text, b...)
		return
	}
	if !owned {
		b = append([]byte(nil), b...)
	}
	to.parts = append(to.parts, part{text: b})
}

// cursorPassed reports whether a cursor is past a part of a sequence.
func (p *Page) cursorPassed(s *sequence, i int) bool {
	for k := range p.cursors {
		if p.cursors[k].sequence == s && p.cursors[k].index > i {
			return true
		}
	}
	return false
}

// resolve returns the URL of a fragment, or nil if a page may not request it. A page may request
// paths of its own host only, with the scheme http or https.
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

// addInclude adds a slot for an include element to a sequence.
func (p *Page) addInclude(to *sequence, n *Node, base *url.URL) {
	if p.includes++; p.includes > p.options.Includes {
		p.abort(ErrLimit, "more than %d include elements in the page and its fragments", p.options.Includes)
		return
	}
	sl := &slot{sequence: to, continueOnError: n.ContinueOnError}
	if n.Alt != "" {
		if u := p.resolve(base, n.Alt); u != nil {
			sl.alt = u.RequestURI()
		}
	}
	p.slots = append(p.slots, sl)
	to.parts = append(to.parts, part{slot: sl})
	u := p.resolve(base, n.Src)
	if u == nil {
		p.fallBack(sl, fmt.Sprintf("src %.80q is not a URL of this host", n.Src))
		return
	}
	p.fillSlot(sl, u)
}

// fillSlot assigns to a slot the fragment with the given URL, or the slot's fallback if the page may
// not use that fragment.
func (p *Page) fillSlot(sl *slot, u *url.URL) {
	key := u.RequestURI()
	owner := sl.sequence.owner
	if key == p.url.RequestURI() || p.isCycle(owner, key) {
		p.fallBack(sl, fmt.Sprintf("%.80q includes itself", key))
		return
	}
	depth := 1
	if owner != nil {
		depth = owner.depth + 1
	}
	if depth > p.options.Depth {
		p.fallBack(sl, fmt.Sprintf("%.80q is nested deeper than %d", key, p.options.Depth))
		return
	}
	if at, has := p.findInline(owner, key); has {
		f := p.inlineFragments[at]
		isNew := f == nil || f.partlySent || f.state != complete
		if isNew {
			f = &fragment{id: len(p.fragments), key: key, url: u, definedIn: at.owner, isInline: true, depth: depth}
			p.fragments = append(p.fragments, f)
			p.inlineFragments[at] = f
		}
		f.includedBy, sl.fragment = append(f.includedBy, owner), f
		f.waitingSlots++
		f.depth = max(f.depth, depth)
		if isNew {
			p.parseInline(f, p.inlines[at])
		}
		return
	}
	f := p.byURL[key]
	if f == nil || f.partlySent { // the start of a partly sent fragment may be dropped already
		f = nil
	}
	if f == nil {
		if len(p.fragments) >= p.options.Fragments {
			p.fallBack(sl, fmt.Sprintf("%.80q exceeds the limit of %d fragments", key, p.options.Fragments))
			return
		}
		f = &fragment{id: len(p.fragments), key: key, url: u}
		p.fragments = append(p.fragments, f)
		p.byURL[key] = f
	}
	f.depth = max(f.depth, depth)
	f.includedBy = append(f.includedBy, owner)
	f.waitingSlots++
	sl.fragment = f
	switch n := sl.importance(); {
	case f.state == failed:
		p.fallBack(sl, f.cause)
	case f.waitingSlots == 1 || n < f.importance:
		f.importance = n
	}
}

// inlineKey is the name of an inline in the page or in a fragment.
type inlineKey struct {
	owner *fragment // nil: the page itself
	key   string    // path and query of the name
}

// findInline looks up the inline that a name denotes in a fragment; nil: in the page itself.
func (p *Page) findInline(owner *fragment, key string) (inlineKey, bool) {
	for {
		if _, has := p.inlines[inlineKey{owner, key}]; has {
			return inlineKey{owner, key}, true
		}
		if owner == nil || !owner.isInline {
			return inlineKey{}, false
		}
		owner = owner.definedIn // an inline sees the names of the fragment that it is defined in
	}
}

// parseInline sets the content of a fragment from the text of an inline.
func (p *Page) parseInline(f *fragment, text []byte) {
	f.state, f.headAt, f.meta = complete, p.now, p.meta
	f.sequence = &sequence{owner: f, open: true}
	f.parser = NewParser(p.options.Parser)
	p.feed(f.parser, f.sequence, f, f.url, text)
	if f.state != failed {
		p.closeFragment(f)
	}
}

// importance returns what happens to the page if the slot's fragment fails.
func (sl *slot) importance() importance {
	switch {
	case sl.alt != "":
		return replaceable
	case sl.continueOnError:
		return optional
	}
	for s := sl.sequence; s != nil; s = s.parent {
		if s.isAttempt {
			return replaceable // the except replaces it
		}
	}
	if owner := sl.sequence.owner; owner != nil {
		return owner.importance // the fragment that includes it fails with it
	}
	return required
}

// isCycle reports whether a key is that of a fragment or of one that includes it, directly or not.
func (p *Page) isCycle(f *fragment, key string) bool {
	seen := map[*fragment]bool{}
	var visit func(f *fragment) bool
	visit = func(f *fragment) bool {
		if f == nil || seen[f] {
			return false
		}
		seen[f] = true
		if f.key == key {
			return true
		}
		for _, u := range f.includedBy {
			if visit(u) {
				return true
			}
		}
		return false
	}
	return visit(f)
}

// schedule starts fetches: first that of the fragment that blocks the output, then others in the
// order of the page, up to the limits of concurrent fetches and of waiting bytes.
func (p *Page) schedule() {
	if p.err != nil {
		return
	}
	first, pendingCount := p.blockingFragment(), 0
	for _, f := range p.fragments {
		if f.state == pending && f.waitingSlots > 0 {
			pendingCount++
		}
	}
	if pendingCount == 0 {
		return
	}
	rounds := p.options.fetchRounds(pendingCount)
	fetch := func(f *fragment) {
		if p.attempts >= p.options.Attempts {
			p.failFragment(f, fmt.Sprintf("all %d attempts of the page are used", p.options.Attempts))
			return
		}
		f.state, f.deadline = fetching, p.options.fetchDeadline(p.now, p.latestEnd(), rounds, f.importance)
		p.inFlight++
		p.actions = append(p.actions, Action{Kind: Fetch, ID: f.id, URL: f.key, Deadline: f.deadline})
	}
	if first != nil && first.state == pending {
		fetch(first)
	}
	for i := 0; i < len(p.fragments) && p.err == nil && p.inFlight < p.options.Parallel && p.waiting < p.options.MaxWaiting; i++ {
		if f := p.fragments[i]; f.state == pending && f.waitingSlots > 0 { // fetch may add fragments, by a failure
			fetch(f)
		}
	}
	if first = p.blockingFragment(); p.err == nil && first != nil && first.state == pending {
		fetch(first)
	}
}

// blockingFragment returns the first incomplete fragment after the output position, which the output
// waits for; nil: none.
func (p *Page) blockingFragment() *fragment {
	for k := len(p.cursors) - 1; k >= 0; k-- {
		c := &p.cursors[k]
		from := c.index
		if k < len(p.cursors)-1 {
			from++ // the part at the index is the sequence of the next cursor
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

// firstIncomplete returns the first fragment that is pending or being fetched in the parts of a
// sequence from an index on.
func (p *Page) firstIncomplete(s *sequence, from int) *fragment {
	for i := from; i < len(s.parts); i++ {
		pt := &s.parts[i]
		switch {
		case pt.slot != nil && !pt.slot.leftOut && !pt.slot.done && pt.slot.fragment != nil:
			f := pt.slot.fragment
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
		case pt.except != nil:
			if g := p.firstIncomplete(pt.except, 0); g != nil {
				return g
			}
		case pt.attempt != nil:
			if g := p.firstIncomplete(pt.attempt, 0); g != nil {
				return g
			}
		}
	}
	return nil
}

// CanRead reports whether the caller may read more of a fragment now, or with -1 of the template.
// The limit of waiting bytes pauses reading, but not that of the fragment that blocks the output.
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

// fetchingFragment returns the fragment with a number if it is being fetched, or nil.
func (p *Page) fetchingFragment(id int) *fragment {
	if p.err != nil || id < 0 || id >= len(p.fragments) || p.fragments[id].state != fetching {
		return nil
	}
	return p.fragments[id]
}

// FragmentHead takes the metadata of a fragment.
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

// FragmentBody takes the next bytes of a fragment.
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
			p.failFragment(f, fmt.Sprintf("%.80q is longer than %d bytes and must be buffered until it is complete", f.key, p.options.MaxBuffered))
			return
		}
	}
	f.data = append(f.data, b...)
	p.addWaiting(int64(len(b)))
}

// mayStream reports whether a fragment may be sent before it is complete. It may if a single slot
// waits for it and nothing could replace it: it contains no ESI, and the slot is neither in a try
// nor in a fragment of which nothing has been sent.
func (p *Page) mayStream(f *fragment) bool {
	if f.waitingSlots > 1 || f.sequence != nil {
		return false
	}
	for _, sl := range p.slots {
		if sl.fragment == f && !sl.leftOut && !sl.done {
			return sl.sequence.parent == nil && (sl.sequence.owner == nil || sl.sequence.owner.partlySent)
		}
	}
	return false
}

// FragmentEnd reports the end of a fragment.
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
			f.sequence, f.parser = nil, nil // sent unmodified
			return
		}
		f.data = nil
		p.waiting -= int64(len(raw))
		p.feed(f.parser, f.sequence, f, f.url, raw)
	}
	p.closeFragment(f)
}

// closeFragment ends the parsing of a fragment that contains ESI.
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

// FragmentFailed reports that a fetch has failed, before the answer or within it.
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

// lateMargin is the time, in ms, before a fetch's deadline from which a failure counts as a timeout.
const lateMargin = 20

// cancelFetch cancels the fetch of a fragment, if one is in flight.
func (p *Page) cancelFetch(f *fragment) {
	if f.state == fetching {
		p.inFlight--
		f.state = pending
		p.actions = append(p.actions, Action{Kind: Cancel, ID: f.id})
	}
}

// failFragment fails a fragment. The slots that wait for it fall back.
func (p *Page) failFragment(f *fragment, cause string) {
	if f.state == failed || p.err != nil {
		return
	}
	p.cancelFetch(f)
	p.discardContent(f)
	f.state, f.cause = failed, cause
	if f.partlySent {
		p.abort(ErrFragment, "%.80q failed after part of it was sent: %s", f.key, cause)
		return
	}
	for i := 0; i < len(p.slots) && p.err == nil; i++ {
		if sl := p.slots[i]; sl.fragment == f && !sl.leftOut && !sl.done {
			p.fallBack(sl, cause)
		}
	}
}

// discardContent discards the content of a fragment.
func (p *Page) discardContent(f *fragment) {
	p.waiting -= int64(len(f.data))
	f.data = nil
	if f.sequence != nil {
		p.discardSequence(f.sequence)
		f.sequence, f.parser = nil, nil
	}
}

// discardSequence discards a sequence and releases its slots.
func (p *Page) discardSequence(s *sequence) {
	for i := range s.parts {
		pt := &s.parts[i]
		p.waiting -= int64(len(pt.text))
		pt.text = nil
		if sl := pt.slot; sl != nil && !sl.done {
			p.releaseSlot(sl)
		}
		if pt.attempt != nil {
			p.discardSequence(pt.attempt)
		}
		if pt.except != nil {
			p.discardSequence(pt.except)
		}
	}
	s.parts, s.discarded = nil, true
}

// releaseSlot ends a slot's wait. A fragment that no slot waits for is cancelled and discarded,
// unless the rest of the template may use it again.
func (p *Page) releaseSlot(sl *slot) {
	if sl.done {
		return
	}
	sl.done = true
	f := sl.fragment
	if f == nil {
		return
	}
	if f.waitingSlots--; f.waitingSlots > 0 {
		return
	}
	if f.state == complete && f.sequence == nil && f.dropped == 0 && p.root.open && p.waiting < p.options.MaxWaiting {
		f.partlySent = false // kept: the rest of the template may include it again
		return
	}
	switch f.state {
	case fetching:
		p.cancelFetch(f)
		p.discardContent(f)
	case complete:
		p.discardContent(f)
	}
	if f.state == pending || f.state == complete { // a later slot for its URL gets a new fragment
		if p.byURL[f.key] == f {
			delete(p.byURL, f.key)
		}
		f.state = failed
	}
}

// discardUnused discards complete fragments that no slot waits for.
func (p *Page) discardUnused() {
	for _, f := range p.fragments {
		if f.waitingSlots == 0 && f.state == complete {
			p.discardContent(f)
			delete(p.byURL, f.key)
			f.state = failed
		}
	}
}

// fallBack handles the failure of a slot's fragment: the slot gets its alternative or is left out,
// or the sequence around it fails.
func (p *Page) fallBack(sl *slot, cause string) {
	if f := sl.fragment; f != nil {
		sl.fragment = nil
		f.waitingSlots--
	}
	if alt := sl.alt; alt != "" {
		sl.alt = ""
		if u, err := url.ParseRequestURI(alt); err == nil {
			p.fillSlot(sl, u)
			return
		}
	}
	if sl.continueOnError {
		sl.leftOut = true
		return
	}
	sl.done = true
	p.failSequence(sl.sequence, cause)
}

// failSequence handles the failure of a sequence: the except of the innermost try replaces the
// attempt, or the fragment or page that the sequence belongs to fails.
func (p *Page) failSequence(s *sequence, cause string) {
	for ; s != nil; s = s.parent {
		if s.parent == nil {
			break
		}
		for i := range s.parent.parts {
			if pt := &s.parent.parts[i]; pt.attempt == s {
				p.discardSequence(s)
				pt.attempt = nil
				pt.except = &sequence{owner: s.owner, parent: s.parent}
				nodes := pt.exceptNodes
				pt.exceptNodes = nil
				base := p.url
				if s.owner != nil {
					base = s.owner.url
				}
				except := pt.except
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

// isReady reports whether a sequence is complete, so that it can be sent without waiting.
func (p *Page) isReady(s *sequence) bool {
	if s.ready {
		return true
	}
	if s.open {
		return false
	}
	for i := range s.parts {
		pt := &s.parts[i]
		switch {
		case pt.slot != nil && !pt.slot.leftOut && !pt.slot.done:
			f := pt.slot.fragment
			if f == nil || f.state != complete || f.sequence != nil && !p.isReady(f.sequence) {
				return false
			}
		case pt.except != nil:
			if !p.isReady(pt.except) {
				return false
			}
		case pt.attempt != nil:
			if !p.isReady(pt.attempt) {
				return false
			}
		}
	}
	s.ready = true
	return true
}

// Tick handles deadlines: fragments past theirs fail, and so does the page if it is past its own.
func (p *Page) Tick(now float64) {
	p.advanceClock(now)
	for _, f := range p.fragments {
		if p.err == nil && f.state == fetching && now >= f.deadline {
			p.cancelFetch(f)
			if f.partlySent {
				p.abort(ErrDeadline, "fetch of %.80q timed out after part of it was sent", f.key)
				return
			}
			p.failedLate = true
			p.failFragment(f, fmt.Sprintf("fetch of %.80q timed out", f.key))
			p.failedLate = false
		}
	}
	switch {
	case p.err != nil || p.Done():
	case p.mustEndAt > 0 && now >= p.mustEndAt:
		p.abort(ErrPurged, "the bytes already sent are stale")
	case now >= p.deadline && !p.Ready():
		p.abort(ErrDeadline, "%d fragments in flight", p.inFlight)
	}
}

// Purged reports a purge of the template or of the fragments whose URLs match. Content that has not
// been sent at all is fetched again. If some of the purged content has been sent, the page must be
// complete by until, the time at which purged copies become stale.
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

// endBy requires the page to be complete by until, and aborts the page if until has passed.
func (p *Page) endBy(until float64) {
	if p.mustEndAt == 0 || until < p.mustEndAt {
		p.mustEndAt = until
	}
	if p.now >= p.mustEndAt {
		p.abort(ErrPurged, "the bytes already sent are stale")
		return
	}
	for _, f := range p.fragments { // only for required fragments may the page wait longer
		if f.state == fetching && f.importance != required {
			f.deadline = min(f.deadline, p.latestEnd()-p.options.Reserve)
		}
	}
}

// latestEnd returns the time from which the deadlines of fetches are computed: the page's deadline,
// or, if it is earlier, one that makes fetches time out endMargin before the end that a purge
// requires.
func (p *Page) latestEnd() float64 {
	if p.mustEndAt > 0 {
		return min(p.deadline, p.mustEndAt+p.options.Reserve-endMargin)
	}
	return p.deadline
}

// endMargin is the time, in ms, between the timeout of the last fragments and the end that a purge
// requires. The rest of the page is sent in it.
const endMargin = 30

// refetch discards the content of a fragment, so that it is fetched again.
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

// clearReady clears the ready flags of a sequence and of the attempts and excepts in it.
func clearReady(s *sequence) {
	s.ready = false
	for i := range s.parts {
		if pt := &s.parts[i]; pt.attempt != nil {
			clearReady(pt.attempt)
		} else if pt.except != nil {
			clearReady(pt.except)
		}
	}
}

// maxSteps bounds the parts that a page processes. The limits in bytes do not bound nested fragments
// that are empty.
const maxSteps = 200_000

// Take appends the next bytes of the page to dst, at most maxBytes. It appends none if the page
// waits for a fragment, is done or has failed.
func (p *Page) Take(dst []byte, maxBytes int, now float64) []byte {
	p.advanceClock(now)
	had := len(dst)
	for p.err == nil && len(p.cursors) > 0 && len(dst)-had < maxBytes {
		if p.steps++; p.steps > maxSteps {
			p.abort(ErrLimit, "more than %d parts of the page were processed for output", maxSteps)
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
		pt := &c.sequence.parts[c.index]
		room := maxBytes - (len(dst) - had)
		switch {
		case pt.text != nil:
			n := min(room, len(pt.text)-c.offset)
			dst = append(dst, pt.text[c.offset:c.offset+n]...)
			if c.offset += n; c.offset == len(pt.text) {
				if p.sentOnce() {
					p.waiting -= int64(len(pt.text))
					pt.text = nil
				}
				c.index, c.offset = c.index+1, 0
			}
		case pt.slot != nil && !pt.slot.leftOut && !pt.slot.done:
			var more bool
			if dst, more = p.takeSlot(dst, c, pt.slot, room); !more {
				return p.countSent(dst, had)
			}
		case pt.except != nil:
			p.cursors = append(p.cursors, cursor{sequence: pt.except})
		case pt.attempt != nil:
			if !p.isReady(pt.attempt) {
				return p.countSent(dst, had)
			}
			p.cursors = append(p.cursors, cursor{sequence: pt.attempt})
		default:
			c.index, c.offset = c.index+1, 0
		}
	}
	return p.countSent(dst, had)
}

// countSent updates the counters after a Take that appended to dst from the index had on.
func (p *Page) countSent(dst []byte, had int) []byte {
	p.sent += int64(len(dst) - had)
	if p.sent > p.options.MaxPage {
		p.abort(ErrLimit, "the page is longer than %d bytes", p.options.MaxPage)
	}
	p.outputReady = p.err == nil && p.canSend()
	return dst
}

// advancePast moves a cursor past a part whose sequence has been sent.
func (p *Page) advancePast(c *cursor) {
	if pt := &c.sequence.parts[c.index]; pt.slot != nil {
		p.closeSlot(pt.slot)
	}
	c.index, c.offset = c.index+1, 0
}

// closeSlot releases a slot whose fragment has been sent, unless the slot is sent again.
func (p *Page) closeSlot(sl *slot) {
	if p.sentOnce() {
		p.releaseSlot(sl)
	}
}

// sentOnce reports whether the content at the cursors is sent only once: no fragment that contains
// it has other slots waiting for it.
func (p *Page) sentOnce() bool {
	for i := range p.cursors {
		if owner := p.cursors[i].sequence.owner; owner != nil && owner.waitingSlots > 1 {
			return false
		}
	}
	return true
}

// takeSlot appends the bytes of a slot's fragment that can be sent now. It returns false in more if
// the output then waits for the fragment.
func (p *Page) takeSlot(dst []byte, c *cursor, sl *slot, room int) (out []byte, more bool) {
	f := sl.fragment
	if f.sequence != nil {
		if !p.isReady(f.sequence) && (f.waitingSlots > 1 || sl.importance() != required || p.options.PassMalformed) {
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
		return dst, true // maxBytes reached
	}
	if f.state == complete {
		p.closeSlot(sl)
		c.index, c.offset = c.index+1, 0
		return dst, true
	}
	p.waiting -= int64(len(f.data))
	f.dropped += int64(len(f.data))
	f.data, c.offset = f.data[:0], 0
	return dst, false
}
