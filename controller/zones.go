package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// ZoneHealth watches whole zones and decides what a failed one gives up.
type ZoneHealth struct {
	core *core.Core
	c    *Controller

	zones zoneTracker
}

// zoneKeyPrefix is a zone's record, zone.Record.
const zoneKeyPrefix = clusterstate.Root + "zone/"

// zoneTracker is what a controller knows of zones beyond their records.
type zoneTracker struct {
	records             map[api.Zone]zonehealth.Record
	observations        map[api.Zone]zonehealth.Assessment
	localObservation    zonehealth.Observation
	observedAt          api.Time
	lastSilentAt        map[api.Zone]api.Time         // when it was last seen mute
	controllerLostAt    map[api.ControllerID]api.Time // when a controller was last seen to go
	writeInFlight       bool
	storeHealthyAt      api.Time // when the state service answered us last
	storeUnhealthyAt    api.Time // when it had not answered us for a while
	evacuationPlannedAt api.Time
	floorsComputedAt    api.Time
	replacementDemand   map[api.JobID]int // tasks on lost machines for which machines are rented
	unreachableTasks    map[api.JobID]int // all tasks on lost machines
	expiredLeaseTasks   map[api.Zone]int  // tasks on lost machines past their leases

	// What our parts' work may give way by and take while a zone is lost; nil: none is.
	classFloors map[api.Class]zonehealth.Allowance
	teamFloors  map[api.Team]zonehealth.Allowance
}

func (zh *ZoneHealth) InitZones() {
	zh.zones = zoneTracker{records: map[api.Zone]zonehealth.Record{}, lastSilentAt: map[api.Zone]api.Time{}, controllerLostAt: map[api.ControllerID]api.Time{}}
}

// ZoneRecordKind is the kind of the zones' records.
func (zh *ZoneHealth) ZoneRecordKind() clusterstate.RecordKind {
	return clusterstate.RecordKind{Prefix: zoneKeyPrefix, Put: func(name string, value json.RawMessage, _ api.Revision) error {
		var r zonehealth.Record
		if err := json.Unmarshal(value, &r); err != nil {
			return err
		}
		zh.zones.records[api.Zone(name)] = r
		return nil
	}, Delete: func(name string) { delete(zh.zones.records, api.Zone(name)) }}
}

// zoneRecordPartition is the part whose owner writes the zones' records.
func (zh *ZoneHealth) zoneRecordPartition() *core.OwnedPartition { return zh.core.Partitions[0] }

// observeZones counts anew, now and then, what all controllers see of the zones.
func (zh *ZoneHealth) observeZones() {
	tracker := &zh.zones
	if tracker.observations != nil && zh.core.Now.Sub(tracker.observedAt) <= core.SweepInterval/2 {
		return
	}
	tracker.observedAt, tracker.observations, tracker.localObservation = zh.core.Now, map[api.Zone]zonehealth.Assessment{}, zonehealth.Observation{}
	for _, p := range slices.Sorted(maps.Keys(zh.core.Partitions)) {
		mergeZoneCounts(tracker.localObservation, zh.SilentByZone(zh.core.Partitions[p]))
	}
	witnesses := []zonehealth.Observation{tracker.localObservation}
	for _, l := range zh.c.gossiper.Peers() {
		witness := zonehealth.Observation{}
		for _, status := range zh.c.gossiper.PartitionStatusesOf(l) {
			mergeZoneCounts(witness, status.Zones)
		}
		witnesses = append(witnesses, witness)
	}
	for _, name := range zh.core.Config.Deployment.Zones {
		observation := zonehealth.Assess(witnesses, name)
		tracker.observations[name] = observation
		if observation.Unreachable {
			tracker.lastSilentAt[name] = zh.core.Now
		}
	}
}

func mergeZoneCounts(w zonehealth.Observation, counts map[api.Zone]zonehealth.MachineCount) {
	for name, c := range counts {
		o := w[name]
		w[name] = zonehealth.MachineCount{All: o.All + c.All, Silent: o.Silent + c.Silent, Heard: max(o.Heard, c.Heard)}
	}
}

