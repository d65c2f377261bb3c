// Counts of tasks on lost machines, for which replacement machines are provisioned in other zones.

package health

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// minReplacementProbability is the minimum probability that a zone's outage outlasts the boot of a
// replacement machine for one to be provisioned.
const minReplacementProbability = 0.5

// ReplacementDemand returns the number of each job's tasks on lost machines that need replacement
// machines.
func (mon *Monitor) ReplacementDemand() map[api.JobID]int { return mon.replacementDemand }

// ExpiredLeaseTasks returns the number of tasks on a zone's lost machines with expired leases.
func (mon *Monitor) ExpiredLeaseTasks(name api.Zone) int { return mon.expiredLeaseTasks[name] }

// lossCounter counts the tasks on machines of failed zones.
type lossCounter struct {
	replacements map[api.JobID]int // tasks that need replacement machines
	unreachable  map[api.JobID]int // all tasks
	preemptible  api.Quantity      // CPUs elsewhere that urgent tasks could still use by preemption
}

// countUnreachableTasks counts, by job and in all partitions, the tasks on machines of failed zones, and
// those of them that need replacement machines. A task needs one if its machine's lease has expired and
// the outage will probably outlast the boot of a replacement. Urgent tasks that would not fit elsewhere
// even by preemption count before their leases expire, since a late replacement costs them more than an
// unneeded one.
func (mon *Monitor) countUnreachableTasks() {
	counter := &lossCounter{replacements: map[api.JobID]int{}, unreachable: map[api.JobID]int{}}
	mon.deps.Gossiper.EachFreeCapacity(func(_ api.PartitionID, class message.MachineClass, free message.FreeCapacity) {
		if class.Usable {
			counter.preemptible += free.Could.CPU * api.Quantity(free.Count)
		}
	})
	for _, id := range mon.deps.Autoscaler.ListedMachineIDs() {
		instance, _ := mon.deps.Autoscaler.ListedMachine(id)
		if mon.records[instance.Zone].State == zonehealth.Failed && !mon.deletingOrReachable(id) {
			mon.countLostMachine(counter, id, instance)
		}
	}
	mon.replacementDemand, mon.unreachableTasks = counter.replacements, counter.unreachable
}

// deletingOrReachable reports whether a machine of a failed zone is being deleted or still sends
// heartbeats.
func (mon *Monitor) deletingOrReachable(id api.MachineID) bool {
	m := mon.core.Machines[id]
	if m == nil {
		return false
	}
	return m.Deleting || m.LastHeartbeat != 0 && mon.core.Now.Sub(m.LastHeartbeat) < mon.core.HeartbeatTimeout
}

// countLostMachine counts the tasks on one lost machine.
func (mon *Monitor) countLostMachine(counter *lossCounter, id api.MachineID, instance api.Instance) {
	outage, lease := mon.OutageSeconds(instance.Zone), mon.core.Config.WorkerLease().Seconds()
	replace := mon.outlastsReplacement(id, instance, outage, lease)
	for _, p := range mon.core.State.PlacementsOn(id) {
		if p.Finishing || p.Job.Terminal() {
			continue
		}
		counter.unreachable[p.Job.ID]++
		if outage < lease {
			counter.countDuringLease(p, replace)
			continue
		}
		mon.expiredLeaseTasks[instance.Zone]++
		if replace {
			counter.replacements[p.Job.ID]++
		}
	}
}

// countDuringLease counts a task whose machine's lease has not expired yet.
func (counter *lossCounter) countDuringLease(p *core.Placement, replace bool) {
	if p.Job.Spec.Priority.Rank() < core.MinPreemptorRank {
		return
	}
	if replace && counter.preemptible < p.Job.Demand.CPU {
		counter.replacements[p.Job.ID]++
	} else {
		counter.preemptible -= p.Job.Demand.CPU
	}
}

// outlastsReplacement reports whether a machine will probably stay unreachable until its lease has
// expired and a replacement has booted. It is false if a controller inside the zone may still command
// the machine. outage is the duration of the zone's outage so far; both durations are in seconds.
func (mon *Monitor) outlastsReplacement(id api.MachineID, instance api.Instance, outage, lease float64) bool {
	record := mon.records[instance.Zone]
	if slices.Contains(record.IsolatedPartitions, mon.core.PartitionOf(id)) {
		return false
	}
	target := max(lease, outage+mon.core.BootSeconds(instance.Type))
	return record.OutlastProbability(target, outage) >= minReplacementProbability
}
