// Package client asks coordinators, for doors and operators: whichever leads, found by the hints of the others. A command is
// asked again with its number wherever an answer was lost, and happens once.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	CommandPath = "/command"
	WordPath    = "/word"
	HoldPath    = "/hold"
	StatusPath  = "/status"
	TryPath     = "/try"
	AuditPath   = "/audit"
	MembersPath = "/members"

	CalendarPath = "/calendar"
)

// Hint is what one that doesn't lead answers: who does, as far as it knows.
type Hint struct {
	Leader string  `json:"leader"` // name; empty where none is known
	API    string  `json:"api"`
	Says   string  `json:"says"`
	ForMs  float64 `json:"for_ms"` // since it heard a leader
}

// Asked is a drain that is only tried.
type Asked struct {
	Kind permits.Kind `json:"kind"`
	Name string       `json:"name"`
}

// Tried is what it would come to.
type Tried struct {
	Would  []string       `json:"would"`
	Answer permits.Answer `json:"answer"`
}

// Member is a coordinator, as the one that leads sees it.
type Member struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Voter    bool    `json:"voter"`
	SilentMs float64 `json:"silent_ms"` // since it answered; 0 while it does
}

// Change of the coordinators.
type Change struct {
	Add      bool   `json:"add"`
	Name     string `json:"name"`
	Address  string `json:"address"`
	Who, Why string
}

// Unit is a door or backend as coordinators know it.
type Unit struct {
	permits.UnitState
	Out   bool    `json:"out"` // counts as out
	AgeMs float64 `json:"age_ms"`
}

// Place is a permit, with those that a drain still waits for.
type Place struct {
	permits.Permit
	Drained bool     `json:"drained"`
	Waiting []string `json:"waiting,omitempty"`
}

// Status is what coordinators have agreed on.
type Status struct {
	Self    string           `json:"self"`
	Fleet   string           `json:"fleet"`
	Leader  string           `json:"leader"`
	Current bool             `json:"current"` // told by the one that leads, which a majority has confirmed
	Hint    Hint             `json:"hint"`
	Members []Member         `json:"members"`
	Change  uint64           `json:"change"`
	Units   []Unit           `json:"units"`
	Places  []Place          `json:"places"`
	Budgets []permits.Budget `json:"budgets"`
	Halts   []permits.Halt   `json:"halts"`

	Releases []*release.Release          `json:"releases"`
	Runs     map[string]release.Versions `json:"runs"` // by door
	Seen     map[string]string           `json:"seen"` // process of each backend
}

// CalendarQuestion asks for the calendar, and about an entry or a change.
type CalendarQuestion struct {
	ID     uint64           `json:"id,omitempty"`     // what is in the way of this entry; or the change's own
	Change *calendar.Change `json:"change,omitempty"` // what it would meet, and when there is room for it
	Most   int              `json:"most,omitempty"`   // free windows
	Bare   bool             `json:"bare,omitempty"`   // of the calendar, only the entry and those that it waits for: there may be thousands
	Events bool             `json:"events,omitempty"` // its history too
}

// CalendarAnswer answers it.
type CalendarAnswer struct {
	Calendar json.RawMessage     `json:"calendar"` // a calendar.State
	InTheWay permits.Answer      `json:"in_the_way"`
	Met      []calendar.Conflict `json:"met,omitempty"`
	Free     []calendar.Span     `json:"free,omitempty"`
}

const (
	attempt  = 900 * time.Millisecond // of one question to one coordinator; a leader that is well answers in some ms
	rest     = 100 * time.Millisecond // between rounds over all of them
	mostBody = 16 << 20               // bytes of an answer; some tens of thousands of units
)

// Client asks a few coordinators, named with their addresses.
type Client struct {
	all  []config.NamedAddress
	http *http.Client

	mu     sync.Mutex
	leader config.NamedAddress // that answered last, or was hinted at
}

// New returns a client.
func New(all []config.NamedAddress) *Client {
	return &Client{all: all, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}}
}

// Close ends what is idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// order lists whom to ask, the likeliest first.
func (c *Client) order() (all []config.NamedAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.Address != "" {
		all = append(all, c.leader)
	}
	for _, a := range c.all {
		if a.Address != c.leader.Address {
			all = append(all, a)
		}
	}
	return all
}

// at finds where a hinted leader is: as this client knows it, else as the hint says.
func (c *Client) at(h Hint) config.NamedAddress {
	for _, a := range c.all {
		if a.Name == h.Leader {
			return a
		}
	}
	return config.NamedAddress{Name: h.Leader, Address: h.API}
}

func (c *Client) leads(a config.NamedAddress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = a
}

// Ask asks the one that leads, until it answers or ctx ends.
func (c *Client) Ask(ctx context.Context, path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	last := &NoLeaderError{Asked: c.all}
	for {
		hinted := map[string]bool{}
		for todo := c.order(); len(todo) > 0; todo = todo[1:] {
			a := todo[0]
			h, err := c.once(ctx, a, path, raw, out)
			switch {
			case err == nil:
				c.leads(a)
				return nil
			case h != nil && h.Leader != "" && !hinted[h.Leader]:
				hinted[h.Leader] = true
				todo = append([]config.NamedAddress{a, c.at(*h)}, todo[1:]...)
			}
			var refused *RefusedError
			if errors.As(err, &refused) {
				return err
			}
			last.note(a, h, err)
			if ctx.Err() != nil {
				return last
			}
		}
		c.leads(config.NamedAddress{})
		select {
		case <-ctx.Done():
			return last
		case <-time.After(rest):
		}
	}
}

// Once asks a single coordinator, whether it leads or not.
func (c *Client) Once(ctx context.Context, a config.NamedAddress, path string, out any) error {
	_, err := c.once(ctx, a, path, nil, out)
	return err
}

func (c *Client) once(ctx context.Context, a config.NamedAddress, path string, raw []byte, out any) (*Hint, error) {
	ctx, stop := context.WithTimeout(ctx, attempt)
	defer stop()
	method := http.MethodPost
	if raw == nil {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.Address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, &AskError{a, "", err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &AskError{a, "", err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return nil, &AskError{a, "", err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(body, out); err != nil {
			return nil, &AskError{a, "not a coordinator's answer", err}
		}
		return nil, nil
	case http.StatusMisdirectedRequest:
		var h Hint
		if json.Unmarshal(body, &h) != nil {
			return nil, &AskError{a, "not a coordinator's answer", nil}
		}
		return &h, &AskError{a, h.Says, nil}
	case http.StatusBadRequest:
		var h Hint
		_ = json.Unmarshal(body, &h)
		return nil, &RefusedError{a, h.Says}
	}
	return nil, &AskError{a, resp.Status, nil}
}

// Command gives a command and returns what it came to; its error is the client's, the answer's stands in the answer.
func (c *Client) Command(ctx context.Context, cmd permits.Command) (a permits.Answer, err error) {
	err = c.Ask(ctx, CommandPath, cmd, &a)
	return a, err
}

// ReportDoor says a door's word.
func (c *Client) ReportDoor(ctx context.Context, w *permits.DoorReport) (r permits.Reply, err error) {
	err = c.Ask(ctx, WordPath, w, &r)
	return r, err
}

// ReportHolder says a holder's word.
func (c *Client) ReportHolder(ctx context.Context, h *permits.HolderReport) (g permits.Assignment, err error) {
	err = c.Ask(ctx, HoldPath, h, &g)
	return g, err
}
