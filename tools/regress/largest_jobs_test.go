package main

import (
	"fmt"
	"strings"
	"testing"
)

// TestLargestJobsFromLog checks that jobs are ordered by the resources of all their tasks, and that the
// wait of a job that never started lasts until the end.
func TestLargestJobsFromLog(t *testing.T) {
	var b strings.Builder
	line := func(at float64, what, ref string, tasks int, rest string) {
		fmt.Fprintf(&b, "%10.4f stone-0 time=x level=INFO msg=\"job %s\" job=%s asks.class=batch asks.team=a asks.tasks=%d asks.cpus=2 asks.gpus=0 asks.mem_gb=1 %s\n", at, what, ref, tasks, rest)
	}
	for i := range 11 {
		ref := fmt.Sprintf("run-%d", i)
		line(float64(i), "accepted", ref, 10+i, "")
		if i != 10 {
			line(float64(i)+3, "starts", ref, 10+i, "partition=0 after=3")
			line(float64(i)+90, "starts", ref, 10+i, "partition=0 after=90") // by an owner that does not know of the first start
			line(float64(i)+100, "done", ref, 10+i, "after=100")
		}
	}
	b.WriteString("  5.0000 stone-1 time=x level=INFO msg=\"partition acquired\" partition=1\n")
	l := findLargestJobs(parseJobLog(strings.NewReader(b.String())), 500)
	if l.class != "batch" || l.share != 0.5 || l.slowestJob != "run-10" || l.maxStartDelay != 490 {
		t.Errorf("%+v", l)
	}
}
