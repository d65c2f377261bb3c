// Package fairqueue decides which polls an overloaded controller answers. Each job has a time slice by
// the wall clock, the same at all controllers, so that a client that polls every few seconds is answered
// within a bounded time. In order of arrival, some jobs could stay unanswered for minutes. The package
// reads no clock: callers pass in the time.
package fairqueue

import (
	"hash/fnv"
	"time"

	"basaltwall/api"
)

// TimeSlice is the length of a time slice. It exceeds the polling interval of clients and the clock
// difference of controllers.
const TimeSlice = 7 * time.Second

// MaxSlices is the maximum number of time slices. A full cycle plus one missed slice is shorter than the
// 75 s after which a job counts as abandoned.
const MaxSlices = 8

// SliceCount returns the number of time slices for a number of waiting commands. The owner counts as
// overloaded from threshold waiting commands on; each doubling of their number doubles the slices.
func SliceCount(waiting, threshold int) int {
	sliceCount := 1
	for n := threshold; waiting >= n && sliceCount < MaxSlices; n *= 2 {
		sliceCount *= 2
	}
	return sliceCount
}

// Admit reports whether the current time slice is that of a job; otherwise wait is the time until the
// job's next slice. All controllers assign the same slices.
func Admit(jobID api.JobID, at api.WallTime, sliceCount int) (admitted bool, wait time.Duration) {
	hash := fnv.New32a()
	hash.Write([]byte(jobID))
	slice := api.WallTime(TimeSlice.Milliseconds())
	current, own := int(at/slice)%sliceCount, int(hash.Sum32()%uint32(sliceCount))
	if current == own {
		return true, 0
	}
	ahead := api.WallTime((own - current + sliceCount) % sliceCount)
	return false, time.Duration((at/slice+ahead)*slice-at) * time.Millisecond
}
