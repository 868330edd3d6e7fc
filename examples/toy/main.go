// Command toy serves what a door needs to run on loopback: a fleet list with two backends, and the backends. A backend answers a
// request after a random time with the request's body, or with a line of text if the body is empty.
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
	registry := flag.String("registry", "127.0.0.1:8500", "address of the fleet list")
	first := flag.Int("port", 8101, "port of the first backend, on 127.0.0.1")
	work := flag.Duration("work", 50*time.Millisecond, "mean time that a request takes")
	flag.Parse()
	list := ""
	for i := range 2 {
		addr := fmt.Sprintf("127.0.0.1:%d", *first+i)
		list += fmt.Sprintf(`,{"instanceId":"toy-%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"Ready","weight":1}`,
			i, addr, i)
		go func() { log.Fatal(http.ListenAndServe(addr, backend(addr, *work))) }()
	}
	log.Printf("fleet list of two backends on %s", *registry)
	log.Fatal(http.ListenAndServe(*registry, serveList(`{"generation":1,"reset":true,"instances":[`+list[1:]+`]}`)))
}

// backend returns a backend with exponentially distributed service times.
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
		case <-r.Context().Done(): // the door has cancelled the request
		}
	}
}

// serveList sends the list once, and then an empty line every 2 s, which means that nothing has changed.
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
