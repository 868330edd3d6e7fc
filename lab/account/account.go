// Package account breaks down the gain that a run lost by cause: how much was lost, when, at which doors, and in which state the
// doors were. It reads the trace; of the decisions it uses only the cause given with a rejection.
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

// Loss is the gain lost to one cause.
type Loss struct {
	Name           string    `json:"name"`
	Gain           float64   `json:"gain"`  // gain lost
	Share          float64   `json:"share"` // of the gain offered within the quotas
	Count          int       `json:"operations"`
	Windows        []float64 `json:"by_10_s"`         // share of the gain offered in each window
	Doors          int       `json:"doors"`           // doors at which it occurred
	TopTenth       float64   `json:"top_tenth"`       // share of it at the tenth of all doors with the largest losses
	Age            float64   `json:"age_s"`           // mean time since the start of the door, s
	RecentAnswers  float64   `json:"answers_lately"`  // mean number of answers that the door received from backends in the 5 s before
	RecentBackends float64   `json:"backends_lately"` // mean number of backends that those answers came from
}

// Account is the breakdown of the lost gain of one run.
type Account struct {
	Offered float64 `json:"offered"` // gain offered within the quotas
	Parts   []Loss  `json:"parts"`
	// WithRoom is, by window, the share of tries that were rejected while at least half of the customer's quota was unused.
	WithRoom []float64 `json:"rejected_with_room_by_10_s"`
	// Connections, Calls (to the counter), Probes and Attempts are numbers per first try.
	Connections, Calls, Probes float64
	Attempts                   float64 `json:"Transmissions"` // key of results written by earlier versions
}

const (
	windowMs      = 10e3 // ms, length of a window
	recentMs      = 5e3  // ms for which a door's latest answers are counted
	minRoomShare  = 0.5  // share of the quota's depth that must be unused for a rejection to count as one with room
	neverAnswered = "never answered"
)

// Collector builds the account of a run from its trace.
type Collector struct {
	params           *judge.Params
	doors            map[int]*door
	requests         map[int]*clientRequest
	tries            map[int]*openTry
	quotas           map[int]*judge.Bucket
	idealQuotas      map[int]*judge.Bucket
	losses           map[string]*lossTally
	offeredByWindow  []float64 // gain offered within the quotas
	triesByWindow    []int
	withRoomByWindow []int
	counts           struct{ first, conns, calls, probes, sent int }
}

// clientRequest is a client's request, over all of its tries, that has no final outcome yet.
type clientRequest struct {
	askedAt, gain float64
	inQuota       bool
	class         int
	lastOutcome   string // how its latest try ended: the name of the loss if the client gives up
	door          int    // that accepted its latest try, -1 before
}

// openTry is a try that a door has accepted and that has not ended yet.
type openTry struct {
	request, door, customer, plan int
	units                         float64
	sent                          bool
}

type door struct {
	started       float64
	recentAnswers []backendAnswer // answers from backends within recentMs
}

type backendAnswer struct {
	at      float64
	backend int
}

// lossTally sums up the losses of one cause. Ages, answers and backends are sums over them.
type lossTally struct {
	gain, age, answers, backends float64
	count                        int
	windows                      []float64
	doors                        map[int]float64
}

// NewCollector returns a collector for a run with these parameters.
func NewCollector(d *judge.Params) *Collector {
	return &Collector{params: d, doors: map[int]*door{}, requests: map[int]*clientRequest{}, tries: map[int]*openTry{},
		quotas: map[int]*judge.Bucket{}, idealQuotas: map[int]*judge.Bucket{}, losses: map[string]*lossTally{}}
}

// extend appends zero values until index i exists.
func extend[T any](s []T, i int) []T {
	for len(s) <= i {
		s = append(s, *new(T))
	}
	return s
}

// addLoss adds a loss at a door to those of its cause.
func (b *Collector) addLoss(cause string, gain, asked, now float64, at int) {
	t := b.losses[cause]
	if t == nil {
		t = &lossTally{doors: map[int]float64{}}
		b.losses[cause] = t
	}
	t.gain += gain
	t.count++
	window := int(asked / windowMs)
	t.windows = extend(t.windows, window)
	t.windows[window] += gain
	t.doors[at] += gain
	if d := b.doors[at]; d != nil {
		d.dropOld(now)
		t.age += now - d.started
		t.answers += float64(len(d.recentAnswers))
		distinct := map[int]struct{}{}
		for _, a := range d.recentAnswers {
			distinct[a.backend] = struct{}{}
		}
		t.backends += float64(len(distinct))
	}
}

// dropOld removes the answers that are older than recentMs.
func (d *door) dropOld(now float64) {
	n := 0
	for n < len(d.recentAnswers) && d.recentAnswers[n].at < now-recentMs {
		n++
	}
	if n > 0 {
		d.recentAnswers = append(d.recentAnswers[:0], d.recentAnswers[n:]...)
	}
}

