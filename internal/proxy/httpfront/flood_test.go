package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/stallmeter"
)

// floodFor is how long a client sends at full speed in the tests.
const floodFor = 2 * time.Second

// flood sends requests at full speed, the last of which closes the connection, and returns how many
// were sent completely.
func flood(conn net.Conn, request string, end time.Time) (sent int) {
	const batch = 200
	requests := strings.Repeat(request, batch)
	for time.Now().Before(end) {
		conn.SetWriteDeadline(end.Add(time.Second))
		if _, err := io.WriteString(conn, requests); err != nil {
			return sent
		}
		sent += batch
	}
	if _, err := io.WriteString(conn, strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)); err != nil {
		return sent
	}
	return sent + 1
}

// countResponses reads responses until the connection closes.
func countResponses(conn net.Conn) (n int) {
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return n
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		n++
	}
}

// Pipelined requests that the router answers by itself were read without end while their client
// read no answers, and delayed other clients if it did.
func TestFloodOfLocalResponses(t *testing.T) {
	for name, reads := range map[string]bool{"read": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, 2, "")
			rig.getSmallObjects(20)
			flooder := rig.dial()
			end := time.Now().Add(floodFor)
			var group sync.WaitGroup
			sent, answered := 0, 0
			group.Go(func() { sent = flood(flooder, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n", end) })
			if reads {
				group.Go(func() { answered = countResponses(flooder) })
			}
			meter := stallmeter.Start()
			var all []float64
			mostInput := 0
			for time.Now().Before(end) {
				times, failed := rig.getSmallObjects(5)
				if all = append(all, times...); failed > 0 {
					t.Errorf("%d of 5 usual requests failed", failed)
				}
				rig.edge.Query(func(*Stats, *engine.Core) {
					for client := range rig.edge.clients {
						mostInput = max(mostInput, len(client.unparsed))
					}
				})
			}
			group.Wait()
			slices.Sort(all)
			stall := float64(meter.Stop().Milliseconds())
			median, worst := all[len(all)/2], all[len(all)-1]
			t.Logf("%d requests sent, %d answered; most input %d bytes; time of a usual request: median %.1f ms, worst %.1f ms; longest stall %.0f ms", sent, answered, mostInput, median, worst, stall)
			if reads && answered != sent {
				t.Errorf("%d responses to %d requests", answered, sent)
			}
			if median > 20 || worst > 400+stall {
				t.Errorf("usual requests took %.1f ms, the worst %.1f; want at most 20, and 400, the latency objective of their class, beside a stall of %.0f ms", median, worst, stall)
			}
			if limit := rig.edge.settings.Limits.ReadAheadBytes + readBytes; mostInput > limit {
				t.Errorf("%d bytes of requests were held for a client, want at most %d", mostInput, limit)
			}
		})
	}
}

// The rest of pipelined requests is handled after a turn's share, also when nothing more arrives.
func TestManyLocalResponsesInOneRead(t *testing.T) {
	rig := newRig(t, 1, "")
	conn := rig.dial()
	const requests = 10 * maxStartedPerTurn
	var text strings.Builder
	for i := range requests {
		fmt.Fprintf(&text, "GET /nowhere/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
	}
	io.WriteString(conn, text.String()+"GET /s/1/still0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if n := countResponses(conn); n != requests+1 {
		t.Errorf("%d responses, want %d", n, requests+1)
	}
}
