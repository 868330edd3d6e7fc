package permits

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/swifthall/swifthall/release"
)

// This file implements drains: how units are ordered out of service and how they come back.

// sortedPermits lists the permits by number. Map order is random, and every coordinator must process them in the same order.
func (s *State) sortedPermits() (all []*Permit) {
	for _, n := range slices.Sorted(maps.Keys(s.Permits)) {
		all = append(all, s.Permits[n])
	}
	return all
}

// budgetsJSON encodes budgets for the audit log and for messages.
func budgetsJSON(budgets []Budget) string {
	raw, _ := json.Marshal(budgets)
	return string(raw)
}

// begin registers a process and assigns its incarnation. A retry by the same process, such as after its answer was lost for longer
// than callerTTLMs, assigns another one: incarnations only grow.
func (s *State) begin(d Begin) Answer {
	k := unitKey(d.Unit.Kind, d.Unit.Name)
	u := s.Units[k]
	if u == nil {
		u = &UnitState{}
		s.Units[k] = u
	}
	u.Unit, u.Standing, u.AtMs, u.Process, u.Did = d.Unit, Starting, s.NowMs, d.Process, 0
	u.Incarnation++
	return Answer{Number: u.Incarnation}
}

// drain orders a unit or a zone out of service, or returns what denies it.
func (s *State) drain(c *Command, d Drain) Answer {
	if d.Kind == Zone {
		return s.drainZone(c, d)
	}
	u := s.Units[unitKey(d.Kind, d.Name)]
	if u == nil {
		return Answer{Err: &UnknownError{fmt.Sprintf("%s %s", d.Kind, d.Name)}}
	}
	if p := s.permitOf(d.Kind, d.Name); p != nil {
		return Answer{Err: &TakenError{d.Name, p.Number, p.Who}}
	}
	if err := s.checkOutage(&u.Unit, "", true); err != nil {
		return Answer{Err: err}
	}
	s.Change++
	return Answer{Number: s.placeOrder(c, d, &u.Unit, "").Number}
}

// placeOrder takes a unit's place in the budgets for a drain. A backend counts as out from now on, since any door may already
// withhold it.
func (s *State) placeOrder(c *Command, d Drain, u *Unit, zone string) *Permit {
	p := &Permit{Number: s.Next, Unit: *u, Who: d.Who, Why: d.Why, AtMs: s.NowMs, Order: true, Of: zone, UntilMs: d.UntilMs, Change: s.Change, Release: d.Release}
	if u.Kind == Backend {
		p.Stage, p.Caller = Out, c.Caller
	}
	s.Next++
	s.Permits[p.Number] = p
	s.LastMs[unitKey(u.Kind, u.Zone)] = s.NowMs
	s.audit(p.Number, fmt.Sprintf("drain of %s %s", u.Kind, u.Name), d.Who, d.Why)
	return p
}

// drainZone drains all units of a zone or none.
func (s *State) drainZone(c *Command, d Drain) Answer {
	units, err := s.drainableUnits(d.Name)
	if err != nil {
		return Answer{Err: err}
	}
	for _, u := range units { // a halt of one kind also applies to zones
		if err := s.checkOutage(&u.Unit, d.Name, true); err != nil {
			return Answer{Err: err}
		}
	}
	s.Change++
	var first uint64
	for _, u := range units {
		if n := s.placeOrder(c, d, &u.Unit, d.Name).Number; first == 0 {
			first = n
		}
	}
	return Answer{Number: first}
}

// drainableUnits lists the units of a zone that a drain of the zone takes out: all but those that are drained by themselves. A unit
// that is out for another reason, or on its way back, would serve on or again while the zone is said to be drained, so it keeps the zone
// from being drained.
func (s *State) drainableUnits(zone string) (units []*UnitState, err error) {
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		u := s.Units[k]
		if u.Zone != zone {
			continue
		}
		p := s.permitOf(u.Kind, u.Name)
		switch {
		case p == nil:
			units = append(units, u)
		case p.Of == zone && !p.Over:
			return nil, &TakenError{"zone " + zone, p.Number, p.Who}
		case !p.Order || p.Over:
			return nil, &TakenError{fmt.Sprintf("%s %s", u.Kind, u.Name), p.Number, p.Who}
		}
	}
	if len(units) == 0 {
		return nil, &UnknownError{"zone " + zone}
	}
	return units, nil
}

// zoneDrainOf returns a drain that is in force for a unit's zone as a whole; nil for none.
func (s *State) zoneDrainOf(u *Unit) *Permit {
	for _, p := range s.sortedPermits() {
		if p.Of == u.Zone && p.Of != "" && !p.Over {
			return p
		}
	}
	return nil
}

