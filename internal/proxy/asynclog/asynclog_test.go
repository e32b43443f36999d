package asynclog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stuckWriter does not write before move is closed.
type stuckWriter struct {
	move chan struct{}
	bytes.Buffer
}

func (s *stuckWriter) Write(b []byte) (int, error) {
	<-s.move
	return s.Buffer.Write(b)
}

// TestStuckWriterBlocksNobody: an output that does not move blocks no logger; lines past
// the bound are dropped, and their number is logged once it moves.
func TestStuckWriterBlocksNobody(t *testing.T) {
	output := &stuckWriter{move: make(chan struct{})}
	queue := New(output, 4)
	written := make(chan struct{})
	go func() {
		for range 100 {
			queue.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("a line waits for the writer")
	}
	close(output.move)
	queue.Close()
	got := output.String()
	if n := strings.Count(got, "line\n"); n < 4 || n > 6 || !strings.Contains(got, `"dropped":`) || int(queue.Dropped())+n != 100 {
		t.Errorf("%d lines, %d dropped: %q", n, queue.Dropped(), got)
	}
}
