package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Of flood.
const (
	floodClients = 120
	floodBytes   = 1500 << 10            // bytes that such a client sends at once, of valid requests
	floodStay    = 50 * time.Millisecond // from its connection to its close
	floodPause   = 10 * time.Millisecond // until it connects again
	floodTime    = 10 * time.Second
	goodClients  = 8
	goodPause    = 100 * time.Millisecond
	goodWait     = 400 * time.Millisecond // that a request of the others leaves the front door
	lostAfter    = 550 * time.Millisecond // after that time an answer is lost: STANDING's half a second, and 50 ms on sockets
)

// flood has clients that send much at once and go, beside others that wait for their answers.
func flood(r *rig) (bool, error) {
	addr, _, err := plainDoor(r, 2, nil)
	if err != nil {
		return false, err
	}
	echo, err := echoServer()
	if err != nil {
		return false, err
	}
	end := time.Now().Add(floodTime)
	var mu sync.Mutex
	var all []result
	var wg sync.WaitGroup
	if r.trouble {
		for i := range floodClients {
			wg.Go(func() { floodUntil(end, addr, i) })
		}
	}
	for i := range goodClients {
		wg.Go(func() {
			own := askUntil(end, r, addr, i, i%2 == 0)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	longest := echoUntil(end, echo)
	wg.Wait()
	served, late, never := 0, 0, 0
	for _, res := range all {
		switch {
		case res.status == 0:
			never++
		case res.took > goodWait+lostAfter:
			late++
		case res.status == 200:
			served++
		}
	}
	r.note("%d requests, %d served, %d answered more than %v after their time, %d with no answer a second after it; an echo over a connection of its own took %v at most",
		len(all), served, late, lostAfter, never, longest)
	return late+never > 0, nil
}

// floodUntil connects again and again, sends much at once and closes.
func floodUntil(end time.Time, addr string, number int) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(floodPause)
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		stay := time.Now().Add(floodStay)
		_ = nc.SetWriteDeadline(stay)
		q := &request{class: "look", txn: fmt.Sprintf("f%d-%d", number, n), remaining: 2 * time.Second}
		text := q.bytes(addr)
		_, _ = nc.Write(bytes.Repeat(text, floodBytes/len(text)))
		time.Sleep(time.Until(stay))
		nc.Close()
	}
}

// askUntil sends one request after the other and returns what became of them. A request whose connection is closed without an answer is
// sent once more on a new one, as the protocol says.
func askUntil(end time.Time, r *rig, addr string, number int, newEachTime bool) (all []result) {
	var c *client
	connect := func() bool {
		if c != nil {
			c.nc.Close()
		}
		c, _ = dialClient(r, addr)
		return c != nil
	}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(goodPause)
		if (c == nil || newEachTime) && !connect() {
			continue
		}
		q := &request{class: []string{"look", "book", "pay"}[n%3], txn: fmt.Sprintf("t%d-%d", number, n), remaining: goodWait}
		if q.class == "book" {
			q.key = "key-" + q.txn
		}
		res := c.do(q)
		if res.status == 0 && res.took < goodWait && connect() {
			res = c.do(q)
		}
		if all = append(all, res); res.status == 0 || res.closed {
			c.nc.Close()
			c = nil
		}
	}
	return all
}

// echoServer starts a server beside the front door that shows how long the machine itself takes.
func echoServer() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				_, _ = io.Copy(nc, nc)
			}()
		}
	}()
	return ln, nil
}

// echoUntil opens connections to the echo server and returns the longest time to a byte's return.
func echoUntil(end time.Time, ln net.Listener) (longest time.Duration) {
	defer ln.Close()
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			continue
		}
		_, _ = nc.Write([]byte{1})
		_, _ = nc.Read(make([]byte, 1))
		nc.Close()
		longest = max(longest, time.Since(began))
	}
	return longest
}
