package identity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAConnectionReachesTheListedProcessOnceAChangeWouldHaveBeenTold(t *testing.T) {
	var p Process
	assert.False(t, p.Reached(1000, 501), "it may have been established to another process a moment ago")
	assert.True(t, p.Reached(1000, 500))
	p.ConnectionLost(1000)
	assert.True(t, p.Reached(1500, 999), "an open connection of before proves that the process lives")
	assert.False(t, p.Reached(6999, 1500))
	p.ConnectionLost(2000)
	assert.False(t, p.Reached(7500, 2000), "each loss counts anew")
	assert.True(t, p.Reached(8000, 2000))
	p.ConnectionLost(9000)
	assert.False(t, p.Reached(9600, 9000))
	p.Listed()
	assert.True(t, p.Reached(9600, 9000))
}
