package gossip

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/relay"
)

// This file sends this controller's gossip: to all peers or, if relays are in use, to a relay that
// forwards it. With relays, the number of messages grows linearly with the number of controllers.

// overloadFactor multiplies the gossip interval of an overloaded controller; the product stays below
// gossipTTL.
const overloadFactor = 5

// Send sends this controller's gossip if it is due.
func (x *Exchange) Send() {
	if x.core.Now < x.nextSendAt || x.core.Overloaded() && x.core.Now < x.nextSendAt.Add((overloadFactor-1)*core.GossipInterval) {
		return
	}
	previouslySentAt := x.lastSentAt
	x.nextSendAt, x.lastSentAt = x.core.Now.Add(core.GossipInterval), x.core.Now
	x.deps.Agents.ExpireRedirects()
	own := x.ownGossip()
	if x.deps.Log.UsesRelays() {
		x.sendThroughRelays(own, previouslySentAt)
	} else {
		x.sendTo(x.Peers(), own)
	}
}

// ownGossip returns the next gossip of this controller.
func (x *Exchange) ownGossip() *message.Gossip {
	x.lastNumber++
	own := &message.Gossip{
		From: x.core.Config.Label, Born: x.core.Incarnation, Number: x.lastNumber,
		StateOK: !x.core.StoreUnreachable(),
	}
	for _, p := range slices.Sorted(maps.Keys(x.core.Partitions)) {
		owned := x.core.Partitions[p]
		own.Parts = append(own.Parts, x.partitionStatus(owned))
		x.recordDemand(p, owned.QuotaDemand)
	}
	if x.core.Partitions[0] != nil { // the owner of partition 0 scales out the whole cluster
		own.Rented = x.deps.Inventory.ProvisionedNotListed()
	}
	return own
}

// sendThroughRelays sends this controller's gossip if relays are in use. A controller that is not a
// relay sends it to one. A relay sends it to the other relays together with the gossip that its clients
// have sent since its last gossip, and to its clients together with all gossip received since then.
func (x *Exchange) sendThroughRelays(own *message.Gossip, since api.Time) {
	relays := x.deps.Log.CurrentRelays()
	if !relay.Contains(relays, x.core.Config.Label) {
		x.sendToRelay(own)
		return
	}
	toRelays, toClients := *own, *own
	var nonRelays []api.ControllerID
	for _, id := range x.Peers() {
		isRelay := relay.Contains(relays, id)
		if !isRelay {
			nonRelays = append(nonRelays, id)
		}
		p := x.peers[id]
		if p.receivedAt == 0 || p.receivedAt < since {
			continue
		}
		forwarded := p.gossip
		toClients.Passed = append(toClients.Passed, &forwarded)
		if p.receivedDirectly && !isRelay {
			toRelays.Passed = append(toRelays.Passed, &forwarded)
		}
	}
	x.sendTo(x.otherRelays(relays), &toRelays)
	x.sendTo(x.ownClients(relays, nonRelays), &toClients)
}

// sendToRelay sends gossip to this controller's relay, or to all peers if no relay is available.
func (x *Exchange) sendToRelay(own *message.Gossip) {
	targets := x.Peers()
	if via := x.deps.Log.NextRelay(); via != "" {
		targets = []api.ControllerID{via}
	}
	x.sendTo(targets, own)
}

// otherRelays returns the relays except this controller.
func (x *Exchange) otherRelays(relays []relay.Member) []api.ControllerID {
	var others []api.ControllerID
	for _, r := range relays {
		if r.ID != x.core.Config.Label {
			others = append(others, r.ID)
		}
	}
	return others
}

// ownClients returns the controllers that this one serves as a relay: those that prefer it or use it,
// and those that are not known to be live, since it is unknown which relay they use.
func (x *Exchange) ownClients(relays []relay.Member, nonRelays []api.ControllerID) []api.ControllerID {
	return slices.DeleteFunc(nonRelays, func(id api.ControllerID) bool {
		member := relay.Member{ID: id, Zone: x.deps.Log.ZoneOfController(id)}
		prefersSelf := relay.PreferenceOrder(member, relays)[0] == x.core.Config.Label
		usesSelf := x.peers[id].receivedDirectly && x.peers[id].recent(x.core.Now)
		return x.core.IsLive(id) && !prefersSelf && !usesSelf
	})
}

// sendTo sends gossip to the given peers, except those with a message still in flight.
func (x *Exchange) sendTo(targets []api.ControllerID, g *message.Gossip) {
	for _, id := range targets {
		p := x.peers[id]
		if p == nil || p.sendInFlight {
			continue
		}
		p.sendInFlight = true
		x.core.CallPeer(id, core.PeerTimeout, message.PeerMessage{Gossip: g}, func(response message.PeerResponse) {
			p.sendInFlight = false
			if !response.OK && x.deps.Log.UsesRelays() {
				x.deps.Log.MarkRelayFailed(id)
			}
		})
	}
}
