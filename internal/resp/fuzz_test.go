package resp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzReplies(f *testing.F) {
	f.Add([]byte("$4\r\n12.5\r\n-BUSY later\r\n-ERR no such call\r\n$1\r\n3\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		read := func(step int) (got []Reply, failed bool) {
			var r Replies
			for q := p; len(q) > 0; q = q[min(step, len(q)):] {
				if r.Feed(q[:min(step, len(q))], func(a Reply) error { got = append(got, a); return nil }) != nil {
					return got, true
				}
			}
			return got, false
		}
		got, failed := read(max(1, len(p)))
		gotB, failedB := read(1)
		require.Equal(t, failed, failedB, "the result does not depend on how the input is split")
		require.Equal(t, got, gotB)
	})
}
