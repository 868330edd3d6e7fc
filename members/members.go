package members

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// TickEvery is the interval at which Tick is due, ms; it is short compared with all times below.
	TickEvery = 50.0

	// Time.
	maxStepMs = 150.0 // ms of active time that one step may add; if more has passed, this process was suspended itself

	// Pings and suspicions.
	observersPerMember   = 8     // observers of each member; if there were fewer, a quorum of them could fail by chance
	pingInterval         = 500.0 // ms between pings of a member that answers
	pingRetryInterval    = 150.0 // ms until the next ping of a member that did not answer; several round trips
	indirectPingAfter    = 900.0 // ms without an ack after which other members are asked for indirect pings
	indirectPingInterval = 500.0 // ms between such requests
	indirectPingHelpers  = 2     // members asked for indirect pings at a time
	suspectAfter         = 1750. // ms without an ack that raise a suspicion; longer than a pause of 1 s plus some pings lost after it
	joinSuspicionAfter   = 1300. // the same if another observer suspects the member already, so that the votes on one crash arrive together
	unhealthyAfter       = 1000. // ms without any message after which this door suspects itself
	isolatedAfter        = 5000. // ms without any message after which it is isolated; it then reports members not received from within voteTTL as away
	reachReportTTL       = 1700. // ms for which an observer's report that it reaches this door counts; two pings and some slack
	ackFreshFor          = 700.0 // ms for which an ack counts as reaching the member; a ping, a lost one and the next

	// Votes and decisions.
	reachedVoteChance      = 0.3   // chance per tick that an observer votes Reached on a member that others suspect
	voteTTL                = 10e3  // ms for which a vote counts
	voteRepeatInterval     = 3e3   // ms after which a standing vote is cast again
	quorum                 = 0.6   // share of the votes, and of the observers, that decides; more than half, less than two zones of three
	rejoinGrace            = 3000. // ms for which a member that was here is reported here in a new incarnation that its observers haven't reached yet
	singleSuspicionDelay   = 2000. // ms for which a single suspicion must stand before it is reported; two are reported at once
	minSuspicion           = 300.0 // ms at least from the first suspicion to a decision, so that votes of observers that reach the member arrive
	fewVotesDelay          = 3000. // ms added, in proportion to the votes that suspicions lack of a quorum of the observers
	singleZoneDelay        = 2000. // ms added if all suspicions are from one zone and the member has observers in others, whose votes may be under way
	indirectlyReachedDelay = 3000. // ms, in place of minSuspicion and fewVotesDelay, if most of the suspecting observers know that others reach the member
	refuteTimeout          = 1500. // ms in which a member may refute a decision made elsewhere; without it the halves of a healed partition would drop each other
	nameOwnedAfter         = 3000. // ms for which a door must be here under its name to keep it against another

	// Push/pull, incarnations and leaving.
	awayPingInterval    = 1000. // ms between pings of one of the away members, which find out that a partition has healed
	pushPullInterval    = 2000. // ms at least between push/pull exchanges
	quietBeforePushPull = 1000. // ms without changes after which a differing digest is no longer put down to gossip under way
	maxPushPullDelay    = 10e3  // ms after a push/pull exchange at which a differing digest starts another one in spite of gossip under way
	incarnationInterval = 1000. // ms between incarnations that this door begins to refute records of its current one
	leavePhase          = 600.0 // ms for which a departing door announces that it is leaving, and again that it has left

	// Gossip.
	gossipFanout     = 4     // members that receive gossip in a round
	gossipRounds     = 3     // rounds in which a change is gossiped; it misses e^-12 of the members
	gossipPackets    = 3     // packets per receiver and round
	maxPacketBytes   = 1150  // bytes of records in a packet; the path carries 1400
	recordBytes      = 110   // bytes of a record without votes, approximately
	voteBytes        = 28    // bytes of a vote, approximately
	piggybackRecords = 4     // records piggybacked on a ping or ack
	piggybackFor     = 4000. // ms for which a change is piggybacked

	forgetAfter       = 600e3 // ms after which a member that has left is forgotten; one that is away is never forgotten
	maxMembers        = 4096  // members; records of more are ignored as noise
	nameRetryInterval = 5000. // ms between attempts to join while the name is in use
)

// memberState is what this door knows of a member; it has one of itself, too. Times are active time, ms, unless noted.
type memberState struct {
	Record
	rejoining   bool    // Joining in a new incarnation, Here in the one before: still reported here
	contested   bool    // a record says Away and the votes known here don't support it; applied at contestEnds unless refuted
	contestEnds float64 // end of the time for a refutation
	stateAt     float64 // when the state was reached
	reported    State   // state in the latest Changed
	votes       []vote  // the latest vote of each observer
	receivedAt  float64 // latest message from the member; -Inf for none
	suspectedAt float64 // first of the standing suspicions; +Inf for none
	ringPos     uint64  // position on the ring of its zone: hash of the name
	roundsLeft  int     // gossip rounds that are left for its record
	changedAt   float64 // latest change of its record

	// State that this door keeps as an observer of the member.
	observed         bool        // this door is an observer of the member
	observedSince    float64     // start of the time in which missing acks count
	ackedAt          float64     // latest ack; -Inf for none
	ackedIncarnation uint32      // incarnation in the latest ack
	pingedAt         float64     // latest ping
	awaitingAck      bool        // the latest ping is unanswered
	pingSeq          uint32      // sequence number of the latest ping
	pingClock        float64     // clock at the latest ping, for the round-trip time
	rtt              float64     // smoothed round-trip time, ms; 0 while unknown
	indirectPingAt   float64     // latest request for indirect pings
	indirectAckAt    float64     // latest IndirectAck; -Inf for none
	myObservation    Observation // this door's latest vote
	votedAt          float64     // when it was cast; -Inf if none stands
}

// vote is a Vote with the observer as an index and the age as a time.
type vote struct {
	by          int
	seq         uint32
	observation Observation
	at          float64 // active time when it was cast, ms
}

// indirectProbe is a ping that this door sent on behalf of another member.
type indirectProbe struct {
	seq       uint32
	requester int
	at        float64 // active time, ms
}

