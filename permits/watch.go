package permits

import (
	"maps"
	"slices"

	"github.com/swifthall/swifthall/release"
)

// DoorReport is what a door says to coordinators every second or so: how it stands, what it has carried out, and whom it holds to
// be away. It is a belief, but for what it says of itself.
type DoorReport struct {
	Caller string `json:"caller"` // name and process
	Seq    uint64 `json:"seq"`
	Sighting
	Holds    uint64                    `json:"holds,omitempty"`
	Away     []string                  `json:"away,omitempty"`     // doors that it holds to be away
	Undone   []uint64                  `json:"undone,omitempty"`   // orders that were ended by hand at the door itself
	Backends []Sighting                `json:"backends,omitempty"` // its list, where it was asked for it
	Counts   *release.Counts           `json:"counts,omitempty"`   // what its process has done
	Sent     map[string]release.Counts `json:"sent,omitempty"`     // its attempts by backend, where it was asked for its list
}

// Reply answers a word.
type Reply struct {
	Epoch       uint64   `json:"epoch"`
	Incarnation uint64   `json:"life"` // that the unit is known by; another than the word's has the door begin again
	Change      uint64   `json:"change"`
	Withheld    []string `json:"withheld,omitempty"`
	Order       *Order   `json:"order,omitempty"` // for this door
	Full        bool     `json:"full,omitempty"`  // its list of backends is wanted with the next
}

// Order is what a door is told of its own.
type Order struct {
	Number   uint64 `json:"number"`
	Who, Why string
}

const (
	wordFor   = 5e3  // ms for which a word counts; a door says one a second
	toldFor   = 4e3  // ms for which a sighting that hasn't changed is not told again; a few fit into the time for which it counts
	lostFor   = 10e3 // ms without a word, after which a door that a release has changed is taken to have failed by it
	reporters = 3    // doors that are asked for their lists of backends: one may be behind, or wrong
)

// ReportCollector gathers the words of doors at the coordinator that leads, and makes sightings of them. What it knows ends with the
// leadership: a new leader hears all doors within a second or two.
type ReportCollector struct {
	words map[string]*heard // by door
	names []string          // of those doors, sorted
	waves map[uint64]*judged
	told  map[string]told // by unit
}

// told is what was last told of a unit.
type told struct {
	Sighting
	at float64
}

// judged is the comparison of a release's wave.
type judged struct {
	wave  int
	began float64
	of    *release.Comparison
}

type heard struct {
	DoorReport
	at float64
}

// NewReportCollector returns one that has heard nobody.
func NewReportCollector() *ReportCollector {
	return &ReportCollector{words: map[string]*heard{}, waves: map[uint64]*judged{}, told: map[string]told{}}
}

// Record takes a word in. One that comes after a later one of the same process, or of a process before, is passed over. The
// list of backends stays until the door tells another.
func (w *ReportCollector) Record(now float64, word DoorReport) bool {
	if old := w.words[word.Name]; old != nil {
		if word.Incarnation < old.Incarnation || word.Process == old.Process && word.Seq <= old.Seq {
			return false
		}
		if word.Counts == nil && word.Process == old.Process {
			word.Counts = old.Counts
		}
		if word.Backends == nil && word.Process == old.Process {
			word.Backends, word.Sent = old.Backends, old.Sent
		}
	}
	if w.words[word.Name] == nil {
		i, _ := slices.BinarySearch(w.names, word.Name)
		w.names = slices.Insert(w.names, i, word.Name)
	}
	w.words[word.Name] = &heard{word, now}
	return true
}

// fresh lists the doors that have said something lately, up to so many.
func (w *ReportCollector) fresh(now float64, most int) (names []string) {
	for _, n := range w.names {
		if h := w.words[n]; len(names) < most && now-h.at <= wordFor && h.Standing != Ended {
			names = append(names, n)
		}
	}
	return names
}

// WantsBackends tells whether a door is to tell its list of backends.
func (w *ReportCollector) WantsBackends(now float64, name string) bool {
	return slices.Contains(w.fresh(now, reporters), name)
}

// Sightings tells how all units stand by what was heard lately. A door is what it says itself, unless most of the others hold
// it to be away; one that says nothing any more is told of only where they do. A backend stands as most lists have it.
func (w *ReportCollector) Sightings(now float64) (all []Sighting) {
	fresh := w.fresh(now, len(w.names))
	away := map[string]int{}
	lists := map[string][]Sighting{}
	for _, n := range fresh {
		for _, other := range w.words[n].Away {
			if other != n {
				away[other]++
			}
		}
	}
	for _, n := range fresh[:min(reporters, len(fresh))] {
		for _, b := range w.words[n].Backends {
			lists[b.Name] = append(lists[b.Name], b)
		}
	}
	for _, n := range w.names {
		h := w.words[n]
		s := h.Sighting
		others := len(fresh)
		if _, is := slices.BinarySearch(fresh, n); is {
			others--
		} else if h.Standing != Ended && 2*away[n] <= others {
			continue // nobody knows
		}
		if 2*away[n] > others && others > 0 && h.Standing != Ended {
			s.Standing = Failed
		}
		all = append(all, s)
	}
	for _, n := range slices.Sorted(maps.Keys(lists)) {
		of := lists[n]
		best, most := 0, 0
		for i := range of {
			same := 0
			for j := range of {
				if of[j].Standing == of[i].Standing {
					same++
				}
			}
			if same > most {
				best, most = i, same
			}
		}
		all = append(all, of[best])
	}
	return all
}

