package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// fleet is what a node knows from the cloud. Every owner reads the list and
// deletes its own machines; only the owner of part 0 rents.
type fleet struct {
	deletedAt      map[api.MachineID]api.Time // deleted, by the cloud's word
	listedMachines map[api.MachineID]api.Instance
	listedOrder    []api.MachineID // of hosts
	partialList    map[api.MachineID]api.Instance
	listing        bool
	listedAt       api.Time // when the last whole list was had
	nextList       api.Time

	nextDemandSample api.Time
	capacityTargets  map[api.MachineTypeName]*capacityTarget

	readingTypes  bool
	nextTypesRead api.Time

	scaleOutInFlight   bool
	nextScaleOut       api.Time
	lastScaleOutUrgent bool // the last rental was for the most urgent work
	requestCount       int
	offerBackoff       map[machineOffer]api.Time // until when not to ask again
	provisioned        map[api.MachineID]provisionedMachine
	shortSince         api.Time // since when tasks have lacked room

	spotUptimeSeconds, spotPreemptions float64 // how long spot machines were seen up, and how many were taken
	spotSampledAt                      api.Time
}

// spotLossRate is how often a spot machine is taken, per second, as seen of late.
// One loss an hour is supposed to begin with, and counts as much as an hour seen.
func (f *fleet) spotLossRate() float64 { return (f.spotPreemptions + 1) / (f.spotUptimeSeconds + 3600) }

// spotDecayTime is the time in which what was seen of spot machines comes to count a
// third as much: the cloud takes more of them at some times than at others.
const spotDecayTime = 2 * time.Minute

// recordSpotUptime keeps the account of spot machines.
func (n *Controller) recordSpotUptime() {
	f := &n.fleet
	if since := n.now.Sub(f.spotSampledAt); f.spotSampledAt != 0 && since > 0 {
		decay := math.Exp(-since.Seconds() / spotDecayTime.Seconds())
		f.spotUptimeSeconds *= decay
		f.spotPreemptions *= decay
		for p := range n.partitions {
			for _, m := range n.machinesOf(p) {
				if m.spot && m.lastHeartbeat != 0 {
					f.spotUptimeSeconds += since.Seconds()
				}
			}
		}
	}
	f.spotSampledAt = n.now
}

// machineOffer is something the cloud may rent.
type machineOffer struct {
	machineType api.MachineTypeName
	zone        api.Zone
	spot        bool
}

type provisionedMachine struct {
	machineOffer
	at api.Time
}

// provisionedNotListed is what was rented and the list does not show yet.
func (f *fleet) provisionedNotListed() []RecentScaleOut {
	byOffer := map[machineOffer][]api.MachineID{}
	for _, id := range slices.Sorted(maps.Keys(f.provisioned)) {
		if _, listed := f.listedMachines[id]; !listed && f.deletedAt[id] == 0 {
			o := f.provisioned[id].machineOffer
			byOffer[o] = append(byOffer[o], id)
		}
	}
	var out []RecentScaleOut
	for _, o := range slices.SortedFunc(maps.Keys(byOffer), compareOffers) {
		out = append(out, RecentScaleOut{o.machineType, o.zone, o.spot, byOffer[o]})
	}
	return out
}

func (f *fleet) init() {
	f.deletedAt, f.listedMachines = map[api.MachineID]api.Time{}, map[api.MachineID]api.Instance{}
	f.offerBackoff, f.provisioned = map[machineOffer]api.Time{}, map[api.MachineID]provisionedMachine{}
	f.capacityTargets = map[api.MachineTypeName]*capacityTarget{}
}

const (
	listInterval  = 4 * time.Second // at least; see listPage
	typesInterval = time.Minute

	// A machine usually boots within 1.5 times its type's boot time. After
	// that, others are rented in its stead; later it is given up.
	slowBootFactor   = 1.5
	failedBootFactor = 2.5
)

func (n *Controller) reconcileFleet() {
	n.refreshMachineTypes()
	if len(n.partitions) == 0 || len(n.machineTypes) == 0 {
		return
	}
	n.refreshMachineList()
	if n.now >= n.fleet.nextDemandSample && !n.overloaded() {
		n.updateCapacityTargets()
	}
	if owned := n.partitions[0]; owned != nil {
		n.scaleOut(owned)
	}
}

