package esi

import (
	"strings"
)

// Vars are the variables of a request, from its head. They are what the client sent:
// nothing in them is trusted, and they reach a page only escaped.
type Vars struct {
	Host           string // HTTP_HOST
	Cookie         string // HTTP_COOKIE{name}
	AcceptLanguage string // HTTP_ACCEPT_LANGUAGE{tag}, as true or false
	UserAgent      string // HTTP_USER_AGENT{browser|version|os}
	Referer        string // HTTP_REFERER
	Query          string // QUERY_STRING{name}, without its question mark
	MaxLength      int    // bytes of a value; longer ones count as not there; default 4096
}

// A Ref is a use of a variable: $(NAME{Key}|Default).
type Ref struct {
	Name, Key, Default string
	HasKey, HasDefault bool
}

// names of variables, and whether each takes a key.
var takesKey = map[string]bool{
	"HTTP_HOST": false, "HTTP_REFERER": false, "HTTP_COOKIE": true, "HTTP_ACCEPT_LANGUAGE": true,
	"HTTP_USER_AGENT": true, "QUERY_STRING": true,
}

// Value is a variable's value, and whether it has one. Without one it is its default.
func (v *Vars) Value(r *Ref) (string, bool) {
	s, ok := v.lookup(r)
	most := v.MaxLength
	if most <= 0 {
		most = 4096
	}
	if ok && s != "" && len(s) <= most && !hasControl(s) {
		return s, true
	}
	return r.Default, r.HasDefault
}

// hasControl reports bytes that could end a line or a header.
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

// userAgentPart is a part of what a user agent says of itself, in the words of the language:
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

// parseRef reads a use of a variable at the beginning of s, which begins with "$(", and
// how long it is. 0: it is none; what stands there is text.
func parseRef(s string) (r Ref, n int) {
	if !strings.HasPrefix(s, "$(") {
		return r, 0
	}
	i := 2
	for i < len(s) && (s[i] >= 'A' && s[i] <= 'Z' || s[i] == '_') {
		i++
	}
	r.Name = s[2:i]
	takes, known := takesKey[r.Name]
	if !known {
		return r, 0
	}
	if i < len(s) && s[i] == '{' {
		end := strings.IndexByte(s[i:], '}')
		if end < 0 || !takes {
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

// Escape is how a value is written where it lands.
type Escape uint8

// The escapes.
const (
	Plain Escape = iota // as it is: only for comparisons
	HTML                // in a page: & < > " ' as references
	URL                 // in an address: all but unreserved bytes as %XX
)

// Expand appends s with its variables replaced by their values, escaped.
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
		case e == URL && !isUnreserved(c) && c != '%': // what is escaped already stays so
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
