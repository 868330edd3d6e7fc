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
	sightingTTLMs   = 15e3   // ms for which a sighting counts; the leader resends unchanged sightings several times within it
	callerTTLMs     = 3600e3 // ms after which a caller's latest answer is dropped; no command is in flight for so long
	maxAuditEntries = 10000  // audit entries that are kept in the state
)

// State is the replicated state of the coordinators.
type State struct {
	NowMs   float64
	WallMs  float64    // latest wall clock of any leader
	Change  uint64     // grows with each drain that is ordered or ends
	Epoch   uint64     // random number of the first leader; distinguishes this state from the state of another cluster
	Leader  Leadership // the latest leader
	Next    uint64     // number of the next permit; numbers only grow
	Budgets []Budget
	Units   map[string]*UnitState // by unitKey
	Permits map[uint64]*Permit
	Halts   []Halt
	Callers map[string]*LastCommand
	Audit   []AuditEntry
	Release *release.State
	LastMs  map[string]float64 // when a permit was last granted or a unit last came back, by kind and zone

	Calendar *calendar.State
	Runs     map[uint64]*Run // what running calendar entries have started, by entry
}

// UnitState is the latest known state of a unit.
type UnitState struct {
	Unit
	Standing    Standing
	AtMs        float64 // of the latest sighting
	Incarnation uint64  `json:"Life"` // latest incarnation that was registered or seen
	Process     uint64
	Did         uint64 // of a door: the latest change whose withheld backends it has applied
}

// LastCommand is a caller's latest command and its answer.
type LastCommand struct {
	Seq    uint64
	AtMs   float64
	Answer Answer
}

// AuditEntry is one entry of the audit log.
type AuditEntry struct {
	AtMs   float64
	WallMs float64
	Number uint64 // of the permit; 0 for none
	What   string
	Who    string
	Why    string
}

// restoredGap is more than the numbers that commands lost with other coordinators can have used.
const restoredGap = 1 << 32

// raiseNumbers raises the numbers of a restored state above all that lost commands have used, and has every order confirmed anew: doors
// ignore changes that are older than what they know, and what they have confirmed may belong to changes that are lost.
func (s *State) raiseNumbers() {
	s.Change += restoredGap
	s.Next += restoredGap
	s.Release.Next += restoredGap
	for _, p := range s.Permits {
		if p.Order {
			p.Change = s.Change
		}
	}
}

// New returns the state before the first command. Without budgets every permit is denied.
func New() *State {
	s := &State{Next: 1, Units: map[string]*UnitState{}, Permits: map[uint64]*Permit{}, Callers: map[string]*LastCommand{}, LastMs: map[string]float64{}, Release: release.New(),
		Calendar: calendar.New(), Runs: map[uint64]*Run{}}
	s.Calendar.SetZones(s)
	return s
}

// unitKey returns the key of a unit in maps: its kind and name. With a zone in place of the name it is a key of State.LastMs.
func unitKey(k Kind, name string) string { return string(k) + "/" + name }

// Apply executes a command. The same commands in the same order produce the same state and answers on every coordinator.
func (s *State) Apply(c Command) Answer {
	if l := s.Callers[c.Caller]; l != nil && c.Seq <= l.Seq {
		if c.Seq == l.Seq {
			return l.Answer // a retry after a lost answer: the command was executed once
		}
		return Answer{Err: &RepeatError{c.Caller, c.Seq}}
	}
	s.NowMs, s.WallMs = max(s.NowMs, c.AtMs), max(s.WallMs, c.WallMs)
	s.expire()
	a := s.execute(&c)
	s.advanceEntries()
	s.Callers[c.Caller] = &LastCommand{c.Seq, s.NowMs, a}
	return a
}

