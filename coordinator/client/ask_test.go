package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
)

// heardBy is the bound of the pages for what a silent server may cost.
const heardBy = 6 * time.Second

// serveCoordinator starts a coordinator that answers each request after a delay, never if it is 0, and returns its address and
// the number of requests.
func serveCoordinator(t *testing.T, name string, delay time.Duration, status int, body string) (config.NamedAddress, *atomic.Int64) {
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		answer := time.After(delay)
		if delay == 0 {
			answer = nil
		}
		select {
		case <-answer:
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return config.NamedAddress{Name: name, Address: server.Listener.Addr().String()}, &asked
}

// Guards against coordinators that answer, and are never heard because each request is given up before its answer.
func TestSlowCoordinatorsAreHeard(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 700 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			follower, _ := serveCoordinator(t, "b", delay, http.StatusMisdirectedRequest, `{"leader":"c"}`)
			leader, asked := serveCoordinator(t, "c", delay, http.StatusOK, `{"number":7}`)
			c := New([]config.NamedAddress{follower, leader})
			for range 2 {
				ctx, stop := context.WithTimeout(t.Context(), heardBy)
				var answer struct{ Number int }
				require.NoError(t, c.Ask(ctx, StatusPath, struct{}{}, &answer))
				stop()
				assert.Equal(t, 7, answer.Number)
			}
			assert.LessOrEqual(t, asked.Load(), int64(2), "each request is sent to the leader once")
		})
	}
}

func TestSilentCoordinatorIsPassedOver(t *testing.T) {
	t.Parallel()
	silent, asked := serveCoordinator(t, "a", 0, 0, "")
	leader, _ := serveCoordinator(t, "b", time.Millisecond, http.StatusOK, `{}`)
	began := time.Now()
	require.NoError(t, New([]config.NamedAddress{silent, leader}).Ask(t.Context(), StatusPath, struct{}{}, &struct{}{}))
	assert.Less(t, time.Since(began), heardBy/2)
	assert.Equal(t, int64(1), asked.Load())
}

func TestUnansweredQuestionNamesTheCoordinators(t *testing.T) {
	t.Parallel()
	silent, asked := serveCoordinator(t, "a", 0, 0, "")
	ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
	defer stop()
	err := New([]config.NamedAddress{silent}).Ask(ctx, StatusPath, struct{}{}, &struct{}{})
	var failure *NoLeaderError
	require.True(t, errors.As(err, &failure))
	assert.Contains(t, err.Error(), silent.Address)
	assert.Equal(t, int64(1), asked.Load(), "a coordinator that may yet answer is not asked again")
}
