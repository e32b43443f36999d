package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"

	"indigospool/internal/testbed/faultinject"
	"indigospool/internal/testbed/trafficlog"
)

// Process faults: failures of the kernel or of the disk, as seen by the processes of routers,
// of boxes that run spool-cache, and of the control service.
const (
	SyscallFaults = "syscalls"     // system calls on sockets fail as in (plan "..."), see faultinject.Parse
	ClockStep     = "clock-step"   // the process's wall clock is set by (step ms), and back at the end
	FolderFault   = "folder-fault" // writes and syncs in the process's folder fail with (errno ENOSPC)
)

var processKinds = []string{SyscallFaults, ClockStep, FolderFault}

// processFault is the message that has a process apply a fault to itself.
type processFault struct {
	Name  string  `json:"name"` // name of the scheduled fault
	Kind  string  `json:"kind"`
	Plan  string  `json:"plan,omitempty"`  // of syscalls
	Peer  string  `json:"peer,omitempty"`  // of syscalls: whose connections are affected
	Step  float64 `json:"step,omitempty"`  // of clock-step, ms
	Errno string  `json:"errno,omitempty"` // of folder-fault
	Until float64 `json:"until"`           // end of the fault, see trafficlog.Now
}

// Injected counts the effects of a process fault. It does not include processes that were
// killed before the fault's end.
type Injected struct {
	Fault  string `json:"trouble"`
	Calls  int    `json:"calls"`  // calls of the kinds that the fault affects
	Failed int    `json:"failed"` // calls that failed; with none the fault had no effect
}

// injectedLine is the line by which a process reports the effects of a fault.
type injectedLine struct {
	Injected Injected `json:"injected"`
}

const injectedPrefix = `{"injected"`

// handleOutput handles a line that a process has printed: a record for the traffic log, or
// the effects of a fault.
func (d *Day) handleOutput(line []byte) {
	if !bytes.HasPrefix(line, []byte(injectedPrefix)) {
		d.trafficLog.AddLine(line)
		return
	}
	var message injectedLine
	if json.Unmarshal(line, &message) == nil {
		d.processFaults.addCounts(message.Injected)
	}
}

// folderErrnos are the errors of a full or broken disk.
var folderErrnos = map[string]unix.Errno{"ENOSPC": unix.ENOSPC, "EIO": unix.EIO, "EDQUOT": unix.EDQUOT, "EROFS": unix.EROFS}

// activeFaults holds the process faults of a day by machine. A process that starts during a
// fault gets the fault with its settings.
type activeFaults struct {
	mu        sync.Mutex
	byMachine map[string][]processFault
	injected  []Injected // one for each scheduled fault
}

// addInjected begins the counts of a scheduled fault.
func (f *activeFaults) addInjected(fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, Injected{Fault: fault})
}

// addCounts adds the effects of a fault in one process.
func (f *activeFaults) addCounts(one Injected) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.injected {
		if sum := &f.injected[i]; sum.Fault == one.Fault {
			sum.Calls += one.Calls
			sum.Failed += one.Failed
		}
	}
}

func (f *activeFaults) add(machine string, fault processFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byMachine == nil {
		f.byMachine = map[string][]processFault{}
	}
	f.byMachine[machine] = append(f.byMachine[machine], fault)
}

// activeAt returns the faults of a machine that have not ended.
func (f *activeFaults) activeAt(machine string) []processFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := trafficlog.Now()
	lasting := []processFault{}
	for _, fault := range f.byMachine[machine] {
		if fault.Until > now {
			lasting = append(lasting, fault)
		}
	}
	return lasting
}

// recoveryTimeMS is the time that a machine may take to use its folder again after a
// folder-fault: its longest backoff and one more attempt.
const recoveryTimeMS = 4000

// retryIntervalMS is the interval of retries during a folder-fault.
const retryIntervalMS = 100

// errNotRecovered reports that a machine still rejects requests although its folder-fault
// ended more than recoveryTimeMS ago.
var errNotRecovered = errors.New("day: request rejected although the folder-fault has ended")

// folderFaultEnd returns the end of the latest folder-fault of a machine. It reports false if
// there was none.
func (f *activeFaults) folderFaultEnd(machine string) (at float64, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.byMachine[machine] {
		if fault.Kind == FolderFault {
			at, failed = max(at, fault.Until), true
		}
	}
	return at, failed
}

// retryDuringFolderFault calls do, a request to a machine, and retries it while it gets a 5xx
// response during a folder-fault of the machine and for recoveryTimeMS after it.
func (d *Day) retryDuringFolderFault(ctx context.Context, machine string, do func() error) error {
	for {
		err := do()
		var rejected *statusError
		if err == nil || !errors.As(err, &rejected) || rejected.status < http.StatusInternalServerError {
			return err
		}
		end, failed := d.processFaults.folderFaultEnd(machine)
		if !failed {
			return err
		}
		if trafficlog.Now() > end+recoveryTimeMS {
			return fmt.Errorf("%w, %.0f ms ago: %w", errNotRecovered, trafficlog.Now()-end, err)
		}
		if !sleep(ctx, retryIntervalMS) {
			return err
		}
	}
}

