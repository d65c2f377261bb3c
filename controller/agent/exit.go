// Effects of task exits: failure attribution, machines' relative runtimes and cached images.

package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

const (
	noCapacityBackoff   = 2 * time.Second // for a machine that rejected a task for lack of capacity
	unknownTaskBackoff  = time.Second     // for a job whose task was unknown to the worker
	maxFailureBackoff   = 30 * time.Second
	maxBackoffDoublings = 5

	recentFailureWindow   = time.Minute
	quarantineFailedJobs  = 2 // distinct jobs with recent failures that quarantine a machine
	backoffFailedMachines = 2 // distinct machines with failures that make a job back off

	runtimeSmoothing  = 0.4 // weight of the latest task in a machine's relative runtime
	maxRuntimeRatio   = 4
	minRuntimeSamples = 2 // completed tasks of a job before their mean runtime is used
)

// handleExit processes the end of a task on its machine.
func (am *Manager) handleExit(owned *core.OwnedPartition, m *core.Machine, p *core.Placement, taskReport api.TaskStatus) {
	j := p.Job
	switch taskReport.Reason {
	case api.ReasonDone:
		am.cacheImage(m, j.Spec)
		delete(m.RecentFailures, j.ID)
		am.core.EndProbes(m, p)
		j.OwnerState.Failures = 0
		if p.OwnerState.RunningSince != 0 {
			am.updateRelativeRuntime(m, j, am.core.Now.Sub(p.OwnerState.RunningSince).Seconds())
		}
		am.deps.Scheduler.RecordTaskEnd(owned, p, true, "done")
		return
	case api.ReasonError:
		j.OwnerState.Failures++
		j.OwnerState.FailedOn.Failed(m.ID, am.core.Now)
		m.RecentFailures[j.ID] = am.core.Now
		am.attributeFailure(m, p)
	case api.ReasonNoCapacity:
		m.FullUntil = am.core.Now.Add(noCapacityBackoff)
	case api.ReasonUnknown:
		j.OwnerState.BackoffUntil = am.core.Now.Add(unknownTaskBackoff)
		am.handleUnknownTask(owned, p)
	}
	am.deps.Scheduler.RecordTaskEnd(owned, p, false, string(taskReport.Reason))
}

// handleUnknownTask processes the refusal of a task that a worker does not know. An accepted job was
// submitted, so its record has too many tasks once enough refusals confirm it: the job could never be done.
func (am *Manager) handleUnknownTask(owned *core.OwnedPartition, p *core.Placement) {
	j := p.Job
	refusals := &j.OwnerState.UnknownTasks
	if !refusals.AcceptedTask && j.CompletedCount == 0 {
		return // the workers may not have the job's description yet
	}
	if refusals.Refused(p.Task.Index, p.Machine) {
		am.deps.Jobs.ReduceTasks(owned, j, refusals.Task)
	}
}

// updateRelativeRuntime updates a machine's relative runtime by comparing a task's runtime, in seconds,
// with the mean of its job array. Tasks of an array are alike, so a difference is due to the machine.
func (am *Manager) updateRelativeRuntime(m *core.Machine, j *core.Job, seconds float64) {
	if j.Spec.Kind != api.Array {
		return
	}
	if j.OwnerState.CompletedTasks >= minRuntimeSamples && j.OwnerState.CompletedSeconds > 0 {
		ratio := seconds / (j.OwnerState.CompletedSeconds / float64(j.OwnerState.CompletedTasks))
		if m.RelativeRuntime == 0 {
			m.RelativeRuntime = 1
		}
		m.RelativeRuntime += runtimeSmoothing * (min(ratio, maxRuntimeRatio) - m.RelativeRuntime)
	}
	j.OwnerState.CompletedSeconds += seconds
	j.OwnerState.CompletedTasks++
}

// attributeFailure attributes a task failure to the machine, which is quarantined, or to the job,
// which backs off.
func (am *Manager) attributeFailure(m *core.Machine, p *core.Placement) {
	j := p.Job
	recent := 0
	for ref, at := range m.RecentFailures {
		if am.core.Now.Sub(at) > recentFailureWindow {
			delete(m.RecentFailures, ref)
			continue
		}
		recent++
	}
	if recent >= quarantineFailedJobs || m.Quarantine.IsProbe(p) {
		am.quarantine(m)
	}
	// A job that fails on several machines is probably faulty itself. The backoff prevents it from
	// occupying the same machines every round and from having them quarantined.
	if len(j.OwnerState.FailedOn) >= backoffFailedMachines {
		backoff := time.Second << min(j.OwnerState.Failures, maxBackoffDoublings)
		j.OwnerState.BackoffUntil = am.core.Now.Add(min(maxFailureBackoff, backoff))
	}
}

// quarantine keeps tasks off a machine for some time, longer after each failed probe.
func (am *Manager) quarantine(m *core.Machine) {
	if am.core.Now < m.Quarantine.RetryAt {
		return
	}
	m.Quarantine.Failed(am.core.Now)
	slog.Info("machine quarantined: failures of different jobs", "machine", m.ID, "failed_probes", m.Quarantine.Failures-1,
		"next_probe_s", m.Quarantine.RetryAt.Sub(am.core.Now).Seconds())
}

// cacheImage records that a machine has cached an image, and removes the images that the machine must
// have evicted for it.
func (am *Manager) cacheImage(m *core.Machine, s *api.JobSpec) {
	m.CachedImages[s.Image] = sched.CachedImage{SizeGB: s.ImageGB, LastUsed: am.core.Now}
	typ := am.core.MachineTypes[m.MachineType]
	if typ == nil {
		return
	}
	total := 0.0
	for _, c := range m.CachedImages {
		total += c.SizeGB
	}
	for total > typ.CacheGB && len(m.CachedImages) > 1 {
		oldest := leastRecentlyUsed(m.CachedImages)
		total -= m.CachedImages[oldest].SizeGB
		delete(m.CachedImages, oldest)
	}
}

// leastRecentlyUsed returns the least recently used image; ties are broken by name.
func leastRecentlyUsed(images map[api.Image]sched.CachedImage) api.Image {
	var oldest api.Image
	for _, img := range slices.Sorted(maps.Keys(images)) {
		if oldest == "" || images[img].LastUsed < images[oldest].LastUsed {
			oldest = img
		}
	}
	return oldest
}
