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

// world is a short day on which a careless decider is found out.
const world = `
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

// careless sends everything to the backend that choose names and then does as it likes.
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

func inTurn(c *careless, op int) int { return c.up[op%len(c.up)] }

// played judges a day of a decider.
func played(t *testing.T, more string, c careless) *judge.Verifier {
	s, err := scenario.Read([]byte(world + more))
	require.NoError(t, err)
	j := judge.New(model.Deal(&s))
	maker := model.Maker{New: func(gate.Terms, uint64, model.Sight) gate.Decider { d := c; return &d }}
	require.NoError(t, model.New(&s, 1, maker, j).Run(context.Background(), nil))
	return j
}

const ample = "\n[[fault]]\nkind = \"resets\"\nat_s = 1.0\nfor_s = 4.0\nmuch = 0.5\n"

// moderate keeps the ceilings by sending little.
func moderate(c *careless, e gate.Request) []gate.Action {
	if e.Op%7 > 0 || len(c.up) == 0 {
		return []gate.Action{gate.Reject{Op: e.Op, RetryAfter: 400}}
	}
	return []gate.Action{gate.Send{Op: e.Op, Backend: inTurn(c, e.Op), Timeout: 700}}
}

func TestACarefulDeciderBreaksNothing(t *testing.T) {
	j := played(t, ample+"\n[[fault]]\nkind = \"replace\"\nat_s = 1.0\nfor_s = 3.0\nshare = 0.5\nmuch = 1.0\n", careless{arrived: moderate})
	assert.Empty(t, j.Rules.Breaches)
	assert.Greater(t, j.Service.Whole.InTime, 20)
}

func TestEachRuleIsFoundBroken(t *testing.T) {
	again := func(c *careless, e gate.AttemptEnded) []gate.Action {
		if e.Attempt > 0 {
			return []gate.Action{gate.Fail{Op: e.Op}}
		}
		return []gate.Action{gate.Send{Op: e.Op, Backend: c.all[(e.Backend+1)%len(c.all)], Timeout: 500}}
	}
	for name, k := range map[string]struct {
		more string
		rule judge.Rule
		says string
		by   careless
	}{
		"never answers": {"", judge.NoneLost, "not answered", careless{arrived: func(*careless, gate.Request) []gate.Action { return nil }}},
		"sends what it rejected": {"", judge.NoneLost, "after its end", careless{arrived: func(c *careless, e gate.Request) []gate.Action {
			return []gate.Action{gate.Reject{Op: e.Op}, gate.Send{Op: e.Op, Backend: inTurn(c, e.Op)}}
		}}},
		"sends again elsewhere": {ample, judge.NoneTwice, "sent again", careless{arrived: moderate, ended: again}},
		"leaves the group":      {ample, judge.NoneTwice, "outside the group", careless{arrived: moderate, ended: again}},
		"rejects what may have run": {ample, judge.NoneTwice, "rejected, though", careless{arrived: moderate,
			ended: func(_ *careless, e gate.AttemptEnded) []gate.Action { return []gate.Action{gate.Reject{Op: e.Op}} }}},
		"sends two at once": {"\n[allow]\nsecond_copies = false", judge.NoneTwice, "two transmissions", careless{
			arrived: func(c *careless, e gate.Request) []gate.Action {
				s := gate.Send{Op: e.Op, Backend: inTurn(c, e.Op), Timeout: 700}
				return []gate.Action{s, s}
			}}},
		"knows no drain": {"\n[[fault]]\nkind = \"replace\"\nat_s = 1.0\nfor_s = 1.0\nshare = 0.9\nmuch = 3.0", judge.DrainsKept, "told of",
			careless{choose: func(c *careless, op int) int { return c.all[op%len(c.all)] }}},
		"crowds the newest": {"\n[rules]\nfall_multiple = 2.0\nfall_ms = 500.0\n[[fault]]\nkind = \"death\"\nat_s = 1.0\nfor_s = 0.5\nshare = 0.2", judge.ColdSpared,
			"pushed over", careless{choose: func(c *careless, op int) int {
				best := c.up[0]
				for _, b := range c.up {
					if c.since[b] > c.since[best] {
						best = b
					}
				}
				return best
			}}},
		"lets all in": {"\n[[fault]]\nkind = \"hot_customers\"\nat_s = 1.0\nfor_s = 4.0\nmuch = 3.0", judge.CeilingKept, "over its ceiling",
			careless{choose: inTurn}},
	} {
		t.Run(name, func(t *testing.T) {
			j := played(t, k.more, k.by)
			require.NotZero(t, j.Rules.Count[k.rule], "%v", j.Rules.Count)
			said := false
			for _, b := range j.Rules.Breaches {
				if b.Rule == k.rule {
					said = said || strings.Contains(b.Text, k.says)
				}
			}
			assert.True(t, said, "%v", j.Rules.Breaches)
		})
	}
}
