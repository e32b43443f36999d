// Spool-bench measures the router as a proxy, side by side with others in one
// run on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"

	"indigospool/internal/bench"
	"indigospool/internal/cli"
)

func main() {
	root := &cobra.Command{Use: "spool-bench", Short: "Measures the router against other proxies and the machine's limit"}
	var sizes, conns []int
	var span time.Duration
	var proxies, idlers []string
	var asJSON bool
	var idle int
	run := &cobra.Command{Use: "run", Short: "Hits of several sizes over several numbers of connections", Args: cobra.NoArgs,
		Example: "  spool-bench run\n  spool-bench run --kb 1 --conns 64 --proxies spool,fasthttp --span 3s",
		RunE: func(c *cobra.Command, _ []string) error {
			child, server, err := begin(c.Context())
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
						m, err := bench.StartChild(c.Context(), child, p, server.Addr)
						if err != nil {
							return err
						}
						r, err := bench.Load(c.Context(), m, p, kb, n, span)
						m.Stop()
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
	run.Flags().IntSliceVar(&sizes, "kb", []int{1, 64, 1024}, "sizes of the objects")
	run.Flags().IntSliceVar(&conns, "conns", []int{64, 1000}, "numbers of connections")
	run.Flags().StringSliceVar(&proxies, "proxies", bench.Proxies, "what to measure")
	run.Flags().DurationVar(&span, "span", 3*time.Second, "for how long, each")
	run.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	mem := &cobra.Command{Use: "idle", Short: "Memory of connections that ask once and then nothing", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			child, server, err := begin(c.Context())
			if err != nil {
				return err
			}
			defer server.Stop()
			for _, p := range idlers {
				m, err := bench.StartChild(c.Context(), child, p, server.Addr)
				if err != nil {
					return err
				}
				before, after, err := bench.Idle(m, idle)
				m.Stop()
				if err != nil {
					return err
				}
				fmt.Printf("%-13s %d idle connections: %d KB resident before, %d after: %.2f KB each\n", p, idle, before, after,
					float64(after-before)/float64(idle))
			}
			return nil
		}}
	mem.Flags().IntVar(&idle, "conns", 10000, "how many")
	mem.Flags().StringSliceVar(&idlers, "proxies", []string{"spool", "reverseproxy", "fasthttp"}, "what to measure")
	child := &cobra.Command{Use: "child NAME BACKEND", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			if file := os.Getenv("SPOOL_BENCH_CPUPROFILE"); file != "" && args[0] == "spool" {
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
			return bench.Child(args[0], args[1])
		}}
	root.AddCommand(run, mem, child)
	cli.Main(root)
}

// begin starts the server behind the proxies, and says how to start those.
func begin(ctx context.Context) (child []string, server *bench.Machine, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	child = []string{self, "child"}
	server, err = bench.StartChild(ctx, child, "server", "-")
	return child, server, err
}
