package controller

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/pool"
	"basaltwall/tenant"
)

// TenantService serves a hosted cluster's tenants, keys and teams.
type TenantService struct {
	core *core.Core
	c    *Controller

	hosted *hostedService // nil: one operator's own service
}

// Keys of a hosted service's records.
const (
	keyTenant = clusterstate.Root + "tenant/"
	keyTeamOf = clusterstate.Root + "teamof/" // claims a team for one tenant
)

// hostedService is what a controller of a hosted service keeps of its tenants.
type hostedService struct {
	adminKey    tenant.Key
	tenants     *tenant.Table
	rateBuckets map[tenant.Name]*tenant.TokenBucket
	fairLimiter tenant.FairLimiter

	operators   tenant.Operators
	teams       map[api.Team]core.TeamRecord // that operators made
	pools       poolState
	guaranteed  tenant.GuaranteedTotal
	keyUses     keyUses
	submissions map[tenant.Name]*submissionCounts
	roundTurns  map[tenantPartition]int // how often a tenant's jobs took turns in a part's rounds

	pendingSubmissions    map[tenant.Name]map[api.JobID]bool // jobs that this controller is writing
	openJobLimitReachedAt map[tenant.Name]api.Time           // when as many were open as may be
	reconciledAt          api.Time
	finishingRemoval      bool // a removal is being ended

	auditSequence int // of operators, by this process
	sweepNext     int // the next tenant whose history is looked through
	sweptAt       api.Time
	sweeping      bool
}

func (ts *TenantService) InitHosted() {
	if h := ts.core.Config.Hosted; h != nil {
		ts.hosted = &hostedService{adminKey: h.AdminKey, rateBuckets: map[tenant.Name]*tenant.TokenBucket{}, pendingSubmissions: map[tenant.Name]map[api.JobID]bool{}, openJobLimitReachedAt: map[tenant.Name]api.Time{},
			submissions: map[tenant.Name]*submissionCounts{}, roundTurns: map[tenantPartition]int{}}
	}
}

// HostedRecordKinds are the records that a hosted service follows beside the others.
func (ts *TenantService) HostedRecordKinds() []clusterstate.RecordKind {
	if ts.hosted == nil {
		return nil
	}
	tenants, service := tenant.NewTable(), ts.hosted
	service.tenants, service.operators, service.teams, service.guaranteed = tenants, tenant.Operators{}, map[api.Team]core.TeamRecord{}, tenant.GuaranteedTotal{}
	service.pools.table, service.pools.shareWrites = pool.NewTable(ts.core.Config.Deployment.InitialSize), map[api.PoolName]bool{}
	ts.ResetPlatformTeams()
	return []clusterstate.RecordKind{{Prefix: core.KeyPool, Put: service.pools.table.Put}, {Prefix: keyTenant, Put: tenants.Put, Delete: tenants.Drop}, {Prefix: keyTeam, Put: ts.applyTeam},
		clusterstate.SingleKey(keyOperators, &service.operators), clusterstate.SingleKey(keyGuaranteedTotal, &service.guaranteed)}
}

// clientAddr is where a request comes from: what a proxy says is believed from those only that
// the operators have named.
func (ts *TenantService) clientAddr(c message.Caller) netip.Addr {
	return tenant.ClientAddr(c.From, c.Forwarded, ts.hosted.operators.Proxies)
}

// errInvalidKey says as little of a key that opens nothing as of one that is not there.
var errInvalidKey = &tenant.Error{Status: 401, Reason: "not a key that opens anything"}

// authenticateTenant finds the tenant whose key a caller brings, as far as the book has been read.
func (ts *TenantService) authenticateTenant(c message.Caller) (*tenant.Entry, error) {
	secret, err := c.BearerSecret()
	if err != nil {
		return nil, err
	}
	entry, key := ts.hosted.tenants.Find(secret.ID)
	if entry == nil || !key.Verify(secret, ts.core.WallClock, ts.core.MaxClockError()) {
		return nil, errInvalidKey
	}
	if !entry.Networks.Allows(ts.clientAddr(c)) {
		return nil, &tenant.Error{Status: 403, Reason: "not from this address"}
	}
	ts.recordKeyUse(entry.Name, key.ID)
	return entry, nil
}

