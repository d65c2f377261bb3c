package main

import (
	"fmt"
	"slices"
	"time"

	"basaltwall/api"
)

// experiment is the content of an experiment file: a deployment, its load and faults, and the durations of
// the phases. With vary it runs once for each value.
type experiment struct {
	Name               string           `toml:"name"`
	What               string           `toml:"what"` // description, one sentence
	Seed               uint64           `toml:"seed"`
	Controllers        int              `toml:"controllers"`
	Machines           int              `toml:"machines"`
	Zones              int              `toml:"zones"`
	Regions            int              `toml:"regions"`
	Teams              int              `toml:"teams"`
	RegionDelay        float64          `toml:"region_delay_ms"`
	Settle             float64          `toml:"settle_s"`  // between fill and measurement
	Measure            float64          `toml:"measure_s"` // duration of the measurement
	FillWithin         float64          `toml:"fill_within_s"`
	Machine            machineSpec      `toml:"machine"`
	Workers            workerTimes      `toml:"workers"`
	State              storeLimits      `toml:"state"`
	Cloud              cloudLimits      `toml:"cloud"`
	Limits             controllerLimits `toml:"limits"`
	Loads              []jobLoad        `toml:"load"`
	Faults             []faultSpec      `toml:"fault"`
	SettingsChangeRate float64          `toml:"settings_changes_per_s"`
	Vary               *variation       `toml:"vary"`
}

// variation is the parameter that differs between the runs of an experiment.
type variation struct {
	Key    string `toml:"key"` // machines, controllers or running
	Values []int  `toml:"values"`
}

// machineSpec is a machine type.
type machineSpec struct {
	CPUs    float64 `toml:"cpus" json:"cpus"`
	MemGB   float64 `toml:"ram_gb" json:"ram_gb"`
	CacheGB float64 `toml:"cache_gb" json:"cache_gb"`
	Fetch   float64 `toml:"fetch_gb_per_s" json:"fetch_gb_per_s"`
}

// workerTimes are the intervals and timeouts of workers, in seconds.
type workerTimes struct {
	Report   float64 `toml:"report_s" json:"report_s"`
	Lease    float64 `toml:"lease_s" json:"lease_s"`
	GangWait float64 `toml:"gang_wait_s" json:"gang_wait_s"`
	GangPeer float64 `toml:"gang_peer_s" json:"gang_peer_s"`
	Cancel   float64 `toml:"cancel_s" json:"cancel_s"`
}

// storeLimits are the limits of the key-value store.
type storeLimits struct {
	RPS      float64 `toml:"rps" json:"rps"`
	WriteRPS float64 `toml:"write_rps" json:"write_rps"`
	ValueKB  float64 `toml:"value_kb" json:"value_kb"`
	TxnOps   int     `toml:"txn_ops" json:"txn_ops"`
}

// cloudLimits are the limits of the cloud's API.
type cloudLimits struct {
	RPS     float64 `toml:"rps" json:"rps"`
	ListLag float64 `toml:"list_lag_s" json:"list_lag_s"`
}

// controllerLimits are the resource limits of a controller.
type controllerLimits struct {
	CPUShare float64 `toml:"cpu_share" json:"cpu_share"`
	MemoryMB float64 `toml:"memory_mb" json:"memory_mb"`
	FDLimit  int     `toml:"fd_limit" json:"fd_limit"`
}

// jobLoad is a stream of equal jobs.
type jobLoad struct {
	Name     string  `toml:"name"`
	Kind     string  `toml:"kind"` // array, gang or service
	Priority string  `toml:"priority"`
	Tasks    int     `toml:"tasks"`
	CPUs     float64 `toml:"cpus"`
	MemGB    float64 `toml:"ram_gb"`
	Run      float64 `toml:"run_s"`
	Together bool    `toml:"together"`
	Scatter  bool    `toml:"scatter"`
	Images   int     `toml:"images"` // number of different images
	// FillTasks is the number of its tasks that must run before the measurement; they are submitted over
	// FillOver seconds. Interval is the time between later jobs in seconds; 0: no more jobs.
	FillTasks   int     `toml:"fill"`
	FillOver    float64 `toml:"fill_over_s"`
	Interval    float64 `toml:"every_s"`
	CancelShare float64 `toml:"cancel_share"` // share of jobs that are cancelled after half of their run time
}

// faultSpec is a fault at a time since the start of the measurement.
type faultSpec struct {
	At     float64 `toml:"at_s"`
	What   string  `toml:"what"` // end or cut_region
	Count  int     `toml:"count"`
	Back   float64 `toml:"back_s"` // end: downtime of the processes
	Region int     `toml:"region"`
	For    float64 `toml:"for_s"`
	Hold   bool    `toml:"hold"`
}

// kinds are the kinds of jobs by their names in experiment files.
var kinds = map[string]api.Kind{"array": api.Array, "gang": api.Gang, "service": api.Service}

// Names in experiment files: kinds of faults and parameters of a variation.
const (
	faultCrash     = "end"
	faultCutRegion = "cut_region"

	varyMachines    = "machines"
	varyControllers = "controllers"
	varyRunning     = "running"
)

// defaultFillWithin is the default timeout of the fill, in seconds.
const defaultFillWithin = 300

// readExperiment reads and validates an experiment file. It returns a *fieldError for an invalid field.
func readExperiment(path string) (*experiment, error) {
	e := &experiment{Seed: 1, Zones: 1, Regions: 1, Teams: 1, FillWithin: defaultFillWithin}
	if err := decodeTOML(path, e); err != nil {
		return nil, err
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// variants returns the runs of the experiment, one for each value of its variation.
func (e *experiment) variants() []*experiment {
	if e.Vary == nil {
		return []*experiment{e}
	}
	var out []*experiment
	for _, v := range e.Vary.Values {
		variant := *e
		variant.Name = fmt.Sprintf("%s-%d", e.Name, v)
		variant.Loads = slices.Clone(e.Loads)
		switch e.Vary.Key {
		case varyMachines:
			variant.Machines = v
		case varyControllers:
			variant.Controllers = v
		case varyRunning:
			variant.Loads[0].FillTasks = v
		}
		out = append(out, &variant)
	}
	return out
}

// targetTasks returns the number of tasks that run after the fill.
func (e *experiment) targetTasks() int {
	sum := 0
	for _, l := range e.Loads {
		sum += l.FillTasks
	}
	return sum
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
