package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fault is one entry of the fault schedule: which kind of fault is injected, when, into which targets and how strongly.
type Fault struct {
	Kind    string  `toml:"kind"`
	AtS     float64 `toml:"at_s"`     // start
	ForS    float64 `toml:"for_s"`    // duration; 0 for instant kinds
	Share   float64 `toml:"share"`    // of the possible targets
	Zone    *int    `toml:"zone"`     // only targets of this zone
	Class   string  `toml:"profile"`  // only requests of this class
	Much    float64 `toml:"much"`     // strength, in the unit of the kind
	EveryMs float64 `toml:"every_ms"` // of pauses: time from the start of one to the start of the next
	Batches int     `toml:"batches"`  // number of batches, for kinds that work in batches
	MostOut int     `toml:"most_out"` // for kinds that work in batches: instead of fixed batches, the next target goes out as soon as fewer than this are out; one is out until it, or its successor, is ready and warm
}

// Targets of the kinds of fault. Two faults can conflict only if they have the same target.
const (
	TargetBackends  = "backends"
	TargetDoors     = "doors"
	TargetNetwork   = "network"
	TargetDiscovery = "discovery"
	TargetCounter   = "counter"
	TargetMeter     = "meter"
	TargetClients   = "clients"
)

// Kind describes a kind of fault.
type Kind struct {
	Target        string
	Unit          string   // of Fault.Much; empty if the kind has no strength
	Min           float64  // of Fault.Much
	Max           float64  // of Fault.Much
	Instant       bool     // has no duration
	ConflictsWith []string // kinds that must not overlap with this one on the same target
	Description   string
}

// Kinds lists the kinds of fault by name.
var Kinds = map[string]Kind{
	"hang":          {Target: TargetBackends, Description: "takes operations and answers none"},
	"silence":       {Target: TargetBackends, ConflictsWith: []string{"death", "refuse"}, Description: "the machine vanishes: nothing comes back, connections stay open"},
	"death":         {Target: TargetBackends, ConflictsWith: []string{"silence", "refuse", "replace"}, Description: "the process dies and starts again, cold, when the time is over"},
	"refuse":        {Target: TargetBackends, ConflictsWith: []string{"silence", "death"}, Description: "new connections are refused"},
	"pauses":        {Target: TargetBackends, Unit: "ms of a pause", Min: 1, Max: 60e3, Description: "stops for a while, every every_ms"},
	"slow":          {Target: TargetBackends, Unit: "times slower", Min: 1, Max: 1000, Description: "works slower"},
	"errors":        {Target: TargetBackends, Unit: "chance", Max: 1, Description: "answers with an error"},
	"resets":        {Target: TargetBackends, Unit: "chance", Max: 1, Description: "the connection is reset under an operation that has run"},
	"spoilt":        {Target: TargetBackends, Unit: "chance", Max: 1, Description: "answers with what cannot be read"},
	"lost_answers":  {Target: TargetBackends, Unit: "chance", Max: 1, Description: "the answer never arrives"},
	"full":          {Target: TargetBackends, Unit: "chance", Max: 1, Description: "turns operations away"},
	"few_conns":     {Target: TargetBackends, Unit: "connections", Min: 1, Max: 1e6, Description: "holds only so many connections"},
	"forget_tokens": {Target: TargetBackends, Unit: "ms before the window ends", Max: 60e3, Description: "forgets the marks of tokened operations too early"},
	"replace":       {Target: TargetBackends, Unit: "s of a drain", Max: 600, ConflictsWith: []string{"death"}, Description: "replaced in batches: drained, gone, a cold successor"},
	"zone_loss":     {Target: TargetBackends, ConflictsWith: []string{"zone_cut"}, Description: "all backends of a zone die and come back cold"},
	"zone_cut":      {Target: TargetNetwork, ConflictsWith: []string{"zone_loss"}, Description: "a zone is cut off from the others"},
	"delay":         {Target: TargetNetwork, Unit: "ms", Max: 60e3, Description: "every way takes longer"},
	"loss":          {Target: TargetNetwork, Unit: "chance", Max: 1, Description: "answers are lost on the way"},
	"door_deaths":   {Target: TargetDoors, ConflictsWith: []string{"door_roll"}, Description: "doors are killed at once and start again when the time is over"},
	"door_roll":     {Target: TargetDoors, Unit: "s down", Max: 600, ConflictsWith: []string{"door_deaths"}, Description: "doors are restarted in batches"},
	"list_late":     {Target: TargetDiscovery, Unit: "ms", Max: 600e3, ConflictsWith: []string{"list_silent"}, Description: "changes of the list come later"},
	"list_silent":   {Target: TargetDiscovery, ConflictsWith: []string{"list_late"}, Description: "no change of the list comes until the time is over"},
	"counter_down":  {Target: TargetCounter, ConflictsWith: []string{"counter_late", "counter_wrong", "counter_split", "counter_busy"}, Description: "calls find no connection"},
	"counter_late":  {Target: TargetCounter, Unit: "ms", Max: 600e3, ConflictsWith: []string{"counter_down"}, Description: "answers come later; the callers may have given up"},
	"counter_lost":  {Target: TargetCounter, Unit: "chance", Max: 1, Description: "answers are lost, what they added is not"},
	"counter_busy":  {Target: TargetCounter, Unit: "chance", Max: 1, ConflictsWith: []string{"counter_down"}, Description: "calls are turned away"},
	"counter_wrong": {Target: TargetCounter, Unit: "times", Max: 1000, ConflictsWith: []string{"counter_down"}, Description: "totals are told that many times too large"},
	"counter_split": {Target: TargetCounter, ConflictsWith: []string{"counter_down"}, Description: "even and odd doors see a counter of their own; the even one's totals stay"},
	"counter_empty": {Target: TargetCounter, Instant: true, Description: "replaced by one that starts at nothing"},
	"meter_late":    {Target: TargetMeter, Unit: "ms", Max: 600e3, Description: "use is told later"},
	"burst":         {Target: TargetClients, Unit: "times", Max: 100, Description: "that many times the load comes on top"},
	"hot_customers": {Target: TargetClients, Unit: "share of the load on top", Max: 100, Description: "three customers ask far more"},
	"gather":        {Target: TargetClients, Unit: "share of the operations", Max: 1, Description: "operations gather on each customer's busiest door"},
	"shift":         {Target: TargetClients, Instant: true, Description: "a share of the customers moves to others of its doors at once"},
	"strangers":     {Target: TargetClients, Unit: "share of the load on top", Max: 100, Description: "customers that come once and never again"},
	"storm":         {Target: TargetClients, Unit: "retries", Min: 1, Max: 20, Description: "clients retry that many times, at once"},
	"leave_early":   {Target: TargetClients, Unit: "share of the tries", Max: 1, Description: "clients leave before they are answered"},
}

