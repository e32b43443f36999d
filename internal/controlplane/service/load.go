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
const cluster = "requests"

// LoadCounts counts what a router was asked and what it served in time, since it
// began.
type LoadCounts struct{ Issued, Succeeded uint64 }

// StreamLoadStats takes a router's reports.
func (s *Server) StreamLoadStats(g grpc.BidiStreamingServer[load.LoadStatsRequest, load.LoadStatsResponse]) error {
	r, err := g.Recv()
	if err != nil {
		return err
	}
	router := r.GetNode().GetId()
	if router == "" {
		return status.Error(codes.InvalidArgument, "control: the first report names no node id")
	}
	if err := named(g.Context(), router); err != nil {
		return err
	}
	if err := g.Send(&load.LoadStatsResponse{Clusters: []string{cluster}, LoadReportingInterval: durationpb.New(s.cfg.ReportInterval)}); err != nil {
		return err
	}
	for {
		for _, c := range r.GetClusterStats() {
			if c.GetClusterName() != cluster {
				continue
			}
			for _, u := range c.GetUpstreamLocalityStats() {
				s.tell(rollout.LoadReport{Router: router, InTime: float64(u.GetTotalSuccessfulRequests()), Requests: float64(u.GetTotalIssuedRequests())})
			}
		}
		if r, err = g.Recv(); err != nil {
			return nil
		}
	}
}

// report reports service over a connection, at the service's interval or the
// agent's, whichever is longer, until the context ends.
func (a *Agent) report(ctx context.Context, conn *grpc.ClientConn) error {
	g, err := load.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	if err := g.Send(&load.LoadStatsRequest{Node: node(a.cfg.Router, 0)}); err != nil {
		return err
	}
	res, err := g.Recv()
	if err != nil {
		return err
	}
	every := max(res.GetLoadReportingInterval().AsDuration(), a.cfg.ReportInterval, 10*time.Millisecond)
	last, err := a.cfg.LoadCounts()
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return ctx.Err()
		}
		t, err := a.cfg.LoadCounts()
		if err != nil {
			return fmt.Errorf("control: service can't be counted: %w", err)
		}
		now := time.Now()
		if t.Issued < last.Issued || t.Succeeded < last.Succeeded {
			last = LoadCounts{} // the counters began anew
		}
		err = g.Send(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: cluster,
			LoadReportInterval: durationpb.New(now.Sub(began)),
			UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{TotalIssuedRequests: t.Issued - last.Issued,
				TotalSuccessfulRequests: t.Succeeded - last.Succeeded,
				TotalErrorRequests:      (t.Issued - last.Issued) - min(t.Succeeded-last.Succeeded, t.Issued-last.Issued)}}}}})
		if err != nil {
			return err
		}
		last, began = t, now
	}
}
