package ownership

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file claims partitions and hands them over.

// ReconcilePartitions claims the partitions that this controller should own and hands over partitions
// whose preferred owner is live again.
func (m *Manager) ReconcilePartitions() {
	m.observeMembers()
	if !m.lease.registered {
		return
	}
	for i := range m.core.State.Partitions {
		p := api.PartitionID(i)
		if owned := m.core.Partitions[p]; owned != nil {
			m.releasePartition(owned)
		} else if !m.claimsInFlight[p] && m.core.Now >= m.nextClaimAt[p] {
			m.claimIfSuccessor(p)
		}
	}
}

// releasePartition marks a partition for handover once its failback to the preferred owner is due, and
// hands it over as soon as none of its writes is in flight.
func (m *Manager) releasePartition(owned *core.OwnedPartition) {
	preferred := m.core.PreferredOwner(owned.ID)
	owned.Releasing = preferred != m.core.Config.Label && m.core.IsLive(preferred) && m.failbackDue(preferred)
	if owned.Releasing {
		m.handOverPartition(owned, preferred)
	}
}

// claimIfSuccessor claims a partition if this controller should own it but does not.
func (m *Manager) claimIfSuccessor(p api.PartitionID) {
	self := m.core.Config.Label
	owner := m.core.State.Partitions[p].Owner
	switch {
	case owner == self: // handed over to this controller, or owned by its former incarnation
		m.claimPartition(p)
	case m.successor(p) != self:
	case owner == "":
		if m.core.PreferredOwner(p) == self || m.startupGracePassed() {
			m.claimPartition(p)
		}
	case !m.core.IsLive(owner):
		ownerIsGone := api.Condition{Key: clusterstate.KeyMember + string(owner)}
		m.claimPartition(p, ownerIsGone)
	}
}

// successor returns the controller that claims a partition without a live owner: the preferred owner if
// it is live, otherwise a live member that all controllers compute alike; empty if none is live.
func (m *Manager) successor(p api.PartitionID) api.ControllerID {
	if preferred := m.core.PreferredOwner(p); m.core.IsLive(preferred) {
		return preferred
	}
	live := slices.Sorted(maps.Keys(m.core.State.Members))
	if len(live) == 0 {
		return ""
	}
	return live[int(p)%len(live)]
}

// claimPartition claims a partition under a new term by a compare-and-swap of its key, with additional
// conditions. The revision of the claim is the new term.
func (m *Manager) claimPartition(p api.PartitionID, conditions ...api.Condition) {
	m.claimsInFlight[p] = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, p)
	value, _ := json.Marshal(clusterstate.PartitionValue{Owner: m.core.Config.Label})
	conditions = append([]api.Condition{{Key: key, Version: m.core.State.Partitions[p].Term}}, conditions...)
	m.core.CallStoreTxn(api.Txn{If: conditions, Writes: []api.Write{{Put: key, Value: value}}}, func(response message.StoreResponse) {
		if response.Status != api.StatusOK {
			m.nextClaimAt[p] = m.core.Now.Add(core.RetryDelay)
			claimOver := func() { delete(m.claimsInFlight, p) }
			m.deps.Log.LinearizableRead(claimOver, claimOver)
			return
		}
		m.beginOwnership(p, response.Txn.Revision)
	})
}

// beginOwnership begins the ownership of a partition whose claim is durable, after a read that includes
// the claim. All writes of the former owner precede the claim's revision, so the read includes them too.
func (m *Manager) beginOwnership(p api.PartitionID, term api.Revision) {
	m.deps.Log.LinearizableRead(func() {
		delete(m.claimsInFlight, p)
		if partition := m.core.State.Partitions[p]; partition.Term == term && partition.Owner == m.core.Config.Label {
			m.deps.Scheduler.BeginOwnership(p, term)
		}
	}, func() {
		delete(m.claimsInFlight, p)
		m.nextClaimAt[p] = m.core.Now.Add(core.RetryDelay)
	})
}

// handOverPartition hands a partition over to its preferred owner, unless a write of the partition, such
// as a round, is still in flight.
func (m *Manager) handOverPartition(owned *core.OwnedPartition, newOwner api.ControllerID) {
	if owned.InFlight != nil || owned.HandingOver || owned.Checkpointing || owned.LoanInFlight {
		return
	}
	owned.HandingOver = true
	key := clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID)
	value, _ := json.Marshal(clusterstate.PartitionValue{Owner: newOwner})
	txn := api.Txn{If: []api.Condition{owned.OwnershipCondition()}, Writes: []api.Write{{Put: key, Value: value}}}
	m.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		owned.HandingOver = false
		if response.Status == api.StatusOK && m.core.Partitions[owned.ID] == owned {
			slog.Info("partition handed over", "partition", owned.ID, "to", newOwner)
			delete(m.core.Partitions, owned.ID)
			m.deps.Log.LinearizableRead(func() {}, func() {})
		}
	})
}

// DropLostPartitions drops the partitions that have another owner or term in the cluster state.
func (m *Manager) DropLostPartitions() {
	for p, owned := range m.core.Partitions {
		recorded := m.core.State.Partitions[p]
		if recorded.Owner != m.core.Config.Label || recorded.Term != owned.Term {
			slog.Info("partition lost", "partition", p, "to", recorded.Owner)
			delete(m.core.Partitions, p)
		}
	}
}
