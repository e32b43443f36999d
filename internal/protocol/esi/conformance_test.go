package esi

import (
	"errors"
	"math/rand/v2"
	"os"
	"regexp"
	"testing"
)

// conformance has one case for each statement of the ESI specification in the table of docs/esi.md.
// The name of a case is the name of the statement in that table. A fetch of a path that is not in
// pages, such as /missing, fails.
var conformance = []struct {
	name  string
	pages site // body by path
	want  string
	err   error
}{
	{"include-replaces", site{"/page": `a<esi:include src="/f1"/>b`, "/f1": "x"}, "axb", nil},
	{"include-relative", site{"/page": `<esi:include src="f1"/><esi:include src="./d/../f1"/>`, "/f1": "x"}, "xx", nil},
	{"include-absolute", site{"/page": `<esi:include src="http://h/f1"/>`, "/f1": "x"}, "x", nil},
	{"include-variables", site{"/page": `<esi:include src="/f$(QUERY_STRING{a})"/>`, "/f1": "x"}, "x", nil},
	{"include-alt", site{"/page": `<esi:include src="/missing" alt="/f1"/>`, "/f1": "x"}, "x", nil},
	{"include-alt-unused", site{"/page": `<esi:include src="/f1" alt="/f2"/>`, "/f1": "x", "/f2": "y"}, "x", nil},
	{"include-onerror", site{"/page": `a<esi:include src="/missing" alt="/missing2" onerror="continue"/>b`}, "ab", nil},
	{"include-error", site{"/page": `<esi:include src="/missing" alt="/missing2"/>`}, "", ErrFragment},
	{"include-nested", site{"/page": `<esi:include src="/p1"/>`, "/p1": `1<esi:include src="/f1"/>`, "/f1": "x"}, "1x", nil},
	{"include-needs-src", site{"/page": `<esi:include alt="/f1"/>`, "/f1": "x"}, "", ErrMalformed},
	{"include-references", site{"/page": `<esi:include src="/f1?a=1&amp;b=2"/>`, "/f1?a=1&b=2": "x"}, "x", nil},
	{"inline-kept-apart", site{"/page": `a<esi:inline name="/in" fetchable="yes">text</esi:inline>b`}, "ab", nil},
	{"inline-included", site{"/page": `<esi:inline name="/in" fetchable="no">text</esi:inline><esi:include src="/in"/>`}, "text", nil},
	{"inline-fetchable", site{"/page": `<esi:inline name="/in" fetchable="maybe">t</esi:inline>`}, "", ErrMalformed},
	{"choose-first", site{"/page": `<esi:choose><esi:when test="1==2">a</esi:when><esi:when test="1==1">b</esi:when><esi:when test="1==1">c</esi:when><esi:otherwise>d</esi:otherwise></esi:choose>`}, "b", nil},
	{"choose-otherwise", site{"/page": `<esi:choose><esi:when test="1==2">a</esi:when><esi:otherwise>d</esi:otherwise></esi:choose>`}, "d", nil},
	{"choose-none", site{"/page": `x<esi:choose><esi:when test="1==2">a</esi:when></esi:choose>y`}, "xy", nil},
	{"choose-needs-when", site{"/page": `<esi:choose><esi:otherwise>d</esi:otherwise></esi:choose>`}, "", ErrMalformed},
	{"choose-one-otherwise", site{"/page": `<esi:choose><esi:when test="1==2">a</esi:when><esi:otherwise>d</esi:otherwise><esi:otherwise>e</esi:otherwise></esi:choose>`}, "", ErrMalformed},
	{"choose-children", site{"/page": `<esi:choose><esi:when test="1==1">a</esi:when><p></esi:choose>`}, "", ErrMalformed},
	{"choose-content", site{"/page": `<esi:choose><esi:when test="1==1"><b><esi:include src="/f1"/></b></esi:when></esi:choose>`, "/f1": "x"}, "<b>x</b>", nil},
	{"choose-not-taken", site{"/page": `<esi:choose><esi:when test="1==2"><esi:include src="/missing"/></esi:when><esi:otherwise>ok</esi:otherwise></esi:choose>`}, "ok", nil},
	{"when-outside", site{"/page": `<esi:when test="1==1">a</esi:when>`}, "", ErrMalformed},
	{"try-attempt", site{"/page": `<esi:try><esi:attempt>a<esi:include src="/f1"/></esi:attempt><esi:except>e</esi:except></esi:try>`, "/f1": "x"}, "ax", nil},
	{"try-except", site{"/page": `<esi:try><esi:attempt>a<esi:include src="/missing"/></esi:attempt><esi:except>e<esi:include src="/f1"/></esi:except></esi:try>`, "/f1": "x"}, "ex", nil},
	{"try-only-includes-fail", site{"/page": `<esi:try><esi:attempt><esi:vars>$(HTTP_REFERER)</esi:vars>a</esi:attempt><esi:except>e</esi:except></esi:try>`}, "a", nil},
	{"try-both", site{"/page": `<esi:try><esi:attempt>a</esi:attempt></esi:try>`}, "", ErrMalformed},
	{"try-one-each", site{"/page": `<esi:try><esi:attempt>a</esi:attempt><esi:attempt>a</esi:attempt><esi:except>e</esi:except></esi:try>`}, "", ErrMalformed},
	{"try-handled", site{"/page": `<esi:try><esi:attempt>a<esi:include src="/missing" onerror="continue"/></esi:attempt><esi:except>e</esi:except></esi:try>`}, "a", nil},
	{"comment", site{"/page": `a<esi:comment text="say <b> > nothing"/>b`}, "ab", nil},
	{"remove", site{"/page": `a<esi:remove><a href="x">no ESI</a></esi:remove>b`}, "ab", nil},
	{"remove-not-read", site{"/page": `a<esi:remove><esi:include src="/missing"/></esi:remove>b`}, "ab", nil},
	{"vars", site{"/page": `<esi:vars>h=$(HTTP_HOST)</esi:vars>`}, "h=h", nil},
	{"vars-only-there", site{"/page": `$(HTTP_HOST)`}, "$(HTTP_HOST)", nil},
	{"html-comment", site{"/page": `a<!--esi <p><esi:vars>$(HTTP_HOST)</esi:vars><esi:include src="/f1"/></p>-->b`, "/f1": "x"}, "a <p>hx</p>b", nil},
	{"other-comment", site{"/page": `a<!-- esi <esi:remove>c</esi:remove>-->b`}, "a<!-- esi -->b", nil},
	{"markup-untouched", site{"/page": "<P CLASS='x'>&nbsp;<br>\r\n<esi-x/></P>"}, "<P CLASS='x'>&nbsp;<br>\r\n<esi-x/></P>", nil},
	{"unknown-element", site{"/page": `<esi:assign name="a"/>`}, "", ErrMalformed},
	{"unclosed", site{"/page": `<esi:vars>a`}, "", ErrMalformed},
	{"variable-key", site{"/page": `<esi:vars>$(QUERY_STRING{a})|$(HTTP_COOKIE{k2})</esi:vars>`}, "1|v", nil},
	{"variable-whole", site{"/page": `<esi:vars>$(QUERY_STRING)</esi:vars>`}, "a=1", nil},
	{"variable-empty", site{"/page": `<esi:vars>[$(QUERY_STRING{b})][$(HTTP_REFERER)]</esi:vars>`}, "[][]", nil},
	{"variable-default", site{"/page": `<esi:vars>$(QUERY_STRING{b}|x)$(HTTP_REFERER|'a b')$(QUERY_STRING{a}|y)</esi:vars>`}, "xa b1", nil},
	{"variable-case", site{"/page": `<esi:vars>$(http_host)$(HTTP_HOSTS)</esi:vars>`}, "$(http_host)$(HTTP_HOSTS)", nil},
	{"variable-language", site{"/page": `<esi:vars>$(HTTP_ACCEPT_LANGUAGE{de})$(HTTP_ACCEPT_LANGUAGE{fr})</esi:vars>`}, "truefalse", nil},
	{"variable-agent", site{"/page": `<esi:vars>$(HTTP_USER_AGENT{browser}) $(HTTP_USER_AGENT{version}) $(HTTP_USER_AGENT{os})</esi:vars>`}, "MOZILLA 5.0 UNIX", nil},
	{"variable-escaped", site{"/page": `<esi:vars>$(HTTP_COOKIE{k})</esi:vars>`}, "&lt;b&gt;", nil},
	{"test-numbers", site{"/page": when(`9<10`) + when(`1.0==1`) + when(`10<=9`) + when(`2>=2`) + when(`-1>0`)}, "yynyn", nil},
	{"test-strings", site{"/page": when(`'9'<'a'`) + when(`'b'>'a'`) + when(`'a'!='a'`) + when(`10<'9a'`)}, "yyny", nil},
	{"test-undefined", site{"/page": when(`$(QUERY_STRING{z})==''`) + when(`$(QUERY_STRING{z})!='x'`) + when(`$(QUERY_STRING{z})`) + when(`$(QUERY_STRING{a})`)}, "nnny", nil},
	{"test-logic", site{"/page": when(`1==1 & 1==2`) + when(`1==2 | 1==1`) + when(`!(1==2)`) + when(`!(1==1)`)}, "nyyn", nil},
	{"test-precedence", site{"/page": when(`1==1 | 1==1 & 1==2`) + when(`(1==1 | 1==1) & 1==2`) + when(`!1==2 & 1==1`)}, "yny", nil},
	{"test-malformed", site{"/page": `<esi:choose><esi:when test="(1==1)==(2==2)">a</esi:when></esi:choose>`}, "", ErrMalformed},
}

