// Spool-fleet checks endpoint lists before routers use them.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/endpointcheck"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/testbed/loadgen"
)

func main() {
	root := &cobra.Command{Use: "spool-fleet", Short: "Checks endpoint lists before routers use them"}
	var options endpointcheck.Options
	var against string
	var asJSON, rehearse bool
	var loadFile string
	var rehearseOptions endpointcheck.RehearseOptions
	check := &cobra.Command{Use: "check LIST", Short: "Report the effects of a list; exit 1 if routers would reject it", Args: cobra.ExactArgs(1),
		Long: "Checks a list (a file of settings, or a folder of them) like a router does. With --against it\n" +
			"also reports which objects, parts and fills would move to other members, by sending the same\n" +
			"requests to the decision module of a router in each zone before and after the change.",
		Example: "  spool-fleet check new.edn --against old.edn\n  spool-fleet check new.edn --against old.edn --rehearse --rate 310",
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := readSources(args[0])
			if err != nil {
				return err
			}
			var old []config.Source
			if against != "" {
				if old, err = readSources(against); err != nil {
					return err
				}
			}
			if rehearse || loadFile != "" {
				if against == "" {
					return errors.New("--rehearse simulates a change: set the present list with --against")
				}
				rehearseOptions.Seed, rehearseOptions.KB = options.Seed, options.KB
				if loadFile != "" {
					rehearseOptions.Load = &loadgen.Script{}
					if err := config.ReadFile(loadFile, rehearseOptions.Load); err != nil {
						return &cli.FoundError{Err: err}
					}
				}
				options.Rehearse = &rehearseOptions
			}
			report, err := endpointcheck.Check(list, old, options)
			if err != nil {
				return err
			}
			if err := cli.PrintResult(asJSON, report, func(w io.Writer) {
				report.Text(w)
				if len(report.Reasons) == 0 {
					fmt.Fprintf(w, "%s: passes the checks\n", args[0])
				}
			}); err != nil {
				return err
			}
			if len(report.Reasons) > 0 || report.Rehearsal != nil && !report.Rehearsal.OK() {
				return cli.ErrFound
			}
			return nil
		}}
	flags := check.Flags()
	flags.StringVar(&against, "against", "", "the list that routers use at present")
	flags.IntVar(&options.Objects, "objects", 1000, "objects of each class to request, in each zone")
	flags.Float64Var(&options.Parts, "parts", 8, "mean number of parts of an object, in classes with parts")
	flags.Float64Var(&options.KB, "kb", 100, "size of an object or part if its route has none, in KB")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the requests")
	flags.BoolVar(&rehearse, "rehearse", false, "simulate the change under load with all routers; exit 1 if it overloads a member or a link")
	flags.StringVar(&loadFile, "load", "", "of --rehearse: a load as of spool-load, instead of one generated from the routes")
	flags.Float64Var(&rehearseOptions.Rate, "rate", 0, "of --rehearse: requests per second at all routers (default: the load's rate, or 5 per router)")
	flags.Float64Var(&rehearseOptions.BeforeMillis, "before", 60000, "of --rehearse: time before the change, in ms")
	flags.Float64Var(&rehearseOptions.AfterMillis, "after", 60000, "of --rehearse: time after the change, in ms")
	flags.Float64Var(&rehearseOptions.LagMillis, "lag", 1000, "of --rehearse: time within which all routers apply the change, in ms")
	flags.Float64Var(&rehearseOptions.Capacity, "capacity", 50, "of --rehearse: concurrent transfers of a member, if sizes are not capacities")
	flags.BoolVar(&asJSON, "json", false, "print the report as JSON")
	root.AddCommand(check)
	cli.Main(root)
}

func readSources(path string) ([]config.Source, error) {
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		return service.ReadFolder(path)
	}
	b, err := os.ReadFile(path)
	return []config.Source{{File: path, Text: string(b)}}, err
}
