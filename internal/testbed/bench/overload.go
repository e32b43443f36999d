package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Point is the measurement of a proxy under an open-loop load of a multiple of its capacity.
type Point struct {
	Proxy    string  `json:"proxy"`
	Factor   float64 `json:"factor"`
	Offered  float64 `json:"offered"`   // requests per second
	Goodput  float64 `json:"goodput"`   // complete responses with status 200 within the deadline, per second
	Least    float64 `json:"least"`     // lowest goodput of a round
	Most     float64 `json:"most"`      // highest goodput of a round
	Late     float64 `json:"late"`      // complete responses with status 200 after the deadline, per second
	Rejected float64 `json:"refused"`   // responses with status 503, per second
	Failed   float64 `json:"broken"`    // no complete response within twice the deadline, or another status, per second
	P50      float64 `json:"p50_ms"`    // latency of the responses that Goodput counts, from when the request was due
	P99      float64 `json:"p99_ms"`    // as P50, for the 99th percentile
	LoadLag  float64 `json:"behind_ms"` // longest delay of the load generator in sending a request
	Capacity float64 `json:"capacity"`  // requests per second in a closed loop, the load at factor 1
}

// OverloadOptions sets how a curve is measured.
type OverloadOptions struct {
	KB       int
	Factors  []float64
	Conns    int           // connections of the load; a request counts as failed if none is free within a tenth of the deadline
	Rounds   int           // rounds, each over all factors; a Point has the mean rates, and P50, P99 and LoadLag of the round with the median goodput
	Span     time.Duration // measured time of each factor and round, after a quarter of it for warm-up
	Deadline time.Duration // from when a request is due
}

// Overload measures a proxy's capacity with a closed loop, and then its responses under open-loop
// loads of multiples of the capacity. It calls report with each Point.
func Overload(ctx context.Context, child *Process, proxy string, o OverloadOptions, report func(Point)) ([]Point, error) {
	baseline, err := Load(ctx, child, proxy, o.KB, 64, o.Span)
	if err != nil {
		return nil, err
	}
	all := make([][]Point, len(o.Factors))
	for range max(o.Rounds, 1) {
		for i, f := range o.Factors {
			p, err := openLoop(ctx, child.Addr, o, f*baseline.PerSecond)
			if err != nil {
				return nil, err
			}
			p.Proxy, p.Factor, p.Capacity = proxy, f, baseline.PerSecond
			all[i] = append(all[i], p)
			time.Sleep(500 * time.Millisecond)
		}
	}
	var out []Point
	for _, points := range all {
		sort.Slice(points, func(i, j int) bool { return points[i].Goodput < points[j].Goodput })
		p := points[len(points)/2] // the round with the median goodput, for P50, P99 and LoadLag
		p.Least, p.Most = points[0].Goodput, points[len(points)-1].Goodput
		mean := func(field func(*Point) *float64) {
			sum := 0.0
			for i := range points {
				sum += *field(&points[i])
			}
			*field(&p) = sum / float64(len(points))
		}
		mean(func(p *Point) *float64 { return &p.Late })
		mean(func(p *Point) *float64 { return &p.Rejected })
		mean(func(p *Point) *float64 { return &p.Failed })
		mean(func(p *Point) *float64 { return &p.Goodput })
		out = append(out, p)
		report(p)
	}
	return out, nil
}

