package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"indigospool/internal/testbed/testserver"
)

// Assemblers lists the children that can assemble ESI pages: the router, and a small program that
// fetches the fragments with Go's HTTP client, one after another or eight at a time.
var Assemblers = []string{"spool-pages", "sequential", "parallel"}

// servePages answers /p/0/N with a page of N fragments, and /s/I/KB, the path of a fragment, with
// an object of that size after the delay.
func servePages(delay time.Duration) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	go fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
		parts := strings.Split(string(ctx.Path()), "/")
		if len(parts) != 4 {
			ctx.SetStatusCode(404)
			return
		}
		n, err := strconv.Atoi(parts[3])
		if err != nil || n < 0 || n > 4096 {
			ctx.SetStatusCode(404)
			return
		}
		ctx.Response.Header.Set("Cache-Status", `"b"; hit`)
		if parts[1] == "p" {
			ctx.Response.Header.Set("Surrogate-Control", `content="ESI/1.0"`)
			ctx.SetContentType("text/html")
			ctx.WriteString(pageHead)
			for i := range n {
				fmt.Fprintf(ctx, `<p><esi:include src="/s/%d/1"/></p>`, i)
			}
			return
		}
		time.Sleep(delay)
		b := make([]byte, n<<10)
		testserver.Content(b, string(ctx.Path()), 1, 0)
		ctx.SetContentType("application/octet-stream")
		ctx.Response.SetBodyRaw(b)
	})
	waitUntilOrphaned()
	return nil
}

const pageHead = "<!doctype html><title>captions</title>\n"

// serveAssembler runs a minimal ESI processor: it fetches a page and its fragments with Go's HTTP
// client, at most parallelism at a time, and sends them in order.
func serveAssembler(backend string, parallelism int) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	get := func(path string) ([]byte, error) {
		res, err := client.Get("http://" + backend + path)
		if err != nil {
			return nil, err
		}
		defer res.Body.Close()
		return io.ReadAll(res.Body)
	}
	fmt.Println(ln.Addr())
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page, err := get(r.URL.Path)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		type fragment struct {
			before string
			b      chan []byte
		}
		var fragments []fragment
		slots := make(chan struct{}, parallelism)
		rest := string(page)
		for {
			before, after, more := strings.Cut(rest, `<esi:include src="`)
			if !more {
				break
			}
			src, after, _ := strings.Cut(after, `"/>`)
			p := fragment{before, make(chan []byte, 1)}
			if parallelism > 1 {
				go func() {
					slots <- struct{}{}
					b, _ := get(src)
					<-slots
					p.b <- b
				}()
			} else {
				fragments = append(fragments, p)
				rest = after
				io.WriteString(w, before)
				w.(http.Flusher).Flush()
				b, err := get(src)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				w.Write(b)
				continue
			}
			fragments, rest = append(fragments, p), after
		}
		if parallelism > 1 {
			for _, p := range fragments {
				io.WriteString(w, p.before)
				w.Write(<-p.b)
			}
		}
		io.WriteString(w, rest)
	}))
	waitUntilOrphaned()
	return nil
}

// PageResult is the measurement of one assembler with pages of one size.
type PageResult struct {
	Assembler string  `json:"by"`
	Fragments int     `json:"fragments"`
	DelayMs   int     `json:"delay_ms"` // delay of the server for each fragment
	Conns     int     `json:"conns"`
	Pages     int64   `json:"pages"`
	PerSecond float64 `json:"per_second"`
	PerCPU    float64 `json:"per_cpu_second"` // pages per CPU second of the assembler's process
	FirstP50  int64   `json:"first_p50_us"`   // time to the first byte of the body
	P50       int64   `json:"p50_us"`         // time to the last byte
	P99       int64   `json:"p99_us"`
	Failed    int64   `json:"failed"` // connections that could not be opened or ended early because of an error
}

