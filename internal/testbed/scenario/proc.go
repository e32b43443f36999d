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

// A day's machines are processes: the program itself, called again with one of
// these words and what the machine is on standard input. So a killed machine is
// killed, and routers share nothing.
const (
	ChildTestServer = "machine-stand"
	ChildRouter     = "machine-router"

	ChildControl = "machine-control"
	ChildBox     = "machine-box"
)

// Child runs a machine of a day if the arguments say so. It is called first by
// each program that plays days, and returns false where it is not meant.
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

// waitForParentExit returns when the day's end of the pipe is closed: a machine
// does not outlive its day.
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

// readSettings reads the settings on a machine's standard input, and the faults that it
// begins with; the rest of it tells of more, and ends with the day.
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

// process is one machine.
type process struct {
	cmd       *exec.Cmd
	in        io.WriteCloser
	done      chan struct{}
	firstLine chan string // its first line of output
	killOnce  sync.Once

	writeMu sync.Mutex // one line at a time
}

// startProcess runs a machine; each line that it prints after the first goes to each.
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

// awaitFirstLine is the first line that the machine prints.
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
		return "", errors.New("day: a machine ended before it was up; its errors are above")
	case <-time.After(20 * time.Second):
		p.kill()
		return "", errors.New("day: a machine was not up after 20 s")
	case <-ctx.Done():
		p.kill()
		return "", ctx.Err()
	}
}

// kill ends the machine by SIGKILL and waits for what it had written.
func (p *process) kill() {
	p.killOnce.Do(func() {
		p.cmd.Process.Kill()
		p.in.Close()
	})
	<-p.done
}
