package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/lab/sysfaults"
)

// schedule draws the faults of a run from its seed and injects them.
type schedule struct {
	rig *rig
	cfg Config
	rng *rand.Rand
}

func newSchedule(r *rig, cfg Config) *schedule {
	return &schedule{r, cfg, rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// systemFaults are the system call faults that a process may have. Each OneIn is a minimum; drawFaults multiplies it.
var systemFaults = []sysfaults.Fault{
	{Call: sysfaults.Read, Errno: syscall.EINTR, OneIn: 20, Target: sysfaults.Sockets},
	{Call: sysfaults.Read, Errno: sysfaults.Short, OneIn: 4, Target: sysfaults.Sockets},
	{Call: sysfaults.Write, Errno: syscall.ENOBUFS, OneIn: 40, Target: sysfaults.Sockets},
	{Call: sysfaults.Write, Errno: syscall.ENOMEM, OneIn: 60, Target: sysfaults.Sockets},
	{Call: sysfaults.Write, Errno: syscall.EINTR, OneIn: 20, Target: sysfaults.Sockets},
	{Call: sysfaults.Write, Errno: sysfaults.Short, OneIn: 4, Target: sysfaults.Sockets},
	{Call: sysfaults.Write, Errno: syscall.EIO, OneIn: 2, Target: sysfaults.Pipes},
	{Call: sysfaults.Accept, Errno: syscall.ENFILE, OneIn: 2},
	{Call: sysfaults.Accept, Errno: syscall.ECONNABORTED, OneIn: 2},
	{Call: sysfaults.Accept, Errno: syscall.ENOBUFS, OneIn: 3},
	{Call: sysfaults.Accept, Errno: syscall.EINTR, OneIn: 3},
	{Call: sysfaults.Socket, Errno: syscall.ENFILE, OneIn: 8},
	{Call: sysfaults.Socket, Errno: syscall.ENOBUFS, OneIn: 8},
	{Call: sysfaults.Connect, Errno: syscall.ENETUNREACH, OneIn: 8},
	{Call: sysfaults.Connect, Errno: syscall.EADDRNOTAVAIL, OneIn: 8},
	{Call: sysfaults.Receive, Errno: syscall.EINTR, OneIn: 8, Target: sysfaults.Sockets},
	{Call: sysfaults.Open, Errno: syscall.ENFILE, OneIn: 6},
}

// drawFaults draws the system call faults of one process.
func (s *schedule) drawFaults(door int) sysfaults.Plan {
	if len(s.cfg.FaultPlans) > 0 {
		return s.cfg.FaultPlans[door%len(s.cfg.FaultPlans)]
	}
	p := sysfaults.Plan{Seed: s.rng.Uint32()}
	if s.cfg.NoRandomFaults {
		return p
	}
	if s.rng.IntN(2) == 0 { // in bursts, otherwise throughout
		p.Period = s.drawMs(400, 3000)
		p.Active = p.Period / time.Duration(2+s.rng.IntN(4))
	}
	for range s.rng.IntN(4) {
		f := systemFaults[s.rng.IntN(len(systemFaults))]
		f.OneIn *= 1 + s.rng.IntN(3)
		p.Faults = append(p.Faults, f)
	}
	return p
}

// drawMs draws a duration from minMs up to, but not including, maxMs milliseconds.
func (s *schedule) drawMs(minMs, maxMs int) time.Duration {
	return time.Duration(minMs+s.rng.IntN(maxMs-minMs)) * time.Millisecond
}

// event is a fault or a change that is made at an instant and may be undone after some time.
type event struct {
	at, lasts  time.Duration // start; duration if there is an end
	begin, end func()        // end may be nil
}

// run draws the events of the run and performs each at its time. The group is done once all of them are over and every process
// has exited.
func (s *schedule) run(events *sync.WaitGroup) {
	if !s.cfg.NoRandomFaults {
		for _, e := range s.drawEvents() {
			events.Go(func() { s.perform(e) })
		}
	}
	for _, d := range s.rig.doors {
		restart := s.drawRestart(d)
		endAt, signals := s.cfg.Length+s.drawMs(0, 1000), s.drawSignals()
		if s.cfg.HangAtEnd {
			events.Go(func() { s.perform(event{at: s.cfg.Length, begin: s.hangAll}) })
		}
		events.Go(func() {
			if restart != nil {
				restart()
			}
			s.sleepUntil(endAt)
			d.terminate(signals)
		})
	}
}

func (s *schedule) sleepUntil(at Instant) { time.Sleep(at - s.rig.now()) }

func (s *schedule) perform(e event) {
	s.sleepUntil(e.at)
	e.begin()
	if e.end != nil {
		time.Sleep(e.lasts)
		e.end()
	}
}

// drawRestart draws a restart of a door in the middle of the run, by signals or by an immediate SIGKILL; nil if there is none.
func (s *schedule) drawRestart(d *door) func() {
	at, downtime, faults, signals := s.drawMs(1500, 1500+int(s.cfg.Length.Milliseconds()/2)), s.drawMs(0, 500), s.drawFaults(d.number), s.drawSignals()
	choice := s.rng.IntN(4)
	if s.cfg.NoRandomFaults || choice == 0 {
		return nil
	}
	hang := s.drawHangs()
	return func() {
		s.sleepUntil(at)
		if choice == 1 {
			d.signal(syscall.SIGKILL)
			<-d.done
		} else {
			hang()
			d.terminate(signals)
		}
		time.Sleep(downtime)
		if err := d.start(faults); err != nil {
			d.rig.history.addIncarnation(Incarnation{Door: d.number, Crash: err.Error()})
		}
	}
}

// hangAll makes all backends hang.
func (s *schedule) hangAll() {
	for _, b := range s.rig.backends {
		b.behavior.Store(int32(Hangs))
	}
}

// drawHangs draws the backends that hang for some time from when a door is terminated.
func (s *schedule) drawHangs() func() {
	var affected []*backend
	for _, b := range s.rig.backends {
		if s.rng.IntN(3) == 0 {
			affected = append(affected, b)
		}
	}
	lasts := s.drawMs(500, 4000)
	return func() {
		for _, b := range affected {
			b.behavior.Store(int32(Hangs))
		}
		time.AfterFunc(lasts, func() {
			for _, b := range affected {
				b.behavior.Store(int32(Normal))
			}
		})
	}
}

// drawSignals draws the signals that terminate a door: SIGTERM, then up to three more SIGTERM or SIGHUP.
func (s *schedule) drawSignals() []timedSignal {
	signals := []timedSignal{{0, syscall.SIGTERM}}
	for range s.rng.IntN(4) {
		next := timedSignal{s.drawMs(0, 60), syscall.SIGTERM}
		if s.rng.IntN(2) == 0 {
			next.signal = syscall.SIGHUP
		}
		signals = append(signals, next)
	}
	return signals
}

// Mean numbers of events per second, and limits of single events.
const (
	behaviorsPerS     = 1.5 // changes of a backend's behavior
	drainsPerS        = 0.3
	replacementsPerS  = 0.4 // of backend processes by others at their addresses
	outagesPerS       = 0.6 // of one door's discovery agents
	counterFaultsPerS = 0.3
	pausesPerS        = 3.0 // for 8 doors; scaled to their number
	reloadsPerS       = 1.0 // likewise
	maxPauseMs        = 150 // ms, the longest pause of a door that the protocol page allows
	maxReloadsInARow  = 3
)

// drawEvents draws the events of the run other than restarts.
func (s *schedule) drawEvents() (events []event) {
	span := int(s.cfg.Length.Milliseconds()) + 4000
	draw := func(perS float64, makeEvent func(at time.Duration) event) {
		for range int(perS * float64(span) / 1000) {
			events = append(events, makeEvent(s.drawMs(1000, span)))
		}
	}
	draw(behaviorsPerS, s.drawBehavior)
	draw(drainsPerS, s.drawDrain)
	draw(replacementsPerS, s.drawReplacement)
	draw(outagesPerS, s.drawOutage)
	draw(counterFaultsPerS, s.drawCounterFault)
	draw(pausesPerS*float64(len(s.rig.doors))/8, s.drawPause)
	draw(reloadsPerS*float64(len(s.rig.doors))/8, s.drawReload)
	return events
}

// drawBehavior draws a time for which one backend misbehaves.
func (s *schedule) drawBehavior(at time.Duration) event {
	b, behavior := s.rig.backends[s.rng.IntN(len(s.rig.backends))], int32(1+s.rng.IntN(behaviorCount-1))
	return event{at, s.drawMs(200, 2500), func() { b.behavior.Store(behavior) }, func() { b.behavior.Store(int32(Normal)) }}
}

// drawDrain draws a drain of one backend, announced by all discovery agents.
func (s *schedule) drawDrain(at time.Duration) event {
	b := s.rng.IntN(len(s.rig.backends))
	set := func(lifecycle string) func() {
		return func() {
			for _, d := range s.rig.doors {
				for _, a := range d.agents {
					a.set(b, lifecycle)
				}
			}
		}
	}
	return event{at, s.drawMs(1000, 3000), set(draining), set(ready)}
}

// drawReplacement draws the end of a backend process, whose address another one has at once. Discovery tells it some time later.
func (s *schedule) drawReplacement(at time.Duration) event {
	b, told := s.rig.backends[s.rng.IntN(len(s.rig.backends))], s.drawMs(5, 300)
	return event{at: at, begin: func() {
		ended, started := b.replace()
		if started == nil {
			return
		}
		time.Sleep(told)
		for _, d := range s.rig.doors {
			for _, a := range d.agents {
				a.replace(b.number, ended, started, b.addr)
			}
		}
	}}
}

// drawOutage draws an outage of one door's discovery agents.
func (s *schedule) drawOutage(at time.Duration) event {
	d, reset := s.rig.doors[s.rng.IntN(len(s.rig.doors))], s.rng.IntN(2) == 0
	return event{at, s.drawMs(300, 2500), func() {
		for _, a := range d.agents {
			a.takeDown(reset)
		}
	}, func() {
		for _, a := range d.agents {
			a.bringUp()
		}
	}}
}

// drawCounterFault draws a time for which the counter refuses calls or is silent.
func (s *schedule) drawCounterFault(at time.Duration) event {
	fault := &s.rig.counter.busy
	if s.rng.IntN(2) == 0 {
		fault = &s.rig.counter.silent
	}
	return event{at, s.drawMs(300, 2000), func() { fault.Store(true) }, func() { fault.Store(false) }}
}

// drawPause draws a pause of one process by SIGSTOP.
func (s *schedule) drawPause(at time.Duration) event {
	d := s.rig.doors[s.rng.IntN(len(s.rig.doors))]
	return event{at, s.drawMs(20, maxPauseMs), d.pause, func() { d.signal(syscall.SIGCONT) }}
}

// drawReload draws one or more reloads of one door in quick succession.
func (s *schedule) drawReload(at time.Duration) event {
	d, count := s.rig.doors[s.rng.IntN(len(s.rig.doors))], 1+s.rng.IntN(maxReloadsInARow)
	return event{at: at, begin: func() {
		for range count {
			d.reload()
			time.Sleep(30 * time.Millisecond)
		}
	}}
}
