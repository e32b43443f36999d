package http1

// Body decodes the framing of a message body and finds its end. Start must be
// called before the first call of Next.
type Body struct {
	kind      BodyKind
	remaining int64 // bytes left of Content-Length or of the chunk; the chunk size while it is parsed
	state     chunkState
	lineLen   int   // bytes so far of the chunk line or of the trailer section
	limit     int64 // maximum bytes of content; 0: no limit
	total     int64 // bytes of content so far
	hasDigit  bool  // the chunk size has a digit
	inName    bool  // no colon so far in the trailer line
	lineEmpty bool  // no character so far in the trailer line
	extState  byte  // position in a chunk extension
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExt
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailer
	trailerLF
	bodyDone
)

// Positions in a chunk extension.
const (
	extUnquoted byte = iota
	extQuoted        // in a quoted string
	extEscaped       // after a backslash in a quoted string
	extExpected      // after white space behind the chunk size, which only an extension may follow
)

const (
	maxChunkLineBytes = 4096  // chunk size and extensions
	maxTrailerBytes   = 16384 // all trailer lines
)

// Start prepares b for the body of the message whose head is h. A body with more
// than limit bytes of content is an error; 0 means no limit.
func (b *Body) Start(h *Head, limit int64) error {
	*b = Body{kind: h.Body, limit: limit, state: bodyDone}
	switch h.Body {
	case Length:
		b.remaining, b.state = h.ContentLength, chunkData
		if limit > 0 && b.remaining > limit {
			return ErrBodyTooLong
		}
	case Chunked:
		b.state = chunkSize
	case UntilClose:
		b.state = chunkData
	}
	return nil
}

// Done reports whether the end of the body was reached. If the message has no body,
// that is so after Start.
func (b *Body) Done() bool { return b.state == bodyDone }

// Kind returns the way in which the body is framed.
func (b *Body) Kind() BodyKind { return b.kind }

// Total returns the number of bytes of content decoded so far.
func (b *Body) Total() int64 { return b.total }

// End records that the peer closed the connection. It reports whether the body
// is complete.
func (b *Body) End() bool {
	if b.kind == UntilClose {
		b.state = bodyDone
	}
	return b.state == bodyDone
}

// Next decodes bytes at the start of buf. It returns the number of bytes consumed
// and the content among them, a slice of buf. It is called until n is 0 or the
// body is done; an n of 0 without an error means that more bytes are needed.
func (b *Body) Next(buf []byte) (n int, data []byte, err error) {
	if b.state == bodyDone || len(buf) == 0 {
		return 0, nil, nil
	}
	switch b.kind {
	case Length:
		n = int(min(int64(len(buf)), b.remaining))
		if b.remaining -= int64(n); b.remaining == 0 {
			b.state = bodyDone
		}
		return n, buf[:n], b.count(n)
	case UntilClose:
		return len(buf), buf, b.count(len(buf))
	}
	for n < len(buf) {
		if b.state == chunkData {
			k := int(min(int64(len(buf)-n), b.remaining))
			if b.remaining -= int64(k); b.remaining == 0 {
				b.state = chunkDataCR
			}
			return n + k, buf[n : n+k], b.count(k)
		}
		c := buf[n]
		n++
		if err := b.step(c); err != nil {
			return n, nil, err
		}
		if b.state == bodyDone {
			break
		}
	}
	return n, nil, nil
}

// count adds n bytes of content and checks the limit.
func (b *Body) count(n int) error {
	if b.total += int64(n); b.limit > 0 && b.total > b.limit {
		return ErrBodyTooLong
	}
	return nil
}

// step decodes a byte of the chunked framing (RFC 9112, section 7.1).
func (b *Body) step(c byte) error {
	if b.lineLen++; b.state != trailer && b.state != trailerLF && b.lineLen > maxChunkLineBytes {
		return ErrChunkLineTooLong
	}
	switch b.state {
	case chunkSize:
		d, ok := hexDigit(c)
		switch {
		case ok:
			if b.remaining > 1<<55 {
				return ErrChunkSize
			}
			b.remaining, b.hasDigit = b.remaining<<4|int64(d), true
		case !b.hasDigit:
			return ErrChunkSize
		case c == '\r':
			b.state = chunkSizeLF
		case c == ';':
			b.state = chunkExt
		case c == ' ' || c == '\t': // only before an extension
			b.state, b.extState = chunkExt, extExpected
		default:
			return ErrChunkSize
		}
	case chunkExt:
		return b.skipExtension(c)
	case chunkSizeLF:
		if c != '\n' {
			return ErrBareCROrLF
		}
		b.lineLen, b.hasDigit = 0, false
		if b.state = chunkData; b.remaining == 0 {
			b.state, b.inName, b.lineEmpty = trailer, true, true
		}
	case chunkDataCR:
		if c != '\r' {
			return ErrChunkEnd
		}
		b.state = chunkDataLF
	case chunkDataLF:
		if c != '\n' {
			return ErrChunkEnd
		}
		b.state, b.lineLen = chunkSize, 0
	case trailer:
		if b.lineLen > maxTrailerBytes {
			return ErrHeadTooLong
		}
		switch {
		case c == '\r':
			if !b.lineEmpty && b.inName {
				return ErrTrailer
			}
			b.state = trailerLF
		case c == ':' && !b.lineEmpty:
			b.inName, b.lineEmpty = false, false
		case b.inName && charClasses[c]&tokenChar == 0, !b.inName && charClasses[c]&valueChar == 0:
			return ErrTrailer
		default:
			b.lineEmpty = false
		}
	case trailerLF:
		if c != '\n' {
			return ErrBareCROrLF
		}
		if b.state = trailer; b.lineEmpty {
			b.state = bodyDone
		}
		b.inName, b.lineEmpty = true, true
	}
	return nil
}

// skipExtension skips a byte of a chunk extension. Control characters other than
// tab are errors, also in quoted strings.
func (b *Body) skipExtension(c byte) error {
	switch {
	case b.extState == extExpected:
		if c == ';' {
			b.extState = extUnquoted
		} else if c != ' ' && c != '\t' {
			return ErrChunkSize
		}
	case c != '\r' && charClasses[c]&valueChar == 0:
		return ErrChunkSize
	case b.extState == extEscaped:
		if c == '\r' {
			return ErrChunkSize
		}
		b.extState = extQuoted
	case b.extState == extQuoted:
		switch c {
		case '\\':
			b.extState = extEscaped
		case '"':
			b.extState = extUnquoted
		case '\r':
			return ErrChunkSize
		}
	case c == '"':
		b.extState = extQuoted
	case c == '\r':
		b.state = chunkSizeLF
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
