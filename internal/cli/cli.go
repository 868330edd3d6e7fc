// Package cli is how the project's programs begin and end: what is wrong, what to do, and a code by kind.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/internal/remedy"
)

// UsageError is a command line that the program doesn't understand.
type UsageError struct {
	Command string // as it would be called
	Cause   error
}

func (e *UsageError) Error() string     { return e.Cause.Error() }
func (e *UsageError) Unwrap() error     { return e.Cause }
func (e *UsageError) Kind() remedy.Kind { return remedy.Usage }
func (e *UsageError) Remedy() string    { return fmt.Sprintf("See %s --help.", e.Command) }

// Main runs a command and returns its exit code. What cobra refuses before the command itself begins is a UsageError.
func Main(ctx context.Context, cmd *cobra.Command, errs io.Writer) int {
	err := Execute(ctx, cmd)
	remedy.Print(errs, err)
	return remedy.ExitCode(err)
}

// Execute runs a command and returns its error, typed.
func Execute(ctx context.Context, cmd *cobra.Command) error {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	began := false
	mark(cmd, &began)
	at, err := cmd.ExecuteContextC(ctx)
	if err != nil && !began {
		return &UsageError{at.CommandPath(), err}
	}
	return err
}

// mark has a command and all below it say when they begin.
func mark(cmd *cobra.Command, began *bool) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(c *cobra.Command, args []string) error {
			*began = true
			return run(c, args)
		}
	}
	for _, c := range cmd.Commands() {
		mark(c, began)
	}
}
