package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"indigospool/internal/protocol/fetchheader"
)

// BenchmarkHits fetches stored objects over persistent connections, 4 per processor: from a cache,
// and from Go's file server with files of the same sizes. Servers and clients share the process.
func BenchmarkHits(b *testing.B) {
	const n = 64
	for _, kb := range []int{4, 64, 1024} {
		r := newRig(b, "")
		dir := b.TempDir()
		for i := range n {
			path := fmt.Sprintf("/still/1/o%d", i)
			body := make([]byte, kb<<10)
			w, err := r.server.store.Begin(storeMeta(path), int64(len(body)))
			if err != nil {
				b.Fatal(err)
			}
			w.Write(body)
			if ok, err := w.Commit(); !ok || err != nil {
				b.Fatal(ok, err)
			}
			if err := os.WriteFile(filepath.Join(dir, fmt.Sprint("o", i)), body, 0o600); err != nil {
				b.Fatal(err)
			}
		}
		files := httptest.NewServer(http.FileServer(http.Dir(dir)))
		for _, target := range []struct{ name, addr, prefix string }{{"cache", r.server.Addr(), "/still/1/"}, {"fileserver", files.Listener.Addr().String(), "/"}} {
			b.Run(fmt.Sprintf("%s/%dKB", target.name, kb), func(b *testing.B) {
				b.SetBytes(int64(kb) << 10)
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					c, err := net.Dial("tcp", target.addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					br := bufio.NewReaderSize(c, 64<<10)
					for i := 0; pb.Next(); i++ {
						c.SetDeadline(time.Now().Add(10 * time.Second))
						path := fmt.Sprintf("%so%d", target.prefix, i%n)
						a := fetchheader.Attempt{ID: "q", From: "r", Class: "still", Object: path, Group: -1, Keep: 2}
						fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", path, fetchheader.FillField, a.Append(nil))
						res, err := http.ReadResponse(br, nil)
						if err != nil || res.StatusCode != 200 {
							b.Errorf("%s: response %v, error %v; want status 200", path, res, err)
							return
						}
						if m, err := io.Copy(io.Discard, res.Body); err != nil || m != int64(kb)<<10 {
							b.Errorf("%s: body of %d bytes, error %v; want %d bytes", path, m, err, int64(kb)<<10)
							return
						}
					}
				})
			})
		}
		files.Close()
	}
}
