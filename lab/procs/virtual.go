package procs

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/swifthall/swifthall/lab/procs/check"
	"github.com/swifthall/swifthall/members"
)

// Detector is a failure detector that can run in virtual time: the module under test, or one to compare it with.
type Detector interface {
	// Step processes events at a time in ms and returns the actions to carry out.
	Step(now float64, events ...members.Event) []members.Action
	// All returns the full state, for an exchange with another door.
	All() []members.Record
}

// DetectorFactory makes one door's detector. Fleet lists all doors, for detectors that don't discover them.
type DetectorFactory func(self members.Peer, fleet []members.Peer, seed uint64) Detector

// Module makes the membership module under test.
func Module(self members.Peer, _ []members.Peer, seed uint64) Detector {
	return members.New(self, seed)
}

// Result is the result of one run of a schedule.
type Result struct {
	Schedule   string            `json:"schedule"`
	Shows      string            `json:"shows"` // what the schedule demonstrates
	On         string            `json:"on"`    // "simulated" or "on processes"
	Who        string            `json:"who"`   // the detector: "module" or "heartbeats"
	Seed       uint64            `json:"seed"`
	Doors      int               `json:"doors"`
	Violations []check.Violation `json:"breaches"`
	Figures    check.Figures     `json:"figures"`
	Messages   float64           `json:"messages_per_s"` // sent per door and second; on processes datagrams through the relays
	Bytes      float64           `json:"bytes_per_s"`
	Truth      check.Truth       `json:"-"`
	CPU        float64           `json:"cpu_ms_per_s,omitempty"` // on processes: median over the doors
	Resident   float64           `json:"resident_mb,omitempty"`  // likewise
	Asked      int               `json:"asked,omitempty"`        // on processes: requests to doors without faults
	Finished   int               `json:"finished,omitempty"`
	History    []check.Event     `json:"history"`
}

const (
	joinPhaseMs        = 8000.0 // time before the run in which the doors find each other
	joinRetryMs        = 1000.0 // between a door's attempts to join
	seedDoors          = 3      // doors that are configured as peers at all others
	maxBuffered        = 1000   // datagrams that a paused process's socket buffers; further ones are lost
	sizeSampleInterval = 64     // one in so many messages is encoded, to estimate the bytes sent
	reorderDelayMs     = 30.0   // added delay of a reordered datagram
)

// scheduled is an entry of the time queue: either a function to run, or an event for one incarnation of a door.
type scheduled struct {
	at          float64
	order       int // in which entries were scheduled
	door        int // -1 for a function
	incarnation int
	event       members.Event
	do          func()
}

// timeQueue is a binary heap of entries, the earliest first.
type timeQueue []scheduled

// push adds an entry.
func (q *timeQueue) push(d scheduled) {
	*q = append(*q, d)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// pop removes and returns the earliest entry; the queue must not be empty.
func (q *timeQueue) pop() scheduled {
	h := *q
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = scheduled{}
	h = h[:last]
	for i := 0; ; {
		l := 2*i + 1
		if l >= last {
			break
		}
		if r := l + 1; r < last && h[r].before(&h[l]) {
			l = r
		}
		if !h[l].before(&h[i]) {
			break
		}
		h[i], h[l] = h[l], h[i]
		i = l
	}
	*q = h
	return top
}

// before orders entries by time, and those at the same time in the order in which they were scheduled.
func (d *scheduled) before(o *scheduled) bool {
	return d.at < o.at || d.at == o.at && d.order < o.order
}

// virtualDoor is one door's simulated process.
type virtualDoor struct {
	peer        members.Peer
	detector    Detector
	up          bool
	paused      bool
	incarnation int
	buffered    []members.Event // received while paused
	tickAt      float64
	tickPending bool
	joined      bool // has exchanged states with a seed door in this incarnation
	last        float64
}

// simulation is the state of a run in virtual time.
type simulation struct {
	*Plan
	newDetector   DetectorFactory
	queue         timeQueue
	now           float64
	order         int // of the last scheduled entry
	rng           *rand.Rand
	doors         []*virtualDoor
	fleet         []members.Peer
	byAddress     map[string]int
	history       []check.Event
	nameConflicts int
	messages      int
	bytes         float64 // estimated from a sample of the messages
}

// Door returns a door's name by its number. It is the same in virtual time and on processes.
func Door(i int) string { return fmt.Sprintf("door-%03d", i) }

// Run runs a plan in virtual time and checks its history. Who names the detector in the result.
func (p *Plan) Run(ctx context.Context, who string, newDetector DetectorFactory) (*Result, error) {
	w := &simulation{Plan: p, newDetector: newDetector, rng: rand.New(rand.NewPCG(p.Seed, 7)), now: -joinPhaseMs, byAddress: map[string]int{}}
	for i := range p.Fleet.Doors {
		peer := members.Peer{Name: Door(i), Address: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250), Zone: fmt.Sprint("z", p.Truth.Zones[i]), Number: i}
		w.fleet = append(w.fleet, peer)
		w.byAddress[peer.Address] = i
		w.doors = append(w.doors, &virtualDoor{peer: peer})
	}
	for i, x := range p.Namesakes { // second processes under doors' names, at addresses of their own
		peer := w.fleet[x.Door]
		peer.Address = fmt.Sprintf("10.9.0.%d:7946", i)
		at := len(w.doors)
		w.byAddress[peer.Address] = at
		w.doors = append(w.doors, &virtualDoor{peer: peer})
		w.runAt(x.AtMs, func() { w.start(at) })
	}
	for i := range w.fleet {
		w.scheduleDoor(i)
	}
	end := p.Truth.EndMs
	for steps := 0; len(w.queue) > 0; steps++ {
		if steps%65536 == 0 && ctx.Err() != nil {
			return nil, &StoppedError{w.now / msPerSecond, ctx.Err()}
		}
		d := w.queue.pop()
		if d.at > end {
			break
		}
		w.now = d.at
		if d.do != nil {
			d.do()
			continue
		}
		m := w.doors[d.door]
		switch {
		case !m.up || m.incarnation != d.incarnation:
		case m.paused:
			if _, tick := d.event.(members.Tick); tick {
				m.tickPending = false
			} else if len(m.buffered) < maxBuffered {
				m.buffered = append(m.buffered, d.event)
			}
		default:
			w.step(d.door, d.event)
		}
	}
	seconds := (end + joinPhaseMs) / msPerSecond * float64(p.Fleet.Doors)
	r := &Result{Schedule: p.Name, Shows: p.Shows, On: "simulated", Who: who, Seed: p.Seed, Doors: p.Fleet.Doors, Truth: p.Truth, History: w.history,
		Messages: float64(w.messages) / seconds, Bytes: w.bytes / seconds}
	r.Violations, r.Figures = check.Verify(&p.Truth, r.History, p.checkLimits())
	r.checkNamesakes(p, w.nameConflicts)
	return r, nil
}

