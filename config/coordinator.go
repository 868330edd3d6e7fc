package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// Coordinator is all that a coordinator is told before it starts. Addresses are of IP and port, loopback or private: neither
// messages between coordinators nor commands are secured.
type Coordinator struct {
	Name   string            `json:"name"`
	Fleet  string            `json:"fleet"`
	Listen string            `json:"listen"` // where other coordinators reach it
	API    string            `json:"api"`    // where doors and operators do
	Data   string            `json:"data"`   // folder of its file
	Peers  []string          `json:"peers"`  // those that begin together, itself among them, each as "name/address"
	Join   bool              `json:"join"`   // it begins empty, and waits until it is added
	Routes map[string]string `json:"routes"` // where it reaches others, by name, if not where they say
	Log    Log               `json:"log"`

	Calendar Told `json:"calendar"`

	Members []NamedAddress `json:"-"` // Peers, taken apart
}

// Told is who is told what happens in the calendar, besides the log.
type Told struct {
	Events string   `json:"events"`  // file that each event is added to, as a line of JSON
	Hook   []string `json:"hook"`    // command that is run for each, with the line for its input
	HookMs float64  `json:"hook_ms"` // that it is given
	Tries  int      `json:"tries"`   // for each, a second apart
}

const (
	defaultHookMs = 5e3 // a message to a chat or a mail takes some seconds at most
	mostHookMs    = 60e3
	defaultTries  = 5
	mostTries     = 100
)

// NamedAddress is "name/address", taken apart.
type NamedAddress struct{ Name, Address string }

// ParseNamedAddress takes "name/address" apart. The address is of IP and port.
func ParseNamedAddress(text string) (n NamedAddress, err error) {
	name, address, ok := strings.Cut(text, "/")
	if !ok || name == "" {
		return n, &KeyError{Says: `"name/address" is wanted`}
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return n, &KeyError{Says: "not an IP address with a port", Cause: err}
	}
	return NamedAddress{name, address}, nil
}

func private(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() || a.IsLinkLocalUnicast() }

// LoadCoordinator reads a coordinator's file.
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

// ReadCoordinator decodes and checks a coordinator's file. Its error joins all that is wrong, key by key.
func ReadCoordinator(raw []byte) (Coordinator, error) {
	var c Coordinator
	dec := json.NewDecoder(strings.NewReader(string(raw)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return c, &KeyError{Says: "the file can't be read", Cause: err, In: "coordinator"}
	}
	var faults []error
	bad := func(key, format string, args ...any) {
		faults = append(faults, &KeyError{Key: key, Says: fmt.Sprintf(format, args...), In: "coordinator"})
	}
	if c.Name == "" || strings.Contains(c.Name, "/") || len(c.Name) > longestName {
		bad("name", "%q: 1 to %d bytes without / are wanted", c.Name, longestName)
	}
	if c.Fleet == "" {
		bad("fleet", "missing")
	}
	if c.Data == "" {
		bad("data", "missing: a folder that outlives the process")
	}
	for key, address := range map[string]string{"listen": c.Listen, "api": c.API} {
		if at, err := netip.ParseAddrPort(address); err != nil {
			bad(key, "%q is not an IP address with a port", address)
		} else if !private(at.Addr()) {
			bad(key, "%q is neither loopback nor private: what comes there is not secured", address)
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
			bad(fmt.Sprintf("peers[%d]", i), "%q, though this one listens at %s", p, c.Listen)
		}
	}
	switch {
	case c.Join && len(c.Peers) > 0:
		bad("peers", "there are some, though the coordinator waits to be added")
	case !c.Join && !self:
		bad("peers", "this coordinator is not among them")
	case !c.Join && len(c.Peers)%2 == 0:
		bad("peers", "%d: an odd number is wanted, three or five", len(c.Peers))
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
		bad("calendar.hook", "a command with its arguments is wanted")
	}
	if !(t.HookMs >= 1 && t.HookMs <= mostHookMs) {
		bad("calendar.hook_ms", "%g, 1 to %g are wanted", t.HookMs, mostHookMs)
	}
	if t.Tries < 1 || t.Tries > mostTries {
		bad("calendar.tries", "%d, 1 to %d are wanted", t.Tries, mostTries)
	}
	if c.Log.Level == "" {
		c.Log.Level = "info"
	}
	if c.Log.Format == "" {
		c.Log.Format = LogText
	}
	faults = append(faults, c.Log.Check())
	return c, errors.Join(faults...)
}
