package server

import (
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
)

// maxForwardedBytes limits the body of the response to a forwarded write. Bytes that exceed it are
// dropped.
const maxForwardedBytes = 1 << 20

// writeForwarder handles the response to a write that was forwarded to a source. The response is
// not stored.
type writeForwarder struct {
	request *request
	source  *sourceConn
	status  int
	body    []byte
}

// forwardWrite sends a write to the source that the attempt names. It does not if the client has
// closed its connection: a router that has given the attempt up may have sent the write elsewhere,
// long ago if this process was stopped meanwhile.
func (s *Server) forwardWrite(req *request) {
	address := req.attempt.SourceAddress
	if address == "" {
		address = s.cfg.Upstream
	}
	if address == "" || req.fromClient {
		req.respondEmpty(504, fetchheader.CacheStatus{Fwd: "bypass"})
		return
	}
	if eventloop.PeerEnded(req.conn.fd) {
		req.conn.close()
		return
	}
	sourceAttempt := req.attempt
	sourceAttempt.Via, sourceAttempt.Source, sourceAttempt.SourceAddress = s.cfg.Name, "", ""
	message := []byte(req.method + " " + req.target + " HTTP/1.1\r\n")
	message = http1.AppendFieldString(message, "Host", address)
	message = append(message, fetchheader.FillField+": "...)
	message = append(sourceAttempt.Append(message), "\r\n"...)
	for _, name := range []string{"X-Request-Id", fetchheader.IdempotencyKeyField, "Content-Type"} {
		if value := req.header.Get(name); value != "" {
			message = http1.AppendFieldString(message, name, value)
		}
	}
	message = http1.AppendFieldInt(message, "Content-Length", int64(len(req.body)))
	req.forwarder = &writeForwarder{request: req}
	req.forwarder.source = s.sendToSource(address, append(append(message, "\r\n"...), req.body...), req.forwarder)
}

// cancelUnsent is called when the request has ended. If nothing of the write has been sent to the
// source, it never will be.
func (w *writeForwarder) cancelUnsent() {
	if w.source != nil && w.source.handler == w && !w.source.requestStarted {
		w.source.close()
	}
}

func (w *writeForwarder) receiveHead(head *http1.Head) bool {
	w.status = head.Status
	return true
}

func (w *writeForwarder) receiveBody(data []byte) {
	if len(w.body)+len(data) <= maxForwardedBytes {
		w.body = append(w.body, data...)
	}
}

func (w *writeForwarder) finish() {
	if w.request.ended {
		return
	}
	w.request.emit("sent", w.status, 0, 0, false)
	head := http1.AppendStatus(nil, w.status)
	head = http1.AppendFieldString(head, fetchheader.StatusField, fetchheader.CacheStatus{Cache: w.request.server.cfg.Name, Fwd: "bypass"}.String())
	head = http1.AppendFieldString(head, fetchheader.LoadField, w.request.server.loadMetrics())
	head = http1.AppendFieldInt(head, "Content-Length", int64(len(w.body)))
	w.request.conn.writeBuffer = append(append(append(w.request.conn.writeBuffer, head...), "\r\n"...), w.body...)
	w.request.conn.finishRequest()
}

func (w *writeForwarder) fail(_ int, detail string) {
	status := 502
	if detail == fetchheader.NoPlace { // the request was not sent, so the origin has not executed it
		status = 503
	}
	if !w.request.ended {
		w.request.respondEmpty(status, fetchheader.CacheStatus{Fwd: "bypass", Detail: detail})
	}
}
