// Package control owns all of a controller's state and every decision. It does
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
	"basaltwall/controller/balance"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/controller/ordering"
	"basaltwall/controller/starvation"
	"basaltwall/zonehealth"
)

// Controller is one controller.
type Controller struct {
	// OnWorkStart, if set, is told which kind of work comes next.
	OnWorkStart func(message.WorkKind)

	started bool

	core         *core.Core
	follower     *LogFollower
	membership   *Membership
	gossiper     *Gossiper
	agents       *AgentManager
	health       *ZoneHealth
	autoscaler   *Autoscaler
	scheduler    *RoundScheduler
	preemptor    *Preemptor
	priorities   *ordering.Priorities
	backfiller   *starvation.Guard
	balancer     *balance.Balancer
	jobs         *JobService
	tenancy      *TenantService
	pools        *PoolManager
	reservations *ReservationService
	admin        *AdminService
	reporter     *MetricsReporter
}

type readWaiter struct {
	onRead, onFailure func()
	direct            bool // it wants a read of our own
}

type redirect struct {
	to api.ControllerID
	at api.Time
}

type peerStatus struct {
	gossip           message.Gossip
	receivedAt       api.Time
	receivedDirectly bool // it came from the controller itself
	sendInFlight     bool
}

// recent reports whether a peer's news is still worth believing.
func (p *peerStatus) recent(now api.Time) bool {
	return p.receivedAt != 0 && now.Sub(p.receivedAt) <= 5*time.Second
}

// NewState is an empty book; the kinds of records that stand for themselves are
// registered here.
func (n *Controller) NewState() *core.ClusterState {
	n.core.Settings, n.core.RecordedTypes = core.Settings{}, api.MachineTypes{}
	n.health.zones.records = map[api.Zone]zonehealth.Record{}
	kinds := append([]clusterstate.RecordKind{clusterstate.SingleKey(core.SettingsKey, &n.core.Settings), clusterstate.SingleKey(core.MachineTypesKey, &n.core.RecordedTypes), n.priorities.ShortageRecordKind(), n.health.ZoneRecordKind()}, n.tenancy.HostedRecordKinds()...)
	return clusterstate.New[core.JobTracking, core.PlacementTracking](n.core.Config.Deployment.InitialSize, kinds...)
}

// New returns a controller; born tells this run of the process from others.
func New(cfg *config.Config, incarnation int64) *Controller {
	shared := core.New(cfg, incarnation)
	n := &Controller{core: shared}
	n.follower = &LogFollower{core: shared, c: n}
	n.membership = newMembership(n)
	n.gossiper = newGossiper(n)
	n.agents = newAgentManager(n)
	n.health = &ZoneHealth{core: shared, c: n}
	n.autoscaler = newAutoscaler(n)
	n.scheduler = &RoundScheduler{core: shared, c: n}
	n.preemptor = &Preemptor{core: shared, c: n}
	n.priorities = ordering.New(shared)
	n.backfiller = starvation.New(shared)
	n.balancer = balance.New(shared)
	n.jobs = newJobService(n)
	n.tenancy = &TenantService{core: shared, c: n}
	n.pools = &PoolManager{core: shared, c: n}
	n.reservations = &ReservationService{core: shared, c: n}
	n.admin = &AdminService{core: shared, c: n}
	n.reporter = &MetricsReporter{core: shared, c: n}
	n.priorities.Connect(ordering.Siblings{Agents: n.agents, Gossip: n.gossiper, Health: n.health, Log: n.follower})
	n.backfiller.Connect(starvation.Siblings{
		Agents: n.agents, Autoscaler: n.autoscaler, Balancer: n.balancer, Gossip: n.gossiper, Pools: n.pools,
		Preemptor: n.preemptor, Scheduler: n.scheduler, Tenancy: n.tenancy,
	})
	n.balancer.Connect(balance.Siblings{
		Agents: n.agents, Autoscaler: n.autoscaler, Backfiller: n.backfiller, Capacity: n.jobs, Gossip: n.gossiper, Log: n.follower,
		Membership: n.membership, Preemptor: n.preemptor, Priorities: n.priorities, Scheduler: n.scheduler, Tenancy: n.tenancy,
	})
	n.tenancy.ResetPlatformTeams()
	n.tenancy.InitHosted()
	n.health.InitZones()
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
		n.reporter.StartWork(workKindOf(c))
		n.dispatch(c)
	}
	n.tick()
	out := n.core.Effects
	n.core.Effects = nil
	return out
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
		n.gossiper.HandleGossip(c)
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
	n.reporter.StartWork(message.WorkMembership)
	n.membership.MaintainMembership()
	n.jobs.AnswerCancellations()
	if !n.core.Loaded {
		n.follower.LoadState()
		return
	}
	n.follower.FollowLog()
	n.follower.ReplyToFollowers()
	n.jobs.SendResultLookup()
	n.reservations.SyncLedger()
	n.membership.ClaimPartitions()
	n.reporter.StartWork(message.WorkFleet)
	n.autoscaler.ReconcileFleet()
	n.tenancy.ReconcileTenants()
	n.reporter.StartWork(message.WorkRounds)
	n.scheduler.ObserveRounds()
	for _, p := range slices.Sorted(maps.Keys(n.core.Partitions)) {
		if owned := n.core.Partitions[p]; owned != nil {
			n.scheduler.RunPartition(owned)
		}
	}
	n.reporter.StartWork(message.WorkMachines)
	n.health.ReconcileZones()
	n.priorities.UpdateShortage()
	n.agents.ReconcileMachines()
	n.health.EvacuateZones()
	n.autoscaler.ProcessDeletions()
	n.reporter.StartWork(message.WorkGossip)
	n.gossiper.SendGossip()
}
