// Package membership owns how far controllers that come and go are trusted with parts of the
// machines: who has ended several times of late gets its partitions back later and later, so that a
// process that keeps ending costs the others no more than a few changes of hands. It is pure.
package membership

import (
	"slices"
	"time"

	"basaltwall/api"
)

const (
	// historyWindow is for how long an end counts.
	historyWindow = 2 * time.Minute
	// freeRestarts is how many lives within that time cost no trust: a restart, and one more.
	freeRestarts = 2
	// maxFailbackDelay is how long a controller waits for its partitions at most.
	maxFailbackDelay = time.Minute
)

// RestartTracker is what is known of controllers' lives.
type RestartTracker struct {
	controllers map[api.ControllerID]*restarts
}

type restarts struct {
	incarnation int64
	starts      []api.Time // of late
}

// Observe notes that a controller lives, in the life that its member key names. It reports whether
// that is another life than the one known before.
func (l *RestartTracker) Observe(controller api.ControllerID, incarnation int64, now api.Time) bool {
	if l.controllers == nil {
		l.controllers = map[api.ControllerID]*restarts{}
	}
	history := l.controllers[controller]
	if history == nil {
		history = &restarts{}
		l.controllers[controller] = history
	}
	if len(history.starts) > 0 && history.incarnation == incarnation {
		return false
	}
	history.incarnation = incarnation
	history.starts = append(slices.DeleteFunc(history.starts, func(at api.Time) bool { return now.Sub(at) > historyWindow }), now)
	return true
}

// FailbackDelay is how long a controller must have lived before its partitions go home, usually so long.
func (l *RestartTracker) FailbackDelay(controller api.ControllerID, now api.Time, base time.Duration) time.Duration {
	history := l.controllers[controller]
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
