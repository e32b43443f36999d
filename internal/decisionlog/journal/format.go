// Package journal records what a router's decision module is told and what it
// answers, so that it can be told the same again: every event with its time,
// every action, the settings and the seed. docs/journal-format.md is the format.
//
// It decides nothing. The writer never makes a router's loop wait: what it can't
// take it counts, and marks as a gap.
package journal

import (
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	spool "indigospool"
	"indigospool/internal/proxy/learnedstate"
)

// FormatVersion is the version of the format that is written. Readers read it
// and all before it.
const FormatVersion = 1

// Extension is that of a segment's file.
const Extension = ".spj"

const (
	magic             = "SPOOLJ" // then two digits of the version
	segmentHeaderSize = 8        // of a segment's start
	recordHeaderSize  = 8        // length and checksum of a record, little-endian
	maxRecordSize     = 64 << 20 // of a record
	maxTableStrings   = 1 << 16  // strings of a segment's table; then it begins anew
	segmentNameFormat = "%012d"  // its number
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind says what a record is of.
type Kind uint8

// The kinds.
const (
	KindSegment     Kind = iota // the first of each segment
	KindRouterStart             // a router has started
	KindHandled                 // the module was told an event, and answered
	KindSettings                // it was told other settings
	KindGap                     // so many records were lost here
)

// RouterStart is a router's start.
type RouterStart struct {
	_               struct{} `cbor:",toarray"`
	Name            string   // the router's
	Program         string   // version of the program
	UnixMillis      int64    // Unix time, ms
	Seed            uint64
	SettingsVersion int64  // of the version of the settings, 0: a file
	Settings        string // canonical
}

// segment is what a segment begins with.
type segment struct {
	_     struct{} `cbor:",toarray"`
	Index int64    // its number in the journal
	First int64    // number of its first record, from 0 in the journal
}

// settings are other settings while a router runs.
type settings struct {
	_       struct{} `cbor:",toarray"`
	T       float64
	Number  int64
	Text    string
	Actions []action
}

// stringIndex is a string's number in the segment's table.
type stringIndex = uint64

// event is one event: its kind, and the fields of that kind in fixed places.
type event struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Fields []any
}

type action = event

// handled is an event and its answer.
type handled struct {
	_       struct{} `cbor:",toarray"`
	T       float64
	Event   event
	Actions []action
}

// record is any record: its kind, the strings that come into the segment's table
// with it, and its content. The strings stand outside of the content, so that a
// record of an unknown kind takes nothing from those behind it.
type record struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Names []string
	Body  cbor.RawMessage
}

var (
	enc cbor.UserBufferEncMode
	dec cbor.DecMode
)

func init() {
	var err error
	options := cbor.CoreDetEncOptions() // floats in the shortest form that loses nothing
	if enc, err = options.UserBufferEncMode(); err != nil {
		panic(err)
	}
	if dec, err = (cbor.DecOptions{MaxArrayElements: 1 << 20}).DecMode(); err != nil {
		panic(err)
	}
}

// stringTable is the table of a segment's strings. It begins anew with the record that
// finds it full.
type stringTable struct {
	indexes map[string]uint64 // of a writer
	added   []string          // of the record that is being written
	strings []string          // of a reader
}

// beginRecord begins a record.
func (t *stringTable) beginRecord() {
	if t.added = t.added[:0]; t.indexes == nil {
		t.indexes = map[string]uint64{}
	} else if len(t.indexes) >= maxTableStrings {
		clear(t.indexes)
	}
}

func (t *stringTable) intern(s string) stringIndex {
	i, ok := t.indexes[s]
	if !ok {
		i = uint64(len(t.indexes))
		t.indexes[s] = i
		t.added = append(t.added, s)
	}
	return i
}

// add takes the strings of a record that is read.
func (t *stringTable) add(added []string) {
	if len(t.strings) >= maxTableStrings {
		t.strings = t.strings[:0]
	}
	t.strings = append(t.strings, added...)
}

func (t *stringTable) lookup(v any) (string, error) {
	i, ok := v.(uint64)
	if !ok || i >= uint64(len(t.strings)) {
		return "", fmt.Errorf("journal: name %v of %d", v, len(t.strings))
	}
	return t.strings[i], nil
}

// Kinds of events and actions. Numbers are never used anew.
const (
	evMembers uint8 = iota + 1
	evRequest
	evOutcome
	evStarted
	evGone
	evPurge
	evTimer
	evProbed
	evMessage
	evRecalled
	evRetired
	evStalled
)

