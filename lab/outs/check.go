// Package outs plays fleets whose doors go out by plan, in virtual time, against a state machine that gives permits, and
// judges by true times alone who was out at once.
package outs

import (
	"fmt"
	"sort"
)

// Bound is what must hold of a scope: all doors, or those of each zone.
type Bound struct {
	EachZone bool
	MostOut  int
}

// Gone is a time in which a door was truly out.
type Gone struct {
	Door   int
	From   float64
	To     float64 // when it was ready and warm again; +Inf for never
	ByPlan bool
}

// Stop is a time in which nothing may go out.
type Stop struct{ From, To float64 }

// Breach is one thing that must not be.
type Breach struct {
	Rule string
	At   float64
	Text string
}

// Rules.
const (
	PlannedWithinBudget = "no more out by plan than the budget"
	NoneBeyondBudget    = "nobody let out while the budget is full"
	NoneAfterHalt       = "nobody goes out after a halt"
)

const (
	detectionGraceMs = 6000.0 // ms in which a failure becomes known everywhere: it can't be counted before
	haltGraceMs      = 1000.0 // ms after which a halt holds
)

// Judge holds what truly happened against the bounds. It knows no permit and asks nobody.
func Judge(zones []int, gone []Gone, stops []Stop, bounds []Bound) (breaches []Breach) {
	sort.SliceStable(gone, func(a, b int) bool { return gone[a].From < gone[b].From })
	for i := range gone {
		g := &gone[i]
		if !g.ByPlan {
			continue
		}
		for _, s := range stops {
			if g.From > s.From+haltGraceMs && g.From < s.To {
				breaches = append(breaches, Breach{NoneAfterHalt, g.From, fmt.Sprintf("door %d went out %.0f ms after a halt", g.Door, g.From-s.From)})
			}
		}
		for _, b := range bounds {
			plan, all := map[int]bool{g.Door: true}, map[int]bool{g.Door: true}
			for j := range gone {
				o := &gone[j]
				if o.From > g.From || o.To <= g.From || b.EachZone && zones[o.Door] != zones[g.Door] {
					continue
				}
				if o.ByPlan {
					plan[o.Door], all[o.Door] = true, true
				} else if g.From-o.From > detectionGraceMs {
					all[o.Door] = true
				}
			}
			if len(plan) > b.MostOut {
				breaches = append(breaches, Breach{PlannedWithinBudget, g.From, fmt.Sprintf("%d doors out by plan, %d may be (each zone: %v)", len(plan), b.MostOut, b.EachZone)})
			} else if len(all) > b.MostOut {
				breaches = append(breaches, Breach{NoneBeyondBudget, g.From, fmt.Sprintf("door %d let out as the %dth with failures, %d may be (each zone: %v)", g.Door, len(all), b.MostOut, b.EachZone)})
			}
		}
	}
	return breaches
}
