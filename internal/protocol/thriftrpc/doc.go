// Package thriftrpc encodes and decodes the protocol between clients and the router on the
// platform: Thrift's framed transport, with messages of the service Front in the strict binary
// protocol. It validates every field of a request.
//
// It does no I/O, keeps no state between messages and makes no decisions. SplitFrame finds a
// frame, Codec.Parse parses a call, ParseRequest validates its fields, and the other methods
// of Codec encode answers. Its user is internal/proxy/platform (client_input.go);
// docs/platform.md has the rules of the protocol.
package thriftrpc
