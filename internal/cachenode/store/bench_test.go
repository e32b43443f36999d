package store

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecover opens a store with n objects that was not closed, and reports the memory per
// object.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			options := Options{MaxBytes: 4 << 30, SegmentBytes: 64 << 20}
			store, _, err := Open(Dir(dir), options)
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				storeObject(b, store, fmt.Sprintf("/object/%d", i), 1, 64)
			}
			store.lock.Close() // as a kill of the process does
			var before, after runtime.MemStats
			for b.Loop() {
				b.StopTimer()
				store = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				b.StartTimer()
				var recovered Recovered
				if store, recovered, err = Open(Dir(dir), options); err != nil || recovered.Objects != n {
					b.Fatal(recovered, err)
				}
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				store.lock.Close()
				store.indexLog.Close()
				store.purgeLog.Close()
				for _, seg := range store.segments {
					seg.file.Close()
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/object")
			runtime.KeepAlive(store)
		})
	}
}

// BenchmarkLookup looks up and reads objects of one size. For comparison, Go's file server serves
// files of that size without sockets, and open files are read directly, which is the limit of the
// machine.
func BenchmarkLookup(b *testing.B) {
	for _, kb := range []int{4, 64, 1024} {
		const n = 200
		dir := b.TempDir()
		store, _, err := Open(Dir(filepath.Join(dir, "store")), Options{MaxBytes: 2 << 30})
		if err != nil {
			b.Fatal(err)
		}
		files := filepath.Join(dir, "files")
		os.Mkdir(files, 0o700)
		var open []*os.File
		for i := range n {
			storeObject(b, store, fmt.Sprintf("/%d", i), 1, kb<<10)
			name := filepath.Join(files, fmt.Sprint(i))
			os.WriteFile(name, bodyOf("/x", 1, kb<<10), 0o600)
			file, err := os.Open(name)
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, file)
		}
		buf := make([]byte, 64<<10)
		b.Run(fmt.Sprintf("store/%dKB", kb), func(b *testing.B) {
			b.SetBytes(int64(kb) << 10)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				object := store.Lookup(fmt.Sprintf("/%d", i%n))
				for off := int64(0); off < object.Size; off += int64(len(buf)) {
					object.ReadAt(buf, off)
				}
				object.Close()
			}
		})
		b.Run(fmt.Sprintf("fileserver/%dKB", kb), func(b *testing.B) {
			handler := http.FileServer(http.Dir(files))
			b.SetBytes(int64(kb) << 10)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				handler.ServeHTTP(&discard{h: http.Header{}}, httptest.NewRequest("GET", fmt.Sprintf("/%d", i%n), nil))
			}
		})
		b.Run(fmt.Sprintf("pread/%dKB", kb), func(b *testing.B) {
			b.SetBytes(int64(kb) << 10)
			for i := 0; b.Loop(); i++ {
				for off := int64(0); off < int64(kb)<<10; off += int64(len(buf)) {
					open[i%n].ReadAt(buf, off)
				}
			}
		})
		store.Close()
		for _, file := range open {
			file.Close()
		}
	}
}

type discard struct{ h http.Header }

func (d *discard) Header() http.Header            { return d.h }
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }
func (d *discard) WriteHeader(int)                {}

// BenchmarkWrite stores objects of 64 KB in a store of 64 MB with each policy. A tenth of the objects
// is looked up repeatedly. written/kept is the write amplification.
func BenchmarkWrite(b *testing.B) {
	for name, sync := range map[string]Sync{"purges": SyncPurges, "segments": SyncSegments, "copies": SyncObjects} {
		b.Run(name, func(b *testing.B) {
			store, _, err := Open(Dir(b.TempDir()), Options{MaxBytes: 64 << 20, SegmentBytes: 8 << 20, Sync: sync})
			if err != nil {
				b.Fatal(err)
			}
			defer store.Close()
			body := bodyOf("/x", 1, 64<<10)
			b.SetBytes(int64(len(body)))
			worst := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				start := time.Now()
				writer, err := store.Begin(Meta{Key: fmt.Sprint("/", i), Rank: 2}, int64(len(body)))
				if err != nil {
					b.Fatal(err)
				}
				writer.Write(body)
				if _, err := writer.Commit(); err != nil {
					b.Fatal(err)
				}
				if object := store.Lookup(fmt.Sprint("/", i/100*10)); object != nil {
					object.Close()
				}
				store.Compact(128 << 10)
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(float64(store.Stats.WrittenBytes)/float64(store.Stats.BodyBytes), "written/kept")
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
		})
	}
}

// BenchmarkPurge makes purges by object, which are synced.
func BenchmarkPurge(b *testing.B) {
	store, _, err := Open(Dir(b.TempDir()), Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	for i := 0; b.Loop(); i++ {
		if _, err := store.Purge(Purge{Scope: ByObject, Text: fmt.Sprint("/", i)}); err != nil {
			b.Fatal(err)
		}
	}
}
