package core

import (
	"basaltwall/api"
	"basaltwall/priority"
)

// Settings are what operators decide, beyond the platform's file. They live in
// the state service and reach every controller by its watch.
type Settings struct {
	Drained         []api.MachineID `json:"drained"`     // no new tasks on these
	IdleTimeout     float64         `json:"idle_hold_s"` // how long idle machines are kept; 0: as long as a boot
	DisableScaleOut bool            `json:"no_rent"`     // rent nothing
	// Which work goes before which when there is too little.
	Priority priority.Rules `json:"precedence,omitempty"`
}
