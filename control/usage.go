package control

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/book"
	"basaltwall/tenant"
)

// keyUsed holds when keys were last used: HOLDER/KEY. It lies outside the root.
const keyUsed = "used/"

// operatorsUse stands for the operators where else a tenant's name does; no tenant's name
// begins so.
const operatorsUse = tenant.Name("-")

const (
	// usedStep is how coarse the last use of a key is told.
	usedStep = time.Hour
	// usedEvery is how often a transaction of them is written at most.
	usedEvery = 10 * time.Second
)

// use is a key that was used, and whose it is.
type use struct {
	holder tenant.Name
	key    tenant.KeyID
}

// uses is what a controller notes of the use of keys. What it has not written yet is lost
// with its process: an hour at most, or longer if more keys are used than it may write.
type uses struct {
	noted   map[use]api.Wall // the hour of the last use, written or waiting to be
	waiting []use            // to be written, the oldest first
	next    api.Time
	writing bool
}

// noteUse notes that a key was used.
func (n *Node) noteUse(holder tenant.Name, key tenant.KeyID) {
	u, at := use{holder, key}, n.wall-n.wall%api.Wall(usedStep.Milliseconds())
	h := &n.hosted.uses
	if was, noted := h.noted[u]; noted && was >= at || n.hosted.admin.ID == key {
		return
	}
	if h.noted == nil {
		h.noted = map[use]api.Wall{}
	}
	h.noted[u] = at
	if !slices.Contains(h.waiting, u) {
		h.waiting = append(h.waiting, u)
	}
}

// writeUses writes what was noted of uses, a transaction at a time.
func (n *Node) writeUses() {
	h := &n.hosted.uses
	if h.writing || len(h.waiting) == 0 || n.now < h.next || n.behind() || n.unreachable() {
		return
	}
	h.writing, h.next = true, n.now.Add(usedEvery)
	now := h.waiting[:min(len(h.waiting), n.cfg.Deployment.State.TxnOps)]
	h.waiting = slices.Clone(h.waiting[len(now):])
	tx := api.Txn{If: []api.Condition{n.book.If(book.KeyMember + string(n.cfg.Label))}}
	for _, u := range now {
		v, _ := json.Marshal(h.noted[u])
		tx.Writes = append(tx.Writes, api.Write{Put: keyUsed + string(u.holder) + "/" + string(u.key), Value: v})
	}
	n.txn(tx, func(a StateAnswer) {
		h.writing = false
		if a.Status != 200 {
			h.waiting = append(h.waiting, now...)
		}
	})
}

// withUse reads when a holder's keys were last used, as far as it has been written.
func (n *Node) withUse(c Ask, holder tenant.Name, do func(map[tenant.KeyID]api.Wall)) {
	under := keyUsed + string(holder) + "/"
	n.state(StateCall{Page: &PageAsk{Under: under}}, func(a StateAnswer) {
		if a.Status != 200 {
			n.refuse(c.Req, 503, "state service not reachable")
			return
		}
		used := map[tenant.KeyID]api.Wall{}
		for _, p := range a.Page.Pairs {
			var at api.Wall
			if json.Unmarshal(p.Value, &at) == nil {
				used[tenant.KeyID(strings.TrimPrefix(p.Key, under))] = at
			}
		}
		do(used)
	})
}

// taken counts what became of a tenant's submissions at this controller.
type taken struct {
	Accepted uint64            `json:"accepted"`
	Refused  map[string]uint64 `json:"refused,omitempty"` // by what was at fault
}

// tally counts a submission.
func (n *Node) tally(name tenant.Name, refused string) {
	t := n.hosted.taken[name]
	if t == nil {
		t = &taken{Refused: map[string]uint64{}}
		n.hosted.taken[name] = t
	}
	if refused == "" {
		t.Accepted++
		return
	}
	t.Refused[refused]++
}

type (
	// UsageView is what there is of a tenant in the whole service, now.
	UsageView struct {
		Open     int         `json:"open"` // jobs that are not over
		OpenJobs int         `json:"open_jobs"`
		Waiting  int         `json:"waiting"` // tasks
		Running  int         `json:"running"` // tasks on machines
		Teams    []TeamUsage `json:"teams"`
		// Units of pools that its jobs hold; what others hold is theirs alone to know.
		Pools map[api.PoolName]int `json:"pools,omitempty"`
		// For operators: what became of submissions at the controller that answers, since
		// its process began.
		Controller  api.Label `json:"controller,omitempty"`
		Submissions *taken    `json:"submissions,omitempty"`
	}
	// TeamUsage is what a team holds and may hold; a limit of 0 is none.
	TeamUsage struct {
		Team    api.Team `json:"team"`
		CPUs    float64  `json:"cpus_used"`
		GPUs    float64  `json:"gpus_used"`
		CPUsGot float64  `json:"cpus_guaranteed"`
		GPUsGot float64  `json:"gpus_guaranteed"`
		CPUsMax float64  `json:"cpus_max"`
		GPUsMax float64  `json:"gpus_max"`
	}
)