// SilentByZone counts a part's machines by zone. What boots, as far as is known, and what a new
// owner has neither heard nor called yet, says nothing.
func (zh *ZoneHealth) SilentByZone(owned *core.OwnedPartition) map[api.Zone]zonehealth.MachineCount {
	counts := map[api.Zone]zonehealth.MachineCount{}
	for _, m := range zh.c.agents.MachinesOf(owned.ID) {
		if m.Deleting && !m.Unreachable {
			continue // it is we who do not answer it
		}
		if m.LastHeartbeat == 0 && (m.MissedCalls == 0 || !zh.c.autoscaler.IsListedRunning(m) && len(zh.core.State.PlacementsOn(m.ID)) == 0) {
			continue
		}
		c := counts[m.Zone]
		c.All++
		// One that is only heard by way of peers speaks for a cut as well; one that
		// reports to us again is back, though no call has been made to it yet.
		if m.MissedCalls > 0 && (m.LastHeartbeat == 0 || m.HeartbeatForwarded) || zh.core.Now.Sub(max(m.LastHeartbeat, owned.OwnedSince)) > zh.core.Config.HeartbeatInterval()+2*time.Second {
			c.Silent++
			if m.LastHeartbeat != 0 {
				c.Heard = max(c.Heard, zh.core.ToWallClock(m.LastHeartbeat))
			}
		}
		counts[m.Zone] = c
	}
	return counts
}

// ZoneState is a zone's state: what is recorded or, before that, what is seen.
func (zh *ZoneHealth) ZoneState(name api.Zone) zonehealth.State {
	if len(zh.core.Config.Deployment.Zones) < 2 {
		return zonehealth.Healthy // there is nothing to hold it against, nor anywhere else to go
	}
	zh.observeZones()
	if r := zh.zones.records[name]; r.State != zonehealth.Healthy {
		return r.State
	}
	if zh.zones.observations[name].Unreachable {
		return zonehealth.Suspect
	}
	return zonehealth.Healthy
}

// ZoneUnavailable reports whether nothing is to be started or rented in a zone.
func (zh *ZoneHealth) ZoneUnavailable(name api.Zone) bool {
	s := zh.ZoneState(name)
	return s == zonehealth.Suspect || s == zonehealth.Failed
}

// inboundCutOff reports whether it is we who do not hear, as it seems: next to nobody of any zone
// that is not known to be lost.
func (zh *ZoneHealth) inboundCutOff() bool {
	zh.observeZones()
	witness := zonehealth.Observation{}
	for name, c := range zh.zones.localObservation {
		if zh.zones.records[name].State != zonehealth.Failed {
			witness[name] = c
		}
	}
	return witness.ObserverIsolated()
}

// recentlySilent reports whether a zone, or all that we hear where none is named, was mute until
// just now: when a cut ends, the last ones must have time to be heard again.
func (zh *ZoneHealth) recentlySilent(silent bool, name api.Zone) bool {
	if silent {
		zh.zones.lastSilentAt[name] = zh.core.Now
	}
	at, seen := zh.zones.lastSilentAt[name]
	return seen && zh.core.Now.Sub(at) < zh.core.HeartbeatTimeout+core.WorkerTimeout
}

