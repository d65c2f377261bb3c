package tenancy

// This file shows tenants' usage and counts their submissions.

import (
	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

type (
	// UsageView is a tenant's current usage in the whole service.
	UsageView struct {
		Open         int         `json:"open"` // unfinished jobs
		OpenJobs     int         `json:"open_jobs"`
		PendingTasks int         `json:"waiting"`
		RunningTasks int         `json:"running"` // placed on machines
		Teams        []TeamUsage `json:"teams"`
		// Units of pools that the tenant's jobs hold; usage by others is confidential.
		Pools map[api.PoolName]int `json:"pools,omitempty"`
		// For operators: outcomes of submissions at the controller that answers, since the start
		// of its process.
		Controller  api.ControllerID  `json:"controller,omitempty"`
		Submissions *SubmissionCounts `json:"submissions,omitempty"`
	}
	// TeamUsage is the usage, the guarantee and the limit of a team; a limit of 0 means no limit.
	TeamUsage struct {
		Team           api.Team `json:"team"`
		UsedCPUs       float64  `json:"cpus_used"`
		UsedGPUs       float64  `json:"gpus_used"`
		GuaranteedCPUs float64  `json:"cpus_guaranteed"`
		GuaranteedGPUs float64  `json:"gpus_guaranteed"`
		MaxCPUs        float64  `json:"cpus_max"`
		MaxGPUs        float64  `json:"gpus_max"`
	}
	// SubmissionCounts counts the outcomes of a tenant's submissions at this controller.
	SubmissionCounts struct {
		Accepted uint64            `json:"accepted"`
		Rejected map[string]uint64 `json:"refused,omitempty"` // by the limit or state that refused them
	}
)

// CountSubmission counts a tenant's submission as accepted if refused is empty, otherwise as refused
// for that reason. The service must be hosted.
func (ts *Service) CountSubmission(name tenant.Name, refused string) {
	counts := ts.hosted.submissions[name]
	if counts == nil {
		counts = &SubmissionCounts{Rejected: map[string]uint64{}}
		ts.hosted.submissions[name] = counts
	}
	if refused == "" {
		counts.Accepted++
		return
	}
	counts.Rejected[refused]++
}

func (ts *Service) viewUsage(entry *tenant.Entry) UsageView {
	v := UsageView{OpenJobs: entry.OpenJobLimit(), Teams: []TeamUsage{}}
	for _, j := range ts.core.State.JobsByTenant[string(entry.Name)] {
		v.RunningTasks += len(j.Placements)
		for _, need := range j.Spec.Needs {
			if j.LiveCount() > 0 {
				if v.Pools == nil {
					v.Pools = map[api.PoolName]int{}
				}
				v.Pools[need.Pool] += need.Units(j.LiveCount(), false)
			}
		}
		if j.Terminal() {
			continue
		}
		v.Open++
		for p := range ts.core.State.Partitions {
			v.PendingTasks += j.PendingTasks(api.PartitionID(p))
		}
	}
	total := ts.core.TeamUsage()
	for _, name := range entry.Teams {
		team, used := ts.core.Teams[name], total[name]
		v.Teams = append(v.Teams, TeamUsage{Team: name, UsedCPUs: used.CPU.Float(), UsedGPUs: used.GPU.Float(),
			GuaranteedCPUs: team.CPUs, GuaranteedGPUs: team.GPUs, MaxCPUs: team.CPUsMax, MaxGPUs: team.GPUsMax})
	}
	return v
}

// HandleTenantQuery answers a tenant with its usage or a page of its unfinished jobs.
func (ts *Service) HandleTenantQuery(c message.TenantQuery) {
	fail := func() { ts.core.ReplyError(c.Req, 503, reasonStoreUnreachable) }
	ts.withTenant(c.Req, c.Caller, func(entry *tenant.Entry) {
		if c.What == "usage" {
			ts.core.Reply(c.Req, 200, ts.viewUsage(entry), 0)
			return
		}
		ts.core.Reply(c.Req, 200, ts.viewQueue(entry, c.After, c.Limit), 0)
	}, fail)
}
