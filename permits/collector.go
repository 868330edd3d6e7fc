package permits

import (
	"maps"
	"slices"

	"github.com/swifthall/swifthall/release"
)

// DoorReport is a door's report to the coordinators, sent about once a second: its standing, what it has applied, and which doors
// it considers away. Only what it reports about itself is certain.
type DoorReport struct {
	Caller string `json:"caller"` // name and process
	Seq    uint64 `json:"seq"`
	Sighting
	Holds    uint64                    `json:"holds,omitempty"`    // permit that it intends to use; 0 for none
	Away     []string                  `json:"away,omitempty"`     // doors that it considers away
	Undone   []uint64                  `json:"undone,omitempty"`   // drains that an operator ended at the door itself
	Backends []Sighting                `json:"backends,omitempty"` // its list of backends, if requested by Reply.Full
	Counts   *release.Counts           `json:"counts,omitempty"`   // usage counts of its process
	Sent     map[string]release.Counts `json:"sent,omitempty"`     // its attempts by backend, if requested by Reply.Full
}

// Reply is the answer to a DoorReport.
type Reply struct {
	Epoch       uint64   `json:"epoch"`
	Incarnation uint64   `json:"life"` // registered incarnation of the door; if it differs from the report's, the door registers again
	Change      uint64   `json:"change"`
	Withheld    []string `json:"withheld,omitempty"`
	Order       *Order   `json:"order,omitempty"` // drain of this door, if any
	Full        bool     `json:"full,omitempty"`  // the next report is to include the list of backends
}

// Order is the drain that is in force for a door.
type Order struct {
	Number   uint64 `json:"number"`
	Who, Why string
}

const (
	reportTTLMs         = 5e3  // ms for which a report counts; a door sends one a second
	resendAfterMs       = 4e3  // ms after which an unchanged sighting is sent again; several times within sightingTTLMs
	lostAfterMs         = 10e3 // ms without a report after which a door changed by a release counts as failed by it
	maxBackendReporters = 3    // doors that are asked for their lists of backends: one may be outdated or wrong
)

// ReportCollector collects the reports of doors at the leader and derives sightings and release verdicts from them. It isn't
// replicated: a new leader receives reports from all doors within a second or two.
type ReportCollector struct {
	reports     map[string]*receivedReport // by door
	doors       []string                   // names of the reporting doors, sorted
	comparisons map[uint64]*waveComparison // by release
	sent        map[string]sentSighting    // by unitKey
}

// sentSighting is the last sighting of a unit that was sent as a command.
type sentSighting struct {
	Sighting
	at float64
}

// waveComparison is the comparison that runs for a release's current wave.
type waveComparison struct {
	wave       int
	began      float64
	comparison *release.Comparison
}

// receivedReport is a door's latest report with its time of arrival.
type receivedReport struct {
	DoorReport
	at float64
}

// NewReportCollector returns a collector without reports.
func NewReportCollector() *ReportCollector {
	return &ReportCollector{reports: map[string]*receivedReport{}, comparisons: map[uint64]*waveComparison{}, sent: map[string]sentSighting{}}
}

// Record stores a report and reports whether it was accepted. A report that is older than the stored one, or from an earlier
// incarnation, is ignored. The list of backends is kept until the door sends another.
func (w *ReportCollector) Record(now float64, report DoorReport) bool {
	if old := w.reports[report.Name]; old != nil {
		if report.Incarnation < old.Incarnation || report.Process == old.Process && report.Seq <= old.Seq {
			return false
		}
		if report.Counts == nil && report.Process == old.Process {
			report.Counts = old.Counts
		}
		if report.Backends == nil && report.Process == old.Process {
			report.Backends, report.Sent = old.Backends, old.Sent
		}
	}
	if w.reports[report.Name] == nil {
		i, _ := slices.BinarySearch(w.doors, report.Name)
		w.doors = slices.Insert(w.doors, i, report.Name)
	}
	w.reports[report.Name] = &receivedReport{report, now}
	return true
}

// recentDoors lists up to most doors whose latest report still counts.
func (w *ReportCollector) recentDoors(now float64, most int) (names []string) {
	for _, n := range w.doors {
		if h := w.reports[n]; len(names) < most && now-h.at <= reportTTLMs && h.Standing != Ended {
			names = append(names, n)
		}
	}
	return names
}

// WantsBackends reports whether a door is to include its list of backends in its reports.
func (w *ReportCollector) WantsBackends(now float64, name string) bool {
	return slices.Contains(w.recentDoors(now, maxBackendReporters), name)
}

