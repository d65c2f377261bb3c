package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/membership"
)

// Membership keeps this controller's lease alive and decides which partitions it claims or hands over.
type Membership struct {
	core *Core
	c    *Controller

	leaseID           api.LeaseID
	leaseCallInFlight bool
	nextLeaseCallAt   api.Time
	registered        bool
	registeredAt      api.Time
	liveSince         map[api.ControllerID]api.Time
	restartHistory    membership.RestartTracker
	memberFormats     map[api.ControllerID]int // newest form of records that each controller understands
	claimsInFlight    map[api.PartitionID]bool
	nextClaimAt       map[api.PartitionID]api.Time
}

// MaintainMembership keeps our leased key alive.
func (ms *Membership) MaintainMembership() {
	if m, there := ms.core.state.Members[ms.core.config.Label]; ms.registered && ms.core.loaded && (!there || m.Incarnation != ms.core.incarnation) && ms.core.now.Sub(ms.registeredAt) > time.Second {
		// Our former life's lease may have taken the key along, or a write of that life came
		// late and tied the key to it.
		ms.registered = false
	}
	if ms.leaseCallInFlight || ms.core.now < ms.nextLeaseCallAt {
		return
	}
	ms.leaseCallInFlight = true
	done := func(delay time.Duration) {
		ms.leaseCallInFlight = false
		ms.nextLeaseCallAt = ms.core.now.Add(delay)
	}
	switch {
	case ms.leaseID == 0:
		ms.core.CallStore(StoreCall{GrantLease: ms.core.memberLeaseTTL}, func(a StoreResponse) {
			if a.Status == 200 {
				ms.leaseID, ms.registered = a.Lease, false
				done(0)
				return
			}
			done(retryDelay)
		})
	case !ms.registered:
		v, _ := json.Marshal(clusterstate.MemberValue{Incarnation: ms.core.incarnation, Format: clusterstate.Format})
		ms.core.CallStoreTxn(api.Txn{Writes: []api.Write{{Put: clusterstate.KeyMember + string(ms.core.config.Label), Value: v, Lease: ms.leaseID}}}, func(a StoreResponse) {
			switch a.Status {
			case 200:
				ms.registered, ms.registeredAt = true, ms.core.now
				done(ms.core.leaseRenewInterval)
			case 400:
				ms.leaseID = 0
				done(0)
			default:
				done(retryDelay)
			}
		})
	default:
		ms.core.CallStore(StoreCall{RenewLease: ms.leaseID, Timeout: renewTimeout}, func(a StoreResponse) {
			switch a.Status {
			case 200:
				done(ms.core.leaseRenewInterval)
			case 404:
				ms.leaseID, ms.registered = 0, false
				done(0)
			default:
				done(retryDelay)
			}
		})
	}
}

// PreferredOwner is the controller that owns a part when all live.
func (ms *Membership) PreferredOwner(p api.PartitionID) api.ControllerID {
	return ms.core.controllers[int(p)%len(ms.core.controllers)]
}

func (k *Core) IsLive(l api.ControllerID) bool {
	_, ok := k.state.Members[l]
	return ok
}

// successor is who takes a part that has no living owner.
func (ms *Membership) successor(p api.PartitionID) api.ControllerID {
	if owner := ms.PreferredOwner(p); ms.core.IsLive(owner) {
		return owner
	}
	l := slices.Sorted(maps.Keys(ms.core.state.Members))
	if len(l) == 0 {
		return ""
	}
	return l[int(p)%len(l)]
}

