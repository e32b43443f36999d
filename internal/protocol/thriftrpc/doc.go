// Package thriftrpc is the protocol between clients and the router on the platform, as bytes
// in memory: frames of Thrift's framed transport, and messages of the service Front in the
// strict binary protocol. Every field of a request is checked before anything else sees it.
//
// It does no I/O, keeps nothing between messages and decides nothing. SplitFrame finds a
// frame, Codec.Parse reads a call, ParseRequest checks its fields, and Codec's other methods
// write the answers. Their caller is internal/proxy/platform (client_input.go); the rules of
// the protocol are in docs/platform.md.
package thriftrpc
