package main

import (
	"cmp"
	"maps"
	"slices"
)

// maxStartWait is the longest wait of a class's largest jobs until they start, in seconds. It is less than
// the four minutes after which a day fails.
const maxStartWait = 200.0

// largestJobs describes the service of the largest tenth of the jobs of each class.
type largestJobs struct {
	class         string  // with the lowest share
	share         float64 // served share of its largest jobs
	slowestJob    string  // with the longest wait until its start, of all classes
	maxStartDelay float64 // its wait, seconds
}

// completionGrace is a time before the end of the day, in seconds. Arrays and gangs that arrive within it
// and don't complete are not counted.
const completionGrace = 240.0

// largestTenth returns the largest tenth of jobs, at least one, by the total resources of their tasks.
func largestTenth(jobs map[string]*loggedJob, ids []string) []string {
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b string) int {
		x, y := jobs[a], jobs[b]
		return cmp.Or(cmp.Compare(y.gpus, x.gpus), cmp.Compare(y.cpus, x.cpus), cmp.Compare(y.memory, x.memory))
	})
	return sorted[:(len(sorted)+9)/10]
}

// findLargestJobs evaluates the largest tenth of the jobs of each class. In classes with completed jobs,
// jobs count as served if they completed; in the others, which have services, if they started. Jobs that
// arrived shortly before the end, in seconds of simulated time, are not counted.
func findLargestJobs(jobs map[string]*loggedJob, end float64) largestJobs {
	byClass := map[string][]string{}
	finite := map[string]bool{} // classes with a completed job
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
			if j.arrivedTooLate(end, finite[class]) {
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

// served reports whether the job completed or, if its class has no finite jobs, started.
func (j *loggedJob) served(finite bool) bool { return j.done || !finite && j.started() }

// arrivedTooLate reports whether the job arrived too shortly before the end to be counted.
func (j *loggedJob) arrivedTooLate(end float64, finite bool) bool {
	return finite && !j.done && j.acceptedAt > end-completionGrace || !j.started() && j.acceptedAt > end-maxStartWait
}
