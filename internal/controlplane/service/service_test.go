package service

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
)

// childEnv is the environment variable that makes the test program run childService. It holds
// the folder of the service.
const childEnv = "CONTROL_TEST_CHILD"

func TestMain(m *testing.M) {
	if dir := os.Getenv(childEnv); dir != "" {
		if err := childService(dir); err != nil {
			fmt.Println("error", err)
		}
		return
	}
	os.Exit(m.Run())
}

// childService pushes versions continuously and prints each one.
func childService(dir string) error {
	service, err := startService(dir, "", zap.NewNop())
	if err != nil {
		return err
	}
	for n := 0; ; n++ {
		number, _, err := service.PushSources([]config.Source{{File: "x", Text: string(settingsText(1, fmt.Sprintf("(limits (held %d))", 1+rand.IntN(1e6))))}}, n%3 == 0)
		if err != nil {
			return err
		}
		v, _, err := service.store.Version(number)
		if err != nil {
			return err
		}
		fmt.Println(number, v.Sum)
	}
}

// startChild starts childService in a child process, and returns its output.
func startChild(t *testing.T, dir string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+dir)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, bufio.NewScanner(stdout)
}

// A service killed at any moment continues from its persisted state: each new version gets
// a number above all earlier ones, no number is assigned to two contents, and the service
// keeps its name.
func TestServiceKilled(t *testing.T) {
	dir := t.TempDir()
	random := rand.New(rand.NewPCG(1, 2))
	sums := map[int64]string{}
	var last int64
	name := ""
	for range 12 {
		cmd, scanner := startChild(t, dir)
		readVersion := func() bool {
			if !scanner.Scan() {
				return false
			}
			var number int64
			var sum string
			if _, err := fmt.Sscan(scanner.Text(), &number, &sum); err != nil || len(sum) != 64 {
				if !strings.HasPrefix(scanner.Text(), "error") {
					return false // truncated by the kill
				}
				t.Fatal(scanner.Text())
			}
			if before, ok := sums[number]; ok && before != sum {
				t.Fatalf("number %d was assigned to two contents", number)
			}
			if number <= last {
				t.Fatalf("number %d was assigned after %d, want a higher one", number, last)
			}
			sums[number], last = sum, number
			return true
		}
		for range 1 + random.IntN(15) {
			readVersion()
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
		cmd.Process.Kill()
		for readVersion() {
		}
		cmd.Wait()
		service, err := startService(dir, "", zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		view := service.View()
		service.Close()
		if view.Last < last || name != "" && view.Service != name {
			t.Fatalf("after a kill: last number %d, but %d was reported; service %s, but %s before", view.Last, last, view.Service, name)
		}
		last, name = view.Last, view.Service
	}
	if len(sums) < 30 {
		t.Errorf("only %d versions were pushed, want at least 30", len(sums))
	}
}

// A damaged store is quarantined and logged, and numbering continues above what routers
// have accepted.
func TestDamagedServiceStore(t *testing.T) {
	dir := t.TempDir()
	service, err := startService(dir, "", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	var last int64
	for i := range 6 {
		last, _ = service.PushUnchecked(settingsText(3, fmt.Sprintf("(limits (held %d))", 10+i)), true)
	}
	store, err := configstore.Open(filepath.Join(dir, "router.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	router := startRouter(t, false, "r", 1, store, service.Addr())
	waitFor(t, "the last version", allRunning([]*testRouter{router}, last))
	router.Close()
	service.Close()
	path := filepath.Join(dir, "svc.db")
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range content {
		if i > 100 {
			content[i] ^= 0x55
		}
	}
	os.WriteFile(path, content, 0o600)
	core, logs := observer.New(zapcore.ErrorLevel)
	if service, err = startService(dir, "", zap.New(core)); err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	if logs.FilterMessageSnippet("was damaged").Len() != 1 {
		t.Errorf("logged: %+v, want one message with \"was damaged\"", logs.All())
	}
	router = startRouter(t, false, "r", 2, store, service.Addr())
	waitFor(t, "the number that the router has accepted", func() bool { return service.View().Last == last })
	n, err := service.PushUnchecked(settingsText(4, ""), true)
	if err != nil || n != last+1 {
		t.Fatalf("pushed version %d, %v, want %d", n, err, last+1)
	}
	waitFor(t, "the next number", allRunning([]*testRouter{router}, last+1))
}

// A service requires certificates from its routers, and does not start without its own
// files.
func TestServiceWithCertificates(t *testing.T) {
	dir := t.TempDir()
	authority := newAuthority(t, "good")
	certificates := authority.certificateFiles(dir, "svc", "control", time.Hour)
	service, err := startService(dir, fmt.Sprintf("(cert %q) (key %q) (authorities %q)", certificates.Cert, certificates.Key, certificates.Authorities), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	if _, _, err := service.PushSources([]config.Source{{File: "x", Text: string(settingsText(3, ""))}}, true); err != nil {
		t.Fatal(err)
	}
	withoutCertificate := startRouter(t, false, "plain", 1, nil, service.Addr())
	router := startRouterWith(t, AgentConfig{Router: "r", Services: []string{service.Addr()},
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(authority.certificateFiles(dir, "r", "r", time.Hour).ClientCredentials("control"))}})
	waitFor(t, "the version over TLS", allRunning([]*testRouter{router}, 1))
	if n, _ := withoutCertificate.Running(); n != 0 {
		t.Errorf("a router without a certificate runs version %d, want none", n)
	}
	if _, err := startService(t.TempDir(), `(cert "none.pem") (key "none.key") (authorities "none.ca")`, zap.NewNop()); err == nil ||
		!strings.Contains(err.Error(), "none.pem") {
		t.Errorf("started without certificate files: %v, want an error that names none.pem", err)
	}
}
