package permits

const (
	againFor  = 700.0 // ms after which an unanswered post is sent again
	againMost = 4     // retries of a post; after them its sender abandons what it posted
)

// outstanding tracks the one post that waits for an answer. Answers to earlier posts are ignored.
type asking struct {
	wait   *Post
	sentMs float64
	tries  int
}

// send records a post as the outstanding one.
func (a *asking) ask(now float64, p Post) Post {
	a.wait, a.sentMs, a.tries = &p, now, 0
	return p
}

// complete ends the outstanding post if it has this sequence number and returns it, else nil.
func (a *asking) over(seq uint64) *Post {
	w := a.wait
	if w == nil || w.Seq != seq {
		return nil
	}
	a.wait = nil
	return w
}

// poll decides about the outstanding post: send it again, abandon it, or keep waiting for its answer. Reports are never sent
// again, since the next report carries the current values.
func (a *asking) due(now float64) (again, lost *Post, busy bool) {
	switch {
	case a.wait == nil:
		return nil, nil, false
	case now-a.sentMs < againFor:
		return nil, nil, true
	case a.tries < againMost && a.wait.Do != nil:
		a.sentMs, a.tries = now, a.tries+1
		return a.wait, nil, true
	}
	lost, a.wait = a.wait, nil
	return nil, lost, false
}
