package store

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sort"
)

// crashFS is a folder in memory that behaves as a disk does in a crash: of what was not
// synced any part may be there afterwards, in any order, torn within a write. It can
// also fail: at a countdown of writes all of it stops, or there is no space.
type crashFS struct {
	now     map[string]*crashFile // as the process sees it
	disk    map[string]*crashFile // names that last
	pending []func(map[string]*crashFile)
	left    int // writes until it stops; -1: never
	full    int // writes until there is no space; -1: never
	stopped bool
	locked  bool
	// fault, if set, is asked before each call; its error is what the call gives.
	// A write that fails has written half, a sync that fails has lost pages (lose).
	fault func(op, name string) error
	lost  bool // a sync failed, and dropped what it should have written
	rng   *rand.Rand
}

type crashFile struct {
	data    []byte
	synced  []byte
	pending []write
}

type write struct {
	at   int64
	b    []byte
	trim int64 // >= 0: a truncation
}

var (
	errStopped = errors.New("crashfs: stopped")
	errNoSpace = errors.New("crashfs: no space")
)

func newCrashFS() *crashFS {
	return &crashFS{now: map[string]*crashFile{}, disk: map[string]*crashFile{}, left: -1, full: -1}
}

func (c *crashFS) step() error {
	if c.left == 0 {
		c.stopped = true
	}
	if c.stopped {
		return errStopped
	}
	if c.left > 0 {
		c.left--
	}
	return nil
}

// ask is step for a call that may fail by itself.
func (c *crashFS) ask(op, name string) error {
	if err := c.step(); err != nil {
		return err
	}
	return c.fails(op, name)
}

func (c *crashFS) fails(op, name string) error {
	if c.fault == nil {
		return nil
	}
	if err := c.fault(op, name); err != nil {
		return &os.PathError{Op: op, Path: name, Err: err}
	}
	return nil
}

func (c *crashFS) rngOf() *rand.Rand { c.chance(); return c.rng }

// chance is a coin for what a failing sync leaves behind.
func (c *crashFS) chance() bool {
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(1, 2))
	}
	return c.rng.IntN(2) == 0
}

type handle struct {
	c    *crashFS
	f    *crashFile
	name string
}

func (c *crashFS) Open(name string, create bool) (File, error) {
	if err := c.ask("open", name); err != nil {
		return nil, err
	}
	file := c.now[name]
	if file == nil {
		if !create {
			return nil, os.ErrNotExist
		}
		file = &crashFile{}
		c.now[name] = file
		c.pending = append(c.pending, func(m map[string]*crashFile) { m[name] = file })
	}
	return &handle{c, file, name}, nil
}

func (c *crashFS) Rename(from, to string) error {
	if err := c.ask("rename", from); err != nil {
		return err
	}
	file := c.now[from]
	if file == nil {
		return os.ErrNotExist
	}
	do := func(m map[string]*crashFile) {
		if m[from] == file {
			delete(m, from)
		}
		m[to] = file
	}
	do(c.now)
	c.pending = append(c.pending, do)
	return nil
}

func (c *crashFS) Remove(name string) error {
	if err := c.ask("remove", name); err != nil {
		return err
	}
	if c.now[name] == nil {
		return os.ErrNotExist
	}
	do := func(m map[string]*crashFile) { delete(m, name) }
	do(c.now)
	c.pending = append(c.pending, do)
	return nil
}

