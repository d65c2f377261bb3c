// This file reads the cloud's machine list page by page and reconciles the machines with it.

package autoscale

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	listInterval = 4 * time.Second // minimum; see nextListDelay
	listPageSize = 500             // machines per page

	// listCallDivisor limits list calls to this fraction of the cloud's rate limit.
	listCallDivisor = 3

	// A machine that has not booted after slowBootFactor times its type's boot time no
	// longer counts as incoming, and is replaced. After failedBootFactor times the boot time
	// plus bootGraceSeconds it is deleted.
	slowBootFactor   = 1.5
	failedBootFactor = 2.5
	bootGraceSeconds = 10
)

// refreshMachineList starts to read the list when this is due.
func (as *Manager) refreshMachineList() {
	if as.listing || as.core.Now < as.nextListAt {
		return
	}
	as.listing = true
	as.partialList = map[api.MachineID]api.Instance{}
	as.readMachinePage("")
}

// readMachinePage reads the pages that follow a machine, one after the other.
func (as *Manager) readMachinePage(since api.MachineID) {
	as.core.CallCloud(message.CloudCall{List: &message.ListRequest{Since: since}}, func(response message.CloudResponse) {
		if response.Status != statusOK {
			as.listing, as.nextListAt = false, as.core.Now.Add(listInterval/2)
			return
		}
		page := response.MachineList.Machines
		for _, listed := range page {
			as.partialList[listed.ID] = listed
		}
		if response.MachineList.More && len(page) > 0 {
			as.readMachinePage(page[len(page)-1].ID)
			return
		}
		as.adoptList()
		as.nextListAt = as.core.Now.Add(as.nextListDelay())
		as.expire()
		as.ReconcileMachineList()
	})
}

// nextListDelay returns the delay until the next list, so that the list calls of all
// controllers stay within their share of the cloud's rate limit.
func (as *Manager) nextListDelay() time.Duration {
	pages := float64(len(as.Listed)/listPageSize + 1)
	calls := listCallDivisor * pages * float64(len(as.core.Controllers))
	return max(listInterval, api.Seconds(calls/as.core.Config.Deployment.Cloud.RPS))
}

// ReconcileMachineList adds the listed machines of owned partitions and deletes those that
// failed or do not boot. The list may be outdated and never proves that a task has ended.
func (as *Manager) ReconcileMachineList() {
	for _, id := range as.listedOrder {
		owned := as.core.Partitions[as.core.PartitionOf(id)]
		if owned == nil || as.IsDeleted(id) {
			continue
		}
		listed := as.Listed[id]
		m := as.deps.Agents.EnsureMachine(id)
		m.ApplyListing(listed)
		if m.Deleting || as.core.Now < m.NextCallAt && m.LastHeartbeat == 0 {
			continue
		}
		switch {
		case listed.State == api.MachineFailed:
			as.ScheduleDeletion(m, owned, core.DeletionReasonFailed)
		case listed.State == api.MachineBooting && m.LastHeartbeat == 0 && as.bootFailed(listed):
			as.ScheduleDeletion(m, owned, core.DeletionReasonBootTimeout)
		}
	}
}

// bootFailed reports whether a machine has exceeded the maximum boot time.
func (as *Manager) bootFailed(listed api.Instance) bool {
	typ := as.core.MachineTypes[listed.Type]
	return typ != nil && listed.AgeSeconds > failedBootFactor*typ.BootSeconds+bootGraceSeconds
}