// Member is one door's view of its fleet.
//
// It measures time as active time: the time of the driver's clock without the periods in which this process was suspended.
type Member struct {
	self    int            // index of this door
	members []memberState  // in the order in which they became known
	index   map[string]int // by name
	rng     *rand.Rand
	actions []Action // of the current step

	started    bool
	clock      float64 // driver's clock at the latest step, ms
	activeTime float64 // sum of the steps, each limited to maxStepMs, ms
	paused     float64 // total time of suspension, ms

	receivedAt     float64             // active time of the latest message from any member
	seq            uint32              // sequence number of the latest ping
	voteSeq        uint32              // number of votes cast
	ringsStale     bool                // the set of alive members has changed since rings was built
	aliveCount     int                 // alive members
	unsettled      []int               // members with votes, a contested decision or a rejoin to follow up at each tick
	gone           []int               // members that are Away or Left
	rings          []zoneRing          // by name of the zone
	subjects       []int               // members that this door observes
	indirectProbes []indirectProbe     // that await an ack
	gossipQueue    []int               // members whose records have gossip rounds left
	piggyback      []int               // members whose records are piggybacked
	incarnationAt  float64             // active time at which this door began its latest incarnation
	pushPullAt     float64             // active time of the latest push/pull exchange, plus a random delay
	leavingAt      float64             // active time of Leave; +Inf for none
	departed       bool                // the protocol has ended
	nameConflict   *NameTakenError     // set while another door has this door's name
	nameConflictAt float64             // active time at which that was reported last
	reachReports   map[int]reachReport // latest report of each observer of this door
	awayPingedAt   float64             // active time of the latest ping of an away member
	unhealthy      bool                // the failure seems to be this door's own, see checkLocalHealth
	isolated       bool                // no message for isolatedAfter
	changedAt      float64             // active time of the latest change of any record
	senderOutdated bool                // the current message has a record of this door in an earlier incarnation: the sender is sent the current one
	cachedDigest   uint64
	digestStale    bool // cachedDigest is to be computed again
}

// reachReport is an observer's report that this door answered its ping, and in which incarnation.
type reachReport struct {
	incarnation uint32
	at          float64 // active time, ms
}

// New returns the view of a door that has just started and knows no other member.
func New(self Peer, seed uint64) *Member {
	m := &Member{index: map[string]int{}, rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))), leavingAt: math.Inf(1),
		incarnationAt: math.Inf(-1), pushPullAt: math.Inf(-1), ringsStale: true, reachReports: map[int]reachReport{}, nameConflictAt: math.Inf(-1)}
	m.self = m.add(Record{Peer: self, Incarnation: 1, State: Joining})
	m.markChanged(m.self)
	return m
}

// Step processes events and returns the actions to carry out; the slice is valid until the next call. now is the time of
// a monotonic clock, ms.
func (m *Member) Step(now float64, events ...Event) []Action {
	m.actions = m.actions[:0]
	if !m.started {
		m.started, m.clock = true, now
	}
	// A late step means that this process was suspended, not that all others stopped answering: only maxStepMs of the gap
	// counts as active time. Otherwise a door would consider all others away after a suspension of its own.
	dt := max(0, now-m.clock)
	m.paused += max(0, dt-maxStepMs)
	m.activeTime += min(dt, maxStepMs)
	m.clock = now
	if m.departed {
		return nil
	}
	for _, e := range events {
		switch e := e.(type) {
		case Received:
			m.receive(e.Message)
		case RemoteState:
			for i := range e.Records {
				m.merge(&e.Records[i], false)
			}
		case Leave:
			if math.IsInf(m.leavingAt, 1) {
				m.leavingAt = m.activeTime
				m.advance(m.self, Leaving, "leave requested")
			}
		case Tick:
			m.tick()
		}
	}
	return m.actions
}

// emit adds an action to those that Step returns.
func (m *Member) emit(a Action) { m.actions = append(m.actions, a) }

// ---- Member states ----

// add inserts a member that was unknown and returns its index.
func (m *Member) add(r Record) int {
	i := len(m.members)
	k := memberState{Record: r, stateAt: m.activeTime - r.Age, suspectedAt: math.Inf(1), ackedAt: math.Inf(-1), pingedAt: math.Inf(-1), indirectPingAt: math.Inf(-1),
		indirectAckAt: math.Inf(-1), votedAt: math.Inf(-1), observedSince: m.activeTime, receivedAt: math.Inf(-1)}
	k.Votes = nil
	k.ringPos = xxhash.Sum64String(r.Name)
	k.State = Unknown
	m.members = append(m.members, k)
	m.index[r.Name] = i
	m.setState(i, r.State)
	return i
}

// markChanged queues a member's record for gossip and piggybacking.
func (m *Member) markChanged(i int) {
	k := &m.members[i]
	if k.roundsLeft == 0 {
		m.gossipQueue = append(m.gossipQueue, i)
	}
	if !slices.Contains(m.piggyback, i) {
		m.piggyback = append(m.piggyback, i)
	}
	k.roundsLeft, k.changedAt = gossipRounds, m.activeTime
	m.changedAt, m.digestStale = m.activeTime, true
}

// visibleState returns the state of a member as it is reported to the driver and to operators.
func (m *Member) visibleState(i int) State {
	k := &m.members[i]
	switch {
	case i == m.self || !k.State.alive():
	case m.isolated && m.activeTime-k.receivedAt > voteTTL:
		return Away // only in this door's own view: it is not gossiped
	case k.State == Joining && k.rejoining && m.activeTime-k.stateAt < rejoinGrace, k.State == Here:
		if n := m.suspicions(i); n >= 2 || n > 0 && m.activeTime-k.suspectedAt > singleSuspicionDelay {
			return Suspect
		}
		return Here
	}
	return k.State
}

// reportChange emits Changed if the visible state of a member differs from the one reported last.
func (m *Member) reportChange(i int, reason string) {
	k := &m.members[i]
	now := m.visibleState(i)
	if now == k.reported {
		return
	}
	m.emit(Changed{Peer: k.Peer, From: k.reported, To: now, Incarnation: k.Incarnation, Suspicions: m.suspicions(i), Reason: reason})
	k.reported = now
}

// setState sets the state of a member and updates what is derived from the states.
func (m *Member) setState(i int, to State) {
	k := &m.members[i]
	if k.State.alive() != to.alive() {
		m.ringsStale = true
		if to.alive() {
			m.aliveCount++
		} else if k.State != Unknown {
			m.aliveCount--
		}
	}
	wasGone, isGone := k.State == Away || k.State == Left, to == Away || to == Left
	if isGone && !wasGone {
		m.gone = append(m.gone, i)
	} else if wasGone && !isGone {
		m.gone = slices.DeleteFunc(m.gone, func(j int) bool { return j == i })
	}
	k.State = to
}

