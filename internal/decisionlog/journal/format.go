// Package journal records the input and the output of a router's decision module, so that
// the decisions can be replayed: every event with its time, every action, the settings and
// the seed. The format is described in docs/journal-format.md.
//
// The writer never blocks the router's event loop. It counts the records that it cannot
// take, and writes a gap record in their place.
package journal

import (
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	spool "indigospool"
	"indigospool/internal/proxy/learnedstate"
)

// FormatVersion is the version of the format that is written. A Reader reads this version and
// all earlier ones.
const FormatVersion = 1

// Extension is the file name extension of segments.
const Extension = ".spj"

const (
	magic             = "SPOOLJ" // followed by two digits of the format's version
	segmentHeaderSize = 8        // bytes: magic and version
	recordHeaderSize  = 8        // bytes: length and checksum of the record, little-endian
	maxRecordSize     = 64 << 20 // bytes, without the header
	maxTableStrings   = 1 << 16  // a string table with at least this many strings is cleared before the next record
	segmentNameFormat = "%012d"  // formats the segment's number
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	KindSegment     Kind = iota // the first record of each segment
	KindRouterStart             // a router has started
	KindHandled                 // the module has handled an event
	KindSettings                // the module's settings have changed
	KindGap                     // records were lost here
)

// RouterStart records the start of a router. The records up to the next RouterStart are of
// one run of the router.
type RouterStart struct {
	_               struct{} `cbor:",toarray"`
	Name            string   // of the router
	Program         string   // version of the program
	UnixMillis      int64    // time of the start
	Seed            uint64
	SettingsVersion int64  // 0: the settings are from a file
	Settings        string // in canonical form
}

// segment is the content of a segment's first record.
type segment struct {
	_     struct{} `cbor:",toarray"`
	Index int64    // number of the segment in the journal
	First int64    // number of records that the same writer wrote before this segment
}

// settings records a change of the settings of a running router.
type settings struct {
	_       struct{} `cbor:",toarray"`
	T       float64  // ms on the router's clock
	Version int64
	Text    string
	Actions []action
}

// stringIndex is the index of a string in the segment's string table.
type stringIndex = uint64

// event is an encoded event. The event's kind determines the order of its fields; new fields are
// added at the end without a new version of the format.
type event struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Fields []any
}

type action = event

// handled records an event and the actions that the module returned for it.
type handled struct {
	_       struct{} `cbor:",toarray"`
	T       float64  // ms on the router's clock
	Event   event
	Actions []action
}

// record is a record of any kind. The strings that it adds to the segment's string table are
// outside of its body, so that the records after it can be read if its kind is unknown.
type record struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Names []string // added to the string table
	Body  cbor.RawMessage
}

var (
	enc cbor.UserBufferEncMode
	dec cbor.DecMode
)

func init() {
	var err error
	options := cbor.CoreDetEncOptions() // floats are encoded in the shortest form without loss
	if enc, err = options.UserBufferEncMode(); err != nil {
		panic(err)
	}
	if dec, err = (cbor.DecOptions{MaxArrayElements: 1 << 20}).DecMode(); err != nil {
		panic(err)
	}
}

// stringTable is the string table of a segment: strings are written once, and then referred
// to by their index. A full table is cleared before the next record.
type stringTable struct {
	indexes map[string]uint64 // used by the writer
	added   []string          // used by the writer: strings that the current record adds
	strings []string          // used by the reader
}

// beginRecord prepares the table for writing the next record.
func (t *stringTable) beginRecord() {
	if t.added = t.added[:0]; t.indexes == nil {
		t.indexes = map[string]uint64{}
	} else if len(t.indexes) >= maxTableStrings {
		clear(t.indexes)
	}
}

// intern returns the index of a string, and adds the string to the table if necessary.
func (t *stringTable) intern(s string) stringIndex {
	i, ok := t.indexes[s]
	if !ok {
		i = uint64(len(t.indexes))
		t.indexes[s] = i
		t.added = append(t.added, s)
	}
	return i
}

// add adds the strings of a record that has been read.
func (t *stringTable) add(added []string) {
	if len(t.strings) >= maxTableStrings {
		t.strings = t.strings[:0]
	}
	t.strings = append(t.strings, added...)
}

