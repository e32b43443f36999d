package main

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/service"
)

// serve runs the service until the context ends.
func serve(ctx context.Context, file string) error {
	settings := &service.Settings{}
	if err := config.ReadFile(file, settings); err != nil {
		var faults config.Faults
		if errors.As(err, &faults) {
			return &cli.FoundError{Err: err}
		}
		return err
	}
	log, err := newLogger(settings.Service.Log)
	if err != nil {
		return err
	}
	defer log.Sync()
	running, err := start(ctx, settings, log)
	if err != nil {
		return err
	}
	defer running.Close()
	log.Info("serving", zap.String("name", settings.Service.Name), zap.String("address", running.Addr()), zap.String("admin", running.AdminAddr()))
	<-ctx.Done()
	log.Info("stopped")
	return nil
}

// Delays between attempts to start. They double from the first to the maximum.
const (
	firstStartDelay = 100 * time.Millisecond
	maxStartDelay   = 5 * time.Second
)

// start starts the service. If its store can't be read or written, it retries until the
// context ends: without its state the service must not offer anything.
func start(ctx context.Context, settings *service.Settings, log *zap.Logger) (*service.Service, error) {
	began := time.Now()
	for delay := firstStartDelay; ; delay = min(2*delay, maxStartDelay) {
		running, err := service.Start(settings, log, nil)
		var fault *configstore.FaultError
		if !errors.As(err, &fault) {
			return running, err
		}
		log.Error("not serving yet: the store can't be read or written", zap.Duration("for", time.Since(began)), zap.Error(err))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// newLogger returns a logger that writes to stderr, stdout or a file, or discards
// everything for none.
func newLogger(where string) (*zap.Logger, error) {
	if where == "none" {
		return zap.NewNop(), nil
	}
	c := zap.NewProductionConfig()
	c.OutputPaths = []string{where}
	c.ErrorOutputPaths = []string{"stderr"}
	c.DisableStacktrace = true
	c.DisableCaller = true
	c.Sampling = nil
	return c.Build()
}