const (
	actSend uint8 = iota + 1
	actRefuse
	actFail
	actCancel
	actWake
	actProbe
	actWatch
	actFetch
)

// ErrUnknown is a kind of event or action that this program does not know.
var ErrUnknown = errors.New("journal: unknown kind")

// What is written: the same arrays as are read, of fields whose types are known,
// which costs less than fields that are anything.
type (
	written struct {
		_      struct{} `cbor:",toarray"`
		Kind   uint8
		Fields any
	}
	writtenHandled struct {
		_       struct{} `cbor:",toarray"`
		T       float64
		Event   written
		Actions []written
	}
	writtenSettings struct {
		_       struct{} `cbor:",toarray"`
		T       float64
		Number  int64
		Text    string
		Actions []written
	}
	writtenRecord struct {
		_     struct{} `cbor:",toarray"`
		Kind  Kind
		Names []string
		Body  any
	}
	fRow struct {
		_              struct{} `cbor:",toarray"`
		ID, Zone, Kind stringIndex
		Cell, State    int
		Size, ReadyAt  float64
	}
	fMembers struct {
		_          struct{} `cbor:",toarray"`
		Full, Lost bool
		Rows       []fRow
	}
	fRequest struct {
		_                         struct{} `cbor:",toarray"`
		ID, Class, Tenant, Object stringIndex
		Deadline, KB              float64
		Group, Part               int
		Retry, Write              bool
	}
	fOutcome struct {
		_               struct{} `cbor:",toarray"`
		ID, Cache       stringIndex
		Attempt, Result int
		Took            float64
		Last            bool
		Note            int
		Waited          float64
		Load            []float64
	}
	fStarted struct {
		_         struct{} `cbor:",toarray"`
		ID, Cache stringIndex
		Attempt   int
	}
	fName struct {
		_  struct{} `cbor:",toarray"`
		ID stringIndex
	}
	fPurge struct {
		_      struct{} `cbor:",toarray"`
		Object stringIndex
		Group  int
		Age    float64
	}
	fToken struct {
		_     struct{} `cbor:",toarray"`
		Token int64
	}
	fProbed struct {
		_     struct{} `cbor:",toarray"`
		Cache stringIndex
		OK    bool
		Load  []float64
	}
	fMessage struct {
		_    struct{} `cbor:",toarray"`
		From int
		Text string
	}
	fSend struct {
		_                 struct{} `cbor:",toarray"`
		ID, Cache, Source stringIndex
		Keep              int
		Age, Timeout      float64
		Flags             int
		Within            float64
	}
	fRefuse struct {
		_     struct{} `cbor:",toarray"`
		ID    stringIndex
		After float64
	}
	fCancel struct {
		_       struct{} `cbor:",toarray"`
		ID      stringIndex
		Attempt int
	}
	fWake struct {
		_     struct{} `cbor:",toarray"`
		In    float64
		Token int64
	}
	fStalled struct {
		_       struct{} `cbor:",toarray"`
		ID      stringIndex
		Attempt int
		On      bool
	}
	fBytes struct {
		_     struct{} `cbor:",toarray"`
		Bytes []byte
	}
	fBool struct {
		_  struct{} `cbor:",toarray"`
		On bool
	}
	fNone struct {
		_ struct{} `cbor:",toarray"`
	}
)

func (t *stringTable) encodeEvent(e spool.Event) (written, error) {
	switch e := e.(type) {
	case spool.Members:
		rows := make([]fRow, len(e.Rows))
		for i, r := range e.Rows {
			rows[i] = fRow{ID: t.intern(r.ID), Zone: t.intern(r.Zone), Kind: t.intern(r.Kind), Cell: r.Cell, State: int(r.State), Size: r.Size, ReadyAt: r.ReadyAt}
		}
		return written{Kind: evMembers, Fields: &fMembers{Full: e.Full, Lost: e.Lost, Rows: rows}}, nil
	case spool.Request:
		return written{Kind: evRequest, Fields: &fRequest{ID: t.intern(e.ID), Class: t.intern(e.Class), Tenant: t.intern(e.Tenant), Object: t.intern(e.Object),
			Deadline: e.Deadline, KB: e.KB, Group: e.Group, Part: e.Part, Retry: e.Retry, Write: e.Write}}, nil
	case spool.Outcome:
		return written{Kind: evOutcome, Fields: &fOutcome{ID: t.intern(e.ID), Cache: t.intern(e.Cache), Attempt: e.Attempt, Result: int(e.Result),
			Took: e.Took, Last: e.Last, Note: int(e.Note), Waited: e.Waited, Load: e.Load}}, nil
	case spool.Started:
		return written{Kind: evStarted, Fields: &fStarted{ID: t.intern(e.ID), Cache: t.intern(e.Cache), Attempt: e.Attempt}}, nil
	case spool.Gone:
		return written{Kind: evGone, Fields: &fName{ID: t.intern(e.ID)}}, nil
	case spool.Purge:
		return written{Kind: evPurge, Fields: &fPurge{Object: t.intern(e.Object), Group: e.Group, Age: e.Age}}, nil
	case spool.Timer:
		return written{Kind: evTimer, Fields: &fToken{Token: e.Token}}, nil
	case spool.Probed:
		return written{Kind: evProbed, Fields: &fProbed{Cache: t.intern(e.Cache), OK: e.OK, Load: e.Load}}, nil
	case spool.Message:
		return written{Kind: evMessage, Fields: &fMessage{From: e.From, Text: e.Text}}, nil
	}
	return t.encodeOtherEvent(e)
}