// processStart is the message that a process reads after its settings.
type processStart struct {
	Intercept bool           `json:"intercept"` // intercept system calls on sockets: the script has syscalls faults
	Faults    []processFault `json:"faults"`    // faults that are active at the start
}

// appendStartupFaults returns the input of a starting process: its settings, and on a second
// line the faults that are active at its start.
func (d *Day) appendStartupFaults(machine string, settings []byte) ([]byte, error) {
	begin := processStart{Faults: d.processFaults.activeAt(machine)}
	for _, t := range d.script.Faults {
		begin.Intercept = begin.Intercept || t.Kind == SyscallFaults
	}
	faults, err := json.Marshal(begin)
	if err != nil {
		return nil, err
	}
	return append(append(settings, '\n'), faults...), nil
}

// injectProcessFault applies a fault to the processes of the target machines and returns at
// its end.
func (d *Day) injectProcessFault(ctx context.Context, spec FaultSpec, targets []string) error {
	fault := processFault{Name: spec.name(), Kind: spec.Kind, Plan: spec.Plan, Peer: spec.Peer, Step: spec.Step, Errno: spec.Errno, Until: trafficlog.Now() + spec.Duration}
	line, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	if spec.Kind != ClockStep { // a clock step makes no call fail, so it is not counted
		d.processFaults.addInjected(fault.Name)
	}
	for _, machine := range targets {
		d.processFaults.add(machine, fault)
		if p := d.processOf(machine); p != nil {
			p.writeLine(line)
		}
	}
	sleep(ctx, spec.Duration)
	return nil
}

// chooseProcesses chooses the machines whose processes a fault affects. d.mu must be held.
func (d *Day) chooseProcesses(spec FaultSpec, rng *rand.Rand) (targets []string) {
	for _, i := range rng.Perm(len(d.routers))[:spec.Routers] {
		targets = append(targets, d.routers[i].endpoint.name)
	}
	var boxes []string
	for _, id := range d.order {
		if m := d.machines[id]; m.config.Role == "box" && (spec.Zone == "" || m.config.Zone == spec.Zone) {
			boxes = append(boxes, id)
		}
	}
	rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	targets = append(targets, boxes[:min(spec.Boxes, len(boxes))]...)
	if spec.Control {
		targets = append(targets, controlMachine)
	}
	return targets
}

// processOf returns the present process of a machine, or nil.
func (d *Day) processOf(machine string) *process {
	if machine == controlMachine {
		return d.controlService.process
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.machines[machine]; m != nil {
		return m.process
	}
	for _, r := range d.routers {
		if r.endpoint.name == machine {
			return r.process
		}
	}
	return nil
}

// writeLine writes a line to the process's standard input. It ignores errors, as the process
// may have ended.
func (p *process) writeLine(line []byte) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.in.Write(append(line, '\n'))
}

// controlMachine is the name of the control service among the targets of a fault.
const controlMachine = "control"

// checkProcessFault returns what is wrong with a process fault and how to fix it; empty if
// nothing is.
func (s *Script) checkProcessFault(spec *FaultSpec) (what, remedy string) {
	cacheNodes := s.Stand.Boxes != "" && s.Stand.Boxes != "stand-in"
	switch {
	case spec.Routers+spec.Boxes == 0 && !spec.Control:
		return spec.Kind + " affects no machine", "add (routers n), (boxes n) or (control)"
	case spec.Boxes > 0 && !cacheNodes:
		return spec.Kind + " at boxes that are test servers", "add (boxes warm) to (stand ...)"
	case spec.Control && !s.Control.On:
		return spec.Kind + " without a control service", "add (control (on))"
	case spec.Kind == SyscallFaults && spec.Control:
		return "syscalls at the control service, which has no event loop", "leave out (control)"
	case !contains([]string{peerAll, peerMembers, peerClients}, spec.Peer):
		return fmt.Sprintf("unknown peer %q", spec.Peer), "write members or clients, or leave it out for both"
	case spec.Kind == SyscallFaults:
		plan, err := faultinject.Parse(spec.Plan)
		if err != nil {
			return err.Error(), "write call:error[:how often][:from-until], as read:EINTR:0.02"
		}
		if len(plan) == 0 {
			return "syscalls without a plan", `add (plan "accept:ENFILE:0.5")`
		}
	case spec.Kind == ClockStep && spec.Step == 0:
		return "clock-step without a step", "add (step 3000), or another number of ms"
	case spec.Kind == FolderFault && spec.Routers > 0 && !s.Control.On:
		return "folder-fault at routers that store no versions", "add (control (on))"
	case spec.Kind == FolderFault && folderErrnos[spec.Errno] == 0:
		return fmt.Sprintf("unknown errno %q", spec.Errno), "known are ENOSPC, EIO, EDQUOT and EROFS"
	}
	return "", ""
}
