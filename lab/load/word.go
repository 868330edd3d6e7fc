package load

import (
	"fmt"
	"math/rand/v2"
)

// DoorRequests words requests as the platform's clients do.
type DoorRequests struct {
	Host      string
	Class     string
	Plan      string
	Keyed     bool
	Customers int    // that the requests are dealt out to, at random
	Wait      int    // ms that the client will wait
	Seed      uint64 // of the customers and of the ids
}

// Format returns the bytes of request i, and keeps to itself no state that calls share.
func (d DoorRequests) Format(i int) string {
	dice := rand.New(rand.NewPCG(d.Seed, uint64(i)))
	customer, id := dice.IntN(max(1, d.Customers)), dice.Uint64()
	method, rest, body := "GET", "", ""
	if d.Keyed {
		method, rest, body = "POST", fmt.Sprintf("Idempotency-Key: %016x%016x\r\nContent-Length: 2\r\n", d.Seed, id), "go"
	}
	return fmt.Sprintf("%s /%s?key=%016x HTTP/1.1\r\nHost: %s\r\nX-Txn: %016x\r\nX-Tariff: %s\r\nX-Remaining: %dm\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\n%s\r\n%s", method, d.Class, customer, d.Host, id, d.Plan, d.Wait, rest, body)
}

// Get words plain requests of one path.
func Get(host, path string) func(int) string {
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
	return func(int) string { return text }
}
