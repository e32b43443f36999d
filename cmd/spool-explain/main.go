// Spool-explain explains from a router's journal why a request was sent where it was.
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
	root := &cobra.Command{Use: "spool-explain JOURNAL", Short: "Explains why a request was sent where it was", Args: cobra.ExactArgs(1),
		Long: "Explains why a request was sent where it was: replays the journal and observes the module's\n" +
			"decisions. --id is the id of a recorded request, as in the access log. --class and --object\n" +
			"describe a hypothetical request, at the journal's end or, with --at, at a time before it.",
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
	f.StringVar(&request.Class, "class", "", "class of a hypothetical request")
	f.StringVar(&request.Object, "object", "", "object of the hypothetical request")
	f.IntVar(&request.Part, "part", 0, "part of the object")
	f.IntVar(&request.Group, "group", 0, "group of the object")
	f.Float64Var(&request.KB, "kb", 0, "size of the answer, KB")
	f.BoolVar(&request.Write, "write", false, "the hypothetical request is a write")
	f.Float64Var(&request.At, "at", 0, "time of arrival of the hypothetical request, ms on the router's clock (default: the journal's end)")
	f.StringVar(&request.InPlaceOf, "instead", "", "id of a recorded request to replace, with that request's time of arrival")
	f.StringVar(&svg, "svg", "", "file for a drawing of the ranges of parts")
	f.BoolVar(&asJSON, "json", false, "print the result as JSON")
	cli.Main(root)
}
