package service

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sort"
	"strings"
)

// singlePiece is the name of the only piece of a text that can't be split.
const singlePiece = "settings"

// pieceOrder is the order of the sections in a canonical text, before the members.
var pieceOrder = [...]string{"router", "limits", "rules", "fill", "zone", "class", "route", "control"}

// splitPieces splits a canonical text of settings into named pieces: one for each
// section, and one for each member, such as member/b1. A text that joinPieces would not
// reproduce, for example because it is not a text of settings, becomes a single piece.
func splitPieces(body []byte) map[string]string {
	pieces := map[string]string{}
	rest := string(body)
	for rest != "" {
		if rest[0] != '(' {
			return map[string]string{singlePiece: string(body)}
		}
		form := rest
		if end := strings.Index(rest, "\n("); end >= 0 {
			form = rest[:end+1]
		}
		rest = rest[len(form):]
		pieces[pieceName(form)] += form
	}
	if !bytes.Equal(joinPieces(pieces), body) {
		return map[string]string{singlePiece: string(body)}
	}
	return pieces
}

// pieceName returns the name of the piece to which a form of a canonical text belongs:
// the form's head and, for a member, its id.
func pieceName(form string) string {
	firstLine, _, _ := strings.Cut(form[1:], "\n")
	head, id, _ := strings.Cut(strings.TrimRight(firstLine, ")"), " ")
	if head == "member" {
		return head + "/" + id
	}
	return head
}

// joinPieces returns the text that consists of the pieces.
func joinPieces(pieces map[string]string) []byte {
	names := slices.Collect(maps.Keys(pieces))
	sort.Slice(names, func(i, j int) bool {
		a, b := pieceRank(names[i]), pieceRank(names[j])
		if a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	var body bytes.Buffer
	for _, name := range names {
		body.WriteString(pieces[name])
	}
	return body.Bytes()
}

// pieceRank returns the position of a piece's kind in the text. Sections unknown to
// this release come first.
func pieceRank(name string) int {
	if strings.HasPrefix(name, "member/") {
		return len(pieceOrder)
	}
	return slices.Index(pieceOrder[:], name)
}

// pieceVersion returns the version of a piece: a checksum of its text.
func pieceVersion(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

func pieceVersions(pieces map[string]string) map[string]string {
	versions := map[string]string{}
	for name, text := range pieces {
		versions[name] = pieceVersion(text)
	}
	return versions
}
