package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// cleanHistory returns a history without violations: one door that is terminated, and one request that is answered.
func cleanHistory() *History {
	return &History{MaxDeadline: 2 * time.Second, DedupWindow: dedupWindow, DrainGrace: drainGrace,
		Requests:     []Request{{ID: "a", Sent: time.Second, Wait: time.Second, End: Answered, Ended: 1100 * time.Millisecond, Status: 200, Body: "a"}},
		Arrivals:     []Arrival{{ID: "a", FirstByte: 1010 * time.Millisecond, LastByte: 1010 * time.Millisecond, Remaining: 990 * time.Millisecond}},
		Incarnations: []Incarnation{{Ready: 20 * time.Millisecond, Term: 2 * time.Second, Kill: Never, Exited: 2700 * time.Millisecond}}}
}

func TestTheCheckerFindsEachPlantedViolation(t *testing.T) {
	assert.Empty(t, Check(cleanHistory()))
	at := func(s float64) Instant { return Instant(s * float64(time.Second)) }
	for name, c := range map[string]struct {
		rule  Rule
		plant func(*History)
	}{
		"never answered":                          {RuleLost, func(r *History) { r.Requests[0].End = TimedOut }},
		"answered too late":                       {RuleLost, func(r *History) { r.Requests[0].Ended = at(2.7) }},
		"forwarded, but closed without an answer": {RuleLost, func(r *History) { r.Requests[0].End = ConnClosed }},
		"read, but closed without an answer":      {RuleLost, func(r *History) { r.Requests[0].End, r.Requests[0].Ended, r.Arrivals = ConnClosed, at(1.3), nil }},
		"closed within its answer":                {RuleLost, func(r *History) { r.Requests[0].End = Partial }},
		"still open at the kill": {RuleLost, func(r *History) {
			r.Requests[0].End, r.Requests[0].Ended, r.Incarnations[0].Kill, r.Incarnations[0].Exited = ConnClosed, at(4.7), at(4.7), at(4.7)
		}},
		"attempt begun after the client closed": {RuleGone, func(r *History) {
			r.Requests[0].End, r.Requests[0].Ended, r.Arrivals[0].FirstByte = ClientClosed, at(1), at(1.16)
		}},
		"ran again when its id came again": {RuleDuplicate, func(r *History) {
			first := &r.Requests[0]
			first.Semantics, first.End, first.Ended, first.Until = NonIdempotent, ClientClosed, at(1.05), at(1.2)
			r.Requests = append(r.Requests, Request{ID: "a", Semantics: NonIdempotent, Began: at(1.2), Sent: at(1.2), Wait: time.Second, End: Answered, Ended: at(1.3), Status: 200, Body: "a"})
			r.Arrivals = append(r.Arrivals, Arrival{ID: "a", FirstByte: at(1.25), LastByte: at(1.25), Remaining: at(0.9)})
		}},
		"ran in two zones": {RuleDuplicate, func(r *History) {
			r.ZoneScope, r.Requests[0].Semantics, r.Arrivals[0].Zone = true, Keyed, "a"
			r.Arrivals = append(r.Arrivals, r.Arrivals[0])
			r.Arrivals[1].Zone = "b"
		}},
		"ran twice": {RuleDuplicate, func(r *History) {
			r.Requests[0].Semantics, r.Arrivals = NonIdempotent, append(r.Arrivals, r.Arrivals[0])
		}},
		"repeated after the deduplication window": {RuleDuplicate, func(r *History) {
			r.Requests[0].Semantics = Keyed
			r.Arrivals = append(r.Arrivals, Arrival{ID: "a", FirstByte: at(3.1), LastByte: at(3.1)})
		}},
		"given more time than was left": {RuleDeadline, func(r *History) { r.Arrivals[0].Remaining = at(1.2) }},
		"sent to a draining backend":    {RuleDrain, func(r *History) { r.Notifications = []Notification{{At: at(0.4)}} }},
		"exited by itself":              {RuleCrash, func(r *History) { r.Incarnations[0].Crash = "exit status 2" }},
		"never became ready":            {RuleReady, func(r *History) { r.Incarnations[0].Ready, r.Incarnations[0].Exited = Never, at(20) }},
		"reported a violation":          {RuleInvariant, func(r *History) { r.Incarnations[0].InvariantViolations = 1 }},
		"more memory than its limit":    {RuleMemory, func(r *History) { r.MaxMemory, r.Incarnations[0].PeakMemory = 32<<20, 32<<20+4096 }},
		"another request's answer":      {RuleWrongBody, func(r *History) { r.Requests[0].Body = "b" }},
	} {
		t.Run(name, func(t *testing.T) {
			r := cleanHistory()
			c.plant(r)
			found := Check(r)
			rules := make([]Rule, len(found))
			for i, v := range found {
				rules[i] = v.Rule
			}
			assert.Contains(t, rules, c.rule)
		})
	}
}