// advance moves a member to a later state of the same incarnation.
func (m *Member) advance(i int, to State, reason string) {
	k := &m.members[i]
	m.setState(i, to)
	k.stateAt, k.contested = m.activeTime, false
	if to == Here || to == Away || to == Left {
		k.rejoining = false
	}
	if to == Away || to == Left {
		// Discard its votes: a member that was cut off must not have others declared away.
		m.dropVotesBy(i)
	}
	if to == Here {
		k.votes, k.suspectedAt = k.votes[:0], math.Inf(1)
	}
	m.markChanged(i)
	m.reportChange(i, reason)
}

// dropVotesBy discards the votes that a member cast.
func (m *Member) dropVotesBy(by int) {
	for i := range m.members {
		k := &m.members[i]
		if n := len(k.votes); n > 0 {
			k.votes = slices.DeleteFunc(k.votes, func(v vote) bool { return v.by == by })
			if len(k.votes) < n {
				m.updateSuspectedAt(i)
				m.reportChange(i, "votes of a lost observer dropped")
			}
		}
	}
}

// startIncarnation replaces what is known of a member by a later incarnation, or by another process of the same name.
func (m *Member) startIncarnation(i int, r *Record) {
	k := &m.members[i]
	rejoining := (k.reported == Here || k.reported == Suspect) && !m.hasAwayQuorum(i) && k.Nonce == r.Nonce && r.State == Joining
	m.setState(i, r.State)
	k.Peer, k.Incarnation = r.Peer, r.Incarnation
	k.rejoining, k.contested, k.stateAt = rejoining, false, m.activeTime-r.Age
	k.votes, k.suspectedAt, k.votedAt = k.votes[:0], math.Inf(1), math.Inf(-1)
	k.observedSince, k.pingedAt, k.indirectAckAt, k.awaitingAck = m.activeTime, math.Inf(-1), math.Inf(-1), false
	if rejoining {
		m.markUnsettled(i)
	} else {
		m.dropVotesBy(i)
	}
	m.markChanged(i)
	m.reportChange(i, "new incarnation")
}

// ---- Messages and records ----

// receive processes a message.
func (m *Member) receive(in *Message) {
	if in.From.Name == m.members[m.self].Name {
		if in.From.Nonce != m.members[m.self].Nonce {
			m.mergeNamesake(&Record{Peer: in.From, Incarnation: in.Incarnation, State: in.State})
		}
		return
	}
	m.receivedAt = m.activeTime
	if in.Kind == NameTaken {
		m.yieldName(in.Target)
		return
	}
	m.merge(&Record{Peer: in.From, Incarnation: in.Incarnation, State: in.State}, true)
	from, known := m.index[in.From.Name]
	m.senderOutdated = false
	for i := range in.Records {
		// A sender that is Joining may have been declared away: ignore its Away records, except the one on this door.
		if r := &in.Records[i]; r.State != Away || in.State != Joining || r.Name == m.members[m.self].Name {
			m.merge(r, false)
		}
	}
	if !known {
		return
	}
	outdated := m.senderOutdated
	k := &m.members[from]
	if k.receivedAt = m.activeTime; m.isolated {
		m.reportChange(from, "message received again")
	}
	if k.Nonce != in.From.Nonce {
		if k.State.alive() && k.Address != in.From.Address {
			m.send(in.From, &Message{Kind: NameTaken, Target: k.Address})
		} else { // send it the record of the earlier process of its name: it must begin a later incarnation
			m.send(in.From, &Message{Kind: Gossip, Records: []Record{m.record(from)}})
		}
		return
	}
	m.compareDigest(from, in)
	switch in.Kind {
	case Ping:
		if in.AckedIncarnation != 0 {
			m.reachReports[from] = reachReport{in.AckedIncarnation, m.activeTime}
		}
		m.reply(from, &Message{Kind: Ack, Seq: in.Seq})
	case Ack:
		m.receiveAck(from, in)
	case IndirectPing:
		if i, ok := m.index[in.Target]; ok && i != m.self {
			m.seq++
			m.indirectProbes = append(m.indirectProbes, indirectProbe{m.seq, from, m.activeTime})
			m.send(m.members[i].Peer, &Message{Kind: Ping, Seq: m.seq})
		}
	case IndirectAck:
		if i, ok := m.index[in.Target]; ok {
			m.members[i].indirectAckAt = m.activeTime
		}
	case Gossip:
		if !k.State.alive() || k.Incarnation != in.Incarnation || outdated { // a Ping is answered in any case
			m.reply(from, &Message{Kind: Gossip})
		}
	}
}

// setIsolated records whether this door is isolated and reports the members whose visible state changes with that. An
// isolated door neither votes nor decides: the others' silence is a failure of its own.
func (m *Member) setIsolated(to bool) {
	if m.isolated == to {
		return
	}
	m.isolated = to
	for i := range m.members {
		k := &m.members[i]
		k.observedSince = m.activeTime
		m.reportChange(i, "this door became isolated, or is no longer")
	}
}

// compareDigest requests a push/pull exchange with a member whose digest differs, once gossip can't explain that any more.
func (m *Member) compareDigest(from int, in *Message) {
	if in.Digest == m.digest() || in.Kind != Ping && in.Kind != Ack {
		return
	}
	if sinceExchange := m.activeTime - m.pushPullAt; sinceExchange > maxPushPullDelay || sinceExchange > pushPullInterval && m.activeTime-m.changedAt > quietBeforePushPull {
		m.pushPullAt = m.activeTime + pushPullInterval*m.rng.Float64()
		m.emit(PushPull{m.members[from].Peer})
	}
}

// digest returns a hash of the incarnations and states of all members. It doesn't depend on their order.
func (m *Member) digest() uint64 {
	if m.digestStale {
		m.digestStale, m.cachedDigest = false, 0
		for i := range m.members {
			k := &m.members[i]
			h := k.ringPos ^ k.Nonce*0x9e3779b97f4a7c15 ^ (uint64(k.Incarnation)<<8|uint64(k.State))*0xff51afd7ed558ccd
			h ^= h >> 31
			m.cachedDigest += h * 0xc4ceb9fe1a85ec53
		}
	}
	return m.cachedDigest
}

