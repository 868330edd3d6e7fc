package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
	"github.com/swifthall/swifthall/store"
)

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// peer is a coordinator in the test's process.
type peer struct {
	*Coordinator
	cfg       config.Coordinator
	store     store.Store
	layer     raft.StreamLayer
	transport *raft.NetworkTransport

	options Options
	api     *httptest.Server
}

// stop closes the peer and keeps its store, so that it can be started again.
func (p *peer) stop() {
	if p.Coordinator != nil {
		p.api.Close()
		p.Close()
		p.transport.Close()
		p.Coordinator = nil
	}
}

// apiAddress returns the peer's name with the address of its API.
func (p *peer) apiAddress() config.NamedAddress {
	return config.NamedAddress{Name: p.cfg.Name, Address: strings.TrimPrefix(p.api.URL, "http://")}
}

// start starts the peer from its store, with a new API address.
func (p *peer) start(t *testing.T) {
	if p.layer == nil {
		l, err := Listen(p.cfg.Listen)
		require.NoError(t, err)
		p.layer = l
	}
	p.transport = NewTransport(p.layer, nil, discardLog())
	p.layer = nil
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p.cfg.API = ln.Addr().String()
	p.Coordinator, err = Start(p.cfg, p.store, p.transport, p.options, discardLog())
	require.NoError(t, err)
	p.api = httptest.NewUnstartedServer(p.Handler())
	p.api.Listener.Close()
	p.api.Listener = ln
	p.api.Start()
	t.Cleanup(p.stop)
}

// startPeers starts n peers that are the members of one fleet.
func startPeers(t *testing.T, n int) (all []*peer) {
	var members []config.NamedAddress
	for i := range n {
		p := newPeer(t, fmt.Sprint("c-", i))
		members = append(members, listenAddress(p))
		all = append(all, p)
	}
	for _, p := range all {
		p.cfg.Members = members
		p.start(t)
	}
	return all
}

// listenAddress returns the peer's name with its address for other coordinators.
func listenAddress(p *peer) config.NamedAddress {
	return config.NamedAddress{Name: p.cfg.Name, Address: p.cfg.Listen}
}

// newPeer returns a peer with an empty store in memory. It is not started.
func newPeer(t *testing.T, name string) *peer {
	at, err := loopback.Free() // a restarted peer uses the same address
	require.NoError(t, err)
	l, err := Listen(at)
	require.NoError(t, err)
	return &peer{cfg: config.Coordinator{Name: name, Listen: l.Addr().String()}, layer: l, store: store.NewMemory()}
}

func eventually(t *testing.T, what string, is func() bool) {
	require.Eventually(t, is, 20*time.Second, 10*time.Millisecond, what)
}

// waitLeader waits until one of the peers leads, with its Leadership command applied, and returns it.
func waitLeader(t *testing.T, all []*peer) (at *peer) {
	eventually(t, "a leader", func() bool {
		for _, p := range all {
			if p.Coordinator != nil && p.currentTerm() != nil && p.raft.VerifyLeader().Error() == nil {
				at = p
				return true
			}
		}
		return false
	})
	return at
}

func newClient(all []*peer) *client.Client {
	var named []config.NamedAddress
	for _, p := range all {
		if p.Coordinator != nil {
			named = append(named, p.apiAddress())
		}
	}
	return client.New(named)
}

// shortContext returns a context that ends after the time limit of one step of a test.
func shortContext(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(stop)
	return ctx
}

// command commits a command at the leader and returns its answer.
func command(t *testing.T, c *client.Client, caller string, seq uint64, do any) permits.Answer {
	a, err := c.Command(shortContext(t), permits.Command{Caller: caller, Seq: seq, Do: do})
	require.NoError(t, err)
	return a
}

var budgets = permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Backend, MaxOut: 1}, {Kind: permits.Door, MaxOut: 1}}}

