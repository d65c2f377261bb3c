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
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

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

func (n *Controller) initZones() {
	n.zones = zoneTracker{records: map[api.Zone]zonehealth.Record{}, lastSilentAt: map[api.Zone]api.Time{}, controllerLostAt: map[api.ControllerID]api.Time{}}
}

// zoneRecordKind is the kind of the zones' records.
func (n *Controller) zoneRecordKind() clusterstate.RecordKind {
	return clusterstate.RecordKind{Prefix: zoneKeyPrefix, Put: func(name string, value json.RawMessage, _ api.Revision) error {
		var r zonehealth.Record
		if err := json.Unmarshal(value, &r); err != nil {
			return err
		}
		n.zones.records[api.Zone(name)] = r
		return nil
	}, Delete: func(name string) { delete(n.zones.records, api.Zone(name)) }}
}

// zoneRecordPartition is the part whose owner writes the zones' records.
func (n *Controller) zoneRecordPartition() *ownedPartition { return n.partitions[0] }

// toWallClock is the time of day of one of our times.
func (n *Controller) toWallClock(t api.Time) api.WallTime {
	return n.wallClock - api.WallTime(n.now.Sub(t).Milliseconds())
}

// fromWallClock is our time of a time of day, which may lie before this process began.
func (n *Controller) fromWallClock(w api.WallTime) api.Time {
	return n.now.Add(-time.Duration(n.wallClock-w) * time.Millisecond)
}

// observeZones counts anew, now and then, what all controllers see of the zones.
func (n *Controller) observeZones() {
	tracker := &n.zones
	if tracker.observations != nil && n.now.Sub(tracker.observedAt) <= sweepInterval/2 {
		return
	}
	tracker.observedAt, tracker.observations, tracker.localObservation = n.now, map[api.Zone]zonehealth.Assessment{}, zonehealth.Observation{}
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		mergeZoneCounts(tracker.localObservation, n.silentByZone(n.partitions[p]))
	}
	witnesses := []zonehealth.Observation{tracker.localObservation}
	for _, l := range slices.Sorted(maps.Keys(n.peers)) {
		witness := zonehealth.Observation{}
		for _, status := range n.partitionStatusesOf(l) {
			mergeZoneCounts(witness, status.Zones)
		}
		witnesses = append(witnesses, witness)
	}
	for _, name := range n.config.Deployment.Zones {
		observation := zonehealth.Assess(witnesses, name)
		tracker.observations[name] = observation
		if observation.Unreachable {
			tracker.lastSilentAt[name] = n.now
		}
	}
}

func mergeZoneCounts(w zonehealth.Observation, counts map[api.Zone]zonehealth.MachineCount) {
	for name, c := range counts {
		o := w[name]
		w[name] = zonehealth.MachineCount{All: o.All + c.All, Silent: o.Silent + c.Silent, Heard: max(o.Heard, c.Heard)}
	}
}

// silentByZone counts a part's machines by zone. What boots, as far as is known, and what a new
// owner has neither heard nor called yet, says nothing.
func (n *Controller) silentByZone(owned *ownedPartition) map[api.Zone]zonehealth.MachineCount {
	counts := map[api.Zone]zonehealth.MachineCount{}
	for _, m := range n.machinesOf(owned.id) {
		if m.deleting && !m.unreachable {
			continue // it is we who do not answer it
		}
		if m.lastHeartbeat == 0 && (m.missedCalls == 0 || !n.isListedRunning(m) && len(n.state.PlacementsOn(m.ID)) == 0) {
			continue
		}
		c := counts[m.zone]
		c.All++
		// One that is only heard by way of peers speaks for a cut as well; one that
		// reports to us again is back, though no call has been made to it yet.
		if m.missedCalls > 0 && (m.lastHeartbeat == 0 || m.heartbeatForwarded) || n.now.Sub(max(m.lastHeartbeat, owned.ownedSince)) > n.config.HeartbeatInterval()+2*time.Second {
			c.Silent++
			if m.lastHeartbeat != 0 {
				c.Heard = max(c.Heard, n.toWallClock(m.lastHeartbeat))
			}
		}
		counts[m.zone] = c
	}
	return counts
}

