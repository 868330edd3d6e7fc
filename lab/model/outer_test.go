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

// heldWorld holds a world up: between what is due and what is posted all day long, and at a submit near the day's end until
// after it. It stands for every door outside, and answers nobody.
type heldWorld struct {
	w     *World
	began time.Time
	end   time.Duration
}

func (*heldWorld) Start([]Line)      {}
func (*heldWorld) Kill()             {}
func (*heldWorld) Stop()             {}
func (*heldWorld) Leave(*Try)        {}
func (*heldWorld) List(bool, []Line) {}
func (*heldWorld) Process(int, bool) {}

const (
	heldUp  = 90 * time.Millisecond // many arrivals of the town
	nearEnd = 200 * time.Millisecond
	pastEnd = 400 * time.Millisecond
)

func (h *heldWorld) Submit(*Try) {
	if at := time.Since(h.began); at < h.end && at > h.end-nearEnd {
		time.Sleep(h.end + pastEnd - at)
	}
}

// progress stops the world where a crowded machine may: with its clock read, and something posted.
func (h *heldWorld) progress(float64) {
	if len(h.w.posted) == 0 {
		h.w.posted <- func() {}
	}
	time.Sleep(heldUp)
}

func askedOf(k *kept) (out []trace.Event) {
	for _, e := range k.of(trace.Asked) {
		out = append(out, trace.Event{At: e.At, Request: e.Request, Customer: e.Customer, Plan: e.Plan, Class: e.Class, Units: e.Units})
	}
	return out
}

func askedOnSockets(t *testing.T, s *scenario.Scenario, seed uint64) []trace.Event {
	k := &kept{}
	synctest.Test(t, func(t *testing.T) {
		h := &heldWorld{began: time.Now(), end: time.Duration(s.Day.Seconds * float64(time.Second))}
		var doors []Outer
		for range s.Fleet.Doors {
			doors = append(doors, h)
		}
		h.w = NewOuter(s, seed, doors, k)
		behind, err := h.w.RunReal(t.Context(), func() (bool, error) { return true, nil }, h.progress)
		require.NoError(t, err)
		require.Greater(t, behind, float64((pastEnd - nearEnd).Milliseconds()), "the world was not held up past the end")
	})
	return askedOf(k)
}

// A crowded machine runs the world late. What fell due past the day's end while it was held up was asked all the same
// (one request more than simulated), and bursts were drawn by the late clock instead of the arrival's own.
func TestAWorldHeldUpAsksWhatTheSimulatedOneDoes(t *testing.T) {
	load := func(shape string) func(*scenario.Scenario) {
		return func(s *scenario.Scenario) { s.Load.Shape, s.Load.Swing = shape, 0.6 }
	}
	fault := func(kind string) func(*scenario.Scenario) {
		return func(s *scenario.Scenario) {
			s.Faults = append(s.Faults, scenario.Fault{Kind: kind, AtS: 1, ForS: 2, Much: 1, Share: 0.5})
		}
	}
	rejects := Maker{New: func(gate.Terms, uint64, Sight) gate.Decider { return rejecter{} }}
	for name, change := range map[string]func(*scenario.Scenario){
		"steady": load("steady"), "wave": load("wave"), "ramp": load("ramp"), "bursts": load("bursts"),
		"burst": fault("burst"), "strangers": fault("strangers"), "hot customers": fault("hot_customers"), "shift": fault("shift"),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := read(t, "")
				change(s)
				simulated := askedOf(play(t, s, seed, rejects))
				require.NotEmpty(t, simulated)
				assert.Equal(t, simulated, askedOnSockets(t, s, seed))
			}
		})
	}
}
