package core

// This file defines the operators' settings, as recorded and as shown in the audit.

import (
	"basaltwall/api"
	"basaltwall/priority"
)

// Settings contains the operators' settings. They are recorded in the state service, in addition to
// the configuration file, and reach every controller through the log.
type Settings struct {
	Drained         []api.MachineID `json:"drained"`              // machines that get no new tasks
	IdleTimeout     float64         `json:"idle_hold_s"`          // seconds that idle machines are kept; 0: the boot time of their type
	DisableScaleOut bool            `json:"no_rent"`              // request no machines from the cloud
	Priority        priority.Rules  `json:"precedence,omitempty"` // order of jobs during a shortage of capacity
}

// maxAuditedMachines is the maximum number of drained machines that an audit record lists by name.
const maxAuditedMachines = 20

// settingsSummary is the settings with the number of drained machines instead of their names.
type settingsSummary struct {
	Drained         int     `json:"drained"`
	IdleTimeout     float64 `json:"idle_hold_s"`
	DisableScaleOut bool    `json:"no_rent"`
}

// AuditView returns the settings as shown in the audit: drained machines are counted if there are
// too many to list.
func (s Settings) AuditView() any {
	if len(s.Drained) <= maxAuditedMachines {
		return s
	}
	return settingsSummary{Drained: len(s.Drained), IdleTimeout: s.IdleTimeout, DisableScaleOut: s.DisableScaleOut}
}
