package permits

import "fmt"

const (
	confirmTTLMs = 1000.0 // ms, maximum from sending a Confirm to acting on its answer
	usableShare  = 0.8    // share of the hold after which a permit isn't used any more: the clocks of two machines drift
)

// PermitHolder is the client side of a permit: it tracks the permit by its own monotonic clock and decides whether the
// irreversible step may be taken now.
type PermitHolder struct {
	Number        uint64
	requestedMs   float64 // own clock when the request was sent
	holdMs        float64
	confirmSentMs float64 // own clock when the latest Confirm was sent
	confirmed     bool
	seq           uint64
	pendingSeq    uint64 // sequence number of the only command whose answer counts; 0 for none
}

// NextSeq returns the sequence number of the next command. Answers to earlier commands are ignored from now on.
func (h *PermitHolder) NextSeq() uint64 {
	h.seq++
	h.pendingSeq = h.seq
	return h.seq
}

// RequestSent records that a permit is requested.
func (h *PermitHolder) RequestSent(now, holdMs float64) (seq uint64) {
	*h = PermitHolder{requestedMs: now, holdMs: holdMs, seq: h.seq}
	return h.NextSeq()
}

// ConfirmSent records that a Confirm is sent.
func (h *PermitHolder) ConfirmSent(now float64) (seq uint64) {
	h.confirmSentMs, h.confirmed = now, false
	return h.NextSeq()
}

// Unconfirm has the next step need another Confirm.
func (h *PermitHolder) Unconfirm() { h.confirmed = false }

// Answered processes an answer and reports whether it was the pending one.
func (h *PermitHolder) Answered(seq uint64, a Answer) bool {
	if seq != h.pendingSeq {
		return false
	}
	h.pendingSeq = 0
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

// Fresh reports whether the permit may still be used by the holder's own clock.
func (h *PermitHolder) Fresh(now float64) bool { return now-h.requestedMs <= usableShare*h.holdMs }

// Deadline returns the clock time until which the step may be taken after the latest Confirm.
func (h *PermitHolder) Deadline() float64 {
	return min(h.confirmSentMs+confirmTTLMs, h.requestedMs+usableShare*h.holdMs)
}

// MayGo reports whether the step may be taken now. A holder that was suspended after its Confirm must confirm again.
func (h *PermitHolder) MayGo(now float64) bool {
	return h.Number != 0 && h.confirmed && now <= h.Deadline()
}

// Drop abandons the permit; the holder's next report or command returns it.
func (h *PermitHolder) Drop() { *h = PermitHolder{seq: h.seq} }

// PendingSeq returns the sequence number of the command whose answer is pending; 0 for none.
func (h *PermitHolder) PendingSeq() uint64 { return h.pendingSeq }

// CallerName returns the caller name under which a process of a unit sends commands.
func CallerName(unit string, process uint64) string { return fmt.Sprintf("%s/%x", unit, process) }
