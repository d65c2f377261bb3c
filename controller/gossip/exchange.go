// Package gossip exchanges the status of partitions with the other controllers.
//
// Each controller sends the status of its own partitions: unmet demand, remaining quota, machines by
// class and free capacity. The package owns the latest gossip of each peer and computes the free
// capacity of the cluster from it. Gossip is advisory: it may be outdated, expires after gossipTTL and
// is never used for decisions that affect safety.
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
	// gossipTTL is the time after which a peer's gossip expires.
	gossipTTL = 10 * core.GossipInterval
	// storeStatusTTL is the time after which a peer's report that it reaches the key-value store
	// expires. It is shorter than gossipTTL, since forwarding a request to a peer without the store
	// only delays it.
	storeStatusTTL = 3 * core.GossipInterval
)

// Exchange sends this controller's gossip and stores the latest gossip of each peer.
type Exchange struct {
	core *core.Core
	deps Dependencies

	peers      map[api.ControllerID]*peer
	nextSendAt api.Time
	lastSentAt api.Time // 0 if no gossip was sent yet
	lastNumber uint64   // sequence number of the last gossip sent
}

// peer is another controller and its latest gossip.
type peer struct {
	gossip           message.Gossip
	receivedAt       api.Time // 0 if no gossip was received yet
	receivedDirectly bool     // whether the gossip came from the controller itself, not through a relay
	sendInFlight     bool
}

// recent reports whether a peer's gossip has not expired.
func (p *peer) recent(now api.Time) bool {
	return p.receivedAt != 0 && now.Sub(p.receivedAt) <= gossipTTL
}

// New returns an exchange with the configured peers and without gossip. Connect must be called before
// it is used.
func New(shared *core.Core) *Exchange {
	x := &Exchange{core: shared, peers: map[api.ControllerID]*peer{}}
	for _, p := range shared.Config.Peers {
		x.AddPeer(p.Label)
	}
	return x
}

// Connect sets the components that the exchange calls.
func (x *Exchange) Connect(deps Dependencies) { x.deps = deps }

// AddPeer adds a peer, whose gossip is accepted from then on.
func (x *Exchange) AddPeer(id api.ControllerID) { x.peers[id] = &peer{} }

// Peers returns the other controllers, ordered by ID.
func (x *Exchange) Peers() []api.ControllerID { return slices.Sorted(maps.Keys(x.peers)) }

// IsPeer reports whether a controller is a peer.
func (x *Exchange) IsPeer(id api.ControllerID) bool { return x.peers[id] != nil }

// HandleGossip merges a peer's gossip and the gossip that it forwards as a relay.
func (x *Exchange) HandleGossip(c message.PeerGossip) {
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

// RejectMalformed rejects and counts a message that can't be decoded or comes from an unknown
// controller.
func (x *Exchange) RejectMalformed(req message.ReqID, from string) {
	x.core.Metrics.MalformedMessages++
	slog.Warn("invalid peer message", "from", from)
	x.core.ReplyError(req, api.StatusBadRequest, "malformed")
}

// Merge stores a controller's gossip unless the controller is unknown or newer gossip is stored. direct
// says that the gossip came from the controller itself and not through a relay.
func (x *Exchange) Merge(g *message.Gossip, direct bool) {
	p := x.peers[g.From]
	if p == nil || p.supersedes(g, direct, x.core.Now) {
		return
	}
	p.gossip, p.receivedAt, p.receivedDirectly = *g, x.core.Now, direct
	p.gossip.Passed = nil
	for _, scaleOut := range g.Rented {
		for _, id := range scaleOut.Machines {
			x.deps.Inventory.RecordProvisioned(id, scaleOut.Type, scaleOut.Zone, scaleOut.Spot)
		}
	}
	for _, status := range g.Parts {
		x.recordDemand(status.Part, status.Want)
	}
}

// supersedes reports whether the peer's stored gossip must not be replaced by g: it has the same or a
// higher number of the same incarnation, or g is relayed gossip of another incarnation while the stored
// one is recent and was received directly.
func (p *peer) supersedes(g *message.Gossip, direct bool, now api.Time) bool {
	if g.Born == p.gossip.Born {
		return g.Number != 0 && g.Number <= p.gossip.Number
	}
	return !direct && p.receivedDirectly && p.recent(now)
}

// recordDemand triggers a round in this controller's other partitions, in which they may transfer quota
// to the partition with unmet demand.
func (x *Exchange) recordDemand(by api.PartitionID, demand map[api.Team]api.Resources) {
	if len(demand) == 0 {
		return
	}
	for p, owned := range x.core.Partitions {
		owned.NeedsRound = owned.NeedsRound || p != by
	}
}

// PeerPartitionStatuses returns the recent statuses of the peers' partitions, as sent by their owners.
func (x *Exchange) PeerPartitionStatuses() []message.PartitionStatus {
	var statuses []message.PartitionStatus
	for _, id := range x.Peers() {
		statuses = append(statuses, x.PartitionStatusesOf(id)...)
	}
	return statuses
}

// PartitionStatusesOf returns the recent statuses of the partitions that a peer owns.
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

// OtherPartitionStatuses returns the known statuses of all partitions except the given one. Statuses of
// this controller's own partitions contain only their demand.
func (x *Exchange) OtherPartitionStatuses(owned *core.OwnedPartition) []message.PartitionStatus {
	statuses := x.PeerPartitionStatuses()
	for _, p := range slices.Sorted(maps.Keys(x.core.Partitions)) {
		if other := x.core.Partitions[p]; other != owned {
			statuses = append(statuses, demandOf(other))
		}
	}
	return statuses
}

// HasRecentGossip reports whether recent gossip of a peer is stored.
func (x *Exchange) HasRecentGossip(id api.ControllerID) bool {
	p := x.peers[id]
	return p != nil && p.recent(x.core.Now)
}

// PeersThatReachStore returns the peers whose recent gossip says that they reach the key-value store.
func (x *Exchange) PeersThatReachStore() []api.ControllerID {
	return slices.DeleteFunc(x.Peers(), func(id api.ControllerID) bool {
		p := x.peers[id]
		return !p.gossip.StateOK || p.receivedAt == 0 || x.core.Now.Sub(p.receivedAt) >= storeStatusTTL
	})
}

// ReportsUnreachable reports whether a machine's owner reports the machine as unreachable in recent gossip.
func (x *Exchange) ReportsUnreachable(owner api.ControllerID, id api.MachineID) bool {
	if !x.HasRecentGossip(owner) {
		return false
	}
	return slices.ContainsFunc(x.peers[owner].gossip.Parts, func(status message.PartitionStatus) bool {
		return slices.Contains(status.Silent, id)
	})
}
