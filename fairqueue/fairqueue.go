// Package fairqueue owns whose polls are answered while a controller can't answer all of them: each
// job has a time slice by the wall clock, the same at all controllers, so that whoever polls every
// few seconds is answered within a bounded time, whatever others do. A refusal costs next to nothing,
// while answering in order of arrival would leave some without an answer for minutes, by chance. It is
// pure: the time is passed in.
package fairqueue

import (
	"hash/fnv"
	"time"

	"basaltwall/api"
)

// TimeSlice is the length of a time slice: longer than users wait before they poll again, and than the
// controllers' clocks can differ.
const TimeSlice = 7 * time.Second

// MaxSlices is the largest number of slices: a whole cycle is shorter than the 75 s after which a
// job counts as abandoned, including a slice that is missed once at its edges.
const MaxSlices = 8

// SliceCount is into how many time slices polls are divided while so many commands wait. From threshold
// waiting commands on the owner counts as overloaded; each doubling doubles the slices.
func SliceCount(waiting, threshold int) int {
	sliceCount := 1
	for n := threshold; waiting >= n && sliceCount < MaxSlices; n *= 2 {
		sliceCount *= 2
	}
	return sliceCount
}

// Admit reports whether the current time slice is a job's, and if not how long it is until then. Every
// controller decides alike.
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
