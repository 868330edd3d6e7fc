// Command swifthall-coordinate is a coordinator of drains and releases, and what operators ask coordinators; swifthall goes
// over into it. It is a program of its own so that a door does not carry its libraries.
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
