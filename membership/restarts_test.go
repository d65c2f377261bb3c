package membership

import (
	"testing"
	"time"

	"basaltwall/api"
)

// A single restart does not increase the failback delay, a crash loop doubles it repeatedly, and it
// returns to the base after a while without restarts.
func TestFailbackDelayGrowsWithRestarts(t *testing.T) {
	var tracker RestartTracker
	at := func(s int) api.Time { return api.Time(time.Duration(s) * time.Second) }
	if !tracker.Observe("a", 1, at(0)) || tracker.Observe("a", 1, at(1)) || !tracker.Observe("a", 2, at(10)) {
		t.Error("Observe does not detect new incarnations")
	}
	for i, want := range []int{5, 10, 20, 40, 60, 60} {
		if got := tracker.FailbackDelay("a", at(10+i), 5*time.Second); got != time.Duration(want)*time.Second {
			t.Errorf("after %d incarnations: %v, expected %d s", i+2, got, want)
		}
		tracker.Observe("a", int64(3+i), at(10+i))
	}
	if got := tracker.FailbackDelay("a", at(200), 5*time.Second); got != 5*time.Second {
		t.Errorf("after two minutes without restarts: %v, expected 5s", got)
	}
	if got := tracker.FailbackDelay("b", at(0), 5*time.Second); got != 5*time.Second {
		t.Errorf("for an unknown controller: %v, expected 5s", got)
	}
}
