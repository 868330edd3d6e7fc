// Command swifthall-coordinate runs a coordinator of drains and releases, and contains the operators' commands for coordinators.
// swifthall executes it for these commands. It is a separate program so that a door doesn't include its libraries.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/swifthall/swifthall/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Main(ctx, newRoot(), os.Stderr)
	stop()
	os.Exit(code)
}
