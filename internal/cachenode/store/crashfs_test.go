package store

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sort"
)

// crashFS is a folder in memory that behaves as a disk does in a crash: of what was not
// synced any part may be there afterwards, in any order, torn within a write. It can also
// fail: after a number of calls all of it stops, or there is no space.
type crashFS struct {
	files           map[string]*crashFile // as the process sees it
	durable         map[string]*crashFile // names that last
	pending         []func(map[string]*crashFile)
	writesLeft      int // writes until it stops; -1: never
	writesUntilFull int // writes until there is no space; -1: never
	stopped         bool
	locked          bool
	// fault, if set, is asked before each call; its error is what the call gives.
	// A write that fails has written half, a sync that fails has lost pages (lose).
	fault      func(op, name string) error
	lostBySync bool // a sync failed, and dropped what it should have written
	rng        *rand.Rand
}

type crashFile struct {
	data    []byte
	synced  []byte
	pending []write
}

type write struct {
	offset     int64
	data       []byte
	truncateTo int64 // >= 0: a truncation
}

var (
	errStopped = errors.New("crashfs: stopped")
	errNoSpace = errors.New("crashfs: no space")
)

func newCrashFS() *crashFS {
	return &crashFS{files: map[string]*crashFile{}, durable: map[string]*crashFile{}, writesLeft: -1, writesUntilFull: -1}
}

func (c *crashFS) countCall() error {
	if c.writesLeft == 0 {
		c.stopped = true
	}
	if c.stopped {
		return errStopped
	}
	if c.writesLeft > 0 {
		c.writesLeft--
	}
	return nil
}

// beforeCall is countCall for a call that may fail by fault.
func (c *crashFS) beforeCall(op, name string) error {
	if err := c.countCall(); err != nil {
		return err
	}
	return c.faultOf(op, name)
}

func (c *crashFS) faultOf(op, name string) error {
	if c.fault == nil {
		return nil
	}
	if err := c.fault(op, name); err != nil {
		return &os.PathError{Op: op, Path: name, Err: err}
	}
	return nil
}

func (c *crashFS) random() *rand.Rand { c.coin(); return c.rng }

// coin decides what a failing sync leaves behind.
func (c *crashFS) coin() bool {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(1, 2))
	}
	return c.rng.IntN(2) == 0
}

type handle struct {
	fs   *crashFS
	file *crashFile
	name string
}

func (c *crashFS) Open(name string, create bool) (File, error) {
	if err := c.beforeCall("open", name); err != nil {
		return nil, err
	}
	file := c.files[name]
	if file == nil {
		if !create {
			return nil, os.ErrNotExist
		}
		file = &crashFile{}
		c.files[name] = file
		c.pending = append(c.pending, func(m map[string]*crashFile) { m[name] = file })
	}
	return &handle{c, file, name}, nil
}

func (c *crashFS) Rename(from, to string) error {
	if err := c.beforeCall("rename", from); err != nil {
		return err
	}
	file := c.files[from]
	if file == nil {
		return os.ErrNotExist
	}
	do := func(m map[string]*crashFile) {
		if m[from] == file {
			delete(m, from)
		}
		m[to] = file
	}
	do(c.files)
	c.pending = append(c.pending, do)
	return nil
}

func (c *crashFS) Remove(name string) error {
	if err := c.beforeCall("remove", name); err != nil {
		return err
	}
	if c.files[name] == nil {
		return os.ErrNotExist
	}
	do := func(m map[string]*crashFile) { delete(m, name) }
	do(c.files)
	c.pending = append(c.pending, do)
	return nil
}

