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
	Trouble string `json:"trouble"`
	Calls   int    `json:"calls"`  // of the kinds that it has fail
	Failed  int    `json:"failed"` // none: it has proven nothing
}

// injectedLine is how a process tells the day of it.
type injectedLine struct {
	Injected Injected `json:"injected"`
}

const injectedPrefix = `{"injected"`

// heard takes a line that a process has printed: a record for the tap, or what a trouble
// did to it.
func (d *Day) heard(line []byte) {
	if !bytes.HasPrefix(line, []byte(injectedPrefix)) {
		d.tap.AddLine(line)
		return
	}
	var told injectedLine
	if json.Unmarshal(line, &told) == nil {
		d.faults.count(told.Injected)
	}
}

// folderErrnos are what a disk that is full or broken gives.
var folderErrnos = map[string]unix.Errno{"ENOSPC": unix.ENOSPC, "EIO": unix.EIO, "EDQUOT": unix.EDQUOT, "EROFS": unix.EROFS}

// faultsInForce are the process faults of a day, by machine: a process that starts while
// one lasts begins with it.
type faultsInForce struct {
	mu       sync.Mutex
	byName   map[string][]processFault
	injected []Injected // by trouble
}

// begun notes that a trouble begins.
func (f *faultsInForce) begun(trouble string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, Injected{Trouble: trouble})
}

// count adds what a trouble did to one process.
func (f *faultsInForce) count(one Injected) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.injected {
		if sum := &f.injected[i]; sum.Trouble == one.Trouble {
			sum.Calls += one.Calls
			sum.Failed += one.Failed
		}
	}
}

func (f *faultsInForce) add(machine string, fault processFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byName == nil {
		f.byName = map[string][]processFault{}
	}
	f.byName[machine] = append(f.byName[machine], fault)
}

// of are the faults of a machine that have not ended.
func (f *faultsInForce) of(machine string) []processFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := trafficlog.Now()
	lasting := []processFault{}
	for _, fault := range f.byName[machine] {
		if fault.Until > now {
			lasting = append(lasting, fault)
		}
	}
	return lasting
}

// recovery is how long, in ms, after a folder works again a machine may take to use it:
// the longest backoff, and a turn more.
const recovery = 4000

// refusalGap is how long, in ms, who is refused for a folder's fault waits.
const refusalGap = 100

// errNotRecovered says that a machine goes on refusing after its folder works again.
var errNotRecovered = errors.New("day: refused though the folder works again")

// folderWorks is when a machine's folder works again, or did; false: it never failed.
func (f *faultsInForce) folderWorks(machine string) (at float64, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.byName[machine] {
		if fault.Kind == FolderFault {
			at, failed = max(at, fault.Until), true
		}
	}
	return at, failed
}

// untilKept does something at a machine, and again as long as that is refused while the
// machine's folder fails, and until it should have recovered.
func (d *Day) untilKept(ctx context.Context, machine string, do func() error) error {
	for {
		err := do()
		var refused *statusError
		if err == nil || !errors.As(err, &refused) || refused.status < http.StatusInternalServerError {
			return err
		}
		works, failed := d.faults.folderWorks(machine)
		if !failed {
			return err
		}
		if trafficlog.Now() > works+recovery {
			return fmt.Errorf("%w, for %.0f ms: %w", errNotRecovered, trafficlog.Now()-works, err)
		}
		if !sleep(ctx, refusalGap) {
			return err
		}
	}
}

// processStart is what a process reads after its settings.
type processStart struct {
	Intercept bool           `json:"intercept"` // its system calls on sockets, since the day has troubles of them
	Faults    []processFault `json:"faults"`    // that it begins with
}

// withFaults is what a process reads first: its settings, and in a second line the faults
// that it begins with.
func (d *Day) withFaults(machine string, settings []byte) ([]byte, error) {
	begin := processStart{Faults: d.faults.of(machine)}
	for _, t := range d.s.Troubles {
		begin.Intercept = begin.Intercept || t.Kind == SyscallFaults
	}
	faults, err := json.Marshal(begin)
	if err != nil {
		return nil, err
	}
	return append(append(settings, '\n'), faults...), nil
}

// inject has the processes of a trouble suffer it for its time.
func (d *Day) inject(ctx context.Context, t Trouble, met []string) error {
	fault := processFault{Name: t.name(), Kind: t.Kind, Plan: t.Plan, Peer: t.Peer, Step: t.Step, Errno: t.Errno, Until: trafficlog.Now() + t.For}
	line, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	if t.Kind != ClockStep { // whose effect is not counted in calls
		d.faults.begun(fault.Name)
	}
	for _, machine := range met {
		d.faults.add(machine, fault)
		if p := d.processOf(machine); p != nil {
			p.tell(line)
		}
	}
	sleep(ctx, t.For)
	return nil
}

// pickProcesses says which processes a trouble inside them meets. The lock is held.
func (d *Day) pickProcesses(t Trouble, rng *rand.Rand) (met []string) {
	for _, i := range rng.Perm(len(d.routers))[:t.Routers] {
		met = append(met, d.routers[i].at.name)
	}
	var boxes []string
	for _, id := range d.order {
		if m := d.machines[id]; m.cfg.Role == "box" && (t.Zone == "" || m.cfg.Zone == t.Zone) {
			boxes = append(boxes, id)
		}
	}
	rng.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	met = append(met, boxes[:min(t.Boxes, len(boxes))]...)
	if t.Control {
		met = append(met, controlMachine)
	}
	return met
}

// processOf is the process that a machine has at present; nil: none.
func (d *Day) processOf(machine string) *process {
	if machine == controlMachine {
		return d.control.proc
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.machines[machine]; m != nil {
		return m.proc
	}
	for _, r := range d.routers {
		if r.at.name == machine {
			return r.proc
		}
	}
	return nil
}

// tell gives a process a line; one that has ended needs none.
func (p *process) tell(line []byte) {
	p.telling.Lock()
	defer p.telling.Unlock()
	p.in.Write(append(line, '\n'))
}

// controlMachine is the control service among the machines that a trouble meets.
const controlMachine = "control"

// checkProcessFault tells what is wrong with a trouble inside processes.
func (s *Script) checkProcessFault(t *Trouble) (what, remedy string) {
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
