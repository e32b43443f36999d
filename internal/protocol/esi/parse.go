package esi

import (
	"bytes"
	"fmt"
	"strings"
)

// Kind is what a node of a page is.
type Kind uint8

// The kinds of nodes.
const (
	Text    Kind = iota + 1 // bytes, as they are
	Expand                  // bytes in which variables are replaced (vars)
	Include                 // a fragment
	Choose                  // the first branch whose test holds
	Try                     // the attempt, or else the except
	Inline                  // a fragment that the page brings along
)

// Node is a piece of a page. A node that the parser returns holds no memory of the
// caller's, but for the text of a node of the kinds Text and Expand at the top of the
// page, which is good until the next call.
type Node struct {
	Kind     Kind
	Text     []byte
	Src, Alt string // of an include, with variables in them; Src is the name of an inline
	Continue bool   // of an include, on failure: leave it out (onerror="continue")
	Fetch    bool   // of an inline: it may be asked for by its name from outside the page
	Branches []Branch
	At       int64 // where it begins in the page, in bytes
}

// Branch is a part of a choose, or of a try: there the attempt, and then the except.
type Branch struct {
	Test *Expr // nil: otherwise, attempt or except
	Body []Node
}

// Limits bound what a page may ask of a parser. The zero value has the defaults.
type Limits struct {
	Depth int // elements in elements; default 16
	Tag   int // bytes of one tag; default 8 KB
	Held  int // bytes that are held until their element ends; default 1 MB
	Nodes int // elements of a page; default 10,000
}

func (l Limits) filled() Limits {
	set := func(n *int, def int) {
		if *n <= 0 {
			*n = def
		}
	}
	set(&l.Depth, 16)
	set(&l.Tag, 8<<10)
	set(&l.Held, 1<<20)
	set(&l.Nodes, 10000)
	return l
}

// Fault is what makes a page no valid one.
type Fault struct {
	At     int64 // in bytes from the page's beginning
	What   string
	Remedy string
}

func (f *Fault) Error() string {
	s := fmt.Sprintf("esi: byte %d: %s", f.At, f.What)
	if f.Remedy != "" {
		s += "; " + f.Remedy
	}
	return s
}

// Parser reads a page in pieces of any size, and gives its nodes as soon as each is
// whole. After a fault it reads nothing more.
type Parser struct {
	l       Limits
	at      int64  // of the first byte of left
	left    []byte // read, and not decided yet: it may begin a tag
	stack   []frame
	comment bool   // in <!--esi ... -->
	raw     string // the element whose content is not looked into; empty: none
	inline  Node   // the one that raw is of
	held    int
	nodes   int
	err     error
}

// frame is an element that is open.
type frame struct {
	name     string
	node     Node
	test     *Expr
	body     []Node
	seen     string // of a choose: otherwise; of a try: what came
	contents int    // bytes of text in it that are held
}

// NewParser begins a page.
func NewParser(l Limits) *Parser { return &Parser{l: l.filled()} }

var (
	openTag    = []byte("<esi:")
	closeTag   = []byte("</esi:")
	openNote   = []byte("<!--esi")
	closeNote  = []byte("-->")
	allMarkers = [][]byte{openTag, closeTag, openNote}
)

// Feed takes the next bytes of the page, and appends the nodes that are whole to dst.
func (p *Parser) Feed(dst []Node, b []byte) ([]Node, error) {
	if p.err != nil {
		return dst, p.err
	}
	data := b
	if len(p.left) > 0 {
		p.left = append(p.left, b...)
		data = p.left
	}
	for len(data) > 0 && p.err == nil {
		n := 0
		if dst, n = p.step(dst, data); n == 0 {
			break
		}
		data = data[n:]
		p.at += int64(n)
	}
	if p.err != nil {
		p.left = nil
		return dst, p.err
	}
	if len(p.left) > 0 { // nodes may hold a part of it until the next call
		p.left = nil
	}
	p.left = append(p.left, data...)
	return dst, nil
}

