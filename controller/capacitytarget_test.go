package controller

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// What comes all at once, as at the start of a day, is not expected to come again;
// what keeps coming is.
func TestOnlySustainedGrowthIsExtrapolated(t *testing.T) {
	const boot = 20 * time.Second
	targetAfter := func(of func(second int) float64) int {
		target := &capacityTarget{latencySensitiveSpec: testSpec(1)}
		for i := range 60 {
			at := api.Time(time.Minute + time.Duration(i)*time.Second)
			target.addSample(demandSample{at, of(i), of(i)}, api.Time(boot+2*time.Second), api.Time(boot))
		}
		return target.latencySensitive
	}
	step := targetAfter(func(i int) float64 {
		if i < 45 {
			return 0
		}
		return 100
	})
	if want := withHeadroom(100); step != want {
		t.Errorf("after a step to 100 machines %d are kept, expected %d", step, want)
	}
	if steady := targetAfter(func(i int) float64 { return 40 + float64(i) }); steady < withHeadroom(99)+18 {
		t.Errorf("while a load grows by one machine a second to 99, %d are kept", steady)
	}
}

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
	if most := int(core.SubmissionWriteShare * n.core.Config.Deployment.State.WriteRPS * 11); accepted > most || accepted < most/2 {
		t.Errorf("%d of 1000 submissions in ten seconds are written, expected %d at most and not much less", accepted, most)
	}
}

// A controller that is behind puts off what is merely better, and starts tasks all
// the same.
func TestOverloadShedsOnlyOptionalWork(t *testing.T) {
	n, owned, _, _ := newTestOwner(t, testSpec(2))
	n.core.Teams["red"] = config.Team{Name: "red"}
	n.dispatch(message.ResourceUsage{QueueLength: 10 * core.OverloadQueueLength})
	n.autoscaler.fleet.nextDemandSample = 0
	n.autoscaler.ReconcileFleet()
	if n.autoscaler.fleet.nextDemandSample != 0 {
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
	n.autoscaler.ReconcileFleet()
	if n.autoscaler.fleet.nextDemandSample == 0 {
		t.Error("the load was not reckoned when there was time again")
	}
}
