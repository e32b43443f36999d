package store

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// bodyOf is the content of a key's version.
func bodyOf(key string, version int64, n int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), uint64(len(key))*31+uint64(key[len(key)-1])))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

func keep(t testing.TB, s *Store, key string, version int64, n int) bool {
	t.Helper()
	w, err := s.Begin(Meta{Key: key, Object: key, Group: int32(n % 3), Version: version, Born: version, Rank: 2}, int64(n))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(bodyOf(key, version, n)); err != nil {
		t.Fatal(err)
	}
	ok, err := w.Commit()
	if err != nil {
		t.Fatal(err)
	}
	return ok
}

// good reports whether a key is found, with the bytes of its version.
func good(t testing.TB, s *Store, key string) (version int64, found bool) {
	t.Helper()
	c := s.Lookup(key)
	if c == nil {
		return 0, false
	}
	defer c.Close()
	b := make([]byte, c.Size)
	if _, err := c.ReadAt(b, 0); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	if !bytes.Equal(b, bodyOf(key, c.Version, len(b))) || c.Key != key {
		t.Fatalf("%s is given out with bytes that it never had", key)
	}
	return c.Version, true
}

// Every single byte of every file flipped, and every file cut at every length: what is
// given out is right, nothing that was purged comes back, and what is not touched is
// there still.
func TestEveryByte(t *testing.T) {
	fs := newCrashFS()
	set := Options{MaxBytes: 1 << 20, SegmentBytes: 8 << 10}
	s, _, err := Open(fs, set)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		keep(t, s, fmt.Sprint("/k/", i), 1, 40+i*7)
	}
	for i := range 4 {
		if _, err := s.Purge(Purge{Scope: ByObject, Text: fmt.Sprint("/k/", i)}); err != nil {
			t.Fatal(err)
		}
	}
	keep(t, s, "/k/20", 1, 100)
	if _, err := s.Purge(Purge{Scope: ByObject, Text: "/k/4"}); err != nil { // the last thing before the end
		t.Fatal(err)
	}
	names, _ := fs.List()
	found, tries := 0, 0
	try := func(what string, name string, data []byte) {
		tries++
		n := fs.killed()
		n.now[name].data = data
		s, _, err := Open(n, set)
		if errors.Is(err, ErrFormat) {
			return // said, and nothing is given out
		}
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		for i := range 21 {
			if _, is := good(t, s, fmt.Sprint("/k/", i)); is {
				if i < 5 {
					t.Fatalf("%s: /k/%d is back after its purge", what, i)
				}
				found++
			}
		}
	}
	for _, name := range names {
		data := fs.now[name].data
		for i := range data {
			for _, bit := range []byte{1, 0x80} {
				b := append([]byte(nil), data...)
				b[i] ^= bit
				try(fmt.Sprintf("byte %d of %s flipped", i, name), name, b)
			}
			try(fmt.Sprintf("%s cut at %d", name, i), name, append([]byte(nil), data[:i]...))
		}
	}
	if share := float64(found) / float64(8*tries); share < 0.6 {
		t.Errorf("of what was not purged %.2f is found, over %d damages", share, tries)
	} else {
		t.Logf("of what was not purged %.2f is found, over %d damages", share, tries)
	}
}

