// Package account says where a day's gain went: for each part of the loss how much, when, at which doors, and in which
// state these were. It reads the trace, and of the decisions only the cause that they give with a rejection.
package account

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/trace"
)

// Part is one way in which gain is lost.
type Part struct {
	Name    string    `json:"name"`
	Gain    float64   `json:"gain"`  // lost
	Share   float64   `json:"share"` // of the gain asked inside the quotas
	Count   int       `json:"operations"`
	Windows []float64 `json:"by_10_s"`         // shares of what was asked in each
	Doors   int       `json:"doors"`           // that it struck
	Top     float64   `json:"top_tenth"`       // share of it at the tenth of all doors that it struck most
	Age     float64   `json:"age_s"`           // mean time since the door's start
	Idle    float64   `json:"answers_lately"`  // mean of answers that the door had from backends in the 5 s before
	Spread  float64   `json:"backends_lately"` // and of the backends that they came from
}

// Account is a day's.
type Account struct {
	Offered float64 `json:"offered"`
	Parts   []Part  `json:"parts"`
	// Rejected with room, of all tries, window by window: the quota as it truly stood was half unused.
	WithRoom []float64 `json:"rejected_with_room_by_10_s"`
	// For each first try: what doors did more than serve.
	Connections, Calls, Probes float64
	Attempts                   float64 `json:"Transmissions"` // results written before keep their key
}

const (
	window   = 10e3 // ms
	lately   = 5e3  // ms
	room     = 0.5  // of the depth unused, from which a rejection is one with room
	unserved = "never answered"
)

// Collector gathers a day's account from its trace.
type Collector struct {
	deal  *judge.Params
	doors map[int]*door
	wants map[int]*want
	tries map[int]*try
	quota map[int]*judge.Store
	ideal map[int]*judge.Store
	parts map[string]*tally
	asked []float64 // gain by window
	tried []int     // tries by window
	roomy []int
	sums  struct{ first, conns, calls, probes, sent int }
}

type want struct {
	at, gain float64
	inside   bool
	class    int
	last     string // part that its latest try ended in
	door     int
}

type try struct {
	want, door, customer, plan int
	units                      float64
	sent                       bool
}

type door struct {
	started float64
	came    []seen // answers lately
}

type seen struct {
	at      float64
	backend int
}

type tally struct {
	gain, age, answers, backends float64
	count                        int
	windows                      []float64
	doors                        map[int]float64
}

func NewCollector(d *judge.Params) *Collector {
	return &Collector{deal: d, doors: map[int]*door{}, wants: map[int]*want{}, tries: map[int]*try{}, quota: map[int]*judge.Store{}, ideal: map[int]*judge.Store{},
		parts: map[string]*tally{}}
}

func grow[T any](s []T, i int) []T {
	for len(s) <= i {
		s = append(s, *new(T))
	}
	return s
}

// lose books a loss at a door.
func (b *Collector) lose(part string, gain, asked, now float64, at int) {
	t := b.parts[part]
	if t == nil {
		t = &tally{doors: map[int]float64{}}
		b.parts[part] = t
	}
	t.gain += gain
	t.count++
	w := int(asked / window)
	t.windows = grow(t.windows, w)
	t.windows[w] += gain
	t.doors[at] += gain
	if d := b.doors[at]; d != nil {
		d.forget(now)
		t.age += now - d.started
		t.answers += float64(len(d.came))
		some := map[int]struct{}{}
		for _, c := range d.came {
			some[c.backend] = struct{}{}
		}
		t.backends += float64(len(some))
	}
}

func (d *door) forget(now float64) {
	n := 0
	for n < len(d.came) && d.came[n].at < now-lately {
		n++
	}
	if n > 0 {
		d.came = append(d.came[:0], d.came[n:]...)
	}
}

// Take takes in one event.
func (b *Collector) Take(e *trace.Event) {
	switch e.Kind {
	case trace.DoorStarted:
		b.doors[e.Door] = &door{started: e.At}
	case trace.Asked:
		b.ask(e)
	case trace.Accepted:
		b.tries[e.Try] = &try{want: e.Request, door: e.Door, customer: e.Customer, plan: e.Plan, units: e.Units}
		b.tried = grow(b.tried, int(e.At/window))
		b.tried[int(e.At/window)]++
		if w := b.wants[e.Request]; w != nil {
			w.door, w.last = e.Door, unserved
		}
	case trace.Sent:
		b.sent(e)
	case trace.Closed:
		if d := b.doors[e.Door]; d != nil && e.Result == gate.Finished {
			d.forget(e.At)
			d.came = append(d.came, seen{e.At, e.Backend})
		}
	case trace.Answered:
		b.answered(e)
	case trace.ClientLeft, trace.Dropped:
		delete(b.tries, e.Try)
	case trace.DoorDied:
		for id, t := range b.tries {
			if t.door == e.Door {
				if w := b.wants[t.want]; w != nil {
					w.last = "door died"
				}
				delete(b.tries, id)
			}
		}
	case trace.Received:
		b.got(e)
	case trace.GaveUp:
		if w := b.wants[e.Request]; w != nil {
			if w.inside {
				b.lose(cmp.Or(w.last, "found no door"), w.gain, w.at, e.At, w.door)
			}
			delete(b.wants, e.Request)
		}
	case trace.Connected:
		b.sums.conns++
	case trace.CounterCalled:
		b.sums.calls++
	case trace.Probed:
		b.sums.probes++
	}
}

