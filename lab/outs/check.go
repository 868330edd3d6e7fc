// Package outs plays fleets whose doors go out by plan, in virtual time, against a state machine that gives permits, and
// judges by true times alone who was out at once.
package outs

import (
	"fmt"
	"sort"
)

// BudgetLimit is what must hold of a scope: all doors, or those of each zone.
type BudgetLimit struct {
	EachZone bool
	MostOut  int
}

// Outage is a time in which a door was truly out.
type Outage struct {
	Door    int
	From    float64
	To      float64 // when it was ready and warm again; +Inf for never
	Planned bool
}

// HaltPeriod is a time in which nothing may go out.
type HaltPeriod struct{ From, To float64 }

// Breach is one thing that must not be.
type Breach struct {
	Rule string
	At   float64
	Text string
}

// Rules.
const (
	PlanWithin = "no more out by plan than the budget"
	LetOut     = "nobody let out while the budget is full"
	Halted     = "nobody goes out after a halt"
)

const (
	foundFor = 6000.0 // ms in which a failure becomes known everywhere: it can't be counted before
	haltFor  = 1000.0 // ms after which a halt holds
)

// CheckOutages holds what truly happened against the bounds. It knows no permit and asks nobody.
func CheckOutages(zones []int, gone []Outage, stops []HaltPeriod, bounds []BudgetLimit) (breaches []Breach) {
	sort.SliceStable(gone, func(a, b int) bool { return gone[a].From < gone[b].From })
	for i := range gone {
		g := &gone[i]
		if !g.Planned {
			continue
		}
		for _, s := range stops {
			if g.From > s.From+haltFor && g.From < s.To {
				breaches = append(breaches, Breach{Halted, g.From, fmt.Sprintf("door %d went out %.0f ms after a halt", g.Door, g.From-s.From)})
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
				} else if g.From-o.From > foundFor {
					all[o.Door] = true
				}
			}
			if len(plan) > b.MostOut {
				breaches = append(breaches, Breach{PlanWithin, g.From, fmt.Sprintf("%d doors out by plan, %d may be (each zone: %v)", len(plan), b.MostOut, b.EachZone)})
			} else if len(all) > b.MostOut {
				breaches = append(breaches, Breach{LetOut, g.From, fmt.Sprintf("door %d let out as the %dth with failures, %d may be (each zone: %v)", g.Door, len(all), b.MostOut, b.EachZone)})
			}
		}
	}
	return breaches
}