// reply sends a message to a member. If this door considers it away, the message includes that record, so that the
// member can refute it.
func (m *Member) reply(to int, out *Message) {
	if k := &m.members[to]; k.State == Away || k.contested {
		r := m.record(to)
		r.State = Away
		out.Records = append(out.Records, r)
		if m.activeTime-m.pushPullAt >= pushPullInterval && k.State == Away { // a partition has healed
			m.pushPullAt = m.activeTime
			m.emit(PushPull{k.Peer})
		}
	}
	m.send(m.members[to].Peer, out)
}

// receiveAck processes an Ack: that of an indirect probe is passed on to its requester, any other is this door's own.
func (m *Member) receiveAck(from int, in *Message) {
	k := &m.members[from]
	for j, p := range m.indirectProbes {
		if p.seq == in.Seq {
			m.indirectProbes = slices.Delete(m.indirectProbes, j, j+1)
			m.send(m.members[p.requester].Peer, &Message{Kind: IndirectAck, Target: k.Name})
			return
		}
	}
	if in.Seq != k.pingSeq {
		if in.Seq == 0 || in.Seq > k.pingSeq || !k.awaitingAck {
			return
		}
	} else if k.awaitingAck {
		sample := m.clock - k.pingClock
		k.rtt = cmp.Or(k.rtt, sample)
		k.rtt += (sample - k.rtt) / 8
	}
	k.awaitingAck = false
	firstInIncarnation := k.ackedIncarnation != k.Incarnation
	k.ackedAt, k.ackedIncarnation = m.activeTime, in.Incarnation
	if firstInIncarnation && k.State == Joining && k.observed && k.ackedIncarnation == k.Incarnation {
		m.ping(from) // reports to the member that it was reached, without which it can't become Here
	}
}

// merge applies a record; direct means that its subject sent it.
func (m *Member) merge(r *Record, direct bool) {
	if r.Name == m.members[m.self].Name {
		m.mergeSelf(r)
		return
	}
	if r.State >= Suspect || r.State == Unknown || r.Incarnation == 0 || r.Name == "" {
		return
	}
	i, ok := m.index[r.Name]
	if !ok {
		if !direct && (r.State == Away || r.State == Left) && r.Age > forgetAfter/2 || len(m.members) >= maxMembers {
			return // forgotten here already or soon, or over the limit of members
		}
		i = m.add(*r)
		m.markChanged(i)
		m.reportChange(i, "newly known")
		m.mergeVotes(i, r)
		return
	}
	k := &m.members[i]
	if k.Nonce != r.Nonce {
		// Another process has the name. A successor begins a later incarnation. A process at another address, while the
		// known one is alive, is sent NameTaken by receive; its record is only accepted from other members, which means
		// that another part of the fleet has accepted it.
		if elsewhere := k.State.alive() && k.Address != r.Address; r.Incarnation > k.Incarnation && !(direct && elsewhere) {
			m.startIncarnation(i, r)
			m.mergeVotes(i, r)
		}
		return
	}
	switch {
	case r.Incarnation > k.Incarnation:
		if r.State == Away && k.State.alive() { // it may be about to refute that, which then arrives as a later incarnation
			before := *r
			before.State = Joining
			m.startIncarnation(i, &before)
		} else {
			m.startIncarnation(i, r)
		}
	case r.Incarnation < k.Incarnation:
		return
	}
	m.mergeVotes(i, r)
	if k = &m.members[i]; r.Incarnation != k.Incarnation || r.State <= k.State {
		return
	}
	// Decisions of others are adopted along with their votes. If the votes known here don't support one, the member has
	// time to refute it: otherwise one part of a partitioned fleet would have all the rest declared away.
	if r.State == Away && !m.hasAwayQuorum(i) {
		m.contest(i)
		return
	}
	m.advance(i, r.State, "record received")
	m.members[i].stateAt = m.activeTime - r.Age
}

// countVotes counts the votes on a member by observation.
func (m *Member) countVotes(i int) (unreachable, indirectly, reached int) {
	for _, v := range m.members[i].votes {
		switch v.observation {
		case Unreachable:
			unreachable++
		case ReachedIndirectly:
			indirectly++
		default:
			reached++
		}
	}
	return unreachable, indirectly, reached
}

// votesSupportAway reports whether a quorum of the votes known here suspects a member, and more than one zone does if an
// observer of another zone reaches it.
func (m *Member) votesSupportAway(i int) bool {
	unreachable, indirectly, reached := m.countVotes(i)
	suspicions := float64(unreachable + indirectly)
	// The link of a single zone may be down: its suspicions don't count against votes of other zones that reach the member.
	severalZones, contradicted := m.suspectingZones(&m.members[i])
	return suspicions > 0 && suspicions >= quorum*(suspicions+float64(reached)) && (severalZones || !contradicted)
}

// hasAwayQuorum reports whether a quorum of all observers of a member suspects it, so that a decision made elsewhere
// applies at once.
func (m *Member) hasAwayQuorum(i int) bool {
	return float64(m.suspicions(i)) >= quorum*float64(m.observerCount(i)) && m.votesSupportAway(i)
}

// contest defers a decision that lacks a quorum here, and sends it to its subject, which has refuteTimeout to refute it.
func (m *Member) contest(i int) {
	if k := &m.members[i]; !k.contested {
		k.contested, k.contestEnds = true, m.activeTime+refuteTimeout
		m.markUnsettled(i)
		r := m.record(i)
		r.State = Away
		m.send(k.Peer, &Message{Kind: Gossip, Records: []Record{r}})
	}
}

// mergeSelf applies a record of this door. It begins a later incarnation if the record says Away or has a later one than
// the current.
func (m *Member) mergeSelf(r *Record) {
	k := &m.members[m.self]
	if r.Nonce != k.Nonce {
		m.mergeNamesake(r)
		return
	}
	if r.Incarnation < k.Incarnation {
		m.senderOutdated = true
		return
	}
	m.mergeVotes(m.self, r)
	if r.Incarnation > k.Incarnation || r.State == Away && k.State.alive() {
		m.raiseIncarnation(r.Incarnation, "refutes that it is away")
	}
}

