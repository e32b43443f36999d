// Spool-testserver runs one test server as a process: a cache, a parent, an origin or a list
// service, for trying a router by hand and for scenarios (spool-scenario).
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"indigospool/internal/cli"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

func main() {
	root := &cobra.Command{Use: "spool-testserver", Short: "Stand-ins for caches, parents, origins and list services",
		Long: "Stand-ins for caches, parents, origins and list services.\n\n" +
			"What each sees on its sockets is written as a tap, a line of JSON a record (--tap).\n" +
			"Faults: POST {\"kind\": \"hang\", \"for\": 5000} to /-/fault of a box, parent or origin."}
	var fleetFile, id, trafficLogFile string
	for _, role := range []string{"box", "parent", "origin", "list"} {
		c := &cobra.Command{Use: role + " -c FILE --id ID", Short: "Run a stand-in " + role, Args: cobra.NoArgs,
			Example: "  spool-testserver " + role + " -c fleet.edn --id " + role + "-1",
			RunE: func(c *cobra.Command, _ []string) error {
				f, err := testserver.ReadFleet(fleetFile)
				if err != nil {
					return &cli.FoundError{Err: err}
				}
				w := trafficlog.NewWriter(os.Stdout)
				if trafficLogFile != "-" {
					out, err := os.OpenFile(trafficLogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
					if err != nil {
						return fmt.Errorf("tap: %w", err)
					}
					defer out.Close()
					w = trafficlog.NewWriter(out)
				}
				return f.Run(c.Context(), role, id, w, os.Stderr)
			}}
		c.Flags().StringVarP(&fleetFile, "config", "c", "", "fleet file")
		c.Flags().StringVar(&id, "id", "", "which of its members to be")
		c.Flags().StringVar(&trafficLogFile, "tap", os.DevNull, "where records go; -: standard output")
		c.MarkFlagRequired("config")
		if role != "list" {
			c.MarkFlagRequired("id")
		}
		root.AddCommand(c)
	}
	cli.Main(root)
}
