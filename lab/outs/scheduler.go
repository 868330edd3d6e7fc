package outs

import (
	"container/heap"
	"math/rand/v2"
)

// scheduler runs events in virtual time, and holds the run's random source.
type scheduler struct {
	queue    eventQueue
	now      float64 // ms
	sequence int     // breaks ties: events at the same time run in the order in which they were scheduled
	random   *rand.Rand
}

// event is a function that is due at a time.
type event struct {
	at       float64
	sequence int
	do       func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(d any)   { *q = append(*q, d.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

// at schedules a function.
func (g *scheduler) at(t float64, do func()) {
	g.sequence++
	heap.Push(&g.queue, event{t, g.sequence, do})
}

// between draws a number from a range.
func (g *scheduler) between(a, b float64) float64 { return a + (b-a)*g.random.Float64() }

// runUntil runs all events that are due up to a time.
func (g *scheduler) runUntil(end float64) {
	for len(g.queue) > 0 && g.queue[0].at <= end {
		d := heap.Pop(&g.queue).(event)
		g.now = d.at
		d.do()
	}
}
