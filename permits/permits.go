package permits

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/release"
)

const (
	sightFor  = 15e3   // ms for which a sighting counts; several rounds of those who tell
	callerFor = 3600e3 // ms after which a caller's latest answer is forgotten; no command is on its way for so long
	auditMost = 10000  // lines of the audit that are kept in the state
)

// State is what coordinators agree on.
type State struct {
	NowMs   float64
	WallMs  float64    // latest wall clock of any coordinator that led
	Change  uint64     // grows with each order that is given or ends
	Epoch   uint64     // drawn by the first leader: tells this state from another one's
	Leader  Leadership // the latest
	Next    uint64     // number of the next permit; numbers only grow
	Budgets []Budget
	Units   map[string]*UnitState // by kind and name
	Permits map[uint64]*Permit
	Halts   []Halt
	Callers map[string]*Latest
	Audit   []AuditEntry
	Release *release.State
	LastMs  map[string]float64 // when a permit was given or a unit came back, by kind and zone

	Calendar *calendar.State
	Runs     map[uint64]*Run // what entries of the calendar have under way
}

// UnitState is what is known of a unit.
type UnitState struct {
	Unit
	Standing    Standing
	AtMs        float64 // of the sighting
	Incarnation uint64  // latest that it spoke with, or that was seen
	Process     uint64
	Did         uint64 // change up to which a door withholds what is to be withheld
}

// Latest is a caller's latest command.
type Latest struct {
	Seq    uint64
	AtMs   float64
	Answer Answer
}

// AuditEntry is one line of the audit.
type AuditEntry struct {
	AtMs   float64
	WallMs float64
	Number uint64
	What   string
	Who    string
	Why    string
}

// New returns the state before the first command: without budgets nothing goes out.
func New() *State {
	s := &State{Next: 1, Units: map[string]*UnitState{}, Permits: map[uint64]*Permit{}, Callers: map[string]*Latest{}, LastMs: map[string]float64{}, Release: release.New(),
		Calendar: calendar.New(), Runs: map[uint64]*Run{}}
	s.Calendar.See(s)
	return s
}

func key(k Kind, name string) string { return string(k) + "/" + name }

// Apply takes a command in. The same commands in the same order give the same state and answers everywhere.
func (s *State) Apply(c Command) Answer {
	if l := s.Callers[c.Caller]; l != nil && c.Seq <= l.Seq {
		if c.Seq == l.Seq {
			return l.Answer // an answer that was lost: the command has happened, once
		}
		return Answer{Err: &RepeatError{c.Caller, c.Seq}}
	}
	s.NowMs, s.WallMs = max(s.NowMs, c.AtMs), max(s.WallMs, c.WallMs)
	s.lapse()
	a := s.do(&c)
	s.follow()
	s.Callers[c.Caller] = &Latest{c.Seq, s.NowMs, a}
	return a
}

