// Package transporttest holds what every transport of a fleet must keep, as testing/fstest does for file systems.
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

// Kit is what a suite is run on.
type Kit struct {
	// Listen takes an address nobody has; the suite shuts down what it gets.
	Listen func(t *testing.T) memberlist.NodeAwareTransport
	// Nobody is an address at which nobody listens, and nobody will.
	Nobody string
	// Ordered and Lossless are what the transport promises of datagrams that are sent one after the other with a receiver
	// that keeps up. None promises anything to a receiver that doesn't.
	Ordered, Lossless bool
	// Loses tells that about half of the datagrams are meant to be lost, and Repeats that all come twice.
	Loses, Repeats bool
	// Run runs a test, within a bubble of virtual time where the transport wants one; nil for as it is.
	Run func(t *testing.T, test func(t *testing.T))
}

const (
	patience = 5 * time.Second
	most     = 1400 // bytes of a datagram that every transport carries whole
)

// Run holds a transport against the contract.
func Run(t *testing.T, k Kit) {
	run := k.Run
	if run == nil {
		run = func(t *testing.T, test func(t *testing.T)) { test(t) }
	}
	for _, c := range []struct {
		name string
		test func(t *testing.T, k Kit)
	}{
		{"datagrams come whole", datagrams},
		{"a datagram is the receiver's own", owned},
		{"order and loss are as promised", promised},
		{"nobody there", nobody},
		{"an address is given back", shutdown},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T) {
				defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
				c.test(t, k)
			})
		})
	}
	streams(t, StreamConfig{Listen: func(t *testing.T) StreamLayer { return packets{k.Listen(t)} }, UnusedAddress: k.Nobody, Run: run})
}

// StreamLayer is what makes and takes connections: the part of a transport that whatever agrees or gossips stands on.
type StreamLayer interface {
	Accept() (net.Conn, error)
	Dial(address string, timeout time.Duration) (net.Conn, error)
	Addr() net.Addr
	Close() error
}

// StreamConfig is what the part of the suite about connections is run on.
type StreamConfig struct {
	Listen        func(t *testing.T) StreamLayer // takes an address nobody has; the suite closes what it gets
	UnusedAddress string                         // an address at which nobody listens
	Run           func(t *testing.T, test func(t *testing.T))
}

// RunStreams holds a transport of connections alone against the contract.
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
		{"nobody takes a connection", nobodyThere},
		{"connections carry both ways", connections},
		{"a peer that never reads", neverReads},
		{"closing while writing", closing},
		{"thousands of deadlines", deadlines},
		{"closing ends those who wait for a connection", closed},
	} {
		t.Run(c.name, func(t *testing.T) {
			k.Run(t, func(t *testing.T) {
				defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
				c.test(t, k)
			})
		})
	}
}

// packets makes connections by a transport of datagrams and connections.
type packets struct{ memberlist.NodeAwareTransport }

func (p packets) Accept() (net.Conn, error) {
	select {
	case c, open := <-p.StreamCh():
		if !open {
			return nil, net.ErrClosed
		}
		return c, nil
	case <-time.After(patience):
		return nil, os.ErrDeadlineExceeded
	}
}

func (p packets) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: address, Name: "b"}, timeout)
}

func (p packets) Addr() net.Addr {
	ip, port, _ := p.FinalAdvertiseAddr("", 0)
	return &net.TCPAddr{IP: ip, Port: port}
}

func (p packets) Close() error { return p.Shutdown() }

// at is where a transport can be reached.
func at(t *testing.T, tr memberlist.NodeAwareTransport) string {
	ip, port, err := tr.FinalAdvertiseAddr("", 0)
	require.NoError(t, err)
	require.NotEmpty(t, ip)
	require.Positive(t, port)
	return net.JoinHostPort(ip.String(), fmt.Sprint(port))
}

