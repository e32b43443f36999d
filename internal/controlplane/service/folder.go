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
func ReadFolder(dir string) (out []config.Source, err error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	for _, e := range list {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".edn") || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		path := filepath.Join(dir, e.Name())
		b, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed since; that is told too
		}
		if err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
		out = append(out, config.Source{File: path, Text: string(b)})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("control: %s holds no file *.edn", dir)
	}
	return out, nil
}

const (
	settleFor = 300 * time.Millisecond // files change in bursts
	lookEvery = 30 * time.Second       // some file systems tell of no change
)

// watchFolder calls changed once at the start, after each change, and after as long
// as it says, until done is closed.
func watchFolder(dir string, done <-chan struct{}, changed func() time.Duration) error {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	if err := w.Add(dir); err != nil {
		w.Close()
		return fmt.Errorf("control: %s: %w", dir, err)
	}
	go func() {
		defer w.Close()
		t := time.NewTimer(0)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				t.Reset(changed())
			case <-w.Events:
				t.Reset(settleFor)
			case <-w.Errors: // events were lost
				t.Reset(settleFor)
			case <-done:
				return
			}
		}
	}()
	return nil
}
