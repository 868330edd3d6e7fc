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

func wallMs() float64 { return float64(time.Now().UnixMilli()) }

// manualChange returns a change that is carried out by hand.
func manualChange(name string, fromMs, toMs float64) calendar.Change {
	return calendar.Change{Name: name, Kind: calendar.Coordinators, Subject: calendar.Subject{Scope: calendar.Plans, Names: []string{name}}, Window: calendar.Span{FromMs: fromMs, ToMs: toMs},
		Waves: 1, Do: json.RawMessage(`{"manual":"look"}`)}
}

// calendarState queries the calendar with its events.
func calendarState(t *testing.T, c *client.Client) *calendar.State {
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(shortContext(t), client.CalendarPath, client.CalendarQuery{Events: true}, &a))
	s := calendar.New()
	require.NoError(t, json.Unmarshal(a.Calendar, s))
	return s
}

// useCalendar makes a first use of the calendar, and waits until its time is agreed.
func useCalendar(t *testing.T, c *client.Client) {
	command(t, c, "first use", 1, calendar.SetRules{Who: "ana"})
	eventually(t, "agreed time", func() bool { return calendarState(t, c).ClockProblem == "" })
}

// A coordinator of an earlier release terminates when it has to apply a command that it doesn't know. Therefore no clock is
// reported before the calendar is used.
func TestNoClockIsReportedBeforeTheCalendarIsUsed(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	ch := manualChange("x", wallMs()+3600e3, wallMs()+7200e3)
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(shortContext(t), client.CalendarPath, client.CalendarQuery{Change: &ch, MaxFree: 1}, &a))
	require.Len(t, a.Free, 1)
	assert.InDelta(t, wallMs(), a.Free[0].FromMs, 60e3, "free from now on, not from 1970")
	command(t, c, "op", 1, permits.Note{What: "x"}) // is applied after any clock that was reported
	before := all[0].raft.AppliedIndex()
	eventually(t, "some rounds of the leader, which take longer than clockRetryInterval", func() bool { return all[0].raft.AppliedIndex() > before+2 })
	assert.Empty(t, calendarState(t, c).Readings)
	useCalendar(t, c)
	assert.NotEmpty(t, calendarState(t, c).Readings)
}

// plan adds a change to the calendar and returns the number of its entry.
func plan(t *testing.T, c *client.Client, change calendar.Change) uint64 {
	a := command(t, c, fmt.Sprint("plan ", change.Name), 1, calendar.Plan{Change: change, Who: "ana"})
	require.NoError(t, a.Err)
	return a.Number
}

// startTimes returns the times at which each entry started, from the calendar's events.
func startTimes(s *calendar.State) map[uint64][]float64 {
	at := map[uint64][]float64{}
	for _, e := range s.Events {
		if strings.HasSuffix(e.What, "-> "+string(calendar.Running)) {
			at[e.ID] = append(at[e.ID], e.AtMs)
		}
	}
	return at
}

// The clock of one of three coordinators is ten minutes ahead, and it leads. No entry starts early or is missed because of that. An
// entry starts exactly once, even if the leader is lost at the moment the entry is due.
func TestACoordinatorWhoseClockIsAheadStartsNothingEarly(t *testing.T) {
	var all []*peer
	for i := range 3 {
		p := newPeer(t, fmt.Sprint("c-", i))
		if i == 0 {
			p.options.ClockOffset = 10 * time.Minute
		}
		all = append(all, p)
	}
	startAll(t, all)
	waitLeader(t, all)
	eventually(t, "the one whose clock is ahead leads", func() bool {
		at := waitLeader(t, all)
		if at == all[0] {
			return true
		}
		_ = at.raft.LeadershipTransferToServer(raft.ServerID(all[0].cfg.Name), raft.ServerAddress(all[0].cfg.Listen)).Error()
		return false
	})
	c := newClient(all)
	useCalendar(t, c)
	assert.InDelta(t, wallMs(), calendarState(t, c).WallMs, 10e3)
	long := plan(t, c, manualChange("long", wallMs()+10*60e3-5e3, wallMs()+10*60e3+2000)) // by the wrong clock it would be due, and soon missed
	due := wallMs() + 6e3
	id := plan(t, c, manualChange("soon", due, due+60e3))
	eventually(t, "it is due", func() bool { return calendarState(t, c).Entries[id].Stage != calendar.Approved })
	all[0].stop()
	waitLeader(t, all[1:])
	eventually(t, "it has started", func() bool { return calendarState(t, c).Entries[id].Stage == calendar.Running })
	s := calendarState(t, c)
	assert.GreaterOrEqual(t, wallMs(), due)
	require.Len(t, startTimes(s)[id], 1)
	assert.GreaterOrEqual(t, startTimes(s)[id][0], due)
	assert.Equal(t, calendar.Approved, s.Entries[long].Stage)
	assert.Equal(t, 1, s.Entries[id].Starts)
}

// startAll starts peers as the members of one fleet.
func startAll(t *testing.T, all []*peer) {
	for _, p := range all {
		p.cfg.Members = nil
		for _, o := range all {
			p.cfg.Members = append(p.cfg.Members, listenAddress(o))
		}
	}
	for _, p := range all {
		p.start(t)
	}
}

