package identity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAProcessIsInDoubtUntilAChangeWouldHaveBeenTold(t *testing.T) {
	var p Process
	assert.True(t, p.Certain(0, NewConnection))
	p.ConnectionLost(1000)
	assert.False(t, p.Certain(1000, NewConnection))
	assert.False(t, p.Certain(6999, 1500))
	assert.True(t, p.Certain(1000, 999), "an open connection of before proves that the process lives")
	p.ConnectionLost(2000)
	assert.False(t, p.Certain(7500, NewConnection), "each loss counts anew")
	assert.True(t, p.Certain(8000, NewConnection))
	p.ConnectionLost(9000)
	p.Listed()
	assert.True(t, p.Certain(9000, NewConnection))
}
