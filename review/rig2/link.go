package main

import (
	"net"
	"sync/atomic"
	"time"
)

// link is the network between one door and the coordinators. While it is cut, nothing passes and nothing is said: open connections stay
// open and silent, and new ones are not answered.
type link struct {
	r    *rig
	name string
	cut  atomic.Bool
}

// set cuts the link or mends it.
func (l *link) set(cut bool) {
	l.r.note("%s is cut off from the coordinators: %v", l.name, cut)
	l.cut.Store(cut)
}

// to returns an address from which connections are passed on to another one.
func (l *link) to(address string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(nc, address)
		}
	}()
	return ln.Addr().String(), nil
}

func (l *link) wait() {
	for l.cut.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *link) pass(from net.Conn, address string) {
	defer from.Close()
	l.wait()
	to, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			l.wait()
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyTo(to, from)
	go copyTo(from, to)
	<-done
}
