package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/lab/outs"
)

// Migration is a fault-injection test of the move to another shape of tariffs (docs/migration.md) as a migration of the
// calendar, on real processes with clients at every door. Its three steps watch the new shape at one door and then at all,
// switch to it in each zone and then everywhere, and clear up. In the meantime coordinators are killed, paused and cut off, and
// the wall clock of one of them is ten minutes ahead. The checks use the configuration that each door has recorded as running,
// and how each door answers.
type Migration struct {
	Seed         uint64
	HaltAt       int // step that is halted while it runs and then rolled back with all steps before it, from 1; 0 for none
	Doors        int
	Coordinators int
	Binary       string
	Logs         string
	Rate         float64 // requests per second to each door
	NoFaults     bool    // inject no faults
}

// MigrationSteps is the number of steps of the migration.
const MigrationSteps = 3

// MigrationResult is the result of a migration run.
type MigrationResult struct {
	HaltAt                            int
	Violations                        []outs.Violation
	Stage                             string // stage of the migration when the run ended
	Faults                            []string
	TookS                             float64 // from entering the migration to its end, s
	BackS                             float64 // part of TookS after the command that rolled it back, s
	Changes                           int     // how often a door changed its running configuration
	MostOut                           int
	Asked, Finished, Rejected, Failed int
	RejectedInWarmUp                  int // requests rejected before the migration, by doors that had just started
}

// Rules of a migration, besides those of a rollout.
const (
	RuleMigrationOutcome = "doors run and decide as the migration's end says"
	RuleHaltHolds        = "nothing changes while it is halted"
	RuleMigrationEnds    = "the migration ends, and leaves nothing out"
)

const (
	migrationTimeoutS = 240.0 // s after which a migration that hasn't ended has failed
	faultIntervalMs   = 5e3   // mean ms from the end of one fault to the next
	haltObservationMs = 3e3   // ms in which running changes may still end after a halt; in as many ms after that, no door may change
	clockAheadS       = "600" // s by which one coordinator's wall clock is ahead
)

// thinPlanFormat formats plan thin, whose customers exhaust their quota with one request; the two shapes then decide
// differently. Its argument is further JSON members.
const thinPlanFormat = `{"name":"thin","rate":0.001,"depth":1,"at_once":0,"never_over_rate":0,"ceiling_burst":0,"pays":1%s}`

// Statuses with which a door of the old and of the new shape answers three requests of a customer whose quota holds one.
const (
	oldStatuses = "200 429 429"
	newStatuses = "200 200 200"
)

// tariffsJSON returns the tariffs of the old shape, or of the new one, in which plan thin earns beyond its quota.
func tariffsJSON(newShape bool) string {
	earning := ""
	if newShape {
		earning = `,"beyond_earns":2,"over_cost":1`
	}
	return `[{"name":"ample","rate":1000000,"depth":1000000,"at_once":0,"never_over_rate":0,"ceiling_burst":0,"pays":1},` + fmt.Sprintf(thinPlanFormat, earning) + `]`
}

// Run runs the migration.
func (p Migration) Run(ctx context.Context) (*MigrationResult, error) {
	if !(p.Rate > 0) || p.HaltAt < 0 || p.HaltAt > MigrationSteps {
		return nil, &NameError{fmt.Sprintf("rate %g, halt at step %d", p.Rate, p.HaltAt)}
	}
	d := &drill{Drill: Drill{Seed: p.Seed, Doors: p.Doors, Coordinators: p.Coordinators, Binary: p.Binary, Logs: p.Logs}, ctx: ctx, holdListeners: true, clockAheadS: clockAheadS, tariffs: json.RawMessage(tariffsJSON(false))}
	defer d.tearDown()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	doors := d.doorAddresses()
	r := &MigrationResult{HaltAt: p.HaltAt}
	var err error
	if r.RejectedInWarmUp, err = warmUp(ctx, d.site, doors, p.Rate); err != nil {
		return nil, err
	}
	d.startClock()
	before, err := d.decisions(1)
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var probers sync.WaitGroup
	defer probers.Wait()
	defer stop()
	for _, door := range d.doors {
		probers.Go(func() { door.pollReadiness(running) })
	}
	stopClients := make(chan struct{})
	served := startClientsUntil(ctx, d.site, doors, p.Rate, (migrationTimeoutS+60)*msPerSecond, stopClients)
	err = p.runMigration(d, r)
	close(stopClients)
	outcomes, failed := served()
	if err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	stop()
	probers.Wait()
	for _, o := range outcomes {
		r.Asked, r.Finished, r.Rejected, r.Failed = r.Asked+o.Asked, r.Finished+o.Finished, r.Rejected+o.Rejected, r.Failed+o.Failed
	}
	after, err := d.decisions(2)
	if err != nil {
		return nil, err
	}
	p.verify(d, r, before, after)
	return r, nil
}

