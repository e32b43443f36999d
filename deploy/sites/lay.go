//go:build ignore

// Lay writes a variant of a bench's site: the site's file with the changes of a file
// beside this one, and the files that stand next to the site.
//
//	go run deploy/sites/lay.go CHANGES SITE.toml FOLDER
//
// A line of changes is PLACE: KEY = VALUE. The place is a table (net), the table of an
// array that has this name (class/markup-save), or - for what stands before all tables.
// A change that finds no place is an error that names it, and nothing is written.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: go run deploy/sites/lay.go CHANGES SITE.toml FOLDER")
		os.Exit(2)
	}
	if err := lay(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, "lay:", err)
		os.Exit(1)
	}
}

var (
	table  = regexp.MustCompile(`^\[\[?([a-z.]+)\]\]?`)
	keyed  = regexp.MustCompile(`^([a-z_]+) *= *(.*)$`)
	change = regexp.MustCompile(`^(\S+): ([a-z_]+) = (.+)$`)
)

func lay(changes, site, folder string) error {
	text, err := os.ReadFile(site)
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	list, err := os.ReadFile(changes)
	if err != nil {
		return err
	}
	places := places(lines)
	var faults []error
	for i, l := range strings.Split(string(list), "\n") {
		if l = strings.TrimSpace(l); l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		m := change.FindStringSubmatch(l)
		if m == nil {
			faults = append(faults, fmt.Errorf("%s:%d: %q is no change: PLACE: KEY = VALUE", changes, i+1, l))
			continue
		}
		at, found := places[m[1]+" "+m[2]]
		if !found {
			faults = append(faults, fmt.Errorf("%s:%d: %s has no %s at %q", changes, i+1, site, m[2], m[1]))
			continue
		}
		lines[at] = m[2] + " = " + m[3]
	}
	if err := errors.Join(faults...); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	beside := filepath.Dir(site)
	for _, name := range []string{"real.json", "wire.json", "design.json", "unlock.txt"} {
		b, err := os.ReadFile(filepath.Join(beside, name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, name), b, 0o644)
		}
		if err != nil {
			return err
		}
	}
	name := strings.TrimSuffix(filepath.Base(changes), filepath.Ext(changes)) + ".toml"
	return os.WriteFile(filepath.Join(folder, name), []byte(strings.Join(lines, "\n")), 0o644)
}

// places finds the line of each key: "net zones", "class/markup-save effect", "- name".
func places(lines []string) map[string]int {
	out := map[string]int{}
	place, from := "-", 0
	for i, l := range lines {
		if m := table.FindStringSubmatch(l); m != nil {
			place, from = m[1], i
			continue
		}
		m := keyed.FindStringSubmatch(l)
		if m == nil {
			continue
		}
		if m[1] == "name" && strings.HasPrefix(lines[from], "[[") {
			place += "/" + strings.Trim(m[2], `"`)
		}
		if _, twice := out[place+" "+m[1]]; !twice {
			out[place+" "+m[1]] = i
		}
	}
	return out
}
