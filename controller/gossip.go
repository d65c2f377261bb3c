package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/relay"
)

// Gossiper exchanges the status of partitions with the other controllers.
type Gossiper struct {
	core *core.Core
	c    *Controller

	peers        map[api.ControllerID]*peerStatus
	nextGossipAt api.Time
	gossipNumber uint64
	lastGossipAt api.Time // when news was last told
}

// SendGossip tells the others about our parts. Of many controllers most tell a relay, and relays pass
// on what they were told, so that the messages grow with the controllers and not with their square.
func (gs *Gossiper) SendGossip() {
	// News is believed for some seconds: a controller that is behind tells less often.
	if gs.core.Now < gs.nextGossipAt || gs.core.Overloaded() && gs.core.Now < gs.nextGossipAt.Add(4*core.GossipInterval) {
		return
	}
	previousGossipAt := gs.lastGossipAt
	gs.nextGossipAt, gs.lastGossipAt = gs.core.Now.Add(core.GossipInterval), gs.core.Now
	gs.c.agents.ExpireRedirects()
	gs.gossipNumber++
	g := &message.Gossip{From: gs.core.Config.Label, Born: gs.core.Incarnation, Number: gs.gossipNumber, StateOK: !gs.core.StoreUnreachable()}
	for _, p := range slices.Sorted(maps.Keys(gs.core.Partitions)) {
		g.Parts = append(g.Parts, gs.partitionStatus(gs.core.Partitions[p]))
		gs.recordDemand(p, gs.core.Partitions[p].QuotaDemand)
	}
	if gs.core.Partitions[0] != nil {
		g.Rented = gs.c.autoscaler.ProvisionedNotListed()
	}
	if !gs.c.follower.UsesRelays() {
		gs.gossipTo(slices.Sorted(maps.Keys(gs.peers)), g)
		return
	}
	gs.gossipThroughRelays(g, previousGossipAt)
}

// gossipThroughRelays tells our news where there are relays: to one, if we are none, else to the other
// relays with what controllers that are none have told us since the last time, and to those
// controllers with all that we were told.
func (gs *Gossiper) gossipThroughRelays(ownGossip *message.Gossip, since api.Time) {
	relays := gs.c.follower.CurrentRelays()
	if !isRelay(relays, gs.core.Config.Label) {
		targets := slices.Sorted(maps.Keys(gs.peers)) // no relay answers
		if via := gs.c.follower.NextRelay(); via != "" {
			targets = []api.ControllerID{via}
		}
		gs.gossipTo(targets, ownGossip)
		return
	}
	toRelays, toOthers := *ownGossip, *ownGossip
	var others []api.ControllerID
	for _, l := range slices.Sorted(maps.Keys(gs.peers)) {
		if !isRelay(relays, l) {
			others = append(others, l)
		}
		p := gs.peers[l]
		if p.receivedAt == 0 || p.receivedAt < since {
			continue
		}
		forwarded := p.gossip
		toOthers.Passed = append(toOthers.Passed, &forwarded)
		if p.receivedDirectly && !isRelay(relays, l) {
			toRelays.Passed = append(toRelays.Passed, &forwarded)
		}
	}
	var peers []api.ControllerID
	for _, r := range relays {
		if r.ID != gs.core.Config.Label {
			peers = append(peers, r.ID)
		}
	}
	gs.gossipTo(peers, &toRelays)
	gs.gossipTo(gs.relayClients(relays, others), &toOthers)
}

// relayClients are the controllers that we tell as a relay: those that ask us first, and those that
// are not known to live, of which nobody knows whom they ask.
func (gs *Gossiper) relayClients(relays []relay.Member, others []api.ControllerID) []api.ControllerID {
	return slices.DeleteFunc(others, func(l api.ControllerID) bool {
		order := relay.PreferenceOrder(relay.Member{ID: l, Zone: gs.c.follower.ZoneOfController(l)}, relays)
		contactsUs := gs.peers[l].receivedDirectly && gs.peers[l].recent(gs.core.Now) // it has chosen us, though others come first
		return gs.core.IsLive(l) && order[0] != gs.core.Config.Label && !contactsUs
	})
}

