package simwire

import (
	"encoding/json"

	spool "indigospool"
)

// Reply is one line of output.
type Reply struct {
	Groups []InstanceReply `json:"groups"`
}

// InstanceReply holds the actions of one instance.
type InstanceReply struct {
	Instance int   `json:"i"`
	Actions  []any `json:"out"`
}

// object is a JSON object.
type object map[string]any

// InternalError returns the message that reports a failure of the module.
func InternalError(text string) any { return object{"GIVE_IN": object{"message": text}} }

// The bits of sendMessage.Flags: Send.Join, Send.Held and Send.Renew.
const (
	flagJoin  = 1
	flagHeld  = 2
	flagRenew = 8
)

// sendMessage is the wire form of spool.Send.
type sendMessage struct {
	ID      string  `json:"msg_id"`
	Rank    int     `json:"rank"`
	Flags   int     `json:"bits,omitempty"`
	MaxAge  float64 `json:"age_span,omitempty"`
	Cache   string  `json:"cache"`
	Timeout float64 `json:"try_for,omitempty"`
	Source  string  `json:"supplier"`
}

// EncodeAction returns the message of an action, ready for encoding/json.
func EncodeAction(a spool.Action) any {
	switch a := a.(type) {
	case spool.Send:
		m := sendMessage{ID: a.ID, Rank: a.Keep, MaxAge: a.Age, Cache: a.Cache, Timeout: a.Timeout, Source: a.Source}
		if a.Join {
			m.Flags |= flagJoin
		}
		if a.Held {
			m.Flags |= flagHeld
		}
		if a.Renew {
			m.Flags |= flagRenew
		}
		return map[string]sendMessage{"ANSWER_FROM": m}
	case spool.Refuse:
		m := object{"msg_id": a.ID}
		if a.After > 0 {
			m["not_before_for"] = a.After
		}
		return object{"NOT_NOW": m}
	case spool.Fail:
		return object{"FINISH_ERROR": object{"msg_id": a.ID}}
	case spool.Cancel:
		return object{"UNDO_SEND": object{"msg_id": a.ID, "attempt": a.Attempt}}
	case spool.Wake:
		return object{"AFTER": object{"in": a.In, "ref": a.Token}}
	case spool.Probe:
		return object{"INSPECT": object{"cache": a.Cache}}
	case spool.Watch:
		return object{"STREAM_CHANGES": object{"active": true}}
	case spool.Fetch:
		return object{"QUERY_ALL": object{}}
	}
	return object{"DEBUG": object{"message": "an action without a message"}}
}

// Encode returns the reply as one line of JSON.
func (r Reply) Encode() ([]byte, error) {
	if r.Groups == nil {
		r.Groups = []InstanceReply{}
	}
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}
