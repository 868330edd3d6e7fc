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
	// TickEvery is how often Tick is due, ms: small beside every time below.
	TickEvery = 50.0

	tickMost    = 150.0 // ms of this door's own time that one step may bring; what is over, it was stopped itself
	observers   = 8     // of each member; with fewer, chance alone could make up most of them
	lookEvery   = 500.0 // ms between looks at one member that answers
	lookAgain   = 150.0 // ms until the next look at one that did not; some ways there and back
	askAfter    = 900.0 // ms of silence after which others are asked to look
	askAgain    = 500.0 // ms between such questions
	askOthers   = 2     // that are asked
	doubtAfter  = 1750. // ms of silence that make a doubt: over a pause of 1 s, and looks lost after it
	joinInDoubt = 1300. // ms of silence that do where another doubts already: doubts of one crash come together
	deafAfter   = 1000. // ms without any word from anybody that make this door doubt itself first,
	aloneAfter  = 5000. // and for so long, hold nobody to be here but those that it has heard in voteFor
	ticketFor   = 1700. // ms for which an observer's word that it reaches this door counts: two looks and some
	freshReach  = 700.0 // ms for which an answer counts as reaching: a look, a lost one, and the next
	speakUp     = 0.3   // chance in a tick that an observer says that it reaches one whom others doubt
	voteFor     = 10e3  // ms for which a vote counts
	voteAgain   = 3e3   // ms after which one that stands is cast again
	most        = 0.6   // share of the votes, and of the observers, that make a verdict: over half, under two zones of three
	keepFor     = 3000. // ms for which one that was here is shown so in a new life that its observers have not reached yet
	showAfter   = 2000. // ms for which a single doubt must stand to be shown; two are shown at once
	settle      = 300.0 // ms from the first doubt to a verdict at least: those who reach it must be heard too
	fewSettle   = 3000. // more, in step with the share of its observers that are missing among those who doubt it
	oneZone     = 2000. // and where all that doubt it are of one zone, and it has observers in others: their word may be on its way
	partial     = 3000. // and where most that doubt it know that others reach it
	contest     = 1500. // ms in which a member may gainsay another's verdict; two halves that meet would else drop each other
	settled     = 3000. // ms after which one that is here under its name keeps it
	awayLook    = 1000. // ms between looks at some member that is away: who heals must be found
	meetRest    = 2000. // ms between exchanges of whole states
	calmFor     = 1000. // ms without news after which another sum is not news on its way,
	meetAnyway  = 10e3  // and after which whole states are exchanged though there is
	raiseRest   = 1000. // ms between lives that this door begins
	leaveFor    = 600.0 // ms for which it says that it goes
	tellWho     = 4     // members told in one round,
	tellTimes   = 3     // rounds in which a change is told: e^-12 of the members miss it
	tellPackets = 3     // packets to each in a round
	packetSize  = 1150  // bytes of records in one; the path carries 1,400
	recordSize  = 110   // bytes of a record without votes, and
	voteSize    = 28    // of a vote, about
	rideMost    = 4     // records that ride on a look or an answer
	rideFor     = 4000. // ms for which a change rides
	forgetAfter = 600e3 // ms after which one that has left is forgotten; one that is away is looked for on
	mostKnown   = 4096  // members; what comes beyond is noise
	nameRest    = 5000. // ms between tries where the name is taken
)

// known is what is known of one member, this door among them.
type known struct {
	Record
	kept    bool // joining with a new life, and here in the one before: shown as here
	foreign bool // away by an old verdict, not applied yet
	applies float64
	at      float64 // own time at which the state was reached
	shown   State
	votes   []vote
	heard   float64 // own time of its latest word to this door
	doubted float64 // own time of the first doubt that stands; +Inf for none
	point   uint64  // its place on the ring
	left    int     // rounds in which it is still to be told
	changed float64 // own time of the latest news

	// As an observer of it.
	subject   bool
	since     float64 // own time from which silence counts
	answered  float64 // own time of its latest answer; -Inf for none
	inLife    uint32  // that it answered in
	looked    float64
	waiting   bool // a look is unanswered
	lookNo    uint32
	lookClock float64 // clock of that look, for the round trip
	trip      float64 // round trip, ms; 0 while not known
	asked     float64
	elsewhere float64 // own time at which another reached it for me
	myVote    Says
	votedAt   float64 // own time; -Inf for none that stands
}

type vote struct {
	by   int
	seq  uint32
	says Says
	at   float64 // own time
}

// favour is a look made for another.
type favour struct {
	no    uint32
	asker int
	at    float64
}

// Member is one door's view of its fleet.
type Member struct {
	self    int
	all     []known
	index   map[string]int
	dice    *rand.Rand
	actions []Action

	began   bool
	clock   float64 // of the latest step, ms
	own     float64 // own time: the clock less what this door was stopped, ms
	stopped float64 // what it was stopped in all, ms

	heard    float64 // own time of the latest word from anybody
	no       uint32
	voteNo   uint32
	ringOld  bool
	standing int   // members that stand
	open     []int // on whom something is not settled
	gone     []int // away or left
	zones    []ring
	subjects []int
	favours  []favour
	hot      []int
	riding   []int
	raised   float64
	met      float64
	leaving  float64 // own time of Leave; +Inf for none
	over     bool
	taken    *NameTakenError
	takenAt  float64
	tickets  map[int]ticket
	looked   float64 // own time of the latest look at one that is away
	mute     bool    // none of those that it looks at answers, though it hears others
	alone    bool    // it has heard nobody for long
	news     float64
	outdated bool // what a message told of this door was of an earlier life: its sender is told
	sum      uint64
	sumOld   bool
}

