// Package scenarios holds the scenarios that ship with the laboratory, each named for what it shows.
package scenarios

import (
	"embed"
	"os"
	"path"
	"strings"

	"github.com/swifthall/swifthall/lab/scenario"
)

//go:embed *.toml
var files embed.FS

// Names lists them.
func Names() []string { return scenario.EmbeddedNames(files, ".") }

// Open reads a scenario file, or one that ships where there is no such file.
func Open(name string) (scenario.Scenario, error) {
	if _, err := os.Stat(name); err == nil {
		return scenario.ReadFile(name)
	}
	raw, err := files.ReadFile(path.Base(name) + ".toml")
	if err != nil || strings.ContainsRune(name, '/') {
		return scenario.Scenario{}, &NameError{name}
	}
	s, err := scenario.Read(raw)
	if err != nil {
		return scenario.Scenario{}, &scenario.FileError{Path: name, Cause: err}
	}
	return s, nil
}
