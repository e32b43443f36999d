package service

import (
	"errors"
	"fmt"
	"indigospool/internal/controlplane/configversion"
	"maps"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
)

// The incremental protocol sends only the differences from the pieces that a router has
// accepted. Both sides know these from the protocol: initially the pieces named in the
// stream's first request, then those of the last version acknowledged on the stream. The
// next version is sent only after the response to the previous one, so that both sides
// agree. If they disagree nevertheless, the checksum of the assembled settings does not
// match, and the router opens a new stream that requests the complete settings.

// deltaServerStream is a router's stream in the incremental protocol.
type deltaServerStream struct {
	stream    grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]
	snapshots *snapshotCache
	nonces    sentNonces
	idle      chan struct{} // capacity 1; has a value while no version awaits its response

	mu               sync.Mutex
	accepted         *versionSnapshot  // what the router has accepted, if that is a cached snapshot
	acceptedVersions map[string]string // otherwise the versions of the pieces it has
	pending          *versionSnapshot  // sent, without a response yet
	pendingNonce     string            // empty: none is pending
}

func (d *deltaServerStream) hello() (helloRequest, error) {
	request, err := d.stream.Recv()
	if err != nil {
		return helloRequest{}, err
	}
	d.idle = make(chan struct{}, 1)
	d.idle <- struct{}{}
	versions := request.GetInitialResourceVersions()
	d.accepted = d.snapshots.find(versions)
	if d.accepted == nil {
		d.acceptedVersions = versions
	}
	hello := helloRequest{router: request.GetNode().GetId(), accepted: acceptedNumber(request.GetNode())}
	return hello, checkFirstRequest(hello.router, request.GetTypeUrl())
}

func (d *deltaServerStream) send(v configversion.Version, service string) error {
	select {
	case <-d.idle:
	case <-d.stream.Context().Done():
		return d.stream.Context().Err()
	}
	snapshot, err := d.snapshots.snapshot(v)
	if err != nil {
		return err
	}
	return d.stream.Send(d.response(v, snapshot, service))
}

// response returns the response that updates a router to a version, and marks the
// version as pending.
func (d *deltaServerStream) response(v configversion.Version, snapshot *versionSnapshot, service string) *discovery.DeltaDiscoveryResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	delta := snapshot.deltaFrom(d.accepted, d.acceptedVersions)
	d.pending = snapshot
	d.pendingNonce = d.nonces.next(v.Number)
	return &discovery.DeltaDiscoveryResponse{
		SystemVersionInfo: versionInfo(v),
		TypeUrl:           SettingsType,
		Nonce:             d.pendingNonce,
		Resources:         delta.resources,
		RemovedResources:  delta.removed,
		ControlPlane:      controlPlane(service),
	}
}

func (d *deltaServerStream) recv() (versionResponse, bool, error) {
	request, err := d.stream.Recv()
	if err != nil {
		return versionResponse{}, false, err
	}
	number, known := d.nonces.number(request.GetResponseNonce())
	d.mu.Lock()
	defer d.mu.Unlock()
	if !known || request.GetResponseNonce() != d.pendingNonce {
		return versionResponse{}, false, nil
	}
	reasons := reasonLines(request.GetErrorDetail())
	if reasons == nil {
		d.accepted, d.acceptedVersions = d.pending, nil
	}
	d.pending, d.pendingNonce = nil, ""
	d.idle <- struct{}{}
	return versionResponse{number: number, reasons: reasons}, true, nil
}

// errStateMismatch closes a stream whose two sides disagree about the router's pieces.
var errStateMismatch = errors.New("control: the delta does not match the accepted settings; reconnecting for the complete settings")

// deltaClientStream is a service's stream in the incremental protocol.
type deltaClientStream struct {
	stream grpc.BidiStreamingClient[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]

	mu       sync.Mutex
	accepted map[string]string            // pieces of the last acknowledged version
	pending  map[string]map[string]string // pieces of offered versions, by nonce
}

func (d *deltaClientStream) hello(router string, accepted int64) error {
	d.pending = map[string]map[string]string{}
	return d.stream.Send(&discovery.DeltaDiscoveryRequest{
		Node:                    routerNode(router, accepted),
		TypeUrl:                 SettingsType,
		ResourceNamesSubscribe:  []string{"*"},
		InitialResourceVersions: pieceVersions(d.accepted),
	})
}

func (d *deltaClientStream) recv() (offeredVersion, error) {
	response, err := d.stream.Recv()
	if err != nil {
		return offeredVersion{}, err
	}
	offered := offeredVersion{service: response.GetControlPlane().GetIdentifier(), nonce: response.GetNonce()}
	offered.version.Number, offered.version.Sum, offered.fault = parseVersionInfo(response.GetSystemVersionInfo())
	if offered.fault != nil {
		return offered, nil
	}
	if offered.version.Number == 0 || response.GetTypeUrl() != SettingsType {
		offered.fault = fmt.Errorf("control: response has type %.80q and version %d", response.GetTypeUrl(), offered.version.Number)
		return offered, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	pieces, err := applyDelta(d.accepted, response)
	if err != nil {
		offered.fault = err
		return offered, nil
	}
	offered.version.Body = joinPieces(pieces)
	if configversion.Checksum(offered.version.Body) != offered.version.Sum && len(d.accepted) > 0 {
		return offered, errStateMismatch // wrong complete settings are rejected by the machine instead
	}
	d.pending[offered.nonce] = pieces
	return offered, nil
}

// applyDelta returns the pieces that result from applying a response to the accepted
// ones.
func applyDelta(accepted map[string]string, response *discovery.DeltaDiscoveryResponse) (map[string]string, error) {
	pieces := map[string]string{}
	maps.Copy(pieces, accepted)
	for _, name := range response.GetRemovedResources() {
		delete(pieces, name)
	}
	for _, resource := range response.GetResources() {
		text, err := unmarshalResource(resource.GetResource())
		if err != nil {
			return nil, err
		}
		name := resource.GetName()
		if name == "" || pieceVersion(string(text)) != resource.GetVersion() {
			return nil, fmt.Errorf("control: piece %.80q does not match its version %.40q", name, resource.GetVersion())
		}
		pieces[name] = string(text)
	}
	return pieces, nil
}

func (d *deltaClientStream) reply(r reply) error {
	d.acceptPending(r)
	return d.stream.Send(&discovery.DeltaDiscoveryRequest{
		TypeUrl:       SettingsType,
		ResponseNonce: r.nonce,
		ErrorDetail:   errorDetail(r.reasons),
	})
}

// acceptPending makes the pieces of an offered version the accepted ones if the reply
// is an ACK.
func (d *deltaClientStream) acceptPending(r reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pieces := d.pending[r.nonce]
	if pieces != nil && len(r.reasons) == 0 {
		d.accepted = pieces
	}
	clear(d.pending)
}
