package permits

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// site is a state with doors that are ready, two zones, and a budget of one in each and two in all.
type site struct {
	*State
	now float64
	seq map[string]uint64
}

func newSite(doors int) *site {
	s := &site{New(), 0, map[string]uint64{}}
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 2, MinReady: 2, RestMs: 0}, {Kind: Door, Zone: EachZone, MaxOut: 1}}})
	for i := range doors {
		s.seen(i, Ready, 1)
	}
	return s
}

func (s *site) do(caller string, what any) Answer {
	s.seq[caller]++
	return s.Apply(Command{Caller: caller, Seq: s.seq[caller], AtMs: s.now, Do: what})
}

func unit(i int) Unit {
	return Unit{Kind: Door, Name: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%2), Size: 1}
}

func sight(i int, how Standing, life uint64) Sighting {
	return Sighting{Unit: unit(i), Standing: how, Incarnation: life, Process: life * 100}
}

func (s *site) seen(i int, how Standing, life uint64) {
	s.do("watch", RecordSightings{[]Sighting{sight(i, how, life)}})
}

func (s *site) ask(i int) Answer {
	return s.do(unit(i).Name, RequestPermit{Unit: unit(i).Name, Kind: Door, Who: "op", Why: "release", HoldMs: 10e3})
}

func (s *site) confirm(i int, n uint64) Answer {
	return s.do(unit(i).Name, Confirm{n, 1, 100})
}

func TestAPlaceIsTakenUntilTheOneThatWentIsBack(t *testing.T) {
	s := newSite(8)
	a := s.ask(0)
	require.NoError(t, a.Err)
	require.NoError(t, s.confirm(0, a.Number).Err)
	var denied *DeniedError
	require.ErrorAs(t, s.ask(2).Err, &denied)
	assert.Equal(t, []string{"d0"}, denied.Blocked)
	assert.Equal(t, "z0", denied.Zone)
	assert.Contains(t, denied.Remedy(), "d0")
	require.NoError(t, s.ask(1).Err, "the other zone has a place")
	for range 10 { // time frees nothing
		s.now += 10e3
		for _, i := range []int{2, 3, 4, 5, 6, 7} {
			s.seen(i, Ready, 1)
		}
		assert.Error(t, s.ask(2).Err)
	}
	s.seen(0, Failed, 1)
	s.seen(0, Ready, 1)
	assert.Error(t, s.ask(2).Err, "a word of the process that is to go, late on its way")
	s.seen(0, Starting, 2)
	assert.Error(t, s.ask(2).Err, "here, and not warm")
	s.seen(0, Ready, 2)
	next := s.ask(2)
	require.NoError(t, next.Err)
	assert.Greater(t, next.Number, a.Number)
}

func TestARepeatChangesNothingAndAnOlderCommandIsRefused(t *testing.T) {
	s := newSite(8)
	c := Command{Caller: "d0", Seq: 5, Do: RequestPermit{Unit: "d0", Kind: Door, HoldMs: 1e4}}
	a := s.Apply(c)
	require.NoError(t, a.Err)
	assert.Equal(t, a, s.Apply(c))
	assert.Len(t, s.Permits, 1)
	c.Seq = 4
	var repeat *RepeatError
	assert.ErrorAs(t, s.Apply(c).Err, &repeat)
}

func TestWhatFailedOrWasNotSeenCountsAsOut(t *testing.T) {
	s := newSite(8)
	s.seen(2, Failed, 1)
	assert.Error(t, s.ask(0).Err, "its zone has one out already")
	require.NoError(t, s.ask(1).Err)
	s = newSite(8)
	s.now = 20e3 // nobody has been seen for long
	assert.Error(t, s.ask(1).Err)
}

func TestTheLastLookFindsWhatHasHappenedSince(t *testing.T) {
	s := newSite(8)
	n := s.ask(0).Number
	s.seen(4, Failed, 1)
	var denied *DeniedError
	assert.ErrorAs(t, s.confirm(0, n).Err, &denied, "a failure used the budget up")
	s.seen(4, Ready, 1)
	require.NoError(t, s.confirm(0, n).Err)
	s.do("op", Halt{Who: "ana", Why: "errors"})
	var halted *HaltedError
	require.ErrorAs(t, s.confirm(0, n).Err, &halted, "it has not gone so far, or it would not ask")
	assert.Contains(t, halted.Remedy(), "ana")
	s.do("op", Resume{Who: "ana"})
	s.now += 11e3
	var stale *StaleError
	assert.ErrorAs(t, s.confirm(0, n).Err, &stale, "held for too long")
	assert.ErrorAs(t, s.confirm(1, n).Err, &stale, "another's")
}

