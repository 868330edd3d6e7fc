// Package transporttest verifies transports of a fleet, as testing/fstest does for file systems.
package transporttest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// Config is the transport that is tested.
type Config struct {
	// Listen returns a transport on an unused address; the tests shut it down.
	Listen func(t *testing.T) memberlist.NodeAwareTransport
	// UnusedAddress is an address at which no transport listens during the test.
	UnusedAddress string
	// Ordered and Lossless are what the transport guarantees for datagrams that are sent one after the other to a receiver
	// that keeps up. There are no guarantees for a receiver that doesn't.
	Ordered, Lossless bool
	// Drops means that the transport loses about half of the datagrams, and Duplicates that it delivers all of them twice.
	Drops, Duplicates bool
	// Run runs a test, in a synctest bubble if the transport needs virtual time; nil to call the test directly.
	Run func(t *testing.T, test func(t *testing.T))
}

const (
	waitTimeout = 5 * time.Second // for anything that is expected to happen
	maxDatagram = 1400            // bytes of a datagram that every transport can carry
)

// Run tests a transport.
func Run(t *testing.T, k Config) {
	run := k.Run
	if run == nil {
		run = func(t *testing.T, test func(t *testing.T)) { test(t) }
	}
	for _, c := range []struct {
		name string
		test func(t *testing.T, k Config)
	}{
		{"datagrams arrive complete", datagrams},
		{"buffers are copied", buffersAreCopied},
		{"order and loss are as configured", orderAndLoss},
		{"sending to an unused address", unusedAddress},
		{"shutdown frees the address", shutdownFreesAddress},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T) {
				defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
				c.test(t, k)
			})
		})
	}
	streams(t, StreamConfig{Listen: func(t *testing.T) StreamLayer { return packetTransport{k.Listen(t)} }, UnusedAddress: k.UnusedAddress, Run: run})
}

// StreamLayer dials and accepts connections, as raft.StreamLayer does: the part of a transport that a fleet and the
// coordinators both need.
type StreamLayer interface {
	Accept() (net.Conn, error)
	Dial(address string, timeout time.Duration) (net.Conn, error)
	Addr() net.Addr
	Close() error
}

// StreamConfig is the stream layer that is tested.
type StreamConfig struct {
	Listen        func(t *testing.T) StreamLayer              // returns one on an unused address; the tests close it
	UnusedAddress string                                      // an address at which nothing listens
	Run           func(t *testing.T, test func(t *testing.T)) // see Config.Run
}

// RunStreams tests a stream layer.
func RunStreams(t *testing.T, k StreamConfig) {
	if k.Run == nil {
		k.Run = func(t *testing.T, test func(t *testing.T)) { test(t) }
	}
	streams(t, k)
}

func streams(t *testing.T, k StreamConfig) {
	for _, c := range []struct {
		name string
		test func(t *testing.T, k StreamConfig)
	}{
		{"dialing an unused address", dialUnusedAddress},
		{"connections carry data both ways", connections},
		{"a peer that never reads", peerNeverReads},
		{"close during a write", closeDuringWrite},
		{"thousands of deadlines", manyDeadlines},
		{"close unblocks Accept", closeUnblocksAccept},
	} {
		t.Run(c.name, func(t *testing.T) {
			k.Run(t, func(t *testing.T) {
				defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
				c.test(t, k)
			})
		})
	}
}

// packetTransport adapts the connections of a fleet's transport to the stream layer.
type packetTransport struct{ memberlist.NodeAwareTransport }

func (p packetTransport) Accept() (net.Conn, error) {
	select {
	case c, open := <-p.StreamCh():
		if !open {
			return nil, net.ErrClosed
		}
		return c, nil
	case <-time.After(waitTimeout):
		return nil, os.ErrDeadlineExceeded
	}
}

func (p packetTransport) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: address, Name: "b"}, timeout)
}

func (p packetTransport) Addr() net.Addr {
	ip, port, _ := p.FinalAdvertiseAddr("", 0)
	return &net.TCPAddr{IP: ip, Port: port}
}

func (p packetTransport) Close() error { return p.Shutdown() }

// addressOf returns the address of a transport.
func addressOf(t *testing.T, tr memberlist.NodeAwareTransport) string {
	ip, port, err := tr.FinalAdvertiseAddr("", 0)
	require.NoError(t, err)
	require.NotEmpty(t, ip)
	require.Positive(t, port)
	return net.JoinHostPort(ip.String(), fmt.Sprint(port))
}

