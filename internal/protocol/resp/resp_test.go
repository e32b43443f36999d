package resp

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func drawBytes(t *rapid.T, name string, maxBytes int) []byte {
	return rapid.SliceOfN(rapid.Byte(), 0, maxBytes).Draw(t, name)
}

// TestAnswersSplitAnywhere checks that answers are parsed correctly however the stream is split
// into reads, and that no answer is returned before it is complete.
func TestAnswersSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []byte
		var want []Answer
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			a := Answer{drawBytes(t, "id", 64), drawBytes(t, "word", 16), drawBytes(t, "fields", 200), drawBytes(t, "body", 3000)}
			want = append(want, a)
			all = AppendArray(all, a.ID, a.Word, a.Fields, a.Body)
		}
		var got []Answer
		var buf []byte
		for len(all) > 0 {
			n := rapid.IntRange(1, len(all)).Draw(t, "read")
			buf, all = append(buf, all[:n]...), all[n:]
			for {
				a, size, more, err := ReadAnswer(buf)
				if err != nil {
					t.Fatal(err)
				}
				if size == 0 {
					if more <= len(buf) {
						t.Fatalf("an incomplete answer of %d bytes: want is %d, must be more", len(buf), more)
					}
					break
				}
				got = append(got, Answer{bytes.Clone(a.ID), bytes.Clone(a.Word), bytes.Clone(a.Fields), bytes.Clone(a.Body)})
				buf = buf[size:]
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%d answers were parsed, want %d", len(got), len(want))
		}
		for i := range want {
			if !bytes.Equal(got[i].Body, want[i].Body) || !bytes.Equal(got[i].ID, want[i].ID) ||
				!bytes.Equal(got[i].Fields, want[i].Fields) || !bytes.Equal(got[i].Word, want[i].Word) {
				t.Fatalf("answer %d differs from the one that was sent", i)
			}
		}
	})
}

// FuzzRead checks that any input is parsed or rejected with ErrMalformed, and that never more
// bytes are wanted than the limits allow.
func FuzzRead(f *testing.F) {
	f.Add(AppendArray(nil, []byte("id"), []byte("HIT"), []byte("-"), []byte("x")))
	f.Add([]byte("*4\r\n$16\r\n"))
	f.Add([]byte("*4\r\n$3000000000\r\n"))
	f.Add([]byte("*\r\n$-1\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, size, want, err := ReadAnswer(b)
		switch {
		case err != nil && !errors.Is(err, ErrMalformed):
			t.Fatal(err)
		case err == nil && size == 0 && (want <= len(b) || want > len(b)+MaxBodyBytes+4096+200):
			t.Fatalf("an incomplete answer of %d bytes: want is %d, must be more, but within the limits", len(b), want)
		case size > len(b) || len(a.Body) > MaxBodyBytes:
			t.Fatalf("an answer of %d bytes was parsed from %d bytes", size, len(b))
		}
		EachField(a.Fields, func(name, _ []byte) bool {
			if len(name) == 0 {
				t.Fatal("a field without a name")
			}
			return true
		})
	})
}

func TestMalformed(t *testing.T) {
	for _, b := range []string{"x", "*9\r\n", "*1\r\n", "*4\n", "*4\r\n:1\r\n", "*4\r\n$65\r\n", "*4\r\n$1\r\nxyz", "*1234567890123456",
		"*4\r\n$1\r\nx\r\n$3\r\nHIT\r\n$1\r\n-\r\n$240001\r\n"} {
		if _, _, _, err := ReadAnswer([]byte(b)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v, want ErrMalformed", b, err)
		}
	}
}
