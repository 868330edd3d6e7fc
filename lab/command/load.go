package command

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/lab/load"
	"github.com/swifthall/swifthall/lab/stand"
)

// checkLoopback returns an error for an address that is not on this machine.
func checkLoopback(target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return &FlagError{Flag: "--target", Cause: err}
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return &FlagError{Flag: "--target " + target, Reason: "is not on this machine; --anywhere allows it"}
	}
	return nil
}

func loadCommand() *cobra.Command {
	var r load.Run
	var k load.Knee
	var d load.DoorRequests
	var path, hist string
	var knee, anywhere bool
	cmd := &cobra.Command{Use: "load", Short: "Load a door, or any HTTP/1.1 server, open-loop: at a fixed rate, or up to its knee", Args: cobra.NoArgs,
		Long: "Operations start when they are due and each latency counts from then (no coordinated omission).\n" +
			"--knee raises the rate until the p99 exceeds --p99 or the share of finished operations falls below --least, then bisects.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkLoopback(r.Target); err != nil && !anywhere {
				return err
			}
			d.Host, d.Seed = r.Target, r.Seed
			if r.Request = d.Format; path != "" {
				r.Request = load.Get(r.Target, path)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			head := "asked/s\tfinished/s\trejected\tfailed\tp50\tp99\tp99.9\tmost\ttool late by\t"
			line := func(rate float64, o *load.Outcome) string {
				return fmt.Sprintf("%.0f\t%.0f\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t", rate, o.Rate(), o.Rejected, o.Failed, o.At(50), o.At(99), o.At(99.9),
					o.At(100), o.MaxLag.Round(time.Microsecond))
			}
			if knee {
				k.Run = r
				fmt.Fprintln(t, head)
				best, _, err := k.Find(cmd.Context(), func(s load.Step) {
					mark := ""
					if s.Holds {
						mark = "holds"
					}
					fmt.Fprintln(t, line(s.Rate, s.Outcome)+mark)
					t.Flush()
				})
				if err != nil {
					return err
				}
				if best == 0 {
					return &KneeError{r.Rate}
				}
				fmt.Fprintf(t, "knee: %.0f operations a second\n", best)
				return nil
			}
			update, finish := progressBar(cmd, r.Target)
			o, err := r.Execute(cmd.Context(), func(done float64) { update(done, 1) })
			finish()
			if err != nil {
				return err
			}
			fmt.Fprintln(t, head)
			fmt.Fprintln(t, line(r.Rate, o))
			if hist != "" {
				f, err := os.Create(hist)
				if err != nil {
					return &FlagError{Flag: "--hist", Cause: err}
				}
				defer f.Close()
				if _, err := o.Latency.PercentilesPrint(f, 5, 1000); err != nil {
					return &FlagError{Flag: "--hist", Cause: err}
				}
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&r.Target, "target", "127.0.0.1:8000", "host:port")
	f.BoolVar(&anywhere, "anywhere", false, "load a machine other than this one")
	f.Float64Var(&r.Rate, "rate", 100, "operations per second; with --knee, the first rate of the search")
	f.DurationVar(&r.Duration, "for", 10*time.Second, "duration; with --knee, of one step")
	f.IntVar(&r.Conns, "conns", 64, "maximum number of connections")
	f.BoolVar(&r.Poisson, "poisson", true, "random intervals (Poisson) instead of even ones")
	f.DurationVar(&r.Timeout, "patience", 5*time.Second, "timeout of an operation")
	f.Uint64Var(&r.Seed, "seed", 1, "seed for intervals, customers and ids")
	f.BoolVar(&knee, "knee", false, "search for the highest rate that holds")
	f.DurationVar(&k.P99, "p99", 100*time.Millisecond, "highest p99 at which a rate holds")
	f.Float64Var(&k.MinFinished, "least", 0.99, "share of the operations that must finish")
	f.IntVar(&k.Steps, "steps", 5, "bisection steps")
	f.StringVar(&d.Class, "profile", "look", "profile of the operations")
	f.StringVar(&d.Plan, "plan", "basic", "plan of the customers")
	f.BoolVar(&d.Keyed, "tokened", false, "operations carry an idempotency key")
	f.IntVar(&d.Customers, "customers", 100, "number of customers")
	f.IntVar(&d.Wait, "wait", 1000, "deadline of clients, ms")
	f.StringVar(&path, "path", "", "plain GET of this path instead of a door's operations")
	f.StringVar(&hist, "hist", "", "file for the latency percentiles, ms")
	return cmd
}

// besideCommand compares a door with the standard library's reverse proxy.
func besideCommand() *cobra.Command {
	var b stand.ProxyComparison
	cmd := &cobra.Command{Use: "beside", Short: "Load a door and the standard library's reverse proxy side by side, on one core", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return &FileError{Path: "this program", Cause: err}
			}
			if b.Binary == "" {
				b.Binary = filepath.Join(filepath.Dir(self), "swifthall")
			}
			b.Proxy = []string{self, "proxy"}
			rows, knees, err := b.Run(cmd.Context(), func(name string, rate float64, o *load.Outcome) {
				fmt.Fprintf(cmd.ErrOrStderr(), "%s at %.0f a second: p99 %v, %d of %d finished\n", name, rate, o.At(99), o.Finished, o.Asked)
			})
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			fmt.Fprintln(t, "who\tasked/s\tfinished/s\tlost\tp50, ms\tp99\tp99.9\tCPU µs an operation")
			for _, r := range rows {
				at := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
				fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%d\t%.2f\t%.2f\t%.2f\t%.0f\n", r.Name, r.Rate, r.Served, r.Lost, at(50), at(99), at(99.9),
					float64(r.CPU.Microseconds())/1000)
			}
			for _, name := range []string{"door", "reverse proxy"} {
				fmt.Fprintf(t, "%s: knee at %.0f a second (p99 within %v)\n", name, knees[name], b.Knee.P99)
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&b.Binary, "door", "", "the door's program; by default swifthall next to this program")
	f.Float64SliceVar(&b.Rates, "rates", []float64{500, 1000, 2000, 4000}, "operations per second")
	f.DurationVar(&b.For, "for", 4*time.Second, "duration of one turn")
	f.IntVar(&b.Rounds, "rounds", 3, "turns of each server at each rate")
	f.IntVar(&b.Conns, "conns", 64, "maximum number of connections")
	f.DurationVar(&b.Knee.P99, "p99", 20*time.Millisecond, "highest p99 at the knee")
	f.Float64Var(&b.Knee.MinFinished, "least", 0.99, "share of the operations that must finish at the knee")
	f.IntVar(&b.Knee.Steps, "steps", 5, "bisection steps for the knee")
	f.Float64Var(&b.Knee.Run.Rate, "from", 1000, "first rate of the knee search")
	return cmd
}

// proxyCommand is the reverse proxy that besideCommand starts as a process of its own.
func proxyCommand() *cobra.Command {
	return &cobra.Command{Use: "proxy LISTEN BACKEND...", Hidden: true, Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return stand.ServeProxy(cmd.Context(), args[0], args[1:])
		}}
}
