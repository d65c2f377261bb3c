// Machine types: read from the cloud, and recorded for a start while the cloud is down.

package autoscale

import (
	"encoding/json"
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

// refreshMachineTypes reads the machine types when that is due. Once they are known only
// partition 0's owner reads them again.
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

// recordMachineTypes writes the types to the state service, so that a controller that
// starts while the cloud is down knows them. A write that fails is made again after the
// next read, as the recorded types still differ then.
func (as *Manager) recordMachineTypes(owned *core.OwnedPartition, types []api.MachineType) {
	value, _ := json.Marshal(api.MachineTypes{Types: types}) // plain data always encodes
	as.core.CallStoreTxn(api.Txn{
		If:     []api.Condition{owned.OwnershipCondition(), as.core.State.VersionCondition(core.MachineTypesKey)},
		Writes: []api.Write{{Put: core.MachineTypesKey, Value: value}},
	}, func(message.StoreResponse) {})
}
