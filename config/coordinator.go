package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// Coordinator is the configuration of a coordinator. Addresses consist of an IP address and a port and are loopback or
// private, because neither messages between coordinators nor commands are secured.
type Coordinator struct {
	Name   string            `json:"name"`
	Fleet  string            `json:"fleet"`
	Listen string            `json:"listen"` // address for other coordinators
	API    string            `json:"api"`    // address for doors and operators
	Data   string            `json:"data"`   // directory of its database
	Peers  []string          `json:"peers"`  // the initial members, including itself, as "name/address"
	Join   bool              `json:"join"`   // it starts without members and waits until it is added
	Routes map[string]string `json:"routes"` // addresses of other coordinators by name, where they differ from those they advertise
	Log    Log               `json:"log"`

	Calendar EventSinks `json:"calendar"`

	Members []NamedAddress `json:"-"` // parsed from Peers
}

// EventSinks configures where calendar events go besides the log.
type EventSinks struct {
	Events string   `json:"events"`  // file to which each event is appended as a line of JSON
	Hook   []string `json:"hook"`    // command that is run for each event, with that line on its standard input
	HookMs float64  `json:"hook_ms"` // timeout of the command
	Tries  int      `json:"tries"`   // attempts per event, one second apart
}

const (
	defaultHookMs = 5e3 // posting a chat message or a mail takes a few seconds at most
	maxHookMs     = 60e3
	defaultTries  = 5
	maxTries      = 100
)

// NamedAddress is a parsed "name/address" pair.
type NamedAddress struct{ Name, Address string }

// ParseNamedAddress parses a "name/address" pair. The address consists of an IP address and a port.
func ParseNamedAddress(text string) (n NamedAddress, err error) {
	name, address, ok := strings.Cut(text, "/")
	if !ok || name == "" {
		return n, &KeyError{Reason: `must have the form "name/address"`}
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return n, &KeyError{Reason: "not an IP address with a port", Cause: err}
	}
	return NamedAddress{name, address}, nil
}

func isPrivate(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() || a.IsLinkLocalUnicast() }

// LoadCoordinator reads and checks a coordinator's configuration file.
func LoadCoordinator(path string) (Coordinator, error) {
	if path == "" {
		return Coordinator{}, &FileError{}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Coordinator{}, &FileError{path, err}
	}
	return ReadCoordinator(raw)
}

// ReadCoordinator decodes and checks a coordinator's configuration. The returned error joins one error per invalid key.
func ReadCoordinator(raw []byte) (Coordinator, error) {
	var c Coordinator
	dec := json.NewDecoder(strings.NewReader(string(raw)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return c, &KeyError{Reason: "the file cannot be decoded", Cause: err, Owner: "coordinator"}
	}
	var errs []error
	bad := func(key, format string, args ...any) {
		errs = append(errs, &KeyError{Key: key, Reason: fmt.Sprintf(format, args...), Owner: "coordinator"})
	}
	if c.Name == "" || strings.Contains(c.Name, "/") || len(c.Name) > maxNameBytes {
		bad("name", "%q: must have 1 to %d bytes and no /", c.Name, maxNameBytes)
	}
	if c.Fleet == "" {
		bad("fleet", "missing")
	}
	if c.Data == "" {
		bad("data", "missing: a directory that outlives the process")
	}
	for key, address := range map[string]string{"listen": c.Listen, "api": c.API} {
		if at, err := netip.ParseAddrPort(address); err != nil {
			bad(key, "%q is not an IP address with a port", address)
		} else if !isPrivate(at.Addr()) {
			bad(key, "%q is neither loopback nor private: connections to it are not secured", address)
		}
	}
	self := false
	for i, p := range c.Peers {
		n, err := ParseNamedAddress(p)
		if err != nil {
			bad(fmt.Sprintf("peers[%d]", i), "%q: %v", p, err)
			continue
		}
		c.Members = append(c.Members, n)
		self = self || n.Name == c.Name
		if n.Name == c.Name && n.Address != c.Listen {
			bad(fmt.Sprintf("peers[%d]", i), "%q: differs from the listen address %s of this coordinator", p, c.Listen)
		}
	}
	switch {
	case c.Join && len(c.Peers) > 0:
		bad("peers", "must be empty if join is set")
	case !c.Join && !self:
		bad("peers", "must include this coordinator")
	case !c.Join && len(c.Peers)%2 == 0:
		bad("peers", "%d peers: must be an odd number, such as three or five", len(c.Peers))
	}
	for name, at := range c.Routes {
		if _, err := netip.ParseAddrPort(at); err != nil {
			bad("routes."+name, "%q is not an IP address with a port", at)
		}
	}
	t := &c.Calendar
	if t.HookMs == 0 {
		t.HookMs = defaultHookMs
	}
	if t.Tries == 0 {
		t.Tries = defaultTries
	}
	if len(t.Hook) > 0 && t.Hook[0] == "" {
		bad("calendar.hook", "must be a command with its arguments")
	}
	if !(t.HookMs >= 1 && t.HookMs <= maxHookMs) {
		bad("calendar.hook_ms", "%g: must be 1 to %g", t.HookMs, maxHookMs)
	}
	if t.Tries < 1 || t.Tries > maxTries {
		bad("calendar.tries", "%d: must be 1 to %d", t.Tries, maxTries)
	}
	if c.Log.Level == "" {
		c.Log.Level = "info"
	}
	if c.Log.Format == "" {
		c.Log.Format = LogText
	}
	errs = append(errs, c.Log.Check())
	return c, errors.Join(errs...)
}
