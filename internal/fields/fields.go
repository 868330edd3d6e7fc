// Package fields is the one vocabulary of the logs' fields, for every package that logs. Errors go under logrus.ErrorKey.
package fields

const (
	Door      = "door"      // name of the door
	Listen    = "listen"    // address where clients connect
	Discovery = "discovery" // address of the fleet list
	Counter   = "counter"   // address of the shared counter
)