// reportDoor sends the report of a door that is ready and lists two ready backends.
func reportDoor(t *testing.T, c *client.Client, door string, incarnation, seq, did uint64) permits.Reply {
	report := permits.DoorReport{Caller: door + "/1", Seq: seq, Sighting: permits.Sighting{Unit: permits.Unit{Kind: permits.Door, Name: door}, Standing: permits.Ready, Incarnation: incarnation, Process: 1, Did: did}}
	for _, b := range []string{"b-0", "b-1"} {
		report.Backends = append(report.Backends, permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: b}, Standing: permits.Ready})
	}
	reply, err := c.ReportDoor(shortContext(t), &report)
	require.NoError(t, err)
	return reply
}

// status queries the leader for the status.
func status(t *testing.T, c *client.Client) (st client.Status) {
	require.NoError(t, c.Ask(shortContext(t), client.StatusPath, struct{}{}, &st))
	return st
}

func TestADrainIsConfirmedAndSurvivesALeaderChange(t *testing.T) {
	all := startPeers(t, 3)
	waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, budgets)
	incarnation := command(t, c, "d/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: "d"}, Process: 1}).Number
	seq := uint64(2)
	report := func(did uint64) permits.Reply { seq++; return reportDoor(t, c, "d", incarnation, seq, did) }
	eventually(t, "backends are in the state", func() bool { report(0); return len(status(t, c).Units) == 3 })
	a := command(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"})
	require.NoError(t, a.Err)
	assert.Equal(t, a, command(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"}), "a repeated command")
	var denied *permits.DeniedError
	assert.ErrorAs(t, command(t, c, "op3", 1, permits.Drain{Kind: permits.Backend, Name: "b-1"}).Err, &denied)
	r := report(0)
	assert.Equal(t, []string{"b-0"}, r.Withheld)
	assert.Equal(t, []string{"d"}, status(t, c).Permits[0].Waiting)
	report(r.Change)
	eventually(t, "the door has confirmed", func() bool { return status(t, c).Permits[0].Drained })

	former := waitLeader(t, all)
	former.stop()
	waitLeader(t, all)
	require.NotNil(t, c)
	assert.Equal(t, a, command(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"}), "the answer to a repeated command after its leader was lost")
	st := status(t, c)
	assert.Len(t, st.Permits, 1)
	assert.True(t, st.Current)
	assert.ErrorAs(t, command(t, c, "op4", 1, permits.Drain{Kind: permits.Backend, Name: "b-1"}).Err, &denied, "the new leader has no sightings, or knows that b-0 is out")
	var result client.DryRunResult
	require.NoError(t, c.Ask(shortContext(t), client.DryRunPath, client.DryRun{Kind: permits.Backend, Name: "b-1"}, &result))
	assert.Equal(t, []string{"backend/b-1"}, result.Units)
	assert.Error(t, result.Answer.Err)
}

func TestConcurrentDrainsDontExceedTheBudget(t *testing.T) {
	all := startPeers(t, 3)
	waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, Zone: permits.EachZone, MaxOut: 2, MinReady: 1}}})
	for _, d := range []string{"d1", "d2"} {
		incarnation := command(t, c, d+"/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: d}, Process: 1}).Number
		reportDoor(t, c, d, incarnation, 2, 0)
	}
	eventually(t, "both are ready", func() bool {
		n := 0
		for _, u := range status(t, c).Units {
			if u.Kind == permits.Door && !u.Out {
				n++
			}
		}
		return n == 2
	})
	answers := make(chan permits.Answer, 2)
	for i, d := range []string{"d1", "d2"} {
		own := newClient(all)
		go func() {
			a, err := own.Command(shortContext(t), permits.Command{Caller: fmt.Sprint("op-", i), Seq: 1, Do: permits.Drain{Kind: permits.Door, Name: d, Who: d}})
			assert.NoError(t, err)
			answers <- a
		}()
	}
	denied := 0
	for range 2 {
		if a := <-answers; a.Err != nil {
			denied++
		}
	}
	assert.Equal(t, 1, denied)
}

func TestAFollowerNamesTheLeaderAndReportsItsStateAsOutdated(t *testing.T) {
	all := startPeers(t, 3)
	lead := waitLeader(t, all)
	for _, p := range all {
		if p == lead {
			continue
		}
		eventually(t, "it knows the leader", func() bool { return p.hint().Leader == lead.cfg.Name })
		assert.False(t, p.Status().Current)
		_, err := p.Command(permits.Command{Caller: "x", Seq: 1, Do: permits.Halt{}})
		var elsewhere *NotLeaderError
		require.ErrorAs(t, err, &elsewhere)
		assert.Equal(t, lead.cfg.Name, elsewhere.Hint.Leader)
		c := client.New([]config.NamedAddress{p.apiAddress(), lead.apiAddress()})
		command(t, c, "op-"+p.cfg.Name, 1, permits.Halt{Who: "ana"})
	}
}

func TestWithoutAMajorityCommandsFailUntilOneIsRestored(t *testing.T) {
	all := startPeers(t, 3)
	lead := waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, budgets)
	var stopped *peer
	for _, p := range all {
		if p != lead {
			p.stop()
			stopped = p
		}
	}
	eventually(t, "it has lost the leadership", func() bool { return lead.raft.State() != raft.Leader })
	ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	_, err := client.New([]config.NamedAddress{lead.apiAddress(), {Name: stopped.cfg.Name, Address: "127.0.0.1:1"}}).Command(ctx, permits.Command{Caller: "op", Seq: 9, Do: permits.Halt{}})
	var none *client.NoLeaderError
	require.ErrorAs(t, err, &none)
	assert.Contains(t, none.Remedy(), "docs/coordinators.md")
	assert.Equal(t, client.StatusPath, "/status")

	lead.stop()
	lead.cfg.Members = []config.NamedAddress{{Name: lead.cfg.Name, Address: lead.cfg.Listen}}
	l, err := Listen(lead.cfg.Listen)
	require.NoError(t, err)
	lead.layer = l
	transport := NewTransport(l, nil, discardLog())
	require.NoError(t, Restore(lead.cfg, lead.store, transport, discardLog()))
	transport.Close()
	lead.layer = nil
	lead.start(t)
	waitLeader(t, []*peer{lead})
	st := status(t, newClient([]*peer{lead}))
	assert.Equal(t, budgets.Budgets, st.Budgets)
	assert.Len(t, st.Members, 1)
}

func TestCoordinatorsAreAddedReplacedAndRemovedAtRunTime(t *testing.T) {
	all := startPeers(t, 3)
	lead := waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, budgets)
	added := newPeer(t, "c-3")
	added.cfg.Join = true
	added.start(t)
	require.NoError(t, c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Add: true, Name: "c-3", Address: added.cfg.Listen, Who: "ana"}, &struct{}{}))
	eventually(t, "it has received the state", func() bool { return len(added.Status().Budgets) == 2 })
	lead.stop()
	rest := append(all, added)
	waitLeader(t, rest)
	c = newClient(rest)
	require.NoError(t, c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Name: lead.cfg.Name, Who: "ana"}, &struct{}{}))
	assert.Len(t, status(t, c).Members, 3)
	next := waitLeader(t, rest)
	for _, p := range rest {
		if p.Coordinator != nil && p != next {
			p.stop()
			break
		}
	}
	waitLeader(t, rest)
	eventually(t, "the silent coordinator is reported", func() bool {
		for _, m := range status(t, c).Members {
			if m.SilentMs > 0 {
				return true
			}
		}
		return false
	})
	var refused *client.RefusedError
	require.ErrorAs(t, c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Name: next.cfg.Name}, &struct{}{}), &refused)
	assert.Contains(t, refused.Reason, "Add another")
	lines := next.Audit()
	assert.Contains(t, lines[len(lines)-1].What, "coordinator removed: "+lead.cfg.Name)
}

