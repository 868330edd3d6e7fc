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

// loopback tells whether an address is on this machine.
func loopback(target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return &FlagError{Flag: "--target", Cause: err}
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return &FlagError{Flag: "--target " + target, Says: "is not on this machine; --anywhere loads it all the same"}
	}
	return nil
}

func loads() *cobra.Command {
	var r load.Run
	var k load.Knee
	var d load.DoorRequests
	var path, hist string
	var knee, anywhere bool
	cmd := &cobra.Command{Use: "load", Short: "Load a door, or any HTTP/1.1 server, open-loop: at a fixed rate, or up to its knee", Args: cobra.NoArgs,
		Long: "Operations start when they are due and each latency counts from then (no coordinated omission).\n" +
			"--knee raises the rate until the p99 is over --p99 or under --least of the operations are finished, then halves the gap.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loopback(r.Target); err != nil && !anywhere {
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
			tell, end := bar(cmd, r.Target)
			o, err := r.Execute(cmd.Context(), func(done float64) { tell(done, 1) })
			end()
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
	f.Float64Var(&r.Rate, "rate", 100, "operations a second; with --knee, where the search begins")
	f.DurationVar(&r.Duration, "for", 10*time.Second, "how long, of one step with --knee")
	f.IntVar(&r.Conns, "conns", 64, "connections at most")
	f.BoolVar(&r.Poisson, "poisson", true, "random gaps in place of even ones")
	f.DurationVar(&r.Timeout, "patience", 5*time.Second, "after which an operation has failed")
	f.Uint64Var(&r.Seed, "seed", 1, "of gaps, customers and ids")
	f.BoolVar(&knee, "knee", false, "search the highest rate that holds")
	f.DurationVar(&k.P99, "p99", 100*time.Millisecond, "that a rate must keep")
	f.Float64Var(&k.MinFinished, "least", 0.99, "share of the operations that must be finished")
	f.IntVar(&k.Steps, "steps", 5, "halvings of the gap")
	f.StringVar(&d.Class, "profile", "look", "of the operations")
	f.StringVar(&d.Plan, "plan", "basic", "of the customers")
	f.BoolVar(&d.Keyed, "tokened", false, "operations carry a mark")
	f.IntVar(&d.Customers, "customers", 100, "that the operations are dealt out to")
	f.IntVar(&d.Wait, "wait", 1000, "ms that clients wait")
	f.StringVar(&path, "path", "", "plain GET of this path in place of a door's operations")
	f.StringVar(&hist, "hist", "", "file for the latency's percentiles, ms")
	return cmd
}

func beside() *cobra.Command {
	var b stand.Beside
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
	f.StringVar(&b.Binary, "door", "", "the door's program; swifthall beside this one where empty")
	f.Float64SliceVar(&b.Rates, "rates", []float64{500, 1000, 2000, 4000}, "operations a second")
	f.DurationVar(&b.For, "for", 4*time.Second, "of one turn")
	f.IntVar(&b.Rounds, "rounds", 3, "turns of each at each rate")
	f.IntVar(&b.Conns, "conns", 64, "connections at most")
	f.DurationVar(&b.Knee.P99, "p99", 20*time.Millisecond, "that the knee must keep")
	f.Float64Var(&b.Knee.MinFinished, "least", 0.99, "share that must be finished at the knee")
	f.IntVar(&b.Knee.Steps, "steps", 5, "halvings of the gap at the knee")
	f.Float64Var(&b.Knee.Run.Rate, "from", 1000, "rate where the search for the knee begins")
	return cmd
}

func proxy() *cobra.Command {
	return &cobra.Command{Use: "proxy LISTEN BACKEND...", Hidden: true, Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return stand.ServeProxy(cmd.Context(), args[0], args[1:])
		}}
}
