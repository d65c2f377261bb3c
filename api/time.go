// This file holds monotonic time, wall-clock time and the protocols' durations.

package api

import "time"

// Time is a reading of the process's monotonic clock, in nanoseconds. Readings of different
// processes are not comparable.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// WallTime is wall-clock time in milliseconds since 1970. The clocks of nodes differ, so comparisons allow
// for clock error.
type WallTime int64

// Seconds converts a duration in seconds to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
