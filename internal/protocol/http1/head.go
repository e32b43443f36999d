// Package http1 parses and writes HTTP/1.1 messages incrementally: it takes
// bytes and returns heads and pieces of bodies. It does no I/O, reads no clock
// and allocates only while Head.Fields grows. What it returns are slices of the
// caller's buffer.
//
// It is strict where RFC 9112 leaves a choice, because an intermediary that
// parses a message differently from the next server on the path enables request
// smuggling (sections 6.3 and 11.2). It accepts no bare LF or CR, no white space
// before a colon, no folded lines, no differing lengths, no length together with
// a transfer coding, and no transfer coding other than a single chunked. Every
// error carries a status. A server sends the status of an invalid request to the
// client; that of an invalid response is not used, and the attempt fails.
// Connections are handled in internal/proxy/httpfront.
package http1

import (
	"bytes"
	"fmt"
)

// Limits bounds the size of a message head. A field that is zero or negative means its default.
type Limits struct {
	Line   int // request or status line without its CRLF, bytes; default 8192
	Head   int // the whole head, bytes; default 32768
	Fields int // number of field lines; default 100
}

func (l Limits) withDefaults() Limits {
	if l.Line <= 0 {
		l.Line = 8192
	}
	if l.Head <= 0 {
		l.Head = 32768
	}
	if l.Fields <= 0 {
		l.Fields = 100
	}
	return l
}

// A ProtocolError reports a message that is invalid or not supported.
type ProtocolError struct {
	Status  int    // status of the response to an invalid request (RFC 9110, section 15)
	Message string // what is wrong with the message
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("http1: %s (status %d)", e.Message, e.Status)
}

// The errors of the parser. They are variables, so that returning one does not allocate.
var (
	ErrRequestLine        = &ProtocolError{400, "malformed request line"}
	ErrMethod             = &ProtocolError{400, "method is not a token"}
	ErrMethodTooLong      = &ProtocolError{501, "method longer than 20 bytes"}
	ErrTarget             = &ProtocolError{400, "request target is malformed, or is not a path, an http or https URI, or * with OPTIONS"}
	ErrRequestLineTooLong = &ProtocolError{414, "request line longer than the limit"}
	ErrVersion            = &ProtocolError{505, "version is not HTTP/1.0 or HTTP/1.1"}
	ErrVersionForm        = &ProtocolError{400, "malformed version"}
	ErrStatusLine         = &ProtocolError{502, "malformed status line"}
	ErrFieldName          = &ProtocolError{400, "field name is not a token, or white space stands before its colon"}
	ErrFieldValue         = &ProtocolError{400, "control character in a field value"}
	ErrObsFold            = &ProtocolError{400, "folded field line"}
	ErrBareCROrLF         = &ProtocolError{400, "CR or LF outside of a CRLF pair"}
	ErrHeadTooLong        = &ProtocolError{431, "head, status line or trailer section longer than its limit"}
	ErrTooManyFields      = &ProtocolError{431, "more field lines than the limit"}
	ErrHostCount          = &ProtocolError{400, "no Host field, or more than one"}
	ErrHost               = &ProtocolError{400, "malformed Host"}
	ErrLength             = &ProtocolError{400, "malformed Content-Length"}
	ErrLengthMismatch     = &ProtocolError{400, "Content-Length values that differ"}
	ErrLengthAndCoding    = &ProtocolError{400, "both Content-Length and Transfer-Encoding"}
	ErrCoding             = &ProtocolError{501, "transfer coding other than chunked"}
	ErrCodingForm         = &ProtocolError{400, "Transfer-Encoding is malformed, is repeated or lists more than one transfer coding"}
	ErrCodingInHTTP10     = &ProtocolError{400, "Transfer-Encoding in an HTTP/1.0 message"}
	ErrExpect             = &ProtocolError{417, "expectation other than 100-continue"}
	ErrUpgradeStatus      = &ProtocolError{502, "status 101 (Switching Protocols), which is not supported"}
	ErrChunkSize          = &ProtocolError{400, "malformed chunk size"}
	ErrChunkLineTooLong   = &ProtocolError{400, "chunk line longer than the limit"}
	ErrChunkEnd           = &ProtocolError{400, "chunk data not followed by CRLF"}
	ErrTrailer            = &ProtocolError{400, "malformed trailer"}
	ErrBodyTooLong        = &ProtocolError{413, "body longer than the limit"}
)