func TestTheCheckerAcceptsWhatTheTermsAllow(t *testing.T) {
	for name, allowed := range map[string]func(*History){
		"unread when the connection was closed": func(r *History) {
			r.Requests[0].End, r.Requests[0].Ended, r.Arrivals = ConnClosed, 1100*time.Millisecond, nil
		},
		"killed without SIGTERM": func(r *History) {
			r.Requests[0].End, r.Incarnations[0] = ConnClosed, Incarnation{Ready: 1, Term: Never, Kill: 1050 * time.Millisecond, Exited: 1060 * time.Millisecond, KilledWithoutTerm: true}
		},
		"refused, then sent again": func(r *History) {
			r.Requests[0].Semantics = NonIdempotent
			r.Arrivals[0].Refused = true
			r.Arrivals = append(r.Arrivals, Arrival{ID: "a", FirstByte: 1, LastByte: 1})
		},
		"not run before its id came again": func(r *History) {
			first := &r.Requests[0]
			first.Semantics, first.End, first.Ended, first.Until = NonIdempotent, ClientClosed, 1001*time.Millisecond, 1005*time.Millisecond
			r.Requests = append(r.Requests, Request{ID: "a", Semantics: NonIdempotent, Began: 1005 * time.Millisecond, Sent: 1005 * time.Millisecond,
				Wait: time.Second, End: Answered, Ended: 1100 * time.Millisecond, Status: 200, Body: "a"})
		},
		"run again after a restart": func(r *History) {
			first := &r.Requests[0]
			first.Semantics, first.End, first.Ended, first.Until = NonIdempotent, ClientClosed, 1020*time.Millisecond, 4*time.Second
			r.Requests = append(r.Requests, Request{ID: "a", Semantics: NonIdempotent, Began: 4 * time.Second, Sent: 4 * time.Second,
				Wait: time.Second, End: Answered, Ended: 4100 * time.Millisecond, Status: 200, Body: "a"})
			r.Arrivals = append(r.Arrivals, Arrival{ID: "a", FirstByte: 4010 * time.Millisecond, LastByte: 4010 * time.Millisecond, Remaining: 900 * time.Millisecond})
			r.Incarnations = append(r.Incarnations, Incarnation{Started: 3 * time.Second, Ready: 3100 * time.Millisecond, Term: 8 * time.Second, Kill: Never, Exited: 9 * time.Second})
		},
		"refused and not sent again": func(r *History) {
			r.Requests[0].Semantics = Keyed
			r.Requests[0].Status, r.Arrivals[0].Refused = 429, true
			r.Requests[0].Sent += 3 * time.Second
			r.Requests[0].Ended += 3 * time.Second
			r.Arrivals[0].FirstByte += 3 * time.Second
			r.Arrivals[0].LastByte += 3 * time.Second
		},
		"listed as ready again": func(r *History) { r.Notifications = []Notification{{At: 100}, {At: 200, Ready: true}} },
	} {
		t.Run(name, func(t *testing.T) {
			r := cleanHistory()
			allowed(r)
			assert.Empty(t, Check(r))
		})
	}
}
