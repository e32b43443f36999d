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

// cut is a version in pieces, made once for all streams.
type cut struct {
	sum       string
	whole     *anypb.Any
	pieces    map[string]string
	versions  map[string]string // of the pieces
	resources map[string]*discovery.Resource

	mu   sync.Mutex
	from map[*cut]*difference // from others that many routers have
}

// difference is what leads from some pieces to a cut.
type difference struct {
	resources []*discovery.Resource
	removed   []string
}

// cutter keeps the last cuts.
type cutter struct {
	mu   sync.Mutex
	cuts []*cut // the newest last
}

const cutsKept = 8

// cut is a version's.
func (k *cutter) cut(v configversion.Version) (*cut, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.cuts {
		if c.sum == v.Sum {
			return c, nil
		}
	}
	c := &cut{sum: v.Sum, pieces: split(v.Body), resources: map[string]*discovery.Resource{}, from: map[*cut]*difference{}}
	c.versions = pieceVersions(c.pieces)
	var err error
	if c.whole, err = pack(v.Body); err != nil {
		return nil, err
	}
	for name, text := range c.pieces {
		a, err := pack([]byte(text))
		if err != nil {
			return nil, err
		}
		c.resources[name] = &discovery.Resource{Name: name, Version: c.versions[name], Resource: a}
	}
	if len(k.cuts) >= cutsKept {
		old := k.cuts[0]
		k.cuts = append([]*cut(nil), k.cuts[1:]...)
		for _, other := range k.cuts {
			other.forget(old)
		}
	}
	k.cuts = append(k.cuts, c)
	return c, nil
}

// known is the kept cut with just these pieces, nil where there is none.
func (k *cutter) known(versions map[string]string) *cut {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.cuts {
		if maps.Equal(c.versions, versions) {
			return c
		}
	}
	return nil
}

func (c *cut) forget(other *cut) {
	c.mu.Lock()
	delete(c.from, other)
	c.mu.Unlock()
}

// since is what leads to the cut from what a router has: a cut, or pieces of
// these versions.
func (c *cut) since(has *cut, versions map[string]string) *difference {
	if has != nil {
		versions = has.versions
		c.mu.Lock()
		defer c.mu.Unlock()
		if d := c.from[has]; d != nil {
			return d
		}
	}
	d := &difference{}
	for name, r := range c.resources {
		if versions[name] != r.Version {
			d.resources = append(d.resources, r)
		}
	}
	for name := range versions {
		if _, is := c.versions[name]; !is {
			d.removed = append(d.removed, name)
		}
	}
	sort.Slice(d.resources, func(i, j int) bool { return d.resources[i].Name < d.resources[j].Name })
	sort.Strings(d.removed)
	if has != nil {
		if len(c.from) > 4*cutsKept {
			clear(c.from)
		}
		c.from[has] = d
	}
	return d
}

// deltaPeer is a router's stream by the incremental protocol.
type deltaPeer struct {
	g    grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]
	cuts *cutter
	sent nonces

	mu       sync.Mutex
	has      *cut              // what the router has accepted, where it is a kept cut
	versions map[string]string // and else the versions of its pieces
	pending  *cut              // on its way
	nonce    string            // of that
	free     chan struct{}     // of one: nothing is on its way
}

func (p *deltaPeer) hello() (joining, error) {
	r, err := p.g.Recv()
	if err != nil {
		return joining{}, err
	}
	p.free = make(chan struct{}, 1)
	p.free <- struct{}{}
	if p.has = p.cuts.known(r.GetInitialResourceVersions()); p.has == nil {
		p.versions = r.GetInitialResourceVersions()
	}
	j := joining{router: r.GetNode().GetId(), running: acceptedBy(r.GetNode())}
	return j, firstFault(j.router, r.GetTypeUrl())
}

