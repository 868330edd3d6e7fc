package permits

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// site is a state with ready doors in two zones and a budget of one door per zone and two in total.
type site struct {
	*State
	now float64
	seq map[string]uint64
}

func newSite(doors int) *site {
	s := &site{New(), 0, map[string]uint64{}}
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 2, MinReady: 2, MinGapMs: 0}, {Kind: Door, Zone: EachZone, MaxOut: 1}}})
	for i := range doors {
		s.recordSighting(i, Ready, 1)
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

func sighting(i int, how Standing, incarnation uint64) Sighting {
	return Sighting{Unit: unit(i), Standing: how, Incarnation: incarnation, Process: incarnation * 100}
}

func (s *site) recordSighting(i int, how Standing, incarnation uint64) {
	s.do("watch", RecordSightings{[]Sighting{sighting(i, how, incarnation)}})
}

func (s *site) requestFor(i int) Answer {
	return s.do(unit(i).Name, RequestPermit{Unit: unit(i).Name, Kind: Door, Who: "op", Why: "release", HoldMs: 10e3})
}

func (s *site) confirm(i int, n uint64) Answer {
	return s.do(unit(i).Name, Confirm{n, 1, 100})
}

func TestPlaceStaysTakenUntilUnitIsBack(t *testing.T) {
	s := newSite(8)
	a := s.requestFor(0)
	require.NoError(t, a.Err)
	require.NoError(t, s.confirm(0, a.Number).Err)
	var denied *DeniedError
	require.ErrorAs(t, s.requestFor(2).Err, &denied)
	assert.Equal(t, []string{"d0"}, denied.Blocked)
	assert.Equal(t, "z0", denied.Zone)
	assert.Contains(t, denied.Remedy(), "d0")
	require.NoError(t, s.requestFor(1).Err, "the budget of the other zone has a place")
	for range 10 { // a place never becomes free by a timeout
		s.now += 10e3
		for _, i := range []int{2, 3, 4, 5, 6, 7} {
			s.recordSighting(i, Ready, 1)
		}
		assert.Error(t, s.requestFor(2).Err)
	}
	s.recordSighting(0, Failed, 1)
	s.recordSighting(0, Ready, 1)
	assert.Error(t, s.requestFor(2).Err, "a delayed sighting of the process that goes out")
	s.recordSighting(0, Starting, 2)
	assert.Error(t, s.requestFor(2).Err, "running, but not warm")
	s.recordSighting(0, Ready, 2)
	next := s.requestFor(2)
	require.NoError(t, next.Err)
	assert.Greater(t, next.Number, a.Number)
}

func TestRetryIsIdempotentAndOlderCommandIsRefused(t *testing.T) {
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

func TestFailedOrUnseenUnitCountsAsOut(t *testing.T) {
	s := newSite(8)
	s.recordSighting(2, Failed, 1)
	assert.Error(t, s.requestFor(0).Err, "one door of its zone is out already")
	require.NoError(t, s.requestFor(1).Err)
	s = newSite(8)
	s.now = 20e3 // all sightings have expired
	assert.Error(t, s.requestFor(1).Err)
}

func TestConfirmChecksEventsSinceTheGrant(t *testing.T) {
	s := newSite(8)
	n := s.requestFor(0).Number
	s.recordSighting(4, Failed, 1)
	var denied *DeniedError
	assert.ErrorAs(t, s.confirm(0, n).Err, &denied, "a failure has used up the budget")
	s.recordSighting(4, Ready, 1)
	require.NoError(t, s.confirm(0, n).Err)
	s.do("op", Halt{Who: "ana", Why: "errors"})
	var halted *HaltedError
	require.ErrorAs(t, s.confirm(0, n).Err, &halted, "it has not gone out yet, or it would not confirm again")
	assert.Contains(t, halted.Remedy(), "ana")
	s.do("op", Resume{Who: "ana"})
	s.now += 11e3
	var stale *StaleError
	assert.ErrorAs(t, s.confirm(0, n).Err, &stale, "its hold has expired")
	assert.ErrorAs(t, s.confirm(1, n).Err, &stale, "permit of another caller")
}

func TestSelfReportReturnsUnusedPermit(t *testing.T) {
	s := newSite(8)
	n := s.requestFor(0).Number
	s.do("d0", SelfReport{sighting(0, Ready, 1), n})
	assert.Len(t, s.Permits, 1, "the door intends to use it")
	s.do("another", SelfReport{sighting(0, Ready, 1), 0})
	assert.Len(t, s.Permits, 1, "reported by another caller")
	s.do("d0", SelfReport{sighting(0, Ready, 1), 0})
	assert.Empty(t, s.Permits)
	n = s.requestFor(0).Number
	require.NoError(t, s.do("op", WriteOff{n, "ana", "its machine is gone"}).Err)
	assert.Empty(t, s.Permits)
	assert.Equal(t, "its machine is gone", s.Audit[len(s.Audit)-1].Why)
	var unknown *UnknownError
	assert.ErrorAs(t, s.do("op", WriteOff{n, "ana", "again"}).Err, &unknown)
	assert.ErrorAs(t, s.do("x", RequestPermit{Unit: "nobody", Kind: Door}).Err, &unknown)
}

func TestWithoutBudgetPermitsAreDenied(t *testing.T) {
	s := newSite(4)
	s.do("watch", RecordSightings{[]Sighting{{Unit: Unit{Kind: Backend, Name: "b", Size: 2}, Standing: Ready, Incarnation: 1}}})
	assert.ErrorContains(t, s.do("x", RequestPermit{Unit: "b", Kind: Backend}).Err, "no budget")
}

func TestBudgetMinimumReadySizeAndGap(t *testing.T) {
	s := newSite(8)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 8, MinReady: 7}}})
	require.NoError(t, s.requestFor(0).Err)
	assert.ErrorContains(t, s.requestFor(1).Err, "at least 7")
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 8, MinReadySize: 6.5}}})
	assert.ErrorContains(t, s.requestFor(1).Err, "at least 6.5")
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 8, MinGapMs: 5000}}})
	assert.ErrorContains(t, s.requestFor(1).Err, "must pass")
	s.now = 5000
	for i := range 8 {
		s.recordSighting(i, Ready, 1)
	}
	require.NoError(t, s.requestFor(1).Err)
	var taken *TakenError
	assert.ErrorAs(t, s.requestFor(1).Err, &taken)
}

