package resp

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestACallIsWordedForTheCounter(t *testing.T) {
	assert.Equal(t, "*4\r\n$5\r\nTALLY\r\n$4\r\nab/7\r\n$4\r\n-2.5\r\n$4\r\n4001\r\n", string(AppendTally(nil, "ab/7", -2.5, 4000.2)))
	assert.True(t, strings.HasSuffix(string(AppendTally(nil, "a", 1, -5)), "$1\r\n1\r\n"), "the shortest life")
	assert.True(t, strings.HasSuffix(string(AppendTally(nil, "a", 1, 1e9)), "$5\r\n60000\r\n"), "the longest life")
}

func TestRepliesComeInOrderHoweverTheirBytesDo(t *testing.T) {
	const input = "$4\r\n12.5\r\n-BUSY later\r\n-ERR no such call\r\n$1\r\n3\r\n"
	want := []Reply{{Total: 12.5}, {Busy: true}, {ErrorText: "ERR no such call"}, {Total: 3}}
	for _, step := range []int{1, 3, len(input)} {
		var r Replies
		var got []Reply
		for p := input; p != ""; p = p[min(step, len(p)):] {
			require.NoError(t, r.Feed([]byte(p[:min(step, len(p))]), func(a Reply) error { got = append(got, a); return nil }))
		}
		assert.Equal(t, want, got)
	}
}

func TestNoiseEndsTheConnection(t *testing.T) {
	for _, input := range []string{"hello\r\n", "$-1\r\n", "$900\r\n", "$3\r\nabc\r\n", "$3\r\nNaN\r\n", "$1\r\n12\r\n", "-BUSY\n",
		"-" + strings.Repeat("x", longestLine+1)} {
		var r Replies
		assert.Error(t, r.Feed([]byte(input), func(Reply) error { return nil }), input)
	}
	uncalled := errors.New("uncalled")
	assert.ErrorIs(t, new(Replies).Feed([]byte("$1\r\n3\r\n"), func(Reply) error { return uncalled }), uncalled)
}
