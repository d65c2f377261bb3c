// Package membership computes the delay of failback: how long a restarted controller must be live before
// it gets its partitions back. The delay grows with the number of recent restarts, so that a crash loop
// causes only a few changes of ownership. The package has no side effects; callers pass the time.
package membership

import (
	"slices"
	"time"

	"basaltwall/api"
)

const (
	// historyWindow is the time for which a start counts.
	historyWindow = 2 * time.Minute
	// freeStarts is the number of starts within historyWindow that do not increase the delay: the
	// first start and one restart.
	freeStarts = 2
	// maxFailbackDelay is the maximum delay, unless the base delay is longer.
	maxFailbackDelay = time.Minute
)

// RestartTracker tracks the recent starts of controllers. The zero value is ready to use.
type RestartTracker struct {
	controllers map[api.ControllerID]*startHistory
}

// startHistory is the recent starts of a controller.
type startHistory struct {
	incarnation int64 // latest incarnation
	starts      []api.Time
}

// Observe records that a controller is live in the given incarnation, and reports whether the incarnation
// is new.
func (t *RestartTracker) Observe(controller api.ControllerID, incarnation int64, now api.Time) bool {
	if t.controllers == nil {
		t.controllers = map[api.ControllerID]*startHistory{}
	}
	history := t.controllers[controller]
	if history == nil {
		history = &startHistory{}
		t.controllers[controller] = history
	}
	if len(history.starts) > 0 && history.incarnation == incarnation {
		return false
	}
	history.incarnation = incarnation
	history.starts = append(slices.DeleteFunc(history.starts, func(at api.Time) bool { return now.Sub(at) > historyWindow }), now)
	return true
}

// FailbackDelay returns the time for which a controller must be live before it gets its partitions back:
// base, doubled for each recent start beyond freeStarts, up to maxFailbackDelay.
func (t *RestartTracker) FailbackDelay(controller api.ControllerID, now api.Time, base time.Duration) time.Duration {
	history := t.controllers[controller]
	if history == nil {
		return base
	}
	recent := 0
	for _, at := range history.starts {
		if now.Sub(at) <= historyWindow {
			recent++
		}
	}
	delay := base
	for range max(0, recent-freeStarts) {
		delay = min(2*delay, max(maxFailbackDelay, base))
	}
	return delay
}
