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

// watchList follows the discovery stream, in which the list service sends updates of the endpoint
// list, on a goroutine of its own, and posts each update to the loop. It reconnects if the stream
// ends, breaks off within a line or contains an invalid update, after an exponential backoff with
// jitter from the seed, so that routers do not reconnect all at once. The endpoint list stays in
// force meanwhile.
func (e *Edge) watchList() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	settings := e.settings // those at the start; the loop may replace e.settings later
	random := rand.New(rand.NewPCG(uint64(settings.Router.Seed), uint64(settings.Router.Index)+1))
	go func() {
		defer close(done)
		wait := settings.Limits.DiscoveryBackoff
		for ctx.Err() == nil {
			updates, err := e.followStream(ctx, settings)
			if ctx.Err() != nil {
				return
			}
			if updates > 0 {
				wait = settings.Limits.DiscoveryBackoff
			}
			e.listState.Store("lost: " + err.Error())
			e.log.Log.Warn("discovery stream ended; reconnecting after a backoff", zap.Error(err), zap.Int("lines", updates))
			select {
			case <-time.After(time.Duration(wait * (0.5 + random.Float64()) * float64(time.Millisecond))):
			case <-ctx.Done():
			}
			wait = min(2*wait, 32*settings.Limits.DiscoveryBackoff)
		}
	}()
	return func() { cancel(); <-done }
}

// listClient connects to the list service directly, and ignores proxies of the environment.
var listClient = &http.Client{Transport: &http.Transport{}}

// errGap ends a stream that has skipped a revision. A new stream begins with a full snapshot.
var errGap = errors.New("a revision of the endpoint list is missing")

// followStream opens a discovery stream and posts its updates to the loop until it ends. It
// returns the number of updates and why the stream ended.
func (e *Edge) followStream(ctx context.Context, settings *config.Settings) (updates int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchURL := url.URL{Scheme: "http", Host: settings.Router.DiscoveryAddress, Path: "/watch", RawQuery: "router=" + url.QueryEscape(e.name)}
	req, err := http.NewRequestWithContext(ctx, "GET", watchURL.String(), nil)
	if err != nil {
		return 0, err
	}
	headTimeout := time.AfterFunc(5*time.Second, cancel) // for the response head only, since the stream may be silent for long
	response, err := listClient.Do(req)
	headTimeout.Stop()
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("list service at %s responded %s, want 200 OK", settings.Router.DiscoveryAddress, response.Status)
	}
	e.listState.Store("following")
	reader := bufio.NewReaderSize(response.Body, 64<<10)
	for {
		line, err := readLine(reader, settings.Limits.DiscoveryLineBytes)
		if err != nil {
			return updates, err
		}
		if len(line) == 0 {
			continue // a keep-alive
		}
		update, err := engine.ParseUpdate(line)
		if err != nil {
			return updates, err
		}
		updates++
		if err := e.postUpdate(ctx, update); err != nil {
			return updates, err
		}
	}
}

// readLine reads a line of limit bytes at most. A line that the end of the stream cuts off is an
// error.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, fmt.Errorf("line of the discovery stream longer than %d bytes; raise (limits (list-line n))", limit)
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

// postUpdate has the loop apply an update, and waits for the result.
func (e *Edge) postUpdate(ctx context.Context, update *engine.Update) error {
	applied := make(chan engine.ApplyResult, 1)
	for {
		err := e.loop.Post(func() { applied <- e.applyUpdate(update) })
		if err == nil {
			break
		}
		if err != eventloop.ErrFull {
			return err
		}
		select { // updates are never dropped: the stream waits
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case result := <-applied:
		if result.Outdated {
			e.log.Log.Warn("ignored an outdated update of the endpoint list", zap.Int64("rev", update.Rev))
		}
		if result.Gap {
			return errGap
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
