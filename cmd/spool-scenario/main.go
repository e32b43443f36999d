// Spool-scenario plays scripted days against real routers, judges recorded ones and imports
// days of the bench.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/testbed/invariants"
	"indigospool/internal/testbed/scenario"
	"indigospool/internal/testbed/trafficlog"
)

func main() {
	if is, err := scenario.Child(os.Args); is {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(cli.ExitUsage)
		}
		return
	}
	root := &cobra.Command{Use: "spool-scenario", Short: "Plays scripted days against routers, and judges them by the five rules"}
	var o scenario.Options
	var tapFile string
	var asJSON, quiet bool
	run := &cobra.Command{Use: "run DAY", Short: "Play a day; exit 1 if a rule broke or had nothing to look at", Args: cobra.ExactArgs(1),
		Example: "  spool-scenario run examples/bad-day.edn\n  spool-scenario run examples/bad-day.edn --routers 2 --seed 7 --length 12000 --tap day.tap",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return &cli.FoundError{Err: err}
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Self = []string{self}
			if tapFile != "" {
				f, err := os.Create(tapFile)
				if err != nil {
					return err
				}
				defer f.Close()
				o.TrafficLog = f
			}
			if !quiet {
				o.Progress = os.Stderr
			}
			res, err := scenario.Run(c.Context(), s, o)
			if err != nil {
				return err
			}
			return tell(os.Stdout, asJSON, res)
		}}
	run.Flags().IntVar(&o.Routers, "routers", 0, "number of routers, instead of the day's")
	run.Flags().IntVar(&o.Seed, "seed", 0, "seed, instead of the day's")
	run.Flags().Float64Var(&o.Length, "length", 0, "length in ms, instead of the day's; troubles move with it")
	run.Flags().StringVar(&o.Dir, "dir", "", "folder for the routers' settings and logs (default: temporary, kept only if a rule broke)")
	run.Flags().BoolVar(&o.Journal, "journal", false, "have the routers keep journals of their decisions, and replay them")
	run.Flags().StringSliceVar(&o.Without, "without", nil, "kinds of troubles to leave out, to play the same day without them")
	run.Flags().StringVar(&tapFile, "tap", "", "file for the record of what passed on the sockets")
	run.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	run.Flags().BoolVarP(&quiet, "quiet", "q", false, "say nothing while it runs")

	check := &cobra.Command{Use: "check TAP", Short: "Judge a recorded tap again", Args: cobra.ExactArgs(1),
		Example: "  spool-scenario check day.tap",
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			recs, err := trafficlog.Read(f)
			if err != nil {
				return &cli.FoundError{Err: err}
			}
			fig, err := invariants.ParametersFromLog(recs)
			if err != nil {
				return &cli.FoundError{Err: err}
			}
			return tell(os.Stdout, asJSON, &scenario.Result{Verdicts: invariants.Check(recs, fig)})
		}}
	check.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")

	var rate, length float64
	imp := &cobra.Command{Use: "import BENCHDAY.json", Short: "Turn a day drawn by the bench into a script", Args: cobra.ExactArgs(1),
		Long: "Turn a day drawn by the bench into a script of the same kinds of trouble, scaled to what\n" +
			"sockets on one machine bear. The script goes to standard output; what was scaled and\n" +
			"what can't be played is told on standard error.",
		Example: "  lbsim draw SITE --kind trouble > day.json\n  spool-scenario import day.json > day.edn",
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			script, notes, err := scenario.Import(b, scenario.Scale{Rate: rate, Length: length})
			if err != nil {
				return &cli.FoundError{Err: err}
			}
			for _, n := range notes {
				fmt.Fprintln(os.Stderr, n)
			}
			fmt.Print(script)
			return nil
		}}
	imp.Flags().Float64Var(&rate, "rate", 0, "requests a second to play it at (default 150)")
	imp.Flags().Float64Var(&length, "length", 0, "length in ms (default: the day's)")
	root.AddCommand(run, check, imp)
	cli.Main(root)
}

func tell(w io.Writer, asJSON bool, res *scenario.Result) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", " ")
		if err := enc.Encode(res); err != nil {
			return err
		}
	} else {
		if len(res.Summary.Classes) > 0 {
			fmt.Fprint(w, res.Summary.String())
		}
		for _, s := range res.Steps {
			if s.Failure != "" {
				fmt.Fprintf(w, "%-24s WRONG  %s\n", s.Name, s.Failure)
			} else {
				fmt.Fprintf(w, "%-24s %6.0f ms  %s\n", s.Name, s.DurationMS, s.Outcome)
			}
		}
		for _, one := range res.Injected {
			word := ""
			if one.Failed == 0 {
				word = "  UNPROVEN: no call failed"
			}
			fmt.Fprintf(w, "%-24s %6d of %d calls failed%s\n", one.Fault, one.Failed, one.Calls, word)
		}
		for _, p := range res.Replays {
			fmt.Fprintf(w, "%-10s journal replayed: %d lives, %d events, %d actions; %d compared, %d equal, %d behind %d gaps\n", p.Router,
				p.Report.Runs, p.Report.Events, p.Report.Actions, p.Report.Compared, p.Report.Equal, p.Report.Skipped, len(p.Report.Gaps))
			if d := p.Differential; d != nil {
				fmt.Fprintf(w, "%-10s %d of %d attempts and %d fills seen on sockets, %d answers of the adapter, %d stories: %d differ\n", "",
					d.Seen, d.Decided, d.Fills, d.Adapter, d.Explained+d.Asked, d.Different)
				for _, one := range d.Differences {
					fmt.Fprintf(w, "%-10s   %s\n", "", one)
				}
			}
		}
		fmt.Fprint(w, invariants.Summary(res.Verdicts), invariants.Details(res.Verdicts))
		if res.Dir != "" {
			fmt.Fprintf(w, "settings and logs of the routers: %s\n", res.Dir)
		}
	}
	if !res.OK() {
		return cli.ErrFound
	}
	return nil
}
