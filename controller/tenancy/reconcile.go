package tenancy

// This file continues suspensions and removals of tenants in the background.

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// Bounds of one reconciliation.
const (
	maxDrainedTasks         = 32 // per tenant
	maxCancelledJobs        = 2  // per owned partition
	tenantReconcileInterval = time.Second
)

// ReconcileTenants continues suspensions and removals, records uses of keys, rebalances pool shares
// and deletes expired history. Each has an interval of its own.
func (ts *Service) ReconcileTenants() {
	hostedState := ts.hosted
	if hostedState == nil || !ts.core.Loaded || ts.core.Now.Sub(hostedState.reconciledAt) < tenantReconcileInterval {
		return
	}
	ts.flushKeyUses()
	if len(ts.core.Partitions) == 0 {
		return
	}
	hostedState.reconciledAt = ts.core.Now
	ts.deps.Pools.ReconcilePools()
	ts.sweepHistory()
	draining := map[tenant.Name][]*core.Placement{} // of tenants whose drain period has passed
	var removing []*tenant.Entry
	for _, name := range hostedState.tenants.Names() {
		entry := hostedState.tenants.Get(name)
		if entry.State != tenant.Suspended && entry.State != tenant.Removing {
			continue
		}
		if float64(ts.core.WallClock-entry.SuspendedAt)/1000 >= entry.DrainSeconds {
			draining[name] = nil
		}
		if entry.State == tenant.Removing {
			removing = append(removing, entry)
		}
	}
	ts.drainServices(draining)
	for _, entry := range removing {
		ts.continueRemoval(entry)
	}
}

// drainServices stops service tasks of tenants, the least urgent and youngest first. Tasks of other
// kinds run to completion.
func (ts *Service) drainServices(byTenant map[tenant.Name][]*core.Placement) {
	if len(byTenant) == 0 {
		return
	}
	for p := range ts.core.Partitions {
		for placement := range ts.core.State.PlacementsByPartition[p] {
			name := tenant.Name(placement.Job.Tenant)
			if running, drains := byTenant[name]; drains && isDrainable(placement) {
				byTenant[name] = append(running, placement)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		running := byTenant[name]
		slices.SortFunc(running, compareDrainOrder)
		for _, placement := range running[:min(maxDrainedTasks, len(running))] {
			ts.deps.Scheduler.StopTask(placement)
		}
	}
}

// isDrainable reports whether a placement is a service task that is not stopped yet.
func isDrainable(placement *core.Placement) bool {
	return placement.Job.Spec.Kind == api.Service && !placement.Finishing && !placement.OwnerState.StopRequested && !placement.Job.Terminal()
}

// compareDrainOrder orders service tasks, the first to be stopped first.
func compareDrainOrder(a, b *core.Placement) int {
	return cmp.Or(a.Job.Spec.Priority.Rank()-b.Job.Spec.Priority.Rank(), cmp.Compare(b.Job.AcceptedAt, a.Job.AcceptedAt),
		cmp.Compare(a.Job.ID, b.Job.ID), b.Task.Index-a.Task.Index)
}

// continueRemoval cancels jobs of a tenant that is being removed, and completes the removal when no
// job is left. The owner of a job's first task cancels it.
func (ts *Service) continueRemoval(entry *tenant.Entry) {
	var open []*core.Job
	remaining := 0
	for _, j := range ts.core.State.JobsByTenant[string(entry.Name)] {
		remaining++
		if owned := ts.core.Partitions[j.Split[0].Partition]; owned != nil && !j.Terminal() {
			open = append(open, j)
		}
	}
	if entry.CancelJobs {
		slices.SortFunc(open, func(a, b *core.Job) int { return strings.Compare(string(a.ID), string(b.ID)) })
		for _, j := range open[:min(maxCancelledJobs*len(ts.core.Partitions), len(open))] {
			ts.deps.Jobs.RecordCancellation(j.ID, 1, func(api.JobStatus) {}, func() {}, func() {})
		}
	}
	if remaining > 0 || ts.core.Partitions[0] == nil || ts.hosted.finishingRemoval {
		return
	}
	ts.finishRemoval(entry.Name, entry.Revision)
}

// finishRemoval marks a tenant without jobs as removed if its record still has the revision.
func (ts *Service) finishRemoval(name tenant.Name, revision api.Revision) {
	ts.hosted.finishingRemoval = true
	release := func() { ts.hosted.finishingRemoval = false }
	ts.deps.Follower.LinearizableRead(func() {
		entry := ts.hosted.tenants.Get(name)
		if entry == nil || entry.Revision != revision {
			release()
			return
		}
		removed, err := entry.FinishRemoval(ts.countTenant(name).jobs)
		if err != nil {
			release()
			return
		}
		ts.writeTenant(removed, entry, nil, func(int, api.Revision) {
			slog.Info("tenant removed", "tenant", name)
			release()
		})
	}, release)
}
