package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/fairqueue"
	"basaltwall/sched"
)

func (n *Controller) ready(c ReadinessProbe) {
	// Once the state has been read this node can serve, if need be through a
	// peer; turning away the balancer in an outage would help nobody.
	if n.loaded && len(n.machineTypes) > 0 {
		n.reply(c.Req, 200, struct{}{}, 0)
		return
	}
	n.replyError(c.Req, 503, "starting")
}

// jobStatus describes a job that the book holds.
func (n *Controller) jobStatus(jobID api.JobID) (api.JobStatus, bool) {
	if j := n.state.Jobs[jobID]; j != nil {
		s := api.JobStatus{JobID: jobID, State: j.State()}
		done, running := j.CompletedCount, len(j.Placements)
		if s.Terminal() {
			running = 0
		}
		s.Done, s.Running = &done, &running
		return s, true
	}
	if state, ok := n.state.JobResults[jobID]; ok {
		return api.JobStatus{JobID: jobID, State: state}, true
	}
	return api.JobStatus{}, false
}

// finalStatus reports a state that no later read can change.
func (n *Controller) finalStatus(jobID api.JobID) (api.JobStatus, bool) {
	s, ok := n.jobStatus(jobID)
	return s, ok && s.Terminal()
}

// lookupJob finds a job by a read that is current as of the call.
func (n *Controller) lookupJob(jobID api.JobID, found func(api.JobStatus), notFound, fail func()) {
	n.linearizableRead(func() { n.findJob(jobID, found, notFound, fail) }, fail)
}

// findJob finds a job by the book, which must be current, or by its final state.
func (n *Controller) findJob(jobID api.JobID, found func(api.JobStatus), notFound, fail func()) {
	if s, ok := n.jobStatus(jobID); ok {
		found(s)
		return
	}
	n.resultLookups.waiters[jobID] = append(n.resultLookups.waiters[jobID], resultWaiter{n.now, n.resultLookups.queue.Add(jobID), found, notFound, fail})
}

// forwardTargets are the peers that reach the state service, by turns another one first: one that
// lags must not get the same user's question each time.
func (n *Controller) forwardTargets() []api.ControllerID {
	var out []api.ControllerID
	for _, label := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[label]; p.gossip.StateOK && p.receivedAt != 0 && n.now.Sub(p.receivedAt) < 3*gossipInterval {
			out = append(out, label)
		}
	}
	if k := len(out); k > 0 {
		out = slices.Concat(out[n.forwardedRequests%k:], out[:n.forwardedRequests%k])
	}
	return out
}

// forwardTimeout is how long one of several helpers may take: two of them within a user's patience.
const forwardTimeout = 800 * time.Millisecond

// forward passes a request to a peer that reaches the state service, and to another if that
// does not answer, or refuses it at once.
func (n *Controller) forward(req ReqID, f Forward, forwarded bool) {
	targets := n.forwardTargets()
	if forwarded || len(targets) == 0 {
		n.metrics.RequestsWithoutRead++
		n.replyError(req, 503, "state service not reachable")
		return
	}
	n.forwardedRequests++
	n.forwardTo(req, f, targets[:min(len(targets), 2)])
}

func (n *Controller) forwardTo(req ReqID, f Forward, targets []api.ControllerID) {
	timeout := peerTimeout
	if len(targets) > 1 {
		timeout = forwardTimeout
	}
	n.callPeer(targets[0], timeout, PeerMessage{Forward: &f}, func(a PeerResponse) {
		switch {
		case a.OK && a.Reply.Status != 0:
			n.replyFromPeer(req, a.Reply)
		case len(targets) > 1:
			n.forwardTo(req, f, targets[1:])
		default:
			n.metrics.RequestsWithoutRead++
			n.replyError(req, 503, "no peer answers")
		}
	})
}

// shouldForward reports whether a request is better passed on to a peer at once.
func (n *Controller) shouldForward(forwarded bool) bool {
	return !n.loaded || n.storeUnreachable() && !forwarded && len(n.forwardTargets()) > 0
}

