package members

import (
	"encoding/json"
	"testing"
)

// Whatever comes to a door's fleet address, the door goes on, and never holds itself to be away.
func FuzzAnyMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: Look, From: peer(3), Incarnation: 1, State: Here, No: 7, Reached: 1},
		{Kind: Gossip, From: peer(2), Incarnation: 2, State: Joining, Records: []Record{{Peer: peer(0), Incarnation: 9, State: Away}, {Peer: peer(5), Incarnation: 1, State: Left, Age: 700e3}}},
		{Kind: Taken, From: peer(2), Incarnation: 1, About: "10.0.0.9:1"},
		{Kind: Ask, From: peer(4), Incarnation: 1, State: Here, About: "d05"},
	} {
		raw, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, uint16(100))
	}
	f.Fuzz(func(t *testing.T, raw []byte, wait uint16) {
		var in Message
		if json.Unmarshal(raw, &in) != nil {
			return
		}
		m, now := of(6)
		for range 2 {
			m.Step(*now, Received{&in}, RemoteState{in.Records})
			*now += float64(wait)
			m.Step(*now, Tick{})
			*now += TickEvery
			m.Step(*now, Tick{})
		}
		for range 3 { // time passes in which things are forgotten
			m.own += forgetAfter
			*now += TickEvery
			m.Step(*now, Tick{})
		}
		if _, s, life := m.Self(); s == Away || life == 0 {
			t.Fatal(s, life)
		}
		if len(m.Rows()) != len(m.index) || len(m.all) != len(m.index) {
			t.Fatal("rows and names differ")
		}
	})
}