func (s *State) do(c *Command) Answer {
	switch d := c.Do.(type) {
	case SetBudgets:
		before, after := worded(s.Budgets), worded(d.Budgets)
		s.Budgets = slices.Clone(d.Budgets)
		s.note(0, "budgets "+before+" -> "+after, cmp.Or(d.Who, c.Caller), d.Why)
	case RecordSightings:
		for i := range d.Sightings {
			s.see(&d.Sightings[i])
		}
		s.forget()
	case SelfReport:
		s.see(&d.Sighting)
		if p := s.of(d.Kind, d.Name); p != nil && p.Number != d.Holds && p.Caller == c.Caller {
			s.unused(p) // it says itself, after all it has asked, that it isn't going by it
		}
	case Begin:
		return s.begin(d)
	case Drain:
		if r := s.Release.Number(d.Release); r == nil || !r.Live() { // else it is a step of what has begun
			if err := s.unplanned(calendar.Drain, drained(d.Kind, d.Name)); err != nil {
				return Answer{Err: err}
			}
		}
		return s.drain(c, d)
	case Undrain:
		return s.undrain(d)
	case Leadership:
		s.Leader = d
		if s.Epoch == 0 {
			s.Epoch = d.Epoch
		}
		for _, u := range s.Units {
			u.AtMs = min(u.AtMs, s.NowMs-sightFor-1)
		}
		s.tell(calendar.LeaderChanged{})
		s.note(0, "leads: "+d.Name, d.Name, "")
	case calendar.Plan, calendar.Edit, calendar.Approve, calendar.Refuse, calendar.Withdraw, calendar.DeclareEmergency, calendar.SetFreeze, calendar.Extend, calendar.Thaw,
		calendar.SetRules, calendar.Clock, calendar.Start, calendar.WaveDone, calendar.Observe, calendar.Migrate, calendar.Replace, calendar.Revert, calendar.Halt, calendar.Resume,
		calendar.RollBack, calendar.RolledBack, calendar.Acknowledge, calendar.Restored:
		return s.schedule(c)
	case release.Start, release.Took, release.RecordVerdict, release.Steer:
		if own, err := s.ofCalendar(d); own || err != nil {
			return Answer{Err: err}
		}
		n, note, err := s.Release.Do(d, s.known(Door), s.known(Backend))
		if err != nil {
			return Answer{Err: err}
		}
		if note != "" {
			who, why := c.Caller, ""
			switch d := d.(type) {
			case release.Start:
				who, why = d.Who, d.Why
			case release.Steer:
				who, why = d.Who, d.Why
			case release.RecordVerdict:
				why = d.Verdict.Why
			}
			s.note(0, note, who, why)
		}
		return Answer{Number: n}
	case Note:
		s.note(0, d.What, d.Who, d.Why)
	case Forget:
		if s.Units[key(d.Kind, d.Name)] == nil {
			return Answer{Err: &UnknownError{fmt.Sprintf("%s %s", d.Kind, d.Name)}}
		}
		if p := s.of(d.Kind, d.Name); p != nil {
			delete(s.Permits, p.Number)
		}
		delete(s.Units, key(d.Kind, d.Name))
		if d.Kind == Backend {
			s.Release.Saw(d.Name, "gone for good")
		}
		s.note(0, "forgotten: "+d.Name, d.Who, d.Why)
	case RequestPermit:
		return s.ask(c, d)
	case Confirm:
		return s.confirm(c, d)
	case Withdraw:
		p := s.Permits[d.Number]
		if p == nil || p.Caller != c.Caller {
			return Answer{Err: &UnknownError{fmt.Sprintf("permit %d of %s", d.Number, c.Caller)}}
		}
		s.free(p, "withdrawn")
	case WriteOff:
		p := s.Permits[d.Number]
		if p == nil {
			return Answer{Err: &UnknownError{fmt.Sprintf("permit %d", d.Number)}}
		}
		delete(s.Permits, p.Number)
		s.note(p.Number, "written off: "+p.Unit.Name, d.Who, d.Why)
	case Halt:
		s.Halts = append(s.Halts, d)
		s.note(0, fmt.Sprintf("halt of %s in %s", cmp.Or(string(d.Kind), "all"), cmp.Or(d.Zone, "the fleet")), d.Who, d.Why)
	case Resume:
		s.Halts = slices.DeleteFunc(s.Halts, func(h Halt) bool { return h.Kind == d.Kind && h.Zone == d.Zone })
		s.note(0, "resumed", d.Who, "")
	default:
		return Answer{Err: &UnknownError{fmt.Sprintf("a command of type %T", c.Do)}}
	}
	return Answer{}
}

func (s *State) note(number uint64, what, who, why string) {
	s.Audit = append(s.Audit, AuditEntry{s.NowMs, s.WallMs, number, what, who, why})
	if n := len(s.Audit); n > auditMost {
		s.Audit = slices.Delete(s.Audit, 0, n-auditMost)
	}
}

