package fragmentation

import (
	"fmt"
	"testing"
)

// The model has machines A and B, a small replica that runs on A, and a large task that needs all of A.
// The owner of the partition reserves A for the large task, stops the replica, records its end once it
// has stopped, records its start on B, and then the large task's start on A. It drops the reservation
// once the large task has started or was cancelled. There are two controllers: each reads the record
// and composes a change, which is applied at once or late, perhaps after a failover. Commands for
// recorded placements are sent under the sender's fencing token and may arrive late.

// modelRecord is the state in the record.
type modelRecord struct {
	replica  uint8 // 0: pending, 1: on A, 2: on B
	large    uint8 // 0: pending, 1: on A, 2: cancelled
	reserved bool
}

// modelChange is a change of the record.
type modelChange uint8

const (
	changeNone       modelChange = iota
	changeReserve                // A is reserved for the large task
	changeReplicaEnd             // the replica has ended on A
	changeReplicaOnB             // the replica starts on B
	changeReplicaOnA             // the replica starts on A again
	changeLargeOnA               // the large task starts on A
	changeRelease                // the reservation is dropped
)

// modelController is a controller; only the owner of the partition acts.
type modelController struct {
	read                modelRecord
	fresh, owns         bool // the record and the ownership have not changed since the read
	sent                modelChange
	sentFresh, sentOwns bool // the same for the change in flight
	reservedBySelf      bool // this controller has reserved A
}

// modelState is a state of the model.
type modelState struct {
	record      modelRecord
	a, b        bool     // the replica actually runs on A, on B
	largeOnA    bool     // the large task actually runs on A
	stop        bool     // a stop of the replica is in flight
	start       [2]uint8 // a start in flight, by sender: 1 of the replica on B, 2 of the large task, 3 of the replica on A
	owner       uint8
	controllers [2]modelController
}

// modelGuards are the safety measures of a move.
type modelGuards struct {
	term             bool // writes are conditional on the partition's term
	version          bool // writes are conditional on the version that they were composed from
	evidence         bool // an end is recorded only after the task has stopped
	anyOwnerReleases bool // any owner drops the reservation in the record
	requiresEmpty    bool // the large task starts only when the record has no replica on A
}

func (w modelState) violation() string {
	switch {
	case w.a && w.b:
		return "the replica runs on two machines"
	case w.a && w.largeOnA:
		return "the replica and the large task run on A together"
	}
	return ""
}

func (w modelState) next(g modelGuards, visit func(modelState)) {
	n := w
	if w.record.large == 0 { // the large job is cancelled
		n.record.large = 2
		n.invalidateReads()
		visit(n)
	}
	if w.record.large == 2 && w.largeOnA {
		n = w
		n.largeOnA = false
		visit(n)
	}
	if w.stop { // a stop arrives
		n = w
		n.a, n.stop = false, false
		visit(n)
	}
	for i := range w.controllers {
		// A failover: the controller becomes the owner and reads the record.
		n = w
		n.owner = uint8(i)
		for k := range n.controllers {
			n.controllers[k].owns, n.controllers[k].sentOwns = false, false
		}
		n.controllers[i] = modelController{read: w.record, fresh: true, owns: true, sent: w.controllers[i].sent, sentFresh: w.controllers[i].sentFresh}
		visit(n)
		o := w.controllers[i]
		n = w // it reads again
		n.controllers[i].read, n.controllers[i].fresh, n.controllers[i].owns = w.record, true, w.owner == uint8(i)
		visit(n)
		// A start in flight is lost or arrives. It takes effect only if the record still has the
		// placement: the machine rejects the token of a former owner.
		if s := w.start[i]; s != 0 {
			n = w
			n.start[i] = 0
			visit(n)
			if s == 1 && w.record.replica == 2 {
				n.b = true
				visit(n)
			}
			if s == 3 && w.record.replica == 1 {
				n.a = true
				visit(n)
			}
			if s == 2 && w.record.large == 1 {
				n.largeOnA = true
				visit(n)
			}
		}
		if !o.owns {
			continue
		}
		reserved := o.read.reserved
		if reserved && o.read.replica == 1 && w.a && !w.stop {
			n = w
			n.stop = true
			visit(n)
		}
		if o.read.replica == 2 && !w.b && w.start[i] == 0 {
			n = w
			n.start[i] = 1
			visit(n)
		}
		if o.read.large == 1 && !w.largeOnA && w.start[i] == 0 {
			n = w
			n.start[i] = 2
			visit(n)
		}
		if o.sent != changeNone {
			continue
		}
		send := func(c modelChange) {
			n := w
			n.controllers[i].sent, n.controllers[i].sentFresh, n.controllers[i].sentOwns = c, o.fresh, true
			if c == changeReserve {
				n.controllers[i].reservedBySelf = true
			}
			visit(n)
		}
		if o.read.large == 0 && !reserved {
			send(changeReserve)
		}
		// The replica's end may be recorded once it has stopped and no start of it may still arrive.
		if stopped := !w.a && w.start[0] != 3 && w.start[1] != 3; o.read.replica == 1 && (stopped || reserved && !g.evidence) {
			send(changeReplicaEnd)
		}
		if o.read.replica == 0 {
			send(changeReplicaOnB)
			if !reserved && o.read.large == 2 && !w.largeOnA {
				send(changeReplicaOnA)
			}
		}
		if o.read.replica == 1 && !w.a && !w.stop && w.start[i] == 0 && o.read.large == 2 && o.sent != changeReplicaEnd {
			n = w
			n.start[i] = 3
			visit(n)
		}
		if o.read.large == 0 && reserved && (o.read.replica != 1 || !g.requiresEmpty) {
			send(changeLargeOnA)
		}
		if reserved && o.read.large != 0 && (g.anyOwnerReleases || o.reservedBySelf) {
			send(changeRelease)
		}
	}
	// A change in flight is lost or applied.
	for i, o := range w.controllers {
		if o.sent == changeNone {
			continue
		}
		n = w
		n.controllers[i].sent = changeNone
		visit(n)
		if !o.sentFresh && g.version || !o.sentOwns && g.term {
			continue
		}
		switch o.sent {
		case changeReserve:
			n.record.reserved = true
		case changeReplicaEnd:
			if n.record.replica == 1 {
				n.record.replica = 0
			}
		case changeReplicaOnB:
			n.record.replica = 2
		case changeReplicaOnA:
			n.record.replica = 1
		case changeLargeOnA:
			if n.record.large == 0 {
				n.record.large = 1
			}
		case changeRelease:
			n.record.reserved = false
			n.controllers[i].reservedBySelf = false
		}
		n.invalidateReads()
		n.controllers[i].read, n.controllers[i].fresh = n.record, true
		visit(n)
	}
}

