package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fault is one line of the schedule: what, when, whom, how much.
type Fault struct {
	Kind    string  `toml:"kind"`
	AtS     float64 `toml:"at_s"`
	ForS    float64 `toml:"for_s"`
	Share   float64 `toml:"share"`   // of those it may strike
	Zone    *int    `toml:"zone"`    // strikes this zone only
	Class   string  `toml:"profile"` // strikes this class only
	Much    float64 `toml:"much"`    // how much, in the kind's unit
	EveryMs float64 `toml:"every_ms"`
	Batches int     `toml:"batches"`  // steps of a kind that goes in steps
	MostOut int     `toml:"most_out"` // of such a kind: in place of steps by the clock, the next goes once so many are not out, ready and warm again
}

// Whom a kind strikes. Two faults may contradict each other only where they strike the same.
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
	Target  string
	Unit    string   // of much; empty where it has none
	Least   float64  // of much
	Most    float64  // of much
	Instant bool     // for_s has no meaning
	Versus  []string // kinds that cannot strike the same at the same time
	Says    string
}

// Kinds lists every kind of fault by its name.
var Kinds = map[string]Kind{
	"hang":          {Target: TargetBackends, Says: "takes operations and answers none"},
	"silence":       {Target: TargetBackends, Versus: []string{"death", "refuse"}, Says: "the machine vanishes: nothing comes back, connections stay open"},
	"death":         {Target: TargetBackends, Versus: []string{"silence", "refuse", "replace"}, Says: "the process dies and starts again, cold, when the time is over"},
	"refuse":        {Target: TargetBackends, Versus: []string{"silence", "death"}, Says: "new connections are refused"},
	"pauses":        {Target: TargetBackends, Unit: "ms of a pause", Least: 1, Most: 60e3, Says: "stops for a while, every every_ms"},
	"slow":          {Target: TargetBackends, Unit: "times slower", Least: 1, Most: 1000, Says: "works slower"},
	"errors":        {Target: TargetBackends, Unit: "chance", Most: 1, Says: "answers with an error"},
	"resets":        {Target: TargetBackends, Unit: "chance", Most: 1, Says: "the connection is reset under an operation that has run"},
	"spoilt":        {Target: TargetBackends, Unit: "chance", Most: 1, Says: "answers with what cannot be read"},
	"lost_answers":  {Target: TargetBackends, Unit: "chance", Most: 1, Says: "the answer never arrives"},
	"full":          {Target: TargetBackends, Unit: "chance", Most: 1, Says: "turns operations away"},
	"few_conns":     {Target: TargetBackends, Unit: "connections", Least: 1, Most: 1e6, Says: "holds only so many connections"},
	"forget_tokens": {Target: TargetBackends, Unit: "ms before the window ends", Most: 60e3, Says: "forgets the marks of tokened operations too early"},
	"replace":       {Target: TargetBackends, Unit: "s of a drain", Most: 600, Versus: []string{"death"}, Says: "replaced in batches: drained, gone, a cold successor"},
	"zone_loss":     {Target: TargetBackends, Versus: []string{"zone_cut"}, Says: "all backends of a zone die and come back cold"},
	"zone_cut":      {Target: TargetNetwork, Versus: []string{"zone_loss"}, Says: "a zone is cut off from the others"},
	"delay":         {Target: TargetNetwork, Unit: "ms", Most: 60e3, Says: "every way takes longer"},
	"loss":          {Target: TargetNetwork, Unit: "chance", Most: 1, Says: "answers are lost on the way"},
	"door_deaths":   {Target: TargetDoors, Versus: []string{"door_roll"}, Says: "doors are killed at once and start again when the time is over"},
	"door_roll":     {Target: TargetDoors, Unit: "s down", Most: 600, Versus: []string{"door_deaths"}, Says: "doors are restarted in batches"},
	"list_late":     {Target: TargetDiscovery, Unit: "ms", Most: 600e3, Versus: []string{"list_silent"}, Says: "changes of the list come later"},
	"list_silent":   {Target: TargetDiscovery, Versus: []string{"list_late"}, Says: "no change of the list comes until the time is over"},
	"counter_down":  {Target: TargetCounter, Versus: []string{"counter_late", "counter_wrong", "counter_split", "counter_busy"}, Says: "calls find no connection"},
	"counter_late":  {Target: TargetCounter, Unit: "ms", Most: 600e3, Versus: []string{"counter_down"}, Says: "answers come later; the callers may have given up"},
	"counter_lost":  {Target: TargetCounter, Unit: "chance", Most: 1, Says: "answers are lost, what they added is not"},
	"counter_busy":  {Target: TargetCounter, Unit: "chance", Most: 1, Versus: []string{"counter_down"}, Says: "calls are turned away"},
	"counter_wrong": {Target: TargetCounter, Unit: "times", Most: 1000, Versus: []string{"counter_down"}, Says: "totals are told that many times too large"},
	"counter_split": {Target: TargetCounter, Versus: []string{"counter_down"}, Says: "even and odd doors see a counter of their own; the even one's totals stay"},
	"counter_empty": {Target: TargetCounter, Instant: true, Says: "replaced by one that starts at nothing"},
	"meter_late":    {Target: TargetMeter, Unit: "ms", Most: 600e3, Says: "use is told later"},
	"burst":         {Target: TargetClients, Unit: "times", Most: 100, Says: "that many times the load comes on top"},
	"hot_customers": {Target: TargetClients, Unit: "share of the load on top", Most: 100, Says: "three customers ask far more"},
	"gather":        {Target: TargetClients, Unit: "share of the operations", Most: 1, Says: "operations gather on each customer's busiest door"},
	"shift":         {Target: TargetClients, Instant: true, Says: "a share of the customers moves to others of its doors at once"},
	"strangers":     {Target: TargetClients, Unit: "share of the load on top", Most: 100, Says: "customers that come once and never again"},
	"storm":         {Target: TargetClients, Unit: "retries", Least: 1, Most: 20, Says: "clients retry that many times, at once"},
	"leave_early":   {Target: TargetClients, Unit: "share of the tries", Most: 1, Says: "clients leave before they are answered"},
}

