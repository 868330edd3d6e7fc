package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/lab/sysfaults"
)

// schedule draws the faults of a day from its seed and plays them.
type schedule struct {
	rig *rig
	cfg Config
	rng *rand.Rand
}

func newSchedule(r *rig, day Config) *schedule {
	return &schedule{r, day, rand.New(rand.NewPCG(day.Seed, 0))}
}

// systemFaults are those that a process may have, each at the rate given at most.
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

// drawFaults draws the faults of one process.
func (s *schedule) drawFaults(door int) sysfaults.Plan {
	if len(s.cfg.FaultPlans) > 0 {
		return s.cfg.FaultPlans[door%len(s.cfg.FaultPlans)]
	}
	p := sysfaults.Plan{Seed: s.rng.Uint32()}
	if s.cfg.NoRandomFaults {
		return p
	}
	if s.rng.IntN(2) == 0 { // in bursts, else all the time
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

func (s *schedule) drawMs(least, most int) time.Duration {
	return time.Duration(least+s.rng.IntN(most-least)) * time.Millisecond
}

// event is something that happens at an instant, for some time where it has an end.
type event struct {
	at, lasts  time.Duration
	begin, end func()
}

// run draws the day's events and has each happen in its time. The group is done once all are over, every process among
// them.
func (s *schedule) run(events *sync.WaitGroup) {
	if !s.cfg.NoRandomFaults {
		for _, e := range s.drawEvents() {
			events.Go(func() { s.perform(e) })
		}
	}
	for _, d := range s.rig.doors {
		restart := s.drawRestart(d)
		last, series := s.cfg.Length+s.drawMs(0, 1000), s.drawSignals()
		if s.cfg.HangAtEnd {
			events.Go(func() { s.perform(event{at: s.cfg.Length, begin: s.hangAll}) })
		}
		events.Go(func() {
			if restart != nil {
				restart()
			}
			s.sleepUntil(last)
			d.terminate(series)
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

// drawRestart draws a drawRestart of a door in the middle of the day: told to end, or killed outright.
func (s *schedule) drawRestart(d *door) func() {
	at, rest, faults, series := s.drawMs(1500, 1500+int(s.cfg.Length.Milliseconds()/2)), s.drawMs(0, 500), s.drawFaults(d.number), s.drawSignals()
	how := s.rng.IntN(4)
	if s.cfg.NoRandomFaults || how == 0 {
		return nil
	}
	hang := s.drawHangs()
	return func() {
		s.sleepUntil(at)
		if how == 1 {
			d.signal(syscall.SIGKILL)
			<-d.done
		} else {
			hang()
			d.terminate(series)
		}
		time.Sleep(rest)
		if err := d.start(faults); err != nil {
			d.rig.history.addIncarnation(Incarnation{Door: d.number, Crash: err.Error()})
		}
	}
}

func (s *schedule) hangAll() {
	for _, b := range s.rig.backends {
		b.behavior.Store(int32(Hangs))
	}
}

// drawHangs draws which backends hang just as a door is told to end.
func (s *schedule) drawHangs() func() {
	var which []*backend
	for _, b := range s.rig.backends {
		if s.rng.IntN(3) == 0 {
			which = append(which, b)
		}
	}
	lasts := s.drawMs(500, 4000)
	return func() {
		for _, b := range which {
			b.behavior.Store(int32(Hangs))
		}
		time.AfterFunc(lasts, func() {
			for _, b := range which {
				b.behavior.Store(int32(Normal))
			}
		})
	}
}

// drawSignals draws the signals by which a door is told to end.
func (s *schedule) drawSignals() []timedSignal {
	all := []timedSignal{{0, syscall.SIGTERM}}
	for range s.rng.IntN(4) {
		next := timedSignal{s.drawMs(0, 60), syscall.SIGTERM}
		if s.rng.IntN(2) == 0 {
			next.signal = syscall.SIGHUP
		}
		all = append(all, next)
	}
	return all
}

// Events of a day, how many of each in a second.
const (
	behaviorsPerS     = 1.5
	drainsPerS        = 0.3
	outagesPerS       = 0.6
	counterFaultsPerS = 0.3
	pausesPerS        = 3.0
	reloadsPerS       = 1.0
	maxPauseMs        = 150 // ms that a door may be held up for
	maxReloadsInARow  = 3
)

// drawEvents draws the events of a day.
func (s *schedule) drawEvents() (all []event) {
	span := int(s.cfg.Length.Milliseconds()) + 4000
	times := func(perS float64, make func(at time.Duration) event) {
		for range int(perS * float64(span) / 1000) {
			all = append(all, make(s.drawMs(1000, span)))
		}
	}
	times(behaviorsPerS, s.drawBehavior)
	times(drainsPerS, s.drawDrain)
	times(outagesPerS, s.drawOutage)
	times(counterFaultsPerS, s.drawCounterFault)
	times(pausesPerS*float64(len(s.rig.doors))/8, s.drawPause)
	times(reloadsPerS*float64(len(s.rig.doors))/8, s.drawReload)
	return all
}

func (s *schedule) drawBehavior(at time.Duration) event {
	b, how := s.rig.backends[s.rng.IntN(len(s.rig.backends))], int32(1+s.rng.IntN(behaviorCount-1))
	return event{at, s.drawMs(200, 2500), func() { b.behavior.Store(how) }, func() { b.behavior.Store(int32(Normal)) }}
}

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

func (s *schedule) drawCounterFault(at time.Duration) event {
	which := &s.rig.counter.busy
	if s.rng.IntN(2) == 0 {
		which = &s.rig.counter.silent
	}
	return event{at, s.drawMs(300, 2000), func() { which.Store(true) }, func() { which.Store(false) }}
}

// drawPause holds a process up.
func (s *schedule) drawPause(at time.Duration) event {
	d := s.rig.doors[s.rng.IntN(len(s.rig.doors))]
	return event{at, s.drawMs(20, maxPauseMs), d.pause, func() { d.signal(syscall.SIGCONT) }}
}

// drawReload has a door read new configurations in quick succession.
func (s *schedule) drawReload(at time.Duration) event {
	d, times := s.rig.doors[s.rng.IntN(len(s.rig.doors))], 1+s.rng.IntN(maxReloadsInARow)
	return event{at: at, begin: func() {
		for range times {
			d.reload()
			time.Sleep(30 * time.Millisecond)
		}
	}}
}
