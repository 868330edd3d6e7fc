package judge

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/swifthall/swifthall/lab/trace"
)

// Goal weighs the parts of G, the score of a run.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstPlan float64 }

// Prices are what the costs of a run take off G.
type Prices struct{ Counter, Probe, Cross, Waste, Handshake, HeldBack float64 }

// Tally counts the outcomes of client requests.
type Tally struct {
	Asked    int     `json:"asked"`     // requests
	InTime   int     `json:"in_time"`   // answered within the contract time
	Late     int     `json:"late"`      // answered later
	Unserved int     `json:"unserved"`  // never answered successfully
	Offered  float64 `json:"offered"`   // gain of the requests within the quotas
	Earned   float64 `json:"earned"`    // gain of the answers, less the cost of requests sent beyond the quotas and of those held back
	Over     float64 `json:"over_cost"` // cost of requests sent beyond the quotas, already deducted from Earned
}

// share returns the share of the offered gain that was earned, 0 to 1.
func (t *Tally) share() float64 {
	if t.Offered <= 0 {
		return 1
	}
	return max(0, min(1, t.Earned/t.Offered))
}

// Second covers one second of a run. Its tally counts requests by the time of their first try; Rejected, Failed and the latencies
// go by the time of the answer.
type Second struct {
	Tally
	Rejected int     `json:"rejected"`
	Failed   int     `json:"scrapped"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Costs counts the resources that a run used and the harm that it did.
type Costs struct {
	FirstTries   int     `json:"first_tries"`
	Tries        int     `json:"tries"`
	Attempts     int     `json:"transmissions"`
	Crossing     int     `json:"crossing"` // attempts sent to another zone
	CounterCalls int     `json:"counter_calls"`
	Probes       int     `json:"probes"`
	Connections  int     `json:"connections"`
	WorkMs       float64 `json:"work_ms"`       // of backends, with a result that was awaited
	WastedMs     float64 `json:"wasted_ms"`     // of backends, with a result that was lost or no longer awaited
	EffectsTwice int     `json:"effects_twice"` // effects that happened more than once, whether or not a door is to blame
	BeyondUnits  float64 `json:"beyond_units"`  // units sent beyond quotas
	SentUnits    float64 `json:"sent_units"`
	WithRoom     int     `json:"rejected_with_room"` // rejections while at least half of the customer's quota was unused
	Rejected     int     `json:"rejected"`
	Failed       int     `json:"scrapped"`
	HeldBack     int     `json:"held_back"` // late rejections and failures without an attempt at a backend
	Fallen       int     `json:"fallen"`    // cold backends that collapsed, whether or not a door is to blame
}

// Service computes G, the score of a run, from its trace.
type Service struct {
	params  *Params
	Seconds []Second
	Plans   []Tally // by plan
	Classes []Tally // by class
	Whole   Tally   // of all requests
	Costs   Costs
	Latency []*hdrhistogram.Histogram // by class, of successful answers, in µs

	requests      map[int]*clientRequest
	spareRequests []*clientRequest
	tries         map[int]*billedTry
	spareTries    []*billedTry
	idealQuotas   map[int]*Bucket // by customer: the quota as a single door that saw every first try would charge it
	quotas        map[int]*quotaState
	recent        *hdrhistogram.Histogram
	currentSecond int
}

// clientRequest is a client's request, over all of its tries, that has no final outcome yet.
type clientRequest struct {
	askedAt               float64
	customer, plan, class int
	gain                  float64
}

// billedTry is a try that a door has accepted and that has not ended yet.
type billedTry struct {
	request, door, customer, plan int
	units, acceptedAt, deadline   float64
	sent, inQuota, arrived        bool
	inFlight                      map[int]struct{}
}

// quotaState is a customer's quota as charged for what doors have sent.
type quotaState struct {
	Bucket
	inFlight int
}

const (
	maxLatencyUs   = 600e6 // µs, the upper limit of the histograms; no client waits longer
	histDigits     = 3     // significant digits of the histograms
	windowS        = 10    // s, length of the windows of which the worst counts
	minWindowOffer = 0.2   // share of the mean offered gain below which a window is too small to count as the worst
)

// NewService returns the score computation for a run with these parameters.
func NewService(d *Params) *Service {
	s := &Service{params: d, Plans: make([]Tally, len(d.Plans)), Classes: make([]Tally, len(d.Classes)),
		requests: map[int]*clientRequest{}, tries: map[int]*billedTry{}, idealQuotas: map[int]*Bucket{}, quotas: map[int]*quotaState{},
		recent: hdrhistogram.New(1, maxLatencyUs, 2)}
	for range d.Classes {
		s.Latency = append(s.Latency, hdrhistogram.New(1, maxLatencyUs, histDigits))
	}
	return s
}

// second returns the second that contains a time.
func (s *Service) second(at float64) *Second {
	i := int(max(0, at) / 1000)
	for len(s.Seconds) <= i {
		s.Seconds = append(s.Seconds, Second{})
	}
	return &s.Seconds[i]
}

// tallies returns the tallies in which a request is counted.
func (s *Service) tallies(req *clientRequest) [4]*Tally {
	return [4]*Tally{&s.Whole, &s.Plans[req.plan], &s.Classes[req.class], &s.second(req.askedAt).Tally}
}

// reuseOrNew returns a zeroed value, taken from the spare ones if there are any.
func reuseOrNew[T any](spare *[]*T) *T {
	if n := len(*spare); n > 0 {
		t := (*spare)[n-1]
		*spare = (*spare)[:n-1]
		*t = *new(T)
		return t
	}
	return new(T)
}

// Take accounts for one event.
func (s *Service) Take(e *trace.Event) {
	switch e.Kind {
	case trace.Asked:
		s.asked(e)
	case trace.Accepted:
		s.Costs.Tries++
		t := reuseOrNew(&s.spareTries)
		t.request, t.door, t.customer, t.plan = e.Request, e.Door, e.Customer, e.Plan
		t.units, t.acceptedAt, t.deadline = e.Units, e.At, e.Deadline
		s.tries[e.Try] = t
	case trace.Sent:
		s.sent(e)
	case trace.Arrived:
		if t := s.tries[e.Try]; t != nil {
			t.arrived = true
		}
	case trace.Closed:
		if t := s.tries[e.Try]; t != nil {
			s.closeAttempt(t, e.Attempt)
		}
	case trace.Answered:
		s.answered(e)
	case trace.Received:
		s.received(e)
	case trace.GaveUp:
		if req := s.requests[e.Request]; req != nil {
			for _, t := range s.tallies(req) {
				t.Unserved++
			}
			s.removeRequest(e.Request, req)
		}
	case trace.ClientLeft, trace.Dropped:
		s.endTry(e.Try)
	case trace.DoorDied:
		for id, t := range s.tries {
			if t.door == e.Door {
				s.endTry(id)
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
		s.advanceTo(len(s.Seconds) + 1)
		for id, req := range s.requests {
			for _, t := range s.tallies(req) {
				t.Unserved++
			}
			s.removeRequest(id, req)
		}
	}
}

func (s *Service) removeRequest(id int, req *clientRequest) {
	delete(s.requests, id)
	s.spareRequests = append(s.spareRequests, req)
}

// asked counts a request and its gain, the latter as offered only within the customer's ideal quota.
func (s *Service) asked(e *trace.Event) {
	s.Costs.FirstTries++
	p := &s.params.Plans[e.Plan]
	req := reuseOrNew(&s.spareRequests)
	req.askedAt, req.customer, req.plan, req.class = e.At, e.Customer, e.Plan, e.Class
	req.gain = s.params.Classes[e.Class].Gain * p.Price * e.Units
	s.requests[e.Request] = req
	b := s.idealQuotas[e.Customer]
	if b == nil {
		b = &Bucket{Level: p.Depth, At: e.At, plan: e.Plan}
		s.idealQuotas[e.Customer] = b
	}
	inside := p.Rate == 0 || b.Fill(e.At, p.Rate, p.Depth) >= e.Units-1e-9
	if inside {
		b.Level -= e.Units
	}
	for _, t := range s.tallies(req) {
		t.Asked++
		if inside {
			t.Offered += req.gain
		}
	}
}

// quotaOf returns a customer's quota, full if it is new.
func (s *Service) quotaOf(customer, plan int, at float64) *quotaState {
	q := s.quotas[customer]
	if q == nil {
		q = &quotaState{Bucket: Bucket{Level: s.params.Plans[plan].Depth, At: at, plan: plan}}
		s.quotas[customer] = q
	}
	return q
}

// sent charges the first attempt of a try to the customer's quota.
func (s *Service) sent(e *trace.Event) {
	s.Costs.Attempts++
	if e.Crosses {
		s.Costs.Crossing++
	}
	t := s.tries[e.Try]
	if t == nil {
		return
	}
	p := &s.params.Plans[t.plan]
	q := s.quotaOf(t.customer, t.plan, e.At)
	if !t.sent {
		t.sent = true
		t.inQuota = (p.Rate == 0 || q.Fill(e.At, p.Rate, p.Depth) >= t.units-1e-9) && (p.MaxConcurrent == 0 || q.inFlight < p.MaxConcurrent)
		s.Costs.SentUnits += t.units
		if t.inQuota {
			q.Level -= t.units
		} else {
			s.Costs.BeyondUnits += t.units
			s.charge(t.request, s.params.OverQuotaCost[t.plan], true)
		}
	}
	if t.inFlight == nil {
		t.inFlight = map[int]struct{}{}
	}
	t.inFlight[e.Attempt] = struct{}{}
	q.inFlight++
}

// charge deducts a share of a request's gain, as the cost of exceeding a quota if over is true.
func (s *Service) charge(id int, share float64, over bool) {
	req := s.requests[id]
	if req == nil {
		return
	}
	for _, t := range s.tallies(req) {
		t.Earned -= share * req.gain
		if over {
			t.Over += share * req.gain
		}
	}
}

func (s *Service) closeAttempt(t *billedTry, number int) {
	if _, out := t.inFlight[number]; out {
		delete(t.inFlight, number)
		s.quotas[t.customer].inFlight--
	}
}

// endTry removes a try and ends its attempts in flight.
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
	minRoomShare  = 0.5 // share of the quota's depth that must be unused for a rejection to count as one with room
	heldBackShare = 0.5 // share of a try's time after which a rejection or failure without an attempt at a backend counts as held back
)

// answered accounts for a rejection or a failure.
func (s *Service) answered(e *trace.Event) {
	t := s.tries[e.Try]
	if t == nil {
		return
	}
	if e.Answer == trace.Finished { // counted once the client has received it
		return
	}
	sec := s.second(e.At)
	if e.Answer == trace.Rejected {
		s.Costs.Rejected++
		sec.Rejected++
		p := &s.params.Plans[t.plan]
		if q := s.quotaOf(t.customer, t.plan, e.At); p.Rate > 0 && q.Fill(e.At, p.Rate, p.Depth) >= minRoomShare*p.Depth {
			s.Costs.WithRoom++
		}
	} else {
		s.Costs.Failed++
		sec.Failed++
	}
	if !t.arrived && e.At-t.acceptedAt > heldBackShare*(t.deadline-t.acceptedAt) {
		s.Costs.HeldBack++
		s.charge(t.request, s.params.Prices.HeldBack, false)
	}
	s.endTry(e.Try)
}

// received accounts for a successful answer that a client received.
func (s *Service) received(e *trace.Event) {
	t, req := s.tries[e.Try], s.requests[e.Request]
	if e.Answer != trace.Finished || req == nil {
		return
	}
	s.advanceTo(int(e.At / 1000))
	took := e.At - req.askedAt
	us := max(1, min(maxLatencyUs, int64(math.Round(took*1000))))
	s.Latency[req.class].RecordValue(us)
	s.recent.RecordValue(us)
	inTime := took <= s.params.Classes[req.class].Contract
	value := s.params.Classes[req.class].LateValue
	if inTime {
		value = 1
	}
	if t != nil && !t.inQuota {
		value = 0 // sent beyond its quota
	}
	for _, tally := range s.tallies(req) {
		tally.Earned += value * req.gain
		if inTime {
			tally.InTime++
		} else {
			tally.Late++
		}
	}
	s.removeRequest(e.Request, req)
	s.endTry(e.Try)
}

// advanceTo sets the current second, records the latencies of the one before, and removes full quotas.
func (s *Service) advanceTo(second int) {
	if second <= s.currentSecond {
		return
	}
	if s.recent.TotalCount() > 0 {
		sec := s.second(float64(s.currentSecond) * 1000)
		sec.P50, sec.P99 = float64(s.recent.ValueAtQuantile(50))/1000, float64(s.recent.ValueAtQuantile(99))/1000
		s.recent.Reset()
	}
	s.currentSecond = second
	rate, depth := func(p int) float64 { return s.params.Plans[p].Rate }, func(p int) float64 { return s.params.Plans[p].Depth }
	removeFull(s.idealQuotas, float64(second)*1000, rate, depth)
	for customer, q := range s.quotas {
		if q.inFlight == 0 && q.Level+rate(q.plan)*(float64(second)*1000-q.At) >= depth(q.plan) {
			delete(s.quotas, customer)
		}
	}
}

// Parts are the parts of G. Shares are of the gain offered.
type Parts struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstAt     int     `json:"worst_window_at_s"`
	WorstClass  float64 `json:"worst_profile"`
	WorstPlan   float64 `json:"worst_plan"`
	Prices      float64 `json:"prices"`
	G           float64 `json:"g"`
}

// Parts computes G and its parts. Requests first tried after the end of the run are in no window.
func (s *Service) Parts() Parts {
	p := Parts{Whole: s.Whole.share(), WorstWindow: 1, WorstClass: 1, WorstPlan: 1}
	last := min(len(s.Seconds), int(math.Ceil(s.params.Seconds)))
	mean := s.Whole.Offered / max(1, s.params.Seconds)
	span := min(windowS, last)
	for at := 0; at+span <= last; at++ {
		var window Tally
		for i := at; i < at+span; i++ {
			window.Offered += s.Seconds[i].Offered
			window.Earned += s.Seconds[i].Earned
		}
		if share := window.share(); window.Offered > minWindowOffer*mean*float64(span) && share < p.WorstWindow {
			p.WorstWindow, p.WorstAt = share, at
		}
	}
	for i := range s.Classes {
		p.WorstClass = min(p.WorstClass, s.Classes[i].share())
	}
	for i := range s.Plans {
		p.WorstPlan = min(p.WorstPlan, s.Plans[i].share())
	}
	g, c, pr := s.params.Goal, &s.Costs, s.params.Prices
	each := 1 / max(1, float64(c.FirstTries))
	p.Prices = pr.Counter*min(1, float64(c.CounterCalls)*each) + pr.Probe*float64(c.Probes)*each + pr.Cross*float64(c.Crossing)*each +
		pr.Handshake*float64(c.Connections)*each + pr.Waste*c.WastedMs/max(1, c.WorkMs+c.WastedMs)
	sum := g.Whole + g.WorstWindow + g.WorstClass + g.WorstPlan
	p.G = (g.Whole*p.Whole+g.WorstWindow*p.WorstWindow+g.WorstClass*p.WorstClass+g.WorstPlan*p.WorstPlan)/sum - p.Prices
	return p
}

// Verifier checks the invariants and computes the score of one run.
type Verifier struct {
	Rules   *Checker
	Service *Service
	Events  int
}

// New returns a verifier for a run with these parameters.
func New(d *Params) *Verifier { return &Verifier{Rules: NewChecker(d), Service: NewService(d)} }

// Take accounts for one event.
func (j *Verifier) Take(e *trace.Event) {
	j.Events++
	j.Rules.Take(e)
	j.Service.Take(e)
}
