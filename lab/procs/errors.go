package procs

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// NameError is a schedule that is neither a file nor one that ships.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("schedule %q: no such file, and none that ships; those are %s", e.Name, strings.Join(Names(), ", "))
}
func (e *NameError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the command that lists them.
func (e *NameError) Remedy() string {
	return "Name a file, or one that swifthall lab procs --list shows."
}

// StoppedError is a play that was ended before its time.
type StoppedError struct {
	AtS   float64
	Cause error
}

func (e *StoppedError) Error() string {
	return remedy.Because(fmt.Sprintf("play stopped at %.1f s", e.AtS), e.Cause)
}
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what became of the play.
func (e *StoppedError) Remedy() string { return "Play it again and let it end; nothing was judged." }
