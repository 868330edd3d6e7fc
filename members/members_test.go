package members

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/remedy"
)

func peer(i int) Peer {
	return Peer{Name: fmt.Sprintf("d%02d", i), Address: fmt.Sprintf("10.0.0.%d:7946", i), Zone: fmt.Sprint("z", i%3), Nonce: uint64(i + 1)}
}

// hereRecord returns the record of a door that is here.
func hereRecord(i int) Record { return Record{Peer: peer(i), Incarnation: 1, State: Here} }

// viewOf returns door 0's view of n doors that are all here, including itself, and its clock.
func viewOf(n int) (*Member, *float64) {
	m, now := New(peer(0), 1), new(float64)
	m.Step(0)
	for i := 1; i < n; i++ {
		m.Step(0, RemoteState{[]Record{hereRecord(i)}})
	}
	m.advance(m.self, Here, "test")
	m.rebuildRings()
	return m, now
}

// runFor runs ticks for some ms and returns the actions; answering reports which doors answer pings.
func runFor(m *Member, now *float64, ms float64, answering func(i int) bool) (out []Action) {
	for end := *now + ms; *now < end; {
		*now += TickEvery
		var acks []Event
		for _, a := range m.Step(*now, Tick{}) {
			out = append(out, a)
			if s, ok := a.(Send); ok && s.Message.Kind == Ping {
				for i := range 64 {
					if peer(i).Name == s.To.Name && answering(i) {
						acks = append(acks, Received{&Message{Kind: Ack, From: peer(i), Incarnation: 1, State: Here, Seq: s.Message.Seq}})
					}
				}
			}
		}
		out = append(out, append([]Action(nil), m.Step(*now, acks...)...)...)
	}
	return out
}

func state(m *Member, i int) State {
	for _, r := range m.Rows() {
		if r.Name == peer(i).Name {
			return r.State
		}
	}
	return Unknown
}

func everyone(int) bool { return true }

// gossipedVotes returns a message with the votes of some observers on a door.
func gossipedVotes(about int, observation Observation, by ...int) Event {
	r := hereRecord(about)
	for _, b := range by {
		r.Votes = append(r.Votes, Vote{By: peer(b).Name, Seq: 1 << 20, Observation: observation})
	}
	return Received{&Message{Kind: Gossip, From: peer(by[0]), Incarnation: 1, State: Here, Records: []Record{r}}}
}

func TestMembersThatAnswerStayHere(t *testing.T) {
	m, now := viewOf(12)
	runFor(m, now, 20e3, everyone)
	for i := range 12 {
		assert.Equal(t, Here, state(m, i))
	}
}

func TestOneSuspicionIsReportedAndDecidesNothing(t *testing.T) {
	m, now := viewOf(12)
	who := m.subjects[0]
	silent := func(i int) bool { return peer(i).Name != m.members[who].Name }
	runFor(m, now, 2300, silent)
	var others []int
	for i := 1; i < 12 && len(others) < 3; i++ {
		if peer(i).Name != m.members[who].Name {
			others = append(others, i)
		}
	}
	about := 0
	for i := range 12 {
		if peer(i).Name == m.members[who].Name {
			about = i
		}
	}
	m.Step(*now, gossipedVotes(about, Reached, others...))
	runFor(m, now, 4000, silent)
	assert.Equal(t, Suspect, state(m, about), "this door still suspects it")
	m.Step(*now, gossipedVotes(about, Unreachable, others...))
	assert.Equal(t, Suspect, state(m, about))
}

func TestAQuorumOfObserversDecidesAndTheDecisionIsGossiped(t *testing.T) {
	m, now := viewOf(12)
	m.Step(*now, gossipedVotes(7, Unreachable, 1, 2, 3, 4, 5, 6))
	out := runFor(m, now, minSuspicion+2*TickEvery, everyone)
	assert.Equal(t, Away, state(m, 7))
	gossiped := false
	for _, a := range out {
		if s, ok := a.(Send); ok && s.Message.Kind == Gossip {
			for _, r := range s.Message.Records {
				gossiped = gossiped || r.Name == peer(7).Name && r.State == Away
			}
		}
	}
	assert.True(t, gossiped)
}

func TestSuspicionsOfOneZoneDontOutweighOtherZones(t *testing.T) {
	m, now := viewOf(12)
	m.Step(*now, gossipedVotes(7, Reached, 2, 3))
	m.Step(*now, gossipedVotes(7, Unreachable, 1, 4, 10)) // all of zone 1
	runFor(m, now, 3000, everyone)
	assert.NotEqual(t, Away, state(m, 7))
	m.Step(*now, gossipedVotes(7, Unreachable, 6, 9)) // of zone 0
	m, now = viewOf(12)
	m.Step(*now, gossipedVotes(7, Reached, 2))
	m.Step(*now, gossipedVotes(7, Unreachable, 1, 4, 10, 6, 9))
	runFor(m, now, 1000, everyone)
	assert.Equal(t, Away, state(m, 7))
}

