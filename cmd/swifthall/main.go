// Command swifthall is one front door, and the way to what else the project has: swifthall alone, or swifthall serve,
// reads its configuration and serves until told to stop.
package main

import (
	"context"
	"os"

	"github.com/swifthall/swifthall/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), newRoot(), os.Stderr))
}
