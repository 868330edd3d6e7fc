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
func TestTheGuardCountsAndRefusesWhatWouldBreakAnInvariant(t *testing.T) {
	const semantics = 1 // class that a case sets
	ran := func(c *core, how end) {
		c.ops[0].attempts = append(c.ops[0].attempts, &attempt{at: c.now, ended: true, how: how})
	}
	for name, k := range map[string]struct {
		which invariant
		plant func(*core)
	}{
		"the client has gone": {startForNobody, func(c *core) { c.ops[0].over = true }},
		"its time is over":    {startTooLate, func(c *core) { c.ops[0].until = c.now }},
		"the backend drains":  {startAtUnlisted, func(c *core) { c.backends[0].up = false }},
		"unsafe, may have run": {repeatUnsafe, func(c *core) {
			c.cfg.Settings.Terms.Classes[semantics] = gate.Class{Semantics: gate.NonIdempotent}
			ran(c, endCut)
		}},
		"keyed, past its window": {repeatForgotten, func(c *core) {
			c.cfg.Settings.Terms.Classes[semantics] = gate.Class{Semantics: gate.Keyed, DedupWindow: 0}
			ran(c, endLate)
		}},
		"keyed, in another zone": {repeatForgotten, func(c *core) {
			c.cfg.Settings.Terms.Classes[semantics] = gate.Class{Semantics: gate.Keyed, DedupWindow: 1e3, Scope: gate.ScopeZone}
			ran(c, endLate)
			c.backends = append(c.backends, backend{zone: 7})
			c.ops[0].attempts[0].backend = 1
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := owned(t)
			c.cfg.Settings.Terms.Classes = append([]gate.Class{}, c.cfg.Settings.Terms.Classes...)
			c.ops[0].class = semantics
			k.plant(c)
			c.pending = nil
			c.send(gate.Send{})
			assert.Equal(t, 1, c.tally.broken[k.which])
			require.Len(t, c.pending, 1)
			assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
			assert.Empty(t, c.links, "nothing is dialled")
		})
	}
}

func TestTheGuardLetsThroughWhatIsAllowed(t *testing.T) {
	for name, plant := range map[string]func(*core){
		"a first attempt": func(*core) {},
		"unsafe, never ran": func(c *core) {
			c.cfg.Settings.Terms.Classes[1] = gate.Class{Semantics: gate.NonIdempotent}
			c.ops[0].attempts = append(c.ops[0].attempts, &attempt{ended: true, how: endTurnedAway})
		},
		"keyed, within its window": func(c *core) {
			c.cfg.Settings.Terms.Classes[1] = gate.Class{Semantics: gate.Keyed, DedupWindow: 1e3}
			c.ops[0].attempts = append(c.ops[0].attempts, &attempt{at: c.now, ended: true, how: endCut})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := owned(t)
			c.cfg.Settings.Terms.Classes = append([]gate.Class{}, c.cfg.Settings.Terms.Classes...)
			c.ops[0].class = 1
			plant(c)
			linked(t, c)
			assert.Equal(t, [invariants]int{}, c.tally.broken)
		})
	}
}

func TestARequestPastTheDoorsEndIsAnsweredAndCounted(t *testing.T) {
	c, client := owned(t)
	c.shutdown.Store(&lifecycle.Shutdown{AnswerBy: c.now - 1e3, KillAt: c.now + 1e3})
	c.leaving = true
	c.sweep()
	assert.Equal(t, http.StatusBadGateway, heard(t, client).Status)
	assert.Equal(t, 1, c.tally.broken[openPastEnd])
}

func TestAConnectionThatTheDoorClosesWithARequestOnItIsCounted(t *testing.T) {
	for why, counted := range map[closing]int{closedIdle: 1, closedCrowded: 1, closedShutdown: 1, closedByClient: 0, closedUnwritten: 0} {
		c, _ := owned(t)
		left{c.ops[0].client, why}.take(c)
		assert.Equal(t, counted, c.tally.broken[closeOwing], why)
	}
}

func TestEveryInvariantHasItsName(t *testing.T) {
	for i := range invariants {
		assert.NotEmpty(t, i.String())
	}
}

// A process that was held up comes to a client's request and to its close at once: the attempt must not leave before the close
// is read.
func TestNoAttemptBeginsForAClientWhoseCloseNobodyHasRead(t *testing.T) {
	for name, behind := range map[string]string{"nothing behind its request": "", "bytes behind its request": "GET "} {
		t.Run(name, func(t *testing.T) {
			c, _ := owned(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			far, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			near, err := ln.Accept()
			require.NoError(t, err)
			defer near.Close()
			cl := newClient(c, near) // nobody reads it
			c.ops[0].client, cl.op = cl, 0
			_, err = io.WriteString(far, behind)
			require.NoError(t, err)
			require.NoError(t, far.Close())
			for !sockio.PeerClosed(cl.raw) {
				time.Sleep(time.Millisecond)
			}
			f, backend := linked(t, c)
			backend.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			n, _ := backend.Read(make([]byte, 1))
			assert.Zero(t, n)
			left{cl, closedByClient}.take(c)
			assert.Equal(t, dropped, f.stage.Load())
			assert.Equal(t, gate.Skipped, c.pending[len(c.pending)-1].(gate.AttemptEnded).Result)
		})
	}
}

func TestAnAttemptThatHasNotBegunIsTakenBackFromABackendThatDrains(t *testing.T) {
	dials, goesOn := make(chan struct{}, 9), make(chan struct{})
	reached := make(chan struct{}, 9)
	events := make(chan gate.Event, 99)
	g := rigged(t, func(nc net.Conn) {
		defer nc.Close()
		if n, _ := nc.Read(make([]byte, 1)); n > 0 {
			reached <- struct{}{}
		}
	}, sends(events))
	dial := systemDial(time.Second)
	g.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr != g.cfg.Discovery {
			dials <- struct{}{}
			<-goesOn
		}
		return dial(context.WithoutCancel(ctx), addr)
	}
	g.cfg.Settings.MaxWait = 3600e3 // its time does not run out meanwhile
	g.serve(t)
	g.ready(t)
	_, err := io.WriteString(dialled(t, g.addr), strings.Replace(look, "1500m", "60000m", 1))
	require.NoError(t, err)
	await(t, dials, "the dial")
	told := make(chan struct{})
	g.door.Withhold([]string{"s"}, func() { close(told) })
	await(t, told, "the decisions")
	assert.Equal(t, gate.Skipped, until[gate.AttemptEnded](t, events).Result)
	close(goesOn)
	g.endNow()
	assert.Empty(t, reached)
}
