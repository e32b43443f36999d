package config

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"olympos.io/encoding/edn"
)

// The tags of a schema's fields:
//
//	edn:"aim"             (aim 400)
//	edn:"@"               a positional value, in the order of the fields
//	edn:"class"           on a slice of structs: (class ...), any number of times
//	edn:"...,required"    the value must be given
//	min:"0" max:"1"       bounds of a number
//	oneof:"free guarded"  the allowed words
//	def:"400"             the default
//
// A field of type Place is set to the position of the form.

// Place holds the positions of a form and of the keys in it.
type Place struct {
	Pos  Pos
	keys map[string]Pos
}

// Of returns the position of the first value of a key, or that of the form if the key is not given.
func (p Place) Of(key string) Pos {
	if at, ok := p.keys[key]; ok {
		return at
	}
	return p.Pos
}

// Given reports whether the form has the key.
func (p Place) Given(key string) bool {
	_, ok := p.keys[key]
	return ok
}

var placeType = reflect.TypeFor[Place]()

// Checker is implemented by settings with conditions that a schema cannot express.
type Checker interface {
	// Check appends the faults, with their positions.
	Check(faults *Faults)
}

// Read reads settings into the struct that v points to and overwrites it. Each
// top-level form sets a field. Read reports all faults. It calls Check, if v is
// a Checker, only if the settings conform to the schema.
func Read(file, src string, v any) error { return readInto([]Source{{file, src}}, v, nil) }

// Source is a text of settings and its name in faults.
type Source struct{ File, Text string }

// readInto is Read for settings that consist of several texts. It calls
// beforeCheck, if given, before Check.
func readInto(sources []Source, v any, beforeCheck func()) error {
	var forms []form
	d := &decoder{}
	for _, s := range sources {
		f, faults := readText(s.File, s.Text)
		forms = append(forms, f...)
		d.faults = append(d.faults, faults...)
	}
	top := reflect.ValueOf(v).Elem()
	top.SetZero()
	at := Pos{"", 1, 1}
	if len(sources) > 0 {
		at.File = sources[0].File
	}
	if wrong := wrongFileKind(top.Type(), forms); wrong != nil {
		return Faults{*wrong}
	}
	d.decodeStruct(top, forms, at, "")
	if len(d.faults) == 0 {
		if beforeCheck != nil {
			beforeCheck()
		}
		if c, ok := v.(Checker); ok {
			c.Check(&d.faults)
		}
	}
	return d.faults.Err()
}

// fileKinds describes each kind of file and names its readers, by the first word of the file.
var fileKinds = map[string]string{"router": "settings of a router: spool-router and the tools read them", "load": "a load: spool-load reads it",
	"day": "a day: spool-scenario run plays it", "stand": "a fleet of test servers: spool-testserver reads it", "service": "settings of a control service: spool-control reads them"}

// wrongFileKind returns a fault if the forms are those of a file of another kind. It replaces the
// faults that each of their keys would cause.
func wrongFileKind(t reflect.Type, forms []form) *Fault {
	if len(forms) == 0 || len(forms[0].list) == 0 {
		return nil
	}
	word := forms[0].list[0].word()
	named, _, _ := fieldsOf(t)
	if _, known := named[word]; known || fileKinds[word] == "" {
		return nil
	}
	what := "a file of another kind"
	for w, text := range fileKinds {
		if info, ok := named[w]; ok && info.required {
			what = text
		}
	}
	return &Fault{Pos: forms[0].list[0].pos, What: fmt.Sprintf("this file is %s", fileKinds[word]), Remedy: "expected: " + what}
}

type decoder struct{ faults Faults }

func (d *decoder) fault(p Pos, key, what, remedy string) {
	d.faults = append(d.faults, Fault{p, key, what, remedy})
}

type fieldInfo struct {
	index    int
	key      string
	required bool
	tag      reflect.StructTag
}

// schema is the schema of a struct, from the tags of its fields.
type schema struct {
	byKey      map[string]fieldInfo
	positional []fieldInfo
	placeIndex int
}

var schemas sync.Map // schema by reflect.Type

// fieldsOf returns the schema of a struct type: the fields by key, the positional fields in their
// order, and the index of the field of type Place, or -1.
func fieldsOf(t reflect.Type) (named map[string]fieldInfo, positional []fieldInfo, place int) {
	if s, ok := schemas.Load(t); ok {
		s := s.(schema)
		return s.byKey, s.positional, s.placeIndex
	}
	defer func() { schemas.Store(t, schema{named, positional, place}) }()
	named, place = map[string]fieldInfo{}, -1
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type == placeType {
			place = i
			continue
		}
		tag, ok := f.Tag.Lookup("edn")
		if !ok || tag == "-" {
			continue
		}
		key, opts, _ := strings.Cut(tag, ",")
		info := fieldInfo{index: i, key: key, required: opts == "required", tag: f.Tag}
		if key == "@" {
			info.key = strings.ToLower(f.Name)
			positional = append(positional, info)
		} else {
			named[key] = info
		}
	}
	return named, positional, place
}

