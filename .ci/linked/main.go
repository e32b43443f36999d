// Linked checks that programs are linked dynamically against the C library, which the
// platform's bench requires: each has a program interpreter and depends on libc.so.
//
//	go run ./.ci/linked PROGRAM...
package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	var errs []error
	for _, file := range os.Args[1:] {
		errs = append(errs, check(file))
	}
	if err := errors.Join(errs...); err != nil || len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "linked:", err)
		os.Exit(1)
	}
}

func check(file string) error {
	f, err := elf.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s has no program interpreter: it is linked statically", file)
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("%s is linked against %v, without the C library", file, libs)
	}
	return nil
}