// see takes a sighting in. One that went by a permit is back once a later process of it is seen ready. A word that was long on
// its way speaks of the process that is to go, or of one before it, and frees nothing.
func (s *State) see(g *Sighting) {
	k := key(g.Kind, g.Name)
	u := s.Units[k]
	if u == nil {
		u = &UnitState{}
		s.Units[k] = u
	}
	if g.Incarnation < u.Incarnation { // a word of a process before, late on its way
		return
	}
	u.Unit, u.Standing, u.AtMs, u.Incarnation, u.Process, u.Did = g.Unit, g.Standing, s.NowMs, g.Incarnation, g.Process, max(u.Did, g.Did)
	if g.Kind == Backend && g.Standing != Failed {
		s.Release.Saw(g.Name, fmt.Sprint(g.Process))
	}
	p := s.of(g.Kind, g.Name)
	if g.Kind == Door { // it may have been the last that a backend's way back waited for
		for _, o := range s.sorted() {
			if o.Unit.Kind == Backend {
				s.backAgain(o)
			}
		}
	}
	switch {
	case p == nil || p.Stage != Out || p.Order && !p.Over:
	case p.Unit.Kind == Backend:
		s.backAgain(p)
	case g.Standing == Ready && g.Process != p.Process && g.Incarnation > p.Incarnation:
		s.free(p, "back")
	}
}

// free ends a permit whose place is free again.
func (s *State) free(p *Permit, how string) {
	delete(s.Permits, p.Number)
	s.LastMs[key(p.Unit.Kind, p.Unit.Zone)] = s.NowMs
	s.note(p.Number, how+": "+p.Unit.Name, p.Caller, "")
}

// of finds the permit that a unit has.
func (s *State) of(k Kind, name string) *Permit {
	for _, p := range s.Permits {
		if p.Unit.Kind == k && p.Unit.Name == name {
			return p
		}
	}
	return nil
}

// forget lets callers go that have said nothing for long.
func (s *State) forget() {
	maps.DeleteFunc(s.Callers, func(_ string, l *Latest) bool { return s.NowMs-l.AtMs > callerFor })
}

func (s *State) ask(c *Command, d RequestPermit) Answer {
	u := s.Units[key(d.Kind, d.Unit)]
	if u == nil {
		return Answer{Err: &UnknownError{fmt.Sprintf("%s %s", d.Kind, d.Unit)}}
	}
	if p := s.of(d.Kind, d.Unit); p != nil {
		if p.Order && !p.Over && d.Kind == Door { // the place is its own already
			p.Caller, p.AtMs, p.HoldMs, p.Stage = c.Caller, s.NowMs, d.HoldMs, Granted
			return Answer{Number: p.Number}
		}
		return Answer{Err: &TakenError{d.Unit, p.Number, p.Who}}
	}
	if err := s.mayChange(u, d.Release, true); err != nil {
		return Answer{Err: err}
	}
	p := &Permit{Number: s.Next, Unit: u.Unit, Caller: c.Caller, Who: d.Who, Why: d.Why, AtMs: s.NowMs, HoldMs: d.HoldMs, Release: d.Release}
	s.Next++
	s.Permits[p.Number] = p
	s.LastMs[key(u.Kind, u.Zone)] = s.NowMs
	s.note(p.Number, "granted: "+u.Name, d.Who, d.Why)
	return Answer{Number: p.Number}
}

// confirm looks again, with what has become known since the permit was given.
func (s *State) confirm(c *Command, d Confirm) Answer {
	p := s.Permits[d.Number]
	switch {
	case p == nil || p.Caller != c.Caller:
		return Answer{Err: &StaleError{d.Number, "it doesn't stand any more"}}
	case s.NowMs-p.AtMs > p.HoldMs:
		return Answer{Err: &StaleError{d.Number, fmt.Sprintf("held for %.0f ms, over %.0f", s.NowMs-p.AtMs, p.HoldMs)}}
	}
	// Also for one that looked before: it was stopped since, or it would have gone, and a halt may have come meanwhile.
	if p.Over {
		return Answer{Err: &StaleError{d.Number, "its order has ended"}}
	}
	u := s.Units[key(p.Unit.Kind, p.Unit.Name)]
	var err error
	if p.Release != 0 && u != nil {
		err = s.mayChange(u, p.Release, false)
	} else {
		err = s.mayGo(&p.Unit, p.Of, false)
	}
	if err != nil {
		return Answer{Err: err}
	}
	if d.Incarnation == 0 && u != nil {
		d.Incarnation, d.Process = u.Incarnation, u.Process
	}
	p.Stage, p.Incarnation, p.Process = Out, d.Incarnation, d.Process
	s.note(p.Number, "out: "+p.Unit.Name, p.Who, p.Why)
	return Answer{Number: p.Number}
}

