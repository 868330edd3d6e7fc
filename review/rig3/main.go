// Command rig3 plays the cases of the third review. It starts the project's programs as separate processes, with the command of the
// deploy file, between stand-ins for clients, backends, discovery and the platform. All addresses are on loopback.
//
//	rig3 -case NAME -root DIR -record FILE -run COMMAND [-trouble=false]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*world) (verdict, error){
	"ceiling": ceilingCase, "moved": movedCase, "unframed": unframedCase, "pipeline": pipelineCase, "clock": clockCase,
	"slow": slowCase, "holder": holderCase, "drained": drainedCase, "leak": leakCase, "restore": restoreCase,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	limit      = 110 * time.Second // of a case
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "", "root of the repository")
	file := flag.String("record", "", "file for the record")
	command := flag.String("run", "", "the deploy file's command that runs a door")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	play := cases[*name]
	if play == nil || *root == "" || *file == "" || *command == "" {
		flag.Usage()
		return exitNotRun
	}
	w, err := newWorld(*root, *file, *command, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.note("case %s, trouble %v", *name, *trouble)
	done := make(chan int, 1)
	go func() {
		v, err := play(w)
		switch {
		case err != nil:
			w.note("could not run: %v", err)
			fmt.Println("could not run:", err)
			done <- exitNotRun
		case v.broken:
			w.note("BROKEN: %s", v.text)
			fmt.Println("BROKEN:", v.text)
			done <- exitBroken
		default:
			w.note("held: %s", v.text)
			fmt.Println("held:", v.text)
			done <- exitHeld
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-done:
		return code
	case <-ended:
		return exitNotRun
	case <-time.After(limit):
		w.note("could not run: not done after %v", limit)
		fmt.Println("could not run: out of time")
		return exitNotRun
	}
}
