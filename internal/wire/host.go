// Package wire implements the simulator's protocol. It reads batches of events, maps ids to small indices, passes the events to
// one decider per door and writes the deciders' actions. It makes no decisions itself.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/jsonstream"
)

// Host serves any number of doors, which share no state.
type Host struct {
	log        io.Writer
	newDecider func(gate.Terms, uint64) gate.Decider
	doors      map[int]*door
	unknown    map[string]bool // names of unknown events that were reported on log
}

// NewHost returns a host that creates a decider for each door that is started and writes warnings to log.
func NewHost(log io.Writer, newDecider func(gate.Terms, uint64) gate.Decider) *Host {
	return &Host{log: log, newDecider: newDecider, doors: map[int]*door{}, unknown: map[string]bool{}}
}

// outPart holds the actions of one door.
type outPart struct {
	Door int              `json:"door_id"`
	Out  []map[string]any `json:"out"`
}

// reply is the response to one batch.
type reply struct {
	Parts []outPart `json:"parts"`
}

const inputBufferSize = 64 << 10 // bytes

// Serve replies to each batch until the input ends. A batch ends with its last bracket, wherever its lines end; a reply is one line.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, inputBufferSize), bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	batches := jsonstream.Splitter{MaxBytes: math.MaxInt} // the simulator is trusted
	for n := 1; ; n++ {
		line, readErr := r.ReadBytes('\n')
		err := batches.Feed(line, func(raw []byte) error {
			answer, err := h.batch(raw)
			if err != nil {
				return err
			}
			if err := enc.Encode(answer); err != nil {
				return atPosition(err, "writing the reply")
			}
			if err := w.Flush(); err != nil {
				return atPosition(err, "writing the reply")
			}
			return nil
		})
		if syntax := (*jsonstream.SyntaxError)(nil); errors.As(err, &syntax) {
			err = notAnObject(err)
		}
		if err != nil {
			return atPosition(err, "input line %d", n)
		}
		switch {
		case errors.Is(readErr, io.EOF) && batches.Within():
			return atPosition(notAnObject(io.ErrUnexpectedEOF), "input line %d", n)
		case errors.Is(readErr, io.EOF):
			return nil
		case readErr != nil:
			return atPosition(readErr, "input line %d", n)
		}
	}
}

// batch processes one batch.
func (h *Host) batch(raw []byte) (reply, error) {
	now, parts, err := parseBatch(raw)
	if err != nil {
		return reply{}, err
	}
	answer := reply{Parts: []outPart{}}
	for _, p := range parts {
		out, err := h.serve(now, p)
		if err != nil {
			return reply{}, atPosition(err, "door %d", p.door)
		}
		if len(out) > 0 {
			answer.Parts = append(answer.Parts, outPart{p.door, out})
		}
	}
	return answer, nil
}

// serve processes the events of one door. A door may be stopped and started again within one part.
func (h *Host) serve(now float64, p part) ([]map[string]any, error) {
	var out []map[string]any
	d := h.doors[p.door]
	for i := range p.in {
		m := &p.in[i]
		switch m.name {
		case "BORN":
			seed, encoded := required[uint64](&m.fields, "entropy"), required[json.RawMessage](&m.fields, "settings")
			if m.err != nil {
				return nil, atPosition(m.err, "event BORN")
			}
			settings, err := config.ReadSettings(encoded)
			if err != nil {
				return nil, atPosition(err, "event BORN")
			}
			d = newDoor(settings)
			h.doors[p.door] = d
			if text := guard(func() { d.decider = h.newDecider(settings.Terms, seed) }); text != "" {
				return append(out, giveIn(text)), nil
			}
			continue
		case "HALT":
			delete(h.doors, p.door)
			d, out = nil, nil
			continue
		}
		translate, known := events[m.name]
		if !known {
			if !h.unknown[m.name] {
				h.unknown[m.name] = true
				fmt.Fprintf(h.log, "unknown event %q skipped\n", m.name)
			}
			continue
		}
		if d == nil {
			return nil, &FieldError{Reason: fmt.Sprintf("event %s for a door that was not started", m.name)}
		}
		ev := translate(d, &m.fields)
		if m.err != nil {
			return nil, atPosition(m.err, "event %s", m.name)
		}
		if ev != nil {
			d.pending = append(d.pending, ev)
		}
	}
	if d == nil || len(p.in) == 0 {
		return out, nil
	}
	var actions []gate.Action
	if text := guard(func() { actions = d.decider.Decide(now, d.pending) }); text != "" {
		return append(out, giveIn(text)), nil
	}
	for _, a := range actions {
		if msg := d.encode(a); msg != nil {
			out = append(out, msg)
		}
	}
	d.endBatch()
	return out, nil
}

// guard calls f and returns the text of a panic, or an empty string.
func guard(f func()) (text string) {
	defer func() {
		if r := recover(); r != nil {
			text = fmt.Sprint("panic: ", r)
		}
	}()
	f()
	return ""
}

// giveIn encodes the message that reports a door's failure.
func giveIn(text string) map[string]any {
	return map[string]any{"GIVE_IN": map[string]any{"body_text": text}}
}