func TestOnesOwnWordGivesBackWhatIsNotUsed(t *testing.T) {
	s := newSite(8)
	n := s.ask(0).Number
	s.do("d0", SelfReport{sight(0, Ready, 1), n})
	assert.Len(t, s.Permits, 1, "it means to use it")
	s.do("another", SelfReport{sight(0, Ready, 1), 0})
	assert.Len(t, s.Permits, 1, "said by another")
	s.do("d0", SelfReport{sight(0, Ready, 1), 0})
	assert.Empty(t, s.Permits)
	n = s.ask(0).Number
	require.NoError(t, s.do("op", WriteOff{n, "ana", "its machine is gone"}).Err)
	assert.Empty(t, s.Permits)
	assert.Equal(t, "its machine is gone", s.Audit[len(s.Audit)-1].Why)
	var unknown *UnknownError
	assert.ErrorAs(t, s.do("op", WriteOff{n, "ana", "again"}).Err, &unknown)
	assert.ErrorAs(t, s.do("x", RequestPermit{Unit: "nobody", Kind: Door}).Err, &unknown)
}

func TestWithoutABudgetNothingGoesOut(t *testing.T) {
	s := newSite(4)
	s.do("watch", RecordSightings{[]Sighting{{Unit: Unit{Kind: Backend, Name: "b", Size: 2}, Standing: Ready, Incarnation: 1}}})
	assert.ErrorContains(t, s.do("x", RequestPermit{Unit: "b", Kind: Backend}).Err, "no budget")
}

func TestLeastHereSizeAndRest(t *testing.T) {
	s := newSite(8)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 8, MinReady: 7}}})
	require.NoError(t, s.ask(0).Err)
	assert.ErrorContains(t, s.ask(1).Err, "at least 7")
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 8, LeastSize: 6.5}}})
	assert.ErrorContains(t, s.ask(1).Err, "at least 6.5")
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 8, RestMs: 5000}}})
	assert.ErrorContains(t, s.ask(1).Err, "must pass")
	s.now = 5000
	for i := range 8 {
		s.seen(i, Ready, 1)
	}
	require.NoError(t, s.ask(1).Err)
	var taken *TakenError
	assert.ErrorAs(t, s.ask(1).Err, &taken)
}

func TestTheClockNeverGoesBack(t *testing.T) {
	s := newSite(4)
	s.now = 9000
	s.seen(1, Ready, 1)
	s.now = 1000
	s.seen(1, Ready, 1)
	assert.Equal(t, 9000.0, s.NowMs)
}

func TestAHolderThatWasStoppedLooksAgain(t *testing.T) {
	var h PermitHolder
	ask := h.RequestSent(0, 10e3)
	assert.False(t, h.Answered(ask+1, Answer{Number: 3}), "no answer to that is waited for")
	require.True(t, h.Answered(ask, Answer{Number: 3}))
	assert.False(t, h.MayGo(100), "not without the last look")
	look := h.ConfirmSent(200)
	require.True(t, h.Answered(look, Answer{Number: 3}))
	assert.True(t, h.MayGo(900))
	assert.False(t, h.MayGo(1300), "it was stopped since")
	again := h.ConfirmSent(1300)
	assert.False(t, h.Answered(look, Answer{Number: 3}), "an answer to an earlier look doesn't count")
	require.True(t, h.Answered(again, Answer{Number: 3}))
	assert.True(t, h.MayGo(1350))
	late := h.ConfirmSent(8500)
	h.Answered(late, Answer{Number: 3})
	assert.False(t, h.MayGo(8600), "its own clock says that the hold is nearly over")
	h.Drop()
	assert.Zero(t, h.Number)
	assert.Greater(t, h.NextSeq(), late)
}
