// Package config reads settings that are written as S-expressions, validates
// them against a schema, and prints them in a canonical form. A schema is a Go
// struct with tags. The settings of a router are in schema.go; other packages
// define their own schemas, such as that of the scripts that simulate a day of
// traffic.
//
// All faults of a file are reported at once, each with file, line, column, key
// and remedy. The package does no I/O except for reading the named file.
package config

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"olympos.io/encoding/edn"
)

// Pos is a position in a file. Lines and columns count from 1, columns in bytes.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// A Fault is an error in the settings.
type Fault struct {
	Pos    Pos
	Key    string // path of the key, such as class/aim for the key aim in (class ...)
	What   string // what is wrong, with the value
	Remedy string
}

func (f Fault) String() string {
	s := f.Pos.String() + ": "
	if f.Key != "" {
		s += f.Key + ": "
	}
	s += f.What
	if f.Remedy != "" {
		s += "; " + f.Remedy
	}
	return Printable(s)
}

// Printable returns s with control characters, invalid UTF-8 and other characters that cannot be
// printed replaced by escape sequences. Text from files and peers must pass through it before it is
// written to a terminal.
func Printable(s string) string {
	if !strings.ContainsFunc(s, isHidden) {
		return s
	}
	var b strings.Builder
	for i, r := range s {
		switch {
		case r == utf8.RuneError && !strings.HasPrefix(s[i:], string(utf8.RuneError)):
			fmt.Fprintf(&b, `\x%02x`, s[i])
		case isHidden(r):
			q := strconv.QuoteRune(r)
			b.WriteString(q[1 : len(q)-1])
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

func isHidden(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }

// truncate returns at most maxQuotedBytes bytes of s, followed by "..." if s is longer, for quoting in
// faults.
func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}

const maxQuotedBytes = 60 // of a value that truncate cuts; the reader cuts atoms that it rejects at 40 characters (%.40s)

// Faults is an error that lists all faults.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, sorted by position, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i].Pos, f[j].Pos
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line || a.Line == b.Line && a.Col < b.Col
	})
	return f
}

// form is a list, or an atom with its value. The edn library parses the atoms
// only, because it does not keep the positions of what it parses.
type form struct {
	pos  Pos
	list []form
	atom any    // string, edn.Symbol, edn.Keyword, int64, float64, bool; nil for a list
	text string // of an atom, as written
}

func (f *form) isList() bool { return f.atom == nil }

// word returns the text of a symbol, or "" if the form is not a symbol.
func (f *form) word() string {
	if s, ok := f.atom.(edn.Symbol); ok {
		return string(s)
	}
	return ""
}

const maxDepth = 40 // nesting depth of lists

type reader struct {
	file      string
	src       string
	offset    int
	line      int
	lineStart int // index of the first byte of the line
	faults    Faults
	atoms     map[string]any // parsed atoms by their text, since most are repeated
	buf       *bufio.Reader
}

// parseAtom returns the value of an atom. It reuses one buffer, since the library allocates 4 KB for
// each call that has none.
func (r *reader) parseAtom(text string) (v any, err error) {
	if v, ok := r.atoms[text]; ok {
		return v, nil
	}
	if r.buf == nil {
		r.buf, r.atoms = bufio.NewReader(nil), map[string]any{}
	}
	r.buf.Reset(strings.NewReader(text))
	if err := edn.NewDecoder(r.buf).Decode(&v); err != nil {
		return nil, err
	}
	if len(text) < 64 {
		r.atoms[text] = v
	}
	return v, nil
}

func (r *reader) pos() Pos { return Pos{r.file, r.line, r.offset - r.lineStart + 1} }

func (r *reader) fault(p Pos, what, remedy string) {
	r.faults = append(r.faults, Fault{Pos: p, What: what, Remedy: remedy})
}

func (r *reader) advance() {
	if r.src[r.offset] == '\n' {
		r.line++
		r.lineStart = r.offset + 1
	}
	r.offset++
}

