package procs

import (
	"context"
	"fmt"

	"github.com/swifthall/swifthall/lab/stand"
)

const (
	minWarmUpMs       = 5e3 // ms that doors are asked at least before their service counts: the time over which they average their rates
	warmUpRequests    = 75  // requests that each is asked at least,
	minWarmUpFinished = 50  // and must have finished of them: three times the samples that a door wants of a class
)

// warmUp has clients ask each of the doors until it has figures of its own to decide by. One that has just started guesses that the
// fleet finishes one request at a time, and takes six in flight for pressure: on a crowded machine it rejects a few, whatever
// befalls the others, and a rig that counted those would blame a release or a cut for what a start is. What is rejected meanwhile is
// told apart; what gets no answer fails the rig.
func warmUp(ctx context.Context, site *stand.Site, doors map[int]string, rate float64) (rejected int, err error) {
	if rate == 0 {
		return 0, nil
	}
	all, err := startClients(ctx, site, doors, rate, max(minWarmUpMs, warmUpRequests/rate*msPerSecond))()
	if err != nil {
		return 0, err
	}
	for _, o := range all {
		if rejected += o.Rejected; o.Failed > 0 || o.Finished < minWarmUpFinished {
			return 0, &DoorsError{[]string{fmt.Sprintf("a door that nothing befell finished %d of %d operations before the day, and lost %d", o.Finished, o.Asked, o.Failed)}}
		}
	}
	return rejected, nil
}
