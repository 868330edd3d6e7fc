// Package resp speaks to the shared counter in RESP2. It knows no socket.
package resp

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	longestLine = 512    // bytes of a line; totals and errors are short
	longestKeep = 60_000 // ms that the counter remembers a name
)

// AppendTally appends a call that adds to a named number; a new name is kept for that many ms.
func AppendTally(dst []byte, name string, add, keep float64) []byte {
	amount := strconv.FormatFloat(add, 'f', -1, 64)
	life := strconv.Itoa(int(min(longestKeep, max(1, math.Ceil(keep)))))
	dst = append(dst, "*4\r\n"...)
	for _, part := range []string{"TALLY", name, amount, life} {
		dst = fmt.Appendf(dst, "$%d\r\n%s\r\n", len(part), part)
	}
	return dst
}

// Reply answers one call.
type Reply struct {
	Total     float64
	Busy      bool   // turned away, nothing added
	ErrorText string // no such call, nothing added
}

// Replies reads what one connection brings.
type Replies struct {
	line []byte
	bulk int // length of the string that is coming, with its line end
	wait bool
}

// Feed takes bytes and calls out with each reply, in order.
func (r *Replies) Feed(p []byte, out func(Reply) error) error {
	for len(p) > 0 {
		n, whole := len(p), false
		if r.wait {
			n = min(n, r.bulk-len(r.line))
			whole = len(r.line)+n == r.bulk
		} else if i := bytes.IndexByte(p, '\n'); i >= 0 {
			n, whole = i+1, true
		}
		r.line, p = append(r.line, p[:n]...), p[n:]
		if len(r.line) > longestLine {
			return errForm
		}
		if !whole {
			continue
		}
		line, ended := strings.CutSuffix(string(r.line), "\r\n")
		r.line = r.line[:0]
		if !ended {
			return errForm
		}
		if r.wait {
			r.wait = false
			total, err := strconv.ParseFloat(line, 64)
			if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
				return errForm
			}
			if err := out(Reply{Total: total}); err != nil {
				return err
			}
			continue
		}
		if err := r.simple(line, out); err != nil {
			return err
		}
	}
	return nil
}

// simple takes a reply's first line.
func (r *Replies) simple(line string, out func(Reply) error) error {
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return out(Reply{Busy: true})
	case strings.HasPrefix(line, "-"):
		return out(Reply{ErrorText: line[1:]})
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n+2 > longestLine {
			return errForm
		}
		r.wait, r.bulk = true, n+2
	default:
		return errForm
	}
	return nil
}
