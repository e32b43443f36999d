package configversion

import (
	"crypto/sha256"
	"encoding/hex"
)

// Millis is a time on the caller's clock, or a span of it, in milliseconds.
type Millis = float64

// Version is one numbered configuration. Its JSON is what a process hands to the one
// that takes over from it.
type Version struct {
	Number int64  `json:"Number"`
	Sum    string `json:"Sum"`  // SHA-256 of Body, in hex
	Body   []byte `json:"Body"` // settings as S-expressions
}

// Checksum is the SHA-256 of a body, in hex.
func Checksum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// New makes a version of a body, with its checksum.
func New(number int64, body []byte) Version { return Version{number, Checksum(body), body} }

// Reason is why a version is rejected.
type Reason struct {
	Path   string // inside the configuration, as member/b1/state; empty: the version as such
	What   string // the fault
	Remedy string // what to change; may be empty
}

// String is the reason in one line.
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
