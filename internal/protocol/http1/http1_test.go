package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestRequests(t *testing.T) {
	long := strings.Repeat("a", 9000)
	for _, c := range []struct {
		name, in string
		err      error
	}{
		{"plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"empty lines first", "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"absolute", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		{"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", nil},
		{"bare LF", "GET /a HTTP/1.1\nHost: h\r\n\r\n", ErrBareCROrLF},
		{"bare LF in fields", "GET /a HTTP/1.1\r\nHost: h\n\r\n", ErrBareCROrLF},
		{"bare CR", "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n", ErrBareCROrLF},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", ErrHostCount},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", ErrHostCount},
		{"bad host", "GET /a HTTP/1.1\r\nHost: h/x\r\n\r\n", ErrHost},
		{"space before colon", "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", ErrFieldName},
		{"fold", "GET /a HTTP/1.1\r\nHost: h\r\n X: y\r\n\r\n", ErrObsFold},
		{"control in value", "GET /a HTTP/1.1\r\nHost: h\r\nX: \x01\r\n\r\n", ErrFieldValue},
		{"lengths differ", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ErrLengthMismatch},
		{"lengths listed", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 2\r\n\r\n", ErrLengthMismatch},
		{"length repeated", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n", nil},
		{"length signed", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n", ErrLength},
		{"length hex", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0x1\r\n\r\n", ErrLength},
		{"length huge", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", ErrLength},
		{"both", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrLengthAndCoding},
		{"gzip", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", ErrCoding},
		{"chunked not last", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", ErrCodingForm},
		{"chunked twice", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrCodingForm},
		{"chunked disguised", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \x0bchunked\r\n\r\n", ErrFieldValue},
		{"chunked in 1.0", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrCodingInHTTP10},
		{"version 2", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", ErrVersion},
		{"version form", "GET /a HTTP/1\r\nHost: h\r\n\r\n", ErrVersionForm},
		{"no version", "GET /a\r\n\r\n", ErrRequestLine},
		{"target with space", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", ErrTarget},
		{"no slash", "GET a HTTP/1.1\r\nHost: h\r\n\r\n", ErrTarget},
		{"connect", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", ErrConnectMethod},
		{"method", "G(T /a HTTP/1.1\r\nHost: h\r\n\r\n", ErrMethod},
		{"method long", strings.Repeat("M", 30) + " /a HTTP/1.1\r\nHost: h\r\n\r\n", ErrMethodTooLong},
		{"target long", "GET /" + long + " HTTP/1.1\r\nHost: h\r\n\r\n", ErrRequestLineTooLong},
		{"target long, unfinished", "GET /" + long, ErrRequestLineTooLong},
		{"head 64 KB", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 65536) + "\r\n\r\n", ErrHeadTooLong},
		{"fields", "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 101) + "\r\n", ErrTooManyFields},
		{"expect other", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 200-ok\r\n\r\n", ErrExpect},
	} {
		var h Head
		n, err := ParseRequest([]byte(c.in), &h, Limits{})
		if err != c.err {
			t.Errorf("%s: error %v, want %v", c.name, err, c.err)
		}
		if err == nil && n != len(c.in) {
			t.Errorf("%s: %d bytes of %d consumed", c.name, n, len(c.in))
		}
	}
}

func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name, in      string
		requestIsHead bool
		body          BodyKind
		err           error
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false, Length, nil},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", false, Length, nil},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", false, Chunked, nil},
		{"to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, NoBody, nil},
		{"204", "HTTP/1.1 204 No Content\r\n\r\n", false, NoBody, nil},
		{"until close", "HTTP/1.1 200 OK\r\n\r\n", false, UntilClose, nil},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", false, 0, ErrLengthMismatch},
		{"length and chunked", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", false, 0, ErrLengthAndCoding},
		{"bare LF", "HTTP/1.1 200 OK\nContent-Length: 5\r\n\r\n", false, 0, ErrBareCROrLF},
		{"garbage", "SSH-2.0-x", false, 0, ErrStatusLine},
		{"status", "HTTP/1.1 2000 OK\r\n\r\n", false, 0, ErrStatusLine},
		{"101", "HTTP/1.1 101 Switching\r\n\r\n", false, 0, ErrUpgradeStatus},
		{"head 64 KB", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 65536), false, 0, ErrHeadTooLong},
	} {
		var h Head
		_, err := ParseResponse([]byte(c.in), &h, Limits{}, c.requestIsHead)
		if err != c.err || err == nil && h.Body != c.body {
			t.Errorf("%s: body %v, error %v, want %v, %v", c.name, h.Body, err, c.body, c.err)
		}
	}
}

// ParseRequest asks for more bytes for every proper prefix of a head, and parses
// the whole head.
func TestPrefixNeedsMoreBytes(t *testing.T) {
	in := []byte("POST /v/1/film/3?x=1 HTTP/1.1\r\nHost: h:80\r\nContent-Length: 3\r\nX-A:  b \r\n\r\n")
	var h Head
	for k := range in {
		if n, err := ParseRequest(in[:k], &h, Limits{}); n != 0 || err != nil {
			t.Fatalf("prefix of %d bytes: %d, %v", k, n, err)
		}
	}
	if n, err := ParseRequest(in, &h, Limits{}); n != len(in) || err != nil || string(h.Get("x-a")) != "b" {
		t.Fatalf("whole head: %d, %v, %q", n, err, h.Get("x-a"))
	}
}

// decode feeds in to b in pieces of step bytes and returns the content and the
// bytes that b did not consume.
func decode(b *Body, in []byte, step int) (out []byte, rest []byte, err error) {
	for len(in) > 0 && !b.Done() {
		part := in[:min(step, len(in))]
		for len(part) > 0 && !b.Done() {
			n, data, err := b.Next(part)
			out = append(out, data...)
			if err != nil || n == 0 {
				return out, in, err
			}
			part, in = part[n:], in[n:]
		}
	}
	return out, in, nil
}

// Chunks written by AppendChunk decode to the same data however the input is
// split, and the bytes after the body are not consumed.
func TestChunksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 300)).Draw(t, "parts")
		var in, want []byte
		for _, p := range parts {
			in, want = AppendChunk(in, p), append(want, p...)
		}
		in = append(in, LastChunk...)
		in = append(in, "GET /next"...)
		var b Body
		b.Start(&Head{Body: Chunked}, 0)
		got, rest, err := decode(&b, in, rapid.IntRange(1, 64).Draw(t, "step"))
		if err != nil || !b.Done() || !bytes.Equal(got, want) || string(rest) != "GET /next" {
			t.Fatalf("got %d bytes of %d, done %v, rest %q, error %v", len(got), len(want), b.Done(), rest, err)
		}
	})
}

func TestChunkErrors(t *testing.T) {
	for _, c := range []struct {
		in  string
		err error
	}{
		{"5\r\nhello\r\n0\r\n\r\n", nil},
		{"5;a=\"x;\\\"y\"\r\nhello\r\n0\r\nT: v\r\n\r\n", nil},
		{"5 ;a\r\nhello\r\n0\r\n\r\n", nil},
		{"\r\n", ErrChunkSize},
		{"x\r\n", ErrChunkSize},
		{"-1\r\n", ErrChunkSize},
		{"0x5\r\n", ErrChunkSize},
		{"5\nhello", ErrChunkSize},
		{"5 6\r\n", ErrChunkSize},
		{"ffffffffffffffffff\r\n", ErrChunkSize},
		{"5\r\nhelloX", ErrChunkEnd},
		{"5\r\nhello\rX", ErrChunkEnd},
		{"5\rX", ErrBareCROrLF},
		{"0\r\nno colon\r\n", ErrTrailer},
		{"0\r\nX\r\n", ErrTrailer},
		{"5;" + strings.Repeat("x", 5000), ErrChunkLineTooLong},
	} {
		var b Body
		b.Start(&Head{Body: Chunked}, 0)
		if _, _, err := decode(&b, []byte(c.in), len(c.in)); err != c.err {
			t.Errorf("%.30q: error %v, want %v", c.in, err, c.err)
		}
	}
}

func TestBodyLimit(t *testing.T) {
	var b Body
	if err := b.Start(&Head{Body: Length, ContentLength: 11}, 10); err != ErrBodyTooLong {
		t.Errorf("length over the limit: %v", err)
	}
	b.Start(&Head{Body: Chunked}, 4)
	if _, _, err := decode(&b, []byte("5\r\nhello\r\n"), 64); err != ErrBodyTooLong {
		t.Errorf("chunks over the limit: %v", err)
	}
}

func TestNoAllocation(t *testing.T) {
	req := []byte("GET /s/7/photo HTTP/1.1\r\nHost: h\r\nAccept: */*\r\nConnection: keep-alive\r\n\r\n")
	res := []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nCache-Status: b; hit\r\n\r\nhello")
	var h Head
	var b Body
	out := make([]byte, 0, 512)
	if n := testing.AllocsPerRun(100, func() {
		ParseRequest(req, &h, Limits{})
		out = AppendRequestLine(out[:0], h.Method, h.Target)
		for _, f := range h.Fields {
			if !HopByHop(f.Name) && !h.ListedInConnection(f.Name) {
				out = AppendField(out, "x", f.Value)
			}
		}
		k, _ := ParseResponse(res, &h, Limits{}, false)
		b.Start(&h, 0)
		b.Next(res[k:])
	}); n > 0 {
		t.Errorf("%v allocations per message, want 0", n)
	}
}

// FuzzRequest compares ParseRequest and Body with net/http, since a request that
// two servers frame differently enables request smuggling. Where both accept a
// request, method, framing and body must be the same. docs/protocol.md lists what
// net/http rejects and this package accepts.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var h Head
		n, err := ParseRequest(in, &h, Limits{})
		if err != nil {
			var fault *ProtocolError
			if !errors.As(err, &fault) || fault.Status < 400 || fault.Status > 505 {
				t.Fatalf("error %v is not a ProtocolError with a status from 400 to 505", err)
			}
			return
		}
		if n == 0 {
			return
		}
		var b Body
		b.Start(&h, 0)
		body, rest, bodyErr := decode(&b, in[n:], 7)
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			return // net/http rejects more URLs and methods; a rejected request smuggles nothing
		}
		if r.Method != string(h.Method) || h.Body == Length && r.ContentLength != h.ContentLength ||
			(h.Body == Chunked) != (len(r.TransferEncoding) > 0) {
			t.Fatalf("parsed as %s, body kind %v, length %d; net/http: %s, %d, %v",
				h.Method, h.Body, h.ContentLength, r.Method, r.ContentLength, r.TransferEncoding)
		}
		if bodyErr == nil && b.Done() {
			reference, err := io.ReadAll(r.Body)
			if err == nil && !bytes.Equal(reference, body) {
				t.Fatalf("body %q; net/http: %q", body, reference)
			}
		}
		_ = rest
	})
}

