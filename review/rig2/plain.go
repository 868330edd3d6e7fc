package main

import (
	"fmt"
	"time"
)

// plainDoor starts backends, discovery and one front door by the deploy file.
func plainDoor(r *rig, backends int, serve func(a *arrival)) (addr string, all []*backend, err error) {
	var entries []obj
	for i := range backends {
		b, err := newBackend(r, fmt.Sprintf("b-%d", i), serve)
		if err != nil {
			return "", nil, err
		}
		all = append(all, b)
		entries = append(entries, entry(b, "a", "Ready"))
	}
	d, err := newDiscovery(r, entries...)
	if err != nil {
		return "", nil, err
	}
	if addr, err = freeAddress(); err != nil {
		return "", nil, err
	}
	file, err := r.file("door.json", doorConfig("n0", addr, d.addr))
	if err != nil {
		return "", nil, err
	}
	if _, err = r.run("door", "exec bin/swifthall", "GW_CONFIG="+file, "GW_NAME=n0", "GW_LISTEN="+addr, "GW_DISCOVERY="+d.addr); err != nil {
		return "", nil, err
	}
	if !ready(r, addr, 15*time.Second) {
		return "", nil, r.cannot("the door is not ready")
	}
	return addr, all, nil
}

// Of noLength.
const (
	asked       = 30
	shareWanted = 0.5 // of the answers with no length that come whole
)

// noLength has backends answer without a length: each answer ends with its connection, orderly and whole.
func noLength(r *rig) (bool, error) {
	addr, all, err := plainDoor(r, 3, func(a *arrival) {
		time.Sleep(20 * time.Millisecond)
		if !r.trouble {
			a.answer(200, bodyOf(a.txn))
			return
		}
		fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", bodyOf(a.txn))
		a.conn.Close()
	})
	if err != nil {
		return false, err
	}
	began, served, lost := time.Now(), 0, 0
	for i := range asked {
		q := &request{class: []string{"look", "book", "pay"}[i%3], txn: fmt.Sprintf("t%d", i), remaining: 3 * time.Second}
		if q.class == "book" {
			q.key = "key-" + q.txn
		}
		c, err := dialClient(r, addr)
		if err != nil {
			return false, err
		}
		res := c.do(q)
		c.nc.Close()
		switch {
		case res.status == 200 && res.body == bodyOf(q.txn):
			served++
		case res.status != 200 && q.class == "pay":
			lost++
		}
	}
	answers := 0
	for _, b := range all {
		answers += len(b.got(began))
	}
	r.note("%d requests ran %d times in all, each time answered whole; %d clients got the answer; %d of %d that must not run twice ran and failed", asked, answers, served, lost, asked/3)
	return float64(served) < shareWanted*asked, nil
}

// Of pipeline.
const (
	commands    = 16
	commandBody = 700 // bytes
)

// pipeline has a client send some requests at once on one connection.
func pipeline(r *rig) (bool, error) {
	addr, all, err := plainDoor(r, 2, nil)
	if err != nil {
		return false, err
	}
	c, err := dialClient(r, addr)
	if err != nil {
		return false, err
	}
	began, answered := time.Now(), 0
	var out []byte
	for i := range commands {
		q := &request{class: "pay", txn: fmt.Sprintf("t%d", i), remaining: 3 * time.Second, body: make([]byte, commandBody)}
		if r.trouble {
			out = append(out, q.bytes(addr)...)
		} else if res := c.do(q); res.status != 0 {
			answered++
		}
	}
	if r.trouble {
		r.note("client: sends %d requests at once, %d bytes, each with 3000 ms", commands, len(out))
		if _, err := c.nc.Write(out); err != nil {
			return false, err
		}
		for i := range commands {
			if res := c.read(fmt.Sprintf("t%d", i), began, 4*time.Second); res.err != nil {
				break
			}
			answered++
		}
	}
	ran := 0
	for _, b := range all {
		ran += len(b.got(began))
	}
	r.note("%d requests sent, %d answered, %d sent on", commands, answered, ran)
	return answered < commands, nil
}