// checkNamesakes adds a violation if a second process under a door's name did not notice the conflict.
func (r *Result) checkNamesakes(p *Plan, reported int) {
	if len(p.Namesakes) > reported {
		r.Violations = append(r.Violations, check.Violation{Rule: RuleNamesakeYields, Text: fmt.Sprintf("%d of %d processes reported that their name is taken", reported, len(p.Namesakes))})
	}
}

// checkLimits returns the schedule's limits for package check.
func (p *Plan) checkLimits() check.Limits {
	limits := p.Limits
	return check.Limits{DetectionMs: limits.DetectionMs, RecoveryMs: limits.RecoveryMs, AgreementMs: limits.AgreementMs, ConvergenceMs: limits.ConvergenceMs, SuspicionMs: limits.SuspicionMs,
		VerdictChanges: limits.VerdictChanges, AllowFalseAway: limits.AllowFalseAway}
}

// runAt schedules a function.
func (w *simulation) runAt(t float64, do func()) {
	w.order++
	w.queue.push(scheduled{at: t, order: w.order, door: -1, do: do})
}

// scheduleDoor schedules the start and the faults of one door.
func (w *simulation) scheduleDoor(i int) {
	m := w.doors[i]
	from := -joinPhaseMs + w.rng.Float64()*msPerSecond
	if w.StartMs[i] > 0 {
		from = w.StartMs[i] + w.rng.Float64()*msPerSecond
	}
	w.runAt(from, func() { w.start(i) })
	for _, s := range w.Truth.Paused[i] {
		w.runAt(s.From, func() { m.paused = true })
		w.runAt(s.To, func() { w.resume(i) })
	}
	for _, s := range w.Truth.Dead[i] {
		w.runAt(s.From, func() { m.up = false })
		if s.To < w.Truth.EndMs {
			w.runAt(s.To, func() { w.start(i) })
		}
	}
	if w.Truth.LeaveAt[i] < w.Truth.EndMs {
		w.runAt(w.Truth.LeaveAt[i], func() {
			if m.up {
				w.step(i, members.Leave{})
			}
		})
	}
}

// record adds an event to the history, unless it is by or about a second process under a door's name.
func (w *simulation) record(e check.Event) {
	if e.Door < w.Fleet.Doors && e.About < w.Fleet.Doors {
		e.At = w.now
		w.history = append(w.history, e)
	}
}

// link returns the index of a directed link in the plan; -1 for links of second processes, which have no faults.
func (w *simulation) link(a, b int) int {
	if n := w.Fleet.Doors; a < n && b < n {
		return a*n + b
	}
	return -1
}

// start starts an incarnation of a door with a new detector.
func (w *simulation) start(i int) {
	m := w.doors[i]
	m.incarnation++
	m.up, m.paused, m.buffered, m.joined, m.tickPending = true, false, nil, false, false
	m.peer.Nonce = w.rng.Uint64() >> 12
	m.detector = w.newDetector(m.peer, w.fleet, w.Seed<<20+uint64(i)<<8+uint64(m.incarnation))
	w.record(check.Event{Door: i, About: i, From: "born"})
	w.scheduleTick(i)
	w.join(i)
}