// Take accounts for one event.
func (b *Collector) Take(e *trace.Event) {
	switch e.Kind {
	case trace.DoorStarted:
		b.doors[e.Door] = &door{started: e.At}
	case trace.Asked:
		b.asked(e)
	case trace.Accepted:
		b.tries[e.Try] = &openTry{request: e.Request, door: e.Door, customer: e.Customer, plan: e.Plan, units: e.Units}
		b.triesByWindow = extend(b.triesByWindow, int(e.At/windowMs))
		b.triesByWindow[int(e.At/windowMs)]++
		if req := b.requests[e.Request]; req != nil {
			req.door, req.lastOutcome = e.Door, neverAnswered
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
	case trace.ClientLeft, trace.Dropped:
		delete(b.tries, e.Try)
	case trace.DoorDied:
		for id, t := range b.tries {
			if t.door == e.Door {
				if req := b.requests[t.request]; req != nil {
					req.lastOutcome = "door died"
				}
				delete(b.tries, id)
			}
		}
	case trace.Received:
		b.received(e)
	case trace.GaveUp:
		if req := b.requests[e.Request]; req != nil {
			if req.inQuota {
				b.addLoss(cmp.Or(req.lastOutcome, "found no door"), req.gain, req.askedAt, e.At, req.door)
			}
			delete(b.requests, e.Request)
		}
	case trace.Connected:
		b.counts.conns++
	case trace.CounterCalled:
		b.counts.calls++
	case trace.Probed:
		b.counts.probes++
	}
}

// asked adds a request, as offered only if it is within the customer's ideal quota.
func (b *Collector) asked(e *trace.Event) {
	b.counts.first++
	p := &b.params.Plans[e.Plan]
	req := &clientRequest{askedAt: e.At, gain: b.params.Classes[e.Class].Gain * p.Price * e.Units, class: e.Class, door: -1}
	b.requests[e.Request] = req
	s := b.idealQuotas[e.Customer]
	if s == nil {
		s = &judge.Bucket{Level: p.Depth, At: e.At}
		b.idealQuotas[e.Customer] = s
	}
	if req.inQuota = p.Rate == 0 || s.Fill(e.At, p.Rate, p.Depth) >= e.Units-1e-9; req.inQuota {
		s.Level -= e.Units
		b.offeredByWindow = extend(b.offeredByWindow, int(e.At/windowMs))
		b.offeredByWindow[int(e.At/windowMs)] += req.gain
	}
}

// quotaOf returns the customer's quota as charged for what doors have sent.
func (b *Collector) quotaOf(t *openTry, at float64) *judge.Bucket {
	s := b.quotas[t.customer]
	if s == nil {
		s = &judge.Bucket{Level: b.params.Plans[t.plan].Depth, At: at}
		b.quotas[t.customer] = s
	}
	return s
}

// sent charges the first attempt of a try to the customer's quota.
func (b *Collector) sent(e *trace.Event) {
	b.counts.sent++
	t := b.tries[e.Try]
	if t == nil || t.sent {
		return
	}
	t.sent = true
	p, req := &b.params.Plans[t.plan], b.requests[t.request]
	if s := b.quotaOf(t, e.At); p.Rate == 0 || s.Fill(e.At, p.Rate, p.Depth) >= t.units-1e-9 {
		s.Level -= t.units
	} else if req != nil {
		b.addLoss("sent beyond the quota", b.params.OverQuotaCost[t.plan]*req.gain, req.askedAt, e.At, e.Door)
	}
}

// answered ends a try and remembers a rejection or failure as the latest outcome of its request.
func (b *Collector) answered(e *trace.Event) {
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
	name := e.Answer.String() + ", " + e.Cause.String()
	if e.Answer == trace.Rejected && p.Rate > 0 && b.quotaOf(t, e.At).Fill(e.At, p.Rate, p.Depth) >= minRoomShare*p.Depth {
		b.withRoomByWindow[at]++
		name += ", with room"
	}
	if req := b.requests[t.request]; req != nil {
		req.lastOutcome = name
	}
}

// received ends a request with the answer that the client received.
func (b *Collector) received(e *trace.Event) {
	req := b.requests[e.Request]
	if req == nil || e.Answer != trace.Finished {
		return
	}
	if p := &b.params.Classes[req.class]; req.inQuota && e.At-req.askedAt > p.Contract {
		b.addLoss("late", req.gain*(1-p.LateValue), req.askedAt, e.At, req.door)
	}
	delete(b.requests, e.Request)
}

// Sum returns the account of all events so far.
func (b *Collector) Sum() *Account {
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

// Print writes the account to w as a table.
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
