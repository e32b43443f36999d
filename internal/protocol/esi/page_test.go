package esi

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// site is an origin for tests: content by URL. A fetch of a missing URL fails.
type site map[string]string

func isPage(url string) bool { return strings.HasPrefix(url, "/p") }

// assemblePage assembles /page: the template and its fragments arrive in random order and in chunks of
// random size, and the output is taken in chunks of random size. It returns the output, the page and
// the number of fetches per URL.
func assemblePage(t fataler, options Options, pages site, rng *rand.Rand) (string, *Page, map[string]int) {
	return assemblePageWithVars(t, &Vars{Host: "h", Query: "a=1", Cookie: "k=<b>"}, options, pages, rng)
}

type fataler interface{ Fatalf(string, ...any) }

func assemblePageWithVars(t fataler, vars *Vars, options Options, pages site, rng *rand.Rand) (string, *Page, map[string]int) {
	page, err := NewPage(options, vars, "/page", 0, 1000)
	if err != nil {
		t.Fatalf("%v", err)
	}
	type flow struct {
		id    int
		url   string
		rest  string
		begun bool
	}
	page.TemplateHead(Meta{ESI: true})
	flows := []*flow{{id: -1, rest: pages["/page"]}}
	fetched := map[string]int{}
	var out []byte
	now := 0.0
	for step := 0; page.Err() == nil && !page.Done(); step++ {
		if step > 200_000 {
			t.Fatalf("the page does not end: %d fetches in flight, blocked by %v, %d bytes waiting", len(flows), page.blockingFragment(), page.waiting)
		}
		actions, _ := page.Actions(now)
		for _, a := range actions {
			switch a.Kind {
			case Fetch:
				fetched[a.URL]++
				flows = append(flows, &flow{id: a.ID, url: a.URL, rest: pages[a.URL]})
			case Cancel:
				for i, f := range flows {
					if f.id == a.ID {
						flows = append(flows[:i], flows[i+1:]...)
						break
					}
				}
			case Restart:
				flows = append(flows, &flow{id: -1, rest: pages["/page"]})
			}
		}
		if n := len(flows); n > 0 && rng.IntN(3) > 0 {
			i := rng.IntN(n)
			f := flows[i]
			over := false
			switch _, there := pages[f.url]; {
			case f.id >= 0 && !there:
				page.CountAttempt()
				page.FragmentFailed(f.id, "not found", now)
				over = true
			case f.id >= 0 && !f.begun:
				page.CountAttempt()
				f.begun = true
				page.FragmentHead(f.id, Meta{ESI: isPage(f.url), ETag: f.url, Fresh: 100}, now)
			case !page.CanRead(f.id):
			case f.rest == "" && f.id < 0:
				page.TemplateEnd(now)
				over = true
			case f.rest == "":
				page.FragmentEnd(f.id, now)
				over = true
			default:
				k := 1 + rng.IntN(min(len(f.rest), 1+rng.IntN(4000)))
				if f.id < 0 {
					page.Template([]byte(f.rest[:k]), now)
				} else {
					page.FragmentBody(f.id, []byte(f.rest[:k]), now)
				}
				f.rest = f.rest[k:]
			}
			if over {
				for i, g := range flows {
					if g == f {
						flows = append(flows[:i], flows[i+1:]...)
						break
					}
				}
			}
		}
		if rng.IntN(2) == 0 {
			out = page.Take(out, 1+rng.IntN(3000), now)
		}
	}
	return string(out), page, fetched
}

// model is a second implementation of the language: it expands a page recursively, as text.
func (w site) model(url string, chain []string) (string, bool) {
	text, ok := w[url]
	if !ok {
		return "", false
	}
	if url != "/page" && !isPage(url) {
		return text, true
	}
	return w.expand(text, append(chain, url))
}