// execute carries out a command that isn't a retry, at the state's current time.
func (s *State) execute(c *Command) Answer {
	switch d := c.Do.(type) {
	case SetBudgets:
		before, after := budgetsJSON(s.Budgets), budgetsJSON(d.Budgets)
		s.Budgets = slices.Clone(d.Budgets)
		s.audit(0, "budgets "+before+" -> "+after, cmp.Or(d.Who, c.Caller), d.Why)
	case RecordSightings:
		for i := range d.Sightings {
			s.recordSighting(&d.Sightings[i])
		}
		s.expireCallers()
	case SelfReport:
		s.recordSighting(&d.Sighting)
		if p := s.permitOf(d.Kind, d.Name); p != nil && p.Number != d.Holds && p.Caller == c.Caller {
			s.returnUnused(p) // the caller's later report says that it doesn't use the permit
		}
	case Begin:
		return s.begin(d)
	case Drain:
		if r := s.Release.ByNumber(d.Release); r == nil || !r.Live() { // a step of a live release has passed this check already
			if err := s.checkUnplanned(calendar.Drain, drainSubject(d.Kind, d.Name)); err != nil {
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
		if d.Restored {
			s.raiseNumbers()
		}
		for _, u := range s.Units {
			u.AtMs = min(u.AtMs, s.NowMs-sightingTTLMs-1)
		}
		s.tryCalendar(calendar.LeaderChanged{})
		s.audit(0, "leads: "+d.Name, d.Name, "")
	case calendar.Plan, calendar.Edit, calendar.Approve, calendar.Refuse, calendar.Withdraw, calendar.DeclareEmergency, calendar.SetFreeze, calendar.ExtendFreeze, calendar.Thaw,
		calendar.SetRules, calendar.ReportClock, calendar.Start, calendar.WaveDone, calendar.Observe, calendar.Migrate, calendar.ReplaceSteps, calendar.RevertMigration, calendar.Halt, calendar.Resume,
		calendar.RollBack, calendar.RolledBack, calendar.Acknowledge, calendar.Restored:
		return s.applyCalendarCommand(c)
	case release.Start, release.ReportVersions, release.RecordVerdict, release.Steer:
		if handled, err := s.routeToEntry(d); handled || err != nil {
			return Answer{Err: err}
		}
		n, note, err := s.Release.Apply(d, s.unitsOf(Door), s.unitsOf(Backend))
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
			s.audit(0, note, who, why)
		}
		return Answer{Number: n}
	case Note:
		s.audit(0, d.What, d.Who, d.Why)
	case Forget:
		if s.Units[unitKey(d.Kind, d.Name)] == nil {
			return Answer{Err: &UnknownError{fmt.Sprintf("%s %s", d.Kind, d.Name)}}
		}
		if p := s.permitOf(d.Kind, d.Name); p != nil {
			delete(s.Permits, p.Number)
		}
		delete(s.Units, unitKey(d.Kind, d.Name))
		if d.Kind == Door {
			s.endChange(release.EndChange{Door: d.Name})
		}
		if d.Kind == Backend {
			s.Release.RecordProcess(d.Name, "gone for good")
		}
		s.audit(0, "forgotten: "+d.Name, d.Who, d.Why)
	case RequestPermit:
		return s.requestPermit(c, d)
	case Confirm:
		return s.confirm(c, d)
	case Withdraw:
		p := s.Permits[d.Number]
		if p == nil || p.Caller == c.Caller {
			s.endChange(release.EndChange{Permit: d.Number}) // its place may have become free before
		}
		if p == nil || p.Caller != c.Caller {
			return Answer{Err: &UnknownError{fmt.Sprintf("permit %d of %s", d.Number, c.Caller)}}
		}
		s.freePlace(p, "withdrawn")
	case WriteOff:
		p := s.Permits[d.Number]
		if p == nil {
			return Answer{Err: &UnknownError{fmt.Sprintf("permit %d", d.Number)}}
		}
		delete(s.Permits, p.Number)
		s.endChange(release.EndChange{Permit: p.Number})
		s.audit(p.Number, "written off: "+p.Unit.Name, d.Who, d.Why)
	case Halt:
		s.Halts = append(s.Halts, d)
		s.audit(0, fmt.Sprintf("halt of %s in %s", cmp.Or(string(d.Kind), "all"), cmp.Or(d.Zone, "the fleet")), d.Who, d.Why)
	case Resume:
		s.Halts = slices.DeleteFunc(s.Halts, func(h Halt) bool { return h.Kind == d.Kind && h.Zone == d.Zone })
		s.audit(0, "resumed", d.Who, "")
	default:
		return Answer{Err: &UnknownError{fmt.Sprintf("a command of type %T", c.Do)}}
	}
	return Answer{}
}

// endChange ends what a release still waits for. Its answer says nothing: there is none to give.
func (s *State) endChange(end release.EndChange) {
	_, _, _ = s.Release.Apply(end, s.unitsOf(Door), s.unitsOf(Backend))
}

// audit adds an entry to the audit log; number is that of the permit, 0 for none.
func (s *State) audit(number uint64, what, who, why string) {
	s.Audit = append(s.Audit, AuditEntry{s.NowMs, s.WallMs, number, what, who, why})
	if n := len(s.Audit); n > maxAuditEntries {
		s.Audit = slices.Delete(s.Audit, 0, n-maxAuditEntries)
	}
}

// recordSighting updates a unit from a sighting. A unit that went out by a permit is back once a later process of it is seen
// ready. A delayed sighting is of the process that is to go out, or of an earlier one, and frees no place.
func (s *State) recordSighting(g *Sighting) {
	k := unitKey(g.Kind, g.Name)
	u := s.Units[k]
	if u == nil {
		u = &UnitState{}
		s.Units[k] = u
	}
	if g.Incarnation < u.Incarnation { // a delayed sighting of an earlier process
		return
	}
	u.Unit, u.Standing, u.AtMs, u.Incarnation, u.Process, u.Did = g.Unit, g.Standing, s.NowMs, g.Incarnation, g.Process, max(u.Did, g.Did)
	if g.Kind == Backend && g.Standing != Failed {
		s.Release.RecordProcess(g.Name, fmt.Sprint(g.Process))
	}
	p := s.permitOf(g.Kind, g.Name)
	if g.Kind == Door { // it may be the last door that a returning backend waits for
		for _, o := range s.sortedPermits() {
			if o.Unit.Kind == Backend {
				s.freeIfBack(o)
			}
		}
	}
	switch {
	case p == nil || p.Stage != Out || p.Order && !p.Over:
	case p.Unit.Kind == Backend:
		s.freeIfBack(p)
	case g.Standing == Ready && g.Process != p.Process && g.Incarnation > p.Incarnation:
		s.freePlace(p, "back")
	}
}

// freePlace ends a permit and records when its place became free.
func (s *State) freePlace(p *Permit, how string) {
	delete(s.Permits, p.Number)
	s.LastMs[unitKey(p.Unit.Kind, p.Unit.Zone)] = s.NowMs
	s.audit(p.Number, how+": "+p.Unit.Name, p.Caller, "")
}

// permitOf returns the permit of a unit; nil if it has none.
func (s *State) permitOf(k Kind, name string) *Permit {
	for _, p := range s.Permits {
		if p.Unit.Kind == k && p.Unit.Name == name {
			return p
		}
	}
	return nil
}

// expireCallers drops the answers of callers that have sent nothing for callerTTLMs.
func (s *State) expireCallers() {
	maps.DeleteFunc(s.Callers, func(_ string, l *LastCommand) bool { return s.NowMs-l.AtMs > callerTTLMs })
}

// requestPermit grants a permit, or returns what denies it. A door that is being drained receives the permit of its drain; a release waits
// until the door is back.
func (s *State) requestPermit(c *Command, d RequestPermit) Answer {
	u := s.Units[unitKey(d.Kind, d.Unit)]
	if u == nil {
		return Answer{Err: &UnknownError{fmt.Sprintf("%s %s", d.Kind, d.Unit)}}
	}
	if p := s.permitOf(d.Kind, d.Unit); p != nil {
		if p.Order && !p.Over && d.Kind == Door && d.Release == 0 { // the drain already occupies the place for this door
			p.Caller, p.AtMs, p.HoldMs, p.Stage = c.Caller, s.NowMs, d.HoldMs, Granted
			return Answer{Number: p.Number}
		}
		return Answer{Err: &TakenError{d.Unit, p.Number, p.Who}}
	}
	if err := s.checkReleaseStep(u, d.Release, true); err != nil {
		return Answer{Err: err}
	}
	p := &Permit{Number: s.Next, Unit: u.Unit, Caller: c.Caller, Who: d.Who, Why: d.Why, AtMs: s.NowMs, HoldMs: d.HoldMs, Release: d.Release}
	s.Next++
	s.Permits[p.Number] = p
	s.LastMs[unitKey(u.Kind, u.Zone)] = s.NowMs
	s.audit(p.Number, "granted: "+u.Name, d.Who, d.Why)
	return Answer{Number: p.Number}
}

// confirm checks a permit again against everything that was learned since it was granted.
func (s *State) confirm(c *Command, d Confirm) Answer {
	p := s.Permits[d.Number]
	switch {
	case p == nil || p.Caller != c.Caller:
		return Answer{Err: &StaleError{d.Number, "it doesn't stand any more"}}
	case s.NowMs-p.AtMs > p.HoldMs:
		return Answer{Err: &StaleError{d.Number, fmt.Sprintf("held for %.0f ms, over %.0f", s.NowMs-p.AtMs, p.HoldMs)}}
	}
	// A permit that was confirmed before is checked as well: its holder was suspended, or it would have gone out by now, and a
	// halt may have been ordered in between.
	if p.Over {
		return Answer{Err: &StaleError{d.Number, "its order has ended"}}
	}
	u := s.Units[unitKey(p.Unit.Kind, p.Unit.Name)]
	var err error
	if p.Release != 0 && u != nil {
		err = s.checkReleaseStep(u, p.Release, false)
	} else {
		err = s.checkOutage(&p.Unit, p.Of, false)
	}
	if err != nil {
		return Answer{Err: err}
	}
	switch {
	case d.Incarnation == 0 && p.Stage == Out: // confirmed before: the later process may have registered by now
		d.Incarnation, d.Process = p.Incarnation, p.Process
	case d.Incarnation == 0 && u != nil:
		d.Incarnation, d.Process = u.Incarnation, u.Process
	}
	p.Stage, p.Incarnation, p.Process = Out, d.Incarnation, d.Process
	if p.Release != 0 {
		s.Release.BeginChange(p.Release, p.Unit.Name, p.Number)
	}
	s.audit(p.Number, "out: "+p.Unit.Name, p.Who, p.Why)
	return Answer{Number: p.Number}
}

// unitsOf lists all known units of a kind for the release state machine, sorted by name.
func (s *State) unitsOf(of Kind) (all []release.Unit) {
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		if u := s.Units[k]; u.Kind == of {
			all = append(all, release.Unit{Name: u.Name, Zone: u.Zone})
		}
	}
	return all
}

