package command

import (
	"context"

	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/stand"
)

func playOnSockets(ctx context.Context, s *scenario.Scenario, seed uint64, policy, binary, logs string, progress func(float64)) (*run.Result, error) {
	return stand.SocketRun{Scenario: s, Seed: seed, Policy: policy, Binary: binary, Logs: logs}.Run(ctx, progress)
}
