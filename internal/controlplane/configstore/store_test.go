package configstore

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"indigospool/internal/controlplane/configversion"
)

const childEnv = "LASTGOOD_WRITES_TO"

// The test binary is also the writer that is killed.
func TestMain(m *testing.M) {
	path := os.Getenv(childEnv)
	if path == "" {
		os.Exit(m.Run())
	}
	s, err := Open(path)
	if s == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	first := int64(1)
	if v, _, err := s.Last(); err == nil {
		first = v.Number + 1
	}
	for n := first; ; n++ {
		if err := s.Put(version(n), time.Now()); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(n) // it is stored: it must never be lost from here on
	}
}

func version(n int64) configversion.Version {
	return configversion.New(n, []byte(strings.Repeat(fmt.Sprintf("(version %d) ", n), int(20+n%50*20))))
}

func TestPutAndLast(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Last(); !errors.Is(err, ErrNoVersion) {
		t.Fatalf("an empty store: %v", err)
	}
	at := time.Now().Add(-time.Minute)
	for n := int64(1); n <= 20; n++ {
		if err := s.Put(version(n), at); err != nil {
			t.Fatal(err)
		}
	}
	bad := version(21)
	bad.Body = []byte("other")
	if s.Put(bad, at) == nil {
		t.Error("a version that does not match its sum was stored")
	}
	s.Close()
	if s, err = Open(path); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := s.Restored(time.Now())
	if r.Err != nil || r.Version.Number != 20 || r.Age < 59_000 || r.Age > 120_000 {
		t.Errorf("restored %d of age %v, %v", r.Version.Number, r.Age, r.Err)
	}
	if r := s.Restored(at.Add(-time.Hour)); r.Age != 0 {
		t.Errorf("with the clock set back: age %v", r.Age)
	}
}

// Killed at any moment of its writing, the store has every version that it
// said was stored.
func TestKilledWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	rng := rand.New(rand.NewPCG(1, 2))
	var told int64
	for range 15 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childEnv+"="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		sc := bufio.NewScanner(out)
		for lines := rng.IntN(30) + 1; lines > 0 && sc.Scan(); lines-- {
			told, _ = strconv.ParseInt(sc.Text(), 10, 64)
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
		cmd.Process.Kill()
		for sc.Scan() { // written before it was killed
			told, _ = strconv.ParseInt(sc.Text(), 10, 64)
		}
		cmd.Wait()
		s, err := Open(path)
		if err != nil {
			t.Fatalf("after the kill: %v", err)
		}
		v, _, err := s.Last()
		s.Close()
		if err != nil || v.Number < told || string(v.Body) != string(version(v.Number).Body) {
			t.Fatalf("the store has version %d, said to hold %d: %v", v.Number, told, err)
		}
	}
	if told < 15 {
		t.Errorf("only %d versions were written", told)
	}
}

// Cut at any byte, or with any byte changed, a store gives a version that is
// whole or says that it is damaged and is set aside; never something else.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "good.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := int64(1); n <= 6; n++ {
		s.Put(version(n), time.Now())
	}
	s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	aside := 0
	for i := range 150 {
		b := append([]byte(nil), whole...)
		if i%3 == 0 {
			b = b[:rng.IntN(len(b))]
		} else {
			for range 1 + rng.IntN(40) {
				b[rng.IntN(len(b))] ^= byte(1 + rng.IntN(255))
			}
		}
		p := filepath.Join(dir, fmt.Sprintf("d%d.db", i))
		os.WriteFile(p, b, 0o600)
		s, err := Open(p)
		var damaged *DamagedError
		if errors.As(err, &damaged) {
			aside++
			if kept, rerr := os.ReadFile(damaged.Quarantine); rerr != nil || len(kept) != len(b) {
				t.Fatalf("what was set aside is gone: %v", rerr)
			}
			if perr := s.Put(version(9), time.Now()); perr != nil {
				t.Fatalf("the new store does not take a version: %v", perr)
			}
		} else if err != nil {
			t.Fatalf("damage %d: %v", i, err)
		}
		if v, _, err := s.Last(); err == nil && string(v.Body) != string(version(v.Number).Body) {
			t.Fatalf("damage %d: another body for version %d", i, v.Number)
		}
		closeQuietly(s.db)
	}
	if aside < 20 {
		t.Errorf("only %d of 150 damaged stores were set aside", aside)
	}
}

func TestInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("opened twice: %v", err)
	}
	if _, err := Open(filepath.Join(path, "below", "x")); err == nil {
		t.Error("opened below a file")
	}
}

// A store that is lent is another's to open; what is put meanwhile is there once it is
// regained, and nothing can be regained that the other still has.
func TestLend(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	put := func(s *Store, n int64) {
		t.Helper()
		if err := s.Put(configversion.New(n, []byte(fmt.Sprint("version ", n))), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	put(s, 1)
	if err := s.ReleaseLock(); err != nil {
		t.Fatal(err)
	}
	other, err := Open(path)
	if err != nil {
		t.Fatal("the one it was lent to:", err)
	}
	put(s, 3)
	put(other, 2)
	if _, _, err := s.Last(); !errors.Is(err, ErrLockReleased) {
		t.Errorf("reading what is lent: %v", err)
	}
	if err := s.ReacquireLock(); err == nil {
		t.Fatal("it was regained while another has it")
	}
	other.Close()
	if err := s.ReacquireLock(); err != nil {
		t.Fatal(err)
	}
	list, err := s.History(time.Now())
	if err != nil || len(list) != 3 || list[2].Version.Number != 3 {
		t.Errorf("%v %v", list, err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
