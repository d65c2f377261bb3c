package core

// This file defines the controller's intervals and timeouts.

import (
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/relay"
)

// Timing that does not depend on the configuration. Safety does not depend on it.
const (
	// StoreTimeout is the timeout of most calls to the state service, whose responses take a few
	// hundred milliseconds at most.
	StoreTimeout = 1500 * time.Millisecond
	// RenewTimeout is the timeout of the renewal of this controller's lease.
	RenewTimeout = time.Second
	// WatchPollTimeout is the long-poll timeout of a watch on the state service's log.
	WatchPollTimeout = 10 * time.Second
	// WorkerTimeout is the timeout of direct calls to agents.
	WorkerTimeout = 1500 * time.Millisecond
	// CloudTimeout is the timeout of calls to the cloud.
	CloudTimeout = 6 * time.Second
	// PeerTimeout is the timeout of most calls to other controllers.
	PeerTimeout = 2 * time.Second
	// GossipInterval is the time between two gossip messages of a controller.
	GossipInterval = 500 * time.Millisecond
	// RetryDelay is the delay of a deferred call.
	RetryDelay = 200 * time.Millisecond
	// MinRoundInterval is the minimum time between two rounds of a partition.
	MinRoundInterval = 50 * time.Millisecond
	// UnmetDemandRecheckInterval is the time between rounds that retry jobs without free capacity when
	// nothing else changes.
	UnmetDemandRecheckInterval = 3 * time.Second
	// DeferredJobsInterval is the delay of a round for jobs that the previous round left out, if
	// nothing else triggers a round.
	DeferredJobsInterval = time.Second
	// MachineInspectionInterval is the time between two inspections of a machine when nothing else triggers one.
	MachineInspectionInterval = time.Second
	// DemandSampleInterval is the time between two samples of the demand for machines with
	// accelerators.
	DemandSampleInterval = time.Second
	// MinServiceRuntime is the minimum runtime of a service's replica before it is moved.
	MinServiceRuntime = time.Minute
	// MaxLeaseRenewInterval keeps the time to live of a lease within the ten minutes that the state
	// service allows.
	MaxLeaseRenewInterval = 2 * time.Minute
	// PeerForwardTimeout is the timeout of a request to one of several peers that can serve it: two
	// attempts fit into the time that users wait.
	PeerForwardTimeout = 800 * time.Millisecond
)

// RuntimeSafetyFactor is the assumed ratio of the longest runtime of a job's tasks to its estimate.
const RuntimeSafetyFactor = 1.2

// leaseSlack is the time that a worker may take to notice the expiry of its lease. A thousandth of
// the lease is added to it for clock drift: a worker's clock may be off by a two-thousandth.
const leaseSlack = time.Second

// Intervals is the timing derived from the configuration. TestIntervalsFitSettings checks it for
// every accepted configuration. Safety does not depend on it.
type Intervals struct {
	LeaseRenewInterval time.Duration // between renewals of this controller's membership lease
	MemberLeaseTTL     time.Duration // time to live of this controller's membership lease
	HandoverDelay      time.Duration // time that a returning controller must be live before its partitions are handed to it
	RoundInterval      time.Duration // between a partition's rounds
	ReadInterval       time.Duration // between reads of the log
	DirectReadInterval time.Duration // ReadInterval of a controller without a relay, where most controllers read through relays
	MaxRelays          int           // maximum number of controllers that read the log on behalf of the others
	LookupInterval     time.Duration // between requests for results of jobs, and for pages while the state is loaded
	CloudCallInterval  time.Duration // between requests for machines, and between deletions

	HeartbeatTimeout        time.Duration // time without a heartbeat after which a machine is called directly
	LivenessTimeout         time.Duration // time without contact after which a machine counts as failed
	CancellationTimeout     time.Duration // time after a cancellation at which an unreachable machine with tasks of the job is deleted
	LeaseCoversCancellation bool          // agent leases expire, ending their tasks, within the deadline of a cancellation
	RedirectTTL             time.Duration // time after which a worker returns from a redirect to an unreachable controller
}

// NewIntervals derives the timing from the configuration. It divides the request and write limits
// of the state service and the cloud among their uses.
func NewIntervals(cfg *config.Config) Intervals {
	d := cfg.Deployment
	controllers := float64(len(cfg.Peers) + 1)
	heartbeatInterval, cancelTimeout := cfg.HeartbeatInterval(), api.Seconds(d.Workers.Cancel)
	t := Intervals{
		// Lease renewals of all controllers use a twentieth of the request limit.
		LeaseRenewInterval: min(MaxLeaseRenewInterval, max(900*time.Millisecond, api.Seconds(20*controllers/d.State.RPS))),
		// Rounds use half of the write limit; jobs, checkpoints and members use the rest. Reads and
		// watches of the log use a third of the request limit.
		RoundInterval: max(MinRoundInterval, api.Seconds(float64(d.InitialSize)/(d.State.WriteRPS*0.5))),
		ReadInterval:  max(40*time.Millisecond, api.Seconds(min(controllers, float64(relay.MaxRelays(d.State.RPS)))*3/d.State.RPS)),
		// A sixth of the request limit, in addition to the relays' third, if no other controller has a
		// relay.
		DirectReadInterval: max(40*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		MaxRelays:          relay.MaxRelays(d.State.RPS),
		// A sixth of the request limit: a controller that restarts repeatedly, or serves many requests
		// for finished jobs, leaves the rest to the others.
		LookupInterval: max(10*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		// Requests for machines use a third of the cloud's limit: the cloud refuses offers one by one,
		// and that must not delay a burst.
		CloudCallInterval: max(100*time.Millisecond, api.Seconds(3/d.Cloud.RPS)),

		HeartbeatTimeout: heartbeatInterval*5/4 + 500*time.Millisecond,
		// Long enough to detect, also from other controllers, that the whole zone of the machine is
		// unreachable.
		LivenessTimeout: 2*heartbeatInterval + 2*WorkerTimeout,
		RedirectTTL:     max(20*time.Second, heartbeatInterval*5/2),
	}
	// Allows for one renewal without a response and a late retry.
	t.MemberLeaseTTL = max(t.LeaseRenewInterval*10/3, t.LeaseRenewInterval+RenewTimeout+2*RetryDelay)
	// Leaves time for a deletion without a response, its retry, and the read before it.
	t.CancellationTimeout = max(cancelTimeout/2, cancelTimeout-2*CloudTimeout-2*MachineInspectionInterval)
	lease := cfg.WorkerLease()
	t.LeaseCoversCancellation = lease+lease/1000+leaseSlack <= cancelTimeout
	t.HandoverDelay = max(5*time.Second, t.MemberLeaseTTL)
	return t
}
