package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/lab/sysfaults"
)

// Tests of single faults, injected into real processes.

// quietConfig returns the configuration of a run with a few doors and no faults, to which a test adds its own.
func quietConfig(t *testing.T) Config {
	return Config{Seed: 4, Program: buildProgram(t), LogDir: *logDir, Doors: 3, Backends: 3, Clients: 10, Descriptors: 512, MemoryMB: 192, MaxDeadline: 5 * time.Second,
		Length: 2 * time.Second, NoRandomFaults: true}
}

// faultPlans returns a single plan with these faults, used by all doors.
func faultPlans(faults ...sysfaults.Fault) []sysfaults.Plan {
	return []sysfaults.Plan{{Seed: 41, Faults: faults}}
}

// runAndCheck performs a run and reports every violation in its history.
func runAndCheck(t *testing.T, cfg Config) *History {
	t.Helper()
	r := runAndLog(t, cfg)
	for _, v := range Check(r) {
		t.Error(v)
	}
	return r
}

// maxRejectedShare is the share of requests that may be rejected in a run without random faults, according to the design page.
const maxRejectedShare = 0.04

// assertServed asserts that requests were answered, and that at most maxRejectedShare of the answers were rejections.
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
	assert.NotZero(t, all, "no request was answered")
	assert.LessOrEqual(t, float64(rejected), maxRejectedShare*float64(all), "of %d answers", all)
}

func TestARequestAcceptedLateInAShutdownIsAnsweredBeforeTheKill(t *testing.T) {
	for _, longest := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			cfg := quietConfig(t)
			cfg.MaxDeadline, cfg.HangAtEnd, cfg.DelayRequests, cfg.Clients = longest, true, true, 40
			runAndCheck(t, cfg)
		})
	}
}

func TestPendingConnectionsAreServedWhileAcceptFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			cfg := quietConfig(t)
			cfg.FaultPlans = faultPlans(sysfaults.Fault{Call: sysfaults.Accept, Errno: errno, OneIn: 2})
			assertServed(t, runAndCheck(t, cfg))
		})
	}
}

func TestAnAnswerIsReadWithoutDelayAfterInterruptedReads(t *testing.T) {
	cfg := quietConfig(t)
	cfg.FaultPlans = faultPlans(sysfaults.Fault{Call: sysfaults.Read, Errno: syscall.EINTR, OneIn: 5, Target: sysfaults.Sockets},
		sysfaults.Fault{Call: sysfaults.Receive, Errno: syscall.EINTR, OneIn: 5, Target: sysfaults.Sockets})
	assertServed(t, runAndCheck(t, cfg))
}

func TestAnAnswerSurvivesTransientWriteErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, sysfaults.Short} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			cfg := quietConfig(t)
			cfg.FaultPlans = faultPlans(sysfaults.Fault{Call: sysfaults.Write, Errno: errno, OneIn: 5, Target: sysfaults.Sockets})
			assertServed(t, runAndCheck(t, cfg))
		})
	}
}

func TestADialIsRetriedAfterTransientErrors(t *testing.T) {
	for _, f := range []sysfaults.Fault{{Call: sysfaults.Socket, Errno: syscall.ENFILE, OneIn: 4}, {Call: sysfaults.Socket, Errno: syscall.ENOBUFS, OneIn: 4},
		{Call: sysfaults.Connect, Errno: syscall.ENETUNREACH, OneIn: 4}, {Call: sysfaults.Connect, Errno: syscall.EADDRNOTAVAIL, OneIn: 4}} {
		t.Run(f.Errno.Error(), func(t *testing.T) {
			t.Parallel()
			cfg := quietConfig(t)
			cfg.FaultPlans = faultPlans(f)
			assertServed(t, runAndCheck(t, cfg))
		})
	}
}

func TestAStartSurvivesTransientErrors(t *testing.T) {
	for name, call := range map[string]sysfaults.Call{"open": sysfaults.Open, "socket": sysfaults.Socket} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := quietConfig(t)
			cfg.Doors, cfg.Clients = 8, 1
			for seed := range uint32(cfg.Doors) {
				cfg.FaultPlans = append(cfg.FaultPlans, sysfaults.Plan{Seed: 1000 * (seed + 1), Faults: []sysfaults.Fault{{Call: call, Errno: syscall.ENFILE, OneIn: 2}}})
			}
			assertServed(t, runAndCheck(t, cfg))
		})
	}
}

func TestALogThatCannotBeWrittenBlocksNothing(t *testing.T) {
	for name, fault := range map[string]LogFault{"full": LogFull, "closed": LogClosed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := quietConfig(t)
			cfg.LogFault = fault
			assertServed(t, runAndCheck(t, cfg))
		})
	}
}
