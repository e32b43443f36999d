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

// The incremental protocol transfers the settings in pieces. Each piece is one xDS resource,
// whose version is a checksum of the piece's text; see splitPieces. The service sends only
// the differences from the pieces that the router has accepted. Both sides know the accepted
// pieces: initially they are those named in the stream's first request, then those of the
// last version acknowledged on the stream. The service sends the next version only after the
// router's reply (ACK or NACK) to the previous one, so that both sides agree. If they disagree
// nevertheless, the checksum of the assembled settings does not match, and the router opens a
// new stream that requests the complete settings.

// deltaServerStream is the service's end of an incremental stream to one router.
type deltaServerStream struct {
	stream    grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]
	snapshots *snapshotCache
	nonces    sentNonces
	idle      chan struct{} // semaphore of capacity 1: has a value while no version awaits its reply

	mu               sync.Mutex
	accepted         *versionSnapshot  // version that the router has accepted, if it is a cached snapshot; otherwise nil
	acceptedVersions map[string]string // if accepted is nil: the checksums of the router's pieces, by name
	pending          *versionSnapshot  // sent, without a reply yet; nil: none
	pendingNonce     string            // nonce of pending; empty: none is pending
}

// hello implements serverStream.
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

// send implements serverStream. It waits for the reply to the previous version.
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

// recv implements serverStream. Only the nonce of the pending version is known.
func (d *deltaServerStream) recv() (routerReply, bool, error) {
	request, err := d.stream.Recv()
	if err != nil {
		return routerReply{}, false, err
	}
	number, known := d.nonces.number(request.GetResponseNonce())
	d.mu.Lock()
	defer d.mu.Unlock()
	if !known || request.GetResponseNonce() != d.pendingNonce {
		return routerReply{}, false, nil
	}
	reasons := reasonLines(request.GetErrorDetail())
	if reasons == nil {
		d.accepted, d.acceptedVersions = d.pending, nil
	}
	d.pending, d.pendingNonce = nil, ""
	d.idle <- struct{}{}
	return routerReply{number: number, reasons: reasons}, true, nil
}

// errStateMismatch closes a stream whose two sides disagree about which pieces the router has
// accepted.
var errStateMismatch = errors.New("control: the delta does not match the accepted settings; reconnecting for the complete settings")

// deltaClientStream is the router's end of an incremental stream to a service.
type deltaClientStream struct {
	stream grpc.BidiStreamingClient[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]

	mu       sync.Mutex
	accepted map[string]string            // pieces of the last acknowledged version, text by name
	pending  map[string]map[string]string // pieces of offered versions, by nonce and name
}

// hello implements clientStream.
func (d *deltaClientStream) hello(router string, accepted int64) error {
	d.pending = map[string]map[string]string{}
	return d.stream.Send(&discovery.DeltaDiscoveryRequest{
		Node:                    routerNode(router, accepted),
		TypeUrl:                 SettingsType,
		ResourceNamesSubscribe:  []string{"*"},
		InitialResourceVersions: pieceVersions(d.accepted),
	})
}

// recv implements clientStream. If the settings that result from a delta do not have the
// version's checksum, the error is errStateMismatch.
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
		offered.fault = fmt.Errorf("control: response has type %.80q and version %d, want type %s and a version above 0", response.GetTypeUrl(), offered.version.Number, SettingsType)
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
	// After a delta, a wrong checksum means that the two sides disagree about the accepted
	// pieces, so the router reconnects for the complete settings. If no pieces were accepted
	// yet, the response already has the complete settings; configversion.Machine rejects them.
	if configversion.Checksum(offered.version.Body) != offered.version.Sum && len(d.accepted) > 0 {
		return offered, errStateMismatch
	}
	d.pending[offered.nonce] = pieces
	return offered, nil
}

// applyDelta returns the pieces that result from applying a response to the accepted
// pieces.
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
			return nil, fmt.Errorf("control: piece %.80q has version %.40q, want a name and version %s", name, resource.GetVersion(), pieceVersion(string(text)))
		}
		pieces[name] = string(text)
	}
	return pieces, nil
}

// reply implements clientStream.
func (d *deltaClientStream) reply(r reply) error {
	d.acceptPending(r)
	return d.stream.Send(&discovery.DeltaDiscoveryRequest{
		TypeUrl:       SettingsType,
		ResponseNonce: r.nonce,
		ErrorDetail:   errorDetail(r.reasons),
	})
}

// acceptPending makes the pieces of an offered version the accepted ones if the reply
// is an ACK. In any case it forgets the pieces of all pending versions.
func (d *deltaClientStream) acceptPending(r reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pieces := d.pending[r.nonce]
	if pieces != nil && len(r.reasons) == 0 {
		d.accepted = pieces
	}
	clear(d.pending)
}
