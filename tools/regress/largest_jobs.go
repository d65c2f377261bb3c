package main

import (
	"cmp"
	"maps"
	"slices"
)

// maxStartWait is how long one of a class's largest jobs may wait to start, in seconds: well
// within the four minutes after which a day fails.
const maxStartWait = 200.0

// largestJobs tells how the largest jobs of classes were served.
type largestJobs struct {
	class         string  // whose largest tenth was served least
	share         float64 // of that tenth, served
	slowestJob    string  // of any class's largest, the one that waited longest to start
	maxStartDelay float64 // seconds that it waited
}

// completionGrace is what an array or gang that came late may still take when the day ends, in
// seconds, beyond the time for which its like ran: it is not counted.
const completionGrace = 240.0

// largestTenth is the largest tenth of jobs, one at least, by what all their tasks take.
func largestTenth(jobs map[string]*loggedJob, ids []string) []string {
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		x, y := jobs[a], jobs[b]
		return cmp.Or(cmp.Compare(y.gpus, x.gpus), cmp.Compare(y.cpus, x.cpus), cmp.Compare(y.memory, x.memory))
	})
	return sorted[:(len(sorted)+9)/10]
}

// findLargestJobs looks at the largest tenth of each class's jobs. Of a class of which none is
// ever done, services, those count as served that started; of the others those that were done, if
// they came well before the end, which is in seconds of simulated time.
func findLargestJobs(jobs map[string]*loggedJob, end float64) largestJobs {
	byClass := map[string][]string{}
	finite := map[string]bool{} // classes of which some job is done
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if j := jobs[id]; j.class != "" && !j.cancelled {
			byClass[j.class] = append(byClass[j.class], id)
			finite[j.class] = finite[j.class] || j.done
		}
	}
	out := largestJobs{share: 1}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		served, counted := 0, 0
		for _, id := range largestTenth(jobs, byClass[class]) {
			j := jobs[id]
			if waited := min(j.startDelay, end-j.acceptedAt); waited > out.maxStartDelay {
				out.slowestJob, out.maxStartDelay = id, waited
			}
			if j.cameTooLate(end, finite[class]) {
				continue
			}
			counted++
			if j.served(finite[class]) {
				served++
			}
		}
		if counted == 0 {
			continue
		}
		if share := float64(served) / float64(counted); out.class == "" || share < out.share {
			out.class, out.share = class, share
		}
	}
	return out
}

// served tells whether the job got what it asked for: its end if jobs of its class are finite, its
// start otherwise.
func (j *loggedJob) served(finite bool) bool { return j.done || !finite && j.started() }

// cameTooLate tells whether the day's end came too soon after the job for it to be counted.
func (j *loggedJob) cameTooLate(end float64, finite bool) bool {
	return finite && !j.done && j.acceptedAt > end-completionGrace || !j.started() && j.acceptedAt > end-maxStartWait
}
