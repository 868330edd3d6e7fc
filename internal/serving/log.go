package serving

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/logsink"
)

// NewLog returns a logger that writes to standard error without blocking. A reader of the log that is slow or gone neither
// delays nor ends the process. flush waits briefly until the buffered lines are written.
func NewLog() (log *logrus.Logger, flush func()) {
	signal.Ignore(syscall.SIGPIPE)
	log = logrus.New()
	sink := logsink.New(os.Stderr, func(dropped int64) []byte {
		entry := log.WithField(fields.Times, dropped)
		entry.Time, entry.Level, entry.Message = time.Now(), logrus.WarnLevel, "log lines dropped"
		line, err := entry.Bytes()
		if err != nil {
			return nil
		}
		return line
	})
	log.SetOutput(sink)
	return log, sink.Close
}

// LogFlags holds the values of the log flags; an empty value leaves the configuration as it is.
type LogFlags struct{ Level, Format string }

// override applies the flags to the configuration and checks the result.
func (l LogFlags) override(cfg config.Log) (config.Log, error) {
	if l.Level != "" {
		cfg.Level = l.Level
	}
	if l.Format != "" {
		cfg.Format = l.Format
	}
	return cfg, cfg.Check()
}

// Apply configures a logger from the configuration and the flags that override it, and returns the resulting configuration.
func (l LogFlags) Apply(log *logrus.Logger, cfg config.Log) (config.Log, error) {
	cfg, err := l.override(cfg)
	if err == nil {
		apply(log, cfg)
	}
	return cfg, err
}

// apply configures a logger from a configuration that has been checked.
func apply(log *logrus.Logger, cfg config.Log) {
	if level, err := logrus.ParseLevel(cfg.Level); err == nil {
		log.SetLevel(level)
	}
	log.SetFormatter(&logrus.TextFormatter{})
	if cfg.Format == config.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
}
