package fetchheader

import (
	"math"
	"testing"

	"github.com/dunglas/httpsfv"
	"pgregory.net/rapid"

	spool "indigospool"
	"indigospool/internal/protocol/http1"
)

// Attempt.Append, which does not use httpsfv, writes values that ParseAttempt decodes by
// httpsfv to the same attempt.
func TestAttemptRoundTrip(t *testing.T) {
	text := rapid.StringMatching(`[ -~]{1,20}`)
	span := rapid.Custom(func(t *rapid.T) float64 {
		return float64(rapid.Int64Range(0, 1e12).Draw(t, "span")) / 1000
	})
	rapid.Check(t, func(t *rapid.T) {
		want := Attempt{ID: text.Draw(t, "id"), Number: rapid.IntRange(0, 9).Draw(t, "n"),
			From: text.Draw(t, "from"), Class: text.Draw(t, "class"), Object: text.Draw(t, "obj"),
			Group: rapid.IntRange(-1, 99).Draw(t, "group"), Keep: rapid.IntRange(0, 3).Draw(t, "keep"),
			Age: span.Draw(t, "age"), TimeLeft: span.Draw(t, "left"), Join: rapid.Bool().Draw(t, "join"),
			Held: rapid.Bool().Draw(t, "held"), Renew: rapid.Bool().Draw(t, "renew")}
		if rapid.Bool().Draw(t, "fill") {
			want.Source, want.SourceAddress = text.Draw(t, "src"), text.Draw(t, "at")
		}
		value := string(want.Append(nil))
		got, err := ParseAttempt([]string{value})
		if err != nil {
			t.Fatalf("%q: %v", value, err)
		}
		if math.Abs(got.Age-want.Age) > 0.001 || math.Abs(got.TimeLeft-want.TimeLeft) > 0.001 {
			t.Fatalf("age %v and time left %v decoded as %v and %v", want.Age, want.TimeLeft, got.Age, got.TimeLeft)
		}
		got.Age, got.TimeLeft = want.Age, want.TimeLeft
		if got != want {
			t.Fatalf("%q:\n got %+v\nwant %+v", value, got, want)
		}
	})
}

func TestParseAttemptErrors(t *testing.T) {
	for _, v := range []string{
		"", "n=1", `id="a", src="p"`, `id="a", keep=4`, `id="a", age=-1.0`, `id=7`, `id="a", n="x"`,
		`id="a", join=1`, `id="a`, `id=("a" "b")`, `id="a", n=99999999999`,
	} {
		if a, err := ParseAttempt([]string{v}); err == nil {
			t.Errorf("%q: no error, decoded as %+v", v, a)
		}
	}
	if _, err := ParseAttempt([]string{`id="a", later="x"`}); err != nil {
		t.Errorf("unknown member: %v", err)
	}
}

func TestClassifyResponse(t *testing.T) {
	for _, c := range []struct {
		status          int
		cs              string
		copyOnly, write bool
		result          spool.Result
		note            spool.Note
	}{
		{200, `"b"; hit`, true, false, spool.OK, spool.NoteHit},
		{200, `"b"; hit; ttl=5`, true, false, spool.OK, spool.NoteHit},
		{200, `"b"; hit; ttl=-3`, true, false, spool.OK, spool.NoteStale},
		{200, `"p"; hit, "b"; fwd=miss; stored`, false, false, spool.OK, spool.NoteFilled},
		{200, `"p"; fwd=miss, "b"; fwd=miss`, false, false, spool.OK, spool.NoteFilledByOrigin},
		{200, `"b"; fwd=miss; collapsed`, false, false, spool.OK, spool.NoteJoined},
		{200, `"a,b;c\"d"; hit`, false, false, spool.OK, spool.NoteHit},
		{504, `"b"; fwd=miss`, true, false, spool.Miss, spool.NoteNone},
		{504, `"b"; fwd=miss`, false, false, spool.Errored, spool.NoteFilled},
		{503, `"b"; fwd=miss; detail=no-place`, false, false, spool.Rejected, spool.NoteNoCapacity},
		{503, `"b"; fwd=miss; detail=source-refused`, false, false, spool.Rejected, spool.NoteSourceRejected},
		{503, ``, false, false, spool.Rejected, spool.NoteNone},
		{500, ``, false, false, spool.Errored, spool.NoteNone},
		{404, ``, false, false, spool.OK, spool.NoteNone},
		{200, `;;;"`, false, false, spool.OK, spool.NoteNone},
	} {
		h := &http1.Head{Status: c.status, Fields: []http1.Field{{Name: []byte("Cache-Status"), Value: []byte(c.cs)}}}
		if r, n := ClassifyResponse(h, c.copyOnly, c.write); r != c.result || n != c.note {
			t.Errorf("%d %s: result %v, note %v, want %v, %v", c.status, c.cs, r, n, c.result, c.note)
		}
	}
}