// ticket is an observer's word to this door that it was reached in a life.
type ticket struct {
	life uint32
	at   float64
}

// New returns the view of a door that has just started and knows nobody.
func New(self Peer, seed uint64) *Member {
	m := &Member{index: map[string]int{}, dice: rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))), leaving: math.Inf(1),
		raised: math.Inf(-1), met: math.Inf(-1), ringOld: true, tickets: map[int]ticket{}, takenAt: math.Inf(-1)}
	m.self = m.add(Record{Peer: self, Incarnation: 1, State: Joining})
	m.touch(m.self)
	return m
}

// Step takes events in and returns what is to be done; the slice is valid until the next call. now is a monotonic clock, ms.
func (m *Member) Step(now float64, events ...Event) []Action {
	m.actions = m.actions[:0]
	if !m.began {
		m.began, m.clock = true, now
	}
	// Own time: a step that comes late says that this door was stopped, not that all others fell silent. Without this
	// a door that wakes from a pause would hold all others to be away.
	dt := max(0, now-m.clock)
	m.stopped += max(0, dt-tickMost)
	m.own += min(dt, tickMost)
	m.clock = now
	if m.over {
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
			if math.IsInf(m.leaving, 1) {
				m.leaving = m.own
				m.advance(m.self, Leaving, "told to leave")
			}
		case Tick:
			m.tick()
		}
	}
	return m.actions
}

func (m *Member) do(a Action) { m.actions = append(m.actions, a) }

// ---- What is known ----

func (m *Member) add(r Record) int {
	i := len(m.all)
	k := known{Record: r, at: m.own - r.Age, doubted: math.Inf(1), answered: math.Inf(-1), looked: math.Inf(-1), asked: math.Inf(-1),
		elsewhere: math.Inf(-1), votedAt: math.Inf(-1), since: m.own, heard: math.Inf(-1)}
	k.Votes = nil
	k.point = xxhash.Sum64String(r.Name)
	k.State = Unknown
	m.all = append(m.all, k)
	m.index[r.Name] = i
	m.moves(i, r.State)
	return i
}

// touch has a member told of, and its state shown anew.
func (m *Member) touch(i int) {
	k := &m.all[i]
	if k.left == 0 {
		m.hot = append(m.hot, i)
	}
	if !slices.Contains(m.riding, i) {
		m.riding = append(m.riding, i)
	}
	k.left, k.changed = tellTimes, m.own
	m.news, m.sumOld = m.own, true
}

// shows is what a member is held to be, as told to the door and to people.
func (m *Member) shows(i int) State {
	k := &m.all[i]
	switch {
	case i == m.self || !k.State.standing():
	case m.alone && m.own-k.heard > voteFor:
		return Away // for all that this door knows; it says so to nobody
	case k.State == Joining && k.kept && m.own-k.at < keepFor, k.State == Here:
		if d := m.doubts(i); d >= 2 || d > 0 && m.own-k.doubted > showAfter {
			return Suspect
		}
		return Here
	}
	return k.State
}

// tellChange emits the difference between what is shown and what was.
func (m *Member) tellChange(i int, why string) {
	k := &m.all[i]
	now := m.shows(i)
	if now == k.shown {
		return
	}
	m.do(Changed{Peer: k.Peer, From: k.shown, To: now, Incarnation: k.Incarnation, Doubts: m.doubts(i), Reason: why})
	k.shown = now
}

// moves puts a member into another state and keeps the lists that follow from it.
func (m *Member) moves(i int, to State) {
	k := &m.all[i]
	if k.State.standing() != to.standing() {
		m.ringOld = true
		if to.standing() {
			m.standing++
		} else if k.State != Unknown {
			m.standing--
		}
	}
	was, is := k.State == Away || k.State == Left, to == Away || to == Left
	if is && !was {
		m.gone = append(m.gone, i)
	} else if was && !is {
		m.gone = slices.DeleteFunc(m.gone, func(j int) bool { return j == i })
	}
	k.State = to
}

// advance moves a member on to a later state of the same life.
func (m *Member) advance(i int, to State, why string) {
	k := &m.all[i]
	m.moves(i, to)
	k.at, k.foreign = m.own, false
	if to == Here || to == Away || to == Left {
		k.kept = false
	}
	if to == Away || to == Left {
		// Its votes die with it: one that is cut off must not take others along.
		m.drop(i)
	}
	if to == Here {
		k.votes, k.doubted = k.votes[:0], math.Inf(1)
	}
	m.touch(i)
	m.tellChange(i, why)
}

// drop forgets the votes that a member cast.
func (m *Member) drop(by int) {
	for i := range m.all {
		k := &m.all[i]
		if n := len(k.votes); n > 0 {
			k.votes = slices.DeleteFunc(k.votes, func(v vote) bool { return v.by == by })
			if len(k.votes) < n {
				m.firstDoubt(i)
				m.tellChange(i, "a doubt has gone with its observer")
			}
		}
	}
}

