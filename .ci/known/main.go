// Known runs go test and tolerates failures of the tests that KNOWN-RED.txt lists; it runs
// these tests and reports their results, too. It exits with an error if any other test fails,
// if the list is too long, or if a listed test was not run.
//
//	go run ./.ci/known KNOWN-RED.txt go test -count=1 ./...
//
// A line of the list has the form "test, cause, issue". The file may be missing.
//
// The known failure of a command that is not a Go test has a line with the command, its seed,
// what was seen and an open issue, separated by "; ":
//
//	command: bin/spool-scenario run examples/bad-day.edn; seed 7; rule 2 broken at 67 ms; issue 31
//
// Known prints such lines and does not run the commands.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const maxEntries = 3 // limit on the lines of the list, tests and commands together

// knownFailures holds the entries of the list.
type knownFailures struct {
	tests    map[string]string // cause and issue by name of the test
	commands []string          // the lines as written, without "command:"
}

func main() {
	if len(os.Args) < 5 || os.Args[2] != "go" || os.Args[3] != "test" {
		fmt.Fprintln(os.Stderr, "usage: go run ./.ci/known KNOWN-RED.txt go test ARGUMENTS")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[4:]); err != nil {
		fmt.Fprintln(os.Stderr, "known:", err)
		os.Exit(1)
	}
}

func run(file string, args []string) error {
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	known, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	err = evaluate(out, known, os.Stdout)
	io.Copy(io.Discard, out)
	if waitErr := cmd.Wait(); err == nil && waitErr != nil && len(known.tests) == 0 {
		return waitErr
	}
	return err
}

// parseList returns the entries of the list, or an error that names the first invalid line.
func parseList(text string) (knownFailures, error) {
	known := knownFailures{tests: map[string]string{}}
	entries := 0
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if entries++; entries > maxEntries {
			return known, fmt.Errorf("more than %d tests and commands are listed", maxEntries)
		}
		if command, ok := strings.CutPrefix(line, "command:"); ok {
			if err := checkCommand(command); err != nil {
				return known, fmt.Errorf("%q %w", line, err)
			}
			known.commands = append(known.commands, strings.TrimSpace(command))
			continue
		}
		test, reason, ok := strings.Cut(line, ", ")
		if !ok || !strings.Contains(reason, ", ") {
			return known, fmt.Errorf("%q does not have the form: test, cause, issue", line)
		}
		known.tests[test] = reason
	}
	return known, nil
}

// checkCommand returns an error that names the missing fields of a command's line, which is
// passed without its prefix. If there are fewer than four fields, it finds seed and issue by
// their first word.
func checkCommand(line string) error {
	fields := strings.Split(line, "; ")
	if len(fields) > 4 {
		return fmt.Errorf("has %d fields, want 4; a field cannot contain %q", len(fields), "; ")
	}
	var missing []string
	next := 0
	for _, want := range []struct{ name, word string }{{"command", ""}, {"seed", "seed "}, {"what was seen", ""}, {"issue", "issue "}} {
		field := ""
		if next < len(fields) {
			field = strings.TrimSpace(fields[next])
		}
		marked := strings.HasPrefix(field, "seed ") || strings.HasPrefix(field, "issue ")
		switch {
		case want.word != "" && strings.HasPrefix(field, want.word), want.word == "" && field != "" && !marked:
			next++
		default:
			missing = append(missing, want.name)
			if field == "" || len(fields) == 4 {
				next++ // the field is present but empty or of another kind
			}
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("has no %s; want: command: COMMAND; seed SEED; WHAT WAS SEEN; issue ISSUE", strings.Join(missing, ", no "))
	}
	return nil
}

// event is a line of the output of go test -json.
type event struct{ Action, Package, Test, Output string }

// evaluate reads the output of go test -json from in and writes to w what go test prints
// without -json: a line for each package and the output of failing tests. Then it writes the
// known failures. Its error names the other failures and the listed tests that were not run.
func evaluate(in io.Reader, known knownFailures, w io.Writer) error {
	output := map[string]string{}
	results := map[string]string{}         // by listed test
	knownFailed := map[string]bool{}       // packages in which a listed test failed
	failed := map[string]map[string]bool{} // tests by package; "" is the package itself
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<24)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Fprintln(w, scanner.Text())
			continue
		}
		top, _, _ := strings.Cut(e.Test, "/")
		_, isKnown := known.tests[top]
		switch id := e.Package + " " + e.Test; e.Action {
		case "output":
			if e.Test == "" {
				fmt.Fprint(w, e.Output)
			} else {
				output[id] += e.Output
			}
		case "build-output":
			fmt.Fprint(w, e.Output)
		case "pass", "skip", "fail":
			if isKnown && e.Test == top {
				results[top] = e.Action
			}
			if e.Action == "fail" {
				fmt.Fprint(w, output[id])
				if isKnown {
					knownFailed[e.Package] = true
				} else if e.Test != "" || !knownFailed[e.Package] {
					if failed[e.Package] == nil {
						failed[e.Package] = map[string]bool{}
					}
					failed[e.Package][e.Test] = true
				}
			}
			delete(output, id)
		}
	}
	var errs []error
	for _, test := range slices.Sorted(maps.Keys(known.tests)) {
		result := results[test]
		if result == "" {
			result = "not run"
			errs = append(errs, fmt.Errorf("%s is listed as red, but no test of this name was run", test))
		}
		fmt.Fprintf(w, "known red: %s: %s (%s)\n", test, result, known.tests[test])
	}
	for _, command := range known.commands {
		fmt.Fprintf(w, "known red command: %s\n", command)
	}
	for _, pkg := range slices.Sorted(maps.Keys(failed)) {
		errs = append(errs, fmt.Errorf("%s failed: %s", pkg, strings.Join(slices.Sorted(maps.Keys(failed[pkg])), " ")))
	}
	return errors.Join(append(errs, scanner.Err())...)
}
