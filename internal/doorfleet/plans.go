package doorfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/admin"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/fleet"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/members"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
)

const (
	holdFor   = time.Second            // at a start, in which a coordinator that is well has told what is withheld
	answerFor = 2 * time.Second        // that a question to the coordinators may take; asked again before that
	lookEvery = 200 * time.Millisecond // between looks at how the door stands
	partFor   = 700 * time.Millisecond // in which a door that has ended says so
	waiting   = 64                     // events that wait for the keeper; it is asked again for what is lost
)

// Messages of the log lines that tell a step by plan, with the machine's clock at the step.
const (
	WentAside = "aside"
	CameBack  = "back"
)

// plans carries out what the fleet agrees on: the driver of a permits.Keeper. No request waits for it.
type plans struct {
	door    *frontdoor.Door
	client  *client.Client
	view    func() fleet.View
	log     logrus.FieldLogger
	began   time.Time
	events  chan any
	ctx     context.Context
	process uint64        // drawn at its start, for its counts
	told    func()        // called once it is known what is withheld
	parted  chan struct{} // closed once coordinators have heard that the door has ended

	mu     sync.Mutex
	k      *permits.DoorAgent
	heard  time.Time // a coordinator answered
	silent bool
}

// hold has a door that starts say that it isn't ready until it has been told what is withheld, or for a moment: a process that
// coordinators don't know of would send to backends that they say are drained. Where none of them answers it serves.
func hold(door *frontdoor.Door) (told func()) {
	var once sync.Once
	door.SetOutOfService(true, time.Now().Add(holdFor), func(bool) {})
	told = func() { once.Do(func() { go door.SetOutOfService(false, time.Time{}, func(bool) {}) }) }
	time.AfterFunc(holdFor, told)
	return told
}

// keep starts it.
func keep(ctx context.Context, cfg config.Door, door *frontdoor.Door, view func() fleet.View, told func(), l logrus.FieldLogger) *plans {
	var all []config.NamedAddress
	for _, c := range cfg.Fleet.Coordinators {
		if n, err := config.ParseNamedAddress(c); err == nil {
			all = append(all, n)
		}
	}
	p := &plans{door: door, client: client.New(all), view: view, log: l, began: time.Now(), heard: time.Now(), events: make(chan any, waiting), ctx: ctx,
		process: rand.Uint64(), told: told, parted: make(chan struct{}),
		k: permits.NewDoorAgent(permits.Unit{Kind: permits.Door, Name: cfg.Name, Zone: cfg.Fleet.Zone, Size: 1}, func() uint64 { return rand.Uint64()>>1 | 1 })}
	go p.run()
	go p.look()
	return p
}

func (p *plans) now() float64 { return float64(time.Since(p.began)) / float64(time.Millisecond) }

// post hands an event to the keeper.
func (p *plans) post(e any) {
	select {
	case p.events <- e:
	case <-p.ctx.Done():
	}
}

// run is the goroutine that owns the keeper.
func (p *plans) run() {
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
		do := p.k.Step(p.now(), e)
		p.mu.Unlock()
		for _, a := range do {
			p.act(a)
		}
	}
}

func (p *plans) act(a any) {
	switch a := a.(type) {
	case permits.Post:
		go p.ask(a)
	case permits.Withhold:
		p.log.WithFields(logrus.Fields{fields.Names: a.Names, fields.Change: a.Change, fields.Clock: fleet.Monotonic()}).Info("withheld backends")
		p.door.Withhold(a.Names, func() {
			p.told()
			go p.post(permits.WithholdApplied{Change: a.Change})
		})
	case permits.SetOut:
		at := p.began.Add(time.Duration(a.UntilMs * float64(time.Millisecond)))
		p.door.SetOutOfService(a.Out, at, func(taken bool) {
			if taken {
				says := CameBack
				if a.Out {
					says = WentAside
				}
				p.log.WithFields(logrus.Fields{fields.Number: a.Number, fields.Why: a.Why, fields.Clock: fleet.Monotonic()}).Info(says)
			}
			if a.Out {
				go p.post(permits.SetOutDone{Done: taken})
			}
		})
	}
}

// ask carries one question to the coordinators.
func (p *plans) ask(q permits.Post) {
	ctx, stop := context.WithTimeout(p.ctx, answerFor)
	defer stop()
	var e any
	var err error
	if q.Report != nil {
		var r permits.Reply
		if r, err = p.client.Word(ctx, q.Report); err == nil && len(r.Withheld) == 0 {
			p.told()
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
	p.note(err)
	p.post(e)
	if err == nil && q.Report != nil && q.Report.Standing == permits.Ended {
		p.mu.Lock()
		defer p.mu.Unlock()
		select {
		case <-p.parted:
		default:
			close(p.parted)
		}
	}
}

// note logs once that no coordinator answers, and once that one does again.
func (p *plans) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.heard = time.Now()
		if p.silent {
			p.silent = false
			p.log.Info("coordinators answer again")
		}
	case !p.silent && time.Since(p.heard) > answerFor && p.ctx.Err() == nil:
		p.silent = true
		entry := p.log.WithError(err)
		if r, ok := err.(interface{ Remedy() string }); ok {
			entry = entry.WithField(fields.Remedy, r.Remedy())
		}
		entry.Warn("no coordinator answers; the door keeps to what it was told")
	}
}

// look tells the keeper how the door stands and what it knows.
func (p *plans) look() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		s := permits.DoorStatus{Ready: p.door.Ready()}
		for _, r := range p.view().Rows {
			if r.State == members.Away {
				s.Away = append(s.Away, r.Name)
			}
		}
		told := p.door.Snapshot()
		n := told.Counts
		s.Counts, s.ByBackend = &release.Counts{}, map[string]release.Counts{}
		*s.Counts = counted(n)
		s.Counts.Process, s.Counts.MemoryMB = p.process, resident()
		for _, b := range told.Backends {
			g := permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: b.ID, Zone: b.Zone, Size: b.Size}, Standing: permits.Failed, Process: uint64(max(0, b.Started))}
			switch {
			case b.Up && b.Warm:
				g.Standing = permits.Ready
			case b.Up:
				g.Standing = permits.Starting
			}
			s.Backends, s.ByBackend[b.ID] = append(s.Backends, g), counted(b.Counts)
		}
		p.post(s)
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func counted(n frontdoor.Counts) release.Counts {
	return release.Counts{Arrived: n.Arrived, InTime: n.InTime, Finished: n.Finished, Rejected: n.Rejected, Failed: n.Failed, LatencyMs: n.LatencyMs}
}

// resident is the memory that this process holds, MB; 0 where that can't be told.
func resident() float64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages float64
	if n, _ := fmt.Sscan(string(raw), &size, &pages); n < 2 {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// Plan tells operators what the door was ordered to do.
func (p *plans) Plan() (of admin.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	of.Number, of.Out = p.k.Out()
	of.Withheld = append([]string{}, p.k.Withheld()...)
	if o := p.k.Order(); o != nil {
		of.Number, of.Who, of.Why = o.Number, o.Who, o.Why
	}
	of.SilentMs = float64(time.Since(p.heard)) / float64(time.Millisecond)
	return of
}

// Back ends by hand what the door was ordered to do.
func (p *plans) Back() {
	p.log.Warn("ended by hand, at the door itself")
	p.post(permits.EndByHand{})
}

// part says, once the door has served all it took, that it has ended.
func (p *plans) part() {
	<-p.door.Done()
	p.post(permits.Terminated{})
	select {
	case <-p.parted:
	case <-time.After(partFor):
	}
}