// pair returns two transports, the address of the second, and a function that shuts both down.
func pair(t *testing.T, k Config) (a, b memberlist.NodeAwareTransport, to memberlist.Address, end func()) {
	a, b = k.Listen(t), k.Listen(t)
	return a, b, memberlist.Address{Addr: addressOf(t, b), Name: "b"}, func() {
		assert.NoError(t, a.Shutdown())
		assert.NoError(t, b.Shutdown())
	}
}

// nextPacket waits for a datagram.
func nextPacket(t *testing.T, tr memberlist.NodeAwareTransport) *memberlist.Packet {
	select {
	case p := <-tr.PacketCh():
		return p
	case <-time.After(waitTimeout):
		require.Fail(t, "no datagram received")
		return nil
	}
}

func datagrams(t *testing.T, k Config) {
	a, b, to, end := pair(t, k)
	defer end()
	for _, size := range []int{1, 2, 100, maxDatagram - 1, maxDatagram} {
		sent := bytes.Repeat([]byte{byte(size)}, size)
		var got *memberlist.Packet
		for try := 0; got == nil; try++ {
			require.Less(t, try, 64)
			when, err := a.WriteToAddress(sent, to)
			require.NoError(t, err)
			assert.WithinDuration(t, time.Now(), when, waitTimeout)
			if !k.Drops {
				got = nextPacket(t, b)
				break
			}
			select {
			case got = <-b.PacketCh():
			case <-time.After(100 * time.Millisecond):
			}
		}
		assert.Equal(t, sent, got.Buf)
		assert.NotNil(t, got.From)
		assert.WithinDuration(t, time.Now(), got.Timestamp, waitTimeout)
		for drained := false; !drained; { // discards duplicates
			select {
			case <-b.PacketCh():
			case <-time.After(50 * time.Millisecond):
				drained = true
			}
		}
	}
}

func buffersAreCopied(t *testing.T, k Config) {
	if k.Drops {
		t.Skip("datagrams may be lost")
	}
	a, b, to, end := pair(t, k)
	defer end()
	buf := []byte("first")
	_, err := a.WriteToAddress(buf, to)
	require.NoError(t, err)
	copy(buf, "other")
	assert.Equal(t, "first", string(nextPacket(t, b).Buf))
}

func orderAndLoss(t *testing.T, k Config) {
	a, b, to, end := pair(t, k)
	defer end()
	const n = 200
	var received []int
	for i := range n {
		_, err := a.WriteToAddress([]byte{byte(i), byte(i >> 8)}, to)
		require.NoError(t, err)
		wait := waitTimeout
		if k.Drops || !k.Lossless {
			wait = 20 * time.Millisecond
		}
		select {
		case p := <-b.PacketCh():
			received = append(received, int(p.Buf[0])+int(p.Buf[1])<<8)
		case <-time.After(wait):
		}
	}
	for more := true; more; {
		select {
		case p := <-b.PacketCh():
			received = append(received, int(p.Buf[0])+int(p.Buf[1])<<8)
		case <-time.After(100 * time.Millisecond):
			more = false
		}
	}
	once := map[int]int{}
	for i, c := range received {
		once[c]++
		if k.Ordered && i > 0 {
			assert.GreaterOrEqual(t, c, received[i-1])
		}
	}
	if k.Lossless {
		assert.Len(t, once, n)
	}
	if k.Drops {
		assert.Less(t, len(once), n*3/4)
		assert.Greater(t, len(once), n/4)
	}
	for c, times := range once {
		if k.Duplicates {
			assert.Equal(t, 2, times, c)
		} else {
			assert.Equal(t, 1, times, c)
		}
	}
}

func unusedAddress(t *testing.T, k Config) {
	a := k.Listen(t)
	defer func() { assert.NoError(t, a.Shutdown()) }()
	_, _ = a.WriteToAddress([]byte("anybody?"), memberlist.Address{Addr: k.UnusedAddress}) // may return an error, but must not block
	began := time.Now()
	_, err := a.DialAddressTimeout(memberlist.Address{Addr: k.UnusedAddress}, 300*time.Millisecond)
	assert.Error(t, err)
	assert.Less(t, time.Since(began), waitTimeout)
	_, err = a.WriteTo(make([]byte, 1<<20), k.UnusedAddress)
	assert.Error(t, err, "the datagram is too long")
}

