package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// A testCase plays one test and returns whether the rule was broken. An error means that it could not run.
type testCase func(r *rig) (broken bool, err error)

var cases = map[string]testCase{"two-processes": twoProcesses, "missed-reload": missedReload, "new-configurations": newConfigurations, "pipeline": pipeline, "flood": flood, "drained": drained, "no-length": noLength, "clock": clock, "early-reload": earlyReload, "start": startWithoutDiscovery, "restored": restored, "forgotten-list": forgottenList, "slow-discovery": slowDiscovery, "second-command": secondCommand}

const timeLimit = 110 * time.Second // a case that takes longer could not run

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER, from the root of the repository")
		os.Exit(couldNot)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	var once sync.Once
	finish := func(code int, text string) {
		once.Do(func() {
			r.note("%s", text)
			r.cleanUp()
			r.note("exit %d", code)
			fmt.Println(text)
			os.Exit(code)
		})
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
			finish(couldNot, "could not run: interrupted")
		case <-time.After(timeLimit):
			finish(couldNot, "could not run: no time left")
		}
	}()
	broken, failure := play(r, cases[os.Args[1]])
	switch {
	case failure != "":
		finish(couldNot, "could not run: "+string(failure))
	case broken:
		finish(ruleBroken, "the rule was broken")
	}
	finish(ruleHeld, "the rule held")
}

// play plays a case and returns whether the rule was broken, or why it could not run.
func play(r *rig, c testCase) (broken bool, failure setupFailure) {
	defer func() {
		if reason := recover(); reason != nil {
			var is bool
			if failure, is = reason.(setupFailure); !is {
				panic(reason)
			}
		}
	}()
	broken, err := c(r)
	if err != nil {
		failure = setupFailure(err.Error())
	}
	return broken, failure
}
