// Spool-cache runs a cache or a parent that keeps objects on disk and serves them again after a
// restart (docs/store.md).
package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"indigospool/internal/cachenode/server"
	"indigospool/internal/cli"
	"indigospool/internal/config"
)

func main() {
	root := &cobra.Command{Use: "spool-cache", Short: "A cache or a parent with a store on disk",
		Long: "A cache or a parent with a store on disk.\n\nRouters send it requests with Spool-Fill (docs/protocol.md). POST /-/purge {\"object\": PATH}, or group,\ntag or prefix, purges objects; a purge is durable once it is acknowledged. GET /-/state returns the\nstate and the counters."}
	var file string
	readConfig := func() (*server.Config, error) {
		var s server.Settings
		if err := config.ReadFile(file, &s); err != nil {
			return nil, &cli.FoundError{Err: err}
		}
		return &s.Cache, nil
	}
	serve := &cobra.Command{Use: "serve -c FILE", Short: "Serve until SIGTERM", Args: cobra.NoArgs, Example: "  spool-cache serve -c examples/box.edn",
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := readConfig()
			if err != nil {
				return err
			}
			log, err := zap.NewProduction()
			if err != nil {
				return err
			}
			defer log.Sync()
			s, err := server.Start(*cfg, func(w string) { log.Warn(w) })
			if err != nil {
				return err
			}
			log.Info("serving", zap.String("address", s.Addr()), zap.Int("copies", s.Recovered.Objects), zap.Int64("bytes", s.Recovered.Bytes),
				zap.Int("purges", s.Recovered.Purges), zap.String("cold", s.Recovered.DiscardReason))
			context.AfterFunc(c.Context(), s.Stop)
			return s.Run()
		}}
	check := &cobra.Command{Use: "check -c FILE", Short: "Check settings", Args: cobra.NoArgs, Example: "  spool-cache check -c examples/box.edn",
		RunE: func(*cobra.Command, []string) error {
			cfg, err := readConfig()
			if err == nil {
				fmt.Printf("%s: cache %s, %.0f MB in %s\n", file, cfg.Name, cfg.CapacityMB, cfg.Folder)
			}
			return err
		}}
	for _, c := range []*cobra.Command{serve, check} {
		c.Flags().StringVarP(&file, "config", "c", "", "settings file")
		c.MarkFlagRequired("config")
		root.AddCommand(c)
	}
	cli.Main(root)
}
