package control

import (
	"errors"
	"fmt"
	"maps"
	"sort"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"

	"indigospool/internal/fleet"
)

// The incremental protocol sends what differs from the pieces that a router has
// accepted. Both sides know which these are from the protocol alone: those named
// when the stream began, and then those of the last version acknowledged on it.
// The next version is sent only once there is a word on the one before, so that
// the two never disagree; if they did all the same, the checksum would tell, and
// the router begins its stream anew with nothing.

// deltaPeer is a router's stream by the incremental protocol.
type deltaPeer struct {
	g    grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]
	sent nonces

	mu      sync.Mutex
	has     map[string]string // versions of the pieces that the router has accepted
	pending map[string]string // and of those on their way
	nonce   string            // of these
	free    chan struct{}     // of one: nothing is on its way
}

func (p *deltaPeer) hello() (joining, error) {
	r, err := p.g.Recv()
	if err != nil {
		return joining{}, err
	}
	p.has, p.free = r.GetInitialResourceVersions(), make(chan struct{}, 1)
	p.free <- struct{}{}
	j := joining{router: r.GetNode().GetId(), running: acceptedBy(r.GetNode())}
	return j, firstFault(j.router, r.GetTypeUrl())
}

func (p *deltaPeer) send(v fleet.Version, service string) error {
	select {
	case <-p.free:
	case <-p.g.Context().Done():
		return p.g.Context().Err()
	}
	pieces := split(v.Body)
	out := &discovery.DeltaDiscoveryResponse{SystemVersionInfo: versionInfo(v), TypeUrl: SettingsType,
		ControlPlane: controlPlane(service)}
	p.mu.Lock()
	p.pending = pieceVersions(pieces)
	var names []string
	for name, version := range p.pending {
		if p.has[name] != version {
			names = append(names, name)
		}
	}
	for name := range p.has {
		if p.pending[name] == "" {
			out.RemovedResources = append(out.RemovedResources, name)
		}
	}
	p.nonce = p.sent.next(v.Number)
	out.Nonce = p.nonce
	p.mu.Unlock()
	sort.Strings(names)
	sort.Strings(out.RemovedResources)
	for _, name := range names {
		a, err := pack([]byte(pieces[name]))
		if err != nil {
			return err
		}
		out.Resources = append(out.Resources, &discovery.Resource{Name: name, Version: pieceVersion(pieces[name]), Resource: a})
	}
	return p.g.Send(out)
}

func (p *deltaPeer) recv() (answer, bool, error) {
	r, err := p.g.Recv()
	if err != nil {
		return answer{}, false, err
	}
	number, known := p.sent.number(r.GetResponseNonce())
	if !known {
		return answer{}, false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.GetResponseNonce() != p.nonce {
		return answer{}, false, nil
	}
	p.nonce = ""
	d := r.GetErrorDetail()
	if d == nil {
		p.has = p.pending
	}
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
	if fleet.SumOf(o.version.Body) != o.version.Sum && len(l.has) > 0 {
		return o, errMisfit // a whole that is wrong is for the machine to refuse
	}
	l.pending[o.nonce] = next
	return o, nil
}

func (l *deltaLine) reply(nonce string, _, _ int64, reasons []fleet.Reason) error {
	l.mu.Lock()
	if next := l.pending[nonce]; next != nil && len(reasons) == 0 {
		l.has = next
	}
	clear(l.pending)
	l.mu.Unlock()
	return l.g.Send(&discovery.DeltaDiscoveryRequest{TypeUrl: SettingsType, ResponseNonce: nonce, ErrorDetail: detail(reasons)})
}
