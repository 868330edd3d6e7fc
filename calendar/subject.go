package calendar

import (
	"fmt"
	"slices"
	"strings"
)

// Scope of a subject.
type Scope string

// Scopes.
const (
	Fleet    Scope = "fleet"
	Zone     Scope = "zone"
	Doors    Scope = "doors"
	Backends Scope = "backends"
	Plans    Scope = "plans"
)

// Subject is what a change, a freeze or a rule is about. Without names it is all of its scope.
type Subject struct {
	Scope Scope    `json:"scope"`
	Names []string `json:"names,omitempty"`
}

func (b *Subject) check(key string) error {
	switch {
	case !slices.Contains([]Scope{Fleet, Zone, Doors, Backends, Plans}, b.Scope):
		return &FormError{key + ".scope", fmt.Sprintf("%q, one of fleet, zone, doors, backends and plans is wanted", b.Scope)}
	case b.Scope == Fleet && len(b.Names) > 0:
		return &FormError{key + ".names", "the fleet has none"}
	case len(b.Names) > maxSubjectNames || slices.Contains(b.Names, ""):
		return &FormError{key + ".names", fmt.Sprintf("at most %d names, none of them empty, are wanted", maxSubjectNames)}
	}
	return nil
}

func (b *Subject) String() string {
	if len(b.Names) == 0 {
		return string(b.Scope)
	}
	return string(b.Scope) + " " + strings.Join(b.Names, ", ")
}

// subjectsOverlap tells whether two subjects have something in common. What isn't known to be apart is held to subjectsOverlap.
func (s *State) subjectsOverlap(a, b *Subject) bool {
	if a.Scope == Fleet || b.Scope == Fleet {
		return true
	}
	if a.Scope == b.Scope {
		return len(a.Names) == 0 || len(b.Names) == 0 || slices.ContainsFunc(a.Names, func(n string) bool { return slices.Contains(b.Names, n) })
	}
	if b.Scope == Zone {
		a, b = b, a
	}
	if a.Scope != Zone || b.Scope == Plans { // plans stand in no zone; doors and backends are apart
		return false
	}
	if len(a.Names) == 0 || len(b.Names) == 0 {
		return true
	}
	return slices.ContainsFunc(b.Names, func(n string) bool {
		zone, known := "", false
		if s.zones != nil {
			zone, known = s.zones.ZoneOf(b.Scope, n)
		}
		return !known || slices.Contains(a.Names, zone)
	})
}