// ReconcileZones keeps the zones' records, where that is ours to do.
func (zh *ZoneHealth) ReconcileZones() {
	for _, l := range zh.c.gossiper.Peers() {
		if zh.core.IsLive(l) {
			delete(zh.zones.controllerLostAt, l)
		} else if zh.zones.controllerLostAt[l] == 0 {
			zh.zones.controllerLostAt[l] = zh.core.Now
		}
	}
	if zh.core.StoreHealthy {
		zh.zones.storeHealthyAt = zh.core.Now
	} else if zh.core.Now.Sub(zh.zones.storeHealthyAt) > core.StoreTimeout {
		zh.zones.storeUnhealthyAt = zh.core.Now
	}
	owned := zh.zoneRecordPartition()
	// Who was cut off until just now has old evidence: what is silent must have the time
	// to be heard first.
	if zh.zones.storeUnhealthyAt != 0 && zh.core.Now.Sub(zh.zones.storeUnhealthyAt) < zh.core.HeartbeatTimeout+core.WorkerTimeout {
		return
	}
	if owned == nil || zh.zones.writeInFlight || len(zh.core.Config.Deployment.Zones) < 2 {
		return
	}
	zh.observeZones()
	times := zonehealth.Thresholds{FailAfter: zh.core.LivenessTimeout, HealthyAfter: zh.core.HeartbeatTimeout + core.WorkerTimeout, RetryEmptyAfter: 2 * zh.core.Config.WorkerLease()}
	for _, name := range zh.core.Config.Deployment.Zones {
		calm := zh.core.Now.Sub(max(zh.zones.lastSilentAt[name], owned.OwnedSince))
		previous := zh.zones.records[name]
		record := previous.Next(zh.core.WallClock, zh.zones.observations[name], calm, times, zh.partitionsInside(name))
		if record.SameState(previous) {
			continue
		}
		key := zoneKeyPrefix + string(name)
		v, err := json.Marshal(record)
		if err != nil {
			slog.Error("zone record not encoded", "err", err)
			continue
		}
		zh.zones.writeInFlight = true
		observation := zh.zones.observations[name]
		zh.core.CallStoreTxn(api.Txn{If: []api.Condition{owned.OwnershipCondition(), zh.core.State.VersionCondition(key)}, Writes: []api.Write{{Put: key, Value: v}}}, func(a message.StoreResponse) {
			if a.Status == 200 {
				slog.Info("zone state changed", "zone", name, "state", zoneStateName(record.State), "term", owned.Term, "machines", observation.All, "silent", observation.Silent,
					"for", float64(record.Since-max(previous.LastHeartbeat, record.LastHeartbeat))/1000, "partitions_inside", len(record.PartitionsInside))
			}
			zh.c.follower.LinearizableRead(func() { zh.zones.writeInFlight = false }, func() { zh.zones.writeInFlight = false })
		})
		return // one at a time
	}
}

func zoneStateName(s zonehealth.State) string {
	if s == zonehealth.Healthy {
		return "whole"
	}
	return string(s)
}

// partitionsInside lists the parts whose home sits in a zone and was lost with it: when it was
// last seen to live, the zone was heard.
func (zh *ZoneHealth) partitionsInside(name api.Zone) []api.PartitionID {
	lastHeard := cmp.Or(zh.zones.observations[name].Heard, zh.zones.records[name].LastHeartbeat)
	var out []api.PartitionID
	for i := range zh.core.State.Partitions {
		owner := zh.core.PreferredOwner(api.PartitionID(i))
		at, gone := zh.zones.controllerLostAt[owner]
		if gone && zh.controllerZone(owner) == name && (at <= zh.core.StartedAt.Add(time.Second) || zh.core.ToWallClock(at) >= lastHeard) {
			out = append(out, api.PartitionID(i))
		}
	}
	return out
}

// controllerZone is the zone that a controller sits in.
func (zh *ZoneHealth) controllerZone(l api.ControllerID) api.Zone {
	for _, p := range zh.core.Config.Peers {
		if p.Label == l {
			return p.Zone
		}
	}
	return zh.core.Config.Zone
}

// silentFor is for how long a machine has been silent, as far as is known.
func (zh *ZoneHealth) silentFor(m *core.Machine, owned *core.OwnedPartition) time.Duration {
	last := max(m.LastHeartbeat, owned.OwnedSince)
	if m.LastHeartbeat == 0 {
		last = max(last, m.DiscoveredAt)
		if r := zh.zones.records[m.Zone]; r.LastHeartbeat != 0 && zh.ZoneUnavailable(m.Zone) {
			last = min(last, zh.core.FromWallClock(r.LastHeartbeat)) // it was silent before the takeover, as its zone was
		}
	}
	return zh.core.Now.Sub(last)
}

