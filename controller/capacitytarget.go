package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// CountAccelerators counts a part's machines with accelerators.
func (as *Autoscaler) CountAccelerators(p api.PartitionID) map[message.AcceleratorKind]message.AcceleratorCount {
	counts := map[message.AcceleratorKind]message.AcceleratorCount{}
	for _, m := range as.c.agents.MachinesOf(p) {
		if m.LastHeartbeat == 0 || m.Deleting || !as.core.HasAccelerators(m.MachineType) {
			continue
		}
		c := counts[message.AcceleratorKind{Type: m.MachineType, Spot: m.Spot}]
		c.Up++
		if as.hasLongRunningWork(m.ID) {
			c.Lasting++
		}
		counts[message.AcceleratorKind{Type: m.MachineType, Spot: m.Spot}] = c
	}
	return counts
}

// hasLongRunningWork reports whether a machine with accelerators has a service or a gang
// that needs them.
func (as *Autoscaler) hasLongRunningWork(id api.MachineID) bool {
	for _, p := range as.core.State.PlacementsOn(id) {
		if p.Job.Spec.Kind != api.Array && !as.core.IsCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// acceleratorsByPartition is what is known of all parts' machines with accelerators.
func (as *Autoscaler) acceleratorsByPartition() map[api.PartitionID]map[message.AcceleratorKind]message.AcceleratorCount {
	out := map[api.PartitionID]map[message.AcceleratorKind]message.AcceleratorCount{}
	for p := range as.core.Partitions {
		out[p] = as.CountAccelerators(p)
	}
	for _, status := range as.c.gossiper.PeerPartitionStatuses() {
		out[status.Part] = status.Accelerated
	}
	as.c.gossiper.EachUnreportedMachine(func(p api.PartitionID, h api.Instance) {
		if !as.core.HasAccelerators(h.Type) {
			return
		}
		if out[p] == nil {
			out[p] = map[message.AcceleratorKind]message.AcceleratorCount{}
		}
		c := out[p][message.AcceleratorKind{Type: h.Type, Spot: h.Spot}]
		c.Up++
		if as.hasLongRunningWork(h.ID) {
			c.Lasting++
		}
		out[p][message.AcceleratorKind{Type: h.Type, Spot: h.Spot}] = c
	})
	return out
}

// capacityTarget is what is known of the need for a type with accelerators.
type capacityTarget struct {
	samples              []demandSample // of late
	latencySensitiveSpec *api.JobSpec   // work of a class that should start sooner than a machine boots, if any
	batchSpec            *api.JobSpec   // other work that needs the accelerators
	total                int            // how many machines should be up
	latencySensitive     int            // how many of them should be such as the work ahead may use
}

// demandSample is how many machines work wants at a time: all work that needs the
// accelerators, and of it that of classes that should start sooner than one boots.
type demandSample struct {
	sampledAt               api.Time
	total, latencySensitive float64
}

// headroomDeviations is how far above the load the stock of machines is held that work
// needs sooner than one boots. The number of jobs at a time that come by chance
// varies by about the root of its mean; with that much more few find none.
const headroomDeviations = 1.5

func withHeadroom(load float64) int { return int(math.Ceil(load + headroomDeviations*math.Sqrt(load))) }

// sampleAt is the load that was seen last at least so long ago.
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

// updateCapacityTargets reckons once a second how many machines with accelerators are wanted
// and which of those that are up are more than that. Work that goes round the
// machines would otherwise keep all of them though it never needs them at once.
// Those are the dear ones; of the others a few more do not matter, and rounds of
// short tasks miss them (docs/measurements.md).
func (as *Autoscaler) updateCapacityTargets() {
	as.fleet.nextDemandSample = as.core.Now.Add(demandSampleInterval)
	as.recordSpotUptime()
	samples := map[api.MachineTypeName]demandSample{}
	for _, j := range as.core.State.Jobs {
		if j.Terminal() || as.core.IsCPUOnly(j.Spec) || as.c.tenancy.StartsBlocked(j) {
			continue
		}
		typ := as.CheapestType(j.Spec)
		if typ == nil {
			continue
		}
		sample := samples[typ.Name]
		machines := float64(j.Spec.Tasks-j.CompletedCount) / float64(max(1, j.Demand.Slots(typ.Capacity())))
		sample.total += machines
		target := as.capacityTargetOf(typ.Name)
		switch {
		case !as.IsLatencySensitive(j.Spec):
			if target.batchSpec == nil || !target.batchSpec.Spot && j.Spec.Spot {
				target.batchSpec = j.Spec
			}
		case target.latencySensitiveSpec == nil || target.latencySensitiveSpec.Spot && !j.Spec.Spot:
			target.latencySensitiveSpec = j.Spec
			fallthrough
		default:
			sample.latencySensitive += machines
		}
		if !as.IsLatencySensitive(j.Spec) && as.c.scheduler.SpotRisk(j) > 0.3 {
			sample.latencySensitive += machines
		}
		samples[typ.Name] = sample
	}
	counts := as.acceleratorsByPartition()
	for _, name := range slices.Sorted(maps.Keys(as.core.MachineTypes)) {
		if typ := as.core.MachineTypes[name]; typ.GPUs > 0 {
			target := as.capacityTargetOf(name)
			sample := samples[name]
			sample.sampledAt = as.core.Now
			target.addSample(sample, api.Time(as.idleTimeout(name)+2*demandSampleInterval), api.Time(api.Seconds(typ.BootSeconds)))
			as.markSurplus(name, target, counts)
		}
	}
}

// IsLatencySensitive reports whether work should start sooner than a machine for it boots:
// booting takes up to half as long again as the type's time.
func (as *Autoscaler) IsLatencySensitive(s *api.JobSpec) bool {
	within, typ := as.core.StartObjective(s.Class), as.CheapestType(s)
	return within > 0 && typ != nil && within < slowBootFactor*typ.BootSeconds
}

// SuitsLatencySensitive reports whether a machine is such as prompt work needs: other work
// leaves room there if it can, or it would have to make way.
func (as *Autoscaler) SuitsLatencySensitive(m *core.Machine) bool {
	target := as.fleet.capacityTargets[m.MachineType]
	return target != nil && target.latencySensitiveSpec != nil && (target.latencySensitiveSpec.Spot || !m.Spot)
}

// demandSampleInterval is how often the load is looked at.
const demandSampleInterval = time.Second

func (as *Autoscaler) capacityTargetOf(name api.MachineTypeName) *capacityTarget {
	target := as.fleet.capacityTargets[name]
	if target == nil {
		target = &capacityTarget{}
		as.fleet.capacityTargets[name] = target
	}
	return target
}

// addSample reckons the targets from a new load and those of a while before it.
func (target *capacityTarget) addSample(sample demandSample, retention, boot api.Time) {
	target.samples = append(target.samples, sample)
	target.samples = slices.DeleteFunc(target.samples, func(o demandSample) bool { return sample.sampledAt-o.sampledAt > retention })
	var mean demandSample
	for _, o := range target.samples {
		mean.total += o.total / float64(len(target.samples))
		mean.latencySensitive += o.latencySensitive / float64(len(target.samples))
	}
	if target.latencySensitiveSpec == nil {
		target.total, target.latencySensitive = int(math.Ceil(mean.total)), 0
		return
	}
	// What has been added while a machine boots is likely to be added again until
	// one more is up; but not when it came all at once, nor when there was next to
	// nothing before it.
	before, halfBefore := target.sampleAt(sample.sampledAt-boot), target.sampleAt(sample.sampledAt-boot/2)
	grown := max(0, min(sample.latencySensitive-before.latencySensitive, 2*(sample.latencySensitive-halfBefore.latencySensitive), before.latencySensitive))
	target.latencySensitive = withHeadroom(max(mean.latencySensitive, sample.latencySensitive)) + int(math.Ceil(grown))
	target.total = target.latencySensitive + withHeadroom(max(mean.total-mean.latencySensitive, sample.total-sample.latencySensitive))
}

// CheapestType is the cheapest type that can take a job's tasks.
func (as *Autoscaler) CheapestType(s *api.JobSpec) *api.MachineType {
	var best *api.MachineType
	for _, name := range slices.Sorted(maps.Keys(as.core.MachineTypes)) {
		t := as.core.MachineTypes[name]
		if s.Demand().Fits(t.Capacity()) && (len(s.Types) == 0 || slices.Contains(s.Types, name)) && (best == nil || t.Price < best.Price) {
			best = t
		}
	}
	return best
}

// markSurplus chooses our share of the machines that are more than needed, of
// those without lasting work: the dearest first, but of those that the work ahead
// may use as many stay as it needs. They get work last and are returned when they
// are idle. Every owner reckons alike from the same counts, so that together they
// choose about as many as there are too many.
func (as *Autoscaler) markSurplus(name api.MachineTypeName, target *capacityTarget, countsByPartition map[api.PartitionID]map[message.AcceleratorKind]message.AcceleratorCount) {
	totals := map[message.AcceleratorKind]message.AcceleratorCount{}
	surplus := -target.total
	for _, counts := range countsByPartition {
		for s, c := range counts {
			if s.Type == name {
				totals[s] = message.AcceleratorCount{Up: totals[s].Up + c.Up, Lasting: totals[s].Lasting + c.Lasting}
				surplus += c.Up
			}
		}
	}
	price := func(s message.AcceleratorKind) float64 {
		if s.Spot {
			return as.core.MachineTypes[name].SpotPrice
		}
		return as.core.MachineTypes[name].Price
	}
	supplies := slices.SortedFunc(maps.Keys(totals), func(a, b message.AcceleratorKind) int { return cmp.Compare(price(b), price(a)) })
	for _, s := range supplies {
		free := totals[s].Up - totals[s].Lasting
		excess := surplus
		if target.latencySensitiveSpec != nil && (target.latencySensitiveSpec.Spot || !s.Spot) {
			excess = min(excess, totals[s].Up-target.latencySensitive)
		}
		surplusOfKind := max(0, min(excess, free))
		surplus -= surplusOfKind
		freeBefore := 0
		for _, p := range slices.Sorted(maps.Keys(countsByPartition)) {
			c := countsByPartition[p][s]
			take := 0
			if free > 0 {
				take = surplusOfKind*(freeBefore+c.Up-c.Lasting)/free - surplusOfKind*freeBefore/free
			}
			freeBefore += c.Up - c.Lasting
			if owned := as.core.Partitions[p]; owned != nil {
				as.selectSurplus(p, s, take)
				if target.latencySensitiveSpec != nil && (excess-free)/len(countsByPartition) > 0 {
					as.consolidate(owned, s)
				}
			}
		}
	}
}

// selectSurplus marks so many of a part's machines: those marked before, then
// those with least work, then the newest.
func (as *Autoscaler) selectSurplus(p api.PartitionID, s message.AcceleratorKind, take int) {
	var free []*core.Machine
	for _, m := range as.c.agents.MachinesOf(p) {
		switch {
		case m.MachineType != s.Type || m.Spot != s.Spot:
		case m.LastHeartbeat != 0 && !m.Deleting && !as.hasLongRunningWork(m.ID):
			free = append(free, m)
		default:
			m.Surplus = false
		}
	}
	rank := func(m *core.Machine) int {
		if m.Surplus || as.core.Now < m.ConsolidatingUntil {
			return 0
		}
		return 1 + len(as.core.State.PlacementsOn(m.ID))
	}
	slices.SortStableFunc(free, func(a, b *core.Machine) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.ID, a.ID))
	})
	for i, m := range free {
		m.Surplus = i < take
	}
}

