package ownership

import (
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
)

// fakeLog completes a linearizable read when the test calls onRead.
type fakeLog struct{ onRead func() }

func (l *fakeLog) LinearizableRead(onRead, _ func()) { l.onRead = onRead }

// fakeScheduler records the term under which ownership of partition 0 began.
type fakeScheduler struct{ term api.Revision }

func (s *fakeScheduler) BeginOwnership(_ api.PartitionID, term api.Revision) { s.term = term }

// claimPartition0 returns a manager whose claim of partition 0, from an owner that is not live, has
// succeeded. The linearizable read that follows the claim is still pending.
func claimPartition0(t *testing.T) (*Manager, *fakeLog, *fakeScheduler) {
	t.Helper()
	m := newTestManager(t)
	log, scheduler := &fakeLog{}, &fakeScheduler{}
	m.Connect(Dependencies{Log: log, Scheduler: scheduler})
	m.lease.registered = true
	m.core.State.Members["n"] = clusterstate.MemberValue{Incarnation: 1}
	m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = "gone", 7
	m.ReconcilePartitions()
	if len(m.core.Effects) != 1 {
		t.Fatalf("%d effects, expected one claim", len(m.core.Effects))
	}
	call := m.core.Effects[0].(message.StoreCall)
	want := []api.Condition{{Key: clusterstate.KeyPartition + "0", Version: 7}, {Key: clusterstate.KeyMember + "gone"}}
	if call.Txn == nil || !slices.Equal(call.Txn.If, want) {
		t.Fatalf("claim transaction %+v, expected conditions %v", call.Txn, want)
	}
	m.ReconcilePartitions()
	if len(m.core.Effects) != 1 {
		t.Error("partition claimed again while the claim is in flight")
	}
	m.core.PendingCalls[call.ID](message.StoreResponse{ID: call.ID, Status: 200, Txn: api.TxnResponse{Revision: 8}})
	if scheduler.term != 0 {
		t.Error("ownership began before the log was read")
	}
	return m, log, scheduler
}

// A claim is conditional on the absence of the former owner's member key. Ownership begins once the log
// has been read up to the claim.
func TestOwnershipBeginsAfterRead(t *testing.T) {
	m, log, scheduler := claimPartition0(t)
	m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = "n", 8
	log.onRead()
	if scheduler.term != 8 {
		t.Errorf("ownership began under term %d, expected 8", scheduler.term)
	}
}

// Ownership does not begin if the partition has another owner or term when the log has been read.
func TestOwnershipDoesNotBeginAfterNewerClaim(t *testing.T) {
	for _, recorded := range []clusterstate.Partition{{Owner: "other", Term: 8}, {Owner: "n", Term: 9}} {
		m, log, scheduler := claimPartition0(t)
		m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = recorded.Owner, recorded.Term
		log.onRead()
		if scheduler.term != 0 {
			t.Errorf("ownership began under term %d, although %s owns the partition under term %d", scheduler.term, recorded.Owner, recorded.Term)
		}
	}
}

// A partition with a live owner is not claimed.
func TestLiveOwnersPartitionIsNotClaimed(t *testing.T) {
	m := newTestManager(t)
	m.lease.registered = true
	m.core.State.Members["n"] = clusterstate.MemberValue{Incarnation: 1}
	m.core.State.Members["other"] = clusterstate.MemberValue{Incarnation: 1}
	m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = "other", 7
	m.ReconcilePartitions()
	if len(m.core.Effects) != 0 {
		t.Errorf("unexpected effects: %+v", m.core.Effects)
	}
}
