package cli

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestPrograms checks that every program prints its version, has help with an example for each
// command that can be run, generates shell completion, and exits with ExitUsage on wrong usage.
func TestPrograms(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "indigospool/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	list, err := filepath.Glob("../../cmd/spool-*")
	if err != nil || len(list) < 9 {
		t.Fatalf("found the programs %v, error %v; want at least 9", list, err)
	}
	run := func(name string, args ...string) (string, int) {
		c := exec.Command(filepath.Join(dir, name), args...)
		c.Env = append(os.Environ(), "HOME="+dir)
		out, err := c.CombinedOutput()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return string(out), exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		return string(out), 0
	}
	var help func(name string, args ...string)
	help = func(name string, args ...string) {
		out, code := run(name, append(args, "--help")...)
		if code != 0 {
			t.Errorf("%s %v --help: exit code %d, want 0", name, args, code)
		}
		_, commands, has := strings.Cut(out, "Available Commands:\n")
		if !has {
			if !strings.Contains(out, "Examples:\n") {
				t.Errorf("%s %v --help has no example", name, args)
			}
			return
		}
		for _, line := range strings.Split(commands, "\n") {
			f := strings.Fields(line)
			if len(f) == 0 {
				break
			}
			if f[0] != "help" && f[0] != "completion" {
				help(name, append(append([]string(nil), args...), f[0])...)
			}
		}
	}
	for _, path := range list {
		name := filepath.Base(path)
		if out, code := run(name, "--version"); code != 0 || !strings.HasPrefix(out, name+" version ") {
			t.Errorf("%s --version: exit code %d, output %q; want 0 and the name and version", name, code, out)
		}
		if out, code := run(name, "completion", "bash"); code != 0 || !strings.Contains(out, "__start_"+name) {
			t.Errorf("%s completion bash: exit code %d, output %.60q; want 0 and a script", name, code, out)
		}
		if out, code := run(name, "--no-such-flag"); code != ExitUsage || !strings.Contains(out, "no-such-flag") {
			t.Errorf("%s --no-such-flag: exit code %d, output %q; want %d and the name of the flag", name, code, out, ExitUsage)
		}
		help(name)
	}
}
