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
	root := &cobra.Command{Use: "spool-testserver", Short: "Test servers: caches, parents, origins and list services",
		Long: "Test servers: caches (box), parents, origins and list services.\n\n" +
			"Each writes what it receives and sends to a traffic log, one JSON record per line (--tap).\n" +
			"To inject a fault, POST {\"kind\": \"hang\", \"for\": 5000} to /-/fault of a box, parent or origin."}
	var fleetFile, id, trafficLogFile string
	for _, role := range []string{"box", "parent", "origin", "list"} {
		c := &cobra.Command{Use: role + " -c FILE --id ID", Short: "Run a test server: " + role, Args: cobra.NoArgs,
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
						return fmt.Errorf("traffic log: %w", err)
					}
					defer out.Close()
					w = trafficlog.NewWriter(out)
				}
				return f.Run(c.Context(), role, id, w, os.Stderr)
			}}
		c.Flags().StringVarP(&fleetFile, "config", "c", "", "fleet file")
		c.Flags().StringVar(&id, "id", "", "ID of the machine in the fleet file")
		c.Flags().StringVar(&trafficLogFile, "tap", os.DevNull, "file for the traffic log; -: standard output")
		c.MarkFlagRequired("config")
		if role != "list" {
			c.MarkFlagRequired("id")
		}
		root.AddCommand(c)
	}
	cli.Main(root)
}
