package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// feed is the control feed: it tells a list of numbered events, and an empty frame each second.
type feed struct {
	listener net.Listener
	rec      *record
	mu       sync.Mutex
	events   [][]byte // frames; the number of the first is first
	first    uint64
	changed  chan struct{}
	conns    map[net.Conn]bool
}

func newFeed(rec *record, first uint64) (*feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &feed{listener: listener, rec: rec, first: first, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f, nil
}

func feedFrame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// tell adds an event and returns its number.
func (f *feed) tell(kind byte, payload []byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := f.first + uint64(len(f.events))
	f.events = append(f.events, feedFrame(number, kind, payload))
	close(f.changed)
	f.changed = make(chan struct{})
	return number
}

func (f *feed) serve(conn net.Conn) {
	defer conn.Close()
	var b [8]byte
	if _, err := io.ReadFull(conn, b[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(b[:])
	f.rec.logf("feed asked from %d", last)
	next := time.Now()
	for {
		f.mu.Lock()
		var out []byte
		for last+1 < f.first+uint64(len(f.events)) {
			last++
			out = append(out, f.events[last-f.first]...)
		}
		changed := f.changed
		f.mu.Unlock()
		if now := time.Now(); len(out) == 0 && !now.Before(next) {
			out = feedFrame(last, 0, nil)
			next = now.Add(time.Second)
		}
		if len(out) > 0 {
			if _, err := conn.Write(out); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Until(next)):
		}
	}
}

// router is a process of the program under review, started by the command of the deploy file.
type router struct {
	rec     *record
	cmd     *exec.Cmd
	address string
	config  string
	exited  chan struct{}
	exit    error
	log     *os.File
}

// runCommand returns a command of deploy/balancer.toml.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no line run")
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startRouter starts a router and waits until it is ready. started is called with it once its process
// runs.
func startRouter(rec *record, root, folder, name string, config map[string]any, started func(*router)) (*router, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	r := &router{rec: rec, config: filepath.Join(folder, name+".json"), exited: make(chan struct{})}
	if r.address, err = freeAddress(); err != nil {
		return nil, err
	}
	config["name"], config["listen"] = name, r.address
	if err := r.writeConfig(config); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	r.cmd = exec.Command("/bin/sh", "-c", command)
	r.cmd.Dir = root
	r.cmd.Env = append(os.Environ(), "NODE_NAME="+name, "NODE_LISTEN="+r.address, "NODE_CONFIG="+r.config)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		r.exit = r.cmd.Wait()
		close(r.exited)
	}()
	started(r)
	for range 200 {
		if r.well() {
			return r, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.kill()
	return nil, errors.New("the router did not become ready")
}

// writeConfig replaces the configuration file.
func (r *router) writeConfig(config map[string]any) error {
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(r.config+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(r.config+".new", r.config)
	}
	return err
}

// well reports whether the router answers isWell with good.
func (r *router) well() bool {
	conn, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(wellFrame(1))
	answer, err := readReply(newReader(conn))
	return err == nil && answer.good
}

func (r *router) signal(signal syscall.Signal) { r.cmd.Process.Signal(signal) }

func (r *router) running() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

func (r *router) kill() {
	if r.running() {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
	r.log.Close()
}

// memberRow is the entry of a cache in the configuration's known list.
func memberRow(c *cache, sinceMS int64) map[string]any {
	return map[string]any{"name": c.id, "address": c.address(), "zone": c.zone, "type": c.kind, "group": 0, "status": "ready",
		"weight": 4, "since_ms": sinceMS}
}

func known(rows ...map[string]any) map[string]any {
	return map[string]any{"n": 1, "events": []any{map[string]any{"n": 1,
		"members": map[string]any{"index": 1, "snapshot": true, "endpoints": rows}}}}
}
