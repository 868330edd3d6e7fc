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

// Migration plays docs/migration.md's move to another shape as a migration of the calendar, on real processes with clients at every
// door: watched at one door and then at all, switched in each zone and then everywhere, cleared up. Coordinators are killed,
// stopped and cut off meanwhile, and one of their clocks is ten minutes ahead. It judges by what doors have written down that they
// run, and by how they answer.
type Migration struct {
	Seed         uint64
	HaltAt       int // step that is halted amid its work and taken back with all before it, from 1 on; 0 for none
	Doors        int
	Coordinators int
	Binary       string
	Logs         string
	Rate         float64 // requests a second at each door
	NoFaults     bool    // nothing strikes
}

// MigrationSteps is how many it has.
const MigrationSteps = 3

// MigrationResult is what a migration came to.
type MigrationResult struct {
	HaltAt                            int
	Violations                        []outs.Breach
	Stage                             string // of the migration, at its end
	Faults                            []string
	TookS                             float64 // from its entry to its end
	BackS                             float64 // of that, from the word that sent it back
	Changes                           int     // times that a door began to run something else
	MostOut                           int
	Asked, Finished, Rejected, Failed int
	Cold                              int
}

// Rules of a migration, besides those of a rollout.
const (
	Moved   = "doors run and decide as the migration's end says"
	Stopped = "nothing changes while it is halted"
	EndsAll = "the migration ends, and leaves nothing out"
)

const (
	migrationMost = 240.0 // s in which a migration must have ended
	strikeEvery   = 5e3   // ms between strikes, about
	haltedFor     = 3e3   // ms that a halted migration is looked at
	farAhead      = "600" // s by which one coordinator's clock is ahead
)

// thin is a plan whose customers are soon beyond their quota: there the two shapes decide differently.
const thin = `{"name":"thin","rate":0.001,"depth":1,"at_once":0,"never_over_rate":0,"ceiling_burst":0,"pays":1%s}`

// How a door of either shape answers three requests of a customer whose quota holds one.
const (
	oldDecides = "200 429 429"
	newDecides = "200 200 200"
)

// shape words the tariffs of the old shape, or of the new one, in which thin earns beyond its quota.
func shape(moved bool) string {
	more := ""
	if moved {
		more = `,"beyond_earns":2,"over_cost":1`
	}
	return `[{"name":"ample","rate":1000000,"depth":1000000,"at_once":0,"never_over_rate":0,"ceiling_burst":0,"pays":1},` + fmt.Sprintf(thin, more) + `]`
}

// Run plays the migration.
func (p Migration) Run(ctx context.Context) (*MigrationResult, error) {
	if !(p.Rate > 0) || p.HaltAt < 0 || p.HaltAt > MigrationSteps {
		return nil, &NameError{fmt.Sprintf("rate %g, halt at step %d", p.Rate, p.HaltAt)}
	}
	d := &drill{Drill: Drill{Seed: p.Seed, Doors: p.Doors, Coordinators: p.Coordinators, Binary: p.Binary, Logs: p.Logs}, ctx: ctx, held: true, ahead: farAhead, tariffs: json.RawMessage(shape(false))}
	defer d.end()
	if err := d.begin(); err != nil {
		return nil, err
	}
	doors := d.served()
	r := &MigrationResult{HaltAt: p.HaltAt}
	var err error
	if r.Cold, err = warm(ctx, d.site, doors, p.Rate); err != nil {
		return nil, err
	}
	d.begun()
	before, err := d.decisions(1)
	if err != nil {
		return nil, err
	}
	over, stop := context.WithCancel(ctx)
	defer stop()
	var looks sync.WaitGroup
	defer looks.Wait()
	defer stop()
	for _, door := range d.doors {
		looks.Go(func() { door.probe(over) })
	}
	enough := make(chan struct{})
	served := clientsUntil(ctx, d.site, doors, p.Rate, (migrationMost+60)*msPerSecond, enough)
	err = p.move(d, r)
	close(enough)
	outcomes, failed := served()
	if err == nil {
		err = failed
	}
	if err != nil {
		return nil, err
	}
	stop()
	looks.Wait()
	for _, o := range outcomes {
		r.Asked, r.Finished, r.Rejected, r.Failed = r.Asked+o.Asked, r.Finished+o.Finished, r.Rejected+o.Rejected, r.Failed+o.Failed
	}
	after, err := d.decisions(2)
	if err != nil {
		return nil, err
	}
	p.judge(d, r, before, after)
	return r, nil
}

