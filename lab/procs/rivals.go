package procs

import (
	"github.com/swifthall/swifthall/members"
)

// What the module is compared with on the same schedules.
const (
	heartbeatInterval = 1000.0 // ms between heartbeats
	heartbeatTimeout  = 3000.0 // ms without one after which a member is held to be away: as the deaths known within 3 s ask
)

// Heartbeats makes plain heartbeats with a fixed time-out: every door tells every other that it is here, and holds one
// that it hasn't heard for long to be away until it hears it again.
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

type heartbeats struct {
	self         members.Peer
	others       []members.Peer
	index        map[string]int
	lastReceived []float64
	state        []members.State
	nextBeat     float64
	started      bool
}

func (h *heartbeats) All() []members.Record { return nil }

func (h *heartbeats) Step(now float64, events ...members.Event) (out []members.Action) {
	if !h.started {
		h.started, h.nextBeat = true, now
		for i := range h.lastReceived {
			h.lastReceived[i] = now
		}
	}
	turn := func(i int, to members.State) {
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
				turn(i, members.Here)
			}
		case members.Tick:
			for i := range h.others {
				if h.state[i] == members.Here && now-h.lastReceived[i] > heartbeatTimeout {
					turn(i, members.Away)
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
