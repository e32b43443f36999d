package esi

import (
	"strings"
)

// Vars holds the fields of a request's head from which variables get their values. The client
// controls them, so they are untrusted and reach a page only escaped.
type Vars struct {
	Host           string // HTTP_HOST
	Cookie         string // HTTP_COOKIE{name}
	AcceptLanguage string // HTTP_ACCEPT_LANGUAGE{tag}, as true or false
	UserAgent      string // HTTP_USER_AGENT{browser|version|os}
	Referer        string // HTTP_REFERER
	Query          string // QUERY_STRING{name}, without the question mark
	MaxLength      int    // bytes of a value; a longer one counts as absent; default 4096
}

// A Ref is a reference to a variable: $(NAME{Key}|Default).
type Ref struct {
	Name, Key, Default string
	HasKey, HasDefault bool
}

// takesKey has the known variables. The value is true if the variable may have a key, as in
// HTTP_COOKIE{name}.
var takesKey = map[string]bool{
	"HTTP_HOST": false, "HTTP_REFERER": false, "HTTP_COOKIE": true, "HTTP_ACCEPT_LANGUAGE": true,
	"HTTP_USER_AGENT": true, "QUERY_STRING": true,
}

// Value returns the value of a variable and whether it has one. A variable that is absent, empty,
// too long or has a control character has the default of the reference.
func (v *Vars) Value(r *Ref) (string, bool) {
	s, ok := v.lookup(r)
	maxLength := v.MaxLength
	if maxLength <= 0 {
		maxLength = 4096
	}
	if ok && s != "" && len(s) <= maxLength && !hasControl(s) {
		return s, true
	}
	return r.Default, r.HasDefault
}

// hasControl reports whether s has a control character, such as one that ends a header line.
func hasControl(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r < 0x20 || r == 0x7f }) >= 0
}

func (v *Vars) lookup(r *Ref) (string, bool) {
	switch r.Name {
	case "HTTP_HOST":
		return v.Host, v.Host != ""
	case "HTTP_REFERER":
		return v.Referer, v.Referer != ""
	case "HTTP_COOKIE":
		if !r.HasKey {
			return v.Cookie, v.Cookie != ""
		}
		for part := range strings.SplitSeq(v.Cookie, ";") {
			if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && name == r.Key {
				return strings.Trim(value, `"`), true
			}
		}
	case "QUERY_STRING":
		if !r.HasKey {
			return v.Query, v.Query != ""
		}
		for part := range strings.SplitSeq(v.Query, "&") {
			if name, value, _ := strings.Cut(part, "="); name == r.Key {
				return value, true
			}
		}
	case "HTTP_ACCEPT_LANGUAGE":
		if !r.HasKey {
			return v.AcceptLanguage, v.AcceptLanguage != ""
		}
		for part := range strings.SplitSeq(v.AcceptLanguage, ",") {
			tag, params, _ := strings.Cut(strings.TrimSpace(part), ";")
			q := strings.ReplaceAll(params, " ", "")
			if strings.EqualFold(strings.TrimSpace(tag), r.Key) && q != "q=0" && !strings.HasPrefix(q, "q=0.000") && q != "q=0.0" && q != "q=0.00" {
				return "true", true
			}
		}
		return "false", true
	case "HTTP_USER_AGENT":
		if !r.HasKey {
			return v.UserAgent, v.UserAgent != ""
		}
		return userAgentPart(v.UserAgent, r.Key)
	}
	return "", false
}