// withTenant does something for the tenant whose key a caller brings, by what is current
// now: a revoked key opens nothing on any controller that answers, and one that can't know
// passes the request on or says so.
func (ts *TenantService) withTenant(req message.ReqID, c message.Caller, callback func(*tenant.Entry), forward func()) {
	ts.c.follower.LinearizableRead(func() {
		entry, err := ts.authenticateTenant(c)
		if err != nil {
			ts.core.RefuseError(req, err)
			return
		}
		callback(entry)
	}, forward)
}

// hostedForward is a request as it is passed on to a peer, which asks for the key again.
type hostedForward struct {
	Kind, Ref string
	Body      []byte
	Caller    message.Caller
}

// ForwardHosted is the kind of a Forward that holds a request of a hosted service.
const ForwardHosted = "hosted"

func encodeHostedForward(f hostedForward) (message.Forward, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(f)
	return message.Forward{Kind: ForwardHosted, Body: buf.Bytes()}, err
}

// DecodeHostedForward is the request within a Forward of kind ForwardHosted, nil if it makes no sense.
func DecodeHostedForward(body []byte, req message.ReqID) message.Command {
	var f hostedForward
	if gob.NewDecoder(bytes.NewReader(body)).Decode(&f) != nil {
		return nil
	}
	switch f.Kind {
	case "submit":
		return message.Submit{Req: req, Body: f.Body, Forwarded: true, Caller: f.Caller}
	case "poll":
		return message.Poll{Req: req, Ref: f.Ref, Forwarded: true, Caller: f.Caller}
	case "cancel":
		return message.Cancel{Req: req, Ref: f.Ref, Forwarded: true, Caller: f.Caller}
	}
	return nil
}

func (ts *TenantService) forwardHosted(req message.ReqID, f hostedForward, forwarded bool) {
	wrapped, err := encodeHostedForward(f)
	if err != nil {
		ts.core.ReplyError(req, 503, "not passed on")
		return
	}
	ts.c.jobs.Forward(req, wrapped, forwarded)
}

// withTenantJob does something with the job that a tenant's request names: do is given the id under
// which it is kept, and elsewhere for when this controller can't answer.
func (ts *TenantService) withTenantJob(req message.ReqID, f hostedForward, forwarded bool, callback func(id api.JobID, notFound, forward func())) {
	forward := func() { ts.forwardHosted(req, f, forwarded) }
	if ts.c.jobs.ShouldForward(forwarded) {
		forward()
		return
	}
	notFound := func() { ts.core.ReplyError(req, 404, "no such job") }
	ts.withTenant(req, f.Caller, func(entry *tenant.Entry) {
		if !api.ValidJobID(f.Ref) {
			notFound()
			return
		}
		callback(tenant.JobID(entry.Name, api.JobID(f.Ref)), notFound, forward)
	}, forward)
}

func (ts *TenantService) PollHosted(c message.Poll) {
	ts.withTenantJob(c.Req, hostedForward{Kind: "poll", Ref: c.Ref, Caller: c.Caller}, c.Forwarded, func(id api.JobID, notFound, forward func()) {
		ts.c.jobs.FindJob(id, func(s api.JobStatus) {
			s.JobID = api.JobID(c.Ref)
			ts.core.Reply(c.Req, 200, s, 0)
		}, notFound, forward)
	})
}

func (ts *TenantService) CancelHosted(c message.Cancel) {
	ts.withTenantJob(c.Req, hostedForward{Kind: "cancel", Ref: c.Ref, Caller: c.Caller}, c.Forwarded, func(id api.JobID, notFound, forward func()) {
		ts.c.jobs.RecordCancellation(id, 5, ts.c.jobs.RespondWhenAcknowledged(c.Forwarded, func(s api.JobStatus) {
			ts.core.Reply(c.Req, 200, api.JobStatus{JobID: api.JobID(c.Ref), State: s.State}, 0)
		}, func() { ts.core.ReplyError(c.Req, 503, core.ReasonCancellationPending) }), notFound, forward)
	})
}

