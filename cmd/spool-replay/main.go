// Spool-replay tells a decision module again what a router's journal holds, and
// compares its answers with those that were recorded.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/journal"
	"indigospool/internal/replay"
)

func main() {
	var asJSON bool
	root := &cobra.Command{Use: "spool-replay JOURNAL", Short: "Replays a router's journal of decisions; exit 1 at a difference", Args: cobra.ExactArgs(1),
		Long: "Replays a router's journal of decisions: a folder of segments, or one segment. Each event is\n" +
			"told to the module of this program, and its answer compared with the recorded one. The first\n" +
			"difference is shown with the records before it.",
		Example: "  spool-replay /var/lib/spool/journal\n  spool-replay journal --json",
		RunE: func(_ *cobra.Command, args []string) error {
			j, err := journal.OpenReader(args[0])
			if err != nil {
				return err
			}
			defer j.Close()
			began := time.Now()
			r, err := replay.Run(j, nil)
			if err != nil {
				return &cli.FoundError{Err: err}
			}
			if asJSON {
				enc := json.NewEncoder(os.Stdout)
				enc.SetIndent("", " ")
				if err := enc.Encode(r); err != nil {
					return err
				}
			} else {
				tell(os.Stdout, r, time.Since(began))
			}
			if r.Compared == 0 {
				return &cli.FoundError{Err: replay.ErrNothing}
			}
			if !r.OK() {
				return cli.ErrFound
			}
			return nil
		}}
	root.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	cli.Main(root)
}

func tell(w io.Writer, r *replay.Report, took time.Duration) {
	fmt.Fprintf(w, "%d lives, %d events, %d actions; %d answers compared, %d equal, %d different; %.0f events a second\n",
		r.Lives, r.Events, r.Actions, r.Compared, r.Equal, r.Different, float64(r.Events)/max(took.Seconds(), 1e-6))
	if len(r.Gaps) > 0 {
		fmt.Fprintf(w, "%d gaps, %d records known to be lost, %d events behind them not compared; the first: %s\n", len(r.Gaps), r.Lost, r.Skipped, r.Gaps[0])
	}
	if r.Cut != "" {
		fmt.Fprintln(w, r.Cut)
	}
	if r.Unfinished > 0 {
		fmt.Fprintf(w, "%d requests had no final answer when their router ended\n", r.Unfinished)
	}
	if d := r.First; d != nil {
		fmt.Fprintf(w, "first difference: record %d, %s at byte %d, t %.3f\n  event  %s\n", d.Number, d.Segment, d.Offset, d.T, d.Event)
		for _, a := range d.Was {
			fmt.Fprintf(w, "  was    %s\n", a)
		}
		for _, a := range d.Is {
			fmt.Fprintf(w, "  is     %s\n", a)
		}
		fmt.Fprintln(w, "  before:")
		for _, b := range d.Before {
			fmt.Fprintf(w, "    %s\n", b)
		}
	}
}
