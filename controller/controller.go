// Package controller assembles a controller from its components and steps it. State that components
// share is in package core, everything else in the packages of the components. A controller is
// deterministic: it does no input or output, reads no clock and starts no goroutine. Step takes
// commands and returns effects.
package controller

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/agent"
	"basaltwall/controller/autoscale"
	"basaltwall/controller/balance"
	"basaltwall/controller/capacity"
	"basaltwall/controller/core"
	"basaltwall/controller/eligibility"
	"basaltwall/controller/gossip"
	"basaltwall/controller/health"
	"basaltwall/controller/jobs"
	"basaltwall/controller/logfollow"
	"basaltwall/controller/message"
	"basaltwall/controller/metrics"
	"basaltwall/controller/operations"
	"basaltwall/controller/ordering"
	"basaltwall/controller/ownership"
	"basaltwall/controller/pools"
	"basaltwall/controller/preemption"
	"basaltwall/controller/rounds"
	"basaltwall/controller/skips"
	"basaltwall/controller/starvation"
	"basaltwall/controller/tenancy"
)

// TickInterval is the interval at which Step must be called when there are no commands.
const TickInterval = 50 * time.Millisecond

// Controller is one of the controllers of a cluster. Its methods are not safe for concurrent use.
type Controller struct {
	// OnWorkStart, if set, is called with the kind of work that is about to begin.
	OnWorkStart func(message.WorkKind)

	started bool // Step has been called

	core        *core.Core
	follower    *logfollow.Follower
	membership  *ownership.Manager
	gossiper    *gossip.Exchange
	agents      *agent.Manager
	health      *health.Monitor
	eligibility *eligibility.Checker
	autoscaler  *autoscale.Manager
	scheduler   *rounds.Scheduler
	preemptor   *preemption.Planner
	priorities  *ordering.Priorities
	backfiller  *starvation.Guard
	balancer    *balance.Balancer
	capacity    *capacity.Counter
	jobs        *jobs.Service
	tenancy     *tenancy.Service
	pools       *pools.Manager
	skips       *skips.Service
	admin       *operations.Service
	reporter    *metrics.Reporter
}

// New returns a controller that has not read the cluster state yet. The incarnation distinguishes
// this run of the process from other runs.
func New(cfg *config.Config, incarnation int64) *Controller {
	shared := core.New(cfg, incarnation)
	n := &Controller{core: shared}
	n.follower = logfollow.New(shared)
	n.membership = ownership.New(shared)
	n.gossiper = gossip.New(shared)
	n.agents = agent.New(shared)
	n.health = health.New(shared)
	n.eligibility = eligibility.New(shared)
	n.autoscaler = autoscale.New(shared)
	n.scheduler = rounds.New(shared)
	n.preemptor = preemption.New(shared)
	n.priorities = ordering.New(shared)
	n.backfiller = starvation.New(shared)
	n.balancer = balance.New(shared)
	n.capacity = capacity.New(shared)
	n.jobs = jobs.New(shared)
	n.tenancy = tenancy.New(shared)
	n.pools = pools.New(shared)
	n.skips = skips.New(shared)
	n.admin = operations.New(shared)
	n.reporter = metrics.New(shared)
	n.connect()
	n.core.State = n.NewState()
	return n
}

// NewState returns an empty cluster state, with the kinds of records that components decode
// registered, and resets what these components read from such records before.
func (n *Controller) NewState() *core.ClusterState {
	n.core.Settings, n.core.RecordedTypes = core.Settings{}, api.MachineTypes{}
	n.health.ResetRecords()
	kinds := []clusterstate.RecordKind{
		clusterstate.SingleKey(core.SettingsKey, &n.core.Settings),
		clusterstate.SingleKey(core.MachineTypesKey, &n.core.RecordedTypes),
		n.priorities.ShortageRecordKind(),
		n.health.RecordKind(),
	}
	kinds = append(kinds, n.pools.RecordKinds()...)
	kinds = append(kinds, n.tenancy.RecordKinds()...)
	return clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](n.core.Config.Deployment.InitialSize, kinds...)
}

