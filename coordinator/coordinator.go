// Package coordinator is the process that agrees with its like on who goes out by plan: permits' state machine behind
// hashicorp/raft, a store, and an API of net/http and JSON on loopback or a private address. It decides nothing itself, and
// no request of any door waits for it.
package coordinator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
	"github.com/swifthall/swifthall/store"
)

const (
	heartbeat   = 400 * time.Millisecond // without one a follower wants to lead; a leader stopped for less goes on
	lease       = 300 * time.Millisecond // without a majority for so long a leader steps down
	commitEvery = 20 * time.Millisecond  // a commit is told on at the latest
	batch       = 256                    // commands in one write
	keepLogs    = 1024                   // entries behind a snapshot, for followers that are some minutes behind
	snapEvery   = 20 * time.Second       // between looks whether a snapshot is due
	snapAfter   = 2048                   // entries
	applyFor    = 2 * time.Second        // that a command may wait to be taken in
	seenEvery   = 500 * time.Millisecond // between rounds of sightings
	memberFor   = 5 * time.Second        // of a change of the coordinators
	slowWrite   = 300 * time.Millisecond // a write that takes longer holds all up
	slowMost    = 3                      // of those in a row, and the leader has another lead
)

// Coordinator is one of them.
type Coordinator struct {
	cfg    config.Coordinator
	log    logrus.FieldLogger
	raft   *raft.Raft
	fsm    *machine
	failed chan error
	done   chan struct{}
	group  sync.WaitGroup
	slow   atomic.Int32 // writes in a row that were slow
	wrong  time.Duration
	anew   bool // it was restored: what was agreed last may be lost

	mu     sync.Mutex
	term   *term // while this one leads, and has said so
	silent map[raft.ServerID]time.Time
}

// term is what a leader has while it leads.
type term struct {
	watch  *permits.ReportCollector
	base   float64 // of the agreed clock
	began  time.Time
	caller string
	seq    uint64
}

func (t *term) now() float64 { return t.base + float64(time.Since(t.began))/1e6 }

// Start begins, by what the store holds, or anew with its peers. Of the options it heeds by how much its wall clock is to be wrong,
// and whether it was restored.
func Start(cfg config.Coordinator, st store.Store, transport raft.Transport, o Options, log logrus.FieldLogger) (*Coordinator, error) {
	c := &Coordinator{cfg: cfg, log: log, wrong: o.Wrong, anew: o.Restore, failed: make(chan error, 1), done: make(chan struct{}), silent: map[raft.ServerID]time.Time{}}
	c.fsm = &machine{state: permits.New(), failed: c.Failed}
	rc := c.raftConfig()
	existing, err := raft.HasExistingState(st, st, st)
	if err != nil {
		return nil, err
	}
	if !existing && !cfg.Join {
		if err := raft.BootstrapCluster(rc, st, st, st, transport, servers(cfg.Members)); err != nil {
			return nil, &StartError{cfg.Name, err}
		}
	}
	c.raft, err = raft.NewRaft(rc, c.fsm, st, st, st, transport)
	if err != nil {
		return nil, &StartError{cfg.Name, err}
	}
	seen := make(chan raft.Observation, batch)
	c.raft.RegisterObserver(raft.NewObserver(seen, false, nil))
	c.group.Go(func() { c.observe(seen) })
	c.group.Go(c.lead)
	c.group.Go(c.clocks)
	c.group.Go(c.events)
	return c, nil
}

// Restore makes the peers of the configuration the only coordinators, by what this one's store holds: for when a majority of
// the earlier ones is lost for good. It is called once, before Start, on each of those that are left.
func Restore(cfg config.Coordinator, st store.Store, transport raft.Transport, log logrus.FieldLogger) error {
	c := &Coordinator{cfg: cfg, log: log}
	if err := raft.RecoverCluster(c.raftConfig(), &machine{state: permits.New(), failed: func(error) {}}, st, st, st, transport, servers(cfg.Members)); err != nil {
		return &StartError{cfg.Name, err}
	}
	return nil
}

func servers(all []config.NamedAddress) (of raft.Configuration) {
	for _, m := range all {
		of.Servers = append(of.Servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Address)})
	}
	return of
}

func (c *Coordinator) raftConfig() *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(c.cfg.Name)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout, rc.CommitTimeout = heartbeat, heartbeat, lease, commitEvery
	rc.MaxAppendEntries, rc.TrailingLogs, rc.SnapshotInterval, rc.SnapshotThreshold = batch, keepLogs, snapEvery, snapAfter
	rc.BatchApplyCh = true
	rc.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, Output: lines{c.log}, DisableTime: true})
	return rc
}

// lines passes the library's log on as debugging: what an operator needs of it is told here.
type lines struct{ logrus.FieldLogger }

