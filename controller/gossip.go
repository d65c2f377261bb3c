package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/relay"
)

// sendGossip tells the others about our parts. Of many controllers most tell a relay, and relays pass
// on what they were told, so that the messages grow with the controllers and not with their square.
func (n *Controller) sendGossip() {
	// News is believed for some seconds: a controller that is behind tells less often.
	if n.now < n.nextGossipAt || n.overloaded() && n.now < n.nextGossipAt.Add(4*gossipInterval) {
		return
	}
	previousGossipAt := n.lastGossipAt
	n.nextGossipAt, n.lastGossipAt = n.now.Add(gossipInterval), n.now
	for id, r := range n.redirects {
		if n.now.Sub(r.at) > n.redirectTTL {
			delete(n.redirects, id)
		}
	}
	n.gossipNumber++
	g := &Gossip{From: n.config.Label, Born: n.incarnation, Number: n.gossipNumber, StateOK: !n.storeUnreachable()}
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		g.Parts = append(g.Parts, n.partitionStatus(n.partitions[p]))
		n.recordDemand(p, n.partitions[p].quotaDemand)
	}
	if n.partitions[0] != nil {
		g.Rented = n.fleet.provisionedNotListed()
	}
	if !n.usesRelays() {
		n.gossipTo(slices.Sorted(maps.Keys(n.peers)), g)
		return
	}
	n.gossipThroughRelays(g, previousGossipAt)
}

// gossipThroughRelays tells our news where there are relays: to one, if we are none, else to the other
// relays with what controllers that are none have told us since the last time, and to those
// controllers with all that we were told.
func (n *Controller) gossipThroughRelays(ownGossip *Gossip, since api.Time) {
	relays := n.currentRelays()
	if !isRelay(relays, n.config.Label) {
		targets := slices.Sorted(maps.Keys(n.peers)) // no relay answers
		if via := n.nextRelay(); via != "" {
			targets = []api.ControllerID{via}
		}
		n.gossipTo(targets, ownGossip)
		return
	}
	toRelays, toOthers := *ownGossip, *ownGossip
	var others []api.ControllerID
	for _, l := range slices.Sorted(maps.Keys(n.peers)) {
		if !isRelay(relays, l) {
			others = append(others, l)
		}
		p := n.peers[l]
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
		if r.ID != n.config.Label {
			peers = append(peers, r.ID)
		}
	}
	n.gossipTo(peers, &toRelays)
	n.gossipTo(n.relayClients(relays, others), &toOthers)
}

// relayClients are the controllers that we tell as a relay: those that ask us first, and those that
// are not known to live, of which nobody knows whom they ask.
func (n *Controller) relayClients(relays []relay.Member, others []api.ControllerID) []api.ControllerID {
	return slices.DeleteFunc(others, func(l api.ControllerID) bool {
		order := relay.PreferenceOrder(relay.Member{ID: l, Zone: n.zoneOfController(l)}, relays)
		contactsUs := n.peers[l].receivedDirectly && n.peers[l].recent(n.now) // it has chosen us, though others come first
		return n.isLive(l) && order[0] != n.config.Label && !contactsUs
	})
}

// gossipTo sends news to peers, none of which is told twice at a time.
func (n *Controller) gossipTo(targets []api.ControllerID, g *Gossip) {
	for _, l := range targets {
		p := n.peers[l]
		if p == nil || p.sendInFlight {
			continue
		}
		p.sendInFlight = true
		n.callPeer(l, peerTimeout, PeerMessage{Gossip: g}, func(a PeerResponse) {
			p.sendInFlight = false
			if !a.OK && n.usesRelays() {
				n.relayLink.MarkFailed(l, n.now)
			}
		})
	}
}

// handleGossip takes in another controller's news, and what it passes on as a relay.
func (n *Controller) handleGossip(c PeerGossip) {
	if n.peers[c.Gossip.From] == nil {
		n.rejectMalformed(c.Req, string(c.Gossip.From))
		return
	}
	n.mergeGossip(c.Gossip, true)
	for _, g := range c.Gossip.Passed {
		n.mergeGossip(g, false)
	}
	n.reply(c.Req, 200, struct{}{}, 0)
}