func when(test string) string {
	return `<esi:choose><esi:when test="` + test + `">y</esi:when><esi:otherwise>n</esi:otherwise></esi:choose>`
}

// TestConformance checks that the table in docs/esi.md and the cases name the same statements, and
// that each case gives the expected result for eight random orders in which the template and the
// fragments arrive, in chunks of random size.
func TestConformance(t *testing.T) {
	doc, err := os.ReadFile("../../../docs/esi.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| [0-9.A]+ \\|.*\\| `([a-z-]+)`").FindAllSubmatch(doc, -1) {
		rows[string(m[1])] = true
	}
	vars := &Vars{Host: "h", Query: "a=1", Cookie: "k=<b>; k2=v", AcceptLanguage: "en, de;q=0.5, fr;q=0", UserAgent: "Mozilla/5.0 (X11; Linux)"}
	for _, testCase := range conformance {
		if !rows[testCase.name] {
			t.Errorf("%s is not in docs/esi.md", testCase.name)
		}
		delete(rows, testCase.name)
		for seed := range uint64(8) {
			// the third result, the number of fetches per URL, is not checked here
			got, page, _ := assemblePageWithVars(t, vars, Options{}, testCase.pages, rand.New(rand.NewPCG(seed, 3)))
			if !errors.Is(page.Err(), testCase.err) || testCase.err == nil && got != testCase.want {
				t.Errorf("%s, seed %d: got %q, error %v; want %q, error %v", testCase.name, seed, got, page.Err(), testCase.want, testCase.err)
				break
			}
		}
	}
	for name := range rows {
		if name != "edge" { // a statement marked edge has no case in this package
			t.Errorf("docs/esi.md names %s, which has no case", name)
		}
	}
}
