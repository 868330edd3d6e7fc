// Command swifthall-lab is the laboratory; swifthall lab starts it. It is a separate program so that a door doesn't include its
// libraries.
package main

import (
	"os"

	"github.com/swifthall/swifthall/lab/command"
)

func main() { os.Exit(command.Main(command.New(), os.Stderr)) }