// gossipTo sends news to peers, none of which is told twice at a time.
func (gs *Gossiper) gossipTo(targets []api.ControllerID, g *message.Gossip) {
	for _, l := range targets {
		p := gs.peers[l]
		if p == nil || p.sendInFlight {
			continue
		}
		p.sendInFlight = true
		gs.core.CallPeer(l, core.PeerTimeout, message.PeerMessage{Gossip: g}, func(a message.PeerResponse) {
			p.sendInFlight = false
			if !a.OK && gs.c.follower.UsesRelays() {
				gs.c.follower.MarkRelayFailed(l)
			}
		})
	}
}

// HandleGossip takes in another controller's news, and what it passes on as a relay.
func (gs *Gossiper) HandleGossip(c message.PeerGossip) {
	if gs.peers[c.Gossip.From] == nil {
		gs.RejectMalformed(c.Req, string(c.Gossip.From))
		return
	}
	gs.mergeGossip(c.Gossip, true)
	for _, g := range c.Gossip.Passed {
		gs.mergeGossip(g, false)
	}
	gs.core.Reply(c.Req, 200, struct{}{}, 0)
}

// mergeGossip takes in what a controller tells of itself, unless it has told something newer.
func (gs *Gossiper) mergeGossip(g *message.Gossip, direct bool) {
	p := gs.peers[g.From]
	if p == nil {
		return
	}
	if g.Born == p.gossip.Born && g.Number != 0 && g.Number <= p.gossip.Number {
		return // known, or older
	}
	if g.Born != p.gossip.Born && !direct && p.receivedDirectly && p.recent(gs.core.Now) {
		return // of a former life of its process
	}
	p.gossip, p.receivedAt, p.receivedDirectly = *g, gs.core.Now, direct
	p.gossip.Passed = nil
	for _, r := range g.Rented {
		for _, id := range r.Machines {
			gs.c.autoscaler.NoteProvisioned(id, r.Type, r.Zone, r.Spot)
		}
	}
	for _, status := range g.Parts {
		gs.recordDemand(status.Part, status.Want)
	}
}

// partitionStatus describes one of our parts to the others: machines that are alike are
// counted, since there may be very many.
func (gs *Gossiper) partitionStatus(owned *core.OwnedPartition) message.PartitionStatus {
	status := message.PartitionStatus{Part: owned.ID, Want: owned.QuotaDemand, Due: owned.MustStartQuotaDemand, Starved: owned.QuotaStarvedDemand, Short: slices.Sorted(maps.Keys(owned.ShortTypes)), Spare: gs.core.RemainingQuota(owned.ID), Waiting: owned.PendingTaskCount, Lack: owned.UnmetDemands,
		Accelerated: gs.c.autoscaler.CountAccelerators(owned.ID), Zones: gs.c.health.SilentByZone(owned)}
	classIndex := map[message.MachineClass]int{}
	capacityIndex := map[message.FreeCapacity]int{}
	for _, m := range gs.c.agents.MachinesOf(owned.ID) {
		if m.LastHeartbeat == 0 || m.Deleting {
			continue
		}
		if gs.core.Now.Sub(m.LastHeartbeat) > gs.core.HeartbeatTimeout {
			if len(status.Silent) < message.MaxSilentMachines {
				status.Silent = append(status.Silent, m.ID)
			}
		}
		if gs.core.Now.Sub(m.FirstHeartbeat) < max(time.Minute, api.Seconds(2*gs.core.BootSeconds(m.MachineType))) && len(status.Fresh) < message.MaxSilentMachines {
			status.Fresh = append(status.Fresh, m.ID)
		}
		class := gs.machineClassOf(m, owned)
		i, ok := classIndex[class]
		if !ok {
			i = len(status.Kinds)
			classIndex[class] = i
			status.Kinds = append(status.Kinds, class)
		}
		capacity := message.FreeCapacity{Kind: i}
		if class.Usable {
			capacity.Free, capacity.Could = gs.c.scheduler.FreeCapacityOn(m, owned), gs.PreemptibleCapacity(m, owned)
		}
		j, ok := capacityIndex[capacity]
		if !ok {
			j = len(status.Rooms)
			capacityIndex[capacity] = j
			status.Rooms = append(status.Rooms, capacity)
		}
		status.Rooms[j].Count++
	}
	return status
}

