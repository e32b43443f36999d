// Package discovery decodes the platform's discovery stream and the events that a configuration
// already contains. The events are updates of the endpoint list and purges. Each is delivered
// once, in the order of the event numbers.
//
// It does no I/O and has no clock. Decoder keeps the number of the last event, drops repeated
// events and reports gaps. internal/proxy/platform (discovery_stream.go) connects to the server
// and resumes after that number. docs/platform.md has the rules of the stream.
package discovery
