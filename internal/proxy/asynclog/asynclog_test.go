package asynclog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

type stuck struct {
	move chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.move
	return s.Buffer.Write(b)
}

// TestStuckWriterBlocksNobody: a writer that does not move holds nobody up; lines past the bound are
// dropped, and their number is told once it moves.
func TestStuckWriterBlocksNobody(t *testing.T) {
	w := &stuck{move: make(chan struct{})}
	q := New(w, 4)
	written := make(chan struct{})
	go func() {
		for range 100 {
			q.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("a line waits for the writer")
	}
	close(w.move)
	q.Close()
	got := w.String()
	if n := strings.Count(got, "line\n"); n < 4 || n > 6 || !strings.Contains(got, `"dropped":`) || int(q.Dropped())+n != 100 {
		t.Errorf("%d lines, %d dropped: %q", n, q.Dropped(), got)
	}
}
