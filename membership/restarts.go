// Package membership owns the failback of partitions to controllers that restart: a controller that
// restarted several times of late gets its partitions back later and later, so that a crash loop costs
// the others no more than a few changes of ownership. It is pure: the time is passed in.
package membership

import (
	"slices"
	"time"

	"basaltwall/api"
)

const (
	// historyWindow is for how long a start counts.
	historyWindow = 2 * time.Minute
	// freeRestarts is how many starts within that time cause no delay: the first, and one restart.
	freeRestarts = 2
	// maxFailbackDelay bounds the delay, unless the base is longer.
	maxFailbackDelay = time.Minute
)

// RestartTracker tracks the starts of controllers. The zero value is ready to use.
type RestartTracker struct {
	controllers map[api.ControllerID]*restarts
}

// restarts are the starts of a controller.
type restarts struct {
	incarnation int64 // the latest
	starts      []api.Time
}

// Observe notes that a controller is alive in the incarnation that its member key names. It reports
// whether that is a new one.
func (t *RestartTracker) Observe(controller api.ControllerID, incarnation int64, now api.Time) bool {
	if t.controllers == nil {
		t.controllers = map[api.ControllerID]*restarts{}
	}
	history := t.controllers[controller]
	if history == nil {
		history = &restarts{}
		t.controllers[controller] = history
	}
	if len(history.starts) > 0 && history.incarnation == incarnation {
		return false
	}
	history.incarnation = incarnation
	history.starts = append(slices.DeleteFunc(history.starts, func(at api.Time) bool { return now.Sub(at) > historyWindow }), now)
	return true
}

// FailbackDelay is how long a controller must have been alive before it gets its home partitions back:
// base, doubled for each recent start beyond the free ones.
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
	for range max(0, recent-freeRestarts) {
		delay = min(2*delay, max(maxFailbackDelay, base))
	}
	return delay
}
