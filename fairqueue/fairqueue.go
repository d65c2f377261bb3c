// Package fairqueue owns whose questions are answered while not all can be: each job has its turn
// by the clock, alike at all controllers, so that whoever asks every few seconds is answered
// within a bounded time whatever others ask. Refusing costs next to nothing; answering those
// that happen to come first would leave some unanswered for minutes, by chance. It is pure.
package fairqueue

import (
	"hash/fnv"
	"time"

	"basaltwall/api"
)

// TimeSlice is how long a turn lasts: longer than users wait before they ask again, and than the
// controllers' clocks can differ.
const TimeSlice = 7 * time.Second

// MaxSlices is the most ways in which questions are divided: a whole cycle is shorter than the time
// after which a job counts as forgotten, 75 s, with a turn that is missed once for its edges.
const MaxSlices = 8

// SliceCount is in how many ways questions are divided where so many commands wait and the owner is
// called behind from so many on.
func SliceCount(waiting, threshold int) int {
	sliceCount := 1
	for n := threshold; waiting >= n && sliceCount < MaxSlices; n *= 2 {
		sliceCount *= 2
	}
	return sliceCount
}

// Admit reports whether it is a job's turn, or how long it is until then.
func Admit(jobID api.JobID, at api.WallTime, sliceCount int) (admitted bool, wait time.Duration) {
	h := fnv.New32a()
	h.Write([]byte(jobID))
	slice := api.WallTime(TimeSlice.Milliseconds())
	current, own := int(at/slice)%sliceCount, int(h.Sum32()%uint32(sliceCount))
	if current == own {
		return true, 0
	}
	ahead := api.WallTime((own - current + sliceCount) % sliceCount)
	return false, time.Duration((at/slice+ahead)*slice-at) * time.Millisecond
}
