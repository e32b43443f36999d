package scenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"indigospool/internal/cachenode/store"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/eventloop"
	"indigospool/internal/testbed/faultinject"
	"indigospool/internal/testbed/trafficlog"
	"indigospool/internal/wallclock"
)

// faultInput returns the standard input of a process that gets the faults begin at its start
// and the faults more later.
func faultInput(t *testing.T, begin []processFault, more ...processFault) *bufio.Reader {
	t.Helper()
	line, err := json.Marshal(processStart{Faults: begin})
	if err != nil {
		t.Fatal(err)
	}
	text := string(line) + "\n"
	for _, fault := range more {
		if line, err = json.Marshal(fault); err != nil {
			t.Fatal(err)
		}
		text += string(line) + "\n"
	}
	return bufio.NewReader(strings.NewReader(text))
}

// A process applies its startup faults and those that it receives later, each until its Until
// time or until a later fault of its kind replaces it. An unknown fault is an error.
func TestProcessFaults(t *testing.T) {
	now := trafficlog.Now()
	full := processFault{Kind: FolderFault, Errno: "ENOSPC", Until: now + 60_000}
	broken := processFault{Kind: FolderFault, Errno: "EIO", Until: now + 60_000}
	over := processFault{Kind: FolderFault, Errno: "EIO", Until: now}
	for _, c := range []struct {
		name  string
		begin []processFault
		more  []processFault
		want  error
	}{
		{"none", nil, nil, nil},
		{"from the start", []processFault{full}, nil, unix.ENOSPC},
		{"later", nil, []processFault{broken}, unix.EIO},
		{"replaced by a later fault", []processFault{full}, []processFault{broken}, unix.EIO},
		{"already ended", []processFault{over}, nil, nil},
		{"replaced by a fault that has already ended", []processFault{full}, []processFault{over}, nil},
	} {
		in := faultInput(t, c.begin, c.more...)
		faults, err := newInjector(in, io.Discard)
		if err != nil {
			t.Fatal(c.name, err)
		}
		faults.readFaults(in)
		if err := faults.folderErr(); !errors.Is(err, c.want) {
			t.Errorf("%s: error of a write in the folder is %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := newInjector(faultInput(t, []processFault{{Kind: "earthquake"}}), io.Discard); err == nil {
		t.Error("a fault of the unknown kind \"earthquake\" was started, want an error")
	}
	if _, err := newInjector(bufio.NewReader(strings.NewReader("")), io.Discard); err == nil {
		t.Error("the injector started without the line of startup faults, want an error")
	}
}

// During a folder-fault, writing, creating, renaming and syncing fail, but existing files can
// be opened. After the fault, all calls succeed.
func TestFolderFault(t *testing.T) {
	faults := &injector{report: io.Discard}
	dir := t.TempDir()
	folder := faultyFolder{store.Dir(dir), faults}
	file, err := folder.Open("a", true)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	configFiles := faultyFiles{faults: faults}
	configFile, err := configFiles.OpenFile(filepath.Join(dir, "b"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer configFile.Close()
	db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var _ configstore.FileSystem = configFiles
	calls := map[string]func() error{
		"write":       func() error { _, err := file.WriteAt([]byte("0123456789"), 0); return err },
		"sync":        file.Sync,
		"truncate":    func() error { return file.Truncate(10) },
		"create":      func() error { return create(folder, "c") },
		"rename":      func() error { return errors.Join(folder.Rename("a", "d"), folder.Rename("d", "a")) },
		"sync folder": folder.SyncDir,
		"write a version": func() error {
			return configFiles.Write(configFile, []byte("0123456789"))
		},
		"sync a version":        func() error { return configFiles.Sync(configFile) },
		"rename versions":       func() error { return configFiles.Rename(configFile.Name(), configFile.Name()) },
		"sync versions' folder": func() error { return configFiles.SyncFolder(dir) },
		"commit a version":      func() error { tx, err := db.Begin(true); return errors.Join(err, configFiles.Commit(tx)) },
		"create a store's file": func() error { return createConfigFile(configFiles, filepath.Join(dir, "e")) },
	}
	for name, call := range calls {
		faults.folder.Store(&folderFault{processFault: processFault{Errno: "ENOSPC", Until: trafficlog.Now() + 60_000}})
		if err := call(); !errors.Is(err, unix.ENOSPC) {
			t.Errorf("%s in a full folder: %v, want ENOSPC", name, err)
		}
		if _, err := folder.Open("a", false); err != nil {
			t.Errorf("an existing file can't be opened in a full folder: %v", err)
		}
		faults.folder.Store(&folderFault{processFault: processFault{Errno: "ENOSPC", Until: trafficlog.Now()}})
		if err := call(); err != nil {
			t.Errorf("%s after the fault: %v, want no error", name, err)
		}
	}
}

func create(folder store.FS, name string) error {
	file, err := folder.Open(name, true)
	if err != nil {
		return err
	}
	return file.Close()
}

func createConfigFile(files configstore.FileSystem, path string) error {
	file, err := files.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	return file.Close()
}

// A request that is rejected during a folder-fault is retried until recoveryTimeMS after the
// fault, and no longer. Any other error is returned at once.
func TestRetryDuringFolderFault(t *testing.T) {
	rejected := &statusError{status: 503}
	down := errors.New("connection refused")
	for _, c := range []struct {
		name      string
		until     float64 // end of the folder-fault, ms from now; 0: no fault
		err       error
		failing   int // number of the first calls that fail; -1: all
		wantCalls int // expected number of calls
		want      error
	}{
		{"succeeds after three rejections", 60_000, rejected, 3, 4, nil},
		{"rejected without a folder-fault", 0, rejected, 3, 1, rejected},
		{"a machine that is down", 60_000, down, 3, 1, down},
		{"rejected long after the fault", -recoveryTimeMS - 1, rejected, -1, 1, errNotRecovered},
	} {
		day, called := &Day{}, 0
		if c.until != 0 {
			day.processFaults.add("m", processFault{Kind: FolderFault, Until: trafficlog.Now() + c.until})
		}
		err := day.retryDuringFolderFault(context.Background(), "m", func() error {
			if called++; c.failing < 0 || called <= c.failing {
				return c.err
			}
			return nil
		})
		if called != c.wantCalls || !errors.Is(err, c.want) {
			t.Errorf("%s: called %d times, %v; want %d, %v", c.name, called, err, c.wantCalls, c.want)
		}
	}
}

// Scripts with an invalid process fault are rejected with the reason.
func TestProcessFaultScripts(t *testing.T) {
	// by lines that are added to the script short: a part of the error
	for line, want := range map[string]string{
		"(trouble syscalls (at 1) (routers 1))":                                  "syscalls without a plan",
		`(trouble syscalls (at 1) (routers 1) (plan "read:EFOO"))`:               `unknown error "EFOO"`,
		`(trouble syscalls (at 1) (routers 1) (peer moon) (plan "read:EINTR"))`:  `unknown peer "moon"`,
		`(trouble syscalls (at 1) (boxes 1) (plan "read:EINTR"))`:                "at boxes that are test servers",
		`(control (on)) (trouble syscalls (at 1) (control) (plan "read:EINTR"))`: "has no event loop",
		"(trouble clock-step (at 1) (routers 1))":                                "clock-step without a step",
		"(trouble folder-fault (at 1))":                                          "folder-fault affects no machine",
		"(trouble folder-fault (at 1) (boxes 1))":                                "at boxes that are test servers",
		"(trouble folder-fault (at 1) (control))":                                "folder-fault without a control service",
		"(trouble folder-fault (at 1) (routers 1))":                              "routers that store no versions",
		"(control (on)) (trouble folder-fault (at 1) (routers 1) (errno EPERM))": `unknown errno "EPERM"`,
		"(control (on)) (trouble folder-fault (at 1) (routers 3))":               "more machines than there are",
	} {
		err := config.Read("short.edn", strings.ReplaceAll(short, "%s", line), &Script{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q in it", line, err, want)
		}
	}
}

// During a syscalls fault, reads fail as planned on the connections of the fault's peer and on
// no others. A process of a day without such faults makes the kernel's system calls.
func TestSyscallFaults(t *testing.T) {
	faults, err := newInjector(faultInput(t, nil), io.Discard)
	if err != nil || faults.syscalls() != nil {
		t.Fatalf("newInjector in a day without syscalls faults: error %v, or system calls are intercepted; want neither", err)
	}
	listener, address, err := eventloop.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(listener)
	for _, c := range []struct {
		peer           string
		span           float64 // ms from the start to the end of the fault; 0: it has ended already
		member, client error   // of a read on a connection to a member or from a client; EAGAIN, since no data has arrived, if the fault does not affect it
	}{
		{peerAll, 60_000, unix.ETIMEDOUT, unix.ETIMEDOUT},
		{peerMembers, 60_000, unix.ETIMEDOUT, unix.EAGAIN},
		{peerClients, 60_000, unix.EAGAIN, unix.ETIMEDOUT},
		{peerAll, 0, unix.EAGAIN, unix.EAGAIN},
	} {
		calls := newFaultyCalls(faults)
		member, client := connected(t, calls, listener, address)
		fault := processFault{Kind: SyscallFaults, Plan: "read:ETIMEDOUT", Peer: c.peer, Until: trafficlog.Now() + c.span}
		if err := faults.startFault(fault); err != nil {
			t.Fatal(err)
		}
		for who, one := range map[string]struct {
			fd   int
			want error
		}{"member": {member, c.member}, "client": {client, c.client}} {
			if _, err := calls.Read(one.fd, make([]byte, 1)); err != one.want {
				t.Errorf("fault with peer %q for %.0f ms: error of a read from a %s is %v, want %v", c.peer, c.span, who, err, one.want)
			}
		}
		unix.Close(member)
		unix.Close(client)
	}
	if err := faults.startFault(processFault{Kind: SyscallFaults, Plan: "read"}); !errors.Is(err, faultinject.ErrPlan) {
		t.Errorf("start of a fault with an invalid plan: %v, want ErrPlan", err)
	}
}

// connected returns the two ends of a connection: the end that was opened, like a router's
// connection to a member, and the end that was accepted, like a connection from a client.
func connected(t *testing.T, calls eventloop.Syscalls, listener int, address string) (made, accepted int) {
	t.Helper()
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	if made, err = calls.Socket(unix.AF_INET); err != nil {
		t.Fatal(err)
	}
	if err := calls.Connect(made, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}); err != nil && err != unix.EINPROGRESS {
		t.Fatal(err)
	}
	for range 1000 {
		if accepted, err = calls.Accept(listener); err != unix.EAGAIN {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	return made, accepted
}

// A step of a process's wall clock lasts until the fault's end. Simultaneous steps add up.
func TestClockStep(t *testing.T) {
	faults := &injector{report: io.Discard}
	off := func() time.Duration { return wallclock.Now().Sub(time.Now().Round(0)).Round(time.Second) }
	now := trafficlog.Now()
	for _, fault := range []processFault{{Step: 3.6e6, Until: now + 300}, {Step: -3000, Until: now + 900}} {
		fault.Kind = ClockStep
		if err := faults.startFault(fault); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []time.Duration{time.Hour - 3*time.Second, -3 * time.Second, 0} {
		for trafficlog.Now() < now+10_000 && off() != want {
			time.Sleep(time.Millisecond)
		}
		if off() != want {
			t.Fatalf("the wall clock is ahead by %v, want %v", off(), want)
		}
	}
	if took := trafficlog.Now() - now; took < 900 {
		t.Errorf("the last step was undone after %.0f ms, want at least 900", took)
	}
}
