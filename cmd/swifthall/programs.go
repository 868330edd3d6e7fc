package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/serving"
)

// Names of the other programs. They are separate so that a door without a fleet doesn't include their libraries.
const (
	labProgram   = "swifthall-lab"
	fleetProgram = "swifthall-fleet"

	coordinateProgram = "swifthall-coordinate"
)

// execProgram replaces this process by another program, which it looks for in this program's directory and then in PATH. It returns
// only on errors.
func execProgram(program string, args ...string) error {
	path := ""
	if self, err := os.Executable(); err == nil {
		path = filepath.Join(filepath.Dir(self), program)
	}
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath(program); err != nil {
			return &ProgramError{Name: program, Cause: err}
		}
	}
	if err := syscall.Exec(path, append([]string{program}, args...), os.Environ()); err != nil {
		return &ProgramError{program, path, err}
	}
	return nil
}

// serve runs one front door. If the configuration has the key fleet, it executes swifthall-fleet, which includes membership.
func serve(logFlags serving.LogFlags) error {
	return serving.Door(logFlags, func(cfg config.Door) error {
		if cfg.Fleet == nil {
			return nil
		}
		return execProgram(fleetProgram, "serve", "--log-level", cfg.Log.Level, "--log-format", cfg.Log.Format)
	}, nil)
}
