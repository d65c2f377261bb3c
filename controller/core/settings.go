package core

// This file holds the operators' settings, as they are recorded and as the audit shows them.

import (
	"basaltwall/api"
	"basaltwall/priority"
)

// Settings are what operators decide, beyond the platform's file. They are recorded by the state
// service and reach every controller through the log.
type Settings struct {
	Drained         []api.MachineID `json:"drained"`              // machines that get no new tasks
	IdleTimeout     float64         `json:"idle_hold_s"`          // seconds that idle machines are kept; 0: as long as a boot
	DisableScaleOut bool            `json:"no_rent"`              // request no machines of the cloud
	Priority        priority.Rules  `json:"precedence,omitempty"` // which work comes first when there is too little capacity
}

// maxAuditedMachines is how many drained machines an audit record lists by name.
const maxAuditedMachines = 20

// settingsSummary is the settings with the drained machines counted.
type settingsSummary struct {
	Drained         int     `json:"drained"`
	IdleTimeout     float64 `json:"idle_hold_s"`
	DisableScaleOut bool    `json:"no_rent"`
}

// AuditView is the settings as the audit shows them: machines are counted if they are too many to
// be listed.
func (s Settings) AuditView() any {
	if len(s.Drained) <= maxAuditedMachines {
		return s
	}
	return settingsSummary{Drained: len(s.Drained), IdleTimeout: s.IdleTimeout, DisableScaleOut: s.DisableScaleOut}
}
