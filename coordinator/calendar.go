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
	clockEvery  = 2 * time.Second        // between words of a coordinator's wall clock; a word counts for 30 s
	clockAgain  = 200 * time.Millisecond // after one that nobody took
	clockFor    = time.Second            // that such a word may take: one that took longer would tell an old time
	startsMost  = 16                     // entries begun in a round
	eventsEvery = 500 * time.Millisecond // between looks for events that nobody has been told
	eventsMost  = 256                    // told in one go
	eventWait   = time.Second            // between tries to tell one
	hookDrain   = 200 * time.Millisecond // that something else may hold a hook's output once it has been ended
)

// voice numbers what one part of a coordinator commands, beside its leader's own.
type voice struct {
	caller string
	seq    uint64
}

func (c *Coordinator) voice(part string) *voice {
	return &voice{caller: permits.CallerName(part+"-"+c.cfg.Name, rand.Uint64())}
}

func (v *voice) command(do any) permits.Command {
	v.seq++
	return permits.Command{Caller: v.caller, Seq: v.seq, Do: do}
}

// clocks tells this coordinator's wall clock again and again, to whichever leads: agreed time is a majority's. Not before the calendar
// is used: coordinators of an earlier release don't know the command, and end themselves where they meet it.
func (c *Coordinator) clocks() {
	v := c.voice("clock")
	next := time.NewTimer(clockAgain)
	defer next.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-next.C:
		}
		if !c.calendarInUse() {
			next.Reset(clockAgain)
		} else if err := c.tellClock(v); err != nil {
			c.log.WithError(err).Debug("this coordinator's clock is not told so far")
			next.Reset(clockAgain)
		} else {
			next.Reset(clockEvery)
		}
	}
}

func (c *Coordinator) calendarInUse() (is bool) {
	c.fsm.read(func(s *permits.State) { is = s.Calendar.InUse() })
	return is
}

func (c *Coordinator) tellClock(v *voice) error {
	cmd := v.command(calendar.ReportClock{Name: c.cfg.Name, WallMs: float64(time.Now().Add(c.wrong).UnixMilli()), Size: c.size()})
	if t := c.current(); t != nil {
		_, err := c.commit(t, cmd)
		return err
	}
	h := c.hint()
	if h.API == "" {
		return &ElsewhereError{c.cfg.Name, h}
	}
	cl := client.New([]config.NamedAddress{{Name: h.Leader, Address: h.API}})
	defer cl.Close()
	ctx, stop := c.within(clockFor)
	defer stop()
	_, err := cl.Command(ctx, cmd)
	return err
}