// begin puts a member's later life, or another process, in the place of what was known.
func (m *Member) begin(i int, r *Record) {
	k := &m.all[i]
	kept := (k.shown == Here || k.shown == Suspect) && !m.plain(i) && k.Nonce == r.Nonce && r.State == Joining
	m.moves(i, r.State)
	k.Peer, k.Incarnation = r.Peer, r.Incarnation
	k.kept, k.foreign, k.at = kept, false, m.own-r.Age
	k.votes, k.doubted, k.votedAt = k.votes[:0], math.Inf(1), math.Inf(-1)
	k.since, k.looked, k.elsewhere, k.waiting = m.own, math.Inf(-1), math.Inf(-1), false
	if kept {
		m.opened(i)
	} else {
		m.drop(i)
	}
	m.touch(i)
	m.tellChange(i, "a new life")
}

// ---- What others say ----

func (m *Member) receive(in *Message) {
	if in.From.Name == m.all[m.self].Name {
		if in.From.Nonce != m.all[m.self].Nonce {
			m.namesake(&Record{Peer: in.From, Incarnation: in.Incarnation, State: in.State})
		}
		return
	}
	m.heard = m.own
	if in.Kind == Taken {
		m.nameTaken(in.About)
		return
	}
	m.merge(&Record{Peer: in.From, Incarnation: in.Incarnation, State: in.State}, true)
	from, known := m.index[in.From.Name]
	m.outdated = false
	for i := range in.Records {
		// One that the others hold to be away has no verdicts to tell, but on this door.
		if r := &in.Records[i]; r.State != Away || in.State != Joining || r.Name == m.all[m.self].Name {
			m.merge(r, false)
		}
	}
	if !known {
		return
	}
	outdated := m.outdated
	k := &m.all[from]
	if k.heard = m.own; m.alone {
		m.tellChange(from, "heard again")
	}
	if k.Nonce != in.From.Nonce {
		if k.State.standing() && k.Address != in.From.Address {
			m.send(in.From, &Message{Kind: Taken, About: k.Address})
		} else { // the process before it under this name: it must begin a later life
			m.send(in.From, &Message{Kind: Gossip, Records: []Record{m.record(from)}})
		}
		return
	}
	m.compare(from, in)
	switch in.Kind {
	case Look:
		if in.Reached != 0 {
			m.tickets[from] = ticket{in.Reached, m.own}
		}
		m.reply(from, &Message{Kind: Ack, No: in.No})
	case Ack:
		m.answer(from, in)
	case Ask:
		if i, ok := m.index[in.About]; ok && i != m.self {
			m.no++
			m.favours = append(m.favours, favour{m.no, from, m.own})
			m.send(m.all[i].Peer, &Message{Kind: Look, No: m.no})
		}
	case Found:
		if i, ok := m.index[in.About]; ok {
			m.all[i].elsewhere = m.own
		}
	case Gossip:
		if !k.State.standing() || k.Incarnation != in.Incarnation || outdated { // looks are answered anyway
			m.reply(from, &Message{Kind: Gossip})
		}
	}
}

// setAlone shows all others anew where this door has come to hear nobody, or hears somebody again. One that is cut off
// casts no vote meanwhile and reaches no verdict: what it would say of others is true of itself.
func (m *Member) setAlone(to bool) {
	if m.alone == to {
		return
	}
	m.alone = to
	for i := range m.all {
		k := &m.all[i]
		k.since = m.own
		m.tellChange(i, "this door hears nobody, or somebody again")
	}
}

// compare asks for an exchange of whole states with one that holds something else, once no news is on its way.
func (m *Member) compare(from int, in *Message) {
	if in.Sum == m.digest() || in.Kind != Look && in.Kind != Ack {
		return
	}
	if rest := m.own - m.met; rest > meetAnyway || rest > meetRest && m.own-m.news > calmFor {
		m.met = m.own + meetRest*m.dice.Float64()
		m.do(PushPull{m.all[from].Peer})
	}
}

// digest sums up all that is held: equal sums, equal states.
func (m *Member) digest() uint64 {
	if m.sumOld {
		m.sumOld, m.sum = false, 0
		for i := range m.all {
			k := &m.all[i]
			h := k.point ^ k.Nonce*0x9e3779b97f4a7c15 ^ (uint64(k.Incarnation)<<8|uint64(k.State))*0xff51afd7ed558ccd
			h ^= h >> 31
			m.sum += h * 0xc4ceb9fe1a85ec53
		}
	}
	return m.sum
}

// reply answers a member, and tells it what is held of it where that is not what it says itself.
func (m *Member) reply(to int, out *Message) {
	if k := &m.all[to]; k.State == Away || k.foreign {
		r := m.record(to)
		r.State = Away
		out.Records = append(out.Records, r)
		if m.own-m.met >= meetRest && k.State == Away { // two parts of a fleet meet again
			m.met = m.own
			m.do(PushPull{k.Peer})
		}
	}
	m.send(m.all[to].Peer, out)
}

