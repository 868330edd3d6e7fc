package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Crowd is a kind of ill-behaved client. Many of them connect to a door beside the clients whose requests are checked.
type Crowd int

// The kinds of crowds.
const (
	NoCrowd          Crowd = iota
	SlowHeads              // write the head of a request byte by byte
	StalledBodies          // write a large part of a large body, then nothing
	StalledFields          // the same, after a head of many short fields
	CompleteFields         // complete requests whose heads have many short fields, on connections that are kept
	LargeRequests          // complete requests with large bodies, all of one customer
	UnreadAnswers          // health checks at full speed, whose answers are not read
	LargeAnswers           // complete requests whose large answers are not read
	PipelinedHealth        // health checks at full speed, without waiting for answers
	PipelinedInvalid       // invalid requests at full speed, without waiting for answers
	NewCustomers           // requests at full speed, each of a new customer
	FloodAndClose          // one request with much more behind it, closed before the answer
	MixedCrowd             // on each connection one of the kinds that do not send at full speed
)

// String returns the name of the kind.
func (k Crowd) String() string {
	return [...]string{"none", "slow heads", "stalled bodies", "stalled bodies after fields", "complete heads of fields", "large requests",
		"unread answers", "unread large answers", "pipelined health checks", "pipelined invalid requests", "new customers", "flood and close", "mixed"}[k]
}

// fullSpeed reports whether clients of the kind send as fast as they can.
func (k Crowd) fullSpeed() bool {
	return k == UnreadAnswers || k == PipelinedHealth || k == PipelinedInvalid || k == NewCustomers || k == FloodAndClose
}

const (
	largeBody         = 65000                  // bytes of the body of a large request; the limit is 65,536
	partialBody       = 60000                  // bytes that are written of a body of maxBody bytes before silence
	maxBody           = 65536                  // bytes, the largest body that the protocol page allows
	maxHeadFill       = 7800                   // bytes of short fields in a head, below the 8 KiB that a door accepts
	slowByteInterval  = 20 * time.Millisecond  // between two bytes of a slow head
	crowdPause        = 10 * time.Millisecond  // before a crowd client connects again, so that a refusing door is not busy with accepts alone
	crowdConnLife     = 5 * time.Second        // after which a crowd client gives up a connection
	pipelineBatch     = 64                     // requests that are written at a time
	floodSize         = 1500 << 10             // bytes of further requests behind the first
	floodCloseDelay   = 50 * time.Millisecond  // from the flood to the close
	crowdRequestLimit = 2 * time.Second        // the time that crowd requests leave the door
	newCustomerEvery  = 200 * time.Microsecond // shortest time between two requests of a client of NewCustomers
)

// Prefixes of the ids of crowd requests. A normal backend answers those with the second one with a large body.
const (
	crowdID       = "crowd"
	largeAnswerID = "large"
)

const healthCheck = "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n"

// crowdClient is one client of a crowd.
type crowdClient struct {
	rig  *rig
	door *door
	kind Crowd
	rng  *rand.Rand
}

// crowdRequests numbers the requests and customers of all crowds.
var crowdRequests atomic.Uint64

// run connects again and again until the run of the rig is over.
func (c *crowdClient) run() {
	for !c.rig.over() {
		time.Sleep(crowdPause)
		if !c.door.acceptsClients() {
			continue
		}
		nc, err := c.door.dial()
		if err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(crowdConnLife))
		c.play(nc)
		nc.Close()
	}
}

// mixedKinds are the kinds of which a client of MixedCrowd draws one for each connection.
var mixedKinds = []Crowd{SlowHeads, StalledBodies, StalledFields, CompleteFields, LargeRequests, LargeAnswers, FloodAndClose}

// play plays the client's part on one connection.
func (c *crowdClient) play(nc net.Conn) {
	if c.kind == MixedCrowd {
		once := *c
		once.kind = mixedKinds[c.rng.IntN(len(mixedKinds))]
		once.play(nc)
		return
	}
	switch c.kind {
	case SlowHeads:
		c.writeSlowly(nc, c.request("GET /look", "", 0)+"\r\n")
	case StalledBodies:
		c.stall(nc, c.request("POST /pay", "", maxBody)+"\r\n"+strings.Repeat("x", partialBody))
	case StalledFields:
		c.stall(nc, c.request("POST /pay", shortFields(), maxBody)+"\r\n"+strings.Repeat("x", partialBody))
	case CompleteFields:
		c.repeat(nc, func() string { return c.request("GET /look", shortFields(), 0) + "\r\n" })
	case LargeRequests:
		c.repeat(nc, func() string { return c.request("POST /pay", "", largeBody) + "\r\n" + strings.Repeat("x", largeBody) })
	case UnreadAnswers:
		c.write(nc, healthCheck)
	case LargeAnswers:
		c.stall(nc, c.request("GET /look", "", 0)+"\r\n")
	case PipelinedHealth:
		c.pipeline(nc, healthCheck)
	case PipelinedInvalid:
		c.pipeline(nc, "GET /look HTTP/1.1\r\nHost: d\r\n\r\n")
	case NewCustomers:
		c.exchange(nc, func() string {
			time.Sleep(newCustomerEvery)
			return c.request("GET /look", "", 0) + "\r\n"
		})
	case FloodAndClose:
		c.flood(nc)
	}
}

