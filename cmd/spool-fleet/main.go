// Spool-fleet judges lists of members before routers get them.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/control"
	"indigospool/internal/listcheck"
)

func main() {
	root := &cobra.Command{Use: "spool-fleet", Short: "Judges lists of members before routers get them"}
	var o listcheck.Options
	var against string
	var asJSON bool
	check := &cobra.Command{Use: "check LIST", Short: "What a list would do; exit 1 where routers would refuse it", Args: cobra.ExactArgs(1),
		Long: "Judges a list (a file of settings, or a folder of them) by the checks that routers make and,\n" +
			"against an old one, tells which objects, parts and fills would go elsewhere, as the module of\n" +
			"a router in each zone decides when it is asked before and after the change.",
		Example: "  spool-fleet check new.edn --against old.edn",
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := read(args[0])
			if err != nil {
				return err
			}
			var old []config.Source
			if against != "" {
				if old, err = read(against); err != nil {
					return err
				}
			}
			r, err := listcheck.Check(list, old, o)
			if err != nil {
				return err
			}
			if asJSON {
				enc := json.NewEncoder(os.Stdout)
				enc.SetIndent("", " ")
				if err := enc.Encode(r); err != nil {
					return err
				}
			} else {
				r.Text(os.Stdout)
				if len(r.Reasons) == 0 {
					fmt.Printf("%s: passes the checks\n", args[0])
				}
			}
			if len(r.Reasons) > 0 {
				return cli.ErrFound
			}
			return nil
		}}
	f := check.Flags()
	f.StringVar(&against, "against", "", "the list that routers have now")
	f.IntVar(&o.Objects, "objects", 1000, "objects of each class to ask for, in each zone")
	f.Float64Var(&o.Parts, "parts", 8, "mean parts of an object of a class in parts")
	f.Float64Var(&o.KB, "kb", 100, "size of an object or part whose route states none")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of what is asked for")
	f.BoolVar(&asJSON, "json", false, "print it as JSON")
	root.AddCommand(check)
	cli.Main(root)
}

func read(path string) ([]config.Source, error) {
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		return control.ReadFolder(path)
	}
	b, err := os.ReadFile(path)
	return []config.Source{{File: path, Text: string(b)}}, err
}
