package bench

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/proxy/httpfront"
)

// FleetResult is the measurement of a fleet of one size.
type FleetResult struct {
	Routers       int     `json:"routers"`
	Protocol      string  `json:"protocol"` // full: state of the world; delta: incremental
	Versions      int     `json:"versions"`
	BodyBytes     int     `json:"body_bytes"`
	JoinTime      float64 `json:"join_ms"`          // from the start of the agents until all routers run the first version, with the service's limit on new streams per second
	ConvergeMean  float64 `json:"converge_mean_ms"` // from a push to all routers at once until the last has accepted the version
	ConvergeWorst float64 `json:"converge_worst_ms"`
	ActivateMean  float64 `json:"used_mean_ms"`       // from the push until the last router runs the version; activations are spread over 1 s
	CPU           float64 `json:"cpu_ms_per_version"` // CPU time of the service's process
	RSS           int64   `json:"rss_kb"`             // resident memory of the service's process, at the end
	RSSBefore     int64   `json:"rss_before_kb"`      // as RSS, before the first stream
	Bytes         float64 `json:"bytes_per_router"`   // gRPC bytes received per router and version, without HTTP/2 framing
	ReconnectTime float64 `json:"reconnect_ms"`       // from a push after the service was killed and restarted until all routers have accepted it
}

// serveControl runs the control service. It prints the address for routers and then that for
// operators.
func serveControl(store string) error {
	var s service.Settings
	if err := config.Read("bench", fmt.Sprintf(`(service (name bench) (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q)
		(streams 10000) (per-second %s)) (checks (box-churn 1) (parent-churn 1))`, store, cmp.Or(os.Getenv(streamRateEnv), "500")), &s); err != nil {
		return err
	}
	if old := os.Getenv(addressEnv); old != "" {
		if _, err := fmt.Sscan(old, &s.Service.Listen, &s.Service.Admin); err != nil {
			return err
		}
	}
	svc, err := service.Start(&s, zap.NewNop(), nil)
	if err != nil {
		return err
	}
	fmt.Printf("%s %s\n", svc.Addr(), svc.AdminAddr())
	waitUntilOrphaned()
	svc.Close()
	return nil
}

const streamRateEnv = "SPOOL_BENCH_STREAMS" // limit on new streams per second
const addressEnv = "SPOOL_BENCH_ADDRESSES"  // the two addresses on which a restarted service listens

// fleetSettings returns settings of a realistic size: 120 caches in 24 zones, 8 parents at 4
// hubs and an origin. size is the size of the first cache.
func fleetSettings(size float64) []byte {
	var b strings.Builder
	b.WriteString("(router (of 100000))(fill (sizes) (siblings location))")
	for _, k := range []string{"still", "film", "thumb", "order"} {
		fmt.Fprintf(&b, "(class %s (aim 400) (deadline 3000))(route \"/%s/{group}/{object}\" (class %s))", k, k, k)
	}
	for z := range 24 {
		fmt.Fprintf(&b, "(zone z%02d (hub h%d) (routers 12) (link 40))", z, z%4)
		for i := range 5 {
			n := z*5 + i
			s := 10.0
			if n == 0 {
				s = size
			}
			fmt.Fprintf(&b, "(member z%02d-box-%d (zone z%02d) (size %v) (address \"10.%d.0.%d:8080\"))", z, i, z, s, z, i+1)
		}
	}
	for h := range 4 {
		fmt.Fprintf(&b, "(zone h%d (hub h%d))", h, h)
		for i := range 2 {
			fmt.Fprintf(&b, "(member h%d-parent-%d (kind parent) (zone h%d) (size 60) (address \"10.200.%d.%d:8080\"))", h, i, h, h, i+1)
		}
	}
	b.WriteString(`(member origin (kind origin) (zone h0) (address "10.250.0.1:8080"))`)
	return []byte(b.String())
}

// receivedBytes counts the bytes of received gRPC messages.
type receivedBytes struct{ n atomic.Int64 }

func (c *receivedBytes) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (c *receivedBytes) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}
func (c *receivedBytes) HandleConn(context.Context, stats.ConnStats) {}
func (c *receivedBytes) HandleRPC(_ context.Context, s stats.RPCStats) {
	if p, ok := s.(*stats.InPayload); ok {
		c.n.Add(int64(p.WireLength))
	}
}

