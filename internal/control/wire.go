// Package control is the channel between a control service and its routers:
// xDS's state-of-the-world protocol over gRPC (StreamAggregatedResources), with
// a resource type of our own. server.go is the service's side, agent.go a
// router's; what either decides is decided by internal/fleet.
//
// It runs on goroutines beside the routers' loop and never touches a request:
// an agent hands a version to the router by a callback, which posts it.
package control

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"indigospool/internal/fleet"
)

// SettingsType is the type of the one resource: a message with the field
//
//	bytes body = 1; // settings as S-expressions
//
// which is the form of google.protobuf.BytesValue.
const SettingsType = "type.googleapis.com/indigospool.v1.Settings"

// versionInfo is a version's number and sum, as version_info has it.
func versionInfo(v fleet.Version) string { return strconv.FormatInt(v.Number, 10) + ":" + v.Sum }

// parseInfo reads a number and, where it is given, a sum.
func parseInfo(s string) (number int64, sum string, err error) {
	if s == "" {
		return 0, "", nil
	}
	n, sum, _ := strings.Cut(s, ":")
	number, err = strconv.ParseInt(n, 10, 64)
	if err != nil || number < 0 {
		return 0, "", fmt.Errorf("control: version_info %.60q is no number:sum", s)
	}
	return number, sum, nil
}

func response(v fleet.Version, service, nonce string) (*discovery.DiscoveryResponse, error) {
	body, err := proto.Marshal(wrapperspb.Bytes(v.Body))
	if err != nil {
		return nil, err
	}
	return &discovery.DiscoveryResponse{VersionInfo: versionInfo(v), TypeUrl: SettingsType, Nonce: nonce,
		Resources:    []*anypb.Any{{TypeUrl: SettingsType, Value: body}},
		ControlPlane: controlPlane(service)}, nil
}

// versionOf reads a response. The sum is the stated one; the machine compares.
func versionOf(r *discovery.DiscoveryResponse) (fleet.Version, error) {
	number, sum, err := parseInfo(r.GetVersionInfo())
	if err != nil {
		return fleet.Version{}, err
	}
	if r.GetTypeUrl() != SettingsType || len(r.GetResources()) != 1 {
		return fleet.Version{Number: number}, fmt.Errorf("control: %d resources of type %.80q, where one of %s is wanted",
			len(r.GetResources()), r.GetTypeUrl(), SettingsType)
	}
	var b wrapperspb.BytesValue
	if err := proto.Unmarshal(r.Resources[0].GetValue(), &b); err != nil {
		return fleet.Version{Number: number}, fmt.Errorf("control: the resource is malformed: %w", err)
	}
	if number == 0 {
		return fleet.Version{}, errors.New("control: a response without a version")
	}
	return fleet.Version{Number: number, Sum: sum, Body: b.Value}, nil
}
