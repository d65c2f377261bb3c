// The lifecycle of a tenant: suspended, resumed, removed.

package tenant

import "basaltwall/api"

// Suspend stops starts of the tenant and drains what runs; its services go on for so many seconds. On
// a suspended tenant it changes nothing.
func (t Tenant) Suspend(reason string, drain float64, now api.WallTime) (Tenant, error) {
	switch t.State {
	case Suspended:
		return t, nil
	case Active:
	default:
		return t, conflict("%s is %s", t.Name, t.State)
	}
	t.State, t.SuspendReason, t.Drain, t.SuspendedAt = Suspended, reason, drain, now
	return t, t.Check()
}

// Resume makes a suspended tenant active again.
func (t Tenant) Resume() (Tenant, error) {
	switch t.State {
	case Active:
		return t, nil
	case Suspended:
	default:
		return t, conflict("%s is %s", t.Name, t.State)
	}
	t.State, t.SuspendReason, t.Drain, t.SuspendedAt = Active, "", 0, 0
	return t, nil
}

// Remove begins the removal of a suspended tenant with so many open jobs; with cancel they are
// cancelled, without there must be none.
func (t Tenant) Remove(open int, cancel bool) (Tenant, error) {
	switch {
	case t.State == Removing || t.State == Removed:
		return t, nil
	case t.State != Suspended:
		return t, conflict("%s is %s: suspend it first", t.Name, t.State)
	case open > 0 && !cancel:
		return t, conflict("%d jobs of %s are not over: wait, or cancel them", open, t.Name)
	}
	t.State, t.CancelJobs = Removing, cancel
	return t, nil
}

// FinishRemoval completes the removal once no job is open. The name stays taken and the history is
// retained for its time; the keys are dropped.
func (t Tenant) FinishRemoval(open int) (Tenant, error) {
	switch {
	case t.State == Removed:
		return t, nil
	case t.State != Removing:
		return t, conflict("%s is %s", t.Name, t.State)
	case open > 0:
		return t, conflict("%d jobs of %s are not over", open, t.Name)
	}
	t.State, t.Keys, t.Teams = Removed, nil, nil
	return t, nil
}
