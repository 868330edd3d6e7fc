package stand

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
)

const baseScenario = `
name = "town"
[day]
seconds = 3
[fleet]
doors = 2
backends = 3
[load]
per_s = 60.0
[[profile]]
name = "look"
work_ms = 10.0
contract_ms = 1000.0
outer_ms = 2500.0
[[profile]]
name = "book"
work_ms = 10.0
contract_ms = 1000.0
outer_ms = 2500.0
semantics = "tokened"
window_ms = 5000.0
[[plan]]
name = "basic"
per_s = 20.0
depth = 40.0
[counter]
on = true
[meter]
period_ms = 1000.0
`

func read(t *testing.T, more string) *scenario.Scenario {
	s, err := scenario.Read([]byte(baseScenario + more))
	require.NoError(t, err)
	return &s
}

func TestSimulatedAndSocketRunsMakeSameRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := read(t, "")
	simulated, err := run.Spec{Scenario: s, Seed: 2, Policy: rival.Swifthall}.Run(context.Background(), nil)
	require.NoError(t, err)
	onSockets, err := SocketRun{Scenario: s, Seed: 2, Policy: rival.Swifthall}.Run(context.Background(), nil)
	require.NoError(t, err)
	assert.Equal(t, simulated.Whole.Asked, onSockets.Whole.Asked)
	assert.InDelta(t, simulated.Whole.Offered, onSockets.Whole.Offered, 1e-6)
	assert.Greater(t, onSockets.Whole.InTime+onSockets.Whole.Late, onSockets.Whole.Asked/2)
	assert.Empty(t, onSockets.Notes)
	assert.Equal(t, run.OnSockets, onSockets.On)
}

func TestDoorCrashesNeedAProgram(t *testing.T) {
	_, err := SocketRun{Scenario: read(t, "\n[[fault]]\nkind = \"door_deaths\"\nat_s = 1.0\nfor_s = 1.0"), Policy: rival.Swifthall}.Run(context.Background(), nil)
	assert.ErrorContains(t, err, embeddedCannotCrash)
	_, err = SocketRun{Scenario: read(t, ""), Policy: rival.Oracle}.Run(context.Background(), nil)
	assert.ErrorContains(t, err, "oracle")
}

func TestCrashedBackendsRefuseAndComeBack(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"death\"\nat_s = 0.5\nfor_s = 1.0\nshare = 0.4")
	r, err := SocketRun{Scenario: s, Seed: 1, Policy: rival.Swifthall}.Run(context.Background(), nil)
	require.NoError(t, err)
	assert.Zero(t, r.Broken[judge.NoneTwice])
	assert.Zero(t, r.Broken[judge.DrainsKept])
	assert.Greater(t, r.Whole.InTime, r.Whole.Asked/3)
}

func TestDiscoverySendsFullListThenEachChange(t *testing.T) {
	d := newDiscovery()
	entry := func(b int, s gate.Status) ([]registry.Entry, []model.BackendEntry) {
		return []registry.Entry{{ID: "b", Addr: "127.0.0.1:1", State: wireStates[s]}}, []model.BackendEntry{{Backend: b, Status: s}}
	}
	entries, states := entry(0, gate.Up)
	d.publish(true, entries, states)
	srv := httptest.NewServer(d)
	defer srv.Close()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+"/registry/instances?stream=1&index=0", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	text, err := r.ReadString('\n')
	require.NoError(t, err)
	whole, err := registry.ReadList([]byte(text))
	require.NoError(t, err)
	assert.True(t, whole.Whole)
	assert.Len(t, whole.Backends, 1)
	entries, states = entry(0, gate.Gone)
	d.publish(false, entries, states)
	text, err = r.ReadString('\n')
	require.NoError(t, err)
	change, err := registry.ReadList([]byte(text))
	require.NoError(t, err)
	assert.Equal(t, gate.Gone, change.Backends[0].Status())
	assert.Equal(t, whole.Version+1, change.Version)
}

func TestCounterCallIsParsedAndMalformedInputRejected(t *testing.T) {
	args, err := readCall(bufio.NewReader(strings.NewReader("*4\r\n$5\r\nTALLY\r\n$3\r\na/1\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n")))
	require.NoError(t, err)
	assert.Equal(t, []string{"TALLY", "a/1", "-2.5", "4000"}, args)
	for _, malformed := range []string{"GET / HTTP/1.1\r\n", "*0\r\n", "*99999\r\n", "*1\r\n$-1\r\n", "*1\r\n$9\r\nshort"} {
		_, err := readCall(bufio.NewReader(strings.NewReader(malformed)))
		assert.Error(t, err, malformed)
	}
}

func TestListenerOfStoppedProcessRefuses(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	tb := &testbed{ctx: ctx, cfg: &SocketRun{}}
	tb.over.Store(true) // no run is in progress
	a, err := newBackendListener(tb, 0, 0)
	require.NoError(t, err)
	a.setUp(false)
	_, err = net.Dial("tcp", a.addr)
	assert.Error(t, err)
	tb.over.Store(false)
	a.setUp(true)
	nc, err := net.Dial("tcp", a.addr)
	require.NoError(t, err)
	tb.over.Store(true)
	nc.Close()
	stop()
	tb.close()
	tb.group.Wait()
}