// CheckLiveness deletes a machine that can't be reached: only the cloud's word that it is
// gone proves its tasks over. Where its whole zone is silent, the plan decides; see giveUp.
func (zh *ZoneHealth) CheckLiveness(m *core.Machine, owned *core.OwnedPartition) {
	silence := zh.silentFor(m, owned)
	timeout := zh.core.LivenessTimeout
	if m.ReclaimNotice {
		timeout = zh.core.Config.HeartbeatInterval() + 2*time.Second
	}
	if m.LastHeartbeat == 0 && m.Address != "" {
		// Since a takeover it has been called rather than waited for: its report need
		// not come to us.
		timeout /= 2
	}
	if silence <= timeout {
		return
	}
	if zh.cancellationOverdue(m) {
		// However likely it is that the network is at fault: somebody who is cut off
		// from us may keep its lease alive. With very many silent machines the calls that
		// would have to fail first take longer than the cancellation has.
		zh.c.autoscaler.ScheduleDeletion(m, owned, deleteReasonCancelled)
		return
	}
	lease := zh.core.Config.WorkerLease()
	switch s := zh.ZoneState(m.Zone); {
	case s == zonehealth.Failed:
		return
	case (s != zonehealth.Healthy || zh.recentlySilent(false, m.Zone)) && silence < 3*lease:
		return // it may come back with its tasks, or is just coming
	}
	if m.MissedCalls < minMissedCalls && m.Address != "" {
		return
	}
	if m.Address == "" && (zh.c.autoscaler.ListedAt() == 0 || zh.c.autoscaler.ListedAt().Sub(owned.OwnedSince) < 2*api.Seconds(zh.core.Config.Deployment.Cloud.ListLag)) {
		return // nobody has called it yet, for want of a list that could show where it is
	}
	if m.LastHeartbeat == 0 && !zh.c.autoscaler.IsListedRunning(m) && len(zh.core.State.PlacementsOn(m.ID)) == 0 {
		return // still booting, as far as we know
	}
	if zh.recentlySilent(zh.inboundCutOff(), "") && silence < 2*lease {
		return // it is we who do not hear, as it seems
	}
	zh.c.autoscaler.ScheduleDeletion(m, owned, deleteReasonUnreachable)
}

// cancellationOverdue reports whether a machine holds a task whose cancellation was told so long ago
// that only the machine's deletion can still end it in time.
func (zh *ZoneHealth) cancellationOverdue(m *core.Machine) bool {
	return slices.ContainsFunc(zh.core.State.PlacementsOn(m.ID), func(p *core.Placement) bool {
		return !p.Finishing && p.Job.Cancelled && time.Duration(zh.core.WallClock-p.Job.CancelledAt)*time.Millisecond >= zh.core.CancellationTimeout
	})
}

// minMissedCalls is how many direct calls in a row must go unanswered before a
// machine is given up.
const minMissedCalls = 3

// EvacuateZones deletes machines of lost zones by the plan, once their leases are over: by then
// their tasks are lost unless a controller inside keeps them.
func (zh *ZoneHealth) EvacuateZones() {
	if zh.core.Now.Sub(zh.zones.evacuationPlannedAt) < evacuationInterval {
		return
	}
	zh.zones.evacuationPlannedAt = zh.core.Now
	zoneLost, capacityReduced := false, false
	for _, r := range zh.zones.records {
		zoneLost = zoneLost || r.State == zonehealth.Failed
		capacityReduced = capacityReduced || r.State == zonehealth.Failed || r.State == zonehealth.Recovering
	}
	zh.zones.replacementDemand, zh.zones.unreachableTasks, zh.zones.expiredLeaseTasks = nil, nil, map[api.Zone]int{}
	if !capacityReduced && zh.core.Now.Sub(zh.zones.floorsComputedAt) < floorInterval {
		return
	}
	zh.zones.classFloors, zh.zones.teamFloors, zh.zones.floorsComputedAt = nil, nil, zh.core.Now
	if !capacityReduced {
		zh.computeFloors(false)
		return
	}
	if zh.inboundCutOff() {
		return
	}
	zh.zones.replacementDemand, zh.zones.unreachableTasks = zh.countUnreachableTasks()
	zh.computeFloors(true)
	if !zoneLost {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(zh.core.Partitions)) {
		zh.evacuatePartition(zh.core.Partitions[p])
	}
}