// known lists all units of a kind that are known, sorted, as releases see them.
func (s *State) known(of Kind) (all []release.Door) {
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		if u := s.Units[k]; u.Kind == of {
			all = append(all, release.Door{Name: u.Name, Zone: u.Zone})
		}
	}
	return all
}

// mayChange tells what stands in the way of a unit's going out by a release, or by its own wish where that is 0. One that has
// failed is out already: on its way back to what it ran before, no budget is in its way, or failures could use all of it up
// and nothing could come back. One that a new leader has only not seen so far may well serve: three once went back at once in
// the half second before the first sightings, where two may be out.
func (s *State) mayChange(u *UnitState, number uint64, fresh bool) error {
	if number != 0 {
		back, err := s.Release.MayTake(number, u.Name)
		if err != nil {
			return err
		}
		if back && u.Standing != Ready && s.NowMs-u.AtMs <= sightFor {
			return nil
		}
	}
	return s.mayGo(&u.Unit, "", fresh)
}

// Out tells whether a unit counts as out.
func (s *State) Out(u *UnitState) bool { return s.out(u) }

// out tells whether a unit counts as out: by plan, by failure, or as nobody has seen it lately.
func (s *State) out(u *UnitState) bool {
	return u.Standing != Ready || s.NowMs-u.AtMs > sightFor || s.of(u.Kind, u.Name) != nil
}

// mayGo tells what stands in the way of a unit's going out; fresh where it has no permit so far.
func (s *State) mayGo(g *Unit, zone string, fresh bool) error {
	for _, h := range s.Halts {
		if (h.Kind == "" || h.Kind == g.Kind || zone != "" && h.Kind == Zone) && (h.Zone == "" || h.Zone == g.Zone) {
			return &HaltedError{h.Who, h.Why}
		}
	}
	if zone != "" { // it goes with its zone, whose budget is another
		return s.zoneMayGo(zone, fresh)
	}
	bound := false
	for _, b := range s.Budgets {
		if b.Kind != g.Kind || b.Zone != "" && b.Zone != EachZone && b.Zone != g.Zone {
			continue
		}
		bound = true
		zone := ""
		if b.Zone != "" {
			zone = g.Zone
		}
		if err := s.within(&b, zone, g, fresh); err != nil {
			return err
		}
	}
	if !bound {
		return &DeniedError{Unit: g.Name, Budget: Budget{Kind: g.Kind}, Says: "no budget is set", Blocked: orNone(nil)}
	}
	return nil
}

// within holds one budget against what would be out with one more.
func (s *State) within(b *Budget, zone string, g *Unit, fresh bool) error {
	here, size, last := 0, 0.0, -1.0
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		u := s.Units[k]
		switch {
		case u.Kind != b.Kind || zone != "" && u.Zone != zone:
		case u.Name == g.Name || s.out(u):
			if u.Name != g.Name {
				out = append(out, u.Name)
			}
		default:
			here, size = here+1, size+u.Size
		}
	}
	for k, at := range s.LastMs {
		if k == key(b.Kind, zone) || zone == "" && len(k) > len(b.Kind) && k[:len(b.Kind)+1] == key(b.Kind, "") {
			last = max(last, at)
		}
	}
	denied := func(format string, args ...any) error {
		return &DeniedError{g.Name, *b, zone, fmt.Sprintf(format, args...), orNone(out)}
	}
	switch {
	case len(out)+1 > b.MaxOut:
		return denied("%d of %d are out already", len(out), b.MaxOut)
	case here < b.MinReady:
		return denied("%d would be here, at least %d must be", here, b.MinReady)
	case size < b.LeastSize:
		return denied("a size of %g would be here, at least %g must be", size, b.LeastSize)
	case fresh && last >= 0 && s.NowMs-last < b.RestMs:
		return denied("%.0f ms since the last, %.0f must pass", s.NowMs-last, b.RestMs)
	}
	return nil
}

func orNone(names []string) []string {
	if len(names) == 0 {
		return []string{"none"}
	}
	return names
}
