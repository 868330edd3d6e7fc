package main

import (
	"strconv"
	"strings"
	"time"
)

// Of secondCommand.
const (
	firstWork   = 900 * time.Millisecond
	secondWork  = 800 * time.Millisecond
	secondWait  = time.Second // of the client for the second answer
	thirdAfter  = 850 * time.Millisecond
	answerSlack = 550 * time.Millisecond // after the client's time, within which an answer earns nothing and is not lost
	toldSlack   = 200 * time.Millisecond // 0.15 s, and 50 ms on sockets
)

// secondCommand has a client send two requests at once, and a third while the first runs. The second one's time counts from its own arrival.
func secondCommand(r *rig) (bool, error) {
	work := map[string]time.Duration{"first": firstWork, "second": secondWork}
	addr, all, err := plainDoor(r, 2, func(a *arrival) {
		time.Sleep(work[a.txn])
		a.answer(200, bodyOf(a.txn))
	})
	if err != nil {
		return false, err
	}
	c, err := dialClient(r, addr)
	if err != nil {
		return false, err
	}
	first := &request{class: "look", txn: "first", remaining: 3 * time.Second}
	second := &request{class: "look", txn: "second", remaining: secondWait}
	third := &request{class: "look", txn: "third", remaining: 3 * time.Second}
	var sent time.Time // of the second
	var answered result
	if r.trouble {
		sent = time.Now()
		r.note("client: sends first and second at once; the second waits %v", secondWait)
		if _, err := c.nc.Write(append(first.bytes(addr), second.bytes(addr)...)); err != nil {
			return false, err
		}
		time.Sleep(thirdAfter)
		r.note("client: sends third")
		if _, err := c.nc.Write(third.bytes(addr)); err != nil {
			return false, err
		}
		c.read("first", sent, 4*time.Second)
		answered = c.read("second", sent, 4*time.Second)
		c.read("third", sent, 8*time.Second)
	} else {
		c.do(first)
		sent = time.Now()
		answered = c.do(second)
		c.do(third)
	}
	over := time.Duration(0)
	for _, b := range all {
		for _, a := range b.got(sent) {
			if ms, err := strconv.Atoi(strings.TrimSuffix(a.remaining, "m")); err == nil && a.txn == "second" {
				over = time.Duration(ms)*time.Millisecond - sent.Add(secondWait).Sub(a.at)
			}
		}
	}
	late := answered.took - secondWait
	r.note("the second answer came %v after the client's time; its backend was told %v more than the client had left", late.Round(time.Millisecond), over.Round(time.Millisecond))
	return answered.status == 0 || late > answerSlack || over > toldSlack, nil
}
