package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is an invariant that the history of every run must satisfy.
type Rule string

// The rules.
const (
	RuleLost      Rule = "lost"       // a request that a door accepted has no answer in time
	RuleGone      Rule = "gone"       // an attempt began after the client had closed its connection
	RuleDuplicate Rule = "duplicate"  // a request ran more often than its semantics allow
	RuleDeadline  Rule = "deadline"   // a backend was given more time than the client had left
	RuleDrain     Rule = "drain"      // an attempt went to a backend after the door was notified that it drains
	RuleCrash     Rule = "crash"      // a process exited without a signal, or with an error
	RuleReady     Rule = "ready"      // too many processes did not become ready in time
	RuleInvariant Rule = "invariant"  // a process reported a violation of one of its own invariants
	RuleMemory    Rule = "memory"     // a process had more resident memory than its settings give it
	RuleWrongBody Rule = "wrong body" // a client received an answer that no backend sent for its request
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Subject string // request, door or process
	Detail  string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Limits of the rules, from the protocol page and the terms in force.
const (
	timingSlack        = 50 * time.Millisecond  // added to every time limit, for sockets and scheduling
	answerGrace        = 500 * time.Millisecond // after the deadline of a request, within which an answer still counts
	closeGrace         = 100 * time.Millisecond // after a client's close, within which an attempt may still begin
	deadlineSlack      = 150 * time.Millisecond // by which the remaining time that a backend is given may be too long
	maxDoorDelay       = 150 * time.Millisecond // by which a front door may be delayed between reading its clock and a write
	maxReadyTime       = 10 * time.Second       // for at least nine in ten processes
	maxNotifyTime      = 6 * time.Second        // within which a door must have learned of a change; not checked so far
	stallBefore        = 500 * time.Millisecond // before an instant, within which a stall affects what is measured then
	stallAfter         = 200 * time.Millisecond // after an instant, likewise
	maxCountedDeadline = 3 * time.Second        // upper limit of the longest deadline in EarliestKill
	killGrace          = 700 * time.Millisecond // after SIGTERM and the longest deadline, before a process may be killed
)

// EarliestKill returns how long after SIGTERM the protocol page allows a process to be killed, for the longest deadline of a
// deployment.
func EarliestKill(maxDeadline time.Duration) time.Duration {
	return min(maxDeadline, maxCountedDeadline) + killGrace
}

// checker is a history with indexes by request id and by door, and the violations found so far.
type checker struct {
	*History
	arrivals     map[string][]Arrival
	requests     map[string][]*Request // several if a client sent an id again
	incarnations map[int][]Incarnation
	found        []Violation
}

// Check returns all violations in a history, sorted by rule.
func Check(h *History) []Violation {
	c := &checker{History: h, arrivals: map[string][]Arrival{}, requests: map[string][]*Request{}, incarnations: map[int][]Incarnation{}}
	for _, a := range h.Arrivals {
		c.arrivals[a.ID] = append(c.arrivals[a.ID], a)
	}
	for _, inc := range h.Incarnations {
		c.incarnations[inc.Door] = append(c.incarnations[inc.Door], inc)
	}
	for i := range h.Requests {
		q := &h.Requests[i]
		c.requests[q.ID] = append(c.requests[q.ID], q)
	}
	for i := range h.Requests {
		q := &h.Requests[i]
		c.checkAnswer(q)
		c.checkBody(q)
		c.checkAttempts(q)
	}
	c.checkDrains()
	c.checkProcesses()
	slices.SortStableFunc(c.found, func(a, b Violation) int { return cmp.Compare(a.Rule, b.Rule) })
	return c.found
}

func (c *checker) report(rule Rule, subject, format string, args ...any) {
	c.found = append(c.found, Violation{rule, subject, fmt.Sprintf(format, args...)})
}

// delay returns by how much the machine delayed the rig and a door around an instant. Times measured then are uncertain by that
// much.
func (c *checker) delay(door int, at Instant) time.Duration {
	var rig, stalled time.Duration
	for _, s := range c.Stalls {
		if s.Due+s.Late < at-stallBefore || s.Due > at+stallAfter {
			continue
		}
		switch s.Door {
		case TheRig:
			rig = max(rig, s.Late)
		case door:
			stalled += s.Late
		}
	}
	return rig + stalled
}

// incarnationAt returns the process that a door had at an instant, nil if none was running.
func (c *checker) incarnationAt(door int, at Instant) *Incarnation {
	for i := range c.incarnations[door] {
		if inc := &c.incarnations[door][i]; inc.Started <= at && at <= inc.Exited+timingSlack {
			return inc
		}
	}
	return nil
}

// checkAnswer checks that a request received its final answer in time.
func (c *checker) checkAnswer(q *Request) {
	switch q.End {
	case Answered:
		if over := q.Ended - q.Sent - q.Wait - answerGrace - timingSlack; over > c.delay(q.Door, q.Ended) {
			c.report(RuleLost, q.ID, "answered %v after its deadline", q.Ended-q.Sent-q.Wait)
		}
	case ClientClosed, WriteFailed:
	case TimedOut:
		c.report(RuleLost, q.ID, "no answer %v after it was sent", q.Ended-q.Sent)
	case Partial:
		if inc := c.incarnationAt(q.Door, q.Ended); inc == nil || !inc.KilledWithoutTerm {
			c.report(RuleLost, q.ID, "connection closed within its answer")
		}
	case ConnClosed:
		c.checkClosed(q)
	}
}

// checkClosed checks a connection that was closed without an answer. That is allowed only if the close crossed the request, so
// that the door never read it and the client may send it once more, or if a kill ended the process.
func (c *checker) checkClosed(q *Request) {
	inc := c.incarnationAt(q.Door, q.Sent)
	killed := inc != nil && inc.Kill != Never && q.Ended >= inc.Kill
	switch {
	case killed && (inc.KilledWithoutTerm || q.Sent >= inc.Kill): // lost to the kill, which is allowed
	case killed:
		c.report(RuleLost, q.ID, "door %d, sent %v after SIGTERM, open at SIGKILL %v", q.Door, q.Sent-inc.Term, inc.Kill-inc.Term)
	case slices.ContainsFunc(c.arrivals[q.ID], q.owns):
		c.report(RuleLost, q.ID, "forwarded, but its connection was closed without an answer")
	case q.Ended-q.Sent > maxDoorDelay+timingSlack+c.delay(q.Door, q.Ended):
		c.report(RuleLost, q.ID, "its connection was closed without an answer %v after it was sent%s", q.Ended-q.Sent, c.sinceTerm(inc, q))
	}
}

// sinceTerm describes how long after SIGTERM a request was sent, for messages.
func (c *checker) sinceTerm(inc *Incarnation, q *Request) string {
	if inc == nil || inc.Term == Never {
		return ""
	}
	return fmt.Sprintf(", sent %v after SIGTERM", q.Sent-inc.Term)
}

// checkBody checks that an answer is one that a backend sent for this request.
func (c *checker) checkBody(q *Request) {
	if q.End == Answered && q.Status == 200 && q.Body != q.ID {
		c.report(RuleWrongBody, q.ID, "%.40q", q.Body)
	}
}

// checkAttempts checks the attempts of a request that arrived at backends.
func (c *checker) checkAttempts(q *Request) {
	ran := 0
	firstRun := Never
	zone, zones := "", 0
	for _, a := range c.arrivals[q.ID] {
		if a.LastByte != Never && !a.Refused && c.sameProcess(q, a) { // whichever of the requests with this id it belongs to
			if ran++; firstRun == Never || a.LastByte < firstRun {
				firstRun = a.LastByte
			}
			if zones == 0 || a.Zone != zone {
				zone = a.Zone
				zones++
			}
		}
		if !q.owns(a) {
			continue
		}
		delay := c.delay(q.Door, a.FirstByte)
		if q.End == ClientClosed && a.FirstByte > q.Ended+closeGrace+timingSlack+delay {
			c.report(RuleGone, q.ID, "an attempt began %v after its client's close", a.FirstByte-q.Ended)
		}
		if a.LastByte == Never {
			continue
		}
		if over := a.Remaining - (q.Sent + q.Wait - a.FirstByte); over > deadlineSlack+timingSlack+delay {
			c.report(RuleDeadline, q.ID, "the backend was given %v, %v more than its client had left", a.Remaining, over)
		}
	}
	if q.Semantics == NonIdempotent && ran > 1 {
		c.report(RuleDuplicate, q.ID, "not idempotent, but ran %d times", ran)
	}
	if q.Semantics == Keyed && c.ZoneScope && zones > 1 {
		c.report(RuleDuplicate, q.ID, "ran in two zones")
	}
	for _, a := range c.arrivals[q.ID] {
		if q.Semantics == Keyed && firstRun != Never && a.LastByte != Never && !a.Refused &&
			a.LastByte > firstRun+c.DedupWindow+timingSlack+c.delay(q.Door, a.LastByte) {
			c.report(RuleDuplicate, q.ID, "repeated %v after it ran, after the deduplication window", a.LastByte-firstRun)
		}
	}
}

// sameProcess reports whether an attempt belongs to a request that the same process of the door received as q: an id that comes again
// after a restart is new to the door, which starts from nothing.
func (c *checker) sameProcess(q *Request, a Arrival) bool {
	for _, other := range c.requests[q.ID] {
		if other.owns(a) {
			return other == q || c.incarnationAt(other.Door, other.Sent) == c.incarnationAt(q.Door, q.Sent)
		}
	}
	return true
}

// owns reports whether an attempt belongs to the request, and not to another one that its client sent with the same id.
func (q *Request) owns(a Arrival) bool {
	return a.FirstByte >= q.Began && (q.Until == 0 || a.FirstByte < q.Until)
}

// checkDrains checks that no attempt went to a backend after its door was notified that the backend drains.
func (c *checker) checkDrains() {
	door := map[string]int{}
	for i := range c.Requests {
		door[c.Requests[i].ID] = c.Requests[i].Door
	}
	for _, a := range c.Arrivals {
		d, found := door[a.ID]
		if !found {
			continue
		}
		at := Never
		for _, t := range c.Notifications {
			if t.Door == d && t.Backend == a.Backend && t.At <= a.FirstByte {
				if at = t.At; t.Ready {
					at = Never
				}
			}
		}
		if at != Never && a.FirstByte > at+c.DrainGrace+timingSlack+c.delay(d, a.FirstByte) && c.wasNotified(d, at, a.FirstByte) {
			c.report(RuleDrain, a.ID, "sent to backend %d at %v, %v after door %d was notified that it drains", a.Backend, a.FirstByte, a.FirstByte-at, d)
		}
	}
}

// wasNotified reports whether the process that a door has at an instant is the one that received a notification.
func (c *checker) wasNotified(door int, notified, at Instant) bool {
	inc := c.incarnationAt(door, at)
	return inc != nil && inc.Started <= notified
}

// checkProcesses checks the exits and the start times of processes, and the violations that they reported.
func (c *checker) checkProcesses() {
	restarts, slow := 0, 0
	for _, inc := range c.Incarnations {
		name := fmt.Sprintf("door %d", inc.Door)
		if inc.Crash != "" {
			c.report(RuleCrash, name, "%s", strings.TrimSpace(inc.Crash))
		}
		if inc.InvariantViolations > 0 {
			c.report(RuleInvariant, name, "%d violations", inc.InvariantViolations)
		}
		if c.MaxMemory > 0 && inc.PeakMemory > c.MaxMemory {
			c.report(RuleMemory, name, "%.1f MB resident, the limit is %.1f MB", megabytes(inc.PeakMemory), megabytes(c.MaxMemory))
		}
		if ended := cmp.Or(inc.Exited, inc.Started); inc.Ready == Never && ended-inc.Started < maxReadyTime {
			continue // terminated before its time to become ready was over
		}
		restarts++
		if inc.Ready == Never || inc.Ready-inc.Started > maxReadyTime {
			slow++
		}
	}
	if slow*10 > restarts {
		c.report(RuleReady, "all doors", "%d of %d processes were not ready within %v", slow, restarts, maxReadyTime)
	}
}

// megabytes converts bytes to MB of 1,048,576 bytes, as the settings count them.
func megabytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }
