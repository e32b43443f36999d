package day

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"

	"indigospool/internal/tap"
)

// injector has the process that it is in suffer its faults, each until its end. Its
// methods are safe for concurrent use.
type injector struct {
	folder atomic.Pointer[processFault]
}

// newInjector reads the line of the faults that a process begins with.
func newInjector(in *bufio.Reader) (*injector, error) {
	i := &injector{}
	var faults []processFault
	line, err := in.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &faults)
	}
	if err != nil {
		return nil, fmt.Errorf("day: read the faults to begin with: %w", err)
	}
	for _, fault := range faults {
		if err := i.begin(fault); err != nil {
			return nil, err
		}
	}
	return i, nil
}

// untilOrphaned returns when the day's end of the pipe is closed: a machine does not
// outlive its day. Until then it begins each fault that it is told of.
func (i *injector) untilOrphaned(in *bufio.Reader) {
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var fault processFault
		if err = json.Unmarshal(line, &fault); err == nil {
			err = i.begin(fault)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "day: a fault was not begun:", err)
		}
	}
}

// begin begins a fault, instead of the last one of its kind.
func (i *injector) begin(fault processFault) error {
	switch fault.Kind {
	case FolderFault:
		i.folder.Store(&fault)
	default:
		return fmt.Errorf("day: %q is no fault of a process", fault.Kind)
	}
	return nil
}

// folderErr is what a write to the process's folder, or a sync of it, gives for now.
func (i *injector) folderErr() error {
	fault := i.folder.Load()
	if fault == nil || tap.Now() >= fault.Until {
		return nil
	}
	return folderErrnos[fault.Errno]
}
