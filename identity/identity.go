// Package identity decides whether the process at a backend's address is surely the one that the fleet list names. When a process ends,
// another one, of another backend, may have its address at once, and the list says so only later. It does no I/O. Times are
// milliseconds on the driver's clock.
package identity

import "math"

// confirmTime is the time in ms after which a change of the fleet list counts as told, whatever failed: a list that still names a process
// then is right about it.
const confirmTime = 6000

// Process is what a driver knows about the process at one backend's address. The zero value is a process that is surely the listed one.
type Process struct {
	doubtedAt float64 // time at which its end became possible; valid if doubted
	doubted   bool
}

// ConnectionLost records that a connection to the process was ended by its side, or could not be established: the process may have
// ended.
func (p *Process) ConnectionLost(now float64) { p.doubted, p.doubtedAt = true, now }

// Listed records that the fleet list names another process than before, which is the one that has the address now.
func (p *Process) Listed() { *p = Process{} }

// Certain reports whether a connection reaches the listed process. establishedAt is the time at which it was established, NewConnection
// for one that is still to be. A connection that was established before the doubt and is open proves that its process has not ended.
func (p *Process) Certain(now, establishedAt float64) bool {
	return !p.doubted || now >= p.doubtedAt+confirmTime || establishedAt < p.doubtedAt
}

// NewConnection is the time of establishment of a connection that is still to be established.
var NewConnection = math.Inf(1)
