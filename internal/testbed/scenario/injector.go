package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"indigospool/internal/eventloop"
	"indigospool/internal/testbed/trafficlog"
	"indigospool/internal/wallclock"
)

// injector applies faults to the process that it runs in, each until its Until time. Its
// methods are safe for concurrent use.
type injector struct {
	folder    atomic.Pointer[folderFault]
	calls     atomic.Pointer[plannedCalls]
	intercept bool      // the event loop's system calls go through faultyCalls
	report    io.Writer // receives the counts of each fault at its end
}

// folderFault is a folder-fault and the number of calls that it made fail.
type folderFault struct {
	processFault
	failed atomic.Int64 // failed calls that write, create, rename or sync
}

// newInjector reads the line with the process's startup faults and applies them.
func newInjector(in *bufio.Reader, report io.Writer) (*injector, error) {
	var begin processStart
	line, err := in.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &begin)
	}
	if err != nil {
		return nil, fmt.Errorf("day: read the startup faults: %w", err)
	}
	i := &injector{intercept: begin.Intercept, report: report}
	for _, fault := range begin.Faults {
		if err := i.startFault(fault); err != nil {
			return nil, err
		}
	}
	return i, nil
}

// readFaults reads faults and starts each of them. It returns when the parent process closes
// its end of the pipe or has ended: the process must not outlive it.
func (i *injector) readFaults(in *bufio.Reader) {
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var fault processFault
		if err = json.Unmarshal(line, &fault); err == nil {
			err = i.startFault(fault)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "day: start a fault:", err)
		}
	}
}

// startFault starts a fault. It replaces an earlier one of its kind, except that clock steps
// add up.
func (i *injector) startFault(fault processFault) error {
	left := time.Duration((fault.Until - trafficlog.Now()) * float64(time.Millisecond))
	switch fault.Kind {
	case FolderFault:
		folder := &folderFault{processFault: fault}
		i.folder.Store(folder)
		time.AfterFunc(left, func() {
			failed := int(folder.failed.Load())
			i.reportInjected(fault.Name, failed, failed)
		})
	case SyscallFaults:
		calls, err := newPlannedCalls(fault)
		if err != nil {
			return err
		}
		i.calls.Store(calls)
		time.AfterFunc(left, func() {
			made, failed := calls.counts()
			i.reportInjected(fault.Name, made, failed)
		})
	case ClockStep:
		step := time.Duration(fault.Step * float64(time.Millisecond))
		wallclock.Step(step)
		time.AfterFunc(left, func() { wallclock.Step(-step) })
	default:
		return fmt.Errorf("day: unknown process fault %q, want one of %q", fault.Kind, processKinds)
	}
	return nil
}

// syscalls returns the system calls for the process's event loop; nil means the kernel's.
func (i *injector) syscalls() eventloop.Syscalls {
	if !i.intercept {
		return nil
	}
	return newFaultyCalls(i)
}

// folderErr returns the error of a write or sync in the process's folder during a
// folder-fault, which it counts as a failed call, and otherwise nil.
func (i *injector) folderErr() error {
	fault := i.folder.Load()
	if fault == nil || trafficlog.Now() >= fault.Until {
		return nil
	}
	fault.failed.Add(1)
	return folderErrnos[fault.Errno]
}

// reportInjected reports the effects of a fault in this process, in one write.
func (i *injector) reportInjected(fault string, calls, failed int) {
	line, err := json.Marshal(injectedLine{Injected{Fault: fault, Calls: calls, Failed: failed}})
	if err == nil {
		i.report.Write(append(line, '\n'))
	}
}
