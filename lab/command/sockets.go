package command

import (
	"context"
	"errors"

	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
)

func playOnSockets(ctx context.Context, s *scenario.Scenario, seed uint64, policy string, progress func(float64)) (*run.Result, error) {
	return nil, errors.New("not yet")
}
