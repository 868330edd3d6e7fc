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

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// peer is one coordinator within the test's process.
type peer struct {
	*Coordinator
	cfg   config.Coordinator
	store store.Store
	layer raft.StreamLayer
	trans *raft.NetworkTransport

	options Options
	api     *httptest.Server
}

func (p *peer) end() {
	if p.Coordinator != nil {
		p.api.Close()
		p.Close()
		p.trans.Close()
		p.Coordinator = nil
	}
}

func (p *peer) named() config.NamedAddress {
	return config.NamedAddress{Name: p.cfg.Name, Address: strings.TrimPrefix(p.api.URL, "http://")}
}

func (p *peer) start(t *testing.T) {
	if p.layer == nil {
		l, err := Layer(p.cfg.Listen)
		require.NoError(t, err)
		p.layer = l
	}
	p.trans = Transport(p.layer, nil, quiet())
	p.layer = nil
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p.cfg.API = ln.Addr().String()
	p.Coordinator, err = Start(p.cfg, p.store, p.trans, p.options, quiet())
	require.NoError(t, err)
	p.api = httptest.NewUnstartedServer(p.Handler())
	p.api.Listener.Close()
	p.api.Listener = ln
	p.api.Start()
	t.Cleanup(p.end)
}

func peers(t *testing.T, n int) (all []*peer) {
	var members []config.NamedAddress
	for i := range n {
		p := fresh(t, fmt.Sprint("c-", i))
		members = append(members, named(p))
		all = append(all, p)
	}
	for _, p := range all {
		p.cfg.Members = members
		p.start(t)
	}
	return all
}

func named(p *peer) config.NamedAddress {
	return config.NamedAddress{Name: p.cfg.Name, Address: p.cfg.Listen}
}

func fresh(t *testing.T, name string) *peer {
	at, err := loopback.Free() // it is taken again after a restart
	require.NoError(t, err)
	l, err := Layer(at)
	require.NoError(t, err)
	return &peer{cfg: config.Coordinator{Name: name, Listen: l.Addr().String()}, layer: l, store: store.NewMemory()}
}

func within(t *testing.T, what string, is func() bool) {
	require.Eventually(t, is, 20*time.Second, 10*time.Millisecond, what)
}

// leader waits until one of them leads and says so.
func leader(t *testing.T, all []*peer) (at *peer) {
	within(t, "a leader", func() bool {
		for _, p := range all {
			if p.Coordinator != nil && p.current() != nil && p.raft.VerifyLeader().Error() == nil {
				at = p
				return true
			}
		}
		return false
	})
	return at
}

func asker(all []*peer) *client.Client {
	var named []config.NamedAddress
	for _, p := range all {
		if p.Coordinator != nil {
			named = append(named, p.named())
		}
	}
	return client.New(named)
}

func soon(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(stop)
	return ctx
}

func give(t *testing.T, c *client.Client, caller string, seq uint64, do any) permits.Answer {
	a, err := c.Command(soon(t), permits.Command{Caller: caller, Seq: seq, Do: do})
	require.NoError(t, err)
	return a
}

var budgets = permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Backend, MaxOut: 1}, {Kind: permits.Door, MaxOut: 1}}}

// says has a door say that it is ready, and of two backends that they are.
func says(t *testing.T, c *client.Client, door string, life, seq, did uint64) permits.Reply {
	w := permits.DoorReport{Caller: door + "/1", Seq: seq, Sighting: permits.Sighting{Unit: permits.Unit{Kind: permits.Door, Name: door}, Standing: permits.Ready, Incarnation: life, Process: 1, Did: did}}
	for _, b := range []string{"b-0", "b-1"} {
		w.Backends = append(w.Backends, permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: b}, Standing: permits.Ready})
	}
	r, err := c.ReportDoor(soon(t), &w)
	require.NoError(t, err)
	return r
}

func status(t *testing.T, c *client.Client) (st client.Status) {
	require.NoError(t, c.Ask(soon(t), client.StatusPath, struct{}{}, &st))
	return st
}