// ClaimPartitions claims the parts that are ours to take and hands home those that
// are another's.
func (ms *Membership) ClaimPartitions() {
	for l := range ms.liveSince {
		if !ms.core.IsLive(l) {
			delete(ms.liveSince, l)
		}
	}
	for l, m := range ms.core.state.Members {
		ms.memberFormats[l] = m.Format
		// A process that is back at once may write its key before the former life's is gone.
		if _, ok := ms.liveSince[l]; ms.restartHistory.Observe(l, m.Incarnation, ms.core.now) || !ok {
			ms.liveSince[l] = ms.core.now
		}
	}
	if !ms.registered {
		return
	}
	for i := range ms.core.state.Partitions {
		p := api.PartitionID(i)
		owner := ms.core.state.Partitions[i].Owner
		owned := ms.c.scheduler.partitions[p]
		switch {
		case owned != nil:
			preferred := ms.PreferredOwner(p)
			owned.releasing = preferred != ms.core.config.Label && ms.core.IsLive(preferred) && ms.core.now.Sub(ms.liveSince[preferred]) > ms.restartHistory.FailbackDelay(preferred, ms.core.now, ms.core.handoverDelay)
			if owned.releasing {
				ms.handOverPartition(owned, preferred)
			}
		case ms.claimsInFlight[p] || ms.core.now < ms.nextClaimAt[p]:
		case owner == ms.core.config.Label:
			ms.claimPartition(p, nil)
		case owner == "" && (ms.PreferredOwner(p) == ms.core.config.Label || ms.core.now.Sub(ms.core.startedAt) > ms.core.handoverDelay) && ms.successor(p) == ms.core.config.Label:
			ms.claimPartition(p, nil)
		case owner != "" && !ms.core.IsLive(owner) && ms.successor(p) == ms.core.config.Label:
			ms.claimPartition(p, []api.Condition{{Key: clusterstate.KeyMember + string(owner)}})
		}
	}
}

// claimPartition takes a part under a new term: conditional on the part's key and, for
// another's part, on its owner's absence.
func (ms *Membership) claimPartition(p api.PartitionID, conditions []api.Condition) {
	ms.claimsInFlight[p] = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, p)
	v, _ := json.Marshal(clusterstate.PartitionValue{Owner: ms.core.config.Label})
	cond := append([]api.Condition{{Key: key, Version: ms.core.state.Partitions[p].Term}}, conditions...)
	ms.core.CallStoreTxn(api.Txn{If: cond, Writes: []api.Write{{Put: key, Value: v}}}, func(a StoreResponse) {
		if a.Status != 200 {
			ms.nextClaimAt[p] = ms.core.now.Add(retryDelay)
			ms.c.follower.LinearizableRead(func() { delete(ms.claimsInFlight, p) }, func() { delete(ms.claimsInFlight, p) })
			return
		}
		term := a.Txn.Revision
		// Everything of the former owner's is durable before this revision;
		// nothing of it can follow.
		ms.c.follower.LinearizableRead(func() {
			delete(ms.claimsInFlight, p)
			if ms.core.state.Partitions[p].Term != term || ms.core.state.Partitions[p].Owner != ms.core.config.Label {
				return
			}
			ms.c.scheduler.BeginOwnership(p, term)
		}, func() { delete(ms.claimsInFlight, p); ms.nextClaimAt[p] = ms.core.now.Add(retryDelay) })
	})
}

// handOverPartition gives a part to its home. The round in flight is finished first.
func (ms *Membership) handOverPartition(owned *ownedPartition, newOwner api.ControllerID) {
	if owned.inFlight != nil || owned.handingOver || owned.checkpointing || owned.loanInFlight {
		return
	}
	owned.handingOver = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, owned.id)
	v, _ := json.Marshal(clusterstate.PartitionValue{Owner: newOwner})
	ms.core.CallStoreTxn(api.Txn{If: []api.Condition{owned.ownershipCondition()}, Writes: []api.Write{{Put: key, Value: v}}}, func(a StoreResponse) {
		owned.handingOver = false
		if a.Status == 200 && ms.c.scheduler.partitions[owned.id] == owned {
			slog.Info("partition handed over", "part", owned.id, "to", newOwner)
			delete(ms.c.scheduler.partitions, owned.id)
			ms.c.follower.LinearizableRead(func() {}, func() {})
		}
	})
}

// DropLostPartitions drops the parts that the book says are no longer ours.
func (ms *Membership) DropLostPartitions() {
	for p, owned := range ms.c.scheduler.partitions {
		if ps := ms.core.state.Partitions[p]; ps.Owner != ms.core.config.Label || ps.Term != owned.term {
			slog.Info("partition lost", "part", p, "to", ps.Owner)
			delete(ms.c.scheduler.partitions, p)
		}
	}
}

func newMembership(c *Controller) *Membership {
	return &Membership{core: c.core, c: c,
		liveSince: map[api.ControllerID]api.Time{}, memberFormats: map[api.ControllerID]int{},
		claimsInFlight: map[api.PartitionID]bool{}, nextClaimAt: map[api.PartitionID]api.Time{}}
}
