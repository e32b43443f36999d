package platform

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

// resultOf is the result that an answer's word stands for; false: the word is unknown.
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

// wordNotModified answers that the client's own copy is current.
const wordNotModified = "VALID"

// noteOf is what the field 'how' of an answer says; unknown values say nothing.
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
	queuedFor    float64 // ms that the attempt was queued at the member; 0: not said
	hasTag       bool    // it has the entity's tag
	hasIssueTime bool    // it has the time of issue
}

// parseAnswerFields reads a list of fields; false: it is malformed.
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

// read takes what the member has sent, and handles each complete answer.
func (c *memberConn) read() {
	server := c.pool.server
	partial := c.input.Len() > 0 // of an answer, from earlier reads
	buffer := server.readBuffer
	if partial {
		buffer = c.input.Room()
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

// handleAnswers handles the complete answers in data and keeps the rest in input, where
// data is if buffered is set. False: an answer was malformed, and the connection is closed.
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

// handleAnswer finishes the attempt that an answer belongs to and, if the answer is the
// object, answers the client.
func (c *memberConn) handleAnswer(answer resp.Answer) {
	server := c.pool.server
	index := slices.IndexFunc(c.awaiting, func(waiting *attempt) bool { return waiting.request.ID == string(answer.ID) })
	if index < 0 { // a second copy, or nobody's: what follows can be read all the same
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

// failMalformed closes a connection on which an answer cannot be used: that of a, or nil
// where it is unknown whose it is. The attempt ends as an error: it ran, and the member is
// alive. The others that share the connection are cancelled.
func (c *memberConn) failMalformed(a *attempt) {
	if a == nil && len(c.awaiting) > 0 {
		a = c.awaiting[0]
	}
	if a != nil {
		a.finish(spool.Errored, spool.NoteNone, 0)
	}
	c.fail(spool.Cancelled)
}
