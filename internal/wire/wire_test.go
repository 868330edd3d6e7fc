package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

// deciderFunc is a decider that calls a function for each batch.
type deciderFunc func(now float64, events []gate.Event) []gate.Action

func (s deciderFunc) Decide(now float64, events []gate.Event) []gate.Action { return s(now, events) }

const born = `{"BORN":{"entropy":7,"settings":{"fleet_size":3,"my_number":1,` +
	`"profiles":[{"name":"read","aim":0.5,"semantics":"idempotent"}],` +
	`"tariffs":[{"name":"basic","rate":2.0,"depth":8.0}]}}}`

const listed = `{"UPDATE":{"how":"Persisted","rev":1,"nodes_list":[{"backend":"10.0.0.1:80","dc":"a",` +
	`"stripe":0,"status":"U","units":1}]}}`

const submit = `{"SUBMIT":{"op_id":"x","ttl":0.24,"spread":2,"customer":"91f03b7c55d20a64","cost_units":2,` +
	`"kind":"read","first_door":0,"tier":"basic"}}`

func batch(events ...string) string {
	return `{"t":8.5,"parts":[{"door_id":3,"in":[` + strings.Join(events, ",") + "]}]}\n"
}

func serve(s deciderFunc, input string) (out, log string, err error) {
	var o, l bytes.Buffer
	h := NewHost(&l, func(gate.Terms, uint64) gate.Decider { return s })
	err = h.Serve(strings.NewReader(input), &o)
	return o.String(), l.String(), err
}

func silent(float64, []gate.Event) []gate.Action { return nil }

func TestEventsAndActionsAreTranslated(t *testing.T) {
	var got []gate.Event
	out, _, err := serve(func(now float64, events []gate.Event) []gate.Action {
		assert.Equal(t, 8500.0, now)
		got = append(got, events...)
		return []gate.Action{gate.Send{Timeout: 80}, gate.SetTimer{At: 9000}, gate.Reject{RetryAfter: 250}}
	}, batch(born, listed, submit))
	require.NoError(t, err)
	require.Len(t, got, 2)
	op := got[1].(gate.Request)
	assert.True(t, op.Phase > 0 && op.Phase < 1, "derived from the customer")
	op.Phase = 0
	assert.Equal(t, gate.Request{TTL: 240, Units: 2, Spread: 2}, op)
	assert.JSONEq(t, `{"parts":[{"door_id":3,"out":[{"SUBMIT_TO":{"op_id":"x","backend":"10.0.0.1:80",`+
		`"cap":0.08}},{"SCHEDULE":{"when":9,"cookie":0}},{"REFUSE":{"op_id":"x","not_before_for":0.25}}]}]}`, out)
}

// Guards against an adapter that ends because a batch of the simulator spans lines, as a door's watch did (review/3).
func TestBatchesMaySpanOrShareLines(t *testing.T) {
	spread := strings.NewReplacer("{", "{\n  ", ",", ",\r\n").Replace(batch(born, listed, submit))
	rejectAll := func(_ float64, events []gate.Event) []gate.Action {
		if _, arrived := events[len(events)-1].(gate.Request); !arrived {
			return nil
		}
		return []gate.Action{gate.Reject{}}
	}
	for name, input := range map[string]string{
		"spread":        spread,
		"on one line":   strings.TrimSuffix(batch(born, listed), "\n") + batch(submit),
		"no line end":   strings.TrimSpace(batch(born, listed, submit)),
		"blank lines":   "\n\n" + spread + "\n",
		"as page shows": batch(born, listed, submit),
	} {
		out, _, err := serve(rejectAll, input)
		require.NoError(t, err, name)
		assert.Contains(t, out, `"REFUSE":{"op_id":"x"`, name)
		assert.Equal(t, strings.Count(out, "\n"), strings.Count(out, `{"parts"`), "%s: a reply is one line", name)
	}
}

func TestInputThatEndsWithinABatchIsReported(t *testing.T) {
	_, _, err := serve(silent, batch(born, listed)+`{"t":1,`)
	assert.ErrorContains(t, err, "input line 2: not a JSON object")
}

func TestEmptyBatchAndRestartInOneBatch(t *testing.T) {
	starts := 0
	h := NewHost(&bytes.Buffer{}, func(gate.Terms, uint64) gate.Decider { starts++; return deciderFunc(silent) })
	var out bytes.Buffer
	input := "{\"t\":1,\"parts\":[]}\n" + batch(born, listed) + batch(`{"HALT":{}}`, born, listed)
	require.NoError(t, h.Serve(strings.NewReader(input), &out))
	assert.Equal(t, 2, starts)
	assert.Equal(t, strings.Repeat("{\"parts\":[]}\n", 3), out.String())
}

