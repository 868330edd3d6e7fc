// Command toy stands in for what a door needs, on loopback: a fleet list with two backends, and the backends.
// Each backend answers a request after a while with a line of text, or its own body.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"time"
)

func main() {
	registry := flag.String("registry", "127.0.0.1:8500", "where the fleet list is told")
	first := flag.Int("port", 8101, "port of the first backend, on 127.0.0.1")
	work := flag.Duration("work", 50*time.Millisecond, "mean time that an operation takes")
	flag.Parse()
	list := ""
	for i := range 2 {
		addr := fmt.Sprintf("127.0.0.1:%d", *first+i)
		list += fmt.Sprintf(`,{"instanceId":"toy-%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"Ready","weight":1}`,
			i, addr, i)
		go func() { log.Fatal(http.ListenAndServe(addr, backend(addr, *work))) }()
	}
	log.Printf("telling of two backends on %s", *registry)
	log.Fatal(http.ListenAndServe(*registry, serveList(`{"generation":1,"reset":true,"instances":[`+list[1:]+`]}`)))
}

// backend works for a random time, as exponential service does.
func backend(name string, work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Txn") == "" {
			http.NotFound(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(work))):
			fmt.Fprintln(w, cmp.Or(string(body), "done by "+name))
		case <-r.Context().Done(): // the door has given it up
		}
	}
}

// serveList tells the list once and then, every 2 s, that nothing has changed.
func serveList(list string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for line := list; ; line = "" {
			if _, err := fmt.Fprintln(w, line); err != nil || r.URL.Query().Get("stream") == "" {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
				return
			}
		}
	}
}
