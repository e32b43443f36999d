package esi

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// show formats nodes. The result does not depend on the chunks in which the text arrived.
func show(nodes []Node) string {
	var b strings.Builder
	last := Kind(0)
	for _, n := range nodes {
		if n.Kind != last && (last == Text || last == Expand) {
			b.WriteString("]")
		}
		switch n.Kind {
		case Text, Expand:
			if n.Kind != last {
				b.WriteString(map[Kind]string{Text: "[", Expand: "$["}[n.Kind])
			}
			b.Write(n.Text)
		case Include:
			fmt.Fprintf(&b, "{%s|%s|%v}", n.Src, n.Alt, n.ContinueOnError)
		case Inline:
			fmt.Fprintf(&b, "{inline %s %v: %s}", n.Src, n.Fetchable, n.Text)
		case Choose, Try:
			b.WriteString(map[Kind]string{Choose: "?(", Try: "try("}[n.Kind])
			for i, branch := range n.Branches {
				if i > 0 {
					b.WriteString(" / ")
				}
				if branch.Test != nil {
					b.WriteString("test: ")
				}
				b.WriteString(show(branch.Body))
			}
			b.WriteString(")")
		}
		last = n.Kind
	}
	if last == Text || last == Expand {
		b.WriteString("]")
	}
	return b.String()
}

// parse parses a page in chunks of the given number of bytes.
func parse(page string, chunk int, l Limits) (string, error) {
	p := NewParser(l)
	var all []Node
	keep := func(list []Node) {
		for _, n := range list {
			n.Text = bytes.Clone(n.Text)
			all = append(all, n)
		}
	}
	buf := make([]byte, chunk) // reused and overwritten, as a socket's buffer is
	for rest := page; rest != ""; {
		n := copy(buf, rest)
		rest = rest[n:]
		list, err := p.Feed(nil, buf[:n])
		keep(list)
		if err != nil {
			return show(all), err
		}
		for i := range buf {
			buf[i] = '!'
		}
	}
	list, err := p.Close(nil)
	keep(list)
	return show(all), err
}

func TestParse(t *testing.T) {
	for _, c := range []struct{ page, want string }{
		{"", ""},
		{"plain <b>text</b> <!-- a note --> a < b", "[plain <b>text</b> <!-- a note --> a < b]"},
		{`a<esi:include src="/x"/>b`, `[a]{/x||false}[b]`},
		{`<esi:include src='/x' alt = "/y" onerror="continue" />`, `{/x|/y|true}`},
		{`<esi:include src="/x?a=1&amp;b=>2"/>`, `{/x?a=1&b=>2||false}`},
		{`a<esi:comment text="not this"/>b`, `[ab]`},
		{`a<esi:remove>not <esi:include src="/x"/> this</esi:remove>b`, `[ab]`},
		{`a<!--esi <p><esi:include src="/x"/></p>-->b`, `[a <p>]{/x||false}[</p>b]`},
		{`a<!--esi x--y-> -->b<!-- -->`, `[a x--y-> b<!-- -->]`},
		{`<esi:vars>$(HTTP_HOST) <b></esi:vars>$(HTTP_HOST)`, `$[$(HTTP_HOST) <b>][$(HTTP_HOST)]`},
		{`<esi:inline name="/frag" fetchable="yes"><b><esi:x></b></esi:inline>`, `{inline /frag true: <b><esi:x></b>}`},
		{`<esi:choose> <esi:when test="$(HTTP_COOKIE{a})=='1'">A<esi:include src="/a"/></esi:when>
			<esi:when test="1==1">B</esi:when><esi:otherwise>C</esi:otherwise></esi:choose>`, `?(test: [A]{/a||false} / test: [B] / [C])`},
		{`<esi:try><esi:attempt>x<esi:include src="/a"/></esi:attempt>
			<esi:except><esi:choose><esi:when test="1">z</esi:when></esi:choose></esi:except></esi:try>`, `try([x]{/a||false} / ?(test: [z]))`},
		{`<esi`, `[<esi]`}, {`<es`, `[<es]`}, {`</esi`, `[</esi]`}, {`<!--es`, `[<!--es]`}, {`<esiinclude>`, `[<esiinclude>]`},
	} {
		for _, chunk := range []int{1, 2, 3, 7, 1000} {
			if got, err := parse(c.page, chunk, Limits{}); err != nil || got != c.want {
				t.Errorf("%q in chunks of %d: %s, %v; want %s", c.page, chunk, got, err, c.want)
			}
		}
	}
}

