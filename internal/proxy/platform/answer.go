package platform

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

// resultOf returns the result for the word of an answer, and false if the word is unknown.
func resultOf(word []byte) (result spool.Result, known bool) {
	switch string(word) {
	case "HIT", wordNotModified:
		return spool.OK, true
	case "NONE":
		return spool.Miss, true
	case "SHED":
		return spool.Rejected, true
	case "FAULT":
		return spool.Errored, true
	case "LATE":
		return spool.NotSent, true
	}
	return 0, false
}

// wordNotModified is the word of an answer that says that the client's own copy is current.
const wordNotModified = "VALID"

// noteOf returns the note for the field 'how' of an answer, or NoteNone if it is unknown.
func noteOf(how []byte) spool.Note {
	switch string(how) {
	case "cached":
		return spool.NoteHit
	case "fetched":
		return spool.NoteFilled
	case "fetched_root":
		return spool.NoteFilledByOrigin
	case "merged":
		return spool.NoteJoined
	case "past_fresh":
		return spool.NoteStale
	case "up_refused":
		return spool.NoteSourceRejected
	case "up_lost":
		return spool.NoteSourceUnreachable
	case "up_empty":
		return spool.NoteSourceMiss
	case "fills_full":
		return spool.NoteNoCapacity
	case "root_failed":
		return spool.NoteOriginFailed
	}
	return spool.NoteNone
}

// answerFields are the fields of an answer that the router uses.
type answerFields struct {
	note         spool.Note
	queuedFor    float64 // ms for which the attempt was queued at the member; 0 if not given
	hasTag       bool    // the field 'entity', the object's entity tag, is set
	hasIssueTime bool    // the field 'issued', the time of issue, is a number
}

// parseAnswerFields parses a list of fields. It returns false if the list is malformed.
func parseAnswerFields(list []byte) (fields answerFields, ok bool) {
	fields.note = spool.NoteNone
	ok = resp.EachField(list, func(name, value []byte) bool {
		switch string(name) {
		case "how":
			fields.note = noteOf(value)
		case "delay":
			fields.queuedFor, _ = strconv.ParseFloat(string(value), 64)
		case "entity":
			fields.hasTag = len(value) > 0
		case "issued":
			_, err := strconv.ParseInt(string(value), 10, 64)
			fields.hasIssueTime = err == nil
		}
		return true
	})
	return fields, ok
}

// read reads the available data and handles each complete answer in it.
func (c *memberConn) read() {
	server := c.pool.server
	partial := c.input.Len() > 0 // input has the first part of an answer
	var buffer []byte
	if partial {
		buffer = c.input.Room()
	} else {
		buffer = server.borrowReadBuffer()
		defer server.returnReadBuffer(buffer)
	}
	size, err := server.loop.Read(c.fd, buffer)
	if eventloop.Retryable(err) {
		return
	}
	if err != nil || size == 0 {
		c.fail(spool.Reset)
		return
	}
	c.lastRead = server.loop.Now()
	c.lastUsed = c.lastRead
	data := buffer[:size]
	if partial {
		c.input.Filled(size)
		data = c.input.Bytes()
	}
	if !c.handleAnswers(data, partial) {
		return
	}
	if !c.closed && c.closing && c.load() == 0 && c.writing == nil {
		c.close()
	}
}

// handleAnswers handles the complete answers in data and keeps the rest in input. buffered
// says that data is input's own memory. It returns false if an answer was malformed, in which
// case it has closed the connection.
func (c *memberConn) handleAnswers(data []byte, buffered bool) bool {
	server := c.pool.server
	consumed := 0
	for !c.closed {
		answer, size, want, err := resp.ReadAnswer(data[consumed:])
		if err != nil {
			server.counts.Malformed++
			server.log.Debug("malformed answer", zap.String("member", c.pool.id), zap.Error(err))
			c.failMalformed(nil)
			return false
		}
		if size > 0 {
			c.handleAnswer(answer)
			consumed += size
			continue
		}
		rest := data[consumed:]
		if buffered {
			c.input.Take(&server.buffers, consumed)
		} else if len(rest) > 0 {
			c.input.Add(&server.buffers, rest)
		}
		if len(rest) > 0 {
			c.input.Grow(&server.buffers, max(want-len(rest), 1))
		}
		break
	}
	return true
}

// handleAnswer finishes the attempt that an answer belongs to. If the answer has the object, or
// says that the client's copy is current, handleAnswer also answers the client.
func (c *memberConn) handleAnswer(answer resp.Answer) {
	server := c.pool.server
	index := slices.IndexFunc(c.awaiting, func(waiting *attempt) bool { return waiting.request.ID == string(answer.ID) })
	if index < 0 { // a duplicate or an unknown id; the connection can still be used
		server.counts.Unmatched++
		return
	}
	attempt := c.awaiting[index]
	req := attempt.request
	result, wordKnown := resultOf(answer.Word)
	fields, fieldsValid := parseAnswerFields(answer.Fields)
	notModified := string(answer.Word) == wordNotModified
	if result == spool.Errored || result == spool.NotSent {
		server.log.Debug("answer without an object", zap.String("member", c.pool.id), zap.ByteString("word", answer.Word),
			zap.ByteString("fields", answer.Fields), zap.Any("request", req.Request), zap.Any("send", attempt.decision))
	}
	unversioned := result == spool.OK && !req.write && (!fields.hasTag || !fields.hasIssueTime)
	unexpectedNotModified := notModified && (req.ClientTag == "" || len(answer.Body) > 0)
	if !wordKnown || !fieldsValid || unversioned || unexpectedNotModified {
		server.counts.Malformed++
		server.log.Debug("malformed answer", zap.String("member", c.pool.id), zap.ByteString("word", answer.Word),
			zap.ByteString("fields", answer.Fields))
		c.failMalformed(attempt)
		return
	}
	if result != spool.OK || req.client == nil {
		attempt.finish(result, fields.note, fields.queuedFor)
		return
	}
	server.counts.Served++
	if notModified {
		server.counts.NotModified++
	}
	client := req.client
	delete(client.open, req.sequence)
	req.client = nil
	client.queue(server.codec.Served(req.sequence, answer.Body, notModified))
	attempt.finish(result, fields.note, fields.queuedFor)
	client.flush()
}

// failMalformed closes the connection because the answer to a is malformed; a is nil if the
// answer could not be read far enough to tell its attempt, and the oldest one is assumed. That
// attempt finishes with Errored, since it was executed and the member is alive. The others on
// the connection are cancelled.
func (c *memberConn) failMalformed(a *attempt) {
	if a == nil && len(c.awaiting) > 0 {
		a = c.awaiting[0]
	}
	if a != nil {
		a.finish(spool.Errored, spool.NoteNone, 0)
	}
	c.fail(spool.Cancelled)
}