func TestTheStateIsRestoredFromTheLogAndASnapshot(t *testing.T) {
	dir := t.TempDir()
	open := func() store.Store {
		s, err := store.Open(filepath.Join(dir, fileName), store.Options{})
		require.NoError(t, err)
		return s
	}
	p := newPeer(t, "c-0")
	p.cfg.Members = []config.NamedAddress{{Name: "c-0", Address: p.cfg.Listen}}
	p.store = open()
	for round := range 3 {
		p.start(t)
		waitLeader(t, []*peer{p})
		c := newClient([]*peer{p})
		command(t, c, fmt.Sprint("op", round), 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: round + 1}}})
		require.NoError(t, p.raft.Snapshot().Error())
		command(t, c, fmt.Sprint("op", round), 2, permits.Halt{Who: fmt.Sprint(round)})
		st := status(t, c)
		assert.Equal(t, round+1, st.Budgets[0].MaxOut)
		assert.Len(t, st.Halts, round+1, "including those of earlier runs")
		p.stop()
		require.NoError(t, p.store.Close())
		p.store = open()
	}
	p.store.Close()
}

// Guards against a coordinator that ends with "concurrent map iteration and map write", since its status shares maps with the state, which
// goes on changing while the status is encoded.
func TestStatusSharesNothingWithTheState(t *testing.T) {
	all := startPeers(t, 1)
	p := waitLeader(t, all)
	c := newClient(all)
	digest := strings.Repeat("ab", 32)
	command(t, c, "d/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: "d"}, Process: 1})
	command(t, c, "d/holder/1", 1, release.ReportVersions{Door: "d", Runs: release.Versions{}})
	command(t, c, "op", 1, release.Start{Plan: release.Plan{Name: "r", Changes: release.Program, Digest: digest, Waves: []release.Wave{{Rest: true}}}, Who: "op"})
	st := p.Status()
	before, err := json.Marshal([]any{st.Releases, st.Runs})
	require.NoError(t, err)
	p.fsm.read(func(s *permits.State) { s.Release.BeginChange(1, "d", 7) })
	command(t, c, "d/holder/1", 2, release.ReportVersions{Door: "d", Runs: release.Versions{release.Program: "x"}, Failed: map[string]string{digest: "missing"}})
	after, err := json.Marshal([]any{st.Releases, st.Runs})
	require.NoError(t, err)
	assert.JSONEq(t, string(before), string(after))
}

func TestAFullDiskTerminatesTheCoordinatorAndASlowOneCostsLeadership(t *testing.T) {
	dir := t.TempDir()
	fault := filepath.Join(dir, "fault")
	cfg := config.Coordinator{Name: "c-0", Fleet: "f", Data: dir}
	var all []*peer
	for i := range 2 {
		all = append(all, newPeer(t, fmt.Sprint("c-", i+1)))
	}
	var err error
	cfg.Listen, err = loopback.Free()
	require.NoError(t, err)
	cfg.API, err = loopback.Free()
	require.NoError(t, err)
	cfg.Members = []config.NamedAddress{{Name: "c-0", Address: cfg.Listen}}
	for _, p := range all {
		cfg.Members = append(cfg.Members, config.NamedAddress{Name: p.cfg.Name, Address: p.cfg.Listen})
	}
	for _, p := range all {
		p.cfg.Members = cfg.Members
		p.start(t)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, Options{BeforeWrite: DiskFaultHook(fault)}, discardLog()) }()
	c := client.New([]config.NamedAddress{{Name: "c-0", Address: cfg.API}, all[0].apiAddress(), all[1].apiAddress()})
	leaderName := func() string { return status(t, c).Leader }
	current := leaderName()
	for current != "c-0" { // until the one with the faulty disk leads
		for _, p := range all {
			if p.cfg.Name == current {
				_ = p.raft.LeadershipTransferToServer("c-0", raft.ServerAddress(cfg.Listen)).Error()
			}
		}
		current = leaderName()
	}
	require.NoError(t, os.WriteFile(fault, []byte("400ms"), 0o600))
	eventually(t, "another leads", func() bool { return leaderName() != "c-0" })
	require.NoError(t, os.WriteFile(fault, []byte("full"), 0o600))
	command(t, c, "op", 1, permits.Halt{Who: "ana"})
	select {
	case err := <-ended:
		var failed *store.WriteError
		require.ErrorAs(t, err, &failed)
	case <-time.After(20 * time.Second):
		require.Fail(t, "it continues without its disk")
	}
	command(t, c, "op", 2, permits.Resume{Who: "ana"})
}

func TestAnUndecodableRequestIsRefused(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	var refused *client.RefusedError
	assert.ErrorAs(t, c.Ask(shortContext(t), client.CommandPath, map[string]any{"do": map[string]string{"is": "dance"}}, &struct{}{}), &refused)
	assert.Contains(t, refused.Reason, "dance")
}
