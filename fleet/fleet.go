// Package fleet runs the protocol of package members over a network. It joins fleets, sends messages and exchanges full
// states with hashicorp/memberlist and its Transport; messages are JSON in the library's user messages. It makes no
// membership decisions.
//
// The library's own failure detector only maintains its list of nodes; docs/members.md explains why the membership isn't
// taken from it. The network must be private: whoever can send to a door's fleet address can impersonate any member.
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

// Version is the version of the messages between doors. A door of another version is rejected.
const Version = 1

const (
	// The library's own protocol only maintains its list of nodes.
	memberlistProbeInterval    = 3 * time.Second        // interval of its pings
	memberlistProbeTimeout     = time.Second            // of such a ping
	memberlistGossipInterval   = 500 * time.Millisecond // interval of its gossip rounds
	memberlistPushPullInterval = time.Minute            // interval of its push/pull exchanges; package members requests more as needed

	rejoinInterval    = 10 * time.Second // between attempts to join peers that are unknown, once any other door is known
	tcpTimeout        = 2 * time.Second  // of connecting, and of each write
	eventQueueSize    = 1024             // events queued for Driver.run; more are dropped, as datagrams may be
	maxRejectedLogged = 64               // rejections remembered so that each is logged once
)

// Identity is a door's identity in its fleet, and how it joins and leaves.
type Identity struct {
	Fleet        string // only doors of the same fleet name become members
	Name         string
	Zone         string
	Number       int // of the door; -1 for none
	Release      string
	Peers        []string      // addresses of doors to join, as host:port or name/host:port; the door's own is skipped
	JoinInterval time.Duration // between attempts to join while no other door is known
	LeaveTimeout time.Duration // limit on the time that Driver.Leave takes
}

// meta is the metadata of a node in the library's list.
type meta struct {
	Version int    `json:"v"`
	Fleet   string `json:"f"`
}

// Driver runs the membership of one door.
type Driver struct {
	id       Identity
	address  string
	log      logrus.FieldLogger
	list     *memberlist.Memberlist
	onChange func(members.Changed)
	clock    func() float64

	events       chan any
	done         chan struct{}
	cancel       context.CancelFunc
	ctx          context.Context
	group        sync.WaitGroup
	pushPulls    chan members.Peer
	departed     chan struct{} // closed once the departure has been announced
	nameConflict atomic.Pointer[members.NameTakenError]

	mu       sync.Mutex
	rejected map[string]bool // rejections logged so far, by message

	member *members.Member // used only by run
}

// query is a function that run calls between events.
type query func(m *members.Member)