// mergeNamesake applies a record of another process of this door's name: a predecessor of this one, or another door.
func (m *Member) mergeNamesake(r *Record) {
	k := &m.members[m.self]
	if r.Address != k.Address && r.State.alive() {
		if r.Incarnation > k.Incarnation || r.Incarnation == k.Incarnation && k.State == Joining && r.State != Joining {
			m.yieldName(r.Address)
		}
		return
	}
	if r.Incarnation >= k.Incarnation {
		m.raiseIncarnation(r.Incarnation, "supersedes an earlier process of its name")
	}
}

// yieldName stops this door from taking part because another door has its name, unless this door is the established one.
func (m *Member) yieldName(address string) {
	k := &m.members[m.self]
	if k.State == Here && m.activeTime-k.stateAt > nameOwnedAfter && m.activeTime-m.receivedAt < unhealthyAfter && m.reachedByQuorum() {
		return // the fleet knows this door by that name; the other one yields
	}
	m.nameConflictAt = m.activeTime
	if m.nameConflict == nil || m.nameConflict.Address != address {
		m.nameConflict = &NameTakenError{k.Name, address}
		m.emit(NameConflict{m.nameConflict})
	}
}

// raiseIncarnation begins an incarnation of this door that is later than one known to others.
func (m *Member) raiseIncarnation(known uint32, reason string) {
	k := &m.members[m.self]
	if !math.IsInf(m.leavingAt, 1) || known == k.Incarnation && m.activeTime-m.incarnationAt < incarnationInterval && k.Incarnation > 1 {
		return
	}
	m.incarnationAt = m.activeTime
	k.rejoining = k.State == Here || k.State == Joining && k.rejoining
	m.setState(m.self, Joining)
	k.Incarnation, k.stateAt = known+1, m.activeTime
	k.votes, k.suspectedAt = k.votes[:0], math.Inf(1)
	clear(m.reachReports)
	m.markChanged(m.self)
	m.reportChange(m.self, reason)
	for _, i := range m.subjects { // they learn of it first; the pings of those that also observe this door make it Here again
		m.send(m.members[i].Peer, &Message{Kind: Gossip})
	}
}

// ---- Votes ----

// mergeVotes adds the votes of a record on a member's current incarnation; only votes of observers that are here count.
func (m *Member) mergeVotes(i int, r *Record) {
	k := &m.members[i]
	if r.Incarnation != k.Incarnation || !k.State.alive() {
		return
	}
	changed := false
	for _, v := range r.Votes {
		by, ok := m.index[v.By]
		if !ok || by == i || v.Age > voteTTL {
			continue
		}
		if s := m.visibleState(by); s != Here && s != Suspect && s != Leaving {
			continue
		}
		changed = m.addVote(i, vote{by, v.Seq, v.Observation, m.activeTime - v.Age}) || changed
	}
	if changed {
		m.markChanged(i)
		m.reportChange(i, "votes of its observers")
	}
}

// addVote replaces an observer's earlier vote on a member, and reports whether the vote was new.
func (m *Member) addVote(i int, v vote) bool {
	k := &m.members[i]
	n := slices.IndexFunc(k.votes, func(w vote) bool { return w.by == v.by })
	switch {
	case n < 0:
		k.votes = append(k.votes, v)
	case k.votes[n].seq >= v.seq:
		return false
	default:
		k.votes[n] = v
	}
	m.updateSuspectedAt(i)
	m.markUnsettled(i)
	return true
}

// markUnsettled has each tick follow up a member until nothing about it is pending.
func (m *Member) markUnsettled(i int) {
	if !slices.Contains(m.unsettled, i) {
		m.unsettled = append(m.unsettled, i)
	}
}

// updateSuspectedAt keeps the time of the first of a member's standing suspicions.
func (m *Member) updateSuspectedAt(i int) {
	k := &m.members[i]
	if !slices.ContainsFunc(k.votes, func(v vote) bool { return v.observation != Reached }) {
		k.suspectedAt = math.Inf(1)
	} else if math.IsInf(k.suspectedAt, 1) {
		k.suspectedAt = m.activeTime
	}
}

// suspicions returns the number of observers that suspect a member.
func (m *Member) suspicions(i int) int {
	unreachable, indirectly, _ := m.countVotes(i)
	return unreachable + indirectly
}

// castVote casts this door's vote on a member and gossips it.
func (m *Member) castVote(i int, observation Observation) {
	k := &m.members[i]
	m.voteSeq++
	k.myObservation, k.votedAt = observation, m.activeTime
	m.addVote(i, vote{m.self, m.members[m.self].Incarnation<<12 + m.voteSeq, observation, m.activeTime})
	m.markChanged(i)
	m.reportChange(i, "this door's own vote")
}

// decideAway declares a suspected member away if the votes known here support that for long enough. Doors that know the
// same votes decide alike, and the decision is gossiped to those that don't know them.
func (m *Member) decideAway(i int) {
	k := &m.members[i]
	if !k.State.alive() || i == m.self || math.IsInf(k.suspectedAt, 1) {
		return
	}
	if !m.votesSupportAway(i) {
		return
	}
	unreachable, indirectly, reached := m.countVotes(i)
	suspicions, observerCount := unreachable+indirectly, float64(m.observerCount(i))
	if k.State == Joining && !k.rejoining && reached > 0 {
		return // it has not been Here yet, and each decision would make it begin another incarnation
	}
	wait := minSuspicion + fewVotesDelay*max(0, 1-float64(suspicions)/(quorum*observerCount))
	if float64(unreachable) < quorum*float64(suspicions) {
		wait = indirectlyReachedDelay
	}
	if severalZones, _ := m.suspectingZones(k); !severalZones && m.observerZones(i) > 1 {
		wait += singleZoneDelay
	}
	if m.activeTime-k.suspectedAt >= wait {
		m.advance(i, Away, fmt.Sprintf("suspected by %d of %d observers, reached by %d", suspicions, int(observerCount), reached))
	}
}

// suspectingZones reports whether the suspicions of a member come from two zones, and whether an observer outside the
// (last) suspecting zone reaches it.
func (m *Member) suspectingZones(k *memberState) (severalZones, contradicted bool) {
	zone, seen := "", false
	for _, v := range k.votes {
		if v.observation != Reached {
			z := m.members[v.by].Zone
			severalZones = severalZones || seen && z != zone
			zone, seen = z, true
		}
	}
	return severalZones, slices.ContainsFunc(k.votes, func(v vote) bool { return v.observation == Reached && m.members[v.by].Zone != zone })
}

