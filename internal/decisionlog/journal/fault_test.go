package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	spool "indigospool"
)

// faultyFileSystem is a file system of which one operation fails while errno is set.
type faultyFileSystem struct {
	osFileSystem
	operation string
	mu        sync.Mutex
	errno     error
}

func (f *faultyFileSystem) setError(errno error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errno = errno
}

func (f *faultyFileSystem) errorOf(operation string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if operation != f.operation {
		return nil
	}
	return f.errno
}

func (f *faultyFileSystem) Create(path string) (File, error) {
	if err := f.errorOf("create"); err != nil {
		return nil, err
	}
	file, err := f.osFileSystem.Create(path)
	return &faultyFile{file, f}, err
}

func (f *faultyFileSystem) Remove(path string) error {
	if err := f.errorOf("write and remove"); err != nil {
		return err
	}
	return f.osFileSystem.Remove(path)
}

type faultyFile struct {
	File
	fileSystem *faultyFileSystem
}

// Write writes half of its input if it fails, or nothing if only writes of records fail.
func (f *faultyFile) Write(b []byte) (int, error) {
	err := errors.Join(f.fileSystem.errorOf("write"), f.fileSystem.errorOf("write and remove"))
	if failed := f.fileSystem.errorOf("write records"); failed != nil && !bytes.HasPrefix(b, []byte(magic)) {
		return 0, failed
	}
	if err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.fileSystem.errorOf("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestTransientDiskFault checks that a fault of the disk costs only the records of its
// duration, that these are counted, and that the records before and after it can be read.
func TestTransientDiskFault(t *testing.T) {
	for _, operation := range []string{"create", "write", "write records", "write and remove", "sync"} {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
			t.Run(fmt.Sprintf("%s/%v", operation, errno), func(t *testing.T) {
				t.Parallel()
				files, dir := &faultyFileSystem{operation: operation}, t.TempDir()
				w, err := Open(dir, Options{SegmentBytes: 4096, Files: files})
				if err != nil {
					t.Fatal(err)
				}
				handled := 0
				handle := func(n int) {
					for range n {
						w.Handled(float64(handled), spool.Request{ID: fmt.Sprint("request-of-some-length-", handled)}, nil)
						handled++
					}
				}
				handle(20)
				time.Sleep(3 * flushInterval)
				files.setError(errno)
				for end := time.Now().Add(10 * time.Second); w.Lost() == 0 && time.Now().Before(end); {
					handle(20)
					time.Sleep(flushInterval)
				}
				time.Sleep(600 * time.Millisecond) // the writer retries meanwhile
				handle(20)
				time.Sleep(3 * flushInterval)
				files.setError(nil)
				for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(flushInterval) {
					lost := w.Lost()
					handle(1)
					time.Sleep(3 * flushInterval)
					if w.Lost() == lost {
						break
					}
				}
				handle(5)
				if err := w.Close(); err != nil {
					t.Error(err)
				}
				got, _ := readEntries(t, dir)
				seen, gaps := map[float64]bool{}, uint64(0)
				for _, e := range got {
					if e.Kind == KindHandled {
						seen[e.T] = true
					} else if e.Kind == KindGap {
						gaps += e.Lost
					}
				}
				for i := range handled {
					if (i < 20 || i >= handled-5) && !seen[float64(i)] {
						t.Errorf("record %d of %d is missing", i, handled)
					}
				}
				if w.Lost() == 0 || gaps != w.Lost() || uint64(len(seen))+w.Lost() < uint64(handled) {
					t.Errorf("%d records were handled, %d were read, %d are counted as lost, gaps report %d", handled, len(seen), w.Lost(), gaps)
				}
			})
		}
	}
}

// TestTruncatedSegment checks that a segment which a killed writer left incomplete is
// read as far as possible, and that the next writer continues after it.
func TestTruncatedSegment(t *testing.T) {
	for _, left := range []int{0, 3, 9, 30} {
		dir := t.TempDir()
		w, err := Open(dir, Options{})
		if err != nil {
			t.Fatal(err)
		}
		w.Handled(1, spool.Timer{}, nil)
		w.Close()
		list, _ := Segments(dir)
		whole, err := os.ReadFile(list[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, 1)+Extension), whole[:left], 0o644); err != nil {
			t.Fatal(err)
		}
		if w, err = Open(dir, Options{}); err != nil {
			t.Fatal(err)
		}
		w.Handled(2, spool.Timer{}, nil)
		w.Close()
		got, _ := readEntries(t, dir)
		if n := len(got); n < 2 || got[0].T != 1 || got[n-1].T != 2 || got[n-1].Kind != KindHandled {
			var kinds []string
			for _, e := range got {
				kinds = append(kinds, fmt.Sprint(e.Kind, " ", e.Why))
			}
			t.Errorf("segment of %d bytes: %s", left, strings.Join(kinds, "; "))
		}
	}
}

// TestOpenOnFullDisk checks that Open succeeds on a full disk, so that a router starts, and
// that records are written once there is space.
func TestOpenOnFullDisk(t *testing.T) {
	files, dir := &faultyFileSystem{operation: "write", errno: syscall.ENOSPC}, t.TempDir()
	warnings := make(chan string, 10)
	w, err := Open(dir, Options{Files: files, Warn: func(text string) { warnings <- text }})
	if err != nil {
		t.Fatal(err)
	}
	w.Handled(1, spool.Timer{}, nil)
	if text := <-warnings; !strings.Contains(text, "no space left") {
		t.Error(text)
	}
	files.setError(nil)
	time.Sleep(minBackoff + 3*flushInterval)
	w.Handled(2, spool.Timer{}, nil)
	w.Close()
	if got, _ := readEntries(t, dir); len(got) == 0 || got[len(got)-1].T != 2 {
		t.Errorf("%+v", got)
	}
}
