// Spool-explain tells why a request went where it did, from a router's journal.
package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/decisionlog/explain"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/decisionlog/replay"
)

func main() {
	var id, svg string
	var asJSON bool
	var request explain.HypotheticalRequest
	root := &cobra.Command{Use: "spool-explain JOURNAL", Short: "Tells why a request went where it did", Args: cobra.ExactArgs(1),
		Long: "Tells why a request went where it did: replays the journal, and listens to the module while\n" +
			"it decides. --id names a recorded request (the access log has ids); --class and --object ask\n" +
			"what would be decided of one that never was, at the journal's end or --at a time of it.",
		Example: "  spool-explain journal --id north-1-dt55-7\n  spool-explain journal --class film --object /v/7/film --part 3 --svg ranges.svg",
		RunE: func(_ *cobra.Command, args []string) error {
			if (id == "") == (request.Object == "") {
				return errors.New("give either --id or --class and --object")
			}
			j, err := journal.OpenReader(args[0])
			if err != nil {
				return err
			}
			defer j.Close()
			var explanation *explain.Explanation
			if id != "" {
				explanation, err = explain.Request(j, id)
			} else {
				explanation, err = explain.Hypothetical(j, request)
			}
			if errors.Is(err, explain.ErrNotFound) || errors.Is(err, replay.ErrNothingToCompare) {
				return &cli.FoundError{Err: err}
			}
			if err != nil {
				return err
			}
			if svg != "" {
				f, err := os.Create(svg)
				if err != nil {
					return err
				}
				explanation.SVG(f)
				if err := f.Close(); err != nil {
					return err
				}
			}
			return cli.PrintResult(asJSON, explanation, explanation.Text)
		}}
	f := root.Flags()
	f.StringVar(&id, "id", "", "id of a recorded request")
	f.StringVar(&request.Class, "class", "", "class of a request that never was")
	f.StringVar(&request.Object, "object", "", "its object")
	f.IntVar(&request.Part, "part", 0, "its part")
	f.IntVar(&request.Group, "group", 0, "its object's group")
	f.Float64Var(&request.KB, "kb", 0, "its size")
	f.BoolVar(&request.Write, "write", false, "it is a write")
	f.Float64Var(&request.At, "at", 0, "when, in ms on the router's clock (default: at the journal's end)")
	f.StringVar(&request.InPlaceOf, "instead", "", "or in place of this recorded request, when that came")
	f.StringVar(&svg, "svg", "", "file for a picture of the ranges")
	f.BoolVar(&asJSON, "json", false, "print it as JSON")
	cli.Main(root)
}