func TestLateOutcomeIsDeliveredAndThenTheIdIsReleased(t *testing.T) {
	var got []gate.Event
	done := `{"DONE":{"op_id":"x","send_no":0,"backend":"10.0.0.1:80","latency":0.1,` +
		`"outcome":"ecanceled","over":true}}`
	vanished := `{"VANISHED":{"op_id":"x"}}`
	_, _, err := serve(func(_ float64, events []gate.Event) []gate.Action {
		got = append([]gate.Event(nil), events...)
		if _, arrived := got[len(got)-1].(gate.Request); arrived {
			return []gate.Action{gate.Send{}, gate.Fail{}}
		}
		return nil
	}, batch(born, listed, submit)+batch(done)+batch(vanished, `{"BELL":{"cookie":0}}`))
	require.NoError(t, err)
	assert.Equal(t, []gate.Event{gate.TimerFired{}}, got, "events for a released id are ignored")
}

func TestInvalidInputIsReported(t *testing.T) {
	for name, c := range map[string]struct{ input, want string }{
		"no JSON":       {"nonsense\n", "input line 1: not a JSON object"},
		"no parts":      {"{\"t\":1}\n", `field "parts" is missing`},
		"no door":       {`{"t":1,"parts":[{"in":[]}]}`, `field "door_id" is missing`},
		"missing field": {batch(born, `{"SUBMIT":{"op_id":"x"}}`), `door 3: event SUBMIT: field "ttl" is missing`},
		"wrong type":    {batch(born, `{"VANISHED":{"op_id":4}}`), `event VANISHED: field "op_id" has the wrong type`},
		"not started":   {batch(`{"BELL":{"cookie":0}}`), "door 3: event BELL for a door that was not started"},
		"unknown value": {batch(born, `{"UPDATE":{"how":"Odd"}}`), `field "how": unknown value "Odd"`},
	} {
		_, _, err := serve(silent, c.input)
		assert.ErrorContains(t, err, c.want, name)
	}
}

func TestUnknownEventIsReportedOnceAndUnknownKeysAreSkipped(t *testing.T) {
	_, log, err := serve(silent, batch(born, `{"NEWS":{}}`, `{"NEWS":{}}`, `{"BELL":{"cookie":0,"extra":1}}`))
	require.NoError(t, err)
	assert.Equal(t, 1, strings.Count(log, "NEWS"))
}

func TestPanicIsReportedAsGiveIn(t *testing.T) {
	out, _, err := serve(func(float64, []gate.Event) []gate.Action { panic("broken") }, batch(born, listed))
	require.NoError(t, err)
	assert.JSONEq(t, `{"parts":[{"door_id":3,"out":[{"GIVE_IN":{"body_text":"panic: broken"}}]}]}`, out)
}

// Estimated units, the terms of plans that earn beyond their quota and load reports are decoded from settings and results.
func TestReportsAndEstimatedUnitsAreDecoded(t *testing.T) {
	born := strings.Replace(strings.Replace(born, `"rate":2.0`, `"rate":2.0,"beyond_earns":0.3,"over_cost":1.2`, 1), `"profiles"`,
		`"reporting":{"how":"inline","names":["recent_ms","utilization","backlog"]},"profiles"`, 1)
	done := func(row string) string {
		return `{"DONE":{"op_id":"x","send_no":0,"backend":"10.0.0.1:80","latency":0.1,"outcome":"done","over":true,` +
			`"final_units":5,"telemetry":` + row + `}}`
	}
	var got gate.Event
	var plan gate.Plan
	decide := func(_ float64, events []gate.Event) []gate.Action {
		if got = events[len(events)-1]; len(events) > 1 {
			return []gate.Action{gate.Send{}}
		}
		return nil
	}
	h := NewHost(&bytes.Buffer{}, func(terms gate.Terms, _ uint64) gate.Decider {
		plan = terms.Plans[0]
		return deciderFunc(decide)
	})
	require.NoError(t, h.Serve(strings.NewReader(batch(born, listed, submit)+batch(done("[12.5,0.4,3]"))), &bytes.Buffer{}))
	assert.Equal(t, gate.Plan{Rate: 0.002, Depth: 8, OverQuotaGain: 0.3, OverQuotaCost: 1.2}, plan)
	assert.Equal(t, 5.0, got.(gate.AttemptEnded).ActualUnits)
	assert.Equal(t, 3.0, got.(gate.AttemptEnded).Queue)

	_, _, err := serve(decide, batch(born, listed, submit)+batch(done("[1,2,3,4]")))
	assert.ErrorContains(t, err, `event DONE: field "telemetry": 4 values where the settings name 3`)
}
