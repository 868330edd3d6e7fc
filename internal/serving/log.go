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

// NewLog returns the log of a process that serves, to standard error. Nothing waits for who reads it, and the process outlives
// a reader that has gone. flush waits a moment until what was logged is written.
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

// LogFlags is what the flags say of the log; empty where they say nothing.
type LogFlags struct{ Level, Format string }

// over puts the flags over the file's keys.
func (l LogFlags) over(of config.Log) (config.Log, error) {
	if l.Level != "" {
		of.Level = l.Level
	}
	if l.Format != "" {
		of.Format = l.Format
	}
	return of, of.Check()
}

// Apply has a logger do as the file's keys say, and the flags over them, and returns what it did.
func (l LogFlags) Apply(log *logrus.Logger, of config.Log) (config.Log, error) {
	of, err := l.over(of)
	if err == nil {
		apply(log, of)
	}
	return of, err
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
