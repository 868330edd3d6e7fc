package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/permits"
)

func wall() float64 { return float64(time.Now().UnixMilli()) }

// byHand is a change that people do.
func byHand(name string, fromMs, toMs float64) calendar.Change {
	return calendar.Change{Name: name, Kind: calendar.Coordinators, Subject: calendar.Subject{Scope: calendar.Plans, Names: []string{name}}, Window: calendar.Span{FromMs: fromMs, ToMs: toMs},
		Waves: 1, Do: json.RawMessage(`{"manual":"look"}`)}
}

func agreed(t *testing.T, c *client.Client) *calendar.State {
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(soon(t), client.CalendarPath, client.CalendarQuestion{Events: true}, &a))
	s := calendar.New()
	require.NoError(t, json.Unmarshal(a.Calendar, s))
	return s
}

// onTime has the calendar be in use, and waits until its time is agreed.
func onTime(t *testing.T, c *client.Client) {
	give(t, c, "first use", 1, calendar.SetRules{Who: "ana"})
	within(t, "agreed time", func() bool { return agreed(t, c).ClockProblem == "" })
}

// A coordinator of an earlier release ends itself where it meets a command that it doesn't know: nothing of the calendar is said
// before somebody uses it.
func TestNothingIsSaidOfACalendarThatNobodyUses(t *testing.T) {
	all := peers(t, 1)
	leader(t, all)
	c := asker(all)
	ch := byHand("x", wall()+3600e3, wall()+7200e3)
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(soon(t), client.CalendarPath, client.CalendarQuestion{Change: &ch, Most: 1}, &a))
	require.Len(t, a.Free, 1)
	assert.InDelta(t, wall(), a.Free[0].FromMs, 60e3, "from now on, not from 1970")
	give(t, c, "op", 1, permits.Note{What: "x"}) // behind whatever a clock would have said
	before := all[0].raft.AppliedIndex()
	within(t, "some rounds of sightings, longer than clocks wait", func() bool { return all[0].raft.AppliedIndex() > before+2 })
	assert.Empty(t, agreed(t, c).Readings)
	onTime(t, c)
	assert.NotEmpty(t, agreed(t, c).Readings)
}

func plan(t *testing.T, c *client.Client, change calendar.Change) uint64 {
	a := give(t, c, fmt.Sprint("plan ", change.Name), 1, calendar.Plan{Change: change, Who: "ana"})
	require.NoError(t, a.Err)
	return a.Number
}

// started lists when each entry began, by the history.
func started(s *calendar.State) map[uint64][]float64 {
	at := map[uint64][]float64{}
	for _, e := range s.Events {
		if strings.HasSuffix(e.What, "-> "+string(calendar.Running)) {
			at[e.ID] = append(at[e.ID], e.AtMs)
		}
	}
	return at
}

// One of three clocks is ten minutes ahead, and its coordinator leads: nothing begins early by that, and nothing is missed. The
// entry begins once, though the one that leads is lost right when it is due.
func TestACoordinatorWhoseClockIsAheadBeginsNothingEarly(t *testing.T) {
	var all []*peer
	for i := range 3 {
		p := fresh(t, fmt.Sprint("c-", i))
		if i == 0 {
			p.options.Wrong = 10 * time.Minute
		}
		all = append(all, p)
	}
	begin(t, all)
	leader(t, all)
	within(t, "the one whose clock is ahead leads", func() bool {
		at := leader(t, all)
		if at == all[0] {
			return true
		}
		_ = at.raft.LeadershipTransferToServer(raft.ServerID(all[0].cfg.Name), raft.ServerAddress(all[0].cfg.Listen)).Error()
		return false
	})
	c := asker(all)
	onTime(t, c)
	assert.InDelta(t, wall(), agreed(t, c).WallMs, 10e3)
	long := plan(t, c, byHand("long", wall()+10*60e3-5e3, wall()+10*60e3+2000)) // by that clock it would be due, and soon missed
	due := wall() + 6e3
	id := plan(t, c, byHand("soon", due, due+60e3))
	within(t, "it is due", func() bool { return agreed(t, c).Entries[id].Stage != calendar.Approved })
	all[0].end()
	leader(t, all[1:])
	within(t, "it has begun", func() bool { return agreed(t, c).Entries[id].Stage == calendar.Running })
	s := agreed(t, c)
	assert.GreaterOrEqual(t, wall(), due)
	require.Len(t, started(s)[id], 1)
	assert.GreaterOrEqual(t, started(s)[id][0], due)
	assert.Equal(t, calendar.Approved, s.Entries[long].Stage)
	assert.Equal(t, 1, s.Entries[id].Starts)
}

