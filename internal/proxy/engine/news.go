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

// Update is one line of the list service's stream: news of members, of a purge,
// or both. docs/protocol.md defines it.
type Update struct {
	Rev     int64  `json:"rev"`
	Kind    string `json:"how,omitempty"` // full, delta, or empty for no members; step: from a version, never on the wire
	Members []Row  `json:"members,omitempty"`
	Purge   *Purge `json:"purge,omitempty"`
}

// Row is a member in the news.
type Row struct {
	ID           string  `json:"id"`
	Zone         string  `json:"zone,omitempty"`
	Kind         string  `json:"kind,omitempty"`
	Cell         int     `json:"cell,omitempty"`
	State        string  `json:"state,omitempty"` // serving, draining or removed; empty: serving
	Size         float64 `json:"size,omitempty"`
	Address      string  `json:"address,omitempty"`
	Start        int64   `json:"start,omitempty"` // number of its start; another number means that it came back empty
	UptimeMillis float64 `json:"up_ms,omitempty"` // for how long it has been up; 0: long
}

// Purge voids older copies of an object or, with none, of a group.
type Purge struct {
	Object string  `json:"object,omitempty"`
	Group  int     `json:"group,omitempty"`
	AgeMs  float64 `json:"age_ms,omitempty"`
}

// ParseUpdate reads a line, and checks it whole before anything of it is used.
func ParseUpdate(line []byte) (*Update, error) {
	n := &Update{}
	if err := json.Unmarshal(line, n); err != nil {
		return nil, fmt.Errorf("core: list news is no JSON object: %w", err)
	}
	switch {
	case n.Kind != "" && n.Kind != "full" && n.Kind != "delta":
		return nil, fmt.Errorf("core: list news rev %d: how is %q; full or delta are known", n.Rev, n.Kind)
	case n.Kind == "" && len(n.Members) > 0:
		return nil, fmt.Errorf("core: list news rev %d has members but does not say how", n.Rev)
	case n.Kind == "" && n.Purge == nil:
		return nil, fmt.Errorf("core: list news rev %d says nothing", n.Rev)
	case n.Purge != nil && n.Purge.AgeMs < 0:
		return nil, fmt.Errorf("core: list news rev %d: a purge of age %v", n.Rev, n.Purge.AgeMs)
	}
	seen := map[string]bool{}
	for i, r := range n.Members {
		if r.ID == "" || seen[r.ID] {
			return nil, fmt.Errorf("core: list news rev %d: row %d has no id, or one named before (%q)", n.Rev, i, r.ID)
		}
		if strings.ContainsFunc(r.ID+r.Zone+r.Kind+r.Address, unicode.IsControl) {
			return nil, fmt.Errorf("core: list news rev %d: row %d (%q) has control characters in its id, zone, kind or address", n.Rev, i, r.ID)
		}
		seen[r.ID] = true
		if _, ok := states[r.State]; r.State != "" && !ok {
			return nil, fmt.Errorf("core: list news rev %d: %s is in the unknown state %q", n.Rev, r.ID, r.State)
		}
		if r.UptimeMillis < 0 || r.Size < 0 || r.Start < 0 {
			return nil, fmt.Errorf("core: list news rev %d: %s has a negative size, start or time up", n.Rev, r.ID)
		}
	}
	return n, nil
}

// ApplyResult says what became of a line of news.
type ApplyResult struct {
	Events   []spool.Event
	Outdated bool // its members are older than what is known: passed over
	Gap      bool // a delta that does not follow what is known: a full list is needed
}

// Apply turns news into the module's events. Members of an older version than
// the one gone by are passed over, so that a list service that comes back with
// its past can't undo a drain; its purges are heeded all the same, since a purge
// can only be made too often.
func (c *Core) Apply(now spool.Millis, n *Update) (a ApplyResult) {
	if n.Kind != "" {
		switch {
		case n.Rev < c.rev, n.Rev == c.rev && n.Kind == "delta":
			a.Outdated = true
		case n.Kind == "delta" && n.Rev != c.rev+1:
			a.Gap = true
		default:
			c.rev = n.Rev
			a.Events = append(a.Events, c.membersEvent(now, n))
		}
	}
	if p := n.Purge; p != nil {
		a.Events = append(a.Events, spool.Purge{Object: p.Object, Group: p.Group, Age: p.AgeMs})
	}
	return a
}

// membersEvent is the event of a membersEvent's rows.
func (c *Core) membersEvent(now spool.Millis, n *Update) spool.Members {
	ev := spool.Members{Full: n.Kind == "full"}
	for _, r := range n.Members {
		old := c.members[r.ID]
		k := &listedMember{address: r.Address, start: r.Start}
		k.Member = spool.Member{ID: r.ID, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, State: states[r.State], Size: r.Size}
		if k.Kind == "" {
			k.Kind = "box"
		}
		switch {
		case old != nil && old.start == r.Start:
			k.ReadyAt = old.ReadyAt // the same start: the time up is told anew each time, and varies
		case r.UptimeMillis > 0 || r.Start > 1:
			k.ReadyAt = max(now-r.UptimeMillis, 1)
		}
		if old != nil && k.address == "" {
			k.address = old.address
		}
		c.members[r.ID] = k
		ev.Rows = append(ev.Rows, k.Member)
	}
	if ev.Full {
		named := map[string]bool{}
		for _, r := range n.Members {
			named[r.ID] = true
		}
		for id, m := range c.members {
			if !named[id] {
				m.State = spool.Removed
			}
		}
	}
	return ev
}

// UpdateFromSettings is the news that the members of the settings amount to.
func UpdateFromSettings(s *config.Settings) *Update {
	n := &Update{Kind: "full", Members: rows(s.Members)}
	sort.Slice(n.Members, func(i, j int) bool { return n.Members[i].ID < n.Members[j].ID })
	return n
}

// UpdateFromVersion is the news of members of a version that differ from those of the
// version before. fresh says that they have just started.
func UpdateFromVersion(number int64, members []config.Member, fresh bool) *Update {
	n := &Update{Rev: number, Kind: "step", Members: rows(members)}
	for i := range n.Members {
		if fresh {
			n.Members[i].UptimeMillis = justStarted
		}
	}
	return n
}

const justStarted = 0.001 // ms: 0 would mean long ago

func rows(members []config.Member) (out []Row) {
	for _, m := range members {
		out = append(out, Row{ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: m.State,
			Size: m.Size, Address: m.Address, Start: int64(m.Start)})
	}
	return out
}