func TestARecurringFreezeIsExtendedBeforeItsKnownOccurrencesEnd(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	useCalendar(t, c)
	a := command(t, c, "bea", 1, calendar.SetFreeze{Freeze: calendar.Freeze{Name: "nights", Subject: calendar.Subject{Scope: calendar.Fleet}, ThroughMs: wallMs() + 1000, RunningPolicy: calendar.HaltAfterWave,
		When: calendar.Recurrence{Begin: "2026-01-01T22:00", Minutes: 60, RRule: "FREQ=DAILY", TimeZone: "Europe/Lisbon"}, Who: "bea", Why: "sleep"}})
	require.NoError(t, a.Err)
	eventually(t, "its occurrences are computed", func() bool { return len(calendarState(t, c).Freezes[a.Number].Spans) > 300 })
	var next client.CalendarAnswer
	ch := manualChange("x", wallMs(), wallMs()+3600e3)
	ch.SoakMs = 22 * 3600e3
	require.NoError(t, c.Ask(shortContext(t), client.CalendarPath, client.CalendarQuery{Change: &ch, MaxFree: 3}, &next))
	assert.Len(t, next.Free, 3, "windows between the occurrences")
	assert.NotEmpty(t, next.Conflicts, "the window is too short")
}

func TestRunningEntriesAreHaltedAfterARestore(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	useCalendar(t, c)
	id := plan(t, c, manualChange("x", wallMs()-1000, wallMs()+60e3))
	eventually(t, "it runs", func() bool { return calendarState(t, c).Entries[id].Stage == calendar.Running })
	p := all[0]
	p.stop()
	p.options.Restore = true
	p.start(t)
	waitLeader(t, all)
	c = newClient(all)
	assert.Equal(t, calendar.Halted, calendarState(t, c).Entries[id].Stage, "from the beginning of the leader's term")
	command(t, c, "op", 1, calendar.Resume{ID: id, Who: "op"})
	p.setTerm(nil)
	p.Coordinator.beginTerm() // in a new term of the same process the restore isn't recorded again
	assert.Equal(t, calendar.Running, calendarState(t, c).Entries[id].Stage)
}

func TestAnEntryOnlyAnswerHasTheEntryAndItsPredecessors(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	first, second := manualChange("a", wallMs()+3600e3, wallMs()+7200e3), manualChange("b", wallMs()+3600e3, wallMs()+7200e3)
	id := plan(t, c, first)
	plan(t, c, second)
	third := manualChange("c", wallMs()+3600e3, wallMs()+7200e3)
	third.After = []uint64{id}
	last := plan(t, c, third)
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(shortContext(t), client.CalendarPath, client.CalendarQuery{ID: last, EntryOnly: true}, &a))
	s := calendar.New()
	require.NoError(t, json.Unmarshal(a.Calendar, s))
	assert.Len(t, s.Entries, 2)
	assert.NotNil(t, s.Entries[id])
	assert.Empty(t, s.Events)
	assert.NotEmpty(t, calendarState(t, c).Events)
	assert.Len(t, calendarState(t, c).Entries, 3, "the state itself still has all entries")
}

func TestADeniedEntryReportsItsObstacleAndBlocksNoOther(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	useCalendar(t, c)
	incarnation := command(t, c, "d/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: "d"}, Process: 1}).Number
	require.NotZero(t, incarnation)
	ch := calendar.Change{Name: "x", Kind: calendar.Drain, Subject: calendar.Subject{Scope: calendar.Doors, Names: []string{"d"}}, Window: calendar.Span{FromMs: wallMs() - 1000, ToMs: wallMs() + 60e3}, Waves: 1,
		Do: json.RawMessage(`{"drain":{"kind":"door","name":"d"}}`), Rollback: json.RawMessage(`{"undo":true}`)}
	id := plan(t, c, ch)
	eventually(t, "it is due", func() bool { return calendarState(t, c).Entries[id].Stage == calendar.Due })
	var a client.CalendarAnswer
	require.NoError(t, c.Ask(shortContext(t), client.CalendarPath, client.CalendarQuery{ID: id}, &a))
	var denied *permits.DeniedError
	require.ErrorAs(t, a.Obstacle.Err, &denied, "no budget is set")
	other := plan(t, c, manualChange("y", wallMs()-1000, wallMs()+60e3))
	eventually(t, "a denied entry blocks no other", func() bool { return calendarState(t, c).Entries[other].Stage == calendar.Running })
	assert.Equal(t, calendar.Due, calendarState(t, c).Entries[id].Stage)
	command(t, c, "op", 1, budgets)
	reportDoor(t, c, "d", incarnation, 2, 0)
	eventually(t, "it runs", func() bool { return calendarState(t, c).Entries[id].Stage == calendar.Running })
	assert.Len(t, status(t, c).Permits, 1)
	command(t, c, "bea", 1, calendar.SetFreeze{Freeze: calendar.Freeze{Name: "f", Subject: calendar.Subject{Scope: calendar.Fleet}, Spans: []calendar.Span{{FromMs: 0, ToMs: wallMs() + 3600e3}},
		RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "x"}})
	err := c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Add: true, Name: "c-9", Address: "127.0.0.1:1", Who: "op", Why: "x"}, &struct{}{})
	assert.ErrorContains(t, err, `freeze`, "a freeze applies to changes of the coordinators")
}