func begin(t *testing.T, all []*peer) {
	for _, p := range all {
		p.cfg.Members = nil
		for _, o := range all {
			p.cfg.Members = append(p.cfg.Members, named(o))
		}
	}
	for _, p := range all {
		p.start(t)
	}
}

func TestARecurringFreezeIsKnownFurtherAheadBeforeItEnds(t *testing.T) {
	all := peers(t, 1)
	leader(t, all)
	c := asker(all)
	onTime(t, c)
	a := give(t, c, "bea", 1, calendar.SetFreeze{Freeze: calendar.Freeze{Name: "nights", Subject: calendar.Subject{Scope: calendar.Fleet}, ThroughMs: wall() + 1000, RunningPolicy: calendar.HaltAfterWave,
		When: calendar.Recurrence{Begin: "2026-01-01T22:00", Minutes: 60, RRule: "FREQ=DAILY", TimeZone: "Europe/Lisbon"}, Who: "bea", Why: "sleep"}})
	require.NoError(t, a.Err)
	within(t, "it is worked out", func() bool { return len(agreed(t, c).Freezes[a.Number].Spans) > 300 })
	var next client.CalendarAnswer
	ch := byHand("x", wall(), wall()+3600e3)
	ch.SoakMs = 22 * 3600e3
	require.NoError(t, c.Ask(soon(t), client.CalendarPath, client.CalendarQuestion{Change: &ch, Most: 3}, &next))
	assert.Len(t, next.Free, 3, "between the nights")
	assert.NotEmpty(t, next.Met, "the window is too short")
}

func TestACalendarOfARestoredStateLetsNothingGoOn(t *testing.T) {
	all := peers(t, 1)
	leader(t, all)
	c := asker(all)
	onTime(t, c)
	id := plan(t, c, byHand("x", wall()-1000, wall()+60e3))
	within(t, "it runs", func() bool { return agreed(t, c).Entries[id].Stage == calendar.Running })
	p := all[0]
	p.end()
	p.options.Restore = true
	p.start(t)
	leader(t, all)
	c = asker(all)
	assert.Equal(t, calendar.Halted, agreed(t, c).Entries[id].Stage, "from the first word of the one that leads")
	give(t, c, "op", 1, calendar.Resume{ID: id, Who: "op"})
	p.set(nil)
	p.Coordinator.begin() // it leads anew: the restore is told once
	assert.Equal(t, calendar.Running, agreed(t, c).Entries[id].Stage)
}

func TestABareAnswerHoldsTheEntryAndWhatItWaitsFor(t *testing.T) {
	all := peers(t, 1)
	leader(t, all)
	c := asker(all)
	first, second := byHand("a", wall()+3600e3, wall()+7200e3), byHand("b", wall()+3600e3, wall()+7200e3)
	id := plan(t, c, first)
	plan(t, c, second)
	third := byHand("c", wall()+3600e3, wall()+7200e3)
	third.After = []uint64{id}
	last := plan(t, c, third)
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(soon(t), client.CalendarPath, client.CalendarQuestion{ID: last, Bare: true}, &a))
	s := calendar.New()
	require.NoError(t, json.Unmarshal(a.Calendar, s))
	assert.Len(t, s.Entries, 2)
	assert.NotNil(t, s.Entries[id])
	assert.Empty(t, s.Events)
	assert.NotEmpty(t, agreed(t, c).Events)
	assert.Len(t, agreed(t, c).Entries, 3, "the state itself has all")
}

