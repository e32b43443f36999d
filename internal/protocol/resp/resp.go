// Package resp encodes requests and decodes answers of the protocol between routers and caches
// on the platform: RESP arrays of bulk strings. It checks every announced length against a
// limit before callers buffer data for it.
//
// It does no I/O and keeps no state between calls. internal/proxy/platform (answer.go)
// interprets answers; docs/platform.md has the rules of the protocol.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrMalformed is the error for a malformed answer. The connection must be closed, because the
// start of the next answer is unknown.
var ErrMalformed = errors.New("resp: malformed answer")

// MaxBodyBytes is the largest size of the body of an answer.
const MaxBodyBytes = 240000

const (
	minStrings       = 2 // strings in an answer
	maxStrings       = 4
	maxLineBytes     = 16 // line with a count or a length, including the line end
	maxIDBytes       = 64
	maxWordBytes     = 16
	maxFieldsBytes   = 4096
	arrayPrefix      = '*'
	bulkStringPrefix = '$'
	lineEnd          = "\r\n"
	lineEndBytes     = len(lineEnd)
	minLineEnd       = 3 // offset of \n in the shortest line: prefix, digit, \r, \n
)

// Answer is one answer. Its fields are slices of the data that was parsed. Fields and Body are
// nil if the answer has no string for them.
type Answer struct {
	ID     []byte // id of the request
	Word   []byte // result, such as HIT
	Fields []byte // list of names and values, see EachField
	Body   []byte
}

// ReadAnswer parses the first answer in data and returns its size. A size of 0 means that the
// answer is incomplete; want is then a lower bound of its size. The error wraps ErrMalformed.
func ReadAnswer(data []byte) (answer Answer, size, want int, err error) {
	count, offset, err := readLine(data, 0, arrayPrefix)
	if err != nil || offset == 0 {
		return answer, 0, len(data) + 1, err
	}
	if count < minStrings || count > maxStrings {
		return answer, 0, 0, fmt.Errorf("%w: array of %d strings, want %d to %d", ErrMalformed, count, minStrings, maxStrings)
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
			return Answer{}, 0, 0, fmt.Errorf("%w: string %d of %d has %d bytes, want at most %d", ErrMalformed, i+1, count, length, part.max)
		}
		end := from + length
		offset = end + lineEndBytes
		present := data[min(end, len(data)):min(offset, len(data))]
		if string(present) != lineEnd[:len(present)] {
			return Answer{}, 0, 0, fmt.Errorf("%w: string %d of %d: no \\r\\n after its %d bytes", ErrMalformed, i+1, count, length)
		}
		if len(data) < offset {
			return Answer{}, 0, offset, nil
		}
		*part.target = data[from:end]
	}
	return answer, offset, 0, nil
}

// readLine parses a line at data[from:] that consists of prefix and a number. next is the offset
// after the line, or 0 if the line is incomplete.
func readLine(data []byte, from int, prefix byte) (number, next int, err error) {
	line := data[min(from, len(data)):]
	if len(line) > 0 && line[0] != prefix {
		return 0, 0, fmt.Errorf("%w: line starts with %q, want %q", ErrMalformed, line[0], prefix)
	}
	end := bytes.IndexByte(line[:min(len(line), maxLineBytes)], '\n')
	if end < 0 {
		if len(line) >= maxLineBytes {
			return 0, 0, fmt.Errorf("%w: line of more than %d bytes", ErrMalformed, maxLineBytes)
		}
		return 0, 0, nil
	}
	if end < minLineEnd || line[end-1] != '\r' {
		return 0, 0, fmt.Errorf("%w: line without a number or without \\r\\n", ErrMalformed)
	}
	digits := line[1 : end-1]
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, 0, fmt.Errorf("%w: %.12q is not a number", ErrMalformed, digits)
		}
		number = number*10 + int(digit-'0')
	}
	return number, from + end + 1, nil
}

// EachField calls f with each name and value in a list of fields until f returns false. It
// reports whether the part of the list that it parsed is well-formed. "-" is the empty list.
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
