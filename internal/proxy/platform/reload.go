package platform

import (
	"errors"
	"os"
	"slices"

	"go.uber.org/zap"

	"indigospool/internal/protocol/discovery"
)

const (
	reloadAttempts   = 30
	reloadRetryDelay = 100 // ms
)

// Reload reads the configuration file again and applies it. If the file cannot be read or is
// invalid, Reload logs the error and keeps the current configuration. It may be called from
// any goroutine.
func (s *Server) Reload() {
	s.loop.Post(func() { s.reloadWithRetries(reloadAttempts) })
}

// reloadWithRetries reloads the configuration, with at most the given number of attempts. It
// retries only errors of reading the file, which may be temporary, not an invalid file.
func (s *Server) reloadWithRetries(attempts int) {
	err := s.reload()
	if err == nil {
		return
	}
	s.log.Error("configuration not loaded, keeping the current one", zap.Error(err))
	var pathErr *os.PathError
	if errors.As(err, &pathErr) && attempts > 1 {
		s.loop.AfterFunc(reloadRetryDelay, func() { s.reloadWithRetries(attempts - 1) })
	}
}

// reload reads and validates the configuration, and applies it only if all of it is valid.
func (s *Server) reload() error {
	config, err := s.readConfig(s.configFile)
	if err != nil {
		return err
	}
	decoder := s.stream.decoder
	decoder.Zones = config.settings.Module.Zones
	decoder.Kinds = config.settings.Kinds
	known, err := decodeKnown(&decoder, config)
	if err != nil {
		return err
	}
	s.actions, err = s.engine.ChangeModuleSettings(s.loop.Now(), config.settings.Module, s.actions[:0])
	if err != nil {
		return err
	}
	addressChanged := config.DiscoveryAddress != s.config.DiscoveryAddress
	s.config = config
	s.stream.decoder = decoder
	s.indexClasses()
	for _, action := range slices.Clone(s.actions) { // execute may call dispatch, which reuses s.actions
		s.execute(action)
	}
	s.applyEvents(known)
	if addressChanged {
		s.stream.reconnect()
	}
	s.log.Info("configuration applied", zap.String("feed", config.DiscoveryAddress), zap.Uint64("last", decoder.LastNumber))
	return nil
}

// decodeKnown returns the discovery events in a configuration that decoder has not seen yet.
func decodeKnown(decoder *discovery.Decoder, config *Config) (known []discovery.Event, err error) {
	err = decoder.DecodeKnown(config.KnownEvents, func(event discovery.Event) { known = append(known, event) })
	return known, err
}
