package core

// This file evaluates the deployment's objectives for the start and the completion of jobs.

import (
	"slices"

	"basaltwall/api"
)

// Kinds of objectives in a deployment's configuration.
const (
	objectiveWait     = "wait"
	objectiveFinished = "finished"
	objectiveDeadline = "deadline"
)

// StartObjective returns the time after submission within which jobs of a class should start, in
// seconds; 0 if the deployment has no such objective.
func (k *Core) StartObjective(c api.Class) float64 {
	for _, o := range k.Config.Deployment.Objectives {
		if o.Kind == objectiveWait && o.Class == c {
			return o.Within
		}
	}
	return 0
}

// CompletionObjectives returns the times after submission by which a job should be complete, in
// seconds and sorted, from its deadline and the objectives of its class.
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
