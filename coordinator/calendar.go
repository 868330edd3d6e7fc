package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/permits"
)

const (
	clockInterval         = 2 * time.Second        // between reports of a coordinator's wall clock; a report counts for 30 s
	clockRetryInterval    = 200 * time.Millisecond // after a report that failed, and between checks whether the calendar is in use
	clockTimeout          = time.Second            // of a report: one that took longer would carry an outdated time
	maxStartsPerRound     = 16                     // calendar entries
	eventPollInterval     = 500 * time.Millisecond // between checks for events that have not been delivered
	maxEventsPerBatch     = 256                    // events delivered before they are acknowledged together
	deliveryRetryInterval = time.Second            // between attempts to deliver an event
	hookOutputTimeout     = 200 * time.Millisecond // for which a child process may keep a hook's output open after the hook was killed
)

// commandSource numbers the commands of one goroutine of a coordinator. They have a caller of their own, apart from the leader's.
type commandSource struct {
	caller string
	seq    uint64
}

// newCommandSource returns a source with a unique caller.
func (c *Coordinator) newCommandSource(name string) *commandSource {
	return &commandSource{caller: permits.CallerName(name+"-"+c.cfg.Name, rand.Uint64())}
}

// next wraps a command with the caller and the next sequence number.
func (s *commandSource) next(do any) permits.Command {
	s.seq++
	return permits.Command{Caller: s.caller, Seq: s.seq, Do: do}
}

// reportClock reports this coordinator's wall clock to the leader at every clockInterval: the calendar's time is what a majority of the
// clocks agrees on. It sends nothing until the calendar is used, because coordinators of an earlier release don't know the command
// and terminate when they have to apply it.
func (c *Coordinator) reportClock() {
	source := c.newCommandSource("clock")
	timer := time.NewTimer(clockRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-timer.C:
		}
		if !c.calendarInUse() {
			timer.Reset(clockRetryInterval)
		} else if err := c.sendClock(source); err != nil {
			c.log.WithError(err).Debug("reporting this coordinator's clock failed")
			timer.Reset(clockRetryInterval)
		} else {
			timer.Reset(clockInterval)
		}
	}
}

// calendarInUse reports whether anybody has used the calendar so far.
func (c *Coordinator) calendarInUse() (is bool) {
	c.fsm.read(func(s *permits.State) { is = s.Calendar.InUse() })
	return is
}

// sendClock reports the wall clock once, to this coordinator itself if it leads.
func (c *Coordinator) sendClock(source *commandSource) error {
	cmd := source.next(calendar.ReportClock{Name: c.cfg.Name, WallMs: float64(time.Now().Add(c.clockOffset).UnixMilli()), Size: c.voterCount()})
	if t := c.currentTerm(); t != nil {
		_, err := c.commit(t, cmd)
		return err
	}
	hint := c.hint()
	if hint.API == "" {
		return &NotLeaderError{c.cfg.Name, hint}
	}
	cl := client.New([]config.NamedAddress{{Name: hint.Leader, Address: hint.API}})
	defer cl.Close()
	ctx, stop := c.timeoutContext(clockTimeout)
	defer stop()
	_, err := cl.Command(ctx, cmd)
	return err
}

// timeoutContext returns a context that ends after d or when the coordinator is closed.
func (c *Coordinator) timeoutContext(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(context.Background(), d)
	go func() {
		select {
		case <-c.done:
			stop()
		case <-ctx.Done():
		}
	}()
	return ctx, stop
}

// voterCount returns the number of coordinators that have a vote, at least 1.
func (c *Coordinator) voterCount() (n int) {
	f := c.raft.GetConfiguration()
	if f.Error() != nil {
		return max(1, len(c.cfg.Members))
	}
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			n++
		}
	}
	return max(1, n)
}

// advanceCalendar starts the due entries that nothing blocks, and computes further occurrences of recurring freezes.
func (c *Coordinator) advanceCalendar(t *term) {
	for range maxStartsPerRound {
		var id uint64
		var found bool
		c.fsm.read(func(s *permits.State) { id, found = s.NextStart() })
		if !found {
			break
		}
		a, err := c.commitOwn(t, calendar.Start{ID: id})
		if err != nil || a.Err != nil {
			c.log.WithError(errors.Join(err, a.Err)).Debug("an entry of the calendar was not started; the next round tries again")
			break
		}
	}
	var extensions []calendar.ExtendFreeze
	c.fsm.read(func(s *permits.State) {
		for _, id := range s.Calendar.FreezesToExtend() {
			f := *s.Calendar.Freezes[id]
			zone, err := time.LoadLocation(f.When.TimeZone)
			if err == nil {
				err = f.ExpandSpans(zone, s.Calendar.WallMs)
			}
			if err != nil {
				c.log.WithError(err).WithField("freeze", f.Name).Warn("further occurrences of a recurring freeze can't be computed; after the known ones it is in force without end")
				continue
			}
			extensions = append(extensions, calendar.ExtendFreeze{ID: id, Revision: f.Revision, Spans: f.Spans, ThroughMs: f.ThroughMs})
		}
	})
	for _, do := range extensions {
		if a, err := c.commitOwn(t, do); err != nil || a.Err != nil {
			c.log.WithError(errors.Join(err, a.Err)).Debug("a freeze was not extended; the next round tries again")
		}
	}
}