// minServiceRuntime is how long a service must have run before it is moved.
const minServiceRuntime = time.Minute

// consolidate has the services of a machine, that which holds fewest, move to others that
// have room and their image, so that it can be returned: services that came while there
// was much other work are spread over many machines when that is gone. The cost is a
// moment without the replica.
func (as *Autoscaler) consolidate(owned *core.OwnedPartition, s message.AcceleratorKind) {
	if as.core.Now.Sub(owned.OwnedSince) < as.idleTimeout(s.Type) {
		return
	}
	var from, to []*core.Machine
	for _, m := range as.c.agents.MachinesOf(owned.ID) {
		if m.MachineType != s.Type || m.Spot != s.Spot || m.Surplus || as.core.Now < m.ConsolidatingUntil || !as.c.scheduler.IsSchedulable(m, owned) || len(as.core.State.PlacementsOn(m.ID)) == 0 {
			continue
		}
		if as.c.preemptor.ReservedFor(m) == "" {
			to = append(to, m)
		}
		if as.allServicesMovable(m, owned) {
			from = append(from, m)
		}
	}
	if len(from) == 0 {
		return
	}
	m := slices.MinFunc(from, func(a, b *core.Machine) int {
		return len(as.core.State.PlacementsOn(a.ID)) - len(as.core.State.PlacementsOn(b.ID))
	})
	if !as.fitsElsewhere(m, owned, to) {
		return
	}
	m.ConsolidatingUntil = as.core.Now.Add(core.ReservationTTL)
	slog.Info("services relocated", "machine", m.ID, "tasks", len(as.core.State.PlacementsOn(m.ID)))
	for _, p := range slices.Clone(as.core.State.PlacementsOn(m.ID)) {
		as.c.scheduler.StopTask(p)
	}
}

