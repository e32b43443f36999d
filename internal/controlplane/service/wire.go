// Package control is the channel between a control service and its routers:
// xDS's aggregated discovery over gRPC, in both of its protocols, with a
// resource type of our own. server.go is the service's side, agent.go a
// router's; sotw.go is the state-of-the-world protocol, delta.go the incremental
// one, load.go the reports of service. service.go is the service as a program
// runs it: its state on disk, its folder of settings, its listener for operators.
//
// What either side decides is decided by internal/controlplane/rollout. The package runs on
// goroutines beside the routers' loop and never touches a request: an agent
// hands a version to the router by a callback, which posts it.
package service

import (
	"fmt"
	"strconv"
	"strings"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"indigospool/internal/controlplane/configversion"
)

// SettingsType is the type of the resources: a message with the field
//
//	bytes body = 1; // settings as S-expressions, or a piece of them
//
// which is the form of google.protobuf.BytesValue. State of the world has one
// resource, the whole; the incremental protocol has pieces, see split.
const SettingsType = "type.googleapis.com/indigospool.v1.Settings"

// versionInfo is a version's number and sum, as version_info has it.
func versionInfo(v configversion.Version) string {
	return strconv.FormatInt(v.Number, 10) + ":" + v.Sum
}

// parseVersionInfo reads a number and, where it is given, a sum.
func parseVersionInfo(s string) (number int64, sum string, err error) {
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

func controlPlane(service string) *core.ControlPlane { return &core.ControlPlane{Identifier: service} }

// routerNode names a router and, for a protocol whose first request has no version,
// the number that it has accepted.
func routerNode(router string, running int64) *core.Node {
	n := &core.Node{Id: router}
	if running > 0 {
		n.Metadata = &structpb.Struct{Fields: map[string]*structpb.Value{
			"accepted": structpb.NewStringValue(strconv.FormatInt(running, 10))}}
	}
	return n
}

// acceptedNumber is the number in a node's metadata, 0 where there is none.
func acceptedNumber(n *core.Node) int64 {
	v, err := strconv.ParseInt(n.GetMetadata().GetFields()["accepted"].GetStringValue(), 10, 64)
	if err != nil || v < 0 {
		return 0
	}
	return v
}

func marshalResource(text []byte) (*anypb.Any, error) {
	b, err := proto.Marshal(wrapperspb.Bytes(text))
	if err != nil {
		return nil, err
	}
	return &anypb.Any{TypeUrl: SettingsType, Value: b}, nil
}

func unmarshalResource(a *anypb.Any) ([]byte, error) {
	if t := a.GetTypeUrl(); t != SettingsType {
		return nil, fmt.Errorf("control: a resource of type %.80q, where %s is wanted", t, SettingsType)
	}
	var b wrapperspb.BytesValue
	if err := proto.Unmarshal(a.GetValue(), &b); err != nil {
		return nil, fmt.Errorf("control: the resource is malformed: %w", err)
	}
	return b.Value, nil
}

// errorDetail is the error_detail of a refusal: one reason a line.
func errorDetail(reasons []configversion.Reason) *rpc.Status {
	if len(reasons) == 0 {
		return nil
	}
	lines := make([]string, len(reasons))
	for i, one := range reasons {
		lines[i] = one.String()
	}
	return &rpc.Status{Code: int32(codes.InvalidArgument), Message: strings.Join(lines, "\n")}
}

func reasonLines(s *rpc.Status) []string {
	if s == nil {
		return nil
	}
	return strings.Split(s.GetMessage(), "\n")
}

// helloRequest is what a router says when its stream begins.
type helloRequest struct {
	router   string
	accepted int64
}

// versionResponse is a router's word on a version that it was sent.
type versionResponse struct {
	number  int64
	reasons []string // nil: accepted
}

// serverStream is a router's stream as the server sees it, by either protocol. One
// goroutine sends, another receives.
type serverStream interface {
	// hello is the first request.
	hello() (helloRequest, error)
	// send sends a version.
	send(v configversion.Version, service string) error
	// recv is the next answer; known is false of one to nothing that is waited for.
	recv() (a versionResponse, known bool, err error)
}

// offeredVersion is a version as a router receives it, and where it can't be read, why.
type offeredVersion struct {
	service string
	version configversion.Version
	nonce   string
	fault   error
}

// clientStream is a service's stream as an agent sees it, by either protocol. One
// goroutine receives, another answers.
type clientStream interface {
	hello(router string, accepted int64) error
	recv() (offeredVersion, error)
	// reply acknowledges what came with the nonce, or refuses it.
	reply(nonce string, number, accepted int64, reasons []configversion.Reason) error
}
