// This file implements the lifecycle of a tenant: suspension, resumption and removal.

package tenant

import "basaltwall/api"

// Suspend suspends an active tenant: its pending tasks are not started and its running tasks drain; its
// services keep running for drainSeconds. Suspend has no effect on a suspended tenant.
func (t Tenant) Suspend(reason string, drainSeconds float64, now api.WallTime) (Tenant, error) {
	switch t.State {
	case Suspended:
		return t, nil
	case Active:
	default:
		return t, conflict("%s is %s", t.Name, t.State)
	}
	t.State, t.SuspendReason, t.DrainSeconds, t.SuspendedAt = Suspended, reason, drainSeconds, now
	return t, t.Check()
}

// Resume makes a suspended tenant active again. It has no effect on an active tenant.
func (t Tenant) Resume() (Tenant, error) {
	switch t.State {
	case Active:
		return t, nil
	case Suspended:
	default:
		return t, conflict("%s is %s", t.Name, t.State)
	}
	t.State, t.SuspendReason, t.DrainSeconds, t.SuspendedAt = Active, "", 0, 0
	return t, nil
}

// Remove begins the removal of a suspended tenant that has openJobs open jobs. These are cancelled if
// cancel is true; otherwise Remove refuses while there are any.
func (t Tenant) Remove(openJobs int, cancel bool) (Tenant, error) {
	switch {
	case t.State == Removing || t.State == Removed:
		return t, nil
	case t.State != Suspended:
		return t, conflict("%s is %s: suspend it first", t.Name, t.State)
	case openJobs > 0 && !cancel:
		return t, conflict("%d jobs of %s are open: wait until they end, or cancel them", openJobs, t.Name)
	}
	t.State, t.CancelJobs = Removing, cancel
	return t, nil
}

// FinishRemoval completes the removal once no job is open. The name stays reserved and the history is
// kept for its retention time; the keys and teams are deleted.
func (t Tenant) FinishRemoval(openJobs int) (Tenant, error) {
	switch {
	case t.State == Removed:
		return t, nil
	case t.State != Removing:
		return t, conflict("%s is %s", t.Name, t.State)
	case openJobs > 0:
		return t, conflict("%d jobs of %s are open", openJobs, t.Name)
	}
	t.State, t.Keys, t.Teams = Removed, nil, nil
	return t, nil
}
