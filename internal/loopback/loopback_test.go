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

const portVariable = "LOOPBACK_TEST_PORT" // holds the port that a child process of the test reserves

// TestMain acts as the other process if portVariable is set: it exits with 0 if it can reserve the port.
func TestMain(m *testing.M) {
	if port, err := strconv.Atoi(os.Getenv(portVariable)); err == nil {
		if _, held := reserve(port); held == nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// otherReserves reports whether another process can reserve the port.
func otherReserves(t *testing.T, port int) bool {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), portVariable+"="+strconv.Itoa(port))
	err := cmd.Run()
	if err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
		require.Equal(t, 1, exit.ExitCode())
	}
	return err == nil
}

// Two test processes that checked the same port before either of them bound it once kept a coordinator from starting.
func TestAPortIsReservedByOneProcessAtATime(t *testing.T) {
	at, err := Free()
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(at)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	assert.False(t, otherReserves(t, port))
	_, again := reserve(port)
	assert.Nil(t, again)
	held, _ := reserved.LoadAndDelete(port)
	held.(net.Listener).Close()
	assert.True(t, otherReserves(t, port), "a port is free again once the process that reserved it has exited")
	assert.True(t, otherReserves(t, port))
}

func TestAPortInUseIsNotFree(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		at, err := Free()
		require.NoError(t, err)
		_, text, err := net.SplitHostPort(at)
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		held, _ := reserved.LoadAndDelete(port)
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
		_, held2 := reserve(port)
		assert.Nil(t, held2, network)
		assert.False(t, otherReserves(t, port), network)
	}
}
