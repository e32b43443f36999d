package platform

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

var notesByHow = map[string]spool.Note{"cached": spool.NoteHit, "fetched": spool.NoteFilled,
	"fetched_root": spool.NoteFilledByOrigin, "merged": spool.NoteJoined, "past_fresh": spool.NoteStale,
	"up_refused": spool.NoteSourceRefused, "up_lost": spool.NoteSourceUnreached, "up_empty": spool.NoteSourceLacks,
	"fills_full": spool.NoteNoPlace, "root_failed": spool.NoteOriginFailed}

var resultsByWord = map[string]spool.Result{"HIT": spool.OK, "VALID": spool.OK, "NONE": spool.Miss, "SHED": spool.Full,
	"FAULT": spool.Errored, "LATE": spool.Moot}

// answer carries one answer to the module and, if it is the object, to the client.
func (c *memberConn) handleAnswer(answer resp.Answer) {
	server := c.pool.server
	index := slices.IndexFunc(c.awaiting, func(try *attempt) bool { return try.request.ID == string(answer.ID) })
	if index < 0 { // a second copy, or nobody's: what follows can be read all the same
		server.counts.Unmatched++
		return
	}
	try := c.awaiting[index]
	result, known := resultsByWord[string(answer.Word)]
	note, waited, entity, issued := spool.NoteNone, 0.0, false, false
	readable := resp.EachField(answer.Fields, func(name, value []byte) bool {
		switch string(name) {
		case "how":
			note = notesByHow[string(value)]
		case "delay":
			waited, _ = strconv.ParseFloat(string(value), 64)
		case "entity":
			entity = len(value) > 0
		case "issued":
			_, err := strconv.ParseInt(string(value), 10, 64)
			issued = err == nil
		}
		return true
	})
	notModified := string(answer.Word) == "VALID"
	req := try.request
	if result == spool.Errored || result == spool.Moot {
		server.log.Debug("answer", zap.String("member", c.pool.id), zap.ByteString("word", answer.Word),
			zap.ByteString("fields", answer.Fields), zap.Any("request", req.Request), zap.Any("send", try.decision))
	}
	if !known || !readable || result == spool.OK && !req.write && (!entity || !issued) || notModified && (req.ClientTag == "" || len(answer.Body) > 0) {
		server.counts.Malformed++
		server.log.Debug("answer", zap.String("member", c.pool.id), zap.ByteString("word", answer.Word), zap.ByteString("fields", answer.Fields))
		c.failMalformed(try)
		return
	}
	if result == spool.OK && req.client != nil {
		if server.counts.Served++; notModified {
			server.counts.NotModified++
		}
		client := req.client
		delete(client.open, req.sequence)
		req.client = nil
		client.queue(server.codec.Served(req.sequence, answer.Body, notModified))
		try.finish(result, note, waited)
		client.flush()
		return
	}
	try.finish(result, note, waited)
}

// spoil ends a connection on which an answer can't be used: that of a, or nil where it
// can't be told whose. It ran, and the member is alive. The others that share the
// connection are called off, since it is closed from here.
func (c *memberConn) failMalformed(a *attempt) {
	if a == nil && len(c.awaiting) > 0 {
		a = c.awaiting[0]
	}
	if a != nil {
		a.finish(spool.Errored, spool.NoteNone, 0)
	}
	c.fail(spool.Cancelled)
}

// read takes answers.
func (c *memberConn) read() {
	server := c.pool.server
	buffer := server.readBuffer
	if c.input.Len() > 0 {
		buffer = c.input.Room()
	}
	size, err := server.loop.Read(c.fd, buffer)
	if eventloop.Later(err) {
		return
	}
	if err != nil || size == 0 {
		c.fail(spool.Reset)
		return
	}
	c.lastRead, c.lastUsed = server.loop.Now(), server.loop.Now()
	data, buffered := buffer[:size], c.input.Len() > 0
	if buffered {
		c.input.Filled(size)
		data = c.input.Bytes()
	}
	consumedTotal := 0
	for !c.closed {
		answer, consumed, want, err := resp.ReadAnswer(data[consumedTotal:])
		if err != nil {
			server.counts.Malformed++
			server.log.Debug("answer", zap.String("member", c.pool.id), zap.Error(err))
			c.failMalformed(nil)
			return
		}
		if consumed > 0 {
			c.handleAnswer(answer)
			consumedTotal += consumed
			continue
		}
		rest := data[consumedTotal:]
		if buffered {
			c.input.Take(&server.buffers, consumedTotal)
		} else if len(rest) > 0 {
			c.input.Add(&server.buffers, rest)
		}
		if len(rest) > 0 {
			c.input.Grow(&server.buffers, max(want-len(rest), 1))
		}
		break
	}
	if !c.closed && c.closing && len(c.awaiting)+len(c.queued) == 0 && c.writing == nil {
		c.close()
	}
}
