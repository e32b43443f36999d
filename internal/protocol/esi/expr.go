package esi

import (
	"fmt"
	"strconv"
	"strings"
)

// Expr is the test of a when element: comparisons of variables and literals, combined with !, &
// and | and grouped with parentheses. Comparisons bind tightest, then !, &, |.
type Expr struct {
	op          string // "|", "&", "!", a comparison, or "" for an operand
	left, right *Expr
	text        string // value of a literal
	ref         Ref    // the variable, if isRef
	isRef       bool
}

const maxNesting = 32 // levels of parentheses and negations

// ParseExpr parses a test. An error states the position in the text, counted from 1.
func ParseExpr(text string) (*Expr, error) {
	p := &exprParser{text: text}
	e, err := p.or(0)
	if err != nil {
		return nil, err
	}
	if p.skipSpace(); p.offset < len(text) {
		return nil, p.errorf("%.20q after the end of the expression", text[p.offset:])
	}
	return e, nil
}

type exprParser struct {
	text   string
	offset int
}

func (p *exprParser) errorf(format string, args ...any) error {
	return fmt.Errorf("test %.80q, byte %d: %s", p.text, p.offset+1, fmt.Sprintf(format, args...))
}

func (p *exprParser) skipSpace() {
	for p.offset < len(p.text) && strings.IndexByte(" \t\r\n", p.text[p.offset]) >= 0 {
		p.offset++
	}
}

func (p *exprParser) take(op string) bool {
	p.skipSpace()
	if strings.HasPrefix(p.text[p.offset:], op) {
		p.offset += len(op)
		return true
	}
	return false
}

func (p *exprParser) or(depth int) (*Expr, error) { return p.chain("|", depth, p.and) }

func (p *exprParser) and(depth int) (*Expr, error) { return p.chain("&", depth, p.not) }

func (p *exprParser) chain(op string, depth int, next func(int) (*Expr, error)) (*Expr, error) {
	left, err := next(depth)
	for err == nil && p.take(op) {
		var right *Expr
		if right, err = next(depth); err == nil {
			left = &Expr{op: op, left: left, right: right}
		}
	}
	return left, err
}

func (p *exprParser) not(depth int) (*Expr, error) {
	if depth > maxNesting {
		return nil, p.errorf("nested deeper than %d levels", maxNesting)
	}
	if p.skipSpace(); strings.HasPrefix(p.text[p.offset:], "!") && !strings.HasPrefix(p.text[p.offset:], "!=") {
		p.offset++
		e, err := p.not(depth + 1)
		if err != nil {
			return nil, err
		}
		return &Expr{op: "!", left: e}, nil
	}
	return p.comparison(depth)
}

func (p *exprParser) comparison(depth int) (*Expr, error) {
	left, err := p.operand(depth)
	if err != nil {
		return nil, err
	}
	for _, op := range []string{"==", "!=", "<=", ">=", "<", ">"} {
		if !p.take(op) {
			continue
		}
		if left.op != "" {
			return nil, p.errorf("a comparison takes values, not the result of a test")
		}
		right, err := p.operand(depth)
		if err != nil {
			return nil, err
		}
		if right.op != "" {
			return nil, p.errorf("a comparison takes values, not the result of a test")
		}
		return &Expr{op: op, left: left, right: right}, nil
	}
	return left, nil
}

func (p *exprParser) operand(depth int) (*Expr, error) {
	p.skipSpace()
	rest := p.text[p.offset:]
	switch {
	case rest == "":
		return nil, p.errorf("missing value")
	case rest[0] == '(':
		if depth >= maxNesting {
			return nil, p.errorf("nested deeper than %d levels", maxNesting)
		}
		p.offset++
		e, err := p.or(depth + 1)
		if err != nil {
			return nil, err
		}
		if !p.take(")") {
			return nil, p.errorf("unclosed parenthesis")
		}
		return e, nil
	case rest[0] == '\'':
		end := strings.IndexByte(rest[1:], '\'')
		if end < 0 {
			return nil, p.errorf("unclosed literal: missing apostrophe")
		}
		p.offset += end + 2
		return &Expr{text: rest[1 : 1+end]}, nil
	case rest[0] == '$':
		ref, n := parseRef(rest)
		if n == 0 {
			return nil, p.errorf("%.30q is not a variable; known are HTTP_ACCEPT_LANGUAGE, HTTP_COOKIE, HTTP_HOST, HTTP_REFERER, HTTP_USER_AGENT, QUERY_STRING", rest)
		}
		p.offset += n
		return &Expr{ref: ref, isRef: true}, nil
	}
	n := 0
	for n < len(rest) && (rest[n] >= '0' && rest[n] <= '9' || rest[n] == '.' || n == 0 && rest[n] == '-') {
		n++
	}
	if _, err := strconv.ParseFloat(rest[:n], 64); err != nil {
		return nil, p.errorf("%.20q is not a value; text must be in apostrophes", rest)
	}
	p.offset += n
	return &Expr{text: rest[:n]}, nil
}

// value returns the value of an operand and whether it has one.
func (e *Expr) value(v *Vars) (string, bool) {
	if e.isRef {
		return v.Value(&e.ref)
	}
	return e.text, true
}

// Holds reports whether the test holds. A comparison with an operand that has no value is false. A
// single operand holds if it has a value that is neither empty nor "false".
func (e *Expr) Holds(v *Vars) bool {
	switch e.op {
	case "|":
		return e.left.Holds(v) || e.right.Holds(v)
	case "&":
		return e.left.Holds(v) && e.right.Holds(v)
	case "!":
		return !e.left.Holds(v)
	case "":
		s, ok := e.value(v)
		return ok && s != "" && s != "false"
	}
	a, aok := e.left.value(v)
	b, bok := e.right.value(v)
	if !aok || !bok {
		return false
	}
	c := strings.Compare(a, b)
	x, xerr := strconv.ParseFloat(a, 64)
	y, yerr := strconv.ParseFloat(b, 64)
	if xerr == nil && yerr == nil { // two numbers are compared as numbers
		switch {
		case x < y:
			c = -1
		case x > y:
			c = 1
		case x == y:
			c = 0
		default: // NaN is not equal to anything, itself included
			return e.op == "!="
		}
	}
	switch e.op {
	case "==":
		return c == 0
	case "!=":
		return c != 0
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}
