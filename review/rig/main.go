package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases holds the cases by name; each reports whether the rule was broken.
var cases = map[string]func(r *rig, trouble bool) bool{}

// limit ends a case that takes too long, with all that it started.
const limit = 112 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (code int) {
	r := &rig{began: time.Now()}
	var err error
	if r.root, err = os.Getwd(); err == nil {
		r.dir, err = os.MkdirTemp("", "review-")
	}
	if err == nil {
		r.record, err = os.Create(filepath.Join(folder, "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(r.dir)
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %t", name, trouble)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.note("the case could not run: %v", p)
				fmt.Fprintln(os.Stderr, "the case could not run:", p)
				if os.Getenv("KEEP") != "" {
					for _, p := range r.procs {
						fmt.Fprintf(os.Stderr, "---- %s\n%s\n", p.name, p.logText())
					}
				}
				result <- 2
			}
		}()
		if cases[name](r, trouble) {
			result <- 1
		} else {
			result <- 0
		}
	}()
	select {
	case code = <-result:
	case <-time.After(limit):
		r.note("the case took over %v", limit)
		code = 2
	}
	r.stopAll()
	verdict := map[int]string{0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[code]
	r.note("%s (exit %d)", verdict, code)
	fmt.Println(verdict)
	return code
}
