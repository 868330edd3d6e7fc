package permits

const (
	retryAfterMs = 700.0 // ms after which an unanswered post is sent again
	maxRetries   = 4     // retries of a post; after them its sender abandons what it posted
)

// outstanding tracks the one post that waits for an answer. Answers to earlier posts are ignored.
type outstanding struct {
	pending *Post // nil if no answer is awaited
	sentMs  float64
	retries int
}

// send records a post as the outstanding one.
func (a *outstanding) send(now float64, p Post) Post {
	a.pending, a.sentMs, a.retries = &p, now, 0
	return p
}

// complete ends the outstanding post if it has this sequence number and returns it, else nil.
func (a *outstanding) complete(seq uint64) *Post {
	w := a.pending
	if w == nil || w.Seq != seq {
		return nil
	}
	a.pending = nil
	return w
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
	return nil, abandoned, false
}
