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

// Beside loads a door and the standard library's reverse proxy, each on one and the same core, in turns of one run.
type Beside struct {
	Binary string   // the door's program
	Proxy  []string // the proxy's program with its arguments; backends' addresses follow
	Rates  []float64
	For    time.Duration // of one turn
	Rounds int
	Conns  int
	Knee   load.Knee // its rate, latency and steps; the rest is filled in
}

// Row is what one of the two did at one rate, over all rounds.
type Row struct {
	Name    string
	Rate    float64 // asked for
	Served  float64 // finished a second
	Lost    int     // rejected or failed
	Latency *hdrhistogram.Histogram
	CPU     time.Duration // used, a thousand requests
}

const (
	besideBackends  = 4
	besideCustomers = 500
	besideWait      = 2000 // ms
)

// instant is a world in which a door has nothing to decide: ample quotas, short work.
var instant = scenario.Scenario{
	Name:    "beside",
	Fleet:   scenario.Fleet{Doors: 1, Backends: besideBackends, Zones: 1, CellSize: 1},
	Load:    scenario.Load{MostUnits: 1},
	Net:     scenario.Net{ConnectTimeoutMs: 250, IdleMs: 15e3},
	Allow:   scenario.Allow{MaxAttempts: 3, Cancel: true, Hedging: true, RetryAfter: true},
	Clients: scenario.Clients{MaxRetryAfterMs: 500},
	Rules:   scenario.Rules{ColdFrom: 0.3, ColdS: 5, FallMultiple: 4, FallMs: 1500},
	Classes: []scenario.Class{{Name: "look", ContractMs: 500, OuterMs: besideWait, Gain: 1, Semantics: "replayable", Scope: "all"}},
	Plans:   []scenario.Plan{{Name: "ample", PerS: 1e6, Depth: 1e6, Price: 1}},
}

