package scenario

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"time"

	"indigospool/internal/testbed/trafficlog"
)

// Faults by slow clients. The requests of these clients are neither counted nor recorded in
// the traffic log, but the attempts that routers make for them are.
const (
	SlowReaders = "slow-readers" // clients request large objects and read (rate n) KB per second
	SlowSenders = "slow-askers"  // clients send their requests at one byte per second
)

// RouterRestart hot-restarts routers one after the other.
const RouterRestart = "router-restart"

// hasRouterRestart reports whether the script hot-restarts routers. Only then do routers get
// a hot-restart socket.
func (s *Script) hasRouterRestart() bool {
	for _, t := range s.Faults {
		if t.Kind == RouterRestart {
			return true
		}
	}
	return false
}

func (d *Day) hotRestartSocketPath(router string) string {
	return filepath.Join(d.dir, router+".handover")
}

// restart starts the successor of a router's process and waits until the predecessor exits.
func (d *Day) restart(ctx context.Context, r *router) error {
	old := r.process
	if err := d.startRouter(ctx, r); err != nil {
		return err
	}
	select {
	case <-old.done:
		return nil
	case <-time.After(time.Duration(d.script.Limits.DrainTimeout+5000) * time.Millisecond):
		old.kill()
		return fmt.Errorf("day: %s did not exit within %.0f ms after its successor took over", r.endpoint.name, d.script.Limits.DrainTimeout+5000)
	case <-ctx.Done():
		return nil
	}
}

// runSlowClients keeps a fault's slow clients connected to the routers until the fault's end.
// A client whose connection was closed connects again after a second.
func (d *Day) runSlowClients(ctx context.Context, fault FaultSpec) error {
	ctx, stop := context.WithTimeout(ctx, time.Duration(fault.Duration*float64(time.Millisecond)))
	defer stop()
	largest := d.script.Classes[0]
	for _, k := range d.script.Classes {
		if !k.Write && k.KB > largest.KB {
			largest = k
		}
	}
	var routers []*routerEndpoint
	d.mu.Lock()
	for _, r := range d.routers {
		routers = append(routers, r.endpoint)
	}
	d.mu.Unlock()
	var wg sync.WaitGroup
	for i := range fault.Clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; sleep(ctx, 1000*float64(min(n, 1))); n++ {
				c, err := net.DialTimeout("tcp4", routers[i%len(routers)].address(), time.Second)
				if err != nil {
					continue
				}
				c.(*net.TCPConn).SetReadBuffer(8 << 10)
				path := fmt.Sprintf("/%s/%d/slow%d", largest.Name, i%d.script.Day.Groups, i%8)
				if largest.Parts > 0 {
					path += "/0"
				}
				if fault.Kind == SlowReaders {
					for range 10 {
						fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: slow\r\n\r\n", path)
					}
					buf := make([]byte, max(int(fault.ReadRate*1024/4), 1))
					for sleep(ctx, 250) {
						c.SetReadDeadline(time.Now().Add(5 * time.Second))
						if _, err := io.ReadFull(c, buf); err != nil {
							break
						}
					}
				} else {
					for k := 0; sleep(ctx, 1000); k++ {
						if _, err := c.Write([]byte("GET /x HTTP/1.1\r\nHost: slow\r\nX: y\r\n"[k%33 : k%33+1])); err != nil {
							break
						}
						c.SetReadDeadline(time.Now().Add(time.Millisecond))
						if n, _ := c.Read(make([]byte, 64)); n > 0 {
							break
						}
					}
				}
				c.Close()
			}
		}()
	}
	wg.Wait()
	return nil
}

// restartAll hot-restarts the target routers of a fault.
func (d *Day) restartAll(ctx context.Context, targets []string) error {
	for _, name := range targets {
		for _, r := range d.routers {
			if r.endpoint.name == name {
				d.trafficLog.Add(trafficlog.Record{Event: trafficlog.Fault, Note: "restart of " + name})
				if err := d.restart(ctx, r); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