// computeFloors reckons by how much the work of each class and team may still give way to more
// urgent work. Each owner lets its parts' share of that go. Where no zone is out a floor is kept
// for those alone that have lacked it for as long as a job waits before its turn comes.
func (zh *ZoneHealth) computeFloors(zoneLost bool) {
	capacity := 0.0
	classCounts := map[message.MachineClass]int{}
	zh.c.gossiper.EachFreeCapacity(func(_ api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if typ := zh.core.MachineTypes[k.Type]; typ != nil && k.Usable {
			capacity += typ.CPUs * float64(r.Count)
			classCounts[k] += r.Count
		}
	})
	// Work that fits nothing that is left, or is beyond its team's limit, has no claim on it;
	// nor has any to more than all that it fits.
	usableCPUs := func(s *api.JobSpec) float64 {
		slots := 0
		for k, count := range classCounts {
			if sched.Feasible(s, k.Type, k.Zone, k.Spot) {
				slots += count * s.Demand().Slots(zh.core.MachineTypes[k.Type].Capacity())
			}
		}
		return float64(slots) * s.CPUs
	}
	maxUsable := map[api.Class]float64{}
	remaining, usage := map[api.Team]api.Resources{}, zh.core.TeamUsage()
	for name, team := range zh.core.Teams {
		remaining[name] = core.QuotaLimit(team).Minus(usage[name])
	}
	classes, teams := map[api.Class]zonehealth.Usage{}, map[api.Team]zonehealth.Usage{}
	for _, ref := range slices.Sorted(maps.Keys(zh.core.State.Jobs)) {
		j := zh.core.State.Jobs[ref]
		if j.Terminal() {
			continue
		}
		lost := zh.zones.unreachableTasks[ref]
		running := max(0, len(j.Placements)-j.FinishingCount-lost)
		pending := 0
		usable := usableCPUs(j.Spec)
		maxUsable[j.Spec.Class] = max(maxUsable[j.Spec.Class], usable)
		if !zh.c.tenancy.StartsBlocked(j) && usable > 0 && (zoneLost || j.OwnerState.BackoffUntil <= zh.core.Now && len(j.Spec.Needs) == 0) {
			// What is on lost machines is in the team's use already.
			startable := min(max(0, j.Spec.Tasks-j.CompletedCount-running-lost), j.Demand.Slots(remaining[j.Spec.Team]))
			remaining[j.Spec.Team] = remaining[j.Spec.Team].Minus(j.Demand.Times(startable))
			pending = lost + startable
		}
		cpus := j.Demand.CPU.Float()
		held, demand := cpus*float64(running), cpus*float64(running+pending)
		c, t := classes[j.Spec.Class], teams[j.Spec.Team]
		share := zh.c.priorities.FairShareFloor(j.Spec)
		patient := !zoneLost && share == 0 && !(pending > 0 && zonehealth.Starving(time.Duration(zh.core.WallClock-j.AcceptedAt)*time.Millisecond))
		classes[j.Spec.Class] = zonehealth.Usage{Allocated: c.Allocated + held, Demand: c.Demand + demand, NoFloor: patient && (c.NoFloor || c.Demand == 0), FloorShare: max(c.FloorShare, share)}
		teams[j.Spec.Team] = zonehealth.Usage{Allocated: t.Allocated + held, Demand: t.Demand + demand, NoFloor: patient && (t.NoFloor || t.Demand == 0)}
	}
	for class, h := range classes {
		h.Demand = min(h.Demand, max(h.Allocated, maxUsable[class]))
		classes[class] = h
	}
	zh.zones.classFloors, zh.zones.teamFloors = zonehealth.Allowances(classes, capacity, zh.ownedShare()), zonehealth.Allowances(teams, capacity, zh.ownedShare())
}

// ownedShare is the share of the parts that are ours.
func (zh *ZoneHealth) ownedShare() float64 {
	return float64(len(zh.core.Partitions)) / float64(len(zh.core.State.Partitions))
}

// IsPreemptible reports whether a task may give way: while a zone is lost, no class and no team
// goes below its floor.
func (zh *ZoneHealth) IsPreemptible(p *core.Placement) bool {
	if zh.zones.classFloors == nil {
		return true
	}
	cpus := p.Job.Demand.CPU.Float()
	class, known := zh.zones.classFloors[p.Job.Spec.Class]
	team, ofTeam := zh.zones.teamFloors[p.Job.Spec.Team]
	return (!known || class.Preemptible >= cpus) && (!ofTeam || team.Preemptible >= cpus) // or it is new since the last count
}

