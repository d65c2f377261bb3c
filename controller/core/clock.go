package core

// This file defines the controller's clock, which only advances between steps.

import (
	"time"

	"basaltwall/api"
)

// Clock is the time of the current step. Components read no other clock, so the same inputs give
// the same outputs.
type Clock struct {
	Now       api.Time     // monotonic
	WallClock api.WallTime // time of day
	StartedAt api.Time     // time of the first step
}

// ToWallClock converts a monotonic time to a time of day.
func (c *Clock) ToWallClock(t api.Time) api.WallTime {
	return c.WallClock - api.WallTime(c.Now.Sub(t).Milliseconds())
}

// FromWallClock converts a time of day, which may precede the start of this process, to a monotonic
// time.
func (c *Clock) FromWallClock(w api.WallTime) api.Time {
	return c.Now.Add(-time.Duration(c.WallClock-w) * time.Millisecond)
}

// SecondsSinceAcceptance returns the time since the acceptance of a job, in seconds. It can be
// negative, because another controller's clock may have set the time of acceptance.
func (c *Clock) SecondsSinceAcceptance(j *Job) float64 {
	return float64(c.WallClock-j.AcceptedAt) / 1000
}

// MaxClockError returns the deployment's bound on the difference between the wall clocks of two
// controllers.
func (k *Core) MaxClockError() time.Duration {
	return time.Duration(k.Config.Deployment.ClockErrorMS * float64(time.Millisecond))
}
