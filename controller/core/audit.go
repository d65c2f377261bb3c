package core

// maxAuditedMachines is how many drained machines an audit record lists by name.
const maxAuditedMachines = 20

// settingsSummary is settings with the machines counted.
type settingsSummary struct {
	Drained         int     `json:"drained"`
	IdleTimeout     float64 `json:"idle_hold_s"`
	DisableScaleOut bool    `json:"no_rent"`
}

// AuditView is the settings as the audit shows them: a long list of machines is counted.
func (s Settings) AuditView() any {
	if len(s.Drained) <= maxAuditedMachines {
		return s
	}
	return settingsSummary{Drained: len(s.Drained), IdleTimeout: s.IdleTimeout, DisableScaleOut: s.DisableScaleOut}
}
