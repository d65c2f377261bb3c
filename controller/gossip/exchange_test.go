package gossip

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// newTestExchange returns the exchange of controller "self", whose only peer "other" owns partition 1 of
// two.
func newTestExchange(t *testing.T) *Exchange {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"self","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"peers":[{"label":"other","domain":"a","peer_addr":"10.0.0.2:2"}],
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":2,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.Now, shared.Loaded = api.Time(time.Minute), true
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](2)
	shared.State.Partitions[1].Owner = "other"
	return New(shared)
}

// otherGossip returns gossip of "other" with the given number of pending tasks in partition 1.
func otherGossip(incarnation int64, number uint64, pending int) *message.Gossip {
	return &message.Gossip{From: "other", Born: incarnation, Number: number,
		Parts: []message.PartitionStatus{{Part: 1, Waiting: pending}, {Part: 0, Waiting: -1}}}
}

// pendingTasks returns the known number of pending tasks in partition 1, -1 if it is unknown.
func pendingTasks(t *testing.T, x *Exchange) int {
	t.Helper()
	statuses := x.PeerPartitionStatuses()
	if len(statuses) == 0 {
		return -1
	}
	if len(statuses) != 1 || statuses[0].Part != 1 {
		t.Fatalf("statuses of partitions that the peer does not own: %+v", statuses)
	}
	return statuses[0].Waiting
}

// Gossip may be delayed, duplicated, or relayed from a former incarnation. The newest gossip of the
// incarnation in direct contact wins.
func TestNewestGossipCounts(t *testing.T) {
	x := newTestExchange(t)
	for _, step := range []struct {
		what   string
		gossip *message.Gossip
		direct bool
		after  time.Duration
		want   int
	}{
		{"first gossip", otherGossip(1, 2, 10), true, 0, 10},
		{"older gossip", otherGossip(1, 1, 11), true, 0, 10},
		{"duplicate", otherGossip(1, 2, 12), false, 0, 10},
		{"newer gossip through a relay", otherGossip(1, 3, 13), false, 0, 13},
		{"another incarnation through a relay, without direct contact", otherGossip(2, 1, 14), false, 0, 14},
		{"another incarnation directly", otherGossip(3, 1, 15), true, 0, 15},
		{"a former incarnation through a relay", otherGossip(2, 9, 16), false, gossipTTL, 15},
		{"another incarnation through a relay, after direct contact has expired", otherGossip(4, 1, 17), false, time.Millisecond, 17},
		{"unknown controller", &message.Gossip{From: "third"}, true, 0, 17},
	} {
		x.core.Now = x.core.Now.Add(step.after)
		x.Merge(step.gossip, step.direct)
		if got := pendingTasks(t, x); got != step.want {
			t.Errorf("%s: %d pending tasks, expected %d", step.what, got, step.want)
		}
	}
}

// A peer's gossip expires, and its report that it reaches the key-value store expires earlier.
func TestGossipExpires(t *testing.T) {
	x := newTestExchange(t)
	gossip := otherGossip(1, 1, 10)
	gossip.StateOK = true
	x.Merge(gossip, true)
	start := x.core.Now
	for _, step := range []struct {
		after                time.Duration
		recent, reachesStore bool
	}{{storeStatusTTL - 1, true, true}, {storeStatusTTL, true, false}, {gossipTTL, true, false}, {gossipTTL + 1, false, false}} {
		x.core.Now = start.Add(step.after)
		if got := x.HasRecentGossip("other"); got != step.recent || (pendingTasks(t, x) == 10) != step.recent {
			t.Errorf("after %v: recent gossip: %v", step.after, got)
		}
		if got := len(x.PeersThatReachStore()) == 1; got != step.reachesStore {
			t.Errorf("after %v: reaches the store: %v", step.after, got)
		}
	}
}

// Machines with the same class and free capacity are counted together, in any order.
func TestMachinesAreSummarized(t *testing.T) {
	var status message.PartitionStatus
	summary := machineSummary{status: &status, classes: map[message.MachineClass]int{}, capacities: map[message.FreeCapacity]int{}}
	small, large := message.MachineClass{Type: "c8"}, message.MachineClass{Type: "c64"}
	half := message.FreeCapacity{Count: 1, Free: api.Resources{CPU: api.ToQuantity(4)}}
	empty := message.FreeCapacity{Count: 1, Free: api.Resources{CPU: api.ToQuantity(8)}}
	summary.add(small, half)
	summary.add(large, half)
	summary.add(small, empty)
	summary.add(small, half)
	if len(status.Kinds) != 2 || status.Kinds[0] != small || status.Kinds[1] != large {
		t.Errorf("classes: %+v", status.Kinds)
	}
	want := []message.FreeCapacity{{Kind: 0, Free: half.Free, Count: 2}, {Kind: 1, Free: half.Free, Count: 1}, {Kind: 0, Free: empty.Free, Count: 1}}
	if len(status.Rooms) != len(want) {
		t.Fatalf("capacities: %+v", status.Rooms)
	}
	for i := range want {
		if status.Rooms[i] != want[i] {
			t.Errorf("capacity %d: %+v, expected %+v", i, status.Rooms[i], want[i])
		}
	}
}
