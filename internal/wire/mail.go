package wire

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
)

// A message to another door is a line for each Ask and Grant: a mark and its figures, apart by commas.
const (
	mailBytes  = 256 // most bytes in a message
	nameDigits = 9   // hexadecimal digits of a customer's id that messages carry; no two were ever alike
)

// shortName is what customers are known by here and in messages.
func shortName(id string) string {
	return id[max(0, len(id)-nameDigits):]
}

// letters gathers the Asks and Grants of one reply, in one message for each door where they fit.
type letters struct {
	to    []int
	texts []string
}

func (l *letters) add(a gate.Action, name func(int) string) bool {
	to, text := 0, ""
	switch a := a.(type) {
	case gate.Ask:
		to = a.To
		text = fmt.Sprintf("?%d,%d,%d,%d,%g,%.2f,%s;", a.Seq, a.Plan, a.First, a.Spread, a.Units, a.Level,
			name(a.Customer))
	case gate.Grant:
		to, text = a.To, fmt.Sprintf("!%d,%.1f,%.1f,%.2f;", a.Seq, a.Wait, a.Hold, a.Level)
	case gate.Release:
		to, text = a.To, "."+name(a.Customer)+";"
	default:
		return false
	}
	for i := range l.to {
		if l.to[i] == to && len(l.texts[i])+len(text) <= mailBytes {
			l.texts[i] += text
			return true
		}
	}
	l.to, l.texts = append(l.to, to), append(l.texts, text)
	return true
}

func (l *letters) messages() (out []map[string]any) {
	for i, to := range l.to {
		out = append(out, writePeer(to, l.texts[i]))
	}
	return out
}

// readMail reads a message; what was not written here is passed over.
func readMail(from int, text string, customers *index.Table[string], plans int) (events []gate.Event) {
	for _, line := range strings.Split(text, ";") {
		if c, known := customers.Find(strings.TrimPrefix(line, ".")); known {
			events = append(events, gate.Released{From: from, Customer: c})
			continue
		}
		a, g := gate.Asked{From: from}, gate.Granted{From: from}
		name := ""
		if n, _ := fmt.Sscanf(line, "!%d,%g,%g,%g", &g.Seq, &g.Wait, &g.Hold, &g.Level); n == 4 {
			events = append(events, g)
		} else if n, _ := fmt.Sscanf(line, "?%d,%d,%d,%d,%g,%g,%s", &a.Seq, &a.Plan, &a.First, &a.Spread,
			&a.Units, &a.Level, &name); n == 7 && len(name) == nameDigits && a.Plan >= 0 && a.Plan < plans {
			a.Customer = customers.Add(name)
			events = append(events, a)
		}
	}
	return events
}