// TestFaults checks the offset and the text of faults, for chunks of several sizes.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		page string
		at   int64
		what string
	}{
		{`ab<esi:includes src="/x"/>`, 2, "is not an element"},
		{`<esi:include src="/x">`, 0, "not closed"},
		{`<esi:include/>`, 0, "attribute src is missing or empty"},
		{`<esi:include src="/x" max="1"/>`, 0, "unknown attribute"},
		{`<esi:include src="/x" src="/y"/>`, 0, "given twice"},
		{`<esi:include src=/x/>`, 0, "is not an attribute"},
		{`<esi:include src="/x" onerror="stop"/>`, 0, "onerror"},
		{"<esi:include src=\"/x\x00\"/>", 0, "control character"},
		{`ab<esi:remove>`, 14, "the page ends, but esi:remove is not closed"},
		{`ab<esi:vars>cd`, 2, "esi:vars is not closed"},
		{`ab<esi:include src="/x"`, 2, "within a tag"},
		{`ab</esi:vars>`, 2, "no element is open"},
		{`<esi:choose></esi:choose>`, 0, "without esi:when"},
		{`<esi:choose>x</esi:choose>`, 12, "stands directly in esi:choose"},
		{`<esi:choose><esi:include src="/x"/></esi:choose>`, 12, "stands directly in esi:choose"},
		{`<esi:when test="1">x</esi:when>`, 0, "outside of esi:choose"},
		{`<esi:choose><esi:when test="1 = 2">x</esi:when></esi:choose>`, 12, "after the end of the expression"},
		{`<esi:choose><esi:otherwise>x</esi:otherwise><esi:when test="1">x</esi:when></esi:choose>`, 44, "after esi:otherwise"},
		{`<esi:try><esi:attempt>x</esi:attempt></esi:try>`, 0, "must have an esi:attempt and an esi:except, and at least one is missing"},
		{`<esi:try><esi:except>x</esi:except></esi:try>`, 9, "before esi:attempt"},
		{`<esi:try><esi:attempt>x</esi:attempt><esi:attempt>x</esi:attempt></esi:try>`, 37, "a second"},
		{`<esi:vars><esi:try><esi:attempt>x</esi:vars>`, 33, "esi:attempt is the innermost open element"},
		{`<!--esi <!--esi -->`, 8, "within <!--esi"},
		{`<!--esi x`, 9, "not closed"},
		{strings.Repeat("<esi:vars>", 17), 160, "deeper than 16"},
	} {
		for _, chunk := range []int{1, 3, 1000} {
			_, err := parse(c.page, chunk, Limits{})
			var f *Fault
			if !errors.As(err, &f) || f.Offset != c.at || !strings.Contains(f.What, c.what) {
				t.Errorf("%q in chunks of %d: %v; want byte %d, %s", c.page, chunk, err, c.at, c.what)
			}
		}
	}
	for _, page := range []string{
		`<esi:include src="` + strings.Repeat("x", 10000), `<esi:vars>` + strings.Repeat("x", 2<<20),
		strings.Repeat(`<esi:comment text="x"/>`, 10001), `<esi:inline name="/a">` + strings.Repeat("x", 2<<20),
	} {
		if _, err := parse(page, 4096, Limits{}); err == nil || !strings.Contains(err.Error(), "raise the limit") {
			t.Errorf("%.40q: %v; want a fault with \"raise the limit\"", page, err)
		}
	}
}

var testVars = &Vars{Host: "branch-7.example", Cookie: `a=1; name="O'Hara"; evil=x<y&z; long=` + strings.Repeat("x", 5000),
	AcceptLanguage: "da, en-gb;q=0.8, fr;q=0", UserAgent: "Mozilla/5.0 (X11; Linux x86_64)", Query: "first=Robin&last=Roberts&n=10"}

func TestExpr(t *testing.T) {
	for text, want := range map[string]bool{
		`$(HTTP_COOKIE{a})=='1'`: true, `$(HTTP_COOKIE{a}) == 1.0`: true, `$(HTTP_COOKIE{b})=='1'`: false,
		`$(HTTP_COOKIE{b}|'1')=='1'`: true, `$(HTTP_COOKIE{b}|x)!='1'`: true, `$(HTTP_COOKIE{b})!='1'`: false,
		`!($(HTTP_COOKIE{b})=='1')`: true, `!$(HTTP_COOKIE{b})`: true, `$(HTTP_COOKIE{a})`: true,
		`$(HTTP_ACCEPT_LANGUAGE{en-gb})`: true, `$(HTTP_ACCEPT_LANGUAGE{fr})`: false, `$(HTTP_ACCEPT_LANGUAGE{sv})`: false,
		`$(HTTP_USER_AGENT{browser})=='MOZILLA' & $(HTTP_USER_AGENT{os})=='UNIX'`: true,
		`$(HTTP_USER_AGENT{version})>=5`:                                          true,
		`$(QUERY_STRING{n})>9`:                                                    true, `'10'>'9'`: true, `'x10'>'x9'`: false, `1==1 | 1==2 & 1==3`: true, `(1==1|1==2)&1==3`: false,
		`!1==2 & !1==3`: true, `''`: false, `!!'x'`: true, `2 <= 2`: true, `2<1`: false, `-1 < 0`: true, `'a'<'b'`: true,
		`$(HTTP_COOKIE{long})`: false,
	} {
		e, err := ParseExpr(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
		} else if got := e.Holds(testVars); got != want {
			t.Errorf("%s holds: %v, want %v", text, got, want)
		}
	}
	for _, text := range []string{``, `(`, `(1`, `1 ==`, `== 1`, `1 == 2 == 3`, `a`, `'a`, `$(HOME)`, `$(HTTP_HOST{x})`, `1 &`, `(1==1)==1`, `1.2.3`,
		strings.Repeat("(", 100) + "1" + strings.Repeat(")", 100), strings.Repeat("!", 100) + "1"} {
		if _, err := ParseExpr(text); err == nil || !strings.Contains(err.Error(), "byte ") {
			t.Errorf("%.40q: error %v, want one that states the byte", text, err)
		}
	}
}

