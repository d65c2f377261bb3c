package main

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxStartWait is how long one of a class's largest jobs may wait to begin, in seconds: well
// within the four minutes after which a day fails.
const maxStartWait = 200.0

// loggedJob is what controllers' logs tell of a job.
type loggedJob struct {
	class              string
	gpus, cpus, memory float64 // of all its tasks
	acceptedAt         float64 // accepted, as far as is known
	startDelay         float64 // seconds after that, infinite: not at all
	done, cancelled    bool
}

// parseJobLog gathers the jobs from lines of a day's log: the simulated time, the controller, and
// what it wrote.
func parseJobLog(r io.Reader) map[string]*loggedJob {
	jobs := map[string]*loggedJob{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		clock, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		at, err := strconv.ParseFloat(clock, 64)
		_, msg, ok := strings.Cut(rest, `msg="job `)
		if err != nil || !ok {
			continue
		}
		what, rest, _ := strings.Cut(msg, `"`)
		f := map[string]string{}
		for _, word := range strings.Fields(rest) {
			if k, v, ok := strings.Cut(word, "="); ok {
				f[k] = v
			}
		}
		number := func(key string) float64 {
			v, _ := strconv.ParseFloat(f[key], 64)
			return v
		}
		j := jobs[f["job"]]
		if j == nil {
			j = &loggedJob{acceptedAt: at - number("after"), startDelay: math.Inf(1)}
			jobs[f["job"]] = j
		}
		if class := f["asks.class"]; class != "" {
			tasks := number("asks.tasks")
			j.class, j.gpus, j.cpus, j.memory = class, tasks*number("asks.gpus"), tasks*number("asks.cpus"), tasks*number("asks.mem_gb")
		}
		switch what {
		case "starts":
			j.startDelay = min(j.startDelay, number("after"))
		case "done":
			j.done = true
		case "cancelled":
			j.cancelled = true
		}
	}
	return jobs
}

// largestJobs is how the largest tenth of a class's jobs was served that was served least, and
// which of any class's waited longest to begin.
type largestJobs struct {
	class         string
	share         float64
	slowestJob    string
	maxStartDelay float64 // seconds
}

// completionGrace is what an array or gang that came late may still take when the day ends, beyond
// the time for which its like ran: it is held against nobody.
const completionGrace = 240.0

// findLargestJobs looks at the largest tenth of each class's jobs, one at least, by what all their
// tasks take. Of a class of which none is ever done, services, those count that began; of the
// others those that were done, if they came well before the end.
func findLargestJobs(jobs map[string]*loggedJob, end float64) largestJobs {
	byClass := map[string][]string{}
	ends := map[string]bool{}
	for _, ref := range slices.Sorted(maps.Keys(jobs)) {
		if j := jobs[ref]; j.class != "" && !j.cancelled {
			byClass[j.class] = append(byClass[j.class], ref)
			ends[j.class] = ends[j.class] || j.done
		}
	}
	out := largestJobs{share: 1}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		refs := byClass[class]
		slices.SortStableFunc(refs, func(a, b string) int {
			x, y := jobs[a], jobs[b]
			return cmp.Or(cmp.Compare(y.gpus, x.gpus), cmp.Compare(y.cpus, x.cpus), cmp.Compare(y.memory, x.memory))
		})
		served, of := 0.0, 0.0
		for _, ref := range refs[:(len(refs)+9)/10] {
			j := jobs[ref]
			waited := min(j.startDelay, end-j.acceptedAt)
			if waited > out.maxStartDelay {
				out.slowestJob, out.maxStartDelay = ref, waited
			}
			if ends[class] && !j.done && j.acceptedAt > end-completionGrace || math.IsInf(j.startDelay, 1) && j.acceptedAt > end-maxStartWait {
				continue
			}
			of++
			if j.done || !ends[class] && !math.IsInf(j.startDelay, 1) {
				served++
			}
		}
		if of > 0 && (out.class == "" || served/of < out.share) {
			out.class, out.share = class, served/of
		}
	}
	return out
}