// SubmitHosted takes a tenant's submission. It is written on the condition that the
// tenant's record is as it was read: whatever is decided here by an older one, a
// suspension or a revoked key that this controller has not heard of, is not written.
func (ts *TenantService) SubmitHosted(c message.Submit, tries int) {
	forward := func() {
		ts.forwardHosted(c.Req, hostedForward{Kind: "submit", Body: c.Body, Caller: c.Caller}, c.Forwarded)
	}
	if ts.c.jobs.ShouldForward(c.Forwarded) || len(ts.core.MachineTypes) == 0 {
		forward()
		return
	}
	// What is refused must be refused by what is current.
	retry := func(refuse func()) {
		if tries == 0 {
			refuse()
			return
		}
		ts.c.follower.LinearizableRead(func() { ts.SubmitHosted(c, tries-1) }, forward)
	}
	entry, err := ts.authenticateTenant(c.Caller)
	if err != nil {
		retry(func() { ts.core.RefuseError(c.Req, err) })
		return
	}
	spec, err := api.ParseJob(c.Body)
	if err != nil {
		ts.core.ReplyError(c.Req, 400, err.Error())
		return
	}
	tenantJobID := spec.Ref
	spec.Ref = tenant.JobID(entry.Name, tenantJobID)
	replyKnown := func(s api.JobStatus) { ts.core.Reply(c.Req, 200, api.JobStatus{JobID: tenantJobID, State: s.State}, 0) }
	if _, ok := ts.c.jobs.JobStatus(spec.Ref); ok {
		ts.c.jobs.LookupJob(spec.Ref, replyKnown, forward, forward)
		return
	}
	// A job that was accepted is never refused, whatever holds by now.
	refuse := func(status int, reason string, wait time.Duration) {
		ts.c.jobs.LookupJob(spec.Ref, replyKnown, func() {
			ts.core.Reply(c.Req, status, api.ErrorBody{Error: reason}, int(math.Ceil(wait.Seconds())))
		}, forward)
	}
	switch {
	case entry.State != tenant.Active:
		retry(func() {
			ts.countSubmission(entry.Name, "suspended")
			refuse(403, "suspended: "+entry.SuspendReason, 0)
		})
		return
	case !slices.Contains(entry.Teams, spec.Team):
		retry(func() { refuse(422, "bottega: unknown team", 0) })
		return
	}
	if reason := ts.c.jobs.InfeasibleReason(spec); reason != "" {
		refuse(422, reason, 0)
		return
	}
	if reason := ts.c.pools.CheckPoolNeeds(spec, entry.Name); reason != "" {
		retry(func() { refuse(422, reason, 0) })
		return
	}
	if ok, wait, field, reason := ts.admit(entry); !ok {
		ts.countSubmission(entry.Name, field)
		refuse(429, field+": "+reason, max(wait, time.Second))
		return
	}
	value := clusterstate.JobValue{Spec: spec, Split: ts.c.jobs.SplitAcrossPartitions(spec), AcceptedAt: ts.core.WallClock, Tenant: string(entry.Name), TenantJobID: tenantJobID}
	data, err := json.Marshal(value)
	if err != nil || ts.core.JobExceedsValueSize(data) {
		refuse(400, core.ReasonSpecTooLarge, 0)
		return
	}
	jobKey := clusterstate.KeyJob + string(spec.Ref)
	tx := api.Txn{If: []api.Condition{{Key: jobKey}, {Key: clusterstate.KeyJobResult + string(spec.Ref)}, ts.core.State.VersionCondition(keyTenant + string(entry.Name))},
		Writes: []api.Write{{Put: jobKey, Value: data}}}
	for _, need := range spec.Needs { // or it would wait for a pool that was removed meanwhile
		tx.If = append(tx.If, ts.core.State.VersionCondition(core.KeyPool+string(need.Pool)))
	}
	ts.addPendingSubmission(entry.Name, spec.Ref)
	ts.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		switch a.Status {
		case 200:
			ts.countSubmission(entry.Name, "")
			ts.core.Reply(c.Req, 201, api.JobStatus{JobID: tenantJobID, State: api.JobPending}, 0)
			slog.Info("job accepted", "job", spec.Ref, core.SpecAttr(spec))
			written := func() { ts.removePendingSubmission(entry.Name, spec.Ref) }
			ts.c.follower.LinearizableRead(written, written)
			return
		case 409:
			retry(func() { ts.c.jobs.LookupJob(spec.Ref, replyKnown, forward, forward) })
		case 429:
			ts.core.ReplyError(c.Req, 503, "the state service is at its limit")
		default:
			forward()
		}
		ts.removePendingSubmission(entry.Name, spec.Ref)
	})
}

