package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/controlplane/configversion"
)

// Service is a Server as a program runs it: with a store on disk, a folder of settings
// and a listener for operators.
type Service struct {
	*Server
	settings       *Settings
	log            *zap.Logger
	store          *configstore.Store
	stateStore     *diskStateStore
	routerListener net.Listener
	adminListener  net.Listener
	adminServer    *http.Server

	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	workers   errgroup.Group
	closeOnce sync.Once

	lastFolderMessage string // last message about the folder, which is not logged again
}

// Start starts a service from its store and opens its listeners. onSend is
// ServerConfig.OnSend. If the store can't be read or written, the error is a
// *configstore.FaultError, and Start may be retried.
func Start(settings *Settings, log *zap.Logger, onSend func(router string, v configversion.Version)) (*Service, error) {
	return StartWithFiles(configstore.Disk{}, settings, log, onSend)
}

// StartWithFiles is like Start, with the operations of the given file system.
func StartWithFiles(files configstore.FileSystem, settings *Settings, log *zap.Logger, onSend func(router string, v configversion.Version)) (*Service, error) {
	store, err := openStore(files, &settings.Service, log)
	if err != nil {
		return nil, err
	}
	stateStore := &diskStateStore{store: store}
	state, err := stateStore.load()
	if err != nil {
		store.Close()
		return nil, err
	}
	options, err := grpcOptions(&settings.Service, log)
	if err != nil {
		store.Close()
		return nil, err
	}
	config := settings.serverConfig(stateStore, state)
	config.OnSend = onSend
	config.OnEvent = func(text string) { log.Info(text) }
	s := &Service{
		Server:     NewServer(config, options...),
		settings:   settings,
		log:        log,
		store:      store,
		stateStore: stateStore,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.run(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// openStore opens the store of a service. If the file is damaged, it logs that and
// returns the new store; if the file can't be read or written, it logs that.
func openStore(files configstore.FileSystem, section *ServiceSection, log *zap.Logger) (*configstore.Store, error) {
	store, err := configstore.OpenWith(files, section.Store, section.MaxVersions)
	var damaged *configstore.DamagedError
	var fault *configstore.FaultError
	switch {
	case errors.As(err, &damaged):
		// numbers continue above those that routers report as accepted
		log.Error("the store was damaged and is empty now; push the settings again", zap.String("store", damaged.Path),
			zap.String("set_aside", damaged.Quarantine), zap.Error(damaged.Err))
	case errors.As(err, &fault):
		log.Error("the store can't be read or written for now", zap.Error(err))
	case err != nil:
		return nil, err
	}
	return store, nil
}

// grpcOptions returns the credentials of a service that has certificates.
func grpcOptions(section *ServiceSection, log *zap.Logger) ([]grpc.ServerOption, error) {
	if section.Cert == "" {
		return nil, nil
	}
	certificates := &CertificateFiles{
		Cert:        section.Cert,
		Key:         section.Key,
		Authorities: section.Authorities,
		Warn:        func(text string) { log.Warn(text) },
	}
	if err := certificates.Load(); err != nil {
		return nil, err
	}
	return []grpc.ServerOption{grpc.Creds(certificates.ServerCredentials())}, nil
}

// run opens the listeners and starts the goroutines, which end at Close.
func (s *Service) run() error {
	if err := s.listen(); err != nil {
		return err
	}
	s.workers.Go(func() error {
		recoverStore(s.ctx, s.store)
		return nil
	})
	s.workers.Go(func() error { return s.Server.Serve(s.routerListener) })
	s.workers.Go(func() error { return s.adminServer.Serve(s.adminListener) })
	folder := s.settings.Service.Folder
	if folder == "" {
		return nil
	}
	watcher, err := newFolderWatcher(folder)
	if err != nil {
		return err
	}
	s.workers.Go(func() error {
		watcher.run(s.ctx, s.offerFolder)
		return nil
	})
	return nil
}

func (s *Service) listen() (err error) {
	section := &s.settings.Service
	s.routerListener, err = net.Listen("tcp", section.Listen)
	if err != nil {
		return fmt.Errorf("control: listen %s: %w; is it a free address of this machine?", section.Listen, err)
	}
	network := "tcp"
	if isSocketPath(section.Admin) {
		network = "unix"
		removeSocket(section.Admin)
	}
	s.adminListener, err = net.Listen(network, section.Admin)
	if err != nil {
		return fmt.Errorf("control: listener for operators %s: %w", section.Admin, err)
	}
	s.adminServer = &http.Server{Handler: s.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// isSocketPath reports whether an operators' address is the path of a Unix socket.
func isSocketPath(address string) bool { return strings.HasPrefix(address, "/") }

// removeSocket removes a socket left behind by an earlier process.
func removeSocket(path string) {
	info, err := os.Stat(path)
	if err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
}

// Addr returns the address of the listener for routers, as host:port.
func (s *Service) Addr() string { return s.routerListener.Addr().String() }

// AdminAddr returns the address of the listener for operators: host:port or the path of
// a Unix socket.
func (s *Service) AdminAddr() string { return s.adminListener.Addr().String() }

// Close stops the service and closes its store. It may be called repeatedly.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		s.cancel()
		s.Server.Stop()
		if s.adminServer != nil {
			s.adminServer.Close()
		}
		for _, listener := range []net.Listener{s.routerListener, s.adminListener} {
			if listener != nil {
				listener.Close()
			}
		}
		_ = s.workers.Wait() // only the errors of stopped listeners
		s.store.Close()
	})
}
