//go:build ignore

// Lay writes a variant of a site of the platform's bench into a folder: the site's TOML file with
// changes applied, and copies of the other files of the site.
//
//	go run deploy/sites/lay.go CHANGES SITE.toml FOLDER
//
// A line of CHANGES has the form "PLACE: KEY = VALUE". PLACE is the name of a table (net), the name
// of an array of tables with the value of name in one of them (class/markup-save), or - for the
// keys before all tables. Lines that begin with # are comments. If a changed key is not in the
// site's file, lay reports an error that names it and writes nothing.
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
	var errs []error
	for i, l := range strings.Split(string(list), "\n") {
		if l = strings.TrimSpace(l); l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		m := change.FindStringSubmatch(l)
		if m == nil {
			errs = append(errs, fmt.Errorf("%s:%d: %q does not have the form PLACE: KEY = VALUE", changes, i+1, l))
			continue
		}
		at, found := places[m[1]+" "+m[2]]
		if !found {
			errs = append(errs, fmt.Errorf("%s:%d: %s has no key %s in %q", changes, i+1, site, m[2], m[1]))
			continue
		}
		lines[at] = m[2] + " = " + m[3]
	}
	if err := errors.Join(errs...); err != nil {
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

// places returns the index of each key's line by place and key, such as "net zones",
// "class/markup-save effect" or "- name".
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
