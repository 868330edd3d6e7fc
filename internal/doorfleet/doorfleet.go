// Package doorfleet connects a door's process with its fleet: it runs the membership driver and the agreed plans, passes
// the membership to the door, and serves it to operators.
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

// clockOffset is a hook that shifts the times of log entries.
type clockOffset time.Duration

func (clockOffset) Levels() []logrus.Level { return logrus.AllLevels }

func (w clockOffset) Fire(e *logrus.Entry) error {
	e.Time = e.Time.Add(time.Duration(w))
	return nil
}

const updateInterval = 100 * time.Millisecond // at least between membership updates to the door, as changes come in bursts

// Run runs a door's membership until ctx ends, and then leaves the fleet. A failure doesn't affect the door, which serves
// without membership.
func Run(ctx context.Context, cfg config.Door, door *frontdoor.Door, l logrus.FieldLogger) error {
	f := cfg.Fleet
	if f == nil {
		return nil
	}
	if offset := serving.WallClockOffset(); offset != 0 {
		if logger, ok := l.(*logrus.Logger); ok {
			logger.AddHook(clockOffset(offset))
		}
	}
	withheldKnown := func() {}
	if len(f.Coordinators) > 0 {
		withheldKnown = holdUnready(door)
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
	detached, end := context.WithCancel(context.WithoutCancel(ctx)) // remains valid while the door leaves
	defer end()
	var driver *planDriver
	if len(f.Coordinators) > 0 {
		driver = startPlans(detached, cfg, door, d.View, withheldKnown, l)
	}
	failed := make(chan error, 1)
	if f.Status != "" {
		var plans admin.Plans
		if driver != nil {
			plans = driver
		}
		go func() { failed <- admin.Serve(detached, f.Status, d.View, plans) }()
	}
	for {
		select {
		case <-ctx.Done():
			leaveCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), ms(f.LeaveMs, config.DefaultLeaveMs))
			defer stop()
			if driver != nil {
				driver.post(permits.Terminating{})
			}
			d.Leave(leaveCtx)
			if driver != nil {
				driver.reportEnd()
			}
			return nil
		case err := <-failed: // only the status is lost; the door and its membership continue
			if err != nil {
				l.WithError(err).Error("status is not served")
			}
		case <-changed:
			door.SetMembers(GateDoors(d.View().Rows, cfg.Settings.Terms.Doors))
			select {
			case <-time.After(updateInterval):
			case <-ctx.Done():
			}
		}
	}
}

// bind binds the fleet's address. It retries while another process has it, such as the predecessor of this one. Both
// results are nil if ctx ends first.
func bind(ctx context.Context, f *config.Fleet, l logrus.FieldLogger) (memberlist.NodeAwareTransport, error) {
	for warned := false; ; {
		t, err := fleet.Bind(f.Listen, log.New(io.Discard, "", 0))
		if err == nil {
			return t, nil
		}
		var bindErr *fleet.BindError
		if errors.As(err, &bindErr) && !warned {
			warned = true
			l.WithError(err).WithField(fields.Remedy, bindErr.Remedy()).Warn("no member of the fleet so far")
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(ms(f.JoinRetryMs, config.DefaultJoinRetryMs)):
		}
	}
}

// ms converts a setting in ms, or its default if it is 0.
func ms(configured, def float64) time.Duration {
	if configured == 0 {
		configured = def
	}
	return time.Duration(configured * float64(time.Millisecond))
}

// GateDoors converts the view of the members for the gate; doors is the number of doors in the fleet. Doors that were never
// members count as here, as all doors do without membership: only a former member can be known to be gone.
func GateDoors(rows []members.Row, doors int) gate.DoorsUpdate {
	update := gate.DoorsUpdate{Present: make([]bool, doors)}
	for i := range update.Present {
		update.Present[i] = true
	}
	numbered := func(r *members.Row) bool { return r.Number >= 0 && r.Number < doors }
	for i := range rows {
		if r := &rows[i]; numbered(r) && (r.State == members.Away || r.State == members.Left) {
			update.Present[r.Number] = false
		}
	}
	for i := range rows {
		if r := &rows[i]; r.State == members.Here || r.State == members.Suspect || r.State == members.Leaving {
			update.PresentCount++
			if numbered(r) { // also if an earlier door of that number is gone
				update.Present[r.Number] = true
			}
		}
	}
	return update
}
