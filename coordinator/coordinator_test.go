package coordinator

import (
	"context"
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
	"github.com/swifthall/swifthall/store"
)

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// peer is one coordinator within the test's process.
type peer struct {
	*Coordinator
	cfg       config.Coordinator
	store     store.Store
	layer     raft.StreamLayer
	transport *raft.NetworkTransport

	options Options
	api     *httptest.Server
}

func (p *peer) stop() {
	if p.Coordinator != nil {
		p.api.Close()
		p.Close()
		p.transport.Close()
		p.Coordinator = nil
	}
}

func (p *peer) apiAddress() config.NamedAddress {
	return config.NamedAddress{Name: p.cfg.Name, Address: strings.TrimPrefix(p.api.URL, "http://")}
}

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

func listenAddress(p *peer) config.NamedAddress {
	return config.NamedAddress{Name: p.cfg.Name, Address: p.cfg.Listen}
}

func newPeer(t *testing.T, name string) *peer {
	at, err := loopback.Free() // it is taken again after a restart
	require.NoError(t, err)
	l, err := Listen(at)
	require.NoError(t, err)
	return &peer{cfg: config.Coordinator{Name: name, Listen: l.Addr().String()}, layer: l, store: store.NewMemory()}
}

func eventually(t *testing.T, what string, is func() bool) {
	require.Eventually(t, is, 20*time.Second, 10*time.Millisecond, what)
}

// waitLeader waits until one of them leads and says so.
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

func shortContext(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(stop)
	return ctx
}

func command(t *testing.T, c *client.Client, caller string, seq uint64, do any) permits.Answer {
	a, err := c.Command(shortContext(t), permits.Command{Caller: caller, Seq: seq, Do: do})
	require.NoError(t, err)
	return a
}

var budgets = permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Backend, MaxOut: 1}, {Kind: permits.Door, MaxOut: 1}}}

// reportDoor has a door say that it is ready, and of two backends that they are.
func reportDoor(t *testing.T, c *client.Client, door string, life, seq, did uint64) permits.Reply {
	w := permits.DoorReport{Caller: door + "/1", Seq: seq, Sighting: permits.Sighting{Unit: permits.Unit{Kind: permits.Door, Name: door}, Standing: permits.Ready, Incarnation: life, Process: 1, Did: did}}
	for _, b := range []string{"b-0", "b-1"} {
		w.Backends = append(w.Backends, permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: b}, Standing: permits.Ready})
	}
	r, err := c.Word(shortContext(t), &w)
	require.NoError(t, err)
	return r
}

func status(t *testing.T, c *client.Client) (st client.Status) {
	require.NoError(t, c.Ask(shortContext(t), client.StatusPath, struct{}{}, &st))
	return st
}

