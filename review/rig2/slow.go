package main

import (
	"fmt"
	"sync"
	"time"
)

// Of slowDiscovery.
const (
	answerDelay = time.Second // of discovery to each call: BENCH gives a call 2 s
	toldAtMost  = 6 * time.Second
	readyAtMost = 30 * time.Second
	replaced    = 3 // of five backends
)

// slowDiscovery has discovery answer each call after a second; what changes it tells open watches at once. Two doors know their backends from
// their files, a third one has no list. Three of five backends drain, and others take their places.
func slowDiscovery(r *rig) (bool, error) {
	var all, fresh []*backend
	var entries []obj
	for i := range 5 {
		b, err := newBackend(r, fmt.Sprintf("b-%d", i), slowly)
		if err != nil {
			return false, err
		}
		all, entries = append(all, b), append(entries, entry(b, "a", "Ready"))
	}
	for i := range replaced {
		b, err := newBackend(r, fmt.Sprintf("new-%d", i), slowly)
		if err != nil {
			return false, err
		}
		fresh = append(fresh, b)
	}
	known := obj{"generation": 41, "reset": true, "instances": append([]obj{}, entries...)}
	d, err := newDiscovery(r, entries...)
	if err != nil {
		return false, err
	}
	if r.trouble {
		d.delay = answerDelay
	}
	var addrs []string
	began := time.Now()
	for i := range 3 {
		addr, err := freeAddress()
		if err != nil {
			return false, err
		}
		name := fmt.Sprintf("n%d", i)
		cfg := doorConfig(name, addr, d.addr)
		cfg["settings"].(obj)["fleet_size"], cfg["settings"].(obj)["my_number"] = 3, i
		if i < 2 {
			cfg["known"] = known
		}
		file, err := r.file(name+".json", cfg)
		if err != nil {
			return false, err
		}
		if _, err = r.run(name, "exec bin/swifthall", "GW_CONFIG="+file, "GW_NAME="+name, "GW_LISTEN="+addr, "GW_DISCOVERY="+d.addr); err != nil {
			return false, err
		}
		addrs = append(addrs, addr)
	}
	for _, addr := range addrs[:2] {
		if !ready(r, addr, 10*time.Second) {
			return false, r.cannot("the door at %s is not ready", addr)
		}
	}
	stop := askAll(r, addrs[:2])
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	time.Sleep(3 * time.Second)
	for _, b := range fresh {
		d.change(entry(b, "a", "Ready"))
	}
	for _, b := range all[:replaced] {
		d.change(entry(b, "a", "Terminating"))
	}
	told := time.Now()
	limit := told.Add(toldAtMost + drainGrace)
	time.Sleep(time.Until(limit.Add(time.Second)))
	late := 0
	for _, b := range all[:replaced] {
		late += len(b.got(limit))
	}
	f := &fleetRig{r: r, ended: time.Now()}
	for _, b := range all[:replaced] { // what drains may end
		b.kill()
	}
	time.Sleep(3 * time.Second)
	results := stop()
	stop = nil
	_, lost, refused := f.count(results, told, limit, all[:replaced]...)
	toFresh := 0
	for _, b := range fresh {
		toFresh += len(b.got(began))
	}
	third := ready(r, addrs[2], max(0, time.Until(began.Add(readyAtMost))))
	r.note("within the second that began 6.55 s after discovery had the change %d requests were sent to backends that drain, %d were lost with them; %d others were not served after their end; those that took their places got %d; the door without a list was ready within 30 s: %v; discovery was called %d times",
		late, lost, refused, toFresh, third, d.called())
	return late > 0, nil
}

// askAll has eight clients of each door send single-use requests, until the function that it returns is called, which returns the results.
func askAll(r *rig, addrs []string) func() []result {
	var group sync.WaitGroup
	var mu sync.Mutex
	var results []result
	stop := make(chan struct{})
	for door, addr := range addrs {
		for k := range 8 {
			group.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					c, err := dialClient(r, addr)
					if err != nil {
						continue
					}
					res := c.do(&request{class: "pay", txn: fmt.Sprintf("d%d-%d-%d", door, k, i), remaining: 3 * time.Second})
					c.nc.Close()
					mu.Lock()
					results = append(results, res)
					mu.Unlock()
				}
			})
		}
	}
	return func() []result {
		close(stop)
		group.Wait()
		return results
	}
}
