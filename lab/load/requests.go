package load

import (
	"fmt"
	"math/rand/v2"
)

// DoorRequests generates requests to a front door in the form that the platform's clients use.
type DoorRequests struct {
	Host      string
	Class     string
	Plan      string
	Keyed     bool
	Customers int    // number of customers among whom the requests are distributed at random
	Wait      int    // ms that the client waits for an answer
	Seed      uint64 // seed of the customers and the request ids
}

// Format returns the bytes of request i. It may be called concurrently.
func (d DoorRequests) Format(i int) string {
	rng := rand.New(rand.NewPCG(d.Seed, uint64(i)))
	customer, id := rng.IntN(max(1, d.Customers)), rng.Uint64()
	method, headers, body := "GET", "", ""
	if d.Keyed {
		method, headers, body = "POST", fmt.Sprintf("Idempotency-Key: %016x%016x\r\nContent-Length: 2\r\n", d.Seed, id), "go"
	}
	return fmt.Sprintf("%s /%s?key=%016x HTTP/1.1\r\nHost: %s\r\nX-Txn: %016x\r\nX-Tariff: %s\r\nX-Remaining: %dm\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\n%s\r\n%s", method, d.Class, customer, d.Host, id, d.Plan, d.Wait, headers, body)
}

// Get returns a generator of plain GET requests for one path.
func Get(host, path string) func(int) string {
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
	return func(int) string { return text }
}
