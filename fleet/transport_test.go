package fleet

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/members/transporttest"
)

func bubble(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

func onMemory(way func(from, to string) Impairment) func(t *testing.T) memberlist.NodeAwareTransport {
	n := NewNetwork()
	n.Impair = way
	var next atomic.Int64
	return func(t *testing.T) memberlist.NodeAwareTransport {
		m, err := n.Listen(fmt.Sprintf("10.0.0.%d:7946", next.Add(1)))
		require.NoError(t, err)
		return m
	}
}

func onLoopback(t *testing.T) memberlist.NodeAwareTransport {
	tr, err := Bind("127.0.0.1:0", log.New(io.Discard, "", 0))
	require.NoError(t, err)
	return tr
}

func TestMemoryKeepsTheContract(t *testing.T) {
	transporttest.Run(t, transporttest.Kit{Listen: onMemory(nil), Nobody: "10.9.9.9:1", Ordered: true, Lossless: true, Run: bubble})
}

func TestMemoryThatDelaysKeepsTheContract(t *testing.T) {
	transporttest.Run(t, transporttest.Kit{Listen: onMemory(func(string, string) Impairment { return Impairment{Delay: 3 * time.Millisecond} }),
		Nobody: "10.9.9.9:1", Lossless: true, Run: bubble})
}

func TestLoopbackKeepsTheContract(t *testing.T) {
	transporttest.Run(t, transporttest.Kit{Listen: onLoopback, Nobody: "127.0.0.1:1", Ordered: true, Lossless: true})
}

func TestRoutedKeepsTheContract(t *testing.T) {
	transporttest.Run(t, transporttest.Kit{Listen: func(t *testing.T) memberlist.NodeAwareTransport {
		return Routed(onLoopback(t), map[string]string{"z": "127.0.0.1:1"})
	}, Nobody: "127.0.0.1:1", Ordered: true, Lossless: true})
}

func TestSpoiledKeepsTheContract(t *testing.T) {
	memory := onMemory(nil)
	var mu sync.Mutex
	dice := rand.New(rand.NewPCG(1, 2))
	for name, way := range map[string]func(string) Impairment{
		"loses":   func(string) Impairment { mu.Lock(); defer mu.Unlock(); return Impairment{Lost: dice.Float64() < 0.5} },
		"repeats": func(string) Impairment { return Impairment{Duplicated: true} },
		"delays":  func(string) Impairment { return Impairment{Delay: time.Millisecond} },
	} {
		t.Run(name, func(t *testing.T) {
			k := transporttest.Kit{Listen: func(t *testing.T) memberlist.NodeAwareTransport { return Spoiled(memory(t), way) },
				Nobody: "10.9.9.9:1", Lossless: name != "loses", Loses: name == "loses", Repeats: name == "repeats", Run: bubble}
			if name == "loses" { // connections are lost with the datagrams; those of the half that aren't are the plain transport's
				k.Listen = func(t *testing.T) memberlist.NodeAwareTransport { return lossy{memory(t), way} }
			}
			transporttest.Run(t, k)
		})
	}
}

// lossy loses datagrams alone.
type lossy struct {
	memberlist.NodeAwareTransport
	way func(string) Impairment
}

func (l lossy) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return Spoiled(l.NodeAwareTransport, l.way).WriteToAddress(b, a)
}

func TestRoutesWinByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listen := onMemory(nil)
		a, b := listen(t), listen(t)
		defer func() { _ = a.Shutdown(); _ = b.Shutdown() }()
		ip, port, err := b.FinalAdvertiseAddr("", 0)
		require.NoError(t, err)
		r := Routed(a, map[string]string{"b": net.JoinHostPort(ip.String(), fmt.Sprint(port))})
		_, err = r.WriteToAddress([]byte("x"), memberlist.Address{Addr: "10.9.9.9:1", Name: "b"})
		require.NoError(t, err)
		assert.Equal(t, "x", string((<-b.PacketCh()).Buf))
	})
}

func TestAWayLostOneWayTakesConnectionsAlongInBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var aAt string
		listen := onMemory(func(from, _ string) Impairment { return Impairment{Lost: from == aAt} })
		a, b := listen(t), listen(t)
		defer func() { _ = a.Shutdown(); _ = b.Shutdown() }()
		address := func(m memberlist.NodeAwareTransport) string {
			ip, port, err := m.FinalAdvertiseAddr("", 0)
			require.NoError(t, err)
			return net.JoinHostPort(ip.String(), fmt.Sprint(port))
		}
		aAt = address(a)
		_, err := b.WriteTo([]byte("in"), aAt)
		require.NoError(t, err)
		assert.Equal(t, "in", string((<-a.PacketCh()).Buf), "datagrams come in")
		_, err = a.DialTimeout(address(b), time.Second)
		assert.Error(t, err)
		_, err = b.DialTimeout(aAt, time.Second)
		assert.Error(t, err, "no acknowledgement comes back")
	})
}

func TestAnAddressTwiceIsRefused(t *testing.T) {
	n := NewNetwork()
	m, err := n.Listen("10.0.0.1:1")
	require.NoError(t, err)
	_, err = n.Listen("10.0.0.1:1")
	var bind *BindError
	require.ErrorAs(t, err, &bind)
	require.NoError(t, m.Shutdown())
	_, err = n.Listen("10.0.0.1:1")
	assert.NoError(t, err)
	tr := onLoopback(t)
	defer func() { _ = tr.Shutdown() }()
	_, port, err := tr.FinalAdvertiseAddr("", 0)
	require.NoError(t, err)
	_, err = Bind(fmt.Sprintf("127.0.0.1:%d", port), log.New(io.Discard, "", 0))
	require.ErrorAs(t, err, &bind)
	assert.Contains(t, bind.Remedy(), "fleet.listen")
}
