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
	magic      = "SPOOLJ" // then two digits of the version
	headLen    = 8        // of a segment's start
	frameHead  = 8        // length and checksum of a record, little-endian
	maxFrame   = 64 << 20 // of a record
	namesKept  = 1 << 16  // strings of a segment's table; then it begins anew
	partOfName = "%012d"  // its number
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
	_          struct{} `cbor:",toarray"`
	Name       string   // the router's
	Program    string   // version of the program
	UnixMillis int64    // Unix time, ms
	Seed       uint64
	Number     int64  // of the version of the settings, 0: a file
	Settings   string // canonical
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

// name is a string's number in the segment's table.
type name = uint64

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
	o := cbor.CoreDetEncOptions() // floats in the shortest form that loses nothing
	if enc, err = o.UserBufferEncMode(); err != nil {
		panic(err)
	}
	if dec, err = (cbor.DecOptions{MaxArrayElements: 1 << 20}).DecMode(); err != nil {
		panic(err)
	}
}

// names is the table of a segment's strings. It begins anew with the record that
// finds it full.
type names struct {
	index map[string]uint64 // of a writer
	fresh []string          // of the record that is being written
	list  []string          // of a reader
}

// begin begins a record.
func (n *names) begin() {
	if n.fresh = n.fresh[:0]; n.index == nil {
		n.index = map[string]uint64{}
	} else if len(n.index) >= namesKept {
		clear(n.index)
	}
}

func (n *names) put(s string) name {
	i, ok := n.index[s]
	if !ok {
		i = uint64(len(n.index))
		n.index[s] = i
		n.fresh = append(n.fresh, s)
	}
	return i
}

// add takes the strings of a record that is read.
func (n *names) add(fresh []string) {
	if len(n.list) >= namesKept {
		n.list = n.list[:0]
	}
	n.list = append(n.list, fresh...)
}

