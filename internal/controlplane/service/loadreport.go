package service

import (
	"context"
	"fmt"
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"indigospool/internal/controlplane/rollout"
)

// loadCluster is the name of the only cluster in the load reports, which use Envoy's load
// reporting service. Its only locality has the requests issued and those served in time.
const loadCluster = "requests"

// minReportInterval limits how often an agent reports load, whatever the service
// requests.
const minReportInterval = 10 * time.Millisecond

// LoadCounts has the counts of a router's requests since it started.
type LoadCounts struct {
	Issued    uint64 // requests that clients made
	Succeeded uint64 // requests that were served in time
}

// StreamLoadStats receives a router's load reports.
func (s *Server) StreamLoadStats(stream grpc.BidiStreamingServer[load.LoadStatsRequest, load.LoadStatsResponse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	router := first.GetNode().GetId()
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first load report has no node id")
	}
	if err := checkCertificateName(stream.Context(), router); err != nil {
		return err
	}
	err = stream.Send(&load.LoadStatsResponse{Clusters: []string{loadCluster}, LoadReportingInterval: durationpb.New(s.cfg.ReportInterval)})
	if err != nil {
		return err
	}
	for request := first; err == nil; request, err = stream.Recv() {
		s.handleLoadReport(router, request)
	}
	return nil
}

func (s *Server) handleLoadReport(router string, request *load.LoadStatsRequest) {
	for _, cluster := range request.GetClusterStats() {
		if cluster.GetClusterName() != loadCluster {
			continue
		}
		for _, locality := range cluster.GetUpstreamLocalityStats() {
			s.handle(rollout.LoadReport{
				Router:   router,
				InTime:   float64(locality.GetTotalSuccessfulRequests()),
				Requests: float64(locality.GetTotalIssuedRequests()),
			})
		}
	}
}

// reportLoad sends load reports over a connection until the context ends. The interval
// is the service's or the agent's, whichever is longer.
func (a *Agent) reportLoad(ctx context.Context, conn *grpc.ClientConn) error {
	stream, err := load.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&load.LoadStatsRequest{Node: routerNode(a.cfg.Router, 0)}); err != nil {
		return err
	}
	response, err := stream.Recv()
	if err != nil {
		return err
	}
	interval := max(response.GetLoadReportingInterval().AsDuration(), a.cfg.ReportInterval, minReportInterval)
	last, err := a.cfg.LoadCounts()
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
		counts, err := a.cfg.LoadCounts()
		if err != nil {
			return fmt.Errorf("control: read request counts for the load report: %w", err)
		}
		now := time.Now()
		if counts.Issued < last.Issued || counts.Succeeded < last.Succeeded {
			last = LoadCounts{} // the counters were reset
		}
		if err := stream.Send(loadReport(counts, last, now.Sub(began))); err != nil {
			return err
		}
		last, began = counts, now
	}
}

// loadReport returns a report of the requests between two readings of the counters.
func loadReport(counts, last LoadCounts, interval time.Duration) *load.LoadStatsRequest {
	issued, succeeded := counts.Issued-last.Issued, counts.Succeeded-last.Succeeded
	return &load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{
		ClusterName:        loadCluster,
		LoadReportInterval: durationpb.New(interval),
		UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{
			TotalIssuedRequests:     issued,
			TotalSuccessfulRequests: succeeded,
			TotalErrorRequests:      issued - min(succeeded, issued),
		}},
	}}}
}
