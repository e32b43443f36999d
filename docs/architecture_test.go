package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declarations are the names that a package declares: functions, types, constants and
// variables by their names, methods as Type.Method.
type declarations map[string]bool

// parseTree reads all packages of the module, by name. Tests and programs are not read.
func parseTree(t *testing.T, root string) map[string]declarations {
	t.Helper()
	packages := map[string]declarations{}
	paths := map[string]string{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			switch entry.Name() {
			case "testdata", "cmd", "bin", "journal":
				if entry.Name() == "journal" && filepath.Dir(path) != root {
					return nil // the package, not the folder of trials
				}
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		name := file.Name.Name
		if name == "main" {
			return nil
		}
		if known, dir := paths[name], filepath.Dir(path); known == "" {
			paths[name], packages[name] = dir, declarations{}
		} else if known != dir {
			t.Errorf("two packages are called %s: %s and %s", name, known, dir)
		}
		packages[name].add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return packages
}

// add takes in what a file declares.
func (d declarations) add(file *ast.File) {
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			name := declaration.Name.Name
			if declaration.Recv != nil {
				name = receiver(declaration.Recv.List[0].Type) + "." + name
			}
			d[name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					d[spec.Name.Name] = true
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						d[name.Name] = true
					}
				}
			}
		}
	}
}

// receiver is the name of a receiver's type.
func receiver(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiver(expression.X)
	case *ast.IndexExpr:
		return receiver(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	qualified  = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	pathOfTree = regexp.MustCompile(`^(?:cmd|docs|examples|internal|\.ci)/|\.(?:go|md|edn|conf)$`)
)

// Every name and path of the architecture page exists, so that the page stays true.
func TestArchitectureNames(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	const root = ".."
	packages := parseTree(t, root)
	names, paths := 0, 0
	for _, span := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		text := span[1]
		if pathOfTree.MatchString(text) {
			paths++
			if _, err := os.Stat(filepath.Join(root, text)); err != nil {
				t.Errorf("the page names the path %s: %v", text, err)
			}
			continue
		}
		match := qualified.FindStringSubmatch(text)
		if match == nil {
			continue
		}
		names++
		switch declared := packages[match[1]]; {
		case declared == nil:
			t.Errorf("the page names %s, and there is no package %s", text, match[1])
		case !declared[match[2]]:
			t.Errorf("the page names %s, which package %s does not declare", text, match[1])
		}
	}
	if names < 80 || paths < 40 {
		t.Errorf("only %d names and %d paths were found on the page: is its form another?", names, paths)
	}
}

// Every package of the tree has its line on the architecture page.
func TestArchitecturePackages(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir("../internal", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if entry.Name() == "testdata" {
			return fs.SkipDir
		}
		sources, err := filepath.Glob(filepath.Join(path, "*.go"))
		if err != nil || len(sources) == 0 {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, "../"))
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("the page has no line for %s", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// The pages name only packages, programs and files that are there. results.md and
// ROADMAP.md tell of the past, and may name what has gone.
func TestPathsOfPages(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	inTree := regexp.MustCompile(`^(?:cmd|docs|examples|internal|\.ci)/[\w./-]+$`)
	paths := 0
	for _, page := range append(pages, "../README.md") {
		if page == "results.md" || page == "ROADMAP.md" {
			continue
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			path := span[1]
			if !inTree.MatchString(path) {
				continue
			}
			paths++
			if _, err := os.Stat(filepath.Join("..", path)); err != nil {
				t.Errorf("%s names the path %s: %v", page, path, err)
			}
		}
	}
	if paths < 80 {
		t.Errorf("only %d paths were found on the pages: is their form another?", paths)
	}
}