func (c *crashFS) List() (names []string, err error) {
	for n := range c.now {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, c.ask("list", "")
}

func (c *crashFS) SyncDir() error {
	if err := c.step(); err != nil {
		return err
	}
	err := c.fails("syncdir", "")
	for _, do := range c.pending {
		if err == nil || c.chance() { // of one that fails, part is never tried again
			do(c.disk)
		}
	}
	c.pending = nil
	return err
}

func (c *crashFS) Lock() (io.Closer, error) {
	if err := c.fails("lock", ""); err != nil {
		return nil, err
	}
	if c.locked {
		return nil, errors.New("crashfs: locked")
	}
	c.locked = true
	return unlock{c}, nil
}

type unlock struct{ c *crashFS }

func (u unlock) Close() error { u.c.locked = false; return nil }

func (h *handle) ReadAt(data []byte, off int64) (int, error) {
	if h.c.stopped {
		return 0, errStopped
	}
	if err := h.c.fails("read", h.name); err != nil {
		return 0, err
	}
	if off >= int64(len(h.f.data)) {
		return 0, io.EOF
	}
	n := copy(data, h.f.data[off:])
	if n < len(data) {
		return n, io.EOF
	}
	return n, nil
}

func put(data []byte, w write) []byte {
	if w.trim >= 0 {
		if int64(len(data)) > w.trim {
			return append([]byte(nil), data[:w.trim]...)
		}
		return append(data, make([]byte, w.trim-int64(len(data)))...)
	}
	if need := w.at + int64(len(w.b)); int64(len(data)) < need {
		data = append(data, make([]byte, need-int64(len(data)))...)
	}
	copy(data[w.at:], w.b)
	return data
}

func (h *handle) WriteAt(data []byte, off int64) (int, error) {
	if err := h.c.step(); err != nil {
		return 0, err
	}
	err := h.c.fails("write", h.name)
	if h.c.full == 0 {
		err = errNoSpace
	}
	if err != nil { // half of it still fits
		w := write{off, append([]byte(nil), data[:len(data)/2]...), -1}
		h.f.data, h.f.pending = put(h.f.data, w), append(h.f.pending, w)
		return len(data) / 2, err
	}
	if h.c.full > 0 {
		h.c.full--
	}
	w := write{off, append([]byte(nil), data...), -1}
	h.f.data, h.f.pending = put(h.f.data, w), append(h.f.pending, w)
	return len(data), nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.c.ask("truncate", h.name); err != nil {
		return err
	}
	w := write{trim: size}
	h.f.data, h.f.pending = put(h.f.data, w), append(h.f.pending, w)
	return nil
}

func (h *handle) Sync() error {
	if err := h.c.step(); err != nil {
		return err
	}
	err := h.c.fails("sync", h.name)
	for _, w := range h.f.pending {
		if err == nil || h.c.chance() {
			h.f.synced = put(h.f.synced, w)
		}
	}
	h.f.pending = nil
	if err != nil { // the pages count as clean: a later sync succeeds, and does not write them
		h.c.lost = true
		if h.c.chance() {
			h.f.data = append([]byte(nil), h.f.synced...)
		}
	}
	return err
}

func (h *handle) Size() (int64, error) {
	if err := h.c.fails("size", h.name); err != nil {
		return 0, err
	}
	return int64(len(h.f.data)), nil
}
func (h *handle) Close() error { return nil }

// killed is the folder after the process was killed: all that it wrote is there.
func (c *crashFS) killed() *crashFS {
	n := newCrashFS()
	for name, file := range c.now {
		n.now[name] = &crashFile{data: append([]byte(nil), file.data...), synced: append([]byte(nil), file.data...)}
		n.disk[name] = n.now[name]
	}
	return n
}

// crashed is the folder after the machine stopped.
func (c *crashFS) crashed(rng *rand.Rand) *crashFS {
	names := map[string]*crashFile{}
	for n, file := range c.disk {
		names[n] = file
	}
	for _, do := range c.pending[:rng.IntN(len(c.pending)+1)] {
		do(names)
	}
	out := newCrashFS()
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		file := names[name]
		data := append([]byte(nil), file.synced...)
		for _, w := range file.pending {
			switch {
			case rng.IntN(3) == 0:
				continue // it never reached the disk
			case w.trim < 0 && rng.IntN(4) == 0:
				w.b = w.b[:rng.IntN(len(w.b)+1)] // torn
			}
			data = put(data, w)
		}
		out.now[name] = &crashFile{data: data, synced: append([]byte(nil), data...)}
		out.disk[name] = out.now[name]
	}
	return out
}
