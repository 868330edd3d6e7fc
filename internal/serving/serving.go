// Package serving runs one front door as a process: configuration, log, resource limits, signals and companion tasks.
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

// Periods for which transient errors are retried.
const (
	startRetryFor  = 3 * time.Second // before the door listens; a restarted process must be ready within 10 s
	reloadRetryFor = 4 * time.Second // of reading a new configuration, which must apply within that time after SIGHUP
)

// Load reads the configuration that the environment names, and retries transient errors.
func Load(ctx context.Context) (config.Door, error) {
	return retry.Within(ctx, startRetryFor, func() (config.Door, error) { return config.Load(os.Getenv) })
}

// Companion runs beside a serving door until ctx ends. It may delay its return to send its last messages.
type Companion func(ctx context.Context, cfg config.Door, door *frontdoor.Door, log logrus.FieldLogger) error

// Door runs one front door until it receives SIGTERM or an interrupt. before is called with the configuration and may replace the process by
// another program. The companion is started with the door; if it fails, the door goes on serving. Both may be nil.
func Door(l LogFlags, before func(config.Door) error, companion Companion) error {
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
	for _, warning := range cfg.Warnings {
		log.Warn(warning)
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4) // the rest is for sockets, stacks and code
	}
	decider := policy.New(cfg.Settings.Terms, cfg.Seed)
	decider.CompareWith(cfg.Watch)
	door := frontdoor.New(cfg, decider, log)
	if err := inheritDescriptors(ctx, door); err != nil {
		return err
	}
	go func() {
		for range hup {
			next, err := retry.Within(ctx, reloadRetryFor, func() (config.Door, error) { return config.Reload(os.Getenv) })
			if err != nil {
				log.WithError(err).Error("configuration left as it was")
			} else {
				door.Reload(next)
			}
		}
	}()
	if companion == nil {
		return door.Serve(ctx)
	}
	companionDone := make(chan struct{})
	running, end := context.WithCancel(ctx)
	go func() {
		defer close(companionDone)
		if err := companion(running, cfg, door, log); err != nil {
			entry := log.WithError(err)
			for _, what := range remedy.Of(err) {
				entry = entry.WithField(fields.Remedy, what)
			}
			entry.Error("companion failed; the door goes on serving without it")
		}
	}()
	err = door.Serve(ctx)
	end()
	<-companionDone
	return err
}
