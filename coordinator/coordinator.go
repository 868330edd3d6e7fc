// Package coordinator runs a coordinator. The coordinators of a fleet agree on planned outages: they replicate the state machine
// of package permits with hashicorp/raft, persist it in a store, and serve an HTTP and JSON API on a loopback or private address.
// The package makes no decisions of its own, and no request that a door serves waits for a coordinator.
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
	heartbeatTimeout   = 400 * time.Millisecond // without a heartbeat for this long a follower starts an election; a leader that pauses for less stays leader
	leaderLeaseTimeout = 300 * time.Millisecond // a leader that can't reach a majority for this long steps down
	commitTimeout      = 20 * time.Millisecond  // maximum delay until followers learn of a commit
	maxBatch           = 256                    // log entries in one append, and the buffer for raft's observations
	trailingLogs       = 1024                   // log entries kept before a snapshot, for followers that lag by some minutes
	snapshotInterval   = 20 * time.Second       // between checks whether a snapshot is due
	snapshotThreshold  = 2048                   // log entries since the last snapshot after which the next is due
	applyTimeout       = 2 * time.Second        // for which a command may wait to be accepted by raft; also limits the transport's I/O
	roundInterval      = 500 * time.Millisecond // between rounds of the leader
	membershipTimeout  = 5 * time.Second        // of a change of the set of coordinators
	slowWriteThreshold = 300 * time.Millisecond // a leader with slower writes delays all commands
	maxSlowWrites      = 3                      // consecutive slow writes after which the leader transfers its leadership
)

// Coordinator is one of the coordinators of a fleet.
type Coordinator struct {
	cfg         config.Coordinator
	log         logrus.FieldLogger
	raft        *raft.Raft
	fsm         *stateMachine
	failed      chan error
	done        chan struct{}
	goroutines  sync.WaitGroup
	slowWrites  atomic.Int32  // consecutive slow writes
	clockOffset time.Duration // added to the wall clock, see Options
	restored    bool          // started with Options.Restore: the last agreed commands may be lost

	mu          sync.Mutex
	term        *term                       // non-nil while this coordinator leads and its Leadership command is applied
	silentSince map[raft.ServerID]time.Time // last contact of the peers that don't answer this leader
}

// term is the state that a leader keeps during one period of leadership.
type term struct {
	collector *permits.ReportCollector
	baseMs    float64 // reading of the agreed clock when the term began
	began     time.Time
	caller    string // of the leader's own commands
	seq       uint64
}

// now returns the agreed clock, ms. It advances with the monotonic clock during a term.
func (t *term) now() float64 { return t.baseMs + float64(time.Since(t.began))/1e6 }

// Start starts a coordinator from the contents of its store, or bootstraps it with the configured peers if the store is empty. Of
// the options it uses only ClockOffset and Restore.
func Start(cfg config.Coordinator, st store.Store, transport raft.Transport, options Options, log logrus.FieldLogger) (*Coordinator, error) {
	c := &Coordinator{cfg: cfg, log: log, clockOffset: options.ClockOffset, restored: options.Restore, failed: make(chan error, 1), done: make(chan struct{}), silentSince: map[raft.ServerID]time.Time{}}
	var err error
	if c.fsm, err = newStateMachine(c.Fail, log); err != nil {
		return nil, err
	}
	rc := c.raftConfig()
	existing, err := raft.HasExistingState(st, st, st)
	if err != nil {
		return nil, err
	}
	if !existing && !cfg.Join {
		if err := raft.BootstrapCluster(rc, st, st, st, transport, serverConfiguration(cfg.Members)); err != nil {
			return nil, &StartError{cfg.Name, err}
		}
	}
	c.raft, err = raft.NewRaft(rc, c.fsm, st, st, st, transport)
	if err != nil {
		return nil, &StartError{cfg.Name, err}
	}
	observations := make(chan raft.Observation, maxBatch)
	c.raft.RegisterObserver(raft.NewObserver(observations, false, nil))
	c.goroutines.Go(func() { c.watchPeers(observations) })
	c.goroutines.Go(c.watchLeadership)
	c.goroutines.Go(c.reportClock)
	c.goroutines.Go(c.deliverEvents)
	return c, nil
}

