package judge_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/scenario"
)

// scenarioText is a short scenario in which a careless decider violates the invariants.
const scenarioText = `
name = "careless"
[day]
seconds = 6
[fleet]
doors = 2
backends = 6
zones = 2
cell_size = 1
[load]
share = 0.3
[[profile]]
name = "once"
work_ms = 40.0
contract_ms = 500.0
outer_ms = 1500.0
semantics = "single-use"
[[profile]]
name = "mark"
work_ms = 40.0
contract_ms = 500.0
outer_ms = 1500.0
semantics = "tokened"
scope = "zone"
window_ms = 800.0
[[plan]]
name = "capped"
per_s = 5.0
depth = 10.0
ceiling_per_s = 8.0
ceiling_depth = 16.0
`

// careless is a decider that sends every request to the backend that choose returns, unless arrived and ended override its actions.
type careless struct {
	up, all []int
	since   []float64
	choose  func(c *careless, op int) int
	ended   func(c *careless, e gate.AttemptEnded) []gate.Action
	arrived func(c *careless, e gate.Request) []gate.Action
}

func (c *careless) Decide(_ float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case gate.FleetUpdate:
			if e.Complete {
				c.up = nil
			}
			for _, n := range e.Entries {
				for len(c.since) <= n.Backend {
					c.since = append(c.since, 0)
				}
				c.since[n.Backend] = n.StartedAt
				var keep []int
				for _, b := range c.up {
					if b != n.Backend {
						keep = append(keep, b)
					}
				}
				if c.up = keep; n.Status == gate.Up {
					c.up, c.all = append(c.up, n.Backend), append(c.all, n.Backend)
				}
			}
		case gate.Request:
			if c.arrived != nil {
				out = append(out, c.arrived(c, e)...)
			} else {
				out = append(out, gate.Send{Op: e.Op, Backend: c.choose(c, e.Op), Timeout: 700})
			}
		case gate.AttemptEnded:
			if !e.Answered {
				if c.ended != nil {
					out = append(out, c.ended(c, e)...)
				} else {
					out = append(out, gate.Fail{Op: e.Op})
				}
			}
		}
	}
	return out
}

func roundRobin(c *careless, op int) int { return c.up[op%len(c.up)] }

// verified runs a scenario with a decider and returns the verifier of its trace.
func verified(t *testing.T, extra string, c careless) *judge.Verifier {
	s, err := scenario.Read([]byte(scenarioText + extra))
	require.NoError(t, err)
	j := judge.New(model.JudgeParams(&s))
	maker := model.Maker{New: func(gate.Terms, uint64, model.TrueState) gate.Decider { d := c; return &d }}
	require.NoError(t, model.New(&s, 1, maker, j).Run(context.Background(), nil))
	return j
}

const resetsFault = "\n[[fault]]\nkind = \"resets\"\nat_s = 1.0\nfor_s = 4.0\nmuch = 0.5\n"

// moderate stays below the ceilings by sending one request in seven.
func moderate(c *careless, e gate.Request) []gate.Action {
	if e.Op%7 > 0 || len(c.up) == 0 {
		return []gate.Action{gate.Reject{Op: e.Op, RetryAfter: 400}}
	}
	return []gate.Action{gate.Send{Op: e.Op, Backend: roundRobin(c, e.Op), Timeout: 700}}
}

func TestACarefulDeciderViolatesNoInvariant(t *testing.T) {
	j := verified(t, resetsFault+"\n[[fault]]\nkind = \"replace\"\nat_s = 1.0\nfor_s = 3.0\nshare = 0.5\nmuch = 1.0\n", careless{arrived: moderate})
	assert.Empty(t, j.Rules.Violations)
	assert.Greater(t, j.Service.Whole.InTime, 20)
}

func TestEachInvariantIsChecked(t *testing.T) {
	resend := func(c *careless, e gate.AttemptEnded) []gate.Action {
		if e.Attempt > 0 {
			return []gate.Action{gate.Fail{Op: e.Op}}
		}
		return []gate.Action{gate.Send{Op: e.Op, Backend: c.all[(e.Backend+1)%len(c.all)], Timeout: 500}}
	}
	for name, k := range map[string]struct {
		extra   string
		rule    judge.Rule
		text    string
		decider careless
	}{
		"never answers a request": {"", judge.NoneLost, "not answered", careless{arrived: func(*careless, gate.Request) []gate.Action { return nil }}},
		"sends after rejecting": {"", judge.NoneLost, "after its end", careless{arrived: func(c *careless, e gate.Request) []gate.Action {
			return []gate.Action{gate.Reject{Op: e.Op}, gate.Send{Op: e.Op, Backend: roundRobin(c, e.Op)}}
		}}},
		"sends again to another backend":            {resetsFault, judge.NoneTwice, "sent again", careless{arrived: moderate, ended: resend}},
		"repeats a keyed request outside its group": {resetsFault, judge.NoneTwice, "outside the group", careless{arrived: moderate, ended: resend}},
		"rejects a request that may have run": {resetsFault, judge.NoneTwice, "rejected, though", careless{arrived: moderate,
			ended: func(_ *careless, e gate.AttemptEnded) []gate.Action { return []gate.Action{gate.Reject{Op: e.Op}} }}},
		"sends two attempts at once": {"\n[allow]\nsecond_copies = false", judge.NoneTwice, "two transmissions", careless{
			arrived: func(c *careless, e gate.Request) []gate.Action {
				s := gate.Send{Op: e.Op, Backend: roundRobin(c, e.Op), Timeout: 700}
				return []gate.Action{s, s}
			}}},
		"ignores drains": {"\n[[fault]]\nkind = \"replace\"\nat_s = 1.0\nfor_s = 1.0\nshare = 0.9\nmuch = 3.0", judge.DrainsKept, "which the door knew to be draining or gone",
			careless{choose: func(c *careless, op int) int { return c.all[op%len(c.all)] }}},
		"overloads a cold backend": {"\n[rules]\nfall_multiple = 2.0\nfall_ms = 500.0\n[[fault]]\nkind = \"death\"\nat_s = 1.0\nfor_s = 0.5\nshare = 0.2", judge.ColdSpared,
			"overloaded", careless{choose: func(c *careless, op int) int {
				best := c.up[0]
				for _, b := range c.up {
					if c.since[b] > c.since[best] {
						best = b
					}
				}
				return best
			}}},
		"ignores ceilings": {"\n[[fault]]\nkind = \"hot_customers\"\nat_s = 1.0\nfor_s = 4.0\nmuch = 3.0", judge.CeilingKept, "over its ceiling",
			careless{choose: roundRobin}},
	} {
		t.Run(name, func(t *testing.T) {
			j := verified(t, k.extra, k.decider)
			require.NotZero(t, j.Rules.Count[k.rule], "%v", j.Rules.Count)
			found := false
			for _, b := range j.Rules.Violations {
				if b.Rule == k.rule {
					found = found || strings.Contains(b.Text, k.text)
				}
			}
			assert.True(t, found, "%v", j.Rules.Violations)
		})
	}
}
