package esi

import (
	"bytes"
	"fmt"
	"strings"
)

// Kind is the kind of a node.
type Kind uint8

// The kinds of nodes.
const (
	Text    Kind = iota + 1 // literal bytes
	Expand                  // bytes in which variables are replaced (vars)
	Include                 // a fragment
	Choose                  // the first branch whose test holds
	Try                     // the attempt, or else the except
	Inline                  // a fragment whose text is in the page
)

// Node is an element of a page, or a run of text. The Text of a top-level node of kind Text
// refers to the chunk passed to Feed or to the parser's buffer, and is valid only until the next
// call of Feed or Close. All other nodes own their bytes.
type Node struct {
	Kind            Kind
	Text            []byte
	Src, Alt        string // of an include, with unexpanded variables; Src is the name of an inline
	ContinueOnError bool   // of an include: leave it out if it fails (onerror="continue")
	Fetchable       bool   // of an inline: it may be requested by its name from outside the page
	Branches        []Branch
	Offset          int64 // position of its start in the page, in bytes
}

// Branch is a branch of a choose or of a try. A try has two, the attempt and the except.
type Branch struct {
	Test *Expr // nil for otherwise, attempt and except
	Body []Node
}

// Limits bound the resources that parsing a page takes. A field that is zero has its default.
type Limits struct {
	Depth         int // nesting depth of elements; default 16
	Tag           int // bytes of one tag; default 8 KB
	BufferedBytes int // bytes buffered for one outermost element, with all that is in it; default 1 MB
	Elements      int // elements of a page, not counting runs of text; default 10,000
}

func (l Limits) withDefaults() Limits {
	set := func(n *int, def int) {
		if *n <= 0 {
			*n = def
		}
	}
	set(&l.Depth, 16)
	set(&l.Tag, 8<<10)
	set(&l.BufferedBytes, 1<<20)
	set(&l.Elements, 10000)
	return l
}

// Fault is a syntax error in a page.
type Fault struct {
	Offset int64 // in bytes from the start of the page
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

// Parser parses a page from chunks of any size and returns each node as soon as it is complete.
// After a fault it parses nothing more.
type Parser struct {
	limits     Limits
	offset     int64  // position in the page of the first byte of unread
	unread     []byte // received but not parsed: may be the start of a tag
	stack      []frame
	inComment  bool   // within <!--esi ... -->
	rawElement string // name of the open element whose content is not parsed; empty: none
	inline     Node   // the open inline, if rawElement is one
	held       int    // bytes buffered for the outermost open element
	elements   int    // elements opened so far
	err        error
}

// frame is an open element.
type frame struct {
	name      string
	node      Node
	test      *Expr
	body      []Node
	seenParts string // names of the child elements opened so far, concatenated: attempt and except of a try, otherwise of a choose
	textBytes int    // bytes of text buffered in it
}

// NewParser returns a parser for one page.
func NewParser(l Limits) *Parser { return &Parser{limits: l.withDefaults()} }

var (
	openTag      = []byte("<esi:")
	closeTag     = []byte("</esi:")
	openComment  = []byte("<!--esi")
	closeComment = []byte("-->")
	markers      = [][]byte{openTag, closeTag, openComment}
)

// Feed parses the next bytes of the page and appends the nodes that are complete to dst.
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
	if len(p.unread) > 0 { // not reused: returned nodes refer to it until the next call
		p.unread = nil
	}
	p.unread = append(p.unread, data...)
	return dst, nil
}

// Close ends the page and appends the last nodes to dst. An open element or tag is a fault.
func (p *Parser) Close(dst []Node) ([]Node, error) {
	if p.err != nil {
		return dst, p.err
	}
	if p.rawElement != "" {
		p.fail(p.offset, "the page ends, but esi:"+p.rawElement+" is not closed", "write </esi:"+p.rawElement+">")
	} else if n := len(p.stack); n > 0 {
		name := p.stack[n-1].name
		p.fail(p.stack[n-1].node.Offset, "the page ends, but esi:"+name+" is not closed", "write </esi:"+name+">")
	} else if bytes.HasPrefix(p.unread, openTag) || bytes.HasPrefix(p.unread, closeTag) {
		p.fail(p.offset, "page ends within a tag", "close it with >")
	} else if p.inComment {
		p.fail(p.offset, "the page ends, but <!--esi is not closed", "write -->")
	}
	if p.err != nil {
		return dst, p.err
	}
	rest := p.unread
	p.unread = nil
	return p.addText(dst, rest), nil
}