func (w site) expand(text string, chain []string) (string, bool) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "<esi:")
		out.WriteString(before)
		if !found {
			return out.String(), true
		}
		if strings.HasPrefix(rest, "include") {
			tag, after, _ := strings.Cut(rest, "/>")
			text = after
			attr := func(name string) string {
				_, v, _ := strings.Cut(tag, name+`="`)
				v, _, _ = strings.Cut(v, `"`)
				return v
			}
			got, ok := "", false
			for _, u := range []string{attr("src"), attr("alt")} {
				if u == "" || ok {
					continue
				}
				within := len(chain) > 4
				for _, c := range chain {
					within = within || c == u
				}
				if !within {
					got, ok = w.model(u, chain)
				}
			}
			if !ok && attr("onerror") == "" {
				return "", false
			}
			out.WriteString(got)
			continue
		}
		// a try; the generator does not nest them
		body, after, _ := strings.Cut(rest, "</esi:try>")
		text = after
		_, body, _ = strings.Cut(body, "<esi:attempt>")
		attempt, body, _ := strings.Cut(body, "</esi:attempt>")
		_, body, _ = strings.Cut(body, "<esi:except>")
		except, _, _ := strings.Cut(body, "</esi:except>")
		got, ok := w.expand(attempt, chain)
		if !ok {
			if got, ok = w.expand(except, chain); !ok {
				return "", false
			}
		}
		out.WriteString(got)
	}
}

// TestPageMatchesModel checks that random pages, with inputs in any order and in chunks of any size,
// give the output of the model, that a page fails if the model cannot expand it, and that the number
// of waiting bytes is bounded.
func TestPageMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		pages := site{}
		names := []string{"/p1", "/p2", "/p3", "/f1", "/f2", "/f3", "/f4", "/none"}
		include := func(in string) string {
			src := names[rng.IntN(len(names))]
			if in != "/page" && isPage(src) && (src < in || src == in && rng.IntN(8) > 0) {
				src = "/f1" // in a cycle, the order of the inputs decides which include is left out
			}
			tag := `<esi:include src="` + src + `"`
			if rng.IntN(4) == 0 {
				tag += ` alt="` + names[3+rng.IntN(5)] + `"`
			}
			if rng.IntN(3) > 0 {
				tag += ` onerror="continue"`
			}
			return tag + "/>"
		}
		body := func(in string, n int) string {
			var b strings.Builder
			for i := range n {
				switch rng.IntN(5) {
				case 0, 1:
					b.WriteString(strings.Repeat(fmt.Sprintf("%s.%d ", in, i), rng.IntN(400)))
				case 2, 3:
					b.WriteString(include(in))
				case 4:
					fmt.Fprintf(&b, "<esi:try><esi:attempt>a%d%s</esi:attempt><esi:except>e%s</esi:except></esi:try>", i, include(in), include(in))
				}
			}
			return b.String()
		}
		pages["/page"] = body("/page", 1+rng.IntN(30))
		for _, n := range names[:7] {
			if isPage(n) {
				pages[n] = body(n, rng.IntN(4))
			} else {
				pages[n] = strings.Repeat(n+" ", rng.IntN(3000))
			}
		}
		s := Options{Parallel: 1 + rng.IntN(4), MaxWaiting: 8 << 10, StreamThreshold: 2 << 10, MaxBuffered: 64 << 10}
		got, p, _ := assemblePage(t, s, pages, rng)
		want, ok := pages.model("/page", nil)
		if ok != p.Done() {
			t.Fatalf("the model can expand the page: %v, the page is done: %v, its error: %v\n%s", ok, p.Done(), p.Err(), pages["/page"])
		}
		if ok && got != want {
			t.Fatalf("the page has %d bytes, want %d as in the model\ngot  %.2000q\nwant %.2000q\n%s", len(got), len(want), got, want, pages["/page"])
		}
		if p.Done() && p.waiting != 0 {
			t.Fatalf("%d bytes are waiting at the end, want 0", p.waiting)
		}
		if limit := int64(3*s.MaxWaiting + 8*s.MaxBuffered); p.maxWaiting > limit {
			t.Fatalf("%d bytes were waiting, want at most %d", p.maxWaiting, limit)
		}
	})
}

