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

// Canonical returns the canonical text of settings, from which versions are made:
// sections in the order of the schema and members sorted by id, so that a change of one
// member changes one piece. Settings that are specific to a router are left out.
func Canonical(settings *config.Settings) []byte {
	canonical := *settings
	defaults := config.Defaults()
	canonical.Router, canonical.Control = defaults.Router, defaults.Control
	canonical.Router.Routers = settings.Router.Routers
	canonical.Router.DeadlineHeader = settings.Router.DeadlineHeader
	canonical.Router.SizeHeader = settings.Router.SizeHeader
	canonical.Router.RetryHeader = settings.Router.RetryHeader
	members := slices.Clone(settings.Members)
	sort.SliceStable(members, func(i, j int) bool { return printedID(members[i].ID) < printedID(members[j].ID) })
	canonical.Members = members
	return []byte(config.Print(&canonical))
}

// printedID returns an id as it appears in the canonical text, possibly quoted.
func printedID(id string) string {
	type member struct {
		ID string `edn:"@,required"`
	}
	text := config.Print(&struct {
		Members []member `edn:"member"`
	}{[]member{{id}}})
	return strings.TrimSuffix(strings.TrimPrefix(text, "(member "), ")\n")
}

// Validate parses settings and performs the checks that hold for every router,
// including the checks against the version before, if there is one. It returns the
// canonical text, and all reasons to reject the settings.
func Validate(sources []config.Source, before []byte, limits configversion.CheckLimits) (body []byte, reasons []configversion.Reason) {
	settings := &config.Settings{}
	if err := config.ReadSources(sources, nil, settings); err != nil {
		return nil, settingsReasons(err)
	}
	return Canonical(settings), configversion.Check(readPrevious(before), settings, limits)
}

// readPrevious parses the version before. It returns nil if there is none, or if it
// can't be parsed because it was pushed unchecked.
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

// settingsReasons converts faults of settings to reasons, with their positions.
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

// NoLimits returns limits that allow any change, for checking settings by themselves.
func NoLimits() configversion.CheckLimits {
	return configversion.CheckLimits{ParentChurn: 1, CacheChurn: 1}
}
