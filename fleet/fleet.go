// Package fleet carries the decisions of members over a real network: gossip, joins and whole states by hashicorp/memberlist
// and its Transport, messages between doors as JSON in the library's user messages. It decides nothing.
//
// The library's own failure detector only keeps its list of whom it talks to; docs/members.md tells why verdicts are not
// its own. The network must be private: whoever can send to a door's fleet address can speak for any member.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/members"
)

// Version of the messages between doors. One of another version is no member.
const Version = 1

const (
	listProbe   = 3 * time.Second        // between the library's own looks: they only keep its list
	listTimeout = time.Second            // of one
	listGossip  = 500 * time.Millisecond // between its rounds of gossip
	listSync    = time.Minute            // between its exchanges of whole states; the module asks for its own
	joinRest    = 10 * time.Second       // where some are known, between tries to find those that are not
	tcpTimeout  = 2 * time.Second        // of a connection, and of what is written to it
	waiting     = 1024                   // events that wait for the owner; more are lost, as datagrams may be
	mostNames   = 64                     // doors turned away that are remembered, to be logged once
)

// Identity is who a door is in its fleet.
type Identity struct {
	Fleet        string // only doors that name the same one are members
	Name         string
	Zone         string
	Number       int // of the door; -1 for none
	Release      string
	Peers        []string      // addresses to be asked for others; its own is passed over
	JoinInterval time.Duration // between tries to find any other door
	LeaveTimeout time.Duration // at most, in which Leave says that the door goes
}

// meta rides on the library's own list.
type meta struct {
	Version int    `json:"v"`
	Fleet   string `json:"f"`
}

// Driver is a door's place in its fleet.
type Driver struct {
	id      Identity
	address string
	log     logrus.FieldLogger
	list    *memberlist.Memberlist
	on      func(members.Changed)
	clock   func() float64

	events chan any
	done   chan struct{}
	closed context.CancelFunc
	ctx    context.Context
	group  sync.WaitGroup
	meets  chan members.Peer
	gone   chan struct{} // closed once Leave has been said
	taken  atomic.Pointer[members.NameTakenError]

	mu     sync.Mutex
	turned map[string]bool // doors turned away, logged once

	member *members.Member // the owner's
}

// query is something that the owner does between events.
type query func(m *members.Member)

// Start joins a fleet over a transport, which is the driver's from here on. on hears each change of what is held of a
// member; it must not block. nonce tells this process from another of its name.
func Start(id Identity, t memberlist.NodeAwareTransport, nonce uint64, l logrus.FieldLogger, on func(members.Changed)) (*Driver, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{id: id, log: l, on: on, events: make(chan any, waiting), done: make(chan struct{}), ctx: ctx, closed: cancel,
		meets: make(chan members.Peer, 1), gone: make(chan struct{}), turned: map[string]bool{},
		clock: func() float64 { return float64(time.Since(began)) / float64(time.Millisecond) }} // monotonic, whatever the wall clock does
	ip, port, err := t.FinalAdvertiseAddr("", 0)
	if err != nil {
		cancel()
		return nil, &BindError{id.Name, err}
	}
	d.address = net.JoinHostPort(ip.String(), fmt.Sprint(port))
	d.member = members.New(members.Peer{Name: id.Name, Address: d.address, Zone: id.Zone, Number: id.Number, Release: id.Release, Nonce: nonce}, nonce)
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.Transport, cfg.Label = id.Name, t, id.Fleet
	cfg.AdvertiseAddr, cfg.AdvertisePort = ip.String(), port
	cfg.ProbeInterval, cfg.ProbeTimeout, cfg.GossipInterval, cfg.PushPullInterval = listProbe, listTimeout, listGossip, listSync
	cfg.TCPTimeout, cfg.DisableTcpPings, cfg.EnableCompression = tcpTimeout, true, false
	cfg.DeadNodeReclaimTime = listTimeout // a door may come back elsewhere under its name
	cfg.Delegate, cfg.Alive, cfg.Merge = d, d, d
	cfg.Logger = log.New(lines{l}, "", 0)
	if d.list, err = memberlist.Create(cfg); err != nil {
		cancel()
		return nil, &BindError{d.address, err}
	}
	d.group.Go(d.own)
	d.group.Go(d.tick)
	d.group.Go(d.join)
	d.group.Go(d.meet)
	return d, nil
}

