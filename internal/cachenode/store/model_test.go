package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// kept is what the model knows of a copy that was kept.
type storedObject struct {
	meta  Meta
	body  []byte
	since int // purges that were made before its fill began
}

// model is a store as a map: every copy that was ever kept of each key, and all purges.
type model struct {
	stored       map[string][]storedObject
	latest       map[string]*storedObject
	purges       []Purge
	acknowledged []bool
}

func (m *model) purged(k *storedObject, maybe bool) bool {
	for i, w := range m.purges {
		if !m.acknowledged[i] && !maybe {
			continue
		}
		hit := w.Scope == ByObject && w.Text == k.meta.Object || w.Scope == ByGroup && w.Group == k.meta.Group ||
			w.Scope == ByTag && slices.Contains(k.meta.Tags, w.Text) || w.Scope == ByPrefix && strings.HasPrefix(k.meta.Key, w.Text)
		if !hit {
			continue
		}
		if w.Version > 0 && k.meta.Version > 0 {
			if k.meta.Version < w.Version {
				return true
			}
			continue
		}
		if k.since <= i {
			return true
		}
	}
	return false
}

// Any sequence of copies, purges, finds and tidying, with the process killed or the machine
// stopped at any write, and anything that was not synced lost, in part or in any order:
// what is found is a copy that was kept, whole, and no purge that was acknowledged voids it;
// after a kill, and after a crash where copies are synced, all that was kept is found but
// for what was given up for room.
func TestModel(t *testing.T) { checkModel(t, false) }

// The same with a disk that fails for a while, again and again (ENOSPC, EIO, short writes,
// syncs that fail and lose their pages), and with kills and crashes meanwhile: besides, the
// store works again by itself afterwards, and has lost nothing but what a sync lost.
func TestModelWithFaults(t *testing.T) { checkModel(t, true) }