func (l lines) Write(p []byte) (int, error) {
	l.Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// Failed has the coordinator end itself for an error; it is what a store's failed writes call. It doesn't return where the
// coordinator's process is about to end: the library would panic on what a broken disk makes of its votes.
func (c *Coordinator) Failed(err error) {
	select {
	case c.failed <- err:
	default:
	}
	<-c.done
}

// Wrote hears how long the store's writes take. A leader whose disk has become slow has another lead.
func (c *Coordinator) Wrote(d time.Duration) {
	if d < slowWrite {
		c.slow.Store(0)
		return
	}
	if c.slow.Add(1) == slowMost {
		go func() {
			c.mu.Lock()
			leads := c.term != nil
			c.mu.Unlock()
			if leads {
				c.log.Warn("the disk is slow; another coordinator is to lead")
				_ = c.raft.LeadershipTransfer().Error()
			}
		}()
	}
}

// Close ends the coordinator.
func (c *Coordinator) Close() {
	close(c.done)
	_ = c.raft.Shutdown().Error()
	c.group.Wait()
}

// observe notes which of the others don't answer this one while it leads.
func (c *Coordinator) observe(seen <-chan raft.Observation) {
	for {
		select {
		case <-c.done:
			return
		case o := <-seen:
			c.mu.Lock()
			switch d := o.Data.(type) {
			case raft.FailedHeartbeatObservation:
				c.silent[d.PeerID] = d.LastContact
			case raft.ResumedHeartbeatObservation:
				delete(c.silent, d.PeerID)
			case raft.LeaderObservation:
				clear(c.silent)
			}
			c.mu.Unlock()
		}
	}
}

// lead goes on while the coordinator runs: with each leadership it says so to the state before anything else, and then tells
// it how units stand.
func (c *Coordinator) lead() {
	leads := c.raft.LeaderCh()
	tick := time.NewTicker(seenEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-leads:
			c.set(nil)
			if now {
				c.begin()
			} else {
				c.log.WithField(fields.Door, c.cfg.Name).Info("leads no more")
			}
		case <-tick.C:
			c.see()
		}
	}
}

func (c *Coordinator) set(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

func (c *Coordinator) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// begin has the state know who leads. The agreed clock goes on from where it stood: no wall clock has a say in it.
func (c *Coordinator) begin() {
	if err := c.raft.Barrier(applyFor).Error(); err != nil {
		return
	}
	t := &term{watch: permits.NewReportCollector(), began: time.Now(), caller: permits.CallerName("leader-"+c.cfg.Name, rand.Uint64())}
	c.fsm.read(func(s *permits.State) { t.base = s.NowMs })
	if _, err := c.apply(t, permits.Leadership{Name: c.cfg.Name, API: c.cfg.API, Epoch: rand.Uint64()>>1 | 1}); err != nil {
		return
	}
	if c.anew && c.calendarInUse() && !c.fsm.told() {
		if _, err := c.apply(t, calendar.Restored{Who: c.cfg.Name}); err != nil {
			return
		}
	}
	c.set(t)
	c.log.WithField(fields.Door, c.cfg.Name).Info("leads")
}

// see tells the state how units stand.
func (c *Coordinator) see() {
	t := c.current()
	if t == nil {
		return
	}
	c.mu.Lock()
	all := t.watch.ChangedSightings(t.now())
	c.mu.Unlock()
	if _, err := c.apply(t, permits.RecordSightings{Sightings: all}); err != nil {
		c.log.WithError(err).Debug("sightings not told; they are when they change, or after a while")
	}
	c.judge(t)
	c.errands(t)
	c.schedule(t)
}

// apply gives a command of the leader's own.
func (c *Coordinator) apply(t *term, do any) (permits.Answer, error) {
	t.seq++
	return c.commit(t, permits.Command{Caller: t.caller, Seq: t.seq, Do: do})
}

// commit has a command agreed on. An error says that it may have happened or not.
func (c *Coordinator) commit(t *term, cmd permits.Command) (permits.Answer, error) {
	cmd.AtMs, cmd.WallMs = t.now(), float64(time.Now().Add(c.wrong).UnixMilli())
	raw, err := json.Marshal(cmd)
	if err != nil {
		return permits.Answer{}, err
	}
	f := c.raft.Apply(raw, applyFor)
	if err := f.Error(); err != nil {
		return permits.Answer{}, &LostError{c.cfg.Name, err}
	}
	a, ok := f.Response().(permits.Answer)
	if !ok {
		return permits.Answer{}, &LostError{c.cfg.Name, nil}
	}
	return a, nil
}

// Command has a command agreed on, at the one that leads.
func (c *Coordinator) Command(cmd permits.Command) (permits.Answer, error) {
	t := c.current()
	if t == nil {
		return permits.Answer{}, c.elsewhere()
	}
	return c.commit(t, cmd)
}

// Word takes a door's word in. What it calls for at once is agreed on before the answer; the rest goes with the next round.
// A majority confirms that this one still leads: an answer by what was so before could undo what a door has done since.
func (c *Coordinator) Word(w *permits.DoorReport) (r permits.Reply, err error) {
	t := c.current()
	if t == nil {
		return r, c.elsewhere()
	}
	c.mu.Lock()
	fresh := t.watch.Record(t.now(), *w)
	full := t.watch.WantsBackends(t.now(), w.Name)
	c.mu.Unlock()
	if fresh {
		var needs []any
		c.fsm.read(func(s *permits.State) { needs = s.Needs(w) })
		for i, do := range needs {
			cmd := permits.Command{Caller: w.Caller, Seq: w.Seq, Do: do}
			if _, own := do.(permits.SelfReport); !own {
				cmd.Caller = permits.CallerName(w.Caller+"/hand", uint64(i))
			}
			if _, err := c.commit(t, cmd); err != nil {
				return r, err
			}
		}
	}
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return r, c.elsewhere()
	}
	c.fsm.read(func(s *permits.State) { r = s.Reply(w, full) })
	return r, nil
}

