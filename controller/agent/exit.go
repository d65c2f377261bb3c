// What follows from how tasks ended: failures of machines and jobs, how fast a machine is, and which
// images it holds.

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
	noCapacityBackoff    = 2 * time.Second // a machine that refused a task for want of capacity
	unknownReasonBackoff = time.Second     // a job whose task ended for a reason that the agent does not know
	maxFailureBackoff    = 30 * time.Second
	maxBackoffDoublings  = 5

	recentFailureWindow   = time.Minute
	quarantineDuration    = 10 * time.Minute
	quarantineFailedJobs  = 2 // different jobs that failed on a machine of late
	backoffFailedMachines = 2 // different machines on which a job failed

	runtimeSmoothing  = 0.4 // the weight of the latest task in a machine's relative runtime
	maxRuntimeRatio   = 4
	minRuntimeSamples = 2
)

// handleExit handles a task that ended on its machine.
func (am *Manager) handleExit(owned *core.OwnedPartition, m *core.Machine, p *core.Placement, taskReport api.TaskStatus) {
	j := p.Job
	switch taskReport.Reason {
	case api.ReasonDone:
		am.cacheImage(m, j.Spec)
		delete(m.RecentFailures, j.ID)
		j.OwnerState.Failures = 0
		if p.OwnerState.RunningSince != 0 {
			am.estimateRate(m, j, am.core.Now.Sub(p.OwnerState.RunningSince).Seconds())
		}
		am.siblings.Scheduler.RecordTaskEnd(owned, p, true, "done")
		return
	case api.ReasonError:
		j.OwnerState.Failures++
		if j.OwnerState.FailedOn == nil {
			j.OwnerState.FailedOn = map[api.MachineID]bool{}
		}
		j.OwnerState.FailedOn[m.ID] = true
		m.RecentFailures[j.ID] = am.core.Now
		am.attributeFailure(m, j)
	case api.ReasonNoCapacity:
		m.FullUntil = am.core.Now.Add(noCapacityBackoff)
	case api.ReasonUnknown:
		j.OwnerState.BackoffUntil = am.core.Now.Add(unknownReasonBackoff)
	}
	am.siblings.Scheduler.RecordTaskEnd(owned, p, false, string(taskReport.Reason))
}

// estimateRate compares how long a task took, in seconds, with the others of its job: the same work,
// so that what differs is the machine.
func (am *Manager) estimateRate(m *core.Machine, j *core.Job, seconds float64) {
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

// attributeFailure decides whether a failure speaks against the machine or the job.
func (am *Manager) attributeFailure(m *core.Machine, j *core.Job) {
	recent := 0
	for ref, at := range m.RecentFailures {
		if am.core.Now.Sub(at) > recentFailureWindow {
			delete(m.RecentFailures, ref)
			continue
		}
		recent++
	}
	if recent >= quarantineFailedJobs && m.QuarantinedUntil < am.core.Now {
		m.QuarantinedUntil = am.core.Now.Add(quarantineDuration)
		slog.Info("machine quarantined: failures of different jobs", "machine", m.ID)
	}
	// A job that fails on several machines is more likely at fault itself: it backs off, so that it
	// neither wins the same machines every round nor has them quarantined.
	if len(j.OwnerState.FailedOn) >= backoffFailedMachines {
		backoff := time.Second << min(j.OwnerState.Failures, maxBackoffDoublings)
		j.OwnerState.BackoffUntil = am.core.Now.Add(min(maxFailureBackoff, backoff))
	}
}

// cacheImage notes that a machine holds an image and which ones it must have evicted for it.
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

// leastRecentlyUsed is the image that was used longest ago, of several the first by name.
func leastRecentlyUsed(images map[api.Image]sched.CachedImage) api.Image {
	var oldest api.Image
	for _, img := range slices.Sorted(maps.Keys(images)) {
		if oldest == "" || images[img].LastUsed < images[oldest].LastUsed {
			oldest = img
		}
	}
	return oldest
}