// preemptorRank is the rank from which on work has the rest make way when parts
// are compared.
var preemptorRank = api.High.Rank()

// PreemptibleCapacity is what would be free on a machine if all work below urgentRank made
// way.
func (gs *Gossiper) PreemptibleCapacity(m *core.Machine, owned *core.OwnedPartition) api.Resources {
	return gs.withPreemptibleFreed(m.ID, gs.c.scheduler.FreeCapacityOn(m, owned))
}

func (gs *Gossiper) withPreemptibleFreed(id api.MachineID, free api.Resources) api.Resources {
	capacity := free
	for _, p := range gs.core.State.PlacementsOn(id) {
		if !p.Finishing && p.Job.Spec.Kind != api.Gang && p.Job.Spec.Priority.Rank() < preemptorRank && gs.c.health.IsPreemptible(p) {
			capacity = capacity.Plus(p.Job.Demand)
		}
	}
	return capacity
}

func (gs *Gossiper) machineClassOf(m *core.Machine, owned *core.OwnedPartition) message.MachineClass {
	reason := gs.c.eligibility.UnschedulableReason(m, owned)
	reserved := m.Consolidated && gs.c.preemptor.ReservedFor(m) != "" // its room is spoken for
	return message.MachineClass{Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Usable: (reason == core.Schedulable || reason == core.ReasonTokenNotAnnounced) && !reserved, Closed: m.ScaleInCandidate}
}

// RejectMalformed refuses a message that is not understood or comes from nobody we know: it changes
// nothing but a count.
func (gs *Gossiper) RejectMalformed(req message.ReqID, from string) {
	gs.core.Metrics.MalformedMessages++
	slog.Warn("invalid peer message", "from", from)
	gs.core.ReplyError(req, 400, "malformed")
}

// recordDemand has our other parts run a round in which they may give of their shares.
func (gs *Gossiper) recordDemand(by api.PartitionID, demand map[api.Team]api.Resources) {
	if len(demand) == 0 {
		return
	}
	for p, owned := range gs.core.Partitions {
		owned.Dirty = owned.Dirty || p != by
	}
}

// EachFreeCapacity visits the machines of all parts by what is free on them: others' as
// their owners tell, a number that are alike at once.
func (gs *Gossiper) EachFreeCapacity(visit func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity)) {
	for _, p := range slices.Sorted(maps.Keys(gs.core.Partitions)) {
		owned := gs.core.Partitions[p]
		for _, m := range gs.c.agents.MachinesOf(p) {
			if m.LastHeartbeat == 0 || m.Deleting {
				continue
			}
			class, capacity := gs.machineClassOf(m, owned), message.FreeCapacity{Count: 1}
			if class.Usable {
				capacity.Free, capacity.Could = gs.c.scheduler.FreeCapacityOn(m, owned), gs.PreemptibleCapacity(m, owned)
			}
			visit(p, class, capacity)
		}
	}
	for _, status := range gs.PeerPartitionStatuses() {
		for _, capacity := range status.Rooms {
			if capacity.Kind >= 0 && capacity.Kind < len(status.Kinds) {
				visit(status.Part, status.Kinds[capacity.Kind], capacity)
			}
		}
	}
	gs.EachUnreportedMachine(func(p api.PartitionID, h api.Instance) {
		free := gs.core.MachineTypes[h.Type].Capacity().Minus(gs.core.State.Allocated(h.ID))
		visit(p, message.MachineClass{Type: h.Type, Zone: h.Zone, Spot: h.Spot, Usable: true, Closed: false}, message.FreeCapacity{Count: 1, Free: free, Could: gs.withPreemptibleFreed(h.ID, free)})
	})
}