// answer takes in that a member answered a look.
func (m *Member) answer(from int, in *Message) {
	k := &m.all[from]
	for j, f := range m.favours {
		if f.no == in.No {
			m.favours = slices.Delete(m.favours, j, j+1)
			m.send(m.all[f.asker].Peer, &Message{Kind: Found, About: k.Name})
			return
		}
	}
	if in.No != k.lookNo {
		if in.No == 0 || in.No > k.lookNo || !k.waiting {
			return
		}
	} else if k.waiting {
		trip := m.clock - k.lookClock
		k.trip = cmp.Or(k.trip, trip)
		k.trip += (trip - k.trip) / 8
	}
	k.waiting = false
	fresh := k.inLife != k.Incarnation
	k.answered, k.inLife = m.own, in.Incarnation
	if fresh && k.State == Joining && k.subject && k.inLife == k.Incarnation {
		m.look(from) // it enters once it hears that it was reached
	}
}

// merge takes in what is said of a member; direct tells that it said so itself.
func (m *Member) merge(r *Record, direct bool) {
	if r.Name == m.all[m.self].Name {
		m.ofMe(r)
		return
	}
	if r.State >= Suspect || r.State == Unknown || r.Incarnation == 0 || r.Name == "" {
		return
	}
	i, ok := m.index[r.Name]
	if !ok {
		if !direct && (r.State == Away || r.State == Left) && r.Age > forgetAfter/2 || len(m.all) >= mostKnown {
			return // forgotten here already, or soon; or more than any fleet has
		}
		i = m.add(*r)
		m.touch(i)
		m.tellChange(i, "heard of")
		m.mergeVotes(i, r)
		return
	}
	k := &m.all[i]
	if k.Nonce != r.Nonce {
		// Another process has the name. One that follows begins a later life; one elsewhere, while the one known is here, is
		// told that the name is taken, and heard of through others only where a part of the fleet has taken it in.
		if elsewhere := k.State.standing() && k.Address != r.Address; r.Incarnation > k.Incarnation && !(direct && elsewhere) {
			m.begin(i, r)
			m.mergeVotes(i, r)
		}
		return
	}
	switch {
	case r.Incarnation > k.Incarnation:
		if r.State == Away && k.State.standing() { // its word on that life may be on its way
			before := *r
			before.State = Joining
			m.begin(i, &before)
		} else {
			m.begin(i, r)
		}
	case r.Incarnation < k.Incarnation:
		return
	}
	m.mergeVotes(i, r)
	if k = &m.all[i]; r.Incarnation != k.Incarnation || r.State <= k.State {
		return
	}
	// What others have judged is taken over with their votes. Where the votes known here don't bear it out, the member
	// is given time to gainsay it: one part of a fleet that hears no other would else have all the rest away.
	if r.State == Away && !m.plain(i) {
		m.contest(i)
		return
	}
	m.advance(i, r.State, "heard so")
	m.all[i].at = m.own - r.Age
}

// tally counts the words of a member's observers.
func (m *Member) tally(i int) (silent, unreached, reached int) {
	for _, v := range m.all[i].votes {
		switch v.says {
		case Silent:
			silent++
		case Unreached:
			unreached++
		default:
			reached++
		}
	}
	return silent, unreached, reached
}

// borneOut tells whether the votes known here bear a verdict out.
func (m *Member) borneOut(i int) bool {
	silent, unreached, reached := m.tally(i)
	doubts := float64(silent + unreached)
	// A zone's own line may be down: its doubts alone don't stand against others' word that they reach the member.
	two, against := m.twoZones(&m.all[i])
	return doubts > 0 && doubts >= most*(doubts+float64(reached)) && (two || !against)
}

// plain tells whether a verdict is borne out by as many votes as there could be in its favour, so that it needs no time.
func (m *Member) plain(i int) bool {
	return float64(m.doubts(i)) >= most*float64(m.observersOf(i)) && m.borneOut(i)
}

// contest gives a member time to gainsay a verdict that the votes known here don't bear out plainly.
func (m *Member) contest(i int) {
	if k := &m.all[i]; !k.foreign {
		k.foreign, k.applies = true, m.own+contest
		m.opened(i)
		r := m.record(i)
		r.State = Away
		m.send(k.Peer, &Message{Kind: Gossip, Records: []Record{r}})
	}
}

// ofMe takes in what is said of this door.
func (m *Member) ofMe(r *Record) {
	k := &m.all[m.self]
	if r.Nonce != k.Nonce {
		m.namesake(r)
		return
	}
	if r.Incarnation < k.Incarnation {
		m.outdated = true
		return
	}
	m.mergeVotes(m.self, r)
	if r.Incarnation > k.Incarnation || r.State == Away && k.State.standing() {
		m.raise(r.Incarnation, "others held it to be away")
	}
}

// namesake takes in another process under this door's name: an earlier one of its own, or another door's.
func (m *Member) namesake(r *Record) {
	k := &m.all[m.self]
	if r.Address != k.Address && r.State.standing() {
		if r.Incarnation > k.Incarnation || r.Incarnation == k.Incarnation && k.State == Joining && r.State != Joining {
			m.nameTaken(r.Address)
		}
		return
	}
	if r.Incarnation >= k.Incarnation {
		m.raise(r.Incarnation, "an earlier process had its name")
	}
}

// nameTaken has this door stand back: another has its name.
func (m *Member) nameTaken(address string) {
	k := &m.all[m.self]
	if k.State == Here && m.own-k.at > settled && m.own-m.heard < deafAfter && m.reachedByMost() {
		return // this door is the one that the fleet knows; the other stands back
	}
	m.takenAt = m.own
	if m.taken == nil || m.taken.Address != address {
		m.taken = &NameTakenError{k.Name, address}
		m.do(NameConflict{m.taken})
	}
}