func (b *Collector) ask(e *trace.Event) {
	b.sums.first++
	p := &b.deal.Plans[e.Plan]
	w := &want{at: e.At, gain: b.deal.Classes[e.Class].Gain * p.Price * e.Units, class: e.Class, door: -1}
	b.wants[e.Request] = w
	s := b.ideal[e.Customer]
	if s == nil {
		s = &judge.Store{Level: p.Depth, At: e.At}
		b.ideal[e.Customer] = s
	}
	if w.inside = p.Rate == 0 || s.Fill(e.At, p.Rate, p.Depth) >= e.Units-1e-9; w.inside {
		s.Level -= e.Units
		b.asked = grow(b.asked, int(e.At/window))
		b.asked[int(e.At/window)] += w.gain
	}
}

func (b *Collector) store(t *try, at float64) *judge.Store {
	s := b.quota[t.customer]
	if s == nil {
		s = &judge.Store{Level: b.deal.Plans[t.plan].Depth, At: at}
		b.quota[t.customer] = s
	}
	return s
}

func (b *Collector) sent(e *trace.Event) {
	b.sums.sent++
	t := b.tries[e.Try]
	if t == nil || t.sent {
		return
	}
	t.sent = true
	p, w := &b.deal.Plans[t.plan], b.wants[t.want]
	if s := b.store(t, e.At); p.Rate == 0 || s.Fill(e.At, p.Rate, p.Depth) >= t.units-1e-9 {
		s.Level -= t.units
	} else if w != nil {
		b.lose("sent beyond the quota", b.deal.OverQuotaCost[t.plan]*w.gain, w.at, e.At, e.Door)
	}
}

func (b *Collector) answered(e *trace.Event) {
	t := b.tries[e.Try]
	if t == nil {
		return
	}
	delete(b.tries, e.Try)
	if e.Answer == trace.Finished {
		return
	}
	p := &b.deal.Plans[t.plan]
	at := int(e.At / window)
	b.roomy = grow(b.roomy, at)
	name := e.Answer.String() + ", " + e.Cause.String()
	if e.Answer == trace.Rejected && p.Rate > 0 && b.store(t, e.At).Fill(e.At, p.Rate, p.Depth) >= room*p.Depth {
		b.roomy[at]++
		name += ", with room"
	}
	if w := b.wants[t.want]; w != nil {
		w.last = name
	}
}

func (b *Collector) got(e *trace.Event) {
	w := b.wants[e.Request]
	if w == nil || e.Answer != trace.Finished {
		return
	}
	if p := &b.deal.Classes[w.class]; w.inside && e.At-w.at > p.Contract {
		b.lose("late", w.gain*(1-p.LateValue), w.at, e.At, w.door)
	}
	delete(b.wants, e.Request)
}

// Sum closes the book.
func (b *Collector) Sum() *Account {
	a := &Account{}
	for _, g := range b.asked {
		a.Offered += g
	}
	each := 1 / max(1, float64(b.sums.first))
	a.Connections, a.Calls = float64(b.sums.conns)*each, float64(b.sums.calls)*each
	a.Probes, a.Attempts = float64(b.sums.probes)*each, float64(b.sums.sent)*each
	for name, t := range b.parts {
		n := float64(t.count)
		p := Part{Name: name, Gain: t.gain, Share: t.gain / max(1e-9, a.Offered), Count: t.count, Doors: len(t.doors), Age: t.age / n / 1000,
			Idle: t.answers / n, Spread: t.backends / n}
		for i, g := range t.windows {
			share := 0.0
			if i < len(b.asked) && b.asked[i] > 0 {
				share = g / b.asked[i]
			}
			p.Windows = append(p.Windows, share)
		}
		var by []float64
		for _, g := range t.doors {
			by = append(by, g)
		}
		slices.Sort(by)
		for i := range max(1, len(b.doors)/10) {
			if k := len(by) - 1 - i; k >= 0 && t.gain > 0 {
				p.Top += by[k] / t.gain
			}
		}
		a.Parts = append(a.Parts, p)
	}
	slices.SortFunc(a.Parts, func(x, y Part) int {
		return cmp.Or(cmp.Compare(y.Gain, x.Gain), cmp.Compare(x.Name, y.Name))
	})
	for i, n := range b.tried {
		share := 0.0
		if i < len(b.roomy) && n > 0 {
			share = float64(b.roomy[i]) / float64(n)
		}
		a.WithRoom = append(a.WithRoom, share)
	}
	return a
}

// Print writes the account as a table.
func (a *Account) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "lost as\tshare of the gain asked\toperations\tdoors\tat the worst tenth\tdoor's age, s\tanswers in 5 s\tfrom backends\tby 10 s")
	for _, p := range a.Parts {
		var by string
		for _, x := range p.Windows {
			by += fmt.Sprintf(" %.3f", x)
		}
		fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%s\n", p.Name, p.Share, p.Count, p.Doors, p.Top, p.Age, p.Idle, p.Spread, by)
	}
	var by string
	for _, x := range a.WithRoom {
		by += fmt.Sprintf(" %.3f", x)
	}
	fmt.Fprintf(t, "rejected with room, of all tries, by 10 s:%s\n", by)
	fmt.Fprintf(t, "for each first try: connections %.3f, counter calls %.3f, probes %.3f, transmissions %.3f\n", a.Connections, a.Calls, a.Probes,
		a.Attempts)
}
