// This file reads the machine types from the cloud and records them in the state service, for
// controllers that start while the cloud is down.

package autoscale

import (
	"encoding/json"
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	typesInterval      = time.Minute
	typesRetryInterval = time.Second
)

// typeRefresh is the state of reading the machine types.
type typeRefresh struct {
	inFlight bool
	nextAt   api.Time
}

// refreshMachineTypes reads the machine types when this is due. Once they are known, only the
// owner of partition 0 reads them again.
func (as *Manager) refreshMachineTypes() {
	refresh := &as.types
	known := len(as.core.MachineTypes) > 0
	if refresh.inFlight || as.core.Now < refresh.nextAt || known && as.core.Partitions[0] == nil {
		return
	}
	refresh.inFlight = true
	as.core.CallCloud(message.CloudCall{Types: true}, func(response message.CloudResponse) {
		refresh.inFlight = false
		if response.Status != statusOK || len(response.Types) == 0 {
			refresh.nextAt = as.core.Now.Add(typesRetryInterval)
			return
		}
		refresh.nextAt = as.core.Now.Add(typesInterval)
		as.core.AddMachineTypes(response.Types)
		if owned := as.core.Partitions[0]; owned != nil && len(as.core.RecordedTypes.Types) != len(response.Types) {
			as.recordMachineTypes(owned, response.Types)
		}
	})
}

// recordMachineTypes writes the types to the state service. A failed write is repeated after
// the next read, as the recorded types still differ then.
func (as *Manager) recordMachineTypes(owned *core.OwnedPartition, types []api.MachineType) {
	value, _ := json.Marshal(api.MachineTypes{Types: types}) // plain data; encoding can't fail
	if as.core.ExceedsValueSize(value) {
		slog.Error("machine types not recorded: too large for a value", "types", len(types), "bytes", len(value))
		return
	}
	as.core.CallStoreTxn(api.Txn{
		If:     []api.Condition{owned.OwnershipCondition(), as.core.State.VersionCondition(core.MachineTypesKey)},
		Writes: []api.Write{{Put: core.MachineTypesKey, Value: value}},
	}, func(message.StoreResponse) {})
}
