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

// buildPrograms builds the programs once, into one directory that TestMain removes, and returns the path of swifthall.
func buildPrograms(t *testing.T) string {
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "swifthall-")
		require.NoError(t, err)
		out, err := exec.Command("go", "build", "-o", dir, "../../cmd/swifthall", "../../cmd/swifthall-fleet", "../../cmd/swifthall-coordinate").CombinedOutput()
		require.NoError(t, err, string(out))
		buildDir = dir
	})
	return filepath.Join(buildDir, "swifthall")
}

var (
	buildOnce sync.Once
	buildDir  string
)

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// Schedules with pauses, one-way cuts, loss, a split, restarts and a duplicate name keep all rules on real processes. They run in
// parallel, as each takes real time.
func TestProcessesKeepTheSchedules(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := buildPrograms(t)
	for _, name := range []string{"short-pause", "short-cut", "short-deaf", "short-loss", "short-split", "short-return", "namesake"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Open(name)
			require.NoError(t, err)
			r, err := Real{Plan: s.Draw(1), Binary: binary, Rate: 20}.Run(context.Background(), nil)
			require.NoError(t, err)
			assert.Empty(t, r.Violations)
			assert.NotEmpty(t, r.History)
			t.Logf("detected %.0f ms, recovered %.0f ms, converged %.0f ms, changes %d; %d of %d operations", largest(r.Figures.DetectionMs), largest(r.Figures.RecoveryMs), r.Figures.ConvergenceMs,
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

func TestRigErrorsNameTheRemedy(t *testing.T) {
	s, err := Open("calm")
	require.NoError(t, err)
	_, err = Real{Plan: s.Draw(1), Binary: "/nowhere/swifthall"}.Run(context.Background(), nil)
	var rig *RigError
	require.ErrorAs(t, err, &rig)
	assert.Contains(t, rig.Remedy(), "go build")
	s.Fleet.Doors = 300
	_, err = Real{Plan: s.Draw(1)}.Run(context.Background(), nil)
	var limit *ProcessLimitError
	assert.ErrorAs(t, err, &limit)
}

func TestRigRulesFindViolations(t *testing.T) {
	s, err := Open("namesake")
	require.NoError(t, err)
	r := &rig{Real: Real{Plan: s.Draw(1)}, failures: []string{"door-001 exited unexpectedly"}}
	served := []*load.Outcome{{Asked: 1000, Finished: 1000}, {Asked: 1000, Finished: 980}}
	res := r.result(served)
	for _, rule := range []string{RuleNoUnexpectedExit, RuleDoorsServe, RuleNamesakeYields} {
		assert.True(t, hasRule(res, rule), rule)
	}
	r.failures, r.nameConflicts = nil, 1
	served[1].Finished = 999
	for _, rule := range []string{RuleNoUnexpectedExit, RuleDoorsServe, RuleNamesakeYields} {
		assert.False(t, hasRule(r.result(served), rule), rule)
	}
}

// All schedules on processes rely on the relay: a cut link drops datagrams, and connections stall while either direction is cut.
func TestRelayCutsOneWayAndHoldsConnections(t *testing.T) {
	free, err := loopback.Free()
	require.NoError(t, err)
	udp, err := net.ResolveUDPAddr("udp", free)
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
	var cut, blocked atomic.Bool
	proxy, err := newRelay(server.LocalAddr().String(), 1, func() impairment { return impairment{cut: cut.Load()} }, blocked.Load)
	require.NoError(t, err)
	defer proxy.close()
	nc, err := net.Dial("udp", proxy.address)
	require.NoError(t, err)
	defer nc.Close()
	arrives := func(want string) bool {
		_, _ = nc.Write([]byte(want))
		_ = server.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		buf := make([]byte, 64)
		n, _, err := server.ReadFromUDP(buf)
		return err == nil && string(buf[:n]) == want
	}
	assert.True(t, arrives("open"))
	cut.Store(true)
	assert.False(t, arrives("cut"))
	cut.Store(false)
	assert.True(t, arrives("open again"))

	blocked.Store(true)
	tcp, err := net.Dial("tcp", proxy.address)
	require.NoError(t, err)
	defer tcp.Close()
	_, err = tcp.Write([]byte("x"))
	require.NoError(t, err)
	_ = tcp.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = tcp.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is open and transfers nothing")
	blocked.Store(false)
	_ = tcp.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(tcp, make([]byte, 1))
	require.NoError(t, err)
	proxy.reset()
	_, err = tcp.Read(make([]byte, 1))
	assert.Error(t, err)
}
