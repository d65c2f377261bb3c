package controller

import (
	"iter"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// AgentManager manages the machines of owned partitions through their agents.
type AgentManager struct {
	core *core.Core
	c    *Controller

	sortedMachines                      []*core.Machine   // all of them in order; nil: to be listed anew
	machinesByPartition                 [][]*core.Machine // the same by part
	sortedLoanVersion                   int
	machineLoans                        map[api.MachineID]machineLoan
	pendingContacts                     []*core.Machine // to be called at once
	sweepIndex                          int             // the next machine to look at
	lastSweepAt                         api.Time
	directCallsInFlight, maxDirectCalls int // direct calls under way, and at most
	redirects                           map[api.MachineID]redirect
}

func (am *AgentManager) EnsureMachine(id api.MachineID) *core.Machine {
	m := am.core.Machines[id]
	if m == nil {
		m = &core.Machine{ID: id, DiscoveredAt: am.core.Now, IdleSince: am.core.Now, ReportedTasks: map[core.AttemptKey]api.TaskStatus{},
			CachedImages: map[api.Image]sched.CachedImage{}, RecentFailures: map[api.JobID]api.Time{}}
		am.core.Machines[id] = m
		am.sortedMachines = nil
	}
	return m
}

// HandleHeartbeat answers a worker's report.
func (am *AgentManager) HandleHeartbeat(c message.WorkerHeartbeat) {
	heartbeat := c.Heartbeat
	am.core.Metrics.WorkerHeartbeats++
	if !am.core.Loaded {
		am.core.ReplyError(c.Req, 503, "starting")
		return
	}
	p := am.core.PartitionOf(heartbeat.Machine)
	owned := am.core.Partitions[p]
	if owned == nil {
		am.redirectHeartbeat(c, am.core.State.Partitions[p].Owner)
		return
	}
	if am.c.autoscaler.IsDeleted(heartbeat.Machine) {
		am.core.ReplyError(c.Req, 503, "machine was returned")
		return
	}
	m := am.EnsureMachine(heartbeat.Machine)
	if m.Deleting {
		am.core.ReplyError(c.Req, 503, "machine is being returned")
		return
	}
	m.CommandToken = max(m.CommandToken, am.core.MinToken(owned, m.ID))
	m.HeartbeatForwarded = c.Forwarded
	if heartbeat.Token > m.CommandToken {
		// Somebody commands it under a later term: we were deposed for it.
		am.core.Reply(c.Req, 421, api.Redirect{}, 0)
		am.c.follower.LinearizableRead(func() {}, func() {})
		return
	}
	newer := am.applyHeartbeat(m, heartbeat, owned)
	if newer {
		m.LeaseRenewedAt = am.core.Now
	}
	if c.Forwarded {
		// It comes by way of a peer because it could not reach us. Once a
		// direct call gets through again, it is sent back to us.
		if m.LastDirectReply != 0 && am.core.Now.Sub(m.LastDirectReply) < am.core.Config.HeartbeatInterval() {
			am.core.Reply(c.Req, 421, api.Redirect{Owner: am.core.Config.Label}, 0)
			return
		}
		am.ContactNow(m)
	} else if m.SuspectSince != 0 {
		am.ContactNow(m)
	} else if newer {
		// The answer carries all that a direct call would. An older report may be a copy that
		// comes late, whose answer nobody waits for.
		m.ContactPending = false
	}
	am.core.Reply(c.Req, 200, api.CommandBatch{Token: m.CommandToken, Commands: am.commandsFor(m, owned)}, 0)
}

// ContactNow has a machine told its orders at once.
func (am *AgentManager) ContactNow(m *core.Machine) {
	if !m.ContactPending {
		m.ContactPending = true
		am.pendingContacts = append(am.pendingContacts, m)
	}
}

// ForgetMachine drops a machine of which nothing is left to know.
func (am *AgentManager) ForgetMachine(id api.MachineID) {
	delete(am.core.Machines, id)
	am.sortedMachines = nil
}

// sortMachines lists the machines in order, all and by part, anew when some came or
// went or changed parts.
func (am *AgentManager) sortMachines() {
	if am.sortedMachines != nil && am.sortedLoanVersion == am.core.State.LoanGeneration {
		return
	}
	if am.sortedLoanVersion != am.core.State.LoanGeneration {
		am.recordLoans()
	}
	am.sortedLoanVersion = am.core.State.LoanGeneration
	am.sortedMachines = make([]*core.Machine, 0, len(am.core.Machines))
	for _, m := range am.core.Machines {
		am.sortedMachines = append(am.sortedMachines, m)
	}
	slices.SortFunc(am.sortedMachines, func(a, b *core.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	am.machinesByPartition = make([][]*core.Machine, len(am.core.State.Partitions))
	for _, m := range am.sortedMachines {
		p := am.core.PartitionOf(m.ID)
		am.machinesByPartition[p] = append(am.machinesByPartition[p], m)
		if loan := am.core.State.Loans[m.ID]; loan.Revision != m.LoanRevision {
			// It came for a job: until that has it, it is no one else's.
			m.LoanRevision = loan.Revision
			am.c.preemptor.ReserveExclusively(m, loan.Job)
		}
	}
}

// machineLoan is when a machine's latest lending was first known here.
type machineLoan struct {
	revision api.Revision
	knownAt  api.Time
}

func (am *AgentManager) recordLoans() {
	for id, loan := range am.core.State.Loans {
		if am.machineLoans[id].revision != loan.Revision {
			am.machineLoans[id] = machineLoan{loan.Revision, am.core.Now}
			if loan.Transferred && am.core.Partitions[loan.Partition] != nil {
				am.c.balancer.AdoptMachine(id)
			}
		}
	}
	for id := range am.machineLoans {
		if _, ok := am.core.State.Loans[id]; !ok {
			delete(am.machineLoans, id)
		}
	}
}

// LoanInTransit reports whether a machine was lent just now and its new owner is not
// likely to have heard it yet: it is in nobody's account of what is free.
func (am *AgentManager) LoanInTransit(id api.MachineID) bool {
	loan, ok := am.machineLoans[id]
	if !ok || am.core.Now.Sub(loan.knownAt) > am.core.HeartbeatTimeout || len(am.core.State.PlacementsOn(id)) > 0 || am.c.autoscaler.IsDeleted(id) {
		return false
	}
	m, owned := am.core.Machines[id], am.core.Partitions[am.core.PartitionOf(id)]
	return owned == nil || m == nil || m.LastHeartbeat == 0 || !am.c.scheduler.IsSchedulable(m, owned)
}

// MachinesOf lists a part's machines that are known here, in order.
func (am *AgentManager) MachinesOf(p api.PartitionID) []*core.Machine {
	am.sortMachines()
	return am.machinesByPartition[p]
}

// redirectHeartbeat directs a worker to the owner of its part. A worker that comes back
// soon can't reach the owner; its reports are then passed on.
func (am *AgentManager) redirectHeartbeat(c message.WorkerHeartbeat, owner api.ControllerID) {
	if c.Forwarded || owner == am.core.Config.Label || owner == "" {
		am.core.ReplyError(c.Req, 503, "part is changing hands")
		return
	}
	previous := am.redirects[c.Heartbeat.Machine]
	if (previous.to == owner && am.core.Now.Sub(previous.at) < am.core.RedirectTTL || am.c.gossiper.ReportsSilent(owner, c.Heartbeat.Machine)) && am.c.gossiper.IsPeer(owner) {
		am.redirects[c.Heartbeat.Machine] = redirect{owner, am.core.Now}
		am.core.CallPeer(owner, core.PeerTimeout, message.PeerMessage{Forward: &message.Forward{Kind: "checkin", Body: c.Body}}, func(a message.PeerResponse) {
			if !a.OK || a.Reply.Status == 0 {
				am.core.ReplyError(c.Req, 503, "the machine's owner does not answer")
				return
			}
			am.core.Emit(message.Reply{Req: c.Req, Status: a.Reply.Status, Body: a.Reply.Body})
		})
		return
	}
	if !am.core.IsLive(owner) {
		am.core.ReplyError(c.Req, 503, "the machine's owner is gone")
		return
	}
	am.redirects[c.Heartbeat.Machine] = redirect{owner, am.core.Now}
	am.core.Reply(c.Req, 421, api.Redirect{Owner: owner}, 0)
}

// latestLaunchToken is the highest token under which a launch of the place may still
// be on its way. Launches by former owners carry less than our term or, if the machine was
// lent to our part since, than the lending's revision.
func (am *AgentManager) latestLaunchToken(p *core.Placement, owned *core.OwnedPartition) api.FencingToken {
	return max(p.OwnerState.LaunchToken, am.core.MinToken(owned, p.Machine)-1)
}

// applyHeartbeat takes in a report if it is newer than what is known, and reports whether it was.
// A new owner that has heard nothing yet may get an old one first. What it concludes holds all
// the same: sessions and ends that were reported are past for good, and that a task is missing
// counts only under a token that was first sent under its own term.
func (am *AgentManager) applyHeartbeat(m *core.Machine, heartbeat *api.Heartbeat, owned *core.OwnedPartition) bool {
	if heartbeat.Epoch < m.Epoch || (heartbeat.Epoch == m.Epoch && heartbeat.Seq <= m.Sequence) {
		return false
	}
	if !am.c.scheduler.IsSchedulable(m, owned) {
		owned.Dirty = true // it may be from now on
	}
	if m.LastHeartbeat == 0 {
		m.FirstHeartbeat = am.core.Now
	}
	switch {
	case heartbeat.Token > 0 && (m.LastHeartbeat == 0 || am.core.Now.Sub(m.LastHeartbeat) > am.core.HeartbeatTimeout):
		// Packets may have been held for minutes: the machine may be gone, by another's
		// deletion. It is called before anything is started there.
		m.SuspectSince = am.core.Now
	case m.SuspectSince != 0 && am.core.Now.Sub(m.SuspectSince) > am.core.Config.HeartbeatInterval()/2:
		m.SuspectSince = 0 // what was held comes all at once
	}
	m.Epoch, m.Sequence, m.ReportedToken, m.LastHeartbeat = heartbeat.Epoch, heartbeat.Seq, heartbeat.Token, am.core.Now
	m.Address, m.MachineType, m.Zone, m.Spot, m.ReclaimNotice = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.PreemptionNotice != nil
	if heartbeat.Token > m.UncertainToken {
		m.UncertainToken = 0
	}
	clear(m.ReportedTasks)
	for _, taskReport := range heartbeat.Tasks {
		id, err := api.ParseTaskID(taskReport.Task)
		if err != nil {
			continue
		}
		m.ReportedTasks[core.AttemptKey{Task: id, Attempt: taskReport.Attempt}] = taskReport
	}
	for _, p := range am.core.State.PlacementsOn(m.ID) {
		if p.Partition != owned.ID || p.Finishing {
			continue
		}
		if p.Epoch < m.Epoch {
			am.c.scheduler.RecordTaskEnd(owned, p, false, core.EndReasonEpochOver)
			continue
		}
		taskReport, ok := m.ReportedTasks[core.AttemptKey{Task: p.Task, Attempt: p.Attempt}]
		switch {
		case !ok:
			p.OwnerState.Reported = false
			if p.Job.Terminal() || p.OwnerState.StopRequested {
				if m.ReportedToken > am.latestLaunchToken(p, owned) {
					am.c.scheduler.RecordTaskEnd(owned, p, false, "never started")
				} else {
					m.UncertainToken = max(m.UncertainToken, am.latestLaunchToken(p, owned))
				}
			}
		case taskReport.State == api.TaskExited:
			am.handleExit(owned, m, p, taskReport)
		default:
			if taskReport.State == api.TaskRunning && p.OwnerState.State != api.TaskRunning {
				p.OwnerState.RunningSince = am.core.Now
			}
			if taskReport.State != api.TaskFetching {
				am.cacheImage(m, p.Job.Spec)
			}
			owned.Dirty = owned.Dirty || p.Job.Cancelled && !(p.OwnerState.Reported && taskStarted(p.OwnerState.State)) // takesIn may hold now
			p.OwnerState.Reported, p.OwnerState.State = true, taskReport.State
		}
	}
	if heartbeat.PreemptionNotice != nil {
		am.stopBeforeReclaim(m, owned, *heartbeat.PreemptionNotice)
	}
	am.countUntrackedUsage(m)
	return true
}

// stopBeforeReclaim stops what can't end before the cloud takes its machine: it is lost
// there, and the sooner it runs again elsewhere the better. What is likely to end
// is left alone.
func (am *AgentManager) stopBeforeReclaim(m *core.Machine, owned *core.OwnedPartition, notice float64) {
	for _, p := range am.core.State.PlacementsOn(m.ID) {
		if p.Partition != owned.ID || p.Finishing || p.Job.Spec.Kind == api.Gang {
			continue
		}
		remaining := p.Job.Spec.Estimate
		if p.OwnerState.RunningSince != 0 {
			remaining -= am.core.Now.Sub(p.OwnerState.RunningSince).Seconds()
		}
		if p.Job.Spec.Kind == api.Service || remaining > notice {
			am.c.scheduler.StopTask(p)
		}
	}
}

// countUntrackedUsage notes what a machine's tasks take that the book has no place
// for: they must be stopped, and until they are gone they hold their room.
func (am *AgentManager) countUntrackedUsage(m *core.Machine) {
	m.UntrackedUsage, m.HasUnknownTasks = api.Resources{}, false
	for k, taskReport := range m.ReportedTasks {
		if taskReport.State == api.TaskExited || am.placementOf(m.ID, k) != nil {
			continue
		}
		if j := am.core.State.Jobs[k.Task.Job]; j != nil {
			m.UntrackedUsage = m.UntrackedUsage.Plus(j.Demand)
		} else {
			m.HasUnknownTasks = true
		}
	}
}

// placementOf finds the place of an attempt on a machine.
func (am *AgentManager) placementOf(id api.MachineID, k core.AttemptKey) *core.Placement {
	for _, p := range am.core.State.PlacementsOn(id) {
		if p.Task == k.Task && p.Attempt == k.Attempt {
			return p
		}
	}
	return nil
}

// handleExit handles a task that ended on its machine.
func (am *AgentManager) handleExit(owned *core.OwnedPartition, m *core.Machine, p *core.Placement, taskReport api.TaskStatus) {
	j := p.Job
	switch taskReport.Reason {
	case api.ReasonDone:
		am.cacheImage(m, j.Spec)
		delete(m.RecentFailures, j.ID)
		j.OwnerState.Failures = 0
		if p.OwnerState.RunningSince != 0 {
			am.estimateRate(m, j, am.core.Now.Sub(p.OwnerState.RunningSince).Seconds())
		}
		am.c.scheduler.RecordTaskEnd(owned, p, true, "done")
		return
	case api.ReasonError:
		j.OwnerState.Failures++
		if j.OwnerState.FailedOn == nil {
			j.OwnerState.FailedOn = map[api.MachineID]bool{}
		}
		j.OwnerState.FailedOn[m.ID] = true
		m.RecentFailures[j.ID] = am.core.Now
		am.attributeFailure(m, j)
	case api.ReasonNoCapacity:
		m.FullUntil = am.core.Now.Add(2 * time.Second)
	case api.ReasonUnknown:
		j.OwnerState.BackoffUntil = am.core.Now.Add(time.Second)
	}
	am.c.scheduler.RecordTaskEnd(owned, p, false, string(taskReport.Reason))
}

// estimateRate compares how long a task took with the others of its job: the same
// work, so that what differs is the machine.
func (am *AgentManager) estimateRate(m *core.Machine, j *core.Job, seconds float64) {
	if j.Spec.Kind != api.Array {
		return
	}
	if j.OwnerState.CompletedTasks >= 2 && j.OwnerState.CompletedSeconds > 0 {
		ratio := seconds / (j.OwnerState.CompletedSeconds / float64(j.OwnerState.CompletedTasks))
		if m.RelativeRuntime == 0 {
			m.RelativeRuntime = 1
		}
		m.RelativeRuntime += 0.4 * (min(ratio, 4) - m.RelativeRuntime)
	}
	j.OwnerState.CompletedSeconds += seconds
	j.OwnerState.CompletedTasks++
}

// attributeFailure decides whether a failure speaks against the machine or the job.
func (am *AgentManager) attributeFailure(m *core.Machine, j *core.Job) {
	recent := 0
	for ref, at := range m.RecentFailures {
		if am.core.Now.Sub(at) > time.Minute {
			delete(m.RecentFailures, ref)
			continue
		}
		recent++
	}
	if recent >= 2 && m.QuarantinedUntil < am.core.Now {
		m.QuarantinedUntil = am.core.Now.Add(10 * time.Minute)
		slog.Info("machine quarantined: failures of different jobs", "machine", m.ID)
	}
	// A job that fails on several machines is more likely at fault itself: it
	// backs off, so that it neither wins the same machines every round nor
	// condemns them.
	if len(j.OwnerState.FailedOn) >= 2 {
		j.OwnerState.BackoffUntil = am.core.Now.Add(min(30*time.Second, time.Second<<min(j.OwnerState.Failures, 5)))
	}
}

// cacheImage notes that a machine holds an image and what it must have dropped.
func (am *AgentManager) cacheImage(m *core.Machine, s *api.JobSpec) {
	m.CachedImages[s.Image] = sched.CachedImage{SizeGB: s.ImageGB, LastUsed: am.core.Now}
	typ := am.core.MachineTypes[m.MachineType]
	if typ == nil {
		return
	}
	total := 0.0
	for _, c := range m.CachedImages {
		total += c.SizeGB
	}
	for total > typ.CacheGB && len(m.CachedImages) > 1 {
		var oldest api.Image
		for _, img := range slices.Sorted(maps.Keys(m.CachedImages)) {
			if oldest == "" || m.CachedImages[img].LastUsed < m.CachedImages[oldest].LastUsed {
				oldest = img
			}
		}
		total -= m.CachedImages[oldest].SizeGB
		delete(m.CachedImages, oldest)
	}
}

// commandsFor are the commands a machine should have now, by the durable record and
// its last report. Composing them again is harmless.
func (am *AgentManager) commandsFor(m *core.Machine, owned *core.OwnedPartition) []api.Command {
	out := []api.Command{}
	if m.ReportedToken < am.core.MinToken(owned, m.ID) {
		return out // the term is announced first
	}
	var launches []api.Command
	for _, p := range am.core.State.PlacementsOn(m.ID) {
		if p.Partition != owned.ID || p.Finishing || p.Epoch != m.Epoch {
			continue
		}
		_, listed := m.ReportedTasks[core.AttemptKey{Task: p.Task, Attempt: p.Attempt}]
		switch {
		case p.Job.Terminal():
			if listed {
				out = append(out, api.Command{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt})
			}
		case p.OwnerState.StopRequested:
			if listed {
				out = append(out, api.Command{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt, GracePeriod: p.OwnerState.StopGrace})
			}
		case !listed:
			launches = append(launches, api.Command{Op: api.OpStart, Task: p.Task.String(), Attempt: p.Attempt})
			p.OwnerState.LaunchToken = max(p.OwnerState.LaunchToken, m.CommandToken)
		}
	}
	// An unanswered direct command may still arrive. Forgetting a task before
	// a newer token has killed such commands would let it start anew.
	settled := !m.CallInFlight && m.UncertainToken == 0
	for _, k := range sortedTasks(m.ReportedTasks) {
		taskReport := m.ReportedTasks[k]
		if taskReport.State == api.TaskExited && !settled {
			continue
		}
		if p := am.placementOf(m.ID, k); p != nil && p.Partition == owned.ID {
			continue
		}
		if taskReport.State != api.TaskExited {
			out = append(out, api.Command{Op: api.OpStop, Task: taskReport.Task, Attempt: taskReport.Attempt})
		} else {
			out = append(out, api.Command{Op: api.OpReap, Task: taskReport.Task, Attempt: taskReport.Attempt})
		}
	}
	return append(out, launches...)
}

func sortedTasks(m map[core.AttemptKey]api.TaskStatus) []core.AttemptKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b core.AttemptKey) int {
		if a.Task.Job != b.Task.Job {
			return strings.Compare(string(a.Task.Job), string(b.Task.Job))
		}
		if a.Task.Index != b.Task.Index {
			return a.Task.Index - b.Task.Index
		}
		return int(int64(a.Attempt) - int64(b.Attempt))
	})
}

