package run

import "runtime"

func cores() int { return runtime.GOMAXPROCS(0) }
