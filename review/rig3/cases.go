package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const customer = "0000000000000001"

// look returns a request that may run again.
func look(id string) request {
	return request{id: id, class: "look", plan: "team", customer: customer, get: true, remainingMs: 2000}
}

// oneDoor starts a door with two backends and waits until it is ready.
func (w *world) oneDoor(adjust func(*backend)) (*door, []*backend, error) {
	var all []*backend
	var entries []entry
	for i := range 2 {
		b, err := w.startBackend(fmt.Sprintf("b%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		adjust(b)
		all, entries = append(all, b), append(entries, b.entry("a", "Ready"))
	}
	disco, err := w.startDiscovery("discovery", 0, entries...)
	if err != nil {
		return nil, nil, err
	}
	d, err := w.prepareDoor(0, 1, disco.address, entries, nil)
	if err != nil {
		return nil, nil, err
	}
	if err := w.startDoor(d); err != nil {
		return nil, nil, err
	}
	if _, ok := awaitReady(d.listen, 10*time.Second); !ok {
		d.noteLog(20)
		return nil, nil, fmt.Errorf("the door is not ready")
	}
	return d, all, nil
}

// unframedCase has backends answer with no length and end their connection behind the body. Half at least of these whole answers must
// be forwarded.
func unframedCase(w *world) (verdict, error) {
	var mu sync.Mutex
	whole := map[string]int{} // whole answers by request
	d, _, err := w.oneDoor(func(b *backend) {
		b.answer = func(nc net.Conn, a arrival) bool {
			body := bodyFor(a.id)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			if w.trouble {
				head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
			}
			if _, err := io.WriteString(nc, head+body); err != nil {
				return false
			}
			if w.trouble && nc.(*net.TCPConn).CloseWrite() != nil {
				return false
			}
			mu.Lock()
			whole[a.id]++
			mu.Unlock()
			w.note("%s: answered %s whole", b.id, a.id)
			if w.trouble {
				io.Copy(io.Discard, nc) // until the door has closed as well
			}
			return !w.trouble
		}
	})
	if err != nil {
		return verdict{}, err
	}
	const requests = 40
	forwarded, ran, answered := 0, 0, map[int]int{}
	for i := range requests {
		q := request{id: fmt.Sprintf("pay-%d", i), class: "pay", plan: "team", customer: customer, body: "x", remainingMs: 4000}
		if i%2 == 1 {
			q = look(fmt.Sprintf("look-%d", i))
		}
		status, body, err := ask(d.listen, q, 5*time.Second)
		w.note("client: %s got %d %q %v", q.id, status, body, err)
		answered[status]++
		mu.Lock()
		n := whole[q.id]
		mu.Unlock()
		ran += n
		if status == http.StatusOK && body == bodyFor(q.id) {
			forwarded++
		}
		time.Sleep(50 * time.Millisecond)
	}
	text := fmt.Sprintf("%d requests ran at backends %d times and were answered whole as often; %d answers were forwarded; statuses %v", requests, ran, forwarded, answered)
	return verdict{ran > 0 && 2*forwarded < ran, text}, nil
}

// pipelineCase has a client write many requests at once on one connection. Each must get its final answer.
func pipelineCase(w *world) (verdict, error) {
	d, _, err := w.oneDoor(func(*backend) {})
	if err != nil {
		return verdict{}, err
	}
	const requests = 64
	var all []request
	size := 0
	text := ""
	for i := range requests {
		q := look(fmt.Sprintf("%016x", 0x9b1f03aa5c7e0000+uint64(i)))
		all = append(all, q)
		text += q.bytes()
	}
	size = len(text)
	c, err := dial(d.listen)
	if err != nil {
		return verdict{}, err
	}
	defer c.nc.Close()
	sent := time.Now()
	if w.trouble {
		if _, err := io.WriteString(c.nc, text); err != nil {
			return verdict{}, err
		}
		w.note("client: wrote %d requests, %d bytes", requests, size)
	}
	answers, statuses, end := 0, map[int]int{}, ""
	for _, q := range all {
		if !w.trouble {
			sent = time.Now()
			if _, err := io.WriteString(c.nc, q.bytes()); err != nil {
				return verdict{}, err
			}
		}
		status, body, closes, err := c.receive(time.Until(sent.Add(time.Duration(q.remainingMs+answerSlackMs+socketSlackMs) * time.Millisecond)))
		w.note("client: %s got %d %q, closes %v, %v", q.id, status, body, closes, err)
		if err != nil {
			end = err.Error()
			break
		}
		answers++
		statuses[status]++
	}
	return verdict{answers < requests, fmt.Sprintf("%d of %d requests (%d bytes) were answered, %v; the connection's end: %q", answers, requests, size, statuses, end)}, nil
}

// clockCase has a client write two requests at once, and a third while the first is being answered. The second must get its final
// answer by its own time, and its backend must be told no more than what is left of it.
func clockCase(w *world) (verdict, error) {
	work := map[string]time.Duration{"first": 900 * time.Millisecond, "second": 800 * time.Millisecond}
	d, all, err := w.oneDoor(func(b *backend) {
		b.work = func(a arrival) time.Duration { return work[a.id] }
	})
	if err != nil {
		return verdict{}, err
	}
	first, second, third := look("first"), look("second"), look("third")
	second.remainingMs = 1000
	c, err := dial(d.listen)
	if err != nil {
		return verdict{}, err
	}
	defer c.nc.Close()
	var sent, got [3]float64
	write := func(of ...int) error {
		text := ""
		for _, i := range of {
			q := []request{first, second, third}[i]
			text += q.bytes()
			sent[i] = w.ms()
			w.note("client: sends %s, which waits %.0f ms", q.id, q.remainingMs)
		}
		_, err := io.WriteString(c.nc, text)
		return err
	}
	read := func(i int) error {
		status, body, _, err := c.receive(5 * time.Second)
		got[i] = w.ms()
		w.note("client: answer %d is %d %q after %.0f ms, %v", i+1, status, body, got[i]-sent[i], err)
		return err
	}
	if w.trouble {
		if err := write(0, 1); err != nil {
			return verdict{}, err
		}
		time.Sleep(850 * time.Millisecond)
		if err := write(2); err != nil {
			return verdict{}, err
		}
		for i := range 3 {
			if err := read(i); err != nil {
				return verdict{true, fmt.Sprintf("answer %d never came: %v", i+1, err)}, nil
			}
		}
	} else {
		for i := range 3 {
			if err := write(i); err != nil {
				return verdict{}, err
			}
			if err := read(i); err != nil {
				return verdict{true, fmt.Sprintf("answer %d never came: %v", i+1, err)}, nil
			}
		}
	}
	over := 0.0
	for _, b := range all {
		for _, a := range b.all() {
			if a.id == "second" {
				over = a.told - (sent[1] + second.remainingMs - a.at)
				w.note("second: its backend was told %.0f ms when %.0f ms were left to the client", a.told, sent[1]+second.remainingMs-a.at)
			}
		}
	}
	late := got[1] - sent[1] - second.remainingMs
	return verdict{over > deadlineSlack+socketSlackMs || late > answerSlackMs+socketSlackMs,
		fmt.Sprintf("the second request's answer came %.0f ms after its time; its backend was told %.0f ms more than the client had left", late, over)}, nil
}

// slowCase has discovery answer each call after a second. A door must be ready in 30 s.
func slowCase(w *world) (verdict, error) {
	delay := time.Duration(0)
	if w.trouble {
		delay = time.Second
	}
	b, err := w.startBackend("b1")
	if err != nil {
		return verdict{}, err
	}
	disco, err := w.startDiscovery("discovery", delay, b.entry("a", "Ready"))
	if err != nil {
		return verdict{}, err
	}
	var doors []*door
	for i := range 3 {
		d, err := w.prepareDoor(i, 3, disco.address, nil, nil)
		if err != nil {
			return verdict{}, err
		}
		if err := w.startDoor(d); err != nil {
			return verdict{}, err
		}
		doors = append(doors, d)
	}
	const within = 30 * time.Second
	var wait sync.WaitGroup
	took, ready := make([]time.Duration, len(doors)), make([]bool, len(doors))
	for i, d := range doors {
		wait.Go(func() {
			took[i], ready[i] = awaitReady(d.listen, within)
			w.note("%s: ready %v after %v", d.name, ready[i], took[i])
		})
	}
	wait.Wait()
	disco.mu.Lock()
	calls := disco.calls
	disco.mu.Unlock()
	doors[0].noteLog(5)
	return verdict{slices.Contains(ready, false), fmt.Sprintf("ready within %v: %v, after %v; discovery was called %d times", within, ready, took, calls)}, nil
}

// press has clients ask a door all the time, each over its own kept connection, until stop is closed. It returns a function that waits
// for them and returns how often each status was received; 0 is a connection that ended without an answer.
func (w *world) press(d *door, clients int, pause time.Duration, next func(i int) request, stop chan struct{}) (wait func() map[int]int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for k := range clients {
		group.Go(func() {
			var c *client
			defer func() {
				if c != nil {
					c.nc.Close()
				}
			}()
			for i := k; ; i += clients {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if c == nil {
					var err error
					if c, err = dial(d.listen); err != nil {
						c = nil
						continue
					}
				}
				q := next(i)
				status, closes := 0, true
				if _, err := io.WriteString(c.nc, q.bytes()); err == nil {
					status, _, closes, err = c.receive(time.Duration(q.remainingMs+answerSlackMs) * time.Millisecond)
					closes = closes || err != nil
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if status != http.StatusTooManyRequests {
					w.note("client of %s: %s got %d", d.name, q.id, status)
				}
				if closes {
					c.nc.Close()
					c = nil
				}
			}
		})
	}
	return func() map[int]int {
		group.Wait()
		return statuses
	}
}

// backends starts some backends.
func (w *world) backends(n int) (all []*backend, entries []entry, err error) {
	for i := range n {
		b, err := w.startBackend(fmt.Sprintf("b%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		all, entries = append(all, b), append(entries, b.entry("a", "Ready"))
	}
	return all, entries, nil
}

// ceilingCase presses a customer against its plan's ceiling while a release reaches the doors.
func ceilingCase(w *world) (verdict, error) {
	all, entries, err := w.backends(3)
	if err != nil {
		return verdict{}, err
	}
	disco, err := w.startDiscovery("discovery", 0, entries...)
	if err != nil {
		return verdict{}, err
	}
	f, err := w.startFleet(3, disco.address, entries, nil)
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var waits []func() map[int]int
	for i, d := range f.doors {
		waits = append(waits, w.press(d, 12, 60*time.Millisecond, func(n int) request {
			q := look(fmt.Sprintf("n%d-%d", i, n))
			q.plan, q.spread, q.first = "group", len(f.doors), 0
			return q
		}, stop))
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		if err := f.release("settings", map[string]any{"pace": map[string]any{"settle_ms": 21}}); err != nil {
			return verdict{}, err
		}
		if err := f.awaitChanged(60 * time.Second); err != nil {
			return verdict{}, err
		}
		w.note("all doors have changed")
	} else {
		time.Sleep(12 * time.Second)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	for i, wait := range waits {
		w.note("clients of n%d: %v", i, wait())
	}
	for _, d := range f.doors {
		d.noteLog(8)
	}
	var arrivals []arrival
	for _, b := range all {
		arrivals = append(arrivals, b.all()...)
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at*1e3) - int(b.at*1e3) })
	seen := map[string]bool{}
	store, least, leastAt, at := ceilingBurst, ceilingBurst, 0.0, 0.0
	for _, a := range arrivals {
		if seen[a.id] { // a further attempt takes no units
			continue
		}
		seen[a.id] = true
		store = min(ceilingBurst, store+(a.at-at)*ceilingRate/1000) - 1
		at = a.at
		if store < least {
			least, leastAt = store, a.at
		}
	}
	slack := max(0.1*ceilingBurst, 1) + 0.15*ceilingRate
	return verdict{least < -slack, fmt.Sprintf("%d requests were first sent on; the ceiling's store fell to %.1f units (at %.0f ms), where %.1f is allowed", len(seen), least, leastAt, -slack)}, nil
}

// movedCase moves discovery to another address by SIGHUP, and releases a configuration some seconds later.
func movedCase(w *world) (verdict, error) {
	all, entries, err := w.backends(3)
	if err != nil {
		return verdict{}, err
	}
	before, err := w.startDiscovery("discovery-1", 0, entries...)
	if err != nil {
		return verdict{}, err
	}
	f, err := w.startFleet(3, before.address, entries, nil)
	if err != nil {
		return verdict{}, err
	}
	now := before
	if w.trouble {
		if now, err = w.startDiscovery("discovery-2", 0, entries...); err != nil {
			return verdict{}, err
		}
		for _, d := range f.doors {
			if err := d.moveDiscovery(now.address); err != nil {
				return verdict{}, err
			}
			d.signal(syscall.SIGHUP)
		}
		w.note("discovery has moved from %s to %s", before.address, now.address)
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		before.ln.Close()
		before.setDown(true)
	}
	// b1 is replaced by b4.
	b4, err := w.startBackend("b4")
	if err != nil {
		return verdict{}, err
	}
	drained := slices.Clone(entries)
	drained[0].Lifecycle = "Terminating"
	drained = append(drained, b4.entry("a", "Ready"))
	now.set(drained...)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var waits []func() map[int]int
	for i, d := range f.doors {
		waits = append(waits, w.press(d, 4, 50*time.Millisecond, func(n int) request { return look(fmt.Sprintf("n%d-%d", i, n)) }, stop))
	}
	time.Sleep(3 * time.Second)
	until := w.ms()
	if err := f.release("settings", map[string]any{"pace": map[string]any{"settle_ms": 21}}); err != nil {
		return verdict{}, err
	}
	if err := f.awaitChanged(60 * time.Second); err != nil {
		return verdict{}, err
	}
	changed := w.ms()
	w.note("all doors have changed")
	time.Sleep(12 * time.Second)
	close(stop)
	for i, wait := range waits {
		w.note("clients of n%d: %v", i, wait())
	}
	for _, d := range f.doors {
		d.noteLog(8)
	}
	late, earlier := 0, 0
	for _, a := range all[0].all() {
		switch {
		case a.at > changed+toldAtLatestMs+drainGraceMs+socketSlackMs:
			late++
		case a.at < until:
			earlier++
		}
	}
	return verdict{late > 0, fmt.Sprintf("b1, which drains, got %d requests before the release and %d later than 6.55 s after the last door had changed", earlier, late)}, nil
}

// drainedCase drains a backend by plan and kills a door's process, under requests.
func drainedCase(w *world) (verdict, error) {
	all, entries, err := w.backends(3)
	if err != nil {
		return verdict{}, err
	}
	disco, err := w.startDiscovery("discovery", 0, entries...)
	if err != nil {
		return verdict{}, err
	}
	f, err := w.startFleet(3, disco.address, entries, nil)
	if err != nil {
		return verdict{}, err
	}
	if out, err := f.operate("drain", "backend", "b1", "--wait", "--why", "disk", "--who", "operator"); err != nil {
		return verdict{}, fmt.Errorf("drain: %v: %s", err, out)
	}
	stop := make(chan struct{})
	var waits []func() map[int]int
	for i, d := range f.doors {
		waits = append(waits, w.press(d, 8, 10*time.Millisecond, func(n int) request { return look(fmt.Sprintf("n%d-%d", i, n)) }, stop))
	}
	time.Sleep(3 * time.Second)
	until := w.ms()
	if w.trouble {
		if err := f.release("settings", map[string]any{"pace": map[string]any{"settle_ms": 21}}); err != nil {
			return verdict{}, err
		}
		if err := f.awaitChanged(60 * time.Second); err != nil {
			return verdict{}, err
		}
		w.note("all doors have changed")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	for i, wait := range waits {
		w.note("clients of n%d: %v", i, wait())
	}
	before, after := 0, 0
	for _, a := range all[0].all() {
		if a.at > until {
			after++
		} else {
			before++
		}
	}
	return verdict{after > 0, fmt.Sprintf("b1, drained, got %d requests before and %d after", before, after)}, nil
}

// holderCase adds a door to a fleet while discovery is down for 25 s. It must stay, and become ready once discovery is back.
func holderCase(w *world) (verdict, error) {
	_, entries, err := w.backends(3)
	if err != nil {
		return verdict{}, err
	}
	disco, err := w.startDiscovery("discovery", 0, entries...)
	if err != nil {
		return verdict{}, err
	}
	f, err := w.startFleet(3, disco.address, entries, nil)
	if err != nil {
		return verdict{}, err
	}
	address, err := w.free()
	if err != nil {
		return verdict{}, err
	}
	d, err := w.prepareDoor(3, 4, disco.address, nil, map[string]any{"name": "case", "zone": "a", "listen": address,
		"peers": []string{"n0/" + f.members[0], "n1/" + f.members[1]}, "coordinators": f.api})
	if err != nil {
		return verdict{}, err
	}
	disco.setDown(w.trouble)
	if err := w.startDoor(d); err != nil {
		return verdict{}, err
	}
	if d.awaitEnd(25 * time.Second) {
		d.noteLog(6)
		return verdict{true, fmt.Sprintf("the door's process ended by itself: %v", d.cmd.ProcessState)}, nil
	}
	disco.setDown(false)
	took, ready := awaitReady(d.listen, 10*time.Second)
	d.noteLog(6)
	return verdict{!ready, fmt.Sprintf("ready %v, %v after discovery was back", ready, took)}, nil
}
