package fragmentation

import (
	"fmt"
	"testing"
)

// The model: machines A and B, a small replica that runs on A, and a large task that needs all of
// A. An owner reserves A for it, has the replica stopped, records its end by evidence, records its
// start on B, and then the large task's start on A; it drops the reservation once the large task has
// started or was cancelled. There are two controllers: each reads the record and composes one change
// of it, which lands then or later, perhaps after the other has taken the partition over. Commands
// are sent for what is recorded, also late, under the fencing token of the sender.

// modelState is what is recorded.
type modelState struct {
	replica  uint8 // 0: pending, 1: on A, 2: on B
	large    uint8 // 0: pending, 1: on A, 2: cancelled
	reserved bool
}

type modelChange uint8

const (
	changeNone modelChange = iota
	changeReserve
	changeEnd // of the replica on A
	changeMove
	changeBack // it starts on A again, if that is no longer reserved
	changeLarge
	changeRelease
)

type modelOwner struct {
	read                modelState
	fresh, owns         bool // the record, and who owns the partition, are as it read them
	sent                modelChange
	sentFresh, sentOwns bool // the same of what it has sent
	reservedBySelf      bool // that it reserved A itself
}

type modelWorld struct {
	record modelState
	a, b   bool     // the replica is on A, on B, in truth
	onA    bool     // the large task is
	stop   bool     // a stop of the replica is in flight
	start  [2]uint8 // a start in flight, by sender: 1 of the replica on B, 2 of the large task, 3 of the replica on A
	owner  uint8
	owners [2]modelOwner
}

type modelRules struct {
	term             bool // records name the partition's term
	version          bool // and follow the one that they were composed from
	evidence         bool // an end is recorded once the task is gone
	anyOwnerReleases bool // whoever owns the partition drops the reservation that its record has
	requiresEmpty    bool // the large task starts once nothing of the record is on A
}

func (w modelWorld) violation() string {
	switch {
	case w.a && w.b:
		return "the replica is on two machines"
	case w.a && w.onA:
		return "more than A holds"
	}
	return ""
}

func (w modelWorld) next(r modelRules, visit func(modelWorld)) {
	n := w
	if w.record.large == 0 { // the large job is cancelled
		n.record.large = 2
		n.invalidateReads()
		visit(n)
	}
	if w.record.large == 2 && w.onA {
		n = w
		n.onA = false
		visit(n)
	}
	if w.stop { // a stop arrives, late perhaps
		n = w
		n.a, n.stop = false, false
		visit(n)
	}
	for i := range w.owners {
		// It takes the partition over, and reads.
		n = w
		n.owner = uint8(i)
		for k := range n.owners {
			n.owners[k].owns, n.owners[k].sentOwns = false, false
		}
		n.owners[i] = modelOwner{read: w.record, fresh: true, owns: true, sent: w.owners[i].sent, sentFresh: w.owners[i].sentFresh}
		visit(n)
		o := w.owners[i]
		n = w // it reads again
		n.owners[i].read, n.owners[i].fresh, n.owners[i].owns = w.record, true, w.owner == uint8(i)
		visit(n)
		// A start that was recorded is sent, and arrives or does not; one of a former owner is
		// refused once the machine has the token of the next.
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
				n.onA = true
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
		if o.read.large == 1 && !w.onA && w.start[i] == 0 {
			n = w
			n.start[i] = 2
			visit(n)
		}
		if o.sent != changeNone {
			continue
		}
		send := func(c modelChange) {
			n := w
			n.owners[i].sent, n.owners[i].sentFresh, n.owners[i].sentOwns = c, o.fresh, true
			if c == changeReserve {
				n.owners[i].reservedBySelf = true
			}
			visit(n)
		}
		if o.read.large == 0 && !reserved {
			send(changeReserve)
		}
		// Evidence: it is gone, and no start of it may still arrive.
		if gone := !w.a && w.start[0] != 3 && w.start[1] != 3; o.read.replica == 1 && (gone || reserved && !r.evidence) {
			send(changeEnd)
		}
		if o.read.replica == 0 {
			send(changeMove)
			if !reserved && o.read.large == 2 && !w.onA {
				send(changeBack)
			}
		}
		if o.read.replica == 1 && !w.a && !w.stop && w.start[i] == 0 && o.read.large == 2 && o.sent != changeEnd {
			n = w
			n.start[i] = 3
			visit(n)
		}
		if o.read.large == 0 && reserved && (o.read.replica != 1 || !r.requiresEmpty) {
			send(changeLarge)
		}
		if reserved && o.read.large != 0 && (r.anyOwnerReleases || o.reservedBySelf) {
			send(changeRelease)
		}
	}
	// What was sent lands, or never does.
	for i, o := range w.owners {
		if o.sent == changeNone {
			continue
		}
		n = w
		n.owners[i].sent = changeNone
		visit(n)
		if !o.sentFresh && r.version || !o.sentOwns && r.term {
			continue
		}
		switch o.sent {
		case changeReserve:
			n.record.reserved = true
		case changeEnd:
			if n.record.replica == 1 {
				n.record.replica = 0
			}
		case changeMove:
			n.record.replica = 2
		case changeBack:
			n.record.replica = 1
		case changeLarge:
			if n.record.large == 0 {
				n.record.large = 1
			}
		case changeRelease:
			n.record.reserved = false
			n.owners[i].reservedBySelf = false
		}
		n.invalidateReads()
		n.owners[i].read, n.owners[i].fresh = n.record, true
		visit(n)
	}
}

