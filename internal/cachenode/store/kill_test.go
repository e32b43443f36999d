package store

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"testing"
	"time"
)

// writeUntilKilled runs in the process that is killed. It stores objects, purges some, and prints
// what the store has acknowledged.
func writeUntilKilled(dir string, seed uint64) {
	store, recovered, err := Open(Dir(dir), Options{MaxBytes: 8 << 20, SegmentBytes: 256 << 10})
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	fmt.Println("open", recovered.Objects, recovered.DiscardReason)
	rng := rand.New(rand.NewPCG(seed, 9))
	version := int64(seed) * 1_000_000
	for {
		version++
		key := fmt.Sprint("/k/", rng.IntN(300))
		if rng.IntN(12) == 0 {
			if _, err := store.Purge(Purge{Scope: ByObject, Text: key, Version: version}); err == nil {
				fmt.Println("purge", key, version)
			}
			continue
		}
		n := 1 + rng.IntN(8000)
		writer, err := store.Begin(Meta{Key: key, Object: key, Version: version, GeneratedAt: version, Rank: 2}, int64(n))
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		data := bodyOf(key, version, n)
		writer.Write(data[:n/2])
		writer.Write(data[n/2:])
		if ok, err := writer.Commit(); ok && err == nil {
			fmt.Println("stored", key, version)
		}
		if rng.IntN(4) == 0 {
			store.Compact(64 << 10)
		}
	}
}

// A process is killed at random times, repeatedly on one folder. The objects that it has
// acknowledged as stored are found with their bodies, unless they were purged or evicted, and those
// that it has acknowledged as purged are never found again.
func TestKilled(t *testing.T) {
	if dir := os.Getenv("STORE_WRITE_ON"); dir != "" {
		var seed uint64
		fmt.Sscan(os.Getenv("STORE_SEED"), &seed)
		writeUntilKilled(dir, seed)
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
			case "stored":
				last[key] = version
			case "purge":
				purged[key] = version
			case "error":
				t.Error(in.Text())
			}
		}
		timer.Stop()
		cmd.Wait()
		store, recovered, err := Open(Dir(dir), Options{MaxBytes: 8 << 20, SegmentBytes: 256 << 10})
		if err != nil || recovered.DiscardReason != "" {
			t.Fatalf("round %d: recovered %+v, error %v; want no DiscardReason", round, recovered, err)
		}
		for key, stored := range last {
			got, ok := lookupChecked(t, store, key)
			switch {
			case ok && got < purged[key]:
				t.Fatalf("round %d: %s is found in version %d, purged before version %d", round, key, got, purged[key])
			case ok && got < stored:
				t.Fatalf("round %d: %s is found in version %d, but version %d was stored", round, key, got, stored)
			case stored >= purged[key]:
				expect++
				if ok {
					found++
				}
			}
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if expect == 0 || float64(found) < 0.95*float64(expect) {
		t.Errorf("%d of %d stored objects are found, want 95 %% or more", found, expect)
	}
	t.Logf("%d kills: %d of %d objects that were stored and not purged are found", rounds, found, expect)
}
