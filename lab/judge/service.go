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
	deal    *Deal
	Seconds []Second
	Plans   []Tally
	Profs   []Tally
	Whole   Tally
	Costs   Costs
	Latency []*hdrhistogram.Histogram // by class, of requests answered well, in µs

	requests      map[int]*clientRequest
	spareRequests []*clientRequest
	tries         map[int]*billedTry
	spareTries    []*billedTry
	idealQuotas   map[int]*Bucket // what one door that saw all first tries would let in
	quotas        map[int]*quotaState
	recent        *hdrhistogram.Histogram
	currentSecond int
}

type clientRequest struct {
	askedAt               float64
	customer, plan, class int
	gain                  float64
}

type billedTry struct {
	request, door, customer, plan int
	units, acceptedAt, deadline   float64
	sent, inQuota, arrived        bool
	inFlight                      map[int]struct{}
}

type quotaState struct {
	Bucket
	inFlight int
}

const (
	histMost       = 600e6 // µs; no client waits longer
	histDigits     = 3
	windowS        = 10  // s of the worst window
	minWindowOffer = 0.2 // share of the mean offer under which a window is too thin to be the worst
)

func NewService(d *Deal) *Service {
	s := &Service{deal: d, Plans: make([]Tally, len(d.Plans)), Profs: make([]Tally, len(d.Classes)),
		requests: map[int]*clientRequest{}, tries: map[int]*billedTry{}, idealQuotas: map[int]*Bucket{}, quotas: map[int]*quotaState{},
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
func (s *Service) tallies(w *clientRequest) [4]*Tally {
	return [4]*Tally{&s.Whole, &s.Plans[w.plan], &s.Profs[w.class], &s.second(w.askedAt).Tally}
}

func reuseOrNew[T any](spare *[]*T) *T {
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
	case trace.Taken:
		s.Costs.Tries++
		t := reuseOrNew(&s.spareTries)
		t.request, t.door, t.customer, t.plan = e.Want, e.Door, e.Customer, e.Plan
		t.units, t.acceptedAt, t.deadline = e.Units, e.At, e.Until
		s.tries[e.Try] = t
	case trace.Sent:
		s.sent(e)
	case trace.Came:
		if t := s.tries[e.Try]; t != nil {
			t.arrived = true
		}
	case trace.Closed:
		if t := s.tries[e.Try]; t != nil {
			s.closeAttempt(t, e.Number)
		}
	case trace.Answered:
		s.answered(e)
	case trace.Got:
		s.received(e)
	case trace.GaveUp:
		if w := s.requests[e.Want]; w != nil {
			for _, t := range s.tallies(w) {
				t.Unserved++
			}
			s.removeRequest(e.Want, w)
		}
	case trace.Left, trace.Dropped:
		s.endTry(e.Try)
	case trace.Died:
		for id, t := range s.tries {
			if t.door == e.Door {
				s.endTry(id)
			}
		}
	case trace.Counted:
		s.Costs.CounterCalls++
	case trace.Probed:
		s.Costs.Probes++
	case trace.Connected:
		s.Costs.Connections++
	case trace.Fell:
		s.Costs.Fallen++
	case trace.Wasted:
		s.Costs.WastedMs += e.Work
	case trace.Worked:
		s.Costs.WorkMs += e.Work
	case trace.Ran:
		if e.Twice {
			s.Costs.EffectsTwice++
		}
	case trace.Over:
		s.advanceTo(len(s.Seconds) + 1)
		for id, w := range s.requests {
			for _, t := range s.tallies(w) {
				t.Unserved++
			}
			s.removeRequest(id, w)
		}
	}
}

func (s *Service) removeRequest(id int, w *clientRequest) {
	delete(s.requests, id)
	s.spareRequests = append(s.spareRequests, w)
}

func (s *Service) asked(e *trace.Event) {
	s.Costs.FirstTries++
	p := &s.deal.Plans[e.Plan]
	w := reuseOrNew(&s.spareRequests)
	w.askedAt, w.customer, w.plan, w.class = e.At, e.Customer, e.Plan, e.Class
	w.gain = s.deal.Classes[e.Class].Gain * p.Price * e.Units
	s.requests[e.Want] = w
	b := s.idealQuotas[e.Customer]
	if b == nil {
		b = &Bucket{Level: p.Depth, At: e.At, plan: e.Plan}
		s.idealQuotas[e.Customer] = b
	}
	inside := p.Rate == 0 || b.Fill(e.At, p.Rate, p.Depth) >= e.Units-1e-9
	if inside {
		b.Level -= e.Units
	}
	for _, t := range s.tallies(w) {
		t.Asked++
		if inside {
			t.Offered += w.gain
		}
	}
}

func (s *Service) quotaOf(customer, plan int, at float64) *quotaState {
	q := s.quotas[customer]
	if q == nil {
		q = &quotaState{Bucket: Bucket{Level: s.deal.Plans[plan].Depth, At: at, plan: plan}}
		s.quotas[customer] = q
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
		t.inQuota = (p.Rate == 0 || q.Fill(e.At, p.Rate, p.Depth) >= t.units-1e-9) && (p.MaxConcurrent == 0 || q.inFlight < p.MaxConcurrent)
		s.Costs.SentUnits += t.units
		if t.inQuota {
			q.Level -= t.units
		} else {
			s.Costs.BeyondUnits += t.units
			s.charge(t.request, s.deal.OverCost[t.plan], true)
		}
	}
	if t.inFlight == nil {
		t.inFlight = map[int]struct{}{}
	}
	t.inFlight[e.Number] = struct{}{}
	q.inFlight++
}

// charge takes a share of a request's gain off.
func (s *Service) charge(id int, share float64, over bool) {
	w := s.requests[id]
	if w == nil {
		return
	}
	for _, t := range s.tallies(w) {
		t.Earned -= share * w.gain
		if over {
			t.Over += share * w.gain
		}
	}
}

func (s *Service) closeAttempt(t *billedTry, number int) {
	if _, out := t.inFlight[number]; out {
		delete(t.inFlight, number)
		s.quotas[t.customer].inFlight--
	}
}

func (s *Service) endTry(id int) {
	t := s.tries[id]
	if t == nil {
		return
	}
	for number := range t.inFlight {
		s.closeAttempt(t, number)
	}
	delete(s.tries, id)
	s.spareTries = append(s.spareTries, t)
}

const (
	minRoomShare  = 0.5 // of the depth unused, with which a rejection counts as one with room
	heldBackShare = 0.5 // of its time, after which giving up what was never sent is priced
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
		if q := s.quotaOf(t.customer, t.plan, e.At); p.Rate > 0 && q.Fill(e.At, p.Rate, p.Depth) >= minRoomShare*p.Depth {
			s.Costs.WithRoom++
		}
	} else {
		s.Costs.Failed++
		sec.Failed++
	}
	if !t.arrived && e.At-t.acceptedAt > heldBackShare*(t.deadline-t.acceptedAt) {
		s.Costs.HeldBack++
		s.charge(t.request, s.deal.Prices.HeldBack, false)
	}
	s.endTry(e.Try)
}

