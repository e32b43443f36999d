package store

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sort"
)

// crashFS is an FS in memory that simulates crashes: afterwards any part of the unsynced changes may
// be on disk, in any order, with torn writes. It can also stop or run out of space after a number of
// writes.
type crashFS struct {
	files           map[string]*crashFile         // as the process sees them
	durable         map[string]*crashFile         // the files whose names are synced
	pending         []func(map[string]*crashFile) // unsynced changes of names
	writesLeft      int                           // changes until every call fails; -1: never
	writesUntilFull int                           // writes until there is no space; -1: never
	stopped         bool
	locked          bool
	// fault, if set, is called before each operation, which fails with the error that it returns.
	// A failed write has written half of its data, a failed sync has lost some of the pages.
	fault      func(op, name string) error
	lostBySync bool // a failed sync has lost data
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
	truncateTo int64 // >= 0: it is a truncation to this size; -1: it is a write
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

// beforeCall is like countCall, for an operation that may also fail because of fault.
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

func (c *crashFS) random() *rand.Rand { c.randomBool(); return c.rng }

// randomBool decides which changes a failed sync has written.
func (c *crashFS) randomBool() bool {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(1, 2))
	}
	return c.rng.IntN(2) == 0
}

type crashHandle struct {
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
	return &crashHandle{c, file, name}, nil
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
		if err == nil || c.randomBool() { // a failed sync loses some of the changes
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

func (h *crashHandle) ReadAt(data []byte, off int64) (int, error) {
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

func (h *crashHandle) WriteAt(data []byte, off int64) (int, error) {
	if err := h.fs.countCall(); err != nil {
		return 0, err
	}
	err := h.fs.faultOf("write", h.name)
	if h.fs.writesUntilFull == 0 {
		err = errNoSpace
	}
	if err != nil { // half of the data is written
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

func (h *crashHandle) Truncate(size int64) error {
	if err := h.fs.beforeCall("truncate", h.name); err != nil {
		return err
	}
	change := write{truncateTo: size}
	h.file.data, h.file.pending = applyWrite(h.file.data, change), append(h.file.pending, change)
	return nil
}

func (h *crashHandle) Sync() error {
	if err := h.fs.countCall(); err != nil {
		return err
	}
	err := h.fs.faultOf("sync", h.name)
	for _, change := range h.file.pending {
		if err == nil || h.fs.randomBool() {
			h.file.synced = applyWrite(h.file.synced, change)
		}
	}
	h.file.pending = nil
	if err != nil { // the pages are marked as clean: a later sync succeeds without writing them
		h.fs.lostBySync = true
		if h.fs.randomBool() {
			h.file.data = append([]byte(nil), h.file.synced...)
		}
	}
	return err
}

func (h *crashHandle) Size() (int64, error) {
	if err := h.fs.faultOf("size", h.name); err != nil {
		return 0, err
	}
	return int64(len(h.file.data)), nil
}
func (h *crashHandle) Close() error { return nil }

// afterKill returns the folder after the process was killed: all its changes are present.
func (c *crashFS) afterKill() *crashFS {
	after := newCrashFS()
	for name, file := range c.files {
		after.files[name] = &crashFile{data: append([]byte(nil), file.data...), synced: append([]byte(nil), file.data...)}
		after.durable[name] = after.files[name]
	}
	return after
}

// afterCrash returns the folder after a crash of the machine.
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
				continue // the change has not reached the disk
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
