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
	logQueueLines   = 1024                   // maximum number of log lines waiting for standard error; further lines are dropped
	logFlushTimeout = 200 * time.Millisecond // maximum wait for these lines at the end
)

// nodeCommand returns the command that runs a router as a node of the platform, the deployment
// whose protocols package platform implements. It is configured by a JSON file and environment
// variables.
func nodeCommand() *cobra.Command {
	var countsInterval float64
	var verbose bool
	c := &cobra.Command{Use: "node", Short: "Serve as a node of the platform until SIGTERM, then drain; SIGHUP reloads the configuration file",
		Long: "Serves over the platform's protocols (Thrift and RESP) until SIGTERM, then drains. SIGHUP reloads the\n" +
			"configuration file.\n\n" +
			"Environment variables: NODE_CONFIG is the path of the JSON configuration file. NODE_LISTEN is the address to\n" +
			"listen at; if it is empty, the address in the file is used. NODE_NAME is the name of the node in the log.",
		Example: "  NODE_CONFIG=config.json NODE_LISTEN=127.0.0.1:5050 spool-router node", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return serveNode(c.Context(), countsInterval, verbose) }}
	c.Flags().Float64Var(&countsInterval, "line", 0, "interval between log lines of counters, in milliseconds; 0: none")
	c.Flags().BoolVar(&verbose, "verbose", false, "log invalid requests, malformed or empty answers of members, and the result of each fill")
	return c
}

// serveNode runs a router on the platform until ctx is done and the router has drained.
// countsInterval is the interval between log lines of counters in milliseconds, or 0 for none.
func serveNode(ctx context.Context, countsInterval float64, verbose bool) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all, since an unhandled SIGHUP would end the program
	runtime.GOMAXPROCS(1)              // the server runs on one event loop; see package platform
	file := os.Getenv("NODE_CONFIG")
	if file == "" {
		return errors.New("the environment variable NODE_CONFIG is empty; want the path of a configuration file")
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
