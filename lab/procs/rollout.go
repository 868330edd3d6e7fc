package procs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/swifthall/swifthall/lab/load"
	"github.com/swifthall/swifthall/lab/outs"
)

// Rollout plays a release on real processes: coordinators, doors whose listener is held, stand-in backends, and clients at
// every door all the time.
type Rollout struct {
	Seed         uint64
	Kind         string // of Rollouts
	Doors        int
	Coordinators int
	Binary       string
	Logs         string
	Rate         float64 // requests a second at each door
}

// Rollouts tells what each kind of release is.
var RolloutKinds = map[string]string{
	"none":     "no release: what service is without one",
	"good":     "a harmless configuration reaches all doors",
	"program":  "the same program under another digest reaches all doors",
	"refused":  "a configuration with a faulty key: the first door doesn't take it",
	"crash":    "a program that ends at once: the first door doesn't take it",
	"second":   "a program that ends at once at all doors but the first: the second wave doesn't take it",
	"later":    "a program that serves for 3 s and ends",
	"harmful":  "a configuration that rejects most of what comes",
	"halted":   "a harmless configuration, halted by an operator amid the second wave, and brought back",
	"backends": "all backends are drained, replaced and brought back, one at a time",
	"restart":  "a harmless configuration; all coordinators are killed amid the second wave and start anew",
}

// RolloutResult is what a rollout came to.
type RolloutResult struct {
	Kind                              string
	Violations                        []outs.Breach
	Stage                             string
	Reason                            string
	TookS                             float64 // from the start to the end of the release
	DecidedS                          float64 // from the first door's change to the word that sends all back
	BackS                             float64 // from that word until all is as before
	MostOut                           int     // doors that couldn't serve at once
	ExposureS                         float64 // share of requests that came to doors while they ran what was bad
	Asked, Finished, Rejected, Failed int     // from the release's start
	Cold                              int     // rejected before it, by doors that had just started

	reached map[string]bool // units of the waves that began
}

// Rules of a rollout.
const (
	NoneLost = "every operation gets its one final answer, and no connection is refused"
	EndsSo   = "the release ends as it should"
	Unhurt   = "doors that were not changed serve on"
)

const (
	rolloutMost = 120.0 // s in which a release must have ended
	rolloutTail = 3.0   // s that clients go on for after it
	slowestPoll = 200 * time.Millisecond
)