// Close ends the page: what is left must not have begun something.
func (p *Parser) Close(dst []Node) ([]Node, error) {
	if p.err != nil {
		return dst, p.err
	}
	if p.raw != "" {
		p.fail(p.at, "esi:"+p.raw+" is not closed", "write </esi:"+p.raw+">")
	} else if n := len(p.stack); n > 0 {
		name := p.stack[n-1].name
		p.fail(p.stack[n-1].node.At, "esi:"+name+" is not closed", "write </esi:"+name+">")
	} else if bytes.HasPrefix(p.left, openTag) || bytes.HasPrefix(p.left, closeTag) {
		p.fail(p.at, "the page ends within a tag", "close it with >")
	} else if p.comment {
		p.fail(p.at, "<!--esi is not closed", "write -->")
	}
	if p.err != nil {
		return dst, p.err
	}
	rest := p.left
	p.left = nil
	return p.text(dst, rest), nil
}

func (p *Parser) fail(at int64, what, remedy string) {
	if p.err == nil {
		p.err = &Fault{at, what, remedy}
	}
}

// step takes one piece of data, and says of how many bytes. 0: more must come first.
func (p *Parser) step(dst []Node, data []byte) ([]Node, int) {
	if p.raw != "" {
		return p.skip(dst, data)
	}
	i := bytes.IndexByte(data, '<')
	if p.comment {
		end := data
		if i >= 0 {
			end = data[:i]
		}
		if j := bytes.Index(end, closeNote); j >= 0 {
			p.comment = false
			dst = p.text(dst, data[:j])
			return dst, j + len(closeNote)
		}
		if i < 0 { // it may end with the beginning of -->
			keep := 0
			for k := 1; k < len(closeNote); k++ {
				if bytes.HasSuffix(data, closeNote[:k]) {
					keep = k
				}
			}
			dst = p.text(dst, data[:len(data)-keep])
			return dst, len(data) - keep
		}
	}
	if i < 0 {
		return p.text(dst, data), len(data)
	}
	if i > 0 {
		return p.text(dst, data[:i]), i
	}
	for _, m := range allMarkers {
		if len(data) < len(m) && bytes.HasPrefix(m, data) {
			return dst, 0
		}
	}
	switch {
	case bytes.HasPrefix(data, openTag), bytes.HasPrefix(data, closeTag):
		n := tagEnd(data)
		if n == 0 && len(data) >= p.l.Tag || n > p.l.Tag {
			p.fail(p.at, fmt.Sprintf("a tag is longer than %d bytes", p.l.Tag), "shorten it, or raise the limit")
			return dst, 0
		}
		if n == 0 {
			return dst, 0
		}
		if data[1] == '/' {
			return p.closes(dst, strings.TrimSpace(string(data[len(closeTag):n-1]))), n
		}
		return p.opens(dst, string(data[len(openTag):n-1])), n
	case bytes.HasPrefix(data, openNote):
		if p.comment {
			p.fail(p.at, "<!--esi within <!--esi", "close the first with -->")
			return dst, 0
		}
		p.comment = true
		return dst, len(openNote)
	}
	return p.text(dst, data[:1]), 1
}

// tagEnd is the length of the tag that data begins with, 0 if it is not whole. A > in
// quotes does not end it.
func tagEnd(data []byte) int {
	quote := byte(0)
	for i, c := range data {
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '"' || c == '\'':
			quote = c
		case c == '>':
			return i + 1
		}
	}
	return 0
}

// skip passes over the content of an element that is not looked into.
func (p *Parser) skip(dst []Node, data []byte) ([]Node, int) {
	end := []byte("</esi:" + p.raw + ">")
	i := bytes.Index(data, end)
	n := i + len(end)
	if i < 0 {
		i = max(len(data)-len(end)+1, 0)
		n = i
	}
	if p.inline.Kind == Inline {
		if p.held += i; p.held > p.l.Held {
			p.tooMuch()
			return dst, 0
		}
		p.inline.Text = append(p.inline.Text, data[:i]...)
	}
	if n > i {
		p.raw = ""
		if node := p.inline; node.Kind == Inline {
			p.inline = Node{}
			dst = p.add(dst, node)
		}
	}
	return dst, n
}

func (p *Parser) tooMuch() {
	p.fail(p.at, fmt.Sprintf("more than %d bytes wait for the end of their element", p.l.Held), "use smaller choose, try and vars elements, or raise the limit")
}