// ReconcileMachines calls those that are to be told something, and looks at a share
// of the others each time, so that every one gets its turn and no step looks at
// all of them.
func (am *AgentManager) ReconcileMachines() {
	am.sortMachines()
	pending := am.pendingContacts
	am.pendingContacts = nil
	for _, m := range pending {
		if !m.ContactPending || am.core.Machines[m.ID] != m {
			continue
		}
		m.ContactPending = false
		owned := am.core.Partitions[am.core.PartitionOf(m.ID)]
		if owned == nil || m.Deleting {
			continue
		}
		if m.CallInFlight || am.core.Now < m.NextCallAt || am.directCallsInFlight >= am.maxDirectCalls {
			am.ContactNow(m) // a little later
			continue
		}
		am.reconcileMachine(m, owned, true)
	}
	sweepCount := int(int64(len(am.sortedMachines)) * int64(min(am.core.Now.Sub(am.lastSweepAt), core.SweepInterval)) / int64(core.SweepInterval))
	if sweepCount == 0 && am.core.Now.Sub(am.lastSweepAt) < core.SweepInterval {
		return
	}
	am.lastSweepAt = am.core.Now
	for range min(max(sweepCount, 1), len(am.sortedMachines)) {
		am.sortMachines()
		if len(am.sortedMachines) == 0 {
			return
		}
		if am.sweepIndex >= len(am.sortedMachines) {
			am.sweepIndex = 0
		}
		m := am.sortedMachines[am.sweepIndex]
		am.sweepIndex++
		owned := am.core.Partitions[am.core.PartitionOf(m.ID)]
		if owned != nil && !m.Deleting {
			am.reconcileMachine(m, owned, false)
		}
		am.c.autoscaler.EvaluateScaleIn(m, owned)
	}
}