// Hold takes the word of a door's holder in, and tells what its door is to run.
func (c *Coordinator) Hold(h *permits.HolderReport) (g permits.Assignment, err error) {
	t := c.current()
	if t == nil {
		return g, c.elsewhere()
	}
	var needs []any
	c.fsm.read(func(s *permits.State) { needs = s.HolderCommands(h) })
	for _, do := range needs {
		if _, err := c.commit(t, permits.Command{Caller: h.Caller, Seq: h.Seq, Do: do}); err != nil {
			return g, err
		}
	}
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return g, c.elsewhere()
	}
	c.fsm.read(func(s *permits.State) { g = s.Assignment(h.Door) })
	return g, nil
}

// errands does what releases of backends call for.
func (c *Coordinator) errands(t *term) {
	var todo []any
	c.fsm.read(func(s *permits.State) { todo = s.ReleaseCommands() })
	for _, do := range todo {
		if a, err := c.apply(t, do); err != nil || a.Err != nil {
			c.log.WithError(errors.Join(err, a.Err)).Debug("a step of a release is not taken so far")
		}
	}
}

// judge looks at the waves of releases that all their doors have taken, and has verdicts agreed on.
func (c *Coordinator) judge(t *term) {
	var verdicts []release.RecordVerdict
	c.mu.Lock()
	c.fsm.read(func(s *permits.State) { verdicts = t.watch.Verdicts(t.now(), s.Release) })
	c.mu.Unlock()
	for _, v := range verdicts {
		if _, err := c.apply(t, v); err != nil {
			c.log.WithError(err).Debug("a verdict is not agreed on so far")
		}
	}
}

// Read reads the state as a majority has it; false where this one can't say that.
func (c *Coordinator) Read(do func(s *permits.State, now float64)) bool {
	t := c.current()
	if t == nil || c.raft.VerifyLeader().Error() != nil {
		return false
	}
	now := t.now()
	c.fsm.read(func(s *permits.State) { do(s, max(now, s.NowMs)) })
	return true
}

// hint tells who leads, as far as this one knows.
func (c *Coordinator) hint() (h client.Hint) {
	_, id := c.raft.LeaderWithID()
	h.Leader = string(id)
	c.fsm.read(func(s *permits.State) {
		if s.Leader.Name == h.Leader {
			h.API = s.Leader.API
		}
	})
	if id == "" {
		h.Says = "no leader: fewer than half of the coordinators answer, or they are about to choose"
		if at := c.raft.LastContact(); !at.IsZero() {
			h.ForMs = float64(time.Since(at)) / 1e6
		}
	} else if h.Leader == c.cfg.Name {
		h.Leader, h.Says = "", "about to lead"
	}
	return h
}

func (c *Coordinator) elsewhere() error { return &ElsewhereError{c.cfg.Name, c.hint()} }

