// Command swifthall-lab is the laboratory; swifthall lab starts it. It is a program of its own so that a door does not
// carry its libraries.
package main

import (
	"os"

	"github.com/swifthall/swifthall/lab/command"
)

func main() { os.Exit(command.Main(command.New(), os.Stderr)) }
