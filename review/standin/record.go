package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Times are in ms since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriterSize(file, 1<<16), start: time.Now()}, nil
}

func (r *record) now() float64 { return float64(time.Since(r.start)) / 1e6 }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ", r.now())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
