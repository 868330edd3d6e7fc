// Command swifthall runs one front door and gives access to the project's other programs. swifthall alone, or swifthall serve,
// reads the configuration and serves until it is signalled to stop.
package main

import (
	"context"
	"os"

	"github.com/swifthall/swifthall/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), newRoot(), os.Stderr))
}
