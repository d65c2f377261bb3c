package controller

import (
	"testing"
	"time"

	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// Submissions beyond what the state service can write are refused at once, or the
// renewal of our lease would be refused there with them.
func TestSubmissionsLeaveWriteBudget(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	accepted := 0
	for range 10 * 20 { // ten seconds, a thousand submissions
		n.core.Now = n.core.Now.Add(50 * time.Millisecond)
		for range 5 {
			if n.jobs.allowSubmission() {
				accepted++
			}
		}
	}
	if most := int(submissionWriteShare * n.core.Config.Deployment.State.WriteRPS * 11); accepted > most || accepted < most/2 {
		t.Errorf("%d of 1000 submissions in ten seconds are written, expected %d at most and not much less", accepted, most)
	}
}

// A controller that is behind puts off what is merely better, and starts tasks all
// the same.
func TestOverloadShedsOnlyOptionalWork(t *testing.T) {
	n, owned, _, _ := newTestOwner(t, testSpec(2))
	n.core.Teams["red"] = config.Team{Name: "red"}
	n.dispatch(message.ResourceUsage{QueueLength: 10 * core.OverloadQueueLength})
	n.autoscaler.NextDemandSample = 0
	n.autoscaler.Reconcile()
	if n.autoscaler.NextDemandSample != 0 {
		t.Error("the load was reckoned")
	}
	n.scheduler.RunPartition(owned)
	if owned.NextMove != 0 || owned.NextLoan != 0 {
		t.Error("moves and lending were looked at")
	}
	if owned.InFlight == nil || len(owned.InFlight.Starts) == 0 {
		t.Error("no start was planned")
	}
	n.dispatch(message.ResourceUsage{QueueLength: 0})
	n.autoscaler.Reconcile()
	if n.autoscaler.NextDemandSample == 0 {
		t.Error("the load was not reckoned when there was time again")
	}
}
