package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// Autoscaler scales the fleet out and in.
type Autoscaler struct {
	core *core.Core
	c    *Controller

	pendingDeletions []pendingDeletion
	deletionInFlight bool
	nextDeletionAt   api.Time
	deletionFailures int // deletions that failed, in a row
	rng              *rand.Rand
	fleet            fleet
}

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
func (as *Autoscaler) recordSpotUptime() {
	f := &as.fleet
	if since := as.core.Now.Sub(f.spotSampledAt); f.spotSampledAt != 0 && since > 0 {
		decay := math.Exp(-since.Seconds() / spotDecayTime.Seconds())
		f.spotUptimeSeconds *= decay
		f.spotPreemptions *= decay
		for p := range as.core.Partitions {
			for _, m := range as.c.agents.MachinesOf(p) {
				if m.Spot && m.LastHeartbeat != 0 {
					f.spotUptimeSeconds += since.Seconds()
				}
			}
		}
	}
	f.spotSampledAt = as.core.Now
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
func (f *fleet) provisionedNotListed() []message.RecentScaleOut {
	byOffer := map[machineOffer][]api.MachineID{}
	for _, id := range slices.Sorted(maps.Keys(f.provisioned)) {
		if _, listed := f.listedMachines[id]; !listed && f.deletedAt[id] == 0 {
			o := f.provisioned[id].machineOffer
			byOffer[o] = append(byOffer[o], id)
		}
	}
	var out []message.RecentScaleOut
	for _, o := range slices.SortedFunc(maps.Keys(byOffer), compareOffers) {
		out = append(out, message.RecentScaleOut{Type: o.machineType, Zone: o.zone, Spot: o.spot, Machines: byOffer[o]})
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

func (as *Autoscaler) ReconcileFleet() {
	as.refreshMachineTypes()
	if len(as.core.Partitions) == 0 || len(as.core.MachineTypes) == 0 {
		return
	}
	as.refreshMachineList()
	if as.core.Now >= as.fleet.nextDemandSample && !as.core.Overloaded() {
		as.updateCapacityTargets()
	}
	if owned := as.core.Partitions[0]; owned != nil {
		as.scaleOut(owned)
	}
}

func (as *Autoscaler) refreshMachineTypes() {
	f := &as.fleet
	if f.readingTypes || as.core.Now < f.nextTypesRead || len(as.core.MachineTypes) > 0 && as.core.Partitions[0] == nil {
		return
	}
	f.readingTypes = true
	as.core.CallCloud(message.CloudCall{Types: true}, func(a message.CloudResponse) {
		f.readingTypes = false
		if a.Status != 200 || len(a.Types) == 0 {
			f.nextTypesRead = as.core.Now.Add(time.Second)
			return
		}
		f.nextTypesRead = as.core.Now.Add(typesInterval)
		as.core.AddMachineTypes(a.Types)
		if owned := as.core.Partitions[0]; owned != nil && len(as.core.RecordedTypes.Types) != len(a.Types) {
			// Kept so that a node that starts while the cloud is down knows them.
			v, _ := json.Marshal(api.MachineTypes{Types: a.Types})
			as.core.CallStoreTxn(api.Txn{If: []api.Condition{owned.OwnershipCondition(), as.core.State.VersionCondition(core.MachineTypesKey)},
				Writes: []api.Write{{Put: core.MachineTypesKey, Value: v}}}, func(message.StoreResponse) {})
		}
	})
}

func (as *Autoscaler) refreshMachineList() {
	f := &as.fleet
	if f.listing || as.core.Now < f.nextList {
		return
	}
	f.listing = true
	f.partialList = map[api.MachineID]api.Instance{}
	as.readMachinePage("")
}

func (as *Autoscaler) readMachinePage(since api.MachineID) {
	f := &as.fleet
	as.core.CallCloud(message.CloudCall{List: &message.ListRequest{Since: since}}, func(a message.CloudResponse) {
		if a.Status != 200 {
			f.listing, f.nextList = false, as.core.Now.Add(listInterval/2)
			return
		}
		for _, h := range a.Hosts.Machines {
			f.partialList[h.ID] = h
		}
		if k := len(a.Hosts.Machines); a.Hosts.More && k > 0 {
			as.readMachinePage(a.Hosts.Machines[k-1].ID)
			return
		}
		f.listedMachines, f.listing, f.listedAt = f.partialList, false, as.core.Now
		f.listedOrder = slices.Sorted(maps.Keys(f.listedMachines))
		// A third of the cloud's calls may be for lists, however many pages
		// they have and nodes read them.
		pages := float64(len(f.listedMachines)/listPageSize + 1)
		f.nextList = as.core.Now.Add(max(listInterval, api.Seconds(3*pages*float64(len(as.core.Controllers))/as.core.Config.Deployment.Cloud.RPS)))
		for id, at := range f.deletedAt {
			if _, there := f.listedMachines[id]; !there && as.core.Now.Sub(at) > 5*time.Minute {
				delete(f.deletedAt, id)
			}
		}
		for id, r := range f.provisioned {
			if _, there := f.listedMachines[id]; there || as.core.Now.Sub(r.at) > time.Minute {
				delete(f.provisioned, id)
			}
		}
		as.ReconcileMachineList()
	})
}

// listPageSize is how many machines a page of the list holds.
const listPageSize = 500

func (as *Autoscaler) IsListedRunning(m *core.Machine) bool {
	return as.fleet.listedMachines[m.ID].State == api.MachineRunning
}

// ReconcileMachineList meets the machines that the list shows and deletes those that failed
// or do not come up. A list may be old: it never proves a task over.
func (as *Autoscaler) ReconcileMachineList() {
	f := &as.fleet
	for _, id := range f.listedOrder {
		h := f.listedMachines[id]
		owned := as.core.Partitions[as.core.PartitionOf(id)]
		if owned == nil || f.deletedAt[id] != 0 {
			continue
		}
		m := as.c.agents.EnsureMachine(id)
		m.ApplyListing(h)
		if m.Deleting || as.core.Now < m.NextCallAt && m.LastHeartbeat == 0 {
			continue
		}
		switch h.State {
		case api.MachineFailed:
			as.ScheduleDeletion(m, owned, "failed")
		case api.MachineBooting:
			typ := as.core.MachineTypes[h.Type]
			if m.LastHeartbeat == 0 && typ != nil && h.AgeSeconds > failedBootFactor*typ.BootSeconds+10 {
				as.ScheduleDeletion(m, owned, "does not come up")
			}
		}
	}
}

// EvaluateScaleIn decides whether a machine is still wanted. It is called for each
// in turn.
func (as *Autoscaler) EvaluateScaleIn(m *core.Machine, owned *core.OwnedPartition) {
	f := &as.fleet
	if len(as.core.MachineTypes) == 0 {
		return
	}
	if as.hasRetainingWork(m.ID, m.MachineType) || as.c.health.ZoneUnavailable(m.Zone) || m.Consolidated && as.c.preemptor.ReservedFor(m) != "" {
		m.IdleSince, m.ScaleInCandidate = as.core.Now, false // one that is out is the plan's, see giveUp
	}
	if owned == nil {
		if as.core.Now.Sub(max(m.LastHeartbeat, m.DiscoveredAt)) > time.Minute {
			as.c.agents.ForgetMachine(m.ID)
		}
		return
	}
	idleTimeout, idleFor := as.idleTimeout(m.MachineType), as.core.Now.Sub(m.IdleSince)
	idle := m.LastHeartbeat != 0 && as.core.Now.Sub(owned.OwnedSince) > idleTimeout && (idleFor > idleTimeout || m.Surplus && idleFor > idleTimeout/3)
	if target := f.capacityTargets[m.MachineType]; target != nil && target.latencySensitiveSpec != nil && !m.Surplus {
		idle = false
	}
	m.ScaleInCandidate = idle && as.core.HasAccelerators(m.MachineType)
	if m.Deleting || len(as.core.State.PlacementsOn(m.ID)) > 0 {
		return
	}
	_, listed := f.listedMachines[m.ID]
	switch {
	case !listed && m.LastHeartbeat == 0 && as.core.Now.Sub(m.DiscoveredAt) > time.Minute:
		as.c.agents.ForgetMachine(m.ID)
	case m.QuarantinedUntil > as.core.Now && m.LastHeartbeat != 0:
		as.ScheduleDeletion(m, owned, "sick")
	case idle && owned.InFlight == nil && len(m.ReportedTasks) == 0 && as.deletionFailures == 0:
		// While deletions fail it is not worth it: a machine that is being deleted gets
		// no answers, and many of them would look like a zone that is cut off.
		as.ScheduleDeletion(m, owned, deleteReasonIdle)
	}
}

// hasRetainingWork reports whether a machine has work that it is kept for: any, but on
// one with accelerators only such as needs them.
func (as *Autoscaler) hasRetainingWork(id api.MachineID, typ api.MachineTypeName) bool {
	for _, p := range as.core.State.PlacementsOn(id) {
		if !as.core.HasAccelerators(typ) || !as.core.IsCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// idleTimeout is how long a machine may stand idle: as long as fetching another would
// take. By then it has cost what returning it too early would cost.
func (as *Autoscaler) idleTimeout(t api.MachineTypeName) time.Duration {
	if h := as.core.Settings.IdleTimeout; h > 0 {
		return api.Seconds(h)
	}
	typ := as.core.MachineTypes[t]
	if typ == nil {
		return time.Minute
	}
	return max(15*time.Second, api.Seconds(typ.BootSeconds))
}

// scaleOut finds the waiting tasks that fit nowhere, neither on what is up nor on
// what is coming, and rents the cheapest machines for them.
func (as *Autoscaler) scaleOut(owned *core.OwnedPartition) {
	f := &as.fleet
	if as.core.Settings.DisableScaleOut || f.scaleOutInFlight || as.core.Now < f.nextScaleOut || f.listedAt == 0 {
		return
	}
	// After a takeover the machines there are must be heard of first; on an empty
	// cloud there is nothing to hear of.
	if (len(f.listedMachines) > 0 || len(as.core.Machines) > 0) && as.core.Now.Sub(owned.OwnedSince) < 3*time.Second {
		return
	}
	f.nextScaleOut = as.core.Now.Add(as.core.CloudCallInterval)
	type space struct {
		machineOffer
		free   api.Resources
		closed bool
		part   api.PartitionID
		empty  bool // it may be lent
	}
	var spaces []space
	as.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if !k.Usable {
			return
		}
		empty := as.core.MachineTypes[k.Type] != nil && r.Free == as.core.MachineTypes[k.Type].Capacity()
		for range r.Count {
			spaces = append(spaces, space{machineOffer{k.Type, k.Zone, k.Spot}, r.Free, k.Closed, p, empty})
		}
	})
	incoming := as.IncomingMachines()
	for _, o := range slices.SortedFunc(maps.Keys(incoming), compareOffers) {
		if typ := as.core.MachineTypes[o.machineType]; typ != nil {
			for range incoming[o] {
				spaces = append(spaces, space{o, typ.Capacity(), false, 0, true})
			}
		}
	}
	remaining := map[api.Team]api.Resources{}
	use := as.core.TeamUsage()
	for name, team := range as.core.Teams {
		remaining[name] = core.QuotaLimit(team).Minus(use[name])
	}
	units := as.c.pools.FreePoolUnits()
	zoneOpen := slices.Collect(maps.Values(as.core.State.PendingJobs))
	for ref := range as.c.health.ReplacementDemand() {
		if j := as.core.State.Jobs[ref]; j != nil && as.core.State.PendingJobs[ref] == nil {
			zoneOpen = append(zoneOpen, j)
		}
	}
	jobs := slices.SortedFunc(slices.Values(zoneOpen), func(a, b *core.Job) int {
		return cmp.Or(boolToInt(as.c.backfiller.WaitStage(b, core.AllPartitions) == sched.AgedAboveAll)-boolToInt(as.c.backfiller.WaitStage(a, core.AllPartitions) == sched.AgedAboveAll), sched.Descending(as.c.priorities.EffectivePriority(a.Spec), as.c.priorities.EffectivePriority(b.Spec)),
			cmp.Compare(as.c.backfiller.WaitStage(b, core.AllPartitions), as.c.backfiller.WaitStage(a, core.AllPartitions)), cmp.Compare(a.ID, b.ID))
	})
	need := map[machineOffer]int{}
	var offerOrder []machineOffer // in the order of the work that needs them
	budget := 20000               // tasks looked at
	queued := 0                   // tasks that wait for accelerators
	for _, j := range jobs {
		if j.OwnerState.BackoffUntil > as.core.Now || as.c.tenancy.StartsBlocked(j) {
			continue
		}
		waiting := 0
		for p := range as.core.State.Partitions {
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
		waiting += as.c.health.ReplacementDemand()[j.ID]
		if waiting <= 0 {
			continue
		}
		cpuOnly := as.core.IsCPUOnly(j.Spec)
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
			if zone = core.LargestZone(freeSlots); zone != "" && freeSlots[zone] == 0 {
				zone = ""
			}
		}
		// Of work that is spread a zone takes only so much.
		zones := map[api.Zone]int{}
		if j.Spec.Spread {
			zones, _ = as.c.scheduler.TaskZones(j)
		}
		zoneLimit := func(z api.Zone) int {
			if !j.Spec.Spread {
				return waiting
			}
			return min(waiting, (j.Spec.Tasks+1)/2-zones[z])
		}
		zoneOpen := func(z api.Zone) bool { return (zone == "" || z == zone) && zoneLimit(z) > 0 }
		totalWaiting := waiting
		if within := as.core.StartObjective(j.Spec.Class); within > 0 && !cpuOnly && waiting > 0 {
			// Work that ends will make room; a machine is rented only when
			// that comes too late.
			if slots := as.totalCapacitySlots(j.Spec); slots > 0 {
				queued += waiting
				taskTurnaround := j.Spec.Estimate + j.Spec.ImageGB/as.core.SlowestFetchRate(j.Spec)
				elapsed := max(0, float64(as.core.WallClock-j.AcceptedAt)/1000)
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
			o, ok := as.cheapestOffer(j.Spec, need, incoming, zoneOpen)
			if !ok && zone != "" {
				zone, waiting = "", totalWaiting // all of it somewhere else
				if o, ok = as.cheapestOffer(j.Spec, need, incoming, zoneOpen); ok {
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
			free := as.core.MachineTypes[o.machineType].Capacity()
			k := min(zoneLimit(o.zone), j.Demand.Slots(free))
			waiting -= k
			zones[o.zone] += k
			spaces = append(spaces, space{o, free.Minus(j.Demand.Times(k)), false, boundPartition, false})
		}
	}
	as.scaleOutAhead(need, incoming)
	if len(need) == 0 {
		f.shortSince = 0
		return
	}
	if f.shortSince == 0 {
		f.shortSince = as.core.Now
	}
	if as.core.Now.Sub(f.shortSince) < time.Second {
		return // what is about to be placed should be placed first
	}
	// The most urgent work's and what is needed most, by turns.
	o := slices.MaxFunc(slices.SortedFunc(maps.Keys(need), compareOffers), func(a, b machineOffer) int { return need[a] - need[b] })
	if f.lastScaleOutUrgent = !f.lastScaleOutUrgent; f.lastScaleOutUrgent && len(offerOrder) > 0 {
		o = offerOrder[0]
	}
	as.requestMachines(owned, o, min(need[o], maxScaleOutBatch))
}

// IncomingMachines counts the machines that are in nobody's account of what is free
// but will be soon: they boot, were rented a moment ago, or were just lent.
func (as *Autoscaler) IncomingMachines() map[machineOffer]int {
	f := &as.fleet
	accounted := map[api.MachineID]bool{}
	for id := range f.listedMachines {
		if m := as.core.Machines[id]; m != nil && m.LastHeartbeat != 0 || len(as.core.State.PlacementsOn(id)) > 0 {
			accounted[id] = true // the list lags
		}
	}
	for _, status := range as.c.gossiper.PeerPartitionStatuses() {
		for _, id := range status.Fresh {
			accounted[id] = true
		}
	}
	as.c.gossiper.EachUnreportedMachine(func(_ api.PartitionID, h api.Instance) { accounted[h.ID] = true })
	incoming := map[machineOffer]int{}
	for id, h := range f.listedMachines {
		if typ := as.core.MachineTypes[h.Type]; typ != nil && h.State != api.MachineFailed && !accounted[id] && f.deletedAt[id] == 0 && h.AgeSeconds <= slowBootFactor*typ.BootSeconds {
			// One that is late is not counted on any more; one that the list shows
			// to run may not have been heard of yet.
			incoming[machineOffer{h.Type, h.Zone, h.Spot}]++
		}
	}
	for id := range as.c.agents.LoanedMachines() {
		if h, listed := f.listedMachines[id]; listed && (accounted[id] || h.AgeSeconds > slowBootFactor*as.core.BootSeconds(h.Type)) && as.c.agents.LoanInTransit(id) {
			incoming[machineOffer{h.Type, h.Zone, h.Spot}]++
		}
	}
	for id, r := range f.provisioned {
		if _, listed := f.listedMachines[id]; !listed && !accounted[id] && f.deletedAt[id] == 0 {
			if m := as.core.Machines[id]; m == nil || m.LastHeartbeat == 0 {
				incoming[r.machineOffer]++
			}
		}
	}
	return incoming
}

// requestMachines asks the cloud for machines.
func (as *Autoscaler) requestMachines(owned *core.OwnedPartition, o machineOffer, count int) {
	f := &as.fleet
	f.requestCount++
	r := &api.ScaleOutRequest{Name: fmt.Sprintf("r-%d-%d", owned.Term, f.requestCount), Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: count}
	f.scaleOutInFlight = true
	begun := as.core.Now
	as.core.CallCloud(message.CloudCall{Create: r}, func(a message.CloudResponse) {
		f.scaleOutInFlight = false
		switch {
		case a.Status == 200:
		case a.NoCapacity:
			f.offerBackoff[o] = as.core.Now.Add(20 * time.Second)
			return
		case a.Status == 0:
			// The name is not used again: should the request be carried out late, its
			// machines show up by themselves. The list may show them meanwhile.
			f.nextScaleOut = as.core.Now.Add(max(time.Second, api.Seconds(as.core.Config.Deployment.Cloud.ListLag)))
			return
		default:
			f.nextScaleOut = as.core.Now.Add(time.Second)
			return
		}
		if r.Count == maxScaleOutBatch {
			f.nextScaleOut = begun.Add(as.core.CloudCallInterval * 2 / 3) // a ramp: half of the calls
		}
		slog.Info("machines provisioned", "type", o.machineType, "zone", o.zone, "spot", o.spot, "asked", r.Count, "got", len(a.Machines))
		if len(a.Machines) < r.Count {
			f.offerBackoff[o] = as.core.Now.Add(20 * time.Second)
		}
		for _, id := range a.Machines {
			f.provisioned[id] = provisionedMachine{o, as.core.Now}
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
func (as *Autoscaler) mayProbeZone(name api.Zone, need, incoming map[machineOffer]int) bool {
	if s := as.c.health.Observation(name); as.c.health.ZoneState(name) != zonehealth.Recovering || s.All > 0 {
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
func (as *Autoscaler) totalCapacitySlots(s *api.JobSpec) int {
	slots := 0
	for _, c := range as.c.jobs.TotalSlotsByPartition(s) {
		slots += c
	}
	return slots
}

// cheapestOffer finds the offer with the lowest price for one task of the job, in a zone
// that is open to it.
func (as *Autoscaler) cheapestOffer(s *api.JobSpec, needed, incoming map[machineOffer]int, open func(api.Zone) bool) (machineOffer, bool) {
	demand, cpuOnly := s.Demand(), as.core.IsCPUOnly(s)
	var best machineOffer
	bestPrice := 0.0
	for _, name := range slices.Sorted(maps.Keys(as.core.MachineTypes)) {
		typ := as.core.MachineTypes[name]
		slots := demand.Slots(typ.Capacity())
		if slots == 0 || cpuOnly && typ.GPUs > 0 {
			continue
		}
		zones := typ.Zones
		if len(zones) == 0 {
			zones = as.core.Config.Deployment.Zones
		}
		for _, z := range zones {
			for _, spot := range []bool{true, false} {
				o := machineOffer{name, z, spot}
				if !open(z) || !sched.Feasible(s, name, z, spot) || as.fleet.offerBackoff[o] > as.core.Now || as.c.health.ZoneUnavailable(z) || !as.mayProbeZone(z, needed, incoming) {
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

func newAutoscaler(c *Controller) *Autoscaler {
	seed := core.HashPartition(api.MachineID(c.core.Config.Label), 1<<30)
	as := &Autoscaler{core: c.core, c: c, rng: rand.New(rand.NewPCG(uint64(c.core.Incarnation), uint64(seed)))}
	as.fleet.init()
	return as
}

// IsDeleted reports whether a machine was deleted, by the cloud's word.
func (as *Autoscaler) IsDeleted(id api.MachineID) bool { return as.fleet.deletedAt[id] != 0 }

// ListedMachine is a machine as the cloud's list shows it.
func (as *Autoscaler) ListedMachine(id api.MachineID) (api.Instance, bool) {
	listed, ok := as.fleet.listedMachines[id]
	return listed, ok
}

// ListedZone is a machine's zone by the cloud's list, empty if it is not listed.
func (as *Autoscaler) ListedZone(id api.MachineID) api.Zone { return as.fleet.listedMachines[id].Zone }

// ListedMachineIDs are the machines of the cloud's list, in order.
func (as *Autoscaler) ListedMachineIDs() []api.MachineID { return as.fleet.listedOrder }

// ListedAt is when the last whole list was had, 0 if none was.
func (as *Autoscaler) ListedAt() api.Time { return as.fleet.listedAt }

// ProvisionedNotListed are machines that were provisioned and the list does not show yet.
func (as *Autoscaler) ProvisionedNotListed() []message.RecentScaleOut {
	return as.fleet.provisionedNotListed()
}

// NoteProvisioned notes a machine that another controller has provisioned.
func (as *Autoscaler) NoteProvisioned(id api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	if _, known := as.fleet.provisioned[id]; !known {
		as.fleet.provisioned[id] = provisionedMachine{machineOffer{typ, zone, spot}, as.core.Now}
	}
}

// SpotLossRate is how often a spot machine is reclaimed, per second, as seen of late.
func (as *Autoscaler) SpotLossRate() float64 { return as.fleet.spotLossRate() }
