package simwire

import (
	"encoding/json"

	spool "indigospool"
)

// Reply is one line of output.
type Reply struct {
	Groups []Out `json:"groups"`
}

// Out is what one instance does.
type Out struct {
	Inst int   `json:"i"`
	Out  []any `json:"out"`
}

type tag map[string]any

// GiveIn says that the decisions are broken, and why.
func GiveIn(text string) any { return tag{"GIVE_IN": tag{"message": text}} }

// The copy-handling bits of an attempt.
const (
	bitJoin  = 1
	bitHeld  = 2
	bitRenew = 8
)

type answerFrom struct {
	ID       string  `json:"msg_id"`
	Rank     int     `json:"rank"`
	Bits     int     `json:"bits,omitempty"`
	AgeSpan  float64 `json:"age_span,omitempty"`
	Cache    string  `json:"cache"`
	TryFor   float64 `json:"try_for,omitempty"`
	Supplier string  `json:"supplier"`
}

// Action turns an action into its message.
func Action(a spool.Action) any {
	switch a := a.(type) {
	case spool.Send:
		m := answerFrom{ID: a.ID, Rank: a.Keep, AgeSpan: a.Age, Cache: a.Cache, TryFor: a.Timeout, Supplier: a.Source}
		if a.Join {
			m.Bits |= bitJoin
		}
		if a.Held {
			m.Bits |= bitHeld
		}
		if a.Renew {
			m.Bits |= bitRenew
		}
		return map[string]answerFrom{"ANSWER_FROM": m}
	case spool.Refuse:
		m := tag{"msg_id": a.ID}
		if a.After > 0 {
			m["not_before_for"] = a.After
		}
		return tag{"NOT_NOW": m}
	case spool.Fail:
		return tag{"FINISH_ERROR": tag{"msg_id": a.ID}}
	case spool.Cancel:
		return tag{"UNDO_SEND": tag{"msg_id": a.ID, "attempt": a.Attempt}}
	case spool.Wake:
		return tag{"AFTER": tag{"in": a.In, "ref": a.Token}}
	case spool.Probe:
		return tag{"INSPECT": tag{"cache": a.Cache}}
	case spool.Watch:
		return tag{"STREAM_CHANGES": tag{"active": true}}
	case spool.Fetch:
		return tag{"QUERY_ALL": tag{}}
	}
	return tag{"DEBUG": tag{"message": "an action without a message"}}
}

// Encode writes the reply as one line.
func (r Reply) Encode() ([]byte, error) {
	if r.Groups == nil {
		r.Groups = []Out{}
	}
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}
