// Package hedge schedules calls to a server that may answer late. A call that is not answered for a while is repeated, and stays
// outstanding beside its repetition: giving it up would turn a slow server into one that is never heard. The first answer ends the
// other calls. The package accesses neither clocks nor connections; times are durations since any fixed instant.
package hedge

import (
	"math/rand/v2"
	"slices"
	"time"
)

// MaxCalls is the largest number of calls that are outstanding at the same time.
const MaxCalls = 5

const (
	jitter           = 0.5 // largest part by which chance shortens a wait or a pause, so that callers do not fall into step
	answerMargin     = 250 * time.Millisecond
	minWait          = 100 * time.Millisecond // for an answer, however little time is left
	answerTimeFactor = 2                      // a call is repeated after this multiple of the recent answer time
	oldestPatience   = 6 * time.Second        // for the oldest call; doubles each time, for a server that answers later still
	maxPatience      = 30 * time.Second
)

// Config holds the durations of a schedule.
type Config struct {
	Connect  time.Duration // longest time for connecting
	Answer   time.Duration // longest answer time of a working server, from the connection to the first byte
	Wait     time.Duration // for an answer, until the call is repeated; longer for a server that is known to be slow
	Recovery time.Duration // within which a server must have been heard after it could be reached, also if one call failed
	MinPause time.Duration // between a failed call and the next; doubles with each call
	MaxPause time.Duration
}

// call is an outstanding call.
type call struct {
	id        int
	startedAt time.Duration
	wait      time.Duration // from the connection to the next call
	pause     time.Duration // from a failure to the next call
}

// Schedule decides when calls start and when they are given up, until one is answered. It is not safe for concurrent use.
type Schedule struct {
	cfg        Config
	random     *rand.Rand
	calls      []call // outstanding, in the order of their start
	open       bool   // a call is answered and its answer goes on; no other call is made
	lastID     int
	nextAt     time.Duration // when the next call starts
	pause      time.Duration
	patience   time.Duration // for the oldest call
	answerTime time.Duration // of recent calls; 0 if none was answered
	heardAt    time.Duration // when the server was last heard
	heard      bool
}

// New returns a schedule whose first call starts at once.
func New(cfg Config, random *rand.Rand) *Schedule {
	return &Schedule{cfg: cfg, random: random, pause: cfg.MinPause, patience: oldestPatience}
}

// Due returns when Advance has to be called next, and false while an answer goes on.
func (s *Schedule) Due() (at time.Duration, is bool) {
	if s.open {
		return 0, false
	}
	at = s.nextAt
	for i := range s.calls {
		at = min(at, s.expiry(i))
	}
	return at, true
}

// expiry returns when the i-th outstanding call is given up.
func (s *Schedule) expiry(i int) time.Duration {
	if i == 0 {
		return s.calls[i].startedAt + s.patience
	}
	return s.calls[i].startedAt + s.cfg.Connect + s.cfg.Answer + answerMargin
}

// Advance returns the calls that are given up, and the id of the call that starts now; 0 is none.
func (s *Schedule) Advance(now time.Duration) (givenUp []int, start int) {
	if s.open {
		return nil, 0
	}
	for i := len(s.calls) - 1; i >= 0; i-- {
		if now < s.expiry(i) {
			continue
		}
		if i == 0 {
			s.patience = min(2*s.patience, maxPatience)
		}
		givenUp = append(givenUp, s.calls[i].id)
		s.calls = slices.Delete(s.calls, i, i+1)
	}
	if now < s.nextAt {
		return givenUp, 0
	}
	if len(s.calls) == MaxCalls { // the oldest call is the one that a very slow server answers first
		givenUp = append(givenUp, s.calls[1].id)
		s.calls = slices.Delete(s.calls, 1, 2)
	}
	s.lastID++
	started := call{id: s.lastID, startedAt: now, wait: s.shortened(s.wait()), pause: s.shortened(s.pause)}
	s.calls = append(s.calls, started)
	s.pause = min(2*s.pause, s.cfg.MaxPause)
	s.schedule(now, now+s.cfg.Connect+started.wait+started.pause)
	return givenUp, started.id
}

// wait returns how long a call waits for its answer until it is repeated. For a slow server this is longer, but not so long that
// the server would be heard too late after one call had failed.
func (s *Schedule) wait() time.Duration {
	limit := (s.cfg.Recovery-s.answerTime)/2 - s.cfg.Connect - s.cfg.MaxPause
	return max(s.cfg.Wait, min(answerTimeFactor*s.answerTime, limit))
}

// schedule sets when the next call starts: at the given time, or earlier if its answer could otherwise come too late after the
// server was last heard.
func (s *Schedule) schedule(now, at time.Duration) {
	latest := s.heardAt + s.cfg.Recovery - s.cfg.Connect - s.cfg.Answer
	if s.heard && latest > now {
		at = min(at, max(latest, now+minWait))
	}
	s.nextAt = at
}

// Connected reports that a call has its connection: the wait for its answer begins.
func (s *Schedule) Connected(id int, now time.Duration) {
	if n := len(s.calls); !s.open && n > 0 && s.calls[n-1].id == id {
		s.schedule(now, now+s.calls[n-1].wait+s.calls[n-1].pause)
	}
}

// Answered reports that a call is being answered. It returns false if the call is no longer outstanding; otherwise the answer goes
// on until Ended, and the other calls, which are returned, are no longer needed.
func (s *Schedule) Answered(id int, now time.Duration) (others []int, is bool) {
	i := s.index(id)
	if s.open || i < 0 {
		return nil, false
	}
	s.open, s.patience = true, oldestPatience
	s.answerTime = max(now-s.calls[i].startedAt, s.answerTime/2)
	for _, other := range slices.Delete(s.calls, i, i+1) {
		others = append(others, other.id)
	}
	s.calls = nil
	return others, true
}

// Succeeded reports that the answer has brought what was called for: the next pause is the shortest again.
func (s *Schedule) Succeeded() { s.pause = s.cfg.MinPause }

// Failed reports that a call has ended without an answer.
func (s *Schedule) Failed(id int, now time.Duration) {
	if i := s.index(id); i >= 0 {
		s.nextAt = min(s.nextAt, now+s.calls[i].pause)
		s.calls = slices.Delete(s.calls, i, i+1)
	}
}

// Ended reports that the answer of a call has ended, and when the server was last heard.
func (s *Schedule) Ended(now, heardAt time.Duration) {
	s.open, s.heard, s.heardAt = false, true, heardAt
	s.nextAt = now + s.shortened(s.pause)
	s.pause = min(2*s.pause, s.cfg.MaxPause)
}

// index returns the position of an outstanding call, -1 if it is none.
func (s *Schedule) index(id int) int {
	return slices.IndexFunc(s.calls, func(c call) bool { return c.id == id })
}

// shortened returns a duration less a random part.
func (s *Schedule) shortened(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter*s.random.Float64()))
}