// checkZoneOutage returns what keeps a whole zone from going out: the budget of zones, or the minimum of ready units in the
// fleet. The maximum of units out doesn't apply, since a zone exceeds any such budget.
func (s *State) checkZoneOutage(zone string, newPermit bool) error {
	limited := false
	for _, b := range s.Budgets {
		b := b
		switch {
		case b.Kind == Zone:
			limited = true
			if out := s.zonesOut(zone); len(out)+1 > b.MaxOut {
				return &DeniedError{zone, b, "", fmt.Sprintf("%d of %d zones are out already", len(out), b.MaxOut), orNone(out)}
			}
		case b.Zone == "":
			ready, size := 0, 0.0
			var out []string
			for _, k := range slices.Sorted(maps.Keys(s.Units)) {
				u := s.Units[k]
				switch {
				case u.Kind != b.Kind || u.Zone == zone:
				case s.isOut(u):
					out = append(out, u.Name)
				default:
					ready, size = ready+1, size+u.Size
				}
			}
			if ready < b.MinReady {
				return &DeniedError{zone, b, "", fmt.Sprintf("%d %ss would be here, at least %d must be", ready, b.Kind, b.MinReady), orNone(out)}
			}
			if size < b.MinReadySize {
				return &DeniedError{zone, b, "", fmt.Sprintf("a size of %g would be here, at least %g must be", size, b.MinReadySize), orNone(out)}
			}
		}
	}
	if !limited && newPermit {
		return &DeniedError{Unit: zone, Budget: Budget{Kind: Zone}, Reason: "no budget for zones is set", Blocked: orNone(nil)}
	}
	return nil
}

// zonesOut lists the other zones that are out: drained as a whole, or without any ready unit of one of their kinds.
func (s *State) zonesOut(except string) (out []string) {
	ready, drained := map[string]map[Kind]int{}, map[string]bool{}
	for _, u := range s.Units {
		if ready[u.Zone] == nil {
			ready[u.Zone] = map[Kind]int{}
		}
		ready[u.Zone][u.Kind] += 0 // records that the zone has this kind, even if all its units are out
		if !s.isOut(u) {
			ready[u.Zone][u.Kind]++
		}
	}
	for _, p := range s.Permits {
		drained[p.Of] = drained[p.Of] || p.Of != ""
	}
	for _, z := range slices.Sorted(maps.Keys(ready)) {
		lost := drained[z]
		for _, n := range ready[z] {
			lost = lost || n == 0
		}
		if z != except && lost {
			out = append(out, z)
		}
	}
	return out
}

// undrain ends the drain of a unit, or all those that the drain of a zone ordered.
func (s *State) undrain(d Undrain) Answer {
	var drains []*Permit
	for _, p := range s.sortedPermits() {
		if p.Order && !p.Over && (d.Kind == Zone && p.Of == d.Name || d.Kind == p.Unit.Kind && p.Unit.Name == d.Name) {
			drains = append(drains, p)
		}
	}
	if len(drains) == 0 {
		return Answer{Err: &UnknownError{fmt.Sprintf("a drain of %s %s", d.Kind, d.Name)}}
	}
	s.Change++
	for _, p := range drains {
		s.endOrder(p, d.Who, d.Why)
	}
	return Answer{Number: drains[0].Number}
}

// endOrder ends a drain. A door that has not confirmed its permit can't go out any more, so its place is free. A unit whose zone is
// drained stays drained with it.
func (s *State) endOrder(p *Permit, who, why string) {
	if zone := s.zoneDrainOf(&p.Unit); zone != nil && p.Of == "" {
		p.Of, p.Who, p.Why, p.UntilMs, p.Release = zone.Of, zone.Who, zone.Why, zone.UntilMs, 0
		s.audit(p.Number, fmt.Sprintf("undrain of %s %s, which stays drained with zone %s", p.Unit.Kind, p.Unit.Name, zone.Of), who, why)
		return
	}
	p.Over, p.Change = true, s.Change
	s.audit(p.Number, fmt.Sprintf("undrain of %s %s", p.Unit.Kind, p.Unit.Name), who, why)
	if p.Unit.Kind == Door && p.Stage == Granted {
		s.freePlace(p, "not used")
	}
}

