package procs

import (
	"context"
	"fmt"

	"github.com/swifthall/swifthall/lab/stand"
)

const (
	minWarmUpMs       = 5e3 // minimum ms of the warm-up: the window over which doors average their rates
	warmUpRequests    = 75  // minimum number of requests to each door
	minWarmUpFinished = 50  // requests that each door must finish: three times the samples that a door needs of a class
)

// warmUp sends requests to each door until it has measurements of its own to decide by. A door that has just started assumes
// that the fleet finishes one request at a time, and treats six requests in flight as pressure: on a busy machine it rejects a
// few, whatever happens to other doors. Counting these would attribute the effect of a start to a release or a cut, so the
// requests rejected meanwhile are returned separately. A request without an answer is an error.
func warmUp(ctx context.Context, site *stand.Site, doors map[int]string, rate float64) (rejected int, err error) {
	if rate == 0 {
		return 0, nil
	}
	outcomes, err := startClients(ctx, site, doors, rate, max(minWarmUpMs, warmUpRequests/rate*msPerSecond))()
	if err != nil {
		return 0, err
	}
	for _, o := range outcomes {
		if rejected += o.Rejected; o.Failed > 0 || o.Finished < minWarmUpFinished {
			return 0, &DoorsError{[]string{fmt.Sprintf("a door without faults finished %d of %d operations in the warm-up, and %d failed", o.Finished, o.Asked, o.Failed)}}
		}
	}
	return rejected, nil
}
