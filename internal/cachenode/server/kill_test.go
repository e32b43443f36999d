package server

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"indigospool/internal/cachenode/store"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// The cache process is killed repeatedly under load, with purges while it runs and while it is
// down. Every response is complete and of a single version that no purge before the request
// covers, and the store recovers most objects.
func TestProgramKilled(t *testing.T) { checkProgramKilled(t, false) }

// The same as TestProgramKilled, with a folder that fails every 10 to 60 ms (ENOSPC, EIO).
func TestProgramKilledWithFaults(t *testing.T) { checkProgramKilled(t, true) }

// failIntermittently makes a folder fail half of the time.
func failIntermittently(dir *faultyDir) {
	for {
		for _, errno := range []syscall.Errno{0, syscall.ENOSPC, 0, syscall.EIO} {
			dir.errno.Store(int32(errno))
			time.Sleep(time.Duration(10+rand.IntN(50)) * time.Millisecond)
		}
	}
}

func checkProgramKilled(t *testing.T, faults bool) {
	if dir := os.Getenv("CACHE_SERVE"); dir != "" {
		faulty := &faultyDir{Dir: store.Dir(dir)}
		if faults {
			go failIntermittently(faulty)
		}
		s, err := start(Config{Name: "b1", Listen: "127.0.0.1:0", Folder: dir, CapacityMB: 64, SegmentMB: 1, DiskThreads: 4, DiskQueue: 256, DiskTimeout: 2000, MaxFills: 64,
			FillTimeout: 2000, ConnectTimeout: 500, IdleTimeout: 60000, MaxConns: 1000, MaxBufferedBytes: 1 << 20, MaxBodyBytes: 1 << 20, CompleteAbandonedFills: true}, nil, faulty, time.Now)
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		fmt.Println(s.Addr(), s.Recovered.Objects)
		go func() { // the process ends with the test
			io.Copy(io.Discard, os.Stdin)
			os.Exit(0)
		}()
		s.Run()
		return
	}
	rounds := 12
	fmt.Sscan(os.Getenv("CACHE_KILLS"), &rounds)
	origin, err := testserver.Start(testserver.Config{ID: "o", Role: "origin", Flow: 500, Classes: classes}, trafficlog.NewWriter(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer origin.Kill()
	r := &rig{t: t, origin: origin, client: newClient()}
	dir := filepath.Join(t.TempDir(), "store")
	rng := rand.New(rand.NewPCG(uint64(rounds), 3))
	objectPath := func(i int) string { return fmt.Sprintf("/still/1/o%d", i) }
	version := map[string]int64{}
	var mu sync.Mutex
	minVersion := func(path string) int64 {
		mu.Lock()
		defer mu.Unlock()
		return 1 + version[path]
	}
	maxRecovered, responses := 0, 0
	for round := range rounds {
		if round > 0 { // while it is down
			path := objectPath(rng.IntN(60))
			origin.Purge(path, 0, 0)
			version[path]++
		}
		cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), "CACHE_SERVE="+dir)
		in, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(out).ReadString('\n')
		var addr string
		var copies int
		if n, _ := fmt.Sscan(line, &addr, &copies); err != nil || n != 2 {
			t.Fatalf("round %d: the cache printed %q, want its address and the number of recovered objects; error %v", round, line, err)
		}
		maxRecovered = max(maxRecovered, copies)
		var killed atomic.Bool
		timer := time.AfterFunc(time.Duration(60+rng.IntN(200))*time.Millisecond, func() {
			killed.Store(true)
			cmd.Process.Kill()
		})
		var wg sync.WaitGroup
		for worker := range 6 {
			seed := rng.Uint64()
			wg.Add(1)
			go func() {
				defer wg.Done()
				rng := rand.New(rand.NewPCG(seed, uint64(worker)))
				for {
					path := objectPath(rng.IntN(60))
					if worker == 0 && rng.IntN(6) == 0 {
						origin.Purge(path, 0, 0)
						res, err := r.client.Post("http://"+addr+"/-/purge", "application/json", strings.NewReader(fmt.Sprintf(`{"object":%q}`, path)))
						mu.Lock()
						version[path]++ // the origin has it, whether the cache has acknowledged it or not
						mu.Unlock()
						if err == nil {
							if res.StatusCode != 200 && res.StatusCode != 500 {
								t.Logf("a purge got status %s", res.Status)
							}
							res.Body.Close()
						} else if !killed.Load() {
							t.Logf("a purge got no response: %v", err)
						}
						if err != nil && (killed.Load() || !faults) {
							return
						}
						continue
					}
					want := minVersion(path)
					res, body, err := r.fetchFrom(addr, path)
					if err != nil && faults && !killed.Load() {
						continue // the object could not be read to its end
					}
					if err != nil {
						return // the process was killed
					}
					if res.StatusCode == 503 {
						continue
					}
					copyVersion, verr := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
					if res.StatusCode != 200 || verr != nil {
						t.Errorf("%s: status %s, error of Spool-Copy %v; want 200 and a version", path, res.Status, verr)
						return
					}
					if at, ok := testserver.Matches(body, path, copyVersion.Number, 0); !ok || copyVersion.Number < want {
						t.Errorf("round %d: %s has version %d, want %d or later; first wrong byte at %d", round, path, copyVersion.Number, want, at)
						return
					}
					mu.Lock()
					responses++
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		timer.Stop()
		cmd.Process.Kill()
		in.Close()
		cmd.Wait()
		r.client.CloseIdleConnections()
	}
	if maxRecovered < 30 || responses < 20*rounds {
		t.Errorf("at most %d objects recovered in a round, want 30 or more; %d responses, want %d or more", maxRecovered, responses, 20*rounds)
	}
	t.Logf("%d kills, %d responses, at most %d objects recovered in a round", rounds, responses, maxRecovered)
}
