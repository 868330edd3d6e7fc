package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Tests of crowds of ill-behaved clients at one real process, beside clients whose requests have to be answered.

// crowdConfig returns the configuration of a run with one door that has the least memory of the deployment page.
func crowdConfig(t *testing.T, kind Crowd, clients, descriptors int) Config {
	cfg := quietConfig(t)
	cfg.Doors, cfg.Backends, cfg.MaxDeadline, cfg.Length = 1, 2, 2*time.Second, 4*time.Second
	cfg.Crowd, cfg.CrowdClients, cfg.Descriptors, cfg.MemoryMB = kind, clients, descriptors, 32
	return cfg
}

// minServedShare is the share of the requests that are answered and not rejected beside a crowd, by the standing test's page.
const minServedShare = 0.5

// assertServedBeside asserts that at least minServedShare of the checked requests were served by a backend, of those whose clients
// waited for the answer.
func assertServedBeside(t *testing.T, r *History) {
	t.Helper()
	all, served := 0, 0
	for _, q := range r.Requests {
		if q.End != ClientClosed {
			all++
			if q.End == Answered && q.Status == 200 {
				served++
			}
		}
	}
	assert.NotZero(t, all)
	assert.GreaterOrEqual(t, float64(served), minServedShare*float64(all), "%d of %d requests were served", served, all)
}

func logPeakMemory(t *testing.T, r *History) {
	t.Helper()
	for _, inc := range r.Incarnations {
		t.Logf("peak memory %.1f MB of %.1f MB", megabytes(inc.PeakMemory), megabytes(r.MaxMemory))
	}
}

func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	for _, kind := range []Crowd{SlowHeads, StalledBodies, StalledFields, CompleteFields, LargeRequests, LargeAnswers, MixedCrowd} {
		for _, descriptors := range []int{256, 1024} {
			t.Run(fmt.Sprintf("%v, %d descriptors", kind, descriptors), func(t *testing.T) {
				r := runAndCheck(t, crowdConfig(t, kind, 900, descriptors))
				logPeakMemory(t, r)
				assertServedBeside(t, r)
			})
		}
	}
}

// Guards against a door that takes what the system does not tell for zero: the queue of its listener, the age of unread bytes and the
// state of a peer (issue 65).
func TestCrowdIsServedWithoutSystemSignals(t *testing.T) {
	runUninformed(t, func(t *testing.T, r *History) {
		for _, v := range Check(r) {
			if v.Rule != RuleDeadline { // TestDeadlinesHoldWithoutSystemSignals
				t.Error(v)
			}
		}
		assertServedBeside(t, r)
	})
}

// Without the age of unread bytes a request's time in the listener's queue is estimated.
func TestDeadlinesHoldWithoutSystemSignals(t *testing.T) {
	runUninformed(t, func(t *testing.T, r *History) {
		for _, v := range Check(r) {
			if v.Rule == RuleDeadline {
				t.Error(v)
			}
		}
	})
}

// runUninformed runs crowds at a program that the system tells nothing about its TCP sockets.
func runUninformed(t *testing.T, check func(*testing.T, *History)) {
	program, err := uninformed()
	require.NoError(t, err)
	for _, kind := range []Crowd{SlowHeads, StalledBodies, MixedCrowd} {
		t.Run(kind.String(), func(t *testing.T) {
			cfg := crowdConfig(t, kind, 900, 256)
			cfg.Program = program
			r := runAndLog(t, cfg)
			logPeakMemory(t, r)
			check(t, r)
		})
	}
}

func TestFullSpeedClientsDelayNoOthers(t *testing.T) {
	for _, kind := range []Crowd{PipelinedHealth, PipelinedInvalid, UnreadAnswers, NewCustomers, FloodAndClose} {
		for _, clients := range []int{1, 60} {
			t.Run(fmt.Sprintf("%v, %d connections", kind, clients), func(t *testing.T) {
				r := runAndCheck(t, crowdConfig(t, kind, clients, 256))
				logPeakMemory(t, r)
				assertServedBeside(t, r)
			})
		}
	}
}

func TestHundredsOfFloodingClientsDelayNoOthers(t *testing.T) {
	for _, descriptors := range []int{256, 1024} {
		t.Run(fmt.Sprintf("%d descriptors", descriptors), func(t *testing.T) {
			r := runAndCheck(t, crowdConfig(t, FloodAndClose, 900, descriptors))
			logPeakMemory(t, r)
			assertServedBeside(t, r)
		})
	}
}
