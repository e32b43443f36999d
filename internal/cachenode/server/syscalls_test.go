package server

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/faultinject"
)

// System calls on sockets fail with each error that a shortage or an interruption gives, once or
// for a while. Each request is answered on its connection, the source is not reported as failed,
// and the loop does not spin.
func TestSystemCallsFail(t *testing.T) {
	const requests, perSecond = 100, 1500
	errors := map[faultinject.Call]string{
		faultinject.Accept:  "ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPERM ENETUNREACH EINTR",
		faultinject.Socket:  "EMFILE ENFILE ENOBUFS ENOMEM EINTR",
		faultinject.Connect: "EADDRNOTAVAIL ENETUNREACH EPERM ENOBUFS EAGAIN EINTR",
		faultinject.Read:    "EINTR ENOBUFS ENOMEM short",
		faultinject.Write:   "EINTR ENOBUFS ENOMEM short",
		faultinject.Wait:    "EINTR",
	}
	for call, names := range errors {
		for _, name := range strings.Fields(names) {
			for _, span := range []string{"1x", "1:0s-50ms", "1:0s-2s"} {
				t.Run(fmt.Sprintf("%s/%s/%s", call, name, span), func(t *testing.T) {
					t.Parallel()
					r := newRig(t, "")
					calls, began := r.injectFault(call, name+":"+span), time.Now()
					var wg sync.WaitGroup
					for i := range requests {
						wg.Go(func() {
							res, _, err := r.fetch(fmt.Sprintf("/still/%d", i), allowFill, nil)
							switch {
							case err != nil:
								t.Errorf("request %d got no response: %v", i, err)
							case res.StatusCode == 200:
							case span != "1:0s-2s" || !strings.Contains(res.Header.Get(fetchheader.StatusField), fetchheader.NoPlace):
								t.Errorf("request %d: status %d, Cache-Status %s; want 200", i, res.StatusCode, res.Header.Get(fetchheader.StatusField))
							}
						})
					}
					wg.Wait()
					var turns uint64
					r.server.loop.Call(5*time.Second, func() { turns = r.server.loop.Turns() })
					seconds := time.Since(began).Seconds()
					made, failed := calls.Counts(call)
					if failed == 0 || turns > uint64(perSecond*seconds)+40*requests {
						t.Errorf("%d turns in %.1f s, want %d or fewer; %d of %d calls failed, want 1 or more", turns, seconds, uint64(perSecond*seconds)+40*requests, failed, made)
					}
					if call == faultinject.Accept && made > int(perSecond*seconds)+4*requests {
						t.Errorf("%d calls of accept in %.1f s, want %d or fewer", made, seconds, int(perSecond*seconds)+4*requests)
					}
				})
			}
		}
	}
}

// injectFault makes the cache's system calls of a kind fail as behavior says. Times in behavior
// count from the first such call.
func (r *rig) injectFault(call faultinject.Call, behavior string) (calls *faultinject.Syscalls) {
	faults, err := faultinject.Parse(fmt.Sprintf("%s:%s", call, behavior))
	if err != nil {
		r.t.Fatal(err)
	}
	var began time.Time
	calls = faultinject.New(faults, 1, func() time.Duration {
		if made, _ := calls.Counts(call); made == 0 {
			began = time.Now()
		}
		return time.Since(began)
	})
	if err := r.server.loop.Call(5*time.Second, func() { r.server.loop.Intercept(calls) }); err != nil {
		r.t.Fatal(err)
	}
	return calls
}