// raise begins a life of this door later than one that others know.
func (m *Member) raise(over uint32, why string) {
	k := &m.all[m.self]
	if !math.IsInf(m.leaving, 1) || over == k.Incarnation && m.own-m.raised < raiseRest && k.Incarnation > 1 {
		return
	}
	m.raised = m.own
	k.kept = k.State == Here || k.State == Joining && k.kept
	m.moves(m.self, Joining)
	k.Incarnation, k.at = over+1, m.own
	k.votes, k.doubted = k.votes[:0], math.Inf(1)
	clear(m.tickets)
	m.touch(m.self)
	m.tellChange(m.self, why)
	for _, i := range m.subjects { // they learn of it first, and their looks bring it back
		m.send(m.all[i].Peer, &Message{Kind: Gossip})
	}
}

// ---- Votes ----

func (m *Member) mergeVotes(i int, r *Record) {
	k := &m.all[i]
	if r.Incarnation != k.Incarnation || !k.State.standing() {
		return
	}
	news := false
	for _, v := range r.Votes {
		by, ok := m.index[v.By]
		if !ok || by == i || v.Age > voteFor {
			continue
		}
		if s := m.shows(by); s != Here && s != Suspect && s != Leaving {
			continue
		}
		news = m.count(i, vote{by, v.Seq, v.Says, m.own - v.Age}) || news
	}
	if news {
		m.touch(i)
		m.tellChange(i, "its observers say so")
	}
}

// count puts a vote in the place of the same observer's earlier one, and tells whether it is news.
func (m *Member) count(i int, v vote) bool {
	k := &m.all[i]
	at := slices.IndexFunc(k.votes, func(w vote) bool { return w.by == v.by })
	switch {
	case at < 0:
		k.votes = append(k.votes, v)
	case k.votes[at].seq >= v.seq:
		return false
	default:
		k.votes[at] = v
	}
	m.firstDoubt(i)
	m.opened(i)
	return true
}

// opened has tick look after a member on whom something is not settled.
func (m *Member) opened(i int) {
	if !slices.Contains(m.open, i) {
		m.open = append(m.open, i)
	}
}

// firstDoubt keeps the time from which doubts stand.
func (m *Member) firstDoubt(i int) {
	k := &m.all[i]
	if !slices.ContainsFunc(k.votes, func(v vote) bool { return v.says != Reached }) {
		k.doubted = math.Inf(1)
	} else if math.IsInf(k.doubted, 1) {
		k.doubted = m.own
	}
}

// doubts counts those who doubt a member.
func (m *Member) doubts(i int) int {
	silent, unreached, _ := m.tally(i)
	return silent + unreached
}

// cast votes on a member, and has the vote told.
func (m *Member) cast(i int, says Says) {
	k := &m.all[i]
	m.voteNo++
	k.myVote, k.votedAt = says, m.own
	m.count(i, vote{m.self, m.all[m.self].Incarnation<<12 + m.voteNo, says, m.own})
	m.touch(i)
	m.tellChange(i, "this door says so")
}

// judge reaches a verdict on a member whom some doubt, by all votes known here. Every door that has heard the same votes
// reaches the same one, and it is told on, so that those who have not heard them hold it as well.
func (m *Member) judge(i int) {
	k := &m.all[i]
	if !k.State.standing() || i == m.self || math.IsInf(k.doubted, 1) {
		return
	}
	if !m.borneOut(i) {
		return
	}
	silent, unreached, reached := m.tally(i)
	doubts, n := silent+unreached, float64(m.observersOf(i))
	if k.State == Joining && !k.kept && reached > 0 {
		return // it has not come in so far; each verdict would make it begin another life
	}
	wait := settle + fewSettle*max(0, 1-float64(doubts)/(most*n))
	if float64(silent) < most*float64(doubts) {
		wait = partial
	}
	if two, _ := m.twoZones(k); !two && m.watchedFrom(i) > 1 {
		wait += oneZone
	}
	if m.own-k.doubted >= wait {
		m.advance(i, Away, fmt.Sprintf("%d of %d observers doubt it, %d reach it", doubts, int(n), reached))
	}
}

// twoZones tells whether doubts come from two zones, and whether a word from another zone than theirs stands against them.
func (m *Member) twoZones(k *known) (two, against bool) {
	zone, seen := "", false
	for _, v := range k.votes {
		if v.says != Reached {
			z := m.all[v.by].Zone
			two = two || seen && z != zone
			zone, seen = z, true
		}
	}
	return two, slices.ContainsFunc(k.votes, func(v vote) bool { return v.says == Reached && m.all[v.by].Zone != zone })
}

// watchedFrom counts the zones in which a member has observers.
func (m *Member) watchedFrom(i int) (zones int) {
	for z := range m.zones {
		if m.before(&m.zones[z], i, func(int) bool { return true }) {
			zones++
		}
	}
	return zones
}

// ---- Time ----