func TestStateClockNeverGoesBack(t *testing.T) {
	s := newSite(4)
	s.now = 9000
	s.recordSighting(1, Ready, 1)
	s.now = 1000
	s.recordSighting(1, Ready, 1)
	assert.Equal(t, 9000.0, s.NowMs)
}

func TestSuspendedHolderMustConfirmAgain(t *testing.T) {
	var h PermitHolder
	request := h.RequestSent(0, 10e3)
	assert.False(t, h.Answered(request+1, Answer{Number: 3}), "no answer to that command is pending")
	require.True(t, h.Answered(request, Answer{Number: 3}))
	assert.False(t, h.MayGo(100), "not without a Confirm")
	confirm := h.ConfirmSent(200)
	require.True(t, h.Answered(confirm, Answer{Number: 3}))
	assert.True(t, h.MayGo(900))
	assert.False(t, h.MayGo(1300), "it was suspended after its Confirm")
	again := h.ConfirmSent(1300)
	assert.False(t, h.Answered(confirm, Answer{Number: 3}), "the answer to an earlier Confirm is ignored")
	require.True(t, h.Answered(again, Answer{Number: 3}))
	assert.True(t, h.MayGo(1350))
	late := h.ConfirmSent(8500)
	h.Answered(late, Answer{Number: 3})
	assert.False(t, h.MayGo(8600), "by its own clock the hold is nearly over")
	h.Drop()
	assert.Zero(t, h.Number)
	assert.Greater(t, h.NextSeq(), late)
}