func TestPageCases(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", 12<<10) // 192 KB
	for _, testCase := range []struct {
		name    string
		options Options
		pages   site
		want    string
		err     error
		fetched map[string]int
	}{
		{name: "included ten times, fetched once", pages: site{"/page": strings.Repeat(`<esi:include src="/f1"/>`, 10), "/f1": "x"}, want: "xxxxxxxxxx", fetched: map[string]int{"/f1": 1}},
		{name: "alt, then left out", pages: site{"/page": `a<esi:include src="/missing" alt="/missing2" onerror="continue"/>b`}, want: "ab", fetched: map[string]int{"/missing": 1, "/missing2": 1}},
		{name: "missing", pages: site{"/page": `<esi:include src="/missing"/>`}, err: ErrFragment},
		{name: "includes itself", pages: site{"/page": `a<esi:include src="/page" onerror="continue"/>`}, want: "a", fetched: map[string]int{"/page": 0}},
		{name: "a cycle of two", pages: site{"/page": `<esi:include src="/p1"/>`, "/p1": `1<esi:include src="/p2"/>`, "/p2": `2<esi:include src="/p1"/>`}, err: ErrFragment},
		{name: "too deep", options: Options{Depth: 2}, pages: site{"/page": `<esi:include src="/p1"/>`, "/p1": `<esi:include src="/p2"/>`, "/p2": `<esi:include src="/f1"/>`, "/f1": "x"}, err: ErrFragment},
		{name: "billion laughs", options: Options{MaxPage: 1 << 20}, pages: site{"/page": strings.Repeat(`<esi:include src="/p1"/>`, 40), "/p1": strings.Repeat(`<esi:include src="/p2"/>`, 40), "/p2": strings.Repeat(`<esi:include src="/f1"/>`, 40), "/f1": strings.Repeat("ha", 500)}, err: ErrLimit},
		{name: "billion laughs, empty", pages: site{"/page": strings.Repeat(`<esi:include src="/p1"/>`, 100), "/p1": strings.Repeat(`<esi:include src="/p2"/>`, 100), "/p2": strings.Repeat(`<esi:include src="/p3"/>`, 100), "/p3": ""}, err: ErrLimit},
		{name: "too many fragments", options: Options{Fragments: 3}, pages: site{"/page": `<esi:include src="/1"/><esi:include src="/2"/><esi:include src="/3"/><esi:include src="/4"/>`, "/1": "", "/2": "", "/3": "", "/4": ""}, err: ErrFragment},
		{name: "too many attempts", options: Options{Attempts: 3, Parallel: 1}, pages: site{"/page": `<esi:include src="/1" onerror="continue"/><esi:include src="/2" onerror="continue"/><esi:include src="/3" onerror="continue"/><esi:include src="/4" onerror="continue"/>`, "/1": "1", "/2": "2", "/3": "3", "/4": "4"}, want: "123", fetched: map[string]int{"/4": 0}},
		{name: "another host", pages: site{"/page": `a<esi:include src="http://evil/f1" onerror="continue"/><esi:include src="//evil/f1" onerror="continue"/><esi:include src="file:///etc/x" onerror="continue"/><esi:include src="http://h/f1"/>`, "/f1": "x"}, want: "ax", fetched: map[string]int{"/f1": 1}},
		{name: "relative", pages: site{"/page": `<esi:include src="f1"/><esi:include src="../../f2"/>`, "/f1": "1", "/f2": "2"}, want: "12"},
		{name: "a variable's value is escaped in a URL", pages: site{"/page": `<esi:include src="/q/$(HTTP_COOKIE{k})"/>`, "/q/%3Cb%3E": "ok"}, want: "ok"},
		{name: "variables and branches", pages: site{"/page": `<esi:vars>$(HTTP_COOKIE{k})</esi:vars><esi:choose><esi:when test="$(QUERY_STRING{a})=='1'">1<esi:include src="/f1"/></esi:when><esi:otherwise><esi:include src="/f2"/></esi:otherwise></esi:choose>`, "/f1": "x"}, want: "&lt;b&gt;1x", fetched: map[string]int{"/f2": 0}},
		{name: "inline", pages: site{"/page": `<esi:inline name="/in">i<esi:include src="/f1"/></esi:inline>a<esi:include src="/in"/><esi:include src="/in"/>`, "/f1": "x"}, want: "aixix", fetched: map[string]int{"/in": 0, "/f1": 1}},
		{name: "inlines too large", pages: site{"/page": `<esi:inline name="/1">` + big + `</esi:inline>` + `<esi:inline name="/2">` + big + `</esi:inline>`}, options: Options{MaxWaiting: 300 << 10}, err: ErrLimit},
		{name: "an inline after its first include", pages: site{"/page": `<esi:include src="/f1"/><esi:inline name="/f1">i</esi:inline><esi:include src="/f1"/>`, "/f1": "x"}, want: "xi"},
		{name: "an inline in a fragment", pages: site{"/page": `<esi:include src="/p1"/><esi:include src="/f1"/>`, "/p1": `<esi:inline name="/f1">i</esi:inline><esi:inline name="/2">2<esi:include src="/f1"/></esi:inline><esi:include src="/2"/>`, "/f1": "x"}, want: "2ix"},
		{name: "an inline that includes itself", pages: site{"/page": `<esi:inline name="/1">a<esi:include src="/1" onerror="continue"/></esi:inline><esi:include src="/1"/>`}, want: "a"},
		{name: "a try in a try", pages: site{"/page": `<esi:try><esi:attempt>1<esi:try><esi:attempt><esi:include src="/missing"/></esi:attempt><esi:except>2<esi:include src="/missing"/></esi:except></esi:try></esi:attempt><esi:except>3</esi:except></esi:try>`}, want: "3"},
		{name: "malformed", pages: site{"/page": `ab<esi:include/>`}, err: ErrMalformed},
		{name: "malformed, passed unmodified", options: Options{PassMalformed: true}, pages: site{"/page": `<esi:include src="/f1"/><esi:bad>`, "/f1": "x"}, want: `<esi:include src="/f1"/><esi:bad>`, fetched: map[string]int{"/f1": 0}},
		{name: "a malformed fragment, passed unmodified", options: Options{PassMalformed: true}, pages: site{"/page": `a<esi:include src="/p1"/>`, "/p1": "<esi:x>"}, want: `a<esi:x>`},
		{name: "a malformed fragment", pages: site{"/page": `a<esi:include src="/p1" alt="/f1"/>`, "/p1": "<esi:x>", "/f1": "y"}, want: `ay`},
		{name: "a large fragment is streamed", options: Options{MaxWaiting: 16 << 10, StreamThreshold: 4 << 10, MaxBuffered: 32 << 10}, pages: site{"/page": `a<esi:include src="/f1"/>b`, "/f1": big}, want: "a" + big + "b"},
		{name: "a large fragment that must be buffered", options: Options{MaxWaiting: 16 << 10, StreamThreshold: 4 << 10, MaxBuffered: 32 << 10}, pages: site{"/page": `a<esi:try><esi:attempt><esi:include src="/f1"/></esi:attempt><esi:except>no</esi:except></esi:try>`, "/f1": big}, want: "ano"},
	} {
		for seed := range uint64(20) {
			got, p, fetched := assemblePage(t, testCase.options, testCase.pages, rand.New(rand.NewPCG(seed, 7)))
			if !errors.Is(p.Err(), testCase.err) || testCase.err == nil && got != testCase.want {
				t.Fatalf("%s, seed %d: got %.200q, error %v; want %.200q, error %v", testCase.name, seed, got, p.Err(), testCase.want, testCase.err)
			}
			for url, n := range testCase.fetched {
				if fetched[url] != n {
					t.Fatalf("%s, seed %d: %s was fetched %d times, want %d", testCase.name, seed, url, fetched[url], n)
				}
			}
		}
	}
}