func two(t *testing.T, k Kit) (a, b memberlist.NodeAwareTransport, to memberlist.Address, end func()) {
	a, b = k.Listen(t), k.Listen(t)
	return a, b, memberlist.Address{Addr: at(t, b), Name: "b"}, func() {
		assert.NoError(t, a.Shutdown())
		assert.NoError(t, b.Shutdown())
	}
}

// next waits for a datagram.
func next(t *testing.T, tr memberlist.NodeAwareTransport) *memberlist.Packet {
	select {
	case p := <-tr.PacketCh():
		return p
	case <-time.After(patience):
		require.Fail(t, "no datagram has come")
		return nil
	}
}

func datagrams(t *testing.T, k Kit) {
	a, b, to, end := two(t, k)
	defer end()
	for _, size := range []int{1, 2, 100, most - 1, most} {
		sent := bytes.Repeat([]byte{byte(size)}, size)
		var got *memberlist.Packet
		for try := 0; got == nil; try++ {
			require.Less(t, try, 64)
			when, err := a.WriteToAddress(sent, to)
			require.NoError(t, err)
			assert.WithinDuration(t, time.Now(), when, patience)
			if !k.Loses {
				got = next(t, b)
				break
			}
			select {
			case got = <-b.PacketCh():
			case <-time.After(100 * time.Millisecond):
			}
		}
		assert.Equal(t, sent, got.Buf)
		assert.NotNil(t, got.From)
		assert.WithinDuration(t, time.Now(), got.Timestamp, patience)
		for drained := false; !drained; { // repeats
			select {
			case <-b.PacketCh():
			case <-time.After(50 * time.Millisecond):
				drained = true
			}
		}
	}
}

func owned(t *testing.T, k Kit) {
	if k.Loses {
		t.Skip("datagrams may be lost")
	}
	a, b, to, end := two(t, k)
	defer end()
	buf := []byte("first")
	_, err := a.WriteToAddress(buf, to)
	require.NoError(t, err)
	copy(buf, "other")
	assert.Equal(t, "first", string(next(t, b).Buf))
}

func promised(t *testing.T, k Kit) {
	a, b, to, end := two(t, k)
	defer end()
	const n = 200
	var came []int
	for i := range n {
		_, err := a.WriteToAddress([]byte{byte(i), byte(i >> 8)}, to)
		require.NoError(t, err)
		wait := patience
		if k.Loses || !k.Lossless {
			wait = 20 * time.Millisecond
		}
		select {
		case p := <-b.PacketCh():
			came = append(came, int(p.Buf[0])+int(p.Buf[1])<<8)
		case <-time.After(wait):
		}
	}
	for more := true; more; {
		select {
		case p := <-b.PacketCh():
			came = append(came, int(p.Buf[0])+int(p.Buf[1])<<8)
		case <-time.After(100 * time.Millisecond):
			more = false
		}
	}
	once := map[int]int{}
	for i, c := range came {
		once[c]++
		if k.Ordered && i > 0 {
			assert.GreaterOrEqual(t, c, came[i-1])
		}
	}
	if k.Lossless {
		assert.Len(t, once, n)
	}
	if k.Loses {
		assert.Less(t, len(once), n*3/4)
		assert.Greater(t, len(once), n/4)
	}
	for c, times := range once {
		if k.Repeats {
			assert.Equal(t, 2, times, c)
		} else {
			assert.Equal(t, 1, times, c)
		}
	}
}

func nobody(t *testing.T, k Kit) {
	a := k.Listen(t)
	defer func() { assert.NoError(t, a.Shutdown()) }()
	_, _ = a.WriteToAddress([]byte("anybody?"), memberlist.Address{Addr: k.Nobody}) // an error or none, but no wait
	began := time.Now()
	_, err := a.DialAddressTimeout(memberlist.Address{Addr: k.Nobody}, 300*time.Millisecond)
	assert.Error(t, err)
	assert.Less(t, time.Since(began), patience)
	_, err = a.WriteTo(make([]byte, 1<<20), k.Nobody)
	assert.Error(t, err, "no datagram is so long")
}

