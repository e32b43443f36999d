// Spool-router accepts HTTP requests of clients and forwards them to the caches that the
// decision module, indigospool.Router, selects.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/proxy/httpfront"
	"indigospool/internal/testbed/demo"
)

func main() {
	root := &cobra.Command{Use: "spool-router", Short: "Routes requests to caches of large objects"}
	var file string
	var canonical bool
	serve := &cobra.Command{Use: "serve -c FILE", Short: "Serve until SIGTERM or SIGINT, then drain",
		Example: "  spool-router serve -c edge.edn", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return serve(c.Context(), file) }}
	check := &cobra.Command{Use: "check -c FILE", Short: "Check a settings file; exit 1 if it has errors",
		Example: "  spool-router check -c edge.edn\n  spool-router check -c edge.edn --print", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return check(file, canonical) }}
	for _, c := range []*cobra.Command{serve, check} {
		c.Flags().StringVarP(&file, "config", "c", "", "settings file")
		c.MarkFlagRequired("config")
	}
	check.Flags().BoolVar(&canonical, "print", false, "print the settings in canonical form")
	var logTarget string
	demoCmd := &cobra.Command{Use: "demo", Short: "A router with test servers in one process, to try with curl", Args: cobra.NoArgs, Example: "  spool-router demo",
		RunE: func(c *cobra.Command, _ []string) error { return runDemo(c.Context(), logTarget) }}
	demoCmd.Flags().StringVar(&logTarget, "log", "none", "access log: stderr, stdout, none or a file")
	root.AddCommand(serve, check, demoCmd, nodeCommand())
	cli.Main(root)
}

// load reads a settings file. If the file's settings are invalid, the error is a cli.FoundError,
// which makes the program exit with status 1.
func load(file string) (*config.Settings, error) {
	s := &config.Settings{}
	err := config.ReadFile(file, s)
	var faults config.Faults
	if errors.As(err, &faults) {
		return nil, &cli.FoundError{Err: err}
	}
	return s, err
}

// check checks a settings file and prints a summary or, if canonical, the settings themselves.
func check(file string, canonical bool) error {
	s, err := load(file)
	if err != nil {
		return err
	}
	if canonical {
		fmt.Print(config.Print(s))
		return nil
	}
	fmt.Printf("%s: good: zone %s, %d classes, %d routes, %d members\n", file, s.Router.Zone, len(s.Classes),
		len(s.Routes), len(s.Members))
	return nil
}

// serve runs a router until ctx is done and the router has drained.
func serve(ctx context.Context, file string) error {
	s, err := load(file)
	if err != nil {
		return err
	}
	cli.TuneGC(s.Limits.MemoryMB)
	accessLog, err := httpfront.NewAccessLog(s)
	if err != nil {
		return err
	}
	defer accessLog.Close()
	edge, closeEdge, err := httpfront.Open(ctx, s, accessLog)
	if err != nil {
		return err
	}
	defer closeEdge()
	accessLog.Log.Info("serving", zap.String("name", s.Router.Name), zap.String("address", edge.Addr()), zap.String("zone", s.Router.Zone))
	context.AfterFunc(ctx, func() {
		accessLog.Log.Info("draining")
		edge.Drain()
	})
	err = edge.Run()
	accessLog.Log.Info("stopped")
	return err
}

// runDemo runs a router with test servers until ctx is done and the router has drained.
func runDemo(ctx context.Context, logTarget string) error {
	d, err := demo.Start(logTarget)
	if err != nil {
		return err
	}
	defer d.Close()
	context.AfterFunc(ctx, d.Edge.Drain)
	done := make(chan error, 1)
	go func() { done <- d.Edge.Run() }()
	if err := d.Edge.Ready(); err != nil {
		return errors.Join(err, <-done)
	}
	d.PrintUsage(os.Stdout)
	return <-done
}