// StartAllowance is how many more of a job's tasks may start: while a zone is lost, no class and no
// team takes what would leave less than the floors of the others.
func (zh *ZoneHealth) StartAllowance(j *core.Job) int {
	c, known := zh.zones.classFloors[j.Spec.Class]
	if !known || j.Demand.CPU <= 0 {
		return j.Spec.Tasks // none is lost, or the class is new since the last count
	}
	may := c.Headroom
	if t, ok := zh.zones.teamFloors[j.Spec.Team]; ok {
		may = min(may, t.Headroom)
	}
	if j.Spec.Kind != api.Gang {
		may *= zh.ownedShare() // the rest is other owners' to take
	}
	return int(min(float64(j.Spec.Tasks), max(0, may)/j.Demand.CPU.Float()))
}

// AdjustFloors notes that a class and a team have so many CPUs more, or less.
func (zh *ZoneHealth) AdjustFloors(s *api.JobSpec, cpus float64) {
	if c, ok := zh.zones.classFloors[s.Class]; ok {
		zh.zones.classFloors[s.Class] = zonehealth.Allowance{Preemptible: c.Preemptible + cpus, Headroom: c.Headroom - cpus}
	}
	if t, ok := zh.zones.teamFloors[s.Team]; ok {
		zh.zones.teamFloors[s.Team] = zonehealth.Allowance{Preemptible: t.Preemptible + cpus, Headroom: t.Headroom - cpus}
	}
}

// evacuationInterval is how often the plan is made anew, floorEvery how often floors are while no zone is out.
const (
	evacuationInterval = 500 * time.Millisecond
	floorInterval      = 2 * time.Second
)

// ZoneSilenceSeconds is for how long a lost zone has been silent, in seconds.
func (zh *ZoneHealth) ZoneSilenceSeconds(name api.Zone) float64 {
	r := zh.zones.records[name]
	return max(0, float64(zh.core.WallClock-cmp.Or(r.LastHeartbeat, r.Since))/1000)
}