// text is bytes of the page itself.
func (p *Parser) text(dst []Node, b []byte) []Node {
	if len(b) == 0 {
		return dst
	}
	if len(p.stack) == 0 {
		return append(dst, Node{Kind: Text, Text: b, At: p.at})
	}
	f := &p.stack[len(p.stack)-1]
	if f.name == "choose" || f.name == "try" {
		if i := len(b) - len(bytes.TrimLeft(b, " \t\r\n")); i < len(b) {
			p.fail(p.at+int64(i), "text stands in esi:"+f.name+" itself", "put it into one of its parts")
		}
		return dst
	}
	if p.held += len(b); p.held > p.l.Held {
		p.tooMuch()
		return dst
	}
	f.contents += len(b)
	kind := Text
	if p.within("vars") {
		kind = Expand
	}
	if n := len(f.body); n > 0 && f.body[n-1].Kind == kind {
		f.body[n-1].Text = append(f.body[n-1].Text, b...)
		return dst
	}
	f.body = append(f.body, Node{Kind: kind, Text: append([]byte(nil), b...), At: p.at})
	return dst
}

func (p *Parser) within(name string) bool {
	for i := range p.stack {
		if p.stack[i].name == name {
			return true
		}
	}
	return false
}

// add puts a whole node where it belongs.
func (p *Parser) add(dst []Node, n Node) []Node {
	if len(p.stack) == 0 {
		p.held = 0
		return append(dst, n)
	}
	f := &p.stack[len(p.stack)-1]
	if f.name == "choose" || f.name == "try" {
		p.fail(n.At, "an element stands in esi:"+f.name+" itself", "put it into one of its parts")
		return dst
	}
	f.body = append(f.body, n)
	return dst
}

// shapes of elements: the attributes that each may have, with ! those that it must.
var shapes = map[string]string{
	"include": "src! alt onerror", "inline": "name! fetchable", "comment": "text", "remove": "", "vars": "",
	"choose": "", "when": "test!", "otherwise": "", "try": "", "attempt": "", "except": "",
}

// parents of elements that stand in one other only.
var parents = map[string]string{"when": "choose", "otherwise": "choose", "attempt": "try", "except": "try"}

// opens takes an opening or an empty tag; text is what stands between <esi: and >.
func (p *Parser) opens(dst []Node, text string) []Node {
	empty := strings.HasSuffix(text, "/")
	name, rest := text, ""
	text = strings.TrimSuffix(text, "/")
	if i := strings.IndexAny(text, " \t\r\n"); i >= 0 {
		name, rest = text[:i], text[i:]
	} else {
		name = text
	}
	shape, known := shapes[name]
	if !known {
		p.fail(p.at, fmt.Sprintf("esi:%.40q is no element", name), "see docs/esi.md for those that are")
		return dst
	}
	attr, what := attributes(rest, shape)
	if what != "" {
		p.fail(p.at, "esi:"+name+": "+what, "see docs/esi.md for what it takes")
		return dst
	}
	if p.nodes++; p.nodes > p.l.Nodes {
		p.fail(p.at, fmt.Sprintf("more than %d elements on a page", p.l.Nodes), "split the page, or raise the limit")
		return dst
	}
	if in := parents[name]; in != "" && (len(p.stack) == 0 || p.stack[len(p.stack)-1].name != in) {
		p.fail(p.at, "esi:"+name+" stands outside of esi:"+in, "put it into one")
		return dst
	}
	alone := name == "include" || name == "comment"
	if alone != empty {
		if alone {
			p.fail(p.at, "esi:"+name+" is not closed", "end it with />")
		} else {
			p.fail(p.at, "esi:"+name+" is empty", "give it its content, and </esi:"+name+">")
		}
		return dst
	}
	node := Node{At: p.at}
	switch name {
	case "comment":
		return dst
	case "include":
		node.Kind, node.Src, node.Alt, node.Continue = Include, attr["src"], attr["alt"], attr["onerror"] == "continue"
		if e, has := attr["onerror"]; has && !node.Continue {
			p.fail(p.at, fmt.Sprintf("onerror is %.20q", e), `"continue" is all that it can be`)
		}
		if p.held += len(node.Src) + len(node.Alt); len(p.stack) > 0 && p.held > p.l.Held {
			p.tooMuch()
		}
		return p.add(dst, node)
	case "remove":
		p.raw = name
		return dst
	case "inline":
		p.raw = name
		p.inline = Node{Kind: Inline, At: p.at, Src: attr["name"], Fetch: attr["fetchable"] == "yes"}
		if f, has := attr["fetchable"]; has && f != "yes" && f != "no" {
			p.fail(p.at, fmt.Sprintf("fetchable is %.20q", f), "yes or no")
		}
		return dst
	}
	if len(p.stack) >= p.l.Depth {
		p.fail(p.at, fmt.Sprintf("elements are nested deeper than %d", p.l.Depth), "flatten the page, or raise the limit")
		return dst
	}
	f := frame{name: name, node: node}
	if in := parents[name]; in != "" {
		out := &p.stack[len(p.stack)-1]
		switch {
		case name == "when" && out.seen != "":
			p.fail(p.at, "esi:when stands behind esi:otherwise", "put it before")
		case name == "otherwise" && out.seen != "", name != "when" && name != "otherwise" && strings.Contains(out.seen, name):
			p.fail(p.at, "a second esi:"+name, "one is all there can be")
		case name == "except" && out.seen == "":
			p.fail(p.at, "esi:except stands before esi:attempt", "put it behind")
		}
		if name != "when" {
			out.seen += name
		}
	}
	if name == "when" {
		var err error
		if f.test, err = ParseExpr(attr["test"]); err != nil {
			p.fail(p.at, "esi:when: "+err.Error(), "")
		}
	}
	p.stack = append(p.stack, f)
	return dst
}