// verify adds a violation to the result for each rule that was violated. Before and after are each door's statuses as
// decisions returns them.
func (p Migration) verify(d *drill, r *MigrationResult, before, after []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var which []outage
	r.MostOut, which = maxConcurrentOutages(d.doors)
	violation := func(rule, format string, args ...any) {
		r.Violations = append(r.Violations, outs.Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
	}
	for _, f := range d.failures {
		violation(RuleNoUnexpectedExit, "%s", f)
	}
	if r.Failed > 0 {
		violation(RuleNoFailedOperation, "%d of %d operations", r.Failed, r.Asked)
	}
	if float64(r.Finished) < minFinishedShare*float64(r.Asked) {
		violation(RuleUnchangedDoorsServe, "%d of %d operations rejected", r.Rejected, r.Asked)
	}
	if r.MostOut > maxDoorsOut {
		violation(RuleReleaseOutcome, "%d doors were not ready at the same time: %v", r.MostOut, which)
	}
	wantStage := "done"
	if p.HaltAt > 0 {
		wantStage = "withdrawn"
	}
	if r.Stage != wantStage {
		violation(RuleMigrationEnds, "stage %q instead of %q", r.Stage, wantStage)
	}
	wantStatuses := oldStatuses
	if p.HaltAt == 0 {
		wantStatuses = newStatuses
	}
	for i, door := range d.doors {
		if before[i] != oldStatuses {
			violation(RuleMigrationOutcome, "%s answered %s before the migration instead of %s", door.name, before[i], oldStatuses)
		}
		if runs := door.configurationDigest(); (runs == "") != (p.HaltAt > 0) || after[i] != wantStatuses {
			violation(RuleMigrationOutcome, "%s runs %q and answers %s instead of %s", door.name, runs, after[i], wantStatuses)
		}
	}
}

// configurationDigest returns the digest of the configuration that a door has recorded as running; empty for its own file.
func (p *node) configurationDigest() string { return p.recordedReleases()["configuration"] }

// decisions sends each door three requests of a customer whose quota holds one, and returns the statuses of each door. Customers
// and requests differ by round.
func (d *drill) decisions(round int) (all []string, err error) {
	for i, p := range d.doors {
		statuses := ""
		for n := range 3 {
			answer, err := requestStatus(p.address, fmt.Sprintf("%016x", round<<16+i+1), fmt.Sprintf("%04x%04x%08x", round, i+1, n+1))
			if err != nil {
				return nil, &RigError{"a connection to " + p.name, err}
			}
			statuses += answer + " "
		}
		all = append(all, strings.TrimSpace(statuses))
	}
	return all, nil
}

// requestStatus sends a door one request of plan thin and returns the HTTP status of the answer.
func requestStatus(at, customer, id string) (string, error) {
	nc, err := net.DialTimeout("tcp", at, clientTimeout)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(nc, "GET /look?key=%s HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Tariff: thin\r\nX-Remaining: 2000m\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n", customer, at, id); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return fmt.Sprint(resp.StatusCode), err
}

// calendarState is the part of the output of calendar --json that the rig reads.
type calendarState struct {
	Entries map[string]struct {
		ID    uint64 `json:"id"`
		Stage string `json:"stage"`
		Says  string `json:"says"`
		Wave  int    `json:"wave"`
	} `json:"entries"`
	Migrations map[string]struct {
		ID    uint64   `json:"id"`
		Stage string   `json:"stage"`
		Says  string   `json:"says"`
		Steps []uint64 `json:"steps"`
	} `json:"migrations"`
}

// calendar returns the state of the calendar; nil if the coordinators didn't answer.
func (d *drill) calendar() (s *calendarState) {
	raw, code := d.commandOutput("calendar", "--json")
	if code != 0 || json.Unmarshal(raw, &s) != nil {
		return nil
	}
	return s
}

// writeMigration writes the migration's file, distributes the configurations of its steps to all doors, and returns the file's
// path.
func (p Migration) writeMigration(d *drill) (string, error) {
	watch, err := json.Marshal(d.site.Config("", "", 0, p.Doors)["settings"])
	if err != nil {
		return "", &RigError{"a file", err}
	}
	settingsWith := func(tariffs string) string {
		var s map[string]json.RawMessage
		_ = json.Unmarshal(watch, &s) // can't fail: it was encoded above
		s["tariffs"] = json.RawMessage(tariffs)
		raw, _ := json.Marshal(s)
		return string(raw)
	}
	type wave = map[string]any
	var steps []any
	for _, s := range []struct {
		name, raw string
		waves     []wave
	}{
		{"watch", `{"watch":` + settingsWith(tariffsJSON(true)) + `}`, []wave{{"count": 1, "watch_s": 5}, {"rest": true}}},
		{"switch", `{"settings":{"tariffs":` + tariffsJSON(true) + `},"watch":` + settingsWith(tariffsJSON(false)) + `}`, []wave{{"each_zone": 1, "watch_s": 5}, {"rest": true}}},
		{"clear-up", `{"settings":{"tariffs":` + tariffsJSON(true) + `}}`, []wave{{"rest": true}}},
	} {
		digest, err := d.distribute([]byte(s.raw))
		if err != nil {
			return "", err
		}
		steps = append(steps, map[string]any{"name": s.name, "kind": "migration", "from": minutesFromNow(-2), "to": minutesFromNow(60),
			"do": map[string]any{"release": map[string]any{"name": s.name, "changes": "configuration", "digest": digest, "waves": s.waves}}})
	}
	return d.writeConfig("migration", map[string]any{"name": "another shape", "steps": steps})
}

// minutesFromNow returns a time in UTC, as the calendar reads it.
func minutesFromNow(from int) string {
	return time.Now().UTC().Add(time.Duration(from) * time.Minute).Format("2006-01-02T15:04")
}

// runMigration enters the migration, injects faults, halts and rolls back the migration if HaltAt is set, and waits for its end.
func (p Migration) runMigration(d *drill, r *MigrationResult) error {
	file, err := p.writeMigration(d)
	if err != nil {
		return err
	}
	from := d.ms()
	if code := d.command("migrate", file); code != 0 {
		return &DoorsError{[]string{fmt.Sprintf("the migration was not accepted: exit code %d", code)}}
	}
	faultCtx, stop := context.WithCancel(d.ctx)
	var injector sync.WaitGroup
	if !p.NoFaults {
		injector.Go(func() { r.Faults = d.injectCoordinatorFaults(faultCtx) })
	}
	defer injector.Wait()
	defer stop()
	running := make([]string, len(d.doors))
	var rolledBackAt float64
	for halted := false; d.ms()-from < migrationTimeoutS*msPerSecond; {
		if err := d.sleep(d.ms() + 200); err != nil {
			return err
		}
		for i, door := range d.doors {
			if now := door.configurationDigest(); now != running[i] {
				running[i], r.Changes = now, r.Changes+1
			}
		}
		s := d.calendar()
		if s == nil || len(s.Migrations) != 1 {
			continue
		}
		for _, m := range s.Migrations {
			r.Stage = m.Stage
			if m.Stage == "done" || m.Stage == "withdrawn" {
				r.TookS = (d.ms() - from) / msPerSecond
				if rolledBackAt > 0 {
					r.BackS = (d.ms() - rolledBackAt) / msPerSecond
				}
				return d.awaitNoPermits(r)
			}
			if p.HaltAt == 0 || halted || len(m.Steps) < p.HaltAt {
				continue
			}
			step := fmt.Sprint(m.Steps[p.HaltAt-1])
			if e := s.Entries[step]; e.Stage != "running" || !slices.ContainsFunc(d.doors, func(door *node) bool { return door.configurationDigest() != "" && p.runsHaltedStep(d, door) }) {
				continue
			}
			if d.command("steer", "halt", step) != 0 {
				continue // retried: the answer was lost, or the step has ended in the meantime
			}
			halted = true
			if err := p.observeHalt(d, r); err != nil {
				return err
			}
			rolledBackAt = d.ms()
			for d.command("steer", "back", step) != 0 && d.ms()-from < migrationTimeoutS*msPerSecond {
				if err := d.sleep(d.ms() + 200); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// awaitNoPermits waits until no permit is held: the last one is released when its door is seen back in service.
func (d *drill) awaitNoPermits(r *MigrationResult) error {
	left := 0
	for from := d.ms(); d.ms()-from < recoveryTimeoutMs; {
		if t := d.status(); t != nil {
			if left = len(t.Places); left == 0 {
				return nil
			}
		}
		if err := d.sleep(d.ms() + 200); err != nil {
			return err
		}
	}
	r.Violations = append(r.Violations, outs.Violation{Rule: RuleMigrationEnds, At: d.ms(), Text: fmt.Sprintf("%d permits are still held", left)})
	return nil
}

// runsHaltedStep reports whether a door runs the configuration that the step to be halted releases.
func (p Migration) runsHaltedStep(d *drill, door *node) bool {
	raw, code := d.commandOutput("release", "status", "--json")
	var all []struct{ Digest, Stage string }
	if code != 0 || json.Unmarshal(raw, &all) != nil || len(all) < p.HaltAt {
		return false
	}
	return all[p.HaltAt-1].Digest == door.configurationDigest()
}

// observeHalt waits for doors to finish changes that had begun before the halt, and then checks that no further door changes.
func (p Migration) observeHalt(d *drill, r *MigrationResult) error {
	if err := d.sleep(d.ms() + haltObservationMs); err != nil {
		return err
	}
	before := make([]string, len(d.doors))
	for i, door := range d.doors {
		before[i] = door.configurationDigest()
	}
	if err := d.sleep(d.ms() + haltObservationMs); err != nil {
		return err
	}
	for i, door := range d.doors {
		if now := door.configurationDigest(); now != before[i] {
			r.Violations = append(r.Violations, outs.Violation{Rule: RuleHaltHolds, At: d.ms(), Text: fmt.Sprintf("%s runs %q, before it was %q", door.name, now, before[i])})
		}
	}
	return nil
}

// injectCoordinatorFaults injects one fault after the other into the coordinators until ctx ends: it kills the leader, pauses
// one of them, or cuts one off in one direction or both. Killed and paused ones run again when it returns, while a cut
// lasts for its full time. It returns the faults' descriptions.
func (d *drill) injectCoordinatorFaults(ctx context.Context) (injected []string) {
	rng := rand.New(rand.NewPCG(d.Seed, 23))
	sleep := func(ms float64) bool {
		select {
		case <-time.After(time.Duration(ms * 1e6)):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for sleep(faultIntervalMs * (0.5 + rng.Float64())) {
		p := d.coordinators[rng.IntN(len(d.coordinators))]
		durationMs := 500 + 2500*rng.Float64()
		kind := rng.IntN(3)
		if kind == 0 { // the current leader, if the coordinators answer
			if raw, code := d.commandOutput("status", "--json"); code == 0 {
				var t struct{ Leader string }
				if json.Unmarshal(raw, &t) == nil {
					if i := slices.IndexFunc(d.coordinators, func(c *node) bool { return c.name == t.Leader }); i >= 0 {
						p = d.coordinators[i]
					}
				}
			}
		}
		injected = append(injected, fmt.Sprintf("%.1f s %s %s for %.1f s", d.ms()/msPerSecond, []string{"kill", "pause", "cut off"}[kind], p.name, durationMs/msPerSecond))
		switch kind {
		case 0:
			p.kill()
			sleep(durationMs)
			if err := p.start(); err != nil {
				d.fail("%s can't be restarted: %v", p.name, err)
				return injected
			}
		case 1:
			p.signal(syscall.SIGSTOP, false)
			sleep(durationMs)
			p.signal(syscall.SIGCONT, false)
		case 2:
			d.cutLinks(p.name, d.coordinators, d.ms()+durationMs, rng.IntN(3))
			sleep(durationMs)
		}
	}
	return injected
}