func (n *Controller) refreshMachineTypes() {
	f := &n.fleet
	if f.readingTypes || n.now < f.nextTypesRead || len(n.machineTypes) > 0 && n.partitions[0] == nil {
		return
	}
	f.readingTypes = true
	n.callCloud(CloudCall{Types: true}, func(a CloudResponse) {
		f.readingTypes = false
		if a.Status != 200 || len(a.Types) == 0 {
			f.nextTypesRead = n.now.Add(time.Second)
			return
		}
		f.nextTypesRead = n.now.Add(typesInterval)
		n.addMachineTypes(a.Types)
		if owned := n.partitions[0]; owned != nil && len(n.recordedTypes.Types) != len(a.Types) {
			// Kept so that a node that starts while the cloud is down knows them.
			v, _ := json.Marshal(api.MachineTypes{Types: a.Types})
			n.callStoreTxn(api.Txn{If: []api.Condition{owned.ownershipCondition(), n.state.VersionCondition(machineTypesKey)},
				Writes: []api.Write{{Put: machineTypesKey, Value: v}}}, func(StoreResponse) {})
		}
	})
}

func (n *Controller) refreshMachineList() {
	f := &n.fleet
	if f.listing || n.now < f.nextList {
		return
	}
	f.listing = true
	f.partialList = map[api.MachineID]api.Instance{}
	n.readMachinePage("")
}

func (n *Controller) readMachinePage(since api.MachineID) {
	f := &n.fleet
	n.callCloud(CloudCall{List: &ListRequest{Since: since}}, func(a CloudResponse) {
		if a.Status != 200 {
			f.listing, f.nextList = false, n.now.Add(listInterval/2)
			return
		}
		for _, h := range a.Hosts.Machines {
			f.partialList[h.ID] = h
		}
		if k := len(a.Hosts.Machines); a.Hosts.More && k > 0 {
			n.readMachinePage(a.Hosts.Machines[k-1].ID)
			return
		}
		f.listedMachines, f.listing, f.listedAt = f.partialList, false, n.now
		f.listedOrder = slices.Sorted(maps.Keys(f.listedMachines))
		// A third of the cloud's calls may be for lists, however many pages
		// they have and nodes read them.
		pages := float64(len(f.listedMachines)/listPageSize + 1)
		f.nextList = n.now.Add(max(listInterval, api.Seconds(3*pages*float64(len(n.controllers))/n.config.Deployment.Cloud.RPS)))
		for id, at := range f.deletedAt {
			if _, there := f.listedMachines[id]; !there && n.now.Sub(at) > 5*time.Minute {
				delete(f.deletedAt, id)
			}
		}
		for id, r := range f.provisioned {
			if _, there := f.listedMachines[id]; there || n.now.Sub(r.at) > time.Minute {
				delete(f.provisioned, id)
			}
		}
		n.reconcileMachineList()
	})
}

// listPageSize is how many machines a page of the list holds.
const listPageSize = 500

func (n *Controller) isListedRunning(m *Machine) bool {
	return n.fleet.listedMachines[m.ID].State == api.MachineRunning
}

// reconcileMachineList meets the machines that the list shows and deletes those that failed
// or do not come up. A list may be old: it never proves a task over.
func (n *Controller) reconcileMachineList() {
	f := &n.fleet
	for _, id := range f.listedOrder {
		h := f.listedMachines[id]
		owned := n.partitions[n.partitionOf(id)]
		if owned == nil || f.deletedAt[id] != 0 {
			continue
		}
		m := n.ensureMachine(id)
		m.applyListing(h)
		if m.deleting || n.now < m.nextCallAt && m.lastHeartbeat == 0 {
			continue
		}
		switch h.State {
		case api.MachineFailed:
			n.scheduleDeletion(m, owned, "failed")
		case api.MachineBooting:
			typ := n.machineTypes[h.Type]
			if m.lastHeartbeat == 0 && typ != nil && h.AgeSeconds > failedBootFactor*typ.BootSeconds+10 {
				n.scheduleDeletion(m, owned, "does not come up")
			}
		}
	}
}

