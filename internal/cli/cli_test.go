package cli

import (
	"strings"
	"testing"
)

func TestPrintable(t *testing.T) {
	var b strings.Builder
	if n, err := (printable{&b}).Write([]byte("a\x1b[31m\tb\n\xffc\n")); n != 12 || err != nil || b.String() != "a\\x1b[31m\\tb\n\\xffc\n" {
		t.Errorf("Write returned %d, error %v and wrote %q; want 12 and escapes for \\x1b, \\t and \\xff", n, err, b.String())
	}
}
