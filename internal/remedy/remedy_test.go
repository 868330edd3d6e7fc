package remedy

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

type typed struct {
	what string
	kind Kind
	err  error
}

func (t *typed) Error() string  { return t.what }
func (t *typed) Unwrap() error  { return t.err }
func (t *typed) Kind() Kind     { return t.kind }
func (t *typed) Remedy() string { return "mend " + t.what }

func TestTheInnermostErrorOfEachBranchSaysWhatToDo(t *testing.T) {
	port := &typed{"port", Unreachable, errors.New("refused")}
	key := &typed{"key", Configuration, nil}
	err := fmt.Errorf("starting: %w", &typed{"outside", Refused, errors.Join(key, fmt.Errorf("at: %w", port), key)})
	assert.Equal(t, []string{"mend key", "mend port"}, Of(err))
	assert.Equal(t, 3, ExitCode(err))
	assert.Equal(t, 5, ExitCode(port))
	assert.Equal(t, 1, ExitCode(errors.New("bare")))
	assert.Equal(t, 0, ExitCode(nil))
	var out bytes.Buffer
	Print(&out, port)
	assert.Equal(t, "error: port\nto do: mend port\n", out.String())
	assert.Equal(t, "a: b", WithCause("a", errors.New("b")))
}
