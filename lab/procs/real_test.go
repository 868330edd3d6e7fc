package procs

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/lab/load"
)

// built builds the programs once, beside each other; what it built goes when the tests are over.
func built(t *testing.T) string {
	building.Do(func() {
		made, err := os.MkdirTemp("", "swifthall-")
		require.NoError(t, err)
		out, err := exec.Command("go", "build", "-o", made, "../../cmd/swifthall", "../../cmd/swifthall-fleet", "../../cmd/swifthall-coordinate").CombinedOutput()
		require.NoError(t, err, string(out))
		builtIn = made
	})
	return filepath.Join(builtIn, "swifthall")
}

var (
	building sync.Once
	builtIn  string
)

func TestMain(m *testing.M) {
	code := m.Run()
	if builtIn != "" {
		os.RemoveAll(builtIn)
	}
	os.Exit(code)
}

// On real processes: stopped, cut one way, lossy, halved, killed and back. Each day is real time, so they run side by side.
func TestProcessesKeepTheSchedules(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := built(t)
	for _, name := range []string{"short-pause", "short-cut", "short-deaf", "short-loss", "short-split", "short-return", "namesake"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Open(name)
			require.NoError(t, err)
			r, err := Real{Plan: s.Draw(1), Binary: binary, Rate: 20}.Run(context.Background(), nil)
			require.NoError(t, err)
			assert.Empty(t, r.Violations)
			assert.NotEmpty(t, r.History)
			t.Logf("known %.0f ms, back %.0f ms, one view %.0f ms, changes %d; %d of %d operations", largest(r.Figures.DetectionMs), largest(r.Figures.RecoveryMs), r.Figures.ConvergenceMs,
				r.Figures.VerdictChanges, r.Finished, r.Asked)
		})
	}
}

func largest(of []float64) (most float64) {
	for _, x := range of {
		most = max(most, x)
	}
	return most
}

func TestARigThatCantPlaySaysWhatToDo(t *testing.T) {
	s, err := Open("calm")
	require.NoError(t, err)
	_, err = Real{Plan: s.Draw(1), Binary: "/nowhere/swifthall"}.Run(context.Background(), nil)
	var rig *RigError
	require.ErrorAs(t, err, &rig)
	assert.Contains(t, rig.Remedy(), "go build")
	s.Fleet.Doors = 300
	_, err = Real{Plan: s.Draw(1)}.Run(context.Background(), nil)
	var crowd *CrowdError
	assert.ErrorAs(t, err, &crowd)
}

func TestTheRigsOwnRulesFindTheirFaults(t *testing.T) {
	s, err := Open("namesake")
	require.NoError(t, err)
	r := &rig{Real: Real{Plan: s.Draw(1)}, fails: []string{"door-001 ended by itself"}}
	served := []*load.Outcome{{Asked: 1000, Finished: 1000}, {Asked: 1000, Finished: 980}}
	res := r.result(served)
	for _, rule := range []string{RunsOn, ServedOn, StandBack} {
		assert.True(t, hasRule(res, rule), rule)
	}
	r.fails, r.refused = nil, 1
	served[1].Finished = 999
	for _, rule := range []string{RunsOn, ServedOn, StandBack} {
		assert.False(t, hasRule(r.result(served), rule), rule)
	}
}

// A relay is what the schedules stand on: a way that is cut lets nothing through, and holds connections up in both directions.
func TestARelayCutsOneWayAndHoldsConnections(t *testing.T) {
	at, err := loopback.Free()
	require.NoError(t, err)
	udp, err := net.ResolveUDPAddr("udp", at)
	require.NoError(t, err)
	server, err := net.ListenUDP("udp", udp)
	require.NoError(t, err)
	defer server.Close()
	ln, err := net.Listen("tcp", server.LocalAddr().String())
	require.NoError(t, err)
	defer ln.Close()
	go func() { // echoes
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	var cut, dead atomic.Bool
	one, err := newRelay(server.LocalAddr().String(), 1, func() fate { return fate{cut: cut.Load()} }, dead.Load)
	require.NoError(t, err)
	defer one.close()
	nc, err := net.Dial("udp", one.at)
	require.NoError(t, err)
	defer nc.Close()
	came := func(want string) bool {
		_, _ = nc.Write([]byte(want))
		_ = server.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		buf := make([]byte, 64)
		n, _, err := server.ReadFromUDP(buf)
		return err == nil && string(buf[:n]) == want
	}
	assert.True(t, came("open"))
	cut.Store(true)
	assert.False(t, came("cut"))
	cut.Store(false)
	assert.True(t, came("open again"))

	dead.Store(true)
	tcp, err := net.Dial("tcp", one.at)
	require.NoError(t, err)
	defer tcp.Close()
	_, err = tcp.Write([]byte("x"))
	require.NoError(t, err)
	_ = tcp.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = tcp.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "open and silent")
	dead.Store(false)
	_ = tcp.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(tcp, make([]byte, 1))
	require.NoError(t, err)
	one.reset()
	_, err = tcp.Read(make([]byte, 1))
	assert.Error(t, err)
}
