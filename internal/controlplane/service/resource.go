package service

import (
	"fmt"
	"indigospool/internal/controlplane/configversion"
	"strconv"
	"strings"
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// SettingsType is the type URL of the resources: a message with the field
//
//	bytes body = 1; // settings as S-expressions, or a piece of them
//
// which has the encoding of google.protobuf.BytesValue. The state-of-the-world protocol
// has one resource, the complete settings; the incremental protocol has one for each
// piece, see splitPieces.
const SettingsType = "type.googleapis.com/indigospool.v1.Settings"

// versionInfo returns a version's number and checksum in the format of version_info.
func versionInfo(v configversion.Version) string {
	return strconv.FormatInt(v.Number, 10) + ":" + v.Sum
}

// parseVersionInfo parses a number and an optional checksum. An empty text is number 0.
func parseVersionInfo(text string) (number int64, sum string, err error) {
	if text == "" {
		return 0, "", nil
	}
	digits, sum, _ := strings.Cut(text, ":")
	number, err = strconv.ParseInt(digits, 10, 64)
	if err != nil || number < 0 {
		return 0, "", fmt.Errorf("control: version_info %.60q does not have the format number:checksum", text)
	}
	return number, sum, nil
}

func controlPlane(service string) *core.ControlPlane { return &core.ControlPlane{Identifier: service} }

// routerNode returns a router's node. The accepted number is in its metadata, since the
// first request of the incremental protocol has no version field.
func routerNode(router string, accepted int64) *core.Node {
	node := &core.Node{Id: router}
	if accepted > 0 {
		node.Metadata = &structpb.Struct{Fields: map[string]*structpb.Value{
			"accepted": structpb.NewStringValue(strconv.FormatInt(accepted, 10))}}
	}
	return node
}

// acceptedNumber returns the accepted number from a node's metadata, or 0.
func acceptedNumber(node *core.Node) int64 {
	number, err := strconv.ParseInt(node.GetMetadata().GetFields()["accepted"].GetStringValue(), 10, 64)
	if err != nil || number < 0 {
		return 0
	}
	return number
}

func marshalResource(text []byte) (*anypb.Any, error) {
	value, err := proto.Marshal(wrapperspb.Bytes(text))
	if err != nil {
		return nil, err
	}
	return &anypb.Any{TypeUrl: SettingsType, Value: value}, nil
}

func unmarshalResource(resource *anypb.Any) ([]byte, error) {
	if url := resource.GetTypeUrl(); url != SettingsType {
		return nil, fmt.Errorf("control: resource has type %.80q, want %s", url, SettingsType)
	}
	var body wrapperspb.BytesValue
	if err := proto.Unmarshal(resource.GetValue(), &body); err != nil {
		return nil, fmt.Errorf("control: malformed resource: %w", err)
	}
	return body.Value, nil
}

// errorDetail returns the error_detail of a NACK, with one reason per line, or nil for
// an ACK, which has no reasons.
func errorDetail(reasons []configversion.Reason) *rpc.Status {
	if len(reasons) == 0 {
		return nil
	}
	lines := make([]string, len(reasons))
	for i, reason := range reasons {
		lines[i] = reason.String()
	}
	return &rpc.Status{Code: int32(codes.InvalidArgument), Message: strings.Join(lines, "\n")}
}

// reasonLines returns the reasons in an error_detail, or nil for an ACK.
func reasonLines(detail *rpc.Status) []string {
	if detail == nil {
		return nil
	}
	return strings.Split(detail.GetMessage(), "\n")
}

// checkFirstRequest returns the status error for a stream whose first request has no
// node id or requests another type.
func checkFirstRequest(router, typeURL string) error {
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first request has no node id")
	}
	if typeURL != SettingsType {
		return status.Errorf(codes.InvalidArgument, "control: type %.80q is not supported, want %s", typeURL, SettingsType)
	}
	return nil
}

// maxNonces is how many nonces of a stream are remembered.
const maxNonces = 8

// sentNonces maps the last nonces of a stream to versions. Replies with older nonces must
// be ignored.
type sentNonces struct {
	mu      sync.Mutex
	last    int
	numbers map[string]int64 // versions by nonce
}

// next returns the nonce for a version that is about to be sent.
func (s *sentNonces) next(number int64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.numbers == nil {
		s.numbers = map[string]int64{}
	}
	s.last++
	nonce := strconv.Itoa(s.last)
	s.numbers[nonce] = number
	delete(s.numbers, strconv.Itoa(s.last-maxNonces))
	return nonce
}

// number returns the number of the version that was sent with a nonce.
func (s *sentNonces) number(nonce string) (number int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, known = s.numbers[nonce]
	return number, known
}