// Run plays the rounds, and searches each one's knee. tell hears each turn as it ends.
func (b Beside) Run(ctx context.Context, tell func(name string, rate float64, o *load.Outcome)) (rows []Row, knees map[string]float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{ctx: ctx, play: &Play{Scenario: &instant, Binary: b.Binary}}
	f.over.Store(true) // no world plays: the backends here answer at once
	defer f.group.Wait()
	defer f.close()
	defer stop()
	var addrs []string
	var entries []registry.Entry
	var lines []model.Line
	for i := range besideBackends {
		ln, err := f.listen("127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })}
		f.later(func() { _ = srv.Serve(ln) })
		f.atEnd(func() { srv.Close() })
		addrs = append(addrs, ln.Addr().String())
		entries = append(entries, registry.Entry{ID: fmt.Sprintf("b-%d", i), Addr: addrs[i], Zone: "z", State: "Ready", Size: 1})
		lines = append(lines, model.Line{Backend: i})
	}
	d, err := newDoor(f, 0)
	if err != nil {
		return nil, nil, err
	}
	d.discovery.tell(true, entries, lines)
	list := registry.List{Version: d.discovery.version, Whole: true, Backends: entries}
	core, back, err := onOneCore()
	if err != nil {
		return nil, nil, err
	}
	proxyAt, proxy, err := b.start(d, list, addrs)
	back()
	if err != nil {
		return nil, nil, err
	}
	f.atEnd(func() { _ = proxy.Process.Kill(); _ = proxy.Wait() })
	targets := []struct {
		name, at string
		pid      func() int
	}{{"door", d.listen, func() int { return d.cmd.Process.Pid }}, {"reverse proxy", proxyAt, func() int { return proxy.Process.Pid }}}
	for _, t := range targets {
		if err := answers(ctx, t.at); err != nil {
			return nil, nil, &PartyError{fmt.Sprintf("%s on core %d", t.name, core), "", err}
		}
	}
	word := func(at string, seed uint64) func(int) string {
		return load.DoorRequests{Host: at, Class: "look", Plan: "ample", Customers: besideCustomers, Wait: besideWait, Seed: seed}.Format
	}
	const patience = 5 * time.Second
	for _, rate := range b.Rates {
		here := make([]Row, len(targets))
		for round := range b.Rounds {
			for i := range targets {
				t := targets[(i+round)%len(targets)] // each goes first in turn
				row := &here[(i+round)%len(targets)]
				before := cpu(t.pid())
				r := load.Run{Target: t.at, Rate: rate, Duration: b.For, Conns: b.Conns, Timeout: patience, Poisson: true, Seed: uint64(round) + 1,
					Request: word(t.at, uint64(round)+uint64(rate)<<8)}
				o, err := r.Execute(ctx, nil)
				if err != nil {
					return nil, nil, err
				}
				if row.Latency == nil {
					*row = Row{Name: t.name, Rate: rate, Latency: o.Latency}
				} else {
					row.Latency.Merge(o.Latency)
				}
				row.Served += o.Rate() / float64(b.Rounds)
				row.Lost += o.Rejected + o.Failed
				row.CPU += time.Duration(float64(cpu(t.pid())-before) * 1000 / max(1, float64(o.Asked)) / float64(b.Rounds))
				if tell != nil {
					tell(t.name, rate, o)
				}
			}
		}
		rows = append(rows, here...)
	}
	knees = map[string]float64{}
	for _, t := range targets {
		k := b.Knee
		k.Run.Target, k.Run.Conns, k.Run.Duration, k.Run.Timeout, k.Run.Poisson, k.Run.Request = t.at, b.Conns, b.For, patience, true, word(t.at, 99)
		rate, _, err := k.Find(ctx, func(s load.Step) {
			if tell != nil {
				tell(t.name, s.Rate, s.Outcome)
			}
		})
		if err != nil {
			return nil, nil, err
		}
		knees[t.name] = rate
	}
	return rows, knees, nil
}

// start starts both programs from a thread that is bound to one core, which they inherit.
func (b Beside) start(d *door, list registry.List, backends []string) (at string, proxy *exec.Cmd, err error) {
	raw, err := json.Marshal(d.config(list))
	if err != nil {
		return "", nil, &PartyError{"the door's configuration", "", err}
	}
	d.launch(raw)
	if err := d.fault.Load(); err != nil {
		return "", nil, *err
	}
	if at, err = loopback.Free(); err != nil {
		return "", nil, err
	}
	if len(b.Proxy) == 0 {
		return "", nil, &PartyError{"reverse proxy", "no program", nil}
	}
	proxy = exec.Command(b.Proxy[0], append(append(append([]string(nil), b.Proxy[1:]...), at), backends...)...)
	proxy.Env = append(os.Environ(), "GOMAXPROCS=1")
	proxy.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := proxy.Start(); err != nil {
		return "", nil, &PartyError{"reverse proxy", "", err}
	}
	return at, proxy, nil
}

// onOneCore binds the calling thread to the last core that it may use; back undoes that.
func onOneCore() (core int, back func(), err error) {
	runtime.LockOSThread()
	var had, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &had); err != nil {
		runtime.UnlockOSThread()
		return 0, nil, &PartyError{"cores", "", err}
	}
	core = -1
	for i := range len(had) * 64 {
		if had.IsSet(i) {
			core = i
		}
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		runtime.UnlockOSThread()
		return 0, nil, &PartyError{fmt.Sprintf("core %d", core), "", err}
	}
	return core, func() {
		_ = unix.SchedSetaffinity(0, &had)
		runtime.UnlockOSThread()
	}, nil
}

// answers waits until something answers at an address.
func answers(ctx context.Context, at string) error {
	client := http.Client{Timeout: dialPatience}
	for range 200 {
		resp, err := client.Get("http://" + at + "/health/ready")
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
	return &PartyError{at, "it does not answer", nil}
}

// ServeProxy is the standard library's reverse proxy over some backends, taken in turn. It ends with ctx.
func ServeProxy(ctx context.Context, at string, backends []string) error {
	var next atomic.Uint64
	var urls []*url.URL
	for _, b := range backends {
		urls = append(urls, &url.URL{Scheme: "http", Host: b})
	}
	if len(urls) == 0 {
		return &PartyError{"reverse proxy", "no backend", nil}
	}
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(urls[next.Add(1)%uint64(len(urls))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}
	srv := &http.Server{Addr: at, Handler: proxy}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return &PartyError{"reverse proxy", "", err}
	}
	return nil
}
