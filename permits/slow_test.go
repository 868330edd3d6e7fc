package permits

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/release"
)

const heardByMs = 6e3 // bound of the pages for what is told late

// answerLate runs an agent against coordinators that answer each post after a delay, in virtual time, until heard returns true for one of
// its actions. It returns how long that took, 60 s if it did not happen, and the number of posts.
func answerLate(step func(now float64, e any) []any, delay func() float64, answer func(Post) any, heard func(action any) bool) (tookMs float64, posts int) {
	const limitMs = 60e3
	due := map[float64][]any{}
	for now := 0.0; now < limitMs; now += 10 {
		events := due[now]
		delete(due, now)
		if int(now)%TickEvery == 0 {
			events = append(events, Tick{})
		}
		for _, e := range events {
			for _, action := range step(now, e) {
				post, is := action.(Post)
				if heard(action) {
					return now, posts
				}
				if is {
					posts++
					at := now + 10 + 10*float64(int(delay()/10))
					due[at] = append(due[at], answer(post))
				}
			}
		}
	}
	return limitMs, posts
}

// Guards against an agent that ignores each answer because the report that it belongs to has been followed by another.
func TestAgentsHearSlowCoordinators(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		delays := map[string]func() float64{"up to 2 s": func() float64 { return 2e3 * random.Float64() }}
		for _, ms := range []float64{0, 500, 800, 1000, 1500, 2000} {
			delays[fmt.Sprint(ms)] = func() float64 { return ms }
		}
		for name, delay := range delays {
			door := NewDoorAgent(Unit{Kind: Door, Name: "d"}, func() uint64 { return seed + 1 })
			took, posts := answerLate(door.Step, delay, func(p Post) any {
				if p.Report != nil {
					return Replied{Seq: p.Seq, Reply: Reply{Incarnation: 3, Epoch: 1, Change: 1, Withheld: []string{"s"}}}
				}
				return Answered{Seq: p.Seq, Answer: Answer{Number: 3}}
			}, func(action any) bool { w, is := action.(Withhold); return is && len(w.Names) == 1 })
			assert.Less(t, took, heardByMs, "withheld backends, %s ms, seed %d", name, seed)
			assert.LessOrEqual(t, posts, 9)
			holder := NewReleaseAgent("d", 1, release.Versions{}, nil)
			took, _ = answerLate(holder.Step, delay, func(p Post) any {
				if p.HolderReport != nil {
					return AssignmentReceived{Seq: p.Seq, Assignment: Assignment{Release: 1, Name: "r", Changes: release.Program, Digest: "x"}}
				}
				return Answered{Seq: p.Seq, Answer: Answer{Number: 5}}
			}, func(action any) bool { _, is := action.(Post); return is && action.(Post).Do != nil })
			assert.Less(t, took, heardByMs, "an assigned release, %s ms, seed %d", name, seed)
		}
	}
}

// An answer that was overtaken by that of a later report, or by a command, is ignored.
func TestOvertakenAnswersAreIgnored(t *testing.T) {
	var o outstanding
	for seq := range uint64(3) {
		o.send(float64(seq)*retryAfterMs, Post{Seq: seq + 1, Report: &DoorReport{}})
		if seq < 2 {
			o.poll(float64(seq+1) * retryAfterMs)
		}
	}
	assert.NotNil(t, o.complete(2))
	assert.Nil(t, o.complete(1), "the answer to an earlier report")
	assert.NotNil(t, o.complete(3))
	o.send(0, Post{Seq: 4, Report: &DoorReport{}})
	o.poll(retryAfterMs)
	o.send(retryAfterMs, Post{Seq: 5, Do: Begin{}})
	assert.Nil(t, o.complete(4), "the answer to a report from before a command")
}
