package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"basaltwall/api"
)

// experiment is a file that says what is played and measured. With vary it is played once for
// each value.
type experiment struct {
	Name               string           `toml:"name"`
	What               string           `toml:"what"` // in a sentence
	Seed               uint64           `toml:"seed"`
	Controllers        int              `toml:"controllers"`
	Machines           int              `toml:"machines"`
	Zones              int              `toml:"zones"`
	Regions            int              `toml:"regions"`
	Teams              int              `toml:"teams"`
	RegionDelay        float64          `toml:"region_delay_ms"`
	Settle             float64          `toml:"settle_s"`  // after the fill, before counting begins
	Measure            float64          `toml:"measure_s"` // for how long it is counted
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

// variation is one thing that differs between the runs of an experiment.
type variation struct {
	Key    string `toml:"key"` // machines, controllers or running
	Values []int  `toml:"values"`
}

type machineSpec struct {
	CPUs    float64 `toml:"cpus" json:"cpus"`
	MemGB   float64 `toml:"ram_gb" json:"ram_gb"`
	CacheGB float64 `toml:"cache_gb" json:"cache_gb"`
	Fetch   float64 `toml:"fetch_gb_per_s" json:"fetch_gb_per_s"`
}

type workerTimes struct {
	Report   float64 `toml:"report_s" json:"report_s"`
	Lease    float64 `toml:"lease_s" json:"lease_s"`
	GangWait float64 `toml:"gang_wait_s" json:"gang_wait_s"`
	GangPeer float64 `toml:"gang_peer_s" json:"gang_peer_s"`
	Cancel   float64 `toml:"cancel_s" json:"cancel_s"`
}

type storeLimits struct {
	RPS      float64 `toml:"rps" json:"rps"`
	WriteRPS float64 `toml:"write_rps" json:"write_rps"`
	ValueKB  float64 `toml:"value_kb" json:"value_kb"`
	TxnOps   int     `toml:"txn_ops" json:"txn_ops"`
}

type cloudLimits struct {
	RPS     float64 `toml:"rps" json:"rps"`
	ListLag float64 `toml:"list_lag_s" json:"list_lag_s"`
}

type controllerLimits struct {
	CPUShare float64 `toml:"cpu_share" json:"cpu_share"`
	MemoryMB float64 `toml:"memory_mb" json:"memory_mb"`
	FDLimit  int     `toml:"fd_limit" json:"fd_limit"`
}

// jobLoad is a stream of jobs that are alike.
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
	Images   int     `toml:"images"` // how many images its jobs have among them
	// FillTasks is how many of its tasks are to run before it is counted; they are submitted over
	// FillOver seconds. Every is the time between its jobs from then on, 0: none.
	FillTasks   int     `toml:"fill"`
	FillOver    float64 `toml:"fill_over_s"`
	Interval    float64 `toml:"every_s"`
	CancelShare float64 `toml:"cancel_share"` // of its jobs, cancelled halfway
}

// faultSpec is something that goes wrong, at a time counted from the begin of the measurement.
type faultSpec struct {
	At     float64 `toml:"at_s"`
	What   string  `toml:"what"` // end, cut_region
	Count  int     `toml:"count"`
	Back   float64 `toml:"back_s"` // end: when the processes are back
	Region int     `toml:"region"`
	For    float64 `toml:"for_s"`
	Hold   bool    `toml:"hold"`
}

// The kinds of jobs and faults, as files name them.
var kinds = map[string]api.Kind{"array": api.Array, "gang": api.Gang, "service": api.Service}

const (
	faultCrash     = "end"
	faultCutRegion = "cut_region"

	varyMachines    = "machines"
	varyControllers = "controllers"
	varyRunning     = "running"
)

// Bounds of what an experiment may ask for.
const (
	maxControllers = 64
	maxMachines    = 10_000
	maxSeconds     = 1200
)

