// Command swifthall-fleet runs a front door that is a member of a fleet. swifthall executes it if the configuration has the key
// fleet. It is a separate program so that a door without a fleet doesn't include its libraries.
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