// TestExpand checks that values from the client are escaped in pages and in URLs.
func TestExpand(t *testing.T) {
	for _, c := range []struct {
		text string
		e    Escape
		want string
	}{
		{`<b>$(HTTP_HOST)</b>`, HTML, `<b>branch-7.example</b>`},
		{`$(HTTP_COOKIE{name}) $(HTTP_COOKIE{evil})`, HTML, `O&#39;Hara x&lt;y&amp;z`},
		{`/x?u=$(HTTP_COOKIE{evil})&n=$(QUERY_STRING{n})`, URL, `/x?u=x%3Cy%26z&n=10`},
		{`$(HTTP_COOKIE{none}|'a b')$(HTTP_COOKIE{none})`, HTML, `a b`},
		{`$(HOME) $ $( $(HTTP_HOST`, HTML, `$(HOME) $ $( $(HTTP_HOST`},
		{`$(HTTP_COOKIE{long})`, HTML, ``},
	} {
		if got := string(testVars.Expand(nil, c.text, c.e)); got != c.want {
			t.Errorf("%s: %s, want %s", c.text, got, c.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		v := &Vars{Cookie: "a=" + rapid.String().Draw(t, "cookie"), Query: rapid.String().Draw(t, "query")}
		text := "/$(HTTP_COOKIE{a})/$(QUERY_STRING)"
		if got := string(v.Expand(nil, text, URL)); strings.ContainsAny(got, "\r\n\x00 <>\"'&?#;") || strings.Count(got, "/") != 2 {
			t.Fatalf("in a URL: %q has an unescaped character or not two slashes", got)
		}
		if got := string(v.Expand(nil, text, HTML)); strings.ContainsAny(got, "\r\n\x00<>\"'") {
			t.Fatalf("in a page: %q has an unescaped character", got)
		}
	})
}

// FuzzParse checks that nodes and faults do not depend on the size of the chunks, and that the parser
// buffers no more than its limits allow.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"a<esi:include src='/x'/>b", "<!--esi <esi:vars>$(HTTP_HOST)</esi:vars> -->", "<esi:try><esi:attempt>a</esi:attempt><esi:except>b</esi:except></esi:try>",
		"<esi:choose><esi:when test=\"$(QUERY_STRING{a})=='1'\">x</esi:when></esi:choose>", "<esi:remove>x</esi:remove><esi:inline name='a'>y</esi:inline>", "<esi:", "-->"} {
		f.Add([]byte(s), uint8(3))
	}
	f.Fuzz(func(t *testing.T, page []byte, chunk uint8) {
		l := Limits{Depth: 4, Tag: 200, BufferedBytes: 300, Elements: 20}
		whole, err := parse(string(page), max(len(page), 1), l)
		cut, err2 := parse(string(page), int(chunk)+1, l)
		if (err == nil) != (err2 == nil) || err != nil && err.Error() != err2.Error() {
			t.Fatalf("%v in one, %v in chunks of %d", err, err2, chunk+1)
		}
		if err == nil && whole != cut {
			t.Fatalf("%s in one, %s in chunks of %d", whole, cut, chunk+1)
		}
		p := NewParser(l)
		for len(page) > 0 {
			n := min(len(page), int(chunk)+1)
			if _, err := p.Feed(nil, page[:n]); err != nil {
				return
			}
			page = page[n:]
			if len(p.unread) > l.Tag+int(chunk)+1 || len(p.inline.Text) > l.BufferedBytes || len(p.stack) > l.Depth {
				t.Fatalf("%d bytes unread, %d of an inline, %d open elements; want at most %d, %d, %d", len(p.unread), len(p.inline.Text), len(p.stack), l.Tag+int(chunk)+1, l.BufferedBytes, l.Depth)
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	page := strings.Repeat(strings.Repeat("<p>some text of a page, with marks</p>\n", 50)+`<esi:include src="/s/1/x"/>`, 20)
	b.Run("parser", func(b *testing.B) {
		b.SetBytes(int64(len(page)))
		b.ReportAllocs()
		data := []byte(page)
		var nodes []Node
		for b.Loop() {
			p := NewParser(Limits{})
			nodes, _ = p.Feed(nodes[:0], data)
			nodes, _ = p.Close(nodes)
		}
	})
	b.Run("scan", func(b *testing.B) { // only searches for "<", as the lower bound
		b.SetBytes(int64(len(page)))
		data := []byte(page)
		n := 0
		for b.Loop() {
			for rest := data; ; {
				i := bytes.IndexByte(rest, '<')
				if i < 0 {
					break
				}
				rest = rest[i+1:]
				n++
			}
		}
	})
}
