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

// Rollout is a test of one release on real processes: coordinators, doors with a releases directory, stand-in backends, and
// clients that send requests to every door throughout.
type Rollout struct {
	Seed         uint64
	Kind         string // a key of RolloutKinds
	Doors        int
	Coordinators int
	Binary       string
	Logs         string
	Rate         float64 // requests per second to each door
}

// RolloutKinds describes each kind of release.
var RolloutKinds = map[string]string{
	"none":     "no release, as the baseline",
	"good":     "a harmless configuration reaches all doors",
	"program":  "the same program under another digest reaches all doors",
	"refused":  "a configuration with an invalid key: the first door refuses it",
	"crash":    "a program that exits at once: the release fails at the first door",
	"second":   "a program that exits at once at all doors but the first: the release fails in the second wave",
	"later":    "a program that serves for 3 s and then exits",
	"harmful":  "a configuration that rejects most requests",
	"halted":   "a harmless configuration that an operator halts during the second wave and rolls back",
	"backends": "all backends are drained, replaced and undrained, one at a time",
	"restart":  "a harmless configuration; all coordinators are killed during the second wave and restarted",
}

// RolloutResult is the result of a rollout.
type RolloutResult struct {
	Kind                              string
	Violations                        []outs.Violation
	Stage                             string  // last seen stage of the release
	Reason                            string  // its reason, as the coordinators report it
	TookS                             float64 // from the start to the end of the release
	DecidedS                          float64 // from the first door's change to the decision to roll back
	BackS                             float64 // from that decision to the end of the rollback
	MostOut                           int     // largest number of doors that were not ready at the same time
	ExposureS                         float64 // exposure to a bad release: s from the first door's change to the end of the rollback, divided by the doors
	Asked, Finished, Rejected, Failed int     // requests since the start of the release
	RejectedInWarmUp                  int     // requests rejected before it, by doors that had just started

	reachedUnits map[string]bool // units of the waves that have begun
}

// Rules of a rollout.
const (
	RuleNoFailedOperation   = "every operation gets its one final answer, and no connection is refused"
	RuleReleaseOutcome      = "the release ends as it should"
	RuleUnchangedDoorsServe = "doors that were not changed serve on"
)

const (
	rolloutTimeoutS    = 120.0                  // s after which a release that hasn't ended has failed
	clientTailS        = 3.0                    // s for which clients continue after the release
	statusPollInterval = 200 * time.Millisecond // between polls of the release's status
)

// Run runs the rollout.
func (p Rollout) Run(ctx context.Context) (*RolloutResult, error) {
	if RolloutKinds[p.Kind] == "" {
		return nil, &NameError{p.Kind}
	}
	if !(p.Rate > 0) {
		return nil, &load.RunError{Parameter: fmt.Sprintf("rate %g", p.Rate), Reason: "must be above 0"}
	}
	d := &drill{Drill: Drill{Seed: p.Seed, Doors: p.Doors, Coordinators: p.Coordinators, Binary: p.Binary, Logs: p.Logs}, ctx: ctx, holdListeners: true}
	defer d.tearDown()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	doors := d.doorAddresses()
	r := &RolloutResult{Kind: p.Kind, reachedUnits: map[string]bool{}}
	var err error
	if r.RejectedInWarmUp, err = warmUp(ctx, d.site, doors, p.Rate); err != nil {
		return nil, err
	}
	d.startClock()
	running, stop := context.WithCancel(ctx)
	defer stop()
	var probers sync.WaitGroup
	for _, door := range d.doors {
		probers.Go(func() { door.pollReadiness(running) })
	}
	stopClients := make(chan struct{})
	served := startClientsUntil(ctx, d.site, doors, p.Rate, (rolloutTimeoutS+30)*msPerSecond, stopClients)
	err = p.runRelease(d, r)
	select {
	case <-time.After(time.Duration(clientTailS * 1e9)):
	case <-ctx.Done():
	}
	close(stopClients)
	outcomes, failed := served()
	stop()
	probers.Wait()
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
	r.MostOut, _ = maxConcurrentOutages(d.doors)
	for _, f := range d.failures {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleNoUnexpectedExit, Text: f})
	}
	if r.Failed > 0 {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleNoFailedOperation, Text: fmt.Sprintf("%d of %d operations", r.Failed, r.Asked)})
	}
	r.checkRejections(outcomes)
	wantStages := map[string]string{"good": "done", "program": "done", "restart": "done", "backends": "done", "none": ""}
	wantStage, known := wantStages[p.Kind]
	if !known {
		wantStage = "back"
	}
	if r.Stage != wantStage {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleReleaseOutcome, Text: fmt.Sprintf("stage %q instead of %q: %s", r.Stage, wantStage, r.Reason)})
	}
	return r, nil
}