// observerZones returns the number of zones in which a member has observers.
func (m *Member) observerZones(i int) (zones int) {
	for z := range m.rings {
		if m.anyObserver(&m.rings[z], i, func(int) bool { return true }) {
			zones++
		}
	}
	return zones
}

// ---- Ticks ----

// tick does what time makes due: pings, votes, decisions, gossip.
func (m *Member) tick() {
	m.rebuildRings()
	m.proceedLeave()
	if m.departed {
		return
	}
	if m.nameConflict != nil && m.activeTime-m.nameConflictAt < nameRetryInterval {
		return
	}
	me := &m.members[m.self]
	m.checkLocalHealth()
	if m.unhealthy && m.activeTime-m.receivedAt > isolatedAfter && m.aliveCount > 1 {
		m.setIsolated(true)
	} else if !m.unhealthy {
		m.setIsolated(false)
	}
	for _, i := range m.subjects {
		m.probe(i)
	}
	for n := 0; n < len(m.unsettled); n++ {
		i := m.unsettled[n]
		m.expireVotes(i)
		if !m.unhealthy {
			m.decideAway(i)
		}
		if k := &m.members[i]; k.contested && m.activeTime >= k.contestEnds {
			m.advance(i, Away, "decided by another part of the fleet and not refuted")
		} else if k.State.alive() {
			m.reportChange(i, "time limit passed")
		}
	}
	m.unsettled = slices.DeleteFunc(m.unsettled, func(i int) bool {
		k := &m.members[i]
		return len(k.votes) == 0 && !k.contested && !(k.State == Joining && k.rejoining)
	})
	if me.State == Joining {
		m.enter()
	}
	m.pingAway()
	m.gossip()
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(p indirectProbe) bool { return m.activeTime-p.at > suspectAfter })
}

// checkLocalHealth finds out whether the failure is this door's own: it receives nothing, or none of the members that it
// pings answers while it receives from others, or it is Joining, as after being declared away. Then it neither votes nor
// decides, but still adopts the decisions of others. Without this a zone that can receive and not send would drop all others.
func (m *Member) checkLocalHealth() {
	wasUnhealthy := m.unhealthy
	m.unhealthy = m.activeTime-m.receivedAt > unhealthyAfter || m.members[m.self].State == Joining || len(m.subjects) > 0 &&
		!slices.ContainsFunc(m.subjects, func(i int) bool {
			return m.activeTime-max(m.members[i].observedSince, m.members[i].ackedAt) < suspectAfter
		})
	if m.unhealthy && !wasUnhealthy {
		m.dropVotesBy(m.self) // its first suspicions are due to the same failure
		for _, i := range m.subjects {
			m.members[i].votedAt = math.Inf(-1)
		}
	}
}

// probe pings a member when that is due, and votes on it if the observation is new to others.
func (m *Member) probe(i int) {
	k := &m.members[i]
	suspected := !math.IsInf(k.suspectedAt, 1)
	interval := pingInterval
	if k.awaitingAck || suspected || k.State == Joining && k.ackedIncarnation != k.Incarnation {
		interval = pingRetryInterval
	}
	if m.activeTime-k.pingedAt >= interval {
		m.ping(i)
	}
	silence := m.activeTime - max(k.observedSince, k.ackedAt)
	if silence > indirectPingAfter && m.activeTime-k.indirectPingAt > indirectPingInterval {
		k.indirectPingAt = m.activeTime
		m.requestIndirectPings(i)
	}
	observation, voteDue := Reached, false
	limit := suspectAfter
	if suspected {
		limit = joinSuspicionAfter
	}
	switch {
	case m.unhealthy:
	case silence >= limit:
		observation, voteDue = Unreachable, true
		if m.activeTime-k.indirectAckAt < suspectAfter {
			observation = ReachedIndirectly
		}
	case suspected:
		voteDue = m.activeTime-k.ackedAt < ackFreshFor && k.ackedIncarnation == k.Incarnation && m.reachedVoteWanted(i)
	}
	if voteDue && (math.IsInf(k.votedAt, -1) || k.myObservation != observation || m.activeTime-k.votedAt > voteRepeatInterval) {
		m.castVote(i, observation)
	} else if !voteDue && !math.IsInf(k.votedAt, -1) && k.myObservation != Reached && m.activeTime-k.ackedAt < ackFreshFor {
		m.castVote(i, Reached)
	}
}

// reachedVoteWanted reports whether another Reached vote on a member may matter, which it doesn't where one fewer would
// do. Votes older than half of voteTTL don't count, so that they are replaced before they expire. The random choice keeps
// all observers from voting at once: a single suspicion needs two or three votes against it, not seven.
func (m *Member) reachedVoteWanted(i int) bool {
	suspicions, reached := 0.0, 0.0
	for _, v := range m.members[i].votes {
		if v.observation != Reached {
			suspicions++
		} else if m.activeTime-v.at < voteTTL/2 {
			reached++
		}
	}
	return suspicions >= quorum*(suspicions+reached-1) && m.rng.Float64() < reachedVoteChance
}

// ping sends a Ping to a member.
func (m *Member) ping(i int) {
	k := &m.members[i]
	m.seq++
	k.pingedAt, k.awaitingAck, k.pingSeq, k.pingClock = m.activeTime, true, m.seq, m.clock
	out := &Message{Kind: Ping, Seq: m.seq}
	if k.ackedIncarnation == k.Incarnation && m.activeTime-k.ackedAt < ackFreshFor {
		out.AckedIncarnation = k.Incarnation
	}
	m.send(k.Peer, out)
}

// requestIndirectPings asks random members that are here to ping a member, preferably members of other zones.
func (m *Member) requestIndirectPings(i int) {
	asked := 0
	for try := 0; try < 4*indirectPingHelpers && asked < indirectPingHelpers; try++ {
		j := m.rng.IntN(len(m.members))
		k := &m.members[j]
		if j == m.self || j == i || k.State != Here || k.Zone == m.members[m.self].Zone && try < 2*indirectPingHelpers && k.Zone != "" {
			continue
		}
		asked++
		m.send(k.Peer, &Message{Kind: IndirectPing, Target: m.members[i].Name})
	}
}

