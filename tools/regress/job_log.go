package main

import (
	"bufio"
	"io"
	"math"
	"strconv"
	"strings"

	"basaltwall/controller/core"
)

// Attributes of the controllers' log records of jobs. Package core defines the messages.
const (
	logKeyJob   = "job"
	logKeyAfter = "after" // seconds since the job was accepted
	logKeyClass = "asks.class"
	logKeyTasks = "asks.tasks"
	logKeyCPUs  = "asks.cpus" // per task, like the next ones
	logKeyGPUs  = "asks.gpus"
	logKeyMemGB = "asks.mem_gb"
)

// maxLogLine is the longest valid line of a day's log, in bytes.
const maxLogLine = 1 << 20

// loggedJob is the state of a job according to the logs of the controllers.
type loggedJob struct {
	class              string
	gpus, cpus, memory float64 // of all its tasks
	acceptedAt         float64 // seconds of simulated time, derived from its first record
	startDelay         float64 // seconds between acceptance and first start; infinite without a start
	done, cancelled    bool
}

// started reports whether the log has a start of the job.
func (j *loggedJob) started() bool { return !math.IsInf(j.startDelay, 1) }

// jobRecord is a log record of a job.
type jobRecord struct {
	at      float64 // simulated time, seconds
	message string
	fields  map[string]string
}

// number returns the value of a numeric field; 0 if it is missing.
func (r *jobRecord) number(key string) float64 {
	v, _ := strconv.ParseFloat(r.fields[key], 64)
	return v
}

// parseJobRecord parses a line of a day's log: the simulated time, the controller and its log record. It
// returns false for lines without a record of a job.
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

// update updates the job by a log record. A job may have several records of its start, as the next owner
// of its partition may not know of the first one.
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

// parseJobLog returns the jobs in a day's log by ID.
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
