package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

// maintainMembership keeps our leased key alive.
func (n *Controller) maintainMembership() {
	if m, there := n.state.Members[n.config.Label]; n.registered && n.loaded && (!there || m.Incarnation != n.incarnation) && n.now.Sub(n.registeredAt) > time.Second {
		// Our former life's lease may have taken the key along, or a write of that life came
		// late and tied the key to it.
		n.registered = false
	}
	if n.leaseCallInFlight || n.now < n.nextLeaseCallAt {
		return
	}
	n.leaseCallInFlight = true
	done := func(delay time.Duration) {
		n.leaseCallInFlight = false
		n.nextLeaseCallAt = n.now.Add(delay)
	}
	switch {
	case n.leaseID == 0:
		n.callStore(StoreCall{GrantLease: n.memberLeaseTTL}, func(a StoreResponse) {
			if a.Status == 200 {
				n.leaseID, n.registered = a.Lease, false
				done(0)
				return
			}
			done(retryDelay)
		})
	case !n.registered:
		v, _ := json.Marshal(clusterstate.MemberValue{Incarnation: n.incarnation, Format: clusterstate.Format})
		n.callStoreTxn(api.Txn{Writes: []api.Write{{Put: clusterstate.KeyMember + string(n.config.Label), Value: v, Lease: n.leaseID}}}, func(a StoreResponse) {
			switch a.Status {
			case 200:
				n.registered, n.registeredAt = true, n.now
				done(n.leaseRenewInterval)
			case 400:
				n.leaseID = 0
				done(0)
			default:
				done(retryDelay)
			}
		})
	default:
		n.callStore(StoreCall{RenewLease: n.leaseID, Timeout: renewTimeout}, func(a StoreResponse) {
			switch a.Status {
			case 200:
				done(n.leaseRenewInterval)
			case 404:
				n.leaseID, n.registered = 0, false
				done(0)
			default:
				done(retryDelay)
			}
		})
	}
}

// preferredOwner is the controller that owns a part when all live.
func (n *Controller) preferredOwner(p api.PartitionID) api.ControllerID {
	return n.controllers[int(p)%len(n.controllers)]
}

func (n *Controller) isLive(l api.ControllerID) bool {
	_, ok := n.state.Members[l]
	return ok
}

// successor is who takes a part that has no living owner.
func (n *Controller) successor(p api.PartitionID) api.ControllerID {
	if owner := n.preferredOwner(p); n.isLive(owner) {
		return owner
	}
	l := slices.Sorted(maps.Keys(n.state.Members))
	if len(l) == 0 {
		return ""
	}
	return l[int(p)%len(l)]
}

// claimPartitions claims the parts that are ours to take and hands home those that
// are another's.
func (n *Controller) claimPartitions() {
	for l := range n.liveSince {
		if !n.isLive(l) {
			delete(n.liveSince, l)
		}
	}
	for l, m := range n.state.Members {
		n.memberFormats[l] = m.Format
		// A process that is back at once may write its key before the former life's is gone.
		if _, ok := n.liveSince[l]; n.restartHistory.Observe(l, m.Incarnation, n.now) || !ok {
			n.liveSince[l] = n.now
		}
	}
	if !n.registered {
		return
	}
	for i := range n.state.Partitions {
		p := api.PartitionID(i)
		owner := n.state.Partitions[i].Owner
		owned := n.partitions[p]
		switch {
		case owned != nil:
			preferred := n.preferredOwner(p)
			owned.releasing = preferred != n.config.Label && n.isLive(preferred) && n.now.Sub(n.liveSince[preferred]) > n.restartHistory.FailbackDelay(preferred, n.now, n.handoverDelay)
			if owned.releasing {
				n.handOverPartition(owned, preferred)
			}
		case n.claimsInFlight[p] || n.now < n.nextClaimAt[p]:
		case owner == n.config.Label:
			n.claimPartition(p, nil)
		case owner == "" && (n.preferredOwner(p) == n.config.Label || n.now.Sub(n.startedAt) > n.handoverDelay) && n.successor(p) == n.config.Label:
			n.claimPartition(p, nil)
		case owner != "" && !n.isLive(owner) && n.successor(p) == n.config.Label:
			n.claimPartition(p, []api.Condition{{Key: clusterstate.KeyMember + string(owner)}})
		}
	}
}

// claimPartition takes a part under a new term: conditional on the part's key and, for
// another's part, on its owner's absence.
func (n *Controller) claimPartition(p api.PartitionID, conditions []api.Condition) {
	n.claimsInFlight[p] = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, p)
	v, _ := json.Marshal(clusterstate.PartitionValue{Owner: n.config.Label})
	cond := append([]api.Condition{{Key: key, Version: n.state.Partitions[p].Term}}, conditions...)
	n.callStoreTxn(api.Txn{If: cond, Writes: []api.Write{{Put: key, Value: v}}}, func(a StoreResponse) {
		if a.Status != 200 {
			n.nextClaimAt[p] = n.now.Add(retryDelay)
			n.linearizableRead(func() { delete(n.claimsInFlight, p) }, func() { delete(n.claimsInFlight, p) })
			return
		}
		term := a.Txn.Revision
		// Everything of the former owner's is durable before this revision;
		// nothing of it can follow.
		n.linearizableRead(func() {
			delete(n.claimsInFlight, p)
			if n.state.Partitions[p].Term != term || n.state.Partitions[p].Owner != n.config.Label {
				return
			}
			n.beginOwnership(p, term)
		}, func() { delete(n.claimsInFlight, p); n.nextClaimAt[p] = n.now.Add(retryDelay) })
	})
}

// handOverPartition gives a part to its home. The round in flight is finished first.
func (n *Controller) handOverPartition(owned *ownedPartition, newOwner api.ControllerID) {
	if owned.inFlight != nil || owned.handingOver || owned.checkpointing || owned.loanInFlight {
		return
	}
	owned.handingOver = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, owned.id)
	v, _ := json.Marshal(clusterstate.PartitionValue{Owner: newOwner})
	n.callStoreTxn(api.Txn{If: []api.Condition{owned.ownershipCondition()}, Writes: []api.Write{{Put: key, Value: v}}}, func(a StoreResponse) {
		owned.handingOver = false
		if a.Status == 200 && n.partitions[owned.id] == owned {
			slog.Info("partition handed over", "part", owned.id, "to", newOwner)
			delete(n.partitions, owned.id)
			n.linearizableRead(func() {}, func() {})
		}
	})
}

// dropLostPartitions drops the parts that the book says are no longer ours.
func (n *Controller) dropLostPartitions() {
	for p, owned := range n.partitions {
		if ps := n.state.Partitions[p]; ps.Owner != n.config.Label || ps.Term != owned.term {
			slog.Info("partition lost", "part", p, "to", ps.Owner)
			delete(n.partitions, p)
		}
	}
}
