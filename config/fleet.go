package config

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
)

// Fleet configures a door's membership in a fleet, under the key "fleet". Addresses consist of an IP address and a port;
// host names are not resolved.
type Fleet struct {
	Name        string            `json:"name"`          // name of the fleet; doors of other fleets are not members
	Zone        string            `json:"zone"`          // zone of this door; a verdict on a member needs observers in more than one zone
	Listen      string            `json:"listen"`        // loopback or private address for UDP and TCP, reachable by the other doors
	Peers       []string          `json:"peers"`         // some doors to learn the other members from, as "address" or "name/address"
	Routes      map[string]string `json:"routes"`        // addresses of other doors by name, where they differ from those they advertise
	Status      string            `json:"status"`        // loopback address that serves the door's status; empty for none
	JoinRetryMs float64           `json:"join_again_ms"` // interval between attempts to reach any other door; 0 for the default
	LeaveMs     float64           `json:"leave_ms"`      // limit on the time to announce that the door leaves; 0 for the default

	Releases     string   `json:"releases"`     // directory of released files, named by digest; empty if the door accepts no releases
	Coordinators []string `json:"coordinators"` // APIs of the coordinators of drains and releases, as "name/address"; may be empty
}

const maxNameBytes = 255 // limit on a memberlist label, which carries the fleet's name

// Defaults of the fleet's timeouts, in ms.
const (
	DefaultJoinRetryMs = 1000 // doors that start together find each other within a second or two
	DefaultLeaveMs     = 3000 // well below the time that a platform gives a process to terminate
)

func (f *Fleet) check(door string) (errs []error) {
	bad := func(key, format string, args ...any) {
		errs = append(errs, keyErrorf("fleet."+key, format, args...))
	}
	switch {
	case door == "":
		errs = append(errs, keyErrorf("name", "missing: a door in a fleet needs a name"))
	case strings.Contains(door, "/") || len(door) > maxNameBytes:
		errs = append(errs, keyErrorf("name", "%q: in a fleet it must have at most %d bytes and no /", door, maxNameBytes))
	}
	if f.Name == "" || len(f.Name) > maxNameBytes {
		bad("name", "%q: must have 1 to %d bytes", f.Name, maxNameBytes)
	}
	at, err := netip.ParseAddrPort(f.Listen)
	switch {
	case err != nil:
		bad("listen", "%q is not an IP address with a port", f.Listen)
	case !isPrivate(at.Addr()):
		bad("listen", "%q is neither loopback nor private: messages between doors are not secured", f.Listen)
	}
	for i, p := range f.Peers {
		_, address, named := strings.Cut(p, "/")
		if !named {
			address = p
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			bad(fmt.Sprintf("peers[%d]", i), "%q is not an IP address with a port", p)
		}
	}
	if f.Releases != "" && len(f.Coordinators) == 0 {
		bad("releases", "set, but fleet.coordinators is empty")
	}
	for i, p := range f.Coordinators {
		if _, err := ParseNamedAddress(p); err != nil {
			bad(fmt.Sprintf("coordinators[%d]", i), "%q: %v", p, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Routes)) {
		if _, err := netip.ParseAddrPort(f.Routes[name]); err != nil {
			bad("routes."+name, "%q is not an IP address with a port", f.Routes[name])
		}
	}
	if f.Status != "" {
		if host, port, err := net.SplitHostPort(f.Status); err != nil || port == "" || !isLoopback(host) {
			bad("status", "%q is not a loopback address with a port", f.Status)
		}
	}
	return append(errs, negativeErrors([]keyValue{{"fleet.join_again_ms", f.JoinRetryMs}, {"fleet.leave_ms", f.LeaveMs}})...)
}

func isLoopback(host string) bool {
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && ip.IsLoopback()
}
