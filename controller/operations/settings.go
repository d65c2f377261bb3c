package operations

// This file reads and changes the settings.

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
)

// VersionedSettings are settings with the revision that a change must name.
type VersionedSettings struct {
	core.Settings
	Revision api.Revision `json:"revision"`
}

// Bounds of the settings.
const (
	maxIdleTimeoutSeconds = 86400
	maxDrained            = 200
	maxMachineIDBytes     = 30
)

// ParseSettings parses and validates settings; the error names the field.
func ParseSettings(body []byte) (VersionedSettings, error) {
	var s VersionedSettings
	if err := exactjson.DecodeStrict(body, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return s, fmt.Errorf("%s: wrong type", typeErr.Field)
		}
		return s, err
	}
	return s, validate(&s.Settings)
}

// validate returns an error that names the first field that is out of bounds.
func validate(s *core.Settings) error {
	if s.IdleTimeout < 0 || s.IdleTimeout > maxIdleTimeoutSeconds {
		return fmt.Errorf("idle_hold_s: must be between 0 and %d", maxIdleTimeoutSeconds)
	}
	if len(s.Drained) > maxDrained {
		return fmt.Errorf("drained: more than %d machines", maxDrained)
	}
	if err := s.Priority.Validate(); err != nil {
		return err
	}
	for _, id := range s.Drained {
		if id == "" || len(id) > maxMachineIDBytes {
			return errors.New("drained: not a machine's name")
		}
	}
	return nil
}

// currentSettings returns the settings of the last read of the log.
func (s *Service) currentSettings() VersionedSettings {
	return VersionedSettings{Settings: s.core.Settings, Revision: s.core.State.Version(core.SettingsKey)}
}

// replaceSettings replaces the settings by those of a request.
func (s *Service) replaceSettings(c message.AdminRequest) {
	settings, err := ParseSettings(c.Body)
	if err != nil {
		s.core.ReplyError(c.Req, 400, err.Error())
		return
	}
	s.writeSettings(c, settings)
}

// changeDrained adds or removes a machine in the drained machines of the settings.
func (s *Service) changeDrained(c message.AdminRequest) {
	settings := s.currentSettings()
	id := api.MachineID(c.ID)
	settings.Drained = slices.DeleteFunc(slices.Clone(settings.Drained), func(x api.MachineID) bool { return x == id })
	if c.What == message.AdminDrain {
		settings.Drained = append(settings.Drained, id)
	}
	s.writeSettings(c, settings)
}

// writeSettings writes settings on the condition of the revision that they name.
func (s *Service) writeSettings(c message.AdminRequest, settings VersionedSettings) {
	v, err := json.Marshal(settings.Settings)
	tx := api.Txn{
		If:     []api.Condition{{Key: core.SettingsKey, Version: settings.Revision}},
		Writes: []api.Write{{Put: core.SettingsKey, Value: v}},
	}
	tenants := s.deps.Tenants
	if tenants.Hosted() {
		tx.Writes = append(tx.Writes, tenants.NewAuditWrite(c, "settings", s.core.Settings.AuditView(), settings.AuditView()))
	}
	if err != nil || !s.core.TxnFits(tx) {
		s.core.ReplyError(c.Req, 400, "drained, precedence: the record is too large")
		return
	}
	s.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		tenants.ReplyChange(c.Req, a.Status, a.Txn.Revision, "the settings have", func(revision api.Revision) any {
			settings.Revision = revision
			return settings
		})
	})
}
