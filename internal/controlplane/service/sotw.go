package service

import (
	"errors"
	"fmt"
	"indigospool/internal/controlplane/configversion"
	"strconv"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
)

// sotwServerStream is the service's end of a state-of-the-world stream to one router.
type sotwServerStream struct {
	stream    grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
	snapshots *snapshotCache
	nonces    sentNonces
}

func (s *sotwServerStream) hello() (helloRequest, error) {
	request, err := s.stream.Recv()
	if err != nil {
		return helloRequest{}, err
	}
	hello := helloRequest{router: request.GetNode().GetId()}
	if err := checkFirstRequest(hello.router, request.GetTypeUrl()); err != nil {
		return hello, err
	}
	hello.accepted, _, err = parseVersionInfo(request.GetVersionInfo())
	if err != nil {
		return hello, status.Error(codes.InvalidArgument, err.Error())
	}
	return hello, nil
}

func (s *sotwServerStream) send(v configversion.Version, service string) error {
	snapshot, err := s.snapshots.snapshot(v)
	if err != nil {
		return err
	}
	return s.stream.Send(&discovery.DiscoveryResponse{
		VersionInfo:  versionInfo(v),
		TypeUrl:      SettingsType,
		Nonce:        s.nonces.next(v.Number),
		Resources:    []*anypb.Any{snapshot.complete},
		ControlPlane: controlPlane(service),
	})
}

func (s *sotwServerStream) recv() (routerReply, bool, error) {
	request, err := s.stream.Recv()
	if err != nil {
		return routerReply{}, false, err
	}
	number, known := s.nonces.number(request.GetResponseNonce())
	if !known {
		return routerReply{}, false, nil
	}
	return routerReply{number: number, reasons: reasonLines(request.GetErrorDetail())}, true, nil
}

// sotwClientStream is the router's end of a state-of-the-world stream to a service.
type sotwClientStream struct {
	stream grpc.BidiStreamingClient[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
}

func (s *sotwClientStream) hello(router string, accepted int64) error {
	request := &discovery.DiscoveryRequest{Node: routerNode(router, accepted), TypeUrl: SettingsType}
	if accepted > 0 {
		request.VersionInfo = strconv.FormatInt(accepted, 10)
	}
	return s.stream.Send(request)
}

func (s *sotwClientStream) recv() (offeredVersion, error) {
	response, err := s.stream.Recv()
	if err != nil {
		return offeredVersion{}, err
	}
	offered := offeredVersion{service: response.GetControlPlane().GetIdentifier(), nonce: response.GetNonce()}
	offered.version.Number, offered.version.Sum, offered.fault = parseVersionInfo(response.GetVersionInfo())
	if offered.fault != nil {
		return offered, nil
	}
	resources := response.GetResources()
	switch {
	case response.GetTypeUrl() != SettingsType || len(resources) != 1:
		offered.fault = fmt.Errorf("control: response has %d resources of type %.80q, want one of type %s", len(resources), response.GetTypeUrl(), SettingsType)
	case offered.version.Number == 0:
		offered.fault = errors.New("control: response has version 0, want a version above 0")
	default:
		offered.version.Body, offered.fault = unmarshalResource(resources[0])
	}
	return offered, nil
}

func (s *sotwClientStream) reply(r reply) error {
	number := r.number
	if len(r.reasons) > 0 {
		number = r.accepted // a NACK names the version that stays in use
	}
	return s.stream.Send(&discovery.DiscoveryRequest{
		VersionInfo:   strconv.FormatInt(number, 10),
		TypeUrl:       SettingsType,
		ResponseNonce: r.nonce,
		ErrorDetail:   errorDetail(r.reasons),
	})
}
