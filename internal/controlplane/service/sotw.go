package service

import (
	"errors"
	"fmt"
	"strconv"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"indigospool/internal/controlplane/configversion"
)

// nonces remembers which version went out with which nonce: the last few, since
// an answer to an older one is to be ignored.
type nonces struct {
	mu   sync.Mutex
	n    int
	sent map[string]int64
}

func (t *nonces) next(number int64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = map[string]int64{}
	}
	t.n++
	nonce := strconv.Itoa(t.n)
	t.sent[nonce] = number
	delete(t.sent, strconv.Itoa(t.n-8))
	return nonce
}

func (t *nonces) number(nonce string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.sent[nonce]
	return n, ok
}

// sotwPeer is a router's stream by state of the world.
type sotwPeer struct {
	g    grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
	cuts *cutter
	sent nonces
}

func firstFault(router, typeURL string) error {
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first request names no node id")
	}
	if typeURL != SettingsType {
		return status.Errorf(codes.InvalidArgument, "control: type %.80q is not served; %s is", typeURL, SettingsType)
	}
	return nil
}

func (p *sotwPeer) hello() (joining, error) {
	r, err := p.g.Recv()
	if err != nil {
		return joining{}, err
	}
	j := joining{router: r.GetNode().GetId()}
	if err := firstFault(j.router, r.GetTypeUrl()); err != nil {
		return j, err
	}
	if j.running, _, err = parseInfo(r.GetVersionInfo()); err != nil {
		return j, status.Error(codes.InvalidArgument, err.Error())
	}
	return j, nil
}

func (p *sotwPeer) send(v configversion.Version, service string) error {
	c, err := p.cuts.cut(v)
	if err != nil {
		return err
	}
	return p.g.Send(&discovery.DiscoveryResponse{VersionInfo: versionInfo(v), TypeUrl: SettingsType,
		Nonce: p.sent.next(v.Number), Resources: []*anypb.Any{c.whole}, ControlPlane: controlPlane(service)})
}

func (p *sotwPeer) recv() (answer, bool, error) {
	r, err := p.g.Recv()
	if err != nil {
		return answer{}, false, err
	}
	number, known := p.sent.number(r.GetResponseNonce())
	if !known {
		return answer{}, false, nil
	}
	if d := r.GetErrorDetail(); d != nil {
		return answer{number, detailLines(d)}, true, nil
	}
	return answer{number: number}, true, nil
}

// sotwLine is a service's stream by state of the world.
type sotwLine struct {
	g grpc.BidiStreamingClient[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
}

func (l *sotwLine) hello(router string, accepted int64) error {
	r := &discovery.DiscoveryRequest{Node: node(router, accepted), TypeUrl: SettingsType}
	if accepted > 0 {
		r.VersionInfo = strconv.FormatInt(accepted, 10)
	}
	return l.g.Send(r)
}

func (l *sotwLine) recv() (offer, error) {
	r, err := l.g.Recv()
	if err != nil {
		return offer{}, err
	}
	o := offer{service: r.GetControlPlane().GetIdentifier(), nonce: r.GetNonce()}
	if o.version.Number, o.version.Sum, o.bad = parseInfo(r.GetVersionInfo()); o.bad != nil {
		return o, nil
	}
	if r.GetTypeUrl() != SettingsType || len(r.GetResources()) != 1 {
		o.bad = fmt.Errorf("control: %d resources of type %.80q, where one of %s is wanted", len(r.GetResources()), r.GetTypeUrl(), SettingsType)
	} else if o.version.Number == 0 {
		o.bad = errors.New("control: a response without a version")
	} else {
		o.version.Body, o.bad = unpack(r.Resources[0])
	}
	return o, nil
}

func (l *sotwLine) reply(nonce string, number, accepted int64, reasons []configversion.Reason) error {
	r := &discovery.DiscoveryRequest{TypeUrl: SettingsType, ResponseNonce: nonce, ErrorDetail: detail(reasons)}
	if r.VersionInfo = strconv.FormatInt(number, 10); len(reasons) > 0 {
		r.VersionInfo = strconv.FormatInt(accepted, 10)
	}
	return l.g.Send(r)
}
