// Known runs a test command of Go and passes over the tests that KNOWN-RED.txt names: they
// are run and told too. Any other failure fails, and so does a list that is too long or
// that names a test which was not run.
//
//	go run ./.ci/known KNOWN-RED.txt go test -count=1 ./...
//
// A line of the list is: test, cause, issue. The file may be missing.
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

const most = 3 // known reds

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
	red, err := list(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	c := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	err = judge(out, red, os.Stdout)
	io.Copy(io.Discard, out)
	if end := c.Wait(); err == nil && end != nil && len(red) == 0 {
		return end
	}
	return err
}

// list reads the known reds: test to the rest of its line.
func list(text string) (map[string]string, error) {
	red := map[string]string{}
	for _, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l == "" {
			continue
		}
		test, why, ok := strings.Cut(l, ", ")
		if !ok || !strings.Contains(why, ", ") {
			return nil, fmt.Errorf("%q is not: test, cause, issue", l)
		}
		red[test] = why
		if len(red) > most {
			return nil, fmt.Errorf("more than %d tests are known to be red", most)
		}
	}
	return red, nil
}

type event struct{ Action, Package, Test, Output string }

// judge reads the events of a test run and writes what a run prints: of each package its
// line, of failing tests their output.
func judge(in io.Reader, red map[string]string, w io.Writer) error {
	said := map[string]string{}
	seen := map[string]string{}            // known red: its verdict
	alone := map[string]bool{}             // packages with known reds among their failures
	failed := map[string]map[string]bool{} // by package; "" of what belongs to no test
	s := bufio.NewScanner(in)
	s.Buffer(nil, 1<<24)
	for s.Scan() {
		var e event
		if json.Unmarshal(s.Bytes(), &e) != nil {
			fmt.Fprintln(w, s.Text())
			continue
		}
		top, _, _ := strings.Cut(e.Test, "/")
		_, known := red[top]
		switch id := e.Package + " " + e.Test; e.Action {
		case "output":
			if e.Test == "" {
				fmt.Fprint(w, e.Output)
			} else {
				said[id] += e.Output
			}
		case "build-output":
			fmt.Fprint(w, e.Output)
		case "pass", "skip", "fail":
			if known && e.Test == top {
				seen[top] = e.Action
			}
			if e.Action == "fail" {
				fmt.Fprint(w, said[id])
				if known {
					alone[e.Package] = true
				} else if e.Test != "" || !alone[e.Package] {
					if failed[e.Package] == nil {
						failed[e.Package] = map[string]bool{}
					}
					failed[e.Package][e.Test] = true
				}
			}
			delete(said, id)
		}
	}
	var faults []error
	for _, test := range slices.Sorted(maps.Keys(red)) {
		verdict := seen[test]
		if verdict == "" {
			verdict = "not run"
			faults = append(faults, fmt.Errorf("%s is listed as red, and there is no such test", test))
		}
		fmt.Fprintf(w, "known red: %s: %s (%s)\n", test, verdict, red[test])
	}
	for _, pkg := range slices.Sorted(maps.Keys(failed)) {
		faults = append(faults, fmt.Errorf("%s failed: %s", pkg, strings.Join(slices.Sorted(maps.Keys(failed[pkg])), " ")))
	}
	return errors.Join(append(faults, s.Err())...)
}
