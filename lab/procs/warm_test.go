package procs

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/stand"
)

// fakeDoor is an HTTP server that rejects its first rejectFirst requests and answers number failNth with an internal error.
type fakeDoor struct {
	rejectFirst, failNth int64
	arrivals             atomic.Int64
}

func (d *fakeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch n := d.arrivals.Add(1); {
	case n == d.failNth:
		w.WriteHeader(http.StatusInternalServerError)
	case n <= d.rejectFirst:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func runWarmUp(t *testing.T, doors ...*fakeDoor) (rejected int, err error) {
	site, err := stand.NewSite(nil)
	require.NoError(t, err)
	defer site.Close()
	at := map[int]string{}
	for i, d := range doors {
		srv := httptest.NewServer(d)
		defer srv.Close()
		at[i] = strings.TrimPrefix(srv.URL, "http://")
	}
	return warmUp(context.Background(), site, at, 60)
}

// Rejections by doors that have just started must not count against a rollout: a door with six requests in flight before its
// first answer rejects some.
func TestWarmUpRejectionsAreCountedSeparately(t *testing.T) {
	t.Parallel()
	doors := []*fakeDoor{{rejectFirst: 7}, {}}
	rejected, err := runWarmUp(t, doors...)
	require.NoError(t, err)
	assert.Equal(t, 7, rejected)
	for _, d := range doors {
		assert.Greater(t, d.arrivals.Load(), int64(minWarmUpFinished))
	}
}

func TestDoorFailingWarmUpIsAnError(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]*fakeDoor{"fails one": {failNth: 20}, "rejects most": {rejectFirst: 1e6}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := runWarmUp(t, d)
			var doors *DoorsError
			assert.ErrorAs(t, err, &doors)
		})
	}
}