// evaluateScaleIn decides whether a machine is still wanted. It is called for each
// in turn.
func (n *Controller) evaluateScaleIn(m *Machine, owned *ownedPartition) {
	f := &n.fleet
	if len(n.machineTypes) == 0 {
		return
	}
	if n.hasRetainingWork(m.ID, m.machineType) || n.zoneUnavailable(m.zone) || m.consolidated && n.reservedFor(m) != "" {
		m.idleSince, m.scaleInCandidate = n.now, false // one that is out is the plan's, see giveUp
	}
	if owned == nil {
		if n.now.Sub(max(m.lastHeartbeat, m.discoveredAt)) > time.Minute {
			n.forgetMachine(m.ID)
		}
		return
	}
	idleTimeout, idleFor := n.idleTimeout(m.machineType), n.now.Sub(m.idleSince)
	idle := m.lastHeartbeat != 0 && n.now.Sub(owned.ownedSince) > idleTimeout && (idleFor > idleTimeout || m.surplus && idleFor > idleTimeout/3)
	if target := f.capacityTargets[m.machineType]; target != nil && target.latencySensitiveSpec != nil && !m.surplus {
		idle = false
	}
	m.scaleInCandidate = idle && n.hasAccelerators(m.machineType)
	if m.deleting || len(n.state.PlacementsOn(m.ID)) > 0 {
		return
	}
	_, listed := f.listedMachines[m.ID]
	switch {
	case !listed && m.lastHeartbeat == 0 && n.now.Sub(m.discoveredAt) > time.Minute:
		n.forgetMachine(m.ID)
	case m.quarantinedUntil > n.now && m.lastHeartbeat != 0:
		n.scheduleDeletion(m, owned, "sick")
	case idle && owned.inFlight == nil && len(m.reportedTasks) == 0 && n.deletionFailures == 0:
		// While deletions fail it is not worth it: a machine that is being deleted gets
		// no answers, and many of them would look like a zone that is cut off.
		n.scheduleDeletion(m, owned, deleteReasonIdle)
	}
}

