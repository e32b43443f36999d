// Package discovery is the platform's discovery stream as bytes in memory: its frames, and
// the events that a configuration brings along, become changes of the endpoint list and
// purges, each once and in the order of their numbers.
//
// It does no I/O and has no clock. Decoder owns the number of the last event, drops repeats
// and reports gaps; internal/proxy/platform (discovery_stream.go) connects, and resumes from
// that number. docs/platform.md has the rules of the stream.
package discovery
