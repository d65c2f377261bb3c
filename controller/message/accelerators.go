package message

// This file holds how controllers count machines with accelerators, for capacity targets.

import "basaltwall/api"

// AcceleratorKind is machines with accelerators that cost alike.
type AcceleratorKind struct {
	Type api.MachineTypeName
	Spot bool
}

// AcceleratorCount says how many machines of an AcceleratorKind are up, and how many of these have
// work that they are kept for and that does not end soon: services and gangs.
type AcceleratorCount struct{ Up, Lasting int }
