package coordinator

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/members/transporttest"
)

// streamAdapter adapts a raft.StreamLayer to the contract test's interface.
type streamAdapter struct{ raft.StreamLayer }

func (s streamAdapter) Dial(address string, timeout time.Duration) (net.Conn, error) {
	return s.StreamLayer.Dial(raft.ServerAddress(address), timeout)
}

func TestStreamLayerContract(t *testing.T) {
	transporttest.RunStreams(t, transporttest.StreamConfig{UnusedAddress: "127.0.0.1:1", Listen: func(t *testing.T) transporttest.StreamLayer {
		l, err := Listen("127.0.0.1:0")
		require.NoError(t, err)
		return streamAdapter{l}
	}})
}
