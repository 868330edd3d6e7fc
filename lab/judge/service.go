package judge

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/swifthall/swifthall/lab/trace"
)

// Goal weighs the parts of G; Prices are taken off.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstPlan float64 }

type Prices struct{ Counter, Probe, Cross, Waste, Handshake, HeldBack float64 }

// Tally counts what became of clients' requests.
type Tally struct {
	Asked    int     `json:"asked"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Unserved int     `json:"unserved"`
	Offered  float64 `json:"offered"`   // gain asked inside the quotas
	Earned   float64 `json:"earned"`    // gain answered in the contract time, less what beyond the quotas cost
	Over     float64 `json:"over_cost"` // of that, taken off
}

func (t *Tally) share() float64 {
	if t.Offered <= 0 {
		return 1
	}
	return max(0, min(1, t.Earned/t.Offered))
}

// Second is one second of the day, by the time at which requests were asked for; Rejected, Failed and the latencies
// by the time at which the answer came.
type Second struct {
	Tally
	Rejected int     `json:"rejected"`
	Failed   int     `json:"scrapped"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Costs counts what the service took.
type Costs struct {
	FirstTries   int     `json:"first_tries"`
	Tries        int     `json:"tries"`
	Attempts     int     `json:"transmissions"`
	Crossing     int     `json:"crossing"`
	CounterCalls int     `json:"counter_calls"`
	Probes       int     `json:"probes"`
	Connections  int     `json:"connections"`
	WorkMs       float64 `json:"work_ms"`
	WastedMs     float64 `json:"wasted_ms"`
	EffectsTwice int     `json:"effects_twice"` // counted, whoever is at fault
	BeyondUnits  float64 `json:"beyond_units"`
	SentUnits    float64 `json:"sent_units"`
	WithRoom     int     `json:"rejected_with_room"` // rejections while half of the customer's quota was unused
	Rejected     int     `json:"rejected"`
	Failed       int     `json:"scrapped"`
	HeldBack     int     `json:"held_back"`
	Fallen       int     `json:"fallen"` // cold backends that fell over, whoever is at fault
}

// Service measures G.
type Service struct {
	deal    *Params
	Seconds []Second
	Plans   []Tally
	Classes []Tally
	Whole   Tally
	Costs   Costs
	Latency []*hdrhistogram.Histogram // by class, of requests answered well, in µs

	wants   map[int]*want
	spareW  []*want
	tries   map[int]*sold
	spareT  []*sold
	ideal   map[int]*Store // what one door that saw all first tries would let in
	quota   map[int]*quota
	recent  *hdrhistogram.Histogram
	present int
}

type want struct {
	at                    float64
	customer, plan, class int
	worth                 float64
}

type sold struct {
	want, door, customer, plan int
	units, taken, until        float64
	sent, inside, came         bool
	out                        map[int]struct{}
}

type quota struct {
	Store
	out int
}

const (
	histMost   = 600e6 // µs; no client waits longer
	histDigits = 3
	windowSecs = 10  // s of the worst window
	thinWindow = 0.2 // share of the mean offer under which a window is too thin to be the worst
)

func NewService(d *Params) *Service {
	s := &Service{deal: d, Plans: make([]Tally, len(d.Plans)), Classes: make([]Tally, len(d.Classes)),
		wants: map[int]*want{}, tries: map[int]*sold{}, ideal: map[int]*Store{}, quota: map[int]*quota{},
		recent: hdrhistogram.New(1, histMost, 2)}
	for range d.Classes {
		s.Latency = append(s.Latency, hdrhistogram.New(1, histMost, histDigits))
	}
	return s
}

func (s *Service) second(at float64) *Second {
	i := int(max(0, at) / 1000)
	for len(s.Seconds) <= i {
		s.Seconds = append(s.Seconds, Second{})
	}
	return &s.Seconds[i]
}

// tallies are those that a request counts in.
func (s *Service) tallies(w *want) [4]*Tally {
	return [4]*Tally{&s.Whole, &s.Plans[w.plan], &s.Classes[w.class], &s.second(w.at).Tally}
}

func fresh[T any](spare *[]*T) *T {
	if n := len(*spare); n > 0 {
		t := (*spare)[n-1]
		*spare = (*spare)[:n-1]
		*t = *new(T)
		return t
	}
	return new(T)
}

// Take takes in one event.
func (s *Service) Take(e *trace.Event) {
	switch e.Kind {
	case trace.Asked:
		s.asked(e)
	case trace.Accepted:
		s.Costs.Tries++
		t := fresh(&s.spareT)
		t.want, t.door, t.customer, t.plan = e.Request, e.Door, e.Customer, e.Plan
		t.units, t.taken, t.until = e.Units, e.At, e.Deadline
		s.tries[e.Try] = t
	case trace.Sent:
		s.sent(e)
	case trace.Arrived:
		if t := s.tries[e.Try]; t != nil {
			t.came = true
		}
	case trace.Closed:
		if t := s.tries[e.Try]; t != nil {
			s.close(t, e.Attempt)
		}
	case trace.Answered:
		s.answered(e)
	case trace.Received:
		s.got(e)
	case trace.GaveUp:
		if w := s.wants[e.Request]; w != nil {
			for _, t := range s.tallies(w) {
				t.Unserved++
			}
			s.forget(e.Request, w)
		}
	case trace.ClientLeft, trace.Dropped:
		s.end(e.Try)
	case trace.DoorDied:
		for id, t := range s.tries {
			if t.door == e.Door {
				s.end(id)
			}
		}
	case trace.CounterCalled:
		s.Costs.CounterCalls++
	case trace.Probed:
		s.Costs.Probes++
	case trace.Connected:
		s.Costs.Connections++
	case trace.Collapsed:
		s.Costs.Fallen++
	case trace.Wasted:
		s.Costs.WastedMs += e.Work
	case trace.Worked:
		s.Costs.WorkMs += e.Work
	case trace.Ran:
		if e.Twice {
			s.Costs.EffectsTwice++
		}
	case trace.Ended:
		s.roll(len(s.Seconds) + 1)
		for id, w := range s.wants {
			for _, t := range s.tallies(w) {
				t.Unserved++
			}
			s.forget(id, w)
		}
	}
}

func (s *Service) forget(id int, w *want) {
	delete(s.wants, id)
	s.spareW = append(s.spareW, w)
}

func (s *Service) asked(e *trace.Event) {
	s.Costs.FirstTries++
	p := &s.deal.Plans[e.Plan]
	w := fresh(&s.spareW)
	w.at, w.customer, w.plan, w.class = e.At, e.Customer, e.Plan, e.Class
	w.worth = s.deal.Classes[e.Class].Gain * p.Price * e.Units
	s.wants[e.Request] = w
	b := s.ideal[e.Customer]
	if b == nil {
		b = &Store{Level: p.Depth, At: e.At, plan: e.Plan}
		s.ideal[e.Customer] = b
	}
	inside := p.Rate == 0 || b.Fill(e.At, p.Rate, p.Depth) >= e.Units-1e-9
	if inside {
		b.Level -= e.Units
	}
	for _, t := range s.tallies(w) {
		t.Asked++
		if inside {
			t.Offered += w.worth
		}
	}
}

func (s *Service) quotaOf(customer, plan int, at float64) *quota {
	q := s.quota[customer]
	if q == nil {
		q = &quota{Store: Store{Level: s.deal.Plans[plan].Depth, At: at, plan: plan}}
		s.quota[customer] = q
	}
	return q
}

func (s *Service) sent(e *trace.Event) {
	s.Costs.Attempts++
	if e.Crosses {
		s.Costs.Crossing++
	}
	t := s.tries[e.Try]
	if t == nil {
		return
	}
	p := &s.deal.Plans[t.plan]
	q := s.quotaOf(t.customer, t.plan, e.At)
	if !t.sent {
		t.sent = true
		t.inside = (p.Rate == 0 || q.Fill(e.At, p.Rate, p.Depth) >= t.units-1e-9) && (p.MaxConcurrent == 0 || q.out < p.MaxConcurrent)
		s.Costs.SentUnits += t.units
		if t.inside {
			q.Level -= t.units
		} else {
			s.Costs.BeyondUnits += t.units
			s.charge(t.want, s.deal.OverQuotaCost[t.plan], true)
		}
	}
	if t.out == nil {
		t.out = map[int]struct{}{}
	}
	t.out[e.Attempt] = struct{}{}
	q.out++
}

// charge takes a share of a request's gain off.
func (s *Service) charge(id int, share float64, over bool) {
	w := s.wants[id]
	if w == nil {
		return
	}
	for _, t := range s.tallies(w) {
		t.Earned -= share * w.worth
		if over {
			t.Over += share * w.worth
		}
	}
}

func (s *Service) close(t *sold, number int) {
	if _, out := t.out[number]; out {
		delete(t.out, number)
		s.quota[t.customer].out--
	}
}

func (s *Service) end(id int) {
	t := s.tries[id]
	if t == nil {
		return
	}
	for number := range t.out {
		s.close(t, number)
	}
	delete(s.tries, id)
	s.spareT = append(s.spareT, t)
}

const (
	roomShare = 0.5 // of the depth unused, with which a rejection counts as one with room
	heldShare = 0.5 // of its time, after which giving up what was never sent is priced
)

func (s *Service) answered(e *trace.Event) {
	t := s.tries[e.Try]
	if t == nil {
		return
	}
	if e.Answer == trace.Finished { // whether it counts is settled when the client has it
		return
	}
	sec := s.second(e.At)
	if e.Answer == trace.Rejected {
		s.Costs.Rejected++
		sec.Rejected++
		p := &s.deal.Plans[t.plan]
		if q := s.quotaOf(t.customer, t.plan, e.At); p.Rate > 0 && q.Fill(e.At, p.Rate, p.Depth) >= roomShare*p.Depth {
			s.Costs.WithRoom++
		}
	} else {
		s.Costs.Failed++
		sec.Failed++
	}
	if !t.came && e.At-t.taken > heldShare*(t.until-t.taken) {
		s.Costs.HeldBack++
		s.charge(t.want, s.deal.Prices.HeldBack, false)
	}
	s.end(e.Try)
}

func (s *Service) got(e *trace.Event) {
	t, w := s.tries[e.Try], s.wants[e.Request]
	if e.Answer != trace.Finished || w == nil {
		return
	}
	s.roll(int(e.At / 1000))
	took := e.At - w.at
	us := max(1, min(histMost, int64(math.Round(took*1000))))
	s.Latency[w.class].RecordValue(us)
	s.recent.RecordValue(us)
	inTime := took <= s.deal.Classes[w.class].Contract
	value := s.deal.Classes[w.class].LateValue
	if inTime {
		value = 1
	}
	if t != nil && !t.inside {
		value = 0 // beyond its quota
	}
	for _, ta := range s.tallies(w) {
		ta.Earned += value * w.worth
		if inTime {
			ta.InTime++
		} else {
			ta.Late++
		}
	}
	s.forget(e.Request, w)
	s.end(e.Try)
}

// roll closes the seconds before the present one.
func (s *Service) roll(present int) {
	if present <= s.present {
		return
	}
	if s.recent.TotalCount() > 0 {
		sec := s.second(float64(s.present) * 1000)
		sec.P50, sec.P99 = float64(s.recent.ValueAtQuantile(50))/1000, float64(s.recent.ValueAtQuantile(99))/1000
		s.recent.Reset()
	}
	s.present = present
	rate, depth := func(p int) float64 { return s.deal.Plans[p].Rate }, func(p int) float64 { return s.deal.Plans[p].Depth }
	forgetFull(s.ideal, float64(present)*1000, rate, depth)
	for c, q := range s.quota {
		if q.out == 0 && q.Level+rate(q.plan)*(float64(present)*1000-q.At) >= depth(q.plan) {
			delete(s.quota, c)
		}
	}
}

// Parts is what G is made of.
type Parts struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstAt     int     `json:"worst_window_at_s"`
	WorstClass  float64 `json:"worst_profile"`
	WorstPlan   float64 `json:"worst_plan"`
	Prices      float64 `json:"prices"`
	G           float64 `json:"g"`
}