func (m *Member) tick() {
	m.rank()
	m.depart()
	if m.over {
		return
	}
	if m.taken != nil && m.own-m.takenAt < nameRest {
		return
	}
	me := &m.all[m.self]
	m.doubtItself()
	if m.mute && m.own-m.heard > aloneAfter && m.standing > 1 {
		m.setAlone(true)
	} else if !m.mute {
		m.setAlone(false)
	}
	for _, i := range m.subjects {
		m.observe(i)
	}
	for n := 0; n < len(m.open); n++ {
		i := m.open[n]
		m.expire(i)
		if !m.mute {
			m.judge(i)
		}
		if k := &m.all[i]; k.foreign && m.own >= k.applies {
			m.advance(i, Away, "another part of the fleet held it so, and it did not gainsay")
		} else if k.State.standing() {
			m.tellChange(i, "time has passed")
		}
	}
	m.open = slices.DeleteFunc(m.open, func(i int) bool {
		k := &m.all[i]
		return len(k.votes) == 0 && !k.foreign && !(k.State == Joining && k.kept)
	})
	if me.State == Joining {
		m.enter()
	}
	m.lookAway()
	m.tellRound()
	m.favours = slices.DeleteFunc(m.favours, func(f favour) bool { return m.own-f.at > doubtAfter })
}

// doubtItself finds whether the fault is this door's own: it hears nobody, or none of those that it looks at answers
// though others are heard, or others hold it to be away: a zone that can't send would else drop all whom it hears. Then
// it neither votes nor judges; what others have judged it still takes over.
func (m *Member) doubtItself() {
	was := m.mute
	m.mute = m.own-m.heard > deafAfter || m.all[m.self].State == Joining || len(m.subjects) > 0 &&
		!slices.ContainsFunc(m.subjects, func(i int) bool { return m.own-max(m.all[i].since, m.all[i].answered) < doubtAfter })
	if m.mute && !was {
		m.drop(m.self) // the first of its doubts came of the same fault
		for _, i := range m.subjects {
			m.all[i].votedAt = math.Inf(-1)
		}
	}
}

// observe looks at a member in time, and votes on it where that is news to others.
func (m *Member) observe(i int) {
	k := &m.all[i]
	open := !math.IsInf(k.doubted, 1)
	gap := lookEvery
	if k.waiting || open || k.State == Joining && k.inLife != k.Incarnation {
		gap = lookAgain
	}
	if m.own-k.looked >= gap {
		m.look(i)
	}
	silence := m.own - max(k.since, k.answered)
	if silence > askAfter && m.own-k.asked > askAgain {
		k.asked = m.own
		m.askFor(i)
	}
	says, say := Reached, false
	limit := doubtAfter
	if open {
		limit = joinInDoubt
	}
	switch {
	case m.mute:
	case silence >= limit:
		says, say = Silent, true
		if m.own-k.elsewhere < doubtAfter {
			says = Unreached
		}
	case open:
		say = m.own-k.answered < freshReach && k.inLife == k.Incarnation && m.wanted(i)
	}
	if say && (math.IsInf(k.votedAt, -1) || k.myVote != says || m.own-k.votedAt > voteAgain) {
		m.cast(i, says)
	} else if !say && !math.IsInf(k.votedAt, -1) && k.myVote != Reached && m.own-k.answered < freshReach {
		m.cast(i, Reached)
	}
}

// wanted tells whether one more word that a member is reached matters: not where one less would do. Words half as old as
// they may be don't count, so that the next is said before they go. Not all say so at once: a single doubt calls for two
// words or three, and not for seven.
func (m *Member) wanted(i int) bool {
	doubts, reached := 0.0, 0.0
	for _, v := range m.all[i].votes {
		if v.says != Reached {
			doubts++
		} else if m.own-v.at < voteFor/2 {
			reached++
		}
	}
	return doubts >= most*(doubts+reached-1) && m.dice.Float64() < speakUp
}

func (m *Member) look(i int) {
	k := &m.all[i]
	m.no++
	k.looked, k.waiting, k.lookNo, k.lookClock = m.own, true, m.no, m.clock
	out := &Message{Kind: Look, No: m.no}
	if k.inLife == k.Incarnation && m.own-k.answered < freshReach {
		out.Reached = k.Incarnation
	}
	m.send(k.Peer, out)
}

// askFor has others look at a member: those who don't observe it, of other zones first.
func (m *Member) askFor(i int) {
	asked := 0
	for try := 0; try < 4*askOthers && asked < askOthers; try++ {
		j := m.dice.IntN(len(m.all))
		k := &m.all[j]
		if j == m.self || j == i || k.State != Here || k.Zone == m.all[m.self].Zone && try < 2*askOthers && k.Zone != "" {
			continue
		}
		asked++
		m.send(k.Peer, &Message{Kind: Ask, About: m.all[i].Name})
	}
}

// expire forgets votes that are old.
func (m *Member) expire(i int) {
	k := &m.all[i]
	n := len(k.votes)
	k.votes = slices.DeleteFunc(k.votes, func(v vote) bool { return m.own-v.at > voteFor })
	if len(k.votes) < n {
		m.firstDoubt(i)
		m.tellChange(i, "doubts have grown old")
	}
	if math.IsInf(k.doubted, 1) && len(k.votes) > 0 && m.own-k.changed > rideFor {
		k.votes = k.votes[:0]
	}
}

// reachedByMost tells whether enough of this door's observers have said that they reach it in this life.
func (m *Member) reachedByMost() bool {
	n, reached := 0, 0
	for z := range m.zones {
		m.before(&m.zones[z], m.self, func(j int) bool {
			n++
			if t, ok := m.tickets[j]; ok && t.life == m.all[m.self].Incarnation && m.own-t.at < ticketFor {
				reached++
			}
			return false
		})
	}
	return float64(reached) >= most*float64(n)
}

