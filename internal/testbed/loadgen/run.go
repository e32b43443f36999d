package loadgen

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassResult counts the outcomes of a class's requests.
type ClassResult struct {
	Class    string  `json:"class"`
	Requests int64   `json:"requests"`
	InTime   int64   `json:"in_time"` // complete responses within the latency objective
	Late     int64   `json:"late"`    // complete responses later than the latency objective
	Refused  int64   `json:"refused"` // status 503
	Failed   int64   `json:"failed"`  // other statuses of at least 400
	Broken   int64   `json:"broken"`  // no complete response
	Hits     int64   `json:"hits"`    // hits in the cache nearest to the client, by Cache-Status
	MB       float64 `json:"mb"`
	P50      float64 `json:"p50_ms"`
	P90      float64 `json:"p90_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`

	histogram *hdrhistogram.Histogram // latency of complete responses, us from when the request was due
	mu        sync.Mutex
}

// Second counts the requests that were due in one second of the load. Its percentiles are
// latencies in ms.
type Second struct {
	Second   int     `json:"second"`
	Due      int64   `json:"due"`
	InTime   int64   `json:"in_time"`
	P50, P99 float64 `json:"-"`
}

// Result is the result of a load.
type Result struct {
	Name         string         `json:"name,omitempty"`
	Classes      []*ClassResult `json:"classes"`
	Seconds      []Second       `json:"seconds"`
	Dropped      int64          `json:"dropped"` // requests not sent because of the limit (most n)
	Took         float64        `json:"took_s"`
	Skipped      []Skipped      `json:"left_out,omitempty"` // of a replay: requests that were not sent
	MaxSendDelay float64        `json:"behind_ms"`          // longest delay between when a request was due and when it was started; more than some ms means that the machine of the load generator is overloaded

	histograms []*hdrhistogram.Histogram // latencies by second
}

// source provides sessions in the order in which they begin.
type source interface {
	Next() (Session, bool)
}

// Run sends the requests of a load and returns when all of them have ended.
func Run(ctx context.Context, s *Script) (*Result, error) {
	return run(ctx, &s.Load, s.Classes, NewSessions(s), false)
}

// run sends the requests of a source until the source or the load ends. A length of 0 is no
// limit. With fullSpeed, each session begins as soon as a connection is free.
func run(ctx context.Context, settings *LoadSettings, classes []Class, src source, fullSpeed bool) (*Result, error) {
	res := &Result{Name: settings.Name}
	for i := range classes {
		res.Classes = append(res.Classes, &ClassResult{Class: classes[i].Name, histogram: newHistogram()})
	}
	var clients []*http.Client
	for range settings.Targets {
		transport := &http.Transport{MaxConnsPerHost: settings.Conns, MaxIdleConnsPerHost: settings.Conns, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext}
		clients = append(clients, &http.Client{Transport: transport})
		defer transport.CloseIdleConnections()
	}
	var mu sync.Mutex // guards the fields of res except Classes
	var wg sync.WaitGroup
	var sent atomic.Int64
	slots := make(chan struct{}, settings.Conns*len(settings.Targets))
	begin := time.Now()
	due := func(r *Request) time.Time { return begin.Add(time.Duration(r.Due * float64(time.Millisecond))) }
	send := func(r Request, target int) {
		class, result := &classes[r.Class], res.Classes[r.Class]
		dueAt := due(&r)
		sendDelay := time.Since(dueAt)
		requestCtx, cancel := context.WithDeadline(ctx, dueAt.Add(time.Duration(class.Deadline*float64(time.Millisecond))))
		defer cancel()
		status, hit, n, err := fetch(requestCtx, clients[target], settings.Targets[target], &r)
		took := time.Since(dueAt)
		if r.Due < settings.WarmUp {
			return
		}
		objective := class.LatencyObjective
		if r.LatencyObjective > 0 {
			objective = r.LatencyObjective
		}
		inTime := err == nil && status < 400 && float64(took.Microseconds())/1000 <= objective
		result.mu.Lock()
		result.Requests++
		result.MB += float64(n) / (1 << 20)
		switch {
		case err != nil:
			result.Broken++
		case status == http.StatusServiceUnavailable:
			result.Refused++
		case status >= 400:
			result.Failed++
		default:
			if inTime {
				result.InTime++
			} else {
				result.Late++
			}
			if hit {
				result.Hits++
			}
			result.histogram.RecordValue(max(took.Microseconds(), 1))
		}
		result.mu.Unlock()
		mu.Lock()
		res.MaxSendDelay = max(res.MaxSendDelay, float64(sendDelay.Microseconds())/1000)
		i := int(r.Due / 1000)
		for len(res.Seconds) <= i {
			res.Seconds = append(res.Seconds, Second{Second: len(res.Seconds)})
			res.histograms = append(res.histograms, newSecondHistogram())
		}
		if res.Seconds[i].Due++; inTime {
			res.Seconds[i].InTime++
		}
		if err == nil && status < 400 {
			res.histograms[i].RecordValue(max(took.Microseconds(), 1))
		}
		mu.Unlock()
	}
	for n := 0; ; n++ {
		session, ok := src.Next()
		if !ok {
			break
		}
		if fullSpeed {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
			}
			session[0].Due = float64(time.Since(begin).Microseconds()) / 1000
		}
		if !waitUntil(ctx, due(&session[0])) {
			break
		}
		target := n % len(clients)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if fullSpeed {
				defer func() { <-slots }()
			}
			var parts sync.WaitGroup
			for _, r := range session { // open loop: a part is requested when it is due, whether or not the previous one has ended
				if settings.Length > 0 && r.Due >= settings.Length || !waitUntil(ctx, due(&r)) {
					break
				}
				if sent.Add(1) > int64(settings.MaxRequests) {
					mu.Lock()
					res.Dropped++
					mu.Unlock()
					continue
				}
				parts.Add(1)
				go func() { defer parts.Done(); send(r, target) }()
			}
			parts.Wait()
		}()
	}
	wg.Wait()
	res.Took = time.Since(begin).Seconds()
	for _, result := range res.Classes {
		quantile := func(p float64) float64 { return float64(result.histogram.ValueAtQuantile(p)) / 1000 }
		result.P50, result.P90, result.P99, result.P999, result.Max = quantile(50), quantile(90), quantile(99), quantile(99.9), float64(result.histogram.Max())/1000
	}
	for i, h := range res.histograms {
		res.Seconds[i].P50, res.Seconds[i].P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	}
	return res, ctx.Err()
}

