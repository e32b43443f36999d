// Spool-bench measures the router as a proxy on loopback and compares it with other proxies in the
// same run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/testbed/bench"
)

func main() {
	root := &cobra.Command{Use: "spool-bench", Short: "Measures the router against other proxies and the machine's limit"}
	var sizes, conns []int
	var span time.Duration
	var proxies, idleProxies []string
	var asJSON bool
	var idleConns int
	runCmd := &cobra.Command{Use: "run", Short: "Throughput and latency of cache hits, by object size and number of connections", Args: cobra.NoArgs,
		Example: "  spool-bench run\n  spool-bench run --kb 1 --conns 64 --proxies spool,fasthttp --span 3s",
		RunE: func(c *cobra.Command, _ []string) error {
			child, server, err := startServer(c.Context())
			if err != nil {
				return err
			}
			defer server.Stop()
			if !asJSON {
				fmt.Printf("%-13s %5s %6s %10s %14s %9s %9s %9s %7s\n", "proxy", "KB", "conns", "req/s", "req/CPU-s", "p50 us", "p99 us", "RSS KB", "failed")
			}
			var all []bench.Result
			for _, kb := range sizes {
				for _, n := range conns {
					for _, p := range proxies {
						process, err := bench.StartChild(c.Context(), child, p, server.Addr)
						if err != nil {
							return err
						}
						r, err := bench.Load(c.Context(), process, p, kb, n, span)
						process.Stop()
						if err != nil {
							return err
						}
						all = append(all, r)
						if !asJSON {
							fmt.Printf("%-13s %5d %6d %10.0f %14.0f %9d %9d %9d %7d\n", p, kb, n, r.PerSecond, r.PerCPU, r.P50us, r.P99us, r.RSSKB, r.Failed)
						}
					}
				}
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(all)
			}
			return nil
		}}
	runCmd.Flags().IntSliceVar(&sizes, "kb", []int{1, 64, 1024}, "object sizes, KB")
	runCmd.Flags().IntSliceVar(&conns, "conns", []int{64, 1000}, "numbers of connections")
	runCmd.Flags().StringSliceVar(&proxies, "proxies", bench.Proxies, "proxies to measure")
	runCmd.Flags().DurationVar(&span, "span", 3*time.Second, "measured time of each combination")
	runCmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	idleCmd := &cobra.Command{Use: "idle", Short: "Memory of connections that stay idle after one request", Args: cobra.NoArgs, Example: "  spool-bench idle",
		RunE: func(c *cobra.Command, _ []string) error {
			child, server, err := startServer(c.Context())
			if err != nil {
				return err
			}
			defer server.Stop()
			for _, p := range idleProxies {
				process, err := bench.StartChild(c.Context(), child, p, server.Addr)
				if err != nil {
					return err
				}
				before, after, err := bench.Idle(process, idleConns)
				process.Stop()
				if err != nil {
					return err
				}
				fmt.Printf("%-13s %d idle connections: %d KB resident before, %d after: %.2f KB each\n", p, idleConns, before, after,
					float64(after-before)/float64(idleConns))
			}
			return nil
		}}
	idleCmd.Flags().IntVar(&idleConns, "conns", 10000, "number of connections")
	idleCmd.Flags().StringSliceVar(&idleProxies, "proxies", []string{"spool", "reverseproxy", "fasthttp"}, "proxies to measure")
	var overload bench.OverloadOptions
	var overloadProxies []string
	var plotFile string
	var cpus int
	overloadCmd := &cobra.Command{Use: "overload", Short: "Responses in time under open-loop loads from 0.5 to 4 times the capacity", Args: cobra.NoArgs,
		Example: "  spool-bench overload --plot overload.svg\n  spool-bench overload --kb 64 --factors 1,4 --span 3s",
		RunE: func(c *cobra.Command, _ []string) error {
			var cores *bench.CPUSplit
			if cpus > 0 {
				var err error
				if cores, err = bench.SplitCPUs(cpus); err != nil {
					return err
				}
			}
			child, server, err := startServer(c.Context())
			if err != nil {
				return err
			}
			defer server.Stop()
			if !asJSON {
				fmt.Printf("%-15s %7s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n", "proxy", "factor", "offered", "in time", "least", "most", "late", "refused", "broken", "p50 ms", "p99 ms", "behind ms")
			}
			var all []bench.Point
			for _, p := range overloadProxies {
				process, err := cores.StartChild(c.Context(), child, p, server.Addr)
				if err != nil {
					return err
				}
				list, err := bench.Overload(c.Context(), process, p, overload, func(q bench.Point) {
					if !asJSON {
						fmt.Printf("%-15s %7.2f %9.0f %9.0f %9.0f %9.0f %9.0f %9.0f %9.0f %9.1f %9.1f %9.1f\n", q.Proxy, q.Factor, q.Offered, q.Goodput, q.Least, q.Most, q.Late, q.Rejected, q.Failed, q.P50, q.P99, q.LoadLag)
					}
				})
				process.Stop()
				if err != nil {
					return err
				}
				all = append(all, list...)
			}
			if plotFile != "" {
				if err := bench.PlotOverload(all, plotFile); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(all)
			}
			return nil
		}}
	overloadCmd.Flags().IntVar(&overload.KB, "kb", 256, "object size, KB")
	overloadCmd.Flags().Float64SliceVar(&overload.Factors, "factors", []float64{0.5, 0.8, 1, 1.5, 2, 3, 4}, "offered loads, as multiples of the capacity")
	overloadCmd.Flags().IntVar(&overload.Conns, "conns", 1500, "connections of the load generator")
	overloadCmd.Flags().DurationVar(&overload.Span, "span", 4*time.Second, "measured time of each load, after a warm-up of a quarter of it")
	overloadCmd.Flags().DurationVar(&overload.Deadline, "patience", 500*time.Millisecond, "time from when a request is due within which its response is in time")
	overloadCmd.Flags().StringSliceVar(&overloadProxies, "proxies", []string{"spool-overload", "reverseproxy"}, "proxies to measure")
	overloadCmd.Flags().IntVar(&overload.Rounds, "rounds", 3, "rounds over all loads; the results are the means over the rounds")
	overloadCmd.Flags().IntVar(&cpus, "cpus", 1, "CPUs reserved for the measured proxy; 0: all processes share all CPUs")
	overloadCmd.Flags().StringVar(&plotFile, "plot", "", "file to plot the curve to (.svg, .png or .pdf)")
	overloadCmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	var floodConns, budgetMB int
	var floodSpan time.Duration
	floodCmd := &cobra.Command{Use: "flood", Short: "Resident memory, compared with the budget, while slow clients hold connections", Args: cobra.NoArgs,
		Example: "  spool-bench flood --conns 10000 --memory-mb 64 --span 5m",
		RunE: func(c *cobra.Command, _ []string) error {
			child, server, err := startServer(c.Context())
			if err != nil {
				return err
			}
			defer server.Stop()
			process, err := bench.StartChild(c.Context(), child, fmt.Sprintf("spool-flood-%d", budgetMB), server.Addr)
			if err != nil {
				return err
			}
			defer process.Stop()
			peakKB := int64(0)
			before, list, err := bench.Flood(c.Context(), process, floodConns, floodSpan, func(s bench.FloodSample) {
				if peakKB = max(peakKB, s.RSSKB); s.Second%10 == 0 && !asJSON {
					fmt.Printf("%4d s  %7d KB resident  %5d users served, %d not\n", s.Second, s.RSSKB, s.Good, s.Bad)
				}
			})
			if err != nil {
				return err
			}
			good, bad := int64(0), int64(0)
			for _, s := range list {
				good, bad = good+s.Good, bad+s.Bad
			}
			served, failed := int64(0), int64(0) // the last third, after the router has identified the slow clients
			for _, s := range list[len(list)*2/3:] {
				served, failed = served+s.Good, failed+s.Bad
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(list)
			}
			fmt.Printf("budget %d MB: %.1f MB resident before, %.1f MB at most; %d users served, %d not; in the last third %d served, %d not\n", budgetMB,
				float64(before)/1024, float64(peakKB)/1024, good, bad, served, failed)
			if peakKB > int64(budgetMB)<<10 {
				return fmt.Errorf("resident memory of %d KB exceeds the budget of %d MB", peakKB, budgetMB)
			}
			if served < 9*failed || served == 0 {
				return fmt.Errorf("%d users were served and %d were not in the last third, want at least 9 served for each that was not", served, failed)
			}
			return nil
		}}
	floodCmd.Flags().IntVar(&floodConns, "conns", 10000, "connections; a third read slowly, a third send slowly, a third are idle")
	floodCmd.Flags().IntVar(&budgetMB, "memory-mb", 64, "memory budget of the router, MB")
	floodCmd.Flags().DurationVar(&floodSpan, "span", time.Minute, "length of the flood")
	floodCmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	var fleetSizes []int
	var versions, rate, windows int
	var streamsPerSecond float64
	fleetCmd := &cobra.Command{Use: "fleet", Short: "Time for versions from one control service to reach many routers, over gRPC streams", Args: cobra.NoArgs,
		Example: "  spool-bench fleet --routers 30,300,1000",
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			var all []bench.FleetResult
			if !asJSON {
				fmt.Printf("%-6s %7s %9s %10s %10s %10s %9s %11s %9s %9s %12s\n", "", "routers", "join ms", "mean ms", "worst ms", "used ms",
					"CPU ms/v", "bytes/v/r", "RSS KB", "before KB", "reconnect ms")
			}
			for _, full := range []bool{true, false} {
				for _, n := range fleetSizes {
					r, err := bench.Fleet(c.Context(), []string{self, "child"}, n, versions, streamsPerSecond, full)
					if err != nil {
						return err
					}
					all = append(all, r)
					if !asJSON {
						fmt.Printf("%-6s %7d %9.0f %10.1f %10.1f %10.0f %9.1f %11.0f %9d %9d %12.0f\n", r.Protocol, r.Routers, r.JoinTime, r.ConvergeMean, r.ConvergeWorst, r.ActivateMean,
							r.CPU, r.Bytes, r.RSS, r.RSSBefore, r.ReconnectTime)
					}
				}
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(all)
			}
			fmt.Printf("a version has %d bytes as pushed and differs from the previous one in 1 of 129 members\n", all[0].BodyBytes)
			return nil
		}}
	fleetCmd.Flags().IntSliceVar(&fleetSizes, "routers", []int{30, 300, 1000}, "numbers of routers")
	fleetCmd.Flags().Float64Var(&streamsPerSecond, "per-second", 500, "new streams that the service accepts per second")
	fleetCmd.Flags().IntVar(&versions, "versions", 10, "number of versions; each is pushed when all routers run the previous one")
	versionsCmd := &cobra.Command{Use: "versions", Short: "Latency of requests with a new version every second, and without versions", Args: cobra.NoArgs, Example: "  spool-bench versions",
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			r, err := bench.Versions(c.Context(), []string{self, "child"}, rate, windows, span)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(r)
			}
			for i, word := range []string{"without", "with"} {
				fmt.Printf("%-8s %8d requests, p50 %d us, p99 %d us, p99.9 %d us\n", word, r.Requests[i], r.P50[i], r.P99[i], r.P999[i])
			}
			fmt.Printf("%d versions pushed, version %d in use at the end; %d requests failed; ratio of p99 with to without versions %.2f; by pair of windows %.2f\n", r.Versions, r.LastActive, r.Failed, r.Ratio, r.Ratios)
			return nil
		}}
	versionsCmd.Flags().IntVar(&rate, "rate", 2000, "requests per second")
	versionsCmd.Flags().IntVar(&windows, "windows", 6, "number of windows of each kind")
	versionsCmd.Flags().DurationVar(&span, "span", 5*time.Second, "length of a window")
	for _, c := range []*cobra.Command{fleetCmd, versionsCmd} {
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	}
	var fragments, delays, pageConns []int
	var pageSpan time.Duration
	var assemblers []string
	pagesCmd := &cobra.Command{Use: "pages", Short: "Throughput and latency of pages with fragments, compared with fetching them with Go's HTTP client", Args: cobra.NoArgs,
		Example: "  spool-bench pages\n  spool-bench pages --fragments 10 --delay 20 --conns 1",
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			child := []string{self, "child"}
			fmt.Printf("%-12s %9s %8s %6s %9s %12s %12s %9s %9s %7s\n", "by", "fragments", "delay ms", "conns", "pages/s", "pages/CPU-s", "first p50 us", "p50 us", "p99 us", "failed")
			for _, delay := range delays {
				server, err := bench.StartChild(c.Context(), child, fmt.Sprintf("pages-%d", delay), "-")
				if err != nil {
					return err
				}
				for _, n := range fragments {
					for _, conns := range pageConns {
						for _, by := range assemblers {
							process, err := bench.StartChild(c.Context(), child, by, server.Addr)
							if err != nil {
								server.Stop()
								return err
							}
							r, err := bench.LoadPages(c.Context(), process, by, n, delay, conns, pageSpan)
							process.Stop()
							if err != nil {
								server.Stop()
								return err
							}
							fmt.Printf("%-12s %9d %8d %6d %9.0f %12.0f %12d %9d %9d %7d\n", r.Assembler, n, delay, conns, r.PerSecond, r.PerCPU, r.FirstP50, r.P50, r.P99, r.Failed)
						}
					}
				}
				server.Stop()
			}
			return nil
		}}
	pagesCmd.Flags().IntSliceVar(&fragments, "fragments", []int{1, 10, 50}, "numbers of fragments of a page, 1 KB each")
	pagesCmd.Flags().IntSliceVar(&delays, "delay", []int{0, 20}, "delays of the server for each fragment, ms")
	pagesCmd.Flags().IntSliceVar(&pageConns, "conns", []int{16}, "numbers of connections")
	pagesCmd.Flags().StringSliceVar(&assemblers, "by", bench.Assemblers, "programs to measure")
	pagesCmd.Flags().DurationVar(&pageSpan, "span", 3*time.Second, "measured time of each combination")
	childCmd := &cobra.Command{Use: "child NAME BACKEND", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			if file := os.Getenv("SPOOL_BENCH_CPUPROFILE"); file != "" && strings.HasPrefix(args[0], "spool") {
				f, err := os.Create(file)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			return bench.RunChild(args[0], args[1])
		}}
	root.AddCommand(overloadCmd, floodCmd, runCmd, idleCmd, fleetCmd, versionsCmd, pagesCmd, childCmd)
	cli.Main(root)
}

// startServer starts the server behind the proxies. It returns the command line, without a name
// and a backend, that starts a child.
func startServer(ctx context.Context) (child []string, server *bench.Process, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	child = []string{self, "child"}
	server, err = bench.StartChild(ctx, child, "server", "-")
	return child, server, err
}