func (t *stringTable) encodeOtherEvent(e spool.Event) (written, error) {
	switch e := e.(type) {
	case spool.Recalled:
		b, err := learnedstate.EncodeModule(e.Memory)
		return written{Kind: evRecalled, Fields: &fBytes{Bytes: b}}, err
	case spool.Stalled:
		return written{Kind: evStalled, Fields: &fStalled{ID: t.intern(e.ID), Attempt: e.Attempt, On: e.On}}, nil
	case spool.Retired:
		return written{Kind: evRetired, Fields: &fBool{On: e.On}}, nil
	}
	return written{}, fmt.Errorf("%w of event: %T", ErrUnknown, e)
}

func (t *stringTable) encodeAction(a spool.Action) (written, error) {
	switch a := a.(type) {
	case spool.Send:
		flags := 0
		for i, on := range []bool{a.Join, a.Held, a.Renew} {
			if on {
				flags |= 1 << i
			}
		}
		return written{Kind: actSend, Fields: &fSend{ID: t.intern(a.ID), Cache: t.intern(a.Cache), Source: t.intern(a.Source), Keep: a.Keep,
			Age: a.Age, Timeout: a.Timeout, Flags: flags, Within: a.Within}}, nil
	case spool.Refuse:
		return written{Kind: actRefuse, Fields: &fRefuse{ID: t.intern(a.ID), After: a.After}}, nil
	case spool.Fail:
		return written{Kind: actFail, Fields: &fName{ID: t.intern(a.ID)}}, nil
	case spool.Cancel:
		return written{Kind: actCancel, Fields: &fCancel{ID: t.intern(a.ID), Attempt: a.Attempt}}, nil
	case spool.Wake:
		return written{Kind: actWake, Fields: &fWake{In: a.In, Token: a.Token}}, nil
	case spool.Probe:
		return written{Kind: actProbe, Fields: &fName{ID: t.intern(a.Cache)}}, nil
	case spool.Watch:
		return written{Kind: actWatch, Fields: &fNone{}}, nil
	case spool.Fetch:
		return written{Kind: actFetch, Fields: &fNone{}}, nil
	}
	return written{}, fmt.Errorf("%w of action: %T", ErrUnknown, a)
}

// fields takes the fields of an event or action one after the other. Fields that
// a later version of the format has added at the end are passed over.
type fields struct {
	table    *stringTable
	values   []any
	consumed int
	err      error
}

func (f *fields) next() any {
	if f.err != nil {
		return nil
	}
	if f.consumed >= len(f.values) {
		f.err = fmt.Errorf("journal: a record has %d fields, more are wanted", len(f.values))
		return nil
	}
	f.consumed++
	return f.values[f.consumed-1]
}

func (f *fields) typeError(v any, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("journal: field %d is %T, where %s is wanted", f.consumed, v, want)
	}
}

func (f *fields) name() string {
	v := f.next()
	if f.err != nil {
		return ""
	}
	s, err := f.table.lookup(v)
	if f.err = err; err != nil {
		return ""
	}
	return s
}

func (f *fields) float() float64 {
	switch v := f.next().(type) {
	case float64:
		return v
	case nil:
		f.typeError(nil, "a number")
	default:
		f.typeError(v, "a number")
	}
	return 0
}

func (f *fields) int() int64 {
	switch v := f.next().(type) {
	case uint64:
		return int64(v)
	case int64:
		return v
	default:
		f.typeError(v, "a whole number")
	}
	return 0
}