// Each event is delivered at least once, in order, with its number, to the file and to the hook, even if the hook fails at first. A
// hook that hangs is killed with its children after its timeout, in each attempt, and the coordinator continues with the next event.
func TestEventsAreDeliveredInSpiteOfAHangingHook(t *testing.T) {
	dir := t.TempDir()
	received, failed, child := filepath.Join(dir, "heard"), filepath.Join(dir, "fails"), filepath.Join(dir, "child")
	hook := filepath.Join(dir, "hook")
	require.NoError(t, os.WriteFile(hook, []byte("#!/bin/sh\nread -r line\nif [ ! -e "+failed+" ]; then touch "+failed+"; exit 1; fi\ncase \"$line\" in *hangs*) sleep 600 & echo $! >>"+child+"; wait;; esac\necho \"$line\" >>"+received+"\n"), 0o700))
	p := newPeer(t, "c-0")
	p.cfg.Calendar.Events = filepath.Join(dir, "events")
	p.cfg.Calendar.Hook, p.cfg.Calendar.HookMs, p.cfg.Calendar.Tries = []string{hook}, 400, 2
	all := []*peer{p}
	startAll(t, all)
	waitLeader(t, all)
	c := newClient(all)
	for _, name := range []string{"one", "hangs", "two"} {
		ch := manualChange(name, wallMs()+3600e3, wallMs()+7200e3)
		command(t, c, "plan "+name, 1, calendar.Plan{Change: ch, Who: "ana", Draft: true})
	}
	eventually(t, "all events are acknowledged", func() bool { s := calendarState(t, c); return s.LastEvent > 0 && s.Acknowledged == s.LastEvent })
	numbersIn := func(file string) (numbers []uint64) {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, l := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
			var e calendar.Event
			require.NoError(t, json.Unmarshal(l, &e))
			numbers = append(numbers, e.Number)
		}
		return numbers
	}
	assert.Equal(t, []uint64{1, 2, 3}, numbersIn(p.cfg.Calendar.Events))
	assert.Equal(t, []uint64{1, 3}, numbersIn(received), "the hook never finished the second event")
	raw, err := os.ReadFile(child)
	require.NoError(t, err)
	children := strings.Fields(string(raw))
	assert.Len(t, children, 2, "two attempts")
	for _, field := range children {
		var pid int
		_, err := fmt.Sscan(field, &pid)
		require.NoError(t, err)
		eventually(t, "the hook's child process has exited", func() bool { return hasExited(pid) })
	}
}

// Guards against a coordinator that goes on giving a batch of events to its receivers after another one has begun to lead. Its leadership
// ends while its hook holds the first event.
func TestEventsAreNotDeliveredOnceAnotherCoordinatorLeads(t *testing.T) {
	dir := t.TempDir()
	proceed := filepath.Join(dir, "proceed")
	received := func(p *peer) string { return filepath.Join(dir, "received-"+p.cfg.Name) }
	var all []*peer
	for i := range 3 {
		p := newPeer(t, fmt.Sprint("c-", i))
		hook := filepath.Join(dir, "hook-"+p.cfg.Name)
		require.NoError(t, os.WriteFile(hook, []byte("#!/bin/sh\ncat >>"+received(p)+"\nwhile [ ! -e "+proceed+" ]; do sleep 0.02; done\n"), 0o700))
		p.cfg.Calendar.Hook, p.cfg.Calendar.HookMs, p.cfg.Calendar.Tries = []string{hook}, 20e3, 1
		all = append(all, p)
	}
	startAll(t, all)
	before := waitLeader(t, all)
	c := newClient(all)
	for i := range 5 {
		ch := manualChange(fmt.Sprint("x", i), wallMs()+3600e3, wallMs()+7200e3)
		command(t, c, fmt.Sprint("plan ", i), 1, calendar.Plan{Change: ch, Who: "ana", Draft: true})
	}
	lines := func(p *peer) int {
		raw, _ := os.ReadFile(received(p))
		return bytes.Count(raw, []byte("\n"))
	}
	eventually(t, "the hook holds the first event", func() bool { return lines(before) == 1 })
	require.NoError(t, before.raft.LeadershipTransfer().Error())
	eventually(t, "another leads", func() bool { return waitLeader(t, all) != before })
	require.NoError(t, os.WriteFile(proceed, nil, 0o600))
	eventually(t, "all events are acknowledged", func() bool { s := calendarState(t, c); return s.LastEvent == 5 && s.Acknowledged == 5 })
	assert.Equal(t, 1, lines(before))
}

// hasExited reports whether a process has exited; it may be a zombie.
func hasExited(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || syscall.Kill(pid, 0) != nil || bytes.Contains(raw, []byte(") Z "))
}
