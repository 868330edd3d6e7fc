// Package cli runs the commands of the project's programs. It prints errors with their remedies and returns an exit code that
// depends on the kind of error.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/internal/remedy"
)

// UsageError is an invalid command line.
type UsageError struct {
	Command string // path of the command, as in "swifthall serve"
	Cause   error
}

func (e *UsageError) Error() string     { return e.Cause.Error() }
func (e *UsageError) Unwrap() error     { return e.Cause }
func (e *UsageError) Kind() remedy.Kind { return remedy.Usage }
func (e *UsageError) Remedy() string    { return fmt.Sprintf("See %s --help.", e.Command) }

// Main runs a command, prints its error and returns the exit code.
func Main(ctx context.Context, cmd *cobra.Command, errs io.Writer) int {
	err := Execute(ctx, cmd)
	remedy.Print(errs, err)
	return remedy.ExitCode(err)
}

// Execute runs a command and returns its error. Errors from cobra, before the command itself has started, become a UsageError.
func Execute(ctx context.Context, cmd *cobra.Command) error {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	started := false
	recordStart(cmd, &started)
	at, err := cmd.ExecuteContextC(ctx)
	if err != nil && !started {
		return &UsageError{at.CommandPath(), err}
	}
	return err
}

// recordStart wraps a command and all of its subcommands so that they set started when they run.
func recordStart(cmd *cobra.Command, started *bool) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(c *cobra.Command, args []string) error {
			*started = true
			return run(c, args)
		}
	}
	for _, c := range cmd.Commands() {
		recordStart(c, started)
	}
}