func (n *Node) viewUsage(e *tenant.Entry) UsageView {
	v := UsageView{OpenJobs: e.Bound(), Teams: []TeamUsage{}}
	for _, j := range n.book.Of[string(e.Name)] {
		v.Running += len(j.Places)
		for _, need := range j.Spec.Needs {
			if j.Live() > 0 {
				if v.Pools == nil {
					v.Pools = map[api.PoolName]int{}
				}
				v.Pools[need.Pool] += need.Units(j.Live(), false)
			}
		}
		if j.Final() {
			continue
		}
		v.Open++
		for p := range n.book.Parts {
			v.Waiting += j.Waiting(api.PartID(p))
		}
	}
	total := n.totalUsage()
	for _, name := range e.Teams {
		t, use := n.teams[name], total[name]
		v.Teams = append(v.Teams, TeamUsage{name, use.CPU.Float(), use.GPU.Float(), t.CPUs, t.GPUs, t.CPUsMax, t.GPUsMax})
	}
	return v
}

type (
	// OpenJob is a job of a tenant that is not over.
	OpenJob struct {
		Ref      api.JobRef   `json:"ref"`
		State    api.JobState `json:"stato"`
		Class    api.Class    `json:"mestiere"`
		Team     api.Team     `json:"bottega"`
		Tasks    int          `json:"pezzi"`
		Done     int          `json:"done"`
		Running  int          `json:"running"`
		Accepted api.Wall     `json:"accepted"` // in milliseconds since 1970
		Why      string       `json:"why,omitempty"`
	}
	// QueueView is a page of a tenant's jobs that are not over, the oldest first. After is
	// what to ask for next, empty at the end.
	QueueView struct {
		Open  int       `json:"open"`
		Jobs  []OpenJob `json:"jobs"`
		After string    `json:"after,omitempty"`
	}
)

// listedAs is a job's place in its tenant's list.
func listedAs(j *Job) string { return stamp(j.Accepted) + "-" + string(j.Own) }

// viewQueue is a page of a tenant's jobs that are not over, after a place in the list.
func (n *Node) viewQueue(e *tenant.Entry, after string, limit int) QueueView {
	v := QueueView{Jobs: []OpenJob{}}
	jobs := slices.DeleteFunc(slices.Collect(maps.Values(n.book.Of[string(e.Name)])), (*Job).Final)
	v.Open = len(jobs)
	slices.SortFunc(jobs, func(a, b *Job) int { return strings.Compare(listedAs(a), listedAs(b)) })
	total := n.totalUsage()
	from, found := slices.BinarySearchFunc(jobs, after, func(j *Job, at string) int { return strings.Compare(listedAs(j), at) })
	if found {
		from++
	}
	jobs = jobs[from:]
	if len(jobs) > limit {
		jobs = jobs[:limit]
		v.After = listedAs(jobs[limit-1])
	}
	for _, j := range jobs {
		v.Jobs = append(v.Jobs, OpenJob{Ref: j.Own, State: j.State(), Class: j.Spec.Class, Team: j.Spec.Team, Tasks: j.Spec.Tasks, Done: j.DoneN,
			Running: len(j.Places), Accepted: j.Accepted, Why: n.ownReason(e, j, total)})
	}
	return v
}

// ownReason is why a job of a tenant waits, as far as it lies with the tenant itself: what
// else there is on the machines is nobody's business.
func (n *Node) ownReason(e *tenant.Entry, j *Job, total map[api.Team]api.Resources) string {
	need := j.Demand
	need.Mem = 0
	switch {
	case !j.Waits():
		return ""
	case !e.Starts():
		return "suspended: " + e.Tenant.Why
	case j.Note.hold > n.now:
		return "its tasks failed: it is tried again later"
	case !need.Fits(limitOf(n.teams[j.Spec.Team]).Minus(total[j.Spec.Team])):
		return "the limit of team " + string(j.Spec.Team)
	}
	for p := range n.book.Parts {
		if j.Waiting(api.PartID(p)) > 0 && n.whyPool(j, api.PartID(p)) != "" {
			return "units of a pool"
		}
	}
	return ""
}

// Mine asks for a tenant's own: a page of its jobs that are not over, or its usage.
type Mine struct {
	Req    ReqID
	What   string // "jobs" or "usage"
	After  string
	Limit  int
	Caller Caller
}

func (n *Node) mine(c Mine) {
	fail := func() { n.refuse(c.Req, 503, "state service not reachable") }
	n.asTenant(c.Req, c.Caller, func(e *tenant.Entry) {
		if c.What == "usage" {
			n.reply(c.Req, 200, n.viewUsage(e), 0)
			return
		}
		n.reply(c.Req, 200, n.viewQueue(e, c.After, c.Limit), 0)
	}, fail)
}