// join appends a key to the path of its form.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "/" + key
}

// decodeStruct sets the fields of a struct from the forms of a list.
func (d *decoder) decodeStruct(v reflect.Value, forms []form, at Pos, path string) {
	named, positional, place := fieldsOf(v.Type())
	for _, info := range named {
		d.setDefault(v.Field(info.index), info, at)
	}
	for _, info := range positional {
		d.setDefault(v.Field(info.index), info, at)
	}
	keys := map[string]Pos{}
	nextPositional := 0
	for i := range forms {
		f := &forms[i]
		if !f.isList() {
			if nextPositional < len(positional) {
				info := positional[nextPositional]
				field := v.Field(info.index)
				if field.Kind() == reflect.Slice {
					d.appendElement(field, f, info, join(path, info.key))
				} else {
					d.decodeScalar(field, f, info, join(path, info.key))
					nextPositional++
				}
				if _, ok := keys[info.key]; !ok {
					keys[info.key] = f.pos
				}
				continue
			}
			d.fault(f.pos, path, fmt.Sprintf("value %s is not expected here", truncate(f.text)), knownKeys(named))
			continue
		}
		if len(f.list) == 0 || f.list[0].word() == "" {
			d.fault(f.pos, path, "a list must begin with a word", knownKeys(named))
			continue
		}
		key := f.list[0].word()
		info, ok := named[key]
		if !ok {
			remedy := knownKeys(named)
			if near := nearestKey(key, named); near != "" {
				remedy = fmt.Sprintf("did you mean %s?", near)
			}
			d.fault(f.list[0].pos, path, fmt.Sprintf("unknown key %q", truncate(key)), remedy)
			continue
		}
		field := v.Field(info.index)
		repeatable := field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct
		if first, twice := keys[key]; twice && !repeatable {
			d.fault(f.list[0].pos, join(path, key), fmt.Sprintf("given twice, first at %d:%d", first.Line, first.Col),
				"keep one of them")
			continue
		}
		if _, ok := keys[key]; !ok {
			keys[key] = f.list[0].pos
			if len(f.list) > 1 {
				keys[key] = f.list[1].pos
			}
		}
		d.decodeValue(field, f, info, join(path, key))
	}
	for _, info := range positional {
		if _, ok := keys[info.key]; info.required && !ok {
			d.fault(at, path, fmt.Sprintf("no %s given", info.key), "write it after the key")
		}
	}
	for key, info := range named {
		if _, ok := keys[key]; info.required && !ok {
			d.fault(at, join(path, key), "not given", fmt.Sprintf("add (%s ...)", key))
		}
	}
	if place >= 0 {
		v.Field(place).Set(reflect.ValueOf(Place{at, keys}))
	}
}

// setDefault sets a field to its default.
func (d *decoder) setDefault(field reflect.Value, info fieldInfo, at Pos) {
	if field.Kind() == reflect.Struct {
		discarded := &decoder{}
		discarded.decodeStruct(field, nil, at, "") // for the defaults only; a missing form may lack required keys
		return
	}
	def, ok := info.tag.Lookup("def")
	if !ok {
		return
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(def)
	case reflect.Bool:
		field.SetBool(def == "true")
	case reflect.Int, reflect.Int64:
		n, _ := strconv.ParseInt(def, 10, 64)
		field.SetInt(n)
	case reflect.Float64:
		x, _ := strconv.ParseFloat(def, 64)
		field.SetFloat(x)
	}
}

// decodeValue sets a field from a form (key ...).
func (d *decoder) decodeValue(field reflect.Value, f *form, info fieldInfo, path string) {
	args := f.list[1:]
	switch {
	case field.Kind() == reflect.Struct:
		d.decodeStruct(field, args, f.pos, path)
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
		elem := reflect.New(field.Type().Elem()).Elem()
		d.decodeStruct(elem, args, f.pos, path)
		field.Set(reflect.Append(field, elem))
	case field.Kind() == reflect.Slice:
		if len(args) == 0 {
			d.fault(f.pos, path, "no value given", fmt.Sprintf("write (%s value ...)", info.key))
		}
		for i := range args {
			d.appendElement(field, &args[i], info, path)
		}
	case field.Kind() == reflect.Bool && len(args) == 0:
		field.SetBool(true)
	case len(args) != 1:
		d.fault(f.pos, path, fmt.Sprintf("%d values given", len(args)), fmt.Sprintf("write (%s value)", info.key))
	default:
		d.decodeScalar(field, &args[0], info, path)
	}
}