// A folder serves one process; one of another form is refused, and left as it is.
func TestFolder(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(Dir(dir), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Dir(dir), Options{}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("a second process: %v", err)
	}
	keep(t, s, "/a", 1, 5000)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Begin(Meta{Key: "/b"}, 1); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	s, r, err := Open(Dir(dir), Options{})
	if err != nil || r.Objects != 1 || r.Bytes != 5000 {
		t.Fatal(r, err)
	}
	if _, ok := good(t, s, "/a"); !ok {
		t.Error("it is gone")
	}
	s.Close()
	if err := os.WriteFile(filepath.Join(dir, formatName), []byte("indigospool store 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(dir)
	_, _, err = Open(Dir(dir), Options{})
	if after, _ := os.ReadDir(dir); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "empty the folder") || len(after) != len(before) {
		t.Error(err)
	}
}

// The disk is full in the middle of a fill: nothing half is kept, what was there is
// found, more is refused in words, and purges still hold.
func TestDiskFull(t *testing.T) {
	fs := newCrashFS()
	said := ""
	s, _, err := Open(fs, Options{Warn: func(w string) { said += w }})
	if err != nil {
		t.Fatal(err)
	}
	keep(t, s, "/a", 1, 1000)
	keep(t, s, "/b", 1, 1000)
	w, err := s.Begin(Meta{Key: "/c", Object: "/c"}, 2000)
	if err != nil {
		t.Fatal(err)
	}
	w.Write(bodyOf("/c", 0, 2000)[:1000])
	fs.full = 0
	if _, err := w.Write(bodyOf("/c", 0, 2000)[1000:]); !errors.Is(err, errNoSpace) {
		t.Fatal(err)
	}
	if ok, err := w.Commit(); ok || err == nil {
		t.Fatal(ok, err)
	}
	if _, err := s.Begin(Meta{Key: "/d"}, 10); !errors.Is(err, errNoSpace) || !strings.Contains(said, "nothing more is kept") {
		t.Error(err, said)
	}
	if _, err := s.Purge(Purge{Scope: ByObject, Text: "/b"}); err == nil {
		t.Error("a purge that does not last is acknowledged")
	}
	for key, want := range map[string]bool{"/a": true, "/b": false, "/c": false} {
		if _, ok := good(t, s, key); ok != want {
			t.Errorf("%s: %v", key, ok)
		}
	}
	n := fs.killed()
	if s, _, err = Open(n, Options{}); err != nil {
		t.Fatal(err)
	}
	if _, ok := good(t, s, "/a"); !ok {
		t.Error("/a is gone after the start")
	}
	if _, ok := good(t, s, "/c"); ok {
		t.Error("half a copy is given out")
	}
	keep(t, s, "/d", 1, 10)
}

// A copy that is being read stays readable when its segment is given up, and says that it
// is void once it is.
func TestReadWhileEvicted(t *testing.T) {
	s, _, err := Open(Dir(t.TempDir()), Options{MaxBytes: 64 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	keep(t, s, "/a", 1, 10_000)
	c := s.Lookup("/a")
	for i := range 20 {
		keep(t, s, fmt.Sprint("/x", i), 1, 10_000)
	}
	if _, ok := good(t, s, "/a"); ok {
		t.Error("it was not given up")
	}
	b := make([]byte, 10_000)
	if _, err := c.ReadAt(b, 0); err != nil && err != io.EOF || !bytes.Equal(b, bodyOf("/a", 1, 10_000)) {
		t.Error("its bytes are gone for its reader")
	}
	if c.Purged() {
		t.Error("it is void, and nobody said so")
	}
	s.Purge(Purge{Scope: ByPrefix, Text: "/"})
	if !c.Purged() {
		t.Error("a purge does not void it")
	}
	c.Close()
	if _, err := s.Begin(Meta{Key: "/big"}, 20_000); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}

// Tidying keeps what was found, and what ranks high, over many times the room.
func TestTidyKeepsWhatIsUsed(t *testing.T) {
	s, _, err := Open(Dir(t.TempDir()), Options{MaxBytes: 256 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	keep(t, s, "/hot", 1, 3000)
	for i := range 400 {
		keep(t, s, fmt.Sprint("/x", i), 1, 3000)
		if _, ok := good(t, s, "/hot"); !ok {
			t.Fatalf("it is gone after %d others", i)
		}
		for more := true; more; {
			if _, more, err = s.Compact(8 << 10); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n, used := s.Usage(); n < 50 || used > 256<<10 {
		t.Errorf("%d copies, %d bytes", n, used)
	}
}

// writeOn is what the killed process does: it keeps copies and purges some, and says on
// its output what was acknowledged.
func writeOn(dir string, seed uint64) {
	s, r, err := Open(Dir(dir), Options{MaxBytes: 8 << 20, SegmentBytes: 256 << 10})
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	fmt.Println("open", r.Objects, r.DiscardReason)
	rng := rand.New(rand.NewPCG(seed, 9))
	version := int64(seed) * 1_000_000
	for {
		version++
		key := fmt.Sprint("/k/", rng.IntN(300))
		if rng.IntN(12) == 0 {
			if _, err := s.Purge(Purge{Scope: ByObject, Text: key, Version: version}); err == nil {
				fmt.Println("purge", key, version)
			}
			continue
		}
		n := 1 + rng.IntN(8000)
		w, err := s.Begin(Meta{Key: key, Object: key, Version: version, Born: version, Rank: 2}, int64(n))
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		b := bodyOf(key, version, n)
		w.Write(b[:n/2])
		w.Write(b[n/2:])
		if ok, err := w.Commit(); ok && err == nil {
			fmt.Println("kept", key, version)
		}
		if rng.IntN(4) == 0 {
			s.Compact(64 << 10)
		}
	}
}

// A process that is killed at any time, again and again on one folder: each copy that it
// said was kept is found with its bytes, unless it was purged or given up for room, and
// what it said was purged never comes back.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("STORE_WRITE_ON"); dir != "" {
		var seed uint64
		fmt.Sscan(os.Getenv("STORE_SEED"), &seed)
		writeOn(dir, seed)
	}
	rounds := 25
	fmt.Sscan(os.Getenv("STORE_KILLS"), &rounds)
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(uint64(rounds), 1))
	last, purged := map[string]int64{}, map[string]int64{}
	expect, found := 0, 0
	for round := range rounds {
		cmd := exec.Command(os.Args[0], "-test.run", "^TestKilled$")
		cmd.Env = append(os.Environ(), "STORE_WRITE_ON="+dir, fmt.Sprint("STORE_SEED=", round+1))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		timer := time.AfterFunc(time.Duration(5+rng.IntN(60))*time.Millisecond, func() { cmd.Process.Kill() })
		in := bufio.NewScanner(out)
		for in.Scan() {
			var what, key string
			var version int64
			fmt.Sscan(in.Text(), &what, &key, &version)
			switch what {
			case "kept":
				last[key] = version
			case "purge":
				purged[key] = version
			case "error":
				t.Error(in.Text())
			}
		}
		timer.Stop()
		cmd.Wait()
		s, r, err := Open(Dir(dir), Options{MaxBytes: 8 << 20, SegmentBytes: 256 << 10})
		if err != nil || r.DiscardReason != "" {
			t.Fatalf("round %d: %+v %v", round, r, err)
		}
		for key, v := range last {
			got, ok := good(t, s, key)
			switch {
			case ok && got < purged[key]:
				t.Fatalf("round %d: %s is back in version %d, purged up to %d", round, key, got, purged[key])
			case ok && got < v:
				t.Fatalf("round %d: %s is found in version %d, %d was kept", round, key, got, v)
			case v >= purged[key]:
				expect++
				if ok {
					found++
				}
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if expect == 0 || float64(found) < 0.95*float64(expect) {
		t.Errorf("%d of %d are found", found, expect)
	}
	t.Logf("%d kills: %d of %d that were kept and not purged are found", rounds, found, expect)
}
