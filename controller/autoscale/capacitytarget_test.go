package autoscale

import (
	"testing"
	"time"

	"basaltwall/api"
)

// A step in the load is not extrapolated, steady growth is.
func TestOnlySustainedGrowthIsExtrapolated(t *testing.T) {
	const boot = 20 * time.Second
	targetAfter := func(loadAt func(second int) float64) int {
		target := &capacityTarget{latencySensitiveSpec: &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 1, CPUs: 1}}
		for i := range 60 {
			at := api.Time(time.Minute + time.Duration(i)*time.Second)
			target.addSample(demandSample{at, loadAt(i), loadAt(i)}, api.Time(boot+2*time.Second), api.Time(boot))
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
		t.Errorf("the target after a step to 100 machines is %d, expected %d", step, want)
	}
	if steady := targetAfter(func(i int) float64 { return 40 + float64(i) }); steady < withHeadroom(99)+18 {
		t.Errorf("the target for a load that grows by one machine per second to 99 is only %d", steady)
	}
}
