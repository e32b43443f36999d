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

// endReason says why a request ended, in a few stable words: docs/operating.md.
type endReason uint8

const (
	endServed     endReason = iota + 1 // a cache's answer, whole
	endRefused                         // the module turned it away
	endFailed                          // the module gave it up
	endBroken                          // the member's answer broke off after it had begun
	endClientGone                      // the client left
	endClientSlow                      // the client took nothing for too long
	endMalformed                       // no valid message
	endNoRoute                         // no class fits
	endHeld                            // as many requests in hand as may be
	endPage                            // a page could not be put together
	endLimit                           // a limit of internal/proxy/limits, which the request names
)

func (w endReason) word() string {
	switch w {
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

var resultWords = [...]string{spool.OK: "ok", spool.Errored: "error", spool.Rejected: "full", spool.TimedOut: "timeout",
	spool.ConnectFailed: "connect-failed", spool.Reset: "reset", spool.Cancelled: "cancelled", spool.NotSent: "moot",
	spool.Miss: "miss", spool.LocalFailure: "not-begun"}

// AccessLog writes one line a request, and the router's own messages, from a
// goroutine of its own: the loop only queues. When the queue is full, lines are
// dropped and counted.
type AccessLog struct {
	access *zap.Logger
	Log    *zap.Logger // the router's own messages
	queue  *asynclog.Queue
}

// NewAccessLog opens the log that the settings name. Close ends it.
func NewAccessLog(settings *config.Settings) (*AccessLog, error) {
	var out io.Writer
	switch settings.Router.Log {
	case "stderr":
		out = os.Stderr
	case "stdout":
		out = os.Stdout
	case "none":
		out = nil
	default:
		file, err := os.OpenFile(settings.Router.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("edge: access log: %w; name a file that can be written, stderr, stdout or none", err)
		}
		out = file
	}
	return newAccessLog(out, settings.Limits.LogQueue, settings.Router.Level), nil
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

// Dropped is how many lines were dropped.
func (a *AccessLog) Dropped() uint64 {
	if a.queue == nil {
		return 0
	}
	return a.queue.Dropped()
}

// Close writes what is queued and ends the log.
func (a *AccessLog) Close() {
	if a.queue != nil {
		a.queue.Close()
	}
}

// request logs a request's end.
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

// word says why the request ended.
func (r *clientRequest) word() string {
	if r.routeError != nil {
		return r.routeError.Detail
	}
	if r.limitCause != limits.None {
		return r.limitCause.String()
	}
	return r.end.word()
}

// attemptList tells each attempt as member<source:result:ms, in their order; a
// look names no source.
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
