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

// CoordinatorBenchmark measures coordinator processes on this machine: the throughput and latency of permits, and the time of
// a failover.
type CoordinatorBenchmark struct {
	Coordinators int
	Callers      int // concurrent callers, each with a unit of its own
	Seconds      float64
	Kills        int  // how many times the current leader is killed
	NoSync       bool // don't sync the log to disk
	Binary       string
	Logs         string
}

// CoordinatorBenchmarkResult holds the measurements. Times are ms.
type CoordinatorBenchmarkResult struct {
	Permits    float64   // granted per second
	P50, P99   float64   // percentiles of the time from requesting a permit to its grant
	FailoverMs []float64 // per kill of a leader: time until the first command was answered
}

const (
	maxLatencyUs   = int64(time.Minute / time.Microsecond) // longest latency that the histogram can hold
	reportInterval = 400 * time.Millisecond                // between a caller's reports that its unit is ready
)

// Measure starts the coordinators, runs the measurements and stops the coordinators again.
func (p CoordinatorBenchmark) Measure(ctx context.Context) (*CoordinatorBenchmarkResult, error) {
	d := &drill{Drill: Drill{Coordinators: p.Coordinators, Binary: p.Binary, Logs: p.Logs}, ctx: ctx}
	defer d.tearDown()
	if err := d.setUp(); err != nil {
		return nil, err
	}
	if err := d.prepareCoordinators(); err != nil {
		return nil, err
	}
	for _, c := range d.coordinators {
		if p.NoSync {
			c.args = append(c.args, "--no-sync")
		}
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	var addresses []config.NamedAddress
	for _, c := range d.coordinators {
		addresses = append(addresses, config.NamedAddress{Name: c.name, Address: c.address})
	}
	r := &CoordinatorBenchmarkResult{}
	if err := p.measurePermits(ctx, addresses, r); err != nil {
		return nil, err
	}
	for i := range p.Kills {
		if err := d.measureFailover(ctx, addresses, i, r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// measurePermits has all callers request and withdraw permits as fast as they are answered.
func (p CoordinatorBenchmark) measurePermits(ctx context.Context, addresses []config.NamedAddress, r *CoordinatorBenchmarkResult) error {
	c := client.New(addresses)
	defer c.Close()
	starting, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	command := func(ctx context.Context, c *client.Client, caller string, seq uint64, do any) (permits.Answer, error) {
		return c.Command(ctx, permits.Command{Caller: caller, Seq: seq, Do: do})
	}
	if _, err := command(starting, c, "budgets", 1, permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: 2 * p.Callers}}}); err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	var counting atomic.Bool
	latency := hdrhistogram.New(1, maxLatencyUs, 3)
	running, end := context.WithCancel(ctx)
	defer end()
	for i := range p.Callers {
		group.Go(func() {
			own := client.New(addresses)
			defer own.Close()
			caller, seq := permits.CallerName(Door(i), uint64(i+1)), uint64(0)
			unit := permits.Unit{Kind: permits.Door, Name: Door(i), Size: 1}
			nextSeq := func() uint64 { seq++; return seq }
			beginAnswer, err := command(running, own, caller, nextSeq(), permits.Begin{Unit: unit, Process: 1})
			reportedAt := time.Time{}
			for err == nil {
				if time.Since(reportedAt) > reportInterval {
					reportedAt = time.Now()
					_, err = own.ReportDoor(running, &permits.DoorReport{Caller: caller, Seq: nextSeq(), Sighting: permits.Sighting{Unit: unit, Standing: permits.Ready, Incarnation: beginAnswer.Number, Process: 1}})
					continue
				}
				requestedAt := time.Now()
				var answer permits.Answer
				if answer, err = command(running, own, caller, nextSeq(), permits.RequestPermit{Unit: unit.Name, Kind: unit.Kind, Who: "rig", Why: "pace", HoldMs: 1e4}); err != nil || answer.Err != nil {
					continue // refused: the unit hasn't been seen ready yet
				}
				tookUs := time.Since(requestedAt).Microseconds()
				if counting.Load() {
					mu.Lock()
					_ = latency.RecordValue(tookUs)
					mu.Unlock()
				}
				_, err = command(running, own, caller, nextSeq(), permits.Withdraw{Number: answer.Number})
			}
			mu.Lock()
			defer mu.Unlock()
			if running.Err() == nil && firstErr == nil {
				firstErr = err
			}
		})
	}
	wait := func(s float64) {
		select {
		case <-time.After(time.Duration(s * 1e9)):
		case <-ctx.Done():
		}
	}
	wait(2) // until all units have been seen
	counting.Store(true)
	wait(p.Seconds)
	counting.Store(false)
	end()
	group.Wait()
	if firstErr != nil {
		return firstErr
	}
	r.Permits = float64(latency.TotalCount()) / p.Seconds
	r.P50, r.P99 = float64(latency.ValueAtQuantile(50))/1e3, float64(latency.ValueAtQuantile(99))/1e3
	return nil
}

// measureFailover kills the current leader, measures the time until a command is answered again, and restarts the killed one.
func (d *drill) measureFailover(ctx context.Context, addresses []config.NamedAddress, round int, r *CoordinatorBenchmarkResult) error {
	c := client.New(addresses)
	defer c.Close()
	within, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	var st client.Status
	if err := c.Ask(within, client.StatusPath, struct{}{}, &st); err != nil {
		return err
	}
	i := slices.IndexFunc(d.coordinators, func(p *node) bool { return p.name == st.Leader })
	if i < 0 {
		return &DoorsError{[]string{"no coordinator is the leader"}}
	}
	if done := d.coordinators[i].signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
	killedAt := time.Now()
	if _, err := c.Command(within, permits.Command{Caller: fmt.Sprint("after-", round), Seq: 1, Do: permits.Note{What: "the leader was killed"}}); err != nil {
		return err
	}
	r.FailoverMs = append(r.FailoverMs, float64(time.Since(killedAt))/1e6)
	return d.coordinators[i].start()
}

// prepareCoordinators writes the coordinators' configurations and places a relay on each directed link between them.
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
		if d.coordinatorAddresses != "" {
			d.coordinatorAddresses += ","
		}
		d.coordinatorAddresses += coordinatorName(i) + "/" + api[i]
	}
	for i := range raft {
		routes := map[string]string{}
		for j := range raft {
			if i != j {
				a, err := d.addRelay(coordinatorName(i), coordinatorName(j), raft[j])
				if err != nil {
					return err
				}
				routes[coordinatorName(j)] = a
			}
		}
		c := &node{d: d, name: coordinatorName(i), dir: filepath.Join(d.dir, coordinatorName(i)), address: api[i]}
		c.diskFaultFile = c.dir + ".fault"
		file, err := d.writeConfig(c.name, map[string]any{"name": c.name, "fleet": "drill", "listen": raft[i], "api": api[i], "data": c.dir, "peers": peers, "routes": routes,
			"log": map[string]string{"format": "json", "level": "debug"}})
		if err != nil {
			return err
		}
		c.args = []string{d.Binary + "-coordinate", "coordinate", "--config", file}
		c.env = append(c.env, diskFaultSetting(c.diskFaultFile))
		d.coordinators = append(d.coordinators, c)
	}
	return nil
}
