package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltwall/internal/emulator"
)

// result is what a run measured.
type result struct {
	Name        string  `json:"name"`
	What        string  `json:"what,omitempty"`
	Label       string  `json:"label"` // of the sources, given by who runs it
	At          string  `json:"at"`
	Cores       int     `json:"cores"`
	Failed      string  `json:"failed,omitempty"`
	Vary        string  `json:"vary,omitempty"`
	Value       int     `json:"value,omitempty"`
	Machines    int     `json:"machines"`
	Controllers int     `json:"controllers"`
	Teams       int     `json:"teams"`
	TargetTasks int     `json:"tasks_filled"` // that were to run before it was counted
	Running     int     `json:"tasks_running"`
	FillSeconds float64 `json:"fill_s"`
	Window      float64 `json:"window_s"`
	Starts      int     `json:"starts"`
	BestSecond  int     `json:"starts_in_best_second"`
	BestTen     float64 `json:"starts_a_second_in_best_ten"`
	Jobs        int     `json:"jobs_submitted"`

	ControllerUsage []controllerUsage              `json:"controllers_use"`
	CPU             float64                        `json:"controllers_cpu_cores"` // all together
	EmulatorCPU     float64                        `json:"hollow_cpu_cores"`
	EmulatorMB      float64                        `json:"hollow_mb"`
	Traffic         emulator.TrafficSnapshot       `json:"traffic"`
	Stored          map[string]emulator.StoredSize `json:"state_stored"`
	StoreCounts     emulator.StoreCounts           `json:"state_counts"`
	Worker          workerTraffic                  `json:"a_worker"`
	Latency         map[string]latency             `json:"latency"`
	Faults          []faultResult                  `json:"faults,omitempty"`
	Violations      []string                       `json:"rules_broken"`
	UnexpectedExits int                            `json:"controllers_that_ended"`
}

// controllerUsage is what a controller used in the window.
type controllerUsage struct {
	Label      string             `json:"label"`
	Cores      float64            `json:"cores"`
	PeakMB     float64            `json:"peak_mb"`
	Partitions int                `json:"parts"`
	Work       map[string]float64 `json:"work_s,omitempty"` // by kind, since it began
}

// workerTraffic is what one worker sends and gets for control, on average.
type workerTraffic struct {
	Heartbeats float64 `json:"reports_a_second"`
	Direct     float64 `json:"direct_commands_a_second"`
	Bytes      float64 `json:"bytes_a_second"`
}

// latency describes a histogram, in seconds.
type latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P90   float64 `json:"p90_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// faultResult is how long it took after a fault until machines were commanded again.
type faultResult struct {
	What             string  `json:"what"`
	At               float64 `json:"at_s"`
	HalfCommanded    float64 `json:"half_s,omitempty"` // of the machines commanded
	MostCommanded    float64 `json:"nine_tenths_s,omitempty"`
	AllCommanded     float64 `json:"all_s,omitempty"`
	FirstUrgentStart float64 `json:"first_urgent_start_s,omitempty"`
}

// Names of latencies; those of users' requests are the requests' kinds, some with a suffix.
const (
	latencyAccepted    = "accepted"
	latencyPoll        = "poll"
	latencyCancel      = "cancel"
	latencySettings    = "settings in force everywhere"
	latencyStartPrefix = "start " // before the job's class
	latencyFillPrefix  = "fill "  // before the above, of jobs that came before the window
	latencyStartUrgent = latencyStartPrefix + "urgent"
	latencyStartBatch  = latencyStartPrefix + "batch"
)

// latencies are histograms of microseconds by name.
type latencies map[string]*hdrhistogram.Histogram

// maxLatencyMicros is the longest latency that is told apart, in microseconds.
const maxLatencyMicros = int64(20 * time.Minute / time.Microsecond)

// add counts a duration.
func (l latencies) add(name string, d time.Duration) {
	h := l[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, 3)
		l[name] = h
	}
	_ = h.RecordValue(min(maxLatencyMicros, max(1, d.Microseconds())))
}

// describe summarizes the histograms.
func (l latencies) describe() map[string]latency {
	out := map[string]latency{}
	for name, h := range l {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		out[name] = latency{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1e6}
	}
	return out
}

// startsBySecond counts task starts by the second of simulated time.
type startsBySecond map[int]int

// peak is the most starts in a second, and the most a second over ten of them.
func (r startsBySecond) peak() (second int, ten float64) {
	for at := range r {
		second = max(second, r[at])
		sum := 0
		for k := range 10 {
			sum += r[at+k]
		}
		ten = math.Max(ten, float64(sum)/10)
	}
	return second, ten
}

// newResult is the result of a run that begins.
func newResult(e *experiment, label string) *result {
	return &result{Name: e.Name, What: e.What, Label: label, At: time.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(),
		Machines: e.Machines, Controllers: e.Controllers, Teams: e.Teams, TargetTasks: e.targetTasks(), Violations: []string{}}
}

// valueOf is the run's value of the key that an experiment varies.
func (r *result) valueOf(key string) int {
	switch key {
	case varyMachines:
		return r.Machines
	case varyControllers:
		return r.Controllers
	}
	return r.TargetTasks
}

// save writes the result to a folder.
func (r *result) save(dir string) (string, error) {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, fmt.Sprintf("%s-%s.json", r.Label, r.Name))
	return name, os.WriteFile(name, append(data, '\n'), 0o644)
}

// readResults reads all results in a folder, by name.
func readResults(dir string) ([]*result, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(files)
	var out []*result
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		r := &result{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		out = append(out, r)
	}
	return out, nil
}