// closes takes a closing tag.
func (p *Parser) closes(dst []Node, name string) []Node {
	n := len(p.stack)
	if n == 0 || p.stack[n-1].name != name {
		what := "nothing of it is open"
		if n > 0 {
			what = "esi:" + p.stack[n-1].name + " is open"
		}
		p.fail(p.at, fmt.Sprintf("</esi:%.40s>, where %s", name, what), "close elements in the order in which they opened")
		return dst
	}
	f := p.stack[n-1]
	p.stack = p.stack[:n-1]
	switch name {
	case "vars":
		for _, node := range f.body {
			dst = p.add(dst, node)
		}
		return dst
	case "choose":
		f.node.Kind = Choose
		if len(f.node.Branches) == 0 || f.node.Branches[0].Test == nil {
			p.fail(f.node.At, "esi:choose without esi:when", "give it one, or leave it out")
			return dst
		}
		return p.add(dst, f.node)
	case "try":
		f.node.Kind = Try
		if f.seen != "attemptexcept" {
			p.fail(f.node.At, "esi:try without both an esi:attempt and an esi:except", "give it both")
			return dst
		}
		return p.add(dst, f.node)
	}
	out := &p.stack[n-2]
	out.node.Branches = append(out.node.Branches, Branch{f.test, f.body})
	return dst
}

// attributes reads name="value" pairs by a shape; what is wrong is said in words.
func attributes(s, shape string) (map[string]string, string) {
	out := map[string]string{}
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		name, rest, ok := strings.Cut(s, "=")
		name, rest = strings.TrimSpace(name), strings.TrimSpace(rest)
		if !ok || rest == "" || rest[0] != '"' && rest[0] != '\'' {
			return nil, fmt.Sprintf("%.40q is no attribute: name=\"value\" is", s)
		}
		end := strings.IndexByte(rest[1:], rest[0])
		if end < 0 {
			return nil, fmt.Sprintf("the value of %.20q is not closed", name)
		}
		if !strings.Contains(" "+shape+" ", " "+name+" ") && !strings.Contains(" "+shape+" ", " "+name+"! ") {
			return nil, fmt.Sprintf("it has no attribute %.20q", name)
		}
		if _, twice := out[name]; twice {
			return nil, fmt.Sprintf("%q is given twice", name)
		}
		value := rest[1 : 1+end]
		if strings.IndexFunc(value, func(r rune) bool { return r < 0x20 && r != '\t' && r != '\n' && r != '\r' }) >= 0 {
			return nil, fmt.Sprintf("the value of %q has a control character", name)
		}
		out[name] = references.Replace(value)
		s = rest[end+2:]
	}
	for want := range strings.FieldsSeq(shape) {
		if name, must := strings.CutSuffix(want, "!"); must && out[name] == "" {
			return nil, fmt.Sprintf("%s is missing", name)
		}
	}
	return out, ""
}

// references are those that XML defines for attributes' values.
var references = strings.NewReplacer("&amp;", "&", "&lt;", "<", "&gt;", ">", "&quot;", `"`, "&apos;", "'", "&#34;", `"`, "&#39;", "'")
