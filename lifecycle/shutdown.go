// Package lifecycle decides how a front door's process ends. It does no I/O; times are milliseconds of the carrier's clock.
package lifecycle

// The protocol page lets a process be killed so long after SIGTERM at the earliest: the deployment's longest deadline, counted
// as 3 s where it is longer, plus 0.7 s.
const (
	longestCounted = 3000.0
	killAfter      = 700.0
)

// Parts of the time before the kill that answers need.
const (
	noticeMost = 150.0 // a process may be held up so long between the signal and its notice,
	writeMost  = 150.0 // and between a decision and its write
	retryMost  = 50.0  // a write that fails for a moment is tried again for so long
	firstLook  = 50.0  // a connection that was accepted last has so long before the final answers, to be read from
)

// Shutdown is the one end that everything in a process has, fixed when it is told to end.
type Shutdown struct {
	NoticedAt   float64 // clock at which the process noticed that it was told
	AcceptUntil float64 // from here on no connection is waited for; what stands in the listener's queue is taken
	AnswerBy    float64 // every request has its final answer by then
	KillAt      float64 // the process may be killed from here on
}

// NewShutdown fixes the end of a process that is told to end now, whose deployment has a longest deadline and which takes
// new connections for a while, linger, if there is time for it.
func NewShutdown(now, longestDeadline, linger float64) *Shutdown {
	s := &Shutdown{NoticedAt: now, KillAt: now + min(longestDeadline, longestCounted) + killAfter}
	s.AnswerBy = s.KillAt - noticeMost - writeMost - retryMost
	s.AcceptUntil = min(now+linger, s.AnswerBy-firstLook)
	return s
}

// Deadline bounds the time by which something has to be over. A nil Shutdown bounds nothing.
func (s *Shutdown) Deadline(at float64) float64 {
	if s == nil {
		return at
	}
	return min(at, s.AnswerBy)
}

// Accepting tells whether connections are still waited for.
func (s *Shutdown) Accepting(now float64) bool { return s == nil || now < s.AcceptUntil }

// Answering tells whether requests may still wait for an answer.
func (s *Shutdown) Answering(now float64) bool { return s == nil || now < s.AnswerBy }

// AnswersOverdue tells whether every request should have had its answer by now, also where the process was held up.
func (s *Shutdown) AnswersOverdue(now float64) bool { return s != nil && now >= s.AnswerBy+writeMost }

// KillDue tells whether nothing that is left can be of use any more.
func (s *Shutdown) KillDue(now float64) bool { return s != nil && now >= s.KillAt }
