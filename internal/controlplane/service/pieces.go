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

// singlePiece is the name of the one piece of a text that can't be split.
const singlePiece = "settings"

// pieceOrder is the order of the sections in a canonical text; members follow.
var pieceOrder = [...]string{"router", "limits", "rules", "fill", "zone", "class", "route", "control"}

// splitPieces splits a canonical text of settings into pieces by name: one for each
// section, and one for each member, as member/b1. A text that joinPieces would not
// give again, as one that is no settings at all, is one piece.
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

// pieceName is the name of the piece to which a form of a canonical text belongs: its
// head and, of a member, its id too.
func pieceName(form string) string {
	firstLine, _, _ := strings.Cut(form[1:], "\n")
	head, id, _ := strings.Cut(strings.TrimRight(firstLine, ")"), " ")
	if head == "member" {
		return head + "/" + id
	}
	return head
}

// joinPieces joins pieces to a text again.
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

// pieceRank is the place of a piece's kind in the text. Sections that are not known to
// this release come first.
func pieceRank(name string) int {
	if strings.HasPrefix(name, "member/") {
		return len(pieceOrder)
	}
	return slices.Index(pieceOrder[:], name)
}

// pieceVersion is the version of a piece: it follows from its content.
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
