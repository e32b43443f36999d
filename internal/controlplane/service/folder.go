package service

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"
	"go.uber.org/zap"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
)

// ReadFolder reads the files *.edn of a folder, in the order of their names, as the
// sources of one text. Files whose names begin with a dot are ignored. A folder without
// such files is an error.
func ReadFolder(dir string) (sources []config.Source, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name() < entries[j].Name() })
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), ".edn") || strings.HasPrefix(entry.Name(), ".") {
			continue
		}
		path := filepath.Join(dir, entry.Name())
		text, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed meanwhile; the watcher gets an event for that too
		}
		if err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
		sources = append(sources, config.Source{File: path, Text: string(text)})
	}
	if len(sources) == 0 {
		return nil, fmt.Errorf("control: %s holds no file *.edn", dir)
	}
	return sources, nil
}

const (
	folderSettleTime   = 300 * time.Millisecond // delay after a change, since file changes come in bursts
	folderPollInterval = 30 * time.Second       // for file systems that deliver no events
)

// folderWatcher watches a folder through file system events and by polling.
type folderWatcher struct{ watcher *fsnotify.Watcher }

func newFolderWatcher(dir string) (*folderWatcher, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, fmt.Errorf("control: create a file watcher for folder %s: %w", dir, err)
	}
	if err := watcher.Add(dir); err != nil {
		watcher.Close()
		return nil, fmt.Errorf("control: watch folder %s: %w", dir, err)
	}
	return &folderWatcher{watcher}, nil
}

// run calls changed at the start, after each change, and whenever the delay that
// changed last returned has passed, until the context ends.
func (f *folderWatcher) run(ctx context.Context, changed func() time.Duration) {
	defer f.watcher.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(changed())
		case <-f.watcher.Events:
			timer.Reset(folderSettleTime)
		case <-f.watcher.Errors: // events may have been lost
			timer.Reset(folderSettleTime)
		case <-ctx.Done():
			return
		}
	}
}

// offerFolder pushes the folder's content if it has changed, and returns the delay
// until the folder must be read again. It must be called from one goroutine only.
func (s *Service) offerFolder() time.Duration {
	sources, err := ReadFolder(s.settings.Service.Folder)
	if err != nil {
		s.logFolder(s.log.Error, err.Error())
		return folderPollInterval
	}
	var content []byte
	for _, source := range sources {
		content = append(content, source.Text...)
		content = append(content, 0)
	}
	previous, known := s.stateStore.swapFolderSum(configversion.Checksum(content))
	if known {
		return folderPollInterval
	}
	number, created, err := s.PushSources(sources, false)
	var notPersisted *PersistError
	switch {
	case errors.As(err, &notPersisted) && !notPersisted.Queued:
		s.stateStore.swapFolderSum(previous)
		return maxRetryDelay
	case err != nil:
		s.logFolder(s.log.Error, err.Error())
	case created:
		s.logFolder(s.log.Info, fmt.Sprintf("%s is version %d", s.settings.Service.Folder, number))
	}
	return folderPollInterval
}

// logFolder logs a message about the folder, unless it repeats the last one.
func (s *Service) logFolder(log func(string, ...zap.Field), message string) {
	if message != s.lastFolderMessage {
		log(message)
	}
	s.lastFolderMessage = message
}
