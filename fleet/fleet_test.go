package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swifthall/swifthall/members"
)

// cluster is a number of doors on one network.
type cluster struct {
	t     *testing.T
	net   *Network
	doors []*Driver
	logs  []*bytes.Buffer
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1) }

func doorName(i int) string { return fmt.Sprintf("door-%03d", i) }

// start starts a door.
func (c *cluster) start(id Identity, address string, nonce uint64) *Driver {
	m, err := c.net.Listen(address)
	require.NoError(c.t, err)
	out := new(bytes.Buffer)
	l := logrus.New()
	l.SetOutput(&lockedWriter{out: out})
	d, err := Start(id, m, nonce, l, func(members.Changed) {})
	require.NoError(c.t, err)
	c.doors, c.logs = append(c.doors, d), append(c.logs, out)
	return d
}

type lockedWriter struct {
	mu  sync.Mutex
	out *bytes.Buffer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

func identity(i int) Identity {
	return Identity{Fleet: "test", Name: doorName(i), Zone: fmt.Sprint("z", i%3), Number: i, JoinInterval: time.Second, LeaveTimeout: 3 * time.Second, Peers: []string{address(0), address(1)}}
}

func newCluster(t *testing.T, n int, impair func(from, to string) Impairment) *cluster {
	c := &cluster{t: t, net: NewNetwork()}
	c.net.Impair = impair
	for i := range n {
		c.start(identity(i), address(i), uint64(i+1))
	}
	return c
}

func (c *cluster) end() {
	for _, d := range c.doors {
		d.Close()
	}
	time.Sleep(time.Minute) // the library's remaining goroutines end with their time-outs
}

// stateCounts returns the number of members by state, as a door sees them.
func stateCounts(d *Driver) map[members.State]int {
	n := map[members.State]int{}
	for _, r := range d.View().Rows {
		n[r.State]++
	}
	return n
}

func TestDoorsJoinAndDetectACrash(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, func(string, string) Impairment { return Impairment{Delay: time.Millisecond} })
		time.Sleep(8 * time.Second)
		for _, d := range c.doors {
			assert.Equal(t, map[members.State]int{members.Here: 12}, stateCounts(d), d.id.Name)
		}
		c.doors[5].Close()
		time.Sleep(3 * time.Second)
		for i, d := range c.doors {
			if i != 5 {
				assert.Equal(t, map[members.State]int{members.Here: 11, members.Away: 1}, stateCounts(d), d.id.Name)
			}
		}
		c.end()
	})
}

func TestLeavingIsNotReportedAsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		time.Sleep(8 * time.Second)
		began := time.Now()
		c.doors[3].Leave(context.Background())
		assert.Less(t, time.Since(began), 3*time.Second)
		c.doors[3].Close()
		time.Sleep(time.Second)
		assert.Equal(t, map[members.State]int{members.Here: 4, members.Left: 1}, stateCounts(c.doors[0]))
		c.end()
	})
}

func TestNodesOfAnotherFleetOrVersionAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		id := identity(2)
		id.Fleet = "other"
		c.start(id, address(2), 3)
		time.Sleep(8 * time.Second)
		assert.Equal(t, map[members.State]int{members.Here: 2}, stateCounts(c.doors[0]))
		assert.Equal(t, map[members.State]int{members.Here: 1}, stateCounts(c.doors[2]))
		assert.Contains(t, c.logs[2].String(), "not joined so far")
		assert.Contains(t, c.logs[2].String(), "fleet.peers")

		raw, err := json.Marshal(meta{Version + 1, "test"})
		require.NoError(t, err)
		err = c.doors[0].NotifyMerge([]*memberlist.Node{{Name: "late", Meta: raw}})
		var version *VersionError
		require.ErrorAs(t, err, &version)
		assert.Equal(t, Version+1, version.Have)
		err = c.doors[0].NotifyAlive(&memberlist.Node{Name: "odd", Meta: []byte("?")})
		var mismatch *FleetMismatchError
		require.ErrorAs(t, err, &mismatch)
		c.end()
	})
}

func TestAPeerListMayNameTheDoorItselfAndUnreachablePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		id := identity(3)
		id.Peers = []string{address(3), "10.9.9.9:1", doorName(3) + "/" + address(9), address(0)}
		c.start(id, address(3), 9)
		time.Sleep(8 * time.Second)
		assert.Equal(t, map[members.State]int{members.Here: 4}, stateCounts(c.doors[3]))
		assert.Contains(t, c.logs[3].String(), "10.9.9.9:1")
		c.end()
	})
}

func TestASecondDoorOfANameIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		time.Sleep(8 * time.Second)
		late := c.start(identity(3), address(30), 99)
		time.Sleep(8 * time.Second)
		require.NotNil(t, late.View().NameConflict)
		assert.Equal(t, address(3), late.View().NameConflict.Address)
		assert.Contains(t, c.logs[5].String(), "no member of the fleet")
		assert.Nil(t, c.doors[3].View().NameConflict)
		for i := range 5 {
			assert.Equal(t, map[members.State]int{members.Here: 5}, stateCounts(c.doors[i]), i)
		}
		c.end()
	})
}

func TestADoorThatReceivesAndCantSendIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		cut := false
		c := newCluster(t, 12, func(from, _ string) Impairment {
			mu.Lock()
			defer mu.Unlock()
			return Impairment{Delay: time.Millisecond, Lost: cut && from == address(4)}
		})
		time.Sleep(8 * time.Second)
		mu.Lock()
		cut = true
		mu.Unlock()
		time.Sleep(5 * time.Second)
		for i, d := range c.doors {
			for _, r := range d.View().Rows {
				switch {
				case r.Name != doorName(4):
					assert.Contains(t, []members.State{members.Here, members.Suspect}, r.State)
				case i == 4:
					assert.Equal(t, members.Joining, r.State, "it receives the records that say that it is away")
				default:
					assert.Equal(t, members.Away, r.State)
				}
			}
		}
		mu.Lock()
		cut = false
		mu.Unlock()
		time.Sleep(5 * time.Second)
		for _, d := range c.doors {
			assert.Equal(t, map[members.State]int{members.Here: 12}, stateCounts(d))
		}
		c.end()
	})
}

func TestMalformedMessagesAreLoggedAndDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, nil)
		time.Sleep(4 * time.Second)
		c.doors[0].NotifyMsg([]byte("{"))
		c.doors[0].NotifyMsg([]byte(`{"k":99,"f":{"n":"door-001"},"r":[{"s":77,"l":0},{"n":"x","l":4,"s":200}]}`))
		c.doors[0].MergeRemoteState([]byte("[1]"), false)
		time.Sleep(time.Second)
		assert.Equal(t, 2, stateCounts(c.doors[0])[members.Here])
		assert.Contains(t, c.logs[0].String(), "turned away")
		c.end()
	})
}

func TestANameThatBecomesFreeIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		time.Sleep(8 * time.Second)
		late := c.start(identity(3), address(30), 99)
		time.Sleep(4 * time.Second)
		require.NotNil(t, late.View().NameConflict)
		c.doors[3].Close()
		time.Sleep(30 * time.Second)
		assert.Nil(t, late.View().NameConflict)
		assert.Equal(t, map[members.State]int{members.Here: 5}, stateCounts(c.doors[0]))
		assert.Equal(t, map[members.State]int{members.Here: 5}, stateCounts(late))
		c.end()
	})
}
