package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/testbed/stallmeter"
)

// Pipelined requests that the cache answers at once were answered without end while their client
// read no answers, and delayed other clients if it did.
func TestFloodOfEmptyResponses(t *testing.T) {
	for name, reads := range map[string]bool{"read": true, "unread": false} {
		t.Run(name, func(t *testing.T) { floodOfEmptyResponses(t, reads) })
	}
}

// Clients that stop in the middle of large writes took memory without a limit for all of them.
func TestBodiesOfStoppedWrites(t *testing.T) {
	r := newRig(t, "")
	r.fetchVerified("/still/1/a", allowFill)
	r.waitStored(1)
	body := strings.Repeat("x", 1<<20)
	head := "POST /order/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n"
	var group sync.WaitGroup
	refused := make(chan bool, 320)
	for range 320 {
		conn, err := net.Dial("tcp", r.server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		group.Go(func() {
			conn.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(conn, head+body[:len(body)-100])
			if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && res.StatusCode == 503 {
				refused <- true
			}
		})
	}
	group.Wait()
	r.fetchVerified("/still/1/a", storedOnly)
	held := int64(0)
	r.server.loop.Call(time.Second, func() {
		for c := range r.server.conns {
			if c.request != nil {
				held += int64(cap(c.request.body))
			}
		}
		if held != r.server.requestBodyBytes {
			t.Errorf("%d bytes are counted, the bodies take %d", r.server.requestBodyBytes, held)
		}
	})
	t.Logf("%d MB of bodies held, %d of 320 writes refused", held>>20, len(refused))
	if held > maxRequestBodyBytes || len(refused) == 0 {
		t.Errorf("%d bytes of bodies held and %d writes refused, want at most %d and some", held, len(refused), maxRequestBodyBytes)
	}
}

func floodOfEmptyResponses(t *testing.T, reads bool) {
	r := newRig(t, "")
	r.fetchVerified("/still/1/a", allowFill)
	r.waitStored(1)
	flooder, err := net.Dial("tcp", r.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer flooder.Close()
	end := time.Now().Add(2 * time.Second)
	var group sync.WaitGroup
	sent, answered := 0, 0
	group.Go(func() {
		requests := strings.Repeat("GET /-/nowhere HTTP/1.1\r\nHost: h\r\n\r\n", 200)
		for flooder.SetWriteDeadline(end.Add(time.Second)); time.Now().Before(end); sent += 200 {
			if _, err := io.WriteString(flooder, requests); err != nil {
				return
			}
		}
		if _, err := io.WriteString(flooder, "GET /-/nowhere HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err == nil {
			sent++
		}
	})
	if reads {
		group.Go(func() {
			reader := bufio.NewReader(flooder)
			for {
				flooder.SetReadDeadline(time.Now().Add(10 * time.Second))
				res, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
				answered++
			}
		})
	}
	meter := stallmeter.Start()
	var times []time.Duration
	mostInput, mostOutput := 0, 0
	for time.Now().Before(end) {
		began := time.Now()
		r.fetchVerified("/still/1/a", storedOnly)
		times = append(times, time.Since(began))
		r.server.loop.Call(time.Second, func() {
			for c := range r.server.conns {
				mostInput, mostOutput = max(mostInput, len(c.readBuffer)), max(mostOutput, len(c.writeBuffer))
			}
		})
	}
	group.Wait()
	slices.Sort(times)
	stall := meter.Stop()
	median, worst := times[len(times)/2], times[len(times)-1]
	t.Logf("%d requests sent, %d answered; most input %d bytes, most output %d; hits took %v, the worst %v; longest stall %v", sent, answered, mostInput, mostOutput, median, worst, stall)
	if reads && answered != sent {
		t.Errorf("%d responses to %d requests", answered, sent)
	}
	if median > 20*time.Millisecond || worst > 400*time.Millisecond+stall {
		t.Errorf("hits took %v, the worst %v; want at most 20 ms, and 400 ms, a usual latency objective, beside a stall of %v", median, worst, stall)
	}
	if limit := maxPipelinedBytes + len(r.server.scratch); mostInput > limit || mostOutput > limit {
		t.Errorf("%d bytes of requests and %d of responses were held for a client, want at most %d", mostInput, mostOutput, limit)
	}
}
