// Package outs simulates, in virtual time, fleets whose doors and backends are taken out of service under permits, and releases
// of their software. Its checkers know only what really happened in the simulation: which units were out at what time.
package outs

import (
	"fmt"
	"sort"
)

// BudgetLimit is the largest number of doors that may be out in a scope: the whole fleet, or each zone separately.
type BudgetLimit struct {
	EachZone bool
	MostOut  int
}

// Outage is a period in which a door was really out of service.
type Outage struct {
	Door    int
	From    float64
	To      float64 // when it was ready and warm again; +Inf if it never was
	Planned bool
}

// HaltPeriod is a period in which no door may go out.
type HaltPeriod struct{ From, To float64 }

// Violation is one violation of a rule.
type Violation struct {
	Rule string
	At   float64
	Text string
}

// Rules for outages.
const (
	PlannedWithinBudget = "no more out by plan than the budget"
	NoneBeyondBudget    = "nobody let out while the budget is full"
	NoneAfterHalt       = "nobody goes out after a halt"
)

// Grace periods, ms.
const (
	detectionGraceMs = 6000.0 // until a failure is known everywhere; the permit state can't count it earlier
	haltGraceMs      = 1000.0 // until a halt takes effect
)

// CheckOutages compares the real outages with the limits and the halt periods, and returns every violation. It knows nothing of
// permits. A planned outage counts at once, a failure only after detectionGraceMs.
func CheckOutages(zones []int, gone []Outage, stops []HaltPeriod, bounds []BudgetLimit) (breaches []Violation) {
	sort.SliceStable(gone, func(a, b int) bool { return gone[a].From < gone[b].From })
	for i := range gone {
		g := &gone[i]
		if !g.Planned {
			continue
		}
		for _, s := range stops {
			if g.From > s.From+haltGraceMs && g.From < s.To {
				breaches = append(breaches, Violation{NoneAfterHalt, g.From, fmt.Sprintf("door %d went out %.0f ms after a halt", g.Door, g.From-s.From)})
			}
		}
		for _, b := range bounds {
			plan, all := map[int]bool{g.Door: true}, map[int]bool{g.Door: true}
			for j := range gone {
				o := &gone[j]
				if o.From > g.From || o.To <= g.From || b.EachZone && zones[o.Door] != zones[g.Door] {
					continue
				}
				if o.Planned {
					plan[o.Door], all[o.Door] = true, true
				} else if g.From-o.From > detectionGraceMs {
					all[o.Door] = true
				}
			}
			if len(plan) > b.MostOut {
				breaches = append(breaches, Violation{PlannedWithinBudget, g.From, fmt.Sprintf("%d doors out by plan, %d may be (each zone: %v)", len(plan), b.MostOut, b.EachZone)})
			} else if len(all) > b.MostOut {
				breaches = append(breaches, Violation{NoneBeyondBudget, g.From, fmt.Sprintf("door %d let out as number %d with failures, %d may be (each zone: %v)", g.Door, len(all), b.MostOut, b.EachZone)})
			}
		}
	}
	return breaches
}
