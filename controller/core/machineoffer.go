package core

import "basaltwall/api"

// MachineOffer is a kind of machine that can be requested from the cloud.
type MachineOffer struct {
	Type api.MachineTypeName
	Zone api.Zone
	Spot bool
}