func (p Migration) judge(d *drill, r *MigrationResult, before, after []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var which []spell
	r.MostOut, which = mostAtOnce(d.doors)
	breach := func(rule, format string, args ...any) {
		r.Violations = append(r.Violations, outs.Breach{Rule: rule, Text: fmt.Sprintf(format, args...)})
	}
	for _, f := range d.fails {
		breach(RunsOn, "%s", f)
	}
	if r.Failed > 0 {
		breach(NoneLost, "%d of %d operations", r.Failed, r.Asked)
	}
	if float64(r.Finished) < leastServed*float64(r.Asked) {
		breach(Unhurt, "%d of %d operations rejected", r.Rejected, r.Asked)
	}
	if r.MostOut > mostDoorsOut {
		breach(EndsSo, "%d doors couldn't serve at once: %v", r.MostOut, which)
	}
	should := "done"
	if p.HaltAt > 0 {
		should = "withdrawn"
	}
	if r.Stage != should {
		breach(EndsAll, "%q, not %q", r.Stage, should)
	}
	wants := oldDecides
	if p.HaltAt == 0 {
		wants = newDecides
	}
	for i, door := range d.doors {
		if before[i] != oldDecides {
			breach(Moved, "%s decided %s before anything, not %s", door.name, before[i], oldDecides)
		}
		if runs := door.runs(); (runs == "") != (p.HaltAt > 0) || after[i] != wants {
			breach(Moved, "%s runs %q and decides %s, not %s", door.name, runs, after[i], wants)
		}
	}
}

// runs is what a door has written down that it runs of configurations; empty for its own file.
func (p *party) runs() string { return p.wrote()["configuration"] }

// decisions asks each door three times for a customer whose quota holds one request, and writes down how it answers.
func (d *drill) decisions(round int) (all []string, err error) {
	for i, p := range d.doors {
		word := ""
		for n := range 3 {
			answer, err := asked(p.serve, fmt.Sprintf("%016x", round<<16+i+1), fmt.Sprintf("%04x%04x%08x", round, i+1, n+1))
			if err != nil {
				return nil, &RigError{"asking " + p.name, err}
			}
			word += answer + " "
		}
		all = append(all, strings.TrimSpace(word))
	}
	return all, nil
}

