package model

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// stallingDoor stalls a run: between events and posted calls all the time, and at a Submit near the end of the run until after
// it. It stands in for every external door and never answers.
type stallingDoor struct {
	sim   *Simulation
	began time.Time
	end   time.Duration
}

func (*stallingDoor) Start([]BackendEntry)             {}
func (*stallingDoor) Kill()                            {}
func (*stallingDoor) Stop()                            {}
func (*stallingDoor) ClientLeft(*Try)                  {}
func (*stallingDoor) ListChanged(bool, []BackendEntry) {}
func (*stallingDoor) BackendProcess(int, bool)         {}

const (
	stall   = 90 * time.Millisecond // time of many arrivals of the base scenario
	nearEnd = 200 * time.Millisecond
	pastEnd = 400 * time.Millisecond
)

func (h *stallingDoor) Submit(*Try) {
	if at := time.Since(h.began); at < h.end && at > h.end-nearEnd {
		time.Sleep(h.end + pastEnd - at)
	}
}

// progress stalls the run at a point where an overloaded machine may: after it has read the clock, with a call posted.
func (h *stallingDoor) progress(float64) {
	if len(h.sim.posted) == 0 {
		h.sim.posted <- func() {}
	}
	time.Sleep(stall)
}

// requestsOf returns the requests made in a run.
func requestsOf(k *eventLog) (out []trace.Event) {
	for _, e := range k.ofKind(trace.Asked) {
		out = append(out, trace.Event{At: e.At, Request: e.Request, Customer: e.Customer, Plan: e.Plan, Class: e.Class, Units: e.Units})
	}
	return out
}

// requestsInRealTime returns the requests made in a real-time run that stalls.
func requestsInRealTime(t *testing.T, s *scenario.Scenario, seed uint64) []trace.Event {
	k := &eventLog{}
	synctest.Test(t, func(t *testing.T) {
		h := &stallingDoor{began: time.Now(), end: time.Duration(s.Day.Seconds * float64(time.Second))}
		var doors []ExternalDoor
		for range s.Fleet.Doors {
			doors = append(doors, h)
		}
		h.sim = NewExternal(s, seed, doors, k)
		behind, err := h.sim.RunRealTime(t.Context(), func() (bool, error) { return true, nil }, h.progress)
		require.NoError(t, err)
		require.Greater(t, behind, float64((pastEnd - nearEnd).Milliseconds()), "the run was not stalled past its end")
	})
	return requestsOf(k)
}

// On an overloaded machine a real-time run falls behind its schedule. Two errors came of it: arrivals due past the end of the
// run were still made if it was stalled there (one request more than simulated), and bursts followed the late clock instead of
// the intended time of each arrival.
func TestStalledRealTimeRunMakesSimulatedRequests(t *testing.T) {
	load := func(shape string) func(*scenario.Scenario) {
		return func(s *scenario.Scenario) { s.Load.Shape, s.Load.Swing = shape, 0.6 }
	}
	fault := func(kind string) func(*scenario.Scenario) {
		return func(s *scenario.Scenario) {
			s.Faults = append(s.Faults, scenario.Fault{Kind: kind, AtS: 1, ForS: 2, Much: 1, Share: 0.5})
		}
	}
	rejects := Maker{New: func(gate.Terms, uint64, TrueState) gate.Decider { return rejecter{} }}
	for name, change := range map[string]func(*scenario.Scenario){
		"steady": load("steady"), "wave": load("wave"), "ramp": load("ramp"), "bursts": load("bursts"),
		"burst": fault("burst"), "strangers": fault("strangers"), "hot customers": fault("hot_customers"), "shift": fault("shift"),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := read(t, "")
				change(s)
				simulated := requestsOf(runScenario(t, s, seed, rejects))
				require.NotEmpty(t, simulated)
				assert.Equal(t, simulated, requestsInRealTime(t, s, seed))
			}
		})
	}
}
