// Package admin serves the status of a running door as JSON over HTTP on a loopback address, and contains the client. The only
// change that it allows is to end an order that the door received from the coordinators.
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

// MembersPath serves a door's view of its fleet.
const MembersPath = "/members"

const (
	timeout = 2 * time.Second // of a request with its response
	maxBody = 8 << 20         // bytes of a response; enough for some tens of thousands of members
)

// Members is a door's view of its fleet.
type Members struct {
	Self      string   `json:"self"`
	Fleet     string   `json:"fleet"`
	AloneMs   float64  `json:"alone_ms"`          // time since a message from any other member
	StoppedMs float64  `json:"stopped_ms"`        // total time for which the process was suspended
	Refused   string   `json:"refused,omitempty"` // reason why the door is not a member
	Remedy    string   `json:"remedy,omitempty"`
	Members   []Member `json:"members"`
}

// Member is the state of one member.
type Member struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Number      int     `json:"number"`
	Address     string  `json:"address"`
	State       string  `json:"state"`
	SinceMs     float64 `json:"since_ms"`
	SeenBy      int     `json:"seen_by"`   // number of observers that do not suspect it
	Observers   int     `json:"observers"` // number of its observers
	Incarnation uint32  `json:"life"`
	Release     string  `json:"release"`
	RoundTripMs float64 `json:"round_trip_ms"`     // 0 if this door does not probe it
	Reached     *bool   `json:"reached,omitempty"` // whether this door has recently received an answer from it; nil if this door does not probe it
}

// NewMembers converts a door's view of its fleet.
func NewMembers(v fleet.View) Members {
	m := Members{Self: v.Self, Fleet: v.Fleet, AloneMs: v.SilentMs, StoppedMs: v.PausedMs, Members: []Member{}}
	if v.NameConflict != nil {
		m.Refused, m.Remedy = v.NameConflict.Error(), v.NameConflict.Remedy()
	}
	for _, r := range v.Rows {
		row := Member{Name: r.Name, Zone: r.Zone, Number: r.Number, Address: r.Address, State: r.State.String(), SinceMs: r.Since,
			SeenBy: max(0, r.Observers-r.Suspicions), Observers: r.Observers, Incarnation: r.Incarnation, Release: r.Release, RoundTripMs: r.RTT}
		if r.Observed {
			reached := r.Reached
			row.Reached = &reached
		}
		m.Members = append(m.Members, row)
	}
	return m
}

// Paths that concern the orders a door has received from the coordinators, such as to drain.
const (
	PlanPath = "/plan"
	BackPath = "/back" // POST: the door returns to service even if no coordinator can be reached
)

// Plan describes the orders that a door has received.
type Plan struct {
	Out      bool     `json:"out"`              // the door is out of service by order
	Number   uint64   `json:"number,omitempty"` // of its permit
	Who      string   `json:"who,omitempty"`
	Why      string   `json:"why,omitempty"`
	Withheld []string `json:"withheld"`  // backends to which the door sends nothing by order
	SilentMs float64  `json:"silent_ms"` // time since a coordinator last answered
}

// Plans gives access to the orders of a door.
type Plans interface {
	Plan() Plan
	Back()
}

// Handler serves the status. plans may be nil; then only MembersPath is served.
func Handler(view func() fleet.View, plans Plans) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MembersPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(NewMembers(view()))
	})
	if plans == nil {
		return mux
	}
	writePlan := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(plans.Plan())
	}
	mux.HandleFunc("GET "+PlanPath, func(w http.ResponseWriter, _ *http.Request) { writePlan(w) })
	mux.HandleFunc("POST "+BackPath, func(w http.ResponseWriter, _ *http.Request) {
		plans.Back()
		writePlan(w)
	})
	return mux
}

// Serve serves the status on a loopback address until ctx ends.
func Serve(ctx context.Context, address string, view func() fleet.View, plans Plans) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return &ListenError{address, err}
	}
	srv := &http.Server{Handler: Handler(view, plans), ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: timeout}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return &ListenError{address, err}
	}
	return nil
}

// GetMembers queries a door for its view of the fleet.
func GetMembers(ctx context.Context, address string) (m Members, err error) {
	err = call(ctx, http.MethodGet, address, MembersPath, &m)
	return m, err
}

// GetPlan queries a door for the orders it has received.
func GetPlan(ctx context.Context, address string) (p Plan, err error) {
	err = call(ctx, http.MethodGet, address, PlanPath, &p)
	return p, err
}

// Back makes a door return to service, whatever it was ordered to do.
func Back(ctx context.Context, address string) (p Plan, err error) {
	err = call(ctx, http.MethodPost, address, BackPath, &p)
	return p, err
}

// call sends a request to a door and decodes the response into the given value.
func call(ctx context.Context, method, address, path string, into any) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return &StatusError{Address: address, Cause: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &StatusError{Address: address, Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: address, Reason: resp.Status}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(into); err != nil {
		return &StatusError{Address: address, Reason: "not the response of a door", Cause: err}
	}
	return nil
}

// Print writes the members as a table.
func (m Members) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "fleet %s, as seen by %s\n", m.Fleet, m.Self)
	if m.Refused != "" {
		fmt.Fprintf(t, "no member: %s\nto do: %s\n", m.Refused, m.Remedy)
	}
	if m.AloneMs > 3000 && len(m.Members) > 1 {
		fmt.Fprintf(t, "this door has received no message from another member for %s\n", formatDuration(m.AloneMs))
	}
	fmt.Fprintln(t, "name\tzone\tstate\tsince\tseen by\tlife\trelease\tround trip\taddress")
	for _, r := range m.Members {
		roundTrip := "-"
		if r.Reached != nil && !*r.Reached {
			roundTrip = "no answer"
		} else if r.RoundTripMs > 0 {
			roundTrip = fmt.Sprintf("%.1f ms", r.RoundTripMs)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\t%s\n", r.Name, r.Zone, r.State, formatDuration(r.SinceMs), r.SeenBy, r.Observers, r.Incarnation, r.Release, roundTrip, r.Address)
	}
}

// formatDuration formats a duration in ms, rounded to 0.1 s.
func formatDuration(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Millisecond).String()
}
