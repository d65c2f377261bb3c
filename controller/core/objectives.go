package core

// This file holds the deployment's objectives for jobs: how soon they should start and be complete.

import (
	"slices"

	"basaltwall/api"
)

// Kinds of objectives, as deployments name them.
const (
	objectiveWait     = "wait"
	objectiveFinished = "finished"
	objectiveDeadline = "deadline"
)

// StartObjective is within how many seconds after submission the jobs of a class should start; 0
// if the deployment has no such objective.
func (k *Core) StartObjective(c api.Class) float64 {
	for _, o := range k.Config.Deployment.Objectives {
		if o.Kind == objectiveWait && o.Class == c {
			return o.Within
		}
	}
	return 0
}

// CompletionObjectives are the times after submission by which the job should be complete, in
// seconds and sorted, by its deadline and its class's objectives.
func (k *Core) CompletionObjectives(s *api.JobSpec) []float64 {
	var out []float64
	for _, o := range k.Config.Deployment.Objectives {
		switch {
		case o.Class != s.Class:
		case o.Kind == objectiveFinished:
			out = append(out, o.Within)
		case o.Kind == objectiveDeadline && s.Deadline != nil && o.Times > 0:
			out = append(out, *s.Deadline*o.Times)
		}
	}
	if len(out) == 0 && s.Deadline != nil {
		out = append(out, *s.Deadline)
	}
	slices.Sort(out)
	return out
}