// fitsElsewhere reports whether others that have the images have room for all that a
// machine holds.
func (as *Autoscaler) fitsElsewhere(from *core.Machine, owned *core.OwnedPartition, to []*core.Machine) bool {
	taken := map[*core.Machine]api.Resources{}
	for _, p := range as.core.State.PlacementsOn(from.ID) {
		i := slices.IndexFunc(to, func(m *core.Machine) bool {
			_, has := m.CachedImages[p.Job.Spec.Image]
			return has && m != from && p.Job.Demand.Fits(as.c.scheduler.FreeCapacityOn(m, owned).Minus(taken[m]))
		})
		if i < 0 {
			return false
		}
		taken[to[i]] = taken[to[i]].Plus(p.Job.Demand)
	}
	return true
}

// allServicesMovable reports whether all that a machine holds are services that may move.
func (as *Autoscaler) allServicesMovable(m *core.Machine, owned *core.OwnedPartition) bool {
	for _, p := range as.core.State.PlacementsOn(m.ID) {
		s := p.Job.Spec
		if s.Kind != api.Service || s.Spread || s.OneZone || p.Partition != owned.ID || p.Finishing || p.OwnerState.StopRequested || p.Job.Terminal() ||
			p.OwnerState.RunningSince == 0 || as.core.Now.Sub(p.OwnerState.RunningSince) < minServiceRuntime {
			return false
		}
	}
	return true
}