// appendElement decodes a form and appends the value to a slice, unless the form has a fault.
func (d *decoder) appendElement(field reflect.Value, f *form, info fieldInfo, path string) {
	elem := reflect.New(field.Type().Elem()).Elem()
	before := len(d.faults)
	if d.decodeScalar(elem, f, info, path); len(d.faults) == before {
		field.Set(reflect.Append(field, elem))
	}
}

// decodeScalar sets a field of a scalar type from an atom.
func (d *decoder) decodeScalar(field reflect.Value, f *form, info fieldInfo, path string) {
	if f.isList() {
		d.fault(f.pos, path, "list instead of a value", "write a number, a word or a string")
		return
	}
	switch field.Kind() {
	case reflect.String:
		var s string
		switch v := f.atom.(type) {
		case string:
			s = v
		case edn.Symbol:
			s = string(v)
		case int64:
			s = f.text
		default:
			d.fault(f.pos, path, fmt.Sprintf("%s is not a word or a string", truncate(f.text)), "put it in double quotes")
			return
		}
		if list, ok := info.tag.Lookup("oneof"); ok && !contains(strings.Fields(list), s) {
			d.fault(f.pos, path, fmt.Sprintf("%q is not known here", s), "use one of: "+strings.Join(strings.Fields(list), ", "))
			return
		}
		field.SetString(s)
	case reflect.Bool:
		v, ok := f.atom.(bool)
		if !ok {
			d.fault(f.pos, path, fmt.Sprintf("%s is neither true nor false", truncate(f.text)), "write true or false")
			return
		}
		field.SetBool(v)
	case reflect.Int, reflect.Int64:
		v, ok := f.atom.(int64)
		if !ok {
			d.fault(f.pos, path, fmt.Sprintf("%s is not a whole number", truncate(f.text)), "write a whole number")
			return
		}
		if d.checkBounds(float64(v), f, info, path) {
			field.SetInt(v)
		}
	case reflect.Float64:
		var x float64
		switch v := f.atom.(type) {
		case int64:
			x = float64(v)
		case float64:
			x = v
		default:
			d.fault(f.pos, path, fmt.Sprintf("%s is not a number", truncate(f.text)), "write a number; durations are in milliseconds")
			return
		}
		if math.IsNaN(x) || math.IsInf(x, 0) {
			d.fault(f.pos, path, fmt.Sprintf("%s is not a finite number", truncate(f.text)), "write a finite number")
			return
		}
		if d.checkBounds(x, f, info, path) {
			field.SetFloat(x)
		}
	default:
		panic("config: schema field of kind " + field.Kind().String())
	}
}

// checkBounds reports whether a number is within the bounds of its field, and adds a fault if not.
func (d *decoder) checkBounds(x float64, f *form, info fieldInfo, path string) bool {
	lo, hasLo := info.tag.Lookup("min")
	hi, hasHi := info.tag.Lookup("max")
	low, _ := strconv.ParseFloat(lo, 64)
	high, _ := strconv.ParseFloat(hi, 64)
	switch {
	case hasLo && hasHi && (x < low || x > high):
		d.fault(f.pos, path, truncate(f.text)+" is out of bounds", fmt.Sprintf("it must be from %s to %s", lo, hi))
	case hasLo && x < low:
		d.fault(f.pos, path, truncate(f.text)+" is too small", fmt.Sprintf("it must be %s or more", lo))
	case hasHi && x > high:
		d.fault(f.pos, path, truncate(f.text)+" is too large", fmt.Sprintf("it must be %s or less", hi))
	default:
		return true
	}
	return false
}

func contains(list []string, s string) bool {
	for _, element := range list {
		if element == s {
			return true
		}
	}
	return false
}

// knownKeys returns the remedy that lists the keys of a form.
func knownKeys(named map[string]fieldInfo) string {
	if len(named) == 0 {
		return "no keys are known here"
	}
	return "known keys: " + strings.Join(sortedKeys(named), ", ")
}

// nearestKey returns the key with the smallest edit distance from a word, or "" if none is within
// two edits.
func nearestKey(word string, named map[string]fieldInfo) (best string) {
	least := 3
	for _, key := range sortedKeys(named) {
		if n := editDistance(word, key); n < least {
			best, least = key, n
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diag := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diag, row[j] = row[j], min(row[j]+1, row[j-1]+1, diag+cost)
		}
	}
	return row[len(b)]
}
