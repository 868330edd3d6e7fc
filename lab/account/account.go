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

// Loss is one way in which gain is lost.
type Loss struct {
	Name           string    `json:"name"`
	Gain           float64   `json:"gain"`  // lost
	Share          float64   `json:"share"` // of the gain asked inside the quotas
	Count          int       `json:"operations"`
	Windows        []float64 `json:"by_10_s"`         // shares of what was asked in each
	Doors          int       `json:"doors"`           // that it struck
	TopTenth       float64   `json:"top_tenth"`       // share of it at the tenth of all doors that it struck most
	Age            float64   `json:"age_s"`           // mean time since the door's start
	RecentAnswers  float64   `json:"answers_lately"`  // mean of answers that the door had from backends in the 5 s before
	RecentBackends float64   `json:"backends_lately"` // and of the backends that they came from
}

// Account is a day's.
type Account struct {
	Offered float64 `json:"offered"`
	Parts   []Loss  `json:"parts"`
	// Rejected with room, of all tries, window by window: the quota as it truly stood was half unused.
	WithRoom []float64 `json:"rejected_with_room_by_10_s"`
	// For each first try: what doors did more than serve.
	Connections, Calls, Probes float64
	Attempts                   float64 `json:"Transmissions"` // results written before keep their key
}

const (
	windowMs      = 10e3 // ms
	recentMs      = 5e3  // ms
	minRoomShare  = 0.5  // of the depth unused, from which a rejection is one with room
	neverAnswered = "never answered"
)

// Book gathers a day's account from its trace.
type Book struct {
	params           *judge.Deal
	doors            map[int]*door
	requests         map[int]*clientRequest
	tries            map[int]*openTry
	quotas           map[int]*judge.Bucket
	idealQuotas      map[int]*judge.Bucket
	losses           map[string]*lossTally
	offeredByWindow  []float64 // gain by window
	triesByWindow    []int     // tries by window
	withRoomByWindow []int
	counts           struct{ first, conns, calls, probes, sent int }
}

type clientRequest struct {
	askedAt, gain float64
	inQuota       bool
	class         int
	lastOutcome   string // part that its latest try ended in
	door          int
}

type openTry struct {
	request, door, customer, plan int
	units                         float64
	sent                          bool
}

type door struct {
	started       float64
	recentAnswers []backendAnswer // answers lately
}

type backendAnswer struct {
	at      float64
	backend int
}

type lossTally struct {
	gain, age, answers, backends float64
	count                        int
	windows                      []float64
	doors                        map[int]float64
}

func NewBook(d *judge.Deal) *Book {
	return &Book{params: d, doors: map[int]*door{}, requests: map[int]*clientRequest{}, tries: map[int]*openTry{}, quotas: map[int]*judge.Bucket{}, idealQuotas: map[int]*judge.Bucket{},
		losses: map[string]*lossTally{}}
}

func extend[T any](s []T, i int) []T {
	for len(s) <= i {
		s = append(s, *new(T))
	}
	return s
}

// addLoss books a loss at a door.
func (b *Book) addLoss(part string, gain, asked, now float64, at int) {
	t := b.losses[part]
	if t == nil {
		t = &lossTally{doors: map[int]float64{}}
		b.losses[part] = t
	}
	t.gain += gain
	t.count++
	w := int(asked / windowMs)
	t.windows = extend(t.windows, w)
	t.windows[w] += gain
	t.doors[at] += gain
	if d := b.doors[at]; d != nil {
		d.dropOld(now)
		t.age += now - d.started
		t.answers += float64(len(d.recentAnswers))
		some := map[int]struct{}{}
		for _, c := range d.recentAnswers {
			some[c.backend] = struct{}{}
		}
		t.backends += float64(len(some))
	}
}

func (d *door) dropOld(now float64) {
	n := 0
	for n < len(d.recentAnswers) && d.recentAnswers[n].at < now-recentMs {
		n++
	}
	if n > 0 {
		d.recentAnswers = append(d.recentAnswers[:0], d.recentAnswers[n:]...)
	}
}

// Take takes in one event.
func (b *Book) Take(e *trace.Event) {
	switch e.Kind {
	case trace.Started:
		b.doors[e.Door] = &door{started: e.At}
	case trace.Asked:
		b.asked(e)
	case trace.Taken:
		b.tries[e.Try] = &openTry{request: e.Want, door: e.Door, customer: e.Customer, plan: e.Plan, units: e.Units}
		b.triesByWindow = extend(b.triesByWindow, int(e.At/windowMs))
		b.triesByWindow[int(e.At/windowMs)]++
		if w := b.requests[e.Want]; w != nil {
			w.door, w.lastOutcome = e.Door, neverAnswered
		}
	case trace.Sent:
		b.sent(e)
	case trace.Closed:
		if d := b.doors[e.Door]; d != nil && e.Result == gate.Finished {
			d.dropOld(e.At)
			d.recentAnswers = append(d.recentAnswers, backendAnswer{e.At, e.Backend})
		}
	case trace.Answered:
		b.answered(e)
	case trace.Left, trace.Dropped:
		delete(b.tries, e.Try)
	case trace.Died:
		for id, t := range b.tries {
			if t.door == e.Door {
				if w := b.requests[t.request]; w != nil {
					w.lastOutcome = "door died"
				}
				delete(b.tries, id)
			}
		}
	case trace.Got:
		b.received(e)
	case trace.GaveUp:
		if w := b.requests[e.Want]; w != nil {
			if w.inQuota {
				b.addLoss(cmp.Or(w.lastOutcome, "found no door"), w.gain, w.askedAt, e.At, w.door)
			}
			delete(b.requests, e.Want)
		}
	case trace.Connected:
		b.counts.conns++
	case trace.Counted:
		b.counts.calls++
	case trace.Probed:
		b.counts.probes++
	}
}

