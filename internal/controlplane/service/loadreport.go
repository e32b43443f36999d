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

// Reports of service go by Envoy's load reporting service: one cluster, named
// requests, whose one locality counts what was asked and what was served in time.
const loadCluster = "requests"

// LoadCounts counts what a router was asked and what it served in time, since it
// began.
type LoadCounts struct{ Issued, Succeeded uint64 }

// StreamLoadStats takes a router's reports.
func (s *Server) StreamLoadStats(stream grpc.BidiStreamingServer[load.LoadStatsRequest, load.LoadStatsResponse]) error {
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	router := request.GetNode().GetId()
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first report names no node id")
	}
	if err := checkCertificateName(stream.Context(), router); err != nil {
		return err
	}
	if err := stream.Send(&load.LoadStatsResponse{Clusters: []string{loadCluster}, LoadReportingInterval: durationpb.New(s.cfg.ReportInterval)}); err != nil {
		return err
	}
	for {
		for _, c := range request.GetClusterStats() {
			if c.GetClusterName() != loadCluster {
				continue
			}
			for _, u := range c.GetUpstreamLocalityStats() {
				s.handle(rollout.LoadReport{Router: router, InTime: float64(u.GetTotalSuccessfulRequests()), Requests: float64(u.GetTotalIssuedRequests())})
			}
		}
		if request, err = stream.Recv(); err != nil {
			return nil
		}
	}
}

// reportLoad reports service over a connection, at the service's interval or the
// agent's, whichever is longer, until the context ends.
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
	interval := max(response.GetLoadReportingInterval().AsDuration(), a.cfg.ReportInterval, 10*time.Millisecond)
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
			return fmt.Errorf("control: service can't be counted: %w", err)
		}
		now := time.Now()
		if counts.Issued < last.Issued || counts.Succeeded < last.Succeeded {
			last = LoadCounts{} // the counters began anew
		}
		err = stream.Send(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: loadCluster,
			LoadReportInterval: durationpb.New(now.Sub(began)),
			UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{TotalIssuedRequests: counts.Issued - last.Issued,
				TotalSuccessfulRequests: counts.Succeeded - last.Succeeded,
				TotalErrorRequests:      (counts.Issued - last.Issued) - min(counts.Succeeded-last.Succeeded, counts.Issued-last.Issued)}}}}})
		if err != nil {
			return err
		}
		last, began = counts, now
	}
}