// Parts weighs the day. Requests asked for after the day's end are not counted in its windows.
func (s *Service) Parts() Parts {
	p := Parts{Whole: s.Whole.share(), WorstWindow: 1, WorstClass: 1, WorstPlan: 1}
	last := min(len(s.Seconds), int(math.Ceil(s.deal.Seconds)))
	mean := s.Whole.Offered / max(1, s.deal.Seconds)
	span := min(windowSecs, last)
	for at := 0; at+span <= last; at++ {
		var w Tally
		for i := at; i < at+span; i++ {
			w.Offered += s.Seconds[i].Offered
			w.Earned += s.Seconds[i].Earned
		}
		if share := w.share(); w.Offered > thinWindow*mean*float64(span) && share < p.WorstWindow {
			p.WorstWindow, p.WorstAt = share, at
		}
	}
	for i := range s.Classes {
		p.WorstClass = min(p.WorstClass, s.Classes[i].share())
	}
	for i := range s.Plans {
		p.WorstPlan = min(p.WorstPlan, s.Plans[i].share())
	}
	g, c, pr := s.deal.Goal, &s.Costs, s.deal.Prices
	each := 1 / max(1, float64(c.FirstTries))
	p.Prices = pr.Counter*min(1, float64(c.CounterCalls)*each) + pr.Probe*float64(c.Probes)*each + pr.Cross*float64(c.Crossing)*each +
		pr.Handshake*float64(c.Connections)*each + pr.Waste*c.WastedMs/max(1, c.WorkMs+c.WastedMs)
	sum := g.Whole + g.WorstWindow + g.WorstClass + g.WorstPlan
	p.G = (g.Whole*p.Whole+g.WorstWindow*p.WorstWindow+g.WorstClass*p.WorstClass+g.WorstPlan*p.WorstPlan)/sum - p.Prices
	return p
}

// Verifier is both.
type Verifier struct {
	Rules   *Rules
	Service *Service
	Events  int
}

func New(d *Params) *Verifier { return &Verifier{Rules: NewRules(d), Service: NewService(d)} }

func (j *Verifier) Take(e *trace.Event) {
	j.Events++
	j.Rules.Take(e)
	j.Service.Take(e)
}
