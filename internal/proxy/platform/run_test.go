package platform

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"indigospool/internal/testbed/testserver"
)

// TestDeployedCommandLine runs the command line in the deploy file with fake members. It checks
// that the program serves requests, survives SIGHUP, and exits with status 0 after SIGTERM.
func TestDeployedCommandLine(t *testing.T) {
	deploy, err := os.ReadFile("../../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no run line")
	}
	root := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(root, "bin")+"/", "../../../cmd/spool-router").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	harness := prepareHarness(t, nil)
	// The platform passes the address in the environment; use one that was free a moment ago.
	free, err := testserver.NewPlatformCache("127.0.0.1:0", answerHit)
	if err != nil {
		t.Fatal(err)
	}
	harness.address = free.Addr
	free.Close()
	run := exec.Command("/bin/sh", "-c", string(line[1]))
	var log bytes.Buffer
	run.Dir, run.Stdout, run.Stderr = root, &log, &log
	run.Env = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+harness.address, "NODE_CONFIG="+harness.configFile, "TMPDIR="+t.TempDir())
	if err := run.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- run.Wait() }()
	defer run.Process.Kill()
	var client *testserver.PlatformClient
	harness.waitUntil("the program listens", func() bool { client, err = testserver.DialPlatform(harness.address); return err == nil })
	defer client.Close()
	if good, err := client.IsWell(); !good || err != nil {
		t.Fatalf("isWell: result %v, error %v; want true", good, err)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" || string(result.Body) != "bytes of "+key {
		t.Fatalf("answer %+v, want served with the object", result)
	}
	run.Process.Signal(syscall.SIGHUP)
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Fatalf("after SIGHUP: answer %+v, want served", result)
	}
	run.Process.Signal(syscall.SIGTERM)
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Fatalf("after SIGTERM: answer %+v, want served", result)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with error %v, want none; its log: %s", err, log.Bytes())
		}
	case <-time.After(waitTimeout):
		t.Errorf("the program did not end in time; its log: %s", log.Bytes())
	}
}
