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

// crowd is some doors over one network.
type crowd struct {
	t    *testing.T
	net  *Network
	all  []*Driver
	logs []*bytes.Buffer
}

func at(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1) }

func name(i int) string { return fmt.Sprintf("door-%03d", i) }

// door starts one.
func (c *crowd) door(id Identity, address string, nonce uint64) *Driver {
	m, err := c.net.Listen(address)
	require.NoError(c.t, err)
	out := new(bytes.Buffer)
	l := logrus.New()
	l.SetOutput(&locked{out: out})
	d, err := Start(id, m, nonce, l, func(members.Changed) {})
	require.NoError(c.t, err)
	c.all, c.logs = append(c.all, d), append(c.logs, out)
	return d
}

type locked struct {
	mu  sync.Mutex
	out *bytes.Buffer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

func identity(i int) Identity {
	return Identity{Fleet: "test", Name: name(i), Zone: fmt.Sprint("z", i%3), Number: i, JoinInterval: time.Second, LeaveTimeout: 3 * time.Second, Peers: []string{at(0), at(1)}}
}

func crowded(t *testing.T, n int, way func(from, to string) Impairment) *crowd {
	c := &crowd{t: t, net: NewNetwork()}
	c.net.Impair = way
	for i := range n {
		c.door(identity(i), at(i), uint64(i+1))
	}
	return c
}

func (c *crowd) end() {
	for _, d := range c.all {
		d.Close()
	}
	time.Sleep(time.Minute) // what the library leaves behind ends with its time-outs
}

// counts how many members a door holds to be in each state.
func counts(d *Driver) map[members.State]int {
	n := map[members.State]int{}
	for _, r := range d.View().Rows {
		n[r.State]++
	}
	return n
}

func TestDoorsFindEachOtherAndLoseOneThatDies(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 12, func(string, string) Impairment { return Impairment{Delay: time.Millisecond} })
		time.Sleep(8 * time.Second)
		for _, d := range c.all {
			assert.Equal(t, map[members.State]int{members.Here: 12}, counts(d), d.id.Name)
		}
		c.all[5].Close()
		time.Sleep(3 * time.Second)
		for i, d := range c.all {
			if i != 5 {
				assert.Equal(t, map[members.State]int{members.Here: 11, members.Away: 1}, counts(d), d.id.Name)
			}
		}
		c.end()
	})
}

func TestLeavingIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 5, nil)
		time.Sleep(8 * time.Second)
		began := time.Now()
		c.all[3].Leave(context.Background())
		assert.Less(t, time.Since(began), 3*time.Second)
		c.all[3].Close()
		time.Sleep(time.Second)
		assert.Equal(t, map[members.State]int{members.Here: 4, members.Left: 1}, counts(c.all[0]))
		c.end()
	})
}

func TestAnotherLabelVersionOrFleetIsRefusedWithItsType(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 2, nil)
		id := identity(2)
		id.Fleet = "other"
		c.door(id, at(2), 3)
		time.Sleep(8 * time.Second)
		assert.Equal(t, map[members.State]int{members.Here: 2}, counts(c.all[0]))
		assert.Equal(t, map[members.State]int{members.Here: 1}, counts(c.all[2]))
		assert.Contains(t, c.logs[2].String(), "not joined so far")
		assert.Contains(t, c.logs[2].String(), "fleet.peers")

		raw, err := json.Marshal(meta{Version + 1, "test"})
		require.NoError(t, err)
		err = c.all[0].NotifyMerge([]*memberlist.Node{{Name: "late", Meta: raw}})
		var version *VersionError
		require.ErrorAs(t, err, &version)
		assert.Equal(t, Version+1, version.Speaks)
		err = c.all[0].NotifyAlive(&memberlist.Node{Name: "odd", Meta: []byte("?")})
		var stranger *StrangerError
		require.ErrorAs(t, err, &stranger)
		c.end()
	})
}

func TestAPeerListThatNamesItselfOrAStrangerIsNoTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 3, nil)
		id := identity(3)
		id.Peers = []string{at(3), "10.9.9.9:1", name(3) + "/" + at(9), at(0)}
		c.door(id, at(3), 9)
		time.Sleep(8 * time.Second)
		assert.Equal(t, map[members.State]int{members.Here: 4}, counts(c.all[3]))
		assert.Contains(t, c.logs[3].String(), "10.9.9.9:1")
		c.end()
	})
}

func TestTwoDoorsOfOneName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 5, nil)
		time.Sleep(8 * time.Second)
		late := c.door(identity(3), at(30), 99)
		time.Sleep(8 * time.Second)
		require.NotNil(t, late.View().NameConflict)
		assert.Equal(t, at(3), late.View().NameConflict.Address)
		assert.Contains(t, c.logs[5].String(), "no member of the fleet")
		assert.Nil(t, c.all[3].View().NameConflict)
		for i := range 5 {
			assert.Equal(t, map[members.State]int{members.Here: 5}, counts(c.all[i]), i)
		}
		c.end()
	})
}

func TestOneThatHearsAndIsNotHeardIsAwayForAllThatHear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		cut := false
		c := crowded(t, 12, func(from, _ string) Impairment {
			mu.Lock()
			defer mu.Unlock()
			return Impairment{Delay: time.Millisecond, Lost: cut && from == at(4)}
		})
		time.Sleep(8 * time.Second)
		mu.Lock()
		cut = true
		mu.Unlock()
		time.Sleep(5 * time.Second)
		for i, d := range c.all {
			for _, r := range d.View().Rows {
				switch {
				case r.Name != name(4):
					assert.Contains(t, []members.State{members.Here, members.Suspect}, r.State)
				case i == 4:
					assert.Equal(t, members.Joining, r.State, "it hears that it is away")
				default:
					assert.Equal(t, members.Away, r.State)
				}
			}
		}
		mu.Lock()
		cut = false
		mu.Unlock()
		time.Sleep(5 * time.Second)
		for _, d := range c.all {
			assert.Equal(t, map[members.State]int{members.Here: 12}, counts(d))
		}
		c.end()
	})
}

func TestNoiseOnTheFleetsAddressIsSaidAndNothingFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 2, nil)
		time.Sleep(4 * time.Second)
		c.all[0].NotifyMsg([]byte("{"))
		c.all[0].NotifyMsg([]byte(`{"k":99,"f":{"n":"door-001"},"r":[{"s":77,"l":0},{"n":"x","l":4,"s":200}]}`))
		c.all[0].MergeRemoteState([]byte("[1]"), false)
		time.Sleep(time.Second)
		assert.Equal(t, 2, counts(c.all[0])[members.Here])
		assert.Contains(t, c.logs[0].String(), "turned away")
		c.end()
	})
}

func TestANameThatComesFreeIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := crowded(t, 5, nil)
		time.Sleep(8 * time.Second)
		late := c.door(identity(3), at(30), 99)
		time.Sleep(4 * time.Second)
		require.NotNil(t, late.View().NameConflict)
		c.all[3].Close()
		time.Sleep(30 * time.Second)
		assert.Nil(t, late.View().NameConflict)
		assert.Equal(t, map[members.State]int{members.Here: 5}, counts(c.all[0]))
		assert.Equal(t, map[members.State]int{members.Here: 5}, counts(late))
		c.end()
	})
}