// reconcileMachine does what is due for one machine.
func (am *AgentManager) reconcileMachine(m *core.Machine, owned *core.OwnedPartition, urgent bool) {
	m.CommandToken = max(m.CommandToken, am.core.MinToken(owned, m.ID))
	if m.UncertainToken != 0 && m.CommandToken <= m.UncertainToken {
		if api.FencingToken(owned.LastRevision) > m.UncertainToken {
			m.CommandToken, urgent = api.FencingToken(owned.LastRevision), true
		} else {
			owned.NeedsNewToken = true
		}
	}
	needsAnnouncement := m.ReportedToken < am.core.MinToken(owned, m.ID)
	silent := am.core.Now.Sub(m.LastHeartbeat) > am.core.HeartbeatTimeout
	// Calls on suspicion leave half of the calls to those that are known to
	// answer, or a cut would hold up every start.
	maxProbes := am.maxDirectCalls / 2
	if am.c.health.ZoneUnavailable(m.Zone) {
		maxProbes = am.maxDirectCalls / 8 // its own reports tell when it is back
	}
	if !m.CallInFlight && m.Address != "" && am.core.Now >= m.NextCallAt &&
		(urgent && am.directCallsInFlight < am.maxDirectCalls || (needsAnnouncement || silent) && am.directCallsInFlight < maxProbes) {
		am.sendCommands(m, owned)
	}
	am.c.health.CheckLiveness(m, owned)
}

