package config

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"olympos.io/encoding/edn"
)

// Print returns settings in their canonical form: fields in the order of the
// schema, one form per line, without values that equal their default. Reading
// the result returns the same settings.
func Print(v any) string {
	var b strings.Builder
	top := reflect.ValueOf(v)
	for top.Kind() == reflect.Pointer {
		top = top.Elem()
	}
	printFields(&b, top, 0, true)
	return strings.TrimLeft(b.String(), "\n") + "\n"
}

func printFields(b *strings.Builder, v reflect.Value, depth int, top bool) {
	t := v.Type()
	_, positional, _ := fieldsOf(t)
	for _, info := range positional {
		field := v.Field(info.index)
		if field.Kind() == reflect.Slice {
			for i := range field.Len() {
				b.WriteString(" " + atomText(field.Index(i)))
			}
		} else if !field.IsZero() || info.required {
			b.WriteString(" " + atomText(field))
		}
	}
	for i := range t.NumField() {
		tag, ok := t.Field(i).Tag.Lookup("edn")
		key, opts, _ := strings.Cut(tag, ",")
		if !ok || key == "@" || key == "-" {
			continue
		}
		field := v.Field(i)
		open := func() {
			b.WriteString("\n" + strings.Repeat("  ", depth) + "(" + key)
		}
		switch {
		case field.Kind() == reflect.Struct:
			var inner strings.Builder
			printFields(&inner, field, depth+1, false)
			if inner.Len() > 0 {
				open()
				b.WriteString(inner.String() + ")")
			}
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			for k := range field.Len() {
				open()
				printFields(b, field.Index(k), depth+1, false)
				b.WriteString(")")
			}
		case field.Kind() == reflect.Slice:
			if field.Len() > 0 {
				open()
				for k := range field.Len() {
					b.WriteString(" " + atomText(field.Index(k)))
				}
				b.WriteString(")")
			}
		default:
			def, has := t.Field(i).Tag.Lookup("def")
			same := has && plainText(field) == def || !has && field.IsZero()
			if !same || opts == "required" {
				open()
				b.WriteString(" " + atomText(field) + ")")
			}
		}
	}
}

// plainText formats a value without quotes, as in a def tag.
func plainText(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64)
	}
	return fmt.Sprint(v.Interface())
}

// atomText formats a value as an atom. A string is quoted unless it is a valid symbol.
func atomText(v reflect.Value) string {
	if v.Kind() != reflect.String {
		return plainText(v)
	}
	s := v.String()
	var back any
	if edn.UnmarshalString(s, &back) == nil {
		if sym, ok := back.(edn.Symbol); ok && string(sym) == s && !strings.ContainsAny(s, "(){}[]\";, \n") {
			return s
		}
	}
	out, err := edn.Marshal(s)
	if err != nil {
		return strconv.Quote(s)
	}
	return string(out)
}

func sortedKeys(named map[string]fieldInfo) []string {
	keys := make([]string, 0, len(named))
	for k := range named {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