// newSecondHistogram returns a histogram for the responses of one second. It is coarser than
// those of classes, since there may be many.
func newSecondHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 2) }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// waitUntil waits until the time at. It returns false if the context is done before.
func waitUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fetch sends a request and reads the response. n is the size of the body read, in bytes.
func fetch(ctx context.Context, c *http.Client, target string, r *Request) (status int, hit bool, n int64, err error) {
	method, body := r.Method, io.Reader(nil)
	if method == "" {
		method = "GET"
	}
	if r.Body > 0 {
		body = io.LimitReader(zeros{}, r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+r.Path, body)
	if err != nil {
		return 0, false, 0, err
	}
	req.ContentLength = r.Body
	for _, f := range r.Fields {
		req.Header.Set(f[0], f[1])
	}
	res, err := c.Do(req)
	if err != nil {
		return 0, false, 0, err
	}
	defer res.Body.Close()
	n, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, isHit(res.Header.Get("Cache-Status")), n, err
}

// zeros is an infinite reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// isHit reports whether the last member of a Cache-Status field (RFC 9211), which is that of the
// cache nearest to the client, is a hit.
func isHit(field string) bool {
	last, quoted := 0, false
	for i := range len(field) {
		switch field[i] {
		case '"':
			quoted = !quoted
		case ',':
			if !quoted {
				last = i + 1
			}
		}
	}
	for rest := field[last:]; rest != ""; {
		var parameter string
		if i := indexUnquoted(rest, ';'); i >= 0 {
			parameter, rest = rest[:i], rest[i+1:]
		} else {
			parameter, rest = rest, ""
		}
		for len(parameter) > 0 && parameter[0] == ' ' {
			parameter = parameter[1:]
		}
		if parameter == "hit" || parameter == "hit=?1" {
			return true
		}
	}
	return false
}

// indexUnquoted returns the index of the first c in s outside of quotes, or -1.
func indexUnquoted(s string, c byte) int {
	quoted := false
	for i := range len(s) {
		switch {
		case s[i] == '"':
			quoted = !quoted
		case s[i] == c && !quoted:
			return i
		}
	}
	return -1
}

// Text writes the result as a table, with notes.
func (r *Result) Text(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\tin time\tlate\trefused\tfailed\tbroken\thits\tMB\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Class, c.Requests, c.InTime, c.Late, c.Refused,
			c.Failed, c.Broken, c.Hits, c.MB, c.P50, c.P90, c.P99, c.P999, c.Max)
	}
	t.Flush()
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d requests beyond the limit (most n) were not sent\n", r.Dropped)
	}
	for _, l := range r.Skipped {
		fmt.Fprintf(w, "%d requests were skipped: %s\n", l.Count, l.Why)
	}
	if r.MaxSendDelay > 20 {
		fmt.Fprintf(w, "requests were sent up to %.0f ms late: the machine of the load generator is overloaded\n", r.MaxSendDelay)
	}
}