// TestPagePurge purges fragments and templates. A buffered fragment is fetched again, and its old
// copy is not sent. If part of a fragment or template has been sent, the page fails unless it is
// complete by the time at which the purged copies become stale. A template of which nothing has been
// sent is fetched again.
func TestPagePurge(t *testing.T) {
	w := site{"/page": `<esi:include src="/slow"/><esi:include src="/f1"/>`, "/slow": "s", "/f1": "new"}
	p, _ := NewPage(Options{}, &Vars{}, "/page", 0, 1000)
	p.TemplateHead(Meta{ESI: true})
	do := func(want string) {
		t.Helper()
		actions, _ := p.Actions(1)
		if got := fmt.Sprint(actions); got != want {
			t.Fatalf("actions %s, want %s", got, want)
		}
	}
	p.Template([]byte(w["/page"]), 0)
	p.TemplateEnd(0)
	do("[{1 0 /slow 900} {1 1 /f1 900}]")
	p.FragmentHead(1, Meta{}, 1)
	p.FragmentBody(1, []byte("old"), 1)
	p.FragmentEnd(1, 1)
	p.Purged(false, func(u string) bool { return u == "/f1" }, 300, 2)
	do("[{1 1 /f1 900}]")
	p.FragmentHead(0, Meta{}, 3)
	p.FragmentBody(0, []byte("s"), 3)
	p.FragmentEnd(0, 3)
	if got := p.Take(nil, 100, 4); string(got) != "s" {
		t.Fatalf("%q was sent, want \"s\"", got)
	}
	p.FragmentHead(1, Meta{}, 5)
	p.FragmentBody(1, []byte("new"), 5)
	p.FragmentEnd(1, 5)
	if got := p.Take(nil, 100, 6); string(got) != "new" || !p.Done() {
		t.Fatalf("%q was sent, done %v; want \"new\", done", got, p.Done())
	}

	for _, late := range []bool{false, true} {
		p, _ = NewPage(Options{StreamThreshold: 2}, &Vars{}, "/page", 0, 1000)
		p.TemplateHead(Meta{ESI: true})
		p.Template([]byte(`<esi:include src="/f1"/>`), 0)
		p.TemplateEnd(0)
		p.Actions(0)
		p.FragmentHead(0, Meta{}, 1)
		p.FragmentBody(0, []byte("abcdef"), 1)
		if got := p.Take(nil, 100, 1); string(got) != "abcdef" {
			t.Fatalf("got %q, want abcdef", got)
		}
		p.Purged(false, func(string) bool { return true }, 300, 2)
		if _, tick := p.Actions(2); tick != 300 {
			t.Fatalf("Actions: next tick at %v, want 300", tick)
		}
		if late {
			p.Tick(300)
			if !errors.Is(p.Err(), ErrPurged) {
				t.Errorf("error %v, want ErrPurged", p.Err())
			}
			continue
		}
		p.FragmentEnd(0, 200)
		if p.Take(nil, 100, 200); !p.Done() {
			t.Error("the page is complete in time, but Done is false")
		}
	}

	// a template that is purged while it is sent ends in time, without its optional fragments
	p, _ = NewPage(Options{}, &Vars{}, "/page", 0, 3000)
	p.TemplateHead(Meta{ESI: true})
	p.Template([]byte(`a<esi:include src="/f1" onerror="continue"/>b<esi:include src="/f2" alt="/f3" onerror="continue"/>`), 0)
	p.TemplateEnd(0)
	out := p.Take(nil, 100, 0)
	p.Actions(0)
	p.Purged(true, func(string) bool { return false }, 300, 5)
	if _, tick := p.Actions(5); tick != 270 {
		t.Errorf("Actions: next tick at %v, want 270", tick)
	}
	p.Tick(270)
	p.Actions(270)
	if out = p.Take(out, 100, 271); string(out) != "ab" || p.Done() {
		t.Errorf("got %q, done %v; want \"ab\", not done", out, p.Done())
	}
	if _, tick := p.Actions(271); tick > 300 {
		t.Errorf("Actions: next tick at %v, want at most 300", tick)
	}
	p.Tick(300)
	if p.Take(nil, 100, 300); !errors.Is(p.Err(), ErrPurged) && !p.Done() {
		t.Errorf("error %v and not done; want ErrPurged, or done", p.Err())
	}

	p, _ = NewPage(Options{}, &Vars{}, "/page", 0, 1000)
	p.TemplateHead(Meta{ESI: true})
	p.Template([]byte(`<esi:include src="/f1"/>old`), 0)
	do("[{1 0 /f1 900}]")
	p.Purged(true, func(string) bool { return false }, 300, 5)
	do("[{2 0  0} {3 0  0}]")
	p.Template([]byte(`new`), 6)
	p.TemplateEnd(6)
	if got := p.Take(nil, 100, 7); string(got) != "new" || !p.Done() {
		t.Errorf("got %q, done %v; want \"new\", done", got, p.Done())
	}
}

