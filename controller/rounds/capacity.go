package rounds

// This file computes the free capacity of machines and the zones of a job's tasks.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// IsSchedulable reports whether a machine may get new tasks.
func (s *Scheduler) IsSchedulable(m *core.Machine, owned *core.OwnedPartition) bool {
	return s.deps.Eligibility.UnschedulableReason(m, owned) == core.Schedulable
}

const (
	// maxReportBytes is the limit on a machine's heartbeat and on the commands in the reply, without their
	// other fields.
	maxReportBytes = 63 << 10
	// maxTaskReportBytes is the size of a task in a heartbeat, with the longest job ID and reason.
	maxTaskReportBytes = 160
	// maxTasksPerMachine limits the tasks on a machine, or controllers would have to refuse its heartbeats.
	maxTasksPerMachine = maxReportBytes / maxTaskReportBytes
)

// taskSlots returns the number of tasks that a machine may still take, whatever their demand.
func (s *Scheduler) taskSlots(m *core.Machine) int {
	unreported := 0
	for _, placement := range s.core.State.PlacementsOn(m.ID) {
		if !placement.OwnerState.Reported {
			unreported++
		}
	}
	return max(0, maxTasksPerMachine-len(m.ReportedTasks)-unreported)
}

// hasTaskSlot reports whether a machine may take another task, whatever its demand.
func (s *Scheduler) hasTaskSlot(m *core.Machine) bool {
	atMost := len(m.ReportedTasks) + len(s.core.State.PlacementsOn(m.ID)) // those reported may count twice
	return atMost < maxTasksPerMachine || s.taskSlots(m) > 0
}

// FreeCapacityOn returns the capacity of a machine less the demand of all tasks that are or may be
// on it. It is zero for a machine with an unknown task, whose demand is unknown, and for one with too many tasks.
func (s *Scheduler) FreeCapacityOn(m *core.Machine, owned *core.OwnedPartition) api.Resources {
	machineType := s.core.MachineTypes[m.MachineType]
	if machineType == nil || m.HasUnknownTasks || !s.hasTaskSlot(m) {
		return api.Resources{}
	}
	return machineType.Capacity().Minus(m.UntrackedUsage).Minus(owned.InFlightDemand[m.ID]).Minus(s.core.State.Allocated(m.ID))
}

// PendingImageFetches returns the images that a machine has still to fetch for its tasks, as far as
// is known.
func (s *Scheduler) PendingImageFetches(m *core.Machine) []sched.ImageFetch {
	var fetches []sched.ImageFetch
	for _, placement := range s.core.State.PlacementsOn(m.ID) {
		if !needsFetch(m, placement) {
			continue
		}
		fetch := sched.ImageFetch{Name: placement.Job.Spec.Image, SizeGB: placement.Job.Spec.ImageGB}
		if placement.OwnerState.PlacedAt != 0 {
			fetch.ElapsedSeconds = s.core.Now.Sub(placement.OwnerState.PlacedAt).Seconds()
		}
		if i := slices.IndexFunc(fetches, func(other sched.ImageFetch) bool { return other.Name == fetch.Name }); i >= 0 {
			fetches[i].ElapsedSeconds = max(fetches[i].ElapsedSeconds, fetch.ElapsedSeconds)
		} else {
			fetches = append(fetches, fetch)
		}
	}
	return fetches
}

// needsFetch reports whether a machine has still to fetch the image of a task on it.
func needsFetch(m *core.Machine, placement *core.Placement) bool {
	if _, cached := m.CachedImages[placement.Job.Spec.Image]; cached || placement.Finishing {
		return false
	}
	return !placement.OwnerState.Reported || placement.OwnerState.State == api.TaskFetching
}

// TaskZones counts a job's tasks by zone, including tasks that may still run; known is false if the
// zone of a machine is not known.
func (s *Scheduler) TaskZones(j *core.Job) (zones map[api.Zone]int, known bool) {
	zones, known = map[api.Zone]int{}, true
	for _, placement := range j.Placements {
		if placement.Finishing {
			continue
		}
		zone := s.MachineZone(placement.Machine)
		if zone == "" {
			known = false
			continue
		}
		zones[zone]++
	}
	return zones, known
}

// MachineZone returns a machine's zone as reported by heartbeats or, for machines of other
// partitions, as listed by the cloud. It is empty if the zone is not known yet.
func (s *Scheduler) MachineZone(id api.MachineID) api.Zone {
	if m := s.core.Machines[id]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return s.deps.Autoscaler.ListedZone(id)
}
