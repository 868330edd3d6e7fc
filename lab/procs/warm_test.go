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

// doorLike answers as a door that rejects its first so many requests, and loses one where it is told to.
type doorLike struct {
	rejects, loses int64
	came           atomic.Int64
}

func (d *doorLike) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch n := d.came.Add(1); {
	case n == d.loses:
		w.WriteHeader(http.StatusInternalServerError)
	case n <= d.rejects:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func warmed(t *testing.T, doors ...*doorLike) (rejected int, err error) {
	site, err := stand.NewSite(nil)
	require.NoError(t, err)
	defer site.Close()
	at := map[int]string{}
	for i, d := range doors {
		srv := httptest.NewServer(d)
		defer srv.Close()
		at[i] = strings.TrimPrefix(srv.URL, "http://")
	}
	return warm(context.Background(), site, at, 60)
}

// A rollout once failed for what doors rejected that had just started: six requests were out at each before its first answer.
func TestDoorsAreAskedBeforeTheirServiceCounts(t *testing.T) {
	t.Parallel()
	doors := []*doorLike{{rejects: 7}, {}}
	rejected, err := warmed(t, doors...)
	require.NoError(t, err)
	assert.Equal(t, 7, rejected)
	for _, d := range doors {
		assert.Greater(t, d.came.Load(), int64(leastWarm))
	}
}

func TestADoorThatIsNoDoorYetFailsTheRig(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]*doorLike{"loses one": {loses: 20}, "rejects most": {rejects: 1e6}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := warmed(t, d)
			var doors *DoorsError
			assert.ErrorAs(t, err, &doors)
		})
	}
}
