// Package routerprocess runs spool-router as a process of its own, for tests of what only a process
// has, such as its resident memory.
package routerprocess

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// Build builds spool-router into a folder and returns the program's file name. It must be called in
// a folder of this module.
func Build(folder string) (program string, err error) {
	program = filepath.Join(folder, "spool-router")
	out, err := exec.Command("go", "build", "-o", program, "indigospool/cmd/spool-router").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("routerprocess: go build: %w: %s", err, out)
	}
	return program, nil
}

// FreeAddress returns an address at which nothing listened a moment ago.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("routerprocess: find a free address: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Process is a running router.
type Process struct {
	cmd *exec.Cmd
	log bytes.Buffer
}

// Start starts a program with arguments and additional variables of the environment.
func Start(program string, environment []string, arguments ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(program, arguments...)}
	p.cmd.Stderr = &p.log
	p.cmd.Env = append(os.Environ(), environment...)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("routerprocess: start %s: %w", program, err)
	}
	return p, nil
}

// Kill ends the process by SIGKILL, and returns what it has written on standard error.
func (p *Process) Kill() (log string) {
	p.cmd.Process.Kill()
	p.cmd.Wait()
	return p.log.String()
}

// PeakMemory returns the peak of the process's resident memory in KiB.
func (p *Process) PeakMemory() (kib int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("routerprocess: read the peak memory: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return 0, fmt.Errorf("routerprocess: process %d has no peak memory", p.cmd.Process.Pid)
}
