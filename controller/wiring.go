package controller

// This file connects the components with each other.

import (
	"basaltwall/controller/agent"
	"basaltwall/controller/autoscale"
	"basaltwall/controller/balance"
	"basaltwall/controller/capacity"
	"basaltwall/controller/eligibility"
	"basaltwall/controller/gossip"
	"basaltwall/controller/health"
	"basaltwall/controller/jobs"
	"basaltwall/controller/logfollow"
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

// connect gives each component the components that it depends on. Components declare these
// dependencies as interfaces of their own and never import each other.
func (n *Controller) connect() {
	n.connectState()
	n.connectMachines()
	n.connectScheduling()
	n.connectServices()
}

// connectState connects the components that read and write the cluster state and exchange gossip.
func (n *Controller) connectState() {
	n.follower.Connect(logfollow.Dependencies{State: n, Ownership: n.membership})
	n.membership.Connect(ownership.Dependencies{Log: n.follower, Scheduler: n.scheduler})
	n.gossiper.Connect(gossip.Dependencies{
		Log:         n.follower,
		Agents:      n.agents,
		Inventory:   n.autoscaler,
		Autoscaler:  n.autoscaler,
		Scheduler:   n.scheduler,
		Health:      n.health,
		Eligibility: n.eligibility,
		Preemptor:   n.preemptor,
	})
}

// connectMachines connects the components that manage machines.
func (n *Controller) connectMachines() {
	n.agents.Connect(agent.Dependencies{
		Autoscaler: n.autoscaler,
		Balancer:   n.balancer,
		Follower:   n.follower,
		Gossiper:   n.gossiper,
		Health:     n.health,
		Jobs:       n.jobs,
		Preemptor:  n.preemptor,
		Scheduler:  n.scheduler,
	})
	n.health.Connect(health.Dependencies{
		Agents:     n.agents,
		Autoscaler: n.autoscaler,
		Follower:   n.follower,
		Gossiper:   n.gossiper,
		Preemptor:  n.preemptor,
		Priorities: n.priorities,
		Scheduler:  n.scheduler,
		Tenancy:    n.tenancy,
	})
	n.eligibility.Connect(eligibility.Dependencies{Agents: n.agents, Health: n.health})
	n.autoscaler.Connect(autoscale.Dependencies{
		Agents:     n.agents,
		Backfiller: n.backfiller,
		Balancer:   n.balancer,
		Follower:   n.follower,
		Gossip:     n.gossiper,
		Health:     n.health,
		Capacity:   n.capacity,
		Pools:      n.pools,
		Preemptor:  n.preemptor,
		Priorities: n.priorities,
		Scheduler:  n.scheduler,
		Tenancy:    n.tenancy,
	})
	n.capacity.Connect(capacity.Dependencies{Gossip: n.gossiper, Priorities: n.priorities, Tenants: n.tenancy})
}

// connectScheduling connects the components that place tasks on machines.
func (n *Controller) connectScheduling() {
	n.scheduler.Connect(rounds.Dependencies{
		Eligibility: n.eligibility,
		Agents:      n.agents,
		Autoscaler:  n.autoscaler,
		Backfiller:  n.backfiller,
		Balancer:    n.balancer,
		Follower:    n.follower,
		Health:      n.health,
		Jobs:        n.jobs,
		Pools:       n.pools,
		Preemptor:   n.preemptor,
		Priorities:  n.priorities,
		Tenancy:     n.tenancy,
	})
	n.preemptor.Connect(preemption.Dependencies{
		Agents:     n.agents,
		Health:     n.health,
		Priorities: n.priorities,
		Scheduler:  n.scheduler,
	})
	n.priorities.Connect(ordering.Dependencies{Agents: n.agents, Gossip: n.gossiper, Health: n.health, Log: n.follower})
	n.backfiller.Connect(starvation.Dependencies{
		Agents:     n.agents,
		Autoscaler: n.autoscaler,
		Balancer:   n.balancer,
		Gossip:     n.gossiper,
		Pools:      n.pools,
		Preemptor:  n.preemptor,
		Scheduler:  n.scheduler,
		Tenancy:    n.tenancy,
	})
	n.balancer.Connect(balance.Dependencies{
		Agents:     n.agents,
		Autoscaler: n.autoscaler,
		Backfiller: n.backfiller,
		Capacity:   n.capacity,
		Gossip:     n.gossiper,
		Log:        n.follower,
		Membership: n.membership,
		Preemptor:  n.preemptor,
		Priorities: n.priorities,
		Scheduler:  n.scheduler,
		Tenancy:    n.tenancy,
	})
	n.pools.Connect(pools.Dependencies{
		Backfiller: n.backfiller,
		Capacity:   n.capacity,
		Follower:   n.follower,
		Priorities: n.priorities,
		Scheduler:  n.scheduler,
		Tenancy:    n.tenancy,
	})
}

// connectServices connects the components that answer users and operators.
func (n *Controller) connectServices() {
	n.jobs.Connect(jobs.Dependencies{
		Agents:     n.agents,
		Balancer:   n.balancer,
		Capacity:   n.capacity,
		Gossip:     n.gossiper,
		Log:        n.follower,
		Pools:      n.pools,
		Priorities: n.priorities,
		Skips:      n.skips,
		Tenants:    n.tenancy,
	})
	n.tenancy.Connect(tenancy.Dependencies{Follower: n.follower, Jobs: n.jobs, Pools: n.pools, Scheduler: n.scheduler})
	n.skips.Connect(skips.Dependencies{Jobs: n.jobs, Gossip: n.gossiper, Log: n.follower})
	n.admin.Connect(operations.Dependencies{
		Tenants:     n.tenancy,
		Pools:       n.pools,
		Skips:       n.skips,
		Metrics:     n.reporter,
		Jobs:        n.jobs,
		Agents:      n.agents,
		Eligibility: n.eligibility,
	})
	n.reporter.Connect(metrics.Dependencies{
		Log:        n.follower,
		Agents:     n.agents,
		Health:     n.health,
		Jobs:       n.jobs,
		Skips:      n.skips,
		Backfiller: n.backfiller,
		Pools:      n.pools,
	})
}
