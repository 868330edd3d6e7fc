package calendar

import (
	"fmt"
	"slices"
	"strings"
)

// Scope is the kind of things that a subject covers.
type Scope string

// Scopes of subjects.
const (
	Fleet    Scope = "fleet"
	Zone     Scope = "zone"
	Doors    Scope = "doors"
	Backends Scope = "backends"
	Plans    Scope = "plans"
)

// Subject is the part of the fleet that a change, a freeze or a rule applies to. Without names it covers everything in its scope.
type Subject struct {
	Scope Scope    `json:"scope"`
	Names []string `json:"names,omitempty"`
}

// check validates the subject, which is at the given key of a command.
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

// String returns the scope and the names, as in "doors d0, d1".
func (b *Subject) String() string {
	if len(b.Names) == 0 {
		return string(b.Scope)
	}
	return string(b.Scope) + " " + strings.Join(b.Names, ", ")
}

// subjectsOverlap reports whether two subjects have a unit in common. A unit whose zone is unknown is taken to be in every zone.
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
	if a.Scope != Zone || b.Scope == Plans { // plans belong to no zone; doors and backends never overlap
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
