package procs

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/permits"
)

// CoordinatorBenchmark measures coordinators as processes on this machine: permits a second, how long one takes, and how long it is until
// another leads.
type CoordinatorBenchmark struct {
	Coordinators int
	Callers      int // that ask at once; each for a unit of its own
	Seconds      float64
	Kills        int  // of whichever leads
	NoSync       bool // disks aren't waited for
	Binary       string
	Logs         string
}

// CoordinatorBenchmarkResult is what was measured. Times are ms.
type CoordinatorBenchmarkResult struct {
	Permits    float64 // a second
	P50, P99   float64
	FailoverMs []float64 // from a kill to the first command that is answered
}

const (
	paceMost  = int64(time.Minute / time.Microsecond)
	paceAgain = 400 * time.Millisecond // a caller says that its unit is ready
)

// Measure measures.
func (p CoordinatorBenchmark) Measure(ctx context.Context) (*CoordinatorBenchmarkResult, error) {
	d := &drill{Drill: Drill{Coordinators: p.Coordinators, Binary: p.Binary, Logs: p.Logs}, ctx: ctx}
	defer d.end()
	if err := d.open(); err != nil {
		return nil, err
	}
	if err := d.prepareCoordinators(); err != nil {
		return nil, err
	}
	for _, c := range d.coords {
		if p.NoSync {
			c.args = append(c.args, "--no-sync")
		}
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	var all []config.NamedAddress
	for _, c := range d.coords {
		all = append(all, config.NamedAddress{Name: c.name, Address: c.serve})
	}
	r := &CoordinatorBenchmarkResult{}
	if err := p.permits(ctx, all, r); err != nil {
		return nil, err
	}
	for i := range p.Kills {
		if err := d.kill(ctx, all, i, r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// permits has callers ask for permits and give them back, as fast as they are answered.
func (p CoordinatorBenchmark) permits(ctx context.Context, all []config.NamedAddress, r *CoordinatorBenchmarkResult) error {
	c := client.New(all)
	defer c.Close()
	starting, stop := context.WithTimeout(ctx, startMost)
	defer stop()
	give := func(ctx context.Context, c *client.Client, caller string, seq uint64, do any) (permits.Answer, error) {
		return c.Command(ctx, permits.Command{Caller: caller, Seq: seq, Do: do})
	}
	if _, err := give(starting, c, "budgets", 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: 2 * p.Callers}}}); err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	var counting atomic.Bool
	latency := hdrhistogram.New(1, paceMost, 3)
	over, end := context.WithCancel(ctx)
	defer end()
	for i := range p.Callers {
		group.Go(func() {
			own := client.New(all)
			defer own.Close()
			caller, seq := permits.CallerName(Door(i), uint64(i+1)), uint64(0)
			unit := permits.Unit{Kind: permits.Door, Name: Door(i), Size: 1}
			next := func() uint64 { seq++; return seq }
			life, err := give(over, own, caller, next(), permits.Begin{Unit: unit, Process: 1})
			said := time.Time{}
			for err == nil {
				if time.Since(said) > paceAgain {
					said = time.Now()
					_, err = own.ReportDoor(over, &permits.DoorReport{Caller: caller, Seq: next(), Sighting: permits.Sighting{Unit: unit, Standing: permits.Ready, Incarnation: life.Number, Process: 1}})
					continue
				}
				began := time.Now()
				var a permits.Answer
				if a, err = give(over, own, caller, next(), permits.RequestPermit{Unit: unit.Name, Kind: unit.Kind, Who: "rig", Why: "pace", HoldMs: 1e4}); err != nil || a.Err != nil {
					continue // not seen so far
				}
				took := time.Since(began).Microseconds()
				if counting.Load() {
					mu.Lock()
					_ = latency.RecordValue(took)
					mu.Unlock()
				}
				_, err = give(over, own, caller, next(), permits.Withdraw{Number: a.Number})
			}
			mu.Lock()
			defer mu.Unlock()
			if over.Err() == nil && first == nil {
				first = err
			}
		})
	}
	wait := func(s float64) {
		select {
		case <-time.After(time.Duration(s * 1e9)):
		case <-ctx.Done():
		}
	}
	wait(2) // all have been seen
	counting.Store(true)
	wait(p.Seconds)
	counting.Store(false)
	end()
	group.Wait()
	if first != nil {
		return first
	}
	r.Permits = float64(latency.TotalCount()) / p.Seconds
	r.P50, r.P99 = float64(latency.ValueAtQuantile(50))/1e3, float64(latency.ValueAtQuantile(99))/1e3
	return nil
}

// kill kills whichever leads, and measures until a command is answered again.
func (d *drill) kill(ctx context.Context, all []config.NamedAddress, round int, r *CoordinatorBenchmarkResult) error {
	c := client.New(all)
	defer c.Close()
	within, stop := context.WithTimeout(ctx, startMost)
	defer stop()
	var st client.Status
	if err := c.Ask(within, client.StatusPath, struct{}{}, &st); err != nil {
		return err
	}
	i := slices.IndexFunc(d.coords, func(p *party) bool { return p.name == st.Leader })
	if i < 0 {
		return &DoorsError{[]string{"no coordinator leads"}}
	}
	if done := d.coords[i].signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
	began := time.Now()
	if _, err := c.Command(within, permits.Command{Caller: fmt.Sprint("after-", round), Seq: 1, Do: permits.Note{What: "a leader was killed"}}); err != nil {
		return err
	}
	r.FailoverMs = append(r.FailoverMs, float64(time.Since(began))/1e6)
	return d.coords[i].start()
}

// prepareCoordinators writes the configurations of coordinators, and puts relays between them.
func (d *drill) prepareCoordinators() error {
	raft, api := make([]string, d.Coordinators), make([]string, d.Coordinators)
	var peers []string
	for i := range raft {
		for _, a := range []*string{&raft[i], &api[i]} {
			var err error
			if *a, err = loopback.Free(); err != nil {
				return err
			}
		}
		peers = append(peers, coordinatorName(i)+"/"+raft[i])
		if d.at != "" {
			d.at += ","
		}
		d.at += coordinatorName(i) + "/" + api[i]
	}
	for i := range raft {
		routes := map[string]string{}
		for j := range raft {
			if i != j {
				a, err := d.way(coordinatorName(i), coordinatorName(j), raft[j])
				if err != nil {
					return err
				}
				routes[coordinatorName(j)] = a
			}
		}
		c := &party{d: d, name: coordinatorName(i), dir: filepath.Join(d.dir, coordinatorName(i)), serve: api[i]}
		c.fault = c.dir + ".fault"
		file, err := d.write(c.name, map[string]any{"name": c.name, "fleet": "drill", "listen": raft[i], "api": api[i], "data": c.dir, "peers": peers, "routes": routes,
			"log": map[string]string{"format": "json", "level": "debug"}})
		if err != nil {
			return err
		}
		c.args = []string{d.Binary + "-coordinate", "coordinate", "--config", file}
		c.env = append(c.env, faultOf(c.fault))
		d.coords = append(d.coords, c)
	}
	return nil
}
