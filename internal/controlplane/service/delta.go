package service

import (
	"errors"
	"fmt"
	"maps"
	"sort"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"

	"indigospool/internal/controlplane/configversion"
)

// The incremental protocol sends what differs from the pieces that a router has
// accepted. Both sides know which these are from the protocol alone: those named
// when the stream began, and then those of the last version acknowledged on it.
// The next version is sent only once there is a word on the one before, so that
// the two never disagree; if they did all the same, the checksum would tell, and
// the router begins its stream anew with nothing.

// versionSnapshot is a version in pieces, made once for all streams.
type versionSnapshot struct {
	sum       string
	complete  *anypb.Any
	pieces    map[string]string
	versions  map[string]string // of the pieces
	resources map[string]*discovery.Resource

	mu     sync.Mutex
	deltas map[*versionSnapshot]*snapshotDelta // from others that many routers have
}

// snapshotDelta is what leads from some pieces to a cut.
type snapshotDelta struct {
	resources []*discovery.Resource
	removed   []string
}

// snapshotCache keeps the last snapshots.
type snapshotCache struct {
	mu     sync.Mutex
	recent []*versionSnapshot // the newest last
}

const maxSnapshots = 8

// snapshot is a version's.
func (k *snapshotCache) snapshot(v configversion.Version) (*versionSnapshot, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, snapshot := range k.recent {
		if snapshot.sum == v.Sum {
			return snapshot, nil
		}
	}
	snapshot := &versionSnapshot{sum: v.Sum, pieces: splitPieces(v.Body), resources: map[string]*discovery.Resource{}, deltas: map[*versionSnapshot]*snapshotDelta{}}
	snapshot.versions = pieceVersions(snapshot.pieces)
	var err error
	if snapshot.complete, err = marshalResource(v.Body); err != nil {
		return nil, err
	}
	for name, text := range snapshot.pieces {
		resource, err := marshalResource([]byte(text))
		if err != nil {
			return nil, err
		}
		snapshot.resources[name] = &discovery.Resource{Name: name, Version: snapshot.versions[name], Resource: resource}
	}
	if len(k.recent) >= maxSnapshots {
		old := k.recent[0]
		k.recent = append([]*versionSnapshot(nil), k.recent[1:]...)
		for _, other := range k.recent {
			other.forget(old)
		}
	}
	k.recent = append(k.recent, snapshot)
	return snapshot, nil
}

// find is the kept snapshot with just these pieces, nil where there is none.
func (k *snapshotCache) find(versions map[string]string) *versionSnapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, snapshot := range k.recent {
		if maps.Equal(snapshot.versions, versions) {
			return snapshot
		}
	}
	return nil
}

func (c *versionSnapshot) forget(other *versionSnapshot) {
	c.mu.Lock()
	delete(c.deltas, other)
	c.mu.Unlock()
}

// deltaFrom is what leads to the cut from what a router has: a cut, or pieces of
// these versions.
func (c *versionSnapshot) deltaFrom(base *versionSnapshot, versions map[string]string) *snapshotDelta {
	if base != nil {
		versions = base.versions
		c.mu.Lock()
		defer c.mu.Unlock()
		if delta := c.deltas[base]; delta != nil {
			return delta
		}
	}
	delta := &snapshotDelta{}
	for name, r := range c.resources {
		if versions[name] != r.Version {
			delta.resources = append(delta.resources, r)
		}
	}
	for name := range versions {
		if _, is := c.versions[name]; !is {
			delta.removed = append(delta.removed, name)
		}
	}
	sort.Slice(delta.resources, func(i, j int) bool { return delta.resources[i].Name < delta.resources[j].Name })
	sort.Strings(delta.removed)
	if base != nil {
		if len(c.deltas) > 4*maxSnapshots {
			clear(c.deltas)
		}
		c.deltas[base] = delta
	}
	return delta
}

// deltaServerStream is a router's stream by the incremental protocol.
type deltaServerStream struct {
	stream    grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]
	snapshots *snapshotCache
	nonces    sentNonces

	mu               sync.Mutex
	accepted         *versionSnapshot  // what the router has accepted, where it is a kept cut
	acceptedVersions map[string]string // and else the versions of its pieces
	pending          *versionSnapshot  // on its way
	pendingNonce     string            // of that
	idle             chan struct{}     // of one: nothing is on its way
}