// userAgentPart returns a part of a User-Agent header, with the values that the Note defines:
// browser is MOZILLA, MSIE or OTHER, os is WIN, MAC, UNIX or OTHER.
func userAgentPart(s, key string) (string, bool) {
	if s == "" {
		return "", false
	}
	low := strings.ToLower(s)
	has := func(words ...string) bool {
		for _, w := range words {
			if strings.Contains(low, w) {
				return true
			}
		}
		return false
	}
	switch key {
	case "browser":
		switch {
		case has("msie ", "trident/"):
			return "MSIE", true
		case strings.HasPrefix(low, "mozilla/"):
			return "MOZILLA", true
		}
		return "OTHER", true
	case "os":
		switch {
		case has("windows"):
			return "WIN", true
		case has("macintosh", "mac os"):
			return "MAC", true
		case has("linux", "x11", "bsd", "unix"):
			return "UNIX", true
		}
		return "OTHER", true
	case "version":
		from := s
		if i := strings.Index(low, "msie "); i >= 0 {
			from = s[i+5:]
		} else if _, after, ok := strings.Cut(s, "/"); ok {
			from = after
		} else {
			return "", false
		}
		end := strings.IndexFunc(from, func(r rune) bool { return (r < '0' || r > '9') && r != '.' })
		if end < 0 {
			end = len(from)
		}
		return from[:end], end > 0
	}
	return "", false
}

// parseRef parses the reference to a variable at the start of s and returns its length. The length
// is 0 if s does not start with a reference; the "$(" is then text.
func parseRef(s string) (r Ref, n int) {
	if !strings.HasPrefix(s, "$(") {
		return r, 0
	}
	i := 2
	for i < len(s) && (s[i] >= 'A' && s[i] <= 'Z' || s[i] == '_') {
		i++
	}
	r.Name = s[2:i]
	hasKey, known := takesKey[r.Name]
	if !known {
		return r, 0
	}
	if i < len(s) && s[i] == '{' {
		end := strings.IndexByte(s[i:], '}')
		if end < 0 || !hasKey {
			return r, 0
		}
		r.Key, r.HasKey = s[i+1:i+end], true
		if strings.ContainsAny(r.Key, "$(){|'\"<> \t\r\n") {
			return r, 0
		}
		i += end + 1
	}
	if i < len(s) && s[i] == '|' {
		r.HasDefault = true
		i++
		if i < len(s) && s[i] == '\'' {
			end := strings.IndexByte(s[i+1:], '\'')
			if end < 0 {
				return r, 0
			}
			r.Default = s[i+1 : i+1+end]
			i += end + 2
		} else {
			end := strings.IndexAny(s[i:], ")' \t\r\n<>\"")
			if end < 0 {
				return r, 0
			}
			r.Default = s[i : i+end]
			i += end
		}
	}
	if i >= len(s) || s[i] != ')' {
		return r, 0
	}
	return r, i + 1
}

// Escape is the way in which the value of a variable is escaped.
type Escape uint8

// The escapes.
const (
	Plain Escape = iota // unmodified; for comparisons only
	HTML                // for a page: & < > " ' as character references
	URL                 // for a URL: all but unreserved bytes as %XX
)

// Expand appends s to dst, with its variables replaced by their escaped values.
func (v *Vars) Expand(dst []byte, s string, e Escape) []byte {
	for {
		i := strings.Index(s, "$(")
		if i < 0 {
			return append(dst, s...)
		}
		dst = append(dst, s[:i]...)
		r, n := parseRef(s[i:])
		if n == 0 {
			dst, s = append(dst, "$("...), s[i+2:]
			continue
		}
		value, _ := v.Value(&r)
		dst, s = appendEscaped(dst, value, e), s[i+n:]
	}
}

func appendEscaped(dst []byte, s string, e Escape) []byte {
	const hex = "0123456789ABCDEF"
	for i := range len(s) {
		c := s[i]
		switch {
		case e == HTML && c == '&':
			dst = append(dst, "&amp;"...)
		case e == HTML && c == '<':
			dst = append(dst, "&lt;"...)
		case e == HTML && c == '>':
			dst = append(dst, "&gt;"...)
		case e == HTML && c == '"':
			dst = append(dst, "&#34;"...)
		case e == HTML && c == '\'':
			dst = append(dst, "&#39;"...)
		case e == URL && !isUnreserved(c) && c != '%': // % is kept, so that escaped bytes are not escaped twice
			dst = append(dst, '%', hex[c>>4], hex[c&15])
		default:
			dst = append(dst, c)
		}
	}
	return dst
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}
