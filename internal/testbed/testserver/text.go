package testserver

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Pages and their fragments are text, so that a client can tell from a page that was put
// together which version each piece is of, and whether it is whole. They are known by
// their names: a fragment's is ~NUMBER, a page's NAME~COUNT~OBJECTS~CLASS, which says how
// many fragments of which class it includes, out of how many. The includes of a page are
// the same in all its versions; each but the first may be left out.

// PageName is the name of an object that is a page.
func PageName(name string, fragments, objects int, class string) string {
	return fmt.Sprintf("%s~%d~%d~%s", name, fragments, objects, class)
}

// FragmentName is the name of a fragment.
func FragmentName(n uint64) string { return "~" + strconv.FormatUint(n, 10) }

// isText reports a key whose content is text.
func isText(key string) bool {
	name := key[strings.LastIndexByte(key, '/')+1:]
	if n, ok := strings.CutPrefix(name, "~"); ok {
		_, err := strconv.ParseUint(n, 10, 64)
		return err == nil
	}
	return isPage(key)
}

// isPage reports the key of a page.
func isPage(key string) bool {
	parts := strings.Split(key[strings.LastIndexByte(key, '/')+1:], "~")
	if len(parts) != 4 || parts[0] == "" || parts[3] == "" {
		return false
	}
	_, countErr := strconv.Atoi(parts[1])
	_, objectsErr := strconv.Atoi(parts[2])
	return countErr == nil && objectsErr == nil
}

// text is the content of a key; its length does not depend on the version.
func text(key string, version int64) []byte {
	if !isPage(key) {
		n := 200 + int(mix(seedOf(key, 0))%3000)
		b := fmt.Appendf(make([]byte, 0, n+len(key)+32), "{%s v%010d ", key, version)
		for i := range n {
			b = append(b, 'a'+byte((uint64(version)+uint64(i))%26))
		}
		return append(b, '}')
	}
	b := fmt.Appendf(nil, "[%s v%010d ", key, version)
	for i, f := range Includes(key) {
		b = append(b, `<esi:include src="`...)
		b = append(b, f...)
		if b = append(b, '"'); i > 0 {
			b = append(b, ` onerror="continue"`...)
		}
		b = append(b, "/>"...)
	}
	return append(b, ']')
}

// Includes is the addresses of a page's fragments, in their order.
func Includes(key string) (out []string) {
	parts := strings.Split(key[strings.LastIndexByte(key, '/')+1:], "~")
	if len(parts) != 4 {
		return nil
	}
	count, _ := strconv.Atoi(parts[1])
	objects, _ := strconv.Atoi(parts[2])
	for i := range min(count, 1000) {
		h := mix(seedOf(key, int64(i)+1000))
		n := h % uint64(max(objects, 1))
		n = n * (h >> 32 & 0xff) >> 8 // small numbers are in many pages
		out = append(out, fmt.Sprintf("/%s/%d/%s", parts[3], GroupOf(parts[3]+FragmentName(n)), FragmentName(n)))
	}
	return out
}

// GroupOf is the group of an object, fixed by its name.
func GroupOf(name string) int {
	h := uint32(2166136261)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % textGroups)
}

const textGroups = 32

// Piece is a part of a page as a client has it.
type Piece struct {
	Key     string
	Version int64
	Missing bool // it was left out
	End     int  // where it ends in the body; of the page itself that is the body's end
}

// Pieces reads a page that was put together: first the page itself, then its fragments.
// An error says what is not as it must be: a piece that is not whole, is there twice, out
// of its order, or missing without leave.
func Pieces(key string, body []byte) ([]Piece, error) {
	head := []byte("[" + key + " v")
	if !bytes.HasPrefix(body, head) || len(body) < len(head)+12 {
		return nil, fmt.Errorf("it begins with %.60q", body)
	}
	v, err := strconv.ParseInt(string(body[len(head):len(head)+10]), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("its version: %w", err)
	}
	out := []Piece{{Key: key, Version: v, End: len(body)}}
	rest := body[len(head)+11:]
	for i, f := range Includes(key) {
		head := []byte("{" + f + " v")
		if !bytes.HasPrefix(rest, head) || len(rest) < len(head)+10 {
			if i == 0 {
				return out, fmt.Errorf("its first fragment is missing: %.60q", rest)
			}
			out = append(out, Piece{Key: f, Missing: true})
			continue
		}
		version, err := strconv.ParseInt(string(rest[len(head):len(head)+10]), 10, 64)
		if err != nil {
			return out, fmt.Errorf("fragment %d: its version: %w", i, err)
		}
		want := text(f, version)
		if !bytes.HasPrefix(rest, want) {
			return out, fmt.Errorf("fragment %d, %s, is not whole or not of one version", i, f)
		}
		rest = rest[len(want):]
		out = append(out, Piece{Key: f, Version: version, End: len(body) - len(rest)})
	}
	if string(rest) != "]" {
		return out, fmt.Errorf("behind the last fragment stands %.60q", rest)
	}
	return out, nil
}