// End is when the fault is over, s.
func (f *Fault) End() float64 { return f.AtS + f.ForS }

func (f *Fault) overlaps(g *Fault) bool { return f.AtS < g.End() && g.AtS < f.End() }

// sameTarget tells whether two faults may strike the same one. Shares of the same fleet may meet by chance, so only
// different zones keep two faults apart.
func (f *Fault) sameTarget(g *Fault) bool {
	return f.Zone == nil || g.Zone == nil || *f.Zone == *g.Zone
}

func (s *Scenario) checkFaults() error {
	for i := range s.Faults {
		f := &s.Faults[i]
		under := fmt.Sprintf("fault[%d].", i)
		k, known := Kinds[f.Kind]
		switch {
		case !known:
			return oneOf(under+"kind", f.Kind, slices.Sorted(maps.Keys(Kinds))...)
		case !(f.AtS >= 0 && f.AtS <= s.Day.Seconds):
			return fault(under+"at_s", "%g, not within the day of %g s", f.AtS, s.Day.Seconds)
		case !k.Instant && !(f.ForS > 0):
			return fault(under+"for_s", "%g, though %s lasts", f.ForS, f.Kind)
		case k.Instant && f.ForS != 0:
			return fault(under+"for_s", "%g, though %s lasts no time", f.ForS, f.Kind)
		case k.Unit == "" && f.Much != 0:
			return fault(under+"much", "%g, though %s knows no more or less", f.Much, f.Kind)
		case !(f.Much >= k.Least && f.Much <= k.Most) && k.Unit != "":
			return fault(under+"much", "%g %s, %g to %g is wanted", f.Much, k.Unit, k.Least, k.Most)
		case !(f.Share >= 0 && f.Share <= 1):
			return fault(under+"share", "%g, 0 to 1 is wanted", f.Share)
		case f.Zone != nil && (*f.Zone < 0 || *f.Zone >= s.Fleet.Zones):
			return fault(under+"zone", "%d of %d zones", *f.Zone, s.Fleet.Zones)
		case (f.Kind == "zone_loss" || f.Kind == "zone_cut") && f.Zone == nil:
			return fault(under+"zone", "missing")
		case f.Kind == "zone_cut" && s.Fleet.Zones < 2:
			return fault(under+"kind", "zone_cut with one zone")
		case f.Kind == "pauses" && !(f.EveryMs > f.Much):
			return fault(under+"every_ms", "%g, under a pause of %g ms", f.EveryMs, f.Much)
		case f.Batches < 0 || f.Batches > 1000:
			return fault(under+"batches", "%d", f.Batches)
		case f.MostOut < 0 || f.MostOut > 0 && f.Kind != "replace" && f.Kind != "door_roll":
			return fault(under+"most_out", "%d for a fault of kind %s", f.MostOut, f.Kind)
		case k.Target == TargetCounter && !s.Counter.On:
			return fault(under+"kind", "%s, though counter.on is false", f.Kind)
		case k.Target == TargetMeter && s.Meter.PeriodMs == 0:
			return fault(under+"kind", "%s, though meter.period_ms is 0", f.Kind)
		case f.Class != "" && !slices.ContainsFunc(s.Classes, func(p Class) bool { return p.Name == f.Class }):
			return fault(under+"profile", "%q is no profile", f.Class)
		}
		for j := range i {
			g := &s.Faults[j]
			if slices.Contains(k.Versus, g.Kind) && f.overlaps(g) && f.sameTarget(g) {
				return &ClashError{j, i, [2]string{g.Kind, f.Kind}, max(f.AtS, g.AtS), min(f.End(), g.End())}
			}
		}
	}
	return nil
}

// Set gives one plain figure, named by its key as in the file ("load.share", "fault[0].much"), another value.
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
		return Scenario{}, fault(key, "%v", err)
	}
	raw, err = tree.bytes()
	if err != nil {
		return Scenario{}, err
	}
	return Read(raw)
}