func nobodyThere(t *testing.T, k StreamConfig) {
	a := k.Listen(t)
	defer func() { assert.NoError(t, a.Close()) }()
	began := time.Now()
	_, err := a.Dial(k.UnusedAddress, 300*time.Millisecond)
	assert.Error(t, err)
	assert.Less(t, time.Since(began), patience)
}

// connected makes a connection.
func connected(t *testing.T, k StreamConfig) (mine, theirs net.Conn, end func()) {
	a, b := k.Listen(t), k.Listen(t)
	got := make(chan net.Conn, 1)
	go func() {
		c, err := b.Accept()
		if err != nil {
			c = nil
		}
		got <- c
	}()
	mine, err := a.Dial(b.Addr().String(), patience)
	require.NoError(t, err)
	theirs = <-got
	require.NotNil(t, theirs)
	return mine, theirs, func() {
		mine.Close()
		theirs.Close()
		assert.NoError(t, a.Close())
		assert.NoError(t, b.Close())
	}
}

func closed(t *testing.T, k StreamConfig) {
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
	case <-time.After(2 * patience):
		assert.Fail(t, "it waits on")
	}
	_, err := a.Dial(at, 200*time.Millisecond)
	assert.Error(t, err)
	assert.NoError(t, a.Close())
}

func connections(t *testing.T, k StreamConfig) {
	mine, theirs, end := connected(t, k)
	defer end()
	sent := bytes.Repeat([]byte("state "), 1<<17)
	echoed := make(chan error, 1)
	go func() {
		all := make([]byte, len(sent))
		_, err := io.ReadFull(theirs, all)
		if err == nil {
			_, err = theirs.Write(all)
		}
		echoed <- err
	}()
	require.NoError(t, mine.SetDeadline(time.Now().Add(patience)))
	_, err := mine.Write(sent)
	require.NoError(t, err)
	back := make([]byte, len(sent))
	_, err = io.ReadFull(mine, back)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(sent, back))
	require.NoError(t, <-echoed)
}

func neverReads(t *testing.T, k StreamConfig) {
	mine, _, end := connected(t, k)
	defer end()
	require.NoError(t, mine.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	var err error
	for range 1024 {
		if _, err = mine.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, mine.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = mine.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nor does it say anything")
}

func closing(t *testing.T, k StreamConfig) {
	mine, theirs, end := connected(t, k)
	defer end()
	ended := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			_, err = mine.Write(make([]byte, 16<<10))
		}
		ended <- err
	}()
	_, err := io.ReadFull(theirs, make([]byte, 1<<10))
	require.NoError(t, err)
	require.NoError(t, theirs.Close())
	select {
	case err := <-ended:
		assert.Error(t, err)
		assert.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	case <-time.After(patience):
		assert.Fail(t, "the writer goes on")
	}
	mine.Close()
}

func deadlines(t *testing.T, k StreamConfig) {
	mine, theirs, end := connected(t, k)
	defer end()
	for range 5000 {
		require.NoError(t, mine.SetDeadline(time.Now().Add(time.Hour)))
	}
	require.NoError(t, mine.SetDeadline(time.Now().Add(-time.Second)))
	_, err := mine.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, mine.SetDeadline(time.Now().Add(patience)))
	go func() { _, _ = theirs.Write([]byte("x")) }()
	_, err = io.ReadFull(mine, make([]byte, 1))
	assert.NoError(t, err, "a later deadline takes the place of one that is over")
}

func shutdown(t *testing.T, k Kit) {
	a, b, to, end := two(t, k)
	end()
	_, err := a.DialAddressTimeout(to, 200*time.Millisecond)
	assert.Error(t, err)
	select {
	case _, open := <-b.PacketCh():
		assert.False(t, open, "nothing comes any more")
	default:
	}
	c := k.Listen(t)
	assert.NoError(t, c.Shutdown())
	assert.NoError(t, c.Shutdown(), "twice is once")
}
