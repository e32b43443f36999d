// Package resp is the protocol between routers and caches on the platform, as bytes in
// memory: RESP arrays of bulk strings. It reads answers and writes requests. Every length is
// bounded before room is made for what it announces.
//
// It does no I/O and keeps nothing between calls. What an answer means for a request is
// decided in internal/proxy/platform (answer.go); docs/platform.md has the protocol's rules.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed is what a connection is closed for: where one answer ends and the next begins
// is no longer known.
var ErrMalformed = errors.New("resp: malformed answer")

// MaxBodyBytes bounds the body of an answer.
const MaxBodyBytes = 240000

const (
	minStrings       = 2 // of an answer
	maxStrings       = 4
	maxLineBytes     = 16 // of a count or a length, with its end
	maxIDBytes       = 64
	maxWordBytes     = 16
	maxFieldsBytes   = 4096
	arrayPrefix      = '*'
	bulkStringPrefix = '$'
	lineEnd          = "\r\n"
	lineEndBytes     = len(lineEnd)
	minLineEnd       = 3 // where the last byte of the shortest line is: a mark, a digit, \r and \n
)

// Answer is one answer. Its strings are parts of the bytes that were read.
type Answer struct {
	ID     []byte // of the request
	Word   []byte // what became of it
	Fields []byte // names and values, see EachField
	Body   []byte
}

// ReadAnswer finds the first complete answer in data, and how many bytes it takes. A size of
// 0 says that more bytes are needed: want in all, as far as that is known. An error wraps
// ErrMalformed.
func ReadAnswer(data []byte) (answer Answer, size, want int, err error) {
	count, offset, err := readLine(data, 0, arrayPrefix)
	if err != nil || offset == 0 {
		return answer, 0, len(data) + 1, err
	}
	if count < minStrings || count > maxStrings {
		return answer, 0, 0, fmt.Errorf("%w: an array of %d strings, want %d to %d", ErrMalformed, count, minStrings, maxStrings)
	}
	strings := [maxStrings]struct {
		target *[]byte
		max    int
	}{
		{&answer.ID, maxIDBytes},
		{&answer.Word, maxWordBytes},
		{&answer.Fields, maxFieldsBytes},
		{&answer.Body, MaxBodyBytes},
	}
	for i, part := range strings[:count] {
		length, from, err := readLine(data, offset, bulkStringPrefix)
		if err != nil || from == 0 {
			return Answer{}, 0, len(data) + 1, err
		}
		if length > part.max {
			return Answer{}, 0, 0, fmt.Errorf("%w: string %d has %d bytes, want at most %d", ErrMalformed, i, length, part.max)
		}
		end := from + length
		offset = end + lineEndBytes
		present := data[min(end, len(data)):min(offset, len(data))]
		if string(present) != lineEnd[:len(present)] {
			return Answer{}, 0, 0, fmt.Errorf("%w: string %d does not end after %d bytes", ErrMalformed, i, length)
		}
		if len(data) < offset {
			return Answer{}, 0, offset, nil
		}
		*part.target = data[from:end]
	}
	return answer, offset, 0, nil
}

// readLine reads a line of a prefix and a number at data[from:]. next is where the line ends,
// and 0 where it is not complete.
func readLine(data []byte, from int, prefix byte) (number, next int, err error) {
	line := data[min(from, len(data)):]
	if len(line) > 0 && line[0] != prefix {
		return 0, 0, fmt.Errorf("%w: %q, want %q", ErrMalformed, line[0], prefix)
	}
	end := bytes.IndexByte(line[:min(len(line), maxLineBytes)], '\n')
	if end < 0 {
		if len(line) >= maxLineBytes {
			return 0, 0, fmt.Errorf("%w: a line of over %d bytes", ErrMalformed, maxLineBytes)
		}
		return 0, 0, nil
	}
	if end < minLineEnd || line[end-1] != '\r' {
		return 0, 0, fmt.Errorf("%w: a line without its number", ErrMalformed)
	}
	digits := line[1 : end-1]
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, 0, fmt.Errorf("%w: %.12q is no length", ErrMalformed, digits)
		}
		number = number*10 + int(digit-'0')
	}
	return number, from + end + 1, nil
}

// EachField calls f with each name and value of a list of fields, until f returns false. It
// reports whether the list is well formed, as far as it was read. "-" is the empty list.
func EachField(list []byte, f func(name, value []byte) bool) bool {
	if len(list) == 0 || len(list) == 1 && list[0] == '-' {
		return true
	}
	for len(list) > 0 {
		field, rest, more := bytes.Cut(list, []byte{','})
		name, value, ok := bytes.Cut(field, []byte{'='})
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

// AppendArray appends an array of bulk strings to dst.
func AppendArray(dst []byte, strings ...[]byte) []byte {
	dst = appendLine(dst, arrayPrefix, len(strings))
	for _, text := range strings {
		dst = appendLine(dst, bulkStringPrefix, len(text))
		dst = append(append(dst, text...), lineEnd...)
	}
	return dst
}

func appendLine(dst []byte, prefix byte, number int) []byte {
	return append(strconv.AppendInt(append(dst, prefix), int64(number), 10), lineEnd...)
}
