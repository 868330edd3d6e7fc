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

// Detector is what is played in virtual time: the module, or what it is compared with.
type Detector interface {
	Step(now float64, events ...members.Event) []members.Action
	All() []members.Record
}

// DetectorFactory makes one door's detector; fleet lists the whole fleet, for those that must be told it.
type DetectorFactory func(self members.Peer, fleet []members.Peer, seed uint64) Detector

// Module makes the module itself.
func Module(self members.Peer, _ []members.Peer, seed uint64) Detector {
	return members.New(self, seed)
}

// Result is what one play came to.
type Result struct {
	Schedule   string         `json:"schedule"`
	Shows      string         `json:"shows"`
	On         string         `json:"on"`
	Who        string         `json:"who"`
	Seed       uint64         `json:"seed"`
	Doors      int            `json:"doors"`
	Violations []check.Breach `json:"breaches"`
	Figures    check.Figures  `json:"figures"`
	Messages   float64        `json:"messages_per_s"` // sent by a door, a second
	Bytes      float64        `json:"bytes_per_s"`
	Truth      check.Truth    `json:"-"`
	CPU        float64        `json:"cpu_ms_per_s,omitempty"` // on processes, of the middle door
	Resident   float64        `json:"resident_mb,omitempty"`
	Asked      int            `json:"asked,omitempty"` // on processes, of doors that nothing befell
	Finished   int            `json:"finished,omitempty"`
	History    []check.Event  `json:"history"`
}

const (
	warmup    = 8000.0 // ms before the day in which the doors find each other
	joinAgain = 1000.0 // ms between tries to find a door
	seeds     = 3      // doors that all others are told of
	buffer    = 1000   // datagrams that wait for a process that is stopped; the rest is lost
	sampled   = 64     // one in so many messages is encoded, for the bytes
	lateBy    = 30.0   // ms by which a reordered datagram comes later
)

// due is one thing that happens.
type due struct {
	at    float64
	order int
	door  int // -1 for none
	life  int
	ev    members.Event
	do    func()
}

type queue []due

func (q *queue) push(d due) {
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

func (q *queue) pop() due {
	h := *q
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = due{}
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

func (d *due) before(o *due) bool { return d.at < o.at || d.at == o.at && d.order < o.order }

// machine is one door's process.
type machine struct {
	peer    members.Peer
	det     Detector
	up      bool
	paused  bool
	life    int
	waiting []members.Event
	tickAt  float64
	ticking bool
	joined  bool
	last    float64
}

// world plays a plan in virtual time.
type world struct {
	*Plan
	make     DetectorFactory
	q        queue
	now      float64
	order    int
	dice     *rand.Rand
	doors    []*machine
	fleet    []members.Peer
	index    map[string]int
	history  []check.Event
	refused  int
	messages int
	bytes    float64
}

// Door names a door, the same in virtual time and on processes.
func Door(i int) string { return fmt.Sprintf("door-%03d", i) }

// Run plays a plan in virtual time and judges it.
func (p *Plan) Run(ctx context.Context, who string, make DetectorFactory) (*Result, error) {
	w := &world{Plan: p, make: make, dice: rand.New(rand.NewPCG(p.Seed, 7)), now: -warmup, index: map[string]int{}}
	for i := range p.Fleet.Doors {
		peer := members.Peer{Name: Door(i), Address: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250), Zone: fmt.Sprint("z", p.Truth.Zones[i]), Number: i}
		w.fleet = append(w.fleet, peer)
		w.index[peer.Address] = i
		w.doors = append(w.doors, &machine{peer: peer})
	}
	for i, x := range p.Names { // further processes under doors' names, at addresses of their own
		peer := w.fleet[x.Door]
		peer.Address = fmt.Sprintf("10.9.0.%d:7946", i)
		at := len(w.doors)
		w.index[peer.Address] = at
		w.doors = append(w.doors, &machine{peer: peer})
		w.at(x.AtMs, func() { w.start(at) })
	}
	for i := range w.fleet {
		w.schedule(i)
	}
	end := p.Truth.EndMs
	for steps := 0; len(w.q) > 0; steps++ {
		if steps%65536 == 0 && ctx.Err() != nil {
			return nil, &StoppedError{w.now / msPerSecond, ctx.Err()}
		}
		d := w.q.pop()
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
		case !m.up || m.life != d.life:
		case m.paused:
			if _, tick := d.ev.(members.Tick); tick {
				m.ticking = false
			} else if len(m.waiting) < buffer {
				m.waiting = append(m.waiting, d.ev)
			}
		default:
			w.step(d.door, d.ev)
		}
	}
	seconds := (end + warmup) / msPerSecond * float64(p.Fleet.Doors)
	r := &Result{Schedule: p.Name, Shows: p.Shows, On: "simulated", Who: who, Seed: p.Seed, Doors: p.Fleet.Doors, Truth: p.Truth, History: w.history,
		Messages: float64(w.messages) / seconds, Bytes: w.bytes / seconds}
	r.Violations, r.Figures = check.Judge(&p.Truth, r.History, p.Limits())
	r.standBack(p, w.refused)
	return r, nil
}

