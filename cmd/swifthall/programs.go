package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/serving"
)

// Programs of their own beside this one, so that a plain door does not carry their libraries.
const (
	labProgram   = "swifthall-lab"
	fleetProgram = "swifthall-fleet"

	coordinateProgram = "swifthall-coordinate"
)

// execProgram goes over into a program that lies beside this one or on the path.
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

// serve is one front door. With the key fleet it goes over into the program that carries membership.
func serve(l serving.LogFlags) error {
	return serving.Door(l, func(cfg config.Door) error {
		if cfg.Fleet == nil {
			return nil
		}
		return execProgram(fleetProgram, "serve", "--log-level", cfg.Log.Level, "--log-format", cfg.Log.Format)
	}, nil)
}
