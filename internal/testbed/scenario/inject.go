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

// Troubles inside the processes of routers, of boxes that are spool-cache and of the control
// service: what the kernel or the disk gives them, and not what their peers do.
const (
	SyscallFaults = "syscalls"     // system calls on sockets fail by (plan "..."), see faultinject.Parse
	ClockStep     = "clock-step"   // the process's wall clock is set by (step ms), and back at the end
	FolderFault   = "folder-fault" // writes to the process's folder, and syncs of it, fail with (errno ENOSPC)
)

var processKinds = []string{SyscallFaults, ClockStep, FolderFault}

// processFault is a trouble inside one process.
type processFault struct {
	Name  string  `json:"name"` // of the trouble
	Kind  string  `json:"kind"`
	Plan  string  `json:"plan,omitempty"`  // of syscalls
	Peer  string  `json:"peer,omitempty"`  // of syscalls: whose connections it meets
	Step  float64 `json:"step,omitempty"`  // of clock-step, ms
	Errno string  `json:"errno,omitempty"` // of folder-fault
	Until float64 `json:"until"`           // on the tap's clock
}

// Injected is what a trouble inside processes did to them, those apart that were killed
// before its end.
type Injected struct {
	Fault  string `json:"trouble"`
	Calls  int    `json:"calls"`  // of the kinds that it has fail
	Failed int    `json:"failed"` // none: it has proven nothing
}

// injectedLine is how a process tells the day of it.
type injectedLine struct {
	Injected Injected `json:"injected"`
}

const injectedPrefix = `{"injected"`

// handleOutput takes a line that a process has printed: a record for the tap, or what a trouble
// did to it.
func (d *Day) handleOutput(line []byte) {
	if !bytes.HasPrefix(line, []byte(injectedPrefix)) {
		d.trafficLog.AddLine(line)
		return
	}
	var told injectedLine
	if json.Unmarshal(line, &told) == nil {
		d.processFaults.addCounts(told.Injected)
	}
}

// folderErrnos are what a disk that is full or broken gives.
var folderErrnos = map[string]unix.Errno{"ENOSPC": unix.ENOSPC, "EIO": unix.EIO, "EDQUOT": unix.EDQUOT, "EROFS": unix.EROFS}

// activeFaults are the process faults of a day, by machine: a process that starts while
// one lasts begins with it.
type activeFaults struct {
	mu        sync.Mutex
	byMachine map[string][]processFault
	injected  []Injected // by trouble
}

// addInjected notes that a trouble begins.
func (f *activeFaults) addInjected(trouble string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, Injected{Fault: trouble})
}

// addCounts adds what a trouble did to one process.
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

// of are the faults of a machine that have not ended.
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

// recoveryTimeMS is how long, in ms, after a folder works again a machine may take to use it:
// the longest backoff, and a turn more.
const recoveryTimeMS = 4000

// retryIntervalMS is how long, in ms, who is refused for a folder's fault waits.
const retryIntervalMS = 100

// errNotRecovered says that a machine goes on refusing after its folder works again.
var errNotRecovered = errors.New("day: refused though the folder works again")

// folderFaultEnd is when a machine's folder works again, or did; false: it never failed.
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

// retryDuringFolderFault does something at a machine, and again as long as that is refused while the
// machine's folder fails, and until it should have recovered.
func (d *Day) retryDuringFolderFault(ctx context.Context, machine string, do func() error) error {
	for {
		err := do()
		var refused *statusError
		if err == nil || !errors.As(err, &refused) || refused.status < http.StatusInternalServerError {
			return err
		}
		works, failed := d.processFaults.folderFaultEnd(machine)
		if !failed {
			return err
		}
		if trafficlog.Now() > works+recoveryTimeMS {
			return fmt.Errorf("%w, for %.0f ms: %w", errNotRecovered, trafficlog.Now()-works, err)
		}
		if !sleep(ctx, retryIntervalMS) {
			return err
		}
	}
}

