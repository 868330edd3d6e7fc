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

// Variables by which another process tells a door's what it hands over: numbers of descriptors.
const (
	ListenerVariable = "SWIFTHALL_LISTENER" // where clients connect
	ReadyVariable    = "SWIFTHALL_READY"    // gets one byte once the door can serve
)

const readyLook = 10 * time.Millisecond // between looks whether the door can serve

// handedOver takes up what another process hands over to this one; without it nothing is done.
func handedOver(ctx context.Context, door *frontdoor.Door) error {
	if f, err := descriptor(ListenerVariable); err != nil {
		return err
	} else if f != nil {
		ln, err := retry.Within(ctx, startMost, func() (net.Listener, error) { return net.FileListener(f) })
		f.Close()
		tcp, ok := ln.(*net.TCPListener)
		if err != nil || !ok {
			return &HandedError{ListenerVariable, err}
		}
		door.UseListener(tcp)
	}
	f, err := descriptor(ReadyVariable)
	if err != nil || f == nil {
		return err
	}
	go func() {
		defer f.Close()
		for !door.Ready() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(readyLook):
			}
		}
		_, _ = f.Write([]byte{1})
	}()
	return nil
}

func descriptor(name string) (*os.File, error) {
	text := os.Getenv(name)
	if text == "" {
		return nil, nil
	}
	os.Unsetenv(name)
	n, err := strconv.Atoi(text)
	if err != nil || n < 3 {
		return nil, &HandedError{name, err}
	}
	return os.NewFile(uintptr(n), name), nil
}

// HandedError is something that another process hands over and that can't be taken up.
type HandedError struct {
	Variable string
	Cause    error
}

func (e *HandedError) Error() string     { return remedy.WithCause("what "+e.Variable+" names", e.Cause) }
func (e *HandedError) Unwrap() error     { return e.Cause }
func (e *HandedError) Kind() remedy.Kind { return remedy.Usage }

// Remedy says who sets it.
func (e *HandedError) Remedy() string {
	return "Leave " + e.Variable + " unset: the process that holds a door's listener sets it by itself."
}