// expireVotes discards votes on a member that are older than voteTTL, and all votes if nobody suspects the member and its
// record hasn't changed for piggybackFor.
func (m *Member) expireVotes(i int) {
	k := &m.members[i]
	n := len(k.votes)
	k.votes = slices.DeleteFunc(k.votes, func(v vote) bool { return m.activeTime-v.at > voteTTL })
	if len(k.votes) < n {
		m.updateSuspectedAt(i)
		m.reportChange(i, "votes expired")
	}
	if math.IsInf(k.suspectedAt, 1) && len(k.votes) > 0 && m.activeTime-k.changedAt > piggybackFor {
		k.votes = k.votes[:0]
	}
}

// reachedByQuorum reports whether a quorum of this door's observers has reached it in its current incarnation.
func (m *Member) reachedByQuorum() bool {
	n, reached := 0, 0
	for z := range m.rings {
		m.anyObserver(&m.rings[z], m.self, func(j int) bool {
			n++
			if t, ok := m.reachReports[j]; ok && t.incarnation == m.members[m.self].Incarnation && m.activeTime-t.at < reachReportTTL {
				reached++
			}
			return false
		})
	}
	return float64(reached) >= quorum*float64(n)
}

// enter moves this door from Joining to Here once a quorum of its observers has reached it.
func (m *Member) enter() {
	if !m.reachedByQuorum() {
		return
	}
	if m.nameConflict != nil && m.observerCount(m.self) > 0 { // the name is free again
		m.nameConflict = nil
		m.emit(NameConflict{})
	}
	m.advance(m.self, Here, "reached by its observers")
}

// pingAway pings one of the away members, so that the parts of a partitioned fleet find each other again. On its way it
// forgets members that left long ago.
func (m *Member) pingAway() {
	if len(m.gone) == 0 || m.activeTime-m.awayPingedAt < awayPingInterval {
		return
	}
	start := m.rng.IntN(len(m.gone))
	for n := range m.gone {
		i := m.gone[(start+n)%len(m.gone)]
		k := &m.members[i]
		switch {
		case k.State == Away:
			m.awayPingedAt = m.activeTime
			m.seq++
			r := m.record(i)
			m.send(k.Peer, &Message{Kind: Ping, Seq: m.seq, Records: []Record{r}})
			return
		case m.activeTime-k.stateAt > forgetAfter && i != m.self: // Left
			m.forget(i)
			return
		}
	}
}

// forget removes a member; the last one takes its index.
func (m *Member) forget(i int) {
	m.emit(Changed{Peer: m.members[i].Peer, From: m.members[i].reported, To: Unknown, Incarnation: m.members[i].Incarnation, Reason: "left long ago"})
	last := len(m.members) - 1
	delete(m.index, m.members[i].Name)
	m.dropVotesBy(i)
	if i != last {
		m.members[i] = m.members[last]
		m.index[m.members[i].Name] = i
		for j := range m.members {
			for n := range m.members[j].votes {
				if m.members[j].votes[n].by == last {
					m.members[j].votes[n].by = i
				}
			}
		}
		delete(m.reachReports, i)
		if t, ok := m.reachReports[last]; ok {
			m.reachReports[i] = t
		}
		if m.self == last {
			m.self = i
		}
	}
	delete(m.reachReports, last)
	m.members = m.members[:last]
	m.rings, m.ringsStale = nil, true
	move := func(list []int) []int {
		list = slices.DeleteFunc(list, func(j int) bool { return j == i })
		for n := range list {
			if list[n] == last {
				list[n] = i
			}
		}
		return list
	}
	m.gossipQueue, m.piggyback, m.subjects = move(m.gossipQueue), move(m.piggyback), move(m.subjects)
	m.unsettled, m.gone = move(m.unsettled), move(m.gone)
	m.indirectProbes = m.indirectProbes[:0]
}

// proceedLeave announces Leaving, then Left, each for leavePhase, and ends the protocol.
func (m *Member) proceedLeave() {
	since := m.activeTime - m.leavingAt
	if since >= leavePhase && m.members[m.self].State == Leaving {
		m.advance(m.self, Left, "leave completed")
	}
	if since >= 2*leavePhase {
		m.departed = true
		m.emit(Departed{})
	}
}

// rebuildRings determines the members that this door observes. The members of each zone form a ring, ordered by the hash
// of the name; a member's observers are its predecessors on each ring, and each zone provides them in proportion to its
// share of the fleet. So the assignment follows from the set of alive members alone, few observers change when a member
// joins or leaves, and no zone provides a quorum of anybody's observers by chance: a zone whose link fails in one
// direction is then decided on alike for every member.
func (m *Member) rebuildRings() {
	if !m.ringsStale {
		return
	}
	m.ringsStale = false
	m.rings = m.rings[:0]
	for i := range m.members {
		if k := &m.members[i]; k.State.alive() {
			z := slices.IndexFunc(m.rings, func(z zoneRing) bool { return z.name == k.Zone })
			if z < 0 {
				z = len(m.rings)
				m.rings = append(m.rings, zoneRing{name: k.Zone})
			}
			m.rings[z].members = append(m.rings[z].members, i)
		}
	}
	slices.SortFunc(m.rings, func(a, b zoneRing) int { return cmp.Compare(a.name, b.name) })
	for z, sum := 0, 0; z < len(m.rings); z++ {
		ring := &m.rings[z]
		slices.SortFunc(ring.members, func(i, j int) int { return cmp.Compare(m.members[i].ringPos, m.members[j].ringPos) })
		ring.shareFrom = observersPerMember * float64(sum) / float64(m.aliveCount)
		sum += len(ring.members)
		ring.shareTo = observersPerMember * float64(sum) / float64(m.aliveCount)
	}
	previous := append([]int(nil), m.subjects...)
	m.subjects = m.subjects[:0]
	if k := &m.members[m.self]; k.State.alive() {
		ownRing := &m.rings[slices.IndexFunc(m.rings, func(z zoneRing) bool { return z.name == k.Zone })]
		for i := range m.members {
			if i != m.self && m.members[i].State.alive() && m.anyObserver(ownRing, i, func(j int) bool { return j == m.self }) {
				m.subjects = append(m.subjects, i)
			}
		}
	}
	for _, i := range previous {
		if i < len(m.members) && !slices.Contains(m.subjects, i) {
			m.members[i].observed = false
			m.members[i].votedAt = math.Inf(-1)
		}
	}
	for _, i := range m.subjects {
		if k := &m.members[i]; !k.observed {
			k.observed, k.observedSince, k.awaitingAck = true, m.activeTime, false
			k.pingedAt = m.activeTime - pingInterval*m.rng.Float64() // spreads the pings of all doors
		}
	}
}

