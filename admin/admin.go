// Package admin is what a running door tells of itself: a listener on loopback, net/http and JSON, and the client of it.
// It tells, and changes one thing: what the door was ordered to do by plan is ended by hand.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/swifthall/swifthall/fleet"
)

// MembersPath tells what a door holds of its fleet.
const MembersPath = "/members"

const (
	patience = 2 * time.Second // of a question and its answer
	mostBody = 8 << 20         // bytes of an answer; some tens of thousands of members
)

// Members is what a door holds of its fleet, as JSON.
type Members struct {
	Self      string   `json:"self"`
	Fleet     string   `json:"fleet"`
	AloneMs   float64  `json:"alone_ms"`          // since any other was heard
	StoppedMs float64  `json:"stopped_ms"`        // that the process was stopped in all
	Refused   string   `json:"refused,omitempty"` // why the door is no member
	Remedy    string   `json:"remedy,omitempty"`
	Members   []Member `json:"members"`
}

// Member is one row.
type Member struct {
	Name      string  `json:"name"`
	Zone      string  `json:"zone"`
	Number    int     `json:"number"`
	Address   string  `json:"address"`
	State     string  `json:"state"`
	SinceMs   float64 `json:"since_ms"`
	SeenBy    int     `json:"seen_by"`   // observers that don't doubt it
	Observers int     `json:"observers"` // that it has
	Life      uint32  `json:"life"`
	Release   string  `json:"release"`
	TripMs    float64 `json:"round_trip_ms"`     // 0 where this door doesn't look at it
	Reached   *bool   `json:"reached,omitempty"` // by this door, where it looks at it
}

// Word words what a door holds.
func Word(v fleet.View) Members {
	m := Members{Self: v.Self, Fleet: v.Fleet, AloneMs: v.SilentMs, StoppedMs: v.PausedMs, Members: []Member{}}
	if v.NameConflict != nil {
		m.Refused, m.Remedy = v.NameConflict.Error(), v.NameConflict.Remedy()
	}
	for _, r := range v.Rows {
		row := Member{Name: r.Name, Zone: r.Zone, Number: r.Number, Address: r.Address, State: r.State.String(), SinceMs: r.Since,
			SeenBy: max(0, r.Observers-r.Suspicions), Observers: r.Observers, Life: r.Incarnation, Release: r.Release, TripMs: r.RTT}
		if r.Observed {
			reached := r.Reached
			row.Reached = &reached
		}
		m.Members = append(m.Members, row)
	}
	return m
}

// Paths of what a door does by plan.
const (
	PlanPath = "/plan"
	BackPath = "/back" // POST: it comes back, whoever can't be reached
)

// Plan is what a door was ordered to do, as JSON.
type Plan struct {
	Out      bool     `json:"out"` // aside by order
	Number   uint64   `json:"number,omitempty"`
	Who      string   `json:"who,omitempty"`
	Why      string   `json:"why,omitempty"`
	Withheld []string `json:"withheld"`
	SilentMs float64  `json:"silent_ms"` // since a coordinator answered
}

// Plans is a door's side of what the fleet agrees on.
type Plans interface {
	Plan() Plan
	Back()
}

// Handler answers questions from what view tells, and from plans where there are any.
func Handler(view func() fleet.View, plans Plans) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MembersPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Word(view()))
	})
	if plans == nil {
		return mux
	}
	tell := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(plans.Plan())
	}
	mux.HandleFunc("GET "+PlanPath, func(w http.ResponseWriter, _ *http.Request) { tell(w) })
	mux.HandleFunc("POST "+BackPath, func(w http.ResponseWriter, _ *http.Request) {
		plans.Back()
		tell(w)
	})
	return mux
}

// Serve listens at a loopback address until ctx ends.
func Serve(ctx context.Context, address string, view func() fleet.View, plans Plans) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return &ListenError{address, err}
	}
	srv := &http.Server{Handler: Handler(view, plans), ReadTimeout: patience, WriteTimeout: patience, IdleTimeout: patience}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return &ListenError{address, err}
	}
	return nil
}

// GetMembers asks a door whom it holds to be here.
func GetMembers(ctx context.Context, address string) (m Members, err error) {
	err = ask(ctx, http.MethodGet, address, MembersPath, &m)
	return m, err
}

// AskPlan asks a door what it was ordered to do.
func AskPlan(ctx context.Context, address string) (p Plan, err error) {
	err = ask(ctx, http.MethodGet, address, PlanPath, &p)
	return p, err
}

// Back has a door come back from what it was ordered to do.
func Back(ctx context.Context, address string) (p Plan, err error) {
	err = ask(ctx, http.MethodPost, address, BackPath, &p)
	return p, err
}

func ask(ctx context.Context, method, address, path string, into any) error {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return &AskError{Address: address, Cause: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &AskError{Address: address, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &AskError{Address: address, Says: resp.Status}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, mostBody)).Decode(into); err != nil {
		return &AskError{Address: address, Says: "not a door's answer", Cause: err}
	}
	return nil
}

// Print writes a table for people.
func (m Members) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "fleet %s, as %s holds it\n", m.Fleet, m.Self)
	if m.Refused != "" {
		fmt.Fprintf(t, "no member: %s\nto do: %s\n", m.Refused, m.Remedy)
	}
	if m.AloneMs > 3000 && len(m.Members) > 1 {
		fmt.Fprintf(t, "this door has heard nobody for %s\n", span(m.AloneMs))
	}
	fmt.Fprintln(t, "name\tzone\tstate\tsince\tseen by\tlife\trelease\tround trip\taddress")
	for _, r := range m.Members {
		trip := "-"
		if r.Reached != nil && !*r.Reached {
			trip = "no answer"
		} else if r.TripMs > 0 {
			trip = fmt.Sprintf("%.1f ms", r.TripMs)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\t%s\n", r.Name, r.Zone, r.State, span(r.SinceMs), r.SeenBy, r.Observers, r.Life, r.Release, trip, r.Address)
	}
}

func span(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Millisecond).String()
}