func (r *reader) skipSpace() {
	for r.offset < len(r.src) {
		switch c := r.src[r.offset]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == ',':
			r.advance()
		case c == ';':
			for r.offset < len(r.src) && r.src[r.offset] != '\n' {
				r.advance()
			}
		default:
			return
		}
	}
}

// readForms reads forms up to the closing bracket, which is the parameter closing, or at depth 0 up to
// the end of the text, and returns them. The parameter opened is the position of the opening bracket,
// for faults.
func (r *reader) readForms(depth int, closing byte, opened Pos) (list []form) {
	for {
		r.skipSpace()
		if r.offset >= len(r.src) {
			if depth > 0 {
				r.fault(opened, "a list is never closed", fmt.Sprintf("add the missing %q", closing))
			}
			return list
		}
		p := r.pos()
		switch c := r.src[r.offset]; c {
		case '(', '[':
			if depth >= maxDepth {
				r.fault(p, fmt.Sprintf("lists are nested more than %d levels deep", maxDepth), "nest fewer lists; the rest of the file was not read")
				r.offset = len(r.src)
				return list
			}
			r.advance()
			end := byte(')')
			if c == '[' {
				end = ']'
			}
			list = append(list, form{pos: p, list: r.readForms(depth+1, end, p)})
		case ')', ']':
			r.advance()
			if depth == 0 {
				r.fault(p, fmt.Sprintf("%q closes nothing", c), "remove it")
				continue
			}
			if c != closing {
				r.fault(p, fmt.Sprintf("%q closes the list opened at %d:%d", c, opened.Line, opened.Col),
					fmt.Sprintf("close it with %q", closing))
			}
			return list
		case '{', '}', '#', '\'', '`', '~', '^', '@':
			r.advance()
			r.fault(p, fmt.Sprintf("%q is not allowed in settings", c), "use lists, words, numbers and strings only")
		default:
			if a, ok := r.readAtom(p); ok {
				list = append(list, a)
			}
		}
	}
}

func (r *reader) readAtom(p Pos) (form, bool) {
	from := r.offset
	if r.src[r.offset] == '"' {
		r.advance()
		for r.offset < len(r.src) && r.src[r.offset] != '"' {
			if r.src[r.offset] == '\\' && r.offset+1 < len(r.src) {
				r.advance()
			}
			r.advance()
		}
		if r.offset >= len(r.src) {
			r.fault(p, "a string is never closed", `add the missing "`)
			return form{}, false
		}
		r.advance()
	} else {
		for r.offset < len(r.src) && !strings.ContainsRune(" \t\r\n,;()[]{}\"", rune(r.src[r.offset])) {
			r.advance()
		}
	}
	text := r.src[from:r.offset]
	if last := text[len(text)-1]; (last == 'M' || last == 'N') && strings.IndexByte("+-0123456789", text[0]) >= 0 {
		// the library takes minutes to parse 1e9999999M, and no setting needs such numbers
		r.fault(p, fmt.Sprintf("%.40s: numbers with the suffix M or N are not supported", text), "write the number in full, without a suffix")
		return form{}, false
	}
	v, err := r.parseAtom(text)
	if err != nil || v == nil {
		r.fault(p, fmt.Sprintf("%.40s is not a number, a word or a string", text),
			"put text in double quotes, and write a duration as a number of milliseconds without a unit")
		return form{}, false
	}
	switch v.(type) {
	case string, edn.Symbol, edn.Keyword, int64, float64, bool:
		return form{pos: p, atom: v, text: text}, true
	}
	r.fault(p, fmt.Sprintf("%.40s has a type that settings do not use", text), "use numbers, words or strings")
	return form{}, false
}

// readText parses the text of a file into forms.
func readText(file, src string) ([]form, Faults) {
	r := &reader{file: file, src: src, line: 1}
	return r.readForms(0, 0, Pos{}), r.faults
}

// ReadFile reads settings from a file into v; see Read.
func ReadFile(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return Read(file, string(b), v)
}
