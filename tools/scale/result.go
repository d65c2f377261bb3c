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
	"basaltwall/internal/exactjson"
)

type result struct {
	Name        string  `json:"name"`
	What        string  `json:"what,omitempty"`
	Label       string  `json:"label"` // of the measured version, given on the command line
	At          string  `json:"at"`
	Cores       int     `json:"cores"`
	Failed      string  `json:"failed,omitempty"`
	Vary        string  `json:"vary,omitempty"`
	Value       int     `json:"value,omitempty"`
	Machines    int     `json:"machines"`
	Controllers int     `json:"controllers"`
	Teams       int     `json:"teams"`
	TargetTasks int     `json:"tasks_filled"` // that must run before the measurement
	Running     int     `json:"tasks_running"`
	FillSeconds float64 `json:"fill_s"`
	Window      float64 `json:"window_s"`
	Starts      int     `json:"starts"`
	BestSecond  int     `json:"starts_in_best_second"`
	BestTen     float64 `json:"starts_a_second_in_best_ten"`
	Jobs        int     `json:"jobs_submitted"`

	ControllerUsage []controllerUsage              `json:"controllers_use"`
	CPU             float64                        `json:"controllers_cpu_cores"` // of all controllers
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

// controllerUsage is the resource usage of a controller in the window.
type controllerUsage struct {
	Label      string             `json:"label"`
	Cores      float64            `json:"cores"`
	PeakMB     float64            `json:"peak_mb"`
	Partitions int                `json:"parts"`
	Work       map[string]float64 `json:"work_s,omitempty"` // processor time by kind of work, since the start of the process
}

// workerTraffic is the average control traffic of a worker.
type workerTraffic struct {
	Heartbeats float64 `json:"reports_a_second"`
	Direct     float64 `json:"direct_commands_a_second"`
	Bytes      float64 `json:"bytes_a_second"`
}

// latency summarizes a histogram, in seconds.
type latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P90   float64 `json:"p90_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// faultResult has the times from a fault until machines got commands again, in seconds.
type faultResult struct {
	What             string  `json:"what"`
	At               float64 `json:"at_s"`
	HalfCommanded    float64 `json:"half_s,omitempty"`        // half of the machines
	MostCommanded    float64 `json:"nine_tenths_s,omitempty"` // nine tenths
	AllCommanded     float64 `json:"all_s,omitempty"`
	FirstUrgentStart float64 `json:"first_urgent_start_s,omitempty"`
}

// Names of latencies. Latencies of users' requests have the name of the request's kind and, if they failed,
// a suffix.
const (
	latencyAccepted    = "accepted"
	latencyPoll        = "poll"
	latencyCancel      = "cancel"
	latencySettings    = "settings in force everywhere"
	latencyStartPrefix = "start " // followed by the job's class
	latencyFillPrefix  = "fill "  // followed by the start latency, for jobs submitted before the window
	latencyStartUrgent = latencyStartPrefix + "urgent"
	latencyStartBatch  = latencyStartPrefix + "batch"
)

// latencies are histograms by name, in microseconds.
type latencies map[string]*hdrhistogram.Histogram

// maxLatencyMicros is the upper end of the histograms, in microseconds.
const maxLatencyMicros = int64(20 * time.Minute / time.Microsecond)

// add adds a duration to a histogram.
func (l latencies) add(name string, d time.Duration) {
	h := l[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, 3)
		l[name] = h
	}
	_ = h.RecordValue(min(maxLatencyMicros, max(1, d.Microseconds())))
}

func (l latencies) describe() map[string]latency {
	out := map[string]latency{}
	for name, h := range l {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		out[name] = latency{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1e6}
	}
	return out
}

// startsBySecond has the number of task starts in each second of simulated time.
type startsBySecond map[int]int

// peak returns the most starts in one second, and the highest average over ten seconds.
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

// newResult returns a result without measurements.
func newResult(e *experiment, label string) *result {
	return &result{Name: e.Name, What: e.What, Label: label, At: time.Now().UTC().Format(time.RFC3339), Cores: runtime.NumCPU(),
		Machines: e.Machines, Controllers: e.Controllers, Teams: e.Teams, TargetTasks: e.targetTasks(), Violations: []string{}}
}

// valueOf returns the run's value of a parameter that experiments vary.
func (r *result) valueOf(key string) int {
	switch key {
	case varyMachines:
		return r.Machines
	case varyControllers:
		return r.Controllers
	}
	return r.TargetTasks
}

// save writes the result to a folder and returns the file's path.
func (r *result) save(dir string) (string, error) {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, fmt.Sprintf("%s-%s.json", r.Label, r.Name))
	return name, os.WriteFile(name, append(data, '\n'), 0o644)
}

// readResults reads all results in a folder, ordered by file name.
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
		if err := exactjson.Decode(data, r); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		out = append(out, r)
	}
	return out, nil
}