func (n *Controller) poll(c Poll) {
	if n.hosted != nil {
		n.pollHosted(c)
		return
	}
	jobID := api.JobID(c.Ref)
	if !api.ValidJobID(c.Ref) {
		n.replyError(c.Req, 404, "no such job")
		return
	}
	if s, ok := n.finalStatus(jobID); ok {
		n.reply(c.Req, 200, s, 0)
		return
	}
	if eligible, retryIn := fairqueue.Admit(jobID, n.wallClock, fairqueue.SliceCount(n.metrics.usage.QueuedRequests, overloadQueueLength)); !eligible {
		n.metrics.PollsDeferred++
		n.reply(c.Req, 503, api.ErrorBody{Error: "overloaded: other jobs have their turn"}, int(retryIn.Seconds())+1)
		return
	}
	forward := func() { n.forward(c.Req, Forward{Kind: "poll", Ref: c.Ref}, c.Forwarded) }
	if n.shouldForward(c.Forwarded) {
		forward()
		return
	}
	n.lookupJob(jobID, func(s api.JobStatus) { n.reply(c.Req, 200, s, 0) },
		func() { n.replyError(c.Req, 404, "no such job") }, forward)
}

// specAttr is what a job asks for, for the log: its line of acceptance, and those of its start
// and its end, as the first may have been written by a controller that never heard of it.
func specAttr(s *api.JobSpec) slog.Attr {
	return slog.Group("asks", "class", s.Class, "team", s.Team, "priority", s.Priority, "form", s.Kind, "tasks", s.Tasks,
		"cpus", s.CPUs, "gpus", s.GPUs, "mem_gb", s.MemGB)
}

// quotaLimit is a team's limit; none is expressed by an amount nothing reaches.
func quotaLimit(t config.Team) api.Resources {
	const unlimited = api.Quantity(1) << 52
	limit := api.Resources{CPU: unlimited, GPU: unlimited, Mem: unlimited}
	if t.CPUsMax > 0 {
		limit.CPU = api.ToQuantity(t.CPUsMax)
	}
	if t.GPUsMax > 0 {
		limit.GPU = api.ToQuantity(t.GPUsMax)
	}
	return limit
}

