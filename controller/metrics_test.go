package controller

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// An unanswered write of a round is counted as indeterminate, and later by its outcome.
func TestIndeterminateRoundsAreCounted(t *testing.T) {
	for _, written := range []bool{true, false} {
		n, owned, _, _ := newTestOwner(t, testSpec(2))
		n.scheduler.RunPartition(owned)
		send := func(a message.StoreResponse) {
			for _, e := range n.core.Effects {
				if c, ok := e.(message.StoreCall); ok && c.Txn != nil && n.core.PendingCalls[c.ID] != nil {
					a.ID = c.ID
					n.dispatch(a)
					return
				}
			}
			t.Fatal("no write is in flight")
		}
		send(message.StoreResponse{Status: 0})
		n.core.Now = n.core.Now.Add(time.Second)
		n.core.RunDeferredCalls()
		if written {
			send(message.StoreResponse{Status: 200, Txn: api.TxnResponse{Revision: 20}})
		} else {
			send(message.StoreResponse{Status: 409, Txn: api.TxnResponse{Failed: []string{"b/job/run-1"}}})
			answerRead(t, n)
		}
		v := n.reporter.View()
		if v.IndeterminateWrites != 1 || (v.IndeterminateWritten == 1) != written || (v.IndeterminateUnwritten == 1) == written {
			t.Errorf("written %v: %d indeterminate writes, %d found written, %d found not written", written, v.IndeterminateWrites, v.IndeterminateWritten, v.IndeterminateUnwritten)
		}
	}
}

// Jobs that have been pending for over a minute are counted by the kind of reason.
func TestLongPendingByReason(t *testing.T) {
	for reason, change := range map[string]func(n *Controller, m *core.Machine, j *core.Job){
		"has room": func(*Controller, *core.Machine, *core.Job) {},
		"no room":  func(n *Controller, m *core.Machine, _ *core.Job) { m.LastHeartbeat = 0 },
		"limit": func(n *Controller, _ *core.Machine, _ *core.Job) {
			n.core.Teams["red"] = config.Team{Name: "red", CPUsMax: 0.5}
		},
		"backs off after failures": func(n *Controller, _ *core.Machine, j *core.Job) {
			j.OwnerState.BackoffUntil = n.core.Now.Add(time.Second)
		},
	} {
		n, _, m, j := newTestOwner(t, testSpec(2))
		n.core.State.Members["n"] = clusterstate.MemberValue{}
		n.core.WallClock = 100_000
		j.AcceptedAt = 50_000
		if got := n.jobs.LongPendingJobs(); len(got) != 0 {
			t.Errorf("%s: counts after 50 s: %v, expected none", reason, got)
		}
		j.AcceptedAt = 30_000
		change(n, m, j)
		if got := n.jobs.LongPendingJobs(); len(got) != 1 || got[reason] != 1 {
			t.Errorf("%s: counts after 70 s: %v, expected 1 for this reason", reason, got)
		}
	}
}
