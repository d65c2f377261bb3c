package main

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"basaltwall/controller/core"
	"basaltwall/internal/scenario"
)

// loggedScenario has a completed job, a running job that is cancelled, and one that arrives too late for a
// machine of its type to boot. The first has a single task, because the end of a job whose tasks end in
// several partitions at once may not be logged.
const loggedScenario = `Jobs with different outcomes.
-- script --
machines 6
submit 1 run-1 array tasks=1 cpus=2 run=10 class=sweep
submit 2 run-2 service tasks=2 cpus=1 class=web
submit 85 run-3 array tasks=1 cpus=6 run=10 types=g8 class=late
cancel 40 run-2
end 90
expect run-1 done
expect run-2 aborted
`

// simulatedLog runs a scenario and returns the controllers' log in the bench's format: each line begins
// with a time and a controller's name.
func simulatedLog(t *testing.T, script string) string {
	t.Helper()
	var records bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(slog.NewTextHandler(&records, &slog.HandlerOptions{Level: slog.LevelInfo})))
	result, err := scenario.Run([]byte(script))
	if err != nil || len(result.Problems) > 0 {
		t.Fatalf("scenario: %v, %q", err, result.Problems)
	}
	var log strings.Builder
	for line := range strings.Lines(records.String()) {
		fmt.Fprintf(&log, "%10.4f stone-0 %s", 50.0, line)
	}
	return log.String()
}

// TestParseJobLogOfControllers checks that the parser's messages and keys match the log records that
// controllers write of a job's acceptance, start and end.
func TestParseJobLogOfControllers(t *testing.T) {
	log := simulatedLog(t, loggedScenario)
	fields := map[string][]string{
		core.LogJobAccepted:  {logKeyJob, logKeyClass, logKeyTasks, logKeyCPUs, logKeyGPUs, logKeyMemGB},
		core.LogJobStarts:    {logKeyJob, logKeyAfter, logKeyClass, logKeyTasks, logKeyCPUs, logKeyGPUs, logKeyMemGB},
		core.LogJobDone:      {logKeyJob, logKeyAfter, logKeyClass, logKeyTasks, logKeyCPUs, logKeyGPUs, logKeyMemGB},
		core.LogJobCancelled: {logKeyJob, logKeyAfter},
	}
	records := map[string][]string{} // jobs by message
	for line := range strings.Lines(log) {
		record, ok := parseJobRecord(line)
		if !ok {
			continue
		}
		records[record.message] = append(records[record.message], record.fields[logKeyJob])
		for _, key := range fields[record.message] {
			if record.fields[key] == "" {
				t.Errorf("%q: no field %q in %q", record.message, key, line)
			}
		}
	}
	for _, want := range []struct {
		message string
		jobs    []string
	}{
		{core.LogJobAccepted, []string{"run-1", "run-2", "run-3"}},
		{core.LogJobStarts, []string{"run-1", "run-2"}},
		{core.LogJobDone, []string{"run-1"}},
		{core.LogJobCancelled, []string{"run-2"}},
	} {
		t.Run(want.message, func(t *testing.T) {
			got := slices.Compact(slices.Sorted(slices.Values(records[want.message])))
			if !slices.Equal(got, want.jobs) {
				t.Errorf("logged for %v, want %v", got, want.jobs)
			}
		})
	}
}

// TestLoggedJobsOfControllers checks class, size and outcome of jobs that are parsed from a log of
// controllers.
func TestLoggedJobsOfControllers(t *testing.T) {
	jobs := parseJobLog(strings.NewReader(simulatedLog(t, loggedScenario)))
	for _, want := range []struct {
		id                       string
		class                    string
		cpus                     float64
		started, done, cancelled bool
	}{
		{id: "run-1", class: "sweep", cpus: 2, started: true, done: true},
		{id: "run-2", class: "web", cpus: 2, started: true, cancelled: true},
		{id: "run-3", class: "late", cpus: 6},
	} {
		t.Run(want.id, func(t *testing.T) {
			j := jobs[want.id]
			if j == nil {
				t.Fatal("not found in the log")
			}
			if j.class != want.class || j.cpus != want.cpus || j.started() != want.started || j.done != want.done || j.cancelled != want.cancelled {
				t.Errorf("%+v, want %+v", *j, want)
			}
		})
	}
}

// TestParseJobRecordOfOtherLines checks that lines without a record of a job are ignored.
func TestParseJobRecordOfOtherLines(t *testing.T) {
	for name, line := range map[string]string{
		"empty":           "",
		"no time":         `stone-0 time=x level=INFO msg="job done" job=run-1`,
		"no message":      "5.0000 stone-0 started",
		"another message": `5.0000 stone-0 time=x level=INFO msg="partition acquired" partition=1`,
		"similar message": `5.0000 stone-0 time=x level=INFO msg="job done early" job=run-1`,
	} {
		t.Run(name, func(t *testing.T) {
			if record, ok := parseJobRecord(line); ok {
				t.Errorf("%+v", record)
			}
		})
	}
	if jobs := parseJobLog(strings.NewReader("")); len(jobs) != 0 {
		t.Errorf("jobs of an empty log: %v", jobs)
	}
}
