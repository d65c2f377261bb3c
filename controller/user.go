package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/fairqueue"
	"basaltwall/sched"
)

// JobService answers users: submissions, queries and cancellations.
type JobService struct {
	core *core.Core
	c    *Controller

	resultLookups        resultLookups
	pendingCancellations []pendingCancellation // cancellations that are recorded and wait to be told
	forwardedRequests    int                   // requests passed on, so that helpers take turns
	submitTokens         float64               // submissions that may be written now, see maySubmit
	submitTokensAt       api.Time
}

func (js *JobService) Ready(c message.ReadinessProbe) {
	// Once the state has been read this node can serve, if need be through a
	// peer; turning away the balancer in an outage would help nobody.
	if js.core.Loaded && len(js.core.MachineTypes) > 0 {
		js.core.Reply(c.Req, 200, struct{}{}, 0)
		return
	}
	js.core.ReplyError(c.Req, 503, "starting")
}

// JobStatus describes a job that the book holds.
func (js *JobService) JobStatus(jobID api.JobID) (api.JobStatus, bool) {
	if j := js.core.State.Jobs[jobID]; j != nil {
		s := api.JobStatus{JobID: jobID, State: j.State()}
		done, running := j.CompletedCount, len(j.Placements)
		if s.Terminal() {
			running = 0
		}
		s.Done, s.Running = &done, &running
		return s, true
	}
	if state, ok := js.core.State.JobResults[jobID]; ok {
		return api.JobStatus{JobID: jobID, State: state}, true
	}
	return api.JobStatus{}, false
}

// finalStatus reports a state that no later read can change.
func (js *JobService) finalStatus(jobID api.JobID) (api.JobStatus, bool) {
	s, ok := js.JobStatus(jobID)
	return s, ok && s.Terminal()
}

// LookupJob finds a job by a read that is current as of the call.
func (js *JobService) LookupJob(jobID api.JobID, found func(api.JobStatus), notFound, fail func()) {
	js.c.follower.LinearizableRead(func() { js.FindJob(jobID, found, notFound, fail) }, fail)
}

// FindJob finds a job by the book, which must be current, or by its final state.
func (js *JobService) FindJob(jobID api.JobID, found func(api.JobStatus), notFound, fail func()) {
	if s, ok := js.JobStatus(jobID); ok {
		found(s)
		return
	}
	js.resultLookups.waiters[jobID] = append(js.resultLookups.waiters[jobID], resultWaiter{js.core.Now, js.resultLookups.queue.Add(jobID), found, notFound, fail})
}

// ForwardTargets are the peers that reach the state service, by turns another one first: one that
// lags must not get the same user's question each time.
func (js *JobService) ForwardTargets() []api.ControllerID {
	out := js.c.gossiper.PeersThatReachStore()
	if k := len(out); k > 0 {
		out = slices.Concat(out[js.forwardedRequests%k:], out[:js.forwardedRequests%k])
	}
	return out
}

// forwardTimeout is how long one of several helpers may take: two of them within a user's patience.
const forwardTimeout = 800 * time.Millisecond

// Forward passes a request to a peer that reaches the state service, and to another if that
// does not answer, or refuses it at once.
func (js *JobService) Forward(req message.ReqID, f message.Forward, forwarded bool) {
	targets := js.ForwardTargets()
	if forwarded || len(targets) == 0 {
		js.core.Metrics.RequestsWithoutRead++
		js.core.ReplyError(req, 503, "state service not reachable")
		return
	}
	js.forwardedRequests++
	js.forwardTo(req, f, targets[:min(len(targets), 2)])
}

func (js *JobService) forwardTo(req message.ReqID, f message.Forward, targets []api.ControllerID) {
	timeout := core.PeerTimeout
	if len(targets) > 1 {
		timeout = forwardTimeout
	}
	js.core.CallPeer(targets[0], timeout, message.PeerMessage{Forward: &f}, func(a message.PeerResponse) {
		switch {
		case a.OK && a.Reply.Status != 0:
			js.core.ReplyFromPeer(req, a.Reply)
		case len(targets) > 1:
			js.forwardTo(req, f, targets[1:])
		default:
			js.core.Metrics.RequestsWithoutRead++
			js.core.ReplyError(req, 503, "no peer answers")
		}
	})
}

// ShouldForward reports whether a request is better passed on to a peer at once.
func (js *JobService) ShouldForward(forwarded bool) bool {
	return !js.core.Loaded || js.core.StoreUnreachable() && !forwarded && len(js.ForwardTargets()) > 0
}