// expire ends the drains whose end time has come; that frees no place. A permit that was granted and not confirmed within its hold
// can't be used any more, because its Confirm would be refused: nothing went out by it, so its place becomes free. Otherwise a
// process that ended between request and Confirm would occupy a place for ever.
func (s *State) expire() {
	for _, p := range s.sortedPermits() {
		if !p.Order && p.Stage == Granted && s.NowMs-p.AtMs > p.HoldMs {
			s.freePlace(p, "never used")
			continue
		}
		if p.Order && !p.Over && p.UntilMs > 0 && s.WallMs >= p.UntilMs {
			s.Change++
			s.endOrder(p, p.Who, "its time is over")
		}
	}
}

// returnUnused frees the place of a permit that its own holder doesn't use. A drain stays in force.
func (s *State) returnUnused(p *Permit) {
	if p.Order && !p.Over {
		p.Caller, p.Stage = "", Granted
		return
	}
	s.freePlace(p, "not used")
}

// freeIfBack frees a backend's place once the fleet list shows it ready and warm and every running door has stopped withholding it.
func (s *State) freeIfBack(p *Permit) {
	u := s.Units[unitKey(Backend, p.Unit.Name)]
	if !p.Over || u == nil || u.Standing != Ready || s.NowMs-u.AtMs > sightingTTLMs {
		return
	}
	doors := 0
	for _, d := range s.Units {
		if d.Kind != Door || d.Standing == Failed || d.Standing == Ended {
			continue
		}
		if doors++; d.Did < p.Change {
			return
		}
	}
	if doors > 0 {
		s.freePlace(p, "back")
	}
}

// Withheld lists the backends to which no door may send new attempts, and the change to which the list belongs.
func (s *State) Withheld() (names []string, change uint64) {
	for _, p := range s.sortedPermits() {
		if p.Unit.Kind == Backend && p.Order && !p.Over {
			names = append(names, p.Unit.Name)
		}
	}
	return names, s.Change
}

// UnconfirmedDoors lists the doors that may still send to a drained backend: all that have not confirmed the change, reachable or not,
// except those that reported their own termination.
func (s *State) UnconfirmedDoors(p *Permit) (doors []string) {
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		if u := s.Units[k]; u.Kind == Door && u.Did < p.Change && u.Standing != Ended {
			doors = append(doors, u.Name)
		}
	}
	return doors
}

// DryRun returns the units that a drain would take out and the error that blocks it, without changing anything.
func (s *State) DryRun(k Kind, name string) (units []string, obstacle error) {
	var states []*UnitState
	zone := ""
	if k == Zone {
		zone = name
		if states, obstacle = s.drainableUnits(name); obstacle != nil {
			return nil, obstacle
		}
	} else if u := s.Units[unitKey(k, name)]; u != nil {
		states = append(states, u)
	} else {
		return nil, &UnknownError{fmt.Sprintf("%s %s", k, name)}
	}
	for _, u := range states {
		units = append(units, unitKey(u.Kind, u.Name))
	}
	if p := s.permitOf(k, name); p != nil {
		return units, &TakenError{name, p.Number, p.Who}
	}
	for _, u := range states {
		if err := s.checkOutage(&u.Unit, zone, true); err != nil {
			return units, err
		}
	}
	return units, nil
}

// Places returns the permits that occupy a place, by number.
func (s *State) Places() map[uint64]*Permit { return s.Permits }

// ReleaseCommands lists the commands that the leader is to send for releases of backends. Backends of the current wave are drained
// as budgets allow and undrained once they are seen with another process; those of a release that has ended are undrained as they
// are.
func (s *State) ReleaseCommands() (do []any) {
	for _, r := range s.Release.All {
		if r.Changes != release.Backends {
			continue
		}
		who := "release " + r.Name
		for _, b := range s.Release.DueBackends(r) {
			u := s.Units[unitKey(Backend, b)]
			if u != nil && s.permitOf(Backend, b) == nil && s.checkOutage(&u.Unit, "", true) == nil {
				do = append(do, Drain{Kind: Backend, Name: b, Who: who, Why: "to be replaced", Release: r.Number})
				return do // one at a time: the next is checked against the budget that this one leaves
			}
		}
		for _, p := range s.sortedPermits() {
			u := s.Units[unitKey(Backend, p.Unit.Name)]
			if p.Release != r.Number || p.Over || p.Unit.Kind != Backend || u == nil {
				continue
			}
			switch {
			case s.Release.Changed(r, p.Unit.Name) && u.Standing == Ready:
				do = append(do, Undrain{Backend, p.Unit.Name, who, "it is replaced, ready and warm"})
			case !r.Live():
				do = append(do, Undrain{Backend, p.Unit.Name, who, "the release is over"})
			}
		}
	}
	return do
}