// EachUnreportedMachine visits the machines that are up but that nobody tells of, as the list
// has them: those of parts whose owners have not been heard lately, and ours that
// have not reported since we took them over. What they hold is in the book. Without
// them a cut between controllers or a takeover would look like a loss of machines.
func (gs *Gossiper) EachUnreportedMachine(visit func(p api.PartitionID, h api.Instance)) {
	reported := make([]bool, len(gs.core.State.Partitions))
	allReported := true
	for _, status := range gs.PeerPartitionStatuses() {
		reported[status.Part] = true
	}
	for p := range reported {
		owned := gs.core.Partitions[api.PartitionID(p)]
		reported[p] = reported[p] || owned != nil && gs.core.Now.Sub(owned.OwnedSince) > gs.core.HeartbeatTimeout
		allReported = allReported && reported[p]
	}
	if allReported {
		return
	}
	for _, id := range gs.c.autoscaler.ListedMachineIDs() {
		h, listed := gs.c.autoscaler.ListedMachine(id)
		if !listed || h.State != api.MachineRunning || gs.core.MachineTypes[h.Type] == nil || gs.c.autoscaler.IsDeleted(id) {
			continue
		}
		p := gs.core.PartitionOf(id)
		if reported[p] {
			continue
		}
		if m := gs.core.Machines[id]; gs.core.Partitions[p] != nil && m != nil && (m.LastHeartbeat != 0 || m.Deleting) {
			continue // told of as ours
		}
		visit(p, h)
	}
}

// PeerPartitionStatuses is what the owners of parts that are not ours have lately told.
func (gs *Gossiper) PeerPartitionStatuses() []message.PartitionStatus {
	var out []message.PartitionStatus
	for _, l := range slices.Sorted(maps.Keys(gs.peers)) {
		out = append(out, gs.PartitionStatusesOf(l)...)
	}
	return out
}

// PartitionStatusesOf is what a peer has lately told of the parts that it owns.
func (gs *Gossiper) PartitionStatusesOf(l api.ControllerID) []message.PartitionStatus {
	var out []message.PartitionStatus
	p := gs.peers[l]
	if !p.recent(gs.core.Now) {
		return nil
	}
	for _, status := range p.gossip.Parts {
		if int(status.Part) < len(gs.core.State.Partitions) && status.Part >= 0 && gs.core.State.Partitions[status.Part].Owner == l {
			out = append(out, status)
		}
	}
	return out
}

// OtherPartitionStatuses is what is known of all parts but one.
func (gs *Gossiper) OtherPartitionStatuses(owned *core.OwnedPartition) []message.PartitionStatus {
	out := gs.PeerPartitionStatuses()
	for _, p := range slices.Sorted(maps.Keys(gs.core.Partitions)) {
		if other := gs.core.Partitions[p]; other != owned {
			out = append(out, message.PartitionStatus{Part: p, Want: other.QuotaDemand, Due: other.MustStartQuotaDemand, Starved: other.QuotaStarvedDemand, Lack: other.UnmetDemands})
		}
	}
	return out
}

func newGossiper(c *Controller) *Gossiper {
	gs := &Gossiper{core: c.core, c: c, peers: map[api.ControllerID]*peerStatus{}}
	for _, p := range c.core.Config.Peers {
		gs.peers[p.Label] = &peerStatus{}
	}
	return gs
}

// Peers are the other controllers, in order.
func (gs *Gossiper) Peers() []api.ControllerID { return slices.Sorted(maps.Keys(gs.peers)) }

// IsPeer reports whether a controller is one of the others.
func (gs *Gossiper) IsPeer(id api.ControllerID) bool { return gs.peers[id] != nil }

// HeardRecently reports whether what a controller told last is still worth believing.
func (gs *Gossiper) HeardRecently(id api.ControllerID) bool {
	p := gs.peers[id]
	return p != nil && p.recent(gs.core.Now)
}

// PeersThatReachStore are the controllers that lately told that the key-value store answers them.
func (gs *Gossiper) PeersThatReachStore() []api.ControllerID {
	var out []api.ControllerID
	for _, id := range gs.Peers() {
		p := gs.peers[id]
		if p.gossip.StateOK && p.receivedAt != 0 && gs.core.Now.Sub(p.receivedAt) < 3*core.GossipInterval {
			out = append(out, id)
		}
	}
	return out
}

// ReportsSilent reports whether a machine's owner says that it gets no heartbeat from it.
func (gs *Gossiper) ReportsSilent(owner api.ControllerID, id api.MachineID) bool {
	if !gs.HeardRecently(owner) {
		return false
	}
	for _, status := range gs.peers[owner].gossip.Parts {
		if slices.Contains(status.Silent, id) {
			return true
		}
	}
	return false
}
