// Package procs is the multi-process test rig. It runs a schedule of injected faults on the doors of a fleet, in virtual time
// or on real processes with a relay on each directed link between them, and records in which state each door considers each
// other door, as one history for the checkers (lab/procs/check). It also runs drains, releases and migrations on real
// coordinators and doors under fault injection.
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

// Schedule is the contents of a schedule file: a fleet, its network, the faults to inject, and the limits that must hold.
type Schedule struct {
	Name   string         `toml:"name"`
	Shows  string         `toml:"shows"` // what the schedule demonstrates
	Length Length         `toml:"day"`
	Fleet  Fleet          `toml:"fleet"`
	Net    Net            `toml:"net"`
	Limits ScheduleLimits `toml:"must"`
	Faults []Fault        `toml:"fault"`
}

// Length is the duration of a run, measured from when all doors have found each other.
type Length struct {
	Seconds float64 `toml:"seconds"`
}

// Fleet is the number of doors and of zones; door i is in zone i modulo Zones.
type Fleet struct {
	Doors int `toml:"doors"`
	Zones int `toml:"zones"`
}

// Net describes each directed link in virtual time. On processes the network is loopback, with this loss and without this
// delay; faults add to either.
type Net struct {
	DelayMs scenario.Span `toml:"delay_ms"`
	Loss    float64       `toml:"loss"`
}

// ScheduleLimits are the limits that the checkers apply to the history; see check.Limits. A time of 0 is not checked.
type ScheduleLimits struct {
	DetectionMs    float64 `toml:"known_ms"`  // from a death until it is detected, 99th percentile over pairs of doors
	RecoveryMs     float64 `toml:"back_ms"`   // from the end of a pause until the member is considered here again
	AgreementMs    float64 `toml:"agree_ms"`  // from the start of a cut until all doors that can receive agree
	ConvergenceMs  float64 `toml:"one_ms"`    // from the end of the last fault until all views are correct
	SuspicionMs    float64 `toml:"doubt_ms"`  // from the start of a cut until some door suspects a partially cut door
	AllowFalseAway bool    `toml:"any_wrong"` // healthy doors may be considered away, as the fault affects most of the fleet
	VerdictChanges int     `toml:"changes"`   // maximum changes of one verdict during a cut; 0 for one
}

// Fault is one fault of a schedule. Doors, Share and Zone select the affected doors; for a fault on links the default is all.
type Fault struct {
	Kind        string  `toml:"kind"`
	AtS         float64 `toml:"at_s"`
	ForS        float64 `toml:"for_s"`        // duration; 0 for permanent, where the kind allows it
	Doors       []int   `toml:"doors"`        // the affected doors, by number; or
	Share       float64 `toml:"share"`        // a share of all doors, drawn from the seed; or
	Zone        *int    `toml:"zone"`         // all doors of a zone
	Others      []int   `toml:"others"`       // doors at the other ends of the affected links; or
	OthersShare float64 `toml:"others_share"` // a share of the other doors, drawn from the seed; all if neither is given
	Direction   string  `toml:"way"`          // for faults on links: out, in or both, from the affected doors' side; both if empty
	Amount      float64 `toml:"much"`         // strength, in the kind's unit
	EveryMs     float64 `toml:"every_ms"`     // mean ms between repeated pauses
}

// Kind describes a kind of fault.
type Kind struct {
	Unit           string // of Fault.Amount; empty if the kind has no amount
	Min            float64
	Max            float64
	OnLinks        bool // affects the links between doors
	MayBePermanent bool // a duration of 0 means until the end of the run
	Instant        bool // has no duration
	Description    string
}

