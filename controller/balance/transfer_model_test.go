package balance

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model has two partitions with an owner each, a machine of the first partition with one task, the
// transfer of both to the second partition, and a cancellation of the job. Controllers read the log
// late or never; messages and the write of the transfer arrive late, twice or never. The revision of
// the transfer is fencing token 2, of the second owner; the first owner's term is fencing token 1.

// transferGuards are the safety measures of a transfer.
type transferGuards struct {
	version       bool // the transfer is conditional on the versions of the machine's jobs
	baseToken     bool // launches under any token below the transfer's count as possibly in flight
	tokenReported bool // the new owner acknowledges a cancellation only after the machine has reported its token
	quota         bool // the transfer moves the quota together with the tasks
}

// transferState is one state of the model; index 0 is the first partition and its owner, 1 the second.
type transferState struct {
	placed, partition               int8 // whether the task has a placement, and in which partition
	transferred                     bool
	cancelled, cancellationReported bool
	readCancellation, acknowledged  [2]bool // an owner has read the cancellation; has recorded its acknowledgement
	readTransfer                    [2]bool // an owner has read the transfer
	composed                        bool    // the write of the transfer is in flight
	token                           int8    // the highest token that the machine has received
	running, ended                  bool    // the task runs on the machine; has run there and ended
	launched                        bool    // a launch of the task may still arrive
	reportedToken                   int8    // the token in the last heartbeat that the second owner has received
	reportedRunning                 bool    // the task is in that heartbeat
	elsewhere, used                 int8    // starts of the task on another machine; running tasks of its team
	quota0, quota1                  int8    // the partitions' quota, of the team's limit of one task
	violated                        bool
}

// next visits the possible next states.
func (w transferState) next(g transferGuards, visit func(transferState)) bool {
	if w.violated {
		return true
	}
	step := func(f func(n *transferState)) {
		n := w
		f(&n)
		visit(n)
	}
	if !w.cancelled {
		step(func(n *transferState) { n.cancelled = true })
	}
	if w.cancelled && !w.cancellationReported && (w.placed == 0 || w.acknowledged[w.partition]) {
		step(func(n *transferState) { n.cancellationReported = true })
	}
	// The cancellation was reported to the user, but the record no longer confirms it.
	if w.cancellationReported && w.placed == 1 && !w.acknowledged[w.partition] {
		return true
	}
	for i := range w.readTransfer {
		step(func(n *transferState) { n.readTransfer[i], n.readCancellation[i] = n.transferred, n.cancelled })
	}
	step(func(n *transferState) { n.reportedToken, n.reportedRunning = 0, false }) // the second partition has a new owner
	w.lenderSteps(step, g)
	w.borrowerSteps(step, g)
	w.deliverMessages(step)
	return false
}

// lenderSteps takes the steps of the first partition's owner.
func (w transferState) lenderSteps(step func(func(*transferState)), g transferGuards) {
	owns := w.partition == 0 && w.placed == 1
	if owns && !w.readTransfer[0] && !w.readCancellation[0] && !w.composed {
		step(func(n *transferState) { n.composed = true })
		step(func(n *transferState) { n.launched = true })
	}
	if w.composed && !w.transferred && owns && (!w.cancelled || !g.version) {
		step(func(n *transferState) {
			n.transferred, n.partition = true, 1
			if g.quota {
				n.quota0, n.quota1 = n.quota0-1, n.quota1+1
			}
		})
	}
	if !w.transferred && w.readCancellation[0] && owns && w.running {
		step(func(n *transferState) { n.acknowledged[0] = true })
	}
	// It starts another task of the team if the recorded use is below its quota.
	use := int8(0)
	if owns {
		use = 1
	}
	if w.used == 1 && use < w.quota0 && w.placed == 1 {
		step(func(n *transferState) { n.used++; n.violated = true })
	}
	if !w.readTransfer[0] && w.token <= 1 { // it renews the machine's lease
		step(func(n *transferState) {
			n.token = 1
			n.answerHeartbeat(0)
		})
	}
}

// answerHeartbeat applies an owner's response to a heartbeat: it stops the task if the owner knows its
// cancellation, and else renews the machine's lease.
func (w *transferState) answerHeartbeat(owner int) {
	switch {
	case w.readCancellation[owner]:
		w.running, w.ended = false, w.ended || w.running
	case w.cancellationReported && w.running:
		w.violated = true
	}
}

// borrowerSteps takes the steps of the second partition's owner.
func (w transferState) borrowerSteps(step func(func(*transferState)), g transferGuards) {
	if !w.readTransfer[1] {
		return
	}
	step(func(n *transferState) { n.reportedToken, n.reportedRunning = n.token, n.running }) // the response is lost
	step(func(n *transferState) {
		n.reportedToken, n.reportedRunning = n.token, n.running
		n.token = 2
		n.answerHeartbeat(1)
	})
	if w.placed == 1 && w.partition == 1 && w.readCancellation[1] && !w.acknowledged[1] && (w.reportedToken >= 2 || !g.tokenReported) {
		step(func(n *transferState) { n.acknowledged[1] = true })
	}
	// It records the end of a task that is missing in a heartbeat once no launch can still arrive. The
	// first owner may then start the task on another machine.
	lowest := int8(2)
	if !g.baseToken {
		lowest = 1
	}
	if w.placed == 1 && w.partition == 1 && w.reportedToken >= lowest && !w.reportedRunning && (w.reportedToken > 0) {
		step(func(n *transferState) { n.placed, n.elsewhere = 0, 1 })
	}
}

// deliverMessages delivers a launch, once or repeatedly.
func (w transferState) deliverMessages(step func(func(*transferState))) {
	if w.launched {
		for _, again := range []bool{false, true} {
			step(func(n *transferState) {
				n.launched = again
				if n.token > 1 || n.running || n.ended {
					return
				}
				n.token, n.running = 1, true
				if n.cancellationReported || n.elsewhere > 0 {
					n.violated = true
				}
			})
		}
	}
}

// In all interleavings of reads, writes, launches and heartbeats, a machine that is transferred with its
// tasks runs neither a task of a job that was reported cancelled nor one that was started on another
// machine, its team's limit is kept, and a reported cancellation is not revoked. Without any one of
// the guards, one of these is violated.
func TestTransferInterleavings(t *testing.T) {
	all := transferGuards{true, true, true, true}
	first := transferState{placed: 1, token: 1, used: 1, quota0: 1}
	search := func(g transferGuards) (int, bool) {
		return modelcheck.Explore(first, 0, func(w transferState, visit func(transferState)) bool { return w.next(g, visit) })
	}
	states, violated := search(all)
	t.Logf("%d states", states)
	if violated {
		t.Error("a transfer violates an invariant")
	}
	if states < 500 {
		t.Errorf("only %d states are reachable in the model", states)
	}
	for guard, disable := range map[string]func(*transferGuards){
		"the condition on the jobs' versions": func(g *transferGuards) { g.version = false },
		"the transfer's token as base token":  func(g *transferGuards) { g.baseToken = false },
		"waiting for the reported token":      func(g *transferGuards) { g.tokenReported = false },
		"the transfer of quota":               func(g *transferGuards) { g.quota = false },
	} {
		g := all
		disable(&g)
		if _, violated := search(g); !violated {
			t.Errorf("the model finds no violation without %s", guard)
		}
	}
}