func TestASuspendedDoorSuspectsNobody(t *testing.T) {
	m, now := viewOf(12)
	runFor(m, now, 3000, everyone)
	*now += 30e3 // suspended, and all messages of that time were lost
	out := runFor(m, now, 1000, everyone)
	for i := range 12 {
		assert.Equal(t, Here, state(m, i))
	}
	for _, a := range out {
		_, changed := a.(Changed)
		assert.False(t, changed)
	}
	assert.InDelta(t, 30e3, m.PausedMs(), 200)
}

func TestADoorThatNobodyAnswersSuspectsItself(t *testing.T) {
	m, now := viewOf(12)
	runFor(m, now, 3000, everyone)
	for range 60 { // it receives from one of them all the time
		runFor(m, now, 100, func(int) bool { return false })
		m.Step(*now, Received{&Message{Kind: Gossip, From: peer(5), Incarnation: 1, State: Here}})
	}
	for i := range 12 {
		assert.Equal(t, Here, state(m, i), "it doesn't suspect door %d", i)
	}
	runFor(m, now, 12e3, func(int) bool { return false })
	assert.Equal(t, Away, state(m, 3), "it receives from nobody")
	for _, r := range m.All() {
		assert.NotEqual(t, Away, r.State, "its records don't say so")
	}
	runFor(m, now, 1000, everyone)
	assert.Equal(t, Here, state(m, 3))
}

func TestADoorHeldToBeAwayBeginsALaterIncarnation(t *testing.T) {
	m, now := viewOf(12)
	runFor(m, now, 1000, everyone)
	r := Record{Peer: peer(0), Incarnation: 1, State: Away}
	m.Step(*now, Received{&Message{Kind: Ack, From: peer(3), Incarnation: 1, State: Here, Records: []Record{r}}})
	_, s, incarnation := m.Self()
	assert.Equal(t, Joining, s)
	assert.Equal(t, uint32(2), incarnation)
	var from []Event
	for _, i := range m.subjects { // in a small fleet they are also its observers
		from = append(from, Received{&Message{Kind: Ping, From: m.members[i].Peer, Incarnation: 1, State: Here, Seq: 1, AckedIncarnation: 2}})
	}
	m.Step(*now, from...)
	runFor(m, now, 100, everyone)
	_, s, _ = m.Self()
	assert.Equal(t, Here, s)
}

func TestAnAwayIncarnationStaysAway(t *testing.T) {
	m, now := viewOf(12)
	m.Step(*now, gossipedVotes(7, Unreachable, 1, 2, 3, 4, 5, 6))
	runFor(m, now, 1000, everyone)
	require.Equal(t, Away, state(m, 7))
	m.Step(*now, RemoteState{[]Record{hereRecord(7)}}, Received{&Message{Kind: Gossip, From: peer(2), Incarnation: 1, State: Here, Records: []Record{hereRecord(7)}}})
	assert.Equal(t, Away, state(m, 7), "an earlier state of the same incarnation doesn't count")
	next := hereRecord(7)
	next.Incarnation, next.State = 2, Joining
	m.Step(*now, RemoteState{[]Record{next}})
	assert.Equal(t, Joining, state(m, 7))
}

func TestADecisionOfAnotherPartCanBeRefuted(t *testing.T) {
	m, now := viewOf(12)
	runFor(m, now, 1000, everyone)
	gone := hereRecord(7)
	gone.State, gone.Age = Away, 30e3
	m.Step(*now, RemoteState{[]Record{gone}})
	assert.Equal(t, Here, state(m, 7))
	again := hereRecord(7)
	again.Incarnation, again.State = 2, Joining
	m.Step(*now, RemoteState{[]Record{again}})
	runFor(m, now, 2000, everyone)
	assert.Equal(t, Here, state(m, 7), "it refuted, and was here before")
	m.Step(*now, RemoteState{[]Record{func() Record { r := hereRecord(8); r.State = Away; return r }()}})
	runFor(m, now, refuteTimeout+100, everyone)
	assert.Equal(t, Away, state(m, 8), "it did not refute")
}

func TestASecondProcessOfANameYields(t *testing.T) {
	m, now := viewOf(12)
	other := peer(4)
	other.Address, other.Nonce = "10.0.0.99:7946", 99
	out := m.Step(*now, Received{&Message{Kind: Ping, From: other, Incarnation: 1, State: Joining, Seq: 1}})
	require.Len(t, out, 1)
	assert.Equal(t, NameTaken, out[0].(Send).Message.Kind)
	assert.Equal(t, peer(4).Address, out[0].(Send).Message.Target)

	late := New(other, 1)
	late.Step(0)
	out = late.Step(10, Received{&Message{Kind: NameTaken, From: peer(0), Incarnation: 1, State: Here, Target: peer(4).Address}})
	require.Len(t, out, 1)
	var taken *NameTakenError
	require.True(t, errors.As(out[0].(NameConflict).Err, &taken))
	assert.Equal(t, remedy.Refused, taken.Kind())
	assert.Contains(t, taken.Remedy(), "GW_NAME")
}

