package bench

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// CPUSplit divides the machine between the proxy that is measured and all else, so that
// it is the proxy that reaches its limit first, and the load keeps its rate.
type CPUSplit struct{ proxy, rest unix.CPUSet }

// SplitCPUs keeps n CPUs for proxies and moves this process to the others, and with it
// what it starts but for proxies.
func SplitCPUs(n int) (*CPUSplit, error) {
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, fmt.Errorf("bench: sched_getaffinity: %w", err)
	}
	if all.Count() <= n {
		return nil, fmt.Errorf("bench: %d CPUs for the proxy leave none of %d for the load; ask for fewer, or for 0 to divide nothing", n, all.Count())
	}
	c := &CPUSplit{}
	for cpu := 0; c.proxy.Count()+c.rest.Count() < all.Count(); cpu++ {
		switch {
		case !all.IsSet(cpu):
		case c.proxy.Count() < n:
			c.proxy.Set(cpu)
		default:
			c.rest.Set(cpu)
		}
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	for _, t := range tasks {
		if id, err := strconv.Atoi(t.Name()); err == nil {
			if err := unix.SchedSetaffinity(id, &c.rest); err != nil {
				return nil, fmt.Errorf("bench: sched_setaffinity: %w", err)
			}
		}
	}
	return c, nil
}

// start starts a proxy on its CPUs; a child has those of the thread that makes it.
func (c *CPUSplit) start(cmd *exec.Cmd) error {
	if c == nil {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.SchedSetaffinity(0, &c.proxy); err != nil {
		return fmt.Errorf("bench: sched_setaffinity: %w", err)
	}
	defer unix.SchedSetaffinity(0, &c.rest)
	return cmd.Start()
}
