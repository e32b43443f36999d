package thriftrpc

import (
	"errors"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"

	spool "indigospool"
)

// TestAnswerBytes checks the encoding of answers byte for byte, since deployed clients depend
// on it.
func TestAnswerBytes(t *testing.T) {
	codec := NewCodec()
	for _, test := range []struct {
		name  string
		frame []byte
		want  string
	}{
		{"served", codec.Served(7, []byte("xy"), false), "\x00\x00\x00,\x80\x01\x00\x02\x00\x00\x00\x05serve\x00\x00\x00\a" +
			"\f\x00\x00\v\x00\x01\x00\x00\x00\x02xy\r\x00\x02\v\v\x00\x00\x00\x00\x02\x00\x03\x01\x00\x00"},
		{"not modified", NewCodec().Served(7, nil, true), "\x00\x00\x00:\x80\x01\x00\x02\x00\x00\x00\x05serve\x00\x00\x00\a" +
			"\f\x00\x00\v\x00\x01\x00\x00\x00\x00\r\x00\x02\v\v\x00\x00\x00\x01\x00\x00\x00\acurrent\x00\x00\x00\x011\x02\x00\x03\x01\x00\x00"},
		{"well", NewCodec().Health(8, true), "\x00\x00\x00+\x80\x01\x00\x02\x00\x00\x00\x06isWell\x00\x00\x00\b" +
			"\f\x00\x00\v\x00\x01\x00\x00\x00\x00\r\x00\x02\v\v\x00\x00\x00\x00\x02\x00\x03\x01\x00\x00"},
		{"not well", NewCodec().Health(8, false), "\x00\x00\x00+\x80\x01\x00\x02\x00\x00\x00\x06isWell\x00\x00\x00\b" +
			"\f\x00\x00\v\x00\x01\x00\x00\x00\x00\r\x00\x02\v\v\x00\x00\x00\x00\x02\x00\x03\x00\x00\x00"},
		{"rejected", NewCodec().Rejected(9, 0), "\x00\x00\x00\x1f\x80\x01\x00\x02\x00\x00\x00\x05serve\x00\x00\x00\t" +
			"\f\x00\x01\r\x00\x01\v\v\x00\x00\x00\x00\x00\x00"},
		{"rejected for a while", NewCodec().Rejected(9, 1500), "\x00\x00\x000\x80\x01\x00\x02\x00\x00\x00\x05serve\x00\x00\x00\t" +
			"\f\x00\x01\r\x00\x01\v\v\x00\x00\x00\x01\x00\x00\x00\x05after\x00\x00\x00\x041500\x00\x00"},
		{"failed", NewCodec().Failed(10), "\x00\x00\x00\x1f\x80\x01\x00\x02\x00\x00\x00\x05serve\x00\x00\x00\n" +
			"\f\x00\x02\r\x00\x01\v\v\x00\x00\x00\x00\x00\x00"},
		{"unknown method", NewCodec().UnknownMethod("drop", 11), "\x00\x00\x00-\x80\x01\x00\x03\x00\x00\x00\x04drop\x00\x00\x00\v" +
			"\v\x00\x01\x00\x00\x00\x0eunknown method\b\x00\x02\x00\x00\x00\x01\x00"},
	} {
		if string(test.frame) != test.want {
			t.Errorf("%s: %q, want %q", test.name, test.frame, test.want)
		}
	}
}

// TestMethods checks the names of the methods, and that only forget may be sent one way.
func TestMethods(t *testing.T) {
	const call, oneWay = 1, 4
	for _, c := range []struct {
		name string
		kind int32
		want Method
	}{
		{"serve", call, MethodServe}, {"forget", call, MethodForget}, {"forget", oneWay, MethodForget}, {"isWell", call, MethodIsWell},
		{"serve", oneWay, MethodUnknown}, {"isWell", oneWay, MethodUnknown}, {"drop", call, MethodUnknown},
	} {
		got := methodOf(c.name, thrift.TMessageType(c.kind))
		if got != c.want || got != MethodUnknown && got.String() != c.name {
			t.Errorf("%s, type %d: %v, want %v", c.name, c.kind, got, c.want)
		}
	}
	if MethodUnknown.String() != "unknown" {
		t.Error(MethodUnknown.String())
	}
}

// TestFieldError checks that the error for an invalid field has its name, its value and the
// valid values.
func TestFieldError(t *testing.T) {
	call := Call{Fields: map[string]string{"id": "9b1f03aa5c7e2d41", "class": "r", "key": "x"}}
	_, err := ParseRequest(&call, func(string) *spool.Class { return &spool.Class{Deadline: 1000} })
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != "key" || err.Error() != `thriftrpc: field key is "x", want 16 hex digits` {
		t.Errorf("%v", err)
	}
}
