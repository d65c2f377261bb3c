// Package gossip exchanges the status of partitions with the other controllers.
//
// Every controller sends what it knows of its own partitions: unmet demand, remaining quota, machines
// by class and free capacity. The package owns the latest gossip of each peer, and answers what is
// free in the whole cluster from it. Gossip is advice only: nothing that safety needs rests on it, it
// may be old, and it is disregarded after a few seconds.
package gossip

import (
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	// gossipTTL is how long a peer's gossip is trusted.
	gossipTTL = 10 * core.GossipInterval
	// storeStatusTTL is how long it is trusted that the key-value store answers a peer: a request
	// that is forwarded to one that has lost the store as well is delayed for nothing.
	storeStatusTTL = 3 * core.GossipInterval
)

// Exchange sends this controller's gossip and keeps the latest of each peer.
type Exchange struct {
	core     *core.Core
	siblings Siblings

	peers      map[api.ControllerID]*peer
	nextSendAt api.Time
	lastSentAt api.Time // 0 if nothing was sent yet
	lastNumber uint64   // of the last gossip sent
}

// peer is what is known of another controller.
type peer struct {
	gossip           message.Gossip // the latest
	receivedAt       api.Time       // 0: none yet
	receivedDirectly bool           // it came from the controller itself, not through a relay
	sendInFlight     bool
}

// recent reports whether a peer's gossip is still to be trusted.
func (p *peer) recent(now api.Time) bool {
	return p.receivedAt != 0 && now.Sub(p.receivedAt) <= gossipTTL
}

// New returns an exchange with the configured peers, of which nothing is known yet. Connect must be
// called before it is used.
func New(shared *core.Core) *Exchange {
	x := &Exchange{core: shared, peers: map[api.ControllerID]*peer{}}
	for _, p := range shared.Config.Peers {
		x.AddPeer(p.Label)
	}
	return x
}

// Connect sets the components that the exchange asks.
func (x *Exchange) Connect(siblings Siblings) { x.siblings = siblings }

// AddPeer makes another controller a peer; its gossip is taken in from then on.
func (x *Exchange) AddPeer(id api.ControllerID) { x.peers[id] = &peer{} }

// Peers are the other controllers, in order.
func (x *Exchange) Peers() []api.ControllerID { return slices.Sorted(maps.Keys(x.peers)) }

// IsPeer reports whether a controller is one of the others.
func (x *Exchange) IsPeer(id api.ControllerID) bool { return x.peers[id] != nil }

// Handle takes in another controller's gossip, and what it forwards as a relay.
func (x *Exchange) Handle(c message.PeerGossip) {
	if !x.IsPeer(c.Gossip.From) {
		x.RejectMalformed(c.Req, string(c.Gossip.From))
		return
	}
	x.Merge(c.Gossip, true)
	for _, forwarded := range c.Gossip.Passed {
		x.Merge(forwarded, false)
	}
	x.core.Reply(c.Req, api.StatusOK, struct{}{}, 0)
}

// RejectMalformed refuses a message that is not understood or comes from an unknown controller: it
// changes nothing but a count.
func (x *Exchange) RejectMalformed(req message.ReqID, from string) {
	x.core.Metrics.MalformedMessages++
	slog.Warn("invalid peer message", "from", from)
	x.core.ReplyError(req, api.StatusBadRequest, "malformed")
}

// Merge takes in a controller's gossip, unless it is unknown or has sent something newer. direct says
// that the gossip came from the controller itself and not through a relay.
func (x *Exchange) Merge(g *message.Gossip, direct bool) {
	p := x.peers[g.From]
	if p == nil || p.supersedes(g, direct, x.core.Now) {
		return
	}
	p.gossip, p.receivedAt, p.receivedDirectly = *g, x.core.Now, direct
	p.gossip.Passed = nil
	for _, scaleOut := range g.Rented {
		for _, id := range scaleOut.Machines {
			x.siblings.Inventory.NoteProvisioned(id, scaleOut.Type, scaleOut.Zone, scaleOut.Spot)
		}
	}
	for _, status := range g.Parts {
		x.recordDemand(status.Part, status.Want)
	}
}

// supersedes reports whether what is known of a peer is as new as, or newer than, its gossip: the same
// incarnation has sent a higher number, or a relay forwards gossip of another incarnation while the
// present one is in direct contact.
func (p *peer) supersedes(g *message.Gossip, direct bool, now api.Time) bool {
	if g.Born == p.gossip.Born {
		return g.Number != 0 && g.Number <= p.gossip.Number
	}
	return !direct && p.receivedDirectly && p.recent(now)
}

// recordDemand makes this controller's other partitions run a round, in which they may transfer quota
// to the one that has unmet demand.
func (x *Exchange) recordDemand(by api.PartitionID, demand map[api.Team]api.Resources) {
	if len(demand) == 0 {
		return
	}
	for p, owned := range x.core.Partitions {
		owned.Dirty = owned.Dirty || p != by
	}
}

// PeerPartitionStatuses are the recent statuses of the peers' partitions, each as its owner sent it.
func (x *Exchange) PeerPartitionStatuses() []message.PartitionStatus {
	var statuses []message.PartitionStatus
	for _, id := range x.Peers() {
		statuses = append(statuses, x.PartitionStatusesOf(id)...)
	}
	return statuses
}

// PartitionStatusesOf are the recent statuses of the partitions that a peer owns.
func (x *Exchange) PartitionStatusesOf(id api.ControllerID) []message.PartitionStatus {
	p := x.peers[id]
	if !p.recent(x.core.Now) {
		return nil
	}
	var statuses []message.PartitionStatus
	for _, status := range p.gossip.Parts {
		if int(status.Part) < len(x.core.State.Partitions) && status.Part >= 0 && x.core.State.Partitions[status.Part].Owner == id {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// OtherPartitionStatuses are the statuses of all partitions but one, as far as they are known. Those of
// partitions that this controller owns have the demand only.
func (x *Exchange) OtherPartitionStatuses(owned *core.OwnedPartition) []message.PartitionStatus {
	statuses := x.PeerPartitionStatuses()
	for _, p := range slices.Sorted(maps.Keys(x.core.Partitions)) {
		if other := x.core.Partitions[p]; other != owned {
			statuses = append(statuses, demandOf(other))
		}
	}
	return statuses
}

// HeardRecently reports whether a peer's gossip is recent.
func (x *Exchange) HeardRecently(id api.ControllerID) bool {
	p := x.peers[id]
	return p != nil && p.recent(x.core.Now)
}

// PeersThatReachStore are the peers that the key-value store has answered lately, as they say.
func (x *Exchange) PeersThatReachStore() []api.ControllerID {
	return slices.DeleteFunc(x.Peers(), func(id api.ControllerID) bool {
		p := x.peers[id]
		return !p.gossip.StateOK || p.receivedAt == 0 || x.core.Now.Sub(p.receivedAt) >= storeStatusTTL
	})
}

// ReportsSilent reports whether a machine's owner says that it gets no heartbeat from it.
func (x *Exchange) ReportsSilent(owner api.ControllerID, id api.MachineID) bool {
	if !x.HeardRecently(owner) {
		return false
	}
	return slices.ContainsFunc(x.peers[owner].gossip.Parts, func(status message.PartitionStatus) bool {
		return slices.Contains(status.Silent, id)
	})
}