// openLoop sends requests at the given rate, each at its due time and on a connection that is free,
// and measures the responses.
func openLoop(ctx context.Context, addr string, o OverloadOptions, rate float64) (Point, error) {
	p := Point{Offered: rate}
	req := []byte(fmt.Sprintf("GET /s/0/%d HTTP/1.1\r\nHost: bench\r\n\r\n", o.KB))
	warm := o.Span / 4
	total := int64(rate * (o.Span + warm).Seconds())
	var next, inTime, late, rejected, failed atomic.Int64
	var maxLag atomic.Int64
	var mu sync.Mutex
	var times []float64
	var wg sync.WaitGroup
	start := time.Now().Add(100 * time.Millisecond)
	var dialErr atomic.Value
	for range o.Conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c net.Conn
			var br *bufio.Reader
			defer func() {
				if c != nil {
					c.Close()
				}
			}()
			var local []float64
			for ctx.Err() == nil {
				n := next.Add(1) - 1
				if n >= total {
					break
				}
				due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
				if d := time.Until(due); d > 0 {
					time.Sleep(d)
				}
				measured := due.Sub(start) >= warm
				if lag := time.Since(due).Microseconds(); measured && lag > maxLag.Load() {
					maxLag.Store(lag)
				}
				// If no connection was free soon enough, the request counts as failed and is not sent:
				// independent users would not queue for a shared set of connections.
				if time.Since(due) > o.Deadline/10 {
					if measured {
						failed.Add(1)
					}
					continue
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp4", addr); err != nil {
						dialErr.CompareAndSwap(nil, err)
						if c = nil; measured {
							failed.Add(1)
						}
						continue
					}
					br = newReader(c)
				}
				c.SetDeadline(due.Add(2 * o.Deadline))
				status := 0
				_, err := c.Write(req)
				if err == nil {
					status, err = readResponse(c, br)
				}
				took := time.Since(due)
				if err != nil {
					c.Close()
					c = nil
				}
				if !measured {
					continue
				}
				switch {
				case err != nil:
					failed.Add(1)
				case status == 503:
					rejected.Add(1)
				case status != 200:
					failed.Add(1)
				case took > o.Deadline:
					late.Add(1)
				default:
					inTime.Add(1)
					local = append(local, float64(took.Microseconds())/1000)
				}
			}
			mu.Lock()
			times = append(times, local...)
			mu.Unlock()
		}()
	}
	wg.Wait()
	s := o.Span.Seconds()
	p.Goodput, p.Late, p.Rejected, p.Failed = float64(inTime.Load())/s, float64(late.Load())/s, float64(rejected.Load())/s, float64(failed.Load())/s
	p.LoadLag = float64(maxLag.Load()) / 1000
	if sort.Float64s(times); len(times) > 0 {
		p.P50, p.P99 = times[len(times)/2], times[len(times)*99/100]
	}
	if err, _ := dialErr.Load().(error); err != nil && inTime.Load() == 0 {
		return p, err
	}
	return p, ctx.Err()
}

// bodyBuffers holds buffers for reading bodies directly from a connection, in larger pieces than
// the buffer of its bufio.Reader.
var bodyBuffers = sync.Pool{New: func() any { b := make([]byte, 256<<10); return &b }}

// readResponse reads a response with a Content-Length, whatever its status.
func readResponse(c net.Conn, br *bufio.Reader) (status int, err error) {
	length := int64(-1)
	for first := true; ; first = false {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		text := strings.TrimRight(string(line), "\r\n")
		switch {
		case first:
			if !strings.HasPrefix(text, "HTTP/1.1 ") || len(text) < 12 {
				return 0, fmt.Errorf("bench: invalid status line %q", text)
			}
			if status, err = strconv.Atoi(text[9:12]); err != nil {
				return 0, fmt.Errorf("bench: invalid status line %q", text)
			}
		case text == "":
			if length < 0 {
				return status, errors.New("bench: response without Content-Length")
			}
			// Discard what br has buffered, then read the rest directly from the
			// connection; length is what is left to read.
			n, _ := br.Discard(int(min(length, int64(br.Buffered()))))
			b := bodyBuffers.Get().(*[]byte)
			defer bodyBuffers.Put(b)
			for length -= int64(n); length > 0 && err == nil; length -= int64(n) {
				n, err = c.Read((*b)[:min(length, int64(len(*b)))])
			}
			return status, err
		case len(text) > 15 && strings.EqualFold(text[:15], "content-length:"):
			if length, err = strconv.ParseInt(strings.TrimSpace(text[15:]), 10, 64); err != nil {
				return status, fmt.Errorf("bench: invalid Content-Length in %q", text)
			}
		}
	}
}

