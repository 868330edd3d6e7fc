// Command swifthall is one front door: it reads its configuration and serves until told to stop.
package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/policy"
)

func main() {
	log := logrus.New()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.WithError(err).Fatal("configuration")
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4) // the rest is for sockets, stacks and code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := frontdoor.New(cfg, policy.New(cfg.Deal.Terms, cfg.Seed), log).Serve(ctx); err != nil {
		log.WithError(err).Fatal("serving")
	}
}