// Kinds holds every kind of fault by its name in schedule files.
var Kinds = map[string]Kind{
	"pause":    {Unit: "minimum share of for_s", Max: 1, Description: "the process is paused (SIGSTOP); the duration is drawn for each door, between much and all of for_s"},
	"pauses":   {Unit: "ms at most per pause", Min: 1, Max: 60e3, Description: "the process is paused repeatedly for a short time, about every every_ms"},
	"kill":     {MayBePermanent: true, Description: "the process is killed (SIGKILL), and restarted under the same name after for_s"},
	"leave":    {Instant: true, Description: "the door is asked to leave (SIGTERM)"},
	"late":     {Instant: true, Description: "the door is started only at at_s"},
	"namesake": {Instant: true, Description: "a second process is started under the door's name"},
	"cut":      {OnLinks: true, Description: "no packet is delivered, in one direction or both; connections stall"},
	"loss":     {OnLinks: true, Unit: "chance", Max: 1, Description: "datagrams are lost"},
	"delay":    {OnLinks: true, Unit: "ms", Max: 60e3, Description: "packets are delayed by up to much"},
	"repeat":   {OnLinks: true, Unit: "chance", Max: 1, Description: "datagrams are duplicated"},
	"reorder":  {OnLinks: true, Unit: "chance", Max: 1, Description: "datagrams are delayed by 30 ms, behind later ones"},
	"reset":    {OnLinks: true, Instant: true, Description: "connections are reset"},
	"clock":    {Unit: "s", Min: -1e6, Max: 1e6, MayBePermanent: true, Description: "the wall clock is off by much"},
}

//go:embed schedules/*.toml
var shippedSchedules embed.FS

// Names lists the shipped schedules.
func Names() []string { return scenario.EmbeddedNames(shippedSchedules, "schedules") }

// Open reads a schedule file, or the shipped schedule of that name if there is no such file.
func Open(name string) (*Schedule, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		if raw, err = shippedSchedules.ReadFile(path.Join("schedules", name+".toml")); err != nil {
			return nil, &NameError{name}
		}
	}
	s, err := Read(raw)
	if err != nil {
		return nil, &scenario.FileError{Path: name, Cause: err}
	}
	return s, nil
}