// QueryCalendar answers a query about the calendar from the current state, as confirmed by a majority.
func (c *Coordinator) QueryCalendar(query *client.CalendarQuery) (*client.CalendarAnswer, error) {
	var answer client.CalendarAnswer
	var err error
	if !c.Read(func(s *permits.State, _ float64) {
		part := *s.Calendar
		if part.WallMs == 0 { // no clock has been reported so far: the calendar is empty, and time is free from now on
			part.WallMs = float64(time.Now().Add(c.clockOffset).UnixMilli())
		}
		if !query.Events {
			part.Events = nil
		}
		if query.EntryOnly {
			part.Entries, part.Freezes, part.Migrations = map[uint64]*calendar.Entry{}, nil, nil
			if e := s.Calendar.Entries[query.ID]; e != nil {
				for _, id := range append(slices.Clone(e.After), query.ID) {
					if o := s.Calendar.Entries[id]; o != nil {
						part.Entries[id] = o
					}
				}
			}
		}
		if answer.Calendar, err = json.Marshal(&part); err != nil {
			return
		}
		if query.ID != 0 {
			answer.Obstacle.Err = s.StartObstacle(query.ID)
		}
		if query.Change != nil {
			full := *s.Calendar
			full.WallMs = part.WallMs
			answer.Conflicts, answer.Free = full.Conflicts(query.Change, query.ID, query.MaxFree)
			if len(answer.Conflicts) == 0 {
				answer.Free = full.FindFree(query.Change, query.ID, query.MaxFree)
			}
		}
	}) {
		return nil, c.notLeader()
	}
	return &answer, err
}

// deliverEvents delivers the calendar's events to the log, the file and the hook, if this coordinator leads. Events that were
// delivered but not acknowledged before the leadership changed are delivered again, with the same number.
func (c *Coordinator) deliverEvents() {
	source := c.newCommandSource("events")
	tick := time.NewTicker(eventPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-tick.C:
		}
		t := c.currentTerm()
		if t == nil {
			continue
		}
		var events []calendar.Event
		c.fsm.read(func(s *permits.State) {
			first, _ := slices.BinarySearchFunc(s.Calendar.Events, s.Calendar.Acknowledged+1, func(e calendar.Event, n uint64) int {
				if e.Number < n {
					return -1
				}
				return 1
			})
			events = slices.Clone(s.Calendar.Events[first:min(len(s.Calendar.Events), first+maxEventsPerBatch)])
		})
		if len(events) == 0 {
			continue
		}
		if delivered, closed := c.deliverBatch(t, events); closed {
			return
		} else if !delivered {
			continue
		}
		if _, err := c.commit(t, source.next(calendar.Acknowledge{Number: events[len(events)-1].Number})); err != nil {
			c.log.WithError(err).Debug("acknowledging events failed; they are delivered again")
		}
	}
}

// deliverBatch delivers events for as long as this coordinator leads in a term: a hook may take seconds, and whoever leads by then delivers
// what is not acknowledged. It reports whether all were delivered, and whether the coordinator is closed.
func (c *Coordinator) deliverBatch(t *term, events []calendar.Event) (delivered, closed bool) {
	for _, e := range events {
		if c.currentTerm() != t || c.raft.VerifyLeader().Error() != nil {
			return false, false
		}
		if !c.deliverEvent(e) {
			return false, true
		}
	}
	return true, false
}

// deliverEvent delivers one event. It returns false if the coordinator is closed before that is done. A receiver that fails in all
// configured attempts is skipped; the log records that, and the history keeps the event.
func (c *Coordinator) deliverEvent(e calendar.Event) bool {
	c.log.WithFields(logrus.Fields{"event": e.Number, "entry": e.ID, "who": e.Who, "why": e.Why}).Info("calendar: " + e.What)
	line, _ := json.Marshal(e) // can't fail: an event consists of numbers and strings
	for _, receiver := range []struct {
		name    string
		deliver func([]byte) error
	}{{"file", c.appendToFile}, {"hook", c.runHook}} {
		for try := 1; ; try++ {
			err := receiver.deliver(line)
			if err == nil {
				break
			}
			c.log.WithError(err).WithFields(logrus.Fields{"event": e.Number, "try": try}).Warn("calendar: the " + receiver.name + " did not accept the event")
			if try >= c.cfg.Calendar.Tries {
				break
			}
			select {
			case <-c.done:
				return false
			case <-time.After(deliveryRetryInterval):
			}
		}
	}
	return true
}

// appendToFile appends a line to the events file and syncs it to the disk.
func (c *Coordinator) appendToFile(line []byte) error {
	if c.cfg.Calendar.Events == "" {
		return nil
	}
	f, err := os.OpenFile(c.cfg.Calendar.Events, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return &DeliveryError{c.cfg.Calendar.Events, err}
	}
	defer f.Close()
	if _, err := f.Write(append(line, '\n')); err != nil {
		return &DeliveryError{c.cfg.Calendar.Events, err}
	}
	if err := f.Sync(); err != nil {
		return &DeliveryError{c.cfg.Calendar.Events, err}
	}
	return nil
}

// runHook runs the hook with the event on its standard input. A hook that exceeds its timeout is killed with its process group.
func (c *Coordinator) runHook(line []byte) error {
	if len(c.cfg.Calendar.Hook) == 0 {
		return nil
	}
	ctx, stop := c.timeoutContext(time.Duration(c.cfg.Calendar.HookMs * 1e6))
	defer stop()
	cmd := exec.CommandContext(ctx, c.cfg.Calendar.Hook[0], c.cfg.Calendar.Hook[1:]...)
	cmd.Stdin = strings.NewReader(string(line) + "\n")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = hookOutputTimeout
	if err := cmd.Run(); err != nil {
		return &DeliveryError{c.cfg.Calendar.Hook[0], errors.Join(ctx.Err(), err)}
	}
	return nil
}
