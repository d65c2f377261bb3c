package core

// This file holds the controller's clock, which only advances between steps.

import (
	"time"

	"basaltwall/api"
)

// Clock is the time of the current step. No component reads a clock of its own, so that the same
// inputs give the same outputs.
type Clock struct {
	Now       api.Time     // monotonic
	WallClock api.WallTime // time of day
	StartedAt api.Time     // time of the first step
}

// ToWallClock is the time of day of a monotonic time.
func (c *Clock) ToWallClock(t api.Time) api.WallTime {
	return c.WallClock - api.WallTime(c.Now.Sub(t).Milliseconds())
}

// FromWallClock is the monotonic time of a time of day, which may lie before this process began.
func (c *Clock) FromWallClock(w api.WallTime) api.Time {
	return c.Now.Add(-time.Duration(c.WallClock-w) * time.Millisecond)
}

// SecondsSinceAcceptance is for how long a job has been accepted, in seconds. It may be negative,
// as another controller's clock may have told the time of acceptance.
func (c *Clock) SecondsSinceAcceptance(j *Job) float64 {
	return float64(c.WallClock-j.AcceptedAt) / 1000
}

// MaxClockError is by how much the wall clocks of two controllers may differ, as the deployment
// guarantees it.
func (k *Core) MaxClockError() time.Duration {
	return time.Duration(k.Config.Deployment.ClockErrorMS * float64(time.Millisecond))
}
