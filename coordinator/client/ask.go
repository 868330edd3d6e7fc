package client

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/swifthall/swifthall/config"
)

// nextAfter is how long a coordinator may take to answer until the next one is asked as well. A healthy leader answers within a few
// ms; one whose disk is slow answers later, and its request stays open.
const nextAfter = 900 * time.Millisecond

// attempt is the outcome of a request to one coordinator.
type attempt struct {
	coordinator config.NamedAddress
	answer      []byte
	hint        *Hint // of a coordinator that doesn't lead
	err         error
}

// question is a request for the leader, and the coordinators that have been asked.
type question struct {
	client    *Client
	path      string
	body      []byte
	remaining []config.NamedAddress // to be asked in this round
	hinted    map[string]bool       // names that a hint has given in this round
	open      map[string]config.NamedAddress
	outcomes  chan attempt
	failure   *NoLeaderError
}

// Ask sends a request to the leader and decodes the answer into out. It retries until the leader answers, a coordinator refuses the
// request, or ctx ends. A coordinator that has not answered for nextAfter is not given up: the next one is asked beside it, and the
// first answer counts.
func (c *Client) Ask(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	q := &question{client: c, path: path, body: body, open: map[string]config.NamedAddress{}, outcomes: make(chan attempt), failure: &NoLeaderError{Asked: c.coordinators}}
	q.beginRound()
	for {
		wait := nextAfter
		if !q.askNext(ctx) {
			if len(q.open) == 0 {
				wait = roundInterval
			}
			c.setLeader(config.NamedAddress{})
			q.beginRound()
		}
		select {
		case a := <-q.outcomes:
			delete(q.open, a.coordinator.Address)
			if a.err == nil {
				a.err = decode(a.coordinator, a.answer, out)
			}
			if a.err == nil {
				c.setLeader(a.coordinator)
				return nil
			}
			var refused *RefusedError
			if errors.As(a.err, &refused) {
				return a.err
			}
			q.failed(a)
		case <-time.After(wait):
		case <-ctx.Done():
			for _, a := range q.open {
				q.failure.record(a, nil, &RequestError{a, "no answer so far", ctx.Err()})
			}
			return q.failure
		}
	}
}

// beginRound has all coordinators asked, except those that have not answered yet.
func (q *question) beginRound() { q.remaining, q.hinted = q.client.candidates(), map[string]bool{} }

// askNext asks the next coordinator that is not being asked, and reports whether there was one.
func (q *question) askNext(ctx context.Context) bool {
	for len(q.remaining) > 0 {
		a := q.remaining[0]
		q.remaining = q.remaining[1:]
		if _, asked := q.open[a.Address]; asked {
			continue
		}
		q.open[a.Address] = a
		go func() {
			answer, hint, err := q.client.send(ctx, a, q.path, q.body)
			select {
			case q.outcomes <- attempt{a, answer, hint, err}:
			case <-ctx.Done():
			}
		}()
		return true
	}
	return false
}

// failed records a failure. A leader that it hints at is asked next.
func (q *question) failed(a attempt) {
	if h := a.hint; h != nil && h.Leader != "" && !q.hinted[h.Leader] {
		q.hinted[h.Leader] = true
		q.remaining = append([]config.NamedAddress{q.client.resolve(*h)}, q.remaining...)
	}
	q.failure.record(a.coordinator, a.hint, a.err)
}