// Field is a field line. Name and Value are slices of the parsed buffer.
type Field struct{ Name, Value []byte }

// BodyKind is the way in which the end of a body is determined (RFC 9112, section 6.3).
type BodyKind uint8

// The kinds of body.
const (
	NoBody     BodyKind = iota
	Length              // by Content-Length
	Chunked             // by the chunked transfer coding
	UntilClose          // by the close of the connection; responses only
)

// Head is a parsed message head. Its slices alias the buffer given to the
// parser and are valid only until that buffer is changed.
type Head struct {
	Method, Target []byte // requests
	Status         int    // responses
	Reason         []byte
	Minor          int // minor version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields         []Field

	Body          BodyKind
	ContentLength int64  // value of Content-Length, also in a response to HEAD; -1: none
	Close         bool   // the connection does not persist after this message
	Expect100     bool   // the client waits for 100 (Continue) before it sends the body
	Host          []byte // nil unless there is exactly one Host field
}

// Reset clears the head for the next message and keeps the memory of Fields.
func (h *Head) Reset() {
	fields := h.Fields[:0]
	*h = Head{Fields: fields, ContentLength: -1}
}

// Get returns the value of the first field with the given name, or nil if there
// is none. The name must be in lower case.
func (h *Head) Get(lower string) []byte {
	for i := range h.Fields {
		if EqualFold(h.Fields[i].Name, lower) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// Has reports whether a field is present. The name must be in lower case.
func (h *Head) Has(lower string) bool {
	for i := range h.Fields {
		if EqualFold(h.Fields[i].Name, lower) {
			return true
		}
	}
	return false
}

// IsHead reports whether the request's method is HEAD.
func (h *Head) IsHead() bool { return string(h.Method) == "HEAD" }

// EqualFold reports whether b equals lower, an ASCII string in lower case, with
// the case of ASCII letters in b ignored.
func EqualFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i := 0; i < len(b); i++ {
		c := b[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// Classes of characters, as bits.
const (
	tokenChar  = 1 << iota // of a token (RFC 9110, section 5.6.2)
	targetChar             // of a request target: visible ASCII
	valueChar              // of a field value: tab and all but control characters
	hostChar               // of a Host value
)

// charClasses holds the classes of each character.
var charClasses = func() (t [256]uint8) {
	for c := 0; c < 256; c++ {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z',
			bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(c)) >= 0:
			t[c] |= tokenChar
		}
		if c > ' ' && c < 0x7f {
			t[c] |= targetChar
		}
		if c == '\t' || c >= ' ' && c != 0x7f {
			t[c] |= valueChar
		}
		if c > ' ' && c < 0x7f && bytes.IndexByte([]byte("/?#@\\\"<>^`{|}"), byte(c)) < 0 {
			t[c] |= hostChar
		}
	}
	return t
}()

// containsOnly reports whether every character of b is of the class.
func containsOnly(b []byte, class uint8) bool {
	for _, c := range b {
		if charClasses[c]&class == 0 {
			return false
		}
	}
	return true
}

// IsToken reports whether b is a token (RFC 9110, section 5.6.2).
func IsToken(b []byte) bool { return len(b) > 0 && containsOnly(b, tokenChar) }

// cutLine returns the line that starts at b[from], without its CRLF, and the
// index after the CRLF. The index is 0 if the end of the line is not yet in b.
func cutLine(b []byte, from int) ([]byte, int, error) {
	i := bytes.IndexByte(b[from:], '\n')
	if i < 0 {
		// a CR followed by anything but LF is rejected at once, not when an LF arrives
		if k := bytes.IndexByte(b[from:], '\r'); k >= 0 && from+k+1 < len(b) {
			return nil, 0, ErrBareCROrLF
		}
		return nil, 0, nil
	}
	if i == 0 || b[from+i-1] != '\r' {
		return nil, 0, ErrBareCROrLF
	}
	line := b[from : from+i-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, 0, ErrBareCROrLF
	}
	return line, from + i + 1, nil
}

// ParseRequest parses a request head at the start of buf into h. It returns the
// number of bytes consumed, or 0 if more bytes are needed. Empty lines before
// the request line are consumed too (RFC 9112, section 2.2), up to 16 bytes.
func ParseRequest(buf []byte, h *Head, lim Limits) (int, error) {
	lim = lim.withDefaults()
	h.Reset()
	start := 0
	for start+1 < len(buf) && buf[start] == '\r' && buf[start+1] == '\n' {
		if start += 2; start > 16 {
			return 0, ErrRequestLine
		}
	}
	requestLine, pos, err := cutLine(buf, start)
	switch {
	case err != nil:
		return 0, err
	case pos == 0 && len(buf)-start > lim.Line, pos-start > lim.Line+2:
		return 0, ErrRequestLineTooLong
	case pos == 0:
		return 0, nil
	}
	if err := h.parseRequestLine(requestLine); err != nil {
		return 0, err
	}
	n, err := h.parseFields(buf, start, pos, lim)
	if n == 0 || err != nil {
		return 0, err
	}
	return n, h.frameRequest()
}

// parseRequestLine sets the method, target and version.
func (h *Head) parseRequestLine(line []byte) error {
	firstSpace := bytes.IndexByte(line, ' ')
	if firstSpace <= 0 {
		return ErrRequestLine
	}
	lastSpace := bytes.LastIndexByte(line, ' ')
	// only one space, or an empty target
	if lastSpace <= firstSpace+1 && lastSpace != firstSpace || lastSpace == firstSpace {
		return ErrRequestLine
	}
	h.Method, h.Target = line[:firstSpace], line[firstSpace+1:lastSpace]
	if !IsToken(h.Method) {
		return ErrMethod
	}
	if len(h.Method) > 20 {
		return ErrMethodTooLong
	}
	if len(h.Target) == 0 || !containsOnly(h.Target, targetChar) {
		return ErrTarget
	}
	var err error
	h.Minor, err = parseVersion(line[lastSpace+1:])
	return err
}

// parseVersion returns the minor version.
func parseVersion(v []byte) (int, error) {
	if len(v) != 8 || string(v[:5]) != "HTTP/" || v[6] != '.' || !isDigit(v[5]) || !isDigit(v[7]) {
		return 0, ErrVersionForm
	}
	if v[5] != '1' || v[7] > '1' {
		return 0, ErrVersion
	}
	return int(v[7] - '0'), nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// ParseResponse parses a response head as ParseRequest parses a request head.
// requestIsHead reports whether the method of the request was HEAD: the response
// then has no body.
func ParseResponse(buf []byte, h *Head, lim Limits, requestIsHead bool) (int, error) {
	lim = lim.withDefaults()
	h.Reset()
	statusLine, pos, err := cutLine(buf, 0)
	switch {
	case err != nil:
		return 0, err
	case pos == 0 && len(buf) > lim.Line, pos > lim.Line+2:
		return 0, ErrHeadTooLong
	case pos == 0:
		// a peer that does not speak HTTP/1 is detected by its first bytes, before a line is complete
		if k := min(len(buf), 7); string(buf[:k]) != "HTTP/1."[:k] {
			return 0, ErrStatusLine
		}
		return 0, nil
	}
	if len(statusLine) < 12 || statusLine[8] != ' ' || !isDigit(statusLine[9]) || !isDigit(statusLine[10]) || !isDigit(statusLine[11]) ||
		len(statusLine) > 12 && statusLine[12] != ' ' {
		return 0, ErrStatusLine
	}
	if h.Minor, err = parseVersion(statusLine[:8]); err != nil {
		return 0, ErrStatusLine
	}
	h.Status = int(statusLine[9]-'0')*100 + int(statusLine[10]-'0')*10 + int(statusLine[11]-'0')
	if h.Status < 100 || h.Status > 599 {
		return 0, ErrStatusLine
	}
	if len(statusLine) > 13 {
		if h.Reason = statusLine[13:]; !containsOnly(h.Reason, valueChar) {
			return 0, ErrStatusLine
		}
	}
	n, err := h.parseFields(buf, 0, pos, lim)
	if n == 0 || err != nil {
		return 0, err
	}
	return n, h.frameResponse(requestIsHead)
}

// parseFields parses the field lines from buf[pos] to the empty line that ends
// the head. The head starts at buf[start]. It returns the index after the head,
// or 0 if more bytes are needed.
func (h *Head) parseFields(buf []byte, start, pos int, lim Limits) (int, error) {
	for {
		if pos-start > lim.Head {
			return 0, ErrHeadTooLong
		}
		line, next, err := cutLine(buf, pos)
		if err != nil {
			return 0, err
		}
		if next == 0 {
			if len(buf)-start > lim.Head {
				return 0, ErrHeadTooLong
			}
			return 0, nil
		}
		if len(line) == 0 {
			return next, nil
		}
		if len(h.Fields) >= lim.Fields {
			return 0, ErrTooManyFields
		}
		f, err := parseFieldLine(line)
		if err != nil {
			return 0, err
		}
		h.Fields = append(h.Fields, f)
		pos = next
	}
}

func parseFieldLine(line []byte) (Field, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, ErrObsFold
	}
	i := bytes.IndexByte(line, ':')
	if i <= 0 || !containsOnly(line[:i], tokenChar) {
		return Field{}, ErrFieldName
	}
	v := trimOWS(line[i+1:])
	if !containsOnly(v, valueChar) {
		return Field{}, ErrFieldValue
	}
	return Field{Name: line[:i], Value: v}, nil
}

// trimOWS removes optional white space (RFC 9110, section 5.6.3) at both ends.
func trimOWS(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// parseFraming evaluates Host, Expect, Connection, Content-Length and
// Transfer-Encoding, in the same way for requests and responses. It reports
// whether the body is chunked.
func (h *Head) parseFraming() (chunked bool, err error) {
	lengths, codings, hosts := 0, 0, 0
	keepAlive, closed := false, false
	for i := range h.Fields {
		f := &h.Fields[i]
		switch len(f.Name) { // compared first, since most fields are none of these
		case 4:
			if EqualFold(f.Name, "host") {
				hosts++
				h.Host = f.Value
			}
		case 6:
			if EqualFold(f.Name, "expect") {
				if !EqualFold(f.Value, "100-continue") {
					return false, ErrExpect
				}
				h.Expect100 = h.Minor > 0
			}
		case 10:
			if EqualFold(f.Name, "connection") {
				EachMember(f.Value, func(m []byte) {
					keepAlive = keepAlive || EqualFold(m, "keep-alive")
					closed = closed || EqualFold(m, "close")
				})
			}
		case 14:
			if EqualFold(f.Name, "content-length") {
				n, err := parseContentLength(f.Value)
				if err != nil {
					return false, err
				}
				if lengths++; lengths > 1 && n != h.ContentLength {
					return false, ErrLengthMismatch
				}
				h.ContentLength = n
			}
		case 17:
			if EqualFold(f.Name, "transfer-encoding") {
				if codings++; codings > 1 {
					return false, ErrCodingForm
				}
				if err := checkCoding(f.Value); err != nil {
					return false, err
				}
			}
		}
	}
	h.Close = closed || h.Minor == 0 && !keepAlive
	if codings > 0 && h.Minor == 0 {
		return false, ErrCodingInHTTP10
	}
	if codings > 0 && lengths > 0 {
		return false, ErrLengthAndCoding
	}
	if hosts != 1 { // checked last: frameResponse ignores this error
		h.Host = nil
		if hosts > 1 {
			return false, ErrHostCount
		}
	}
	return codings > 0, nil
}

// EachMember calls f for each non-empty member of a comma-separated list
// without quoted strings, such as the value of Connection.
func EachMember(list []byte, f func([]byte)) {
	for len(list) > 0 {
		m := list
		if i := bytes.IndexByte(list, ','); i >= 0 {
			m, list = list[:i], list[i+1:]
		} else {
			list = nil
		}
		if m = trimOWS(m); len(m) > 0 {
			f(m)
		}
	}
}

// parseContentLength parses a length, or a list that repeats one length (RFC 9110,
// section 8.6). A length has at most 18 digits, which always fit in an int64.
func parseContentLength(rest []byte) (int64, error) {
	previous, seen := int64(-1), false
	for {
		member, more := rest, false
		if i := bytes.IndexByte(rest, ','); i >= 0 {
			member, rest, more = rest[:i], rest[i+1:], true
		}
		member = trimOWS(member)
		if len(member) == 0 || len(member) > 18 {
			return 0, ErrLength
		}
		var length int64
		for _, c := range member {
			if !isDigit(c) {
				return 0, ErrLength
			}
			length = length*10 + int64(c-'0')
		}
		if seen && length != previous {
			return 0, ErrLengthMismatch
		}
		if previous, seen = length, true; !more {
			return previous, nil
		}
	}
}

// checkCoding checks that the value of Transfer-Encoding is chunked alone.
func checkCoding(v []byte) error {
	if EqualFold(v, "chunked") {
		return nil
	}
	if bytes.IndexByte(v, ',') >= 0 || !IsToken(v) {
		return ErrCodingForm
	}
	return ErrCoding
}

// frameRequest checks Host and the form of the target, and sets how the body is
// framed.
func (h *Head) frameRequest() error {
	chunked, err := h.parseFraming()
	if err != nil {
		return err
	}
	if h.Minor > 0 && !h.Has("host") {
		return ErrHostCount
	}
	if !containsOnly(h.Host, hostChar) {
		return ErrHost
	}
	switch {
	case chunked:
		h.Body = Chunked
	case h.ContentLength > 0:
		h.Body = Length
	}
	if h.Body == NoBody {
		h.Expect100 = false
	}
	switch c := h.Target[0]; {
	case c == '/', c == '*' && len(h.Target) == 1 && string(h.Method) == "OPTIONS": // origin form or asterisk form
	case string(h.Method) == "CONNECT":
		return ErrConnectMethod
	case bytes.HasPrefix(h.Target, []byte("http://")), bytes.HasPrefix(h.Target, []byte("https://")): // absolute form
	default:
		return ErrTarget
	}
	return nil
}

// ErrConnectMethod reports a CONNECT request whose target is not a path.
var ErrConnectMethod = &ProtocolError{501, "CONNECT is not supported"}

// frameResponse sets how the body of a response is framed.
func (h *Head) frameResponse(requestIsHead bool) error {
	chunked, err := h.parseFraming()
	if invalid, ok := err.(*ProtocolError); ok {
		// More than one Host field is ignored, since Host has no meaning in a response.
		// parseFraming checks it last, so the other fields are valid.
		if invalid == ErrHostCount {
			chunked, err = h.Has("transfer-encoding"), nil
		} else {
			return err
		}
	}
	switch {
	case h.Status == 101: // Upgrade is a hop-by-hop field and is never forwarded
		return ErrUpgradeStatus
	case h.Status < 200, h.Status == 204, h.Status == 304, requestIsHead:
		h.Body = NoBody
	case chunked:
		h.Body = Chunked
	case h.ContentLength >= 0:
		if h.Body = Length; h.ContentLength == 0 {
			h.Body = NoBody
		}
	default:
		h.Body, h.Close = UntilClose, true
	}
	return nil
}

// Path returns the path and query of the target. For a target in absolute form,
// this is the part from the first slash after the scheme's "://", or "/" if there
// is none. The target * is returned unchanged.
func (h *Head) Path() []byte {
	t := h.Target
	if len(t) > 0 && t[0] == '/' {
		return t
	}
	if i := bytes.Index(t, []byte("://")); i >= 0 {
		if k := bytes.IndexByte(t[i+3:], '/'); k >= 0 {
			return t[i+3+k:]
		}
		return rootPath
	}
	return t
}

var rootPath = []byte("/")
