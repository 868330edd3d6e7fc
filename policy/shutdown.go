package policy

// shutDownBy makes the door answer every request by the given time, those still to arrive included, even where a client's
// deadline is later.
func (d *Door) shutDownBy(deadline float64) {
	d.shutdownDeadline = deadline
	for _, i := range d.active {
		d.requests[i].deadline = d.clampDeadline(d.requests[i].deadline)
	}
}

// clampDeadline returns a client's deadline, or the door's shutdown deadline if that is earlier.
func (d *Door) clampDeadline(deadline float64) float64 {
	if d.shutdownDeadline > 0 {
		return min(deadline, d.shutdownDeadline)
	}
	return deadline
}
