// Command swifthall-fleet is a front door that is a member of a fleet; swifthall goes over into it where the configuration
// has the key fleet. It is a program of its own so that a plain door does not carry its libraries.
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
