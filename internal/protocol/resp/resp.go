// Package resp is the platform's protocol between routers and caches as bytes in
// memory: RESP arrays of bulk strings. It reads answers, writes requests, and bounds
// every length before room for it is made.
//
// It does no I/O and keeps nothing between calls. What an answer means for a request
// is internal/proxy/platform's to tell the module.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed is what a connection is closed for: where one answer ends and the next
// begins is no longer known.
var ErrMalformed = errors.New("resp: spoilt answer")

// MaxBodyBytes bounds an answer's bytes.
const MaxBodyBytes = 240000

const (
	maxHead   = 16 // bytes of a line with a count or a length, with its end
	maxAnswer = 4  // strings of an answer
)

// most bounds the strings of an answer by their places: id, word, fields, body.
var most = [maxAnswer]int{64, 16, 4096, MaxBodyBytes}

// Answer is one answer. Its strings are parts of the bytes that were read.
type Answer struct{ ID, Word, Fields, Body []byte }

// ReadAnswer finds the first whole answer in b, and how many bytes it takes. With a size of
// 0 it needs more: want bytes in all, as far as that is known.
func ReadAnswer(b []byte) (a Answer, size, want int, err error) {
	count, at, err := head(b, 0, '*')
	if err != nil || at == 0 {
		return a, 0, len(b) + 1, err
	}
	if count < 2 || count > maxAnswer {
		return a, 0, 0, fmt.Errorf("%w: an array of %d strings; 2 to %d are taken", ErrMalformed, count, maxAnswer)
	}
	var s [maxAnswer][]byte
	for i := range count {
		n, from, err := head(b, at, '$')
		if err != nil || from == 0 {
			return a, 0, len(b) + 1, err
		}
		if n > most[i] {
			return a, 0, 0, fmt.Errorf("%w: string %d has %d bytes; %d are taken", ErrMalformed, i, n, most[i])
		}
		end := from + n
		if len(b) < end+2 {
			if len(b) > end && b[end] != '\r' {
				return a, 0, 0, fmt.Errorf("%w: string %d does not end where it said", ErrMalformed, i)
			}
			return a, 0, end + 2, nil
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return a, 0, 0, fmt.Errorf("%w: string %d does not end where it said", ErrMalformed, i)
		}
		s[i], at = b[from:end], end+2
	}
	return Answer{ID: s[0], Word: s[1], Fields: s[2], Body: s[3]}, at, 0, nil
}

// head reads a line of a mark and a number at b[from:]; next is 0 where it is not whole.
func head(b []byte, from int, mark byte) (n, next int, err error) {
	line := b[min(from, len(b)):]
	if len(line) > 0 && line[0] != mark {
		return 0, 0, fmt.Errorf("%w: %q where %q belongs", ErrMalformed, line[0], mark)
	}
	end := bytes.IndexByte(line[:min(len(line), maxHead)], '\n')
	if end < 0 {
		if len(line) >= maxHead {
			return 0, 0, fmt.Errorf("%w: a line that does not end", ErrMalformed)
		}
		return 0, 0, nil
	}
	if end < 3 || line[end-1] != '\r' {
		return 0, 0, fmt.Errorf("%w: a line without its number", ErrMalformed)
	}
	for _, d := range line[1 : end-1] {
		if d < '0' || d > '9' {
			return 0, 0, fmt.Errorf("%w: %.12q is no length", ErrMalformed, line[1:end-1])
		}
		n = n*10 + int(d-'0')
	}
	return n, from + end + 1, nil
}

// EachField calls f with each name and value of a list of fields, until f returns false.
// It reports whether the list could be read.
func EachField(list []byte, f func(name, value []byte) bool) bool {
	if len(list) == 0 || len(list) == 1 && list[0] == '-' {
		return true
	}
	for len(list) > 0 {
		item, rest, more := bytes.Cut(list, []byte{','})
		name, value, ok := bytes.Cut(item, []byte{'='})
		if !ok || len(name) == 0 || more && len(rest) == 0 {
			return false
		}
		if !f(name, value) {
			return true
		}
		list = rest
	}
	return true
}

// AppendArray appends an array of bulk strings.
func AppendArray(dst []byte, words ...[]byte) []byte {
	dst = line(dst, '*', len(words))
	for _, w := range words {
		dst = line(dst, '$', len(w))
		dst = append(append(dst, w...), '\r', '\n')
	}
	return dst
}

func line(dst []byte, mark byte, n int) []byte {
	return append(strconv.AppendInt(append(dst, mark), int64(n), 10), '\r', '\n')
}