// enter makes this door one that is here, once enough have reached it.
func (m *Member) enter() {
	if !m.reachedByMost() {
		return
	}
	if m.taken != nil && m.observersOf(m.self) > 0 { // the name has come free
		m.taken = nil
		m.do(NameConflict{})
	}
	m.advance(m.self, Here, "its observers reach it")
}

// lookAway looks at one of those that are away: a fleet that was cut in two finds itself again.
func (m *Member) lookAway() {
	if len(m.gone) == 0 || m.own-m.looked < awayLook {
		return
	}
	start := m.dice.IntN(len(m.gone))
	for n := range m.gone {
		i := m.gone[(start+n)%len(m.gone)]
		k := &m.all[i]
		switch {
		case k.State == Away:
			m.looked = m.own
			m.no++
			r := m.record(i)
			m.send(k.Peer, &Message{Kind: Look, No: m.no, Records: []Record{r}})
			return
		case m.own-k.at > forgetAfter && i != m.self: // it has left
			m.forget(i)
			return
		}
	}
}

// forget lets a member's place go: the last one takes it.
func (m *Member) forget(i int) {
	m.do(Changed{Peer: m.all[i].Peer, From: m.all[i].shown, To: Unknown, Incarnation: m.all[i].Incarnation, Reason: "gone for long"})
	last := len(m.all) - 1
	delete(m.index, m.all[i].Name)
	m.drop(i)
	if i != last {
		m.all[i] = m.all[last]
		m.index[m.all[i].Name] = i
		for j := range m.all {
			for n := range m.all[j].votes {
				if m.all[j].votes[n].by == last {
					m.all[j].votes[n].by = i
				}
			}
		}
		delete(m.tickets, i)
		if t, ok := m.tickets[last]; ok {
			m.tickets[i] = t
		}
		if m.self == last {
			m.self = i
		}
	}
	delete(m.tickets, last)
	m.all = m.all[:last]
	m.zones, m.ringOld = nil, true
	move := func(list []int) []int {
		list = slices.DeleteFunc(list, func(j int) bool { return j == i })
		for n := range list {
			if list[n] == last {
				list[n] = i
			}
		}
		return list
	}
	m.hot, m.riding, m.subjects = move(m.hot), move(m.riding), move(m.subjects)
	m.open, m.gone = move(m.open), move(m.gone)
	m.favours = m.favours[:0]
}

// depart says for a while that this door goes, then that it has gone.
func (m *Member) depart() {
	since := m.own - m.leaving
	if since >= leaveFor && m.all[m.self].State == Leaving {
		m.advance(m.self, Left, "told to leave")
	}
	if since >= 2*leaveFor {
		m.over = true
		m.do(Departed{})
	}
}

// rank finds whom this door observes. Members stand on a ring by their names' hashes; a member's observers are those before
// it, of each zone as many as its share of the fleet makes out of eight. So who looks at whom follows from who is here
// alone, one that comes or goes changes few, and no zone makes up most of anybody's observers by chance: a zone whose line
// is down one way is then judged alike at every member.
func (m *Member) rank() {
	if !m.ringOld {
		return
	}
	m.ringOld = false
	m.zones = m.zones[:0]
	for i := range m.all {
		if k := &m.all[i]; k.State.standing() {
			z := slices.IndexFunc(m.zones, func(z ring) bool { return z.name == k.Zone })
			if z < 0 {
				z = len(m.zones)
				m.zones = append(m.zones, ring{name: k.Zone})
			}
			m.zones[z].members = append(m.zones[z].members, i)
		}
	}
	slices.SortFunc(m.zones, func(a, b ring) int { return cmp.Compare(a.name, b.name) })
	for z, sum := 0, 0; z < len(m.zones); z++ {
		one := &m.zones[z]
		slices.SortFunc(one.members, func(i, j int) int { return cmp.Compare(m.all[i].point, m.all[j].point) })
		one.from = observers * float64(sum) / float64(m.standing)
		sum += len(one.members)
		one.to = observers * float64(sum) / float64(m.standing)
	}
	was := append([]int(nil), m.subjects...)
	m.subjects = m.subjects[:0]
	if k := &m.all[m.self]; k.State.standing() {
		mine := &m.zones[slices.IndexFunc(m.zones, func(z ring) bool { return z.name == k.Zone })]
		for i := range m.all {
			if i != m.self && m.all[i].State.standing() && m.before(mine, i, func(j int) bool { return j == m.self }) {
				m.subjects = append(m.subjects, i)
			}
		}
	}
	for _, i := range was {
		if i < len(m.all) && !slices.Contains(m.subjects, i) {
			m.all[i].subject = false
			m.all[i].votedAt = math.Inf(-1)
		}
	}
	for _, i := range m.subjects {
		if k := &m.all[i]; !k.subject {
			k.subject, k.since, k.waiting = true, m.own, false
			k.looked = m.own - lookEvery*m.dice.Float64() // looks of all doors must not come together
		}
	}
}

// ring is the members of one zone that stand, in the order of their places, and the zone's part of the observers' number.
type ring struct {
	name     string
	members  []int
	from, to float64
}

