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

// endWord says why a request ended, in a few stable words: docs/operating.md.
type endWord uint8

const (
	endServed     endWord = iota + 1 // a cache's answer, whole
	endRefused                       // the module turned it away
	endFailed                        // the module gave it up
	endBroken                        // the member's answer broke off after it had begun
	endClientGone                    // the client left
	endClientSlow                    // the client took nothing for too long
	endMalformed                     // no valid message
	endNoRoute                       // no class fits
	endHeld                          // as many requests in hand as may be
	endPage                          // a page could not be put together
	endLimit                         // a limit of internal/proxy/limits, which the request names
)

func (w endWord) word() string {
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
	q      *asynclog.Queue
}

// NewAccessLog opens the log that the settings name. Close ends it.
func NewAccessLog(s *config.Settings) (*AccessLog, error) {
	var w io.Writer
	switch s.Router.Log {
	case "stderr":
		w = os.Stderr
	case "stdout":
		w = os.Stdout
	case "none":
		w = nil
	default:
		f, err := os.OpenFile(s.Router.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("edge: access log: %w; name a file that can be written, stderr, stdout or none", err)
		}
		w = f
	}
	return newAccessLog(w, s.Limits.LogQueue, s.Router.Level), nil
}

func newAccessLog(w io.Writer, lines int, level string) *AccessLog {
	if w == nil {
		return &AccessLog{access: zap.NewNop(), Log: zap.NewNop()}
	}
	q := asynclog.New(w, lines)
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		lv = zapcore.InfoLevel
	}
	l := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), q, lv))
	return &AccessLog{access: l, Log: l, q: q}
}

// Dropped is how many lines were dropped.
func (a *AccessLog) Dropped() uint64 {
	if a.q == nil {
		return 0
	}
	return a.q.Dropped()
}

// Close writes what is queued and ends the log.
func (a *AccessLog) Close() {
	if a.q != nil {
		a.q.Close()
	}
}

// request logs a request's end.
func (a *AccessLog) request(r *request) {
	ce := a.access.Check(zapcore.InfoLevel, "request")
	if ce == nil {
		return
	}
	object := r.q.Object
	if object == "" {
		object = r.path
	}
	fields := [8]zap.Field{zap.String("id", r.id), zap.String("class", r.q.Class), zap.String("object", object),
		zap.Int("part", r.q.Part), zap.Int("status", r.status), zap.Int64("bytes", r.sent),
		zap.Float64("ms", float64(int64((r.e.l.Now()-r.at)*1000))/1000), zap.String("end", r.word())}
	if len(r.tries) == 0 {
		ce.Write(fields[:]...)
		return
	}
	ce.Write(append(fields[:], zap.String("tries", r.attempts()))...)
}

// word says why the request ended.
func (r *request) word() string {
	if r.turned != nil {
		return r.turned.Detail
	}
	if r.cause != limits.None {
		return r.cause.String()
	}
	return r.why.word()
}

// attempts tells each attempt as member<source:result:ms, in their order; a
// look names no source.
func (r *request) attempts() string {
	var buf [256]byte
	b := buf[:0]
	for i, t := range r.tries {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, t.cache...)
		if t.source != t.cache {
			b = append(append(b, '<'), t.source...)
		}
		word, took := "open", r.e.l.Now()-t.sentAt
		if t.done {
			word, took = resultWords[t.result], t.took
		}
		b = append(append(append(b, ':'), word...), ':')
		b = strconv.AppendFloat(b, took, 'f', 1, 64)
	}
	return string(b)
}
