// Spool-cache is a cache, or a parent, as a program: it keeps its copies on disk, and finds
// them again when it is started anew (docs/store.md).
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
	root := &cobra.Command{Use: "spool-cache", Short: "A cache with a store on disk, as a box or a parent",
		Long: "A cache with a store on disk, as a box or a parent.\n\nRouters ask it by Spool-Fill (docs/protocol.md). POST /-/purge {\"object\": PATH}, or group, tag or\nprefix, voids copies: it lasts once it is answered. GET /-/state tells counters."}
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
			log.Info("serves", zap.String("address", s.Addr()), zap.Int("copies", s.Recovered.Objects), zap.Int64("bytes", s.Recovered.Bytes),
				zap.Int("purges", s.Recovered.Purges), zap.String("cold", s.Recovered.DiscardReason))
			context.AfterFunc(c.Context(), s.Stop)
			return s.Run()
		}}
	check := &cobra.Command{Use: "check -c FILE", Short: "Check settings", Args: cobra.NoArgs, Example: "  spool-cache check -c examples/box.edn",
		RunE: func(*cobra.Command, []string) error {
			cfg, err := readConfig()
			if err == nil {
				fmt.Printf("%s: box %s, %.0f MB in %s\n", file, cfg.Name, cfg.CapacityMB, cfg.Folder)
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
