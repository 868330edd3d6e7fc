package frontdoor

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRecentIDsAreKeptForTheirTimeAndInBoundedNumber(t *testing.T) {
	r := newRecentIDs(1)
	r.add("a", 0)
	r.add("a", 1000)
	assert.True(t, r.contains("a", recentIDTime))
	r.add("b", recentIDTime+1)
	assert.True(t, r.contains("a", recentIDTime+1), "it was added again")
	assert.False(t, r.contains("a", recentIDTime+1000))
	for i := range 10 * r.limit {
		r.add(strconv.Itoa(i), recentIDTime+2)
	}
	assert.LessOrEqual(t, len(r.oldest), r.limit)
	assert.LessOrEqual(t, len(r.until), r.limit)
	assert.False(t, r.contains("b", recentIDTime+2))
	assert.True(t, r.contains(strconv.Itoa(10*r.limit-1), recentIDTime+2))
}