// processStart is what a process reads after its settings.
type processStart struct {
	Intercept bool           `json:"intercept"` // its system calls on sockets, since the day has troubles of them
	Faults    []processFault `json:"faults"`    // that it begins with
}

// appendStartupFaults is what a process reads first: its settings, and in a second line the faults
// that it begins with.
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

// injectProcessFault has the processes of a trouble suffer it for its time.
func (d *Day) injectProcessFault(ctx context.Context, t FaultSpec, targets []string) error {
	fault := processFault{Name: t.name(), Kind: t.Kind, Plan: t.Plan, Peer: t.Peer, Step: t.Step, Errno: t.Errno, Until: trafficlog.Now() + t.Duration}
	line, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	if t.Kind != ClockStep { // whose effect is not counted in calls
		d.processFaults.addInjected(fault.Name)
	}
	for _, machine := range targets {
		d.processFaults.add(machine, fault)
		if p := d.processOf(machine); p != nil {
			p.writeLine(line)
		}
	}
	sleep(ctx, t.Duration)
	return nil
}

// chooseProcesses says which processes a trouble inside them meets. The lock is held.
func (d *Day) chooseProcesses(t FaultSpec, rng *rand.Rand) (targets []string) {
	for _, i := range rng.Perm(len(d.routers))[:t.Routers] {
		targets = append(targets, d.routers[i].endpoint.name)
	}
	var boxes []string
	for _, id := range d.order {
		if m := d.machines[id]; m.config.Role == "box" && (t.Zone == "" || m.config.Zone == t.Zone) {
			boxes = append(boxes, id)
		}
	}
	rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	targets = append(targets, boxes[:min(t.Boxes, len(boxes))]...)
	if t.Control {
		targets = append(targets, controlMachine)
	}
	return targets
}

// processOf is the process that a machine has at present; nil: none.
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

// writeLine gives a process a line; one that has ended needs none.
func (p *process) writeLine(line []byte) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.in.Write(append(line, '\n'))
}

// controlMachine is the control service among the machines that a trouble meets.
const controlMachine = "control"

// checkProcessFault tells what is wrong with a trouble inside processes.
func (s *Script) checkProcessFault(t *FaultSpec) (what, remedy string) {
	realBoxes := s.Stand.Boxes != "" && s.Stand.Boxes != "stand-in"
	switch {
	case t.Routers+t.Boxes == 0 && !t.Control:
		return t.Kind + " meets nobody", "add (routers n), (boxes n) or (control)"
	case t.Boxes > 0 && !realBoxes:
		return t.Kind + " at boxes that are stand-ins", "add (boxes warm) to (stand ...)"
	case t.Control && !s.Control.On:
		return t.Kind + " at a control service that the day lacks", "add (control (on))"
	case t.Kind == SyscallFaults && t.Control:
		return "syscalls at the control service, which has no event loop", "leave out (control)"
	case !contains([]string{peerAll, peerMembers, peerClients}, t.Peer):
		return fmt.Sprintf("unknown peer %q", t.Peer), "write members or clients, or leave it out for both"
	case t.Kind == SyscallFaults:
		plan, err := faultinject.Parse(t.Plan)
		if err != nil {
			return err.Error(), "write call:error[:how often][:from-until], as read:EINTR:0.02"
		}
		if len(plan) == 0 {
			return "syscalls without a plan", `add (plan "accept:ENFILE:0.5")`
		}
	case t.Kind == ClockStep && t.Step == 0:
		return "clock-step without a step", "add (step 3000), or another number of ms"
	case t.Kind == FolderFault && t.Routers > 0 && !s.Control.On:
		return "folder-fault at routers that keep nothing", "add (control (on))"
	case t.Kind == FolderFault && folderErrnos[t.Errno] == 0:
		return fmt.Sprintf("unknown errno %q", t.Errno), "known are ENOSPC, EIO, EDQUOT and EROFS"
	}
	return "", ""
}
