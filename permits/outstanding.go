package permits

import "slices"

const (
	retryAfterMs = 700.0 // ms after which an unanswered post is sent again
	maxRetries   = 4     // retries of a post; after them its sender abandons what it posted
	maxLate      = 4     // earlier reports whose answers are still accepted
)

// outstanding tracks the one post that waits for an answer. A report that is not answered in time is followed by the next one; its
// answer is accepted until that of a later report arrives or a command is sent, so that slow coordinators are heard as well.
type outstanding struct {
	pending *Post // nil if no answer is awaited
	late    []Post
	sentMs  float64
	retries int
}

// send records a post as the outstanding one.
func (a *outstanding) send(now float64, p Post) Post {
	if p.Do != nil { // what an earlier report was answered does not know of the command
		a.forgetLate()
	}
	a.pending, a.sentMs, a.retries = &p, now, 0
	return p
}

// forgetLate has the answers to earlier reports ignored.
func (a *outstanding) forgetLate() { a.late = nil }

// complete ends the post with this sequence number and returns it: the outstanding one, or an earlier report. It returns nil if its
// answer is not awaited.
func (a *outstanding) complete(seq uint64) *Post {
	if w := a.pending; w != nil && w.Seq == seq {
		a.pending, a.late = nil, nil
		return w
	}
	for i := range a.late {
		if w := a.late[i]; w.Seq == seq {
			a.late = slices.Clone(a.late[i+1:])
			return &w
		}
	}
	return nil
}

// poll decides about the outstanding post: send it again, abandon it, or keep waiting for its answer. Reports are never sent
// again, since the next report carries the current values.
func (a *outstanding) poll(now float64) (resend, abandoned *Post, busy bool) {
	switch {
	case a.pending == nil:
		return nil, nil, false
	case now-a.sentMs < retryAfterMs:
		return nil, nil, true
	case a.retries < maxRetries && a.pending.Do != nil:
		a.sentMs, a.retries = now, a.retries+1
		return a.pending, nil, true
	}
	abandoned, a.pending = a.pending, nil
	if abandoned.Do == nil {
		a.late = append(a.late[max(0, len(a.late)+1-maxLate):], *abandoned)
	}
	return nil, abandoned, false
}
