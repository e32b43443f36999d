// Package cli has what the command lines of all programs share: exit codes, the
// version, and the output of results and errors. The commands themselves are
// defined with cobra in cmd/*.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"indigospool/internal/config"
)

// Exit codes of all programs.
const (
	ExitOK    = 0
	ExitFound = 1 // the program ran and found something wrong
	ExitUsage = 2 // wrong usage, or the program could not run
)

// ErrFound ends a program with ExitFound and without a message, after it has
// printed its findings.
var ErrFound = errors.New("found")

// FoundError prints its error and ends a program with ExitFound.
type FoundError struct{ Err error }

func (f *FoundError) Error() string { return f.Err.Error() }
func (f *FoundError) Unwrap() error { return f.Err }

// Version returns the version of the module and the revision that it was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return v
}

// codeMB is the part of a program's resident memory that is not heap, such as code and tables.
const codeMB = 16

// TuneGC makes the garbage collector run less often than by default, for
// programs with a small heap and a latency-sensitive event loop. Near memoryMB,
// if above 0, it runs more often. GOGC and GOMEMLIMIT in the environment take
// precedence.
func TuneGC(memoryMB float64) {
	if os.Getenv("GOMEMLIMIT") == "" && memoryMB > 0 {
		debug.SetMemoryLimit(int64((memoryMB - min(codeMB, memoryMB/4)) * (1 << 20)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
}

// PrintResult prints a result on standard output, as JSON or by calling text.
func PrintResult(asJSON bool, v any, text func(io.Writer)) error {
	if !asJSON {
		text(printable{os.Stdout})
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}

// printable is a writer that escapes control characters except newlines. Output
// has names from journals, logs and endpoint lists, which a peer controls.
type printable struct{ w io.Writer }

func (p printable) Write(b []byte) (int, error) {
	lines := strings.SplitAfter(string(b), "\n")
	for i, line := range lines {
		text, end := strings.CutSuffix(line, "\n")
		lines[i] = config.Printable(text)
		if end {
			lines[i] += "\n"
		}
	}
	if _, err := io.WriteString(p.w, strings.Join(lines, "")); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Main runs a program's root command and exits. SIGINT and SIGTERM cancel the
// command's context.
func Main(root *cobra.Command) {
	root.Version = Version()
	root.SilenceErrors, root.SilenceUsage = true, true
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	var found *FoundError
	switch {
	case err == nil:
		os.Exit(ExitOK)
	case errors.Is(err, ErrFound):
		os.Exit(ExitFound)
	case errors.As(err, &found):
		fmt.Fprintln(printable{os.Stderr}, err)
		os.Exit(ExitFound)
	}
	fmt.Fprintf(printable{os.Stderr}, "%s: %v\n", root.Name(), err)
	os.Exit(ExitUsage)
}
