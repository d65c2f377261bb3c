// Capacity targets: how many machines of a type with accelerators should be up.

package autoscale

import (
	"maps"
	"math"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

const (
	// headroomDeviations is how far above the load the stock of machines is held that
	// work needs sooner than one boots, in standard deviations. The number of jobs that
	// arrive independently varies by about the root of its mean; with this much more
	// few find no machine.
	headroomDeviations = 1.5

	// riskySpotLoss is the chance of being late by a lost spot machine from which on a
	// job counts like latency-sensitive work.
	riskySpotLoss = 0.3
)

// capacityTarget is the demand for a type with accelerators and what follows from it.
type capacityTarget struct {
	samples              []demandSample // of late, oldest first
	latencySensitiveSpec *api.JobSpec   // a job of a class that should start sooner than a machine boots, if any
	batchSpec            *api.JobSpec   // another job that needs the accelerators, if any
	total                int            // how many machines should be up
	latencySensitive     int            // how many of them should suit latency-sensitive work
}

// demandSample is how many machines the work at a time wants: all work that needs the
// accelerators, and of it that of classes that should start sooner than one boots.
type demandSample struct {
	sampledAt               api.Time
	total, latencySensitive float64
}

func withHeadroom(load float64) int { return int(math.Ceil(load + headroomDeviations*math.Sqrt(load))) }

// sampleAt is the last sample that is not newer than a time, zero if there is none.
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

// mean is the mean of the samples.
func (target *capacityTarget) mean() demandSample {
	var mean demandSample
	for _, sample := range target.samples {
		mean.total += sample.total / float64(len(target.samples))
		mean.latencySensitive += sample.latencySensitive / float64(len(target.samples))
	}
	return mean
}

// addSample computes the targets from a new sample and those of the retention time before
// it. boot is how long a machine of the type takes to boot.
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

// sustainedGrowth is what is likely to be added to the latency-sensitive load until one
// more machine is up: what was added while one boots, but not when it came all at once,
// nor when there was next to nothing before it.
func (target *capacityTarget) sustainedGrowth(sample demandSample, boot api.Time) float64 {
	before, halfBefore := target.sampleAt(sample.sampledAt-boot), target.sampleAt(sample.sampledAt-boot/2)
	return max(0, min(
		sample.latencySensitive-before.latencySensitive,
		2*(sample.latencySensitive-halfBefore.latencySensitive),
		before.latencySensitive))
}

// suits reports whether machines of the type may take latency-sensitive work.
func (target *capacityTarget) suits(spot bool) bool {
	return target.latencySensitiveSpec != nil && (target.latencySensitiveSpec.Spot || !spot)
}

// noteJob keeps a job as an example of those that want the type: one that any machine
// suits as batch work, one that only on-demand machines suit as latency-sensitive work.
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

// updateCapacityTargets computes how many machines with accelerators are wanted and which
// of those that are up are more than that. Work that moves round the machines would
// otherwise keep all of them though it never needs them at once. Those are the expensive
// ones; of the others a few more do not matter, and rounds of short tasks miss them
// (docs/measurements.md).
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

// sampleDemand counts the machines that all jobs want that need accelerators, by the
// cheapest type that suits each.
func (as *Manager) sampleDemand() map[api.MachineTypeName]demandSample {
	samples := map[api.MachineTypeName]demandSample{}
	for _, j := range as.core.State.Jobs {
		if j.Terminal() || as.core.IsCPUOnly(j.Spec) || as.siblings.Tenancy.StartsBlocked(j) {
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
		if latencySensitive || as.siblings.Scheduler.SpotRisk(j) > riskySpotLoss {
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

// IsLatencySensitive reports whether work should start sooner than a machine for it boots,
// which takes up to slowBootFactor times the type's boot time.
func (as *Manager) IsLatencySensitive(s *api.JobSpec) bool {
	within, typ := as.core.StartObjective(s.Class), as.CheapestType(s)
	return within > 0 && typ != nil && within < slowBootFactor*typ.BootSeconds
}

// SuitsLatencySensitive reports whether a machine is such as latency-sensitive work needs:
// other work avoids it if it can, or it would have to be preempted.
func (as *Manager) SuitsLatencySensitive(m *core.Machine) bool {
	target := as.targets[m.MachineType]
	return target != nil && target.suits(m.Spot)
}

// CheapestType is the cheapest type that can take a job's tasks, nil if none can.
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
