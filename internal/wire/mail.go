package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/swifthall/swifthall/gate"
)

// A Tell is its slot in base 36, a colon, and an entry for each customer: the end of the customer's id and, for
// each slot told, the units in two digits. An Ask or Grant is a mark and its figures, apart by commas.
const (
	mailBytes  = 256 // most bytes in a message
	nameDigits = 9   // hexadecimal digits of a customer's id that messages carry; no two were ever alike
	entryBytes = nameDigits + 2*gate.ToldSlots
	mailDigits = "0123456789abcdefghijklmnopqrstuvwxyz"
	mostUnits  = len(mailDigits)*len(mailDigits) - 1
)

// shortName is what customers are known by here and in messages.
func shortName(id string) string {
	return id[max(0, len(id)-nameDigits):]
}

// writeTell words a Tell, in as many parts as it needs.
func writeTell(t gate.Tell, name func(int) string) []string {
	head := strconv.FormatInt(t.Slot, 36) + ":"
	var texts []string
	b := strings.Builder{}
	b.WriteString(head)
	for _, u := range t.Uses {
		if b.Len()+entryBytes > mailBytes {
			texts = append(texts, b.String())
			b.Reset()
			b.WriteString(head)
		}
		b.WriteString(name(u.Customer))
		for _, units := range u.Units {
			n := max(0, min(mostUnits, int(math.Round(units))))
			b.WriteByte(mailDigits[n/len(mailDigits)])
			b.WriteByte(mailDigits[n%len(mailDigits)])
		}
	}
	return append(texts, b.String())
}

func writeAsk(a gate.Ask, name string) string {
	return fmt.Sprintf("?%d,%s,%d,%d,%d,%g", a.Seq, name, a.Plan, a.First, a.Spread, a.Units)
}

func writeGrant(a gate.Grant) string { return fmt.Sprintf("!%d,%g", a.Seq, a.Wait) }

// readMail reads a message; nil is anything that was not written here.
func readMail(from int, text string, customers *index, plans int) gate.Event {
	asked, granted := gate.Asked{From: from}, gate.Granted{From: from}
	if parts := strings.Split(text, ","); len(parts) == 6 && len(parts[1]) == nameDigits {
		if _, err := fmt.Sscanf(strings.Join(append(parts[:1:1], parts[2:]...), ","), "?%d,%d,%d,%d,%g",
			&asked.Seq, &asked.Plan, &asked.First, &asked.Spread, &asked.Units); err == nil && asked.Plan >= 0 && asked.Plan < plans {
			asked.Customer = customers.add(parts[1])
			return asked
		}
	}
	if _, err := fmt.Sscanf(text, "!%d,%g", &granted.Seq, &granted.Wait); err == nil {
		return granted
	}
	if slot, uses, ok := readTell(text, customers.find); ok {
		return gate.Heard{From: from, Slot: slot, Uses: uses}
	}
	return nil
}

// readTell reads one part of a Tell; customers never seen here are left out, and ok is
// false for anything that writeTell did not write.
func readTell(text string, find func(string) (int, bool)) (slot int64, uses []gate.Use, ok bool) {
	head, rest, found := strings.Cut(text, ":")
	slot, err := strconv.ParseInt(head, 36, 64)
	if !found || err != nil || len(rest)%entryBytes != 0 {
		return 0, nil, false
	}
	for ; rest != ""; rest = rest[entryBytes:] {
		u := gate.Use{}
		for i := range u.Units {
			n, err := strconv.ParseInt(rest[nameDigits+2*i:nameDigits+2*i+2], 36, 64)
			if err != nil || n < 0 {
				return 0, nil, false
			}
			u.Units[i] = float64(n)
		}
		if c, known := find(rest[:nameDigits]); known {
			u.Customer = c
			uses = append(uses, u)
		}
	}
	return slot, uses, true
}
