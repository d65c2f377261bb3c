package controller

import (
	"testing"

	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// An overloaded controller skips optional work such as rebalancing, but still starts tasks.
func TestOverloadShedsOnlyOptionalWork(t *testing.T) {
	n, owned, _, _ := newTestOwner(t, testSpec(2))
	n.core.Teams["red"] = config.Team{Name: "red"}
	n.dispatch(message.ResourceUsage{QueueLength: 10 * core.OverloadQueueLength})
	n.autoscaler.NextDemandSample = 0
	n.autoscaler.Reconcile()
	if n.autoscaler.NextDemandSample != 0 {
		t.Error("capacity targets are computed under overload")
	}
	n.scheduler.RunPartition(owned)
	if owned.NextMove != 0 || owned.NextLoan != 0 {
		t.Error("moves and loans are evaluated under overload")
	}
	if owned.InFlight == nil || len(owned.InFlight.Starts) == 0 {
		t.Error("no start was planned")
	}
	n.dispatch(message.ResourceUsage{QueueLength: 0})
	n.autoscaler.Reconcile()
	if n.autoscaler.NextDemandSample == 0 {
		t.Error("capacity targets are not computed after the overload")
	}
}
