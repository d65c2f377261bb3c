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

	"basaltwall/controller/core"
)

// maxStartWait is how long one of a class's largest jobs may wait to start, in seconds: well
// within the four minutes after which a day fails.
const maxStartWait = 200.0

// Keys of the controllers' log records of jobs; the messages are core.LogJobAccepted and its like.
const (
	logKeyJob   = "job"
	logKeyAfter = "after" // seconds since the job was accepted
	logKeyClass = "asks.class"
	logKeyTasks = "asks.tasks"
	logKeyCPUs  = "asks.cpus" // of each task, as are those below
	logKeyGPUs  = "asks.gpus"
	logKeyMemGB = "asks.mem_gb"
)

// maxLogLine bounds a line of a day's log, in bytes.
const maxLogLine = 1 << 20

// loggedJob is what controllers' logs tell of a job.
type loggedJob struct {
	class              string
	gpus, cpus, memory float64 // of all its tasks
	acceptedAt         float64 // seconds of simulated time, as far as is known
	startDelay         float64 // seconds from acceptance to the first start; infinite without one
	done, cancelled    bool
}

// jobRecord is a log record of a job.
type jobRecord struct {
	at      float64 // simulated time, seconds
	message string
	fields  map[string]string
}

// number is the value of a numeric field, 0 if the record does not have it.
func (r *jobRecord) number(key string) float64 {
	v, _ := strconv.ParseFloat(r.fields[key], 64)
	return v
}

// parseJobRecord reads a line of a day's log: the simulated time, the controller, and what it wrote.
// It is false for lines that are no record of a job.
func parseJobRecord(line string) (jobRecord, bool) {
	clock, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	at, err := strconv.ParseFloat(clock, 64)
	if err != nil {
		return jobRecord{}, false
	}
	_, rest, _ = strings.Cut(rest, `msg="`)
	message, rest, _ := strings.Cut(rest, `"`)
	switch message {
	case core.LogJobAccepted, core.LogJobStarts, core.LogJobDone, core.LogJobCancelled:
	default:
		return jobRecord{}, false
	}
	record := jobRecord{at: at, message: message, fields: map[string]string{}}
	for _, word := range strings.Fields(rest) {
		if key, value, ok := strings.Cut(word, "="); ok {
			record.fields[key] = value
		}
	}
	return record, true
}

// update takes in a log record of the job. A job may have several records of its start, as a
// controller that took over its partition may not know of the first.
func (j *loggedJob) update(record *jobRecord) {
	if class := record.fields[logKeyClass]; class != "" {
		tasks := record.number(logKeyTasks)
		j.class = class
		j.gpus = tasks * record.number(logKeyGPUs)
		j.cpus = tasks * record.number(logKeyCPUs)
		j.memory = tasks * record.number(logKeyMemGB)
	}
	switch record.message {
	case core.LogJobStarts:
		j.startDelay = min(j.startDelay, record.number(logKeyAfter))
	case core.LogJobDone:
		j.done = true
	case core.LogJobCancelled:
		j.cancelled = true
	}
}

// parseJobLog gathers the jobs from a day's log, by their IDs.
func parseJobLog(r io.Reader) map[string]*loggedJob {
	jobs := map[string]*loggedJob{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		record, ok := parseJobRecord(lines.Text())
		if !ok {
			continue
		}
		id := record.fields[logKeyJob]
		if jobs[id] == nil {
			jobs[id] = &loggedJob{acceptedAt: record.at - record.number(logKeyAfter), startDelay: math.Inf(1)}
		}
		jobs[id].update(&record)
	}
	return jobs
}

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

func (j *loggedJob) started() bool { return !math.IsInf(j.startDelay, 1) }

// served tells whether the job got what it asked for: its end if jobs of its class are finite, its
// start otherwise.
func (j *loggedJob) served(finite bool) bool { return j.done || !finite && j.started() }

// cameTooLate tells whether the day's end came too soon after the job for it to be counted.
func (j *loggedJob) cameTooLate(end float64, finite bool) bool {
	return finite && !j.done && j.acceptedAt > end-completionGrace || !j.started() && j.acceptedAt > end-maxStartWait
}