// TestPageDeadlines checks when fetches time out: the fetch of an optional fragment leaves time for
// the rest of the page, the fetch of a fragment with an alternative leaves time for the alternative,
// and the fetch of a required fragment times out Reserve before the page's deadline.
func TestPageDeadlines(t *testing.T) {
	p, _ := NewPage(Options{}, &Vars{}, "/page", 0, 1000)
	p.TemplateHead(Meta{ESI: true})
	p.Template([]byte(`a<esi:include src="/1" alt="/2" onerror="continue"/>b<esi:include src="/3" onerror="continue"/>c<esi:include src="/4"/>`), 0)
	p.TemplateEnd(0)
	out := p.Take(nil, 100, 0)
	actions, tick := p.Actions(0)
	if got := fmt.Sprint(actions); got != "[{1 0 /1 450} {1 1 /3 900} {1 2 /4 900}]" || tick != 450 {
		t.Fatalf("actions %s, next tick at %v; want fetches that time out at 450, 900 and 900, tick at 450", got, tick)
	}
	p.Tick(450)
	if actions, tick = p.Actions(450); fmt.Sprint(actions) != "[{2 0  0} {1 3 /2 900}]" {
		t.Fatalf("actions %v, next tick at %v; want a cancel of fragment 0 and a fetch of /2", actions, tick)
	}
	p.FragmentHead(2, Meta{}, 800)
	p.FragmentBody(2, []byte("d"), 800)
	p.FragmentEnd(2, 800)
	p.Tick(900)
	if got := p.Take(out, 100, 901); string(got) != "abcd" || !p.Done() {
		t.Errorf("got %q, done %v, error %v; want \"abcd\", done", got, p.Done(), p.Err())
	}
	p, _ = NewPage(Options{}, &Vars{}, "/page", 0, 1000)
	p.TemplateHead(Meta{ESI: true})
	p.Template([]byte(`a<esi:include src="/1"/>`), 0)
	p.Actions(0)
	if p.Tick(900); p.Err() != nil { // "a" is ready and the client has not taken it
		t.Errorf("error %v while bytes are ready, want none", p.Err())
	}
	p, _ = NewPage(Options{}, &Vars{}, "/page", 0, 1000)
	p.TemplateHead(Meta{ESI: true})
	p.Template([]byte(`a<esi:include src="/1"/>`), 0)
	p.Take(nil, 100, 0)
	p.Actions(0)
	if p.Tick(900); !errors.Is(p.Err(), ErrDeadline) {
		t.Errorf("error %v, want ErrDeadline", p.Err())
	}
}

