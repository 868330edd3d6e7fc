// Package procs is the rig of many processes: it plays a schedule of faults between the doors of a fleet, in virtual time or
// on real processes with a relay for each directed pair of them, and gathers what each door held of each other into one
// history for the checkers (lab/procs/check).
package procs

import (
	"embed"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/swifthall/swifthall/lab/procs/check"
	"github.com/swifthall/swifthall/lab/scenario"
)

// Schedule is one schedule file: a fleet, its network, the faults, and what must hold.
type Schedule struct {
	Name   string  `toml:"name"`
	Shows  string  `toml:"shows"`
	Day    Day     `toml:"day"`
	Fleet  Fleet   `toml:"fleet"`
	Net    Net     `toml:"net"`
	Must   Must    `toml:"must"`
	Faults []Fault `toml:"fault"`
}

// Day is how long the schedule lasts once all doors have found each other.
type Day struct {
	Seconds float64 `toml:"seconds"`
}

// Fleet is the doors; door i is in zone i modulo Zones.
type Fleet struct {
	Doors int `toml:"doors"`
	Zones int `toml:"zones"`
}

// Net is the network one way, in virtual time; on processes it is loopback with what the faults add.
type Net struct {
	DelayMs scenario.Span `toml:"delay_ms"`
	Loss    float64       `toml:"loss"`
}

// Must is what the checkers hold the history against; a limit of 0 is not checked.
type Must struct {
	KnownMs  float64 `toml:"known_ms"`  // deaths are known at 99 in 100 pairs of doors
	BackMs   float64 `toml:"back_ms"`   // who was paused is held to be here again
	AgreeMs  float64 `toml:"agree_ms"`  // of a cut's beginning, all that can hear hold the same
	OneMs    float64 `toml:"one_ms"`    // of the last fault's end, there is one view
	DoubtMs  float64 `toml:"doubt_ms"`  // a door cut off in part is doubted somewhere
	AnyWrong bool    `toml:"any_wrong"` // somebody may wrongly be away: the fault makes up most of the fleet
	Changes  int     `toml:"changes"`   // most changes of a verdict during a cut; 0 for one
}

// Fault is one line of a schedule.
type Fault struct {
	Kind    string  `toml:"kind"`
	AtS     float64 `toml:"at_s"`
	ForS    float64 `toml:"for_s"` // 0: for good, where the kind allows
	Doors   []int   `toml:"doors"` // struck; or
	Share   float64 `toml:"share"` // of all, drawn by the seed; or
	Zone    *int    `toml:"zone"`  // those of a zone
	Others  []int   `toml:"others"`
	OtherOf float64 `toml:"others_share"` // of the others, drawn by the seed; all where neither is told
	Way     string  `toml:"way"`          // of a cut or a loss: out, in or both, seen from the doors struck
	Much    float64 `toml:"much"`         // how much, in the kind's unit
	EveryMs float64 `toml:"every_ms"`
}

// Kind describes a kind of fault.
type Kind struct {
	Unit    string
	Least   float64
	Most    float64
	Pair    bool // strikes the ways between doors
	ForGood bool // may last for good
	Instant bool
	Says    string
}

// Kinds lists every kind by its name.
var Kinds = map[string]Kind{
	"pause":    {Unit: "least share of for_s", Most: 1, Says: "stopped (SIGSTOP), each for another time between much and all of for_s"},
	"pauses":   {Unit: "ms of a pause at most", Least: 1, Most: 60e3, Says: "stopped for short, again and again, every every_ms"},
	"kill":     {ForGood: true, Says: "killed (SIGKILL); started anew under the same name when the time is over"},
	"leave":    {Instant: true, Says: "told to leave (SIGTERM)"},
	"late":     {Instant: true, Says: "started only then"},
	"namesake": {Instant: true, Says: "a further process is started under the door's name"},
	"cut":      {Pair: true, Says: "no packet comes through, one way or both; connections fall silent"},
	"loss":     {Pair: true, Unit: "chance", Most: 1, Says: "datagrams are lost"},
	"delay":    {Pair: true, Unit: "ms", Most: 60e3, Says: "ways take longer, by up to much"},
	"repeat":   {Pair: true, Unit: "chance", Most: 1, Says: "datagrams come twice"},
	"reorder":  {Pair: true, Unit: "chance", Most: 1, Says: "datagrams come 30 ms late, after later ones"},
	"reset":    {Pair: true, Instant: true, Says: "connections are reset"},
	"clock":    {Unit: "s", Least: -1e6, Most: 1e6, ForGood: true, Says: "the wall clock is wrong by so much"},
}

//go:embed schedules/*.toml
var files embed.FS

// Names lists the schedules that ship.
func Names() []string { return scenario.EmbeddedNames(files, "schedules") }

