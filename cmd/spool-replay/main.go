// Spool-replay passes the events of a router's journal to a decision module again, and compares
// its actions with the recorded ones. It can also simulate the effect of other settings or
// members, or send the recorded requests to running routers.
package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/decisionlog/replay"
	"indigospool/internal/decisionlog/whatif"
	"indigospool/internal/testbed/loadgen"
)

// flags are the command-line flags.
type flags struct {
	asJSON      bool
	settings    string
	drop        []string
	slow        []string
	live        []string
	speed       string
	routes      string
	writes      bool
	maxRequests int
	connections int
	plot        string
}

func main() {
	var f flags
	root := &cobra.Command{Use: "spool-replay JOURNAL", Short: "Replays a router's decision journal; exits with 1 if there is a difference", Args: cobra.ExactArgs(1),
		Long: "Replays a router's decision journal, a directory of segments or a single segment. Each event is\n" +
			"passed to the module of this program, and its actions are compared with the recorded ones. The\n" +
			"first difference is shown with the records before it.\n\n" +
			"With --settings, --drop-member or --slow it shows the effect of a change: the recorded requests\n" +
			"and updates are simulated twice, without and with the change, with members that answer like the\n" +
			"recorded ones. Exits with 1 if a rule is at risk more often with the change.\n\n" +
			"With --live it sends the requests of a journal or an access log to running routers on this\n" +
			"machine, at the recorded intervals. Latencies are measured from the time a request is due.",
		Example: "  spool-replay /var/lib/spool/journal\n  spool-replay journal --json\n" +
			"  spool-replay journal --drop-member north-3\n  spool-replay journal --slow parent-1=3 --settings new.edn\n" +
			"  spool-replay journal --live 127.0.0.1:8080 --speed 2\n" +
			"  spool-replay access.log --routes edge.edn --live 127.0.0.1:8080 --speed max --plot out",
		RunE: func(c *cobra.Command, args []string) error {
			switch {
			case len(f.live) > 0 && (f.settings != "" || len(f.drop)+len(f.slow) > 0):
				return errors.New("--live sends requests, but --settings, --drop-member and --slow simulate a change: give one or the other")
			case len(f.live) > 0:
				return live(c, &f, args[0])
			case f.settings != "" || len(f.drop)+len(f.slow) > 0:
				return whatIf(&f, args[0])
			}
			return compare(&f, args[0])
		}}
	fl := root.Flags()
	fl.BoolVar(&f.asJSON, "json", false, "print the result as JSON")
	fl.StringVar(&f.settings, "settings", "", "simulate the router with the settings in this file")
	fl.StringArrayVar(&f.drop, "drop-member", nil, "simulate the endpoint list without this member (may be repeated)")
	fl.StringArrayVar(&f.slow, "slow", nil, "simulate a member whose answers take longer by a factor, such as north-3=3 (may be repeated)")
	fl.StringSliceVar(&f.live, "live", nil, "send the requests to these routers, host:port on this machine, in turn")
	fl.StringVar(&f.speed, "speed", "1", "with --live: factor for the recorded request rate, or max")
	fl.StringVar(&f.routes, "routes", "", "with --live: settings file with the routes that give the requests' paths (default: the journal's settings)")
	fl.BoolVar(&f.writes, "writes", false, "with --live: send writes too, each with a new idempotency key and a body of zeros")
	fl.IntVar(&f.maxRequests, "most", 1000000, "with --live: maximum number of requests")
	fl.IntVar(&f.connections, "conns", 512, "with --live: connections per router")
	fl.StringVar(&f.plot, "plot", "", "with --live: write the plots PLOT-latency.svg and PLOT-seconds.svg")
	cli.Main(root)
}

func compare(f *flags, path string) error {
	j, err := journal.OpenReader(path)
	if err != nil {
		return err
	}
	defer j.Close()
	startedAt := time.Now()
	r, err := replay.Run(j, nil)
	if err != nil {
		return &cli.FoundError{Err: err}
	}
	if err := cli.PrintResult(f.asJSON, r, func(w io.Writer) { printReport(w, r, time.Since(startedAt)) }); err != nil {
		return err
	}
	if r.Compared == 0 {
		return &cli.FoundError{Err: replay.ErrNothingToCompare}
	}
	if !r.OK() {
		return cli.ErrFound
	}
	return nil
}