// request returns the head of a valid request without the empty line that ends it. Its id is not recorded, so no rule applies to
// it but those on processes.
func (c *crowdClient) request(line, fields string, body int) string {
	n := crowdRequests.Add(1)
	key := 1 + n%1000
	switch c.kind {
	case NewCustomers:
		key = n + 1<<32
	case LargeRequests:
		key = 1
	}
	id := crowdID
	if c.kind == LargeAnswers {
		id = largeAnswerID
	}
	head := fmt.Sprintf("%s?key=%016x HTTP/1.1\r\nHost: d\r\nX-Txn: %s%016x\r\nX-Tariff: team\r\nX-Remaining: %dm\r\nX-Weight: units=1,spread=1,first=0\r\n%s",
		line, key, id, n, crowdRequestLimit.Milliseconds(), fields)
	if body > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return head
}

// shortFields returns as many different, very short header fields as a head may hold.
func shortFields() string {
	var b strings.Builder
	for i := 0; b.Len() < maxHeadFill-400; i++ {
		fmt.Fprintf(&b, "%s:\r\n", shortName(i))
	}
	return b.String()
}

// shortName returns the i-th of many short names.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwyz" // without x, with which the names of the fields that doors read begin
	name := []byte{letters[i%len(letters)]}
	for i /= len(letters); i > 0; i /= len(letters) {
		name = append(name, letters[i%len(letters)])
	}
	return string(name)
}

// writeSlowly writes text byte by byte.
func (c *crowdClient) writeSlowly(nc net.Conn, text string) {
	for i := range text {
		if _, err := io.WriteString(nc, text[i:i+1]); err != nil || c.rig.over() {
			return
		}
		time.Sleep(slowByteInterval)
	}
}

// stall writes text and then waits, without reading, until the door ends the connection or the run is over.
func (c *crowdClient) stall(nc net.Conn, text string) {
	if _, err := io.WriteString(nc, text); err != nil {
		return
	}
	for !c.rig.over() && !closedByPeer(nc) {
		time.Sleep(idlePollInterval)
	}
}

// repeat sends requests one after the other and waits a while after each answer.
func (c *crowdClient) repeat(nc net.Conn, next func() string) {
	c.exchange(nc, func() string {
		time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
		return next()
	})
}

// exchange sends requests one after the other, each once the previous one has been answered.
func (c *crowdClient) exchange(nc net.Conn, next func() string) {
	answer := make([]byte, 4096)
	for !c.rig.over() {
		if _, err := io.WriteString(nc, next()); err != nil {
			return
		}
		if n, err := nc.Read(answer); err != nil || bytes.Contains(answer[:n], []byte("Connection: close")) {
			return
		}
	}
}

// pipeline writes a request over and over, without waiting for answers, which are discarded.
func (c *crowdClient) pipeline(nc net.Conn, request string) {
	go func() { _, _ = io.Copy(io.Discard, nc) }()
	c.write(nc, request)
}

// write writes a request over and over, and reads nothing.
func (c *crowdClient) write(nc net.Conn, request string) {
	batch := strings.Repeat(request, pipelineBatch)
	for !c.rig.over() {
		if _, err := io.WriteString(nc, batch); err != nil {
			return
		}
	}
}

// flood writes one request with many more behind it, and closes the connection before an answer can have come.
func (c *crowdClient) flood(nc net.Conn) {
	if _, err := io.WriteString(nc, c.request("GET /look", "", 0)+"\r\n"); err == nil {
		writeFlood(nc, c.request("GET /look", "", 0)+"\r\n")
	}
}

// writeFlood writes requests until floodCloseDelay is over, floodSize bytes at most.
func writeFlood(nc net.Conn, request string) {
	end := time.Now().Add(floodCloseDelay)
	nc.SetWriteDeadline(end)
	_, _ = io.WriteString(nc, strings.Repeat(request, floodSize/len(request)))
	time.Sleep(time.Until(end))
}