func (p *deltaPeer) send(v configversion.Version, service string) error {
	select {
	case <-p.free:
	case <-p.g.Context().Done():
		return p.g.Context().Err()
	}
	c, err := p.cuts.cut(v)
	if err != nil {
		return err
	}
	p.mu.Lock()
	d := c.since(p.has, p.versions)
	p.pending, p.nonce = c, p.sent.next(v.Number)
	out := &discovery.DeltaDiscoveryResponse{SystemVersionInfo: versionInfo(v), TypeUrl: SettingsType, Nonce: p.nonce,
		Resources: d.resources, RemovedResources: d.removed, ControlPlane: controlPlane(service)}
	p.mu.Unlock()
	return p.g.Send(out)
}

func (p *deltaPeer) recv() (answer, bool, error) {
	r, err := p.g.Recv()
	if err != nil {
		return answer{}, false, err
	}
	number, known := p.sent.number(r.GetResponseNonce())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !known || r.GetResponseNonce() != p.nonce {
		return answer{}, false, nil
	}
	p.nonce = ""
	d := r.GetErrorDetail()
	if d == nil {
		p.has, p.versions = p.pending, nil
	}
	p.pending = nil
	p.free <- struct{}{}
	return answer{number, detailLines(d)}, true, nil
}

// errMisfit ends a stream whose two sides disagree about what a router has.
var errMisfit = errors.New("control: what came does not fit what was there; the stream begins anew with the whole")

// deltaLine is a service's stream by the incremental protocol.
type deltaLine struct {
	g grpc.BidiStreamingClient[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]

	mu      sync.Mutex
	has     map[string]string // accepted pieces
	pending map[string]map[string]string
}

func (l *deltaLine) hello(router string, accepted int64) error {
	l.pending = map[string]map[string]string{}
	return l.g.Send(&discovery.DeltaDiscoveryRequest{Node: node(router, accepted), TypeUrl: SettingsType,
		ResourceNamesSubscribe: []string{"*"}, InitialResourceVersions: pieceVersions(l.has)})
}

func (l *deltaLine) recv() (offer, error) {
	r, err := l.g.Recv()
	if err != nil {
		return offer{}, err
	}
	o := offer{service: r.GetControlPlane().GetIdentifier(), nonce: r.GetNonce()}
	if o.version.Number, o.version.Sum, o.bad = parseInfo(r.GetSystemVersionInfo()); o.bad != nil {
		return o, nil
	}
	if o.version.Number == 0 || r.GetTypeUrl() != SettingsType {
		o.bad = fmt.Errorf("control: a response of type %.80q with version %d", r.GetTypeUrl(), o.version.Number)
		return o, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(l.has)
	if next == nil {
		next = map[string]string{}
	}
	for _, name := range r.GetRemovedResources() {
		delete(next, name)
	}
	for _, one := range r.GetResources() {
		text, err := unpack(one.GetResource())
		if err == nil && (one.GetName() == "" || pieceVersion(string(text)) != one.GetVersion()) {
			err = fmt.Errorf("control: piece %.80q does not match its version %.40q", one.GetName(), one.GetVersion())
		}
		if err != nil {
			o.bad = err
			return o, nil
		}
		next[one.GetName()] = string(text)
	}
	o.version.Body = join(next)
	if configversion.Checksum(o.version.Body) != o.version.Sum && len(l.has) > 0 {
		return o, errMisfit // a whole that is wrong is for the machine to refuse
	}
	l.pending[o.nonce] = next
	return o, nil
}

func (l *deltaLine) reply(nonce string, _, _ int64, reasons []configversion.Reason) error {
	l.mu.Lock()
	if next := l.pending[nonce]; next != nil && len(reasons) == 0 {
		l.has = next
	}
	clear(l.pending)
	l.mu.Unlock()
	return l.g.Send(&discovery.DeltaDiscoveryRequest{TypeUrl: SettingsType, ResponseNonce: nonce, ErrorDetail: detail(reasons)})
}
