package wire

import (
	"encoding/json"
	"fmt"
	"sort"
)

const msPerSecond = 1000

// fields decodes the fields of one message and keeps the first error.
type fields struct {
	m   map[string]json.RawMessage
	err error
}

func decode[T any](f *fields, name string, mandatory bool) (v T) {
	raw, ok := f.m[name]
	if !ok || string(raw) == "null" {
		if mandatory && f.err == nil {
			f.err = &FieldError{Field: name, Reason: "is missing"}
		}
		return v
	}
	if err := json.Unmarshal(raw, &v); err != nil && f.err == nil {
		f.err = &FieldError{Field: name, Reason: "has the wrong type", Cause: err}
	}
	return v
}

func required[T any](f *fields, name string) T { return decode[T](f, name, true) }
func optional[T any](f *fields, name string) T { return decode[T](f, name, false) }

func (f *fields) fail(name string, format string, args ...any) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Reason: fmt.Sprintf(format, args...)}
	}
}

// lookup translates an enumerated value with a table.
func lookup[T any](f *fields, name string, table map[string]T) T {
	value := required[string](f, name)
	v, ok := table[value]
	if !ok {
		f.fail(name, "unknown value %q", value)
	}
	return v
}

// part is the share of a batch that is addressed to one door.
type part struct {
	door int
	in   []message
}

// message is one named event.
type message struct {
	name string
	fields
}

// parseBatch parses one batch. The returned time is in ms.
func parseBatch(raw []byte) (now float64, parts []part, err error) {
	top := fields{}
	if err := json.Unmarshal(raw, &top.m); err != nil {
		return 0, nil, notAnObject(err)
	}
	now = required[float64](&top, "t") * msPerSecond
	raws := required[[]map[string]json.RawMessage](&top, "parts")
	if top.err != nil {
		return 0, nil, top.err
	}
	for i, rawPart := range raws {
		pf := fields{m: rawPart}
		p := part{door: required[int](&pf, "door_id")}
		msgs := required[[]map[string]json.RawMessage](&pf, "in")
		if pf.err != nil {
			return 0, nil, atPosition(pf.err, "part %d", i)
		}
		for _, msg := range msgs {
			if len(msg) != 1 {
				names := make([]string, 0, len(msg))
				for name := range msg {
					names = append(names, name)
				}
				sort.Strings(names)
				return 0, nil, atPosition(&FieldError{Reason: fmt.Sprintf("an event must have exactly one name, got %q", names)}, "door %d", p.door)
			}
			for name, body := range msg {
				m := message{name: name}
				if err := json.Unmarshal(body, &m.m); err != nil {
					return 0, nil, atPosition(&FieldError{Field: name, Reason: "is not an object", Cause: err}, "door %d: event %s", p.door, name)
				}
				p.in = append(p.in, m)
			}
		}
		parts = append(parts, p)
	}
	return now, parts, nil
}
