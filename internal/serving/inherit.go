package serving

import (
	"context"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/internal/retry"
)

// Environment variables that hold the numbers of file descriptors inherited from a supervising process.
const (
	ListenerVariable = "SWIFTHALL_LISTENER" // listener for clients
	ReadyVariable    = "SWIFTHALL_READY"    // pipe that receives one byte once the door is ready
)

const readyPollInterval = 10 * time.Millisecond // between checks whether the door is ready

// inheritDescriptors uses the descriptors that a supervising process passes to this one. Without such a process it does nothing.
func inheritDescriptors(ctx context.Context, door *frontdoor.Door) error {
	if f, err := inheritedFile(ListenerVariable); err != nil {
		return err
	} else if f != nil {
		ln, err := retry.Within(ctx, startRetryFor, func() (net.Listener, error) { return net.FileListener(f) })
		f.Close()
		tcp, ok := ln.(*net.TCPListener)
		if err != nil || !ok {
			return &DescriptorError{ListenerVariable, err}
		}
		door.UseListener(tcp)
	}
	f, err := inheritedFile(ReadyVariable)
	if err != nil || f == nil {
		return err
	}
	go func() {
		defer f.Close()
		for !door.Ready() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(readyPollInterval):
			}
		}
		_, _ = f.Write([]byte{1})
	}()
	return nil
}

// inheritedFile returns the descriptor whose number the variable holds, or nil if the variable is unset. It unsets the variable.
func inheritedFile(name string) (*os.File, error) {
	text := os.Getenv(name)
	if text == "" {
		return nil, nil
	}
	os.Unsetenv(name)
	n, err := strconv.Atoi(text)
	if err != nil || n < 3 {
		return nil, &DescriptorError{name, err}
	}
	return os.NewFile(uintptr(n), name), nil
}

// DescriptorError is an inherited file descriptor that cannot be used.
type DescriptorError struct {
	Variable string
	Cause    error
}

func (e *DescriptorError) Error() string {
	return remedy.WithCause("file descriptor in "+e.Variable+" is unusable", e.Cause)
}
func (e *DescriptorError) Unwrap() error     { return e.Cause }
func (e *DescriptorError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the process that sets the variable.
func (e *DescriptorError) Remedy() string {
	return "Leave " + e.Variable + " unset: only the process that supervises a door sets it."
}
