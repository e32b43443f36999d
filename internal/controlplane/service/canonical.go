package service

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
)

// Canonical is the text of settings that versions are made of: in the order of
// the schema, members by id, so that a change of one member is one piece; what
// is each router's own is left out.
func Canonical(settings *config.Settings) []byte {
	canonical := *settings
	defaults := config.Defaults()
	canonical.Router, canonical.Control = defaults.Router, defaults.Control
	canonical.Router.Of = settings.Router.Of
	canonical.Router.DeadlineHeader = settings.Router.DeadlineHeader
	canonical.Router.SizeHeader = settings.Router.SizeHeader
	canonical.Router.RetryHeader = settings.Router.RetryHeader
	members := slices.Clone(settings.Members)
	sort.SliceStable(members, func(i, j int) bool { return printedID(members[i].ID) < printedID(members[j].ID) })
	canonical.Members = members
	return []byte(config.Print(&canonical))
}

// printedID is an id as the canonical text has it, which may be quoted.
func printedID(id string) string {
	type member struct {
		ID string `edn:"@,required"`
	}
	text := config.Print(&struct {
		Members []member `edn:"member"`
	}{[]member{{id}}})
	return strings.TrimSuffix(strings.TrimPrefix(text, "(member "), ")\n")
}

// Validate reads a text of settings and makes the checks that hold at every
// router, against the version before it where there is one: the canonical text,
// or every reason against it.
func Validate(sources []config.Source, before []byte, limits configversion.CheckLimits) (body []byte, reasons []configversion.Reason) {
	settings := &config.Settings{}
	if err := config.ReadSources(sources, nil, settings); err != nil {
		return nil, settingsReasons(err)
	}
	return Canonical(settings), configversion.Check(readPrevious(before), settings, limits)
}

// readPrevious reads the version before, nil where there is none or it was pushed
// unchecked and can't be read.
func readPrevious(body []byte) *config.Settings {
	if len(body) == 0 {
		return nil
	}
	previous := &config.Settings{}
	if config.ReadVersion("before", string(body), nil, previous) != nil {
		return nil
	}
	return previous
}

// settingsReasons turns faults of settings into reasons, with their places.
func settingsReasons(err error) []configversion.Reason {
	var faults config.Faults
	if !errors.As(err, &faults) {
		return []configversion.Reason{{What: err.Error()}}
	}
	var reasons []configversion.Reason
	for _, fault := range faults {
		reasons = append(reasons, configversion.Reason{Path: fault.Key, What: fmt.Sprintf("%s: %s", fault.Pos, fault.What), Remedy: fault.Remedy})
	}
	return reasons
}

// NoLimits returns limits that bound no change, for checks of settings by themselves.
func NoLimits() configversion.CheckLimits {
	return configversion.CheckLimits{ParentChurn: 1, CacheChurn: 1}
}