func TestCombine(t *testing.T) {
	a := Meta{Fresh: 100, ETag: `"a"`, LastModified: 5}
	b := Meta{Fresh: 50, ETag: `"b"`, LastModified: 7, Private: true}
	ab, ba := Combine([]Meta{a, b}), Combine([]Meta{b, a})
	if ab.Fresh != 50 || !ab.Private || ab.LastModified != 7 || ab.ETag == "" || ab.ETag == ba.ETag {
		t.Errorf("a and b combine to %+v, b and a to %+v; want fresh 50, private, modified at 7, and two different ETags", ab, ba)
	}
	if m := Combine([]Meta{a, {Fresh: -1}}); m.Fresh != 0 || m.ETag != "" || m.LastModified != 0 {
		t.Errorf("with an item of unknown freshness: %+v; want fresh 0, no ETag, no modification time", m)
	}
}

// FuzzPage assembles arbitrary pages and fragments with inputs in random order. A page always ends
// within its bounds, and its output does not depend on the chunks in which the input arrives.
func FuzzPage(f *testing.F) {
	f.Add(`a<esi:include src="/p1"/><esi:try><esi:attempt><esi:include src="/missing"/></esi:attempt><esi:except>e</esi:except></esi:try>`, `<esi:include src="/f"/>`, uint64(1))
	f.Add(`<esi:inline name="/p1">x</esi:inline><esi:include src="/p1"/><esi:include src="/f" alt="/p1"/>`, `y`, uint64(2))
	f.Fuzz(func(t *testing.T, page, fragment string, seed uint64) {
		if len(page) > 20<<10 || len(fragment) > 20<<10 {
			return
		}
		w := site{"/page": page, "/p1": fragment, "/p2": fragment, "/f": "text", "/": fragment}
		s := Options{MaxWaiting: 4 << 10, StreamThreshold: 1 << 10, MaxBuffered: 16 << 10, MaxPage: 1 << 20, Parallel: 3, Parser: Limits{BufferedBytes: 16 << 10}}
		one, p, _ := assemblePage(t, s, w, rand.New(rand.NewPCG(seed, 1)))
		two, q, _ := assemblePage(t, s, w, rand.New(rand.NewPCG(seed, 2)))
		if p.Done() && q.Done() && one != two {
			t.Fatalf("the output depends on the order or the chunks of the input: %q and %q", one, two)
		}
		if p.maxWaiting > 3*s.MaxWaiting+10*s.MaxBuffered {
			t.Fatalf("%d bytes were waiting, want at most %d", p.maxWaiting, 3*s.MaxWaiting+10*s.MaxBuffered)
		}
	})
}
