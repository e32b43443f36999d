// Spool-fleet judges lists of members before routers get them.
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
	root := &cobra.Command{Use: "spool-fleet", Short: "Judges lists of members before routers get them"}
	var options endpointcheck.Options
	var against string
	var asJSON, rehearse bool
	var loadFile string
	var rehearseOptions endpointcheck.RehearseOptions
	check := &cobra.Command{Use: "check LIST", Short: "What a list would do; exit 1 where routers would refuse it", Args: cobra.ExactArgs(1),
		Long: "Judges a list (a file of settings, or a folder of them) by the checks that routers make and,\n" +
			"against an old one, tells which objects, parts and fills would go elsewhere, as the module of\n" +
			"a router in each zone decides when it is asked before and after the change.",
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
					return errors.New("--rehearse plays a change: give the list that routers have now with --against")
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
			if err := cli.Tell(asJSON, report, func(w io.Writer) {
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
	flags.StringVar(&against, "against", "", "the list that routers have now")
	flags.IntVar(&options.Objects, "objects", 1000, "objects of each class to ask for, in each zone")
	flags.Float64Var(&options.Parts, "parts", 8, "mean parts of an object of a class in parts")
	flags.Float64Var(&options.KB, "kb", 100, "size of an object or part whose route states none")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of what is asked for")
	flags.BoolVar(&rehearse, "rehearse", false, "play the change under load, by all routers in simulated time; exit 1 where it pushes a member or a link over")
	flags.StringVar(&loadFile, "load", "", "of --rehearse: a load (as of spool-load), instead of one made from the routes")
	flags.Float64Var(&rehearseOptions.Rate, "rate", 0, "of --rehearse: requests a second of all routers (default: the load's, or 5 a router)")
	flags.Float64Var(&rehearseOptions.BeforeMillis, "before", 60000, "of --rehearse: ms before the change")
	flags.Float64Var(&rehearseOptions.AfterMillis, "after", 60000, "of --rehearse: ms after it")
	flags.Float64Var(&rehearseOptions.LagMillis, "lag", 1000, "of --rehearse: ms within which all routers hear of it")
	flags.Float64Var(&rehearseOptions.Capacity, "capacity", 50, "of --rehearse: transfers at once that a member bears, where sizes are no capacities")
	flags.BoolVar(&asJSON, "json", false, "print it as JSON")
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
