package http1

// Body finds the end of a message's body and takes it out of its framing. The
// zero value is a body that has ended; Start sets it.
type Body struct {
	kind      BodyKind
	remaining int64 // of the length, or of the chunk
	state     chunkState
	lineLen   int // bytes of the chunk line or the trailers so far
	limit     int64
	total     int64
	hasDigit  bool
	inName    bool // in a trailer line: its colon has not come yet
	lineEmpty bool // in a trailer line: nothing has come yet
	extState  byte // in a chunk extension: within a quoted string, 2 after a backslash
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

const (
	maxChunkLineBytes = 4096
	maxTrailerBytes   = 16384
)

// Start begins the body of a message whose head was parsed. More than limit
// bytes are a fault; 0 means no limit.
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

// Done reports whether the whole body was taken.
func (b *Body) Done() bool { return b.state == bodyDone }

// Kind is how the body is framed.
func (b *Body) Kind() BodyKind { return b.kind }

// Total is how many bytes of content were taken so far.
func (b *Body) Total() int64 { return b.total }

// End says that the connection was closed by the peer. It reports whether the
// body is whole.
func (b *Body) End() bool {
	if b.kind == UntilClose {
		b.state = bodyDone
	}
	return b.state == bodyDone
}

// Next takes what stands at the start of buf: it returns how many bytes were
// consumed and the content among them, a slice of buf. Call it until n is 0 or
// the body is done; n of 0 without an error means that more bytes are needed.
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

func (b *Body) count(n int) error {
	if b.total += int64(n); b.limit > 0 && b.total > b.limit {
		return ErrBodyTooLong
	}
	return nil
}

// step takes one byte of the chunked framing (RFC 9112, section 7.1).
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
			b.state, b.extState = chunkExt, 3
		default:
			return ErrChunkSize
		}
	case chunkExt:
		return b.skipExtension(c)
	case chunkSizeLF:
		if c != '\n' {
			return ErrBareLF
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
			return ErrBareLF
		}
		if b.state = trailer; b.lineEmpty {
			b.state = bodyDone
		}
		b.inName, b.lineEmpty = true, true
	}
	return nil
}

// skipExtension skips a chunk extension; quoted strings may hold anything but controls.
func (b *Body) skipExtension(c byte) error {
	switch {
	case b.extState == 3: // white space after the size: an extension or the end must follow
		if c == ';' {
			b.extState = 0
		} else if c != ' ' && c != '\t' {
			return ErrChunkSize
		}
	case c != '\r' && charClasses[c]&valueChar == 0:
		return ErrChunkSize
	case b.extState == 2:
		if c == '\r' {
			return ErrChunkSize
		}
		b.extState = 1
	case b.extState == 1:
		switch c {
		case '\\':
			b.extState = 2
		case '"':
			b.extState = 0
		case '\r':
			return ErrChunkSize
		}
	case c == '"':
		b.extState = 1
	case c == '\r':
		b.state = chunkSizeLF
	}
	return nil
}

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
