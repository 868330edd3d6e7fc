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

// here is a record of a door that is here.
func here(i int) Record { return Record{Peer: peer(i), Incarnation: 1, State: Here} }

// of returns door 0's view of n doors that are all here, itself included, and its clock.
func of(n int) (*Member, *float64) {
	m, now := New(peer(0), 1), new(float64)
	m.Step(0)
	for i := 1; i < n; i++ {
		m.Step(0, RemoteState{[]Record{here(i)}})
	}
	m.advance(m.self, Here, "test")
	m.rank()
	return m, now
}

// run plays ms of ticks; answering tells which doors answer looks.
func run(m *Member, now *float64, ms float64, answering func(i int) bool) (out []Action) {
	for end := *now + ms; *now < end; {
		*now += TickEvery
		var acks []Event
		for _, a := range m.Step(*now, Tick{}) {
			out = append(out, a)
			if s, ok := a.(Send); ok && s.Message.Kind == Look {
				for i := range 64 {
					if peer(i).Name == s.To.Name && answering(i) {
						acks = append(acks, Received{&Message{Kind: Ack, From: peer(i), Incarnation: 1, State: Here, No: s.Message.No}})
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

// votes is what observers say of a door, as another passes it on.
func votes(about int, says Says, by ...int) Event {
	r := here(about)
	for _, b := range by {
		r.Votes = append(r.Votes, Vote{By: peer(b).Name, Seq: 1 << 20, Says: says})
	}
	return Received{&Message{Kind: Gossip, From: peer(by[0]), Incarnation: 1, State: Here, Records: []Record{r}}}
}

func TestAllThatAnswerStayHere(t *testing.T) {
	m, now := of(12)
	run(m, now, 20e3, everyone)
	for i := range 12 {
		assert.Equal(t, Here, state(m, i))
	}
}

func TestOneDoorsDoubtIsShownAndIsNoVerdict(t *testing.T) {
	m, now := of(12)
	who := m.subjects[0]
	silent := func(i int) bool { return peer(i).Name != m.all[who].Name }
	run(m, now, 2300, silent)
	var others []int
	for i := 1; i < 12 && len(others) < 3; i++ {
		if peer(i).Name != m.all[who].Name {
			others = append(others, i)
		}
	}
	about := 0
	for i := range 12 {
		if peer(i).Name == m.all[who].Name {
			about = i
		}
	}
	m.Step(*now, votes(about, Reached, others...))
	run(m, now, 4000, silent)
	assert.Equal(t, Suspect, state(m, about), "it goes on being doubted here")
	m.Step(*now, votes(about, Silent, others...))
	assert.Equal(t, Suspect, state(m, about))
}

func TestMostObserversMakeAVerdictThatIsTold(t *testing.T) {
	m, now := of(12)
	m.Step(*now, votes(7, Silent, 1, 2, 3, 4, 5, 6))
	out := run(m, now, settle+2*TickEvery, everyone)
	assert.Equal(t, Away, state(m, 7))
	told := false
	for _, a := range out {
		if s, ok := a.(Send); ok && s.Message.Kind == Gossip {
			for _, r := range s.Message.Records {
				told = told || r.Name == peer(7).Name && r.State == Away
			}
		}
	}
	assert.True(t, told)
}

func TestAZonesOwnDoubtsDontStandAgainstOthersWord(t *testing.T) {
	m, now := of(12)
	m.Step(*now, votes(7, Reached, 2, 3))
	m.Step(*now, votes(7, Silent, 1, 4, 10)) // all of zone 1
	run(m, now, 3000, everyone)
	assert.NotEqual(t, Away, state(m, 7))
	m.Step(*now, votes(7, Silent, 6, 9)) // another zone's as well
	m, now = of(12)
	m.Step(*now, votes(7, Reached, 2))
	m.Step(*now, votes(7, Silent, 1, 4, 10, 6, 9))
	run(m, now, 1000, everyone)
	assert.Equal(t, Away, state(m, 7))
}

func TestADoorThatWasStoppedDoubtsNobody(t *testing.T) {
	m, now := of(12)
	run(m, now, 3000, everyone)
	*now += 30e3 // stopped, and all that came meanwhile was lost
	out := run(m, now, 1000, everyone)
	for i := range 12 {
		assert.Equal(t, Here, state(m, i))
	}
	for _, a := range out {
		_, changed := a.(Changed)
		assert.False(t, changed)
	}
	assert.InDelta(t, 30e3, m.Stopped(), 200)
}

func TestADoorThatNobodyAnswersDoubtsItself(t *testing.T) {
	m, now := of(12)
	run(m, now, 3000, everyone)
	for range 60 { // it hears one of them all the time
		run(m, now, 100, func(int) bool { return false })
		m.Step(*now, Received{&Message{Kind: Gossip, From: peer(5), Incarnation: 1, State: Here}})
	}
	for i := range 12 {
		assert.Equal(t, Here, state(m, i), "it casts no doubt on door %d", i)
	}
	run(m, now, 12e3, func(int) bool { return false })
	assert.Equal(t, Away, state(m, 3), "it hears nobody at all")
	for _, r := range m.All() {
		assert.NotEqual(t, Away, r.State, "and tells nobody so")
	}
	run(m, now, 1000, everyone)
	assert.Equal(t, Here, state(m, 3))
}

func TestOneHeldToBeAwayBeginsALaterLife(t *testing.T) {
	m, now := of(12)
	run(m, now, 1000, everyone)
	r := Record{Peer: peer(0), Incarnation: 1, State: Away}
	m.Step(*now, Received{&Message{Kind: Ack, From: peer(3), Incarnation: 1, State: Here, Records: []Record{r}}})
	_, s, life := m.Self()
	assert.Equal(t, Joining, s)
	assert.Equal(t, uint32(2), life)
	var from []Event
	for _, i := range m.subjects { // all of them are its observers too, where the fleet is small
		from = append(from, Received{&Message{Kind: Look, From: m.all[i].Peer, Incarnation: 1, State: Here, No: 1, Reached: 2}})
	}
	m.Step(*now, from...)
	run(m, now, 100, everyone)
	_, s, _ = m.Self()
	assert.Equal(t, Here, s)
}

func TestNobodyIsRaisedFromTheDead(t *testing.T) {
	m, now := of(12)
	m.Step(*now, votes(7, Silent, 1, 2, 3, 4, 5, 6))
	run(m, now, 1000, everyone)
	require.Equal(t, Away, state(m, 7))
	m.Step(*now, RemoteState{[]Record{here(7)}}, Received{&Message{Kind: Gossip, From: peer(2), Incarnation: 1, State: Here, Records: []Record{here(7)}}})
	assert.Equal(t, Away, state(m, 7), "what was said of the same life before doesn't count")
	next := here(7)
	next.Incarnation, next.State = 2, Joining
	m.Step(*now, RemoteState{[]Record{next}})
	assert.Equal(t, Joining, state(m, 7))
}

func TestAVerdictOfAnotherPartIsContested(t *testing.T) {
	m, now := of(12)
	run(m, now, 1000, everyone)
	gone := here(7)
	gone.State, gone.Age = Away, 30e3
	m.Step(*now, RemoteState{[]Record{gone}})
	assert.Equal(t, Here, state(m, 7))
	again := here(7)
	again.Incarnation, again.State = 2, Joining
	m.Step(*now, RemoteState{[]Record{again}})
	run(m, now, 2000, everyone)
	assert.Equal(t, Here, state(m, 7), "it gainsaid, and was here before")
	m.Step(*now, RemoteState{[]Record{func() Record { r := here(8); r.State = Away; return r }()}})
	run(m, now, contest+100, everyone)
	assert.Equal(t, Away, state(m, 8), "it did not")
}

func TestASecondProcessOfANameStandsBack(t *testing.T) {
	m, now := of(12)
	other := peer(4)
	other.Address, other.Nonce = "10.0.0.99:7946", 99
	out := m.Step(*now, Received{&Message{Kind: Look, From: other, Incarnation: 1, State: Joining, No: 1}})
	require.Len(t, out, 1)
	assert.Equal(t, Taken, out[0].(Send).Message.Kind)
	assert.Equal(t, peer(4).Address, out[0].(Send).Message.About)

	late := New(other, 1)
	late.Step(0)
	out = late.Step(10, Received{&Message{Kind: Taken, From: peer(0), Incarnation: 1, State: Here, About: peer(4).Address}})
	require.Len(t, out, 1)
	var taken *NameTakenError
	require.True(t, errors.As(out[0].(NameConflict).Err, &taken))
	assert.Equal(t, remedy.Refused, taken.Kind())
	assert.Contains(t, taken.Remedy(), "GW_NAME")
}

func TestANewProcessAtTheSamePlaceTakesTheNameOver(t *testing.T) {
	m, now := of(12)
	again := peer(4)
	again.Nonce = 77
	out := m.Step(*now, Received{&Message{Kind: Look, From: again, Incarnation: 1, State: Joining, No: 1}})
	require.NotEmpty(t, out)
	told := out[0].(Send).Message
	assert.Equal(t, Gossip, told.Kind)
	fresh := New(again, 1)
	fresh.Step(0)
	fresh.Step(10, Received{told})
	_, _, life := fresh.Self()
	assert.Equal(t, uint32(2), life)
	m.Step(*now, Received{&Message{Kind: Look, From: again, Incarnation: life, State: Joining, No: 2}})
	assert.NotEqual(t, Here, state(m, 4))
	assert.Equal(t, uint32(2), m.all[m.index[again.Name]].Incarnation)
}

func TestLeavingIsSaidAndEnds(t *testing.T) {
	m, now := of(4)
	m.Step(*now, Leave{})
	out := run(m, now, 3*leaveFor, everyone)
	var departed bool
	for _, a := range out {
		_, is := a.(Departed)
		departed = departed || is
	}
	assert.True(t, departed)
	_, s, _ := m.Self()
	assert.Equal(t, Left, s)
	assert.Empty(t, m.Step(*now+1000, Tick{}), "it says nothing any more")
}

func TestEveryDoorHasAsManyObserversOfEachZoneAsItsShare(t *testing.T) {
	m, _ := of(60)
	for i := range m.all {
		count := map[string]int{}
		for z := range m.zones {
			m.before(&m.zones[z], i, func(j int) bool {
				assert.NotEqual(t, i, j)
				count[m.all[j].Zone]++
				return false
			})
		}
		for zone, n := range count {
			assert.InDelta(t, observers/3.0, n, 1, zone)
		}
		assert.Equal(t, observers, m.observersOf(i), "they add up")
	}
}

func TestOneThatIsGoneForLongIsForgotten(t *testing.T) {
	m, now := of(5)
	gone := here(2)
	gone.State, gone.Incarnation = Left, 1
	m.Step(*now, RemoteState{[]Record{gone}})
	require.Equal(t, Left, state(m, 2))
	for range 70 {
		run(m, now, 10e3, everyone)
	}
	assert.Equal(t, Unknown, state(m, 2))
	assert.Equal(t, Here, state(m, 4))
	assert.Len(t, m.Rows(), 4)
}

func BenchmarkTick(b *testing.B) {
	m, now := of(60)
	run(m, now, 1000, everyone)
	b.ResetTimer()
	for range b.N {
		*now += TickEvery
		m.Step(*now, Tick{})
	}
}

func TestAVoteIsReadAsItWasWorded(t *testing.T) {
	p := peer(3)
	p.Number, p.Release = 7, "abc" // no field may hide another under its letter
	r := Record{Peer: p, Incarnation: 2, State: Here, Votes: []Vote{{By: "d01", Seq: 1<<32 - 1, Says: Silent, Age: 12.5}, {By: "d02"}}}
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

func TestOneWhoTellsOfAnEarlierLifeIsToldOfThePresent(t *testing.T) {
	m, now := of(12)
	run(m, now, 1000, everyone)
	claim := Received{&Message{Kind: Gossip, From: peer(3), Incarnation: 1, State: Here, Records: []Record{{Peer: peer(0), Incarnation: 1, State: Away}}}}
	m.Step(*now, claim)
	out := m.Step(*now, claim)
	require.Len(t, out, 1)
	assert.Equal(t, peer(3).Name, out[0].(Send).To.Name)
	assert.Equal(t, uint32(2), out[0].(Send).Message.Incarnation)
}