// hasRetainingWork reports whether a machine has work that it is kept for: any, but on
// one with accelerators only such as needs them.
func (n *Controller) hasRetainingWork(id api.MachineID, typ api.MachineTypeName) bool {
	for _, p := range n.state.PlacementsOn(id) {
		if !n.hasAccelerators(typ) || !n.isCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// idleTimeout is how long a machine may stand idle: as long as fetching another would
// take. By then it has cost what returning it too early would cost.
func (n *Controller) idleTimeout(t api.MachineTypeName) time.Duration {
	if h := n.settings.IdleTimeout; h > 0 {
		return api.Seconds(h)
	}
	typ := n.machineTypes[t]
	if typ == nil {
		return time.Minute
	}
	return max(15*time.Second, api.Seconds(typ.BootSeconds))
}

// scaleOut finds the waiting tasks that fit nowhere, neither on what is up nor on
// what is coming, and rents the cheapest machines for them.
func (n *Controller) scaleOut(owned *ownedPartition) {
	f := &n.fleet
	if n.settings.DisableScaleOut || f.scaleOutInFlight || n.now < f.nextScaleOut || f.listedAt == 0 {
		return
	}
	// After a takeover the machines there are must be heard of first; on an empty
	// cloud there is nothing to hear of.
	if (len(f.listedMachines) > 0 || len(n.machines) > 0) && n.now.Sub(owned.ownedSince) < 3*time.Second {
		return
	}
	f.nextScaleOut = n.now.Add(n.cloudCallInterval)
	type space struct {
		machineOffer
		free   api.Resources
		closed bool
		part   api.PartitionID
		empty  bool // it may be lent
	}
	var spaces []space
	n.eachFreeCapacity(func(p api.PartitionID, k MachineClass, r FreeCapacity) {
		if !k.Usable {
			return
		}
		empty := n.machineTypes[k.Type] != nil && r.Free == n.machineTypes[k.Type].Capacity()
		for range r.Count {
			spaces = append(spaces, space{machineOffer{k.Type, k.Zone, k.Spot}, r.Free, k.Closed, p, empty})
		}
	})
	incoming := n.incomingMachines()
	for _, o := range slices.SortedFunc(maps.Keys(incoming), compareOffers) {
		if typ := n.machineTypes[o.machineType]; typ != nil {
			for range incoming[o] {
				spaces = append(spaces, space{o, typ.Capacity(), false, 0, true})
			}
		}
	}
	remaining := map[api.Team]api.Resources{}
	use := n.teamUsage()
	for name, team := range n.teams {
		remaining[name] = quotaLimit(team).Minus(use[name])
	}
	units := n.freePoolUnits()
	zoneOpen := slices.Collect(maps.Values(n.state.PendingJobs))
	for ref := range n.zones.replacementDemand {
		if j := n.state.Jobs[ref]; j != nil && n.state.PendingJobs[ref] == nil {
			zoneOpen = append(zoneOpen, j)
		}
	}
	jobs := slices.SortedFunc(slices.Values(zoneOpen), func(a, b *Job) int {
		return cmp.Or(boolToInt(n.waitStage(b, allPartitions) == sched.AgedAboveAll)-boolToInt(n.waitStage(a, allPartitions) == sched.AgedAboveAll), sched.Descending(n.effectivePriority(a.Spec), n.effectivePriority(b.Spec)),
			cmp.Compare(n.waitStage(b, allPartitions), n.waitStage(a, allPartitions)), cmp.Compare(a.ID, b.ID))
	})
	need := map[machineOffer]int{}
	var offerOrder []machineOffer // in the order of the work that needs them
	budget := 20000               // tasks looked at
	queued := 0                   // tasks that wait for accelerators
	for _, j := range jobs {
		if j.OwnerState.backoffUntil > n.now || n.startsBlocked(j) {
			continue
		}
		waiting := 0
		for p := range n.state.Partitions {
			waiting += j.PendingTasks(api.PartitionID(p))
		}
		waiting = min(waiting, j.Demand.Slots(remaining[j.Spec.Team]), budget)
		if len(j.Spec.Needs) > 0 { // no machine for work that its pools keep waiting
			sj := sched.Job{Spec: j.Spec, HoldsJobUnits: j.LiveCount() > 0}
			if waiting = sj.TasksWithinUnits(units, waiting); waiting > 0 {
				sj.ConsumeUnits(units, waiting)
			}
		}
		budget -= waiting
		remaining[j.Spec.Team] = remaining[j.Spec.Team].Minus(j.Demand.Times(waiting))
		waiting += n.zones.replacementDemand[j.ID]
		if waiting <= 0 {
			continue
		}
		cpuOnly := n.isCPUOnly(j.Spec)
		// A job whose tasks stay together does not leave its part once some have started.
		bound, boundPartition := j.Spec.NeedsSinglePartition() && len(j.Placements) > 0, j.Split[0].Partition
		var zone api.Zone
		if j.Spec.OneZone && waiting > 0 {
			freeSlots := map[api.Zone]int{}
			for _, s := range spaces {
				if sched.Feasible(j.Spec, s.machineType, s.zone, s.spot) {
					freeSlots[s.zone] += j.Demand.Slots(s.free)
				}
			}
			// Where there is some room, the rest is rented beside it.
			if zone = largestZone(freeSlots); zone != "" && freeSlots[zone] == 0 {
				zone = ""
			}
		}
		// Of work that is spread a zone takes only so much.
		zones := map[api.Zone]int{}
		if j.Spec.Spread {
			zones, _ = n.taskZones(j)
		}
		zoneLimit := func(z api.Zone) int {
			if !j.Spec.Spread {
				return waiting
			}
			return min(waiting, (j.Spec.Tasks+1)/2-zones[z])
		}
		zoneOpen := func(z api.Zone) bool { return (zone == "" || z == zone) && zoneLimit(z) > 0 }
		totalWaiting := waiting
		if within := n.startObjective(j.Spec.Class); within > 0 && !cpuOnly && waiting > 0 {
			// Work that ends will make room; a machine is rented only when
			// that comes too late.
			if slots := n.totalCapacitySlots(j.Spec); slots > 0 {
				queued += waiting
				taskTurnaround := j.Spec.Estimate + j.Spec.ImageGB/n.slowestFetchRate(j.Spec)
				elapsed := max(0, float64(n.wallClock-j.AcceptedAt)/1000)
				if elapsed+float64(queued)/float64(slots)*taskTurnaround < within {
					continue
				}
			}
		}
		for i := range spaces {
			s := &spaces[i]
			if waiting == 0 {
				break
			}
			if bound && !s.empty && s.part != boundPartition {
				continue // its tasks stay in one part, and what is not empty is not lent
			}
			if zoneOpen(s.zone) && !(cpuOnly && s.closed) && sched.Feasible(j.Spec, s.machineType, s.zone, s.spot) {
				k := min(zoneLimit(s.zone), j.Demand.Slots(s.free))
				s.free = s.free.Minus(j.Demand.Times(k))
				s.empty = s.empty && k == 0
				waiting -= k
				zones[s.zone] += k
			}
		}
		for waiting > 0 {
			o, ok := n.cheapestOffer(j.Spec, need, incoming, zoneOpen)
			if !ok && zone != "" {
				zone, waiting = "", totalWaiting // all of it somewhere else
				if o, ok = n.cheapestOffer(j.Spec, need, incoming, zoneOpen); ok {
					zone = o.zone
				}
			}
			if !ok {
				break
			}
			if need[o]++; need[o] == 1 {
				offerOrder = append(offerOrder, o)
			}
			if j.Spec.OneZone {
				zone = o.zone
			}
			free := n.machineTypes[o.machineType].Capacity()
			k := min(zoneLimit(o.zone), j.Demand.Slots(free))
			waiting -= k
			zones[o.zone] += k
			spaces = append(spaces, space{o, free.Minus(j.Demand.Times(k)), false, boundPartition, false})
		}
	}
	n.scaleOutAhead(need, incoming)
	if len(need) == 0 {
		f.shortSince = 0
		return
	}
	if f.shortSince == 0 {
		f.shortSince = n.now
	}
	if n.now.Sub(f.shortSince) < time.Second {
		return // what is about to be placed should be placed first
	}
	// The most urgent work's and what is needed most, by turns.
	o := slices.MaxFunc(slices.SortedFunc(maps.Keys(need), compareOffers), func(a, b machineOffer) int { return need[a] - need[b] })
	if f.lastScaleOutUrgent = !f.lastScaleOutUrgent; f.lastScaleOutUrgent && len(offerOrder) > 0 {
		o = offerOrder[0]
	}
	n.requestMachines(owned, o, min(need[o], maxScaleOutBatch))
}

// incomingMachines counts the machines that are in nobody's account of what is free
// but will be soon: they boot, were rented a moment ago, or were just lent.
func (n *Controller) incomingMachines() map[machineOffer]int {
	f := &n.fleet
	accounted := map[api.MachineID]bool{}
	for id := range f.listedMachines {
		if m := n.machines[id]; m != nil && m.lastHeartbeat != 0 || len(n.state.PlacementsOn(id)) > 0 {
			accounted[id] = true // the list lags
		}
	}
	for _, status := range n.peerPartitionStatuses() {
		for _, id := range status.Fresh {
			accounted[id] = true
		}
	}
	n.eachUnreportedMachine(func(_ api.PartitionID, h api.Instance) { accounted[h.ID] = true })
	incoming := map[machineOffer]int{}
	for id, h := range f.listedMachines {
		if typ := n.machineTypes[h.Type]; typ != nil && h.State != api.MachineFailed && !accounted[id] && f.deletedAt[id] == 0 && h.AgeSeconds <= slowBootFactor*typ.BootSeconds {
			// One that is late is not counted on any more; one that the list shows
			// to run may not have been heard of yet.
			incoming[machineOffer{h.Type, h.Zone, h.Spot}]++
		}
	}
	for id := range n.machineLoans {
		if h, listed := f.listedMachines[id]; listed && (accounted[id] || h.AgeSeconds > slowBootFactor*n.bootSeconds(h.Type)) && n.loanInTransit(id) {
			incoming[machineOffer{h.Type, h.Zone, h.Spot}]++
		}
	}
	for id, r := range f.provisioned {
		if _, listed := f.listedMachines[id]; !listed && !accounted[id] && f.deletedAt[id] == 0 {
			if m := n.machines[id]; m == nil || m.lastHeartbeat == 0 {
				incoming[r.machineOffer]++
			}
		}
	}
	return incoming
}

func (n *Controller) bootSeconds(t api.MachineTypeName) float64 {
	if typ := n.machineTypes[t]; typ != nil {
		return typ.BootSeconds
	}
	return 0
}

// requestMachines asks the cloud for machines.
func (n *Controller) requestMachines(owned *ownedPartition, o machineOffer, count int) {
	f := &n.fleet
	f.requestCount++
	r := &api.ScaleOutRequest{Name: fmt.Sprintf("r-%d-%d", owned.term, f.requestCount), Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: count}
	f.scaleOutInFlight = true
	begun := n.now
	n.callCloud(CloudCall{Create: r}, func(a CloudResponse) {
		f.scaleOutInFlight = false
		switch {
		case a.Status == 200:
		case a.NoCapacity:
			f.offerBackoff[o] = n.now.Add(20 * time.Second)
			return
		case a.Status == 0:
			// The name is not used again: should the request be carried out late, its
			// machines show up by themselves. The list may show them meanwhile.
			f.nextScaleOut = n.now.Add(max(time.Second, api.Seconds(n.config.Deployment.Cloud.ListLag)))
			return
		default:
			f.nextScaleOut = n.now.Add(time.Second)
			return
		}
		if r.Count == maxScaleOutBatch {
			f.nextScaleOut = begun.Add(n.cloudCallInterval * 2 / 3) // a ramp: half of the calls
		}
		slog.Info("machines provisioned", "type", o.machineType, "zone", o.zone, "spot", o.spot, "asked", r.Count, "got", len(a.Machines))
		if len(a.Machines) < r.Count {
			f.offerBackoff[o] = n.now.Add(20 * time.Second)
		}
		for _, id := range a.Machines {
			f.provisioned[id] = provisionedMachine{o, n.now}
		}
	})
}

func compareOffers(a, b machineOffer) int {
	spot := func(o machineOffer) int {
		if o.spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.machineType, b.machineType), cmp.Compare(a.zone, b.zone), spot(a)-spot(b))
}

// mayProbeZone reports whether one more machine may be rented in a zone: into one of which nothing
// is left, and which may be back, a few at a time.
func (n *Controller) mayProbeZone(name api.Zone, need, incoming map[machineOffer]int) bool {
	if s := n.zones.observations[name]; n.zoneState(name) != zonehealth.Recovering || s.All > 0 {
		return true
	}
	count := 0
	for _, of := range []map[machineOffer]int{need, incoming} {
		for o, k := range of {
			if o.zone == name {
				count += k
			}
		}
	}
	return count < probeMachines
}

// probeMachines is how many machines are rented in a zone to find out whether it is back: a
// zone is not called cut off for one machine.
const probeMachines = 2

// totalCapacitySlots counts how many of a job's tasks the machines that are up could hold
// if they were empty.
func (n *Controller) totalCapacitySlots(s *api.JobSpec) int {
	slots := 0
	for _, c := range n.totalSlotsByPartition(s) {
		slots += c
	}
	return slots
}

// slowestFetchRate is the lowest rate at which an allowed type fetches images.
func (n *Controller) slowestFetchRate(s *api.JobSpec) float64 {
	rate := 0.0
	for _, t := range n.machineTypes {
		if t.FetchRate > 0 && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && s.Demand().Fits(t.Capacity()) &&
			(rate == 0 || t.FetchRate < rate) {
			rate = t.FetchRate
		}
	}
	if rate == 0 {
		return 1
	}
	return rate
}

// cheapestOffer finds the offer with the lowest price for one task of the job, in a zone
// that is open to it.
func (n *Controller) cheapestOffer(s *api.JobSpec, needed, incoming map[machineOffer]int, open func(api.Zone) bool) (machineOffer, bool) {
	demand, cpuOnly := s.Demand(), n.isCPUOnly(s)
	var best machineOffer
	bestPrice := 0.0
	for _, name := range slices.Sorted(maps.Keys(n.machineTypes)) {
		typ := n.machineTypes[name]
		slots := demand.Slots(typ.Capacity())
		if slots == 0 || cpuOnly && typ.GPUs > 0 {
			continue
		}
		zones := typ.Zones
		if len(zones) == 0 {
			zones = n.config.Deployment.Zones
		}
		for _, z := range zones {
			for _, spot := range []bool{true, false} {
				o := machineOffer{name, z, spot}
				if !open(z) || !sched.Feasible(s, name, z, spot) || n.fleet.offerBackoff[o] > n.now || n.zoneUnavailable(z) || !n.mayProbeZone(z, needed, incoming) {
					continue
				}
				price := typ.Price
				if spot {
					price = typ.SpotPrice
				}
				price = price/float64(slots) + 1e-6*float64(needed[o])
				if bestPrice == 0 || price < bestPrice {
					best, bestPrice = o, price
				}
			}
		}
	}
	return best, bestPrice > 0
}