// mergeGossip takes in what a controller tells of itself, unless it has told something newer.
func (n *Controller) mergeGossip(g *Gossip, direct bool) {
	p := n.peers[g.From]
	if p == nil {
		return
	}
	if g.Born == p.gossip.Born && g.Number != 0 && g.Number <= p.gossip.Number {
		return // known, or older
	}
	if g.Born != p.gossip.Born && !direct && p.receivedDirectly && p.recent(n.now) {
		return // of a former life of its process
	}
	p.gossip, p.receivedAt, p.receivedDirectly = *g, n.now, direct
	p.gossip.Passed = nil
	for _, r := range g.Rented {
		for _, id := range r.Machines {
			if _, known := n.fleet.provisioned[id]; !known {
				n.fleet.provisioned[id] = provisionedMachine{machineOffer{r.Type, r.Zone, r.Spot}, n.now}
			}
		}
	}
	for _, status := range g.Parts {
		n.recordDemand(status.Part, status.Want)
	}
}

// partitionStatus describes one of our parts to the others: machines that are alike are
// counted, since there may be very many.
func (n *Controller) partitionStatus(owned *ownedPartition) PartitionStatus {
	status := PartitionStatus{Part: owned.id, Want: owned.quotaDemand, Due: owned.mustStartQuotaDemand, Starved: owned.quotaStarvedDemand, Short: slices.Sorted(maps.Keys(owned.shortTypes)), Spare: n.remainingQuota(owned.id), Waiting: owned.pendingTaskCount, Lack: owned.unmetDemands,
		Accelerated: n.countAccelerators(owned.id), Zones: n.silentByZone(owned)}
	classIndex := map[MachineClass]int{}
	capacityIndex := map[FreeCapacity]int{}
	for _, m := range n.machinesOf(owned.id) {
		if m.lastHeartbeat == 0 || m.deleting {
			continue
		}
		if n.now.Sub(m.lastHeartbeat) > n.heartbeatTimeout {
			if len(status.Silent) < maxSilentMachines {
				status.Silent = append(status.Silent, m.ID)
			}
		}
		if n.now.Sub(m.firstHeartbeat) < max(time.Minute, api.Seconds(2*n.bootSeconds(m.machineType))) && len(status.Fresh) < maxSilentMachines {
			status.Fresh = append(status.Fresh, m.ID)
		}
		class := n.machineClassOf(m, owned)
		i, ok := classIndex[class]
		if !ok {
			i = len(status.Kinds)
			classIndex[class] = i
			status.Kinds = append(status.Kinds, class)
		}
		capacity := FreeCapacity{Kind: i}
		if class.Usable {
			capacity.Free, capacity.Could = n.freeCapacityOn(m, owned), n.preemptibleCapacity(m, owned)
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

// preemptibleCapacity is what would be free on a machine if all work below urgentRank made
// way.
func (n *Controller) preemptibleCapacity(m *Machine, owned *ownedPartition) api.Resources {
	return n.withPreemptibleFreed(m.ID, n.freeCapacityOn(m, owned))
}

func (n *Controller) withPreemptibleFreed(id api.MachineID, free api.Resources) api.Resources {
	capacity := free
	for _, p := range n.state.PlacementsOn(id) {
		if !p.Finishing && p.Job.Spec.Kind != api.Gang && p.Job.Spec.Priority.Rank() < preemptorRank && n.isPreemptible(p) {
			capacity = capacity.Plus(p.Job.Demand)
		}
	}
	return capacity
}

func (n *Controller) machineClassOf(m *Machine, owned *ownedPartition) MachineClass {
	reason := n.unschedulableReason(m, owned)
	reserved := m.consolidated && n.reservedFor(m) != "" // its room is spoken for
	return MachineClass{m.machineType, m.zone, m.spot, (reason == "" || reason == tokenNotAnnounced) && !reserved, m.scaleInCandidate}
}

// rejectMalformed refuses a message that is not understood or comes from nobody we know: it changes
// nothing but a count.
func (n *Controller) rejectMalformed(req ReqID, from string) {
	n.metrics.MalformedMessages++
	slog.Warn("invalid peer message", "from", from)
	n.replyError(req, 400, "malformed")
}

// recordDemand has our other parts run a round in which they may give of their shares.
func (n *Controller) recordDemand(by api.PartitionID, demand map[api.Team]api.Resources) {
	if len(demand) == 0 {
		return
	}
	for p, owned := range n.partitions {
		owned.dirty = owned.dirty || p != by
	}
}

// eachFreeCapacity visits the machines of all parts by what is free on them: others' as
// their owners tell, a number that are alike at once.
func (n *Controller) eachFreeCapacity(visit func(p api.PartitionID, class MachineClass, capacity FreeCapacity)) {
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		owned := n.partitions[p]
		for _, m := range n.machinesOf(p) {
			if m.lastHeartbeat == 0 || m.deleting {
				continue
			}
			class, capacity := n.machineClassOf(m, owned), FreeCapacity{Count: 1}
			if class.Usable {
				capacity.Free, capacity.Could = n.freeCapacityOn(m, owned), n.preemptibleCapacity(m, owned)
			}
			visit(p, class, capacity)
		}
	}
	for _, status := range n.peerPartitionStatuses() {
		for _, capacity := range status.Rooms {
			if capacity.Kind >= 0 && capacity.Kind < len(status.Kinds) {
				visit(status.Part, status.Kinds[capacity.Kind], capacity)
			}
		}
	}
	n.eachUnreportedMachine(func(p api.PartitionID, h api.Instance) {
		free := n.machineTypes[h.Type].Capacity().Minus(n.state.Allocated(h.ID))
		visit(p, MachineClass{h.Type, h.Zone, h.Spot, true, false}, FreeCapacity{Count: 1, Free: free, Could: n.withPreemptibleFreed(h.ID, free)})
	})
}

// eachUnreportedMachine visits the machines that are up but that nobody tells of, as the list
// has them: those of parts whose owners have not been heard lately, and ours that
// have not reported since we took them over. What they hold is in the book. Without
// them a cut between controllers or a takeover would look like a loss of machines.
func (n *Controller) eachUnreportedMachine(visit func(p api.PartitionID, h api.Instance)) {
	reported := make([]bool, len(n.state.Partitions))
	allReported := true
	for _, status := range n.peerPartitionStatuses() {
		reported[status.Part] = true
	}
	for p := range reported {
		owned := n.partitions[api.PartitionID(p)]
		reported[p] = reported[p] || owned != nil && n.now.Sub(owned.ownedSince) > n.heartbeatTimeout
		allReported = allReported && reported[p]
	}
	if allReported {
		return
	}
	for _, id := range n.fleet.listedOrder {
		h, listed := n.fleet.listedMachines[id]
		if !listed || h.State != api.MachineRunning || n.machineTypes[h.Type] == nil || n.fleet.deletedAt[id] != 0 {
			continue
		}
		p := n.partitionOf(id)
		if reported[p] {
			continue
		}
		if m := n.machines[id]; n.partitions[p] != nil && m != nil && (m.lastHeartbeat != 0 || m.deleting) {
			continue // told of as ours
		}
		visit(p, h)
	}
}

// peerPartitionStatuses is what the owners of parts that are not ours have lately told.
func (n *Controller) peerPartitionStatuses() []PartitionStatus {
	var out []PartitionStatus
	for _, l := range slices.Sorted(maps.Keys(n.peers)) {
		out = append(out, n.partitionStatusesOf(l)...)
	}
	return out
}

// partitionStatusesOf is what a peer has lately told of the parts that it owns.
func (n *Controller) partitionStatusesOf(l api.ControllerID) []PartitionStatus {
	var out []PartitionStatus
	p := n.peers[l]
	if !p.recent(n.now) {
		return nil
	}
	for _, status := range p.gossip.Parts {
		if int(status.Part) < len(n.state.Partitions) && status.Part >= 0 && n.state.Partitions[status.Part].Owner == l {
			out = append(out, status)
		}
	}
	return out
}

// otherPartitionStatuses is what is known of all parts but one.
func (n *Controller) otherPartitionStatuses(owned *ownedPartition) []PartitionStatus {
	out := n.peerPartitionStatuses()
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		if other := n.partitions[p]; other != owned {
			out = append(out, PartitionStatus{Part: p, Want: other.quotaDemand, Due: other.mustStartQuotaDemand, Starved: other.quotaStarvedDemand, Lack: other.unmetDemands})
		}
	}
	return out
}
