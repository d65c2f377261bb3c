package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/membership"
)

// Membership keeps this controller's lease alive and decides which partitions it claims or hands over.
type Membership struct {
	core *core.Core
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
	if m, there := ms.core.State.Members[ms.core.Config.Label]; ms.registered && ms.core.Loaded && (!there || m.Incarnation != ms.core.Incarnation) && ms.core.Now.Sub(ms.registeredAt) > time.Second {
		// Our former life's lease may have taken the key along, or a write of that life came
		// late and tied the key to it.
		ms.registered = false
	}
	if ms.leaseCallInFlight || ms.core.Now < ms.nextLeaseCallAt {
		return
	}
	ms.leaseCallInFlight = true
	done := func(delay time.Duration) {
		ms.leaseCallInFlight = false
		ms.nextLeaseCallAt = ms.core.Now.Add(delay)
	}
	switch {
	case ms.leaseID == 0:
		ms.core.CallStore(message.StoreCall{GrantLease: ms.core.MemberLeaseTTL}, func(a message.StoreResponse) {
			if a.Status == 200 {
				ms.leaseID, ms.registered = a.Lease, false
				done(0)
				return
			}
			done(core.RetryDelay)
		})
	case !ms.registered:
		v, _ := json.Marshal(clusterstate.MemberValue{Incarnation: ms.core.Incarnation, Format: clusterstate.Format})
		ms.core.CallStoreTxn(api.Txn{Writes: []api.Write{{Put: clusterstate.KeyMember + string(ms.core.Config.Label), Value: v, Lease: ms.leaseID}}}, func(a message.StoreResponse) {
			switch a.Status {
			case 200:
				ms.registered, ms.registeredAt = true, ms.core.Now
				done(ms.core.LeaseRenewInterval)
			case 400:
				ms.leaseID = 0
				done(0)
			default:
				done(core.RetryDelay)
			}
		})
	default:
		ms.core.CallStore(message.StoreCall{RenewLease: ms.leaseID, Timeout: core.RenewTimeout}, func(a message.StoreResponse) {
			switch a.Status {
			case 200:
				done(ms.core.LeaseRenewInterval)
			case 404:
				ms.leaseID, ms.registered = 0, false
				done(0)
			default:
				done(core.RetryDelay)
			}
		})
	}
}

// successor is who takes a part that has no living owner.
func (ms *Membership) successor(p api.PartitionID) api.ControllerID {
	if owner := ms.core.PreferredOwner(p); ms.core.IsLive(owner) {
		return owner
	}
	l := slices.Sorted(maps.Keys(ms.core.State.Members))
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
	for l, m := range ms.core.State.Members {
		ms.memberFormats[l] = m.Format
		// A process that is back at once may write its key before the former life's is gone.
		if _, ok := ms.liveSince[l]; ms.restartHistory.Observe(l, m.Incarnation, ms.core.Now) || !ok {
			ms.liveSince[l] = ms.core.Now
		}
	}
	if !ms.registered {
		return
	}
	for i := range ms.core.State.Partitions {
		p := api.PartitionID(i)
		owner := ms.core.State.Partitions[i].Owner
		owned := ms.core.Partitions[p]
		switch {
		case owned != nil:
			preferred := ms.core.PreferredOwner(p)
			owned.Releasing = preferred != ms.core.Config.Label && ms.core.IsLive(preferred) && ms.core.Now.Sub(ms.liveSince[preferred]) > ms.restartHistory.FailbackDelay(preferred, ms.core.Now, ms.core.HandoverDelay)
			if owned.Releasing {
				ms.handOverPartition(owned, preferred)
			}
		case ms.claimsInFlight[p] || ms.core.Now < ms.nextClaimAt[p]:
		case owner == ms.core.Config.Label:
			ms.claimPartition(p, nil)
		case owner == "" && (ms.core.PreferredOwner(p) == ms.core.Config.Label || ms.core.Now.Sub(ms.core.StartedAt) > ms.core.HandoverDelay) && ms.successor(p) == ms.core.Config.Label:
			ms.claimPartition(p, nil)
		case owner != "" && !ms.core.IsLive(owner) && ms.successor(p) == ms.core.Config.Label:
			ms.claimPartition(p, []api.Condition{{Key: clusterstate.KeyMember + string(owner)}})
		}
	}
}

// claimPartition takes a part under a new term: conditional on the part's key and, for
// another's part, on its owner's absence.
func (ms *Membership) claimPartition(p api.PartitionID, conditions []api.Condition) {
	ms.claimsInFlight[p] = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, p)
	v, _ := json.Marshal(clusterstate.PartitionValue{Owner: ms.core.Config.Label})
	cond := append([]api.Condition{{Key: key, Version: ms.core.State.Partitions[p].Term}}, conditions...)
	ms.core.CallStoreTxn(api.Txn{If: cond, Writes: []api.Write{{Put: key, Value: v}}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			ms.nextClaimAt[p] = ms.core.Now.Add(core.RetryDelay)
			ms.c.follower.LinearizableRead(func() { delete(ms.claimsInFlight, p) }, func() { delete(ms.claimsInFlight, p) })
			return
		}
		term := a.Txn.Revision
		// Everything of the former owner's is durable before this revision;
		// nothing of it can follow.
		ms.c.follower.LinearizableRead(func() {
			delete(ms.claimsInFlight, p)
			if ms.core.State.Partitions[p].Term != term || ms.core.State.Partitions[p].Owner != ms.core.Config.Label {
				return
			}
			ms.c.scheduler.BeginOwnership(p, term)
		}, func() { delete(ms.claimsInFlight, p); ms.nextClaimAt[p] = ms.core.Now.Add(core.RetryDelay) })
	})
}

// handOverPartition gives a part to its home. The round in flight is finished first.
func (ms *Membership) handOverPartition(owned *core.OwnedPartition, newOwner api.ControllerID) {
	if owned.InFlight != nil || owned.HandingOver || owned.Checkpointing || owned.LoanInFlight {
		return
	}
	owned.HandingOver = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID)
	v, _ := json.Marshal(clusterstate.PartitionValue{Owner: newOwner})
	ms.core.CallStoreTxn(api.Txn{If: []api.Condition{owned.OwnershipCondition()}, Writes: []api.Write{{Put: key, Value: v}}}, func(a message.StoreResponse) {
		owned.HandingOver = false
		if a.Status == 200 && ms.core.Partitions[owned.ID] == owned {
			slog.Info("partition handed over", "partition", owned.ID, "to", newOwner)
			delete(ms.core.Partitions, owned.ID)
			ms.c.follower.LinearizableRead(func() {}, func() {})
		}
	})
}

// DropLostPartitions drops the parts that the book says are no longer ours.
func (ms *Membership) DropLostPartitions() {
	for p, owned := range ms.core.Partitions {
		if ps := ms.core.State.Partitions[p]; ps.Owner != ms.core.Config.Label || ps.Term != owned.Term {
			slog.Info("partition lost", "partition", p, "to", ps.Owner)
			delete(ms.core.Partitions, p)
		}
	}
}

func newMembership(c *Controller) *Membership {
	return &Membership{core: c.core, c: c,
		liveSince: map[api.ControllerID]api.Time{}, memberFormats: map[api.ControllerID]int{},
		claimsInFlight: map[api.PartitionID]bool{}, nextClaimAt: map[api.PartitionID]api.Time{}}
}

// Format is the newest form of records that a controller understands, as far as is known.
func (ms *Membership) Format(id api.ControllerID) int { return ms.memberFormats[id] }