func checkModel(t *testing.T, faults bool) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		set := Options{MaxBytes: 64 << 10, SegmentBytes: 8 << 10, Sync: Sync(rng.IntN(3)), MaxPurgeRules: 4}
		big := rng.IntN(2) == 0
		if big { // nothing is given up for room
			set.MaxBytes = 64 << 20
			set.SegmentBytes = 32 << 10
		}
		clock := testClock{time.Unix(1_700_000_000, 0)}
		set.Now = clock.Now
		fs := newCrashFS()
		fs.rng = rng
		s, _, err := Open(fs, set)
		if err != nil {
			t.Fatal(err)
		}
		m := &model{stored: map[string][]storedObject{}, latest: map[string]*storedObject{}}
		version := int64(0)
		verify := func(mustAll bool) {
			for i := range 40 {
				key := fmt.Sprintf("/k/%d", i)
				c := s.Lookup(key)
				if c == nil {
					if k := m.latest[key]; mustAll && k != nil && !m.purged(k, true) {
						t.Fatalf("%s is gone", key)
					}
					continue
				}
				b := make([]byte, c.Size)
				if n, err := c.ReadAt(b, 0); int64(n) != c.Size && fs.fault != nil {
					c.Close()
					continue
				} else if int64(n) != c.Size {
					t.Fatalf("%s: %d bytes of %d, %v", key, n, c.Size, err)
				}
				c.Close()
				ok := false
				for k := range m.stored[key] {
					x := &m.stored[key][k]
					if bytes.Equal(x.body, b) && x.meta.Version == c.Version && x.meta.Born == c.Born {
						if ok = true; m.purged(x, false) {
							t.Fatalf("%s is given out in version %d after a purge that was acknowledged", key, c.Version)
						}
					}
				}
				if !ok {
					t.Fatalf("%s is given out as it never was: %d bytes, version %d", key, c.Size, c.Version)
				}
			}
		}
		type open struct {
			w *Writer
			k storedObject
		}
		var writers []open
		born := int64(1000)
		renewed := map[string]bool{}  // since the last start: a crash may tear their heads
		lossy, gaveUp := false, false // copies may be lost that are not synced; and any of them
		settled := func() {           // the disk works: see what is there
			verify(big && !gaveUp && (!lossy || set.Sync == SyncObjects))
			for key, k := range m.latest { // what was lost is not missed from here on
				c := s.Lookup(key)
				if c == nil {
					m.latest[key] = nil
					continue
				}
				if !renewed[key] && (k == nil || c.Born != k.meta.Born) {
					for i := range m.stored[key] {
						if m.stored[key][i].meta.Born == c.Born {
							m.latest[key] = &m.stored[key][i]
						}
					}
				}
				c.Close()
			}
			lossy, gaveUp, fs.lost = false, false, false
		}
		for range rng.IntN(150) {
			clock.now = clock.now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			lossy, gaveUp = lossy || fs.lost, gaveUp || s.unversionedRules >= 4*set.MaxPurgeRules && fs.fault != nil
			switch {
			case !faults || fs.stopped:
			case fs.fault == nil && rng.IntN(12) == 0:
				fs.fault = randomFault(rng)
			case fs.fault != nil && fs.left < 0 && rng.IntN(12) == 0:
				fs.fault = nil
				clock.retryAfterBackoff(s)
				if st := s.Status(); st.Fault != nil || st.LogsUnread || !st.PurgesDurable {
					t.Fatalf("it does not come back: %+v", st)
				}
				settled()
			}
			if rng.IntN(30) == 0 {
				s.Retry()
			}
			if fs.stopped || rng.IntN(40) == 0 {
				how := rng.IntN(3)
				fault := fs.fault
				lossy = lossy || fs.lost
				switch how {
				case 0:
					fs = fs.killed()
				case 1:
					fs = fs.crashed(rng)
				default: // the recovery is stopped too
					fs = fs.killed()
					fs.left = rng.IntN(30)
					if s2, _, err := Open(fs, set); err == nil {
						s = s2
						fs.left = -1
					}
					fs = fs.crashed(rng)
				}
				writers, renewed = nil, map[string]bool{}
				lossy = lossy || how > 0
				fs.rng = rng
				if rng.IntN(2) == 0 {
					fs.fault = fault
				}
				if s, _, err = Open(fs, set); err != nil {
					t.Fatalf("it does not open again: %v", err)
				}
				if fs.fault != nil {
					verify(false)
					continue
				}
				settled()
				continue
			}
			if rng.IntN(60) == 0 {
				fs.left = rng.IntN(20)
			}
			switch n := rng.IntN(10); {
			case n < 4:
				if rng.IntN(3) == 0 {
					version++
				}
				born++
				key := fmt.Sprintf("/k/%d", rng.IntN(40))
				k := storedObject{meta: Meta{Key: key, Object: "/o/" + key[3:], Group: int32(rng.IntN(4)), Tags: []string{fmt.Sprint("t", rng.IntN(4))}, Born: born,
					Rank: 1 + rng.IntN(3)}, body: make([]byte, rng.IntN(3000)), since: len(m.purges)}
				if rng.IntN(2) == 0 {
					k.meta.Version = max(version-int64(rng.IntN(3)), 1)
				}
				for i := range k.body {
					k.body[i] = byte(rng.Uint32())
				}
				if w, err := s.Begin(k.meta, int64(len(k.body))); err == nil {
					writers = append(writers, open{w, k})
				} else if fault := (*FaultError)(nil); !errors.Is(err, errStopped) && !(faults && errors.As(err, &fault)) {
					t.Fatal(err)
				}
			case n < 8 && len(writers) > 0:
				i := rng.IntN(len(writers))
				o := writers[i]
				writers = append(writers[:i], writers[i+1:]...)
				cut := len(o.k.body)
				if rng.IntN(8) == 0 {
					cut = rng.IntN(cut + 1)
				}
				o.w.Write(o.k.body[:cut/2])
				o.w.Write(o.k.body[cut/2 : cut])
				// it may last although it was not said to
				m.stored[o.k.meta.Key] = append(m.stored[o.k.meta.Key], o.k)
				was, err := o.w.Commit()
				if was {
					if cut < len(o.k.body) {
						t.Fatal("a copy that did not come whole was kept")
					}
					x := o.k
					m.latest[o.k.meta.Key] = &x
				} else if err == nil && !m.purged(&o.k, true) && big && o.k.meta.Version == 0 && len(m.purges) < 3 && !faults {
					t.Fatal("a copy was not kept, and nothing voids it")
				}
			case n == 8:
				w := Purge{Scope: Scope(1 + rng.IntN(4))}
				switch w.Scope {
				case ByObject:
					w.Text = fmt.Sprintf("/o/%d", rng.IntN(40))
				case ByGroup:
					w.Group = int32(rng.IntN(4))
				case ByTag:
					w.Text = fmt.Sprint("t", rng.IntN(4))
				case ByPrefix:
					w.Text = fmt.Sprintf("/k/%d", rng.IntN(10))
				}
				if rng.IntN(3) == 0 {
					w.Version = version + 1
				}
				_, err := s.Purge(w)
				m.purges, m.acknowledged = append(m.purges, w), append(m.acknowledged, err == nil)
			case rng.IntN(3) == 0: // a copy's source has found it good
				key := fmt.Sprintf("/k/%d", rng.IntN(40))
				c := s.Lookup(key)
				if c == nil {
					continue
				}
				born++
				for _, k := range m.stored[key] {
					if k.meta.Born == c.Born { // the new head may last or not, or be torn by a kill
						k.meta.Born = born
						m.stored[key] = append(m.stored[key], k)
						m.latest[key], renewed[key] = nil, true
						break
					}
				}
				c.Renew(born)
				c.Close()
			case rng.IntN(2) == 0:
				s.Compact(int64(rng.IntN(8 << 10)))
			default:
				if !fs.stopped {
					verify(false)
				}
			}
		}
	})
}

// randomFault has some of the calls fail, some of the time.
func randomFault(rng *rand.Rand) func(op, name string) error {
	ops := map[string]bool{}
	for _, op := range []string{"open", "read", "write", "sync", "syncdir", "rename", "remove", "list", "size", "truncate"} {
		ops[op] = rng.IntN(2) == 0
	}
	errno := []syscall.Errno{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)]
	prefix := []string{"", "", "seg-", "index-", purgeLogName}[rng.IntN(5)]
	often := 1 + rng.IntN(4) // in four
	return func(op, name string) error {
		if ops[op] && strings.HasPrefix(name, prefix) && rng.IntN(4) < often {
			return errno
		}
		return nil
	}
}
