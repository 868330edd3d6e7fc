package members

import (
	"encoding/json"
	"testing"
)

// FuzzAnyMessage checks that no message makes a door fail or consider itself away.
func FuzzAnyMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: Ping, From: peer(3), Incarnation: 1, State: Here, Seq: 7, AckedIncarnation: 1},
		{Kind: Gossip, From: peer(2), Incarnation: 2, State: Joining, Records: []Record{{Peer: peer(0), Incarnation: 9, State: Away}, {Peer: peer(5), Incarnation: 1, State: Left, Age: 700e3}}},
		{Kind: NameTaken, From: peer(2), Incarnation: 1, Target: "10.0.0.9:1"},
		{Kind: IndirectPing, From: peer(4), Incarnation: 1, State: Here, Target: "d05"},
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
		m, now := viewOf(6)
		for range 2 {
			m.Step(*now, Received{&in}, RemoteState{in.Records})
			*now += float64(wait)
			m.Step(*now, Tick{})
			*now += TickEvery
			m.Step(*now, Tick{})
		}
		for range 3 { // long enough for members to be forgotten
			m.activeTime += forgetAfter
			*now += TickEvery
			m.Step(*now, Tick{})
		}
		if _, s, incarnation := m.Self(); s == Away || incarnation == 0 {
			t.Fatal(s, incarnation)
		}
		if len(m.Rows()) != len(m.index) || len(m.members) != len(m.index) {
			t.Fatal("rows, members and index differ")
		}
	})
}