func (s *Service) received(e *trace.Event) {
	t, w := s.tries[e.Try], s.requests[e.Want]
	if e.Answer != trace.Finished || w == nil {
		return
	}
	s.advanceTo(int(e.At / 1000))
	took := e.At - w.askedAt
	us := max(1, min(histMost, int64(math.Round(took*1000))))
	s.Latency[w.class].RecordValue(us)
	s.recent.RecordValue(us)
	inTime := took <= s.deal.Classes[w.class].Contract
	value := s.deal.Classes[w.class].LateValue
	if inTime {
		value = 1
	}
	if t != nil && !t.inQuota {
		value = 0 // beyond its quota
	}
	for _, ta := range s.tallies(w) {
		ta.Earned += value * w.gain
		if inTime {
			ta.InTime++
		} else {
			ta.Late++
		}
	}
	s.removeRequest(e.Want, w)
	s.endTry(e.Try)
}

// advanceTo closes the seconds before the present one.
func (s *Service) advanceTo(present int) {
	if present <= s.currentSecond {
		return
	}
	if s.recent.TotalCount() > 0 {
		sec := s.second(float64(s.currentSecond) * 1000)
		sec.P50, sec.P99 = float64(s.recent.ValueAtQuantile(50))/1000, float64(s.recent.ValueAtQuantile(99))/1000
		s.recent.Reset()
	}
	s.currentSecond = present
	rate, depth := func(p int) float64 { return s.deal.Plans[p].Rate }, func(p int) float64 { return s.deal.Plans[p].Depth }
	removeFull(s.idealQuotas, float64(present)*1000, rate, depth)
	for c, q := range s.quotas {
		if q.inFlight == 0 && q.Level+rate(q.plan)*(float64(present)*1000-q.At) >= depth(q.plan) {
			delete(s.quotas, c)
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
	span := min(windowS, last)
	for at := 0; at+span <= last; at++ {
		var w Tally
		for i := at; i < at+span; i++ {
			w.Offered += s.Seconds[i].Offered
			w.Earned += s.Seconds[i].Earned
		}
		if share := w.share(); w.Offered > minWindowOffer*mean*float64(span) && share < p.WorstWindow {
			p.WorstWindow, p.WorstAt = share, at
		}
	}
	for i := range s.Profs {
		p.WorstClass = min(p.WorstClass, s.Profs[i].share())
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

// Judge is both.
type Judge struct {
	Rules   *Checker
	Service *Service
	Events  int
}

func New(d *Deal) *Judge { return &Judge{Rules: NewChecker(d), Service: NewService(d)} }

func (j *Judge) Take(e *trace.Event) {
	j.Events++
	j.Rules.Take(e)
	j.Service.Take(e)
}
