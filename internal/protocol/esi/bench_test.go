package esi

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkPage assembles pages of n fragments of 1 KB each, without network or router.
func BenchmarkPage(b *testing.B) {
	for _, n := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var t strings.Builder
			for i := range n {
				fmt.Fprintf(&t, `<p><esi:include src="/s/%d/1"/></p>`, i)
			}
			template, fragment, out := []byte(t.String()), bytes.Repeat([]byte("x"), 1024), make([]byte, 0, 300<<10)
			vars := &Vars{Host: "h"}
			b.ReportAllocs()
			b.SetBytes(int64(len(template) + n*len(fragment)))
			for b.Loop() {
				p, err := NewPage(Options{}, vars, "/p/0/1", 0, 1000)
				if err != nil {
					b.Fatal(err)
				}
				p.TemplateHead(Meta{ESI: true})
				p.Template(template, 1)
				p.TemplateEnd(1)
				out = out[:0]
				for !p.Done() {
					actions, _ := p.Actions(2)
					for _, a := range actions {
						p.CountAttempt()
						p.FragmentHead(a.ID, Meta{}, 2)
						p.FragmentBody(a.ID, fragment, 2)
						p.FragmentEnd(a.ID, 2)
					}
					out = p.Take(out, 64<<10, 2)
				}
				if len(out) != n*(1024+7) {
					b.Fatal(len(out))
				}
			}
		})
	}
}
