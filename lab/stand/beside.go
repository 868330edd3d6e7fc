package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/lab/load"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/scenario"
)

// ProxyComparison compares a door with the standard library's reverse proxy under load. Both are bound to the same core and
// measured in turns.
type ProxyComparison struct {
	Binary string   // path of the door's program
	Proxy  []string // the proxy's program and arguments; its address and the backends' are appended
	Rates  []float64
	For    time.Duration // length of one turn
	Rounds int
	Conns  int
	Knee   load.Knee // first rate, latency limit and steps of the search; Run fills in the rest
}

// ComparisonRow is the result of one target at one rate, over all rounds.
type ComparisonRow struct {
	Name    string
	Rate    float64 // requested rate, per second
	Served  float64 // finished requests per second
	Lost    int     // rejected or failed
	Latency *hdrhistogram.Histogram
	CPU     time.Duration // CPU time per thousand requests
}

const (
	comparedBackends  = 4
	comparedCustomers = 500
	clientTimeoutMs   = 2000 // ms
)

// trivialScenario leaves a door nothing to decide: ample quotas and short work.
var trivialScenario = scenario.Scenario{
	Name:    "beside",
	Fleet:   scenario.Fleet{Doors: 1, Backends: comparedBackends, Zones: 1, CellSize: 1},
	Load:    scenario.Load{MostUnits: 1},
	Net:     scenario.Net{ConnectTimeoutMs: 250, IdleMs: 15e3},
	Allow:   scenario.Allow{MaxAttempts: 3, Cancel: true, Hedging: true, RetryAfter: true},
	Clients: scenario.Clients{MaxRetryAfterMs: 500},
	Rules:   scenario.Rules{ColdFrom: 0.3, ColdS: 5, FallMultiple: 4, FallMs: 1500},
	Classes: []scenario.Class{{Name: "look", ContractMs: 500, OuterMs: clientTimeoutMs, Gain: 1, Semantics: "replayable", Scope: "all"}},
	Plans:   []scenario.Plan{{Name: "ample", PerS: 1e6, Depth: 1e6, Price: 1}},
}