// within is a context that ends with the coordinator, or before.
func (c *Coordinator) within(d time.Duration) (context.Context, context.CancelFunc) {
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

// size is how many coordinators have a vote.
func (c *Coordinator) size() (n int) {
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

// schedule begins the entries that are due with nothing in the way, and has recurring freezes known further ahead.
func (c *Coordinator) schedule(t *term) {
	for range startsMost {
		var id uint64
		var any bool
		c.fsm.read(func(s *permits.State) { id, any = s.NextStart() })
		if !any {
			break
		}
		a, err := c.apply(t, calendar.Start{ID: id})
		if err != nil || a.Err != nil {
			c.log.WithError(errors.Join(err, a.Err)).Debug("an entry of the calendar is not begun so far")
			break
		}
	}
	var todo []calendar.ExtendFreeze
	c.fsm.read(func(s *permits.State) {
		for _, id := range s.Calendar.FreezesToExtend() {
			f := *s.Calendar.Freezes[id]
			in, err := time.LoadLocation(f.When.TimeZone)
			if err == nil {
				err = f.ExpandSpans(in, s.Calendar.WallMs)
			}
			if err != nil {
				c.log.WithError(err).WithField("freeze", f.Name).Warn("a recurring freeze can't be worked out further; it will last from where it ends")
				continue
			}
			todo = append(todo, calendar.ExtendFreeze{ID: id, Revision: f.Revision, Spans: f.Spans, ThroughMs: f.ThroughMs})
		}
	})
	for _, do := range todo {
		if a, err := c.apply(t, do); err != nil || a.Err != nil {
			c.log.WithError(errors.Join(err, a.Err)).Debug("a freeze is not extended so far")
		}
	}
}

// Calendar answers a question about the calendar, as a majority has it.
func (c *Coordinator) Calendar(q *client.CalendarQuestion) (*client.CalendarAnswer, error) {
	var a client.CalendarAnswer
	var err error
	if !c.Read(func(s *permits.State, _ float64) {
		part := *s.Calendar
		if part.WallMs == 0 { // nobody has told a clock so far: the calendar is empty, and free from now on
			part.WallMs = float64(time.Now().Add(c.wrong).UnixMilli())
		}
		if !q.Events {
			part.Events = nil
		}
		if q.Bare {
			part.Entries, part.Freezes, part.Migrations = map[uint64]*calendar.Entry{}, nil, nil
			if e := s.Calendar.Entries[q.ID]; e != nil {
				for _, id := range append(slices.Clone(e.After), q.ID) {
					if o := s.Calendar.Entries[id]; o != nil {
						part.Entries[id] = o
					}
				}
			}
		}
		if a.Calendar, err = json.Marshal(&part); err != nil {
			return
		}
		if q.ID != 0 {
			a.InTheWay.Err = s.StartObstacle(q.ID)
		}
		if q.Change != nil {
			whole := *s.Calendar
			whole.WallMs = part.WallMs
			a.Met, a.Free = whole.Conflicts(q.Change, q.ID, q.Most)
			if len(a.Met) == 0 {
				a.Free = whole.FindFree(q.Change, q.ID, q.Most)
			}
		}
	}) {
		return nil, c.elsewhere()
	}
	return &a, err
}

// events tells what happens in the calendar, at the coordinator that leads: in its log, to its file and its hook. What was told and
// not yet written down as told when another takes the lead is told again, with its number.
func (c *Coordinator) events() {
	v := c.voice("events")
	tick := time.NewTicker(eventsEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-tick.C:
		}
		t := c.current()
		if t == nil {
			continue
		}
		var news []calendar.Event
		c.fsm.read(func(s *permits.State) {
			i, _ := slices.BinarySearchFunc(s.Calendar.Events, s.Calendar.Acknowledged+1, func(e calendar.Event, n uint64) int {
				if e.Number < n {
					return -1
				}
				return 1
			})
			news = slices.Clone(s.Calendar.Events[i:min(len(s.Calendar.Events), i+eventsMost)])
		})
		if len(news) == 0 {
			continue
		}
		for _, e := range news {
			if !c.tellEvent(e) {
				return
			}
		}
		if _, err := c.commit(t, v.command(calendar.Acknowledge{Number: news[len(news)-1].Number})); err != nil {
			c.log.WithError(err).Debug("events are told, and will be again")
		}
	}
}

// tellEvent tells one event; false where the coordinator ends meanwhile. A receiver that fails for as many tries as it is given is
// passed over: the log says so, and the history has it.
func (c *Coordinator) tellEvent(e calendar.Event) bool {
	c.log.WithFields(logrus.Fields{"event": e.Number, "entry": e.ID, "who": e.Who, "why": e.Why}).Info("calendar: " + e.What)
	line, _ := json.Marshal(e) // numbers and words
	for _, receiver := range []struct {
		name string
		tell func([]byte) error
	}{{"file", c.toFile}, {"hook", c.toHook}} {
		for try := 1; ; try++ {
			err := receiver.tell(line)
			if err == nil {
				break
			}
			c.log.WithError(err).WithFields(logrus.Fields{"event": e.Number, "try": try}).Warn("calendar: the " + receiver.name + " was not told")
			if try >= c.cfg.Calendar.Tries {
				break
			}
			select {
			case <-c.done:
				return false
			case <-time.After(eventWait):
			}
		}
	}
	return true
}

// toFile adds a line, and waits until the disk has it.
func (c *Coordinator) toFile(line []byte) error {
	if c.cfg.Calendar.Events == "" {
		return nil
	}
	f, err := os.OpenFile(c.cfg.Calendar.Events, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return &EventError{c.cfg.Calendar.Events, err}
	}
	defer f.Close()
	if _, err := f.Write(append(line, '\n')); err != nil {
		return &EventError{c.cfg.Calendar.Events, err}
	}
	if err := f.Sync(); err != nil {
		return &EventError{c.cfg.Calendar.Events, err}
	}
	return nil
}

// toHook runs the command with the event for its input. One that hangs is ended, with all that it started.
func (c *Coordinator) toHook(line []byte) error {
	if len(c.cfg.Calendar.Hook) == 0 {
		return nil
	}
	ctx, stop := c.within(time.Duration(c.cfg.Calendar.HookMs * 1e6))
	defer stop()
	cmd := exec.CommandContext(ctx, c.cfg.Calendar.Hook[0], c.cfg.Calendar.Hook[1:]...)
	cmd.Stdin = strings.NewReader(string(line) + "\n")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = hookDrain
	if err := cmd.Run(); err != nil {
		return &EventError{c.cfg.Calendar.Hook[0], errors.Join(ctx.Err(), err)}
	}
	return nil
}