func (b *Book) asked(e *trace.Event) {
	b.counts.first++
	p := &b.params.Plans[e.Plan]
	w := &clientRequest{askedAt: e.At, gain: b.params.Classes[e.Class].Gain * p.Price * e.Units, class: e.Class, door: -1}
	b.requests[e.Want] = w
	s := b.idealQuotas[e.Customer]
	if s == nil {
		s = &judge.Bucket{Level: p.Depth, At: e.At}
		b.idealQuotas[e.Customer] = s
	}
	if w.inQuota = p.Rate == 0 || s.Fill(e.At, p.Rate, p.Depth) >= e.Units-1e-9; w.inQuota {
		s.Level -= e.Units
		b.offeredByWindow = extend(b.offeredByWindow, int(e.At/windowMs))
		b.offeredByWindow[int(e.At/windowMs)] += w.gain
	}
}

func (b *Book) quotaOf(t *openTry, at float64) *judge.Bucket {
	s := b.quotas[t.customer]
	if s == nil {
		s = &judge.Bucket{Level: b.params.Plans[t.plan].Depth, At: at}
		b.quotas[t.customer] = s
	}
	return s
}

func (b *Book) sent(e *trace.Event) {
	b.counts.sent++
	t := b.tries[e.Try]
	if t == nil || t.sent {
		return
	}
	t.sent = true
	p, w := &b.params.Plans[t.plan], b.requests[t.request]
	if s := b.quotaOf(t, e.At); p.Rate == 0 || s.Fill(e.At, p.Rate, p.Depth) >= t.units-1e-9 {
		s.Level -= t.units
	} else if w != nil {
		b.addLoss("sent beyond the quota", b.params.OverCost[t.plan]*w.gain, w.askedAt, e.At, e.Door)
	}
}

func (b *Book) answered(e *trace.Event) {
	t := b.tries[e.Try]
	if t == nil {
		return
	}
	delete(b.tries, e.Try)
	if e.Answer == trace.Finished {
		return
	}
	p := &b.params.Plans[t.plan]
	at := int(e.At / windowMs)
	b.withRoomByWindow = extend(b.withRoomByWindow, at)
	name := e.Answer.String() + ", " + e.Why.String()
	if e.Answer == trace.Rejected && p.Rate > 0 && b.quotaOf(t, e.At).Fill(e.At, p.Rate, p.Depth) >= minRoomShare*p.Depth {
		b.withRoomByWindow[at]++
		name += ", with room"
	}
	if w := b.requests[t.request]; w != nil {
		w.lastOutcome = name
	}
}

func (b *Book) received(e *trace.Event) {
	w := b.requests[e.Want]
	if w == nil || e.Answer != trace.Finished {
		return
	}
	if p := &b.params.Classes[w.class]; w.inQuota && e.At-w.askedAt > p.Contract {
		b.addLoss("late", w.gain*(1-p.LateValue), w.askedAt, e.At, w.door)
	}
	delete(b.requests, e.Want)
}

// Sum closes the book.
func (b *Book) Sum() *Account {
	a := &Account{}
	for _, g := range b.offeredByWindow {
		a.Offered += g
	}
	each := 1 / max(1, float64(b.counts.first))
	a.Connections, a.Calls = float64(b.counts.conns)*each, float64(b.counts.calls)*each
	a.Probes, a.Attempts = float64(b.counts.probes)*each, float64(b.counts.sent)*each
	for name, t := range b.losses {
		n := float64(t.count)
		p := Loss{Name: name, Gain: t.gain, Share: t.gain / max(1e-9, a.Offered), Count: t.count, Doors: len(t.doors), Age: t.age / n / 1000,
			RecentAnswers: t.answers / n, RecentBackends: t.backends / n}
		for i, g := range t.windows {
			share := 0.0
			if i < len(b.offeredByWindow) && b.offeredByWindow[i] > 0 {
				share = g / b.offeredByWindow[i]
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
				p.TopTenth += by[k] / t.gain
			}
		}
		a.Parts = append(a.Parts, p)
	}
	slices.SortFunc(a.Parts, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Gain, x.Gain), cmp.Compare(x.Name, y.Name))
	})
	for i, n := range b.triesByWindow {
		share := 0.0
		if i < len(b.withRoomByWindow) && n > 0 {
			share = float64(b.withRoomByWindow[i]) / float64(n)
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
		fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%s\n", p.Name, p.Share, p.Count, p.Doors, p.TopTenth, p.Age, p.RecentAnswers, p.RecentBackends, by)
	}
	var by string
	for _, x := range a.WithRoom {
		by += fmt.Sprintf(" %.3f", x)
	}
	fmt.Fprintf(t, "rejected with room, of all tries, by 10 s:%s\n", by)
	fmt.Fprintf(t, "for each first try: connections %.3f, counter calls %.3f, probes %.3f, transmissions %.3f\n", a.Connections, a.Calls, a.Probes,
		a.Attempts)
}
