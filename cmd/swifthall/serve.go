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

// logging is what the flags say of the log; empty where they say nothing.
type logging struct{ level, format string }

// over puts the flags over the file's keys.
func (l logging) over(of config.Log) (config.Log, error) {
	if l.level != "" {
		of.Level = l.level
	}
	if l.format != "" {
		of.Format = l.format
	}
	return of, of.Check()
}

// apply has a logger do as the configuration says, which has been checked.
func apply(log *logrus.Logger, of config.Log) {
	if level, err := logrus.ParseLevel(of.Level); err == nil {
		log.SetLevel(level)
	}
	log.SetFormatter(&logrus.TextFormatter{})
	if of.Format == config.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
}

// serve is one front door from its start to its end.
func serve(l logging) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := logrus.New()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if cfg.Log, err = l.over(cfg.Log); err != nil {
		return err
	}
	apply(log, cfg.Log)
	for _, odd := range cfg.Odd {
		log.Warn(odd)
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4) // the rest is for sockets, stacks and code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	decider := policy.New(cfg.Deal.Terms, cfg.Seed)
	decider.Watch(cfg.Watch)
	door := frontdoor.New(cfg, decider, log)
	go func() {
		for range hup {
			if next, err := config.Again(os.Getenv); err != nil {
				log.WithError(err).Error("configuration left as it was")
			} else {
				door.Reload(next)
			}
		}
	}()
	return door.Serve(ctx)
}
