package doorfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/admin"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/fleet"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/procinfo"
	"github.com/swifthall/swifthall/members"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
)

const (
	holdTimeout      = time.Second            // for which a starting door waits for the withheld backends; a healthy coordinator answers sooner
	requestTimeout   = 3 * time.Second        // limit of a request to the coordinators; the agent repeats it earlier, and takes either answer
	maxRequests      = 4                      // requests to the coordinators at the same time
	unreachableAfter = 2 * time.Second        // without an answer for longer, the coordinators are logged as unreachable
	pollInterval     = 200 * time.Millisecond // between reports of the door's state to the agent
	endReportTimeout = 700 * time.Millisecond // in which a door that has ended reports that to the coordinators
	bytesPerMB       = 1 << 20
	eventQueueSize   = 64 // events queued for the agent, which repeats requests whose answer is lost
)

// Messages of the log lines for a planned step of the door; the lines have the machine's monotonic clock at the step.
const (
	WentOut  = "aside"
	CameBack = "back"
)

// planDriver is the driver of a permits.DoorAgent: it exchanges messages with the coordinators and carries out the orders that
// the fleet agreed on. No request waits for it.
type planDriver struct {
	door          *frontdoor.Door
	client        *client.Client
	view          func() fleet.View
	log           logrus.FieldLogger
	began         time.Time
	events        chan any
	requests      chan struct{} // one for each request under way
	ctx           context.Context
	process       uint64        // random, identifies this process in its counts
	withheldKnown func()        // called once the withheld backends are known
	endReported   chan struct{} // closed once a coordinator has acknowledged that the door has ended

	mu          sync.Mutex // protects what follows
	agent       *permits.DoorAgent
	answeredAt  time.Time // of the latest answer of a coordinator
	unreachable bool      // logged that no coordinator answers
}

// holdUnready keeps a starting door unready until the returned function is called, which is once the withheld backends are
// known, but no longer than holdTimeout. Otherwise a process that the coordinators don't know yet would send requests to
// backends that they report as drained. If no coordinator answers, the door serves.
func holdUnready(door *frontdoor.Door) (markReady func()) {
	var once sync.Once
	door.SetOutOfService(true, time.Now().Add(holdTimeout), func(bool) {})
	markReady = func() { once.Do(func() { go door.SetOutOfService(false, time.Time{}, func(bool) {}) }) }
	time.AfterFunc(holdTimeout, markReady)
	return markReady
}

// startPlans starts a planDriver, which ends with ctx.
func startPlans(ctx context.Context, cfg config.Door, door *frontdoor.Door, view func() fleet.View, withheldKnown func(), l logrus.FieldLogger) *planDriver {
	var all []config.NamedAddress
	for _, c := range cfg.Fleet.Coordinators {
		if n, err := config.ParseNamedAddress(c); err == nil {
			all = append(all, n)
		}
	}
	p := &planDriver{door: door, client: client.New(all), view: view, log: l, began: time.Now(), answeredAt: time.Now(), events: make(chan any, eventQueueSize), requests: make(chan struct{}, maxRequests), ctx: ctx,
		process: rand.Uint64(), withheldKnown: withheldKnown, endReported: make(chan struct{}),
		agent: permits.NewDoorAgent(permits.Unit{Kind: permits.Door, Name: cfg.Name, Zone: cfg.Fleet.Zone, Size: 1}, func() uint64 { return rand.Uint64()>>1 | 1 })}
	go p.run()
	go p.poll()
	return p
}

// now returns the agent's clock, ms since the start.
func (p *planDriver) now() float64 { return float64(time.Since(p.began)) / float64(time.Millisecond) }

// post queues an event for the agent, and waits while the queue is full.
func (p *planDriver) post(e any) {
	select {
	case p.events <- e:
	case <-p.ctx.Done():
	}
}

// run is the goroutine that owns the agent.
func (p *planDriver) run() {
	tick := time.NewTicker(permits.TickEvery * time.Millisecond)
	defer tick.Stop()
	for {
		var e any = permits.Tick{}
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		case e = <-p.events:
		}
		p.mu.Lock()
		do := p.agent.Step(p.now(), e)
		p.mu.Unlock()
		for _, a := range do {
			p.act(a)
		}
	}
}