// asked asks a door once, of plan thin, and words its answer: its status, and whether it says when to come back.
func asked(at, customer, id string) (string, error) {
	nc, err := net.DialTimeout("tcp", at, clientsWait)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(clientsWait)); err != nil {
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

// stood is the calendar as far as the rig reads it, by the command's own JSON.
type stood struct {
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

func (d *drill) stood() (s *stood) {
	raw, code := d.output("calendar", "--json")
	if code != 0 || json.Unmarshal(raw, &s) != nil {
		return nil
	}
	return s
}

// file words the migration, and gives all doors what its steps release.
func (p Migration) file(d *drill) (string, error) {
	watch, err := json.Marshal(d.site.Config("", "", 0, p.Doors)["settings"])
	if err != nil {
		return "", &RigError{"a file", err}
	}
	with := func(tariffs string) string {
		var s map[string]json.RawMessage
		_ = json.Unmarshal(watch, &s) // what was just written
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
		{"watch", `{"watch":` + with(shape(true)) + `}`, []wave{{"count": 1, "watch_s": 5}, {"rest": true}}},
		{"switch", `{"settings":{"tariffs":` + shape(true) + `},"watch":` + with(shape(false)) + `}`, []wave{{"each_zone": 1, "watch_s": 5}, {"rest": true}}},
		{"clear-up", `{"settings":{"tariffs":` + shape(true) + `}}`, []wave{{"rest": true}}},
	} {
		digest, err := d.give([]byte(s.raw))
		if err != nil {
			return "", err
		}
		steps = append(steps, map[string]any{"name": s.name, "kind": "migration", "from": minute(-2), "to": minute(60),
			"do": map[string]any{"release": map[string]any{"name": s.name, "changes": "configuration", "digest": digest, "waves": s.waves}}})
	}
	return d.write("migration", map[string]any{"name": "another shape", "steps": steps})
}

func minute(from int) string {
	return time.Now().UTC().Add(time.Duration(from) * time.Minute).Format("2006-01-02T15:04")
}

// move enters the migration, strikes, halts it where it is to be, and waits for its end.
func (p Migration) move(d *drill, r *MigrationResult) error {
	file, err := p.file(d)
	if err != nil {
		return err
	}
	from := d.ms()
	if code := d.command("migrate", file); code != 0 {
		return &DoorsError{[]string{fmt.Sprintf("the migration was not entered: exit %d", code)}}
	}
	quiet, stop := context.WithCancel(d.ctx)
	var strikes sync.WaitGroup
	if !p.NoFaults {
		strikes.Go(func() { r.Faults = d.strikeCoordinators(quiet) })
	}
	defer strikes.Wait()
	defer stop()
	runs := make([]string, len(d.doors))
	var backAt float64
	for halted := false; d.ms()-from < migrationMost*msPerSecond; {
		if err := d.sleep(d.ms() + 200); err != nil {
			return err
		}
		for i, door := range d.doors {
			if now := door.runs(); now != runs[i] {
				runs[i], r.Changes = now, r.Changes+1
			}
		}
		s := d.stood()
		if s == nil || len(s.Migrations) != 1 {
			continue
		}
		for _, m := range s.Migrations {
			r.Stage = m.Stage
			if m.Stage == "done" || m.Stage == "withdrawn" {
				r.TookS = (d.ms() - from) / msPerSecond
				if backAt > 0 {
					r.BackS = (d.ms() - backAt) / msPerSecond
				}
				return d.nothingOut(r)
			}
			if p.HaltAt == 0 || halted || len(m.Steps) < p.HaltAt {
				continue
			}
			step := fmt.Sprint(m.Steps[p.HaltAt-1])
			if e := s.Entries[step]; e.Stage != "running" || !slices.ContainsFunc(d.doors, func(door *party) bool { return door.runs() != "" && p.amid(d, door) }) {
				continue
			}
			if d.command("steer", "halt", step) != 0 {
				continue // asked again: its answer was lost, or it has ended meanwhile
			}
			halted = true
			if err := p.lookHalted(d, r); err != nil {
				return err
			}
			backAt = d.ms()
			for d.command("steer", "back", step) != 0 && d.ms()-from < migrationMost*msPerSecond {
				if err := d.sleep(d.ms() + 200); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// nothingOut waits until no permit stands: the last door's is free once it is seen back.
func (d *drill) nothingOut(r *MigrationResult) error {
	left := 0
	for from := d.ms(); d.ms()-from < drillBack; {
		if t := d.status(); t != nil {
			if left = len(t.Places); left == 0 {
				return nil
			}
		}
		if err := d.sleep(d.ms() + 200); err != nil {
			return err
		}
	}
	r.Violations = append(r.Violations, outs.Breach{Rule: EndsAll, At: d.ms(), Text: fmt.Sprintf("%d permits are left", left)})
	return nil
}

// amid tells whether a door runs what the step that is to be halted gives.
func (p Migration) amid(d *drill, door *party) bool {
	raw, code := d.output("release", "status", "--json")
	var all []struct{ Digest, Stage string }
	if code != 0 || json.Unmarshal(raw, &all) != nil || len(all) < p.HaltAt {
		return false
	}
	return all[p.HaltAt-1].Digest == door.runs()
}

// lookHalted looks at a halted migration for a while: doors that have begun to change may end that, and no other begins.
func (p Migration) lookHalted(d *drill, r *MigrationResult) error {
	if err := d.sleep(d.ms() + haltedFor); err != nil {
		return err
	}
	was := make([]string, len(d.doors))
	for i, door := range d.doors {
		was[i] = door.runs()
	}
	if err := d.sleep(d.ms() + haltedFor); err != nil {
		return err
	}
	for i, door := range d.doors {
		if now := door.runs(); now != was[i] {
			r.Violations = append(r.Violations, outs.Breach{Rule: Stopped, At: d.ms(), Text: fmt.Sprintf("%s runs %q, before %q", door.name, now, was[i])})
		}
	}
	return nil
}

// strikeCoordinators strikes coordinators one at a time until ctx ends, and leaves them well: whichever leads is killed, one is stopped, one is
// cut off in one direction or both.
func (d *drill) strikeCoordinators(ctx context.Context) (said []string) {
	dice := rand.New(rand.NewPCG(d.Seed, 23))
	sleep := func(ms float64) bool {
		select {
		case <-time.After(time.Duration(ms * 1e6)):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for sleep(strikeEvery * (0.5 + dice.Float64())) {
		p := d.coords[dice.IntN(len(d.coords))]
		long := 500 + 2500*dice.Float64()
		kind := dice.IntN(3)
		if kind == 0 { // whoever leads, as the rig last heard
			if raw, code := d.output("status", "--json"); code == 0 {
				var t struct{ Leader string }
				if json.Unmarshal(raw, &t) == nil {
					if i := slices.IndexFunc(d.coords, func(c *party) bool { return c.name == t.Leader }); i >= 0 {
						p = d.coords[i]
					}
				}
			}
		}
		said = append(said, fmt.Sprintf("%.1f s %s %s for %.1f s", d.ms()/msPerSecond, []string{"kill", "pause", "cut off"}[kind], p.name, long/msPerSecond))
		switch kind {
		case 0:
			p.kill()
			sleep(long)
			if err := p.start(); err != nil {
				d.fail("%s can't be started again: %v", p.name, err)
				return said
			}
		case 1:
			p.signal(syscall.SIGSTOP, false)
			sleep(long)
			p.signal(syscall.SIGCONT, false)
		case 2:
			d.cut(p.name, d.coords, d.ms()+long, dice.IntN(3))
			sleep(long)
		}
	}
	return said
}