// checkRejections checks that the release did not impair service where it should not. A door that no wave reached must reject
// nothing. A changed door has just started, and on a busy machine a starting door rejects a few requests, so that only the share
// of all requests is checked.
func (r *RolloutResult) checkRejections(outcomes []*load.Outcome) {
	violation := func(format string, args ...any) {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleUnchangedDoorsServe, Text: fmt.Sprintf(format, args...)})
	}
	for i, o := range outcomes {
		if o.Rejected > 0 && !r.reachedUnits[Door(i)] && r.Kind != "backends" { // its waves reach the backends of all doors
			violation("%s, which no wave has reached, rejected %d of %d operations", Door(i), o.Rejected, o.Asked)
		}
	}
	if r.Kind != "harmful" && float64(r.Finished) < minFinishedShare*float64(r.Asked) {
		violation("%d of %d operations rejected", r.Rejected, r.Asked)
	}
}

// outage is an interval during which a door was not ready, as seen by its probes alone.
type outage struct {
	name     string
	from, to float64
	status   int // of the first failed probe
}

func (e outage) String() string {
	return fmt.Sprintf("%s from %.1f to %.1f s (%d)", e.name, e.from/msPerSecond, e.to/msPerSecond, e.status)
}

// probedOutages lists the outages of some doors that have ended.
func probedOutages(doors []*node) (all []outage) {
	for _, p := range doors {
		current, open := outage{}, false
		for _, l := range p.probes {
			if failed := l.status != 200; failed && !open {
				current, open = outage{p.name, l.receivedAt, 0, l.status}, true
			} else if !failed && open {
				if current.to = l.sentAt; current.to > current.from {
					all = append(all, current)
				}
				open = false
			}
		}
	}
	return all
}

