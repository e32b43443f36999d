package http1

import "strconv"

// AppendStatus appends an HTTP/1.1 status line.
func AppendStatus(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, StatusText(status)...)
	return append(dst, "\r\n"...)
}

// AppendRequestLine appends an HTTP/1.1 request line.
func AppendRequestLine(dst, method, target []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	return append(dst, " HTTP/1.1\r\n"...)
}

// AppendField appends a field line.
func AppendField(dst []byte, name string, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendFieldString appends a field line whose value is a string.
func AppendFieldString(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendFieldInt appends a field line whose value is an integer.
func AppendFieldInt(dst []byte, name string, value int64) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = strconv.AppendInt(dst, value, 10)
	return append(dst, "\r\n"...)
}

// AppendChunk appends a chunk. It appends nothing if data is empty, since an
// empty chunk would end the body.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = strconv.AppendUint(dst, uint64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// LastChunk is the end of a chunked body without trailers.
const LastChunk = "0\r\n\r\n"

// HopByHop reports whether a field applies to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1). The caller also drops the fields that
// Connection lists; see ListedInConnection.
func HopByHop(name []byte) bool {
	switch len(name) {
	case 2:
		return EqualFold(name, "te")
	case 7:
		return EqualFold(name, "trailer") || EqualFold(name, "upgrade")
	case 10:
		return EqualFold(name, "connection") || EqualFold(name, "keep-alive")
	case 16:
		return EqualFold(name, "proxy-connection")
	case 17:
		return EqualFold(name, "transfer-encoding")
	case 18:
		return EqualFold(name, "proxy-authenticate")
	case 19:
		return EqualFold(name, "proxy-authorization")
	}
	return false
}

// ListedInConnection reports whether a Connection field of the head lists the
// field with the given name.
func (h *Head) ListedInConnection(name []byte) bool {
	for i := range h.Fields {
		if len(h.Fields[i].Name) != 10 || !EqualFold(h.Fields[i].Name, "connection") {
			continue
		}
		list := h.Fields[i].Value
		for len(list) > 0 {
			m := list
			k := 0
			for k < len(list) && list[k] != ',' {
				k++
			}
			if m, list = list[:k], list[min(k+1, len(list)):]; equalTokens(trimOWS(m), name) {
				return true
			}
		}
	}
	return false
}

// equalTokens compares two tokens with the case of letters ignored.
func equalTokens(a, b []byte) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i]|0x20 != b[i]|0x20 { // folds letters; of the other token characters, only ^ and ~ become equal
			return false
		}
	}
	return true
}

// StatusText returns the registered reason phrase of a status, or "Status" for a
// status that is not listed here.
func StatusText(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 204:
		return "No Content"
	case 206:
		return "Partial Content"
	case 301:
		return "Moved Permanently"
	case 302:
		return "Found"
	case 304:
		return "Not Modified"
	case 400:
		return "Bad Request"
	case 403:
		return "Forbidden"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 411:
		return "Length Required"
	case 413:
		return "Content Too Large"
	case 414:
		return "URI Too Long"
	case 416:
		return "Range Not Satisfiable"
	case 417:
		return "Expectation Failed"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}