// checkReleaseStep returns what keeps a unit from going out for a release, or on its own request if number is 0; nil for
// nothing. A failed unit is out already: when it rolls back, no budget applies, since otherwise failures could use up the whole
// budget and nothing could be rolled back. A unit that a new leader has merely not seen yet may still be serving, so budgets
// apply to it: without that rule three doors went out at once in the half second before the first sightings, where two may be
// out.
func (s *State) checkReleaseStep(u *UnitState, number uint64, newPermit bool) error {
	if number != 0 {
		back, err := s.Release.CheckChange(number, u.Name)
		if err != nil {
			return err
		}
		if back && u.Standing != Ready && s.NowMs-u.AtMs <= sightingTTLMs {
			return nil
		}
	}
	return s.checkOutage(&u.Unit, "", newPermit)
}

// Out reports whether a unit counts as out.
func (s *State) Out(u *UnitState) bool { return s.isOut(u) }

// isOut reports whether a unit counts as out: planned, failed, or not seen for sightingTTLMs.
func (s *State) isOut(u *UnitState) bool {
	return u.Standing != Ready || s.NowMs-u.AtMs > sightingTTLMs || s.permitOf(u.Kind, u.Name) != nil
}

// checkOutage returns the halt or budget that keeps a unit from going out; nil for none. zone names the zone that is drained as
// a whole, if any; newPermit is set if the unit has no permit yet.
func (s *State) checkOutage(g *Unit, zone string, newPermit bool) error {
	for _, h := range s.Halts {
		if (h.Kind == "" || h.Kind == g.Kind || zone != "" && h.Kind == Zone) && (h.Zone == "" || h.Zone == g.Zone) {
			return &HaltedError{h.Who, h.Why}
		}
	}
	if zone != "" { // a drain of a whole zone has its own budget
		return s.checkZoneOutage(zone, newPermit)
	}
	limited := false
	for _, b := range s.Budgets {
		if b.Kind != g.Kind || b.Zone != "" && b.Zone != EachZone && b.Zone != g.Zone {
			continue
		}
		limited = true
		zone := ""
		if b.Zone != "" {
			zone = g.Zone
		}
		if err := s.checkBudget(&b, zone, g, newPermit); err != nil {
			return err
		}
	}
	if !limited {
		return &DeniedError{Unit: g.Name, Budget: Budget{Kind: g.Kind}, Reason: "no budget is set", Blocked: orNone(nil)}
	}
	return nil
}

