package wire

import (
	"math"
	"strconv"
	"strings"

	"github.com/swifthall/swifthall/gate"
)

// A message between doors is its slot in base 36, a colon, and an entry for each customer: the end of the
// customer's id and, for each slot told, the units in two digits.
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

// writeMail words a message, in as many parts as it needs.
func writeMail(t gate.Tell, name func(int) string) []string {
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

// readMail reads one part; customers never seen here are left out, and ok is
// false for anything that writeMail did not write.
func readMail(text string, find func(string) (int, bool)) (slot int64, uses []gate.Use, ok bool) {
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
