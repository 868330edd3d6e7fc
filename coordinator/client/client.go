// Package client is the client of the coordinators' API, for doors and operators. It finds the leader by the hints of the other
// coordinators. A command whose answer was lost is sent again with the same number, and is applied only once.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
)

// Paths of a coordinator's API.
const (
	CommandPath      = "/command"
	DoorReportPath   = "/word"
	HolderReportPath = "/hold"
	StatusPath       = "/status"
	DryRunPath       = "/try"
	AuditPath        = "/audit"
	MembersPath      = "/members"

	CalendarPath = "/calendar"
)

// Hint is the answer of a coordinator that doesn't lead: the leader, as far as it knows. As the answer to a refused request it has
// only a Reason.
type Hint struct {
	Leader         string  `json:"leader"` // name; empty if unknown
	API            string  `json:"api"`
	Reason         string  `json:"says"`
	LeaderSilentMs float64 `json:"for_ms"` // since the last contact with a leader
}

// DryRun is a request to check what a drain would do, without doing it.
type DryRun struct {
	Kind permits.Kind `json:"kind"`
	Name string       `json:"name"`
}

// DryRunResult is the answer to a DryRun: the units that the drain would take out, and the error it would meet.
type DryRunResult struct {
	Units  []string       `json:"would"`
	Answer permits.Answer `json:"answer"`
}

// Member is a coordinator, as another one sees it.
type Member struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Voter    bool    `json:"voter"`
	SilentMs float64 `json:"silent_ms"` // since it last answered the leader; 0 while it answers
}

// MembershipChange adds or removes a coordinator.
type MembershipChange struct {
	Add      bool   `json:"add"`
	Name     string `json:"name"`
	Address  string `json:"address"`
	Who, Why string
}

// Unit is a door or backend in the agreed state.
type Unit struct {
	permits.UnitState
	Out   bool    `json:"out"` // counts as out in the budgets
	AgeMs float64 `json:"age_ms"`
}

// Permit is a permit in the agreed state.
type Permit struct {
	permits.Permit
	Drained bool     `json:"drained"`           // the drain is complete, see permits.State.Drained
	Waiting []string `json:"waiting,omitempty"` // doors that have not confirmed the drain of a backend
}

// Status is the agreed state, with its source.
type Status struct {
	Self    string           `json:"self"` // coordinator that sent it
	Fleet   string           `json:"fleet"`
	Leader  string           `json:"leader"`
	Current bool             `json:"current"` // from the leader, confirmed by a majority; otherwise the state may be outdated
	Hint    Hint             `json:"hint"`
	Members []Member         `json:"members"`
	Change  uint64           `json:"change"`
	Units   []Unit           `json:"units"`
	Permits []Permit         `json:"places"`
	Budgets []permits.Budget `json:"budgets"`
	Halts   []permits.Halt   `json:"halts"`

	Releases []*release.Release          `json:"releases"`
	Runs     map[string]release.Versions `json:"runs"`              // installed versions by door
	Differs  []string                    `json:"differs,omitempty"` // doors that run something else than they are to run
	Seen     map[string]string           `json:"seen"`              // last seen process of each backend
}

// DrainOf returns the drain that is in force for a unit; nil if none is.
func (st *Status) DrainOf(u *permits.Unit) *Permit {
	for i := range st.Permits {
		if p := &st.Permits[i]; p.Unit.Kind == u.Kind && p.Unit.Name == u.Name && p.Order && !p.Over {
			return p
		}
	}
	return nil
}

// CalendarQuery requests the calendar, and optionally information about an entry or a change.
type CalendarQuery struct {
	ID        uint64           `json:"id,omitempty"`     // entry whose obstacle is requested; with Change the entry that it would replace
	Change    *calendar.Change `json:"change,omitempty"` // change whose conflicts and free windows are requested
	MaxFree   int              `json:"most,omitempty"`   // maximum number of free windows
	EntryOnly bool             `json:"bare,omitempty"`   // of the calendar's thousands of entries send only this one and those it waits for
	Events    bool             `json:"events,omitempty"` // include the calendar's events
}

