// Package resp formats calls to the shared counter and parses its replies in the RESP2 protocol. It does not access sockets.
package resp

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	maxLine   = 512    // bytes of a line; totals and error messages are short
	maxKeepMs = 60_000 // longest time that the counter keeps a name
)

// AppendTally appends a call that adds to a named total. The counter keeps a new name for the given time in ms.
func AppendTally(dst []byte, name string, add, keep float64) []byte {
	amount := strconv.FormatFloat(add, 'f', -1, 64)
	expiry := strconv.Itoa(int(min(maxKeepMs, max(1, math.Ceil(keep)))))
	dst = append(dst, "*4\r\n"...)
	for _, part := range []string{"TALLY", name, amount, expiry} {
		dst = fmt.Appendf(dst, "$%d\r\n%s\r\n", len(part), part)
	}
	return dst
}

// Reply is the reply to one call.
type Reply struct {
	Total     float64
	Busy      bool   // the counter is overloaded and nothing was added
	ErrorText string // error message of the counter; nothing was added
}

// Replies parses the replies on one connection.
type Replies struct {
	line    []byte
	bulkLen int  // length of the bulk string that follows, including its line end
	inBulk  bool // a bulk string follows
}

// Feed parses bytes and calls out with each reply, in order.
func (r *Replies) Feed(p []byte, out func(Reply) error) error {
	for len(p) > 0 {
		n, whole := len(p), false
		if r.inBulk {
			n = min(n, r.bulkLen-len(r.line))
			whole = len(r.line)+n == r.bulkLen
		} else if i := bytes.IndexByte(p, '\n'); i >= 0 {
			n, whole = i+1, true
		}
		r.line, p = append(r.line, p[:n]...), p[n:]
		if len(r.line) > maxLine {
			return errMalformed
		}
		if !whole {
			continue
		}
		line, ended := strings.CutSuffix(string(r.line), "\r\n")
		r.line = r.line[:0]
		if !ended {
			return errMalformed
		}
		if r.inBulk {
			r.inBulk = false
			total, err := strconv.ParseFloat(line, 64)
			if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
				return errMalformed
			}
			if err := out(Reply{Total: total}); err != nil {
				return err
			}
			continue
		}
		if err := r.firstLine(line, out); err != nil {
			return err
		}
	}
	return nil
}

// firstLine processes the first line of a reply.
func (r *Replies) firstLine(line string, out func(Reply) error) error {
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return out(Reply{Busy: true})
	case strings.HasPrefix(line, "-"):
		return out(Reply{ErrorText: line[1:]})
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n+2 > maxLine {
			return errMalformed
		}
		r.inBulk, r.bulkLen = true, n+2
	default:
		return errMalformed
	}
	return nil
}