func TestADrainIsAgreedConfirmedAndOutlivesItsLeader(t *testing.T) {
	all := startPeers(t, 3)
	waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, budgets)
	life := command(t, c, "d/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: "d"}, Process: 1}).Number
	seq := uint64(2)
	word := func(did uint64) permits.Reply { seq++; return reportDoor(t, c, "d", life, seq, did) }
	eventually(t, "backends are known", func() bool { word(0); return len(status(t, c).Units) == 3 })
	a := command(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"})
	require.NoError(t, a.Err)
	assert.Equal(t, a, command(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"}), "a repeat")
	var denied *permits.DeniedError
	assert.ErrorAs(t, command(t, c, "op3", 1, permits.Drain{Kind: permits.Backend, Name: "b-1"}).Err, &denied)
	r := word(0)
	assert.Equal(t, []string{"b-0"}, r.Withheld)
	assert.Equal(t, []string{"d"}, status(t, c).Permits[0].Waiting)
	word(r.Change)
	eventually(t, "the door has confirmed", func() bool { return status(t, c).Permits[0].Drained })

	gone := waitLeader(t, all)
	gone.stop()
	waitLeader(t, all)
	require.NotNil(t, c)
	assert.Equal(t, a, command(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"}), "an answer that was lost with its leader")
	st := status(t, c)
	assert.Len(t, st.Permits, 1)
	assert.True(t, st.Current)
	assert.ErrorAs(t, command(t, c, "op4", 1, permits.Drain{Kind: permits.Backend, Name: "b-1"}).Err, &denied, "the new leader knows nobody, or knows that b-0 is out")
	var t2 client.DryRunResult
	require.NoError(t, c.Ask(shortContext(t), client.DryRunPath, client.DryRun{Kind: permits.Backend, Name: "b-1"}, &t2))
	assert.Equal(t, []string{"backend/b-1"}, t2.Units)
	assert.Error(t, t2.Answer.Err)
}

func TestTwoOperatorsAtOnceDontGetTheLastTwoPlaces(t *testing.T) {
	all := startPeers(t, 3)
	waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, Zone: permits.EachZone, MaxOut: 2, MinReady: 1}}})
	for _, d := range []string{"d1", "d2"} {
		life := command(t, c, d+"/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: d}, Process: 1}).Number
		reportDoor(t, c, d, life, 2, 0)
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

func TestOneThatDoesNotLeadSaysWhoDoesAndReadsNothingAsCurrent(t *testing.T) {
	all := startPeers(t, 3)
	lead := waitLeader(t, all)
	for _, p := range all {
		if p == lead {
			continue
		}
		eventually(t, "it knows who leads", func() bool { return p.hint().Leader == lead.cfg.Name })
		assert.False(t, p.Status().Current)
		_, err := p.Command(permits.Command{Caller: "x", Seq: 1, Do: permits.Halt{}})
		var elsewhere *NotLeaderError
		require.ErrorAs(t, err, &elsewhere)
		assert.Equal(t, lead.cfg.Name, elsewhere.Hint.Leader)
		c := client.New([]config.NamedAddress{p.apiAddress(), lead.apiAddress()})
		command(t, c, "op-"+p.cfg.Name, 1, permits.Halt{Who: "ana"})
	}
}

func TestWithoutAMajorityNothingIsSaidAndOneThatIsLeftIsRestored(t *testing.T) {
	all := startPeers(t, 3)
	lead := waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, budgets)
	var left *peer
	for _, p := range all {
		if p != lead {
			p.stop()
			left = p
		}
	}
	eventually(t, "it leads no more", func() bool { return lead.raft.State() != raft.Leader })
	ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	_, err := client.New([]config.NamedAddress{lead.apiAddress(), {Name: left.cfg.Name, Address: "127.0.0.1:1"}}).Command(ctx, permits.Command{Caller: "op", Seq: 9, Do: permits.Halt{}})
	var none *client.NoLeaderError
	require.ErrorAs(t, err, &none)
	assert.Contains(t, none.Remedy(), "docs/coordinators.md")
	assert.Equal(t, client.StatusPath, "/status")

	lead.stop()
	lead.cfg.Members = []config.NamedAddress{{Name: lead.cfg.Name, Address: lead.cfg.Listen}}
	l, err := Listen(lead.cfg.Listen)
	require.NoError(t, err)
	lead.layer = l
	tr := NewTransport(l, nil, discardLog())
	require.NoError(t, Restore(lead.cfg, lead.store, tr, discardLog()))
	tr.Close()
	lead.layer = nil
	lead.start(t)
	waitLeader(t, []*peer{lead})
	st := status(t, newClient([]*peer{lead}))
	assert.Equal(t, budgets.Budgets, st.Budgets)
	assert.Len(t, st.Members, 1)
}

func TestCoordinatorsAreAddedReplacedAndRemoved(t *testing.T) {
	all := startPeers(t, 3)
	lead := waitLeader(t, all)
	c := newClient(all)
	command(t, c, "op", 1, budgets)
	four := newPeer(t, "c-3")
	four.cfg.Join = true
	four.start(t)
	require.NoError(t, c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Add: true, Name: "c-3", Address: four.cfg.Listen, Who: "ana"}, &struct{}{}))
	eventually(t, "it has what the others have", func() bool { return len(four.Status().Budgets) == 2 })
	lead.stop()
	rest := append(all, four)
	waitLeader(t, rest)
	c = newClient(rest)
	require.NoError(t, c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Name: lead.cfg.Name, Who: "ana"}, &struct{}{}))
	assert.Len(t, status(t, c).Members, 3)
	two := waitLeader(t, rest)
	for _, p := range rest {
		if p.Coordinator != nil && p != two {
			p.stop()
			break
		}
	}
	waitLeader(t, rest)
	eventually(t, "its silence is known", func() bool {
		for _, m := range status(t, c).Members {
			if m.SilentMs > 0 {
				return true
			}
		}
		return false
	})
	var refused *client.RefusedError
	require.ErrorAs(t, c.Ask(shortContext(t), client.MembersPath, client.MembershipChange{Name: two.cfg.Name}, &struct{}{}), &refused)
	assert.Contains(t, refused.Reason, "Add another")
	lines := two.Audit()
	assert.Contains(t, lines[len(lines)-1].What, "coordinator removed: "+lead.cfg.Name)
}

func TestAStateIsTakenUpFromDiskAndFromASnapshot(t *testing.T) {
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
		assert.Len(t, st.Halts, round+1, "those of the lives before as well")
		p.stop()
		require.NoError(t, p.store.Close())
		p.store = open()
	}
	p.store.Close()
}

func TestAFullDiskEndsTheCoordinatorAndASlowOneLosesTheLead(t *testing.T) {
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
	lead := func() string { return status(t, c).Leader }
	leader := lead()
	for leader != "c-0" { // until the one with the disk leads
		for _, p := range all {
			if p.cfg.Name == leader {
				_ = p.raft.LeadershipTransferToServer("c-0", raft.ServerAddress(cfg.Listen)).Error()
			}
		}
		leader = lead()
	}
	require.NoError(t, os.WriteFile(fault, []byte("400ms"), 0o600))
	eventually(t, "another leads", func() bool { return lead() != "c-0" })
	require.NoError(t, os.WriteFile(fault, []byte("full"), 0o600))
	command(t, c, "op", 1, permits.Halt{Who: "ana"})
	select {
	case err := <-ended:
		var failed *store.WriteError
		require.ErrorAs(t, err, &failed)
	case <-time.After(20 * time.Second):
		require.Fail(t, "it goes on without its disk")
	}
	command(t, c, "op", 2, permits.Resume{Who: "ana"})
}

func TestWhatIsNoQuestionIsRefused(t *testing.T) {
	all := startPeers(t, 1)
	waitLeader(t, all)
	c := newClient(all)
	var refused *client.RefusedError
	assert.ErrorAs(t, c.Ask(shortContext(t), client.CommandPath, map[string]any{"do": map[string]string{"is": "dance"}}, &struct{}{}), &refused)
	assert.Contains(t, refused.Reason, "dance")
}