func TestANewProcessAtTheSameAddressTakesTheNameOver(t *testing.T) {
	m, now := viewOf(12)
	again := peer(4)
	again.Nonce = 77
	out := m.Step(*now, Received{&Message{Kind: Ping, From: again, Incarnation: 1, State: Joining, Seq: 1}})
	require.NotEmpty(t, out)
	reply := out[0].(Send).Message
	assert.Equal(t, Gossip, reply.Kind)
	fresh := New(again, 1)
	fresh.Step(0)
	fresh.Step(10, Received{reply})
	_, _, incarnation := fresh.Self()
	assert.Equal(t, uint32(2), incarnation)
	m.Step(*now, Received{&Message{Kind: Ping, From: again, Incarnation: incarnation, State: Joining, Seq: 2}})
	assert.NotEqual(t, Here, state(m, 4))
	assert.Equal(t, uint32(2), m.members[m.index[again.Name]].Incarnation)
}

func TestLeavingIsAnnouncedAndEnds(t *testing.T) {
	m, now := viewOf(4)
	m.Step(*now, Leave{})
	out := runFor(m, now, 3*leavePhase, everyone)
	var departed bool
	for _, a := range out {
		_, is := a.(Departed)
		departed = departed || is
	}
	assert.True(t, departed)
	_, s, _ := m.Self()
	assert.Equal(t, Left, s)
	assert.Empty(t, m.Step(*now+1000, Tick{}), "it sends nothing any more")
}

func TestEachZoneProvidesItsShareOfObservers(t *testing.T) {
	m, _ := viewOf(60)
	for i := range m.members {
		count := map[string]int{}
		for z := range m.rings {
			m.anyObserver(&m.rings[z], i, func(j int) bool {
				assert.NotEqual(t, i, j)
				count[m.members[j].Zone]++
				return false
			})
		}
		for zone, n := range count {
			assert.InDelta(t, observersPerMember/3.0, n, 1, zone)
		}
		assert.Equal(t, observersPerMember, m.observerCount(i), "the shares add up")
	}
}

func TestAMemberThatLeftIsForgotten(t *testing.T) {
	m, now := viewOf(5)
	gone := hereRecord(2)
	gone.State, gone.Incarnation = Left, 1
	m.Step(*now, RemoteState{[]Record{gone}})
	require.Equal(t, Left, state(m, 2))
	for range 70 {
		runFor(m, now, 10e3, everyone)
	}
	assert.Equal(t, Unknown, state(m, 2))
	assert.Equal(t, Here, state(m, 4))
	assert.Len(t, m.Rows(), 4)
}

func BenchmarkTick(b *testing.B) {
	m, now := viewOf(60)
	runFor(m, now, 1000, everyone)
	b.ResetTimer()
	for range b.N {
		*now += TickEvery
		m.Step(*now, Tick{})
	}
}

func TestVotesSurviveEncoding(t *testing.T) {
	p := peer(3)
	p.Number, p.Release = 7, "abc" // no field may hide another of the same JSON key
	r := Record{Peer: p, Incarnation: 2, State: Here, Votes: []Vote{{By: "d01", Seq: 1<<32 - 1, Observation: Unreachable, Age: 12.5}, {By: "d02"}}}
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	assert.Contains(t, string(raw), `["d01",4294967295,2,12.5]`)
	var again Record
	require.NoError(t, json.Unmarshal(raw, &again))
	assert.Equal(t, r, again)
	for _, bad := range []string{`{"v":[["a",-1,0,0]]}`, `{"v":[[1]]}`, `{"v":["a"]}`} {
		assert.Error(t, json.Unmarshal([]byte(bad), &again), bad)
	}
}

func TestASenderOfAnEarlierIncarnationReceivesTheCurrentOne(t *testing.T) {
	m, now := viewOf(12)
	runFor(m, now, 1000, everyone)
	claim := Received{&Message{Kind: Gossip, From: peer(3), Incarnation: 1, State: Here, Records: []Record{{Peer: peer(0), Incarnation: 1, State: Away}}}}
	m.Step(*now, claim)
	out := m.Step(*now, claim)
	require.Len(t, out, 1)
	assert.Equal(t, peer(3).Name, out[0].(Send).To.Name)
	assert.Equal(t, uint32(2), out[0].(Send).Message.Incarnation)
}