// Read decodes and validates a schedule.
func Read(raw []byte) (*Schedule, error) {
	s := &Schedule{Length: Length{20}, Fleet: Fleet{4, 1}, Net: Net{DelayMs: scenario.Span{0.2, 0.6}}}
	if err := scenario.Decode(raw, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

const (
	maxDoors   = 1000        // limit for schedules in virtual time; processes have a lower one
	maxLengthS = 24 * 3600.0 // s of a run
)

// keyError returns an error about one key of a schedule file.
func keyError(key, format string, args ...any) error {
	return &scenario.KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// check returns an error about the first invalid key.
func (s *Schedule) check() error {
	switch {
	case !(s.Length.Seconds > 0 && s.Length.Seconds <= maxLengthS):
		return keyError("day.seconds", "%g, must be above 0 and at most %g", s.Length.Seconds, maxLengthS)
	case s.Fleet.Doors < 1 || s.Fleet.Doors > maxDoors:
		return keyError("fleet.doors", "%d, must be between 1 and %d", s.Fleet.Doors, maxDoors)
	case s.Fleet.Zones < 1 || s.Fleet.Zones > s.Fleet.Doors:
		return keyError("fleet.zones", "%d zones for %d doors", s.Fleet.Zones, s.Fleet.Doors)
	case len(s.Net.DelayMs) < 1 || len(s.Net.DelayMs) > 2 || s.Net.DelayMs.Low() < 0 || s.Net.DelayMs.High() < s.Net.DelayMs.Low():
		return keyError("net.delay_ms", "%v is not a valid range", []float64(s.Net.DelayMs))
	case !(s.Net.Loss >= 0 && s.Net.Loss < 1):
		return keyError("net.loss", "%g, must be at least 0 and below 1", s.Net.Loss)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		prefix := fmt.Sprintf("fault[%d].", i)
		k, known := Kinds[f.Kind]
		directions := map[bool][]string{true: {"", "out", "in", "both"}, false: {""}}[k.OnLinks]
		switch {
		case !known:
			return keyError(prefix+"kind", "unknown kind %q, must be one of %s", f.Kind, strings.Join(slices.Sorted(maps.Keys(Kinds)), ", "))
		case !(f.AtS >= 0 && f.AtS <= s.Length.Seconds):
			return keyError(prefix+"at_s", "%g, outside the run of %g s", f.AtS, s.Length.Seconds)
		case k.Instant && f.ForS != 0, !k.Instant && !k.MayBePermanent && !(f.ForS > 0), f.ForS < 0:
			return keyError(prefix+"for_s", "%g is invalid for a fault of kind %s", f.ForS, f.Kind)
		case k.Unit == "" && f.Amount != 0, k.Unit != "" && !(f.Amount >= k.Min && f.Amount <= k.Max):
			return keyError(prefix+"much", "%g %s, must be between %g and %g", f.Amount, k.Unit, k.Min, k.Max)
		case !(f.Share >= 0 && f.Share <= 1):
			return keyError(prefix+"share", "%g, must be between 0 and 1", f.Share)
		case !(f.OthersShare >= 0 && f.OthersShare <= 1):
			return keyError(prefix+"others_share", "%g, must be between 0 and 1", f.OthersShare)
		case f.Zone != nil && (*f.Zone < 0 || *f.Zone >= s.Fleet.Zones):
			return keyError(prefix+"zone", "zone %d does not exist, the fleet has %d", *f.Zone, s.Fleet.Zones)
		case !slices.Contains(directions, f.Direction):
			return keyError(prefix+"way", "invalid direction %q", f.Direction)
		case f.Kind == "pauses" && !(f.EveryMs > f.Amount):
			return keyError(prefix+"every_ms", "%g, must be above the pause of %g ms", f.EveryMs, f.Amount)
		case len(f.Doors) == 0 && f.Share == 0 && f.Zone == nil && !k.OnLinks:
			return keyError(prefix+"doors", "missing: doors, share or zone must select doors")
		}
		for _, d := range append(slices.Clone(f.Doors), f.Others...) {
			if d < 0 || d >= s.Fleet.Doors {
				return keyError(prefix+"doors", "door %d does not exist, the fleet has %d", d, s.Fleet.Doors)
			}
		}
	}
	return nil
}

// Interval is a time span, in ms since the start of the run; To is check.Never for a permanent fault.
type Interval = check.Interval

// Plan is a schedule with all random choices made for one seed: which faults affect which doors and links, and when. Runs in
// virtual time and on processes follow the same plan.
type Plan struct {
	*Schedule
	Seed         uint64
	Truth        check.Truth // pauses, kills, leaves and cuts
	Loss         []LinkImpairment
	Delay        []LinkImpairment
	Duplicate    []LinkImpairment
	Reorder      []LinkImpairment
	Reset        []LinkImpairment
	StartMs      []float64 // ms at which each door is started; 0 for before the run
	Namesakes    []Namesake
	ClockOffsetS []float64 // s by which each door's wall clock is off
}

// LinkImpairment is an interval during which some directed links are impaired by the same amount.
type LinkImpairment struct {
	Interval
	Links  []bool // affected links, indexed by from*doors+to
	Amount float64
}

// Namesake is a second process that is started under a door's name.
type Namesake struct {
	Door int
	AtMs float64
}

const msPerSecond = 1000

// Draw makes the random choices of a schedule from a seed.
func (s *Schedule) Draw(seed uint64) *Plan {
	n := s.Fleet.Doors
	p := &Plan{Schedule: s, Seed: seed, StartMs: make([]float64, n), ClockOffsetS: make([]float64, n)}
	p.Truth = check.Truth{Doors: n, Zones: make([]int, n), Paused: make([][]Interval, n), Dead: make([][]Interval, n), LeaveAt: make([]float64, n),
		StartedAt: make([]float64, n), EndMs: s.Length.Seconds * msPerSecond}
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range n {
		p.Truth.Zones[i] = i % s.Fleet.Zones
		p.Truth.LeaveAt[i] = check.Never
	}
	for i := range s.Faults {
		p.addFault(&s.Faults[i], rng)
	}
	return p
}

// addFault adds one fault to the plan, drawing the affected doors and the times.
func (p *Plan) addFault(f *Fault, rng *rand.Rand) {
	n := p.Fleet.Doors
	at, end := f.AtS*msPerSecond, (f.AtS+f.ForS)*msPerSecond
	if f.ForS == 0 {
		end = check.Never
	}
	drawShare := func(share float64, of []int) []int {
		perm := rng.Perm(len(of))
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
	affected := f.Doors
	switch {
	case len(affected) > 0:
	case f.Zone != nil:
		for i := range n {
			if p.Truth.Zones[i] == *f.Zone {
				affected = append(affected, i)
			}
		}
	case f.Share > 0:
		affected = drawShare(f.Share, everyone)
	default:
		affected = everyone
	}
	if Kinds[f.Kind].OnLinks {
		others := f.Others
		if len(others) == 0 {
			for i := range n {
				if !slices.Contains(affected, i) || len(affected) == n {
					others = append(others, i)
				}
			}
			if f.OthersShare > 0 {
				others = drawShare(f.OthersShare, others)
			}
		}
		impairment := LinkImpairment{Interval: Interval{From: at, To: end}, Links: make([]bool, n*n), Amount: f.Amount}
		for _, a := range affected {
			for _, b := range others {
				if a != b {
					impairment.Links[a*n+b] = impairment.Links[a*n+b] || f.Direction != "in"
					impairment.Links[b*n+a] = impairment.Links[b*n+a] || f.Direction != "out"
				}
			}
		}
		switch f.Kind {
		case "cut":
			p.Truth.Cuts = append(p.Truth.Cuts, check.Cut{Interval: impairment.Interval, Links: impairment.Links})
		case "loss":
			p.Loss = append(p.Loss, impairment)
		case "delay":
			p.Delay = append(p.Delay, impairment)
		case "repeat":
			p.Duplicate = append(p.Duplicate, impairment)
		case "reorder":
			p.Reorder = append(p.Reorder, impairment)
		case "reset":
			p.Reset = append(p.Reset, impairment)
		}
		return
	}
	for _, d := range affected {
		switch f.Kind {
		case "pause":
			duration := (end - at) * (f.Amount + (1-f.Amount)*rng.Float64())
			p.Truth.Paused[d] = append(p.Truth.Paused[d], Interval{From: at, To: at + duration})
		case "pauses":
			for t := at + rng.Float64()*f.EveryMs; t < end; t += f.EveryMs * (0.5 + rng.Float64()) {
				duration := f.Amount * (0.3 + 0.7*rng.Float64())
				p.Truth.Paused[d] = append(p.Truth.Paused[d], Interval{From: t, To: t + duration})
				t += duration
			}
		case "kill":
			p.Truth.Dead[d] = append(p.Truth.Dead[d], Interval{From: at, To: end})
		case "leave":
			p.Truth.LeaveAt[d] = at
		case "late":
			p.StartMs[d], p.Truth.StartedAt[d] = at, at
		case "namesake":
			p.Namesakes = append(p.Namesakes, Namesake{d, at})
		case "clock":
			p.ClockOffsetS[d] = f.Amount
		}
	}
}

// amountAt returns the largest amount by which a link is impaired at a time; 0 for a negative link, which has no faults.
func amountAt(impairments []LinkImpairment, link int, at float64) (amount float64) {
	if link < 0 {
		return 0
	}
	for i := range impairments {
		if s := &impairments[i]; s.Links[link] && at >= s.From && at < s.To {
			amount = max(amount, s.Amount)
		}
	}
	return amount
}
