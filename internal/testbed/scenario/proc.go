package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"indigospool/internal/config"
	"indigospool/internal/proxy/httpfront"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// The machines of a day are separate processes, so that they can be killed and routers share
// no state. Each is the program itself, started with one of these arguments and with its
// configuration on standard input.
const (
	ChildTestServer = "machine-stand"
	ChildRouter     = "machine-router"

	ChildControl = "machine-control" // the control service
	ChildBox     = "machine-box"     // a box that runs spool-cache
)

// Child runs a machine of a day if the program's arguments name one, and returns true and the
// machine's error; otherwise it returns false. Each program that runs scenarios calls Child
// first.
func Child(args []string) (is bool, err error) {
	if len(args) < 2 {
		return false, nil
	}
	switch args[1] {
	case ChildTestServer:
		return true, runTestServer()
	case ChildRouter:
		return true, runRouter()
	case ChildBox:
		return true, runCacheNode()
	case ChildControl:
		return true, runControlService()
	}
	return false, nil
}

// waitForParentExit returns when the parent process closes its end of the pipe or has ended:
// a machine must not outlive the scenario that started it.
func waitForParentExit(r io.Reader) { io.Copy(io.Discard, r) }

func runTestServer() error {
	in := bufio.NewReader(os.Stdin)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return err
	}
	var c testserver.Config
	if err := json.Unmarshal(line, &c); err != nil {
		return err
	}
	s, err := testserver.Start(c, trafficlog.NewWriter(os.Stdout))
	if err != nil {
		return err
	}
	defer s.Kill()
	waitForParentExit(in)
	return nil
}

// readSettings reads a machine's settings and startup faults from standard input. The rest of
// the input, for injector.readFaults, holds later faults and ends with the parent process.
func readSettings(into any) (rest *bufio.Reader, faults *injector, err error) {
	rest = bufio.NewReader(os.Stdin)
	line, err := rest.ReadBytes('\n')
	if err != nil {
		return nil, nil, err
	}
	var text string
	if err := json.Unmarshal(line, &text); err != nil {
		return nil, nil, err
	}
	if err := config.Read("day", text, into); err != nil {
		return nil, nil, err
	}
	faults, err = newInjector(rest, os.Stdout)
	return rest, faults, err
}

func runRouter() error {
	var s config.Settings
	in, faults, err := readSettings(&s)
	if err != nil {
		return err
	}
	log, err := httpfront.NewAccessLog(&s)
	if err != nil {
		return err
	}
	defer log.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	parentExited := make(chan struct{})
	go func() { faults.readFaults(in); cancel(); close(parentExited) }()
	e, end, err := httpfront.OpenWithSystem(ctx, &s, log, httpfront.System{Files: faultyFiles{faults: faults}, Syscalls: faults.syscalls()})
	if err != nil {
		return err
	}
	defer end()
	go func() { <-parentExited; e.Stop() }()
	go func() {
		if err := e.Ready(); err == nil {
			fmt.Printf("%s %s\n", e.Addr(), e.AdminAddr())
		}
	}()
	return e.Run()
}

// process is the running process of a machine.
type process struct {
	cmd       *exec.Cmd
	in        io.WriteCloser
	done      chan struct{}
	firstLine chan string // receives the first line of output
	killOnce  sync.Once

	writeMu sync.Mutex // serializes writes to in
}

// startProcess starts this program, by the command self, as the machine that the argument word
// names, and writes its first lines of input. It calls onLine, if not nil, with each line of
// output.
func startProcess(self []string, word string, stdin []byte, stderr io.Writer, onLine func(line []byte)) (*process, error) {
	cmd := exec.Command(self[0], append(append([]string{}, self[1:]...), word)...)
	cmd.Stderr = stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("day: start %s: %w", word, err)
	}
	p := &process{cmd: cmd, in: in, done: make(chan struct{}), firstLine: make(chan string, 1)}
	go func() {
		defer close(p.done)
		br := bufio.NewReaderSize(out, 1<<16)
		sentFirst := false
		for {
			line, err := br.ReadBytes('\n')
			if err == nil {
				if !sentFirst {
					sentFirst = true
					p.firstLine <- strings.TrimSpace(string(line))
				}
				if onLine != nil {
					onLine(line)
				}
				continue
			}
			cmd.Wait()
			return
		}
	}()
	if _, err := in.Write(append(stdin, '\n')); err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// awaitFirstLine returns the first line of output. It kills a process that prints none within
// 20 s.
func (p *process) awaitFirstLine(ctx context.Context) (string, error) {
	select {
	case line := <-p.firstLine:
		return line, nil
	case <-p.done:
		select {
		case line := <-p.firstLine:
			return line, nil
		default:
		}
		return "", errors.New("day: a process exited before it was ready; see its errors above")
	case <-time.After(20 * time.Second):
		p.kill()
		return "", errors.New("day: a process was not ready after 20 s")
	case <-ctx.Done():
		p.kill()
		return "", ctx.Err()
	}
}

// kill kills the process by SIGKILL and waits until its output has been read.
func (p *process) kill() {
	p.killOnce.Do(func() {
		p.cmd.Process.Kill()
		p.in.Close()
	})
	<-p.done
}
