// Package wire speaks the simulator's wire: it reads batches, maps their ids to small indices, hosts
// the doors' deciders and writes their actions. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
)

// Host serves any number of doors, which share nothing.
type Host struct {
	log     io.Writer
	build   func(gate.Terms, uint64) gate.Decider
	doors   map[int]*door
	unknown map[string]bool
}

// NewHost returns a host that builds a decider for each door born and reports oddities on log.
func NewHost(log io.Writer, build func(gate.Terms, uint64) gate.Decider) *Host {
	return &Host{log: log, build: build, doors: map[int]*door{}, unknown: map[string]bool{}}
}

type outPart struct {
	Door int              `json:"door_id"`
	Out  []map[string]any `json:"out"`
}

type reply struct {
	Parts []outPart `json:"parts"`
}

// Serve answers batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return at(err, "input line %d", n)
		}
		ended := err != nil
		if len(bytes.TrimSpace(line)) > 0 {
			answer, err := h.batch(line)
			if err != nil {
				return at(err, "input line %d", n)
			}
			if err := enc.Encode(answer); err != nil {
				return at(err, "writing the reply to line %d", n)
			}
			if err := w.Flush(); err != nil {
				return at(err, "writing the reply to line %d", n)
			}
		}
		if ended {
			return nil
		}
	}
}

func (h *Host) batch(line []byte) (reply, error) {
	now, parts, err := parseBatch(line)
	if err != nil {
		return reply{}, err
	}
	answer := reply{Parts: []outPart{}}
	for _, p := range parts {
		out, err := h.serve(now, p)
		if err != nil {
			return reply{}, at(err, "door %d", p.door)
		}
		if len(out) > 0 {
			answer.Parts = append(answer.Parts, outPart{p.door, out})
		}
	}
	return answer, nil
}

// serve runs one door's part. A door may die and be born again within one part.
func (h *Host) serve(now float64, p part) ([]map[string]any, error) {
	var out []map[string]any
	d := h.doors[p.door]
	for i := range p.in {
		m := &p.in[i]
		switch m.name {
		case "BORN":
			seed, settings := need[uint64](&m.fields, "entropy"), need[json.RawMessage](&m.fields, "settings")
			if m.fault != nil {
				return nil, at(m.fault, "event BORN")
			}
			deal, err := config.ReadSettings(settings)
			if err != nil {
				return nil, at(err, "event BORN")
			}
			d = newDoor(deal)
			h.doors[p.door] = d
			if text := guard(func() { d.decider = h.build(deal.Terms, seed) }); text != "" {
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
			return nil, &FieldError{Says: fmt.Sprintf("event %s for a door that was never born", m.name)}
		}
		ev := translate(d, &m.fields)
		if m.fault != nil {
			return nil, at(m.fault, "event %s", m.name)
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
		if msg := d.action(a); msg != nil {
			out = append(out, msg)
		}
	}
	d.endBatch()
	return out, nil
}

// guard turns a panic into its text.
func guard(f func()) (text string) {
	defer func() {
		if r := recover(); r != nil {
			text = fmt.Sprint("panic: ", r)
		}
	}()
	f()
	return ""
}

func giveIn(text string) map[string]any {
	return map[string]any{"GIVE_IN": map[string]any{"body_text": text}}
}
