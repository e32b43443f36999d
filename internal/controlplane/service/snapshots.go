package service

import (
	"indigospool/internal/controlplane/configversion"
	"maps"
	"sort"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
)

// versionSnapshot is a version's content as sent by both protocols, complete and in
// pieces. It is computed once for all streams.
type versionSnapshot struct {
	sum       string
	complete  *anypb.Any
	pieces    map[string]string
	versions  map[string]string // of the pieces, by name
	resources map[string]*discovery.Resource

	mu     sync.Mutex
	deltas map[*versionSnapshot]*snapshotDelta // from other cached snapshots
}

// snapshotDelta is the difference from a set of pieces to a snapshot.
type snapshotDelta struct {
	resources []*discovery.Resource // sorted by name
	removed   []string
}

// maxSnapshots is how many snapshots are cached: enough for the versions that a fleet's
// routers may have during a rollout and the one before.
const maxSnapshots = 8

// snapshotCache caches the most recent snapshots.
type snapshotCache struct {
	mu     sync.Mutex
	recent []*versionSnapshot // the newest last
}

// snapshot returns a version's snapshot, and caches it.
func (c *snapshotCache) snapshot(v configversion.Version) (*versionSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, snapshot := range c.recent {
		if snapshot.sum == v.Sum {
			return snapshot, nil
		}
	}
	snapshot, err := newSnapshot(v)
	if err != nil {
		return nil, err
	}
	if len(c.recent) >= maxSnapshots {
		oldest := c.recent[0]
		c.recent = append([]*versionSnapshot(nil), c.recent[1:]...)
		for _, other := range c.recent {
			other.forget(oldest)
		}
	}
	c.recent = append(c.recent, snapshot)
	return snapshot, nil
}

func newSnapshot(v configversion.Version) (*versionSnapshot, error) {
	complete, err := marshalResource(v.Body)
	if err != nil {
		return nil, err
	}
	pieces := splitPieces(v.Body)
	snapshot := &versionSnapshot{
		sum:       v.Sum,
		complete:  complete,
		pieces:    pieces,
		versions:  pieceVersions(pieces),
		resources: map[string]*discovery.Resource{},
		deltas:    map[*versionSnapshot]*snapshotDelta{},
	}
	for name, text := range pieces {
		resource, err := marshalResource([]byte(text))
		if err != nil {
			return nil, err
		}
		snapshot.resources[name] = &discovery.Resource{Name: name, Version: snapshot.versions[name], Resource: resource}
	}
	return snapshot, nil
}

// find returns the cached snapshot with exactly these versions of pieces, or nil.
func (c *snapshotCache) find(versions map[string]string) *versionSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, snapshot := range c.recent {
		if maps.Equal(snapshot.versions, versions) {
			return snapshot
		}
	}
	return nil
}

func (s *versionSnapshot) forget(other *versionSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.deltas, other)
}

// deltaFrom returns the difference from what a router has to the snapshot. The router
// has the cached snapshot base or, if base is nil, pieces with these versions.
func (s *versionSnapshot) deltaFrom(base *versionSnapshot, versions map[string]string) *snapshotDelta {
	if base == nil {
		return s.computeDelta(versions)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta := s.deltas[base]; delta != nil {
		return delta
	}
	delta := s.computeDelta(base.versions)
	if len(s.deltas) > 4*maxSnapshots {
		clear(s.deltas)
	}
	s.deltas[base] = delta
	return delta
}

func (s *versionSnapshot) computeDelta(versions map[string]string) *snapshotDelta {
	delta := &snapshotDelta{}
	for name, resource := range s.resources {
		if versions[name] != resource.Version {
			delta.resources = append(delta.resources, resource)
		}
	}
	for name := range versions {
		if _, remains := s.versions[name]; !remains {
			delta.removed = append(delta.removed, name)
		}
	}
	sort.Slice(delta.resources, func(i, j int) bool { return delta.resources[i].Name < delta.resources[j].Name })
	sort.Strings(delta.removed)
	return delta
}
