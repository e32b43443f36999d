package asynclog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(b)
}

// TestBlockedOutput guards against a logger that is blocked by its output: while the output
// blocks, Write returns, and lines beyond the bound of the queue are dropped. Once the output
// continues, their number is logged.
func TestBlockedOutput(t *testing.T) {
	output := &blockedWriter{unblock: make(chan struct{})}
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
		t.Fatal("Write is blocked by the output")
	}
	close(output.unblock)
	queue.Close()
	got := output.String()
	if n := strings.Count(got, "line\n"); n < 4 || n > 6 || !strings.Contains(got, `"dropped":`) || int(queue.Dropped())+n != 100 {
		t.Errorf("%d lines, %d dropped: %q", n, queue.Dropped(), got)
	}
}