// sendCommands sends a machine its orders without waiting for its report.
func (am *AgentManager) sendCommands(m *core.Machine, owned *core.OwnedPartition) {
	commands := api.CommandBatch{Token: m.CommandToken, Epoch: max(m.Epoch, 1), Commands: am.commandsFor(m, owned)}
	hasLaunch := false
	for _, command := range commands.Commands {
		hasLaunch = hasLaunch || command.Op == api.OpStart
	}
	m.CallInFlight = true
	am.directCallsInFlight++
	m.NextCallAt = am.core.Now.Add(100 * time.Millisecond)
	am.core.CallWorker(m.Address, commands, func(a message.WorkerResponse) {
		m.CallInFlight = false
		am.directCallsInFlight--
		if a.Heartbeat != nil && a.Heartbeat.Machine != m.ID {
			a.Status, a.Heartbeat = 0, nil // the address belongs to another machine now
		}
		if a.Status == 0 || a.Heartbeat == nil {
			if hasLaunch {
				m.UncertainToken = max(m.UncertainToken, commands.Token)
			}
			m.MissedCalls++
			m.NextCallAt = am.core.Now.Add(500 * time.Millisecond)
			return
		}
		if am.core.Partitions[owned.ID] != owned || m.Deleting {
			return
		}
		m.LastDirectReply, m.MissedCalls, m.SuspectSince = am.core.Now, 0, 0
		if a.Heartbeat.Token > m.CommandToken {
			am.c.follower.LinearizableRead(func() {}, func() {}) // deposed, as the book will tell
			return
		}
		am.applyHeartbeat(m, a.Heartbeat, owned)
		if m.SuspectSince != 0 {
			m.SuspectSince, owned.Dirty = 0, true // it has just answered
		}
		for _, command := range am.commandsFor(m, owned) {
			if command.Op == api.OpStart || command.Op == api.OpStop && command.GracePeriod == 0 {
				am.ContactNow(m) // decided meanwhile, or the machine had to learn our token first
				break
			}
		}
	})
}