func (n *names) get(v any) (string, error) {
	i, ok := v.(uint64)
	if !ok || i >= uint64(len(n.list)) {
		return "", fmt.Errorf("journal: name %v of %d", v, len(n.list))
	}
	return n.list[i], nil
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
		ID, Zone, Kind name
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
		ID, Class, Tenant, Object name
		Deadline, KB              float64
		Group, Part               int
		Retry, Write              bool
	}
	fOutcome struct {
		_               struct{} `cbor:",toarray"`
		ID, Cache       name
		Attempt, Result int
		Took            float64
		Last            bool
		Note            int
		Waited          float64
		Load            []float64
	}
	fStarted struct {
		_         struct{} `cbor:",toarray"`
		ID, Cache name
		Attempt   int
	}
	fName struct {
		_  struct{} `cbor:",toarray"`
		ID name
	}
	fPurge struct {
		_      struct{} `cbor:",toarray"`
		Object name
		Group  int
		Age    float64
	}
	fToken struct {
		_     struct{} `cbor:",toarray"`
		Token int64
	}
	fProbed struct {
		_     struct{} `cbor:",toarray"`
		Cache name
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
		ID, Cache, Source name
		Keep              int
		Age, Timeout      float64
		Flags             int
		Within            float64
	}
	fRefuse struct {
		_     struct{} `cbor:",toarray"`
		ID    name
		After float64
	}
	fCancel struct {
		_       struct{} `cbor:",toarray"`
		ID      name
		Attempt int
	}
	fWake struct {
		_     struct{} `cbor:",toarray"`
		In    float64
		Token int64
	}
	fStalled struct {
		_       struct{} `cbor:",toarray"`
		ID      name
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

func (n *names) event(e spool.Event) (written, error) {
	switch e := e.(type) {
	case spool.Members:
		rows := make([]fRow, len(e.Rows))
		for i, r := range e.Rows {
			rows[i] = fRow{ID: n.put(r.ID), Zone: n.put(r.Zone), Kind: n.put(r.Kind), Cell: r.Cell, State: int(r.State), Size: r.Size, ReadyAt: r.ReadyAt}
		}
		return written{Kind: evMembers, Fields: &fMembers{Full: e.Full, Lost: e.Lost, Rows: rows}}, nil
	case spool.Request:
		return written{Kind: evRequest, Fields: &fRequest{ID: n.put(e.ID), Class: n.put(e.Class), Tenant: n.put(e.Tenant), Object: n.put(e.Object),
			Deadline: e.Deadline, KB: e.KB, Group: e.Group, Part: e.Part, Retry: e.Retry, Write: e.Write}}, nil
	case spool.Outcome:
		return written{Kind: evOutcome, Fields: &fOutcome{ID: n.put(e.ID), Cache: n.put(e.Cache), Attempt: e.Attempt, Result: int(e.Result),
			Took: e.Took, Last: e.Last, Note: int(e.Note), Waited: e.Waited, Load: e.Load}}, nil
	case spool.Started:
		return written{Kind: evStarted, Fields: &fStarted{ID: n.put(e.ID), Cache: n.put(e.Cache), Attempt: e.Attempt}}, nil
	case spool.Gone:
		return written{Kind: evGone, Fields: &fName{ID: n.put(e.ID)}}, nil
	case spool.Purge:
		return written{Kind: evPurge, Fields: &fPurge{Object: n.put(e.Object), Group: e.Group, Age: e.Age}}, nil
	case spool.Timer:
		return written{Kind: evTimer, Fields: &fToken{Token: e.Token}}, nil
	case spool.Probed:
		return written{Kind: evProbed, Fields: &fProbed{Cache: n.put(e.Cache), OK: e.OK, Load: e.Load}}, nil
	case spool.Message:
		return written{Kind: evMessage, Fields: &fMessage{From: e.From, Text: e.Text}}, nil
	}
	return n.handedOver(e)
}

func (n *names) handedOver(e spool.Event) (written, error) {
	switch e := e.(type) {
	case spool.Recalled:
		b, err := learnedstate.EncodeModule(e.Memory)
		return written{Kind: evRecalled, Fields: &fBytes{Bytes: b}}, err
	case spool.Stalled:
		return written{Kind: evStalled, Fields: &fStalled{ID: n.put(e.ID), Attempt: e.Attempt, On: e.On}}, nil
	case spool.Retired:
		return written{Kind: evRetired, Fields: &fBool{On: e.On}}, nil
	}
	return written{}, fmt.Errorf("%w of event: %T", ErrUnknown, e)
}

func (n *names) action(a spool.Action) (written, error) {
	switch a := a.(type) {
	case spool.Send:
		flags := 0
		for i, on := range []bool{a.Join, a.Held, a.Renew} {
			if on {
				flags |= 1 << i
			}
		}
		return written{Kind: actSend, Fields: &fSend{ID: n.put(a.ID), Cache: n.put(a.Cache), Source: n.put(a.Source), Keep: a.Keep,
			Age: a.Age, Timeout: a.Timeout, Flags: flags, Within: a.Within}}, nil
	case spool.Refuse:
		return written{Kind: actRefuse, Fields: &fRefuse{ID: n.put(a.ID), After: a.After}}, nil
	case spool.Fail:
		return written{Kind: actFail, Fields: &fName{ID: n.put(a.ID)}}, nil
	case spool.Cancel:
		return written{Kind: actCancel, Fields: &fCancel{ID: n.put(a.ID), Attempt: a.Attempt}}, nil
	case spool.Wake:
		return written{Kind: actWake, Fields: &fWake{In: a.In, Token: a.Token}}, nil
	case spool.Probe:
		return written{Kind: actProbe, Fields: &fName{ID: n.put(a.Cache)}}, nil
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
	n    *names
	list []any
	at   int
	err  error
}

func (f *fields) next() any {
	if f.err != nil {
		return nil
	}
	if f.at >= len(f.list) {
		f.err = fmt.Errorf("journal: a record has %d fields, more are wanted", len(f.list))
		return nil
	}
	f.at++
	return f.list[f.at-1]
}

func (f *fields) wrong(v any, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("journal: field %d is %T, where %s is wanted", f.at, v, want)
	}
}

func (f *fields) name() string {
	v := f.next()
	if f.err != nil {
		return ""
	}
	s, err := f.n.get(v)
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
		f.wrong(nil, "a number")
	default:
		f.wrong(v, "a number")
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
		f.wrong(v, "a whole number")
	}
	return 0
}

func (f *fields) bool() bool {
	v, ok := f.next().(bool)
	if !ok {
		f.wrong(v, "true or false")
	}
	return v
}

func (f *fields) text() string {
	v, ok := f.next().(string)
	if !ok {
		f.wrong(v, "a text")
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
		f.wrong(v, "a list")
		return nil
	}
	var out []float64
	for _, one := range list {
		x, ok := one.(float64)
		if !ok {
			f.wrong(one, "a number")
		}
		out = append(out, x)
	}
	return out
}

func (n *names) readEvent(e event) (spool.Event, error) {
	f := &fields{n: n, list: e.Fields}
	var out spool.Event
	switch e.Kind {
	case evMembers:
		m := spool.Members{Full: f.bool(), Lost: f.bool()}
		rows, ok := f.next().([]any)
		if !ok {
			f.wrong(rows, "a list")
		}
		for _, r := range rows {
			list, ok := r.([]any)
			if !ok {
				f.wrong(r, "a row")
				break
			}
			g := &fields{n: n, list: list, err: f.err}
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

func (n *names) readAction(a action) (spool.Action, error) {
	f := &fields{n: n, list: a.Fields}
	var out spool.Action
	switch a.Kind {
	case actSend:
		s := spool.Send{ID: f.name(), Cache: f.name(), Source: f.name(), Keep: int(f.int()), Age: f.float(), Timeout: f.float()}
		flags := f.int()
		s.Join, s.Held, s.Renew = flags&1 != 0, flags&2 != 0, flags&4 != 0
		if f.at < len(f.list) { // journals from before it was told end here
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