// admit decides whether one more submission of a tenant is taken: by the number of its
// jobs, by its rate, and by what this controller may write. Where it is not, field is what
// is at fault.
func (ts *TenantService) admit(entry *tenant.Entry) (ok bool, wait time.Duration, field, reason string) {
	service := ts.hosted
	if ts.atOpenJobLimit(entry) {
		return false, 2 * time.Second, "open_jobs", "as many of your jobs are not over as may be"
	}
	members := len(ts.core.State.Members)
	if entry.Rate > 0 {
		bucket := service.rateBuckets[entry.Name]
		if bucket == nil {
			bucket = &tenant.TokenBucket{}
			service.rateBuckets[entry.Name] = bucket
		}
		rate, burst := tenant.RateShare(entry.Rate, entry.Burst, members)
		if ok, wait := bucket.Take(ts.core.Now, rate, burst); !ok {
			return false, wait, "rate", "more submissions than agreed"
		}
	}
	if ok, wait := service.fairLimiter.Take(ts.core.Now, entry.Name, core.SubmissionWriteShare*ts.core.Config.Deployment.State.WriteRPS/float64(max(1, members))); !ok {
		return false, wait, "writes", "more submissions at once than can be written"
	}
	return true, 0, "", ""
}

// tenantCounts is what there is of a tenant: jobs whose keys are there, those of them that are not
// over, and tasks on machines.
type tenantCounts struct{ jobs, open, tasks int }

func (ts *TenantService) countTenant(name tenant.Name) tenantCounts {
	var counts tenantCounts
	for _, j := range ts.core.State.JobsByTenant[string(name)] {
		counts.jobs++
		if !j.Terminal() {
			counts.open++
		}
		counts.tasks += len(j.Placements)
	}
	return counts
}

// atOpenJobLimit is whether as many of a tenant's jobs are not over as may be: by the book, and by what
// this controller is writing. The others may be writing as many, so each of them takes no
// more than its part of what the book leaves: with one book they come to less than their
// number too much together, and with news under way to what those are about. For a while a
// tenant that was full is taken to be: it may ask often, and have very many.
func (ts *TenantService) atOpenJobLimit(entry *tenant.Entry) bool {
	service, jobs := ts.hosted, ts.core.State.JobsByTenant[string(entry.Name)]
	members := max(1, len(ts.core.State.Members))
	if len(jobs)+members*len(service.pendingSubmissions[entry.Name]) < entry.OpenJobLimit() {
		return false
	}
	if reachedAt, ok := service.openJobLimitReachedAt[entry.Name]; ok && ts.core.Now.Sub(reachedAt) < openJobLimitTTL {
		return true
	}
	open := ts.countTenant(entry.Name).open
	for ref := range service.pendingSubmissions[entry.Name] {
		if jobs[ref] == nil {
			open += members
		}
	}
	if open < entry.OpenJobLimit() {
		return false
	}
	service.openJobLimitReachedAt[entry.Name] = ts.core.Now
	return true
}

// openJobLimitTTL is for how long nobody counts again.
const openJobLimitTTL = 250 * time.Millisecond