// act carries out an action of the agent.
func (p *planDriver) act(a any) {
	switch a := a.(type) {
	case permits.Post:
		select {
		case p.requests <- struct{}{}:
			go p.request(a)
		default: // coordinators that are this slow are not asked more often
		}
	case permits.Withhold:
		p.log.WithFields(logrus.Fields{fields.Names: a.Names, fields.Change: a.Change, fields.Clock: fleet.Monotonic()}).Info("withheld backends")
		p.door.Withhold(a.Names, func() {
			p.withheldKnown()
			go p.post(permits.WithholdApplied{Change: a.Change})
		})
	case permits.SetOut:
		at := p.began.Add(time.Duration(a.UntilMs * float64(time.Millisecond)))
		p.door.SetOutOfService(a.Out, at, func(done bool) {
			if done {
				message := CameBack
				if a.Out {
					message = WentOut
				}
				p.log.WithFields(logrus.Fields{fields.Number: a.Number, fields.Why: a.Why, fields.Clock: fleet.Monotonic()}).Info(message)
			}
			if a.Out {
				go p.post(permits.SetOutDone{Done: done})
			}
		})
	}
}

// request sends one request to the coordinators and posts the answer.
func (p *planDriver) request(q permits.Post) {
	defer func() { <-p.requests }()
	ctx, stop := context.WithTimeout(p.ctx, requestTimeout)
	defer stop()
	var e any
	var err error
	if q.Report != nil {
		var r permits.Reply
		if r, err = p.client.ReportDoor(ctx, q.Report); err == nil && len(r.Withheld) == 0 {
			p.withheldKnown()
		}
		e = permits.Replied{Seq: q.Seq, Reply: r}
	} else {
		var a permits.Answer
		a, err = p.client.Command(ctx, permits.Command{Caller: q.Caller, Seq: q.Seq, Do: q.Do})
		e = permits.Answered{Seq: q.Seq, Answer: a}
	}
	if err != nil {
		e = permits.Unanswered{Seq: q.Seq}
	}
	p.noteOutcome(err)
	p.post(e)
	if err == nil && q.Report != nil && q.Report.Standing == permits.Ended {
		p.mu.Lock()
		defer p.mu.Unlock()
		select {
		case <-p.endReported:
		default:
			close(p.endReported)
		}
	}
}

// noteOutcome records whether a coordinator answered, and logs when that changes.
func (p *planDriver) noteOutcome(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.answeredAt = time.Now()
		if p.unreachable {
			p.unreachable = false
			p.log.Info("coordinators answer again")
		}
	case !p.unreachable && time.Since(p.answeredAt) > unreachableAfter && p.ctx.Err() == nil:
		p.unreachable = true
		entry := p.log.WithError(err)
		if r, ok := err.(interface{ Remedy() string }); ok {
			entry = entry.WithField(fields.Remedy, r.Remedy())
		}
		entry.Warn("no coordinator answers; the door keeps its latest orders")
	}
}

// poll posts the door's state and what it observes of others to the agent, at every pollInterval.
func (p *planDriver) poll() {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		s := permits.DoorStatus{Ready: p.door.Ready()}
		for _, r := range p.view().Rows {
			if r.State == members.Away {
				s.Away = append(s.Away, r.Name)
			}
		}
		status := p.door.Snapshot()
		n := status.Counts
		s.Counts, s.ByBackend = &release.Counts{}, map[string]release.Counts{}
		*s.Counts = toCounts(n)
		s.Counts.Process, s.Counts.MemoryMB = p.process, float64(procinfo.ResidentMemory().Or(0))/bytesPerMB
		for _, b := range status.Backends {
			g := permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: b.ID, Zone: b.Zone, Size: b.Weight}, Standing: permits.Failed, Process: uint64(max(0, b.Started))}
			switch {
			case b.Up && b.Warm:
				g.Standing = permits.Ready
			case b.Up:
				g.Standing = permits.Starting
			}
			s.Backends, s.ByBackend[b.ID] = append(s.Backends, g), toCounts(b.Counts)
		}
		p.post(s)
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// toCounts converts the door's counts.
func toCounts(n frontdoor.Counts) release.Counts {
	return release.Counts{Arrived: n.Arrived, InTime: n.InTime, Finished: n.Finished, Rejected: n.Rejected, Failed: n.Failed, LatencyMs: n.LatencyMs}
}

// Plan returns what the door was ordered to do, for operators.
func (p *planDriver) Plan() (of admin.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	of.Number, of.Out = p.agent.Out()
	of.Withheld = append([]string{}, p.agent.Withheld()...)
	if o := p.agent.Order(); o != nil {
		of.Number, of.Who, of.Why = o.Number, o.Who, o.Why
	}
	of.SilentMs = float64(time.Since(p.answeredAt)) / float64(time.Millisecond)
	return of
}

// Back cancels the door's current order at an operator's request.
func (p *planDriver) Back() {
	p.log.Warn("order cancelled by an operator at this door")
	p.post(permits.EndByHand{})
}

// reportEnd waits until the door has served all that it accepted, and reports to the coordinators that it has ended.
func (p *planDriver) reportEnd() {
	<-p.door.Done()
	p.post(permits.Terminated{})
	select {
	case <-p.endReported:
	case <-time.After(endReportTimeout):
	}
}
