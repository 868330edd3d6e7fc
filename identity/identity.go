// Package identity decides whether the process at the other end of a connection is surely the one that the fleet list names for its
// address. When a process ends, another one, of another backend, may have its address at once, and the list says so only later. It
// does no I/O. Times are milliseconds on the driver's clock.
package identity

const (
	// minAge is the age from which on a connection is taken to reach the listed process, if nothing speaks against that: had the process
	// ended before it was established, the list would have said so by then.
	minAge = 500

	// confirmTime is the time after which a change of the fleet list counts as told, whatever failed.
	confirmTime = 6000
)

// Process is what a driver knows about the process at one backend's address. The zero value is a process that nothing speaks against.
type Process struct {
	doubted   bool
	doubtedAt float64 // time at which its end became possible; valid if doubted
}

// ConnectionLost records that a connection to the process was ended by its side, or could not be established: the process may have
// ended.
func (p *Process) ConnectionLost(now float64) { p.doubted, p.doubtedAt = true, now }

// Listed records that the fleet list names another process than before, which is the one that has the address now.
func (p *Process) Listed() { *p = Process{} }

// Reached reports whether an open connection surely reaches the listed process. One that was established before the process came into
// doubt proves that it has not ended.
func (p *Process) Reached(now, establishedAt float64) bool {
	if now < establishedAt+minAge {
		return false
	}
	return !p.doubted || establishedAt < p.doubtedAt || now >= p.doubtedAt+confirmTime
}