func (js *JobService) Poll(c message.Poll) {
	if js.c.tenancy.Enabled() {
		js.c.tenancy.PollHosted(c)
		return
	}
	jobID := api.JobID(c.Ref)
	if !api.ValidJobID(c.Ref) {
		js.core.ReplyError(c.Req, 404, "no such job")
		return
	}
	if s, ok := js.finalStatus(jobID); ok {
		js.core.Reply(c.Req, 200, s, 0)
		return
	}
	if eligible, retryIn := fairqueue.Admit(jobID, js.core.WallClock, fairqueue.SliceCount(js.core.Metrics.Usage.QueuedRequests, core.OverloadQueueLength)); !eligible {
		js.core.Metrics.PollsDeferred++
		js.core.Reply(c.Req, 503, api.ErrorBody{Error: "overloaded: other jobs have their turn"}, int(retryIn.Seconds())+1)
		return
	}
	forward := func() { js.Forward(c.Req, message.Forward{Kind: "poll", Ref: c.Ref}, c.Forwarded) }
	if js.ShouldForward(c.Forwarded) {
		forward()
		return
	}
	js.LookupJob(jobID, func(s api.JobStatus) { js.core.Reply(c.Req, 200, s, 0) },
		func() { js.core.ReplyError(c.Req, 404, "no such job") }, forward)
}

// specAttr is what a job asks for, for the log: its line of acceptance, and those of its start
// and its end, as the first may have been written by a controller that never heard of it.
func specAttr(s *api.JobSpec) slog.Attr {
	return slog.Group("asks", "class", s.Class, "team", s.Team, "priority", s.Priority, "form", s.Kind, "tasks", s.Tasks,
		"cpus", s.CPUs, "gpus", s.GPUs, "mem_gb", s.MemGB)
}

// InfeasibleReason says why a job can never run, or nothing.
func (js *JobService) InfeasibleReason(s *api.JobSpec) string {
	team, ok := js.core.Teams[s.Team]
	if !ok {
		return "bottega: unknown team"
	}
	demand := s.Demand()
	feasibleZones := map[api.Zone]bool{}
	for _, t := range js.core.MachineTypes {
		if !demand.Fits(t.Capacity()) {
			continue
		}
		zones := t.Zones
		if len(zones) == 0 {
			zones = js.core.Config.Deployment.Zones
		}
		for _, z := range zones {
			if sched.Feasible(s, t.Name, z, false) {
				feasibleZones[z] = true
			}
		}
	}
	if len(feasibleZones) == 0 {
		return "cores: a task fits no allowed machine type"
	}
	if s.Kind == api.Gang && s.Spread && s.Tasks > 1 && (s.OneZone || len(feasibleZones) == 1) {
		return "scatter: at most half of the gang may be in the only zone that all of it may be in"
	}
	all := demand
	if s.Kind != api.Array {
		all = demand.Times(s.Tasks)
	}
	all.Mem = 0
	if !all.Fits(core.QuotaLimit(team)) {
		return "bottega: more than the team's limit"
	}
	return ""
}

// specTooLarge is why a job is refused whose record would exceed a value: its allowed types may be many.
const specTooLarge = "banchi: too long"

