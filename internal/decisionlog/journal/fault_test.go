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

// sick is a file system of which one operation fails while it has an errno.
type sick struct {
	disk
	operation string
	mu        sync.Mutex
	errno     error
}

func (s *sick) set(errno error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errno = errno
}

func (s *sick) fails(operation string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if operation != s.operation {
		return nil
	}
	return s.errno
}

func (s *sick) Create(path string) (File, error) {
	if err := s.fails("create"); err != nil {
		return nil, err
	}
	f, err := s.disk.Create(path)
	return &sickFile{f, s}, err
}

func (s *sick) Remove(path string) error {
	if err := s.fails("write and remove"); err != nil {
		return err
	}
	return s.disk.Remove(path)
}

type sickFile struct {
	File
	s *sick
}

// Write writes half of what it is given where it fails.
func (f *sickFile) Write(b []byte) (int, error) {
	err := errors.Join(f.s.fails("write"), f.s.fails("write and remove"))
	if failed := f.s.fails("write records"); failed != nil && !bytes.HasPrefix(b, []byte(magic)) {
		return 0, failed
	}
	if err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *sickFile) Sync() error {
	if err := f.s.fails("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// A disk that fails for a while costs the records of that while, which are counted; the
// writer comes back, and the reader finds all that was written before and after.
func TestFailsForAWhile(t *testing.T) {
	for _, operation := range []string{"create", "write", "write records", "write and remove", "sync"} {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
			t.Run(fmt.Sprintf("%s/%v", operation, errno), func(t *testing.T) {
				t.Parallel()
				files, dir := &sick{operation: operation}, t.TempDir()
				w, err := Open(dir, Options{SegmentBytes: 4096, Files: files})
				if err != nil {
					t.Fatal(err)
				}
				told := 0
				tell := func(n int) {
					for range n {
						w.Handled(float64(told), spool.Request{ID: fmt.Sprint("request-of-some-length-", told)}, nil)
						told++
					}
				}
				tell(20)
				time.Sleep(3 * flushEvery)
				files.set(errno)
				for end := time.Now().Add(10 * time.Second); w.Lost() == 0 && time.Now().Before(end); {
					tell(20)
					time.Sleep(flushEvery)
				}
				time.Sleep(600 * time.Millisecond) // it tries again meanwhile
				tell(20)
				time.Sleep(3 * flushEvery)
				files.set(nil)
				for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(flushEvery) {
					lost := w.Lost()
					tell(1)
					time.Sleep(3 * flushEvery)
					if w.Lost() == lost {
						break
					}
				}
				tell(5)
				if err := w.Close(); err != nil {
					t.Error(err)
				}
				got, _ := read(t, dir)
				seen, gaps := map[float64]bool{}, uint64(0)
				for _, e := range got {
					if e.Kind == KindHandled {
						seen[e.T] = true
					} else if e.Kind == KindGap {
						gaps += e.Lost
					}
				}
				for i := range told {
					if (i < 20 || i >= told-5) && !seen[float64(i)] {
						t.Errorf("record %d of %d is missing", i, told)
					}
				}
				if w.Lost() == 0 || gaps != w.Lost() || uint64(len(seen))+w.Lost() < uint64(told) {
					t.Errorf("%d records were told, %d are there, %d are counted as lost, gaps tell of %d", told, len(seen), w.Lost(), gaps)
				}
			})
		}
	}
}

// A segment that a killed writer left half written is read as far as it goes, and the
// next writer goes on behind it.
func TestHalfWrittenSegment(t *testing.T) {
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
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf(partOfName, 1)+Extension), whole[:left], 0o644); err != nil {
			t.Fatal(err)
		}
		if w, err = Open(dir, Options{}); err != nil {
			t.Fatal(err)
		}
		w.Handled(2, spool.Timer{}, nil)
		w.Close()
		got, _ := read(t, dir)
		if n := len(got); n < 2 || got[0].T != 1 || got[n-1].T != 2 || got[n-1].Kind != KindHandled {
			var kinds []string
			for _, e := range got {
				kinds = append(kinds, fmt.Sprint(e.Kind, " ", e.Why))
			}
			t.Errorf("%d bytes left: %s", left, strings.Join(kinds, "; "))
		}
	}
}

// A router whose journal can't be begun for now starts all the same.
func TestBeginsOnFullDisk(t *testing.T) {
	files, dir := &sick{operation: "write", errno: syscall.ENOSPC}, t.TempDir()
	said := make(chan string, 10)
	w, err := Open(dir, Options{Files: files, Warn: func(text string) { said <- text }})
	if err != nil {
		t.Fatal(err)
	}
	w.Handled(1, spool.Timer{}, nil)
	if text := <-said; !strings.Contains(text, "no space left") {
		t.Error(text)
	}
	files.set(nil)
	time.Sleep(firstRetry + 3*flushEvery)
	w.Handled(2, spool.Timer{}, nil)
	w.Close()
	if got, _ := read(t, dir); len(got) == 0 || got[len(got)-1].T != 2 {
		t.Errorf("%+v", got)
	}
}
