// Time: the steady clock, the time of day and the protocol's durations.

package api

import "time"

// Time is a reading of the process's monotonic clock, in nanoseconds. Readings of different
// processes are not comparable.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// WallTime is the time of day in milliseconds since 1970. It is only compared
// with a tolerance: the clocks of different nodes differ.
type WallTime int64

// Seconds converts a protocol duration, in seconds, into a Go duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