// invalidateReads marks what was read as outdated, after a change of the record.
func (w *modelWorld) invalidateReads() {
	for i := range w.owners {
		w.owners[i].fresh, w.owners[i].sentFresh = false, false
	}
}

// converged is the end: the replica runs, the large task does or was cancelled, and nothing is
// reserved.
func (w modelWorld) converged() bool {
	if w.record.reserved || w.record.replica == 0 || w.record.large == 0 || w.record.large == 1 && !w.onA {
		return false
	}
	return w.a || w.b
}

// checkMoves examines all reachable states, and says what goes wrong in one, or that from some
// no path leads to the end.
func checkMoves(r modelRules) (states int, violation string) {
	first := modelWorld{record: modelState{replica: 1}, a: true}
	index := map[modelWorld]int{first: 0}
	all := []modelWorld{first}
	var from [][]int32 // by state: those that lead to it
	from = append(from, nil)
	for i := 0; i < len(all); i++ {
		if why := all[i].violation(); why != "" {
			return len(all), why
		}
		all[i].next(r, func(n modelWorld) {
			k, known := index[n]
			if !known {
				k = len(all)
				index[n] = k
				all, from = append(all, n), append(from, nil)
			}
			from[k] = append(from[k], int32(i))
		})
	}
	ends := make([]bool, len(all))
	var todo []int32
	for i := range all {
		if all[i].converged() {
			ends[i] = true
			todo = append(todo, int32(i))
		}
	}
	for len(todo) > 0 {
		k := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, i := range from[k] {
			if !ends[i] {
				ends[i] = true
				todo = append(todo, i)
			}
		}
	}
	for i := range all {
		if !ends[i] {
			return len(all), fmt.Sprintf("no way leads to the end from %+v", all[i])
		}
	}
	return len(all), ""
}

// However ends, failovers, late records and late commands are ordered, the replica is never on two
// machines nor lost, A never holds both, and in the end nothing is reserved; and each guard is needed.
func TestEveryInterleavingOfAMove(t *testing.T) {
	all := modelRules{true, true, true, true, true}
	states, wrong := checkMoves(all)
	t.Logf("%d states, all there are", states)
	if wrong != "" || states < 5_000 {
		t.Errorf("%q, %d states", wrong, states)
	}
	for what, drop := range map[string]func(*modelRules){
		"the records' order": func(r *modelRules) { r.version, r.term = false, false },
		"evidence of an end": func(r *modelRules) { r.evidence = false },
		"what is on A":       func(r *modelRules) { r.requiresEmpty = false },
		"whoever owns it":    func(r *modelRules) { r.anyOwnerReleases = false },
	} {
		r := all
		drop(&r)
		if _, wrong := checkMoves(r); wrong == "" {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