// Step processes the commands that have arrived and returns the requested effects in order. It must
// be called at least every TickInterval, also without commands.
func (n *Controller) Step(now api.Time, wall api.WallTime, commands []message.Command) []message.Effect {
	n.core.Now, n.core.WallClock = now, wall
	if !n.started {
		n.started, n.core.StartedAt = true, now
	}
	for _, c := range commands {
		n.startWork(message.WorkKindOf(c))
		n.dispatch(c)
	}
	n.tick()
	return n.core.TakeEffects()
}

// startWork announces the kind of work that begins, so that the time it takes is attributed to it.
func (n *Controller) startWork(kind message.WorkKind) {
	if n.OnWorkStart != nil {
		n.OnWorkStart(kind)
	}
}

// Names of latencies in metrics.
const (
	submitLatency = "submit"
	pollLatency   = "poll"
	cancelLatency = "cancel"
	stepLatency   = "step"
)

// dispatch passes a command to the component that handles it, or a response to its caller.
func (n *Controller) dispatch(c message.Command) {
	switch c := c.(type) {
	case message.Submit:
		n.core.TrackRequest(c.Req, submitLatency)
		n.jobs.Submit(c)
	case message.Poll:
		n.core.TrackRequest(c.Req, pollLatency)
		n.jobs.Poll(c)
	case message.Cancel:
		n.core.TrackRequest(c.Req, cancelLatency)
		n.jobs.Cancel(c)
	case message.ReadinessProbe:
		n.jobs.Ready(c)
	case message.ListHistory:
		n.tenancy.ListHistory(c)
	case message.TenantQuery:
		n.tenancy.HandleTenantQuery(c)
	case message.AdminRequest:
		n.admin.HandleAdmin(c)
	case message.WorkerHeartbeat:
		n.agents.HandleHeartbeat(c)
	case message.PeerGossip:
		n.gossiper.HandleGossip(c)
	case message.ReadLog:
		n.follower.HandleReadLog(c)
	case message.MalformedMessage:
		n.gossiper.RejectMalformed(c.Req, c.From)
	case message.ResourceUsage:
		n.core.Metrics.ObserveLatency(stepLatency, c.StepTime)
		n.core.Metrics.Usage = c
	case message.StoreResponse:
		n.core.CompleteCall(c.ID, c)
	case message.WorkerResponse:
		n.core.CompleteCall(c.ID, c)
	case message.CloudResponse:
		n.core.CompleteCall(c.ID, c)
	case message.PeerResponse:
		n.core.CompleteCall(c.ID, c)
	}
}

// tick does the work that is due. Until the cluster state has been read once, it only runs deferred
// calls, renews the lease, answers cancellations and reads the state.
func (n *Controller) tick() {
	n.core.RunDeferredCalls()
	n.startWork(message.WorkMembership)
	n.membership.MaintainLease()
	n.jobs.ReplyToCancellations()
	if !n.core.Loaded {
		n.follower.LoadState()
		return
	}
	n.followState()
	n.startWork(message.WorkScaling)
	n.autoscaler.Reconcile()
	n.tenancy.ReconcileTenants()
	n.startWork(message.WorkRounds)
	n.runRounds()
	n.startWork(message.WorkMachines)
	n.reconcileMachines()
	n.startWork(message.WorkGossip)
	n.gossiper.Send()
}

// followState applies new log entries, answers the requests that wait for them, and claims or
// releases partitions accordingly.
func (n *Controller) followState() {
	n.follower.FollowLog()
	n.follower.ReplyToSubscribers()
	n.jobs.SendResultLookup()
	n.skips.SyncLedger()
	n.membership.ReconcilePartitions()
}

// runRounds runs the scheduling rounds that are due, in order of partition.
func (n *Controller) runRounds() {
	n.scheduler.ObserveRounds()
	for _, p := range slices.Sorted(maps.Keys(n.core.Partitions)) {
		if owned := n.core.Partitions[p]; owned != nil { // an earlier round may have ended the ownership
			n.scheduler.RunPartition(owned)
		}
	}
}

// reconcileMachines detects failed zones and machines of the owned partitions, and calls, evacuates
// and deletes machines.
func (n *Controller) reconcileMachines() {
	n.health.ReconcileZones()
	n.priorities.UpdateShortage()
	n.agents.ReconcileMachines()
	n.health.EvacuateZones()
	n.autoscaler.ProcessDeletions()
}