func (c *crashFS) List() (names []string, err error) {
	for n := range c.files {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, c.beforeCall("list", "")
}

func (c *crashFS) SyncDir() error {
	if err := c.countCall(); err != nil {
		return err
	}
	err := c.faultOf("syncdir", "")
	for _, do := range c.pending {
		if err == nil || c.coin() { // of one that fails, part is never tried again
			do(c.durable)
		}
	}
	c.pending = nil
	return err
}

func (c *crashFS) Lock() (io.Closer, error) {
	if err := c.faultOf("lock", ""); err != nil {
		return nil, err
	}
	if c.locked {
		return nil, errors.New("crashfs: locked")
	}
	c.locked = true
	return crashLock{c}, nil
}

type crashLock struct{ fs *crashFS }

func (u crashLock) Close() error { u.fs.locked = false; return nil }

func (h *handle) ReadAt(data []byte, off int64) (int, error) {
	if h.fs.stopped {
		return 0, errStopped
	}
	if err := h.fs.faultOf("read", h.name); err != nil {
		return 0, err
	}
	if off >= int64(len(h.file.data)) {
		return 0, io.EOF
	}
	n := copy(data, h.file.data[off:])
	if n < len(data) {
		return n, io.EOF
	}
	return n, nil
}

func applyWrite(data []byte, change write) []byte {
	if change.truncateTo >= 0 {
		if int64(len(data)) > change.truncateTo {
			return append([]byte(nil), data[:change.truncateTo]...)
		}
		return append(data, make([]byte, change.truncateTo-int64(len(data)))...)
	}
	if need := change.offset + int64(len(change.data)); int64(len(data)) < need {
		data = append(data, make([]byte, need-int64(len(data)))...)
	}
	copy(data[change.offset:], change.data)
	return data
}

func (h *handle) WriteAt(data []byte, off int64) (int, error) {
	if err := h.fs.countCall(); err != nil {
		return 0, err
	}
	err := h.fs.faultOf("write", h.name)
	if h.fs.writesUntilFull == 0 {
		err = errNoSpace
	}
	if err != nil { // half of it still fits
		change := write{off, append([]byte(nil), data[:len(data)/2]...), -1}
		h.file.data, h.file.pending = applyWrite(h.file.data, change), append(h.file.pending, change)
		return len(data) / 2, err
	}
	if h.fs.writesUntilFull > 0 {
		h.fs.writesUntilFull--
	}
	change := write{off, append([]byte(nil), data...), -1}
	h.file.data, h.file.pending = applyWrite(h.file.data, change), append(h.file.pending, change)
	return len(data), nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.fs.beforeCall("truncate", h.name); err != nil {
		return err
	}
	change := write{truncateTo: size}
	h.file.data, h.file.pending = applyWrite(h.file.data, change), append(h.file.pending, change)
	return nil
}

func (h *handle) Sync() error {
	if err := h.fs.countCall(); err != nil {
		return err
	}
	err := h.fs.faultOf("sync", h.name)
	for _, change := range h.file.pending {
		if err == nil || h.fs.coin() {
			h.file.synced = applyWrite(h.file.synced, change)
		}
	}
	h.file.pending = nil
	if err != nil { // the pages count as clean: a later sync succeeds, and does not write them
		h.fs.lostBySync = true
		if h.fs.coin() {
			h.file.data = append([]byte(nil), h.file.synced...)
		}
	}
	return err
}

func (h *handle) Size() (int64, error) {
	if err := h.fs.faultOf("size", h.name); err != nil {
		return 0, err
	}
	return int64(len(h.file.data)), nil
}
func (h *handle) Close() error { return nil }

// afterKill is the folder after the process was killed: all that it wrote is there.
func (c *crashFS) afterKill() *crashFS {
	after := newCrashFS()
	for name, file := range c.files {
		after.files[name] = &crashFile{data: append([]byte(nil), file.data...), synced: append([]byte(nil), file.data...)}
		after.durable[name] = after.files[name]
	}
	return after
}

// afterCrash is the folder after the machine stopped.
func (c *crashFS) afterCrash(rng *rand.Rand) *crashFS {
	names := map[string]*crashFile{}
	for n, file := range c.durable {
		names[n] = file
	}
	for _, do := range c.pending[:rng.IntN(len(c.pending)+1)] {
		do(names)
	}
	after := newCrashFS()
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		file := names[name]
		data := append([]byte(nil), file.synced...)
		for _, change := range file.pending {
			switch {
			case rng.IntN(3) == 0:
				continue // it never reached the disk
			case change.truncateTo < 0 && rng.IntN(4) == 0:
				change.data = change.data[:rng.IntN(len(change.data)+1)] // torn
			}
			data = applyWrite(data, change)
		}
		after.files[name] = &crashFile{data: data, synced: append([]byte(nil), data...)}
		after.durable[name] = after.files[name]
	}
	return after
}
