package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"indigospool/internal/cli"
	"indigospool/internal/proxy/asynclog"
	"indigospool/internal/proxy/platform"
)

const (
	logQueueLines   = 1024                   // log lines that wait for standard error to accept them
	logFlushTimeout = 200 * time.Millisecond // maximum wait for these lines at the end
)

// nodeCommand returns the command that runs a router on the platform, configured by
// environment variables.
func nodeCommand() *cobra.Command {
	var countsInterval float64
	var verbose bool
	c := &cobra.Command{Use: "node", Short: "Serve on the platform with the configuration file NODE_CONFIG until SIGTERM, then drain; SIGHUP reloads the file",
		Example: "  NODE_CONFIG=config.json NODE_LISTEN=127.0.0.1:5050 spool-router node", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return serveNode(c.Context(), countsInterval, verbose) }}
	c.Flags().Float64Var(&countsInterval, "line", 0, "interval between log lines of counters, in milliseconds; 0: none")
	c.Flags().BoolVar(&verbose, "verbose", false, "log invalid messages, failed answers and the outcome of each fill")
	return c
}

// serveNode runs a router on the platform until ctx is done and the router has drained.
// countsInterval is the interval between log lines of counters in milliseconds, or 0 for none.
func serveNode(ctx context.Context, countsInterval float64, verbose bool) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all, since an unhandled SIGHUP would end the program
	runtime.GOMAXPROCS(1)
	file := os.Getenv("NODE_CONFIG")
	if file == "" {
		return errors.New("NODE_CONFIG is not set to a configuration file")
	}
	cfg, err := platform.ReadConfig(file)
	if err != nil {
		return err
	}
	cli.TuneGC(cfg.Limits.MemoryMB)
	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}
	out := asynclog.New(os.Stderr, logQueueLines)
	defer func() { // writes the remaining lines; gives up after logFlushTimeout if standard error is blocked
		out.CloseNoWait()
		select {
		case <-out.Done():
		case <-time.After(logFlushTimeout):
		}
	}()
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, level))
	log = log.With(zap.String("node", os.Getenv("NODE_NAME")))
	n, err := platform.Open(file, os.Getenv("NODE_LISTEN"), log)
	if err != nil {
		return err
	}
	if countsInterval > 0 {
		n.LogCounts(countsInterval)
	}
	log.Info("serving", zap.String("address", n.Addr()))
	context.AfterFunc(ctx, n.Drain)
	go func() {
		for range hup {
			n.Reload()
		}
	}()
	err = n.Serve()
	log.Info("stopped")
	return err
}
