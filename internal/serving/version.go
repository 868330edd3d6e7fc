package serving

import (
	"fmt"
	"runtime/debug"
)

// Version is the module's, with the commit that it was built from.
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

// Release is the version in few bytes, for others to see.
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