// FuzzResponse compares ParseResponse and Body with net/http: where both accept a
// response, status and body must be the same.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var h Head
		n, err := ParseResponse(in, &h, Limits{}, false)
		if err != nil || n == 0 {
			return
		}
		var b Body
		b.Start(&h, 0)
		body, _, bodyErr := decode(&b, in[n:], 5)
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(in)), nil)
		if err != nil || h.Status < 200 {
			return
		}
		if r.StatusCode != h.Status {
			t.Fatalf("status %d; net/http: %d", h.Status, r.StatusCode)
		}
		if bodyErr == nil && b.End() {
			reference, err := io.ReadAll(r.Body)
			if err == nil && !bytes.Equal(reference, body) {
				t.Fatalf("body %q; net/http: %q", body, reference)
			}
		}
	})
}

// FuzzChunks checks that chunks decode alike byte by byte and at once, and that
// net/http, where it accepts them, decodes the same data.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("3;x=\"y\"\r\nabc\r\n0\r\nT: v\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var a, b Body
		a.Start(&Head{Body: Chunked}, 0)
		b.Start(&Head{Body: Chunked}, 0)
		bytewise, restA, errA := decode(&a, in, 1)
		atOnce, restB, errB := decode(&b, in, 4096)
		if errA != errB || !bytes.Equal(bytewise, atOnce) || a.Done() != b.Done() || errA == nil && !bytes.Equal(restA, restB) {
			t.Fatalf("byte by byte %q %v %v, at once %q %v %v", bytewise, errA, a.Done(), atOnce, errB, b.Done())
		}
		if errA != nil || !a.Done() {
			return
		}
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		r, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(in))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if reference, err := io.ReadAll(r.Body); err == nil && !bytes.Equal(reference, bytewise) {
			t.Fatalf("body %q; net/http: %q", bytewise, reference)
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	req := []byte("GET /v/7/film/3 HTTP/1.1\r\nHost: edge.example\r\nUser-Agent: x\r\nAccept: */*\r\n\r\n")
	var h Head
	b.ReportAllocs()
	b.SetBytes(int64(len(req)))
	for b.Loop() {
		if _, err := ParseRequest(req, &h, Limits{}); err != nil {
			b.Fatal(err)
		}
	}
}
