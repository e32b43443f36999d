package testserver

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Pages and their fragments are text, so that a client can tell from an assembled page which
// version each piece has and whether it is complete. The last element of a key's path is the name
// of the object. The names of fragments have the form ~NUMBER, those of pages the form
// NAME~COUNT~OBJECTS~CLASS. COUNT is the number of fragments that the page includes, CLASS the
// class of these fragments (not of the page), and OBJECTS the number of different fragments from
// which they are chosen. All versions of a page include the same fragments. The first one is
// mandatory, the others are optional.
//
// The key of a fragment is /CLASS/GROUP/~NUMBER. GROUP is a number from 0 to 31 (see GroupOf);
// objects of a group can be purged together.
//
// The text of a page is "[KEY vVERSION INCLUDES]", that of a fragment "{KEY vVERSION LETTERS}",
// with a VERSION of 10 digits. In an assembled page, each include has been replaced by the text
// of its fragment or, if it is optional, omitted.

// PageName returns the name of a page.
func PageName(name string, fragments, objects int, class string) string {
	return fmt.Sprintf("%s~%d~%d~%s", name, fragments, objects, class)
}

// FragmentName returns the name of a fragment.
func FragmentName(n uint64) string { return "~" + strconv.FormatUint(n, 10) }

// isText reports whether a key is that of a page or fragment, whose content is text.
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

// GroupOf returns the group of an object, from 0 to textGroups-1: the FNV-1a hash of name modulo
// textGroups. name is the class followed by the object's name, such as esi~12.
func GroupOf(name string) int {
	h := uint32(2166136261)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return int(h % textGroups)
}

const (
	textGroups    = 32 // number of groups that fragments are distributed over
	versionDigits = 10 // digits of a version in text, as in the format %010d
)

// Piece is a part of an assembled page: the page itself or a fragment.
type Piece struct {
	Key     string
	Version int64
	Missing bool // the fragment was omitted
	End     int  // offset of its end in the body; for the page itself, the length of the body
}

// Pieces parses an assembled page. It returns the page itself and then its fragments. It fails if
// a piece is incomplete, repeated or out of order, or if the mandatory fragment is missing. An
// optional fragment that is not at its place is recorded as missing; if other data is there, the
// parse fails at that data. With an error, Pieces returns the pieces that it has parsed so far.
func Pieces(key string, body []byte) ([]Piece, error) {
	head := []byte("[" + key + " v")
	if !bytes.HasPrefix(body, head) || len(body) < len(head)+versionDigits+len(" ]") {
		return nil, fmt.Errorf("page is too short or does not start with %q: %.60q", head, body)
	}
	v, err := strconv.ParseInt(string(body[len(head):len(head)+versionDigits]), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("version of the page: %w", err)
	}
	out := []Piece{{Key: key, Version: v, End: len(body)}}
	rest := body[len(head)+versionDigits+len(" "):]
	for i, f := range Includes(key) {
		head := []byte("{" + f + " v")
		if !bytes.HasPrefix(rest, head) || len(rest) < len(head)+versionDigits {
			if i == 0 {
				return out, fmt.Errorf("mandatory first fragment %s is missing or incomplete: %.60q", f, rest)
			}
			out = append(out, Piece{Key: f, Missing: true})
			continue
		}
		version, err := strconv.ParseInt(string(rest[len(head):len(head)+versionDigits]), 10, 64)
		if err != nil {
			return out, fmt.Errorf("version of fragment %d: %w", i, err)
		}
		want := text(f, version)
		if !bytes.HasPrefix(rest, want) {
			return out, fmt.Errorf("fragment %d, %s, is incomplete or mixes versions: want %d bytes of version %d", i, f, len(want), version)
		}
		rest = rest[len(want):]
		out = append(out, Piece{Key: f, Version: version, End: len(body) - len(rest)})
	}
	if string(rest) != "]" {
		return out, fmt.Errorf("page %s: got %.60q at offset %d, want the closing ] or the next fragment", key, rest, len(body)-len(rest))
	}
	return out, nil
}
