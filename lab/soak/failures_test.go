package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/lab/sysfaults"
)

// Single failures on real processes, each forced.

// quietConfig is a day of a few doors on which nothing befalls but what its test adds.
func quietConfig(t *testing.T) Config {
	return Config{Seed: 4, Program: buildProgram(t), LogDir: *logDir, Doors: 3, Backends: 3, Clients: 10, Descriptors: 512, MaxDeadline: 5 * time.Second,
		Length: 2 * time.Second, NoRandomFaults: true}
}

func faultPlan(faults ...sysfaults.Fault) []sysfaults.Plan {
	return []sysfaults.Plan{{Seed: 41, Faults: faults}}
}

func runAndCheck(t *testing.T, d Config) *History {
	t.Helper()
	r := runAndLog(t, d)
	for _, v := range Check(r) {
		t.Error(v)
	}
	return r
}

// mostRejected is the share of requests that the design page lets be rejected on a quiet day.
const maxRejectedShare = 0.04

// assertServed asserts that clients got what a quiet day gives them.
func assertServed(t *testing.T, r *History) {
	t.Helper()
	all, rejected := 0, 0
	for _, q := range r.Requests {
		if q.End == Answered {
			if all++; q.Status == http.StatusTooManyRequests || q.Status == http.StatusServiceUnavailable {
				rejected++
			}
		}
	}
	assert.NotZero(t, all, "answers")
	assert.LessOrEqual(t, float64(rejected), maxRejectedShare*float64(all), "of %d answers", all)
}

func TestARequestTakenLateInAShutdownIsAnsweredBeforeTheKill(t *testing.T) {
	for _, longest := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			d := quietConfig(t)
			d.MaxDeadline, d.HangAtEnd, d.DelayRequests, d.Clients = longest, true, true, 40
			runAndCheck(t, d)
		})
	}
}

func TestConnectionsThatWaitToBeAcceptedAreServedWhileAcceptFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := quietConfig(t)
			d.FaultPlans = faultPlan(sysfaults.Fault{Call: sysfaults.Accept, Errno: errno, OneIn: 2})
			assertServed(t, runAndCheck(t, d))
		})
	}
}

func TestAnAnswerIsReadAtOnceWhereReadsAreInterrupted(t *testing.T) {
	d := quietConfig(t)
	d.FaultPlans = faultPlan(sysfaults.Fault{Call: sysfaults.Read, Errno: syscall.EINTR, OneIn: 5, Target: sysfaults.Sockets},
		sysfaults.Fault{Call: sysfaults.Receive, Errno: syscall.EINTR, OneIn: 5, Target: sysfaults.Sockets})
	assertServed(t, runAndCheck(t, d))
}

func TestAnAnswerIsNotLostToAWriteThatFailsForAMoment(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, sysfaults.Short} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := quietConfig(t)
			d.FaultPlans = faultPlan(sysfaults.Fault{Call: sysfaults.Write, Errno: errno, OneIn: 5, Target: sysfaults.Sockets})
			assertServed(t, runAndCheck(t, d))
		})
	}
}

func TestADialThatFailsForAMomentIsTriedAgain(t *testing.T) {
	for _, f := range []sysfaults.Fault{{Call: sysfaults.Socket, Errno: syscall.ENFILE, OneIn: 4}, {Call: sysfaults.Socket, Errno: syscall.ENOBUFS, OneIn: 4},
		{Call: sysfaults.Connect, Errno: syscall.ENETUNREACH, OneIn: 4}, {Call: sysfaults.Connect, Errno: syscall.EADDRNOTAVAIL, OneIn: 4}} {
		t.Run(f.Errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := quietConfig(t)
			d.FaultPlans = faultPlan(f)
			assertServed(t, runAndCheck(t, d))
		})
	}
}

func TestAStartOutlivesCallsThatFailForAMoment(t *testing.T) {
	for name, call := range map[string]sysfaults.Call{"open": sysfaults.Open, "socket": sysfaults.Socket} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := quietConfig(t)
			d.Doors, d.Clients = 8, 1
			for seed := range uint32(d.Doors) {
				d.FaultPlans = append(d.FaultPlans, sysfaults.Plan{Seed: 1000 * (seed + 1), Faults: []sysfaults.Fault{{Call: call, Errno: syscall.ENFILE, OneIn: 2}}})
			}
			assertServed(t, runAndCheck(t, d))
		})
	}
}

func TestALogThatCannotBeWrittenHoldsNothingUp(t *testing.T) {
	for name, fault := range map[string]LogFault{"full": LogFull, "gone": LogClosed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := quietConfig(t)
			d.LogFault = fault
			assertServed(t, runAndCheck(t, d))
		})
	}
}
