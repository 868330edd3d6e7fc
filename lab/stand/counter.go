package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/swifthall/swifthall/gate"
)

// readCall reads one RESP2 array of bulk strings.
func readCall(r *bufio.Reader) ([]string, error) {
	n, err := readCount(r, '*')
	if err != nil {
		return nil, err
	}
	if n < 1 || n > 16 {
		return nil, errCall
	}
	args := make([]string, n)
	for i := range args {
		size, err := readCount(r, '$')
		if err != nil {
			return nil, err
		}
		if size < 0 || size > 512 {
			return nil, errCall
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(r, raw); err != nil {
			return nil, err
		}
		args[i] = string(raw[:size])
	}
	return args, nil
}

// readCount reads the length line of an array or string.
func readCount(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, errCall
	}
	return strconv.Atoi(line[1:])
}

// serveCounter serves one connection of a door to the counter. Replies are sent in the order of the calls.
func (tb *testbed) serveCounter(door int, nc net.Conn) {
	defer nc.Close()
	replies := make(chan chan string, 1024)
	defer close(replies)
	tb.spawn(func() {
		for reply := range replies {
			select {
			case text := <-reply:
				if _, err := io.WriteString(nc, text); err != nil {
					nc.Close()
				}
			case <-tb.ctx.Done():
				return
			}
		}
	})
	for r := bufio.NewReader(nc); ; {
		args, err := readCall(r)
		if err != nil {
			return
		}
		reply := make(chan string, 1)
		select {
		case replies <- reply:
		case <-tb.ctx.Done():
			return
		}
		switch {
		case args[0] == "PING":
			reply <- "+PONG\r\n"
		case args[0] == "CLIENT" || args[0] == "SELECT":
			reply <- "+OK\r\n"
		case args[0] == "TALLY" && len(args) == 4:
			add, err := strconv.ParseFloat(args[2], 64)
			ttl, err2 := strconv.ParseFloat(args[3], 64)
			if err != nil || err2 != nil {
				reply <- "-ERR amount\r\n"
				continue
			}
			tb.post(func() {
				tb.sim.ExternalCounterCall(door, args[1], add, ttl, func(r gate.Result, total float64) {
					if r != gate.Finished {
						reply <- "-BUSY\r\n"
						return
					}
					text := strconv.FormatFloat(total, 'f', -1, 64)
					reply <- fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
				})
			})
		default:
			reply <- "-ERR no such call\r\n"
		}
	}
}
