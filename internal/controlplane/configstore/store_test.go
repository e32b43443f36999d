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

const writerEnv = "CONFIGSTORE_WRITES_TO"

// The test binary is also the writer process that is killed.
func TestMain(m *testing.M) {
	path := os.Getenv(writerEnv)
	if path == "" {
		os.Exit(m.Run())
	}
	store, err := Open(path)
	if store == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	first := int64(1)
	if v, _, err := store.Last(); err == nil {
		first = v.Number + 1
	}
	for n := first; ; n++ {
		if err := store.Put(version(n), time.Now()); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(n) // stored: must not be lost from here on
	}
}

func version(n int64) configversion.Version {
	return configversion.New(n, []byte(strings.Repeat(fmt.Sprintf("(version %d) ", n), int(20+n%50*20))))
}

func TestPutAndLast(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Last(); !errors.Is(err, ErrNoVersion) {
		t.Fatalf("an empty store: %v", err)
	}
	at := time.Now().Add(-time.Minute)
	for n := int64(1); n <= 20; n++ {
		if err := store.Put(version(n), at); err != nil {
			t.Fatal(err)
		}
	}
	bad := version(21)
	bad.Body = []byte("other")
	if store.Put(bad, at) == nil {
		t.Error("a version that does not match its checksum was stored")
	}
	store.Close()
	if store, err = Open(path); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	r := store.Restored(time.Now())
	if r.Err != nil || r.Version.Number != 20 || r.Age < 59_000 || r.Age > 120_000 {
		t.Errorf("restored %d of age %v, %v", r.Version.Number, r.Age, r.Err)
	}
	if r := store.Restored(at.Add(-time.Hour)); r.Age != 0 {
		t.Errorf("clock set back: age %v", r.Age)
	}
}

// A process killed at any moment while it writes leaves a store with every version that
// it reported as stored.
func TestKilledWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	rng := rand.New(rand.NewPCG(1, 2))
	var acknowledged int64
	for range 15 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), writerEnv+"="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for count := rng.IntN(30) + 1; count > 0 && lines.Scan(); count-- {
			acknowledged, _ = strconv.ParseInt(lines.Text(), 10, 64)
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Microsecond)
		cmd.Process.Kill()
		for lines.Scan() { // printed before it was killed
			acknowledged, _ = strconv.ParseInt(lines.Text(), 10, 64)
		}
		cmd.Wait()
		store, err := Open(path)
		if err != nil {
			t.Fatalf("after the kill: %v", err)
		}
		v, _, err := store.Last()
		store.Close()
		if err != nil || v.Number < acknowledged || string(v.Body) != string(version(v.Number).Body) {
			t.Fatalf("the store has version %d, but %d was reported as stored: %v", v.Number, acknowledged, err)
		}
	}
	if acknowledged < 15 {
		t.Errorf("only %d versions were written", acknowledged)
	}
}

// A store file that is truncated at any byte, or has any bytes changed, either yields a
// complete version or is reported as damaged and quarantined.
func TestDamagedFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "good.db")
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := int64(1); n <= 6; n++ {
		store.Put(version(n), time.Now())
	}
	store.Close()
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	quarantined := 0
	for i := range 150 {
		content := append([]byte(nil), intact...)
		if i%3 == 0 {
			content = content[:rng.IntN(len(content))]
		} else {
			for range 1 + rng.IntN(40) {
				content[rng.IntN(len(content))] ^= byte(1 + rng.IntN(255))
			}
		}
		damagedPath := filepath.Join(dir, fmt.Sprintf("d%d.db", i))
		os.WriteFile(damagedPath, content, 0o600)
		store, err := Open(damagedPath)
		var damaged *DamagedError
		if errors.As(err, &damaged) {
			quarantined++
			if kept, readErr := os.ReadFile(damaged.Quarantine); readErr != nil || len(kept) != len(content) {
				t.Fatalf("the quarantined file is lost: %v", readErr)
			}
			if putErr := store.Put(version(9), time.Now()); putErr != nil {
				t.Fatalf("the new store does not accept a version: %v", putErr)
			}
		} else if err != nil {
			t.Fatalf("damage %d: %v", i, err)
		}
		if v, _, err := store.Last(); err == nil && string(v.Body) != string(version(v.Number).Body) {
			t.Fatalf("damage %d: wrong body of version %d", i, v.Number)
		}
		closeIgnoringPanic(store.db)
	}
	if quarantined < 20 {
		t.Errorf("only %d of 150 damaged stores were quarantined", quarantined)
	}
}

func TestLockedByAnotherProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("opened twice: %v", err)
	}
	if _, err := Open(filepath.Join(path, "below", "x")); err == nil {
		t.Error("opened below a file")
	}
}

// While the lock is released, another process can open the store. Reacquiring fails
// until the other process has closed the file; then the versions put meanwhile are
// stored.
func TestReleaseLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.db")
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	put := func(store *Store, number int64) {
		t.Helper()
		if err := store.Put(configversion.New(number, []byte(fmt.Sprint("version ", number))), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	put(store, 1)
	if err := store.ReleaseLock(); err != nil {
		t.Fatal(err)
	}
	other, err := Open(path)
	if err != nil {
		t.Fatal("successor:", err)
	}
	put(store, 3)
	put(other, 2)
	if _, _, err := store.Last(); !errors.Is(err, ErrLockReleased) {
		t.Errorf("read without the lock: %v", err)
	}
	if err := store.ReacquireLock(); err == nil {
		t.Fatal("the lock was reacquired while another process holds it")
	}
	other.Close()
	if err := store.ReacquireLock(); err != nil {
		t.Fatal(err)
	}
	list, err := store.History(time.Now())
	if err != nil || len(list) != 3 || list[2].Version.Number != 3 {
		t.Errorf("%v %v", list, err)
	}
	if err := store.Close(); err != nil {
		t.Error(err)
	}
}
