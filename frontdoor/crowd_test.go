package frontdoor

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/reading"
	"github.com/swifthall/swifthall/internal/sockio"
)

func TestALongQueueShortensTheTimeForAFirstRequest(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Sockets = 256
	assert.Equal(t, c.cfg.Pace.Linger, c.graceFor(socketNeeded{waiting: reading.Known(0)}))
	assert.Equal(t, c.cfg.Pace.Linger, c.graceFor(socketNeeded{waiting: reading.Known(1)}))
	assert.Equal(t, maxQueueWait*192/480.0, c.graceFor(socketNeeded{waiting: reading.Known(480)}))
	assert.EqualValues(t, minCrowdGrace, c.graceFor(socketNeeded{waiting: reading.Known(1_000_000)}))
	var silent []*client
	for range 4 {
		far, near := net.Pipe()
		defer far.Close()
		cl := newClient(c, near)
		cl.idleSince -= 110 // ms
		clientOpened{cl}.handle(c)
		silent = append(silent, cl)
	}
	closed := func() (n int) {
		for _, cl := range silent {
			if cl.closeRequested.Load() {
				n++
			}
		}
		return n
	}
	socketNeeded{waiting: reading.Known(3)}.handle(c)
	assert.Zero(t, closed(), "a short queue is served in time")
	c.cfg.Sockets = 2
	socketNeeded{waiting: reading.Known(3)}.handle(c)
	assert.Zero(t, closed(), "their time is not over")
	c.cfg.Pace.Linger = 300
	socketNeeded{waiting: reading.Known(3)}.handle(c)
	assert.Equal(t, 3, closed(), "as many as wait are closed")
}

func TestListenQueueIsCountedAndClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	assert.Equal(t, reading.Known(0), sockio.ListenQueue(raw))
	for range 3 {
		connect(t, ln.Addr().String())
	}
	assert.Equal(t, reading.Known(3), sockio.ListenQueue(raw))
	sockio.CloseListenQueue(raw)
	_, err = net.DialTimeout("tcp", ln.Addr().String(), minCrowdGrace*4e6)
	assert.Error(t, err, "no further connection comes into the queue")
	for range 3 {
		nc, err := ln.Accept()
		require.NoError(t, err, "those in the queue stay")
		nc.Close()
	}
}

// Guards against a door that makes room for 100 clients a second beside a crowd where the system does not tell how many wait (issue 65).
func TestUnknownQueueMakesRoomForEachClient(t *testing.T) {
	for name, play := range map[string]struct {
		waiting      reading.Value[int]
		fewest, most int // searches or closes that are asked for in a second
	}{
		"unknown":    {reading.Unknown[int](), 500, 2000},
		"known":      {reading.Known(7), 50, 100},
		"known none": {reading.Known(0), 50, 100},
	} {
		asked, searches := 0, 0
		synctest.Test(t, func(t *testing.T) {
			c, _ := newTestCore(t)
			c.budget = newSocketBudget(0)
			c.signals.listenQueue = func(net.Listener) reading.Value[int] { return play.waiting }
			a := &acceptor{c: c}
			ended := make(chan struct{})
			go func() { // each client that is closed takes a moment
				for {
					select {
					case e := <-c.events:
						if need, is := e.(socketNeeded); is {
							asked++
							if !need.repeated {
								searches++
							}
							time.AfterFunc(time.Millisecond, c.budget.release)
						}
					case <-ended:
						return
					}
				}
			}()
			for began := time.Now(); time.Since(began) < time.Second; a.acceptedSince = true {
				require.True(t, a.acquireSocket(t.Context())) // and the client that waits is accepted
			}
			close(ended)
			time.Sleep(time.Second)
		})
		t.Logf("%s: %d clients", name, asked)
		assert.GreaterOrEqual(t, asked, play.fewest, name)
		assert.LessOrEqual(t, asked, play.most, name)
		assert.LessOrEqual(t, searches, 100, "%s: the search for idle clients is costly", name)
	}
}

// A queue of unknown length that no accept finds empty shortens the time for a first request; an empty one restores it slowly.
func TestQueuePressure(t *testing.T) {
	var p queuePressure
	now := 1000.0
	p.update(now, false)
	assert.Equal(t, 700.0, p.grace(700), "nothing is known yet")
	for range 50 {
		now += 10
		p.update(now, false)
	}
	assert.InDelta(t, 175, p.grace(700), 1e-6, "after 0.5 s")
	for range 1000 {
		now += 10
		p.update(now, false)
	}
	assert.EqualValues(t, minCrowdGrace, p.grace(700))
	for range 100 {
		now += 10
		p.update(now, true)
	}
	assert.InDelta(t, 700/32., p.grace(700), 1e-6, "doubled after a second")
	p.update(now+2*crowdSpan, false)
	assert.Equal(t, 700.0, p.grace(700), "another crowd")
}

// A door that gets no signal of the system leaves resident memory out of its account.
func TestUnknownMemoryIsNotLoggedAsZero(t *testing.T) {
	c, _ := newTestCore(t)
	assert.NotZero(t, c.resources().fields()[fields.ResidentKB])
	c.signals = signalsTakenAway()
	assert.NotContains(t, c.resources().fields(), fields.ResidentKB)
}