func (zh *ZoneHealth) evacuatePartition(owned *core.OwnedPartition) {
	input := &zonehealth.Input{PlacedByZone: map[api.JobID]map[api.Zone]int{}, RemainingQuota: zh.core.RemainingQuota(owned.ID), PreemptingRank: core.PreemptorRank,
		ExpectedOutage: func(name api.Zone) float64 {
			return zh.zones.records[name].ExpectedRemaining(zh.ZoneSilenceSeconds(name))
		},
		MaxMachines: MaxDeletionBatch - zh.c.autoscaler.PendingDeletionCount(),
		Excluded: func(newTask *zonehealth.Task, r *zonehealth.FreeCapacity) bool {
			return newTask.Spec.Kind == api.Service && zh.core.HasAccelerators(r.Type) && zh.core.IsCPUOnly(newTask.Spec) || r.OtherPartition && newTask.Spec.NeedsSinglePartition()
		}}
	if input.MaxMachines <= 0 || zh.c.autoscaler.DeletionsBackingOff() {
		return // decided anew when it can be done: until then a machine may come back
	}
	lostMachines := map[*core.Machine]bool{}
	unreachable := map[api.JobID]int{} // tasks on silent machines
	byID := map[api.MachineID]*core.Machine{}
	for _, m := range zh.c.agents.MachinesOf(owned.ID) {
		if m.Deleting || zh.zones.records[m.Zone].State != zonehealth.Failed || zh.core.MachineTypes[m.MachineType] == nil || zh.silentFor(m, owned)+evacuationInterval < zh.core.Config.WorkerLease() {
			continue // the lease ends before the deletion does, or as it does
		}
		lostMachines[m] = true
		byID[m.ID] = m
		for _, p := range zh.core.State.PlacementsOn(m.ID) {
			if !p.Finishing {
				unreachable[p.Job.ID]++
			}
		}
	}
	if len(lostMachines) == 0 {
		return
	}
	usage := zh.core.TeamUsage()
	newTask := func(j *core.Job, i int, running api.Time) zonehealth.Task {
		out := zonehealth.Task{ID: api.TaskID{Job: j.ID, Index: i}, Spec: j.Spec, Demand: j.Demand, WithinGuarantee: zh.core.IsWithinGuarantee(j, usage),
			RunningElsewhere: len(j.Placements) - j.FinishingCount - unreachable[j.ID], SlackSeconds: zh.deadlineSlack(j), PriorityBoost: zh.c.priorities.PriorityBoost(j.Spec)}
		if running != 0 && j.Spec.Kind != api.Service {
			out.LostWorkSeconds = zh.core.Now.Sub(running).Seconds()
			if j.Spec.Checkpoint > 0 {
				out.LostWorkSeconds = min(out.LostWorkSeconds, j.Spec.Checkpoint)
			}
		}
		if input.PlacedByZone[j.ID] == nil {
			input.PlacedByZone[j.ID] = map[api.Zone]int{}
			for _, p := range j.Placements {
				if z := zh.c.scheduler.MachineZone(p.Machine); z != "" && !p.Finishing && !lostMachines[zh.core.Machines[p.Machine]] {
					input.PlacedByZone[j.ID][z]++
				}
			}
		}
		return out
	}
	for _, m := range zh.c.agents.MachinesOf(owned.ID) {
		switch {
		case lostMachines[m]:
			machine := zonehealth.Machine{ID: m.ID, Zone: m.Zone, Capacity: zh.core.MachineTypes[m.MachineType].Capacity(), BootSeconds: zh.core.MachineTypes[m.MachineType].BootSeconds,
				ControllerInside: slices.Contains(zh.zones.records[m.Zone].PartitionsInside, owned.ID)}
			for _, p := range zh.core.State.PlacementsOn(m.ID) {
				if !p.Finishing && !p.Job.Terminal() && p.Partition == owned.ID {
					machine.Tasks = append(machine.Tasks, newTask(p.Job, p.Task.Index, p.OwnerState.RunningSince))
				}
			}
			input.Machines = append(input.Machines, machine)
		case m.Deleting:
			for _, p := range zh.core.State.PlacementsOn(m.ID) {
				if !p.Finishing && !p.Job.Terminal() {
					input.PendingTasks = append(input.PendingTasks, newTask(p.Job, p.Task.Index, 0))
				}
			}
		case zh.c.scheduler.IsSchedulable(m, owned) && zh.c.preemptor.ReservedFor(m) == "":
			input.FreeCapacity = append(input.FreeCapacity, zonehealth.FreeCapacity{Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Free: zh.c.scheduler.FreeCapacityOn(m, owned), FreeAfterPreemption: zh.c.gossiper.PreemptibleCapacity(m, owned), Count: 1,
				HasImage: func(img api.Image) bool { _, has := m.CachedImages[img]; return has }})
		}
	}
	// Other parts' room: arrays' waiting tasks are moved there, and empty machines lent.
	// All parts look at it, so each counts on its share.
	parts := len(zh.core.State.Partitions)
	zh.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if p != owned.ID && k.Usable && !k.Closed && zh.core.MachineTypes[k.Type] != nil {
			empty := r.Free == zh.core.MachineTypes[k.Type].Capacity()
			input.FreeCapacity = append(input.FreeCapacity, zonehealth.FreeCapacity{Type: k.Type, Zone: k.Zone, Spot: k.Spot, Free: r.Free, FreeAfterPreemption: r.Free, Count: (r.Count + parts - 1) / parts,
				OtherPartition: !empty})
		}
	})
	budget := maxPendingInPlan
	for _, ref := range slices.Sorted(maps.Keys(zh.core.State.PendingJobs)) {
		j := zh.core.State.PendingJobs[ref]
		if zh.c.tenancy.StartsBlocked(j) {
			continue
		}
		for i := range min(j.PendingTasks(owned.ID), budget) {
			input.PendingTasks = append(input.PendingTasks, newTask(j, -1-i, 0))
			budget--
		}
	}
	for _, evacuation := range zonehealth.PlanEvacuation(input) {
		m := byID[evacuation.Machine]
		slog.Debug("machine evacuated with its zone", "machine", m.ID, "zone", m.Zone, "tasks", len(zh.core.State.PlacementsOn(m.ID)), "placeable", len(evacuation.Placements))
		zh.c.autoscaler.ScheduleDeletion(m, owned, deleteReasonZoneLost)
	}
}

// minReplacementProbability is how likely a zone must be to stay silent until another machine is up for one to
// be rented in its stead.
const minReplacementProbability = 0.5

// maxPendingInPlan bounds the waiting tasks that a plan looks at.
const maxPendingInPlan = 1000

