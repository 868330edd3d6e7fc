package wire

import (
	"encoding/json"
	"fmt"
	"sort"
)

const msPerSecond = 1000

// fields reads the fields of one message; the first fault sticks.
type fields struct {
	m     map[string]json.RawMessage
	fault error
}

func read[T any](f *fields, name string, required bool) (v T) {
	raw, ok := f.m[name]
	if !ok || string(raw) == "null" {
		if required && f.fault == nil {
			f.fault = &FieldError{Field: name, Says: "is missing"}
		}
		return v
	}
	if err := json.Unmarshal(raw, &v); err != nil && f.fault == nil {
		f.fault = &FieldError{Field: name, Says: "has the wrong type", Cause: err}
	}
	return v
}

func need[T any](f *fields, name string) T  { return read[T](f, name, true) }
func maybe[T any](f *fields, name string) T { return read[T](f, name, false) }

func (f *fields) fail(name string, format string, args ...any) {
	if f.fault == nil {
		f.fault = &FieldError{Field: name, Says: fmt.Sprintf(format, args...)}
	}
}

// choice looks a word of the wire up in a table.
func choice[T any](f *fields, name string, table map[string]T) T {
	word := need[string](f, name)
	v, ok := table[word]
	if !ok {
		f.fail(name, "unknown word %q", word)
	}
	return v
}

// part is what one batch holds for one door.
type part struct {
	door int
	in   []message
}

type message struct {
	name string
	fields
}

// parseBatch reads one input line.
func parseBatch(line []byte) (now float64, parts []part, err error) {
	top := fields{}
	if err := json.Unmarshal(line, &top.m); err != nil {
		return 0, nil, &FieldError{Says: "not a JSON object", Cause: err}
	}
	now = need[float64](&top, "t") * msPerSecond
	raws := need[[]map[string]json.RawMessage](&top, "parts")
	if top.fault != nil {
		return 0, nil, top.fault
	}
	for i, raw := range raws {
		pf := fields{m: raw}
		p := part{door: need[int](&pf, "door_id")}
		msgs := need[[]map[string]json.RawMessage](&pf, "in")
		if pf.fault != nil {
			return 0, nil, at(pf.fault, "part %d", i)
		}
		for _, msg := range msgs {
			if len(msg) != 1 {
				names := make([]string, 0, len(msg))
				for name := range msg {
					names = append(names, name)
				}
				sort.Strings(names)
				return 0, nil, at(&FieldError{Says: fmt.Sprintf("an event needs one name, got %q", names)}, "door %d", p.door)
			}
			for name, body := range msg {
				m := message{name: name}
				if err := json.Unmarshal(body, &m.m); err != nil {
					return 0, nil, at(&FieldError{Field: name, Says: "is not an object", Cause: err}, "door %d: event %s", p.door, name)
				}
				p.in = append(p.in, m)
			}
		}
		parts = append(parts, p)
	}
	return now, parts, nil
}
