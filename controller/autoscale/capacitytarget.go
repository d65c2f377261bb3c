// This file computes capacity targets: the number of machines that should be up, for each
// machine type with accelerators.

package autoscale

import (
	"maps"
	"math"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

const (
	// headroomDeviations is the capacity kept above the mean load, in standard deviations.
	// Independent arrivals are assumed: the deviation is the square root of the load. With this
	// headroom few latency-sensitive jobs find no machine.
	headroomDeviations = 1.5

	// riskySpotLoss is the probability of a missed deadline after the loss of a spot machine
	// from which on a job counts as latency-sensitive.
	riskySpotLoss = 0.3
)

// capacityTarget is the recent demand for a machine type with accelerators, and the target
// computed from it.
type capacityTarget struct {
	samples              []demandSample // recent samples, oldest first
	latencySensitiveSpec *api.JobSpec   // an example of a latency-sensitive job, if any
	batchSpec            *api.JobSpec   // an example of another job that needs the accelerators, if any
	total                int            // machines that should be up
	latencySensitive     int            // of these, machines that should suit latency-sensitive jobs
}

// demandSample is the demand at a time, in machines: of all jobs that need accelerators, and of
// those that are latency-sensitive.
type demandSample struct {
	sampledAt               api.Time
	total, latencySensitive float64
}

// withHeadroom returns the machines for a load with headroom for random variation.
func withHeadroom(load float64) int { return int(math.Ceil(load + headroomDeviations*math.Sqrt(load))) }

// sampleAt returns the last sample at or before a time, or the zero sample if there is none.
func (target *capacityTarget) sampleAt(at api.Time) demandSample {
	var out demandSample
	for _, sample := range target.samples {
		if sample.sampledAt > at {
			break
		}
		out = sample
	}
	return out
}

// mean returns the mean of the samples.
func (target *capacityTarget) mean() demandSample {
	var mean demandSample
	for _, sample := range target.samples {
		mean.total += sample.total / float64(len(target.samples))
		mean.latencySensitive += sample.latencySensitive / float64(len(target.samples))
	}
	return mean
}

// addSample adds a sample, drops samples older than the retention time and computes the target.
// boot is the boot time of the machine type.
func (target *capacityTarget) addSample(sample demandSample, retention, boot api.Time) {
	target.samples = append(target.samples, sample)
	target.samples = slices.DeleteFunc(target.samples, func(o demandSample) bool { return sample.sampledAt-o.sampledAt > retention })
	mean := target.mean()
	if target.latencySensitiveSpec == nil {
		target.total, target.latencySensitive = int(math.Ceil(mean.total)), 0
		return
	}
	growth := int(math.Ceil(target.sustainedGrowth(sample, boot)))
	target.latencySensitive = withHeadroom(max(mean.latencySensitive, sample.latencySensitive)) + growth
	target.total = target.latencySensitive + withHeadroom(max(mean.total-mean.latencySensitive, sample.total-sample.latencySensitive))
}

// sustainedGrowth estimates the growth of the latency-sensitive load until one more machine has
// booted, as the growth over the last boot time. The estimate is limited by twice the growth of
// the later half and by the earlier load, so that a single step is not extrapolated.
func (target *capacityTarget) sustainedGrowth(sample demandSample, boot api.Time) float64 {
	before, halfBefore := target.sampleAt(sample.sampledAt-boot), target.sampleAt(sample.sampledAt-boot/2)
	return max(0, min(
		sample.latencySensitive-before.latencySensitive,
		2*(sample.latencySensitive-halfBefore.latencySensitive),
		before.latencySensitive))
}

// suits reports whether spot or on-demand machines of the type may run latency-sensitive jobs.
func (target *capacityTarget) suits(spot bool) bool {
	return target.latencySensitiveSpec != nil && (target.latencySensitiveSpec.Spot || !spot)
}

// noteJob records a job as an example for offers: of batch jobs preferably one that may run on
// spot machines, of latency-sensitive jobs preferably one that must not.
func (target *capacityTarget) noteJob(spec *api.JobSpec, latencySensitive bool) {
	if !latencySensitive {
		if target.batchSpec == nil || !target.batchSpec.Spot && spec.Spot {
			target.batchSpec = spec
		}
		return
	}
	if target.latencySensitiveSpec == nil || target.latencySensitiveSpec.Spot && !spec.Spot {
		target.latencySensitiveSpec = spec
	}
}

// updateCapacityTargets computes the capacity targets of all types with accelerators and marks
// surplus machines. Otherwise short tasks that start on changing machines would keep all of these
// expensive machines from becoming idle. Other types have no targets: a few more of their machines do
// not matter, and rounds of short tasks would miss them.
func (as *Manager) updateCapacityTargets() {
	as.NextDemandSample = as.core.Now.Add(core.DemandSampleInterval)
	as.recordSpotUptime()
	samples := as.sampleDemand()
	counts := as.acceleratorsByPartition()
	for _, name := range slices.Sorted(maps.Keys(as.core.MachineTypes)) {
		typ := as.core.MachineTypes[name]
		if typ.GPUs <= 0 {
			continue
		}
		target := as.capacityTargetOf(name)
		sample := samples[name]
		sample.sampledAt = as.core.Now
		retention := as.idleTimeout(name) + 2*core.DemandSampleInterval
		target.addSample(sample, api.Time(retention), api.Time(api.Seconds(typ.BootSeconds)))
		as.markSurplus(name, target, counts)
	}
}

// sampleDemand counts the machines that jobs need which use accelerators, by the cheapest type
// for each job.
func (as *Manager) sampleDemand() map[api.MachineTypeName]demandSample {
	samples := map[api.MachineTypeName]demandSample{}
	for _, j := range as.core.State.Jobs {
		if j.Terminal() || as.core.IsCPUOnly(j.Spec) || as.deps.Tenancy.StartsBlocked(j) {
			continue
		}
		typ := as.CheapestType(j.Spec)
		if typ == nil {
			continue
		}
		latencySensitive := as.IsLatencySensitive(j.Spec)
		as.capacityTargetOf(typ.Name).noteJob(j.Spec, latencySensitive)
		machines := float64(j.Spec.Tasks-j.CompletedCount) / float64(max(1, j.Demand.Slots(typ.Capacity())))
		sample := samples[typ.Name]
		sample.total += machines
		if latencySensitive || as.deps.Scheduler.SpotRisk(j) > riskySpotLoss {
			sample.latencySensitive += machines
		}
		samples[typ.Name] = sample
	}
	return samples
}

func (as *Manager) capacityTargetOf(name api.MachineTypeName) *capacityTarget {
	target := as.targets[name]
	if target == nil {
		target = &capacityTarget{}
		as.targets[name] = target
	}
	return target
}

// IsLatencySensitive reports whether a job's start objective is shorter than the longest usual
// boot time of a new machine for it.
func (as *Manager) IsLatencySensitive(s *api.JobSpec) bool {
	within, typ := as.core.StartObjective(s.Class), as.CheapestType(s)
	return within > 0 && typ != nil && within < slowBootFactor*typ.BootSeconds
}

// SuitsLatencySensitive reports whether latency-sensitive jobs need machines like this one.
// Other jobs avoid it where possible, since their tasks would have to be preempted.
func (as *Manager) SuitsLatencySensitive(m *core.Machine) bool {
	target := as.targets[m.MachineType]
	return target != nil && target.suits(m.Spot)
}

// CheapestType returns the cheapest machine type that a job's tasks may use and fit, or nil.
func (as *Manager) CheapestType(s *api.JobSpec) *api.MachineType {
	var best *api.MachineType
	for _, name := range slices.Sorted(maps.Keys(as.core.MachineTypes)) {
		typ := as.core.MachineTypes[name]
		allowed := len(s.Types) == 0 || slices.Contains(s.Types, name)
		if allowed && s.Demand().Fits(typ.Capacity()) && (best == nil || typ.Price < best.Price) {
			best = typ
		}
	}
	return best
}