// Restore makes the peers of the configuration the only coordinators, with the state in this one's store. It is for the case that a
// majority of the coordinators is lost permanently. It is called once, before Start, on each remaining coordinator.
func Restore(cfg config.Coordinator, st store.Store, transport raft.Transport, log logrus.FieldLogger) error {
	c := &Coordinator{cfg: cfg, log: log}
	fsm, err := newStateMachine(func(error) {}, log)
	if err != nil {
		return err
	}
	if err := raft.RecoverCluster(c.raftConfig(), fsm, st, st, st, transport, serverConfiguration(cfg.Members)); err != nil {
		return &StartError{cfg.Name, err}
	}
	return nil
}

// serverConfiguration converts the configured members to raft's form.
func serverConfiguration(all []config.NamedAddress) (of raft.Configuration) {
	for _, m := range all {
		of.Servers = append(of.Servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Address)})
	}
	return of
}

// raftConfig returns the configuration of raft.
func (c *Coordinator) raftConfig() *raft.Config {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(c.cfg.Name)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout, rc.CommitTimeout = heartbeatTimeout, heartbeatTimeout, leaderLeaseTimeout, commitTimeout
	rc.MaxAppendEntries, rc.TrailingLogs, rc.SnapshotInterval, rc.SnapshotThreshold = maxBatch, trailingLogs, snapshotInterval, snapshotThreshold
	rc.BatchApplyCh = true
	rc.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Info, Output: debugWriter{c.log}, DisableTime: true})
	return rc
}

// debugWriter writes the library's log at level debug; what an operator needs to know is logged by this package.
type debugWriter struct{ logrus.FieldLogger }

func (l debugWriter) Write(p []byte) (int, error) {
	l.Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// Fail terminates the coordinator because of an error; the store calls it for a failed write. It blocks until the coordinator is
// closed: if it returned, the library would panic because it can't persist its vote.
func (c *Coordinator) Fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
	<-c.done
}

// RecordWrite records the duration of a write of the store. A leader whose disk has become slow transfers its leadership.
func (c *Coordinator) RecordWrite(d time.Duration) {
	if d < slowWriteThreshold {
		c.slowWrites.Store(0)
		return
	}
	if c.slowWrites.Add(1) == maxSlowWrites {
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

// Close stops the coordinator and waits for its goroutines.
func (c *Coordinator) Close() {
	close(c.done)
	_ = c.raft.Shutdown().Error()
	c.goroutines.Wait()
}

// watchPeers records which peers don't answer this coordinator while it leads.
func (c *Coordinator) watchPeers(observations <-chan raft.Observation) {
	for {
		select {
		case <-c.done:
			return
		case o := <-observations:
			c.mu.Lock()
			switch d := o.Data.(type) {
			case raft.FailedHeartbeatObservation:
				c.silentSince[d.PeerID] = d.LastContact
			case raft.ResumedHeartbeatObservation:
				delete(c.silentSince, d.PeerID)
			case raft.LeaderObservation:
				clear(c.silentSince)
			}
			c.mu.Unlock()
		}
	}
}

// watchLeadership runs until the coordinator is closed. When it becomes leader it begins a term, during which it runs a round at
// every roundInterval.
func (c *Coordinator) watchLeadership() {
	leaderChanges := c.raft.LeaderCh()
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.done:
			return
		case isLeader := <-leaderChanges:
			c.setTerm(nil)
			if isLeader {
				c.beginTerm()
			} else {
				c.log.WithField(fields.Door, c.cfg.Name).Info("lost the leadership")
			}
		case <-tick.C:
			c.runRound()
		}
	}
}

