package doorfleet

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/members"
)

func row(name string, number int, s members.State) members.Row {
	return members.Row{Peer: members.Peer{Name: name, Number: number}, State: s}
}

func TestOnlyThoseKnownToHaveGoneCountAsAbsent(t *testing.T) {
	e := Word([]members.Row{row("a", 0, members.Here), row("b", 1, members.Suspect), row("c", 2, members.Away), row("d", 3, members.Left),
		row("e", -1, members.Here), row("f", 9, members.Leaving), row("g", 4, members.Joining)}, 6)
	assert.Equal(t, gate.DoorsUpdate{Present: []bool{true, true, false, false, true, true}, PresentCount: 4}, e)
}

func TestASuccessorStandsInForItsNumber(t *testing.T) {
	for _, rows := range [][]members.Row{{row("old", 0, members.Away), row("new", 0, members.Here)}, {row("new", 0, members.Here), row("old", 0, members.Away)}} {
		assert.True(t, Word(rows, 1).Present[0])
	}
}