// standBack tells of doors under others' names that did not find out.
func (r *Result) standBack(p *Plan, refused int) {
	if len(p.Names) > refused {
		r.Violations = append(r.Violations, check.Breach{Rule: StandBack, Text: fmt.Sprintf("%d of %d said that their name is taken", refused, len(p.Names))})
	}
}

// Limits are what the schedule says must hold.
func (p *Plan) Limits() check.Limits {
	m := p.Must
	return check.Limits{KnownMs: m.KnownMs, BackMs: m.BackMs, AgreeMs: m.AgreeMs, OneMs: m.OneMs, DoubtMs: m.DoubtMs, Changes: m.Changes, AnyWrong: m.AnyWrong}
}

func (w *world) at(t float64, do func()) {
	w.order++
	w.q.push(due{at: t, order: w.order, door: -1, do: do})
}

// schedule puts in what befalls one door.
func (w *world) schedule(i int) {
	m := w.doors[i]
	from := -warmup + w.dice.Float64()*msPerSecond
	if w.Start[i] > 0 {
		from = w.Start[i] + w.dice.Float64()*msPerSecond
	}
	w.at(from, func() { w.start(i) })
	for _, s := range w.Truth.Paused[i] {
		w.at(s.From, func() { m.paused = true })
		w.at(s.To, func() { w.wake(i) })
	}
	for _, s := range w.Truth.Dead[i] {
		w.at(s.From, func() { m.up = false })
		if s.To < w.Truth.EndMs {
			w.at(s.To, func() { w.start(i) })
		}
	}
	if w.Truth.Left[i] < w.Truth.EndMs {
		w.at(w.Truth.Left[i], func() {
			if m.up {
				w.step(i, members.Leave{})
			}
		})
	}
}

// note puts an event into the history; what a further process under a door's name holds is no part of it.
func (w *world) note(e check.Event) {
	if e.Door < w.Fleet.Doors && e.About < w.Fleet.Doors {
		e.At = w.now
		w.history = append(w.history, e)
	}
}

// way is the place of a directed pair in the plan; -1 where the plan does nothing to it.
func (w *world) way(a, b int) int {
	if n := w.Fleet.Doors; a < n && b < n {
		return a*n + b
	}
	return -1
}

func (w *world) start(i int) {
	m := w.doors[i]
	m.life++
	m.up, m.paused, m.waiting, m.joined, m.ticking = true, false, nil, false, false
	m.peer.Nonce = w.dice.Uint64() >> 12
	m.det = w.make(m.peer, w.fleet, w.Seed<<20+uint64(i)<<8+uint64(m.life))
	w.note(check.Event{Door: i, About: i, From: "born"})
	w.tick(i)
	w.join(i)
}

func (w *world) wake(i int) {
	m := w.doors[i]
	if !m.paused {
		return
	}
	m.paused = false
	if !m.up {
		return
	}
	waited := m.waiting
	m.waiting = nil
	for _, ev := range waited {
		w.step(i, ev)
	}
	if !m.ticking {
		w.step(i, members.Tick{})
	}
}