// setTerm sets the present term; nil if this coordinator doesn't lead.
func (c *Coordinator) setTerm(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

// currentTerm returns the present term; nil if this coordinator doesn't lead.
func (c *Coordinator) currentTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// beginTerm records the new leader in the state. The agreed clock continues from its last reading and doesn't depend on any wall
// clock.
func (c *Coordinator) beginTerm() {
	if err := c.raft.Barrier(applyTimeout).Error(); err != nil {
		return
	}
	t := &term{collector: permits.NewReportCollector(), began: time.Now(), caller: permits.CallerName("leader-"+c.cfg.Name, rand.Uint64())}
	c.fsm.read(func(s *permits.State) { t.baseMs = s.NowMs })
	if _, err := c.commitOwn(t, permits.Leadership{Name: c.cfg.Name, API: c.cfg.API, Epoch: rand.Uint64()>>1 | 1, Restored: c.restored && !c.fsm.numbersRaised()}); err != nil {
		return
	}
	if c.restored && c.calendarInUse() && !c.fsm.restoreRecorded() {
		if _, err := c.commitOwn(t, calendar.Restored{Who: c.cfg.Name}); err != nil {
			return
		}
	}
	c.setTerm(t)
	c.log.WithField(fields.Door, c.cfg.Name).Info("leads")
}

// runRound records changed sightings of units and carries out what releases and the calendar require. It does nothing unless this
// coordinator leads.
func (c *Coordinator) runRound() {
	t := c.currentTerm()
	if t == nil {
		return
	}
	c.mu.Lock()
	sightings := t.collector.ChangedSightings(t.now())
	c.mu.Unlock()
	if _, err := c.commitOwn(t, permits.RecordSightings{Sightings: sightings}); err != nil {
		c.log.WithError(err).Debug("recording sightings failed; each is sent again when it changes, or after a few seconds")
	}
	c.recordVerdicts(t)
	c.advanceReleases(t)
	c.advanceCalendar(t)
}

// commitOwn commits a command of the leader itself.
func (c *Coordinator) commitOwn(t *term, do any) (permits.Answer, error) {
	t.seq++
	return c.commit(t, permits.Command{Caller: t.caller, Seq: t.seq, Do: do})
}

// commit replicates a command and returns its answer. After an error it is unknown whether the command was or will be applied.
func (c *Coordinator) commit(t *term, cmd permits.Command) (permits.Answer, error) {
	cmd.AtMs, cmd.WallMs = t.now(), float64(time.Now().Add(c.clockOffset).UnixMilli())
	raw, err := json.Marshal(cmd)
	if err != nil {
		return permits.Answer{}, err
	}
	f := c.raft.Apply(raw, applyTimeout)
	if err := f.Error(); err != nil {
		return permits.Answer{}, &UnknownOutcomeError{c.cfg.Name, err}
	}
	a, ok := f.Response().(permits.Answer)
	if !ok {
		return permits.Answer{}, &UnknownOutcomeError{c.cfg.Name, nil}
	}
	return a, nil
}

// Command commits a command if this coordinator leads.
func (c *Coordinator) Command(cmd permits.Command) (permits.Answer, error) {
	t := c.currentTerm()
	if t == nil {
		return permits.Answer{}, c.notLeader()
	}
	return c.commit(t, cmd)
}

// HandleDoorReport processes a door's report. Commands that it requires at once are committed before the reply; everything else
// follows with the next round. Before the reply a majority confirms that this coordinator still leads: a reply from outdated state
// could undo what the door has done since.
func (c *Coordinator) HandleDoorReport(report *permits.DoorReport) (reply permits.Reply, err error) {
	t := c.currentTerm()
	if t == nil {
		return reply, c.notLeader()
	}
	c.mu.Lock()
	accepted := t.collector.Record(t.now(), *report)
	wantsBackends := t.collector.WantsBackends(t.now(), report.Name)
	c.mu.Unlock()
	if accepted {
		var commands []any
		c.fsm.read(func(s *permits.State) { commands = s.DoorCommands(report) })
		for i, do := range commands {
			cmd := permits.Command{Caller: report.Caller, Seq: report.Seq, Do: do}
			if _, own := do.(permits.SelfReport); !own {
				cmd.Caller = permits.CallerName(report.Caller+"/hand", uint64(i))
			}
			if _, err := c.commit(t, cmd); err != nil {
				return reply, err
			}
		}
	}
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return reply, c.notLeader()
	}
	c.fsm.read(func(s *permits.State) { reply = s.Reply(report, wantsBackends) })
	return reply, nil
}

// HandleHolderReport processes the report of the process that holds a door's listener, and returns what the door is to run.
func (c *Coordinator) HandleHolderReport(report *permits.HolderReport) (assignment permits.Assignment, err error) {
	t := c.currentTerm()
	if t == nil {
		return assignment, c.notLeader()
	}
	var commands []any
	c.fsm.read(func(s *permits.State) { commands = s.HolderCommands(report) })
	for _, do := range commands {
		if _, err := c.commit(t, permits.Command{Caller: report.Caller, Seq: report.Seq, Do: do}); err != nil {
			return assignment, err
		}
	}
	if err := c.raft.VerifyLeader().Error(); err != nil {
		return assignment, c.notLeader()
	}
	c.fsm.read(func(s *permits.State) { assignment = s.Assignment(report.Door) })
	return assignment, nil
}

// advanceReleases commits the drains and undrains that releases of backends require.
func (c *Coordinator) advanceReleases(t *term) {
	var commands []any
	c.fsm.read(func(s *permits.State) { commands = s.ReleaseCommands() })
	for _, do := range commands {
		if a, err := c.commitOwn(t, do); err != nil || a.Err != nil {
			c.log.WithError(errors.Join(err, a.Err)).Debug("a step of a release was not carried out; the next round tries again")
		}
	}
}