// checkBudget checks one budget with one more unit out.
func (s *State) checkBudget(b *Budget, zone string, g *Unit, newPermit bool) error {
	ready, size, lastMs := 0, 0.0, -1.0
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		u := s.Units[k]
		switch {
		case u.Kind != b.Kind || zone != "" && u.Zone != zone:
		case u.Name == g.Name || s.isOut(u):
			if u.Name != g.Name {
				out = append(out, u.Name)
			}
		default:
			ready, size = ready+1, size+u.Size
		}
	}
	for k, at := range s.LastMs {
		if k == unitKey(b.Kind, zone) || zone == "" && len(k) > len(b.Kind) && k[:len(b.Kind)+1] == unitKey(b.Kind, "") {
			lastMs = max(lastMs, at)
		}
	}
	denied := func(format string, args ...any) error {
		return &DeniedError{g.Name, *b, zone, fmt.Sprintf(format, args...), orNone(out)}
	}
	switch {
	case len(out)+1 > b.MaxOut:
		return denied("%d of %d are out already", len(out), b.MaxOut)
	case ready < b.MinReady:
		return denied("%d would be here, at least %d must be", ready, b.MinReady)
	case size < b.MinReadySize:
		return denied("a size of %g would be here, at least %g must be", size, b.MinReadySize)
	case newPermit && lastMs >= 0 && s.NowMs-lastMs < b.MinGapMs:
		return denied("%.0f ms since the last, %.0f must pass", s.NowMs-lastMs, b.MinGapMs)
	}
	return nil
}

// orNone returns the names, or "none" in their place if there are none, for DeniedError.Blocked.
func orNone(names []string) []string {
	if len(names) == 0 {
		return []string{"none"}
	}
	return names
}
