package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// keyUsed holds when keys were last used: HOLDER/KEY. It lies outside the root.
const keyUsed = "used/"

// operatorsHolder stands for the operators where else a tenant's name does; no tenant's name
// begins so.
const operatorsHolder = tenant.Name("-")

const (
	// lastUseGranularity is how coarse the last use of a key is told.
	lastUseGranularity = time.Hour
	// lastUseWriteInterval is how often a transaction of them is written at most.
	lastUseWriteInterval = 10 * time.Second
)

// keyUse is a key that was used, and whose it is.
type keyUse struct {
	holder tenant.Name
	key    tenant.KeyID
}

// keyUses is what a controller notes of the use of keys. What it has not written yet is lost
// with its process: an hour at most, or longer if more keys are used than it may write.
type keyUses struct {
	lastUsed      map[keyUse]api.WallTime // the hour of the last use, written or waiting to be
	pending       []keyUse                // to be written, the oldest first
	nextWrite     api.Time
	writeInFlight bool
}

// recordKeyUse notes that a key was used.
func (ts *TenantService) recordKeyUse(holder tenant.Name, key tenant.KeyID) {
	u, at := keyUse{holder, key}, ts.core.WallClock-ts.core.WallClock%api.WallTime(lastUseGranularity.Milliseconds())
	usage := &ts.hosted.keyUses
	if was, noted := usage.lastUsed[u]; noted && was >= at || ts.hosted.adminKey.ID == key {
		return
	}
	if usage.lastUsed == nil {
		usage.lastUsed = map[keyUse]api.WallTime{}
	}
	usage.lastUsed[u] = at
	if !slices.Contains(usage.pending, u) {
		usage.pending = append(usage.pending, u)
	}
}

// flushKeyUses writes what was noted of uses, a transaction at a time.
func (ts *TenantService) flushKeyUses() {
	usage := &ts.hosted.keyUses
	if usage.writeInFlight || len(usage.pending) == 0 || ts.core.Now < usage.nextWrite || ts.core.Overloaded() || ts.core.StoreUnreachable() {
		return
	}
	usage.writeInFlight, usage.nextWrite = true, ts.core.Now.Add(lastUseWriteInterval)
	batch := usage.pending[:min(len(usage.pending), ts.core.Config.Deployment.State.TxnOps)]
	usage.pending = slices.Clone(usage.pending[len(batch):])
	tx := api.Txn{If: []api.Condition{ts.core.State.VersionCondition(clusterstate.KeyMember + string(ts.core.Config.Label))}}
	for _, u := range batch {
		v, _ := json.Marshal(usage.lastUsed[u])
		tx.Writes = append(tx.Writes, api.Write{Put: keyUsed + string(u.holder) + "/" + string(u.key), Value: v})
	}
	ts.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		usage.writeInFlight = false
		if a.Status != 200 {
			usage.pending = append(usage.pending, batch...)
		}
	})
}

// readKeyUses reads when a holder's keys were last used, as far as it has been written.
func (ts *TenantService) readKeyUses(c message.AdminRequest, holder tenant.Name, callback func(map[tenant.KeyID]api.WallTime)) {
	under := keyUsed + string(holder) + "/"
	ts.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: under}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			ts.core.ReplyError(c.Req, 503, "state service not reachable")
			return
		}
		lastUsed := map[tenant.KeyID]api.WallTime{}
		for _, p := range a.Page.Pairs {
			var at api.WallTime
			if json.Unmarshal(p.Value, &at) == nil {
				lastUsed[tenant.KeyID(strings.TrimPrefix(p.Key, under))] = at
			}
		}
		callback(lastUsed)
	})
}

// submissionCounts counts what became of a tenant's submissions at this controller.
type submissionCounts struct {
	Accepted uint64            `json:"accepted"`
	Rejected map[string]uint64 `json:"refused,omitempty"` // by what was at fault
}

// countSubmission counts a submission.
func (ts *TenantService) countSubmission(name tenant.Name, refused string) {
	t := ts.hosted.submissions[name]
	if t == nil {
		t = &submissionCounts{Rejected: map[string]uint64{}}
		ts.hosted.submissions[name] = t
	}
	if refused == "" {
		t.Accepted++
		return
	}
	t.Rejected[refused]++
}

type (
	// UsageView is what there is of a tenant in the whole service, now.
	UsageView struct {
		Open         int         `json:"open"` // jobs that are not over
		OpenJobs     int         `json:"open_jobs"`
		PendingTasks int         `json:"waiting"` // tasks
		RunningTasks int         `json:"running"` // tasks on machines
		Teams        []TeamUsage `json:"teams"`
		// Units of pools that its jobs hold; what others hold is theirs alone to know.
		Pools map[api.PoolName]int `json:"pools,omitempty"`
		// For operators: what became of submissions at the controller that answers, since
		// its process began.
		Controller  api.ControllerID  `json:"controller,omitempty"`
		Submissions *submissionCounts `json:"submissions,omitempty"`
	}
	// TeamUsage is what a team holds and may hold; a limit of 0 is none.
	TeamUsage struct {
		Team           api.Team `json:"team"`
		UsedCPUs       float64  `json:"cpus_used"`
		UsedGPUs       float64  `json:"gpus_used"`
		GuaranteedCPUs float64  `json:"cpus_guaranteed"`
		GuaranteedGPUs float64  `json:"gpus_guaranteed"`
		MaxCPUs        float64  `json:"cpus_max"`
		MaxGPUs        float64  `json:"gpus_max"`
	}
)

