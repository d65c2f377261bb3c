package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/pools"
	"basaltwall/tenant"
)

// This file has the steps of ordinary operation: machines, users, tenants, pools and reservations.

// initialMachineBoot is the boot time of the machines that are up at the start.
const initialMachineBoot = 10 * time.Millisecond

var workSteps = map[string]step{
	"machines": {parse: (*runner).launchMachines},
	"capacity": {parse: (*runner).setCapacity},
	"boot-time": {form: "d", schedule: func(r *runner, a arguments) {
		for i := range r.sim.Cloud.Types {
			r.sim.Cloud.Types[i].BootSeconds = a.durations[0].Seconds()
		}
	}},
	"record-tasks": {form: "dsn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Store.RecordTasks(r.jobID(a.names[0]), int(a.numbers[0])) })
	}},
	"store-limits":   {schedule: func(r *runner, _ arguments) { r.sim.Store.RateLimited = true }},
	"priority-rules": {parse: (*runner).replaceRules},
	"end":            {form: "d", schedule: func(r *runner, a arguments) { r.end = a.durations[0] }},
}

var userSteps = map[string]step{
	"submit": {parse: (*runner).submit},
	"cancel": {parse: (*runner).cancel},
	"poll": {form: "ds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Users.PollOnce(r.jobID(a.names[0])) })
	}},
	"extra-polls": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.Users.PollsPerInterval = int(a.numbers[0]) }, func() { r.sim.Users.PollsPerInterval = 0 })
	}},
	"cancel-running": {form: "dnd", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Users.CancelRunning(int(a.numbers[0]), a.durations[1]) })
	}},
	"cancel-at-end": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.Users.CancelAtEndShare = a.numbers[0] }, func() { r.sim.Users.CancelAtEndShare = 0 })
	}},
	"poll-on-change": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.Users.PollOnChange, r.sim.Users.CancelNewShare = true, a.numbers[0] },
			func() { r.sim.Users.PollOnChange = false })
	}},
	"irregular-requests": {form: "dd", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Users.SendIrregularRequests(a.durations[1]) })
	}},
}

var hostingSteps = map[string]step{
	"tenant": {form: "dssnn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() {
			r.sim.Tenants.Add(tenant.Name(a.names[0]), strings.Split(a.names[1], ","), a.numbers[0], a.numbers[1])
		})
	}},
	"suspend": {form: "dsn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Tenants.Suspend(tenant.Name(a.names[0]), a.numbers[0]) })
	}},
	"resume": {form: "ds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Tenants.Resume(tenant.Name(a.names[0])) })
	}},
	"remove":  {parse: (*runner).removeTenant},
	"pool":    {form: "dsn", schedule: func(r *runner, a arguments) { r.resizePool(a, false) }},
	"reclaim": {form: "dsn", schedule: func(r *runner, a arguments) { r.resizePool(a, true) }},
	"guarantee": {form: "dssn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() {
			r.sim.Tenants.UpdatePool(api.PoolName(a.names[0]), func(p *pools.View) {
				p.Guaranteed = map[api.Team]int{api.Team(a.names[1]): int(a.numbers[0])}
			})
		})
	}},
}

var reservationSteps = map[string]step{
	"import-skips": {form: "dssn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.SkipClients.Import(a.names[0], a.names[1], int(a.numbers[0])) })
	}},
	"request-skips": {form: "ddssdn", schedule: func(r *runner, a arguments) {
		from, to, interval := a.durations[0], a.durations[1], a.durations[2]
		for at := from; at < to; at += interval {
			r.sim.After(at, func() { r.sim.SkipClients.RequestBooking(a.names[0], a.names[1], int(a.numbers[0])) })
		}
		r.depots[a.names[0]] = true
	}},
	"skip-availability": {form: "dsss", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.SkipClients.ChangeAvailability(a.names[0], a.names[1], a.names[2]) })
	}},
}

// during calls begin at the time AT and end after the duration FOR, a line's first two durations.
func (r *runner) during(a arguments, begin, end func()) {
	r.sim.After(a.durations[0], begin)
	r.sim.After(a.durations[0]+a.durations[1], end)
}

// jobID returns a job's id; NAME/REF stands for the job REF of the tenant NAME.
func (r *runner) jobID(word string) api.JobID {
	if name, ref, ok := strings.Cut(word, "/"); ok {
		return r.sim.Tenants.RegisterJob(tenant.Name(name), api.JobID(ref))
	}
	return api.JobID(word)
}

func (r *runner) launchMachines(words []string) error {
	if len(words) == 0 {
		return fmt.Errorf("number of machines is missing")
	}
	n, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	cloud := r.sim.Cloud
	machineType, spot, zones := api.MachineTypeName("c8"), false, cloud.Types[0].Zones
	for _, word := range words[1:] {
		if z, ok := strings.CutPrefix(word, "zone="); ok {
			zones = []api.Zone{api.Zone(z)}
		} else if word == "spot" {
			spot = true
		} else {
			machineType = api.MachineTypeName(word)
		}
	}
	lag := cloud.ListLag
	cloud.ListLag = 0
	for i := range n {
		cloud.Launch(machineType, zones[i%len(zones)], spot, initialMachineBoot)
	}
	cloud.ListLag = lag
	r.initialMachines += n
	cloud.Capacity = max(cloud.Capacity, r.initialMachines)
	return nil
}

func (r *runner) setCapacity(words []string) error {
	if len(words) == 0 || len(words) > 2 {
		return errBadArguments
	}
	n, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	cloud := r.sim.Cloud
	if len(words) == 1 {
		cloud.Capacity = n
		return nil
	}
	if cloud.ZoneCapacity == nil {
		cloud.ZoneCapacity = map[api.Zone]int{}
	}
	cloud.ZoneCapacity[api.Zone(words[1])] = n
	return nil
}

func (r *runner) replaceRules(words []string) error {
	a, err := parseArguments(words, "ds")
	if err != nil {
		return err
	}
	text, ok := r.files[a.names[0]]
	if !ok {
		return fmt.Errorf("archive has no file %s", a.names[0])
	}
	r.sim.After(a.durations[0], func() { r.sim.SetPriorityRules(text) })
	return nil
}

func (r *runner) cancel(words []string) error {
	if len(words) == 2 {
		words = append(words, "")
	}
	a, err := parseArguments(words, "dss")
	if err != nil {
		return err
	}
	r.sim.After(a.durations[0], func() { r.sim.Users.Cancel(r.jobID(a.names[0]), a.names[1]) })
	return nil
}

func (r *runner) removeTenant(words []string) error {
	cancelJobs := len(words) == 3
	if len(words) < 2 || len(words) > 3 || cancelJobs && words[2] != "cancel" {
		return errBadArguments
	}
	at, err := strconv.ParseFloat(words[0], 64)
	if err != nil {
		return err
	}
	r.sim.After(api.Seconds(at), func() { r.sim.Tenants.Remove(tenant.Name(words[1]), cancelJobs) })
	return nil
}

// resizePool creates or resizes a pool; with reclaim, holders are preempted if more units are held.
func (r *runner) resizePool(a arguments, reclaim bool) {
	r.sim.After(a.durations[0], func() {
		r.sim.Tenants.UpdatePool(api.PoolName(a.names[0]), func(p *pools.View) {
			p.Size, p.Reclaim = int(a.numbers[0]), reclaim
		})
	})
}
