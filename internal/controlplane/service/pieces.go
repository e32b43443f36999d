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

// whole is the name of the one piece of a text that can't be cut.
const whole = "settings"

// pieceOrder is the order of the sections in a canonical text; members follow.
var pieceOrder = []string{"router", "limits", "rules", "fill", "zone", "class", "route", "control"}

// split cuts a canonical text of settings into pieces by name: one for each
// section, and one for each member, as member/b1. A text that join would not
// give again, as one that is no settings at all, is one piece.
func split(body []byte) map[string]string {
	out := map[string]string{}
	rest := string(body)
	for rest != "" {
		if rest[0] != '(' {
			return map[string]string{whole: string(body)}
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
		out[name] += form
	}
	if !bytes.Equal(join(out), body) {
		return map[string]string{whole: string(body)}
	}
	return out
}

// join puts pieces together again.
func join(pieces map[string]string) []byte {
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
		if a, b := rank(names[i]), rank(names[j]); a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	var b bytes.Buffer
	for _, n := range names {
		b.WriteString(pieces[n])
	}
	return b.Bytes()
}

// pieceVersion is the version of a piece: it follows from its content.
func pieceVersion(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

func pieceVersions(pieces map[string]string) map[string]string {
	out := map[string]string{}
	for name, text := range pieces {
		out[name] = pieceVersion(text)
	}
	return out
}

// Canonical is the text of settings that versions are made of: in the order of
// the schema, members by id, so that a change of one member is one piece; what
// is each router's own is left out.
func Canonical(s *config.Settings) []byte {
	c := *s
	blank := config.Defaults()
	c.Router, c.Control = blank.Router, blank.Control
	c.Router.Of, c.Router.DeadlineHeader = s.Router.Of, s.Router.DeadlineHeader
	c.Router.SizeHeader, c.Router.RetryHeader = s.Router.SizeHeader, s.Router.RetryHeader
	c.Members = slices.Clone(s.Members)
	sort.SliceStable(c.Members, func(i, j int) bool { return memberLine(c.Members[i].ID) < memberLine(c.Members[j].ID) })
	return []byte(config.Print(&c))
}

// memberLine is an id as the canonical text has it, which may be quoted.
func memberLine(id string) string {
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
func Validate(sources []config.Source, before []byte, l configversion.CheckLimits) (body []byte, reasons []configversion.Reason) {
	var old *config.Settings
	if len(before) > 0 {
		o := &config.Settings{}
		if config.ReadVersion("before", string(before), nil, o) == nil {
			old = o
		}
	}
	s := &config.Settings{}
	if err := config.ReadSources(sources, nil, s); err != nil {
		return nil, reasonsOf(err)
	}
	body = Canonical(s)
	return body, configversion.Check(old, s, l)
}

// reasonsOf turns faults of settings into reasons, with their places.
func reasonsOf(err error) (out []configversion.Reason) {
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