func (js *JobService) Submit(c message.Submit) {
	if js.c.tenancy.Enabled() {
		js.c.tenancy.SubmitHosted(c, 2)
		return
	}
	spec, err := api.ParseJob(c.Body)
	if err != nil {
		js.core.ReplyError(c.Req, 400, err.Error())
		return
	}
	forward := func() { js.Forward(c.Req, message.Forward{Kind: "submit", Body: c.Body}, c.Forwarded) }
	replyKnown := func(s api.JobStatus) {
		js.core.Reply(c.Req, 200, api.JobStatus{JobID: s.JobID, State: s.State}, 0)
	}
	if s, ok := js.finalStatus(spec.Ref); ok {
		replyKnown(s)
		return
	}
	if js.ShouldForward(c.Forwarded) || len(js.core.MachineTypes) == 0 {
		forward()
		return
	}
	if _, ok := js.core.State.Jobs[spec.Ref]; ok {
		js.LookupJob(spec.Ref, replyKnown, forward, forward)
		return
	}
	// A job accepted earlier must not be refused now, by anything but the request's own bytes:
	// machine types, limits, and how its tasks would be split, which its record holds, change.
	refuse := func(status int, reason string) {
		js.LookupJob(spec.Ref, replyKnown, func() { js.core.ReplyError(c.Req, status, reason) }, forward)
	}
	if reason := cmp.Or(js.InfeasibleReason(spec), js.c.pools.CheckPoolNeeds(spec, "")); reason != "" {
		refuse(422, reason)
		return
	}
	if !js.allowSubmission() {
		js.core.ReplyError(c.Req, 503, "more submissions at once than the state service can take")
		return
	}
	v, err := json.Marshal(clusterstate.JobValue{Spec: spec, Split: js.SplitAcrossPartitions(spec), AcceptedAt: js.core.WallClock})
	if err != nil || js.core.JobExceedsValueSize(v) {
		refuse(400, specTooLarge)
		return
	}
	jobKey, resultKey := clusterstate.KeyJob+string(spec.Ref), clusterstate.KeyJobResult+string(spec.Ref)
	// With a peer that can help, an answer that does not come soon is not
	// waited for: the peer may write the same job, and one of the two counts.
	timeout := core.StoreTimeout
	if !c.Forwarded && len(js.ForwardTargets()) > 0 {
		timeout = core.StoreSlowAfter
	}
	tx := api.Txn{If: []api.Condition{{Key: jobKey}, {Key: resultKey}}, Writes: []api.Write{{Put: jobKey, Value: v}}}
	js.core.CallStore(message.StoreCall{Txn: &tx, Timeout: timeout}, func(a message.StoreResponse) {
		switch a.Status {
		case 200:
			js.core.Reply(c.Req, 201, api.JobStatus{JobID: spec.Ref, State: api.JobPending}, 0)
			slog.Info("job accepted", "job", spec.Ref, specAttr(spec))
			js.c.follower.LinearizableRead(func() {}, func() {}) // so that its first round comes soon
		case 409:
			js.LookupJob(spec.Ref, replyKnown, forward, forward)
		case 429:
			js.core.ReplyError(c.Req, 503, "the state service is at its limit") // for a peer too
		default:
			forward()
		}
	})
}

// submissionWriteShare is how much of the state service's writes submissions may take: what
// is beyond it would be refused there, and with it the renewal of our lease.
const submissionWriteShare = 0.85

// allowSubmission takes one of the writes that submissions may use, of which every living
// controller has as many.
func (js *JobService) allowSubmission() bool {
	share := submissionWriteShare
	if js.c.reservations.RecentlyWrote() {
		share -= core.LedgerWriteShare
	}
	rate := share * js.core.Config.Deployment.State.WriteRPS / float64(max(1, len(js.core.State.Members)))
	js.submitTokens = min(max(1, rate), js.submitTokens+rate*js.core.Now.Sub(js.submitTokensAt).Seconds())
	js.submitTokensAt = js.core.Now
	if js.submitTokens < 1 {
		return false
	}
	js.submitTokens--
	return true
}

// SplitAcrossPartitions gives a new job's tasks to parts by their free room.
func (js *JobService) SplitAcrossPartitions(s *api.JobSpec) []clusterstate.TaskRange {
	partitions := len(js.core.State.Partitions)
	weights := make([]float64, partitions)
	freeSlots := js.FreeSlotsByPartition(s)
	for i := range weights {
		weights[i] = float64(freeSlots[i]) - float64(js.PendingTasksIn(api.PartitionID(i), s))
	}
	best := 0
	fitting := map[api.PartitionID]bool{}
	if s.NeedsSinglePartition() {
		var fittingAfterPreemption map[api.PartitionID]bool
		if fitting, fittingAfterPreemption = js.c.balancer.PartitionsWithCapacity(s); len(fitting) == 0 {
			fitting = fittingAfterPreemption
		}
	}
	if s.NeedsSinglePartition() && len(fitting) == 0 {
		// Nobody has room: better wait, or make lower work give way, where
		// there are machines for it at all.
		for i, c := range js.TotalSlotsByPartition(s) {
			weights[i] += float64(c) - float64(freeSlots[i])
		}
	}
	for i := range weights {
		if h, b := fitting[api.PartitionID(i)], fitting[api.PartitionID(best)]; h && !b || h == b && weights[i] > weights[best] {
			best = i
		}
	}
	if s.NeedsSinglePartition() || s.Tasks == 1 {
		return []clusterstate.TaskRange{{From: 0, To: s.Tasks, Partition: api.PartitionID(best)}}
	}
	total := 0.0
	for i := range weights {
		weights[i] = max(weights[i], 0.01)
		total += weights[i]
	}
	var out []clusterstate.TaskRange
	start, sum := 0, 0.0
	for i := range weights {
		sum += weights[i]
		end := int(float64(s.Tasks)*sum/total + 0.5)
		if i == partitions-1 {
			end = s.Tasks
		}
		if end > start {
			out = append(out, clusterstate.TaskRange{From: start, To: end, Partition: api.PartitionID(i)})
			start = end
		}
	}
	return out
}

