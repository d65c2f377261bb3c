package balance

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model: two parts with an owner each, a machine of the first with one task, the transfer of
// both to the second, a cancellation. Controllers read the log late, or never; messages and the
// write of the transfer come late, doubled or never. The transfer's revision is the token 2 of the
// second owner, whose own term is older than the first one's, 1.

// transferGuards are what a transfer rests on.
type transferGuards struct {
	version    bool // it is conditional on the versions of the machine's jobs
	baseToken  bool // a launch may be on its way under any token below the transfer's
	tokenShown bool // the new owner says that it knows only when the machine has shown its token
	share      bool // the share of the team's limit goes with the tasks, in the same record
}

// transferWorld is one state of the model; index 0 is the first part and its owner, 1 the second.
type transferWorld struct {
	placed, part                    int8 // whether the task has its place, and in which part
	transferred                     bool
	cancelled, cancellationReported bool
	readCancellation, acknowledged  [2]bool // an owner has read the cancellation; its word is in the record
	readTransfer                    [2]bool // it has read the transfer
	composed                        bool    // the transfer is on its way to the state service
	token                           int8    // the highest that the machine has seen
	running, ended                  bool    // the task is there; it was and is over
	launched                        bool    // a launch of it may still arrive
	reportedToken                   int8    // the token in the last report that the second owner has
	reportedRunning                 bool    // the task is in that report
	elsewhere, used                 int8    // starts of the task at another machine; tasks of its team
	share0, share1                  int8    // what the parts may use of the team's limit of one task
	violated                        bool
}

// next visits the states that may follow.
func (w transferWorld) next(g transferGuards, visit func(transferWorld)) bool {
	if w.violated {
		return true
	}
	step := func(f func(n *transferWorld)) {
		n := w
		f(&n)
		visit(n)
	}
	if !w.cancelled {
		step(func(n *transferWorld) { n.cancelled = true })
	}
	if w.cancelled && !w.cancellationReported && (w.placed == 0 || w.acknowledged[w.part]) {
		step(func(n *transferWorld) { n.cancellationReported = true })
	}
	// It was told, and the record says that it is not so any more: an older answer follows.
	if w.cancellationReported && w.placed == 1 && !w.acknowledged[w.part] {
		return true
	}
	for i := range w.readTransfer {
		step(func(n *transferWorld) { n.readTransfer[i], n.readCancellation[i] = n.transferred, n.cancelled })
	}
	step(func(n *transferWorld) { n.reportedToken, n.reportedRunning = 0, false }) // the second part has a new owner
	w.lenderSteps(step, g)
	w.borrowerSteps(step, g)
	w.deliverMessages(step)
	return false
}

// lenderSteps are the steps of the first part's owner.
func (w transferWorld) lenderSteps(step func(func(*transferWorld)), g transferGuards) {
	owns := w.part == 0 && w.placed == 1
	if owns && !w.readTransfer[0] && !w.readCancellation[0] && !w.composed {
		step(func(n *transferWorld) { n.composed = true })
		step(func(n *transferWorld) { n.launched = true })
	}
	if w.composed && !w.transferred && owns && (!w.cancelled || !g.version) {
		step(func(n *transferWorld) {
			n.transferred, n.part = true, 1
			if g.share {
				n.share0, n.share1 = n.share0-1, n.share1+1
			}
		})
	}
	if !w.transferred && w.readCancellation[0] && owns && w.running {
		step(func(n *transferWorld) { n.acknowledged[0] = true })
	}
	// It starts another task of the team within its share, by what the record says it uses.
	use := int8(0)
	if owns {
		use = 1
	}
	if w.used == 1 && use < w.share0 && w.placed == 1 {
		step(func(n *transferWorld) { n.used++; n.violated = true })
	}
	if !w.readTransfer[0] && w.token <= 1 { // it renews the machine's lease
		step(func(n *transferWorld) {
			n.token = 1
			n.answerReport(0)
		})
	}
}

// answerReport is what an owner's answer to a report does: it halts a task whose cancellation the
// owner knows, and renews the lease of any other.
func (w *transferWorld) answerReport(owner int) {
	switch {
	case w.readCancellation[owner]:
		w.running, w.ended = false, w.ended || w.running
	case w.cancellationReported && w.running:
		w.violated = true
	}
}

// borrowerSteps are the steps of the second part's owner.
func (w transferWorld) borrowerSteps(step func(func(*transferWorld)), g transferGuards) {
	if !w.readTransfer[1] {
		return
	}
	step(func(n *transferWorld) { n.reportedToken, n.reportedRunning = n.token, n.running }) // its answer is lost
	step(func(n *transferWorld) {
		n.reportedToken, n.reportedRunning = n.token, n.running
		n.token = 2
		n.answerReport(1)
	})
	if w.placed == 1 && w.part == 1 && w.readCancellation[1] && !w.acknowledged[1] && (w.reportedToken >= 2 || !g.tokenShown) {
		step(func(n *transferWorld) { n.acknowledged[1] = true })
	}
	// It records the end of what a report lacks that it wants to be stopped, once no launch can
	// follow; then the first owner starts the task elsewhere.
	lowest := int8(2)
	if !g.baseToken {
		lowest = 1
	}
	if w.placed == 1 && w.part == 1 && w.reportedToken >= lowest && !w.reportedRunning && (w.reportedToken > 0) {
		step(func(n *transferWorld) { n.placed, n.elsewhere = 0, 1 })
	}
}

// deliverMessages are launches that arrive.
func (w transferWorld) deliverMessages(step func(func(*transferWorld))) {
	if w.launched {
		for _, again := range []bool{false, true} {
			step(func(n *transferWorld) {
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

// However reads, writes, launches and reports follow one another, a machine that goes to another
// part with its tasks neither runs a task of a job that was called cancelled, nor one that was
// started elsewhere, nor more of a team than its limit, and what was told is not taken back; and
// without any of the guards one of these happens.
func TestTransferInterleavings(t *testing.T) {
	all := transferGuards{true, true, true, true}
	first := transferWorld{placed: 1, token: 1, used: 1, share0: 1}
	search := func(g transferGuards) (int, bool) {
		return modelcheck.Explore(first, 0, func(w transferWorld, do func(transferWorld)) bool { return w.next(g, do) })
	}
	states, wrong := search(all)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a transfer breaks a rule")
	}
	if states < 500 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, without := range map[string]func(*transferGuards){
		"the jobs' versions":          func(g *transferGuards) { g.version = false },
		"the transfer's token":        func(g *transferGuards) { g.baseToken = false },
		"the token that is shown":     func(g *transferGuards) { g.tokenShown = false },
		"the share that goes with it": func(g *transferGuards) { g.share = false },
	} {
		g := all
		without(&g)
		if _, wrong := search(g); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
