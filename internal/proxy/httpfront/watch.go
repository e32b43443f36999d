package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/engine"
)

// watchList follows the list service on a goroutine of its own and posts each line
// to the loop. A stream that ends, is cut in a line or says what can't be used
// is begun anew after a wait that doubles, with jitter from the seed, so that
// routers do not come back all at once. What was known stays known meanwhile.
func (e *Edge) watchList() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s := e.settings // those of the start: the loop may go by others later
	rng := rand.New(rand.NewPCG(uint64(s.Router.Seed), uint64(s.Router.Me)+1))
	go func() {
		defer close(done)
		wait := s.Limits.ListBackoff
		for ctx.Err() == nil {
			lines, err := e.followStream(ctx, s)
			if ctx.Err() != nil {
				return
			}
			if lines > 0 {
				wait = s.Limits.ListBackoff
			}
			e.listState.Store("lost: " + err.Error())
			e.log.Log.Warn("list stream ended", zap.Error(err), zap.Int("lines", lines))
			select {
			case <-time.After(time.Duration(wait * (0.5 + rng.Float64()) * float64(time.Millisecond))):
			case <-ctx.Done():
			}
			wait = min(2*wait, 32*s.Limits.ListBackoff)
		}
	}()
	return func() { cancel(); <-done }
}

// listClient speaks to the list service itself, whatever proxies the environment names.
var listClient = &http.Client{Transport: &http.Transport{}}

// errGap asks for a stream anew: it begins with a full list.
var errGap = errors.New("a version is missing")

func (e *Edge) followStream(ctx context.Context, s *config.Settings) (lines int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := url.URL{Scheme: "http", Host: s.Router.List, Path: "/watch", RawQuery: "router=" + url.QueryEscape(e.name)}
	req, err := http.NewRequestWithContext(ctx, "GET", u.String(), nil)
	if err != nil {
		return 0, err
	}
	late := time.AfterFunc(5*time.Second, cancel) // for the head only: the stream may be silent for long
	res, err := listClient.Do(req)
	late.Stop()
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("list service answers %s", res.Status)
	}
	e.listState.Store("following")
	br := bufio.NewReaderSize(res.Body, 64<<10)
	for {
		line, err := readLine(br, s.Limits.ListLine)
		if err != nil {
			return lines, err
		}
		if len(line) == 0 {
			continue // sent to keep the stream alive
		}
		n, err := engine.ParseUpdate(line)
		if err != nil {
			return lines, err
		}
		lines++
		if err := e.postUpdate(ctx, n); err != nil {
			return lines, err
		}
	}
}

// readLine reads a whole line of at most limit bytes. One cut short by the
// stream's end is not a line.
func readLine(br *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := br.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, fmt.Errorf("a line of the list stream is longer than %d bytes; raise (limits (list-line n))", limit)
		}
		line = append(line, part...)
		switch err {
		case nil:
			return line[:len(line)-1], nil
		case bufio.ErrBufferFull:
		case io.EOF:
			if len(line) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, io.EOF
		default:
			return nil, err
		}
	}
}

// postUpdate hands news to the loop and hears what became of it.
func (e *Edge) postUpdate(ctx context.Context, n *engine.Update) error {
	got := make(chan engine.ApplyResult, 1)
	for {
		err := e.loop.Post(func() { got <- e.applyUpdate(n) })
		if err == nil {
			break
		}
		if err != eventloop.ErrFull {
			return err
		}
		select { // news is never dropped: the stream waits
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case a := <-got:
		if a.Outdated {
			e.log.Log.Warn("list news of an older version passed over", zap.Int64("rev", n.Rev))
		}
		if a.Gap {
			return errGap
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