// ChangedSightings lists the sightings that are to be agreed on: what has changed, and now and then what hasn't. All of them twice a second
// would be most of what coordinators write.
func (w *ReportCollector) ChangedSightings(now float64) (news []Sighting) {
	for _, s := range w.Sightings(now) {
		k := key(s.Kind, s.Name)
		if t, known := w.told[k]; known && t.Sighting == s && now-t.at < toldFor {
			continue
		}
		w.told[k] = told{s, now}
		news = append(news, s)
	}
	return news
}

// Needs lists the commands that a word calls for at once, in place of the next round of sightings: a permit that its door does
// not mean to use, orders that were ended at the door, a standing that has changed.
func (s *State) Needs(w *DoorReport) (do []any) {
	u := s.Units[key(w.Kind, w.Name)]
	if u == nil || w.Incarnation != u.Incarnation {
		return nil // it is told to begin, or speaks of a life before
	}
	for _, n := range w.Undone {
		if p := s.Permits[n]; p != nil && p.Order && !p.Over {
			if p.Of != "" && p.Unit.Kind != w.Kind {
				continue
			}
			do = append(do, Undrain{p.Unit.Kind, p.Unit.Name, w.Name, "ended at the door itself"})
		}
	}
	p := s.of(w.Kind, w.Name)
	if p != nil && p.Caller == w.Caller && p.Number != w.Holds || u.Standing != w.Standing || u.Did < w.Did && s.Change == w.Did {
		do = append(do, SelfReport{w.Sighting, w.Holds})
	}
	return do
}

// Reply words what a door is told.
func (s *State) Reply(w *DoorReport, full bool) Reply {
	r := Reply{Full: full, Epoch: s.Epoch}
	if u := s.Units[key(w.Kind, w.Name)]; u != nil {
		r.Incarnation = u.Incarnation
	}
	r.Withheld, r.Change = s.Withheld()
	if p := s.of(w.Kind, w.Name); p != nil && p.Order && !p.Over {
		r.Order = &Order{p.Number, p.Who, p.Why}
	}
	return r
}

// Verdicts compares, for each release that runs, the doors that it has changed with the others, once all of the present wave have
// taken it, and lists the verdicts that end a wave. What was heard of each door before the comparison counts from there on.
func (w *ReportCollector) Verdicts(now float64, s *release.State) (verdicts []release.RecordVerdict) {
	for n := range w.waves {
		if !slices.ContainsFunc(s.All, func(r *release.Release) bool { return r.Number == n && r.Stage == release.Running }) {
			delete(w.waves, n)
		}
	}
	for _, r := range s.All {
		if r.Stage != release.Running || !s.Whole(r) {
			delete(w.waves, r.Number)
			continue
		}
		j := w.waves[r.Number]
		if j == nil || j.wave != r.Wave {
			j = &judged{r.Wave, now, release.NewComparison(now, r.Waves[r.Wave].WatchS*1e3).Ending(r.Ends)}
			w.waves[r.Number] = j
		}
		if r.Changes == release.Backends { // each pair of a door that reports and a backend is one to compare
			for _, name := range w.fresh(now, reporters) {
				for _, b := range slices.Sorted(maps.Keys(w.words[name].Sent)) {
					j.of.Record(now, b+" as "+name+" sees it", s.Changed(r, b), w.words[name].Sent[b])
				}
			}
			if v := j.of.Evaluate(now); v.Outcome != release.Wait {
				verdicts = append(verdicts, release.RecordVerdict{Number: r.Number, Wave: r.Wave, Verdict: v})
			}
			continue
		}
		for _, name := range w.fresh(now, len(w.names)) {
			if h := w.words[name]; h.Counts != nil {
				j.of.Record(now, name, s.Changed(r, name), *h.Counts)
			}
		}
		for _, part := range r.UnitsByWave[:r.Wave+1] {
			for _, name := range part {
				if h := w.words[name]; now-j.began > lostFor && (h == nil || now-h.at > lostFor) {
					j.of.RecordFailure(name, "it isn't heard of any more")
				}
			}
		}
		if v := j.of.Evaluate(now); v.Outcome != release.Wait {
			verdicts = append(verdicts, release.RecordVerdict{Number: r.Number, Wave: r.Wave, Verdict: v})
		}
	}
	return verdicts
}
