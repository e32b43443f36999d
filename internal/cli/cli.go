// Package cli is what the command lines of all programs share: exit codes, the
// version, and how errors are told. Commands themselves are made with cobra, in
// cmd/*.
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
	ExitFound = 1 // the program did its work, and found something wrong
	ExitUsage = 2 // it was called wrongly, or could not do its work
)

// ErrFound ends a program with Found; what was found has been printed.
var ErrFound = errors.New("found")

// FoundError is an error that ends a program with Found.
type FoundError struct{ Err error }

func (f *FoundError) Error() string { return f.Err.Error() }
func (f *FoundError) Unwrap() error { return f.Err }

// Version is the module's version as built.
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

// codeMB is what of a program's resident memory is no heap: its code and its tables.
const codeMB = 16

// TuneGC has the garbage collector run less often than Go's default, for
// programs whose heap is small and whose loop should not share its time; GOGC
// in the environment goes before it. Near the memory budget it runs more often.
func TuneGC(memoryMB float64) {
	if os.Getenv("GOMEMLIMIT") == "" && memoryMB > 0 {
		debug.SetMemoryLimit(int64((memoryMB - min(codeMB, memoryMB/4)) * (1 << 20)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
}

// PrintResult prints a result on standard output: as JSON, or by its text.
func PrintResult(asJSON bool, v any, text func(io.Writer)) error {
	if !asJSON {
		text(printable{os.Stdout})
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}

// printable has what a terminal would obey written as escapes, but for ends of
// lines: names in journals, logs and lists are a peer's.
type printable struct{ w io.Writer }

func (p printable) Write(b []byte) (int, error) {
	lines := strings.SplitAfter(string(b), "\n")
	for i, l := range lines {
		text, end := strings.CutSuffix(l, "\n")
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

// Main runs a program's root command and ends the process. The context ends at
// SIGINT or SIGTERM.
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