// readExperiment reads a file; an error names the field.
func readExperiment(path string) (*experiment, error) {
	e := &experiment{Seed: 1, Zones: 1, Regions: 1, Teams: 1, FillWithin: 300}
	meta, err := toml.DecodeFile(path, e)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return nil, fmt.Errorf("%s: %s: no such field", path, left[0])
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// validate finds the first field that is wrong.
func (e *experiment) validate() error {
	within := func(name string, v, low, high float64) error {
		if v < low || v > high {
			return fmt.Errorf("%s: %v: must be between %v and %v", name, v, low, high)
		}
		return nil
	}
	if e.Name == "" || strings.ContainsAny(e.Name, "/ ") {
		return errors.New("name: must be there, without spaces and slashes")
	}
	err := errors.Join(
		within("controllers", float64(e.Controllers), 1, maxControllers),
		within("machines", float64(e.Machines), 1, maxMachines),
		within("zones", float64(e.Zones), 1, 64),
		within("regions", float64(e.Regions), 1, float64(e.Zones)),
		within("teams", float64(e.Teams), 1, 1000),
		within("region_delay_ms", e.RegionDelay, 0, 2000),
		within("settle_s", e.Settle, 0, maxSeconds),
		within("measure_s", e.Measure, 1, maxSeconds),
		within("fill_within_s", e.FillWithin, 1, maxSeconds),
		within("machine.cpus", e.Machine.CPUs, 0.1, 1024),
		within("machine.ram_gb", e.Machine.MemGB, 0.1, 1<<20),
		within("settings_changes_per_s", e.SettingsChangeRate, 0, 20),
	)
	if err != nil {
		return err
	}
	for i := range e.Loads {
		if err := e.Loads[i].validate(); err != nil {
			return fmt.Errorf("load[%d].%w", i, err)
		}
	}
	for i, f := range e.Faults {
		switch {
		case f.What != faultCrash && f.What != faultCutRegion:
			return fmt.Errorf("fault[%d].what: %q: must be %s or %s", i, f.What, faultCrash, faultCutRegion)
		case f.At < 0 || f.At > e.Measure:
			return fmt.Errorf("fault[%d].at_s: %v: must be within measure_s", i, f.At)
		case f.What == faultCutRegion && (f.Region < 0 || f.Region >= e.Regions):
			return fmt.Errorf("fault[%d].region: %d: no such region", i, f.Region)
		}
	}
	if v := e.Vary; v != nil {
		if v.Key != varyMachines && v.Key != varyControllers && v.Key != varyRunning {
			return fmt.Errorf("vary.key: %q: must be %s, %s or %s", v.Key, varyMachines, varyControllers, varyRunning)
		}
		if len(v.Values) == 0 {
			return errors.New("vary.values: none")
		}
	}
	return nil
}

func (l *jobLoad) validate() error {
	switch {
	case l.Name == "":
		return errors.New("name: must be there")
	case kinds[l.Kind] == "":
		return fmt.Errorf("kind: %q: must be array, gang or service", l.Kind)
	case api.Priority(l.Priority).Rank() < 0:
		return fmt.Errorf("priority: %q: must be critical, high, normal or idle", l.Priority)
	case l.Tasks < 1 || l.Tasks > 100_000:
		return fmt.Errorf("tasks: %d: must be between 1 and 100000", l.Tasks)
	case l.CPUs <= 0:
		return fmt.Errorf("cpus: %v: must be above 0", l.CPUs)
	case l.Run < 0 || l.Interval < 0 || l.FillOver < 0:
		return errors.New("run_s, every_s, fill_over_s: must not be negative")
	case l.CancelShare < 0 || l.CancelShare > 1:
		return fmt.Errorf("cancel_share: %v: must be between 0 and 1", l.CancelShare)
	}
	return nil
}

// variants are the experiment's runs, one for each value that it varies.
func (e *experiment) variants() []*experiment {
	if e.Vary == nil {
		return []*experiment{e}
	}
	var out []*experiment
	for _, v := range e.Vary.Values {
		c := *e
		c.Name = fmt.Sprintf("%s-%d", e.Name, v)
		c.Loads = append([]jobLoad(nil), e.Loads...)
		switch e.Vary.Key {
		case varyMachines:
			c.Machines = v
		case varyControllers:
			c.Controllers = v
		case varyRunning:
			c.Loads[0].FillTasks = v
		}
		out = append(out, &c)
	}
	return out
}

// targetTasks is how many tasks run at once when the fill is over.
func (e *experiment) targetTasks() int {
	sum := 0
	for _, l := range e.Loads {
		sum += l.FillTasks
	}
	return sum
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
