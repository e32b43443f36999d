package platform

import (
	"errors"
	"os"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/protocol/discovery"
)

// Reload reads the configuration file again. It may be called from any goroutine.
func (s *Server) Reload() {
	s.loop.Post(func() { s.reloadRetrying(reloadAttempts) })
}

const (
	reloadAttempts = 30  // of a file that cannot be read
	reloadPause    = 100 // ms between two
)

// reloadWithin reloads. Where the file cannot be read, which may pass, it is tried again.
func (s *Server) reloadRetrying(tries int) {
	err := s.reload()
	if err == nil {
		return
	}
	s.log.Error("configuration kept as it was", zap.Error(err))
	var unread *os.PathError
	if errors.As(err, &unread) && tries > 1 {
		s.loop.Once(reloadPause, func() { s.reloadRetrying(tries - 1) })
	}
}

func (s *Server) reload() error {
	config, err := s.readConfig(s.configFile)
	if err != nil {
		return err
	}
	decoder := s.stream.decoder
	var known []discovery.Event
	decoder.Zones, decoder.Kinds = config.settings.Module.Zones, config.settings.Kinds
	if err := decoder.DecodeKnown(config.Known, func(ev discovery.Event) { known = append(known, ev) }); err != nil {
		return err
	}
	if s.actions, err = s.engine.ResettleBare(s.loop.Now(), config.settings.Module, s.actions[:0]); err != nil {
		return err
	}
	moved := config.Feed != s.config.Feed
	s.config, s.stream.decoder = config, decoder
	s.indexClasses()
	acts := append([]spool.Action(nil), s.actions...)
	for _, action := range acts {
		s.execute(action)
	}
	s.applyEvents(known)
	if moved {
		s.stream.reconnect()
	}
	s.log.Info("configuration read", zap.String("feed", config.Feed), zap.Uint64("last", decoder.LastNumber))
	return nil
}
