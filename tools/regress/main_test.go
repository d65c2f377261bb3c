package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The least served are found by what is missing: replica time, jobs that did not end, jobs
// of a team that never started. Cancelled work is held against nobody.
func TestLeastServed(t *testing.T) {
	var r dayReport
	if err := json.Unmarshal([]byte(`{"classes":{"web":{"jobs":10,"started":10,"done":0,"cancelled":7,"up":0.97},
		"batch":{"jobs":20,"started":20,"done":9,"cancelled":2}},
		"teams":{"a":{"jobs":5,"started":5},"b":{"jobs":8,"started":2},"c":{"jobs":0,"started":0}}}`), &r); err != nil {
		t.Fatal(err)
	}
	class, cs, team, ts := r.leastServed()
	if class != "batch" || cs != 0.5 || team != "b" || ts != 0.25 {
		t.Errorf("least served: class %s %.3f, team %s %.3f", class, cs, team, ts)
	}
}

// The largest of a class are found by what all tasks take; one that never began has waited
// until the end, also where nobody logged that it was accepted before it began elsewhere.
func TestLargestJobsFromLog(t *testing.T) {
	var b strings.Builder
	line := func(at float64, what, ref string, tasks int, rest string) {
		fmt.Fprintf(&b, "%10.4f stone-0 time=x level=INFO msg=\"job %s\" job=%s asks.class=batch asks.team=a asks.tasks=%d asks.cpus=2 asks.gpus=0 asks.mem_gb=1 %s\n", at, what, ref, tasks, rest)
	}
	for i := range 11 {
		ref := fmt.Sprintf("run-%d", i)
		line(float64(i), "accepted", ref, 10+i, "")
		if i != 10 {
			line(float64(i)+3, "starts", ref, 10+i, "part=0 after=3")
			line(float64(i)+90, "starts", ref, 10+i, "part=0 after=90") // by one that did not know
			line(float64(i)+100, "done", ref, 10+i, "after=100")
		}
	}
	b.WriteString("  5.0000 stone-1 time=x level=INFO msg=\"part taken\" part=1\n")
	l := findLargestJobs(parseJobLog(strings.NewReader(b.String())), 500)
	if l.class != "batch" || l.share != 0.5 || l.slowestJob != "run-10" || l.maxStartDelay != 490 {
		t.Errorf("%+v", l)
	}
}

// A grown copy has so many times the machines, the work and the limits, and nothing else is
// another but the name and how soon a process is back.
func TestGrowDeployment(t *testing.T) {
	dir := t.TempDir()
	deployment := "name = \"a\"\n[nodes]\ncount = 3\nrestart_delay_s = 3.0\n[state]\nrps = 150.0\n[[capacity]]\ncount = 5\nspot = 3\n[[machines]]\ncount = 4\n" +
		"[[teams]]\nname = \"t\"\ncpus_max = 10.0\n[[jobs]]\ninitial = 7\narrivals = { rate = 0.5 }\n[[day]]\nfaults = [{ kind = \"machine_die\", count = 4 }, { kind = \"node_crash\", count = 2 }]\n"
	file := filepath.Join(dir, "a.toml")
	if err := os.WriteFile(file, []byte(deployment), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := growDeployment(file, t.TempDir(), 1.5, 0.2)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if _, err := toml.DecodeFile(out, &got); err != nil {
		t.Fatal(err)
	}
	want := "map[capacity:[map[count:8 spot:5]] day:[map[faults:[map[count:6 kind:machine_die] map[count:2 kind:node_crash]]]] jobs:[map[arrivals:map[rate:0.75] initial:11]] machines:[map[count:6]] name:a-x1.5 nodes:map[count:3 restart_delay_s:0.2] state:map[rps:150] teams:[map[cpus_max:15 name:t]]]"
	if s := fmt.Sprint(got); s != want {
		t.Errorf("%s", s)
	}
}
