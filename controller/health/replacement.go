// Counts of the tasks on lost machines, for which machines are provisioned elsewhere.

package health

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// minReplacementProbability is how likely a zone must be to stay silent until another machine is up for
// one to be provisioned in its stead.
const minReplacementProbability = 0.5

// ReplacementDemand counts, by job, the tasks on lost machines for which machines are provisioned.
func (mon *Monitor) ReplacementDemand() map[api.JobID]int { return mon.replacementDemand }

// ExpiredLeaseTasks is how many tasks are on a zone's lost machines past their leases.
func (mon *Monitor) ExpiredLeaseTasks(name api.Zone) int { return mon.expiredLeaseTasks[name] }

// lossCounter counts the tasks on machines of failed zones.
type lossCounter struct {
	replacements map[api.JobID]int // for which machines are provisioned
	unreachable  map[api.JobID]int // all
	preemptible  api.Quantity      // CPUs that urgent work could still have elsewhere by preemption
}

// countUnreachableTasks counts the tasks of each job, in all partitions, that are on machines of failed
// zones, and of these the ones past their leases that no controller inside keeps and for which another
// machine is likely to be up before the zone is back: machines are provisioned for them as for pending
// work. Urgent work that would not fit elsewhere even if all lower work were preempted is counted before
// the leases end, where the outage is likely to outlast them: only for that a machine that may not be
// needed costs less than one that is late.
func (mon *Monitor) countUnreachableTasks() {
	counter := &lossCounter{replacements: map[api.JobID]int{}, unreachable: map[api.JobID]int{}}
	mon.siblings.Gossiper.EachFreeCapacity(func(_ api.PartitionID, class message.MachineClass, free message.FreeCapacity) {
		if class.Usable {
			counter.preemptible += free.Could.CPU * api.Quantity(free.Count)
		}
	})
	for _, id := range mon.siblings.Autoscaler.ListedMachineIDs() {
		instance, _ := mon.siblings.Autoscaler.ListedMachine(id)
		if mon.records[instance.Zone].State == zonehealth.Failed && !mon.isBeingHandled(id) {
			mon.countLostMachine(counter, id, instance)
		}
	}
	mon.replacementDemand, mon.unreachableTasks = counter.replacements, counter.unreachable
}

// isBeingHandled reports whether a machine of a failed zone is being deleted, or is heard of all the
// same.
func (mon *Monitor) isBeingHandled(id api.MachineID) bool {
	m := mon.core.Machines[id]
	if m == nil {
		return false
	}
	return m.Deleting || m.LastHeartbeat != 0 && mon.core.Now.Sub(m.LastHeartbeat) < mon.core.HeartbeatTimeout
}

// countLostMachine counts the tasks on one lost machine.
func (mon *Monitor) countLostMachine(counter *lossCounter, id api.MachineID, instance api.Instance) {
	silence, lease := mon.ZoneSilenceSeconds(instance.Zone), mon.core.Config.WorkerLease().Seconds()
	replace := mon.outlastsReplacement(id, instance, silence, lease)
	for _, p := range mon.core.State.PlacementsOn(id) {
		if p.Finishing || p.Job.Terminal() {
			continue
		}
		counter.unreachable[p.Job.ID]++
		if silence < lease {
			counter.countDuringLease(p, replace)
			continue
		}
		mon.expiredLeaseTasks[instance.Zone]++
		if replace {
			counter.replacements[p.Job.ID]++
		}
	}
}

// countDuringLease counts a task whose machine's lease has not ended yet.
func (counter *lossCounter) countDuringLease(p *core.Placement, replace bool) {
	if p.Job.Spec.Priority.Rank() < core.PreemptorRank {
		return
	}
	if replace && counter.preemptible < p.Job.Demand.CPU {
		counter.replacements[p.Job.ID]++
	} else {
		counter.preemptible -= p.Job.Demand.CPU
	}
}

// outlastsReplacement reports whether a machine is likely to be lost, to any controller, for longer than
// its lease lasts and another takes to boot. Times are in seconds.
func (mon *Monitor) outlastsReplacement(id api.MachineID, instance api.Instance, silence, lease float64) bool {
	record := mon.records[instance.Zone]
	if slices.Contains(record.PartitionsInside, mon.core.PartitionOf(id)) {
		return false
	}
	target := max(lease, silence+mon.core.BootSeconds(instance.Type))
	return record.OutlastProbability(target, silence) >= minReplacementProbability
}
