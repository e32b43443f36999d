// Spool-load sends requests to running routers as users do, in an open loop.
package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/testbed/loadgen"
)

func main() {
	var asJSON bool
	var plotPrefix, plotFormat string
	var targets []string
	var rate float64
	root := &cobra.Command{Use: "spool-load FILE", Short: "Sends requests to running routers as users do, in an open loop", Args: cobra.ExactArgs(1),
		Example: "  spool-load examples/load.edn\n  spool-load examples/load.edn --targets 127.0.0.1:8080 --rate 500 --plot out",
		RunE: func(c *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			text := string(b)
			s := &loadgen.Script{}
			err = config.Read(args[0], text, s)
			var faults config.Faults
			if errors.As(err, &faults) {
				return &cli.FoundError{Err: err}
			}
			if err != nil {
				return err
			}
			if len(targets) > 0 {
				s.Load.Targets = targets
				var targetFaults config.Faults
				if s.Check(&targetFaults); len(targetFaults) > 0 {
					return &cli.FoundError{Err: targetFaults}
				}
			}
			if rate > 0 {
				s.Arrivals.Rate = rate
			}
			r, err := loadgen.Run(c.Context(), s)
			if err != nil {
				return err
			}
			if plotPrefix != "" {
				if err := r.Plot(plotPrefix, plotFormat); err != nil {
					return err
				}
			}
			return cli.PrintResult(asJSON, r, r.Text)
		}}
	f := root.Flags()
	f.StringSliceVar(&targets, "targets", nil, "routers, instead of the file's")
	f.Float64Var(&rate, "rate", 0, "requests per second, instead of the file's")
	f.StringVar(&plotPrefix, "plot", "", "write the plots PLOT-latency and PLOT-seconds")
	f.StringVar(&plotFormat, "format", "svg", "format of the plots: svg, png or pdf")
	f.BoolVar(&asJSON, "json", false, "print the result as JSON")
	cli.Main(root)
}