// resume ends a pause: the door first processes the buffered datagrams, and then a tick if it missed one.
func (w *simulation) resume(i int) {
	m := w.doors[i]
	if !m.paused {
		return
	}
	m.paused = false
	if !m.up {
		return
	}
	buffered := m.buffered
	m.buffered = nil
	for _, ev := range buffered {
		w.step(i, ev)
	}
	if !m.tickPending {
		w.step(i, members.Tick{})
	}
}

// scheduleTick schedules a door's next tick.
func (w *simulation) scheduleTick(i int) {
	m := w.doors[i]
	m.tickPending = true
	w.order++
	w.queue.push(scheduled{at: w.now + members.TickEvery, order: w.order, door: i, incarnation: m.incarnation, event: members.Tick{}})
}

// join has a door exchange states with a random seed door, and retries until that has succeeded once.
func (w *simulation) join(i int) {
	m, incarnation := w.doors[i], w.doors[i].incarnation
	if m.joined || !m.up {
		return
	}
	for range seedDoors {
		j := w.rng.IntN(min(seedDoors, len(w.doors)))
		if j != i {
			w.exchangeStates(i, j, func() { m.joined = true })
			break
		}
	}
	w.runAt(w.now+joinRetryMs, func() {
		if m.incarnation == incarnation {
			w.join(i)
		}
	})
}

// exchangeStates exchanges the full states of two doors as over a connection, which needs the links in both directions, and
// calls done, unless nil, once the initiator has received the answer.
func (w *simulation) exchangeStates(i, j int, done func()) {
	if w.isCut(i, j) || w.isCut(j, i) {
		return
	}
	states, incarnation := w.doors[i].detector.All(), w.doors[i].incarnation
	w.runAt(w.now+w.linkDelay(i, j), func() {
		if m := w.doors[j]; !m.up || m.paused {
			return
		}
		theirs := w.doors[j].detector.All()
		w.step(j, members.RemoteState{Records: states})
		w.runAt(w.now+w.linkDelay(j, i), func() {
			if m := w.doors[i]; m.up && !m.paused && m.incarnation == incarnation {
				if done != nil {
					done()
				}
				w.step(i, members.RemoteState{Records: theirs})
			}
		})
	})
}

// isCut reports whether the link from a to b is cut now.
func (w *simulation) isCut(a, b int) bool {
	link := w.link(a, b)
	for i := range w.Truth.Cuts {
		if c := &w.Truth.Cuts[i]; link >= 0 && c.Links[link] && w.now >= c.From && w.now < c.To {
			return true
		}
	}
	return false
}

// linkDelay draws the delay of one packet, in ms.
func (w *simulation) linkDelay(a, b int) float64 {
	link := w.link(a, b)
	d := w.Net.DelayMs.At(w.rng.Float64())
	if len(w.Delay) > 0 {
		d += amountAt(w.Delay, link, w.now) * w.rng.Float64()
	}
	if len(w.Reorder) > 0 && w.rng.Float64() < amountAt(w.Reorder, link, w.now) {
		d += reorderDelayMs
	}
	return d
}

// step passes an event to a door's detector and carries out the actions that it returns.
func (w *simulation) step(i int, ev members.Event) {
	m := w.doors[i]
	for _, a := range m.detector.Step(w.now, ev) {
		switch a := a.(type) {
		case members.Send:
			w.send(i, a)
		case members.PushPull:
			if j, ok := w.byAddress[a.With.Address]; ok {
				w.exchangeStates(i, j, nil)
			}
		case members.Changed:
			w.record(check.Event{Door: i, About: w.byAddress[a.Address], From: a.From.String(), To: a.To.String(), Incarnation: a.Incarnation, Reason: a.Reason})
		case members.NameConflict:
			if a.Err != nil {
				w.nameConflicts++
			}
		case members.Departed:
			m.up = false
		}
	}
	if _, tick := ev.(members.Tick); tick && m.up {
		w.scheduleTick(i)
	}
}

// send delivers a message, subject to the impairments of the link.
func (w *simulation) send(i int, s members.Send) {
	j, ok := w.byAddress[s.To.Address]
	if !ok {
		return
	}
	if w.messages++; w.messages%sizeSampleInterval == 0 {
		raw, _ := json.Marshal(s.Message)
		w.bytes += float64(sizeSampleInterval * len(raw))
	}
	link := w.link(i, j)
	if loss := max(w.Net.Loss, amountAt(w.Loss, link, w.now)); w.isCut(i, j) || loss > 0 && w.rng.Float64() < loss {
		return
	}
	copies := 1
	if len(w.Duplicate) > 0 && w.rng.Float64() < amountAt(w.Duplicate, link, w.now) {
		copies = 2
	}
	for range copies {
		w.order++
		w.queue.push(scheduled{at: w.now + w.linkDelay(i, j), order: w.order, door: j, incarnation: w.doors[j].incarnation, event: members.Received{Message: s.Message}})
	}
}

// SortByTime sorts a history by time, in place and stable, and returns it.
func SortByTime(h []check.Event) []check.Event {
	sort.SliceStable(h, func(a, b int) bool { return h[a].At < h[b].At })
	return h
}