// tick has a door's tick come in time.
func (w *world) tick(i int) {
	m := w.doors[i]
	m.ticking = true
	w.order++
	w.q.push(due{at: w.now + members.TickEvery, order: w.order, door: i, life: m.life, ev: members.Tick{}})
}

// join has a door find others through those that all are told of.
func (w *world) join(i int) {
	m, life := w.doors[i], w.doors[i].life
	if m.joined || !m.up {
		return
	}
	for range seeds {
		j := w.dice.IntN(min(seeds, len(w.doors)))
		if j != i {
			w.meet(i, j, func() { m.joined = true })
			break
		}
	}
	w.at(w.now+joinAgain, func() {
		if m.life == life {
			w.join(i)
		}
	})
}

// meet exchanges whole states over a connection: both ways must be open.
func (w *world) meet(i, j int, done func()) {
	if w.cut(i, j) || w.cut(j, i) {
		return
	}
	mine, life := w.doors[i].det.All(), w.doors[i].life
	w.at(w.now+w.delay(i, j), func() {
		if m := w.doors[j]; !m.up || m.paused {
			return
		}
		theirs := w.doors[j].det.All()
		w.step(j, members.RemoteState{Records: mine})
		w.at(w.now+w.delay(j, i), func() {
			if m := w.doors[i]; m.up && !m.paused && m.life == life {
				if done != nil {
					done()
				}
				w.step(i, members.RemoteState{Records: theirs})
			}
		})
	})
}

func (w *world) cut(a, b int) bool {
	way := w.way(a, b)
	for i := range w.Truth.Cuts {
		if c := &w.Truth.Cuts[i]; way >= 0 && c.Way[way] && w.now >= c.From && w.now < c.To {
			return true
		}
	}
	return false
}

func (w *world) delay(a, b int) float64 {
	way := w.way(a, b)
	d := w.Net.DelayMs.At(w.dice.Float64())
	if len(w.Delay) > 0 {
		d += in(w.Delay, way, w.now) * w.dice.Float64()
	}
	if len(w.Late) > 0 && w.dice.Float64() < in(w.Late, way, w.now) {
		d += lateBy
	}
	return d
}

// step has one door take an event in, and carries its actions out.
func (w *world) step(i int, ev members.Event) {
	m := w.doors[i]
	for _, a := range m.det.Step(w.now, ev) {
		switch a := a.(type) {
		case members.Send:
			w.send(i, a)
		case members.PushPull:
			if j, ok := w.index[a.With.Address]; ok {
				w.meet(i, j, nil)
			}
		case members.Changed:
			w.note(check.Event{Door: i, About: w.index[a.Address], From: a.From.String(), To: a.To.String(), Life: a.Incarnation, Why: a.Reason})
		case members.NameConflict:
			if a.Err != nil {
				w.refused++
			}
		case members.Departed:
			m.up = false
		}
	}
	if _, tick := ev.(members.Tick); tick && m.up {
		w.tick(i)
	}
}

func (w *world) send(i int, s members.Send) {
	j, ok := w.index[s.To.Address]
	if !ok {
		return
	}
	if w.messages++; w.messages%sampled == 0 {
		raw, _ := json.Marshal(s.Message)
		w.bytes += float64(sampled * len(raw))
	}
	way := w.way(i, j)
	if loss := max(w.Net.Loss, in(w.Loss, way, w.now)); w.cut(i, j) || loss > 0 && w.dice.Float64() < loss {
		return
	}
	copies := 1
	if len(w.Twice) > 0 && w.dice.Float64() < in(w.Twice, way, w.now) {
		copies = 2
	}
	for range copies {
		w.order++
		w.q.push(due{at: w.now + w.delay(i, j), order: w.order, door: j, life: w.doors[j].life, ev: members.Received{Message: s.Message}})
	}
}

// Sorted puts a history in the order of time.
func Sorted(h []check.Event) []check.Event {
	sort.SliceStable(h, func(a, b int) bool { return h[a].At < h[b].At })
	return h
}
