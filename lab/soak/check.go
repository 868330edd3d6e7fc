package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is one of the rules that every day is judged by.
type Rule string

// The rules.
const (
	RuleLost      Rule = "lost"       // a request that was taken has no answer
	RuleGone      Rule = "gone"       // an attempt began for a client that had gone
	RuleDuplicate Rule = "duplicate"  // a request ran more often than its class allows
	RuleDeadline  Rule = "deadline"   // a backend was told more time than the client had left
	RuleDrain     Rule = "drain"      // a request went to a backend that was known to drain
	RuleCrash     Rule = "crash"      // a process ended that nobody had told to
	RuleReady     Rule = "ready"      // too many processes were not ready in time
	RuleInvariant Rule = "invariant"  // a process counted a violated invariant of its own
	RuleWrongBody Rule = "wrong body" // a client got an answer that no backend made for it
)

// Violation is one break of a rule.
type Violation struct {
	Rule    Rule
	Subject string // request, door or process
	Detail  string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Bounds of the rules, from the protocol page and the terms in force.
const (
	timingSlack        = 50 * time.Millisecond  // that every time limit is longer on sockets
	answerGrace        = 500 * time.Millisecond // after its deadline, in which an answer still counts as one
	closeGrace         = 100 * time.Millisecond // after a client's close, in which an attempt may still begin
	deadlineSlack      = 150 * time.Millisecond // of the time that a backend is told
	maxDoorDelay       = 150 * time.Millisecond // that a front door may be held up between its clock and a write
	maxReadyTime       = 10 * time.Second       // for nine in ten restarted processes
	maxNotifyTime      = 6 * time.Second        // in which a change counts as told at the latest
	stallBefore        = 500 * time.Millisecond // before an instant, in which a delay of the rig bears on it
	stallAfter         = 200 * time.Millisecond
	maxCountedDeadline = 3 * time.Second        // of a deployment's deadlines, for the kill
	killGrace          = 700 * time.Millisecond // the longest deadline, from SIGTERM, at the earliest
)

// EarliestKill is how long after SIGTERM the page allows a process to be killed.
func EarliestKill(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + killGrace
}

// checker holds a record by the ids that its rules look up.
type checker struct {
	*History
	arrivals     map[string][]Arrival
	incarnations map[int][]Incarnation
	found        []Violation
}

// Check returns every break of a rule in a record, in the order of the rules.
func Check(r *History) []Violation {
	j := &checker{History: r, arrivals: map[string][]Arrival{}, incarnations: map[int][]Incarnation{}}
	for _, a := range r.Arrivals {
		j.arrivals[a.ID] = append(j.arrivals[a.ID], a)
	}
	for _, l := range r.Incarnations {
		j.incarnations[l.Door] = append(j.incarnations[l.Door], l)
	}
	for i := range r.Requests {
		q := &r.Requests[i]
		j.checkAnswer(q)
		j.checkBody(q)
		j.checkAttempts(q)
	}
	j.checkDrains()
	j.checkProcesses()
	slices.SortStableFunc(j.found, func(a, b Violation) int { return cmp.Compare(a.Rule, b.Rule) })
	return j.found
}

func (j *checker) report(rule Rule, subject, format string, args ...any) {
	j.found = append(j.found, Violation{rule, subject, fmt.Sprintf(format, args...)})
}

// delay is how much the machine held the rig and a door up about an instant: what was measured then is uncertain by as much.
func (j *checker) delay(door int, at Instant) time.Duration {
	var rig, held time.Duration
	for _, s := range j.Stalls {
		if s.Due+s.Late < at-stallBefore || s.Due > at+stallAfter {
			continue
		}
		switch s.Door {
		case TheRig:
			rig = max(rig, s.Late)
		case door:
			held += s.Late
		}
	}
	return rig + held
}

// incarnationAt finds the process that a door had at an instant.
func (j *checker) incarnationAt(door int, at Instant) *Incarnation {
	for i := range j.incarnations[door] {
		if l := &j.incarnations[door][i]; l.Started <= at && at <= l.Exited+timingSlack {
			return l
		}
	}
	return nil
}

// checkAnswer judges whether a request that was taken got its final answer.
func (j *checker) checkAnswer(q *Request) {
	switch q.End {
	case Answered:
		if over := q.Ended - q.Sent - q.Wait - answerGrace - timingSlack; over > j.delay(q.Door, q.Ended) {
			j.report(RuleLost, q.ID, "answered %v after its deadline", q.Ended-q.Sent-q.Wait)
		}
	case ClientClosed, WriteFailed:
	case TimedOut:
		j.report(RuleLost, q.ID, "no answer %v after it was sent", q.Ended-q.Sent)
	case Partial:
		if l := j.incarnationAt(q.Door, q.Ended); l == nil || !l.KilledWithoutTerm {
			j.report(RuleLost, q.ID, "cut off within its answer")
		}
	case ConnClosed:
		j.checkClosed(q)
	}
}

// checkClosed judges a connection that ended with no answer: only a request that crossed the close unread may be sent once more.
func (j *checker) checkClosed(q *Request) {
	l := j.incarnationAt(q.Door, q.Sent)
	killed := l != nil && l.Kill != Never && q.Ended >= l.Kill
	switch {
	case killed && (l.KilledWithoutTerm || q.Sent >= l.Kill): // the kill did not find it
	case killed:
		j.report(RuleLost, q.ID, "door %d, sent %v after SIGTERM, open at SIGKILL %v", q.Door, q.Sent-l.Term, l.Kill-l.Term)
	case len(j.arrivals[q.ID]) > 0:
		j.report(RuleLost, q.ID, "forwarded, and its connection closed with no answer")
	case q.Ended-q.Sent > maxDoorDelay+timingSlack+j.delay(q.Door, q.Ended):
		j.report(RuleLost, q.ID, "its connection closed with no answer %v after it was sent%s", q.Ended-q.Sent, j.sinceTerm(l, q))
	}
}

func (j *checker) sinceTerm(l *Incarnation, q *Request) string {
	if l == nil || l.Term == Never {
		return ""
	}
	return fmt.Sprintf(", sent %v after SIGTERM", q.Sent-l.Term)
}

// checkBody judges whether an answer is one that a backend made for this request.
func (j *checker) checkBody(q *Request) {
	if q.End == Answered && q.Status == 200 && q.Body != q.ID {
		j.report(RuleWrongBody, q.ID, "%.40q", q.Body)
	}
}

// checkAttempts judges what backends got of a request.
func (j *checker) checkAttempts(q *Request) {
	ran := 0
	first := Never
	for _, a := range j.arrivals[q.ID] {
		late := j.delay(q.Door, a.FirstByte)
		if q.End == ClientClosed && a.FirstByte > q.Ended+closeGrace+timingSlack+late {
			j.report(RuleGone, q.ID, "an attempt began %v after its client's close", a.FirstByte-q.Ended)
		}
		if a.LastByte == Never {
			continue
		}
		if over := a.Remaining - (q.Sent + q.Wait - a.FirstByte); over > deadlineSlack+timingSlack+late {
			j.report(RuleDeadline, q.ID, "told %v, %v more than its client had left", a.Remaining, over)
		}
		if a.Refused {
			continue
		}
		if ran++; first == Never || a.LastByte < first {
			first = a.LastByte
		}
	}
	if q.Semantics == NonIdempotent && ran > 1 {
		j.report(RuleDuplicate, q.ID, "unsafe to repeat, ran %d times", ran)
	}
	for _, a := range j.arrivals[q.ID] {
		if q.Semantics == Keyed && first != Never && a.LastByte != Never && !a.Refused && a.LastByte > first+j.DedupWindow+timingSlack+j.delay(q.Door, a.LastByte) {
			j.report(RuleDuplicate, q.ID, "repeated %v after it ran, past the window of repeats", a.LastByte-first)
		}
	}
}

// checkDrains judges whether anything went to a backend after its door was told that it checkDrains.
func (j *checker) checkDrains() {
	door := map[string]int{}
	for i := range j.Requests {
		door[j.Requests[i].ID] = j.Requests[i].Door
	}
	for _, a := range j.Arrivals {
		d, known := door[a.ID]
		if !known {
			continue
		}
		at := Never
		for _, t := range j.Notifications {
			if t.Door == d && t.Backend == a.Backend && t.At <= a.FirstByte {
				if at = t.At; t.Ready {
					at = Never
				}
			}
		}
		if at != Never && a.FirstByte > at+j.DrainGrace+timingSlack+j.delay(d, a.FirstByte) && j.wasNotified(d, at, a.FirstByte) {
			j.report(RuleDrain, a.ID, "sent to backend %d at %v, %v after door %d was told that it drains", a.Backend, a.FirstByte, a.FirstByte-at, d)
		}
	}
}

// wasNotified tells whether the process that a door has at an instant is the one that was told something.
func (j *checker) wasNotified(door int, told, at Instant) bool {
	l := j.incarnationAt(door, at)
	return l != nil && l.Started <= told
}

// checkProcesses judges the ends and starts of checkProcesses, and what they counted themselves.
func (j *checker) checkProcesses() {
	restarts, slow := 0, 0
	for _, l := range j.Incarnations {
		name := fmt.Sprintf("door %d", l.Door)
		if l.Crash != "" {
			j.report(RuleCrash, name, "%s", strings.TrimSpace(l.Crash))
		}
		if l.InvariantViolations > 0 {
			j.report(RuleInvariant, name, "%d violations", l.InvariantViolations)
		}
		if ended := cmp.Or(l.Exited, l.Started); l.Ready == Never && ended-l.Started < maxReadyTime {
			continue // it was ended before its time was up
		}
		restarts++
		if l.Ready == Never || l.Ready-l.Started > maxReadyTime {
			slow++
		}
	}
	if slow*10 > restarts {
		j.report(RuleReady, "all doors", "%d of %d processes were not ready within %v", slow, restarts, maxReadyTime)
	}
}
