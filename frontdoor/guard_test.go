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

// What decisions with a fault ask for is counted, and not done.
func TestGuardPreventsAndCountsViolations(t *testing.T) {
	const semantics = 1 // class that a case sets
	ran := func(c *core, how outcome) {
		c.requests[0].attempts = append(c.requests[0].attempts, &attempt{startedAt: c.now, ended: true, outcome: how})
	}
	for name, k := range map[string]struct {
		which invariant
		plant func(*core)
	}{
		"the client has gone": {startWithoutClient, func(c *core) { c.requests[0].done = true }},
		"its time is over":    {startTooLate, func(c *core) { c.requests[0].deadline = c.now }},
		"the backend drains":  {startAtIneligible, func(c *core) { c.backends[0].eligible = false }},
		"unsafe, may have run": {repeatUnsafe, func(c *core) {
			c.cfg.Settings.Terms.Classes[semantics] = gate.Class{Semantics: gate.NonIdempotent}
			ran(c, outcomeBroken)
		}},
		"keyed, past its window": {repeatPastWindow, func(c *core) {
			c.cfg.Settings.Terms.Classes[semantics] = gate.Class{Semantics: gate.Keyed, DedupWindow: 0}
			ran(c, outcomeTimeout)
		}},
		"keyed, in another zone": {repeatPastWindow, func(c *core) {
			c.cfg.Settings.Terms.Classes[semantics] = gate.Class{Semantics: gate.Keyed, DedupWindow: 1e3, Scope: gate.ScopeZone}
			ran(c, outcomeTimeout)
			c.backends = append(c.backends, backend{zone: 7})
			c.requests[0].attempts[0].backend = 1
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCore(t)
			c.cfg.Settings.Terms.Classes = append([]gate.Class{}, c.cfg.Settings.Terms.Classes...)
			c.requests[0].class = semantics
			k.plant(c)
			c.pending = nil
			c.send(gate.Send{})
			assert.Equal(t, 1, c.tally.violations[k.which])
			require.Len(t, c.pending, 1)
			assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
			assert.Empty(t, c.backendConns, "nothing is dialled")
		})
	}
}

func TestGuardAllowsValidAttempts(t *testing.T) {
	for name, plant := range map[string]func(*core){
		"a first attempt": func(*core) {},
		"unsafe, never ran": func(c *core) {
			c.cfg.Settings.Terms.Classes[1] = gate.Class{Semantics: gate.NonIdempotent}
			c.requests[0].attempts = append(c.requests[0].attempts, &attempt{ended: true, outcome: outcomeTurnedAway})
		},
		"keyed, within its window": func(c *core) {
			c.cfg.Settings.Terms.Classes[1] = gate.Class{Semantics: gate.Keyed, DedupWindow: 1e3}
			c.requests[0].attempts = append(c.requests[0].attempts, &attempt{startedAt: c.now, ended: true, outcome: outcomeBroken})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCore(t)
			c.cfg.Settings.Terms.Classes = append([]gate.Class{}, c.cfg.Settings.Terms.Classes...)
			c.requests[0].class = 1
			plant(c)
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

// A process that was held up comes to a client's request and to its close at once: the attempt must not leave before the close
// is read.
func TestNoAttemptStartsForClientWithUnreadClose(t *testing.T) {
	for name, behind := range map[string]string{"nothing behind its request": "", "bytes behind its request": "GET "} {
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
			cl := newClient(c, near) // nobody reads it
			c.requests[0].client, cl.op = cl, 0
			_, err = io.WriteString(far, behind)
			require.NoError(t, err)
			require.NoError(t, far.Close())
			for !sockio.PeerClosed(cl.raw) {
				time.Sleep(time.Millisecond)
			}
			f, backend := sendOverPipe(t, c)
			backend.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			n, _ := backend.Read(make([]byte, 1))
			assert.Zero(t, n)
			clientClosed{cl, closedByClient}.handle(c)
			assert.Equal(t, stageDropped, f.stage.Load())
			assert.Equal(t, gate.Skipped, c.pending[len(c.pending)-1].(gate.AttemptEnded).Result)
		})
	}
}

func TestUnstartedAttemptIsWithdrawnFromDrainingBackend(t *testing.T) {
	dials, goesOn := make(chan struct{}, 9), make(chan struct{})
	reached := make(chan struct{}, 9)
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, func(nc net.Conn) {
		defer nc.Close()
		if n, _ := nc.Read(make([]byte, 1)); n > 0 {
			reached <- struct{}{}
		}
	}, sendOnce(events))
	dial := systemDial(time.Second)
	g.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr != g.cfg.Discovery {
			dials <- struct{}{}
			<-goesOn
		}
		return dial(context.WithoutCancel(ctx), addr)
	}
	g.cfg.Settings.MaxWait = 3600e3 // its time does not run out meanwhile
	g.start(t)
	g.waitReady(t)
	_, err := io.WriteString(connect(t, g.addr), strings.Replace(lookRequest, "1500m", "60000m", 1))
	require.NoError(t, err)
	await(t, dials, "the dial")
	told := make(chan struct{})
	g.door.Withhold([]string{"s"}, func() { close(told) })
	await(t, told, "the decisions")
	assert.Equal(t, gate.Skipped, awaitEvent[gate.AttemptEnded](t, events).Result)
	close(goesOn)
	g.shutDownNow()
	assert.Empty(t, reached)
}