// Open reads a schedule file, or one that ships where there is no such file.
func Open(name string) (*Schedule, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		if raw, err = files.ReadFile(path.Join("schedules", name+".toml")); err != nil {
			return nil, &NameError{name}
		}
	}
	s, err := Read(raw)
	if err != nil {
		return nil, &scenario.FileError{Path: name, Cause: err}
	}
	return s, nil
}

// Read decodes and checks a schedule.
func Read(raw []byte) (*Schedule, error) {
	s := &Schedule{Day: Day{20}, Fleet: Fleet{4, 1}, Net: Net{DelayMs: scenario.Span{0.2, 0.6}}}
	if err := scenario.Decode(raw, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

const (
	mostDoors = 1000
	longest   = 24 * 3600.0
)

func bad(key, format string, args ...any) error {
	return &scenario.KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

func (s *Schedule) check() error {
	switch {
	case !(s.Day.Seconds > 0 && s.Day.Seconds <= longest):
		return bad("day.seconds", "%g, up to %g is wanted", s.Day.Seconds, longest)
	case s.Fleet.Doors < 1 || s.Fleet.Doors > mostDoors:
		return bad("fleet.doors", "%d, 1 to %d is wanted", s.Fleet.Doors, mostDoors)
	case s.Fleet.Zones < 1 || s.Fleet.Zones > s.Fleet.Doors:
		return bad("fleet.zones", "%d of %d doors", s.Fleet.Zones, s.Fleet.Doors)
	case len(s.Net.DelayMs) < 1 || len(s.Net.DelayMs) > 2 || s.Net.DelayMs.Low() < 0 || s.Net.DelayMs.High() < s.Net.DelayMs.Low():
		return bad("net.delay_ms", "%v is no span", []float64(s.Net.DelayMs))
	case !(s.Net.Loss >= 0 && s.Net.Loss < 1):
		return bad("net.loss", "%g, 0 to under 1 is wanted", s.Net.Loss)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		under := fmt.Sprintf("fault[%d].", i)
		k, known := Kinds[f.Kind]
		ways := map[bool][]string{true: {"", "out", "in", "both"}, false: {""}}[k.Pair]
		switch {
		case !known:
			return bad(under+"kind", "unknown word %q, one of %s is wanted", f.Kind, strings.Join(slices.Sorted(maps.Keys(Kinds)), ", "))
		case !(f.AtS >= 0 && f.AtS <= s.Day.Seconds):
			return bad(under+"at_s", "%g, not within the day of %g s", f.AtS, s.Day.Seconds)
		case k.Instant && f.ForS != 0, !k.Instant && !k.ForGood && !(f.ForS > 0), f.ForS < 0:
			return bad(under+"for_s", "%g for a fault of kind %s", f.ForS, f.Kind)
		case k.Unit == "" && f.Much != 0, k.Unit != "" && !(f.Much >= k.Least && f.Much <= k.Most):
			return bad(under+"much", "%g %s, %g to %g is wanted", f.Much, k.Unit, k.Least, k.Most)
		case !(f.Share >= 0 && f.Share <= 1):
			return bad(under+"share", "%g, 0 to 1 is wanted", f.Share)
		case !(f.OtherOf >= 0 && f.OtherOf <= 1):
			return bad(under+"others_share", "%g, 0 to 1 is wanted", f.OtherOf)
		case f.Zone != nil && (*f.Zone < 0 || *f.Zone >= s.Fleet.Zones):
			return bad(under+"zone", "%d of %d zones", *f.Zone, s.Fleet.Zones)
		case !slices.Contains(ways, f.Way):
			return bad(under+"way", "unknown word %q", f.Way)
		case f.Kind == "pauses" && !(f.EveryMs > f.Much):
			return bad(under+"every_ms", "%g, under a pause of %g ms", f.EveryMs, f.Much)
		case len(f.Doors) == 0 && f.Share == 0 && f.Zone == nil && !k.Pair:
			return bad(under+"doors", "missing, and share and zone are too")
		}
		for _, d := range append(slices.Clone(f.Doors), f.Others...) {
			if d < 0 || d >= s.Fleet.Doors {
				return bad(under+"doors", "%d of %d doors", d, s.Fleet.Doors)
			}
		}
	}
	return nil
}

// Spell is a time in which something is so, ms of the day; To is +Inf for good.
type Spell = check.Spell

// Plan is a schedule drawn out for one seed: what strikes whom, and when. Both kinds of play go by it.
type Plan struct {
	*Schedule
	Seed  uint64
	Truth check.Truth
	Loss  []PairSpell
	Delay []PairSpell
	Twice []PairSpell
	Late  []PairSpell
	Reset []PairSpell
	Start []float64 // ms at which each door is started; 0 for at once
	Names []Namesake
	Wall  []float64 // s by which a door's wall clock is wrong
}

// PairSpell is a time in which the way from one door to another is spoilt, by so much.
type PairSpell struct {
	Spell
	Way  []bool // by from*doors+to
	Much float64
}

// Namesake is a further process under a door's name.
type Namesake struct {
	Door int
	AtMs float64
}

const msPerSecond = 1000

// Draw draws a schedule out.
func (s *Schedule) Draw(seed uint64) *Plan {
	n := s.Fleet.Doors
	p := &Plan{Schedule: s, Seed: seed, Start: make([]float64, n), Wall: make([]float64, n)}
	p.Truth = check.Truth{Doors: n, Zones: make([]int, n), Paused: make([][]Spell, n), Dead: make([][]Spell, n), Left: make([]float64, n),
		Began: make([]float64, n), EndMs: s.Day.Seconds * msPerSecond}
	dice := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range n {
		p.Truth.Zones[i] = i % s.Fleet.Zones
		p.Truth.Left[i] = check.Never
	}
	for i := range s.Faults {
		p.draw(&s.Faults[i], dice)
	}
	return p
}

func (p *Plan) draw(f *Fault, dice *rand.Rand) {
	n := p.Fleet.Doors
	at, end := f.AtS*msPerSecond, (f.AtS+f.ForS)*msPerSecond
	if f.ForS == 0 {
		end = check.Never
	}
	some := func(share float64, of []int) []int {
		perm := dice.Perm(len(of))
		var out []int
		for _, j := range perm[:int(share*float64(len(of))+0.5)] {
			out = append(out, of[j])
		}
		return out
	}
	var everyone []int
	for i := range n {
		everyone = append(everyone, i)
	}
	struck := f.Doors
	switch {
	case len(struck) > 0:
	case f.Zone != nil:
		for i := range n {
			if p.Truth.Zones[i] == *f.Zone {
				struck = append(struck, i)
			}
		}
	case f.Share > 0:
		struck = some(f.Share, everyone)
	default:
		struck = everyone
	}
	if Kinds[f.Kind].Pair {
		others := f.Others
		if len(others) == 0 {
			for i := range n {
				if !slices.Contains(struck, i) || len(struck) == n {
					others = append(others, i)
				}
			}
			if f.OtherOf > 0 {
				others = some(f.OtherOf, others)
			}
		}
		ps := PairSpell{Spell: Spell{From: at, To: end}, Way: make([]bool, n*n), Much: f.Much}
		for _, a := range struck {
			for _, b := range others {
				if a != b {
					ps.Way[a*n+b] = ps.Way[a*n+b] || f.Way != "in"
					ps.Way[b*n+a] = ps.Way[b*n+a] || f.Way != "out"
				}
			}
		}
		switch f.Kind {
		case "cut":
			p.Truth.Cuts = append(p.Truth.Cuts, check.Cut{Spell: ps.Spell, Way: ps.Way})
		case "loss":
			p.Loss = append(p.Loss, ps)
		case "delay":
			p.Delay = append(p.Delay, ps)
		case "repeat":
			p.Twice = append(p.Twice, ps)
		case "reorder":
			p.Late = append(p.Late, ps)
		case "reset":
			p.Reset = append(p.Reset, ps)
		}
		return
	}
	for _, d := range struck {
		switch f.Kind {
		case "pause":
			long := (end - at) * (f.Much + (1-f.Much)*dice.Float64())
			p.Truth.Paused[d] = append(p.Truth.Paused[d], Spell{From: at, To: at + long})
		case "pauses":
			for t := at + dice.Float64()*f.EveryMs; t < end; t += f.EveryMs * (0.5 + dice.Float64()) {
				long := f.Much * (0.3 + 0.7*dice.Float64())
				p.Truth.Paused[d] = append(p.Truth.Paused[d], Spell{From: t, To: t + long})
				t += long
			}
		case "kill":
			p.Truth.Dead[d] = append(p.Truth.Dead[d], Spell{From: at, To: end})
		case "leave":
			p.Truth.Left[d] = at
		case "late":
			p.Start[d], p.Truth.Began[d] = at, at
		case "namesake":
			p.Names = append(p.Names, Namesake{d, at})
		case "clock":
			p.Wall[d] = f.Much
		}
	}
}

// in sums how much spoils the way from one door to another at a time.
func in(spells []PairSpell, way int, at float64) (much float64) {
	if way < 0 {
		return 0
	}
	for i := range spells {
		if s := &spells[i]; s.Way[way] && at >= s.From && at < s.To {
			much = max(much, s.Much)
		}
	}
	return much
}