// End is the time at which the fault ends, s.
func (f *Fault) End() float64 { return f.AtS + f.ForS }

func (f *Fault) overlaps(g *Fault) bool { return f.AtS < g.End() && g.AtS < f.End() }

// sameTarget reports whether two faults may affect the same target. Shares of a fleet can overlap by chance, so only faults in
// different zones are certain to be apart.
func (f *Fault) sameTarget(g *Fault) bool {
	return f.Zone == nil || g.Zone == nil || *f.Zone == *g.Zone
}

// validateFaults checks each fault by itself and each pair for conflicts.
func (s *Scenario) validateFaults() error {
	for i := range s.Faults {
		f := &s.Faults[i]
		prefix := fmt.Sprintf("fault[%d].", i)
		k, known := Kinds[f.Kind]
		switch {
		case !known:
			return oneOf(prefix+"kind", f.Kind, slices.Sorted(maps.Keys(Kinds))...)
		case !(f.AtS >= 0 && f.AtS <= s.Day.Seconds):
			return keyErrorf(prefix+"at_s", "%g, must be within the run of %g s", f.AtS, s.Day.Seconds)
		case !k.Instant && !(f.ForS > 0):
			return keyErrorf(prefix+"for_s", "%g, but %s needs a duration", f.ForS, f.Kind)
		case k.Instant && f.ForS != 0:
			return keyErrorf(prefix+"for_s", "%g, but %s has no duration", f.ForS, f.Kind)
		case k.Unit == "" && f.Much != 0:
			return keyErrorf(prefix+"much", "%g, but %s has no strength", f.Much, f.Kind)
		case !(f.Much >= k.Min && f.Much <= k.Max) && k.Unit != "":
			return keyErrorf(prefix+"much", "%g %s, must be %g to %g", f.Much, k.Unit, k.Min, k.Max)
		case !(f.Share >= 0 && f.Share <= 1):
			return keyErrorf(prefix+"share", "%g, must be 0 to 1", f.Share)
		case f.Zone != nil && (*f.Zone < 0 || *f.Zone >= s.Fleet.Zones):
			return keyErrorf(prefix+"zone", "%d of %d zones", *f.Zone, s.Fleet.Zones)
		case (f.Kind == "zone_loss" || f.Kind == "zone_cut") && f.Zone == nil:
			return keyErrorf(prefix+"zone", "missing")
		case f.Kind == "zone_cut" && s.Fleet.Zones < 2:
			return keyErrorf(prefix+"kind", "zone_cut needs at least two zones")
		case f.Kind == "pauses" && !(f.EveryMs > f.Much):
			return keyErrorf(prefix+"every_ms", "%g, must be longer than a pause of %g ms", f.EveryMs, f.Much)
		case f.Batches < 0 || f.Batches > 1000:
			return keyErrorf(prefix+"batches", "%d", f.Batches)
		case f.MostOut < 0 || f.MostOut > 0 && f.Kind != "replace" && f.Kind != "door_roll":
			return keyErrorf(prefix+"most_out", "%d for a fault of kind %s", f.MostOut, f.Kind)
		case k.Target == TargetCounter && !s.Counter.On:
			return keyErrorf(prefix+"kind", "%s, but counter.on is false", f.Kind)
		case k.Target == TargetMeter && s.Meter.PeriodMs == 0:
			return keyErrorf(prefix+"kind", "%s, but meter.period_ms is 0", f.Kind)
		case f.Class != "" && !slices.ContainsFunc(s.Classes, func(p Class) bool { return p.Name == f.Class }):
			return keyErrorf(prefix+"profile", "no profile is named %q", f.Class)
		}
		for j := range i {
			g := &s.Faults[j]
			if slices.Contains(k.ConflictsWith, g.Kind) && f.overlaps(g) && f.sameTarget(g) {
				return &ConflictError{j, i, [2]string{g.Kind, f.Kind}, max(f.AtS, g.AtS), min(f.End(), g.End())}
			}
		}
	}
	return nil
}

// Set returns a copy in which one value, named by its key as in the file ("load.share", "fault[0].much"), is replaced.
func (s *Scenario) Set(key, value string) (Scenario, error) {
	raw, err := s.Write()
	if err != nil {
		return Scenario{}, err
	}
	tree, err := decodeTree(raw)
	if err != nil {
		return Scenario{}, err
	}
	if err := tree.set(strings.Split(key, "."), value); err != nil {
		return Scenario{}, keyErrorf(key, "%v", err)
	}
	raw, err = tree.bytes()
	if err != nil {
		return Scenario{}, err
	}
	return Read(raw)
}
