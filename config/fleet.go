package config

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
)

// Fleet is a door's place among the doors of its fleet, the key "fleet". Addresses are of IP and port: no name is looked up.
type Fleet struct {
	Name        string            `json:"name"`          // of the fleet: only doors that name the same one are members
	Zone        string            `json:"zone"`          // of this door; verdicts want observers of more than one
	Listen      string            `json:"listen"`        // loopback or private, for UDP and TCP; others reach the door there
	Peers       []string          `json:"peers"`         // some doors that others can be asked of, as "address" or "name/address"
	Routes      map[string]string `json:"routes"`        // where this door reaches others, by name, if not where they say
	Status      string            `json:"status"`        // loopback address that tells the door's own status; empty for none
	JoinRetryMs float64           `json:"join_again_ms"` // between tries to find any other door; 0 for the default
	LeaveMs     float64           `json:"leave_ms"`      // at most, in which the door says that it leaves; 0 for the default

	Releases     string   `json:"releases"`     // folder of what is released to this door, by digest; empty where it takes none
	Coordinators []string `json:"coordinators"` // of drains and releases, each as "name/address" of its API; none where the door goes without
}

const longestName = 255 // bytes of a fleet's name, as memberlist's labels

// Defaults of a fleet's times, ms.
const (
	DefaultJoinRetryMs = 1000 // a fleet that starts at once finds itself in a second or two
	DefaultLeaveMs     = 3000 // well under the time that a platform gives a process to end
)

func (f *Fleet) check(door string) (faults []error) {
	bad := func(key, format string, args ...any) {
		faults = append(faults, keyFault("fleet."+key, format, args...))
	}
	switch {
	case door == "":
		faults = append(faults, keyFault("name", "missing, though there is a fleet"))
	case strings.Contains(door, "/") || len(door) > longestName:
		faults = append(faults, keyFault("name", "%q: up to %d bytes without / are wanted in a fleet", door, longestName))
	}
	if f.Name == "" || len(f.Name) > longestName {
		bad("name", "%q: 1 to %d bytes are wanted", f.Name, longestName)
	}
	at, err := netip.ParseAddrPort(f.Listen)
	switch {
	case err != nil:
		bad("listen", "%q is not an IP address with a port", f.Listen)
	case !private(at.Addr()):
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
		bad("releases", "there is a folder, and no coordinators")
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
		if host, port, err := net.SplitHostPort(f.Status); err != nil || port == "" || !loopback(host) {
			bad("status", "%q is not a loopback address with a port", f.Status)
		}
	}
	return append(faults, below0([]figure{{"fleet.join_again_ms", f.JoinRetryMs}, {"fleet.leave_ms", f.LeaveMs}})...)
}

func loopback(host string) bool {
	ip, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && ip.IsLoopback()
}
