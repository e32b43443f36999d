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
	logQueueLines   = 1024 // that wait for whoever reads the log
	logFlushTimeout = 200 * time.Millisecond
)

// nodeCommand is the router on the platform, told by its environment.
func nodeCommand() *cobra.Command {
	var countsInterval float64
	var verbose bool
	c := &cobra.Command{Use: "node", Short: "Serve on the platform, as NODE_CONFIG says, until SIGTERM; SIGHUP reads it again",
		Example: "  NODE_CONFIG=config.json NODE_LISTEN=127.0.0.1:5050 spool-router node", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return serveNode(c.Context(), countsInterval, verbose) }}
	c.Flags().Float64Var(&countsInterval, "line", 0, "log a line of counts each so many milliseconds; 0: none")
	c.Flags().BoolVar(&verbose, "verbose", false, "log each connection and answer that was turned down")
	return c
}

func serveNode(ctx context.Context, countsInterval float64, verbose bool) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: it must never end the program
	runtime.GOMAXPROCS(1)
	file := os.Getenv("NODE_CONFIG")
	if file == "" {
		return errors.New("NODE_CONFIG names no configuration file")
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
	defer func() { // what is left is written, unless nobody reads it
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
	log.Info("ended")
	return err
}