// addPendingSubmission notes a job that is being written, goes that it is not or that the book has it.
func (ts *TenantService) addPendingSubmission(name tenant.Name, jobID api.JobID) {
	if ts.hosted.pendingSubmissions[name] == nil {
		ts.hosted.pendingSubmissions[name] = map[api.JobID]bool{}
	}
	ts.hosted.pendingSubmissions[name][jobID] = true
}

func (ts *TenantService) removePendingSubmission(name tenant.Name, jobID api.JobID) {
	if pending := ts.hosted.pendingSubmissions[name]; pending != nil {
		if delete(pending, jobID); len(pending) == 0 {
			delete(ts.hosted.pendingSubmissions, name)
		}
	}
}

// maxTenantJobsPerRound is how many of a tenant's jobs a part's round looks at, so that nobody's queue
// makes the rounds of the others longer.
const maxTenantJobsPerRound = 200

type tenantPartition struct {
	tenant    string
	partition api.PartitionID
}

// LimitTenantJobs leaves out of a round what is more than so many jobs of one tenant: half of
// those that stay are its most urgent ones, the others take turns. The order of the rest
// is kept.
func (ts *TenantService) LimitTenantJobs(owned *core.OwnedPartition, jobs []*core.Job) []*core.Job {
	owned.UnexaminedJobs = 0
	if ts.hosted == nil || len(jobs) <= maxTenantJobsPerRound {
		return jobs
	}
	byTenant := map[string][]*core.Job{}
	for _, j := range jobs {
		byTenant[j.Tenant] = append(byTenant[j.Tenant], j)
	}
	deferred := map[*core.Job]bool{}
	for name, tenantJobs := range byTenant {
		if len(tenantJobs) <= maxTenantJobsPerRound {
			continue
		}
		slices.SortFunc(tenantJobs, func(a, b *core.Job) int {
			return cmp.Or(b.Spec.Priority.Rank()-a.Spec.Priority.Rank(), cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID))
		})
		for _, j := range tenantJobs {
			deferred[j] = true
		}
		key := tenantPartition{name, owned.ID}
		for _, i := range tenant.Window(len(tenantJobs), maxTenantJobsPerRound, ts.hosted.roundTurns[key]) {
			delete(deferred, tenantJobs[i])
		}
		ts.hosted.roundTurns[key]++
	}
	owned.UnexaminedJobs = len(deferred)
	return slices.DeleteFunc(jobs, func(j *core.Job) bool { return deferred[j] })
}

// StartsBlocked reports whether what waits of a job may not be started.
func (ts *TenantService) StartsBlocked(j *core.Job) bool {
	return ts.hosted != nil && j.Tenant != "" && !ts.hosted.tenants.MayStartTasks(tenant.Name(j.Tenant))
}

// Draining and cancelling are bounded: so many tasks and jobs of a part a second.
const (
	maxDrainedTasks         = 32
	maxCancelledJobs        = 2
	tenantReconcileInterval = time.Second
)