func whatIf(f *flags, path string) error {
	change := whatif.Change{Drop: f.drop, Slow: map[string]float64{}}
	for _, one := range f.slow {
		id, text, ok := strings.Cut(one, "=")
		factor, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(factor > 0) || id == "" {
			return fmt.Errorf("--slow %q: want MEMBER=FACTOR, such as north-3=3", one)
		}
		change.Slow[id] = factor
	}
	if f.settings != "" {
		change.Settings = &config.Settings{}
		if err := config.ReadFile(f.settings, change.Settings); err != nil {
			return &cli.FoundError{Err: err}
		}
	}
	startedAt := time.Now()
	r, err := whatif.Compare(func() (*journal.Reader, error) { return journal.OpenReader(path) }, change)
	if err != nil {
		return err
	}
	if err := cli.PrintResult(f.asJSON, r, func(w io.Writer) {
		r.Text(w)
		fmt.Fprintf(w, "%d events handled in %.1f s\n", r.Events(), time.Since(startedAt).Seconds())
	}); err != nil {
		return err
	}
	for _, one := range r.Risks {
		if one.Modified > one.Baseline {
			return cli.ErrFound
		}
	}
	return nil
}

func live(c *cobra.Command, f *flags, path string) error {
	speed, err := strconv.ParseFloat(f.speed, 64)
	if f.speed == "max" {
		speed, err = 0, nil
	} else if err != nil || !(speed > 0) {
		return fmt.Errorf("--speed %q: want a positive factor, such as 1 or 2.5, or max", f.speed)
	}
	var routes *config.Settings
	if f.routes != "" {
		routes = &config.Settings{}
		if err := config.ReadFile(f.routes, routes); err != nil {
			return &cli.FoundError{Err: err}
		}
	}
	src, err := loadgen.OpenReplay(path, loadgen.ReplayOptions{Routes: routes, Speed: speed, Writes: f.writes})
	if err != nil {
		return err
	}
	defer src.Close()
	r, err := loadgen.RunReplay(c.Context(), src, loadgen.LoadSettings{Name: path, Targets: f.live, Conns: f.connections, MaxRequests: f.maxRequests})
	if err != nil {
		return err
	}
	if f.plot != "" {
		if err := r.Plot(f.plot, "svg"); err != nil {
			return err
		}
	}
	if err := cli.PrintResult(f.asJSON, r, r.Text); err != nil {
		return err
	}
	for _, k := range r.Classes {
		if k.Broken > 0 || k.Failed > 0 {
			return cli.ErrFound
		}
	}
	return nil
}

func printReport(w io.Writer, r *replay.Report, duration time.Duration) {
	fmt.Fprintf(w, "%d runs, %d events, %d actions; %d events compared, %d equal, %d different; %.0f events/s\n",
		r.Runs, r.Events, r.Actions, r.Compared, r.Equal, r.Different, float64(r.Events)/max(duration.Seconds(), 1e-6))
	if len(r.Gaps) > 0 {
		fmt.Fprintf(w, "%d gaps, %d records known to be lost, %d events and changes of settings not replayed; the first gap: %s\n", len(r.Gaps), r.Lost, r.Skipped, r.Gaps[0])
	}
	if r.Truncation != "" {
		fmt.Fprintln(w, r.Truncation)
	}
	if r.Unfinished > 0 {
		fmt.Fprintf(w, "%d requests had no final answer when their router's run ended\n", r.Unfinished)
	}
	if d := r.First; d != nil {
		fmt.Fprintf(w, "first difference: record %d, %s at byte %d, t %.3f\n  event  %s\n", d.Number, d.Segment, d.Offset, d.T, d.Event)
		for _, a := range d.Recorded {
			fmt.Fprintf(w, "  was    %s\n", a)
		}
		for _, a := range d.Replayed {
			fmt.Fprintf(w, "  is     %s\n", a)
		}
		fmt.Fprintln(w, "  before:")
		for _, b := range d.Before {
			fmt.Fprintf(w, "    %s\n", b)
		}
	}
}