// Run plays the rollout.
func (p Rollout) Run(ctx context.Context) (*RolloutResult, error) {
	if RolloutKinds[p.Kind] == "" {
		return nil, &NameError{p.Kind}
	}
	if !(p.Rate > 0) {
		return nil, &load.RunError{Parameter: fmt.Sprintf("rate %g", p.Rate), Reason: "above 0 is wanted"}
	}
	d := &drill{Drill: Drill{Seed: p.Seed, Doors: p.Doors, Coordinators: p.Coordinators, Binary: p.Binary, Logs: p.Logs}, ctx: ctx, held: true}
	defer d.end()
	if err := d.begin(); err != nil {
		return nil, err
	}
	doors := d.served()
	r := &RolloutResult{Kind: p.Kind, reached: map[string]bool{}}
	var err error
	if r.Cold, err = warm(ctx, d.site, doors, p.Rate); err != nil {
		return nil, err
	}
	d.begun()
	over, stop := context.WithCancel(ctx)
	defer stop()
	var looks sync.WaitGroup
	for _, door := range d.doors {
		looks.Go(func() { door.probe(over) })
	}
	enough := make(chan struct{})
	served := clientsUntil(ctx, d.site, doors, p.Rate, (rolloutMost+30)*msPerSecond, enough)
	err = p.release(d, r)
	select {
	case <-time.After(time.Duration(rolloutTail * 1e9)):
	case <-ctx.Done():
	}
	close(enough)
	outcomes, failed := served()
	stop()
	looks.Wait()
	if err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	for _, o := range outcomes {
		r.Asked, r.Finished, r.Rejected, r.Failed = r.Asked+o.Asked, r.Finished+o.Finished, r.Rejected+o.Rejected, r.Failed+o.Failed
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.MostOut, _ = mostAtOnce(d.doors)
	for _, f := range d.fails {
		r.Violations = append(r.Violations, outs.Breach{Rule: RunsOn, Text: f})
	}
	if r.Failed > 0 {
		r.Violations = append(r.Violations, outs.Breach{Rule: NoneLost, Text: fmt.Sprintf("%d of %d operations", r.Failed, r.Asked)})
	}
	r.unhurt(outcomes)
	want := map[string]string{"good": "done", "program": "done", "restart": "done", "backends": "done", "none": ""}
	should, told := want[p.Kind]
	if !told {
		should = "back"
	}
	if r.Stage != should {
		r.Violations = append(r.Violations, outs.Breach{Rule: EndsSo, Text: fmt.Sprintf("%q, not %q: %s", r.Stage, should, r.Reason)})
	}
	return r, nil
}

// unhurt holds service against the release. A door that no wave reached is as it was before and rejects nothing; one that was
// changed has just started, and what starts on a crowded machine rejects a few.
func (r *RolloutResult) unhurt(at []*load.Outcome) {
	breach := func(format string, args ...any) {
		r.Violations = append(r.Violations, outs.Breach{Rule: Unhurt, Text: fmt.Sprintf(format, args...)})
	}
	for i, o := range at {
		if o.Rejected > 0 && !r.reached[Door(i)] && r.Kind != "backends" { // whose waves reach the backends of all
			breach("%s, which no wave reached, rejected %d of %d operations", Door(i), o.Rejected, o.Asked)
		}
	}
	if r.Kind != "harmful" && float64(r.Finished) < leastServed*float64(r.Asked) {
		breach("%d of %d operations rejected", r.Rejected, r.Asked)
	}
}

// spell is a time in which a door couldn't serve, by looks alone.
type spell struct {
	name     string
	from, to float64
	status   int // of the first look that failed
}

func (e spell) String() string {
	return fmt.Sprintf("%s from %.1f to %.1f s (%d)", e.name, e.from/msPerSecond, e.to/msPerSecond, e.status)
}

// spells lists them for some doors.
func spells(doors []*party) (all []spell) {
	for _, p := range doors {
		out, is := spell{}, false
		for _, l := range p.looks {
			if bad := l.status != 200; bad && !is {
				out, is = spell{p.name, l.got, 0, l.status}, true
			} else if !bad && is {
				if out.to = l.sent; out.to > out.from {
					all = append(all, out)
				}
				is = false
			}
		}
	}
	return all
}

// mostAtOnce is how many doors couldn't serve at once at the most, and when each of those couldn't.
func mostAtOnce(doors []*party) (most int, which []spell) {
	all := spells(doors)
	for _, at := range all {
		var now []spell
		for _, e := range all {
			if e.from <= at.from && at.from < e.to {
				now = append(now, e)
			}
		}
		if len(now) > most {
			most, which = len(now), now
		}
	}
	return most, which
}

// give writes a file into all doors' folders, by its digest.
func (d *drill) give(raw []byte) (digest string, err error) {
	sum := sha256.Sum256(raw)
	digest = hex.EncodeToString(sum[:])
	for _, p := range d.doors {
		if err := os.WriteFile(filepath.Join(p.dir, digest), raw, 0o700); err != nil {
			return "", &RigError{"a file", err}
		}
	}
	return digest, nil
}

// what is released, by kind.
func (p Rollout) what(d *drill) (changes string, raw []byte, err error) {
	self := p.Binary + "-fleet"
	script := func(others string) []byte {
		return []byte("#!/bin/sh\ncase \"$GW_CONFIG\" in */door-000.json) exec " + self + " \"$@\";; esac\n" + others + "\n")
	}
	switch p.Kind {
	case "refused":
		return "configuration", []byte(`{"settings":{"profiles":[]}}`), nil
	case "harmful":
		return "configuration", []byte(`{"settings":{"tariffs":[{"name":"ample","rate":0.01,"depth":1,"pays":1}]}}`), nil
	case "program":
		return "program", []byte("#!/bin/sh\nexec " + self + " \"$@\"\n"), nil
	case "crash":
		return "program", []byte("#!/bin/sh\nexit 3\n"), nil
	case "second":
		return "program", script("exit 3"), nil
	case "later":
		return "program", []byte("#!/bin/sh\n" + self + " \"$@\" &\nworker=$!\ntrap 'kill $worker' TERM\nsleep 3\nkill -9 $worker\nexit 7\n"), nil
	}
	return "configuration", []byte(`{"pace":{"idle_client_ms":2300}}`), nil
}

// release begins the release, steers it as its kind says, and waits for its end.
func (p Rollout) release(d *drill, r *RolloutResult) error {
	if p.Kind == "none" {
		return d.sleep(20e3)
	}
	changes, raw, err := p.what(d)
	if err != nil {
		return err
	}
	digest, err := d.give(raw)
	if err != nil {
		return err
	}
	if p.Kind == "backends" {
		changes, digest = "backends", ""
	}
	plan, err := json.Marshal(map[string]any{"name": p.Kind, "changes": changes, "digest": digest,
		"waves": []map[string]any{{"count": 1, "watch_s": 5}, {"each_zone": 1, "watch_s": 0}, {"rest": true}}})
	if err != nil {
		return &RigError{"a file", err}
	}
	file := filepath.Join(d.dir, "release.json")
	if err := os.WriteFile(file, plan, 0o600); err != nil {
		return &RigError{"a file", err}
	}
	from := d.ms()
	if code := d.command("release", "start", file); code != 0 {
		return &DoorsError{[]string{fmt.Sprintf("the release did not start: exit %d", code)}}
	}
	var firstAt, decidedAt float64
	steered := false
	replaced := map[string]bool{}
	for d.ms()-from < rolloutMost*msPerSecond && d.ctx.Err() == nil {
		raw, code := d.output("release", "status", "--json")
		var all []struct {
			Stage, Says string
			Wave        int
			Parts       [][]string
		}
		if code != 0 || json.Unmarshal(raw, &all) != nil || len(all) == 0 {
			continue
		}
		now, one := d.ms(), all[len(all)-1]
		r.Stage, r.Reason = one.Stage, one.Says
		for _, part := range one.Parts[:min(one.Wave+1, len(one.Parts))] {
			for _, unit := range part {
				r.reached[unit] = true
			}
		}
		if firstAt == 0 && d.runsNew(digest) {
			firstAt = now
		}
		if decidedAt == 0 && (one.Stage == "going back" || one.Stage == "back") {
			decidedAt = now
		}
		if p.Kind == "backends" {
			d.replaceDrained(replaced)
		}
		if one.Wave == 1 && !steered {
			steered = true
			if err := p.steer(d); err != nil {
				return err
			}
		}
		if one.Stage == "done" || one.Stage == "back" {
			r.TookS = (now - from) / msPerSecond
			if decidedAt > 0 {
				r.BackS = (now - decidedAt) / msPerSecond
				if firstAt > 0 {
					r.DecidedS = (decidedAt - firstAt) / msPerSecond
					r.ExposureS = (now - firstAt) / msPerSecond / float64(len(d.doors)) // of a second's requests at all doors, for one door
				}
			}
			return nil
		}
		select {
		case <-time.After(slowestPoll):
		case <-d.ctx.Done():
		}
	}
	return nil
}

// replaceDrained replaces the backends that are said to be drained, as whatever runs them would.
func (d *drill) replaceDrained(replaced map[string]bool) {
	t := d.status()
	if t == nil {
		return
	}
	for _, p := range t.Places {
		if p.Unit.Kind == "backend" && p.Drained && !p.Over && !replaced[p.Unit.Name] {
			replaced[p.Unit.Name] = true
			d.claim(p.Unit.Name, d.ms())
			d.site.Replace(p.Unit.Name)
			d.unclaim(p.Unit.Name)
		}
	}
}

// served is where each door is asked.
func (d *drill) served() map[int]string {
	doors := map[int]string{}
	for i, p := range d.doors {
		doors[i] = p.serve
	}
	return doors
}

// wrote is what a door has written down that it runs, by what may change; nothing where it can't be read.
func (p *party) wrote() (runs map[string]string) {
	raw, err := os.ReadFile(filepath.Join(p.dir, "runs.json"))
	if err != nil || json.Unmarshal(raw, &runs) != nil {
		return nil
	}
	return runs
}

// runsNew tells whether any door has written down that it runs what a digest names.
func (d *drill) runsNew(digest string) bool {
	return slices.ContainsFunc(d.doors, func(p *party) bool {
		return slices.Contains(slices.Collect(maps.Values(p.wrote())), digest)
	})
}

// steer is what befalls the release amid its second wave.
func (p Rollout) steer(d *drill) error {
	switch p.Kind {
	case "halted":
		_ = d.sleep(d.ms() + 1500)
		d.command("release", "halt", p.Kind)
		_ = d.sleep(d.ms() + 2000)
		d.command("release", "back", p.Kind)
	case "restart":
		_ = d.sleep(d.ms() + 1000)
		for _, c := range d.coords {
			c.kill()
		}
		_ = d.sleep(d.ms() + 1000)
		for _, c := range d.coords {
			if err := c.start(); err != nil {
				return err
			}
		}
	}
	return nil
}