// zoneState is a zone's state: what is recorded or, before that, what is seen.
func (n *Controller) zoneState(name api.Zone) zonehealth.State {
	if len(n.config.Deployment.Zones) < 2 {
		return zonehealth.Healthy // there is nothing to hold it against, nor anywhere else to go
	}
	n.observeZones()
	if r := n.zones.records[name]; r.State != zonehealth.Healthy {
		return r.State
	}
	if n.zones.observations[name].Unreachable {
		return zonehealth.Suspect
	}
	return zonehealth.Healthy
}

// zoneUnavailable reports whether nothing is to be started or rented in a zone.
func (n *Controller) zoneUnavailable(name api.Zone) bool {
	s := n.zoneState(name)
	return s == zonehealth.Suspect || s == zonehealth.Failed
}

// inboundCutOff reports whether it is we who do not hear, as it seems: next to nobody of any zone
// that is not known to be lost.
func (n *Controller) inboundCutOff() bool {
	n.observeZones()
	witness := zonehealth.Observation{}
	for name, c := range n.zones.localObservation {
		if n.zones.records[name].State != zonehealth.Failed {
			witness[name] = c
		}
	}
	return witness.ObserverIsolated()
}

// recentlySilent reports whether a zone, or all that we hear where none is named, was mute until
// just now: when a cut ends, the last ones must have time to be heard again.
func (n *Controller) recentlySilent(silent bool, name api.Zone) bool {
	if silent {
		n.zones.lastSilentAt[name] = n.now
	}
	at, seen := n.zones.lastSilentAt[name]
	return seen && n.now.Sub(at) < n.heartbeatTimeout+workerTimeout
}

