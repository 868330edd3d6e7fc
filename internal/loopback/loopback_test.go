package loopback

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const portOf = "LOOPBACK_TEST_PORT" // names the port that a process of the test asks for

// TestMain has the test's own program be the other process where it is told a port: it ends with 0 where it gets it.
func TestMain(m *testing.M) {
	if port, err := strconv.Atoi(os.Getenv(portOf)); err == nil {
		if _, held := take(port); held == nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func otherGets(t *testing.T, port int) bool {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), portOf+"="+strconv.Itoa(port))
	err := cmd.Run()
	if err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		require.Equal(t, 1, exit.ExitCode())
	}
	return err == nil
}

// A coordinator once could not begin: two rigs, each a process, had looked at the same port before either used it.
func TestAPortIsHandedOutByOneProcessAtATime(t *testing.T) {
	at, err := Free()
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(at)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	assert.False(t, otherGets(t, port))
	_, again := take(port)
	assert.Nil(t, again)
	held, _ := given.LoadAndDelete(port)
	held.(net.Listener).Close()
	assert.True(t, otherGets(t, port), "what another process had is free once it has ended")
	assert.True(t, otherGets(t, port))
}

func TestAPortInUseIsNotFree(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		at, err := Free()
		require.NoError(t, err)
		_, text, err := net.SplitHostPort(at)
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		held, _ := given.LoadAndDelete(port)
		held.(net.Listener).Close()
		if network == "tcp" {
			ln, err := net.Listen(network, at)
			require.NoError(t, err)
			defer ln.Close()
		} else {
			pc, err := net.ListenPacket(network, at)
			require.NoError(t, err)
			defer pc.Close()
		}
		_, held2 := take(port)
		assert.Nil(t, held2, network)
		assert.False(t, otherGets(t, port), network)
	}
}
