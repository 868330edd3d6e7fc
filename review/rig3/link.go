package main

import (
	"net"
	"sync"
	"time"
)

// link is the way from a door to one address. While it is cut nothing passes, in either direction, and nothing is said: what was sent
// arrives when it is back. Connections opened meanwhile are reset then.
type link struct {
	mu  sync.Mutex
	cut bool
}

// set cuts the link, or brings it back.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// await waits until the link is not cut, and reports whether it was.
func (l *link) await() (waited bool) {
	for l.isCut() {
		waited = true
		time.Sleep(10 * time.Millisecond)
	}
	return waited
}

// to returns an address that leads to another one over the link.
func (l *link) to(w *world, address string) (string, error) {
	ln, err := w.listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(nc, address)
		}
	}()
	return ln.Addr().String(), nil
}

func (l *link) carry(nc net.Conn, address string) {
	defer nc.Close()
	if l.await() {
		nc.(*net.TCPConn).SetLinger(0)
		return
	}
	other, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer other.Close()
	done := make(chan struct{}, 2)
	pass := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			l.await()
			if _, failed := to.Write(buf[:n]); err != nil || failed != nil {
				return
			}
		}
	}
	go pass(nc, other)
	go pass(other, nc)
	<-done
}
