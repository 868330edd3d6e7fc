// Command swifthall is one front door, and the way to what else the project has: swifthall alone, or swifthall serve,
// reads its configuration and serves until told to stop.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