// ReconcileTenants goes on with what suspensions and removals have begun.
func (ts *TenantService) ReconcileTenants() {
	service := ts.hosted
	if service == nil || !ts.core.Loaded || ts.core.Now.Sub(service.reconciledAt) < tenantReconcileInterval {
		return
	}
	ts.flushKeyUses()
	if len(ts.core.Partitions) == 0 {
		return
	}
	service.reconciledAt = ts.core.Now
	ts.c.pools.ReconcilePools()
	ts.sweepHistory()
	draining := map[tenant.Name][]*core.Placement{} // services whose time is up
	var removing []*tenant.Entry
	for _, name := range service.tenants.Names() {
		entry := service.tenants.Get(name)
		if entry.State != tenant.Suspended && entry.State != tenant.Removing {
			continue
		}
		if float64(ts.core.WallClock-entry.SuspendedAt)/1000 >= entry.Drain {
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

// drainServices stops services of tenants, of each the least urgent and youngest first.
// Whatever else runs of them ends by itself.
func (ts *TenantService) drainServices(byTenant map[tenant.Name][]*core.Placement) {
	if len(byTenant) == 0 {
		return
	}
	for p := range ts.core.Partitions {
		for placement := range ts.core.State.PlacementsByPartition[p] {
			name := tenant.Name(placement.Job.Tenant)
			if running, drains := byTenant[name]; drains && placement.Job.Spec.Kind == api.Service && !placement.Finishing && !placement.OwnerState.StopRequested && !placement.Job.Terminal() {
				byTenant[name] = append(running, placement)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		running := byTenant[name]
		slices.SortFunc(running, func(a, b *core.Placement) int {
			return cmp.Or(a.Job.Spec.Priority.Rank()-b.Job.Spec.Priority.Rank(), cmp.Compare(b.Job.AcceptedAt, a.Job.AcceptedAt),
				cmp.Compare(a.Job.ID, b.Job.ID), b.Task.Index-a.Task.Index)
		})
		for _, placement := range running[:min(maxDrainedTasks, len(running))] {
			ts.c.scheduler.StopTask(placement)
		}
	}
}

// continueRemoval cancels jobs of a tenant that is being removed, each by the owner of its
// first task, and ends the removal when none is left.
func (ts *TenantService) continueRemoval(entry *tenant.Entry) {
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
			ts.c.jobs.RecordCancellation(j.ID, 1, func(api.JobStatus) {}, func() {}, func() {})
		}
	}
	if remaining > 0 || ts.core.Partitions[0] == nil || ts.hosted.finishingRemoval {
		return
	}
	ts.hosted.finishingRemoval = true
	release := func() { ts.hosted.finishingRemoval = false }
	name, revision := entry.Name, entry.Revision
	ts.c.follower.LinearizableRead(func() {
		entry := ts.hosted.tenants.Get(name)
		if entry == nil || entry.Revision != revision {
			release()
			return
		}
		done, err := entry.FinishRemoval(ts.countTenant(name).jobs)
		if err != nil {
			release()
			return
		}
		ts.writeTenant(done, entry, nil, func(int, api.Revision) {
			slog.Info("tenant removed", "tenant", name)
			release()
		})
	}, release)
}

// writeTenant writes a tenant's record in place of what was read of it, nil if it is new,
// with whatever else is to be written at once.
func (ts *TenantService) writeTenant(t tenant.Tenant, old *tenant.Entry, extraWrites []api.Write, respond func(status int, revision api.Revision)) {
	key := keyTenant + string(t.Name)
	data, err := json.Marshal(t)
	if err != nil || ts.core.ExceedsValueSize(data) {
		respond(400, 0)
		return
	}
	condition := api.Condition{Key: key}
	var teams []api.Team
	if old != nil {
		condition.Version = old.Revision
		teams = old.Teams
	}
	tx := api.Txn{If: []api.Condition{condition}, Writes: append([]api.Write{{Put: key, Value: data}}, extraWrites...)}
	for _, team := range t.Teams {
		if !slices.Contains(teams, team) {
			claim, _ := json.Marshal(t.Name)
			tx.If = append(tx.If, api.Condition{Key: keyTeamOf + string(team)}, ts.core.State.VersionCondition(keyTeam+string(team)))
			tx.Writes = append(tx.Writes, api.Write{Put: keyTeamOf + string(team), Value: claim})
		}
	}
	for _, team := range teams {
		if !slices.Contains(t.Teams, team) {
			tx.Writes = append(tx.Writes, api.Write{Drop: keyTeamOf + string(team)})
		}
	}
	if len(tx.Writes) > ts.core.Config.Deployment.State.TxnOps {
		respond(413, 0)
		return
	}
	ts.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		status := a.Status
		if status == 409 && slices.ContainsFunc(a.Txn.Failed, func(k string) bool { return strings.HasPrefix(k, keyTeamOf) }) {
			status = 422
		}
		respond(status, a.Txn.Revision)
	})
}

// Enabled reports whether the service is hosted: it has tenants.
func (ts *TenantService) Enabled() bool { return ts.hosted != nil }

// TeamRecord is a team that operators made, if it is one.
func (ts *TenantService) TeamRecord(name api.Team) (core.TeamRecord, bool) {
	record, ok := ts.hosted.teams[name]
	return record, ok
}
