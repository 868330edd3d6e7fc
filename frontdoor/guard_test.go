package frontdoor

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/sockio"
	"github.com/swifthall/swifthall/lifecycle"
)

// Actions of a faulty decider that would violate an invariant are counted and not executed.
func TestGuardPreventsAndCountsViolations(t *testing.T) {
	const class = 1 // index of the class that a case sets
	addEndedAttempt := func(c *core, how outcome) {
		c.requests[0].attempts = append(c.requests[0].attempts, &attempt{startedAt: c.now, ended: true, outcome: how})
	}
	for name, tc := range map[string]struct {
		want    invariant
		prepare func(*core)
	}{
		"the client has gone":     {startWithoutClient, func(c *core) { c.requests[0].done = true }},
		"the deadline has passed": {startTooLate, func(c *core) { c.requests[0].deadline = c.now }},
		"the backend drains":      {startAtIneligible, func(c *core) { c.backends[0].eligible = false }},
		"non-idempotent, may have run": {repeatUnsafe, func(c *core) {
			c.cfg.Settings.Terms.Classes[class] = gate.Class{Semantics: gate.NonIdempotent}
			addEndedAttempt(c, outcomeBroken)
		}},
		"keyed, past its dedup window": {repeatPastWindow, func(c *core) {
			c.cfg.Settings.Terms.Classes[class] = gate.Class{Semantics: gate.Keyed, DedupWindow: 0}
			addEndedAttempt(c, outcomeTimeout)
		}},
		"keyed, in another zone": {repeatPastWindow, func(c *core) {
			c.cfg.Settings.Terms.Classes[class] = gate.Class{Semantics: gate.Keyed, DedupWindow: 1e3, Scope: gate.ScopeZone}
			addEndedAttempt(c, outcomeTimeout)
			c.backends = append(c.backends, backend{zone: 7})
			c.requests[0].attempts[0].backend = 1
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCore(t)
			c.cfg.Settings.Terms.Classes = append([]gate.Class{}, c.cfg.Settings.Terms.Classes...)
			c.requests[0].class = class
			tc.prepare(c)
			c.pending = nil
			c.send(gate.Send{})
			assert.Equal(t, 1, c.tally.violations[tc.want])
			require.Len(t, c.pending, 1)
			assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
			assert.Empty(t, c.backendConns, "nothing is dialled")
		})
	}
}

func TestGuardAllowsValidAttempts(t *testing.T) {
	for name, prepare := range map[string]func(*core){
		"a first attempt": func(*core) {},
		"non-idempotent, never ran": func(c *core) {
			c.cfg.Settings.Terms.Classes[1] = gate.Class{Semantics: gate.NonIdempotent}
			c.requests[0].attempts = append(c.requests[0].attempts, &attempt{ended: true, outcome: outcomeTurnedAway})
		},
		"keyed, within its dedup window": func(c *core) {
			c.cfg.Settings.Terms.Classes[1] = gate.Class{Semantics: gate.Keyed, DedupWindow: 1e3}
			c.requests[0].attempts = append(c.requests[0].attempts, &attempt{startedAt: c.now, ended: true, outcome: outcomeBroken})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCore(t)
			c.cfg.Settings.Terms.Classes = append([]gate.Class{}, c.cfg.Settings.Terms.Classes...)
			c.requests[0].class = 1
			prepare(c)
			sendOverPipe(t, c)
			assert.Equal(t, [invariants]int{}, c.tally.violations)
		})
	}
}

func TestRequestOpenPastShutdownIsAnsweredAndCounted(t *testing.T) {
	c, client := newTestCore(t)
	c.shutdown.Store(&lifecycle.Shutdown{AnswerBy: c.now - 1e3, KillAt: c.now + 1e3})
	c.shuttingDown = true
	c.sweep()
	assert.Equal(t, http.StatusBadGateway, readResponse(t, client).Status)
	assert.Equal(t, 1, c.tally.violations[openPastShutdown])
}

func TestClosingConnectionWithOpenRequestIsCounted(t *testing.T) {
	for why, counted := range map[closeReason]int{closedIdle: 1, closedForSocket: 1, closedShutdown: 1, closedByClient: 0, closedWriteFailed: 0} {
		c, _ := newTestCore(t)
		clientClosed{c.requests[0].client, why}.handle(c)
		assert.Equal(t, counted, c.tally.violations[closeUnanswered], why)
	}
}

func TestInvariantNames(t *testing.T) {
	for i := range invariants {
		assert.NotEmpty(t, i.String())
	}
}

// After its process was suspended, a door may find a client's request and the client's close at the same time. The attempt must not
// be written although the reader has not reached the close yet.
func TestNoAttemptStartsForClientWithUnreadClose(t *testing.T) {
	for name, extra := range map[string]string{"no input after the request": "", "input after the request": "GET "} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCore(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			far, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			near, err := ln.Accept()
			require.NoError(t, err)
			defer near.Close()
			cl := newClient(c, near) // without a running reader
			c.requests[0].client, cl.op = cl, 0
			_, err = io.WriteString(far, extra)
			require.NoError(t, err)
			require.NoError(t, far.Close())
			for !sockio.PeerState(cl.raw).Closed.Or(false) {
				time.Sleep(time.Millisecond)
			}
			att, backend := sendOverPipe(t, c)
			backend.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			n, _ := backend.Read(make([]byte, 1))
			assert.Zero(t, n)
			clientClosed{cl, closedByClient}.handle(c)
			assert.Equal(t, stageDropped, att.stage.Load())
			assert.Equal(t, gate.Skipped, c.pending[len(c.pending)-1].(gate.AttemptEnded).Result)
		})
	}
}

// An attempt that waits for its dial is dropped when its backend is withheld: the backend must not receive it.
func TestUnstartedAttemptIsWithdrawnFromDrainingBackend(t *testing.T) {
	dialStarted, proceed := make(chan struct{}, 9), make(chan struct{})
	reached := make(chan struct{}, 9)
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, func(nc net.Conn) {
		defer nc.Close()
		if n, _ := nc.Read(make([]byte, 1)); n > 0 {
			reached <- struct{}{}
		}
	}, sendOnce(events))
	dial := systemDial(time.Second)
	td.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr != td.cfg.Discovery {
			dialStarted <- struct{}{}
			<-proceed
		}
		return dial(context.WithoutCancel(ctx), addr)
	}
	td.cfg.Settings.MaxWait = 3600e3 // so that the request does not time out
	td.start(t)
	td.waitReady(t)
	_, err := io.WriteString(connect(t, td.addr), strings.Replace(lookRequest, "1500m", "60000m", 1))
	require.NoError(t, err)
	await(t, dialStarted, "the dial")
	done := make(chan struct{})
	td.door.Withhold([]string{"s"}, func() { close(done) })
	await(t, done, "the decider's notification")
	assert.Equal(t, gate.Skipped, awaitEvent[gate.AttemptEnded](t, events).Result)
	close(proceed)
	td.shutDownNow()
	assert.Empty(t, reached)
}
