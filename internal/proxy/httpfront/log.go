package httpfront

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/proxy/asynclog"
	"indigospool/internal/proxy/limits"
)

// endReason is why a request ended. Its words are stable; docs/operating.md lists them.
type endReason uint8

const (
	endServed     endReason = iota + 1 // the response was relayed in full
	endRefused                         // the module rejected it
	endFailed                          // the module gave it up
	endBroken                          // the member's response ended early
	endClientGone                      // the client left
	endClientSlow                      // the client read nothing until the write timeout
	endMalformed                       // the request was invalid
	endNoRoute                         // no route fits
	endHeld                            // the limit of requests in flight was reached
	endPage                            // the page could not be assembled, or the fragment is not needed
	endLimit                           // a limit of internal/proxy/limits ended it; see limitCause
)

// word returns the reason's word in the access log and in Cache-Status.
func (r endReason) word() string {
	switch r {
	case endServed:
		return "served"
	case endRefused:
		return "refused"
	case endFailed:
		return "failed"
	case endBroken:
		return "upstream-broke"
	case endClientGone:
		return "client-gone"
	case endClientSlow:
		return "client-slow"
	case endMalformed:
		return "malformed"
	case endNoRoute:
		return "no-route"
	case endPage:
		return "page"
	case endHeld:
		return "held-limit"
	}
	return "limit"
}

// resultWords are the words for the results of attempts in the access log.
var resultWords = [...]string{spool.OK: "ok", spool.Errored: "error", spool.Rejected: "full", spool.TimedOut: "timeout",
	spool.ConnectFailed: "connect-failed", spool.Reset: "reset", spool.Cancelled: "cancelled", spool.NotSent: "moot",
	spool.Miss: "miss", spool.LocalFailure: "not-begun"}

// AccessLog writes one line for each request, and the router's own messages. The loop only
// queues the lines, and a goroutine writes them. When the queue is full, lines are dropped and
// counted.
type AccessLog struct {
	access *zap.Logger
	Log    *zap.Logger // the router's own messages
	queue  *asynclog.Queue
}

// NewAccessLog opens the log that the settings name.
func NewAccessLog(settings *config.Settings) (*AccessLog, error) {
	var out io.Writer
	switch settings.Router.AccessLog {
	case "stderr":
		out = os.Stderr
	case "stdout":
		out = os.Stdout
	case "none":
		out = nil
	default:
		file, err := os.OpenFile(settings.Router.AccessLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("edge: access log: %w; name a file that can be written, stderr, stdout or none", err)
		}
		out = file
	}
	return newAccessLog(out, settings.Limits.LogQueue, settings.Router.LogLevel), nil
}

func newAccessLog(out io.Writer, queueLines int, level string) *AccessLog {
	if out == nil {
		return &AccessLog{access: zap.NewNop(), Log: zap.NewNop()}
	}
	queue := asynclog.New(out, queueLines)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), queue, minLevel))
	return &AccessLog{access: logger, Log: logger, queue: queue}
}

// Dropped returns the number of dropped lines.
func (a *AccessLog) Dropped() uint64 {
	if a.queue == nil {
		return 0
	}
	return a.queue.Dropped()
}

// Close writes the queued lines and ends the log.
func (a *AccessLog) Close() {
	if a.queue != nil {
		a.queue.Close()
	}
}

// request logs the end of a request.
func (a *AccessLog) request(request *clientRequest) {
	entry := a.access.Check(zapcore.InfoLevel, "request")
	if entry == nil {
		return
	}
	object := request.spec.Object
	if object == "" {
		object = request.logObject
	}
	fields := [8]zap.Field{zap.String("id", request.id), zap.String("class", request.spec.Class), zap.String("object", object),
		zap.Int("part", request.spec.Part), zap.Int("status", request.status), zap.Int64("bytes", request.sentBytes),
		zap.Float64("ms", float64(int64((request.edge.loop.Now()-request.receivedAt)*1000))/1000), zap.String("end", request.word())}
	if len(request.attempts) == 0 {
		entry.Write(fields[:]...)
		return
	}
	entry.Write(append(fields[:], zap.String("tries", request.attemptList()))...)
}

// word returns the word for why the request ended.
func (r *clientRequest) word() string {
	if r.routeError != nil {
		return r.routeError.Detail
	}
	if r.limitCause != limits.None {
		return r.limitCause.String()
	}
	return r.end.word()
}

// attemptList lists the attempts in their order, each as member<source:result:ms, or as
// member:result:ms for a lookup in the member's own copies.
func (r *clientRequest) attemptList() string {
	var buf [256]byte
	text := buf[:0]
	for i, attempt := range r.attempts {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(text, attempt.cache...)
		if attempt.source != attempt.cache {
			text = append(append(text, '<'), attempt.source...)
		}
		word, took := "open", r.edge.loop.Now()-attempt.sentAt
		if attempt.done {
			word, took = resultWords[attempt.result], attempt.took
		}
		text = append(append(append(text, ':'), word...), ':')
		text = strconv.AppendFloat(text, took, 'f', 1, 64)
	}
	return string(text)
}