func (p *Parser) fail(offset int64, what, remedy string) {
	if p.err == nil {
		p.err = &Fault{offset, what, remedy}
	}
}

// step parses one token and returns its length in bytes. The length is 0 if the token is
// incomplete.
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
		if i < 0 { // data may end with the first bytes of -->
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
			p.fail(p.offset, fmt.Sprintf("a tag is longer than %d bytes", p.limits.Tag), "check that its quotes are closed, shorten it, or raise the limit, (tag n) in (pages ...)")
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

// tagEnd returns the length of the tag at the start of data, or 0 if the tag is incomplete. A >
// within quotes does not end a tag.
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

// skipRaw consumes the unparsed content of a remove or an inline. The content of an
// inline becomes the text of its node.
func (p *Parser) skipRaw(dst []Node, data []byte) ([]Node, int) {
	end := []byte("</esi:" + p.rawElement + ">")
	i := bytes.Index(data, end)
	n := i + len(end)
	if i < 0 {
		i = max(len(data)-len(end)+1, 0)
		n = i
	}
	if p.inline.Kind == Inline {
		if p.held += i; p.held > p.limits.BufferedBytes {
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
	p.fail(p.offset, fmt.Sprintf("the outermost open element holds more than %d bytes", p.limits.BufferedBytes), "make the choose, try, vars or inline element smaller, or raise the limit, (held-kb n) in (pages ...)")
}

// addText adds literal bytes of the page.
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
			p.fail(p.offset+int64(i), "text stands directly in esi:"+f.name, "move it into one of its child elements")
		}
		return dst
	}
	if p.held += len(b); p.held > p.limits.BufferedBytes {
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

// addNode adds a complete node to the innermost open element, or to dst if none is open.
func (p *Parser) addNode(dst []Node, n Node) []Node {
	if len(p.stack) == 0 {
		p.held = 0
		return append(dst, n)
	}
	f := &p.stack[len(p.stack)-1]
	if f.name == "choose" || f.name == "try" {
		p.fail(n.Offset, "an element stands directly in esi:"+f.name, "move it into one of its child elements")
		return dst
	}
	f.body = append(f.body, n)
	return dst
}

// elementAttributes lists the attributes of each element. A ! marks the required ones.
var elementAttributes = map[string]string{
	"include": "src! alt onerror", "inline": "name! fetchable", "comment": "text", "remove": "", "vars": "",
	"choose": "", "when": "test!", "otherwise": "", "try": "", "attempt": "", "except": "",
}

// requiredParent gives the parent of each element that is allowed only as a direct child of one
// particular element.
var requiredParent = map[string]string{"when": "choose", "otherwise": "choose", "attempt": "try", "except": "try"}

// openElement processes a start tag or an empty-element tag. The text is the part of the
// tag between <esi: and >.
func (p *Parser) openElement(dst []Node, text string) []Node {
	empty := strings.HasSuffix(text, "/")
	name, rest := text, ""
	text = strings.TrimSuffix(text, "/")
	if i := strings.IndexAny(text, " \t\r\n"); i >= 0 {
		name, rest = text[:i], text[i:]
	} else {
		name = text
	}
	allowed, known := elementAttributes[name]
	if !known {
		p.fail(p.offset, fmt.Sprintf("esi:%.40q is not an element", name), "see docs/esi.md for the supported elements")
		return dst
	}
	attr, what := parseAttributes(rest, allowed)
	if what != "" {
		p.fail(p.offset, "esi:"+name+": "+what, "see docs/esi.md for its attributes")
		return dst
	}
	if p.elements++; p.elements > p.limits.Elements {
		p.fail(p.offset, fmt.Sprintf("more than %d elements on a page", p.limits.Elements), "split the page, or raise the limit, (elements n) in (pages ...)")
		return dst
	}
	if parentName := requiredParent[name]; parentName != "" && (len(p.stack) == 0 || p.stack[len(p.stack)-1].name != parentName) {
		p.fail(p.offset, "esi:"+name+" stands outside of esi:"+parentName, "move it into an esi:"+parentName)
		return dst
	}
	mustBeEmpty := name == "include" || name == "comment"
	if mustBeEmpty != empty {
		if mustBeEmpty {
			p.fail(p.offset, "esi:"+name+" is not closed", "end it with />")
		} else {
			p.fail(p.offset, "esi:"+name+" is empty", "add its content and </esi:"+name+">")
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
			p.fail(p.offset, fmt.Sprintf("onerror is %.20q", e), `the only allowed value is "continue"`)
		}
		if p.held += len(node.Src) + len(node.Alt); len(p.stack) > 0 && p.held > p.limits.BufferedBytes {
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
			p.fail(p.offset, fmt.Sprintf("fetchable is %.20q", f), `use "yes" or "no"`)
		}
		return dst
	}
	if len(p.stack) >= p.limits.Depth {
		p.fail(p.offset, fmt.Sprintf("elements are nested deeper than %d", p.limits.Depth), "flatten the page, or raise the limit, (nesting n) in (pages ...)")
		return dst
	}
	f := frame{name: name, node: node}
	if parentName := requiredParent[name]; parentName != "" {
		parent := &p.stack[len(p.stack)-1]
		switch {
		case name == "when" && parent.seenParts != "":
			p.fail(p.offset, "esi:when after esi:otherwise", "move it before the esi:otherwise")
		case name == "otherwise" && parent.seenParts != "", name != "when" && name != "otherwise" && strings.Contains(parent.seenParts, name):
			p.fail(p.offset, "a second esi:"+name, "only one is allowed")
		case name == "except" && parent.seenParts == "":
			p.fail(p.offset, "esi:except before esi:attempt", "move it after the esi:attempt")
		}
		if name != "when" {
			parent.seenParts += name
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

// closeElement processes an end tag.
func (p *Parser) closeElement(dst []Node, name string) []Node {
	n := len(p.stack)
	if n == 0 || p.stack[n-1].name != name {
		what, remedy := "no element is open", "remove it"
		if n > 0 {
			what, remedy = "esi:"+p.stack[n-1].name+" is the innermost open element", "write </esi:"+p.stack[n-1].name+"> first"
		}
		p.fail(p.offset, fmt.Sprintf("</esi:%.40s>, but %s", name, what), remedy)
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
			p.fail(f.node.Offset, "esi:choose without esi:when", "add an esi:when, or remove the esi:choose")
			return dst
		}
		return p.addNode(dst, f.node)
	case "try":
		f.node.Kind = Try
		if f.seenParts != "attemptexcept" {
			p.fail(f.node.Offset, "esi:try must have an esi:attempt and an esi:except, and at least one is missing", "add the missing element")
			return dst
		}
		return p.addNode(dst, f.node)
	}
	parent := &p.stack[n-2]
	parent.node.Branches = append(parent.node.Branches, Branch{f.test, f.body})
	return dst
}

// parseAttributes parses the name="value" pairs in s and returns the values by name. The attributes
// that s may have are listed in allowed, in the format of the values of elementAttributes. The
// second result says what is wrong with s, and is empty if nothing is.
func parseAttributes(s, allowed string) (map[string]string, string) {
	attributes := map[string]string{}
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		name, rest, ok := strings.Cut(s, "=")
		name, rest = strings.TrimSpace(name), strings.TrimSpace(rest)
		if !ok || rest == "" || rest[0] != '"' && rest[0] != '\'' {
			return nil, fmt.Sprintf("%.40q is not an attribute of the form name=\"value\"", s)
		}
		end := strings.IndexByte(rest[1:], rest[0])
		if end < 0 {
			return nil, fmt.Sprintf("the value of %.20q is not closed", name)
		}
		if !strings.Contains(" "+allowed+" ", " "+name+" ") && !strings.Contains(" "+allowed+" ", " "+name+"! ") {
			return nil, fmt.Sprintf("unknown attribute %.20q", name)
		}
		if _, twice := attributes[name]; twice {
			return nil, fmt.Sprintf("attribute %q is given twice", name)
		}
		value := rest[1 : 1+end]
		if strings.IndexFunc(value, func(r rune) bool { return r < 0x20 && r != '\t' && r != '\n' && r != '\r' }) >= 0 {
			return nil, fmt.Sprintf("the value of %q has a control character", name)
		}
		attributes[name] = characterReferences.Replace(value)
		s = rest[end+2:]
	}
	for want := range strings.FieldsSeq(allowed) {
		if name, must := strings.CutSuffix(want, "!"); must && attributes[name] == "" {
			return nil, fmt.Sprintf("attribute %s is missing or empty", name)
		}
	}
	return attributes, ""
}

// characterReferences decodes the references that XML defines, in the values of attributes.
var characterReferences = strings.NewReplacer("&amp;", "&", "&lt;", "<", "&gt;", ">", "&quot;", `"`, "&apos;", "'", "&#34;", `"`, "&#39;", "'")
