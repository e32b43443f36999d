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
	Kind            Kind
	Text            []byte
	Src, Alt        string // of an include, with variables in them; Src is the name of an inline
	ContinueOnError bool   // of an include, on failure: leave it out (onerror="continue")
	Fetchable       bool   // of an inline: it may be asked for by its name from outside the page
	Branches        []Branch
	Offset          int64 // where it begins in the page, in bytes
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

func (l Limits) withDefaults() Limits {
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
	Offset int64 // in bytes from the page's beginning
	What   string
	Remedy string
}

func (f *Fault) Error() string {
	s := fmt.Sprintf("esi: byte %d: %s", f.Offset, f.What)
	if f.Remedy != "" {
		s += "; " + f.Remedy
	}
	return s
}

// Parser reads a page in pieces of any size, and gives its nodes as soon as each is
// whole. After a fault it reads nothing more.
type Parser struct {
	limits     Limits
	offset     int64  // of the first byte of left
	unread     []byte // read, and not decided yet: it may begin a tag
	stack      []frame
	inComment  bool   // in <!--esi ... -->
	rawElement string // the element whose content is not looked into; empty: none
	inline     Node   // the one that raw is of
	held       int
	elements   int
	err        error
}

// frame is an element that is open.
type frame struct {
	name      string
	node      Node
	test      *Expr
	body      []Node
	seenParts string // of a choose: otherwise; of a try: what came
	textBytes int    // bytes of text in it that are held
}

// NewParser begins a page.
func NewParser(l Limits) *Parser { return &Parser{limits: l.withDefaults()} }

var (
	openTag      = []byte("<esi:")
	closeTag     = []byte("</esi:")
	openComment  = []byte("<!--esi")
	closeComment = []byte("-->")
	markers      = [][]byte{openTag, closeTag, openComment}
)

// Feed takes the next bytes of the page, and appends the nodes that are whole to dst.
func (p *Parser) Feed(dst []Node, b []byte) ([]Node, error) {
	if p.err != nil {
		return dst, p.err
	}
	data := b
	if len(p.unread) > 0 {
		p.unread = append(p.unread, b...)
		data = p.unread
	}
	for len(data) > 0 && p.err == nil {
		n := 0
		if dst, n = p.step(dst, data); n == 0 {
			break
		}
		data = data[n:]
		p.offset += int64(n)
	}
	if p.err != nil {
		p.unread = nil
		return dst, p.err
	}
	if len(p.unread) > 0 { // nodes may hold a part of it until the next call
		p.unread = nil
	}
	p.unread = append(p.unread, data...)
	return dst, nil
}

// Close ends the page: what is left must not have begun something.
func (p *Parser) Close(dst []Node) ([]Node, error) {
	if p.err != nil {
		return dst, p.err
	}
	if p.rawElement != "" {
		p.fail(p.offset, "esi:"+p.rawElement+" is not closed", "write </esi:"+p.rawElement+">")
	} else if n := len(p.stack); n > 0 {
		name := p.stack[n-1].name
		p.fail(p.stack[n-1].node.Offset, "esi:"+name+" is not closed", "write </esi:"+name+">")
	} else if bytes.HasPrefix(p.unread, openTag) || bytes.HasPrefix(p.unread, closeTag) {
		p.fail(p.offset, "the page ends within a tag", "close it with >")
	} else if p.inComment {
		p.fail(p.offset, "<!--esi is not closed", "write -->")
	}
	if p.err != nil {
		return dst, p.err
	}
	rest := p.unread
	p.unread = nil
	return p.addText(dst, rest), nil
}

func (p *Parser) fail(at int64, what, remedy string) {
	if p.err == nil {
		p.err = &Fault{at, what, remedy}
	}
}

