package serving

import (
	"fmt"
	"runtime/debug"
)

// Version returns the version of the module, the commit it was built from and the Go version.
func Version() string {
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

// Release returns a short version for other members of the fleet to show: the abbreviated commit, else the module version.
func Release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(7, len(s.Value))]
		}
	}
	return info.Main.Version
}
