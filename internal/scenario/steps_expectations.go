package scenario

import (
	"strconv"
	"time"

	"basaltwall/api"
	"basaltwall/tenant"
)

// This file has the steps with expectations. Steps with a time are checked at that time, the others at
// the end; see expectations.go.

// defaultMinServed is the least share to which each class and team must be served, unless the script
// has the step min-served.
const defaultMinServed = 0.5

// defaultMaxStartWait is the longest wait of a class's largest jobs until they start, unless the script
// has the step max-start-wait.
const defaultMaxStartWait = 240 * time.Second

// unlimited is the upper bound of a count without limit.
const unlimited = 1 << 30

// countRange is the range of valid values of a count, bounds included.
type countRange struct{ min, max int }

func (c countRange) contains(n int) bool { return c.min <= n && n <= c.max }

type expectation struct {
	job   api.JobID // or all
	state api.JobState
	by    time.Duration // 0: no limit
}

type completionTarget struct {
	class  api.Class
	within time.Duration
	share  float64
}

type poolUse struct {
	name     string
	min      float64
	measured func() float64
}

type rateBound struct {
	name        tenant.Name
	rate, burst float64
}

type tenantState struct {
	name  string
	state string
}

// expectations are the expectations of a script for its end.
type expectations struct {
	jobs              []expectation
	starts            countRange
	deleted           countRange
	granted           countRange         // offers and promises that clients received
	upperBounds       map[string]float64 // of counts, by name
	minServed         float64
	minClassServed    map[api.Class]float64
	completionTargets []completionTarget
	maxStartWait      time.Duration // of the largest jobs of a class; 0: no limit
	tenantStates      []tenantState
	rateBounds        []rateBound
	maxHeldUnits      map[api.PoolName]int // the most units that were ever held
	poolUses          []poolUse
}

func newExpectations() expectations {
	return expectations{
		starts:         countRange{max: unlimited},
		deleted:        countRange{max: unlimited},
		granted:        countRange{max: unlimited},
		upperBounds:    map[string]float64{},
		minServed:      defaultMinServed,
		minClassServed: map[api.Class]float64{},
		maxStartWait:   defaultMaxStartWait,
		maxHeldUnits:   map[api.PoolName]int{},
	}
}

var expectationSteps = map[string]step{
	"expect": {parse: (*runner).expectJob},
	"min-class-served": {form: "sn", schedule: func(r *runner, a arguments) {
		r.expected.minClassServed[api.Class(a.names[0])] = a.numbers[0]
	}},
	"completed-within": {form: "snn", schedule: func(r *runner, a arguments) {
		r.expected.completionTargets = append(r.expected.completionTargets,
			completionTarget{class: api.Class(a.names[0]), within: api.Seconds(a.numbers[0]), share: a.numbers[1]})
	}},
	"min-served":     {form: "n", schedule: func(r *runner, a arguments) { r.expected.minServed = a.numbers[0] }},
	"max-start-wait": {form: "d", schedule: func(r *runner, a arguments) { r.expected.maxStartWait = a.durations[0] }},
	"max-count":      {form: "sn", schedule: func(r *runner, a arguments) { r.expected.upperBounds[a.names[0]] = a.numbers[0] }},
	"granted": {form: "nn", schedule: func(r *runner, a arguments) {
		r.expected.granted = countRange{int(a.numbers[0]), int(a.numbers[1])}
	}},
	"starts": {form: "nn", schedule: func(r *runner, a arguments) {
		r.expected.starts = countRange{int(a.numbers[0]), int(a.numbers[1])}
	}},
	"deleted": {form: "nn", schedule: func(r *runner, a arguments) {
		r.expected.deleted = countRange{int(a.numbers[0]), int(a.numbers[1])}
	}},
	"max-rate": {form: "snn", schedule: func(r *runner, a arguments) {
		r.expected.rateBounds = append(r.expected.rateBounds,
			rateBound{name: tenant.Name(a.names[0]), rate: a.numbers[0], burst: a.numbers[1]})
	}},
	"tenant-state": {form: "ss", schedule: func(r *runner, a arguments) {
		r.expected.tenantStates = append(r.expected.tenantStates, tenantState{name: a.names[0], state: a.names[1]})
	}},
	"max-held-units": {form: "sn", schedule: func(r *runner, a arguments) {
		r.expected.maxHeldUnits[api.PoolName(a.names[0])] = int(a.numbers[0])
	}},
	"min-utilization": {form: "ddsn", schedule: func(r *runner, a arguments) {
		measured := r.sim.Tenants.MeasurePoolUtilization(api.PoolName(a.names[0]), a.durations[0], a.durations[1])
		r.expected.poolUses = append(r.expected.poolUses, poolUse{name: a.names[0], min: a.numbers[0], measured: measured})
	}},
	"held-units": {form: "dsn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.checkHeldUnits(api.PoolName(a.names[0]), int(a.numbers[0])) })
	}},
	"tenant-drained": {form: "ds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Tenants.CheckDrained(tenant.Name(a.names[0])) })
	}},
	"replicas-up": {form: "dn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.checkReplicas(a.durations[0], a.numbers[0]) })
	}},
	"count-at": {form: "dsnn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.checkCountSoFar(a.durations[0], a.names[0], a.numbers[0], a.numbers[1]) })
	}},
}

// expectJob parses REF STATE [by AT].
func (r *runner) expectJob(words []string) error {
	var e expectation
	switch {
	case len(words) == 2:
	case len(words) == 4 && words[2] == "by":
		by, err := strconv.ParseFloat(words[3], 64)
		if err != nil {
			return err
		}
		e.by = api.Seconds(by)
	default:
		return errBadArguments
	}
	e.job, e.state = r.jobID(words[0]), api.JobState(words[1])
	r.expected.jobs = append(r.expected.jobs, e)
	return nil
}

// checkHeldUnits compares the held units of a pool with the expected number at the current time.
func (r *runner) checkHeldUnits(pool api.PoolName, want int) {
	if now, _ := r.sim.Tenants.HeldPoolUnits(pool); now != want {
		r.problemf("pool %s: %d units are held at %.0f s, expected %v", pool, now, r.sim.Now.Seconds(), want)
	}
}

// checkReplicas checks the share of due replicas that are up at the current time.
func (r *runner) checkReplicas(at time.Duration, minShare float64) {
	if up, due := r.sim.Checker.ReplicaCounts(r.sim.Now); float64(up) < minShare*float64(due) {
		r.problemf("%d of %d replicas are up at %.0f s, expected %v", up, due, at.Seconds(), minShare)
	}
}

// checkCountSoFar checks a count at the current time. An unknown name is a problem too.
func (r *runner) checkCountSoFar(at time.Duration, name string, least, most float64) {
	counts := map[string]int{
		"cloud-calls":       r.sim.Cloud.Calls,
		"deleted-machines":  r.sim.Cloud.DeletedMachines,
		"launched-machines": r.sim.Cloud.LaunchedMachines,
		"starts":            r.sim.Checker.StartCount,
	}
	got, ok := counts[name]
	if !ok || float64(got) < least || float64(got) > most {
		r.problemf("%d %s by %.0f s, expected %v to %v", got, name, at.Seconds(), least, most)
	}
}