// zoneRing holds the alive members of one zone by position, and the zone's part of the range [0, observersPerMember].
type zoneRing struct {
	name               string
	members            []int
	shareFrom, shareTo float64
}

// anyObserver calls call for a member's observers from one zone until it returns true, and reports whether it did.
func (m *Member) anyObserver(z *zoneRing, i int, call func(j int) bool) bool {
	n := len(z.members)
	at, _ := slices.BinarySearchFunc(z.members, m.members[i].ringPos, func(j int, p uint64) int { return cmp.Compare(m.members[j].ringPos, p) })
	candidates := n
	if z.name == m.members[i].Zone {
		candidates--
	}
	remaining := min(candidates, m.observersFromZone(z, i))
	for s := 1; remaining > 0 && s <= n; s++ {
		if j := z.members[(at-s+2*n)%n]; j != i {
			remaining--
			if call(j) {
				return true
			}
		}
	}
	return false
}

// observersFromZone returns the number of a member's observers from a zone: the zone's share of observersPerMember,
// rounded up or down depending on the hash of the member's name, so that the numbers add up.
func (m *Member) observersFromZone(z *zoneRing, i int) int {
	if m.aliveCount <= observersPerMember+1 {
		return observersPerMember // everybody observes everybody
	}
	offset := float64(m.members[i].ringPos*0x9e3779b97f4a7c15>>11) / (1 << 53)
	return int(math.Floor(z.shareTo+offset) - math.Floor(z.shareFrom+offset))
}

// observerCount returns the number of observers of a member.
func (m *Member) observerCount(i int) (n int) {
	for z := range m.rings {
		m.anyObserver(&m.rings[z], i, func(int) bool { n++; return false })
	}
	return n
}

// ---- Sending ----

// record returns the record of a member, with ages as of now.
func (m *Member) record(i int) Record {
	k := &m.members[i]
	r := k.Record
	r.Age = math.Round(m.activeTime - k.stateAt)
	for _, v := range k.votes {
		r.Votes = append(r.Votes, Vote{m.members[v.by].Name, v.seq, v.observation, math.Round(m.activeTime - v.at)})
	}
	return r
}

// All returns the records of all members, for a push/pull exchange.
func (m *Member) All() []Record {
	all := make([]Record, 0, len(m.members))
	for i := range m.members {
		all = append(all, m.record(i))
	}
	return all
}

// send completes a message with the sender's state, piggybacks records and emits Send.
func (m *Member) send(to Peer, out *Message) {
	me := &m.members[m.self]
	out.From, out.Incarnation, out.State, out.Digest = me.Peer, me.Incarnation, me.State, m.digest()
	if out.Kind == Ping || out.Kind == Ack {
		m.attachPiggyback(out)
	}
	m.emit(Send{to, out})
}

// attachPiggyback adds some recently changed records to a message.
func (m *Member) attachPiggyback(out *Message) {
	if len(m.piggyback) == 0 {
		return
	}
	m.piggyback = slices.DeleteFunc(m.piggyback, func(i int) bool { return m.activeTime-m.members[i].changedAt > piggybackFor })
	start := 0
	if len(m.piggyback) > piggybackRecords {
		start = m.rng.IntN(len(m.piggyback))
	}
	for n := range min(piggybackRecords, len(m.piggyback)) {
		if i := m.piggyback[(start+n)%len(m.piggyback)]; i != m.self {
			out.Records = append(out.Records, m.record(i))
		}
	}
}

// gossip sends changed records, those with the most rounds left first, to a few random members.
func (m *Member) gossip() {
	if len(m.gossipQueue) == 0 {
		return
	}
	var to []int
	for try := 0; try < 6*gossipFanout && len(to) < gossipFanout; try++ {
		if j := m.rng.IntN(len(m.members)); j != m.self && m.members[j].State.alive() && !slices.Contains(to, j) {
			to = append(to, j)
		}
	}
	slices.SortStableFunc(m.gossipQueue, func(a, b int) int { return m.members[b].roundsLeft - m.members[a].roundsLeft })
	size, packets := 0, 1
	var records []Record
	flush := func() {
		for _, j := range to {
			m.send(m.members[j].Peer, &Message{Kind: Gossip, Records: records})
		}
		records, size = nil, 0
	}
	for _, i := range m.gossipQueue {
		r := m.record(i)
		estimate := recordBytes + voteBytes*len(r.Votes)
		if size+estimate > maxPacketBytes && len(records) > 0 {
			if packets == gossipPackets {
				break
			}
			packets++
			flush()
		}
		records, size = append(records, r), size+estimate
		m.members[i].roundsLeft--
	}
	flush()
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(i int) bool { return m.members[i].roundsLeft <= 0 })
}

// ---- Views ----

// Row is this door's view of one member.
type Row struct {
	Peer
	State       State
	Incarnation uint32
	Since       float64 // ms in that state
	Suspicions  int     // observers that suspect the member
	Observers   int     // observers of the member
	Observed    bool    // this door is one of them
	Reached     bool    // the member answered this door lately
	RTT         float64 // round-trip time, ms; 0 if unknown
}

// Rows returns the view of all members, including this door, sorted by name.
func (m *Member) Rows() []Row {
	rows := make([]Row, 0, len(m.members))
	for i := range m.members {
		k := &m.members[i]
		rows = append(rows, Row{Peer: k.Peer, State: m.visibleState(i), Incarnation: k.Incarnation, Since: m.activeTime - k.stateAt, Suspicions: m.suspicions(i), Observers: m.observerCount(i), Observed: k.observed,
			Reached: i == m.self || k.observed && m.activeTime-k.ackedAt < 2*pingInterval+ackFreshFor, RTT: k.rtt})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// Self returns this door's identity, state and incarnation.
func (m *Member) Self() (Peer, State, uint32) {
	k := &m.members[m.self]
	return k.Peer, m.visibleState(m.self), k.Incarnation
}

// SilentMs returns the active time since a message was received from any other member, ms.
func (m *Member) SilentMs() float64 { return m.activeTime - m.receivedAt }

// PausedMs returns the total time for which this process was suspended, ms.
func (m *Member) PausedMs() float64 { return m.paused }