// maxConcurrentOutages returns the largest number of doors that were not ready at the same time, and their outages.
func maxConcurrentOutages(doors []*node) (most int, which []outage) {
	all := probedOutages(doors)
	for _, at := range all {
		var now []outage
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

// distribute writes a file into every door's releases directory, under its digest.
func (d *drill) distribute(content []byte) (digest string, err error) {
	sum := sha256.Sum256(content)
	digest = hex.EncodeToString(sum[:])
	for _, p := range d.doors {
		if err := os.WriteFile(filepath.Join(p.dir, digest), content, 0o700); err != nil {
			return "", &RigError{"a file", err}
		}
	}
	return digest, nil
}

// payload returns what the release changes, and the file that it distributes.
func (p Rollout) payload(d *drill) (changes string, raw []byte, err error) {
	program := p.Binary + "-fleet"
	script := func(elsewhere string) []byte {
		return []byte("#!/bin/sh\ncase \"$GW_CONFIG\" in */door-000.json) exec " + program + " \"$@\";; esac\n" + elsewhere + "\n")
	}
	switch p.Kind {
	case "refused":
		return "configuration", []byte(`{"settings":{"profiles":[]}}`), nil
	case "harmful":
		return "configuration", []byte(`{"settings":{"tariffs":[{"name":"ample","rate":0.01,"depth":1,"pays":1}]}}`), nil
	case "program":
		return "program", []byte("#!/bin/sh\nexec " + program + " \"$@\"\n"), nil
	case "crash":
		return "program", []byte("#!/bin/sh\nexit 3\n"), nil
	case "second":
		return "program", script("exit 3"), nil
	case "later":
		return "program", []byte("#!/bin/sh\n" + program + " \"$@\" &\nworker=$!\ntrap 'kill $worker' TERM\nsleep 3\nkill -9 $worker\nexit 7\n"), nil
	}
	return "configuration", []byte(`{"pace":{"idle_client_ms":2300}}`), nil
}

// runRelease starts the release, intervenes as its kind requires, and waits for its end.
func (p Rollout) runRelease(d *drill, r *RolloutResult) error {
	if p.Kind == "none" {
		return d.sleep(20e3)
	}
	changes, raw, err := p.payload(d)
	if err != nil {
		return err
	}
	digest, err := d.distribute(raw)
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
		return &DoorsError{[]string{fmt.Sprintf("the release was not accepted: exit code %d", code)}}
	}
	var firstAt, decidedAt float64
	intervened := false
	replaced := map[string]bool{}
	for d.ms()-from < rolloutTimeoutS*msPerSecond && d.ctx.Err() == nil {
		raw, code := d.commandOutput("release", "status", "--json")
		var all []struct {
			Stage, Says string
			Wave        int
			Parts       [][]string
		}
		if code != 0 || json.Unmarshal(raw, &all) != nil || len(all) == 0 {
			continue
		}
		now, release := d.ms(), all[len(all)-1]
		r.Stage, r.Reason = release.Stage, release.Says
		for _, part := range release.Parts[:min(release.Wave+1, len(release.Parts))] {
			for _, unit := range part {
				r.reachedUnits[unit] = true
			}
		}
		if firstAt == 0 && d.anyDoorRuns(digest) {
			firstAt = now
		}
		if decidedAt == 0 && (release.Stage == "going back" || release.Stage == "back") {
			decidedAt = now
		}
		if p.Kind == "backends" {
			d.replaceDrained(replaced)
		}
		if release.Wave == 1 && !intervened {
			intervened = true
			if err := p.intervene(d); err != nil {
				return err
			}
		}
		if release.Stage == "done" || release.Stage == "back" {
			r.TookS = (now - from) / msPerSecond
			if decidedAt > 0 {
				r.BackS = (now - decidedAt) / msPerSecond
				if firstAt > 0 {
					r.DecidedS = (decidedAt - firstAt) / msPerSecond
					r.ExposureS = (now - firstAt) / msPerSecond / float64(len(d.doors)) // seconds of all doors' requests that a single door receives in that time
				}
			}
			return nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-d.ctx.Done():
		}
	}
	return nil
}

// replaceDrained replaces the backends that are reported as drained, as their process manager would.
func (d *drill) replaceDrained(replaced map[string]bool) {
	t := d.status()
	if t == nil {
		return
	}
	for _, p := range t.Places {
		if p.Unit.Kind == "backend" && p.Drained && !p.Over && !replaced[p.Unit.Name] {
			replaced[p.Unit.Name] = true
			d.recordDrained(p.Unit.Name, d.ms())
			d.site.Replace(p.Unit.Name)
			d.endDrained(p.Unit.Name)
		}
	}
}

// doorAddresses returns the address on which each door accepts requests, by number.
func (d *drill) doorAddresses() map[int]string {
	doors := map[int]string{}
	for i, p := range d.doors {
		doors[i] = p.address
	}
	return doors
}

// recordedReleases returns the digests that a door has recorded as running, by what a release can change (configuration or
// program); nil if its record can't be read.
func (p *node) recordedReleases() (runs map[string]string) {
	raw, err := os.ReadFile(filepath.Join(p.dir, "runs.json"))
	if err != nil || json.Unmarshal(raw, &runs) != nil {
		return nil
	}
	return runs
}

// anyDoorRuns reports whether any door has recorded that it runs the file with a digest.
func (d *drill) anyDoorRuns(digest string) bool {
	return slices.ContainsFunc(d.doors, func(p *node) bool {
		return slices.Contains(slices.Collect(maps.Values(p.recordedReleases())), digest)
	})
}

// intervene halts and rolls back the release, or kills and restarts the coordinators, if the kind of rollout requires it.
func (p Rollout) intervene(d *drill) error {
	switch p.Kind {
	case "halted":
		_ = d.sleep(d.ms() + 1500)
		d.command("release", "halt", p.Kind)
		_ = d.sleep(d.ms() + 2000)
		d.command("release", "back", p.Kind)
	case "restart":
		_ = d.sleep(d.ms() + 1000)
		for _, c := range d.coordinators {
			c.kill()
		}
		_ = d.sleep(d.ms() + 1000)
		for _, c := range d.coordinators {
			if err := c.start(); err != nil {
				return err
			}
		}
	}
	return nil
}
