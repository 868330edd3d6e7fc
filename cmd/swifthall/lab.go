package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"syscall"
)

const labProgram = "swifthall-lab"

// laboratory goes over into the laboratory's program.
func laboratory(args []string) error {
	path := ""
	if self, err := os.Executable(); err == nil {
		path = filepath.Join(filepath.Dir(self), labProgram)
	}
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath(labProgram); err != nil {
			return &ProgramError{Name: labProgram, Cause: err}
		}
	}
	if err := syscall.Exec(path, append([]string{labProgram}, args...), os.Environ()); err != nil {
		return &ProgramError{labProgram, path, err}
	}
	return nil
}

// version is the module's, with the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "swifthall, version unknown"
	}
	rev := ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			rev = " " + s.Value[:min(12, len(s.Value))]
		case "vcs.modified":
			if s.Value == "true" {
				rev += " (changed)"
			}
		}
	}
	return fmt.Sprintf("swifthall %s%s, %s", info.Main.Version, rev, info.GoVersion)
}