func (ts *TenantService) viewUsage(e *tenant.Entry) UsageView {
	v := UsageView{OpenJobs: e.OpenJobLimit(), Teams: []TeamUsage{}}
	for _, j := range ts.core.State.JobsByTenant[string(e.Name)] {
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
	for _, name := range e.Teams {
		t, use := ts.core.Teams[name], total[name]
		v.Teams = append(v.Teams, TeamUsage{name, use.CPU.Float(), use.GPU.Float(), t.CPUs, t.GPUs, t.CPUsMax, t.GPUsMax})
	}
	return v
}

type (
	// UnfinishedJob is a job of a tenant that is not over.
	UnfinishedJob struct {
		Ref      api.JobID    `json:"ref"`
		State    api.JobState `json:"stato"`
		Class    api.Class    `json:"mestiere"`
		Team     api.Team     `json:"bottega"`
		Tasks    int          `json:"pezzi"`
		Done     int          `json:"done"`
		Running  int          `json:"running"`
		Accepted api.WallTime `json:"accepted"` // in milliseconds since 1970
		Reason   string       `json:"why,omitempty"`
	}
	// QueueView is a page of a tenant's jobs that are not over, the oldest first. After is
	// what to ask for next, empty at the end.
	QueueView struct {
		Open  int             `json:"open"`
		Jobs  []UnfinishedJob `json:"jobs"`
		After string          `json:"after,omitempty"`
	}
)

// queuePosition is a job's place in its tenant's list.
func queuePosition(j *core.Job) string {
	return core.TimeKey(j.AcceptedAt) + "-" + string(j.TenantJobID)
}

// viewQueue is a page of a tenant's jobs that are not over, after a place in the list.
func (ts *TenantService) viewQueue(e *tenant.Entry, after string, limit int) QueueView {
	v := QueueView{Jobs: []UnfinishedJob{}}
	jobs := slices.DeleteFunc(slices.Collect(maps.Values(ts.core.State.JobsByTenant[string(e.Name)])), (*core.Job).Terminal)
	v.Open = len(jobs)
	slices.SortFunc(jobs, func(a, b *core.Job) int { return strings.Compare(queuePosition(a), queuePosition(b)) })
	total := ts.core.TeamUsage()
	from, found := slices.BinarySearchFunc(jobs, after, func(j *core.Job, at string) int { return strings.Compare(queuePosition(j), at) })
	if found {
		from++
	}
	jobs = jobs[from:]
	if len(jobs) > limit {
		jobs = jobs[:limit]
		v.After = queuePosition(jobs[limit-1])
	}
	for _, j := range jobs {
		v.Jobs = append(v.Jobs, UnfinishedJob{Ref: j.TenantJobID, State: j.State(), Class: j.Spec.Class, Team: j.Spec.Team, Tasks: j.Spec.Tasks, Done: j.CompletedCount,
			Running: len(j.Placements), Accepted: j.AcceptedAt, Reason: ts.tenantPendingReason(e, j, total)})
	}
	return v
}

// tenantPendingReason is why a job of a tenant waits, as far as it lies with the tenant itself: what
// else there is on the machines is nobody's business.
func (ts *TenantService) tenantPendingReason(e *tenant.Entry, j *core.Job, total map[api.Team]api.Resources) string {
	need := j.Demand
	need.Mem = 0
	switch {
	case !j.HasPendingTasks():
		return ""
	case !e.MayStartTasks():
		return "suspended: " + e.Tenant.SuspendReason
	case j.OwnerState.BackoffUntil > ts.core.Now:
		return "its tasks failed: it is tried again later"
	case !need.Fits(core.QuotaLimit(ts.core.Teams[j.Spec.Team]).Minus(total[j.Spec.Team])):
		return "the limit of team " + string(j.Spec.Team)
	}
	for p := range ts.core.State.Partitions {
		if j.PendingTasks(api.PartitionID(p)) > 0 && ts.c.pools.PendingReasonPool(j, api.PartitionID(p)) != "" {
			return "units of a pool"
		}
	}
	return ""
}

func (ts *TenantService) HandleTenantQuery(c message.TenantQuery) {
	fail := func() { ts.core.ReplyError(c.Req, 503, "state service not reachable") }
	ts.withTenant(c.Req, c.Caller, func(e *tenant.Entry) {
		if c.What == "usage" {
			ts.core.Reply(c.Req, 200, ts.viewUsage(e), 0)
			return
		}
		ts.core.Reply(c.Req, 200, ts.viewQueue(e, c.After, c.Limit), 0)
	}, fail)
}