// parseLastStatus, which does not use httpsfv, reads from a Cache-Status member that
// CacheStatus.String wrote by httpsfv what was written.
func TestCacheStatusRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := CacheStatus{Cache: rapid.StringMatching(`[ -~]{1,12}`).Draw(t, "name"), Hit: rapid.Bool().Draw(t, "hit"),
			HasTTL: true, TTL: float64(rapid.IntRange(-9, 9).Draw(t, "ttl")), Collapsed: rapid.Bool().Draw(t, "joined")}
		if !h.Hit {
			h.Fwd = "miss"
			h.Detail = rapid.SampledFrom([]string{"", SourceRefused, NoPlace}).Draw(t, "detail")
		}
		value := h.String()
		if _, err := httpsfv.UnmarshalList([]string{value}); err != nil {
			t.Fatal(err)
		}
		s, _ := parseLastStatus([]byte(`"p"; fwd=miss, ` + value))
		if s.hit != h.Hit || s.fwd != (h.Fwd != "") || s.collapsed != h.Collapsed || string(s.detail) != h.Detail ||
			h.Hit && s.stale != (h.TTL < 0) {
			t.Fatalf("%s parsed as %+v", value, s)
		}
	})
}

func TestLoad(t *testing.T) {
	got := ParseLoad(nil, []byte(FormatLoad([]float64{3, 0.25, -1.5, 1234.567})))
	for i, want := range []float64{3, 0.25, -1.5, 1234.567} {
		if len(got) != 4 || math.Abs(got[i]-want) > 1e-9 {
			t.Fatalf("got %v", got)
		}
	}
	for _, bad := range []string{"x", "1,,2", "1.", ".5", "1e3", "--1", "1 2"} {
		if got := ParseLoad(nil, []byte(bad)); len(got) > 0 {
			t.Errorf("%q parsed as %v, want none", bad, got)
		}
	}
}

func TestCopyVersionRoundTrip(t *testing.T) {
	v, err := ParseCopyVersion(CopyVersion{Number: 12, Age: 345.5}.String())
	if err != nil || v.Number != 12 || v.Age != 345.5 {
		t.Fatalf("%+v, %v", v, err)
	}
}

func TestNoAllocation(t *testing.T) {
	a := Attempt{ID: "r1-7", From: "r1", Class: "video", Object: "/v/7/a", Group: 7, Keep: 1, Age: 1e9, TimeLeft: 400}
	h := &http1.Head{Status: 200, Fields: []http1.Field{{Name: []byte("Cache-Status"), Value: []byte(`"b"; hit; ttl=4`)}}}
	buf, load := make([]byte, 0, 512), make([]float64, 0, 4)
	if n := testing.AllocsPerRun(100, func() {
		buf = a.Append(buf[:0])
		ClassifyResponse(h, true, false)
		load = ParseLoad(load, []byte("3, 0.5"))
	}); n > 0 {
		t.Errorf("%v allocations per attempt, want 0", n)
	}
}

// FuzzStatus checks that no field value makes the parsers panic.
func FuzzStatus(f *testing.F) {
	f.Add(`"p"; fwd=miss, "b"; hit; ttl=-1; detail="x"`)
	f.Fuzz(func(t *testing.T, v string) {
		h := &http1.Head{Status: 200, Fields: []http1.Field{{Name: []byte("Cache-Status"), Value: []byte(v)}}}
		ClassifyResponse(h, true, false)
		ParseLoad(nil, []byte(v))
		ParseAttempt([]string{v})
	})
}

// BenchmarkAttempt compares the router's encoding of Spool-Fill and decoding of
// Cache-Status with those of httpsfv.
func BenchmarkAttempt(b *testing.B) {
	a := Attempt{ID: "r1-7", From: "r1", Class: "video", Object: "/v/7/a", Group: 7, Keep: 1, Age: 1e9, TimeLeft: 400}
	h := &http1.Head{Status: 200, Fields: []http1.Field{{Name: []byte("Cache-Status"), Value: []byte(`"b"; hit; ttl=4`)}}}
	b.Run("hand", func(b *testing.B) {
		buf := make([]byte, 0, 512)
		b.ReportAllocs()
		for b.Loop() {
			buf = a.Append(buf[:0])
			ClassifyResponse(h, true, false)
		}
	})
	b.Run("httpsfv", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d := httpsfv.NewDictionary()
			d.Add("id", httpsfv.NewItem(a.ID))
			d.Add("n", httpsfv.NewItem(a.Number))
			d.Add("from", httpsfv.NewItem(a.From))
			d.Add("class", httpsfv.NewItem(a.Class))
			d.Add("obj", httpsfv.NewItem(a.Object))
			d.Add("group", httpsfv.NewItem(a.Group))
			d.Add("keep", httpsfv.NewItem(a.Keep))
			d.Add("age", httpsfv.NewItem(a.Age))
			d.Add("left", httpsfv.NewItem(a.TimeLeft))
			if _, err := httpsfv.Marshal(d); err != nil {
				b.Fatal(err)
			}
			if _, err := httpsfv.UnmarshalList([]string{string(h.Fields[0].Value)}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
