package testserver

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Pages and their fragments are text, so that a client can tell from an assembled page which
// version each piece has and whether it is complete. Their names identify them: a fragment's is
// ~NUMBER, a page's NAME~COUNT~OBJECTS~CLASS. COUNT is the number of fragments that the page
// includes, CLASS their class, and OBJECTS the number of fragments in the class. All versions of
// a page include the same fragments. The first one is mandatory, the others are optional.

// PageName returns the name of a page.
func PageName(name string, fragments, objects int, class string) string {
	return fmt.Sprintf("%s~%d~%d~%s", name, fragments, objects, class)
}

// FragmentName returns the name of a fragment.
func FragmentName(n uint64) string { return "~" + strconv.FormatUint(n, 10) }

// isText reports whether the content of a key is text, which is so for pages and fragments.
func isText(key string) bool {
	name := key[strings.LastIndexByte(key, '/')+1:]
	if n, ok := strings.CutPrefix(name, "~"); ok {
		_, err := strconv.ParseUint(n, 10, 64)
		return err == nil
	}
	return isPage(key)
}

// isPage reports whether a key is that of a page.
func isPage(key string) bool {
	parts := strings.Split(key[strings.LastIndexByte(key, '/')+1:], "~")
	if len(parts) != 4 || parts[0] == "" || parts[3] == "" {
		return false
	}
	_, countErr := strconv.Atoi(parts[1])
	_, objectsErr := strconv.Atoi(parts[2])
	return countErr == nil && objectsErr == nil
}

// text returns the content of a page or fragment. Its length does not depend on the version.
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

// Includes returns the keys of a page's fragments, in the order of the page.
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
		n = n * (h >> 32 & 0xff) >> 8 // favors small numbers, so that some fragments are in many pages
		out = append(out, fmt.Sprintf("/%s/%d/%s", parts[3], GroupOf(parts[3]+FragmentName(n)), FragmentName(n)))
	}
	return out
}

// GroupOf returns the group of an object, which its name determines.
func GroupOf(name string) int {
	h := uint32(2166136261)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % textGroups)
}

const textGroups = 32

// Piece is a part of an assembled page: the page itself or a fragment.
type Piece struct {
	Key     string
	Version int64
	Missing bool // the fragment was omitted
	End     int  // offset of its end in the body; for the page itself, the length of the body
}

// Pieces parses an assembled page. It returns the page itself and then its fragments. It fails if
// a piece is incomplete, repeated or out of order, or if the mandatory fragment is missing.
func Pieces(key string, body []byte) ([]Piece, error) {
	head := []byte("[" + key + " v")
	if !bytes.HasPrefix(body, head) || len(body) < len(head)+12 {
		return nil, fmt.Errorf("page does not start with its key and version: %.60q", body)
	}
	v, err := strconv.ParseInt(string(body[len(head):len(head)+10]), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("version of the page: %w", err)
	}
	out := []Piece{{Key: key, Version: v, End: len(body)}}
	rest := body[len(head)+11:]
	for i, f := range Includes(key) {
		head := []byte("{" + f + " v")
		if !bytes.HasPrefix(rest, head) || len(rest) < len(head)+10 {
			if i == 0 {
				return out, fmt.Errorf("mandatory first fragment is missing: %.60q", rest)
			}
			out = append(out, Piece{Key: f, Missing: true})
			continue
		}
		version, err := strconv.ParseInt(string(rest[len(head):len(head)+10]), 10, 64)
		if err != nil {
			return out, fmt.Errorf("version of fragment %d: %w", i, err)
		}
		want := text(f, version)
		if !bytes.HasPrefix(rest, want) {
			return out, fmt.Errorf("fragment %d, %s, is incomplete or mixes versions", i, f)
		}
		rest = rest[len(want):]
		out = append(out, Piece{Key: f, Version: version, End: len(body) - len(rest)})
	}
	if string(rest) != "]" {
		return out, fmt.Errorf("surplus data after the last fragment: %.60q", rest)
	}
	return out, nil
}
