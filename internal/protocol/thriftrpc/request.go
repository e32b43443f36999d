package thriftrpc

import (
	"errors"
	"fmt"
	"strconv"

	spool "indigospool"
)

// Request is a call of serve whose fields were found usable.
type Request struct {
	ID, Class, IdempotencyKey, Key, ClientTag string
	TimeLeft                                  float64 // ms from when the client sent it
	Retry                                     bool
	Part, Group                               int
	Body                                      []byte
}

const (
	idDigits   = 16
	onceDigits = 32
	maxTag     = 64
	maxPart    = 1 << 16
	maxGroup   = 255
)

// ParseRequest reads a call's fields for the class that it names. An error names the field at
// fault and what would do; such a call is answered 'failed', its connection is kept.
func ParseRequest(call *Call, class func(name string) *spool.Class) (Request, error) {
	f := call.Fields
	q := Request{ID: f["id"], Class: f["class"], IdempotencyKey: f["once"], Key: f["key"], ClientTag: f["seen"], Body: call.Body}
	bad := func(field, want string) (Request, error) {
		return q, fmt.Errorf("front: %s is %.40q; %s", field, f[field], want)
	}
	c := class(q.Class)
	switch {
	case !hex(q.ID, idDigits):
		return bad("id", "16 hex digits are wanted")
	case c == nil:
		return bad("class", "the settings name no such class")
	case !hex(q.Key, idDigits):
		return bad("key", "16 hex digits are wanted")
	case c.Effect == spool.Guarded && !hex(q.IdempotencyKey, onceDigits):
		return bad("once", "a keyed class needs 32 hex digits")
	case c.Effect != spool.Guarded && q.IdempotencyKey != "":
		return bad("once", "only keyed classes have it")
	case f["retry"] != "" && f["retry"] != "1":
		return bad("retry", "1 or nothing is wanted")
	case !tag(q.ClientTag):
		return bad("seen", "a tag of at most 64 letters and digits is wanted")
	case len(q.Body) > MaxWriteBytes || len(q.Body) > 0 && !c.Write:
		return q, fmt.Errorf("front: a body of %d bytes; only writes bring one, of at most %d", len(q.Body), MaxWriteBytes)
	}
	q.Retry = f["retry"] == "1"
	wait, err := strconv.ParseUint(f["wait"], 10, 31)
	if err != nil || wait == 0 || float64(wait) > c.Deadline+1 {
		return bad("wait", "whole milliseconds up to the class's own are wanted")
	}
	q.TimeLeft = float64(wait)
	var ok bool
	if q.Part, ok = number(f, "slice", maxPart); !ok {
		return bad("slice", "a part's number is wanted")
	}
	if q.Group, ok = number(f, "set", maxGroup); !ok {
		return bad("set", "0 to 255 is wanted")
	}
	return q, nil
}

// number reads a whole number from 0 to most; a field that is absent is 0.
func number(f map[string]string, name string, most uint64) (int, bool) {
	s, ok := f[name]
	if !ok {
		return 0, true
	}
	n, err := strconv.ParseUint(s, 10, 31)
	return int(n), err == nil && n <= most
}

func hex(s string, n int) bool {
	if len(s) != n {
		return false
	}
	for _, b := range []byte(s) {
		if (b < '0' || b > '9') && (b < 'a' || b > 'f') {
			return false
		}
	}
	return true
}

// tag is true of what can stand in a list of fields, or of nothing.
func tag(s string) bool {
	for _, b := range []byte(s) {
		if (b < '0' || b > '9') && (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && b != '-' && b != '_' {
			return false
		}
	}
	return len(s) <= maxTag
}

// What a connection, or a request, is turned down for besides its fields.
var (
	ErrSequence    = errors.New("front: a call's number does not rise")
	ErrTooManyOpen = errors.New("front: over 32 requests open on a connection")
	ErrDuplicateID = errors.New("front: a request of this id is open")
)
