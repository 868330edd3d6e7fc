package registry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzWatch(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\n\r\n0\r\n\r\n", len(completeList)+1, completeList)))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n" + changedEntry + "\n\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		read := func(step int) (got []List, done, failed bool) {
			var w Watch
			for q := p; len(q) > 0; q = q[min(step, len(q)):] {
				done, err := w.Feed(q[:min(step, len(q))], func(l List) { got = append(got, l) })
				if done || err != nil {
					return got, done, err != nil
				}
			}
			return got, false, false
		}
		got, done, failed := read(max(1, len(p)))
		gotB, doneB, failedB := read(1)
		require.Equal(t, failed, failedB, "the result does not depend on how the input is split")
		require.Equal(t, done, doneB)
		require.Equal(t, got, gotB)
	})
}
