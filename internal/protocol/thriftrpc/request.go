package thriftrpc

import (
	"errors"
	"fmt"
	"strconv"

	spool "indigospool"
)

// Request is a call of serve whose fields were checked.
type Request struct {
	ID             string // 16 hex digits
	Class          string
	IdempotencyKey string // 32 hex digits for the classes that have one, else ""
	Key            string // of the object, 16 hex digits
	ClientTag      string // of the client's own copy; "": it has none
	TimeLeft       float64
	Retry          bool // the client has sent the request before
	Part           int  // of the object, from 0
	Group          int  // of objects that are purged together
	Body           []byte
}

const (
	idDigits             = 16
	idempotencyKeyDigits = 32
	maxTagBytes          = 64
	maxPart              = 1 << 16
	maxGroup             = 255
)

// ErrDuplicateID is the error for a request whose id another open request has. Its call is
// answered by Codec.Failed, and the connection is kept.
var ErrDuplicateID = errors.New("thriftrpc: a request with this id is open")

// FieldError says which field of a request cannot be used. Its call is answered by
// Codec.Failed, and the connection is kept.
type FieldError struct {
	Field string // its name in the protocol
	Value string
	Want  string // what would be accepted
}

// Error names the field, its value and what would be accepted.
func (e *FieldError) Error() string {
	return fmt.Sprintf("thriftrpc: field %s is %.40q, want %s", e.Field, e.Value, e.Want)
}

// ParseRequest checks the fields of a call of serve by the settings of its class, which
// class returns; nil: there is no such class. The error is a *FieldError.
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
		return request, &FieldError{"body", fmt.Sprintf("%d bytes", size), fmt.Sprintf("at most %d, and only of writes", MaxWriteBytes)}
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

// check returns the first text field that cannot be used and what would be accepted, or "".
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

// parseNumber reads a whole number from 0 to most; a field that is absent is 0.
func parseNumber(fields map[string]string, name string, most uint64) (number int, ok bool) {
	text, present := fields[name]
	if !present {
		return 0, true
	}
	value, err := strconv.ParseUint(text, 10, 31)
	return int(value), err == nil && value <= most
}

// isHex reports whether text is so many hex digits, in lower case.
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

// isTag reports whether text can stand in a list of fields, or is empty.
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
