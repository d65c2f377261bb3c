// This file defines teams that operators create at run time, and the budget for their guarantees.

package tenant

import (
	"fmt"

	"basaltwall/api"
)

// Team is a team that operators created at run time, in addition to those of the configuration file.
type Team struct {
	Name    api.Team `json:"name"`
	CPUs    float64  `json:"cpus"` // guarantee
	GPUs    float64  `json:"gpus"`
	CPUsMax float64  `json:"cpus_max"` // limit; 0: none
	GPUsMax float64  `json:"gpus_max"`
	Removed bool     `json:"removed,omitempty"` // the name stays reserved
}

// GuaranteedTotal is the sum of the guarantees of all teams that operators created at run time.
type GuaranteedTotal struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus"`
}

// Check validates the record. The error is an *Error that names the invalid field.
func (t *Team) Check() error {
	if err := CheckName("name", string(t.Name)); err != nil {
		return err
	}
	for _, f := range []struct {
		field            string
		guarantee, limit float64
	}{{"cpus", t.CPUs, t.CPUsMax}, {"gpus", t.GPUs, t.GPUsMax}} {
		switch {
		case !inRange(f.guarantee, 0, maxAmount):
			return invalid(f.field, "must be between 0 and %v", maxAmount)
		case !inRange(f.limit, 0, maxAmount) || f.limit > 0 && f.limit < f.guarantee:
			return invalid(f.field+"_max", "must be 0, for no limit, or between %s and %v", f.field, maxAmount)
		}
	}
	return nil
}

// Change returns the team with new guarantees and limits; t is zero for a new team. The limit of an
// existing team may only be raised or removed, because it is divided into shares that the partitions
// transfer among one another.
func (t Team) Change(to Team) (Team, error) {
	lowers := func(from, to float64) bool { return t.Name != "" && to != 0 && (from == 0 || to < from) }
	switch {
	case t.Removed:
		return t, conflict("name: %s was removed, and its name stays reserved", t.Name)
	case lowers(t.CPUsMax, to.CPUsMax):
		return t, conflict("cpus_max: a limit may be raised or removed, but not lowered or added")
	case lowers(t.GPUsMax, to.GPUsMax):
		return t, conflict("gpus_max: a limit may be raised or removed, but not lowered or added")
	}
	return to, to.Check()
}

// Remove returns the record of the removed team. It refuses if the team belongs to a tenant or has open
// jobs, and has no effect on a removed team.
func (t Team) Remove(owner Name, openJobs int) (Team, error) {
	switch {
	case t.Removed:
		return t, nil
	case owner != "":
		return t, conflict("name: %s belongs to %s", t.Name, owner)
	case openJobs > 0:
		return t, conflict("name: %d jobs of %s are open", openJobs, t.Name)
	}
	return Team{Name: t.Name, Removed: true}, nil
}

// CheckBudget returns an error if the total exceeds the operators' budget for teams.
func (g GuaranteedTotal) CheckBudget(budget Operators) error {
	const epsilon = 1e-6 // tolerance for rounding errors of the sums
	for _, f := range []struct {
		field         string
		total, budget float64
	}{{"cpus", g.CPUs, budget.TeamCPUBudget}, {"gpus", g.GPUs, budget.TeamGPUBudget}} {
		if f.total > f.budget+epsilon {
			return &Error{Status: StatusUnprocessable, Field: f.field, Reason: fmt.Sprintf("the guarantees of all teams would be %v, which exceeds their budget of %v", f.total, f.budget)}
		}
	}
	return nil
}

// Adjust returns the total after the change of one team, with the error of CheckBudget.
func (g GuaranteedTotal) Adjust(from, to Team, budget Operators) (GuaranteedTotal, error) {
	next := GuaranteedTotal{CPUs: max(0, g.CPUs-from.CPUs+to.CPUs), GPUs: max(0, g.GPUs-from.GPUs+to.GPUs)}
	return next, next.CheckBudget(budget)
}