// deadlineSlack is how many seconds a job has until it can't be in time any more.
func (zh *ZoneHealth) deadlineSlack(j *core.Job) float64 {
	elapsed := max(0, float64(zh.core.WallClock-j.AcceptedAt)/1000)
	limits := zh.core.CompletionObjectives(j.Spec)
	for _, l := range limits {
		if remaining := l - elapsed - j.Spec.Estimate; remaining >= 0 {
			return remaining
		}
	}
	if len(limits) > 0 {
		return zonehealth.NoDeadline / 10 // late as it is
	}
	return zonehealth.NoDeadline
}

// countUnreachableTasks counts the tasks of each job, of all parts, that are on machines of lost zones
// (away), and of these the ones past their leases that no controller inside keeps and for
// which another machine is likely to be up before the zone is back: machines are rented for
// them as for waiting work (wanted). Urgent work that would have no place elsewhere even if
// all lower work made way is counted before the leases end, where it is likely to outlast
// them: only for that a machine that may not be needed costs less than one that is late.
func (zh *ZoneHealth) countUnreachableTasks() (replacements, unreachable map[api.JobID]int) {
	replacements, unreachable = map[api.JobID]int{}, map[api.JobID]int{}
	preemptible := api.Quantity(0)
	zh.c.gossiper.EachFreeCapacity(func(_ api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if k.Usable {
			preemptible += r.Could.CPU * api.Quantity(r.Count)
		}
	})
	for _, id := range zh.c.autoscaler.ListedMachineIDs() {
		h, _ := zh.c.autoscaler.ListedMachine(id)
		r := zh.zones.records[h.Zone]
		if r.State != zonehealth.Failed {
			continue
		}
		silence, lease := zh.ZoneSilenceSeconds(h.Zone), zh.core.Config.WorkerLease().Seconds()
		leaseActive := silence < lease
		replace := !slices.Contains(r.PartitionsInside, zh.core.PartitionOf(id)) && r.OutlastProbability(max(lease, silence+zh.core.BootSeconds(h.Type)), silence) >= minReplacementProbability
		if m := zh.core.Machines[id]; m != nil && (m.Deleting || m.LastHeartbeat != 0 && zh.core.Now.Sub(m.LastHeartbeat) < zh.core.HeartbeatTimeout) {
			continue
		}
		for _, placement := range zh.core.State.PlacementsOn(id) {
			if placement.Finishing || placement.Job.Terminal() {
				continue
			}
			unreachable[placement.Job.ID]++
			if leaseActive {
				if urgent := placement.Job.Spec.Priority.Rank() >= core.PreemptorRank; replace && urgent && preemptible < placement.Job.Demand.CPU {
					replacements[placement.Job.ID]++
				} else if urgent {
					preemptible -= placement.Job.Demand.CPU
				}
				continue
			}
			zh.zones.expiredLeaseTasks[h.Zone]++
			if replace {
				replacements[placement.Job.ID]++
			}
		}
	}
	return replacements, unreachable
}

// RecordedState is a zone's state by its record alone.
func (zh *ZoneHealth) RecordedState(name api.Zone) zonehealth.State {
	return zh.zones.records[name].State
}

// PartitionsInside are the partitions whose owners were lost with a zone and may go on inside.
func (zh *ZoneHealth) PartitionsInside(name api.Zone) []api.PartitionID {
	return zh.zones.records[name].PartitionsInside
}

// AnyZoneFailedOrRecovering reports whether some zone is recorded as failed or recovering.
func (zh *ZoneHealth) AnyZoneFailedOrRecovering() bool {
	for _, r := range zh.zones.records {
		if r.State == zonehealth.Failed || r.State == zonehealth.Recovering {
			return true
		}
	}
	return false
}

// Observation is what all controllers together last saw of a zone.
func (zh *ZoneHealth) Observation(name api.Zone) zonehealth.Assessment {
	return zh.zones.observations[name]
}

// ReplacementDemand counts, by job, the tasks on lost machines for which machines are provisioned.
func (zh *ZoneHealth) ReplacementDemand() map[api.JobID]int { return zh.zones.replacementDemand }

// ExpiredLeaseTasks is how many tasks are on a zone's lost machines past their leases.
func (zh *ZoneHealth) ExpiredLeaseTasks(name api.Zone) int { return zh.zones.expiredLeaseTasks[name] }