// FreeSlotsByPartition counts how many tasks of a job each part could start now.
func (js *JobService) FreeSlotsByPartition(s *api.JobSpec) []int {
	slots := make([]int, len(js.core.State.Partitions))
	demand := s.Demand()
	cpuOnly := js.core.IsCPUOnly(s)
	js.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if k.Usable && !(cpuOnly && k.Closed) && sched.Feasible(s, k.Type, k.Zone, k.Spot) {
			slots[p] += r.Count * demand.Slots(r.Free)
		}
	})
	return slots
}

// TotalSlotsByPartition counts how many tasks of a job each part's machines could
// hold if they were empty.
func (js *JobService) TotalSlotsByPartition(s *api.JobSpec) []int {
	slots := make([]int, len(js.core.State.Partitions))
	demand, cpuOnly := s.Demand(), js.core.IsCPUOnly(s)
	js.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		machineType := js.core.MachineTypes[k.Type]
		if k.Usable && machineType != nil && sched.Feasible(s, k.Type, k.Zone, k.Spot) && !(cpuOnly && machineType.GPUs > 0) {
			slots[p] += r.Count * demand.Slots(machineType.Capacity())
		}
	})
	return slots
}

// PendingTasksIn counts tasks of a part that wait, in units of a job's demand, and that rules do not
// put after it.
func (js *JobService) PendingTasksIn(p api.PartitionID, s *api.JobSpec) int {
	count, demand := 0, s.Demand()
	rules, level := len(js.core.Settings.Priority) > 0, js.c.priorities.EffectivePriority(s)
	for _, j := range js.core.State.PendingJobs {
		if demand.GPU > 0 && j.Demand.GPU == 0 || js.c.tenancy.StartsBlocked(j) || rules && js.c.priorities.EffectivePriority(j.Spec) < level {
			continue
		}
		if w := j.PendingTasks(p); w > 0 {
			if demand.CPU > 0 && j.Demand.CPU > 0 {
				w = int(float64(w) * float64(j.Demand.CPU) / float64(demand.CPU))
			}
			count += w
		}
	}
	return count
}

func (js *JobService) Cancel(c message.Cancel) {
	if js.c.tenancy.Enabled() {
		js.c.tenancy.CancelHosted(c)
		return
	}
	jobID := api.JobID(c.Ref)
	if !api.ValidJobID(c.Ref) {
		js.core.ReplyError(c.Req, 404, "no such job")
		return
	}
	respond := func(s api.JobStatus) { js.core.Reply(c.Req, 200, api.JobStatus{JobID: jobID, State: s.State}, 0) }
	retryLater := func() { js.core.ReplyError(c.Req, 503, cancellationPending) }
	if s, ok := js.finalStatus(jobID); ok {
		respond(s)
		return
	}
	forward := func() { js.Forward(c.Req, message.Forward{Kind: "cancel", Ref: c.Ref}, c.Forwarded) }
	if js.ShouldForward(c.Forwarded) {
		forward()
		return
	}
	js.RecordCancellation(jobID, 5, js.RespondWhenAcknowledged(c.Forwarded, respond, retryLater), func() { js.core.ReplyError(c.Req, 404, "no such job") }, forward)
}

// RecordCancellation records the cancellation in the job's key and then reads back what
// became of the job: a completion recorded before counts. The state that it answers may
// be that of before the cancellation, see whenTold.
func (js *JobService) RecordCancellation(jobID api.JobID, tries int, respond func(api.JobStatus), notFound, fail func()) {
	if tries == 0 {
		fail()
		return
	}
	j := js.core.State.Jobs[jobID]
	if j == nil || j.Terminal() {
		js.LookupJob(jobID, func(s api.JobStatus) {
			if j := js.core.State.Jobs[jobID]; j != nil && !j.Terminal() {
				js.RecordCancellation(jobID, tries-1, respond, notFound, fail)
				return
			}
			respond(s)
		}, notFound, fail)
		return
	}
	v := j.JobValue
	v.Cancelled, v.CancelledAt = true, js.core.WallClock
	data, err := json.Marshal(v)
	if err != nil {
		fail()
		return
	}
	key := clusterstate.KeyJob + string(jobID)
	js.core.CallStoreTxn(api.Txn{If: []api.Condition{{Key: key, Version: j.Version}}, Writes: []api.Write{{Put: key, Value: data}}}, func(a message.StoreResponse) {
		if a.Status != 200 && a.Status != 409 {
			fail()
			return
		}
		js.LookupJob(jobID, func(s api.JobStatus) {
			if j := js.core.State.Jobs[jobID]; j != nil && !j.Terminal() {
				js.RecordCancellation(jobID, tries-1, respond, notFound, fail)
				return
			}
			respond(s)
		}, notFound, fail)
	})
}
