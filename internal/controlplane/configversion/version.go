package configversion

import (
	"crypto/sha256"
	"encoding/hex"
)

// Millis is a time on the caller's clock, or a duration, in milliseconds.
type Millis = float64

// Version is one numbered configuration. A router passes it as JSON to its successor in
// a hot restart.
type Version struct {
	Number int64  `json:"Number"`
	Sum    string `json:"Sum"`  // SHA-256 of Body, in hex
	Body   []byte `json:"Body"` // settings as S-expressions
}

// Checksum returns the SHA-256 of a body, in hex.
func Checksum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// New returns a version with the given number and body, and its checksum.
func New(number int64, body []byte) Version { return Version{number, Checksum(body), body} }

// Reason states why a version is rejected.
type Reason struct {
	Path   string // in the configuration, such as member/b1/state; empty: the whole version
	What   string // what is wrong
	Remedy string // what to change; may be empty
}

// String returns the reason as one line.
func (r Reason) String() string {
	text := r.What
	if r.Path != "" {
		text = r.Path + ": " + text
	}
	if r.Remedy != "" {
		text += "; " + r.Remedy
	}
	return text
}
