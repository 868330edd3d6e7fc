package permits

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/swifthall/swifthall/release"
)

// What operators order out, and how it comes back.

// sorted lists the permits in the order of their numbers: maps have none, and every coordinator must do alike.
func (s *State) sorted() (all []*Permit) {
	for _, n := range slices.Sorted(maps.Keys(s.Permits)) {
		all = append(all, s.Permits[n])
	}
	return all
}

func worded(budgets []Budget) string {
	raw, _ := json.Marshal(budgets)
	return string(raw)
}

// begin gives a process the life that it speaks with. A repeat by the same process, as after an answer that was lost for
// longer than callers are remembered, begins another: lives only grow.
func (s *State) begin(d Begin) Answer {
	k := key(d.Unit.Kind, d.Unit.Name)
	u := s.Units[k]
	if u == nil {
		u = &UnitState{}
		s.Units[k] = u
	}
	u.Unit, u.Standing, u.AtMs, u.Process, u.Did = d.Unit, Starting, s.NowMs, d.Process, 0
	u.Incarnation++
	return Answer{Number: u.Incarnation}
}

func (s *State) drain(c *Command, d Drain) Answer {
	if d.Kind == Zone {
		return s.drainZone(c, d)
	}
	u := s.Units[key(d.Kind, d.Name)]
	if u == nil {
		return Answer{Err: &UnknownError{fmt.Sprintf("%s %s", d.Kind, d.Name)}}
	}
	if p := s.of(d.Kind, d.Name); p != nil {
		return Answer{Err: &TakenError{d.Name, p.Number, p.Who}}
	}
	if err := s.mayGo(&u.Unit, "", true); err != nil {
		return Answer{Err: err}
	}
	s.Change++
	return Answer{Number: s.order(c, d, &u.Unit, "").Number}
}

// order takes a unit's place for an order. A backend counts as out from here on: any door may have heard of it.
func (s *State) order(c *Command, d Drain, u *Unit, of string) *Permit {
	p := &Permit{Number: s.Next, Unit: *u, Who: d.Who, Why: d.Why, AtMs: s.NowMs, Order: true, Of: of, UntilMs: d.UntilMs, Change: s.Change, Release: d.Release}
	if u.Kind == Backend {
		p.Stage, p.Caller = Out, c.Caller
	}
	s.Next++
	s.Permits[p.Number] = p
	s.LastMs[key(u.Kind, u.Zone)] = s.NowMs
	s.note(p.Number, fmt.Sprintf("drain of %s %s", u.Kind, u.Name), d.Who, d.Why)
	return p
}

// drainZone orders all of a zone out, or nothing of it. Those that are out on their own account stay as they are.
func (s *State) drainZone(c *Command, d Drain) Answer {
	var units []*UnitState
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		if u := s.Units[k]; u.Zone == d.Name {
			if p := s.of(u.Kind, u.Name); p != nil && p.Of == d.Name && !p.Over {
				return Answer{Err: &TakenError{"zone " + d.Name, p.Number, p.Who}}
			} else if p == nil {
				units = append(units, u)
			}
		}
	}
	if len(units) == 0 {
		return Answer{Err: &UnknownError{"zone " + d.Name}}
	}
	for _, u := range units { // a halt of one kind is a halt of the zone's
		if err := s.mayGo(&u.Unit, d.Name, true); err != nil {
			return Answer{Err: err}
		}
	}
	s.Change++
	var first uint64
	for _, u := range units {
		if n := s.order(c, d, &u.Unit, d.Name).Number; first == 0 {
			first = n
		}
	}
	return Answer{Number: first}
}

// zoneMayGo tells what stands in the way of a whole zone's going out: the budget of zones, and what must be here in the
// fleet. How many units may be out at once is no matter here: a zone is more than any such budget.
func (s *State) zoneMayGo(zone string, fresh bool) error {
	bound := false
	for _, b := range s.Budgets {
		b := b
		switch {
		case b.Kind == Zone:
			bound = true
			if out := s.zonesOut(zone); len(out)+1 > b.MaxOut {
				return &DeniedError{zone, b, "", fmt.Sprintf("%d of %d zones are out already", len(out), b.MaxOut), orNone(out)}
			}
		case b.Zone == "":
			here, size := 0, 0.0
			var out []string
			for _, k := range slices.Sorted(maps.Keys(s.Units)) {
				u := s.Units[k]
				switch {
				case u.Kind != b.Kind || u.Zone == zone:
				case s.out(u):
					out = append(out, u.Name)
				default:
					here, size = here+1, size+u.Size
				}
			}
			if here < b.MinReady {
				return &DeniedError{zone, b, "", fmt.Sprintf("%d %ss would be here, at least %d must be", here, b.Kind, b.MinReady), orNone(out)}
			}
			if size < b.LeastSize {
				return &DeniedError{zone, b, "", fmt.Sprintf("a size of %g would be here, at least %g must be", size, b.LeastSize), orNone(out)}
			}
		}
	}
	if !bound && fresh {
		return &DeniedError{Unit: zone, Budget: Budget{Kind: Zone}, Says: "no budget for zones is set", Blocked: orNone(nil)}
	}
	return nil
}

