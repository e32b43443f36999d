package platform

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"indigospool/internal/testbed/stallmeter"
	"indigospool/internal/testbed/testserver"
)

// floodFor is how long a client sends at full speed in the tests.
const floodFor = 2 * time.Second

// lastSequence is the number of the last call of a flood.
const lastSequence = 1 << 20

// flood sends calls of a method at full speed, the last one with lastSequence, and returns how many
// were sent completely.
func flood(client *testserver.PlatformClient, method string, end time.Time) (sent int) {
	const batch = 1000
	var calls []byte
	for seq := range int32(batch) {
		calls = append(calls, testserver.PlatformCall(method, seq+1, nil, nil)...)
	}
	for time.Now().Before(end) {
		client.SetWriteDeadline(end.Add(time.Second))
		if _, err := client.Write(calls); err != nil {
			return sent
		}
		sent += batch
	}
	if _, err := client.Write(testserver.PlatformCall(method, lastSequence, nil, nil)); err != nil {
		return sent
	}
	return sent + 1
}

// A client that called isWell, or an unknown method, at full speed delayed the answers of others by
// half a second, and its own answers grew in memory without end if it did not read them.
func TestFloodOfLocalAnswers(t *testing.T) {
	for _, method := range []string{"isWell", "drop"} {
		for name, reads := range map[string]bool{"read": true, "unread": false} {
			t.Run(method+" "+name, func(t *testing.T) { floodOfLocalAnswers(t, method, reads) })
		}
	}
}

func floodOfLocalAnswers(t *testing.T, method string, reads bool) {
	harness := newHarness(t, nil)
	flooder := harness.dial()
	end := time.Now().Add(floodFor)
	var group sync.WaitGroup
	sent, answered := 0, 0
	group.Go(func() { sent = flood(flooder, method, end) })
	if reads {
		group.Go(func() {
			for {
				result, err := flooder.Result(10 * time.Second)
				if err != nil && (err == io.EOF || isTimeout(err)) {
					return
				}
				if answered++; result.Seq == lastSequence {
					return
				} else if result.Seq != int32((answered-1)%1000+1) {
					t.Errorf("answer %d has number %d", answered, result.Seq)
					return
				}
			}
		})
	}
	meter := stallmeter.Start()
	var worst time.Duration
	mostUnsent, mostInput := 0, 0
	for time.Now().Before(end) {
		began := time.Now()
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("a usual request was answered %+v, want served", result)
		}
		worst = max(worst, time.Since(began))
		harness.server.loop.Call(waitTimeout, func() {
			for client := range harness.server.clients {
				mostUnsent, mostInput = max(mostUnsent, client.output.Len()), max(mostInput, client.input.Len())
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	stall := meter.Stop()
	t.Logf("%d calls sent, %d answers read; most unsent %d bytes, most input %d; worst time of a usual request %v; longest stall %v", sent, answered, mostUnsent, mostInput, worst, stall)
	if reads && answered != sent {
		t.Errorf("%d answers to %d calls", answered, sent)
	}
	if worst > 400*time.Millisecond+stall {
		t.Errorf("a usual request took %v, want at most 400 ms, the latency objective of its class, beside a stall of %v", worst, stall)
	}
	if mostUnsent > 100*maxLocalAnswers || mostInput > 2*readBufferBytes {
		t.Errorf("%d bytes of answers and %d of calls were held for a client, want at most %d and %d", mostUnsent, mostInput, 100*maxLocalAnswers, 2*readBufferBytes)
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
