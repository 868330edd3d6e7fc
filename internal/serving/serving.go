// Package serving is one front door as a program: configuration, log, limits, signals, and what runs beside it.
package serving

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/internal/retry"
	"github.com/swifthall/swifthall/policy"
)

// Times in which what fails for a moment is tried again.
const (
	startMost  = 3 * time.Second // of what a start needs, before it listens: a restarted process is to be ready within 10 s
	reloadMost = 4 * time.Second // of a new configuration, which counts so long after SIGHUP
)

// Load reads the configuration that the environment names, again where that fails for a moment.
func Load(ctx context.Context) (config.Door, error) {
	return retry.Within(ctx, startMost, func() (config.Door, error) { return config.Load(os.Getenv) })
}

// Beside is what runs beside a door that serves, until ctx ends and it has said what it has to say.
type Beside func(ctx context.Context, cfg config.Door, door *frontdoor.Door, log logrus.FieldLogger) error

// Door is one front door from its start to its end. before sees the configuration first, and may go over into another
// program; what runs beside the door is started with it. Both may be nil. The door serves whatever becomes of the latter.
func Door(l LogFlags, before func(config.Door) error, beside Beside) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log, flush := NewLog()
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := Load(ctx)
	if err != nil {
		return err
	}
	if cfg.Log, err = l.Apply(log, cfg.Log); err != nil {
		return err
	}
	if before != nil {
		if err := before(cfg); err != nil {
			return err
		}
	}
	for _, odd := range cfg.Warnings {
		log.Warn(odd)
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4) // the rest is for sockets, stacks and code
	}
	decider := policy.New(cfg.Settings.Terms, cfg.Seed)
	decider.CompareWith(cfg.Watch)
	door := frontdoor.New(cfg, decider, log)
	if err := handedOver(ctx, door); err != nil {
		return err
	}
	go func() {
		for range hup {
			next, err := retry.Within(ctx, reloadMost, func() (config.Door, error) { return config.Again(os.Getenv) })
			if err != nil {
				log.WithError(err).Error("configuration left as it was")
			} else {
				door.Reload(next)
			}
		}
	}()
	if beside == nil {
		return door.Serve(ctx)
	}
	over := make(chan struct{})
	with, end := context.WithCancel(ctx)
	go func() {
		defer close(over)
		if err := beside(with, cfg, door, log); err != nil {
			entry := log.WithError(err)
			for _, what := range remedy.Of(err) {
				entry = entry.WithField(fields.Remedy, what)
			}
			entry.Error("the door serves by itself")
		}
	}()
	err = door.Serve(ctx)
	end()
	<-over
	return err
}
