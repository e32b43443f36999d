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

// injector has the process that it is in suffer its faults, each until its end. Its
// methods are safe for concurrent use.
type injector struct {
	folder    atomic.Pointer[folderFault]
	calls     atomic.Pointer[plannedCalls]
	intercept bool
	report    io.Writer // what it did goes there
}

// folderFault is a folder-fault, and how often it was met.
type folderFault struct {
	processFault
	failed atomic.Int64 // writes and syncs
}

// newInjector reads the line of the faults that a process begins with.
func newInjector(in *bufio.Reader, tell io.Writer) (*injector, error) {
	var begin processStart
	line, err := in.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &begin)
	}
	if err != nil {
		return nil, fmt.Errorf("day: read the faults to begin with: %w", err)
	}
	i := &injector{intercept: begin.Intercept, report: tell}
	for _, fault := range begin.Faults {
		if err := i.startFault(fault); err != nil {
			return nil, err
		}
	}
	return i, nil
}

// readFaults returns when the day's end of the pipe is closed: a machine does not
// outlive its day. Until then it begins each fault that it is told of.
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
			fmt.Fprintln(os.Stderr, "day: a fault was not begun:", err)
		}
	}
}

// startFault begins a fault, instead of the last one of its kind; steps of the clock add up.
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
		return fmt.Errorf("day: %q is no fault of a process", fault.Kind)
	}
	return nil
}

// syscalls are the system calls of the process's event loop; nil: the kernel's.
func (i *injector) syscalls() eventloop.Syscalls {
	if !i.intercept {
		return nil
	}
	return newFaultyCalls(i)
}

// folderErr is what a write to the process's folder, or a sync of it, gives for now.
func (i *injector) folderErr() error {
	fault := i.folder.Load()
	if fault == nil || trafficlog.Now() >= fault.Until {
		return nil
	}
	fault.failed.Add(1)
	return folderErrnos[fault.Errno]
}

// reportInjected tells the day, in one write, what a trouble did to this process.
func (i *injector) reportInjected(trouble string, calls, failed int) {
	line, err := json.Marshal(injectedLine{Injected{Fault: trouble, Calls: calls, Failed: failed}})
	if err == nil {
		i.report.Write(append(line, '\n'))
	}
}