// Start joins a fleet over a transport, which it takes over. It calls onChange for each change of a member's visible
// state; onChange must not block. nonce distinguishes this process from others of the same name.
func Start(id Identity, t memberlist.NodeAwareTransport, nonce uint64, l logrus.FieldLogger, onChange func(members.Changed)) (*Driver, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{id: id, log: l, onChange: onChange, events: make(chan any, eventQueueSize), done: make(chan struct{}), ctx: ctx, cancel: cancel,
		pushPulls: make(chan members.Peer, 1), departed: make(chan struct{}), rejected: map[string]bool{},
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
	cfg.ProbeInterval, cfg.ProbeTimeout, cfg.GossipInterval, cfg.PushPullInterval = memberlistProbeInterval, memberlistProbeTimeout, memberlistGossipInterval, memberlistPushPullInterval
	cfg.TCPTimeout, cfg.DisableTcpPings, cfg.EnableCompression = tcpTimeout, true, false
	cfg.DeadNodeReclaimTime = memberlistProbeTimeout // a door may return under its name at another address
	cfg.Delegate, cfg.Alive, cfg.Merge = d, d, d
	cfg.Logger = log.New(debugWriter{l}, "", 0)
	if d.list, err = memberlist.Create(cfg); err != nil {
		cancel()
		return nil, &BindError{d.address, err}
	}
	d.group.Go(d.run)
	d.group.Go(d.tick)
	d.group.Go(d.join)
	d.group.Go(d.pushPull)
	return d, nil
}

// Address returns the address at which others reach this door, host:port.
func (d *Driver) Address() string { return d.address }

// debugWriter logs the library's messages at debug level; the driver itself logs what operators need to know.
type debugWriter struct{ logrus.FieldLogger }

func (l debugWriter) Write(p []byte) (int, error) {
	l.Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// ---- Event loop ----

// post queues an event for run. If the queue is full the event is dropped, as a datagram may be.
func (d *Driver) post(e any) {
	select {
	case d.events <- e:
	default:
	}
}

// withMember has run call a function with the member, and waits for it. It returns false if the driver has ended.
func (d *Driver) withMember(do query) bool {
	finished := make(chan struct{})
	select {
	case d.events <- query(func(m *members.Member) { do(m); close(finished) }):
	case <-d.done:
		return false
	}
	select {
	case <-finished:
		return true
	case <-d.done:
		return false
	}
}

// run is the goroutine that owns the member.
func (d *Driver) run() {
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

// tick posts ticks until the driver ends.
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

// act carries out an action.
func (d *Driver) act(a members.Action) {
	switch a := a.(type) {
	case members.Send:
		raw, err := json.Marshal(a.Message)
		if err == nil {
			err = d.list.SendToAddress(memberlist.Address{Addr: a.To.Address, Name: a.To.Name}, raw)
		}
		if err != nil { // the same as a lost datagram
			d.log.WithError(err).WithField(fields.Member, a.To.Name).Debug("not sent")
		}
	case members.PushPull:
		select {
		case d.pushPulls <- a.With:
		default: // one exchange at a time
		}
	case members.Changed:
		d.log.WithFields(logrus.Fields{fields.Member: a.Name, fields.From: a.From.String(), fields.To: a.To.String(), fields.Incarnation: a.Incarnation,
			fields.Suspicions: a.Suspicions, fields.Why: a.Reason, fields.Clock: Monotonic()}).Info(MemberChanged)
		d.onChange(a)
	case members.NameConflict:
		d.nameConflict.Store(a.Err)
		if a.Err == nil {
			d.log.Info("member of the fleet again")
			return
		}
		d.log.WithError(a.Err).WithField(fields.Remedy, a.Err.Remedy()).Error("no member of the fleet")
	case members.Departed:
		close(d.departed)
	}
}

// MemberChanged is the message of the log line for a change of a member's visible state.
const MemberChanged = "member"

// ---- Joining ----

// join tries to join the configured peers until another door is known, and less often for as long as a peer is unknown.
func (d *Driver) join() {
	warned := map[string]bool{}
	for rest := time.Duration(0); ; {
		select {
		case <-time.After(rest):
		case <-d.ctx.Done():
			return
		}
		known := map[string]bool{}
		others := 0
		if !d.withMember(func(m *members.Member) {
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
				if !warned[p] && d.ctx.Err() == nil {
					e := &PeerError{p, err}
					d.log.WithError(e).WithField(fields.Remedy, e.Remedy()).Warn("not joined so far")
				}
				warned[p] = true
			} else if warned[p] {
				warned[p] = false
				d.log.WithField(fields.Member, p).Info("joined")
			}
		}
		if rest = d.id.JoinInterval; others > 0 {
			rest = rejoinInterval
		}
	}
}

// pushPull runs the requested push/pull exchanges, one at a time.
func (d *Driver) pushPull() {
	for {
		select {
		case p := <-d.pushPulls:
			if _, err := d.list.Join([]string{p.Name + "/" + p.Address}); err != nil {
				d.log.WithError(err).WithField(fields.Member, p.Name).Debug("push/pull exchange failed")
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// ---- memberlist.Delegate, AliveDelegate and MergeDelegate ----

// NodeMeta returns the metadata of this node.
func (d *Driver) NodeMeta(int) []byte {
	raw, _ := json.Marshal(meta{Version, d.id.Fleet})
	return raw
}

// NotifyMsg receives a message of another door.
func (d *Driver) NotifyMsg(raw []byte) {
	var m members.Message
	if err := json.Unmarshal(raw, &m); err != nil {
		d.reject(&MessageError{"message", err})
		return
	}
	d.post(members.Received{Message: &m})
}

// GetBroadcasts returns nothing: package members chooses the receivers of its gossip.
func (d *Driver) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns the full state, for a push/pull exchange.
func (d *Driver) LocalState(bool) []byte {
	var all []members.Record
	d.withMember(func(m *members.Member) { all = m.All() })
	raw, _ := json.Marshal(all)
	return raw
}

// MergeRemoteState receives the full state of another door.
func (d *Driver) MergeRemoteState(raw []byte, _ bool) {
	var all []members.Record
	if err := json.Unmarshal(raw, &all); err != nil {
		d.reject(&MessageError{"state", err})
		return
	}
	d.post(members.RemoteState{Records: all})
}

// NotifyAlive rejects a node of another fleet or version.
func (d *Driver) NotifyAlive(n *memberlist.Node) error { return d.checkNode(n) }

// NotifyMerge rejects a list that has a node of another fleet or version.
func (d *Driver) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if err := d.checkNode(n); err != nil {
			return err
		}
	}
	return nil
}

// checkNode returns an error for a node of another fleet or version.
func (d *Driver) checkNode(n *memberlist.Node) error {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil || m.Fleet != d.id.Fleet {
		return d.reject(&FleetMismatchError{n.Name, n.Address(), m.Fleet, d.id.Fleet})
	}
	if m.Version != Version {
		return d.reject(&VersionError{n.Name, n.Address(), m.Version, Version})
	}
	return nil
}

// reject logs a rejection, once per message and at most maxRejectedLogged of them, and returns its error.
func (d *Driver) reject(err interface {
	error
	Remedy() string
}) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if text := err.Error(); !d.rejected[text] && len(d.rejected) < maxRejectedLogged {
		d.rejected[text] = true
		d.log.WithError(err).WithField(fields.Remedy, err.Remedy()).Warn("turned away")
	}
	return err
}

// ---- Views and leaving ----

// View is a door's view of its fleet.
type View struct {
	Self         string
	Fleet        string
	Release      string
	SilentMs     float64                 // active time since a message was received from any other member, ms
	PausedMs     float64                 // total time for which this process was suspended, ms
	NameConflict *members.NameTakenError // set while another door has this door's name
	Rows         []members.Row
}

// View returns the current view; it is empty if the driver has ended.
func (d *Driver) View() (v View) {
	d.withMember(func(m *members.Member) {
		v = View{Self: d.id.Name, Fleet: d.id.Fleet, Release: d.id.Release, SilentMs: m.SilentMs(), PausedMs: m.PausedMs(), NameConflict: d.nameConflict.Load(), Rows: m.Rows()}
	})
	return v
}

// Leave announces that the door leaves the fleet. It returns once that is done, after Identity's time limit, or when ctx
// ends.
func (d *Driver) Leave(ctx context.Context) {
	d.post(members.Leave{})
	select {
	case <-d.departed:
	case <-d.done:
	case <-ctx.Done():
	case <-time.After(d.id.LeaveTimeout):
	}
}

// Close ends the driver at once, without an announcement.
func (d *Driver) Close() {
	d.cancel()
	_ = d.list.Shutdown()
	d.group.Wait()
}