// infeasibleReason says why a job can never run, or nothing.
func (n *Controller) infeasibleReason(s *api.JobSpec) string {
	team, ok := n.teams[s.Team]
	if !ok {
		return "bottega: unknown team"
	}
	demand := s.Demand()
	feasibleZones := map[api.Zone]bool{}
	for _, t := range n.machineTypes {
		if !demand.Fits(t.Capacity()) {
			continue
		}
		zones := t.Zones
		if len(zones) == 0 {
			zones = n.config.Deployment.Zones
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
	if !all.Fits(quotaLimit(team)) {
		return "bottega: more than the team's limit"
	}
	return ""
}

// specTooLarge is why a job is refused whose record would exceed a value: its allowed types may be many.
const specTooLarge = "banchi: too long"

func (n *Controller) submit(c Submit) {
	if n.hosted != nil {
		n.submitHosted(c, 2)
		return
	}
	spec, err := api.ParseJob(c.Body)
	if err != nil {
		n.replyError(c.Req, 400, err.Error())
		return
	}
	forward := func() { n.forward(c.Req, Forward{Kind: "submit", Body: c.Body}, c.Forwarded) }
	replyKnown := func(s api.JobStatus) {
		n.reply(c.Req, 200, api.JobStatus{JobID: s.JobID, State: s.State}, 0)
	}
	if s, ok := n.finalStatus(spec.Ref); ok {
		replyKnown(s)
		return
	}
	if n.shouldForward(c.Forwarded) || len(n.machineTypes) == 0 {
		forward()
		return
	}
	if _, ok := n.state.Jobs[spec.Ref]; ok {
		n.lookupJob(spec.Ref, replyKnown, forward, forward)
		return
	}
	// A job accepted earlier must not be refused now, by anything but the request's own bytes:
	// machine types, limits, and how its tasks would be split, which its record holds, change.
	refuse := func(status int, reason string) {
		n.lookupJob(spec.Ref, replyKnown, func() { n.replyError(c.Req, status, reason) }, forward)
	}
	if reason := cmp.Or(n.infeasibleReason(spec), n.checkPoolNeeds(spec, "")); reason != "" {
		refuse(422, reason)
		return
	}
	if !n.allowSubmission() {
		n.replyError(c.Req, 503, "more submissions at once than the state service can take")
		return
	}
	v, err := json.Marshal(clusterstate.JobValue{Spec: spec, Split: n.splitAcrossPartitions(spec), AcceptedAt: n.wallClock})
	if err != nil || n.jobExceedsValueSize(v) {
		refuse(400, specTooLarge)
		return
	}
	jobKey, resultKey := clusterstate.KeyJob+string(spec.Ref), clusterstate.KeyJobResult+string(spec.Ref)
	// With a peer that can help, an answer that does not come soon is not
	// waited for: the peer may write the same job, and one of the two counts.
	timeout := storeTimeout
	if !c.Forwarded && len(n.forwardTargets()) > 0 {
		timeout = storeSlowAfter
	}
	tx := api.Txn{If: []api.Condition{{Key: jobKey}, {Key: resultKey}}, Writes: []api.Write{{Put: jobKey, Value: v}}}
	n.callStore(StoreCall{Txn: &tx, Timeout: timeout}, func(a StoreResponse) {
		switch a.Status {
		case 200:
			n.reply(c.Req, 201, api.JobStatus{JobID: spec.Ref, State: api.JobPending}, 0)
			slog.Info("job accepted", "job", spec.Ref, specAttr(spec))
			n.linearizableRead(func() {}, func() {}) // so that its first round comes soon
		case 409:
			n.lookupJob(spec.Ref, replyKnown, forward, forward)
		case 429:
			n.replyError(c.Req, 503, "the state service is at its limit") // for a peer too
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
func (n *Controller) allowSubmission() bool {
	share := submissionWriteShare
	if n.reservationLedger.wroteAt != 0 && n.now.Sub(n.reservationLedger.wroteAt) < ledgerActiveWindow {
		share -= ledgerWriteShare
	}
	rate := share * n.config.Deployment.State.WriteRPS / float64(max(1, len(n.state.Members)))
	n.submitTokens = min(max(1, rate), n.submitTokens+rate*n.now.Sub(n.submitTokensAt).Seconds())
	n.submitTokensAt = n.now
	if n.submitTokens < 1 {
		return false
	}
	n.submitTokens--
	return true
}

// splitAcrossPartitions gives a new job's tasks to parts by their free room.
func (n *Controller) splitAcrossPartitions(s *api.JobSpec) []clusterstate.TaskRange {
	partitions := len(n.state.Partitions)
	weights := make([]float64, partitions)
	freeSlots := n.freeSlotsByPartition(s)
	for i := range weights {
		weights[i] = float64(freeSlots[i]) - float64(n.pendingTasksIn(api.PartitionID(i), s))
	}
	best := 0
	fitting := map[api.PartitionID]bool{}
	if s.NeedsSinglePartition() {
		var fittingAfterPreemption map[api.PartitionID]bool
		if fitting, fittingAfterPreemption = n.partitionsWithCapacity(s); len(fitting) == 0 {
			fitting = fittingAfterPreemption
		}
	}
	if s.NeedsSinglePartition() && len(fitting) == 0 {
		// Nobody has room: better wait, or make lower work give way, where
		// there are machines for it at all.
		for i, c := range n.totalSlotsByPartition(s) {
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

// freeSlotsByPartition counts how many tasks of a job each part could start now.
func (n *Controller) freeSlotsByPartition(s *api.JobSpec) []int {
	slots := make([]int, len(n.state.Partitions))
	demand := s.Demand()
	cpuOnly := n.isCPUOnly(s)
	n.eachFreeCapacity(func(p api.PartitionID, k MachineClass, r FreeCapacity) {
		if k.Usable && !(cpuOnly && k.Closed) && sched.Feasible(s, k.Type, k.Zone, k.Spot) {
			slots[p] += r.Count * demand.Slots(r.Free)
		}
	})
	return slots
}

// totalSlotsByPartition counts how many tasks of a job each part's machines could
// hold if they were empty.
func (n *Controller) totalSlotsByPartition(s *api.JobSpec) []int {
	slots := make([]int, len(n.state.Partitions))
	demand, cpuOnly := s.Demand(), n.isCPUOnly(s)
	n.eachFreeCapacity(func(p api.PartitionID, k MachineClass, r FreeCapacity) {
		machineType := n.machineTypes[k.Type]
		if k.Usable && machineType != nil && sched.Feasible(s, k.Type, k.Zone, k.Spot) && !(cpuOnly && machineType.GPUs > 0) {
			slots[p] += r.Count * demand.Slots(machineType.Capacity())
		}
	})
	return slots
}

// hasAccelerators reports whether machines of a type have accelerators.
func (n *Controller) hasAccelerators(t api.MachineTypeName) bool {
	machineType := n.machineTypes[t]
	return machineType != nil && machineType.GPUs > 0
}

// pendingTasksIn counts tasks of a part that wait, in units of a job's demand, and that rules do not
// put after it.
func (n *Controller) pendingTasksIn(p api.PartitionID, s *api.JobSpec) int {
	count, demand := 0, s.Demand()
	rules, level := len(n.settings.Priority) > 0, n.effectivePriority(s)
	for _, j := range n.state.PendingJobs {
		if demand.GPU > 0 && j.Demand.GPU == 0 || n.startsBlocked(j) || rules && n.effectivePriority(j.Spec) < level {
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

func (n *Controller) cancel(c Cancel) {
	if n.hosted != nil {
		n.cancelHosted(c)
		return
	}
	jobID := api.JobID(c.Ref)
	if !api.ValidJobID(c.Ref) {
		n.replyError(c.Req, 404, "no such job")
		return
	}
	respond := func(s api.JobStatus) { n.reply(c.Req, 200, api.JobStatus{JobID: jobID, State: s.State}, 0) }
	retryLater := func() { n.replyError(c.Req, 503, cancellationPending) }
	if s, ok := n.finalStatus(jobID); ok {
		respond(s)
		return
	}
	forward := func() { n.forward(c.Req, Forward{Kind: "cancel", Ref: c.Ref}, c.Forwarded) }
	if n.shouldForward(c.Forwarded) {
		forward()
		return
	}
	n.recordCancellation(jobID, 5, n.respondWhenAcknowledged(c.Forwarded, respond, retryLater), func() { n.replyError(c.Req, 404, "no such job") }, forward)
}

// recordCancellation records the cancellation in the job's key and then reads back what
// became of the job: a completion recorded before counts. The state that it answers may
// be that of before the cancellation, see whenTold.
func (n *Controller) recordCancellation(jobID api.JobID, tries int, respond func(api.JobStatus), notFound, fail func()) {
	if tries == 0 {
		fail()
		return
	}
	j := n.state.Jobs[jobID]
	if j == nil || j.Terminal() {
		n.lookupJob(jobID, func(s api.JobStatus) {
			if j := n.state.Jobs[jobID]; j != nil && !j.Terminal() {
				n.recordCancellation(jobID, tries-1, respond, notFound, fail)
				return
			}
			respond(s)
		}, notFound, fail)
		return
	}
	v := j.JobValue
	v.Cancelled, v.CancelledAt = true, n.wallClock
	data, err := json.Marshal(v)
	if err != nil {
		fail()
		return
	}
	key := clusterstate.KeyJob + string(jobID)
	n.callStoreTxn(api.Txn{If: []api.Condition{{Key: key, Version: j.Version}}, Writes: []api.Write{{Put: key, Value: data}}}, func(a StoreResponse) {
		if a.Status != 200 && a.Status != 409 {
			fail()
			return
		}
		n.lookupJob(jobID, func(s api.JobStatus) {
			if j := n.state.Jobs[jobID]; j != nil && !j.Terminal() {
				n.recordCancellation(jobID, tries-1, respond, notFound, fail)
				return
			}
			respond(s)
		}, notFound, fail)
	})
}