// PlotOverload writes a plot of goodput over offered load, both as multiples of the capacity.
func PlotOverload(points []Point, file string) error {
	p := plot.New()
	p.Title.Text = "Responses in time under overload"
	p.X.Label.Text, p.Y.Label.Text = "offered load / capacity", "responses in time / capacity"
	p.Y.Min = 0
	p.Legend.Top = false
	lines := map[string]plotter.XYs{}
	var order []string
	for _, q := range points {
		if lines[q.Proxy] == nil {
			order = append(order, q.Proxy)
		}
		lines[q.Proxy] = append(lines[q.Proxy], plotter.XY{X: q.Factor, Y: q.Goodput / q.Capacity})
	}
	var args []any
	for _, name := range order {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return nil
}

// FloodSample is the measurement of one second of a flood.
type FloodSample struct {
	Second int   `json:"second"`
	RSSKB  int64 `json:"rss_kb"`
	Good   int64 `json:"good"` // requests of ordinary users with status 200
	Bad    int64 `json:"bad"`  // requests of ordinary users that failed: no connection within 1 s, no response within 2 s, or another status
}

// Flood opens conns connections that misuse the proxy. A third request many large responses and
// read them at a byte per second, a third send the start of a request line and then a byte per
// second, so that the request is never complete, and a third stay idle. A few ordinary users send
// requests at the same time. Flood calls report every second. It returns the proxy's resident
// memory before the flood, in KB, and the samples.
func Flood(ctx context.Context, child *Process, conns int, span time.Duration, report func(FloodSample)) (before int64, list []FloodSample, err error) {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(conns)+500 {
		limit.Cur = min(limit.Max, uint64(conns)+1000)
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
	if _, before, err = child.usage(); err != nil {
		return 0, nil, err
	}
	ctx, stop := context.WithTimeout(ctx, span)
	defer stop()
	var wg sync.WaitGroup
	attack := func(i, kind int) {
		defer wg.Done()
		// Spread over 200 loopback source addresses: with one, closed connections in TIME_WAIT would
		// use up the ephemeral ports.
		from := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+i%200), 1)}}
		for ctx.Err() == nil {
			c, err := from.Dial("tcp4", child.Addr)
			if err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			c.(*net.TCPConn).SetReadBuffer(4096)
			switch kind {
			case 0: // requests many large responses and reads one byte per second
				for range 20 {
					c.Write([]byte("GET /s/0/1024 HTTP/1.1\r\nHost: x\r\n\r\n"))
				}
			case 1: // sends the start of a request line; the loop below sends a byte per second
				c.Write([]byte("GET /s/0/1 HT"))
			}
			one := make([]byte, 1)
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				if kind == 1 {
					if _, err := c.Write([]byte("x")); err != nil {
						break
					}
				}
				c.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err := c.Read(one); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					break // closed by the proxy; connect again
				}
			}
			c.Close()
		}
	}
	for i := range conns {
		wg.Add(1)
		go attack(i, i%3)
	}
	var good, bad atomic.Int64
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp4", child.Addr, time.Second)
				if err == nil {
					c.SetDeadline(time.Now().Add(2 * time.Second))
					status := 0
					if _, err = c.Write([]byte("GET /s/0/4 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")); err == nil {
						status, err = readResponse(c, newReader(c))
					}
					if err == nil && status != 200 {
						err = errors.New("bench: status is not 200")
					}
					c.Close()
				}
				if err != nil {
					bad.Add(1)
				} else {
					good.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for s := 0; ctx.Err() == nil; s++ {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		_, rss, err := child.usage()
		if err != nil {
			return before, list, err
		}
		sample := FloodSample{s, rss, good.Swap(0), bad.Swap(0)}
		list = append(list, sample)
		report(sample)
	}
	wg.Wait()
	return before, list, nil
}
