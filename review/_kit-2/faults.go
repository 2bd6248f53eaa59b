package main

import "github.com/savoryshift/savoryshift/platform/standin"

// Faults of the store.
var (
	faultDown = standin.Fault{Down: true}
	faultNone = standin.Fault{}
)