// step takes one piece of data, and says of how many bytes. 0: more must come first.
func (p *Parser) step(dst []Node, data []byte) ([]Node, int) {
	if p.rawElement != "" {
		return p.skipRaw(dst, data)
	}
	i := bytes.IndexByte(data, '<')
	if p.inComment {
		end := data
		if i >= 0 {
			end = data[:i]
		}
		if j := bytes.Index(end, closeComment); j >= 0 {
			p.inComment = false
			dst = p.addText(dst, data[:j])
			return dst, j + len(closeComment)
		}
		if i < 0 { // it may end with the beginning of -->
			keep := 0
			for k := 1; k < len(closeComment); k++ {
				if bytes.HasSuffix(data, closeComment[:k]) {
					keep = k
				}
			}
			dst = p.addText(dst, data[:len(data)-keep])
			return dst, len(data) - keep
		}
	}
	if i < 0 {
		return p.addText(dst, data), len(data)
	}
	if i > 0 {
		return p.addText(dst, data[:i]), i
	}
	for _, m := range markers {
		if len(data) < len(m) && bytes.HasPrefix(m, data) {
			return dst, 0
		}
	}
	switch {
	case bytes.HasPrefix(data, openTag), bytes.HasPrefix(data, closeTag):
		n := tagEnd(data)
		if n == 0 && len(data) >= p.limits.Tag || n > p.limits.Tag {
			p.fail(p.offset, fmt.Sprintf("a tag is longer than %d bytes", p.limits.Tag), "shorten it, or raise the limit")
			return dst, 0
		}
		if n == 0 {
			return dst, 0
		}
		if data[1] == '/' {
			return p.closeElement(dst, strings.TrimSpace(string(data[len(closeTag):n-1]))), n
		}
		return p.openElement(dst, string(data[len(openTag):n-1])), n
	case bytes.HasPrefix(data, openComment):
		if p.inComment {
			p.fail(p.offset, "<!--esi within <!--esi", "close the first with -->")
			return dst, 0
		}
		p.inComment = true
		return dst, len(openComment)
	}
	return p.addText(dst, data[:1]), 1
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

// skipRaw passes over the content of an element that is not looked into.
func (p *Parser) skipRaw(dst []Node, data []byte) ([]Node, int) {
	end := []byte("</esi:" + p.rawElement + ">")
	i := bytes.Index(data, end)
	n := i + len(end)
	if i < 0 {
		i = max(len(data)-len(end)+1, 0)
		n = i
	}
	if p.inline.Kind == Inline {
		if p.held += i; p.held > p.limits.Held {
			p.failHeld()
			return dst, 0
		}
		p.inline.Text = append(p.inline.Text, data[:i]...)
	}
	if n > i {
		p.rawElement = ""
		if node := p.inline; node.Kind == Inline {
			p.inline = Node{}
			dst = p.addNode(dst, node)
		}
	}
	return dst, n
}

func (p *Parser) failHeld() {
	p.fail(p.offset, fmt.Sprintf("more than %d bytes wait for the end of their element", p.limits.Held), "use smaller choose, try and vars elements, or raise the limit")
}

// addText is bytes of the page itself.
func (p *Parser) addText(dst []Node, b []byte) []Node {
	if len(b) == 0 {
		return dst
	}
	if len(p.stack) == 0 {
		return append(dst, Node{Kind: Text, Text: b, Offset: p.offset})
	}
	f := &p.stack[len(p.stack)-1]
	if f.name == "choose" || f.name == "try" {
		if i := len(b) - len(bytes.TrimLeft(b, " \t\r\n")); i < len(b) {
			p.fail(p.offset+int64(i), "text stands in esi:"+f.name+" itself", "put it into one of its parts")
		}
		return dst
	}
	if p.held += len(b); p.held > p.limits.Held {
		p.failHeld()
		return dst
	}
	f.textBytes += len(b)
	kind := Text
	if p.insideElement("vars") {
		kind = Expand
	}
	if n := len(f.body); n > 0 && f.body[n-1].Kind == kind {
		f.body[n-1].Text = append(f.body[n-1].Text, b...)
		return dst
	}
	f.body = append(f.body, Node{Kind: kind, Text: append([]byte(nil), b...), Offset: p.offset})
	return dst
}

func (p *Parser) insideElement(name string) bool {
	for i := range p.stack {
		if p.stack[i].name == name {
			return true
		}
	}
	return false
}

// addNode puts a whole node where it belongs.
func (p *Parser) addNode(dst []Node, n Node) []Node {
	if len(p.stack) == 0 {
		p.held = 0
		return append(dst, n)
	}
	f := &p.stack[len(p.stack)-1]
	if f.name == "choose" || f.name == "try" {
		p.fail(n.Offset, "an element stands in esi:"+f.name+" itself", "put it into one of its parts")
		return dst
	}
	f.body = append(f.body, n)
	return dst
}

// elementAttributes of elements: the attributes that each may have, with ! those that it must.
var elementAttributes = map[string]string{
	"include": "src! alt onerror", "inline": "name! fetchable", "comment": "text", "remove": "", "vars": "",
	"choose": "", "when": "test!", "otherwise": "", "try": "", "attempt": "", "except": "",
}

// requiredParent of elements that stand in one other only.
var requiredParent = map[string]string{"when": "choose", "otherwise": "choose", "attempt": "try", "except": "try"}

// openElement takes an opening or an empty tag; text is what stands between <esi: and >.
func (p *Parser) openElement(dst []Node, text string) []Node {
	empty := strings.HasSuffix(text, "/")
	name, rest := text, ""
	text = strings.TrimSuffix(text, "/")
	if i := strings.IndexAny(text, " \t\r\n"); i >= 0 {
		name, rest = text[:i], text[i:]
	} else {
		name = text
	}
	shape, known := elementAttributes[name]
	if !known {
		p.fail(p.offset, fmt.Sprintf("esi:%.40q is no element", name), "see docs/esi.md for those that are")
		return dst
	}
	attr, what := parseAttributes(rest, shape)
	if what != "" {
		p.fail(p.offset, "esi:"+name+": "+what, "see docs/esi.md for what it takes")
		return dst
	}
	if p.elements++; p.elements > p.limits.Nodes {
		p.fail(p.offset, fmt.Sprintf("more than %d elements on a page", p.limits.Nodes), "split the page, or raise the limit")
		return dst
	}
	if in := requiredParent[name]; in != "" && (len(p.stack) == 0 || p.stack[len(p.stack)-1].name != in) {
		p.fail(p.offset, "esi:"+name+" stands outside of esi:"+in, "put it into one")
		return dst
	}
	alone := name == "include" || name == "comment"
	if alone != empty {
		if alone {
			p.fail(p.offset, "esi:"+name+" is not closed", "end it with />")
		} else {
			p.fail(p.offset, "esi:"+name+" is empty", "give it its content, and </esi:"+name+">")
		}
		return dst
	}
	node := Node{Offset: p.offset}
	switch name {
	case "comment":
		return dst
	case "include":
		node.Kind, node.Src, node.Alt, node.ContinueOnError = Include, attr["src"], attr["alt"], attr["onerror"] == "continue"
		if e, has := attr["onerror"]; has && !node.ContinueOnError {
			p.fail(p.offset, fmt.Sprintf("onerror is %.20q", e), `"continue" is all that it can be`)
		}
		if p.held += len(node.Src) + len(node.Alt); len(p.stack) > 0 && p.held > p.limits.Held {
			p.failHeld()
		}
		return p.addNode(dst, node)
	case "remove":
		p.rawElement = name
		return dst
	case "inline":
		p.rawElement = name
		p.inline = Node{Kind: Inline, Offset: p.offset, Src: attr["name"], Fetchable: attr["fetchable"] == "yes"}
		if f, has := attr["fetchable"]; has && f != "yes" && f != "no" {
			p.fail(p.offset, fmt.Sprintf("fetchable is %.20q", f), "yes or no")
		}
		return dst
	}
	if len(p.stack) >= p.limits.Depth {
		p.fail(p.offset, fmt.Sprintf("elements are nested deeper than %d", p.limits.Depth), "flatten the page, or raise the limit")
		return dst
	}
	f := frame{name: name, node: node}
	if in := requiredParent[name]; in != "" {
		out := &p.stack[len(p.stack)-1]
		switch {
		case name == "when" && out.seenParts != "":
			p.fail(p.offset, "esi:when stands behind esi:otherwise", "put it before")
		case name == "otherwise" && out.seenParts != "", name != "when" && name != "otherwise" && strings.Contains(out.seenParts, name):
			p.fail(p.offset, "a second esi:"+name, "one is all there can be")
		case name == "except" && out.seenParts == "":
			p.fail(p.offset, "esi:except stands before esi:attempt", "put it behind")
		}
		if name != "when" {
			out.seenParts += name
		}
	}
	if name == "when" {
		var err error
		if f.test, err = ParseExpr(attr["test"]); err != nil {
			p.fail(p.offset, "esi:when: "+err.Error(), "")
		}
	}
	p.stack = append(p.stack, f)
	return dst
}

// closeElement takes a closing tag.
func (p *Parser) closeElement(dst []Node, name string) []Node {
	n := len(p.stack)
	if n == 0 || p.stack[n-1].name != name {
		what := "nothing of it is open"
		if n > 0 {
			what = "esi:" + p.stack[n-1].name + " is open"
		}
		p.fail(p.offset, fmt.Sprintf("</esi:%.40s>, where %s", name, what), "close elements in the order in which they opened")
		return dst
	}
	f := p.stack[n-1]
	p.stack = p.stack[:n-1]
	switch name {
	case "vars":
		for _, node := range f.body {
			dst = p.addNode(dst, node)
		}
		return dst
	case "choose":
		f.node.Kind = Choose
		if len(f.node.Branches) == 0 || f.node.Branches[0].Test == nil {
			p.fail(f.node.Offset, "esi:choose without esi:when", "give it one, or leave it out")
			return dst
		}
		return p.addNode(dst, f.node)
	case "try":
		f.node.Kind = Try
		if f.seenParts != "attemptexcept" {
			p.fail(f.node.Offset, "esi:try without both an esi:attempt and an esi:except", "give it both")
			return dst
		}
		return p.addNode(dst, f.node)
	}
	out := &p.stack[n-2]
	out.node.Branches = append(out.node.Branches, Branch{f.test, f.body})
	return dst
}

// parseAttributes reads name="value" pairs by a shape; what is wrong is said in words.
func parseAttributes(s, shape string) (map[string]string, string) {
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
		out[name] = characterReferences.Replace(value)
		s = rest[end+2:]
	}
	for want := range strings.FieldsSeq(shape) {
		if name, must := strings.CutSuffix(want, "!"); must && out[name] == "" {
			return nil, fmt.Sprintf("%s is missing", name)
		}
	}
	return out, ""
}

// characterReferences are those that XML defines for attributes' values.
var characterReferences = strings.NewReplacer("&amp;", "&", "&lt;", "<", "&gt;", ">", "&quot;", `"`, "&apos;", "'", "&#34;", `"`, "&#39;", "'")
