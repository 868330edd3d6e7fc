package frontdoor

// maxArrivals is the number of reads whose times are kept for what is buffered; further ones count as the last of them.
const maxArrivals = 32

// arrival is a read of buffered input.
type arrival struct {
	bytes int     // not parsed yet
	at    float64 // clock, ms
}

// arrivals records when the buffered input of a connection arrived, so that a request's time counts from its own first byte and not from
// what came behind it.
type arrivals struct{ reads []arrival }

// add records a read.
func (a *arrivals) add(bytes int, at float64) {
	if n := len(a.reads); n == maxArrivals { // the earlier time: a request is never taken to be younger than it is
		a.reads[n-1].bytes += bytes
		return
	}
	a.reads = append(a.reads, arrival{bytes, at})
}

// consume records that the first bytes of the input have been parsed or dropped.
func (a *arrivals) consume(bytes int) {
	for bytes > 0 && len(a.reads) > 0 {
		n := min(bytes, a.reads[0].bytes)
		a.reads[0].bytes -= n
		bytes -= n
		if a.reads[0].bytes == 0 {
			a.reads = a.reads[1:]
		}
	}
}

// first returns when the first byte of the input arrived, and other if that is not recorded.
func (a *arrivals) first(other float64) float64 {
	if len(a.reads) == 0 {
		return other
	}
	return a.reads[0].at
}

// reset drops all records, with the input.
func (a *arrivals) reset() { a.reads = a.reads[:0] }
