// Package controller owns all of a controller's state and every decision. It does
// no input or output, reads no clock and starts no goroutine: Step takes what
// happened and returns what is to be done, and the same inputs give the same
// outputs.
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
	"basaltwall/controller/ownership"
	"basaltwall/controller/pools"
	"basaltwall/controller/preemption"
	"basaltwall/controller/reservations"
	"basaltwall/controller/rounds"
	"basaltwall/controller/tenancy"
	"basaltwall/priority"
)

// Controller is one controller.
type Controller struct {
	// OnWorkStart, if set, is told which kind of work comes next.
	OnWorkStart func(message.WorkKind)

	started bool

	core         *core.Core
	follower     *logfollow.Follower
	membership   *ownership.Manager
	gossiper     *gossip.Exchange
	agents       *agent.Manager
	health       *health.Monitor
	eligibility  *eligibility.Checker
	autoscaler   *autoscale.Manager
	scheduler    *rounds.Scheduler
	preemptor    *preemption.Planner
	priorities   *Priorities
	backfiller   *Backfiller
	balancer     *Balancer
	capacity     *capacity.Counter
	jobs         *jobs.Service
	tenancy      *tenancy.Service
	pools        *pools.Manager
	reservations *reservations.Service
	admin        *operations.Service
	reporter     *metrics.Reporter
}

// NewState is an empty book; the kinds of records that stand for themselves are
// registered here.
func (n *Controller) NewState() *core.ClusterState {
	n.core.Settings, n.core.RecordedTypes, n.priorities.priorityState.shortage = core.Settings{}, api.MachineTypes{}, priority.Shortage{}
	n.health.ResetRecords()
	kinds := []clusterstate.RecordKind{clusterstate.SingleKey(core.SettingsKey, &n.core.Settings), clusterstate.SingleKey(core.MachineTypesKey, &n.core.RecordedTypes), clusterstate.SingleKey(keyShortage, &n.priorities.priorityState.shortage), n.health.RecordKind()}
	kinds = append(kinds, n.pools.RecordKinds()...)
	kinds = append(kinds, n.tenancy.RecordKinds()...)
	return clusterstate.New[core.JobTracking, core.PlacementTracking](n.core.Config.Deployment.InitialSize, kinds...)
}

// New returns a controller; born tells this run of the process from others.
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
	n.priorities = &Priorities{core: shared, c: n}
	n.backfiller = &Backfiller{core: shared, c: n}
	n.balancer = &Balancer{core: shared, c: n}
	n.capacity = capacity.New(shared)
	n.jobs = jobs.New(shared)
	n.tenancy = tenancy.New(shared)
	n.pools = pools.New(shared)
	n.reservations = reservations.New(shared)
	n.admin = operations.New(shared)
	n.reporter = metrics.New(shared)
	n.connect()
	n.core.State = n.NewState()
	return n
}

// Step tells the controller what happened and returns what it wants done. It
// is also to be called with no commands at least every Tick.
func (n *Controller) Step(now api.Time, wall api.WallTime, cmds []message.Command) []message.Effect {
	n.core.Now, n.core.WallClock = now, wall
	if !n.started {
		n.started, n.core.StartedAt = true, now
	}
	for _, c := range cmds {
		n.startWork(message.WorkKindOf(c))
		n.dispatch(c)
	}
	n.tick()
	out := n.core.Effects
	n.core.Effects = nil
	return out
}

// startWork tells whoever has a clock which kind of work comes next.
func (n *Controller) startWork(kind message.WorkKind) {
	if n.OnWorkStart != nil {
		n.OnWorkStart(kind)
	}
}

// TickInterval is how often Step wants to be called when nothing happens.
const TickInterval = 50 * time.Millisecond

func (n *Controller) dispatch(c message.Command) {
	answer := func(id message.CallID) {
		if f := n.core.PendingCalls[id]; f != nil {
			delete(n.core.PendingCalls, id)
			f(c)
		}
	}
	switch c := c.(type) {
	case message.Submit:
		n.core.PendingRequests[c.Req] = core.PendingRequest{Kind: "submit", StartedAt: n.core.Now}
		n.jobs.Submit(c)
	case message.Poll:
		n.core.PendingRequests[c.Req] = core.PendingRequest{Kind: "poll", StartedAt: n.core.Now}
		n.jobs.Poll(c)
	case message.Cancel:
		n.core.PendingRequests[c.Req] = core.PendingRequest{Kind: "cancel", StartedAt: n.core.Now}
		n.jobs.Cancel(c)
	case message.ResourceUsage:
		n.core.Metrics.ObserveLatency("step", c.StepTime)
		n.core.Metrics.Usage = c
	case message.ListHistory:
		n.tenancy.ListHistory(c)
	case message.TenantQuery:
		n.tenancy.HandleTenantQuery(c)
	case message.ReadinessProbe:
		n.jobs.Ready(c)
	case message.WorkerHeartbeat:
		n.agents.HandleHeartbeat(c)
	case message.PeerGossip:
		n.gossiper.Handle(c)
	case message.ReadLog:
		n.follower.HandleReadLog(c)
	case message.MalformedMessage:
		n.gossiper.RejectMalformed(c.Req, c.From)
	case message.AdminRequest:
		n.admin.HandleAdmin(c)
	case message.StoreResponse:
		answer(c.ID)
	case message.WorkerResponse:
		answer(c.ID)
	case message.CloudResponse:
		answer(c.ID)
	case message.PeerResponse:
		answer(c.ID)
	}
}

// tick does whatever is due.
func (n *Controller) tick() {
	for len(n.core.DeferredCalls) > 0 && n.core.DeferredCalls[0].At <= n.core.Now {
		callback := n.core.DeferredCalls[0].Callback
		n.core.DeferredCalls = n.core.DeferredCalls[1:]
		callback()
	}
	n.startWork(message.WorkMembership)
	n.membership.MaintainLease()
	n.jobs.AnswerCancellations()
	if !n.core.Loaded {
		n.follower.LoadState()
		return
	}
	n.follower.FollowLog()
	n.follower.ReplyToSubscribers()
	n.jobs.SendResultLookup()
	n.reservations.SyncLedger()
	n.membership.ReconcilePartitions()
	n.startWork(message.WorkFleet)
	n.autoscaler.Reconcile()
	n.tenancy.ReconcileTenants()
	n.startWork(message.WorkRounds)
	n.scheduler.ObserveRounds()
	for _, p := range slices.Sorted(maps.Keys(n.core.Partitions)) {
		if owned := n.core.Partitions[p]; owned != nil {
			n.scheduler.RunPartition(owned)
		}
	}
	n.startWork(message.WorkMachines)
	n.health.ReconcileZones()
	n.priorities.UpdateShortage()
	n.agents.ReconcileMachines()
	n.health.EvacuateZones()
	n.autoscaler.ProcessDeletions()
	n.startWork(message.WorkGossip)
	n.gossiper.Send()
}