// Run measures all rounds, then searches the knee of each target: the highest rate that it sustains. report, which may be nil,
// is called after each turn.
func (b ProxyComparison) Run(ctx context.Context, report func(name string, rate float64, o *load.Outcome)) (rows []ComparisonRow, knees map[string]float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	tb := &testbed{ctx: ctx, cfg: &SocketRun{Scenario: &trivialScenario, Binary: b.Binary}}
	tb.over.Store(true) // there is no run of the model: the backends here answer at once
	defer tb.group.Wait()
	defer tb.close()
	defer stop()
	var addrs []string
	var entries []registry.Entry
	var states []model.BackendEntry
	for i := range comparedBackends {
		ln, err := tb.listen("127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })}
		tb.spawn(func() { _ = srv.Serve(ln) })
		tb.onClose(func() { srv.Close() })
		addrs = append(addrs, ln.Addr().String())
		entries = append(entries, registry.Entry{ID: fmt.Sprintf("b-%d", i), Addr: addrs[i], Zone: "z", State: "Ready", Weight: 1})
		states = append(states, model.BackendEntry{Backend: i})
	}
	d, err := newDoor(tb, 0)
	if err != nil {
		return nil, nil, err
	}
	d.discovery.publish(true, entries, states)
	list := registry.List{Version: d.discovery.version, Whole: true, Backends: entries}
	core, restore, err := pinToOneCore()
	if err != nil {
		return nil, nil, err
	}
	proxyAddr, proxy, err := b.start(d, list, addrs)
	restore()
	if err != nil {
		return nil, nil, err
	}
	tb.onClose(func() { _ = proxy.Process.Kill(); _ = proxy.Wait() })
	targets := []struct {
		name, addr string
		pid        func() int
	}{{"door", d.addr, func() int { return d.cmd.Process.Pid }}, {"reverse proxy", proxyAddr, func() int { return proxy.Process.Pid }}}
	for _, t := range targets {
		if err := waitReady(ctx, t.addr); err != nil {
			return nil, nil, &ComponentError{fmt.Sprintf("%s on core %d", t.name, core), "", err}
		}
	}
	requestsTo := func(addr string, seed uint64) func(int) string {
		return load.DoorRequests{Host: addr, Class: "look", Plan: "ample", Customers: comparedCustomers, Wait: clientTimeoutMs, Seed: seed}.Format
	}
	const timeout = 5 * time.Second
	for _, rate := range b.Rates {
		rateRows := make([]ComparisonRow, len(targets))
		for round := range b.Rounds {
			for i := range targets {
				t := targets[(i+round)%len(targets)] // the targets take turns in going first
				row := &rateRows[(i+round)%len(targets)]
				before := cpuTime(t.pid())
				r := load.Run{Target: t.addr, Rate: rate, Duration: b.For, Conns: b.Conns, Timeout: timeout, Poisson: true, Seed: uint64(round) + 1,
					Request: requestsTo(t.addr, uint64(round)+uint64(rate)<<8)}
				o, err := r.Execute(ctx, nil)
				if err != nil {
					return nil, nil, err
				}
				if row.Latency == nil {
					*row = ComparisonRow{Name: t.name, Rate: rate, Latency: o.Latency}
				} else {
					row.Latency.Merge(o.Latency)
				}
				row.Served += o.Rate() / float64(b.Rounds)
				row.Lost += o.Rejected + o.Failed
				row.CPU += time.Duration(float64(cpuTime(t.pid())-before) * 1000 / max(1, float64(o.Asked)) / float64(b.Rounds))
				if report != nil {
					report(t.name, rate, o)
				}
			}
		}
		rows = append(rows, rateRows...)
	}
	knees = map[string]float64{}
	for _, t := range targets {
		k := b.Knee
		k.Run.Target, k.Run.Conns, k.Run.Duration, k.Run.Timeout, k.Run.Poisson, k.Run.Request = t.addr, b.Conns, b.For, timeout, true, requestsTo(t.addr, 99)
		rate, _, err := k.Find(ctx, func(s load.Step) {
			if report != nil {
				report(t.name, s.Rate, s.Outcome)
			}
		})
		if err != nil {
			return nil, nil, err
		}
		knees[t.name] = rate
	}
	return rows, knees, nil
}

// start starts both programs. They inherit the CPU affinity of the calling thread.
func (b ProxyComparison) start(d *door, list registry.List, backends []string) (addr string, proxy *exec.Cmd, err error) {
	raw, err := json.Marshal(d.config(list))
	if err != nil {
		return "", nil, &ComponentError{"the door's configuration", "", err}
	}
	d.launch(raw)
	if err := d.err.Load(); err != nil {
		return "", nil, *err
	}
	if addr, err = loopback.Free(); err != nil {
		return "", nil, err
	}
	if len(b.Proxy) == 0 {
		return "", nil, &ComponentError{"reverse proxy", "no program is given", nil}
	}
	proxy = exec.Command(b.Proxy[0], append(append(append([]string(nil), b.Proxy[1:]...), addr), backends...)...)
	proxy.Env = append(os.Environ(), "GOMAXPROCS=1")
	proxy.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := proxy.Start(); err != nil {
		return "", nil, &ComponentError{"reverse proxy", "", err}
	}
	return addr, proxy, nil
}

// pinToOneCore binds the calling thread to the last core that it may use. restore undoes that.
func pinToOneCore() (core int, restore func(), err error) {
	runtime.LockOSThread()
	var allowed, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		runtime.UnlockOSThread()
		return 0, nil, &ComponentError{"cores", "", err}
	}
	core = -1
	for i := range len(allowed) * 64 {
		if allowed.IsSet(i) {
			core = i
		}
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		runtime.UnlockOSThread()
		return 0, nil, &ComponentError{fmt.Sprintf("core %d", core), "", err}
	}
	return core, func() {
		_ = unix.SchedSetaffinity(0, &allowed)
		runtime.UnlockOSThread()
	}, nil
}

// waitReady waits until the server at an address is ready.
func waitReady(ctx context.Context, addr string) error {
	client := http.Client{Timeout: dialTimeout}
	for range 200 {
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return &ComponentError{addr, "does not answer", nil}
}

// ServeProxy serves the standard library's reverse proxy, which uses the backends in turn, until ctx ends.
func ServeProxy(ctx context.Context, addr string, backends []string) error {
	var next atomic.Uint64
	var urls []*url.URL
	for _, b := range backends {
		urls = append(urls, &url.URL{Scheme: "http", Host: b})
	}
	if len(urls) == 0 {
		return &ComponentError{"reverse proxy", "no backend is given", nil}
	}
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(urls[next.Add(1)%uint64(len(urls))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}
	srv := &http.Server{Addr: addr, Handler: proxy}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return &ComponentError{"reverse proxy", "", err}
	}
	return nil
}
