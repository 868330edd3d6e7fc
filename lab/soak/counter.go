package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// counter is a fake of the shared counter.
type counter struct {
	addr   string
	ln     net.Listener
	busy   atomic.Bool // answers every call with BUSY
	silent atomic.Bool // answers nothing

	mu     sync.Mutex
	totals map[string]float64
}

func newCounter() (*counter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{addr: ln.Addr().String(), ln: ln, totals: map[string]float64{}}
	go acceptAll(ln, c.serve)
	return c, nil
}

// serve answers the calls of one connection.
func (c *counter) serve(nc net.Conn) {
	defer nc.Close()
	for r := bufio.NewReader(nc); ; {
		args, err := readCall(r)
		if err != nil {
			return
		}
		switch {
		case c.silent.Load():
		case c.busy.Load():
			_, err = io.WriteString(nc, "-BUSY\r\n")
		case len(args) == 4 && args[0] == "TALLY":
			total := strconv.FormatFloat(c.add(args[1], args[2]), 'g', 7, 64)
			_, err = fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(total), total)
		default:
			_, err = io.WriteString(nc, "+OK\r\n")
		}
		if err != nil {
			return
		}
	}
}

// add adds an amount to a named total and returns the total.
func (c *counter) add(name, amount string) float64 {
	n, _ := strconv.ParseFloat(amount, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals[name] += n
	return c.totals[name]
}

// readCall reads one call in the counter's protocol: an array of bulk strings.
func readCall(r *bufio.Reader) ([]string, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	out := make([]string, n)
	for i := range out {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(r, raw); err != nil {
			return nil, err
		}
		out[i] = string(raw[:size])
	}
	return out, nil
}

// readLength reads a line that consists of a type byte and a length.
func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, &CallError{line}
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
