package ownership

import (
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
)

// fakeLog answers linearizable reads when the test says so.
type fakeLog struct{ onRead func() }

func (l *fakeLog) LinearizableRead(onRead, _ func()) { l.onRead = onRead }

// fakeScheduler notes the term under which partition 0 was taken up.
type fakeScheduler struct{ term api.Revision }

func (s *fakeScheduler) BeginOwnership(_ api.PartitionID, term api.Revision) { s.term = term }

// claimAnswered has a manager claim partition 0 of an owner that is not live and answers the claim: the
// test decides what the log shows next.
func claimAnswered(t *testing.T) (*Manager, *fakeLog, *fakeScheduler) {
	t.Helper()
	m := newTestManager(t)
	log, scheduler := &fakeLog{}, &fakeScheduler{}
	m.Connect(Siblings{Log: log, Scheduler: scheduler})
	m.lease.registered = true
	m.core.State.Members["n"] = clusterstate.MemberValue{Incarnation: 1}
	m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = "gone", 7
	m.ReconcilePartitions()
	if len(m.core.Effects) != 1 {
		t.Fatalf("%d calls, expected one claim", len(m.core.Effects))
	}
	call := m.core.Effects[0].(message.StoreCall)
	want := []api.Condition{{Key: clusterstate.KeyPartition + "0", Version: 7}, {Key: clusterstate.KeyMember + "gone"}}
	if call.Txn == nil || !slices.Equal(call.Txn.If, want) {
		t.Fatalf("claimed by %+v, expected conditions %v", call.Txn, want)
	}
	m.ReconcilePartitions()
	if len(m.core.Effects) != 1 {
		t.Error("claimed again while the claim is in flight")
	}
	m.core.PendingCalls[call.ID](message.StoreResponse{ID: call.ID, Status: 200, Txn: api.TxnResponse{Revision: 8}})
	if scheduler.term != 0 {
		t.Error("taken up before the log was read")
	}
	return m, log, scheduler
}

// A claim is conditional on the former owner's absence, and the partition is taken up once the log has
// been read up to the claim.
func TestPartitionIsTakenUpAfterRead(t *testing.T) {
	m, log, scheduler := claimAnswered(t)
	m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = "n", 8
	log.onRead()
	if scheduler.term != 8 {
		t.Errorf("taken up under term %d, expected 8", scheduler.term)
	}
}

// A partition that has another owner by then, or another term, is not taken up.
func TestPartitionClaimedAnewIsLeft(t *testing.T) {
	for _, recorded := range []clusterstate.Partition{{Owner: "other", Term: 8}, {Owner: "n", Term: 9}} {
		m, log, scheduler := claimAnswered(t)
		m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = recorded.Owner, recorded.Term
		log.onRead()
		if scheduler.term != 0 {
			t.Errorf("taken up under term %d, though %s has it under term %d", scheduler.term, recorded.Owner, recorded.Term)
		}
	}
}

// A claim on a live owner's partition is never made.
func TestLiveOwnersPartitionIsNotClaimed(t *testing.T) {
	m := newTestManager(t)
	m.lease.registered = true
	m.core.State.Members["n"] = clusterstate.MemberValue{Incarnation: 1}
	m.core.State.Members["other"] = clusterstate.MemberValue{Incarnation: 1}
	m.core.State.Partitions[0].Owner, m.core.State.Partitions[0].Term = "other", 7
	m.ReconcilePartitions()
	if len(m.core.Effects) != 0 {
		t.Errorf("calls: %+v", m.core.Effects)
	}
}
