package message

// This file holds the counts of machines with accelerators that controllers exchange for capacity
// targets.

import "basaltwall/api"

// AcceleratorKind identifies machines with accelerators that have the same price.
type AcceleratorKind struct {
	Type api.MachineTypeName
	Spot bool
}

// AcceleratorCount is the number of machines of an AcceleratorKind that are up and, of these, the
// number that run services or gangs, which do not end soon.
type AcceleratorCount struct{ Up, Lasting int }
