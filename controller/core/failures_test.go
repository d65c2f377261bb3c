package core

import (
	"testing"
	"time"

	"basaltwall/api"
)

// The delays grow with each failed probe up to the maximum, which with a probe's run is below the 90 s after
// which a pending job counts as left waiting. Failures of tasks that were started together count once.
func TestFailureBackoffDelays(t *testing.T) {
	const leftWaiting = 90 * time.Second
	var backoff FailureBackoff
	now := api.Time(time.Hour)
	for i, want := range []time.Duration{10, 20, 40, 40, 40} {
		backoff.Failed(now)
		backoff.Failed(now.Add(time.Second))
		if got := backoff.RetryAt.Sub(now); got != want*time.Second || got+FailureTrustTime > leftWaiting {
			t.Errorf("failure %d: next probe after %v, expected %v s", i+1, got, want)
		}
		now = backoff.RetryAt
	}
	if left := (MachineFailures{"i-1": &backoff, "i-2": {Failures: 1, RetryAt: now.Add(-time.Second)}}).RetryDelay(now.Add(-5 * time.Second)); left != 4*time.Second {
		t.Errorf("the job may retry in %v, expected 4 s", left)
	}
}
