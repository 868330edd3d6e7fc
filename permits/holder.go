package permits

import "fmt"

const (
	lookFor = 1000.0 // ms from sending the last look to acting on its answer at most
	early   = 0.8    // share of the hold after which a permit isn't used: the clocks of two machines drift
)

// PermitHolder is the side of the one that goes: it holds a permit by its own monotonic clock, and says whether the step that
// can't be taken back may be taken now.
type PermitHolder struct {
	Number     uint64
	askedMs    float64 // own clock when the ask was sent
	holdMs     float64
	lookedMs   float64 // own clock when the latest look was sent
	confirmed  bool
	seq        uint64
	waitingFor uint64 // sequence number whose answer counts
}

// NextSeq numbers the next command. Answers to earlier ones don't count from here on.
func (h *PermitHolder) NextSeq() uint64 {
	h.seq++
	h.waitingFor = h.seq
	return h.seq
}

// RequestSent notes that an ask is sent.
func (h *PermitHolder) RequestSent(now, holdMs float64) (seq uint64) {
	*h = PermitHolder{askedMs: now, holdMs: holdMs, seq: h.seq}
	return h.NextSeq()
}

// ConfirmSent notes that the last look is sent.
func (h *PermitHolder) ConfirmSent(now float64) (seq uint64) {
	h.lookedMs, h.confirmed = now, false
	return h.NextSeq()
}

// Answered takes an answer in, and tells whether it was the one waited for.
func (h *PermitHolder) Answered(seq uint64, a Answer) bool {
	if seq != h.waitingFor {
		return false
	}
	h.waitingFor = 0
	if a.Err != nil {
		return true
	}
	if h.Number == 0 {
		h.Number = a.Number
	} else {
		h.confirmed = a.Number == h.Number
	}
	return true
}

// Fresh tells whether the permit may still be used by the holder's own clock.
func (h *PermitHolder) Fresh(now float64) bool { return now-h.askedMs <= early*h.holdMs }

// Until is the clock until which the step may be taken on the latest look.
func (h *PermitHolder) Until() float64 { return min(h.lookedMs+lookFor, h.askedMs+early*h.holdMs) }

// MayGo tells whether the step may be taken now. One that was stopped since it looked must look again.
func (h *PermitHolder) MayGo(now float64) bool {
	return h.Number != 0 && h.confirmed && now <= h.Until()
}

// Drop ends the holder's interest in its permit; what it says next gives it back.
func (h *PermitHolder) Drop() { *h = PermitHolder{seq: h.seq} }

// PendingSeq is the number of the command whose answer is waited for; 0 for none.
func (h *PermitHolder) PendingSeq() uint64 { return h.waitingFor }

// CallerName is the name under which a process of a unit gives commands.
func CallerName(unit string, process uint64) string { return fmt.Sprintf("%s/%x", unit, process) }