// scaleOutAhead adds the machines that should be up before the work comes that will
// need them.
func (as *Autoscaler) scaleOutAhead(need, incoming map[machineOffer]int) {
	counts := as.acceleratorsByPartition()
	for _, name := range slices.Sorted(maps.Keys(as.fleet.capacityTargets)) {
		target := as.fleet.capacityTargets[name]
		if target.latencySensitiveSpec == nil {
			continue
		}
		existing := func(matches func(spot bool) bool) int {
			sum := 0
			for _, c := range counts {
				for s, k := range c {
					if s.Type == name && matches(s.Spot) {
						sum += k.Up
					}
				}
			}
			for _, byOffer := range []map[machineOffer]int{need, incoming} {
				for o, k := range byOffer {
					if o.Type == name && matches(o.Spot) {
						sum += k
					}
				}
			}
			return sum
		}
		add := func(s *api.JobSpec, missing int) {
			for ; missing > 0; missing-- {
				o, ok := as.cheapestOffer(s, need, incoming, func(api.Zone) bool { return true })
				if !ok {
					break
				}
				need[o]++
			}
		}
		add(target.latencySensitiveSpec, target.latencySensitive-existing(func(spot bool) bool { return target.latencySensitiveSpec.Spot || !spot }))
		if target.batchSpec != nil {
			add(target.batchSpec, target.total-existing(func(bool) bool { return true }))
		}
	}
}
