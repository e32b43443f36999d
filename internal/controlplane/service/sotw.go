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

// sentNonces remembers which version went out with which nonce: the last few, since
// an answer to an older one is to be ignored.
type sentNonces struct {
	mu      sync.Mutex
	last    int
	numbers map[string]int64
}

func (t *sentNonces) next(number int64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.numbers == nil {
		t.numbers = map[string]int64{}
	}
	t.last++
	nonce := strconv.Itoa(t.last)
	t.numbers[nonce] = number
	delete(t.numbers, strconv.Itoa(t.last-8))
	return nonce
}

func (t *sentNonces) number(nonce string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.numbers[nonce]
	return n, ok
}

// sotwServerStream is a router's stream by state of the world.
type sotwServerStream struct {
	stream    grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
	snapshots *snapshotCache
	nonces    sentNonces
}

func checkFirstRequest(router, typeURL string) error {
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first request names no node id")
	}
	if typeURL != SettingsType {
		return status.Errorf(codes.InvalidArgument, "control: type %.80q is not served; %s is", typeURL, SettingsType)
	}
	return nil
}

func (p *sotwServerStream) hello() (helloRequest, error) {
	r, err := p.stream.Recv()
	if err != nil {
		return helloRequest{}, err
	}
	j := helloRequest{router: r.GetNode().GetId()}
	if err := checkFirstRequest(j.router, r.GetTypeUrl()); err != nil {
		return j, err
	}
	if j.accepted, _, err = parseVersionInfo(r.GetVersionInfo()); err != nil {
		return j, status.Error(codes.InvalidArgument, err.Error())
	}
	return j, nil
}

func (p *sotwServerStream) send(v configversion.Version, service string) error {
	c, err := p.snapshots.snapshot(v)
	if err != nil {
		return err
	}
	return p.stream.Send(&discovery.DiscoveryResponse{VersionInfo: versionInfo(v), TypeUrl: SettingsType,
		Nonce: p.nonces.next(v.Number), Resources: []*anypb.Any{c.complete}, ControlPlane: controlPlane(service)})
}

func (p *sotwServerStream) recv() (versionResponse, bool, error) {
	r, err := p.stream.Recv()
	if err != nil {
		return versionResponse{}, false, err
	}
	number, known := p.nonces.number(r.GetResponseNonce())
	if !known {
		return versionResponse{}, false, nil
	}
	if d := r.GetErrorDetail(); d != nil {
		return versionResponse{number, reasonLines(d)}, true, nil
	}
	return versionResponse{number: number}, true, nil
}

// sotwClientStream is a service's stream by state of the world.
type sotwClientStream struct {
	stream grpc.BidiStreamingClient[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
}

func (l *sotwClientStream) hello(router string, accepted int64) error {
	r := &discovery.DiscoveryRequest{Node: routerNode(router, accepted), TypeUrl: SettingsType}
	if accepted > 0 {
		r.VersionInfo = strconv.FormatInt(accepted, 10)
	}
	return l.stream.Send(r)
}

func (l *sotwClientStream) recv() (offeredVersion, error) {
	r, err := l.stream.Recv()
	if err != nil {
		return offeredVersion{}, err
	}
	o := offeredVersion{service: r.GetControlPlane().GetIdentifier(), nonce: r.GetNonce()}
	if o.version.Number, o.version.Sum, o.fault = parseVersionInfo(r.GetVersionInfo()); o.fault != nil {
		return o, nil
	}
	if r.GetTypeUrl() != SettingsType || len(r.GetResources()) != 1 {
		o.fault = fmt.Errorf("control: %d resources of type %.80q, where one of %s is wanted", len(r.GetResources()), r.GetTypeUrl(), SettingsType)
	} else if o.version.Number == 0 {
		o.fault = errors.New("control: a response without a version")
	} else {
		o.version.Body, o.fault = unmarshalResource(r.Resources[0])
	}
	return o, nil
}

func (l *sotwClientStream) reply(nonce string, number, accepted int64, reasons []configversion.Reason) error {
	r := &discovery.DiscoveryRequest{TypeUrl: SettingsType, ResponseNonce: nonce, ErrorDetail: errorDetail(reasons)}
	if r.VersionInfo = strconv.FormatInt(number, 10); len(reasons) > 0 {
		r.VersionInfo = strconv.FormatInt(accepted, 10)
	}
	return l.stream.Send(r)
}
