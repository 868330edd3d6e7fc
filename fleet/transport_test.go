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

func inSynctest(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

func onMemory(impair func(from, to string) Impairment) func(t *testing.T) memberlist.NodeAwareTransport {
	n := NewNetwork()
	n.Impair = impair
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

func TestMemoryTransport(t *testing.T) {
	transporttest.Run(t, transporttest.Config{Listen: onMemory(nil), UnusedAddress: "10.9.9.9:1", Ordered: true, Lossless: true, Run: inSynctest})
}

func TestMemoryTransportWithDelays(t *testing.T) {
	transporttest.Run(t, transporttest.Config{Listen: onMemory(func(string, string) Impairment { return Impairment{Delay: 3 * time.Millisecond} }),
		UnusedAddress: "10.9.9.9:1", Lossless: true, Run: inSynctest})
}

func TestLoopbackTransport(t *testing.T) {
	transporttest.Run(t, transporttest.Config{Listen: onLoopback, UnusedAddress: "127.0.0.1:1", Ordered: true, Lossless: true})
}

func TestRoutedTransport(t *testing.T) {
	transporttest.Run(t, transporttest.Config{Listen: func(t *testing.T) memberlist.NodeAwareTransport {
		return Routed(onLoopback(t), map[string]string{"z": "127.0.0.1:1"})
	}, UnusedAddress: "127.0.0.1:1", Ordered: true, Lossless: true})
}

func TestImpairedTransport(t *testing.T) {
	memory := onMemory(nil)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	for name, impair := range map[string]func(string) Impairment{
		"loses":   func(string) Impairment { mu.Lock(); defer mu.Unlock(); return Impairment{Lost: rng.Float64() < 0.5} },
		"repeats": func(string) Impairment { return Impairment{Duplicated: true} },
		"delays":  func(string) Impairment { return Impairment{Delay: time.Millisecond} },
	} {
		t.Run(name, func(t *testing.T) {
			k := transporttest.Config{Listen: func(t *testing.T) memberlist.NodeAwareTransport { return Impaired(memory(t), impair) },
				UnusedAddress: "10.9.9.9:1", Lossless: name != "loses", Drops: name == "loses", Duplicates: name == "repeats", Run: inSynctest}
			if name == "loses" { // connections of an Impaired transport would fail at random, too
				k.Listen = func(t *testing.T) memberlist.NodeAwareTransport { return lossyDatagrams{memory(t), impair} }
			}
			transporttest.Run(t, k)
		})
	}
}

// lossyDatagrams loses datagrams, but no connections.
type lossyDatagrams struct {
	memberlist.NodeAwareTransport
	impair func(string) Impairment
}

func (l lossyDatagrams) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return Impaired(l.NodeAwareTransport, l.impair).WriteToAddress(b, a)
}

func TestRoutesReplaceAddressesByName(t *testing.T) {
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

func TestLossInOneDirectionFailsConnectionsInBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var aAddress string
		listen := onMemory(func(from, _ string) Impairment { return Impairment{Lost: from == aAddress} })
		a, b := listen(t), listen(t)
		defer func() { _ = a.Shutdown(); _ = b.Shutdown() }()
		address := func(m memberlist.NodeAwareTransport) string {
			ip, port, err := m.FinalAdvertiseAddr("", 0)
			require.NoError(t, err)
			return net.JoinHostPort(ip.String(), fmt.Sprint(port))
		}
		aAddress = address(a)
		_, err := b.WriteTo([]byte("in"), aAddress)
		require.NoError(t, err)
		assert.Equal(t, "in", string((<-a.PacketCh()).Buf), "datagrams are received")
		_, err = a.DialTimeout(address(b), time.Second)
		assert.Error(t, err)
		_, err = b.DialTimeout(aAddress, time.Second)
		assert.Error(t, err, "the reply is lost")
	})
}

func TestAnAddressInUseCantBeBound(t *testing.T) {
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