func dialUnusedAddress(t *testing.T, k StreamConfig) {
	a := k.Listen(t)
	defer func() { assert.NoError(t, a.Close()) }()
	began := time.Now()
	_, err := a.Dial(k.UnusedAddress, 300*time.Millisecond)
	assert.Error(t, err)
	assert.Less(t, time.Since(began), waitTimeout)
}

// connect returns both ends of a connection, and a function that closes it and the stream layers.
func connect(t *testing.T, k StreamConfig) (local, remote net.Conn, end func()) {
	a, b := k.Listen(t), k.Listen(t)
	got := make(chan net.Conn, 1)
	go func() {
		c, err := b.Accept()
		if err != nil {
			c = nil
		}
		got <- c
	}()
	local, err := a.Dial(b.Addr().String(), waitTimeout)
	require.NoError(t, err)
	remote = <-got
	require.NotNil(t, remote)
	return local, remote, func() {
		local.Close()
		remote.Close()
		assert.NoError(t, a.Close())
		assert.NoError(t, b.Close())
	}
}

func closeUnblocksAccept(t *testing.T, k StreamConfig) {
	a, b := k.Listen(t), k.Listen(t)
	at := b.Addr().String()
	ended := make(chan error, 1)
	go func() {
		_, err := b.Accept()
		ended <- err
	}()
	require.NoError(t, b.Close())
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(2 * waitTimeout):
		assert.Fail(t, "Accept is still blocked")
	}
	_, err := a.Dial(at, 200*time.Millisecond)
	assert.Error(t, err)
	assert.NoError(t, a.Close())
}

func connections(t *testing.T, k StreamConfig) {
	local, remote, end := connect(t, k)
	defer end()
	sent := bytes.Repeat([]byte("state "), 1<<17)
	echoed := make(chan error, 1)
	go func() {
		all := make([]byte, len(sent))
		_, err := io.ReadFull(remote, all)
		if err == nil {
			_, err = remote.Write(all)
		}
		echoed <- err
	}()
	require.NoError(t, local.SetDeadline(time.Now().Add(waitTimeout)))
	_, err := local.Write(sent)
	require.NoError(t, err)
	reply := make([]byte, len(sent))
	_, err = io.ReadFull(local, reply)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(sent, reply))
	require.NoError(t, <-echoed)
}

func peerNeverReads(t *testing.T, k StreamConfig) {
	local, _, end := connect(t, k)
	defer end()
	require.NoError(t, local.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	var err error
	for range 1024 {
		if _, err = local.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, local.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = local.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the peer sent something")
}

func closeDuringWrite(t *testing.T, k StreamConfig) {
	local, remote, end := connect(t, k)
	defer end()
	ended := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			_, err = local.Write(make([]byte, 16<<10))
		}
		ended <- err
	}()
	_, err := io.ReadFull(remote, make([]byte, 1<<10))
	require.NoError(t, err)
	require.NoError(t, remote.Close())
	select {
	case err := <-ended:
		assert.Error(t, err)
		assert.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	case <-time.After(waitTimeout):
		assert.Fail(t, "the write is still blocked")
	}
	local.Close()
}

func manyDeadlines(t *testing.T, k StreamConfig) {
	local, remote, end := connect(t, k)
	defer end()
	for range 5000 {
		require.NoError(t, local.SetDeadline(time.Now().Add(time.Hour)))
	}
	require.NoError(t, local.SetDeadline(time.Now().Add(-time.Second)))
	_, err := local.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, local.SetDeadline(time.Now().Add(waitTimeout)))
	go func() { _, _ = remote.Write([]byte("x")) }()
	_, err = io.ReadFull(local, make([]byte, 1))
	assert.NoError(t, err, "a later deadline replaces an expired one")
}

func shutdownFreesAddress(t *testing.T, k Config) {
	a, b, to, end := pair(t, k)
	end()
	_, err := a.DialAddressTimeout(to, 200*time.Millisecond)
	assert.Error(t, err)
	select {
	case _, open := <-b.PacketCh():
		assert.False(t, open, "datagram received after the shutdown")
	default:
	}
	c := k.Listen(t)
	assert.NoError(t, c.Shutdown())
	assert.NoError(t, c.Shutdown(), "a second shutdown does nothing")
}