// lookup returns the string with the decoded index v.
func (t *stringTable) lookup(v any) (string, error) {
	i, ok := v.(uint64)
	if !ok || i >= uint64(len(t.strings)) {
		return "", fmt.Errorf("journal: string %v is not in the table of %d strings", v, len(t.strings))
	}
	return t.strings[i], nil
}

// Kinds of events and actions. Numbers are never reused.
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
	evRecalled // contains learned state, encoded by package learnedstate
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

// ErrUnknown is returned for a kind of record, event or action that this program does not know,
// and for a Recalled event whose learned state cannot be decoded.
var ErrUnknown = errors.New("journal: unknown kind")

// The types for encoding. They have the same array forms as the types for decoding, but typed
// fields, which are cheaper to encode than fields of type any. A type whose name begins with f
// holds the fields of one kind of event or action, or of several kinds with the same fields.
type (
	encoded struct {
		_      struct{} `cbor:",toarray"`
		Kind   uint8
		Fields any
	}
	encodedHandled struct {
		_       struct{} `cbor:",toarray"`
		T       float64
		Event   encoded
		Actions []encoded
	}
	encodedSettings struct {
		_       struct{} `cbor:",toarray"`
		T       float64
		Version int64
		Text    string
		Actions []encoded
	}
	encodedRecord struct {
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
		_    struct{} `cbor:",toarray"`
		Name stringIndex
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

// encodeEvent returns an event in its encoded form.
func (t *stringTable) encodeEvent(e spool.Event) (encoded, error) {
	switch e := e.(type) {
	case spool.Members:
		rows := make([]fRow, len(e.Rows))
		for i, r := range e.Rows {
			rows[i] = fRow{ID: t.intern(r.ID), Zone: t.intern(r.Zone), Kind: t.intern(r.Kind), Cell: r.Cell, State: int(r.State), Size: r.Size, ReadyAt: r.ReadyAt}
		}
		return encoded{Kind: evMembers, Fields: &fMembers{Full: e.Full, Lost: e.Lost, Rows: rows}}, nil
	case spool.Request:
		return encoded{Kind: evRequest, Fields: &fRequest{ID: t.intern(e.ID), Class: t.intern(e.Class), Tenant: t.intern(e.Tenant), Object: t.intern(e.Object),
			Deadline: e.Deadline, KB: e.KB, Group: e.Group, Part: e.Part, Retry: e.Retry, Write: e.Write}}, nil
	case spool.Outcome:
		return encoded{Kind: evOutcome, Fields: &fOutcome{ID: t.intern(e.ID), Cache: t.intern(e.Cache), Attempt: e.Attempt, Result: int(e.Result),
			Took: e.Took, Last: e.Last, Note: int(e.Note), Waited: e.Waited, Load: e.Load}}, nil
	case spool.Started:
		return encoded{Kind: evStarted, Fields: &fStarted{ID: t.intern(e.ID), Cache: t.intern(e.Cache), Attempt: e.Attempt}}, nil
	case spool.Gone:
		return encoded{Kind: evGone, Fields: &fName{Name: t.intern(e.ID)}}, nil
	case spool.Purge:
		return encoded{Kind: evPurge, Fields: &fPurge{Object: t.intern(e.Object), Group: e.Group, Age: e.Age}}, nil
	case spool.Timer:
		return encoded{Kind: evTimer, Fields: &fToken{Token: e.Token}}, nil
	case spool.Probed:
		return encoded{Kind: evProbed, Fields: &fProbed{Cache: t.intern(e.Cache), OK: e.OK, Load: e.Load}}, nil
	case spool.Message:
		return encoded{Kind: evMessage, Fields: &fMessage{From: e.From, Text: e.Text}}, nil
	}
	return t.encodeOtherEvent(e)
}

// encodeOtherEvent continues encodeEvent for the rarer events.
func (t *stringTable) encodeOtherEvent(e spool.Event) (encoded, error) {
	switch e := e.(type) {
	case spool.Recalled:
		b, err := learnedstate.EncodeModule(e.Memory)
		return encoded{Kind: evRecalled, Fields: &fBytes{Bytes: b}}, err
	case spool.Stalled:
		return encoded{Kind: evStalled, Fields: &fStalled{ID: t.intern(e.ID), Attempt: e.Attempt, On: e.On}}, nil
	case spool.Retired:
		return encoded{Kind: evRetired, Fields: &fBool{On: e.On}}, nil
	}
	return encoded{}, fmt.Errorf("%w of event: %T", ErrUnknown, e)
}

// encodeAction returns an action in its encoded form.
func (t *stringTable) encodeAction(a spool.Action) (encoded, error) {
	switch a := a.(type) {
	case spool.Send:
		flags := 0
		for i, on := range []bool{a.Join, a.Held, a.Renew} {
			if on {
				flags |= 1 << i
			}
		}
		return encoded{Kind: actSend, Fields: &fSend{ID: t.intern(a.ID), Cache: t.intern(a.Cache), Source: t.intern(a.Source), Keep: a.Keep,
			Age: a.Age, Timeout: a.Timeout, Flags: flags, Within: a.Within}}, nil
	case spool.Refuse:
		return encoded{Kind: actRefuse, Fields: &fRefuse{ID: t.intern(a.ID), After: a.After}}, nil
	case spool.Fail:
		return encoded{Kind: actFail, Fields: &fName{Name: t.intern(a.ID)}}, nil
	case spool.Cancel:
		return encoded{Kind: actCancel, Fields: &fCancel{ID: t.intern(a.ID), Attempt: a.Attempt}}, nil
	case spool.Wake:
		return encoded{Kind: actWake, Fields: &fWake{In: a.In, Token: a.Token}}, nil
	case spool.Probe:
		return encoded{Kind: actProbe, Fields: &fName{Name: t.intern(a.Cache)}}, nil
	case spool.Watch:
		return encoded{Kind: actWatch, Fields: &fNone{}}, nil
	case spool.Fetch:
		return encoded{Kind: actFetch, Fields: &fNone{}}, nil
	}
	return encoded{}, fmt.Errorf("%w of action: %T", ErrUnknown, a)
}

// fields decodes the fields of an event, an action or a row of members in order. Fields that a later version of
// the format has added at the end are ignored. After the first error, its methods return
// zero values.
type fields struct {
	table    *stringTable
	values   []any
	consumed int // number of values that were returned by next
	err      error
}

func (f *fields) next() any {
	if f.err != nil {
		return nil
	}
	if f.consumed >= len(f.values) {
		f.err = fmt.Errorf("journal: an event, an action or a row of members has %d fields, want at least %d", len(f.values), f.consumed+1)
		return nil
	}
	f.consumed++
	return f.values[f.consumed-1]
}

// typeError records that the value v, returned last, does not have the expected type. Fields are
// counted from 1, separately in each row of members.
func (f *fields) typeError(v any, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("journal: field %d has type %T, want %s", f.consumed, v, want)
	}
}

// name returns the string that the next field refers to.
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
		f.typeError(v, "an integer")
	}
	return 0
}

func (f *fields) bool() bool {
	v, ok := f.next().(bool)
	if !ok {
		f.typeError(v, "a boolean")
	}
	return v
}

func (f *fields) text() string {
	v, ok := f.next().(string)
	if !ok {
		f.typeError(v, "a string")
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

// decodeEvent is the inverse of encodeEvent.
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
			return nil, fmt.Errorf("journal: the learned state of a Recalled event is not a byte string")
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

// decodeAction is the inverse of encodeAction.
func (t *stringTable) decodeAction(a action) (spool.Action, error) {
	f := &fields{table: t, values: a.Fields}
	var out spool.Action
	switch a.Kind {
	case actSend:
		s := spool.Send{ID: f.name(), Cache: f.name(), Source: f.name(), Keep: int(f.int()), Age: f.float(), Timeout: f.float()}
		flags := f.int()
		s.Join, s.Held, s.Renew = flags&1 != 0, flags&2 != 0, flags&4 != 0
		if f.consumed < len(f.values) { // absent in journals that were written before the field was added
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
