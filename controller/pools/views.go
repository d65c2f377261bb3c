package pools

// This file shows pools to operators.

import (
	"cmp"
	"slices"

	"basaltwall/api"
	"basaltwall/pool"
)

type (
	// View is a pool with its held and free units.
	View struct {
		pool.Pool
		Held         []int        `json:"held"` // by partition
		Free         []int        `json:"free"` // available for allocation, by partition
		PendingUnits int          `json:"waiting_units"`
		OldestWait   float64      `json:"oldest_wait_s"`
		Revision     api.Revision `json:"revision"`
		Holders      []HolderView `json:"holders,omitempty"`
	}
	// HolderView is a job that holds units.
	HolderView struct {
		Job    api.JobID `json:"job"`
		Tenant string    `json:"tenant,omitempty"`
		Ref    api.JobID `json:"ref,omitempty"` // the id that the tenant chose
		Team   api.Team  `json:"team"`
		Units  int       `json:"units"`
		Tasks  int       `json:"tasks"`
	}
)

// maxHolders bounds the number of holders in a pool's view.
const maxHolders = 200

// view returns the view of a pool at a revision, without its holders.
func (pm *Manager) view(p pool.Pool, revision api.Revision) View {
	v := View{Pool: p, Held: pm.heldByPartition(p.Name), Revision: revision}
	for partition := range v.Held {
		v.Free = append(v.Free, p.Available(api.PartitionID(partition), v.Held))
	}
	v.PendingUnits, v.OldestWait = pm.PoolBacklog(p.Name)
	return v
}

// holders lists the jobs that hold units of a pool, the largest holders first.
func (pm *Manager) holders(name api.PoolName) []HolderView {
	out := []HolderView{}
	for _, j := range pm.core.State.Jobs {
		if need, ok := j.Spec.PoolRequest(name); ok && j.LiveCount() > 0 {
			out = append(out, HolderView{Job: j.ID, Tenant: j.Tenant, Ref: j.TenantJobID, Team: j.Spec.Team, Units: need.Units(j.LiveCount(), false), Tasks: j.LiveCount()})
		}
	}
	slices.SortFunc(out, func(a, b HolderView) int { return cmp.Or(b.Units-a.Units, cmp.Compare(a.Job, b.Job)) })
	return out[:min(maxHolders, len(out))]
}
