package controller

import (
	"testing"

	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

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
