package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"basaltwall/api"
	"basaltwall/tenant"
)

// This file parses the step submit.

var errUnknownKind = errors.New("unknown kind of job")

var jobKinds = map[string]api.Kind{"array": api.Array, "gang": api.Gang, "service": api.Service}

// teamEach distributes the jobs of a submission over all teams in turn.
const teamEach = "each"

// submission is a stream of equal jobs that one line submits.
type submission struct {
	spec       api.JobSpec
	at         float64 // seconds
	runTime    float64 // run time of a task, seconds
	controller string  // receives the request; any if empty
	tenant     tenant.Name
	times      int     // number of jobs
	interval   float64 // seconds between them
}

// numericKeys are the keys with a numeric value.
var numericKeys = map[string]func(*submission, float64){
	"tasks":      func(s *submission, v float64) { s.spec.Tasks = int(v) },
	"cpus":       func(s *submission, v float64) { s.spec.CPUs = v },
	"gpus":       func(s *submission, v float64) { s.spec.GPUs = v },
	"run":        func(s *submission, v float64) { s.runTime = v },
	"times":      func(s *submission, v float64) { s.times = int(v) },
	"every":      func(s *submission, v float64) { s.interval = v },
	"deadline":   func(s *submission, v float64) { s.spec.Deadline = &v },
	"checkpoint": func(s *submission, v float64) { s.spec.Checkpoint = v },
	"save":       func(s *submission, v float64) { s.spec.Save = v },
}

// textKeys are the keys with a word as value or without a value.
var textKeys = map[string]func(*submission, string){
	"tenant":     func(s *submission, v string) { s.tenant = tenant.Name(v) },
	"team":       func(s *submission, v string) { s.spec.Team = api.Team(v) },
	"class":      func(s *submission, v string) { s.spec.Class = api.Class(v) },
	"image":      func(s *submission, v string) { s.spec.Image = api.Image(v) },
	"priority":   func(s *submission, v string) { s.spec.Priority = api.Priority(v) },
	"types":      func(s *submission, v string) { s.spec.Types = []api.MachineTypeName{api.MachineTypeName(v)} },
	"zone":       func(s *submission, v string) { s.spec.Zone = api.Zone(v) },
	"controller": func(s *submission, v string) { s.controller = v },
	"together":   func(s *submission, _ string) { s.spec.OneZone = true },
	"scatter":    func(s *submission, _ string) { s.spec.Spread = true },
	"spot":       func(s *submission, _ string) { s.spec.Spot = true },
}

// parseSubmission parses AT REF KIND and the job's fields as key=value: tasks, cpus, gpus, run (seconds),
// team (each: all teams in turn), tenant, class, priority, image, types, zone, deadline, checkpoint, save,
// needs and job-needs (POOL:UNITS, per task or per job), controller (that receives the request), times
// (number of jobs, with consecutive references) and every (seconds between them). The words together,
// scatter and spot have no value.
func parseSubmission(words []string) (*submission, error) {
	if len(words) < 3 {
		return nil, errBadArguments
	}
	at, err := strconv.ParseFloat(words[0], 64)
	if err != nil {
		return nil, err
	}
	s := &submission{at: at, runTime: 10, times: 1, spec: api.JobSpec{
		Ref: api.JobID(words[1]), Kind: jobKinds[words[2]], Class: "batch", Team: "red", Priority: api.Normal,
		Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1,
	}}
	if s.spec.Kind == "" {
		return nil, errUnknownKind
	}
	for _, word := range words[3:] {
		key, value, _ := strings.Cut(word, "=")
		if err := s.set(key, value); err != nil {
			return nil, err
		}
	}
	if s.spec.Kind != api.Service {
		s.spec.Estimate = s.runTime
	}
	return s, nil
}

func (s *submission) set(key, value string) error {
	if apply, ok := numericKeys[key]; ok {
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		apply(s, number)
		return nil
	}
	if apply, ok := textKeys[key]; ok {
		apply(s, value)
		return nil
	}
	switch key {
	case "needs":
		return s.addPoolRequest(value, func(units int) api.PoolRequest { return api.PoolRequest{Task: units} })
	case "job-needs":
		return s.addPoolRequest(value, func(units int) api.PoolRequest { return api.PoolRequest{Job: units} })
	default:
		return fmt.Errorf("unknown key %s", key)
	}
}

// addPoolRequest parses POOL:UNITS.
func (s *submission) addPoolRequest(value string, request func(units int) api.PoolRequest) error {
	pool, count, _ := strings.Cut(value, ":")
	units, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	need := request(units)
	need.Pool = api.PoolName(pool)
	s.spec.Needs = append(s.spec.Needs, need)
	return nil
}

// submit schedules the submissions of a line.
func (r *runner) submit(words []string) error {
	s, err := parseSubmission(words)
	if err != nil {
		return err
	}
	first, err := strconv.Atoi(strings.TrimPrefix(words[1], "run-"))
	if err != nil {
		return err
	}
	teams := r.configs[0].Deployment.Teams
	for i := range s.times {
		spec := s.spec
		spec.Ref = api.JobID(fmt.Sprintf("run-%d", first+i))
		if s.tenant != "" {
			spec.Ref = r.sim.Tenants.RegisterJob(s.tenant, spec.Ref)
		}
		if s.spec.Team == teamEach {
			spec.Team = teams[i%len(teams)].Name
		}
		if spec.Kind != api.Service {
			r.finiteJobs = append(r.finiteJobs, spec.Ref)
		}
		at := api.Seconds(s.at + float64(i)*s.interval)
		r.sim.After(at, func() { r.sim.Users.Submit(&spec, api.Seconds(s.runTime), s.controller) })
	}
	return nil
}