func (p *deltaServerStream) hello() (helloRequest, error) {
	r, err := p.stream.Recv()
	if err != nil {
		return helloRequest{}, err
	}
	p.idle = make(chan struct{}, 1)
	p.idle <- struct{}{}
	if p.accepted = p.snapshots.find(r.GetInitialResourceVersions()); p.accepted == nil {
		p.acceptedVersions = r.GetInitialResourceVersions()
	}
	j := helloRequest{router: r.GetNode().GetId(), accepted: acceptedNumber(r.GetNode())}
	return j, checkFirstRequest(j.router, r.GetTypeUrl())
}

func (p *deltaServerStream) send(v configversion.Version, service string) error {
	select {
	case <-p.idle:
	case <-p.stream.Context().Done():
		return p.stream.Context().Err()
	}
	c, err := p.snapshots.snapshot(v)
	if err != nil {
		return err
	}
	p.mu.Lock()
	d := c.deltaFrom(p.accepted, p.acceptedVersions)
	p.pending, p.pendingNonce = c, p.nonces.next(v.Number)
	out := &discovery.DeltaDiscoveryResponse{SystemVersionInfo: versionInfo(v), TypeUrl: SettingsType, Nonce: p.pendingNonce,
		Resources: d.resources, RemovedResources: d.removed, ControlPlane: controlPlane(service)}
	p.mu.Unlock()
	return p.stream.Send(out)
}

func (p *deltaServerStream) recv() (versionResponse, bool, error) {
	r, err := p.stream.Recv()
	if err != nil {
		return versionResponse{}, false, err
	}
	number, known := p.nonces.number(r.GetResponseNonce())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !known || r.GetResponseNonce() != p.pendingNonce {
		return versionResponse{}, false, nil
	}
	p.pendingNonce = ""
	d := r.GetErrorDetail()
	if d == nil {
		p.accepted, p.acceptedVersions = p.pending, nil
	}
	p.pending = nil
	p.idle <- struct{}{}
	return versionResponse{number, reasonLines(d)}, true, nil
}

// errStateMismatch ends a stream whose two sides disagree about what a router has.
var errStateMismatch = errors.New("control: what came does not fit what was there; the stream begins anew with the whole")

// deltaClientStream is a service's stream by the incremental protocol.
type deltaClientStream struct {
	stream grpc.BidiStreamingClient[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]

	mu       sync.Mutex
	accepted map[string]string // accepted pieces
	pending  map[string]map[string]string
}

func (l *deltaClientStream) hello(router string, accepted int64) error {
	l.pending = map[string]map[string]string{}
	return l.stream.Send(&discovery.DeltaDiscoveryRequest{Node: routerNode(router, accepted), TypeUrl: SettingsType,
		ResourceNamesSubscribe: []string{"*"}, InitialResourceVersions: pieceVersions(l.accepted)})
}

func (l *deltaClientStream) recv() (offeredVersion, error) {
	r, err := l.stream.Recv()
	if err != nil {
		return offeredVersion{}, err
	}
	o := offeredVersion{service: r.GetControlPlane().GetIdentifier(), nonce: r.GetNonce()}
	if o.version.Number, o.version.Sum, o.fault = parseVersionInfo(r.GetSystemVersionInfo()); o.fault != nil {
		return o, nil
	}
	if o.version.Number == 0 || r.GetTypeUrl() != SettingsType {
		o.fault = fmt.Errorf("control: a response of type %.80q with version %d", r.GetTypeUrl(), o.version.Number)
		return o, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.accepted)
	if next == nil {
		next = map[string]string{}
	}
	for _, name := range r.GetRemovedResources() {
		delete(next, name)
	}
	for _, one := range r.GetResources() {
		text, err := unmarshalResource(one.GetResource())
		if err == nil && (one.GetName() == "" || pieceVersion(string(text)) != one.GetVersion()) {
			err = fmt.Errorf("control: piece %.80q does not match its version %.40q", one.GetName(), one.GetVersion())
		}
		if err != nil {
			o.fault = err
			return o, nil
		}
		next[one.GetName()] = string(text)
	}
	o.version.Body = joinPieces(next)
	if configversion.Checksum(o.version.Body) != o.version.Sum && len(l.accepted) > 0 {
		return o, errStateMismatch // a whole that is wrong is for the machine to refuse
	}
	l.pending[o.nonce] = next
	return o, nil
}

func (l *deltaClientStream) reply(nonce string, _, _ int64, reasons []configversion.Reason) error {
	l.mu.Lock()
	if next := l.pending[nonce]; next != nil && len(reasons) == 0 {
		l.accepted = next
	}
	clear(l.pending)
	l.mu.Unlock()
	return l.stream.Send(&discovery.DeltaDiscoveryRequest{TypeUrl: SettingsType, ResponseNonce: nonce, ErrorDetail: errorDetail(reasons)})
}
