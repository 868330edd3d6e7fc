// Package doorfleet makes a door a member of its fleet: it starts the fleet's driver beside the door, tells the door's
// decisions who is here, and operators what is held.
package doorfleet

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/admin"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/fleet"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/serving"
	"github.com/swifthall/swifthall/members"
	"github.com/swifthall/swifthall/permits"
)

// wrongClock moves the times of a log.
type wrongClock time.Duration

func (wrongClock) Levels() []logrus.Level { return logrus.AllLevels }

func (w wrongClock) Fire(e *logrus.Entry) error {
	e.Time = e.Time.Add(time.Duration(w))
	return nil
}

const tellAtMost = 100 * time.Millisecond // between two words to the decisions: changes come in crowds

// Run runs a door's membership until ctx ends, and says that the door leaves. The door serves whatever becomes of it.
func Run(ctx context.Context, cfg config.Door, door *frontdoor.Door, l logrus.FieldLogger) error {
	f := cfg.Fleet
	if f == nil {
		return nil
	}
	if wrong := serving.WallClockOffset(); wrong != 0 {
		if logger, ok := l.(*logrus.Logger); ok {
			logger.AddHook(wrongClock(wrong))
		}
	}
	told := func() {}
	if len(f.Coordinators) > 0 {
		told = hold(door)
	}
	t, err := bind(ctx, f, l)
	if t == nil {
		return err
	}
	changed := make(chan struct{}, 1)
	d, err := fleet.Start(fleet.Identity{Fleet: f.Name, Name: cfg.Name, Zone: f.Zone, Number: cfg.Settings.Terms.DoorNumber, Release: serving.Release(),
		Peers: f.Peers, JoinInterval: ms(f.JoinRetryMs, config.DefaultJoinRetryMs), LeaveTimeout: ms(f.LeaveMs, config.DefaultLeaveMs)},
		fleet.Routed(t, f.Routes), rand.Uint64()>>1, l, func(members.Changed) {
			select {
			case changed <- struct{}{}:
			default:
			}
		})
	if err != nil {
		return err
	}
	defer d.Close()
	apart, end := context.WithCancel(context.WithoutCancel(ctx)) // goes on while the door leaves
	defer end()
	var agreed *plans
	if len(f.Coordinators) > 0 {
		agreed = keep(apart, cfg, door, d.View, told, l)
	}
	failed := make(chan error, 1)
	if f.Status != "" {
		var told admin.Plans
		if agreed != nil {
			told = agreed
		}
		go func() { failed <- admin.Serve(apart, f.Status, d.View, told) }()
	}
	for {
		select {
		case <-ctx.Done():
			said, stop := context.WithTimeout(context.WithoutCancel(ctx), ms(f.LeaveMs, config.DefaultLeaveMs))
			defer stop()
			if agreed != nil {
				agreed.post(permits.Terminating{})
			}
			d.Leave(said)
			if agreed != nil {
				agreed.part()
			}
			return nil
		case err := <-failed: // operators see less; the door and its fleet go on
			if err != nil {
				l.WithError(err).Error("no status is told")
			}
		case <-changed:
			door.SetMembers(Word(d.View().Rows, cfg.Settings.Terms.Doors))
			select {
			case <-time.After(tellAtMost):
			case <-ctx.Done():
			}
		}
	}
}

// bind takes the fleet's address; while another process has it, as the one before this may, it tries again.
func bind(ctx context.Context, f *config.Fleet, l logrus.FieldLogger) (memberlist.NodeAwareTransport, error) {
	for told := false; ; {
		t, err := fleet.Bind(f.Listen, log.New(io.Discard, "", 0))
		if err == nil {
			return t, nil
		}
		var at *fleet.BindError
		if errors.As(err, &at) && !told {
			told = true
			l.WithError(err).WithField(fields.Remedy, at.Remedy()).Warn("no member of the fleet so far")
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(ms(f.JoinRetryMs, config.DefaultJoinRetryMs)):
		}
	}
}

func ms(told, def float64) time.Duration {
	if told == 0 {
		told = def
	}
	return time.Duration(told * float64(time.Millisecond))
}

// Word words what is held of the fleet for the decisions. Only of one who was a member is it known that it has gone: the
// doors that were never heard of count as here, as they do without membership.
func Word(rows []members.Row, doors int) gate.DoorsUpdate {
	e := gate.DoorsUpdate{Present: make([]bool, doors)}
	for i := range e.Present {
		e.Present[i] = true
	}
	numbered := func(r *members.Row) bool { return r.Number >= 0 && r.Number < doors }
	for i := range rows {
		if r := &rows[i]; numbered(r) && (r.State == members.Away || r.State == members.Left) {
			e.Present[r.Number] = false
		}
	}
	for i := range rows {
		if r := &rows[i]; r.State == members.Here || r.State == members.Suspect || r.State == members.Leaving {
			e.PresentCount++
			if numbered(r) { // one that follows another of its number stands in for it
				e.Present[r.Number] = true
			}
		}
	}
	return e
}