func TestADrainIsAgreedConfirmedAndOutlivesItsLeader(t *testing.T) {
	all := peers(t, 3)
	leader(t, all)
	c := asker(all)
	give(t, c, "op", 1, budgets)
	life := give(t, c, "d/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: "d"}, Process: 1}).Number
	seq := uint64(2)
	word := func(did uint64) permits.Reply { seq++; return says(t, c, "d", life, seq, did) }
	within(t, "backends are known", func() bool { word(0); return len(status(t, c).Units) == 3 })
	a := give(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"})
	require.NoError(t, a.Err)
	assert.Equal(t, a, give(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"}), "a repeat")
	var denied *permits.DeniedError
	assert.ErrorAs(t, give(t, c, "op3", 1, permits.Drain{Kind: permits.Backend, Name: "b-1"}).Err, &denied)
	r := word(0)
	assert.Equal(t, []string{"b-0"}, r.Withheld)
	assert.Equal(t, []string{"d"}, status(t, c).Places[0].Waiting)
	word(r.Change)
	within(t, "the door has confirmed", func() bool { return status(t, c).Places[0].Drained })

	gone := leader(t, all)
	gone.end()
	leader(t, all)
	require.NotNil(t, c)
	assert.Equal(t, a, give(t, c, "op", 2, permits.Drain{Kind: permits.Backend, Name: "b-0", Who: "ana"}), "an answer that was lost with its leader")
	st := status(t, c)
	assert.Len(t, st.Places, 1)
	assert.True(t, st.Current)
	assert.ErrorAs(t, give(t, c, "op4", 1, permits.Drain{Kind: permits.Backend, Name: "b-1"}).Err, &denied, "the new leader knows nobody, or knows that b-0 is out")
	var t2 client.Tried
	require.NoError(t, c.Ask(soon(t), client.TryPath, client.Asked{Kind: permits.Backend, Name: "b-1"}, &t2))
	assert.Equal(t, []string{"backend/b-1"}, t2.Would)
	assert.Error(t, t2.Answer.Err)
}

func TestTwoOperatorsAtOnceDontGetTheLastTwoPlaces(t *testing.T) {
	all := peers(t, 3)
	leader(t, all)
	c := asker(all)
	give(t, c, "op", 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, Zone: permits.EachZone, MaxOut: 2, MinReady: 1}}})
	for _, d := range []string{"d1", "d2"} {
		life := give(t, c, d+"/1", 1, permits.Begin{Unit: permits.Unit{Kind: permits.Door, Name: d}, Process: 1}).Number
		says(t, c, d, life, 2, 0)
	}
	within(t, "both are ready", func() bool {
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
		own := asker(all)
		go func() {
			a, err := own.Command(soon(t), permits.Command{Caller: fmt.Sprint("op-", i), Seq: 1, Do: permits.Drain{Kind: permits.Door, Name: d, Who: d}})
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
	all := peers(t, 3)
	lead := leader(t, all)
	for _, p := range all {
		if p == lead {
			continue
		}
		within(t, "it knows who leads", func() bool { return p.hint().Leader == lead.cfg.Name })
		assert.False(t, p.Status().Current)
		_, err := p.Command(permits.Command{Caller: "x", Seq: 1, Do: permits.Halt{}})
		var elsewhere *ElsewhereError
		require.ErrorAs(t, err, &elsewhere)
		assert.Equal(t, lead.cfg.Name, elsewhere.Hint.Leader)
		c := client.New([]config.NamedAddress{p.named(), lead.named()})
		give(t, c, "op-"+p.cfg.Name, 1, permits.Halt{Who: "ana"})
	}
}

func TestWithoutAMajorityNothingIsSaidAndOneThatIsLeftIsRestored(t *testing.T) {
	all := peers(t, 3)
	lead := leader(t, all)
	c := asker(all)
	give(t, c, "op", 1, budgets)
	var left *peer
	for _, p := range all {
		if p != lead {
			p.end()
			left = p
		}
	}
	within(t, "it leads no more", func() bool { return lead.raft.State() != raft.Leader })
	ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	_, err := client.New([]config.NamedAddress{lead.named(), {Name: left.cfg.Name, Address: "127.0.0.1:1"}}).Command(ctx, permits.Command{Caller: "op", Seq: 9, Do: permits.Halt{}})
	var none *client.NoLeaderError
	require.ErrorAs(t, err, &none)
	assert.Contains(t, none.Remedy(), "docs/coordinators.md")
	assert.Equal(t, client.StatusPath, "/status")

	lead.end()
	lead.cfg.Members = []config.NamedAddress{{Name: lead.cfg.Name, Address: lead.cfg.Listen}}
	l, err := Layer(lead.cfg.Listen)
	require.NoError(t, err)
	lead.layer = l
	tr := Transport(l, nil, quiet())
	require.NoError(t, Restore(lead.cfg, lead.store, tr, quiet()))
	tr.Close()
	lead.layer = nil
	lead.start(t)
	leader(t, []*peer{lead})
	st := status(t, asker([]*peer{lead}))
	assert.Equal(t, budgets.Budgets, st.Budgets)
	assert.Len(t, st.Members, 1)
}

func TestCoordinatorsAreAddedReplacedAndRemoved(t *testing.T) {
	all := peers(t, 3)
	lead := leader(t, all)
	c := asker(all)
	give(t, c, "op", 1, budgets)
	four := fresh(t, "c-3")
	four.cfg.Join = true
	four.start(t)
	require.NoError(t, c.Ask(soon(t), client.MembersPath, client.Change{Add: true, Name: "c-3", Address: four.cfg.Listen, Who: "ana"}, &struct{}{}))
	within(t, "it has what the others have", func() bool { return len(four.Status().Budgets) == 2 })
	lead.end()
	rest := append(all, four)
	leader(t, rest)
	c = asker(rest)
	require.NoError(t, c.Ask(soon(t), client.MembersPath, client.Change{Name: lead.cfg.Name, Who: "ana"}, &struct{}{}))
	assert.Len(t, status(t, c).Members, 3)
	two := leader(t, rest)
	for _, p := range rest {
		if p.Coordinator != nil && p != two {
			p.end()
			break
		}
	}
	leader(t, rest)
	within(t, "its silence is known", func() bool {
		for _, m := range status(t, c).Members {
			if m.SilentMs > 0 {
				return true
			}
		}
		return false
	})
	var refused *client.RefusedError
	require.ErrorAs(t, c.Ask(soon(t), client.MembersPath, client.Change{Name: two.cfg.Name}, &struct{}{}), &refused)
	assert.Contains(t, refused.Says, "Add another")
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
	p := fresh(t, "c-0")
	p.cfg.Members = []config.NamedAddress{{Name: "c-0", Address: p.cfg.Listen}}
	p.store = open()
	for round := range 3 {
		p.start(t)
		leader(t, []*peer{p})
		c := asker([]*peer{p})
		give(t, c, fmt.Sprint("op", round), 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: round + 1}}})
		require.NoError(t, p.raft.Snapshot().Error())
		give(t, c, fmt.Sprint("op", round), 2, permits.Halt{Who: fmt.Sprint(round)})
		st := status(t, c)
		assert.Equal(t, round+1, st.Budgets[0].MaxOut)
		assert.Len(t, st.Halts, round+1, "those of the lives before as well")
		p.end()
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
		all = append(all, fresh(t, fmt.Sprint("c-", i+1)))
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
	go func() { ended <- Run(ctx, cfg, Options{Before: Spoiled(fault)}, quiet()) }()
	c := client.New([]config.NamedAddress{{Name: "c-0", Address: cfg.API}, all[0].named(), all[1].named()})
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
	within(t, "another leads", func() bool { return lead() != "c-0" })
	require.NoError(t, os.WriteFile(fault, []byte("full"), 0o600))
	give(t, c, "op", 1, permits.Halt{Who: "ana"})
	select {
	case err := <-ended:
		var failed *store.WriteError
		require.ErrorAs(t, err, &failed)
	case <-time.After(20 * time.Second):
		require.Fail(t, "it goes on without its disk")
	}
	give(t, c, "op", 2, permits.Resume{Who: "ana"})
}

func TestWhatIsNoQuestionIsRefused(t *testing.T) {
	all := peers(t, 1)
	leader(t, all)
	c := asker(all)
	var refused *client.RefusedError
	assert.ErrorAs(t, c.Ask(soon(t), client.CommandPath, map[string]any{"do": map[string]string{"is": "dance"}}, &struct{}{}), &refused)
	assert.Contains(t, refused.Says, "dance")
}
