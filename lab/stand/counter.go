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
	words := make([]string, n)
	for i := range words {
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
		words[i] = string(raw[:size])
	}
	return words, nil
}

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

// serveCounter serves a door's connections to the counter. Answers keep the order of the calls.
func (f *testbed) serveCounter(door int, nc net.Conn) {
	defer nc.Close()
	turns := make(chan chan string, 1024)
	defer close(turns)
	f.spawn(func() {
		for turn := range turns {
			select {
			case text := <-turn:
				if _, err := io.WriteString(nc, text); err != nil {
					nc.Close()
				}
			case <-f.ctx.Done():
				return
			}
		}
	})
	for r := bufio.NewReader(nc); ; {
		words, err := readCall(r)
		if err != nil {
			return
		}
		turn := make(chan string, 1)
		select {
		case turns <- turn:
		case <-f.ctx.Done():
			return
		}
		switch {
		case words[0] == "PING":
			turn <- "+PONG\r\n"
		case words[0] == "CLIENT" || words[0] == "SELECT":
			turn <- "+OK\r\n"
		case words[0] == "TALLY" && len(words) == 4:
			add, err := strconv.ParseFloat(words[2], 64)
			keep, err2 := strconv.ParseFloat(words[3], 64)
			if err != nil || err2 != nil {
				turn <- "-ERR amount\r\n"
				continue
			}
			f.post(func() {
				f.world.ExternalCounterCall(door, words[1], add, keep, func(r gate.Result, total float64) {
					if r != gate.Finished {
						turn <- "-BUSY\r\n"
						return
					}
					text := strconv.FormatFloat(total, 'f', -1, 64)
					turn <- fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
				})
			})
		default:
			turn <- "-ERR no such call\r\n"
		}
	}
}