func (f *fields) bool() bool {
	v, ok := f.next().(bool)
	if !ok {
		f.typeError(v, "true or false")
	}
	return v
}

func (f *fields) text() string {
	v, ok := f.next().(string)
	if !ok {
		f.typeError(v, "a text")
	}
	return v
}

func (f *fields) floats() []float64 {
	v := f.next()
	if v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		f.typeError(v, "a list")
		return nil
	}
	var out []float64
	for _, one := range list {
		x, ok := one.(float64)
		if !ok {
			f.typeError(one, "a number")
		}
		out = append(out, x)
	}
	return out
}

func (t *stringTable) decodeEvent(e event) (spool.Event, error) {
	f := &fields{table: t, values: e.Fields}
	var out spool.Event
	switch e.Kind {
	case evMembers:
		m := spool.Members{Full: f.bool(), Lost: f.bool()}
		rows, ok := f.next().([]any)
		if !ok {
			f.typeError(rows, "a list")
		}
		for _, r := range rows {
			list, ok := r.([]any)
			if !ok {
				f.typeError(r, "a row")
				break
			}
			g := &fields{table: t, values: list, err: f.err}
			m.Rows = append(m.Rows, spool.Member{ID: g.name(), Zone: g.name(), Kind: g.name(), Cell: int(g.int()),
				State: spool.State(g.int()), Size: g.float(), ReadyAt: g.float()})
			f.err = g.err
		}
		out = m
	case evRequest:
		out = spool.Request{ID: f.name(), Class: f.name(), Tenant: f.name(), Object: f.name(), Deadline: f.float(), KB: f.float(),
			Group: int(f.int()), Part: int(f.int()), Retry: f.bool(), Write: f.bool()}
	case evOutcome:
		out = spool.Outcome{ID: f.name(), Cache: f.name(), Attempt: int(f.int()), Result: spool.Result(f.int()), Took: f.float(),
			Last: f.bool(), Note: spool.Note(f.int()), Waited: f.float(), Load: f.floats()}
	case evStarted:
		out = spool.Started{ID: f.name(), Cache: f.name(), Attempt: int(f.int())}
	case evGone:
		out = spool.Gone{ID: f.name()}
	case evPurge:
		out = spool.Purge{Object: f.name(), Group: int(f.int()), Age: f.float()}
	case evTimer:
		out = spool.Timer{Token: f.int()}
	case evProbed:
		out = spool.Probed{Cache: f.name(), OK: f.bool(), Load: f.floats()}
	case evMessage:
		out = spool.Message{From: int(f.int()), Text: f.text()}
	case evRecalled:
		b, ok := f.next().([]byte)
		if !ok {
			return nil, fmt.Errorf("journal: a recalled memory is no bytes")
		}
		m, err := learnedstate.DecodeModule(b)
		if err != nil {
			return nil, fmt.Errorf("%w of event: %w", ErrUnknown, err)
		}
		out = spool.Recalled{Memory: m}
	case evStalled:
		out = spool.Stalled{ID: f.name(), Attempt: int(f.int()), On: f.bool()}
	case evRetired:
		out = spool.Retired{On: f.bool()}
	default:
		return nil, fmt.Errorf("%w of event: %d", ErrUnknown, e.Kind)
	}
	return out, f.err
}

func (t *stringTable) decodeAction(a action) (spool.Action, error) {
	f := &fields{table: t, values: a.Fields}
	var out spool.Action
	switch a.Kind {
	case actSend:
		s := spool.Send{ID: f.name(), Cache: f.name(), Source: f.name(), Keep: int(f.int()), Age: f.float(), Timeout: f.float()}
		flags := f.int()
		s.Join, s.Held, s.Renew = flags&1 != 0, flags&2 != 0, flags&4 != 0
		if f.consumed < len(f.values) { // journals from before it was told end here
			s.Within = f.float()
		}
		out = s
	case actRefuse:
		out = spool.Refuse{ID: f.name(), After: f.float()}
	case actFail:
		out = spool.Fail{ID: f.name()}
	case actCancel:
		out = spool.Cancel{ID: f.name(), Attempt: int(f.int())}
	case actWake:
		out = spool.Wake{In: f.float(), Token: f.int()}
	case actProbe:
		out = spool.Probe{Cache: f.name()}
	case actWatch:
		out = spool.Watch{}
	case actFetch:
		out = spool.Fetch{}
	default:
		return nil, fmt.Errorf("%w of action: %d", ErrUnknown, a.Kind)
	}
	return out, f.err
}