// Sightings derives the standing of all units from recent reports. A door has the standing that it reports, unless most of the
// others consider it away; a door without a recent report is listed only if they do. A backend has the standing that most lists
// give it.
func (w *ReportCollector) Sightings(now float64) (all []Sighting) {
	recent := w.recentDoors(now, len(w.doors))
	away := map[string]int{}
	lists := map[string][]Sighting{}
	for _, n := range recent {
		for _, other := range w.reports[n].Away {
			if other != n {
				away[other]++
			}
		}
	}
	for _, n := range recent[:min(maxBackendReporters, len(recent))] {
		for _, b := range w.reports[n].Backends {
			lists[b.Name] = append(lists[b.Name], b)
		}
	}
	for _, n := range w.doors {
		h := w.reports[n]
		s := h.Sighting
		others := len(recent)
		if _, is := slices.BinarySearch(recent, n); is {
			others--
		} else if h.Standing != Ended && 2*away[n] <= others {
			continue // its standing is unknown
		}
		if 2*away[n] > others && others > 0 && h.Standing != Ended {
			s.Standing = Failed
		}
		all = append(all, s)
	}
	for _, n := range slices.Sorted(maps.Keys(lists)) {
		list := lists[n]
		best, most := 0, 0
		for i := range list {
			same := 0
			for j := range list {
				if list[j].Standing == list[i].Standing {
					same++
				}
			}
			if same > most {
				best, most = i, same
			}
		}
		all = append(all, list[best])
	}
	return all
}

// ChangedSightings lists the sightings to replicate: those that have changed, and every resendAfterMs the unchanged ones.
// Replicating all of them twice a second would dominate the coordinators' writes.
func (w *ReportCollector) ChangedSightings(now float64) (news []Sighting) {
	for _, s := range w.Sightings(now) {
		k := unitKey(s.Kind, s.Name)
		if t, known := w.sent[k]; known && t.Sighting == s && now-t.at < resendAfterMs {
			continue
		}
		w.sent[k] = sentSighting{s, now}
		news = append(news, s)
	}
	return news
}

// DoorCommands lists the commands that a report requires immediately rather than with the next round of sightings: for a permit that the
// door doesn't intend to use, for drains that were ended at the door, and for a changed standing.
func (s *State) DoorCommands(w *DoorReport) (do []any) {
	u := s.Units[unitKey(w.Kind, w.Name)]
	if u == nil || w.Incarnation != u.Incarnation {
		return nil // the reply has it register, or the report is of an earlier incarnation
	}
	for _, n := range w.Undone {
		if p := s.Permits[n]; p != nil && p.Order && !p.Over {
			if p.Of != "" && p.Unit.Kind != w.Kind {
				continue
			}
			do = append(do, Undrain{p.Unit.Kind, p.Unit.Name, w.Name, "ended at the door itself"})
		}
	}
	p := s.permitOf(w.Kind, w.Name)
	if p != nil && p.Caller == w.Caller && p.Number != w.Holds || u.Standing != w.Standing || u.Did < w.Did && s.Change == w.Did {
		do = append(do, SelfReport{w.Sighting, w.Holds})
	}
	return do
}

// Reply returns the answer to a door's report.
func (s *State) Reply(w *DoorReport, full bool) Reply {
	r := Reply{Full: full, Epoch: s.Epoch}
	if u := s.Units[unitKey(w.Kind, w.Name)]; u != nil {
		r.Incarnation = u.Incarnation
	}
	r.Withheld, r.Change = s.Withheld()
	if p := s.permitOf(w.Kind, w.Name); p != nil && p.Order && !p.Over {
		r.Order = &Order{p.Number, p.Who, p.Why}
	}
	return r
}

// Verdicts compares, for each running release whose current wave is complete, the changed doors with the others, and lists the
// verdicts that end a wave. Counts from before the comparison are its baseline.
func (w *ReportCollector) Verdicts(now float64, s *release.State) (verdicts []release.RecordVerdict) {
	for n := range w.comparisons {
		if !slices.ContainsFunc(s.All, func(r *release.Release) bool { return r.Number == n && r.Stage == release.Running }) {
			delete(w.comparisons, n)
		}
	}
	for _, r := range s.All {
		if r.Stage != release.Running || !s.WaveComplete(r) {
			delete(w.comparisons, r.Number)
			continue
		}
		j := w.comparisons[r.Number]
		if j == nil || j.wave != r.Wave {
			j = &waveComparison{r.Wave, now, release.NewComparison(now, r.Waves[r.Wave].WatchS*1e3).WithLimits(r.Limits)}
			w.comparisons[r.Number] = j
		}
		if r.Changes == release.Backends { // each pair of a reporting door and a backend is one item of the comparison
			for _, name := range w.recentDoors(now, maxBackendReporters) {
				for _, b := range slices.Sorted(maps.Keys(w.reports[name].Sent)) {
					j.comparison.Record(now, b+" as "+name+" sees it", s.Changed(r, b), w.reports[name].Sent[b])
				}
			}
			if v := j.comparison.Evaluate(now); v.Outcome != release.Wait {
				verdicts = append(verdicts, release.RecordVerdict{Number: r.Number, Wave: r.Wave, Verdict: v})
			}
			continue
		}
		for _, name := range w.recentDoors(now, len(w.doors)) {
			if h := w.reports[name]; h.Counts != nil {
				j.comparison.Record(now, name, s.Changed(r, name), *h.Counts)
			}
		}
		for _, part := range r.UnitsByWave[:r.Wave+1] {
			for _, name := range part {
				if h := w.reports[name]; now-j.began > lostAfterMs && (h == nil || now-h.at > lostAfterMs) {
					j.comparison.RecordFailure(name, "it isn't heard of any more")
				}
			}
		}
		if v := j.comparison.Evaluate(now); v.Outcome != release.Wait {
			verdicts = append(verdicts, release.RecordVerdict{Number: r.Number, Wave: r.Wave, Verdict: v})
		}
	}
	return verdicts
}
