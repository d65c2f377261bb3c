// Package member owns how far controllers that come and go are trusted with parts of the
// machines: who has ended several times of late gets its parts back later and later, so that a
// process that keeps ending costs the others no more than a few changes of hands. It is pure.
package member

import (
	"slices"
	"time"

	"basaltwall/api"
)

const (
	// memory is for how long an end counts.
	memory = 2 * time.Minute
	// free is how many lives within that time cost no trust: a restart, and one more.
	free = 2
	// longest is how long a controller waits for its parts at most.
	longest = time.Minute
)

// Lives is what is known of controllers' lives.
type Lives struct {
	of map[api.Label]*lives
}

type lives struct {
	born   int64
	starts []api.Time // of late
}

// Saw notes that a controller lives, in the life that its member key names. It reports whether
// that is another life than the one known before.
func (l *Lives) Saw(who api.Label, born int64, now api.Time) bool {
	if l.of == nil {
		l.of = map[api.Label]*lives{}
	}
	x := l.of[who]
	if x == nil {
		x = &lives{}
		l.of[who] = x
	}
	if len(x.starts) > 0 && x.born == born {
		return false
	}
	x.born = born
	x.starts = append(slices.DeleteFunc(x.starts, func(at api.Time) bool { return now.Sub(at) > memory }), now)
	return true
}

// Settle is how long a controller must have lived before its parts go home, usually so long.
func (l *Lives) Settle(who api.Label, now api.Time, usual time.Duration) time.Duration {
	x := l.of[who]
	if x == nil {
		return usual
	}
	recent := 0
	for _, at := range x.starts {
		if now.Sub(at) <= memory {
			recent++
		}
	}
	d := usual
	for range max(0, recent-free) {
		d = min(2*d, max(longest, usual))
	}
	return d
}
