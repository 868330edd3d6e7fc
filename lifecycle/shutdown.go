// Package lifecycle sets the deadlines of a front door's graceful shutdown. It does no I/O. Times are milliseconds on the
// driver's clock.
package lifecycle

// The protocol page allows a process to be killed this long after SIGTERM at the earliest: the deployment's longest deadline,
// counted as at most maxCountedDeadline, plus killGrace.
const (
	maxCountedDeadline = 3000.0 // ms
	killGrace          = 700.0  // ms
)

// Time reserved for the final answers before the kill, ms.
const (
	maxNoticeDelay = 150.0 // delay of a stalled process between the signal and its handling
	maxWriteDelay  = 150.0 // delay of a stalled process between a decision and its write
	maxWriteRetry  = 50.0  // time for which a write that fails transiently is retried
	firstReadTime  = 50.0  // time to read from the last accepted connection before the final answers
)

// Shutdown holds the deadlines of a process that shuts down. They are fixed when the signal is handled and apply to
// everything in the process.
type Shutdown struct {
	NoticedAt   float64 // time at which the signal was handled
	AcceptUntil float64 // from then on no new connection is awaited; those in the listener's backlog are still accepted
	AnswerBy    float64 // time by which every request has its final answer
	KillAt      float64 // time from which the process may be killed
}

// NewShutdown returns the deadlines of a process that handles the shutdown signal now. longestDeadline is the longest request
// deadline of the deployment; new connections are accepted for linger, as far as time allows.
func NewShutdown(now, longestDeadline, linger float64) *Shutdown {
	s := &Shutdown{NoticedAt: now, KillAt: now + min(longestDeadline, maxCountedDeadline) + killGrace}
	s.AnswerBy = s.KillAt - maxNoticeDelay - maxWriteDelay - maxWriteRetry
	s.AcceptUntil = min(now+linger, s.AnswerBy-firstReadTime)
	return s
}

// Deadline returns the earlier of at and AnswerBy. A nil Shutdown returns at.
func (s *Shutdown) Deadline(at float64) float64 {
	if s == nil {
		return at
	}
	return min(at, s.AnswerBy)
}

// Accepting reports whether new connections are still awaited.
func (s *Shutdown) Accepting(now float64) bool { return s == nil || now < s.AcceptUntil }

// Answering reports whether requests may still wait for an answer.
func (s *Shutdown) Answering(now float64) bool { return s == nil || now < s.AnswerBy }

// AnswersOverdue reports whether every request should have been answered by now, even in a process that was stalled.
func (s *Shutdown) AnswersOverdue(now float64) bool {
	return s != nil && now >= s.AnswerBy+maxWriteDelay
}

// KillDue reports whether the process may be killed by now, so that no remaining work is of use.
func (s *Shutdown) KillDue(now float64) bool { return s != nil && now >= s.KillAt }