func newAgentManager(c *Controller) *AgentManager {
	am := &AgentManager{core: c.core, c: c,
		machineLoans: map[api.MachineID]machineLoan{}, redirects: map[api.MachineID]redirect{}}
	// Sockets are for workers' and users' connections in the first place.
	am.maxDirectCalls = 64
	if fds := c.core.Config.Deployment.Limits.FDLimit; fds > 0 {
		am.maxDirectCalls = max(4, min(am.maxDirectCalls, fds/16))
	}
	return am
}

// LoanKnownAt is when a machine's latest loan was first known here.
func (am *AgentManager) LoanKnownAt(id api.MachineID) api.Time { return am.machineLoans[id].knownAt }

// LoanedMachines are the machines that are on loan, in no order.
func (am *AgentManager) LoanedMachines() iter.Seq[api.MachineID] { return maps.Keys(am.machineLoans) }

// MaxDirectCalls is how many direct calls to agents may be under way at once.
func (am *AgentManager) MaxDirectCalls() int { return am.maxDirectCalls }

// ExpireRedirects forgets heartbeats that were redirected long ago.
func (am *AgentManager) ExpireRedirects() {
	for id, r := range am.redirects {
		if am.core.Now.Sub(r.at) > am.core.RedirectTTL {
			delete(am.redirects, id)
		}
	}
}
