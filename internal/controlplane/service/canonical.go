package service

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
)

// singlePiece is the name of the one piece of a text that can't be cut.
const singlePiece = "settings"

// pieceOrder is the order of the sections in a canonical text; members follow.
var pieceOrder = []string{"router", "limits", "rules", "fill", "zone", "class", "route", "control"}

// splitPieces cuts a canonical text of settings into pieces by name: one for each
// section, and one for each member, as member/b1. A text that join would not
// give again, as one that is no settings at all, is one piece.
func splitPieces(body []byte) map[string]string {
	pieces := map[string]string{}
	rest := string(body)
	for rest != "" {
		if rest[0] != '(' {
			return map[string]string{singlePiece: string(body)}
		}
		form := rest
		if i := strings.Index(rest, "\n("); i >= 0 {
			form = rest[:i+1]
		}
		rest = rest[len(form):]
		name, after, _ := strings.Cut(strings.TrimRight(strings.SplitN(form[1:], "\n", 2)[0], ")"), " ")
		if name == "member" {
			name += "/" + after
		}
		pieces[name] += form
	}
	if !bytes.Equal(joinPieces(pieces), body) {
		return map[string]string{singlePiece: string(body)}
	}
	return pieces
}

// joinPieces puts pieces together again.
func joinPieces(pieces map[string]string) []byte {
	names := slices.Collect(maps.Keys(pieces))
	rank := func(name string) int {
		if strings.HasPrefix(name, "member/") {
			return len(pieceOrder)
		}
		if i := slices.Index(pieceOrder, name); i >= 0 {
			return i
		}
		return -1
	}
	sort.Slice(names, func(i, j int) bool {
		if a, body := rank(names[i]), rank(names[j]); a != body {
			return a < body
		}
		return names[i] < names[j]
	})
	var body bytes.Buffer
	for _, name := range names {
		body.WriteString(pieces[name])
	}
	return body.Bytes()
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

// Canonical is the text of settings that versions are made of: in the order of
// the schema, members by id, so that a change of one member is one piece; what
// is each router's own is left out.
func Canonical(settings *config.Settings) []byte {
	canonical := *settings
	defaults := config.Defaults()
	canonical.Router, canonical.Control = defaults.Router, defaults.Control
	canonical.Router.Of, canonical.Router.DeadlineHeader = settings.Router.Of, settings.Router.DeadlineHeader
	canonical.Router.SizeHeader, canonical.Router.RetryHeader = settings.Router.SizeHeader, settings.Router.RetryHeader
	canonical.Members = slices.Clone(settings.Members)
	sort.SliceStable(canonical.Members, func(i, j int) bool { return printedID(canonical.Members[i].ID) < printedID(canonical.Members[j].ID) })
	return []byte(config.Print(&canonical))
}

// printedID is an id as the canonical text has it, which may be quoted.
func printedID(id string) string {
	text := config.Print(&struct {
		M []struct {
			ID string `edn:"@,required"`
		} `edn:"member"`
	}{[]struct {
		ID string `edn:"@,required"`
	}{{id}}})
	return strings.TrimSuffix(strings.TrimPrefix(text, "(member "), ")\n")
}

// Validate reads a text of settings and makes the checks that hold at every
// router, against the version before it where there is one: the canonical text,
// or every reason against it.
func Validate(sources []config.Source, before []byte, limits configversion.CheckLimits) (body []byte, reasons []configversion.Reason) {
	var previous *config.Settings
	if len(before) > 0 {
		o := &config.Settings{}
		if config.ReadVersion("before", string(before), nil, o) == nil {
			previous = o
		}
	}
	settings := &config.Settings{}
	if err := config.ReadSources(sources, nil, settings); err != nil {
		return nil, settingsReasons(err)
	}
	body = Canonical(settings)
	return body, configversion.Check(previous, settings, limits)
}

// settingsReasons turns faults of settings into reasons, with their places.
func settingsReasons(err error) (out []configversion.Reason) {
	faults, ok := err.(config.Faults)
	if !ok {
		return []configversion.Reason{{What: err.Error()}}
	}
	for _, f := range faults {
		out = append(out, configversion.Reason{Path: f.Key, What: fmt.Sprintf("%s: %s", f.Pos, f.What), Remedy: f.Remedy})
	}
	return out
}

// NoLimits returns limits that bound no change, for checks of settings by themselves.
func NoLimits() configversion.CheckLimits {
	return configversion.CheckLimits{ParentChurn: 1, CacheChurn: 1}
}