// invalidateReads marks all reads as outdated after a change of the record.
func (w *modelState) invalidateReads() {
	for i := range w.controllers {
		w.controllers[i].fresh, w.controllers[i].sentFresh = false, false
	}
}

// converged reports whether the replica runs, the large task runs or was cancelled, and nothing is
// reserved.
func (w modelState) converged() bool {
	if w.record.reserved || w.record.replica == 0 || w.record.large == 0 || w.record.large == 1 && !w.largeOnA {
		return false
	}
	return w.a || w.b
}

// checkMoves explores all reachable states. It returns the first violation, or a state from which no
// converged state is reachable.
func checkMoves(g modelGuards) (states int, violation string) {
	first := modelState{record: modelRecord{replica: 1}, a: true}
	index := map[modelState]int{first: 0}
	all := []modelState{first}
	var predecessors [][]int32 // by state
	predecessors = append(predecessors, nil)
	for i := 0; i < len(all); i++ {
		if found := all[i].violation(); found != "" {
			return len(all), found
		}
		all[i].next(g, func(n modelState) {
			k, known := index[n]
			if !known {
				k = len(all)
				index[n] = k
				all, predecessors = append(all, n), append(predecessors, nil)
			}
			predecessors[k] = append(predecessors[k], int32(i))
		})
	}
	converges := make([]bool, len(all))
	var todo []int32
	for i := range all {
		if all[i].converged() {
			converges[i] = true
			todo = append(todo, int32(i))
		}
	}
	for len(todo) > 0 {
		k := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, i := range predecessors[k] {
			if !converges[i] {
				converges[i] = true
				todo = append(todo, i)
			}
		}
	}
	for i := range all {
		if !converges[i] {
			return len(all), fmt.Sprintf("no converged state is reachable from %+v", all[i])
		}
	}
	return len(all), ""
}

// In all interleavings of failovers, late writes and late commands, the replica never runs on two
// machines and is not lost, A never runs both tasks, and the reservation is finally dropped. Each way of
// disabling guards in the table violates one of these.
func TestEveryInterleavingOfAMove(t *testing.T) {
	all := modelGuards{true, true, true, true, true}
	states, violation := checkMoves(all)
	t.Logf("%d reachable states", states)
	if violation != "" || states < 5_000 {
		t.Errorf("violation %q, %d reachable states, expected none and at least 5000", violation, states)
	}
	for guard, disable := range map[string]func(*modelGuards){
		"the conditions on version and term":             func(g *modelGuards) { g.version, g.term = false, false },
		"evidence of the replica's end":                  func(g *modelGuards) { g.evidence = false },
		"the condition that A is empty":                  func(g *modelGuards) { g.requiresEmpty = false },
		"the release of reservations by any later owner": func(g *modelGuards) { g.anyOwnerReleases = false },
	} {
		g := all
		disable(&g)
		if _, violation := checkMoves(g); violation == "" {
			t.Errorf("the model finds no violation without %s", guard)
		}
	}
}