func TestAnEntryThatCantGoOutSaysWhy(t *testing.T) {
	all := peers(t, 1)
	leader(t, all)
	c := asker(all)
	onTime(t, c)
	life := give(t, c, "d/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: "d"}, Process: 1}).Number
	require.NotZero(t, life)
	ch := calendar.Change{Name: "x", Kind: calendar.Drain, Subject: calendar.Subject{Scope: calendar.Doors, Names: []string{"d"}}, Window: calendar.Span{FromMs: wall() - 1000, ToMs: wall() + 60e3}, Waves: 1,
		Do: json.RawMessage(`{"drain":{"kind":"door","name":"d"}}`), Rollback: json.RawMessage(`{"undo":true}`)}
	id := plan(t, c, ch)
	within(t, "it is due", func() bool { return agreed(t, c).Entries[id].Stage == calendar.Due })
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(soon(t), client.CalendarPath, client.CalendarQuestion{ID: id}, &a))
	var denied *permits.DeniedError
	require.ErrorAs(t, a.InTheWay.Err, &denied, "there is no budget")
	other := plan(t, c, byHand("y", wall()-1000, wall()+60e3))
	within(t, "what can't go out holds up no other", func() bool { return agreed(t, c).Entries[other].Stage == calendar.Running })
	assert.Equal(t, calendar.Due, agreed(t, c).Entries[id].Stage)
	give(t, c, "op", 1, budgets)
	says(t, c, "d", life, 2, 0)
	within(t, "it runs", func() bool { return agreed(t, c).Entries[id].Stage == calendar.Running })
	assert.Len(t, status(t, c).Places, 1)
	give(t, c, "bea", 1, calendar.SetFreeze{Freeze: calendar.Freeze{Name: "f", Subject: calendar.Subject{Scope: calendar.Fleet}, Spans: []calendar.Span{{FromMs: 0, ToMs: wall() + 3600e3}},
		RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "x"}})
	err := c.Ask(soon(t), client.MembersPath, client.Change{Add: true, Name: "c-9", Address: "127.0.0.1:1", Who: "op", Why: "x"}, &struct{}{})
	assert.ErrorContains(t, err, `freeze`, "the coordinators are no exception")
}

// Each event is told at least once, in order, with its number: the file has them all, the hook too, though its first tries fail.
// One that hangs is ended after its time and tries, with what it started, and the coordinator goes on.
func TestEventsAreToldAndAHookThatHangsHoldsNothingUp(t *testing.T) {
	dir := t.TempDir()
	heard, fails, child := filepath.Join(dir, "heard"), filepath.Join(dir, "fails"), filepath.Join(dir, "child")
	hook := filepath.Join(dir, "hook")
	require.NoError(t, os.WriteFile(hook, []byte("#!/bin/sh\nread -r line\nif [ ! -e "+fails+" ]; then touch "+fails+"; exit 1; fi\ncase \"$line\" in *hangs*) sleep 600 & echo $! >>"+child+"; wait;; esac\necho \"$line\" >>"+heard+"\n"), 0o700))
	p := fresh(t, "c-0")
	p.cfg.Calendar.Events = filepath.Join(dir, "events")
	p.cfg.Calendar.Hook, p.cfg.Calendar.HookMs, p.cfg.Calendar.Tries = []string{hook}, 400, 2
	all := []*peer{p}
	begin(t, all)
	leader(t, all)
	c := asker(all)
	for _, name := range []string{"one", "hangs", "two"} {
		ch := byHand(name, wall()+3600e3, wall()+7200e3)
		give(t, c, "plan "+name, 1, calendar.Plan{Change: ch, Who: "ana", Draft: true})
	}
	within(t, "all is told", func() bool { s := agreed(t, c); return s.LastEvent > 0 && s.Acknowledged == s.LastEvent })
	lines := func(file string) (numbers []uint64) {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, l := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
			var e calendar.Event
			require.NoError(t, json.Unmarshal(l, &e))
			numbers = append(numbers, e.Number)
		}
		return numbers
	}
	assert.Equal(t, []uint64{1, 2, 3}, lines(p.cfg.Calendar.Events))
	assert.Equal(t, []uint64{1, 3}, lines(heard), "the second never ended")
	raw, err := os.ReadFile(child)
	require.NoError(t, err)
	children := strings.Fields(string(raw))
	assert.Len(t, children, 2, "two tries")
	for _, text := range children {
		var pid int
		_, err := fmt.Sscan(text, &pid)
		require.NoError(t, err)
		within(t, "what it started is gone", func() bool { return gone(pid) })
	}
}

// gone tells whether a process has ended, collected or not.
func gone(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || syscall.Kill(pid, 0) != nil || bytes.Contains(raw, []byte(") Z "))
}