// LoadPages requests pages with the given number of fragments in a closed loop: each connection
// sends its next request as soon as it has the page, and ends at its first error. LoadPages
// measures for span, after span/5 of warm-up; Failed includes the warm-up.
func LoadPages(ctx context.Context, child *Process, assembler string, fragments, delay, conns int, span time.Duration) (PageResult, error) {
	r := PageResult{Assembler: assembler, Fragments: fragments, DelayMs: delay, Conns: conns}
	want := int64(len(pageHead) + fragments*(len("<p></p>")+1024))
	var stop atomic.Bool
	var count, failed atomic.Int64
	var mu sync.Mutex
	first, last := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	for range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp4", child.Addr)
			if err != nil {
				failed.Add(1)
				return
			}
			defer c.Close()
			br := newReader(c)
			for !stop.Load() {
				at := time.Now()
				c.SetDeadline(at.Add(20 * time.Second))
				fmt.Fprintf(c, "GET /p/0/%d HTTP/1.1\r\nHost: bench\r\n\r\n", fragments)
				firstByte, err := readPage(br, want)
				if err != nil {
					failed.Add(1)
					return
				}
				count.Add(1)
				mu.Lock()
				first.RecordValue(firstByte.Sub(at).Microseconds())
				last.RecordValue(time.Since(at).Microseconds())
				mu.Unlock()
			}
		}()
	}
	time.Sleep(span / 5) // warm-up
	mu.Lock()
	first.Reset()
	last.Reset()
	mu.Unlock()
	n0 := count.Load()
	cpu0, _, err := child.usage()
	at := time.Now()
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
	r.Pages = count.Load() - n0
	cpu1, _, err2 := child.usage()
	took := time.Since(at).Seconds()
	stop.Store(true)
	wg.Wait()
	if err = errors.Join(err, err2); err != nil {
		return r, err
	}
	r.PerSecond = float64(r.Pages) / took
	r.PerCPU = float64(r.Pages) / max((cpu1-cpu0).Seconds(), 0.01)
	r.Failed = failed.Load()
	r.FirstP50, r.P50, r.P99 = first.ValueAtQuantile(50), last.ValueAtQuantile(50), last.ValueAtQuantile(99)
	return r, nil
}

// readPage reads a page of want bytes and returns the time at which its first byte arrived.
func readPage(br interface {
	io.Reader
	io.ByteReader
	io.ByteScanner
	ReadSlice(byte) ([]byte, error)
	Discard(int) (int, error)
}, want int64) (first time.Time, err error) {
	length, chunked := int64(-1), false
	for line := 0; ; line++ {
		b, err := br.ReadSlice('\n')
		if err != nil {
			return first, err
		}
		s := strings.ToLower(strings.TrimRight(string(b), "\r\n"))
		if line == 0 && !strings.HasPrefix(s, "http/1.1 200") {
			return first, fmt.Errorf("bench: response begins with %q, want status 200", s)
		}
		if v, is := strings.CutPrefix(s, "content-length: "); is {
			length, _ = strconv.ParseInt(v, 10, 64)
		}
		chunked = chunked || s == "transfer-encoding: chunked"
		if s == "" {
			break
		}
	}
	got := int64(0)
	for {
		n := length
		if chunked {
			b, err := br.ReadSlice('\n')
			if err != nil {
				return first, err
			}
			if n, err = strconv.ParseInt(strings.TrimSpace(string(b)), 16, 64); err != nil {
				return first, err
			}
		}
		if n > 0 && first.IsZero() {
			if _, err := br.ReadByte(); err != nil {
				return first, err
			}
			br.UnreadByte()
			first = time.Now()
		}
		got += max(n, 0)
		if chunked {
			if _, err := br.Discard(int(n) + 2); err != nil {
				return first, err
			}
			if n > 0 {
				continue
			}
		} else if _, err := br.Discard(int(n)); err != nil {
			return first, err
		}
		if got != want {
			return first, fmt.Errorf("bench: page has %d bytes, want %d", got, want)
		}
		return first, nil
	}
}
