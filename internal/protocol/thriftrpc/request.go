package thriftrpc

import (
	"errors"
	"fmt"
	"strconv"

	spool "indigospool"
)

// Request is a call of serve with valid fields.
type Request struct {
	ID             string // 16 hex digits
	Class          string
	IdempotencyKey string  // 32 hex digits for classes with idempotency keys, else empty
	Key            string  // key of the object, 16 hex digits
	ClientTag      string  // entity tag of the client's own copy; empty if it has none
	TimeLeft       float64 // ms until the client's deadline
	Retry          bool    // the client has sent the request before
	Part           int     // part of the object, from 0
	Group          int     // group of objects that are purged together
	Body           []byte
}

const (
	idDigits             = 16
	idempotencyKeyDigits = 32
	maxTagBytes          = 64
	maxPart              = 1 << 16
	maxGroup             = 255
)

// ErrDuplicateID is the error for a request with the id of another one, which is open or was a write
// that may have been executed. The call is answered with Codec.Failed, and the connection stays open.
var ErrDuplicateID = errors.New("thriftrpc: a request with this id is open, or was executed")

// FieldError reports an invalid field of a request. The call is answered with Codec.Failed, and
// the connection stays open.
type FieldError struct {
	Field string // name in the protocol
	Value string
	Want  string // description of the valid values
}

// Error returns a message with the field, its value and the valid values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("thriftrpc: field %s is %.40q, want %s", e.Field, e.Value, e.Want)
}

// ParseRequest validates the fields of a call of serve. class returns the settings of the named
// class, or nil if there is none. The error is a *FieldError.
func ParseRequest(call *Call, class func(name string) *spool.Class) (Request, error) {
	fields := call.Fields
	request := Request{
		ID:             fields["id"],
		Class:          fields["class"],
		IdempotencyKey: fields["once"],
		Key:            fields["key"],
		ClientTag:      fields["seen"],
		Retry:          fields["retry"] == "1",
		Body:           call.Body,
	}
	settings := class(request.Class)
	if field, want := request.check(fields["retry"], settings); field != "" {
		return request, &FieldError{field, fields[field], want}
	}
	if size := len(request.Body); size > MaxWriteBytes || size > 0 && !settings.Write {
		return request, &FieldError{"body", fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d bytes, and only in writes", MaxWriteBytes)}
	}
	wait, err := strconv.ParseUint(fields["wait"], 10, 31)
	if err != nil || wait == 0 || float64(wait) > settings.Deadline+1 {
		return request, &FieldError{"wait", fields["wait"], "whole milliseconds up to the deadline of the class"}
	}
	request.TimeLeft = float64(wait)
	var ok bool
	if request.Part, ok = parseNumber(fields, "slice", maxPart); !ok {
		return request, &FieldError{"slice", fields["slice"], fmt.Sprintf("0 to %d", maxPart)}
	}
	if request.Group, ok = parseNumber(fields, "set", maxGroup); !ok {
		return request, &FieldError{"set", fields["set"], fmt.Sprintf("0 to %d", maxGroup)}
	}
	return request, nil
}

// check returns the first invalid text field and a description of its valid values, or empty
// strings.
func (r *Request) check(retry string, class *spool.Class) (field, want string) {
	switch {
	case !isHex(r.ID, idDigits):
		return "id", "16 hex digits"
	case class == nil:
		return "class", "a class of the settings"
	case !isHex(r.Key, idDigits):
		return "key", "16 hex digits"
	case class.Idempotency == spool.IdempotentByKey && !isHex(r.IdempotencyKey, idempotencyKeyDigits):
		return "once", "32 hex digits, for a class with idempotency keys"
	case class.Idempotency != spool.IdempotentByKey && r.IdempotencyKey != "":
		return "once", "nothing, for a class without idempotency keys"
	case retry != "" && retry != "1":
		return "retry", "1 or nothing"
	case !isTag(r.ClientTag):
		return "seen", "a tag of at most 64 letters and digits"
	}
	return "", ""
}

// parseNumber parses an integer from 0 to limit; a missing field is 0.
func parseNumber(fields map[string]string, name string, limit uint64) (number int, ok bool) {
	text, present := fields[name]
	if !present {
		return 0, true
	}
	value, err := strconv.ParseUint(text, 10, 31)
	return int(value), err == nil && value <= limit
}

// isHex reports whether text has the given number of hex digits, in lower case.
func isHex(text string, digits int) bool {
	if len(text) != digits {
		return false
	}
	for _, b := range []byte(text) {
		if (b < '0' || b > '9') && (b < 'a' || b > 'f') {
			return false
		}
	}
	return true
}

// isTag reports whether text is empty or valid as a tag in a list of fields.
func isTag(text string) bool {
	for _, b := range []byte(text) {
		digit := b >= '0' && b <= '9'
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !digit && !letter && b != '-' && b != '_' {
			return false
		}
	}
	return len(text) <= maxTagBytes
}