// Fleet runs a control service as a child process and the agents of many routers in this
// process, connected by gRPC streams. full selects the state-of-the-world protocol instead of the
// incremental one; perSecond limits the new streams. Fleet pushes versions that differ in one
// member, one after another, and then kills and restarts the service.
func Fleet(ctx context.Context, self []string, routers, versions int, perSecond float64, full bool) (r FleetResult, err error) {
	r = FleetResult{Routers: routers, Protocol: "delta", Versions: versions}
	if full {
		r.Protocol = "full"
	}
	dir, err := os.MkdirTemp("", "spool-bench-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	store := filepath.Join(dir, "c.db")
	os.Setenv(streamRateEnv, fmt.Sprint(perSecond))
	defer os.Unsetenv(streamRateEnv)
	child, err := StartChild(ctx, self, "control", store)
	if err != nil {
		return r, err
	}
	defer func() { child.Stop() }()
	var addr, admin string
	if _, err := fmt.Sscan(child.Addr, &addr, &admin); err != nil {
		return r, err
	}
	if _, r.RSSBefore, err = child.usage(); err != nil {
		return r, err
	}
	push := func(size float64) (n int64, err error) {
		n, err = service.AdminPush(ctx, admin, fleetSettings(size), true)
		return n, err
	}
	if _, err := push(10); err != nil {
		return r, err
	}
	var got receivedBytes
	agents := make([]*service.Agent, routers)
	began := time.Now()
	for i := range agents {
		agents[i] = service.StartAgent(service.AgentConfig{Router: fmt.Sprintf("router-%04d", i), Services: []string{addr}, Seed: uint64(i),
			StateOfTheWorld: full, OnActivate: func(configversion.Activate) {},
			DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(&got)}})
	}
	defer func() {
		var wg sync.WaitGroup
		for _, a := range agents {
			wg.Add(1)
			go func() { defer wg.Done(); a.Close() }()
		}
		wg.Wait()
	}()
	waitAll := func(what string, n func(service.AgentStatus) int64, number int64) (time.Duration, error) {
		from := time.Now()
		for i := 0; i < len(agents); {
			if n(agents[i].Status()) >= number {
				i++
				continue
			}
			if time.Since(from) > 120*time.Second || ctx.Err() != nil {
				return 0, errors.Join(fmt.Errorf("bench: %s of version %d at router %d did not complete within 120 s", what, number, i), ctx.Err())
			}
			time.Sleep(200 * time.Microsecond)
		}
		return time.Since(from), nil
	}
	accepted := func(s service.AgentStatus) int64 { return s.Accepted }
	running := func(s service.AgentStatus) int64 { return s.Running }
	if _, err := waitAll("use", running, 1); err != nil {
		return r, err
	}
	r.JoinTime = ms(time.Since(began))
	cpu0, _, err := child.usage()
	if err != nil {
		return r, err
	}
	got.n.Store(0)
	for i := range versions {
		at := time.Now()
		n, err := push(11 + float64(i%2))
		if err != nil {
			return r, err
		}
		if _, err := waitAll("acceptance", accepted, n); err != nil {
			return r, err
		}
		took := ms(time.Since(at))
		r.ConvergeMean += took / float64(versions)
		r.ConvergeWorst = max(r.ConvergeWorst, took)
		if _, err := waitAll("use", running, n); err != nil {
			return r, err
		}
		r.ActivateMean += ms(time.Since(at)) / float64(versions)
	}
	cpu1, rss, err := child.usage()
	if err != nil {
		return r, err
	}
	r.RSS, r.CPU = rss, ms(cpu1-cpu0)/float64(versions)
	r.Bytes = float64(got.n.Load()) / float64(versions) / float64(routers)
	r.BodyBytes = len(fleetSettings(11))
	child.cmd.Process.Kill()
	child.cmd.Wait()
	os.Setenv(addressEnv, child.Addr)
	defer os.Unsetenv(addressEnv)
	for range 50 {
		var next *Process
		if next, err = StartChild(ctx, self, "control", store); err == nil {
			child = next
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return r, err
	}
	at := time.Now()
	n, err := push(13)
	if err != nil {
		return r, err
	}
	_, err = waitAll("acceptance after the restart", accepted, n)
	r.ReconnectTime = ms(time.Since(at))
	return r, err
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// serveFollower runs a router that takes its settings from a control service. Its argument is
// the address of the backend and that of the service, separated by a space.
func serveFollower(backendAndService string) error {
	var backend, service string
	if _, err := fmt.Sscan(backendAndService, &backend, &service); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "spool-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var s config.Settings
	if err := config.Read("bench", fmt.Sprintf(`(router (zone z) (listen "127.0.0.1:0") (log none))
		(control (services %q) (store %q) (spread 1) (start wait))`, service, filepath.Join(dir, "good.db")), &s); err != nil {
		return err
	}
	log, err := httpfront.NewAccessLog(&s)
	if err != nil {
		return err
	}
	e, end, err := httpfront.Open(context.Background(), &s, log)
	if err != nil {
		return err
	}
	defer end()
	go func() { waitUntilOrphaned(); e.Stop() }()
	go func() {
		if e.Ready() == nil {
			fmt.Println(e.Addr())
		}
	}()
	return e.Run()
}

// followerSettings returns the settings of version n for a router in front of the bench's server,
// with 120 other members, a realistic number.
func followerSettings(backend string, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `(router (of 2)) (zone z (routers 2)) (zone far) (limits (upstream 4096) (connections-per-address 20000) (held %d)) (fill (flow 1000))
		(class c (deadline 6000)) (route "/s/{group}/{object}" (class c)) (member b (zone z) (address %q))`, 20000+n, backend)
	for i := range 120 {
		fmt.Fprintf(&b, "(member far-%03d (zone far) (size %d) (address \"127.0.0.1:9\"))", i, 10+(n+i)%2)
	}
	return []byte(b.String())
}

// VersionsResult compares the latency of requests in windows with a new version every second and
// in windows without. Arrays have the windows without versions at index 0, those with at 1.
type VersionsResult struct {
	Windows    int       `json:"windows"` // of each kind
	Versions   int       `json:"versions"`
	Requests   [2]int    `json:"requests"`
	P50        [2]int64  `json:"p50_us"`
	P99        [2]int64  `json:"p99_us"`
	P999       [2]int64  `json:"p999_us"`
	Ratio      float64   `json:"p99_ratio"`  // P99 with versions divided by P99 without
	Ratios     []float64 `json:"p99_ratios"` // as Ratio, for each pair of windows, sorted
	Failed     int64     `json:"failed"`
	LastActive int64     `json:"last_version_run"`
}

// Versions sends requests to a router at a fixed rate (open loop), in alternating windows with
// and without a new version every second. Every version changes a limit and the size of each of
// 120 members.
func Versions(ctx context.Context, self []string, perSecond, windows int, window time.Duration) (r VersionsResult, err error) {
	server, err := StartChild(ctx, self, "server", "-")
	if err != nil {
		return r, err
	}
	defer server.Stop()
	dir, err := os.MkdirTemp("", "spool-bench-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	svc, err := StartChild(ctx, self, "control", filepath.Join(dir, "c.db"))
	if err != nil {
		return r, err
	}
	defer svc.Stop()
	var addr, admin string
	if _, err := fmt.Sscan(svc.Addr, &addr, &admin); err != nil {
		return r, err
	}
	number := 0
	push := func() (int64, error) {
		number++
		return service.AdminPush(ctx, admin, followerSettings(server.Addr, number), true)
	}
	if _, err := push(); err != nil {
		return r, err
	}
	router, err := StartChild(ctx, self, "follower", server.Addr+" "+addr)
	if err != nil {
		return r, err
	}
	defer router.Stop()
	r.Windows = windows
	var hists [2]*hdrhistogram.Histogram
	for i := range hists {
		hists[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	var p99 [2][]int64
	if _, failed, err := loadAtRate(ctx, router.Addr, perSecond, window/4); err != nil { // warm-up
		return r, errors.Join(err, fmt.Errorf("bench: %d requests failed in the warm-up", failed))
	}
	for w := range 2 * windows {
		updating := w % 2
		if w/2%2 == 1 {
			updating = 1 - updating // the kind that comes first alternates, against drift
		}
		stop := make(chan struct{})
		pushed := make(chan error, 1)
		go func() {
			var err error
			for t := time.NewTicker(time.Second); updating == 1 && err == nil; {
				select {
				case <-t.C:
					_, err = push()
					r.Versions++
					continue
				case <-stop:
				}
				t.Stop()
				break
			}
			pushed <- err
		}()
		h, failed, err := loadAtRate(ctx, router.Addr, perSecond, window)
		close(stop)
		if err := errors.Join(err, <-pushed); err != nil {
			return r, err
		}
		r.Failed += failed
		hists[updating].Merge(h)
		p99[updating] = append(p99[updating], h.ValueAtQuantile(99))
	}
	for i, h := range hists {
		r.Requests[i], r.P50[i], r.P99[i], r.P999[i] = int(h.TotalCount()), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9)
	}
	r.Ratio = float64(r.P99[1]) / float64(r.P99[0])
	for i := range p99[0] {
		r.Ratios = append(r.Ratios, float64(p99[1][i])/float64(p99[0][i]))
	}
	sort.Float64s(r.Ratios)
	v, err := service.AdminStatus(ctx, admin)
	if err == nil && len(v.Routers) == 1 {
		r.LastActive = v.Routers[0].Running
	}
	return r, err
}

// loadAtRate sends requests at a fixed rate for span, whether or not earlier ones are answered.
// The latency of a request counts from the time at which it was due.
func loadAtRate(ctx context.Context, addr string, perSecond int, span time.Duration) (*hdrhistogram.Histogram, int64, error) {
	const conns = 64
	req := []byte("GET /s/0/16 HTTP/1.1\r\nHost: bench\r\n\r\n")
	due := make(chan time.Time, 1<<16)
	var failed atomic.Int64
	var mu sync.Mutex
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	var errs []error
	for range conns {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.Close()
			own := hdrhistogram.New(1, 60_000_000, 3)
			br := newReader(c)
			for at := range due {
				c.SetDeadline(time.Now().Add(10 * time.Second))
				_, err := c.Write(req)
				if err == nil {
					err = readOKResponse(br, 16<<10)
				}
				if err != nil {
					failed.Add(1)
					break
				}
				own.RecordValue(max(time.Since(at).Microseconds(), 1))
			}
			mu.Lock()
			hist.Merge(own)
			mu.Unlock()
		}()
	}
	interval := time.Second / time.Duration(perSecond)
	for next, end := time.Now(), time.Now().Add(span); next.Before(end) && ctx.Err() == nil; next = next.Add(interval) {
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		}
		select {
		case due <- next:
		default:
			failed.Add(1)
		}
	}
	close(due)
	wg.Wait()
	return hist, failed.Load(), errors.Join(append(errs, ctx.Err())...)
}