// zonesOut lists the other zones that are out: drained as a whole, or with no door or no backend left that is here.
func (s *State) zonesOut(but string) (out []string) {
	here, drained := map[string]map[Kind]int{}, map[string]bool{}
	for _, u := range s.Units {
		if here[u.Zone] == nil {
			here[u.Zone] = map[Kind]int{}
		}
		here[u.Zone][u.Kind] += 0 // a kind that the zone has, though none of it be here
		if !s.out(u) {
			here[u.Zone][u.Kind]++
		}
	}
	for _, p := range s.Permits {
		drained[p.Of] = drained[p.Of] || p.Of != ""
	}
	for _, z := range slices.Sorted(maps.Keys(here)) {
		lost := drained[z]
		for _, n := range here[z] {
			lost = lost || n == 0
		}
		if z != but && lost {
			out = append(out, z)
		}
	}
	return out
}

func (s *State) undrain(d Undrain) Answer {
	var of []*Permit
	for _, p := range s.sorted() {
		if p.Order && !p.Over && (d.Kind == Zone && p.Of == d.Name || d.Kind == p.Unit.Kind && p.Unit.Name == d.Name) {
			of = append(of, p)
		}
	}
	if len(of) == 0 {
		return Answer{Err: &UnknownError{fmt.Sprintf("a drain of %s %s", d.Kind, d.Name)}}
	}
	s.Change++
	for _, p := range of {
		s.end(p, d.Who, d.Why)
	}
	return Answer{Number: of[0].Number}
}

// end has an order's unit come back. A door that has not looked so far can't go any more: its place is free.
func (s *State) end(p *Permit, who, why string) {
	p.Over, p.Change = true, s.Change
	s.note(p.Number, fmt.Sprintf("undrain of %s %s", p.Unit.Kind, p.Unit.Name), who, why)
	if p.Unit.Kind == Door && p.Stage == Granted {
		s.free(p, "not used")
	}
}

// lapse ends the orders whose time has come; that frees no place. What was granted and not looked at again within its hold can't
// be used any more, as its last look would be refused: nobody has gone by it, and its place is free. Else a process that ended
// between its ask and its look would keep a place for ever.
func (s *State) lapse() {
	for _, p := range s.sorted() {
		if !p.Order && p.Stage == Granted && s.NowMs-p.AtMs > p.HoldMs {
			s.free(p, "never used")
			continue
		}
		if p.Order && !p.Over && p.UntilMs > 0 && s.WallMs >= p.UntilMs {
			s.Change++
			s.end(p, p.Who, "its time is over")
		}
	}
}

// unused is a place that its own holder says it isn't going by. An order stands all the same.
func (s *State) unused(p *Permit) {
	if p.Order && !p.Over {
		p.Caller, p.Stage = "", Granted
		return
	}
	s.free(p, "not used")
}

// backAgain frees a backend's place once the fleet list has it ready and warm, and every door that is here has let go of it.
func (s *State) backAgain(p *Permit) {
	u := s.Units[key(Backend, p.Unit.Name)]
	if !p.Over || u == nil || u.Standing != Ready || s.NowMs-u.AtMs > sightFor {
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
		s.free(p, "back")
	}
}

// Withheld lists the backends that no door may send anything new to, and the change that the list is of.
func (s *State) Withheld() (names []string, change uint64) {
	for _, p := range s.sorted() {
		if p.Unit.Kind == Backend && p.Order && !p.Over {
			names = append(names, p.Unit.Name)
		}
	}
	return names, s.Change
}

// Waiting names the doors that may still send to a backend that is drained: those that have not confirmed, wherever they are,
// but for those that said themselves that they have ended.
func (s *State) Waiting(p *Permit) (doors []string) {
	for _, k := range slices.Sorted(maps.Keys(s.Units)) {
		if u := s.Units[k]; u.Kind == Door && u.Did < p.Change && u.Standing != Ended {
			doors = append(doors, u.Name)
		}
	}
	return doors
}

// DryRun tells what a drain would come to, without doing anything: the units that would go, and what stands in the way.
func (s *State) DryRun(k Kind, name string) (would []string, inTheWay error) {
	var of []*UnitState
	for _, id := range slices.Sorted(maps.Keys(s.Units)) {
		if u := s.Units[id]; k == Zone && u.Zone == name && s.of(u.Kind, u.Name) == nil || u.Kind == k && u.Name == name {
			of = append(of, u)
			would = append(would, id)
		}
	}
	if len(of) == 0 {
		return nil, &UnknownError{fmt.Sprintf("%s %s", k, name)}
	}
	if p := s.of(k, name); p != nil {
		return would, &TakenError{name, p.Number, p.Who}
	}
	zone := ""
	if k == Zone {
		zone = name
	}
	for _, u := range of {
		if err := s.mayGo(&u.Unit, zone, true); err != nil {
			return would, err
		}
	}
	return would, nil
}

// Places lists the permits that take a place, by their numbers.
func (s *State) Places() map[uint64]*Permit { return s.Permits }

// ReleaseCommands lists what is to be done for releases of backends, by the coordinator that leads: those of the present wave are drained
// as budgets allow, and come back once they are seen as other processes; those of a release that is over come back as they are.
func (s *State) ReleaseCommands() (do []any) {
	for _, r := range s.Release.All {
		if r.Changes != release.Backends {
			continue
		}
		who := "release " + r.Name
		for _, b := range s.Release.Due(r) {
			u := s.Units[key(Backend, b)]
			if u != nil && s.of(Backend, b) == nil && s.mayGo(&u.Unit, "", true) == nil {
				do = append(do, Drain{Kind: Backend, Name: b, Who: who, Why: "to be replaced", Release: r.Number})
				return do // one after the other: the next is held against what this one makes of the budget
			}
		}
		for _, p := range s.sorted() {
			u := s.Units[key(Backend, p.Unit.Name)]
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
