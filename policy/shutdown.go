package policy

// shutDownBy makes the door answer every request by the given time, those still to arrive included, even where a client's
// deadline is later.
func (d *Door) endBy(at float64) {
	d.closing = at
	for _, i := range d.live {
		d.ops[i].until = d.bounded(d.ops[i].until)
	}
}

// clampDeadline returns a client's deadline, or the door's shutdown deadline if that is earlier.
func (d *Door) bounded(until float64) float64 {
	if d.closing > 0 {
		return min(until, d.closing)
	}
	return until
}