// reconcileZones keeps the zones' records, where that is ours to do.
func (n *Controller) reconcileZones() {
	for l := range n.peers {
		if n.isLive(l) {
			delete(n.zones.controllerLostAt, l)
		} else if n.zones.controllerLostAt[l] == 0 {
			n.zones.controllerLostAt[l] = n.now
		}
	}
	if n.storeHealthy {
		n.zones.storeHealthyAt = n.now
	} else if n.now.Sub(n.zones.storeHealthyAt) > storeTimeout {
		n.zones.storeUnhealthyAt = n.now
	}
	owned := n.zoneRecordPartition()
	// Who was cut off until just now has old evidence: what is silent must have the time
	// to be heard first.
	if n.zones.storeUnhealthyAt != 0 && n.now.Sub(n.zones.storeUnhealthyAt) < n.heartbeatTimeout+workerTimeout {
		return
	}
	if owned == nil || n.zones.writeInFlight || len(n.config.Deployment.Zones) < 2 {
		return
	}
	n.observeZones()
	times := zonehealth.Thresholds{FailAfter: n.livenessTimeout, HealthyAfter: n.heartbeatTimeout + workerTimeout, RetryEmptyAfter: 2 * n.config.WorkerLease()}
	for _, name := range n.config.Deployment.Zones {
		calm := n.now.Sub(max(n.zones.lastSilentAt[name], owned.ownedSince))
		previous := n.zones.records[name]
		record := previous.Next(n.wallClock, n.zones.observations[name], calm, times, n.partitionsInside(name))
		if record.SameState(previous) {
			continue
		}
		key := zoneKeyPrefix + string(name)
		v, err := json.Marshal(record)
		if err != nil {
			slog.Error("zone record not encoded", "err", err)
			continue
		}
		n.zones.writeInFlight = true
		observation := n.zones.observations[name]
		n.callStoreTxn(api.Txn{If: []api.Condition{owned.ownershipCondition(), n.state.VersionCondition(key)}, Writes: []api.Write{{Put: key, Value: v}}}, func(a StoreResponse) {
			if a.Status == 200 {
				slog.Info("zone state changed", "zone", name, "state", zoneStateName(record.State), "term", owned.term, "machines", observation.All, "silent", observation.Silent,
					"for", float64(record.Since-max(previous.LastHeartbeat, record.LastHeartbeat))/1000, "inside", len(record.PartitionsInside))
			}
			n.linearizableRead(func() { n.zones.writeInFlight = false }, func() { n.zones.writeInFlight = false })
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
func (n *Controller) partitionsInside(name api.Zone) []api.PartitionID {
	lastHeard := cmp.Or(n.zones.observations[name].Heard, n.zones.records[name].LastHeartbeat)
	var out []api.PartitionID
	for i := range n.state.Partitions {
		owner := n.preferredOwner(api.PartitionID(i))
		at, gone := n.zones.controllerLostAt[owner]
		if gone && n.controllerZone(owner) == name && (at <= n.startedAt.Add(time.Second) || n.toWallClock(at) >= lastHeard) {
			out = append(out, api.PartitionID(i))
		}
	}
	return out
}

// controllerZone is the zone that a controller sits in.
func (n *Controller) controllerZone(l api.ControllerID) api.Zone {
	for _, p := range n.config.Peers {
		if p.Label == l {
			return p.Zone
		}
	}
	return n.config.Zone
}

// silentFor is for how long a machine has been silent, as far as is known.
func (n *Controller) silentFor(m *Machine, owned *ownedPartition) time.Duration {
	last := max(m.lastHeartbeat, owned.ownedSince)
	if m.lastHeartbeat == 0 {
		last = max(last, m.discoveredAt)
		if r := n.zones.records[m.zone]; r.LastHeartbeat != 0 && n.zoneUnavailable(m.zone) {
			last = min(last, n.fromWallClock(r.LastHeartbeat)) // it was silent before the takeover, as its zone was
		}
	}
	return n.now.Sub(last)
}

// checkLiveness deletes a machine that can't be reached: only the cloud's word that it is
// gone proves its tasks over. Where its whole zone is silent, the plan decides; see giveUp.
func (n *Controller) checkLiveness(m *Machine, owned *ownedPartition) {
	silence := n.silentFor(m, owned)
	timeout := n.livenessTimeout
	if m.reclaimNotice {
		timeout = n.config.HeartbeatInterval() + 2*time.Second
	}
	if m.lastHeartbeat == 0 && m.address != "" {
		// Since a takeover it has been called rather than waited for: its report need
		// not come to us.
		timeout /= 2
	}
	if silence <= timeout {
		return
	}
	if n.cancellationOverdue(m) {
		// However likely it is that the network is at fault: somebody who is cut off
		// from us may keep its lease alive. With very many silent machines the calls that
		// would have to fail first take longer than the cancellation has.
		n.scheduleDeletion(m, owned, deleteReasonCancelled)
		return
	}
	lease := n.config.WorkerLease()
	switch s := n.zoneState(m.zone); {
	case s == zonehealth.Failed:
		return
	case (s != zonehealth.Healthy || n.recentlySilent(false, m.zone)) && silence < 3*lease:
		return // it may come back with its tasks, or is just coming
	}
	if m.missedCalls < minMissedCalls && m.address != "" {
		return
	}
	if m.address == "" && (n.fleet.listedAt == 0 || n.fleet.listedAt.Sub(owned.ownedSince) < 2*api.Seconds(n.config.Deployment.Cloud.ListLag)) {
		return // nobody has called it yet, for want of a list that could show where it is
	}
	if m.lastHeartbeat == 0 && !n.isListedRunning(m) && len(n.state.PlacementsOn(m.ID)) == 0 {
		return // still booting, as far as we know
	}
	if n.recentlySilent(n.inboundCutOff(), "") && silence < 2*lease {
		return // it is we who do not hear, as it seems
	}
	n.scheduleDeletion(m, owned, deleteReasonUnreachable)
}

// cancellationOverdue reports whether a machine holds a task whose cancellation was told so long ago
// that only the machine's deletion can still end it in time.
func (n *Controller) cancellationOverdue(m *Machine) bool {
	return slices.ContainsFunc(n.state.PlacementsOn(m.ID), func(p *Placement) bool {
		return !p.Finishing && p.Job.Cancelled && time.Duration(n.wallClock-p.Job.CancelledAt)*time.Millisecond >= n.cancellationTimeout
	})
}

// minMissedCalls is how many direct calls in a row must go unanswered before a
// machine is given up.
const minMissedCalls = 3

// evacuateZones deletes machines of lost zones by the plan, once their leases are over: by then
// their tasks are lost unless a controller inside keeps them.
func (n *Controller) evacuateZones() {
	if n.now.Sub(n.zones.evacuationPlannedAt) < evacuationInterval {
		return
	}
	n.zones.evacuationPlannedAt = n.now
	zoneLost, capacityReduced := false, false
	for _, r := range n.zones.records {
		zoneLost = zoneLost || r.State == zonehealth.Failed
		capacityReduced = capacityReduced || r.State == zonehealth.Failed || r.State == zonehealth.Recovering
	}
	n.zones.replacementDemand, n.zones.unreachableTasks, n.zones.expiredLeaseTasks = nil, nil, map[api.Zone]int{}
	if !capacityReduced && n.now.Sub(n.zones.floorsComputedAt) < floorInterval {
		return
	}
	n.zones.classFloors, n.zones.teamFloors, n.zones.floorsComputedAt = nil, nil, n.now
	if !capacityReduced {
		n.computeFloors(false)
		return
	}
	if n.inboundCutOff() {
		return
	}
	n.zones.replacementDemand, n.zones.unreachableTasks = n.countUnreachableTasks()
	n.computeFloors(true)
	if !zoneLost {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		n.evacuatePartition(n.partitions[p])
	}
}

// computeFloors reckons by how much the work of each class and team may still give way to more
// urgent work. Each owner lets its parts' share of that go. Where no zone is out a floor is kept
// for those alone that have lacked it for as long as a job waits before its turn comes.
func (n *Controller) computeFloors(zoneLost bool) {
	capacity := 0.0
	classCounts := map[MachineClass]int{}
	n.eachFreeCapacity(func(_ api.PartitionID, k MachineClass, r FreeCapacity) {
		if typ := n.machineTypes[k.Type]; typ != nil && k.Usable {
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
				slots += count * s.Demand().Slots(n.machineTypes[k.Type].Capacity())
			}
		}
		return float64(slots) * s.CPUs
	}
	maxUsable := map[api.Class]float64{}
	remaining, usage := map[api.Team]api.Resources{}, n.teamUsage()
	for name, team := range n.teams {
		remaining[name] = quotaLimit(team).Minus(usage[name])
	}
	classes, teams := map[api.Class]zonehealth.Usage{}, map[api.Team]zonehealth.Usage{}
	for _, ref := range slices.Sorted(maps.Keys(n.state.Jobs)) {
		j := n.state.Jobs[ref]
		if j.Terminal() {
			continue
		}
		lost := n.zones.unreachableTasks[ref]
		running := max(0, len(j.Placements)-j.FinishingCount-lost)
		pending := 0
		usable := usableCPUs(j.Spec)
		maxUsable[j.Spec.Class] = max(maxUsable[j.Spec.Class], usable)
		if !n.startsBlocked(j) && usable > 0 && (zoneLost || j.OwnerState.backoffUntil <= n.now && len(j.Spec.Needs) == 0) {
			// What is on lost machines is in the team's use already.
			startable := min(max(0, j.Spec.Tasks-j.CompletedCount-running-lost), j.Demand.Slots(remaining[j.Spec.Team]))
			remaining[j.Spec.Team] = remaining[j.Spec.Team].Minus(j.Demand.Times(startable))
			pending = lost + startable
		}
		cpus := j.Demand.CPU.Float()
		held, demand := cpus*float64(running), cpus*float64(running+pending)
		c, t := classes[j.Spec.Class], teams[j.Spec.Team]
		share := n.fairShareFloor(j.Spec)
		patient := !zoneLost && share == 0 && !(pending > 0 && zonehealth.Starving(time.Duration(n.wallClock-j.AcceptedAt)*time.Millisecond))
		classes[j.Spec.Class] = zonehealth.Usage{Allocated: c.Allocated + held, Demand: c.Demand + demand, NoFloor: patient && (c.NoFloor || c.Demand == 0), FloorShare: max(c.FloorShare, share)}
		teams[j.Spec.Team] = zonehealth.Usage{Allocated: t.Allocated + held, Demand: t.Demand + demand, NoFloor: patient && (t.NoFloor || t.Demand == 0)}
	}
	for class, h := range classes {
		h.Demand = min(h.Demand, max(h.Allocated, maxUsable[class]))
		classes[class] = h
	}
	n.zones.classFloors, n.zones.teamFloors = zonehealth.Allowances(classes, capacity, n.ownedShare()), zonehealth.Allowances(teams, capacity, n.ownedShare())
}

// ownedShare is the share of the parts that are ours.
func (n *Controller) ownedShare() float64 {
	return float64(len(n.partitions)) / float64(len(n.state.Partitions))
}

// isPreemptible reports whether a task may give way: while a zone is lost, no class and no team
// goes below its floor.
func (n *Controller) isPreemptible(p *Placement) bool {
	if n.zones.classFloors == nil {
		return true
	}
	cpus := p.Job.Demand.CPU.Float()
	class, known := n.zones.classFloors[p.Job.Spec.Class]
	team, ofTeam := n.zones.teamFloors[p.Job.Spec.Team]
	return (!known || class.Preemptible >= cpus) && (!ofTeam || team.Preemptible >= cpus) // or it is new since the last count
}

// startAllowance is how many more of a job's tasks may start: while a zone is lost, no class and no
// team takes what would leave less than the floors of the others.
func (n *Controller) startAllowance(j *Job) int {
	c, known := n.zones.classFloors[j.Spec.Class]
	if !known || j.Demand.CPU <= 0 {
		return j.Spec.Tasks // none is lost, or the class is new since the last count
	}
	may := c.Headroom
	if t, ok := n.zones.teamFloors[j.Spec.Team]; ok {
		may = min(may, t.Headroom)
	}
	if j.Spec.Kind != api.Gang {
		may *= n.ownedShare() // the rest is other owners' to take
	}
	return int(min(float64(j.Spec.Tasks), max(0, may)/j.Demand.CPU.Float()))
}

// adjustFloors notes that a class and a team have so many CPUs more, or less.
func (n *Controller) adjustFloors(s *api.JobSpec, cpus float64) {
	if c, ok := n.zones.classFloors[s.Class]; ok {
		n.zones.classFloors[s.Class] = zonehealth.Allowance{Preemptible: c.Preemptible + cpus, Headroom: c.Headroom - cpus}
	}
	if t, ok := n.zones.teamFloors[s.Team]; ok {
		n.zones.teamFloors[s.Team] = zonehealth.Allowance{Preemptible: t.Preemptible + cpus, Headroom: t.Headroom - cpus}
	}
}

// evacuationInterval is how often the plan is made anew, floorEvery how often floors are while no zone is out.
const (
	evacuationInterval = 500 * time.Millisecond
	floorInterval      = 2 * time.Second
)

// zoneSilenceSeconds is for how long a lost zone has been silent, in seconds.
func (n *Controller) zoneSilenceSeconds(name api.Zone) float64 {
	r := n.zones.records[name]
	return max(0, float64(n.wallClock-cmp.Or(r.LastHeartbeat, r.Since))/1000)
}

func (n *Controller) evacuatePartition(owned *ownedPartition) {
	input := &zonehealth.Input{PlacedByZone: map[api.JobID]map[api.Zone]int{}, RemainingQuota: n.remainingQuota(owned.id), PreemptingRank: preemptorRank,
		ExpectedOutage: func(name api.Zone) float64 {
			return n.zones.records[name].ExpectedRemaining(n.zoneSilenceSeconds(name))
		},
		MaxMachines: maxDeletionBatch - len(n.pendingDeletions),
		Excluded: func(newTask *zonehealth.Task, r *zonehealth.FreeCapacity) bool {
			return newTask.Spec.Kind == api.Service && n.hasAccelerators(r.Type) && n.isCPUOnly(newTask.Spec) || r.OtherPartition && newTask.Spec.NeedsSinglePartition()
		}}
	if input.MaxMachines <= 0 || n.deletionFailures > 0 && n.now < n.nextDeletionAt {
		return // decided anew when it can be done: until then a machine may come back
	}
	lostMachines := map[*Machine]bool{}
	unreachable := map[api.JobID]int{} // tasks on silent machines
	byID := map[api.MachineID]*Machine{}
	for _, m := range n.machinesOf(owned.id) {
		if m.deleting || n.zones.records[m.zone].State != zonehealth.Failed || n.machineTypes[m.machineType] == nil || n.silentFor(m, owned)+evacuationInterval < n.config.WorkerLease() {
			continue // the lease ends before the deletion does, or as it does
		}
		lostMachines[m] = true
		byID[m.ID] = m
		for _, p := range n.state.PlacementsOn(m.ID) {
			if !p.Finishing {
				unreachable[p.Job.ID]++
			}
		}
	}
	if len(lostMachines) == 0 {
		return
	}
	usage := n.teamUsage()
	newTask := func(j *Job, i int, running api.Time) zonehealth.Task {
		out := zonehealth.Task{ID: api.TaskID{Job: j.ID, Index: i}, Spec: j.Spec, Demand: j.Demand, WithinGuarantee: n.isWithinGuarantee(j, usage),
			RunningElsewhere: len(j.Placements) - j.FinishingCount - unreachable[j.ID], SlackSeconds: n.deadlineSlack(j), PriorityBoost: n.priorityBoost(j.Spec)}
		if running != 0 && j.Spec.Kind != api.Service {
			out.LostWorkSeconds = n.now.Sub(running).Seconds()
			if j.Spec.Checkpoint > 0 {
				out.LostWorkSeconds = min(out.LostWorkSeconds, j.Spec.Checkpoint)
			}
		}
		if input.PlacedByZone[j.ID] == nil {
			input.PlacedByZone[j.ID] = map[api.Zone]int{}
			for _, p := range j.Placements {
				if z := n.machineZone(p.Machine); z != "" && !p.Finishing && !lostMachines[n.machines[p.Machine]] {
					input.PlacedByZone[j.ID][z]++
				}
			}
		}
		return out
	}
	for _, m := range n.machinesOf(owned.id) {
		switch {
		case lostMachines[m]:
			machine := zonehealth.Machine{ID: m.ID, Zone: m.zone, Capacity: n.machineTypes[m.machineType].Capacity(), BootSeconds: n.machineTypes[m.machineType].BootSeconds,
				ControllerInside: slices.Contains(n.zones.records[m.zone].PartitionsInside, owned.id)}
			for _, p := range n.state.PlacementsOn(m.ID) {
				if !p.Finishing && !p.Job.Terminal() && p.Partition == owned.id {
					machine.Tasks = append(machine.Tasks, newTask(p.Job, p.Task.Index, p.OwnerState.runningSince))
				}
			}
			input.Machines = append(input.Machines, machine)
		case m.deleting:
			for _, p := range n.state.PlacementsOn(m.ID) {
				if !p.Finishing && !p.Job.Terminal() {
					input.PendingTasks = append(input.PendingTasks, newTask(p.Job, p.Task.Index, 0))
				}
			}
		case n.isSchedulable(m, owned) && n.reservedFor(m) == "":
			input.FreeCapacity = append(input.FreeCapacity, zonehealth.FreeCapacity{Type: m.machineType, Zone: m.zone, Spot: m.spot, Free: n.freeCapacityOn(m, owned), FreeAfterPreemption: n.preemptibleCapacity(m, owned), Count: 1,
				HasImage: func(img api.Image) bool { _, has := m.cachedImages[img]; return has }})
		}
	}
	// Other parts' room: arrays' waiting tasks are moved there, and empty machines lent.
	// All parts look at it, so each counts on its share.
	parts := len(n.state.Partitions)
	n.eachFreeCapacity(func(p api.PartitionID, k MachineClass, r FreeCapacity) {
		if p != owned.id && k.Usable && !k.Closed && n.machineTypes[k.Type] != nil {
			empty := r.Free == n.machineTypes[k.Type].Capacity()
			input.FreeCapacity = append(input.FreeCapacity, zonehealth.FreeCapacity{Type: k.Type, Zone: k.Zone, Spot: k.Spot, Free: r.Free, FreeAfterPreemption: r.Free, Count: (r.Count + parts - 1) / parts,
				OtherPartition: !empty})
		}
	})
	budget := maxPendingInPlan
	for _, ref := range slices.Sorted(maps.Keys(n.state.PendingJobs)) {
		j := n.state.PendingJobs[ref]
		if n.startsBlocked(j) {
			continue
		}
		for i := range min(j.PendingTasks(owned.id), budget) {
			input.PendingTasks = append(input.PendingTasks, newTask(j, -1-i, 0))
			budget--
		}
	}
	for _, evacuation := range zonehealth.PlanEvacuation(input) {
		m := byID[evacuation.Machine]
		slog.Debug("machine evacuated with its zone", "machine", m.ID, "zone", m.zone, "tasks", len(n.state.PlacementsOn(m.ID)), "placeable", len(evacuation.Placements))
		n.scheduleDeletion(m, owned, deleteReasonZoneLost)
	}
}

// minReplacementProbability is how likely a zone must be to stay silent until another machine is up for one to
// be rented in its stead.
const minReplacementProbability = 0.5

// maxPendingInPlan bounds the waiting tasks that a plan looks at.
const maxPendingInPlan = 1000

// deadlineSlack is how many seconds a job has until it can't be in time any more.
func (n *Controller) deadlineSlack(j *Job) float64 {
	elapsed := max(0, float64(n.wallClock-j.AcceptedAt)/1000)
	limits := n.completionObjectives(j.Spec)
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
func (n *Controller) countUnreachableTasks() (replacements, unreachable map[api.JobID]int) {
	replacements, unreachable = map[api.JobID]int{}, map[api.JobID]int{}
	preemptible := api.Quantity(0)
	n.eachFreeCapacity(func(_ api.PartitionID, k MachineClass, r FreeCapacity) {
		if k.Usable {
			preemptible += r.Could.CPU * api.Quantity(r.Count)
		}
	})
	for _, id := range n.fleet.listedOrder {
		h := n.fleet.listedMachines[id]
		r := n.zones.records[h.Zone]
		if r.State != zonehealth.Failed {
			continue
		}
		silence, lease := n.zoneSilenceSeconds(h.Zone), n.config.WorkerLease().Seconds()
		leaseActive := silence < lease
		replace := !slices.Contains(r.PartitionsInside, n.partitionOf(id)) && r.OutlastProbability(max(lease, silence+n.bootSeconds(h.Type)), silence) >= minReplacementProbability
		if m := n.machines[id]; m != nil && (m.deleting || m.lastHeartbeat != 0 && n.now.Sub(m.lastHeartbeat) < n.heartbeatTimeout) {
			continue
		}
		for _, placement := range n.state.PlacementsOn(id) {
			if placement.Finishing || placement.Job.Terminal() {
				continue
			}
			unreachable[placement.Job.ID]++
			if leaseActive {
				if urgent := placement.Job.Spec.Priority.Rank() >= preemptorRank; replace && urgent && preemptible < placement.Job.Demand.CPU {
					replacements[placement.Job.ID]++
				} else if urgent {
					preemptible -= placement.Job.Demand.CPU
				}
				continue
			}
			n.zones.expiredLeaseTasks[h.Zone]++
			if replace {
				replacements[placement.Job.ID]++
			}
		}
	}
	return replacements, unreachable
}
