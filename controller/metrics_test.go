package controller

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
)

// A round that was not answered is counted, and what it was found to be.
func TestIndeterminateRoundsAreCounted(t *testing.T) {
	for _, written := range []bool{true, false} {
		n, owned, _, _ := newTestOwner(t, testSpec(2))
		n.scheduler.RunPartition(owned)
		send := func(a StoreResponse) {
			for _, e := range n.core.effects {
				if c, ok := e.(StoreCall); ok && c.Txn != nil && n.core.pendingCalls[c.ID] != nil {
					a.ID = c.ID
					n.dispatch(a)
					return
				}
			}
			t.Fatal("no write is under way")
		}
		send(StoreResponse{Status: 0})
		n.core.now = n.core.now.Add(time.Second)
		for _, p := range n.core.deferredCalls {
			p.callback()
		}
		if written {
			send(StoreResponse{Status: 200, Txn: api.TxnResponse{Revision: 20}})
		} else {
			send(StoreResponse{Status: 409, Txn: api.TxnResponse{Failed: []string{"b/job/run-1"}}})
			answerRead(t, n)
		}
		v := n.reporter.ViewMetrics()
		if v.IndeterminateWrites != 1 || (v.IndeterminateWritten == 1) != written || (v.IndeterminateUnwritten == 1) == written {
			t.Errorf("written %v: %d unanswered, %d found written, %d found not to be", written, v.IndeterminateWrites, v.IndeterminateWritten, v.IndeterminateUnwritten)
		}
	}
}

// Jobs that wait for over a minute are counted by their reason, without its figures.
func TestLongPendingByReason(t *testing.T) {
	for reason, change := range map[string]func(n *Controller, m *Machine, j *Job){
		"has room": func(*Controller, *Machine, *Job) {},
		"no room":  func(n *Controller, m *Machine, _ *Job) { m.lastHeartbeat = 0 },
		"limit": func(n *Controller, _ *Machine, _ *Job) {
			n.core.teams["red"] = config.Team{Name: "red", CPUsMax: 0.5}
		},
		"backs off after failures": func(n *Controller, _ *Machine, j *Job) { j.OwnerState.backoffUntil = n.core.now.Add(time.Second) },
	} {
		n, _, m, j := newTestOwner(t, testSpec(2))
		n.core.state.Members["n"] = clusterstate.MemberValue{}
		n.core.wallClock = 100_000
		j.AcceptedAt = 50_000
		if got := n.reporter.longPendingJobs(); len(got) != 0 {
			t.Errorf("%s: after 50 s %v are counted", reason, got)
		}
		j.AcceptedAt = 30_000
		change(n, m, j)
		if got := n.reporter.longPendingJobs(); len(got) != 1 || got[reason] != 1 {
			t.Errorf("%s: %v are counted", reason, got)
		}
	}
}
