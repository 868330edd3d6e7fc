package procs

import (
	"github.com/swifthall/swifthall/members"
)

// Timing of the plain heartbeats.
const (
	heartbeatInterval = 1000.0 // ms between heartbeats
	heartbeatTimeout  = 3000.0 // ms without a heartbeat until a member is considered away; schedules require detection of deaths within 3 s
)

// Heartbeats returns a detector to compare the module with: plain heartbeats with a fixed timeout. Every door sends heartbeats
// to every other, and considers one away from which it has received none for heartbeatTimeout, until it receives one again.
func Heartbeats(self members.Peer, fleet []members.Peer, _ uint64) Detector {
	h := &heartbeats{self: self, index: map[string]int{}}
	for _, p := range fleet {
		if p.Name != self.Name {
			h.index[p.Name] = len(h.others)
			h.others = append(h.others, p)
		}
	}
	h.lastReceived, h.state = make([]float64, len(h.others)), make([]members.State, len(h.others))
	return h
}

// heartbeats is the detector that Heartbeats returns.
type heartbeats struct {
	self         members.Peer
	others       []members.Peer
	index        map[string]int
	lastReceived []float64
	state        []members.State
	nextBeat     float64
	started      bool
}

// All returns nothing: heartbeats exchange no states.
func (h *heartbeats) All() []members.Record { return nil }

// Step processes received heartbeats and ticks. Every message counts as a heartbeat of its sender.
func (h *heartbeats) Step(now float64, events ...members.Event) (out []members.Action) {
	if !h.started {
		h.started, h.nextBeat = true, now
		for i := range h.lastReceived {
			h.lastReceived[i] = now
		}
	}
	setState := func(i int, to members.State) {
		if h.state[i] != to {
			out = append(out, members.Changed{Peer: h.others[i], From: h.state[i], To: to, Incarnation: 1})
			h.state[i] = to
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case members.Received:
			if i, ok := h.index[e.Message.From.Name]; ok {
				h.lastReceived[i] = now
				setState(i, members.Here)
			}
		case members.Tick:
			for i := range h.others {
				if h.state[i] == members.Here && now-h.lastReceived[i] > heartbeatTimeout {
					setState(i, members.Away)
				}
			}
			for ; h.nextBeat <= now; h.nextBeat += heartbeatInterval {
				for i := range h.others {
					out = append(out, members.Send{To: h.others[i], Message: &members.Message{Kind: members.Gossip, From: h.self, Incarnation: 1, State: members.Here}})
				}
			}
		}
	}
	return out
}