// recordVerdicts commits the verdicts on waves of releases that all doors of the wave have installed.
func (c *Coordinator) recordVerdicts(t *term) {
	var verdicts []release.RecordVerdict
	c.mu.Lock()
	c.fsm.read(func(s *permits.State) { verdicts = t.collector.Verdicts(t.now(), s.Release) })
	c.mu.Unlock()
	for _, v := range verdicts {
		if _, err := c.commitOwn(t, v); err != nil {
			c.log.WithError(err).Debug("a verdict was not recorded; the next round tries again")
		}
	}
}

// Read calls do with the current state, as confirmed by a majority, and returns true. It returns false if this coordinator doesn't
// lead.
func (c *Coordinator) Read(do func(s *permits.State, now float64)) bool {
	t := c.currentTerm()
	if t == nil || c.raft.VerifyLeader().Error() != nil {
		return false
	}
	now := t.now()
	c.fsm.read(func(s *permits.State) { do(s, max(now, s.NowMs)) })
	return true
}

// hint describes the leader, as far as this coordinator knows it.
func (c *Coordinator) hint() (h client.Hint) {
	_, id := c.raft.LeaderWithID()
	h.Leader = string(id)
	c.fsm.read(func(s *permits.State) {
		if s.Leader.Name == h.Leader {
			h.API = s.Leader.API
		}
	})
	if id == "" {
		h.Reason = "no leader: no majority of the coordinators answers, or an election is under way"
		if at := c.raft.LastContact(); !at.IsZero() {
			h.LeaderSilentMs = float64(time.Since(at)) / 1e6
		}
	} else if h.Leader == c.cfg.Name {
		h.Leader, h.Reason = "", "its leadership is not confirmed"
	}
	return h
}

// notLeader returns the error for requests that only the leader can answer.
func (c *Coordinator) notLeader() error { return &NotLeaderError{c.cfg.Name, c.hint()} }

// Status returns the agreed state, as confirmed by a majority if this coordinator leads, and otherwise as it last received it.
func (c *Coordinator) Status() client.Status {
	st := client.Status{Self: c.cfg.Name, Fleet: c.cfg.Fleet, Hint: c.hint()}
	st.Leader = st.Hint.Leader
	fill := func(s *permits.State, now float64) {
		st.Change, st.Budgets, st.Halts = s.Change, slices.Clone(s.Budgets), slices.Clone(s.Halts)
		st.Runs, st.Seen = map[string]release.Versions{}, maps.Clone(s.Release.Seen)
		for door, runs := range s.Release.Runs {
			st.Runs[door] = maps.Clone(runs)
		}
		st.Differs = s.Release.Differences()
		for _, r := range s.Release.All {
			st.Releases = append(st.Releases, r.Clone())
		}
		for _, k := range slices.Sorted(maps.Keys(s.Units)) {
			u := s.Units[k]
			st.Units = append(st.Units, client.Unit{UnitState: *u, Out: s.Out(u), AgeMs: now - u.AtMs})
		}
		for _, n := range slices.Sorted(maps.Keys(s.Permits)) {
			p := client.Permit{Permit: *s.Permits[n]}
			if p.Order && p.Unit.Kind == permits.Backend {
				p.Waiting = s.UnconfirmedDoors(s.Permits[n])
			}
			p.Drained = s.Drained(s.Permits[n])
			st.Permits = append(st.Permits, p)
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
			if at, silent := c.silentSince[s.ID]; silent {
				m.SilentMs = float64(time.Since(at)) / 1e6
			}
			st.Members = append(st.Members, m)
		}
	}
	return st
}

// Audit returns the audit log, as this coordinator last received it.
func (c *Coordinator) Audit() (all []permits.AuditEntry) {
	c.fsm.read(func(s *permits.State) { all = slices.Clone(s.Audit) })
	return all
}