// Status tells all that is agreed on, as a majority has it, or as this one last heard.
func (c *Coordinator) Status() client.Status {
	st := client.Status{Self: c.cfg.Name, Fleet: c.cfg.Fleet, Hint: c.hint()}
	st.Leader = st.Hint.Leader
	fill := func(s *permits.State, now float64) {
		st.Change, st.Budgets, st.Halts = s.Change, slices.Clone(s.Budgets), slices.Clone(s.Halts)
		st.Runs, st.Seen = maps.Clone(s.Release.Runs), maps.Clone(s.Release.Seen)
		for _, r := range s.Release.All {
			copied := *r
			copied.Failed = maps.Clone(r.Failed)
			st.Releases = append(st.Releases, &copied)
		}
		for _, k := range slices.Sorted(maps.Keys(s.Units)) {
			u := s.Units[k]
			st.Units = append(st.Units, client.Unit{UnitState: *u, Out: s.Out(u), AgeMs: now - u.AtMs})
		}
		for _, n := range slices.Sorted(maps.Keys(s.Permits)) {
			p := client.Place{Permit: *s.Permits[n]}
			if p.Order && p.Unit.Kind == permits.Backend {
				p.Waiting = s.Waiting(s.Permits[n])
			}
			p.Drained = s.Drained(s.Permits[n])
			st.Places = append(st.Places, p)
		}
	}
	if st.Current = c.Read(fill); st.Current {
		st.Leader = c.cfg.Name
	} else {
		c.fsm.read(func(s *permits.State) { fill(s, s.NowMs) })
	}
	if f := c.raft.GetConfiguration(); f.Error() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range f.Configuration().Servers {
			m := client.Member{Name: string(s.ID), Address: string(s.Address), Voter: s.Suffrage == raft.Voter}
			if at, silent := c.silent[s.ID]; silent {
				m.SilentMs = float64(time.Since(at)) / 1e6
			}
			st.Members = append(st.Members, m)
		}
	}
	return st
}

// Audit tells who did what.
func (c *Coordinator) Audit() (all []permits.AuditEntry) {
	c.fsm.read(func(s *permits.State) { all = slices.Clone(s.Audit) })
	return all
}

// Members adds or removes a coordinator, at the one that leads. A removal that would leave fewer than half of those that stay
// answering is refused.
func (c *Coordinator) Members(ch client.Change) error {
	t := c.current()
	if t == nil {
		return c.elsewhere()
	}
	var err error
	c.fsm.read(func(s *permits.State) {
		err = s.Calendar.CheckUnplanned(calendar.Coordinators, calendar.Subject{Scope: calendar.Fleet})
	})
	if err != nil {
		return &CalendarError{err}
	}
	if ch.Add {
		err = c.raft.AddVoter(raft.ServerID(ch.Name), raft.ServerAddress(ch.Address), 0, memberFor).Error()
	} else {
		left, well := 0, 0
		for _, m := range c.Status().Members {
			if m.Name != ch.Name {
				left++
				if m.SilentMs == 0 {
					well++
				}
			}
		}
		if left == 0 || 2*well <= left {
			return &MembersError{ch.Name, left, well}
		}
		err = c.raft.RemoveServer(raft.ServerID(ch.Name), 0, memberFor).Error()
	}
	if err != nil {
		return &LostError{c.cfg.Name, err}
	}
	what := "coordinator removed: "
	if ch.Add {
		what = "coordinator added: "
	}
	_, err = c.commit(t, permits.Command{Caller: permits.CallerName(ch.Who, rand.Uint64()), Seq: 1, Do: permits.Note{What: what + ch.Name, Who: ch.Who, Why: ch.Why}})
	return err
}

// machine is the state behind raft.
type machine struct {
	mu       sync.Mutex
	state    *permits.State
	restored bool // the calendar has heard of a restore since this process began
	failed   func(error)
}

func (m *machine) told() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restored
}

func (m *machine) read(do func(*permits.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(m.state)
}

// Apply takes an entry in. One that this release can't read must not be passed over: the coordinator ends itself.
func (m *machine) Apply(l *raft.Log) any {
	var cmd permits.Command
	if err := json.Unmarshal(l.Data, &cmd); err != nil {
		m.failed(err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, is := cmd.Do.(calendar.Restored); is {
		m.restored = true
	}
	return m.state.Apply(cmd)
}

// Snapshot writes the state down.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out bytes.Buffer
	if err := m.state.Save(&out); err != nil {
		return nil, err
	}
	return snapshot(out.Bytes()), nil
}

// Restore reads one.
func (m *machine) Restore(in io.ReadCloser) error {
	defer in.Close()
	s, err := permits.Load(in)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

// Ended is closed by an error that ends the coordinator, as of a disk that can't be written.
func (c *Coordinator) Ended() <-chan error { return c.failed }

// Transport makes raft's transport of a layer of connections. Routes lead to others by name, where they aren't where they say.
func Transport(layer raft.StreamLayer, routes map[string]string, log logrus.FieldLogger) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{ServerAddressProvider: routed(routes), Stream: layer, MaxPool: 3, Timeout: applyFor,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "transport", Level: hclog.Info, Output: lines{log}, DisableTime: true})})
}

type routed map[string]string

func (r routed) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if at, ok := r[string(id)]; ok {
		return raft.ServerAddress(at), nil
	}
	return "", &RouteError{string(id)}
}