// CalendarAnswer is the answer to a CalendarQuery.
type CalendarAnswer struct {
	Calendar  json.RawMessage     `json:"calendar"`       // a calendar.State
	Obstacle  permits.Answer      `json:"in_the_way"`     // its Err is the first error that keeps the entry from starting; nil for none
	Conflicts []calendar.Conflict `json:"met,omitempty"`  // what blocks the change during its window
	Free      []calendar.Span     `json:"free,omitempty"` // windows in which the change could run
}

const (
	attemptTimeout = 5 * time.Second        // of one request to one coordinator; a leader waits up to 2 s for a command to be accepted
	roundInterval  = 100 * time.Millisecond // between rounds over all coordinators
	maxBody        = 16 << 20               // bytes of a response; enough for some tens of thousands of units
)

// Client sends requests to the coordinators of a fleet. Its methods may be called concurrently.
type Client struct {
	coordinators []config.NamedAddress
	http         *http.Client

	mu     sync.Mutex
	leader config.NamedAddress // the coordinator that answered last; zero if unknown
}

// New returns a client of the given coordinators.
func New(coordinators []config.NamedAddress) *Client {
	return &Client{coordinators: coordinators, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// candidates returns the coordinators in the order in which they are asked: the last known leader first.
func (c *Client) candidates() (all []config.NamedAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.Address != "" {
		all = append(all, c.leader)
	}
	for _, a := range c.coordinators {
		if a.Address != c.leader.Address {
			all = append(all, a)
		}
	}
	return all
}

// resolve returns the address of a hinted leader: the client's own address for that name if it has one, else that of the hint.
func (c *Client) resolve(h Hint) config.NamedAddress {
	for _, a := range c.coordinators {
		if a.Name == h.Leader {
			return a
		}
	}
	return config.NamedAddress{Name: h.Leader, Address: h.API}
}

// setLeader records the coordinator that is asked first.
func (c *Client) setLeader(a config.NamedAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = a
}

// AskOne sends a GET request to one coordinator, which need not lead, and decodes the answer into out.
func (c *Client) AskOne(ctx context.Context, a config.NamedAddress, path string, out any) error {
	answer, _, err := c.send(ctx, a, path, nil)
	if err != nil {
		return err
	}
	return decode(a, answer, out)
}

// decode decodes the answer of a coordinator.
func decode(a config.NamedAddress, answer []byte, out any) error {
	if err := json.Unmarshal(answer, out); err != nil {
		return &RequestError{a, "the response can't be decoded", err}
	}
	return nil
}

// send sends one request, with method GET if body is nil, and returns the body of the answer. It returns the hint of a coordinator
// that doesn't lead.
func (c *Client) send(ctx context.Context, a config.NamedAddress, path string, body []byte) (answer []byte, hint *Hint, err error) {
	ctx, stop := context.WithTimeout(ctx, attemptTimeout)
	defer stop()
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &RequestError{a, "", err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, &RequestError{a, "", err}
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, nil, &RequestError{a, "", err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return answer, nil, nil
	case http.StatusMisdirectedRequest:
		var h Hint
		if json.Unmarshal(answer, &h) != nil {
			return nil, nil, &RequestError{a, "the response can't be decoded", nil}
		}
		return nil, &h, &RequestError{a, h.Reason, nil}
	case http.StatusBadRequest:
		var h Hint
		_ = json.Unmarshal(answer, &h)
		return nil, nil, &RefusedError{a, h.Reason}
	}
	return nil, nil, &RequestError{a, resp.Status, nil}
}

// Command commits a command and returns its answer. err reports that no answer was received; an error of the command itself is in
// the answer.
func (c *Client) Command(ctx context.Context, cmd permits.Command) (a permits.Answer, err error) {
	err = c.Ask(ctx, CommandPath, cmd, &a)
	return a, err
}

// ReportDoor sends a door's report.
func (c *Client) ReportDoor(ctx context.Context, report *permits.DoorReport) (reply permits.Reply, err error) {
	err = c.Ask(ctx, DoorReportPath, report, &reply)
	return reply, err
}

// ReportHolder sends the report of the process that holds a door's listener.
func (c *Client) ReportHolder(ctx context.Context, report *permits.HolderReport) (assignment permits.Assignment, err error) {
	err = c.Ask(ctx, HolderReportPath, report, &assignment)
	return assignment, err
}