// ChangeMembership adds or removes a coordinator if this one leads. It refuses a removal after which no majority of the remaining
// coordinators would answer.
func (c *Coordinator) ChangeMembership(ch client.MembershipChange) error {
	t := c.currentTerm()
	if t == nil {
		return c.notLeader()
	}
	var err error
	c.fsm.read(func(s *permits.State) {
		err = s.Calendar.CheckUnplanned(calendar.Coordinators, calendar.Subject{Scope: calendar.Fleet})
	})
	if err != nil {
		return &CalendarError{err}
	}
	if ch.Add {
		err = c.raft.AddVoter(raft.ServerID(ch.Name), raft.ServerAddress(ch.Address), 0, membershipTimeout).Error()
	} else {
		remaining, answering := 0, 0
		for _, m := range c.Status().Members {
			if m.Name != ch.Name {
				remaining++
				if m.SilentMs == 0 {
					answering++
				}
			}
		}
		if remaining == 0 || 2*answering <= remaining {
			return &MajorityError{ch.Name, remaining, answering}
		}
		err = c.raft.RemoveServer(raft.ServerID(ch.Name), 0, membershipTimeout).Error()
	}
	if err != nil {
		return &UnknownOutcomeError{c.cfg.Name, err}
	}
	what := "coordinator removed: "
	if ch.Add {
		what = "coordinator added: "
	}
	_, err = c.commit(t, permits.Command{Caller: permits.CallerName(ch.Who, rand.Uint64()), Seq: 1, Do: permits.Note{What: what + ch.Name, Who: ch.Who, Why: ch.Why}})
	return err
}

// stateMachine implements raft.FSM with the state of package permits.
type stateMachine struct {
	mu       sync.Mutex
	replica  *permits.Replica
	restored bool        // a calendar.Restored command was applied since this process started
	raised   bool        // and a permits.Leadership of a restored state
	fail     func(error) // terminates the coordinator
	log      logrus.FieldLogger
}

// newStateMachine returns a state machine with an empty state.
func newStateMachine(fail func(error), log logrus.FieldLogger) (*stateMachine, error) {
	replica, err := permits.NewReplica(permits.New())
	return &stateMachine{replica: replica, fail: fail, log: log}, err
}

// restoreRecorded reports whether a calendar.Restored command was applied since this process started.
func (m *stateMachine) restoreRecorded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restored
}

// numbersRaised reports whether the leadership of a restored state was applied since this process started.
func (m *stateMachine) numbersRaised() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.raised
}

// read calls do with the state while it is locked.
func (m *stateMachine) read(do func(*permits.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(m.replica.State())
}

// Apply applies a log entry. An entry that this release can't decode must not be skipped, as the states would diverge: the
// coordinator terminates itself. An entry that it can decode and not execute changes nothing, on every coordinator alike.
func (m *stateMachine) Apply(l *raft.Log) any {
	var cmd permits.Command
	if err := json.Unmarshal(l.Data, &cmd); err != nil {
		m.fail(err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch do := cmd.Do.(type) {
	case calendar.Restored:
		m.restored = true
	case permits.Leadership:
		m.raised = m.raised || do.Restored
	}
	answer, fault := m.replica.Apply(cmd, l.Data)
	if fault != nil {
		m.log.WithError(answer.Err).WithFields(logrus.Fields{fields.Who: fault.Command.Caller, fields.Why: fault.Reason, fields.Number: l.Index, fields.Stack: fault.Stack}).
			Error("command not executed")
	}
	return answer
}

// Snapshot encodes the state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out bytes.Buffer
	if err := m.replica.State().Save(&out); err != nil {
		return nil, err
	}
	return snapshot(out.Bytes()), nil
}

// Restore replaces the state with that of a snapshot.
func (m *stateMachine) Restore(in io.ReadCloser) error {
	defer in.Close()
	s, err := permits.Load(in)
	if err != nil {
		return err
	}
	replica, err := permits.NewReplica(s)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replica = replica
	return nil
}

// snapshot is an encoded state.
type snapshot []byte

// Persist writes the snapshot to the store.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release does nothing: the encoded state needs no cleanup.
func (snapshot) Release() {}

// Failure returns a channel that delivers the error that terminates the coordinator, such as a failed write to the disk.
func (c *Coordinator) Failure() <-chan error { return c.failed }

// NewTransport returns raft's transport on a stream layer. routes has the addresses of peers, by name, that can't be reached at the
// address they advertise.
func NewTransport(layer raft.StreamLayer, routes map[string]string, log logrus.FieldLogger) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{ServerAddressProvider: routeTable(routes), Stream: layer, MaxPool: 3, Timeout: applyTimeout,
		Logger: hclog.New(&hclog.LoggerOptions{Name: "transport", Level: hclog.Info, Output: debugWriter{log}, DisableTime: true})})
}

// routeTable implements raft.ServerAddressProvider. Without a route raft uses the advertised address.
type routeTable map[string]string

// ServerAddr returns the configured address of a peer, or an error if it has none.
func (r routeTable) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if at, ok := r[string(id)]; ok {
		return raft.ServerAddress(at), nil
	}
	return "", &RouteError{string(id)}
}