// before calls out with a member's observers of one zone until one call says true, and tells whether one did.
func (m *Member) before(z *ring, i int, call func(j int) bool) bool {
	n := len(z.members)
	at, _ := slices.BinarySearchFunc(z.members, m.all[i].point, func(j int, p uint64) int { return cmp.Compare(m.all[j].point, p) })
	others := n
	if z.name == m.all[i].Zone {
		others--
	}
	left := min(others, m.quota(z, i))
	for s := 1; left > 0 && s <= n; s++ {
		if j := z.members[(at-s+2*n)%n]; j != i {
			left--
			if call(j) {
				return true
			}
		}
	}
	return false
}

// quota is how many of a member's observers are of a zone: what the zone's share makes out of all observers, rounded so
// that they add up, up or down by the member's name.
func (m *Member) quota(z *ring, i int) int {
	if m.standing <= observers+1 {
		return observers // all look at all
	}
	at := float64(m.all[i].point*0x9e3779b97f4a7c15>>11) / (1 << 53)
	return int(math.Floor(z.to+at) - math.Floor(z.from+at))
}

// observersOf counts those that look at a member.
func (m *Member) observersOf(i int) (n int) {
	for z := range m.zones {
		m.before(&m.zones[z], i, func(int) bool { n++; return false })
	}
	return n
}

// ---- Telling ----

func (m *Member) record(i int) Record {
	k := &m.all[i]
	r := k.Record
	r.Age = math.Round(m.own - k.at)
	for _, v := range k.votes {
		r.Votes = append(r.Votes, Vote{m.all[v.by].Name, v.seq, v.says, math.Round(m.own - v.at)})
	}
	return r
}

// All returns the whole state, for another door.
func (m *Member) All() []Record {
	all := make([]Record, 0, len(m.all))
	for i := range m.all {
		all = append(all, m.record(i))
	}
	return all
}

// send fills in who sends, and lets news ride along.
func (m *Member) send(to Peer, out *Message) {
	me := &m.all[m.self]
	out.From, out.Incarnation, out.State, out.Sum = me.Peer, me.Incarnation, me.State, m.digest()
	if out.Kind == Look || out.Kind == Ack {
		m.ride(out)
	}
	m.do(Send{to, out})
}

func (m *Member) ride(out *Message) {
	if len(m.riding) == 0 {
		return
	}
	m.riding = slices.DeleteFunc(m.riding, func(i int) bool { return m.own-m.all[i].changed > rideFor })
	start := 0
	if len(m.riding) > rideMost {
		start = m.dice.IntN(len(m.riding))
	}
	for n := range min(rideMost, len(m.riding)) {
		if i := m.riding[(start+n)%len(m.riding)]; i != m.self {
			out.Records = append(out.Records, m.record(i))
		}
	}
}

// tellRound tells what is new to a few members drawn at random.
func (m *Member) tellRound() {
	if len(m.hot) == 0 {
		return
	}
	var to []int
	for try := 0; try < 6*tellWho && len(to) < tellWho; try++ {
		if j := m.dice.IntN(len(m.all)); j != m.self && m.all[j].State.standing() && !slices.Contains(to, j) {
			to = append(to, j)
		}
	}
	slices.SortStableFunc(m.hot, func(a, b int) int { return m.all[b].left - m.all[a].left })
	size, packets := 0, 1
	var records []Record
	flush := func() {
		for _, j := range to {
			m.send(m.all[j].Peer, &Message{Kind: Gossip, Records: records})
		}
		records, size = nil, 0
	}
	for _, i := range m.hot {
		r := m.record(i)
		its := recordSize + voteSize*len(r.Votes)
		if size+its > packetSize && len(records) > 0 {
			if packets == tellPackets {
				break
			}
			packets++
			flush()
		}
		records, size = append(records, r), size+its
		m.all[i].left--
	}
	flush()
	m.hot = slices.DeleteFunc(m.hot, func(i int) bool { return m.all[i].left <= 0 })
}

// ---- What is believed ----

// Row is what this door holds of one member.
type Row struct {
	Peer
	State       State
	Incarnation uint32
	Since       float64 // ms in that state
	Suspicions  int     // observers that doubt it
	Observers   int     // observers that a member has
	Observed    bool    // this door looks at it,
	Reached     bool    // and it answers
	RTT         float64 // round trip, ms; 0 where not known
}

// Rows returns what is held of all members, this door among them, by name.
func (m *Member) Rows() []Row {
	rows := make([]Row, 0, len(m.all))
	for i := range m.all {
		k := &m.all[i]
		rows = append(rows, Row{Peer: k.Peer, State: m.shows(i), Incarnation: k.Incarnation, Since: m.own - k.at, Suspicions: m.doubts(i), Observers: m.observersOf(i), Observed: k.subject,
			Reached: i == m.self || k.subject && m.own-k.answered < 2*lookEvery+freshReach, RTT: k.trip})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// Self returns what this door holds of itself.
func (m *Member) Self() (Peer, State, uint32) {
	k := &m.all[m.self]
	return k.Peer, m.shows(m.self), k.Incarnation
}

// Alone tells for how long nobody was heard, ms of own time.
func (m *Member) Alone() float64 { return m.own - m.heard }

// Stopped tells for how long this door was stopped in all, ms.
func (m *Member) Stopped() float64 { return m.stopped }
