package bench

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// CPUSplit divides the CPUs between the measured proxy and all other processes, so that the
// proxy reaches its limit first and the load generator keeps its rate.
type CPUSplit struct{ proxy, rest unix.CPUSet }

// SplitCPUs reserves n CPUs for proxies. It moves this process, and so the processes that it
// starts without the CPUSplit, to the other CPUs.
func SplitCPUs(n int) (*CPUSplit, error) {
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return nil, fmt.Errorf("bench: sched_getaffinity: %w", err)
	}
	if all.Count() <= n {
		return nil, fmt.Errorf("bench: %d CPUs for the proxy leave none of the %d CPUs for the load; use fewer, or 0 to share all CPUs", n, all.Count())
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

// start starts a command on the proxy's CPUs. A child inherits the affinity of the thread that
// starts it.
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
