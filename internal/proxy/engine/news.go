package engine

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"unicode"

	spool "indigospool"
	"indigospool/internal/config"
)

// Update is one line of the discovery stream: changes of the endpoint list, a purge, or both.
// docs/protocol.md defines the format.
type Update struct {
	Rev     int64  `json:"rev"`
	Kind    string `json:"how,omitempty"` // full (snapshot), delta, or empty without members; step, by UpdateFromVersion, is never on the wire
	Members []Row  `json:"members,omitempty"`
	Purge   *Purge `json:"purge,omitempty"`
}

// Row is a member in an Update.
type Row struct {
	ID           string  `json:"id"`
	Zone         string  `json:"zone,omitempty"`
	Kind         string  `json:"kind,omitempty"`
	Cell         int     `json:"cell,omitempty"`
	State        string  `json:"state,omitempty"` // serving, draining or removed; empty: serving
	Size         float64 `json:"size,omitempty"`
	Address      string  `json:"address,omitempty"`
	Start        int64   `json:"start,omitempty"` // number of its start; another number means that it restarted with an empty cache
	UptimeMillis float64 `json:"up_ms,omitempty"` // ms since its start; 0: long ago
}

// Purge invalidates copies of an object or, without Object, of a group that are older than
// AgeMs.
type Purge struct {
	Object string  `json:"object,omitempty"`
	Group  int     `json:"group,omitempty"`
	AgeMs  float64 `json:"age_ms,omitempty"`
}

// ParseUpdate decodes a line and validates all of it.
func ParseUpdate(line []byte) (*Update, error) {
	u := &Update{}
	if err := json.Unmarshal(line, u); err != nil {
		return nil, fmt.Errorf("engine: endpoint list update is not a JSON object: %w", err)
	}
	switch {
	case u.Kind != "" && u.Kind != "full" && u.Kind != "delta":
		return nil, fmt.Errorf("engine: endpoint list update rev %d: how is %q, want full or delta", u.Rev, u.Kind)
	case u.Kind == "" && len(u.Members) > 0:
		return nil, fmt.Errorf("engine: endpoint list update rev %d has members but no how", u.Rev)
	case u.Kind == "" && u.Purge == nil:
		return nil, fmt.Errorf("engine: endpoint list update rev %d has neither members nor a purge", u.Rev)
	case u.Purge != nil && u.Purge.AgeMs < 0:
		return nil, fmt.Errorf("engine: endpoint list update rev %d: purge has the negative age %v ms", u.Rev, u.Purge.AgeMs)
	}
	seen := map[string]bool{}
	for i, r := range u.Members {
		if r.ID == "" || seen[r.ID] {
			return nil, fmt.Errorf("engine: endpoint list update rev %d: row %d has no id, or that of an earlier row (%q)", u.Rev, i, r.ID)
		}
		if strings.ContainsFunc(r.ID+r.Zone+r.Kind+r.Address, unicode.IsControl) {
			return nil, fmt.Errorf("engine: endpoint list update rev %d: row %d (%q) has control characters in its id, zone, kind or address", u.Rev, i, r.ID)
		}
		seen[r.ID] = true
		if _, ok := states[r.State]; r.State != "" && !ok {
			return nil, fmt.Errorf("engine: endpoint list update rev %d: %s has the unknown state %q", u.Rev, r.ID, r.State)
		}
		if r.UptimeMillis < 0 || r.Size < 0 || r.Start < 0 {
			return nil, fmt.Errorf("engine: endpoint list update rev %d: %s has a negative size, start or up_ms", u.Rev, r.ID)
		}
	}
	return u, nil
}

// ApplyResult is the result of Apply.
type ApplyResult struct {
	Events   []spool.Event // to be given to Handle by the caller
	Outdated bool          // the members were ignored: the update is older than the list in use
	Gap      bool          // the members were ignored: a delta does not follow the list in use, and a snapshot is needed
}

// Apply applies an update to the endpoint list and converts it into the module's events. It
// ignores the members of a revision older than the list in use, so that a discovery service
// that restarts with old data cannot undo a drain. It applies the purge of any update, because
// purging once more than needed does no harm.
func (c *Core) Apply(now spool.Millis, u *Update) (a ApplyResult) {
	if u.Kind != "" {
		switch {
		case u.Rev < c.rev, u.Rev == c.rev && u.Kind == "delta":
			a.Outdated = true
		case u.Kind == "delta" && u.Rev != c.rev+1:
			a.Gap = true
		default:
			c.rev = u.Rev
			a.Events = append(a.Events, c.membersEvent(now, u))
		}
	}
	if p := u.Purge; p != nil {
		a.Events = append(a.Events, spool.Purge{Object: p.Object, Group: p.Group, Age: p.AgeMs})
	}
	return a
}

// membersEvent updates the listed members and returns the module's event for them.
func (c *Core) membersEvent(now spool.Millis, u *Update) spool.Members {
	ev := spool.Members{Full: u.Kind == "full"}
	for _, r := range u.Members {
		old := c.members[r.ID]
		member := &listedMember{address: r.Address, start: r.Start}
		member.Member = spool.Member{ID: r.ID, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, State: states[r.State], Size: r.Size}
		if member.Kind == "" {
			member.Kind = "box"
		}
		switch {
		case old != nil && old.start == r.Start:
			member.ReadyAt = old.ReadyAt // the same start; a time computed from the uptime varies with the delay of the update
		case r.UptimeMillis > 0 || r.Start > 1:
			member.ReadyAt = max(now-r.UptimeMillis, 1)
		}
		if old != nil && member.address == "" {
			member.address = old.address
		}
		c.members[r.ID] = member
		ev.Rows = append(ev.Rows, member.Member)
	}
	if ev.Full {
		listed := map[string]bool{}
		for _, r := range u.Members {
			listed[r.ID] = true
		}
		for id, m := range c.members {
			if !listed[id] {
				m.State = spool.Removed
			}
		}
	}
	return ev
}

// UpdateFromSettings returns a snapshot with the members that the settings list, sorted by id.
func UpdateFromSettings(s *config.Settings) *Update {
	u := &Update{Kind: "full", Members: rows(s.Members)}
	sort.Slice(u.Members, func(i, j int) bool { return u.Members[i].ID < u.Members[j].ID })
	return u
}

// UpdateFromVersion returns an update with the members of a configuration version that differ
// from those of the previous version. If fresh is true, these members have just started.
func UpdateFromVersion(number int64, members []config.Member, fresh bool) *Update {
	u := &Update{Rev: number, Kind: "step", Members: rows(members)}
	for i := range u.Members {
		if fresh {
			u.Members[i].UptimeMillis = justStarted
		}
	}
	return u
}

// justStarted is the uptime in ms of a member that has just started; 0 would mean long ago.
const justStarted = 0.001

func rows(members []config.Member) (out []Row) {
	for _, m := range members {
		out = append(out, Row{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State,
			Size: m.Size, Address: m.Address, Start: int64(m.Start)})
	}
	return out
}