// Address is where others reach this door.
func (d *Driver) Address() string { return d.address }

// lines passes the library's log on as debugging: what an operator needs of it is told by the driver.
type lines struct{ logrus.FieldLogger }

func (l lines) Write(p []byte) (int, error) {
	l.Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// ---- The owner ----

// post hands an event to the owner. What doesn't fit is lost, as a datagram may be.
func (d *Driver) post(e any) {
	select {
	case d.events <- e:
	default:
	}
}

// ask has the owner do something, and waits for it; false where the driver has ended.
func (d *Driver) ask(do query) bool {
	over := make(chan struct{})
	select {
	case d.events <- query(func(m *members.Member) { do(m); close(over) }):
	case <-d.done:
		return false
	}
	select {
	case <-over:
		return true
	case <-d.done:
		return false
	}
}

// own is the goroutine that owns the decisions.
func (d *Driver) own() {
	defer close(d.done)
	for {
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			if q, ok := e.(query); ok {
				q(d.member)
				continue
			}
			for _, a := range d.member.Step(d.clock(), e) {
				d.act(a)
			}
		}
	}
}

func (d *Driver) tick() {
	t := time.NewTicker(members.TickEvery * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.post(members.Tick{})
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Driver) act(a members.Action) {
	switch a := a.(type) {
	case members.Send:
		raw, err := json.Marshal(a.Message)
		if err == nil {
			err = d.list.SendToAddress(memberlist.Address{Addr: a.To.Address, Name: a.To.Name}, raw)
		}
		if err != nil { // a datagram that can't be sent is one that is lost
			d.log.WithError(err).WithField(fields.Member, a.To.Name).Debug("not sent")
		}
	case members.PushPull:
		select {
		case d.meets <- a.With:
		default: // one exchange at a time
		}
	case members.Changed:
		d.log.WithFields(logrus.Fields{fields.Member: a.Name, fields.From: a.From.String(), fields.To: a.To.String(), fields.Incarnation: a.Incarnation,
			fields.Suspicions: a.Doubts, fields.Why: a.Reason, fields.Clock: Monotonic()}).Info(MemberChanged)
		d.on(a)
	case members.NameConflict:
		d.taken.Store(a.Err)
		if a.Err == nil {
			d.log.Info("a member of the fleet again")
			return
		}
		d.log.WithError(a.Err).WithField(fields.Remedy, a.Err.Remedy()).Error("no member of the fleet")
	case members.Departed:
		close(d.gone)
	}
}

// MemberChanged is the message of the log line that tells a change.
const MemberChanged = "member"

// ---- Joining ----

// join asks the peers for others until some are known, and now and then for as long as one of them is not.
func (d *Driver) join() {
	told := map[string]bool{}
	for rest := time.Duration(0); ; {
		select {
		case <-time.After(rest):
		case <-d.ctx.Done():
			return
		}
		known := map[string]bool{}
		others := 0
		if !d.ask(func(m *members.Member) {
			for _, r := range m.Rows() {
				if r.Name != d.id.Name && (r.State == members.Here || r.State == members.Suspect) {
					others++
					known[r.Address], known[r.Name] = true, true
				}
			}
		}) {
			return
		}
		for _, p := range d.id.Peers {
			name, address, named := strings.Cut(p, "/")
			if !named {
				name, address = "", p
			}
			if address == d.address || name == d.id.Name || known[address] || named && known[name] {
				continue
			}
			if _, err := d.list.Join([]string{p}); err != nil {
				if !told[p] && d.ctx.Err() == nil {
					e := &PeerError{p, err}
					d.log.WithError(e).WithField(fields.Remedy, e.Remedy()).Warn("not joined so far")
				}
				told[p] = true
			} else if told[p] {
				told[p] = false
				d.log.WithField(fields.Member, p).Info("joined")
			}
		}
		if rest = d.id.JoinInterval; others > 0 {
			rest = joinRest
		}
	}
}

// meet exchanges whole states with one member at a time.
func (d *Driver) meet() {
	for {
		select {
		case p := <-d.meets:
			if _, err := d.list.Join([]string{p.Name + "/" + p.Address}); err != nil {
				d.log.WithError(err).WithField(fields.Member, p.Name).Debug("no exchange")
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// ---- What the library asks ----

// NodeMeta is what rides on the library's list.
func (d *Driver) NodeMeta(int) []byte {
	raw, _ := json.Marshal(meta{Version, d.id.Fleet})
	return raw
}

// NotifyMsg takes a message of another door.
func (d *Driver) NotifyMsg(raw []byte) {
	var m members.Message
	if err := json.Unmarshal(raw, &m); err != nil {
		d.turnAway(&MessageError{"message", err})
		return
	}
	d.post(members.Received{Message: &m})
}

// GetBroadcasts has nothing: the module chooses whom it tells.
func (d *Driver) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is the whole state, for an exchange.
func (d *Driver) LocalState(bool) []byte {
	var all []members.Record
	d.ask(func(m *members.Member) { all = m.All() })
	raw, _ := json.Marshal(all)
	return raw
}

// MergeRemoteState takes another's whole state.
func (d *Driver) MergeRemoteState(raw []byte, _ bool) {
	var all []members.Record
	if err := json.Unmarshal(raw, &all); err != nil {
		d.turnAway(&MessageError{"state", err})
		return
	}
	d.post(members.RemoteState{Records: all})
}

// NotifyAlive turns away who is of another fleet or version.
func (d *Driver) NotifyAlive(n *memberlist.Node) error { return d.fits(n) }

// NotifyMerge turns away a whole list with one of another fleet or version in it.
func (d *Driver) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if err := d.fits(n); err != nil {
			return err
		}
	}
	return nil
}

func (d *Driver) fits(n *memberlist.Node) error {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil || m.Fleet != d.id.Fleet {
		return d.turnAway(&StrangerError{n.Name, n.Address(), m.Fleet, d.id.Fleet})
	}
	if m.Version != Version {
		return d.turnAway(&VersionError{n.Name, n.Address(), m.Version, Version})
	}
	return nil
}

// turnAway logs each door that is turned away once.
func (d *Driver) turnAway(err interface {
	error
	Remedy() string
}) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if text := err.Error(); !d.turned[text] && len(d.turned) < mostNames {
		d.turned[text] = true
		d.log.WithError(err).WithField(fields.Remedy, err.Remedy()).Warn("turned away")
	}
	return err
}

// ---- What a door and its operators ask ----

// View is what a door holds of its fleet.
type View struct {
	Self         string
	Fleet        string
	Release      string
	SilentMs     float64 // ms since any other was heard
	PausedMs     float64 // ms that this process was stopped in all
	NameConflict *members.NameTakenError
	Rows         []members.Row
}

// View tells what is held now.
func (d *Driver) View() (v View) {
	d.ask(func(m *members.Member) {
		v = View{Self: d.id.Name, Fleet: d.id.Fleet, Release: d.id.Release, SilentMs: m.Alone(), PausedMs: m.Stopped(), NameConflict: d.taken.Load(), Rows: m.Rows()}
	})
	return v
}

// Leave tells the others that the door goes by plan, and returns once that is said, or after a while, or with ctx.
func (d *Driver) Leave(ctx context.Context) {
	d.post(members.Leave{})
	select {
	case <-d.gone:
	case <-d.done:
	case <-ctx.Done():
	case <-time.After(d.id.LeaveTimeout):
	}
}

// Close ends the driver at once, without a word to the others.
func (d *Driver) Close() {
	d.closed()
	_ = d.list.Shutdown()
	d.group.Wait()
}
