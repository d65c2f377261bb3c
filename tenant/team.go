// Teams that operators make at run time, and the budget of their guarantees.

package tenant

import (
	"fmt"

	"basaltwall/api"
)

// Team is a team that the operators made, beside those of the configuration file.
type Team struct {
	Name    api.Team `json:"name"`
	CPUs    float64  `json:"cpus"` // guarantee
	GPUs    float64  `json:"gpus"`
	CPUsMax float64  `json:"cpus_max"` // limit; 0: none
	GPUsMax float64  `json:"gpus_max"`
	Removed bool     `json:"removed,omitempty"` // the name stays taken
}

// GuaranteedTotal is the sum of the guarantees of all teams that the operators made.
type GuaranteedTotal struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus"`
}

// Check validates the record. The error is an *Error that names the field at fault.
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

// Change replaces a team's guarantees and limits; t is zero for a new team. A limit is divided into
// shares of the partitions, which may have been transferred, so it can't be taken back: it may only
// grow or be dropped.
func (t Team) Change(to Team) (Team, error) {
	shrinks := func(from, to float64) bool { return t.Name != "" && to != 0 && (from == 0 || to < from) }
	switch {
	case t.Removed:
		return t, conflict("name: %s was removed, and its name stays taken", t.Name)
	case shrinks(t.CPUsMax, to.CPUsMax):
		return t, conflict("cpus_max: a limit may grow or end, not shrink")
	case shrinks(t.GPUsMax, to.GPUsMax):
		return t, conflict("gpus_max: a limit may grow or end, not shrink")
	}
	return to, to.Check()
}

// Remove removes a team with so many open jobs; it must not belong to a tenant. On a removed team it
// changes nothing.
func (t Team) Remove(owner Name, jobs int) (Team, error) {
	switch {
	case t.Removed:
		return t, nil
	case owner != "":
		return t, conflict("name: %s belongs to %s", t.Name, owner)
	case jobs > 0:
		return t, conflict("name: %d jobs of %s are not over", jobs, t.Name)
	}
	return Team{Name: t.Name, Removed: true}, nil
}

// CheckBudget requires that the total does not exceed what the operators set aside for teams.
func (g GuaranteedTotal) CheckBudget(budget Operators) error {
	const epsilon = 1e-6 // rounding errors of a sum of many amounts
	for _, f := range []struct {
		field         string
		total, budget float64
	}{{"cpus", g.CPUs, budget.CPUs}, {"gpus", g.GPUs, budget.GPUs}} {
		if f.total > f.budget+epsilon {
			return &Error{Status: StatusUnprocessable, Field: f.field, Reason: fmt.Sprintf("teams would be guaranteed %v of the %v that are set aside for them", f.total, f.budget)}
		}
	}
	return nil
}

// Adjust is the total after the change of one team, if it does not exceed what the operators set
// aside.
func (g GuaranteedTotal) Adjust(from, to Team, budget Operators) (GuaranteedTotal, error) {
	next := GuaranteedTotal{CPUs: max(0, g.CPUs-from.CPUs+to.CPUs), GPUs: max(0, g.GPUs-from.GPUs+to.GPUs)}
	return next, next.CheckBudget(budget)
}
