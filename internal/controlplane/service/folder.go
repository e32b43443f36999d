package service

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"

	"indigospool/internal/config"
)

// ReadFolder reads the files *.edn of a folder in the order of their names: they
// are one text. Those whose names begin with a dot are left out.
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
			continue // removed since; that is told too
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
	folderSettleTime   = 300 * time.Millisecond // files change in bursts
	folderPollInterval = 30 * time.Second       // some file systems tell of no change
)

// watchFolder calls changed once at the start, after each change, and after as long
// as it says, until done is closed.
func watchFolder(dir string, done <-chan struct{}, changed func() time.Duration) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if err := watcher.Add(dir); err != nil {
		watcher.Close()
		return fmt.Errorf("control: %s: %w", dir, err)
	}
	go func() {
		defer watcher.Close()
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-timer.C:
				timer.Reset(changed())
			case <-watcher.Events:
				timer.Reset(folderSettleTime)
			case <-watcher.Errors: // events were lost
				timer.Reset(folderSettleTime)
			case <-done:
				return
			}
		}
	}()
	return nil
}
