package core

// This file holds the controller's timing: how often and how long things are done.

import (
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/relay"
)

// Timing that does not depend on the configuration. None of it is needed for safety.
const (
	// StoreTimeout is the timeout of most calls to the state service, whose responses take a few
	// hundred milliseconds at most.
	StoreTimeout = 1500 * time.Millisecond
	// RenewTimeout is the timeout of the renewal of this controller's lease.
	RenewTimeout = time.Second
	// WatchPollTimeout is how long a call waits for changes of the state service's log.
	WatchPollTimeout = 10 * time.Second
	// WorkerTimeout is the timeout of direct calls to agents.
	WorkerTimeout = 1500 * time.Millisecond
	// CloudTimeout is the timeout of calls to the cloud.
	CloudTimeout = 6 * time.Second
	// PeerTimeout is the timeout of most calls to other controllers.
	PeerTimeout = 2 * time.Second
	// GossipInterval is how often a controller sends its gossip.
	GossipInterval = 500 * time.Millisecond
	// RetryDelay is after how long a deferred call is made.
	RetryDelay = 200 * time.Millisecond
	// MinRoundInterval is the least time between two rounds of a partition.
	MinRoundInterval = 50 * time.Millisecond
	// UnmetDemandRecheckInterval is how often a round looks again at jobs that found no free
	// capacity when nothing else changes.
	UnmetDemandRecheckInterval = 3 * time.Second
	// DeferredJobsInterval is how soon the jobs that a round left out are looked at if nothing
	// else makes the partition run one.
	DeferredJobsInterval = time.Second
	// SweepInterval is how often each machine is looked at when nothing calls for it.
	SweepInterval = time.Second
	// DemandSampleInterval is how often the demand for machines with accelerators is measured.
	DemandSampleInterval = time.Second
	// MinServiceRuntime is how long a service's replica must have run before it is moved.
	MinServiceRuntime = time.Minute
	// MaxLeaseRenewInterval keeps a lease's life within the ten minutes that the state service
	// allows.
	MaxLeaseRenewInterval = 2 * time.Minute
	// PeerForwardTimeout bounds the wait for one of several peers that a request can be forwarded
	// to: two of them answer within the time that users wait.
	PeerForwardTimeout = 800 * time.Millisecond
)

// RuntimeSafetyFactor is how much longer than estimated the longest of a job's tasks is taken
// to run.
const RuntimeSafetyFactor = 1.2

// leaseSlack is what a worker may take to notice that its lease is over. Its clock may be off
// by a two-thousandth, so a thousandth of the lease is allowed for beside it.
const leaseSlack = time.Second

// Intervals is the timing that follows from the configuration. TestIntervalsFitSettings holds it for
// every configuration that is accepted. None of it is needed for safety.
type Intervals struct {
	LeaseRenewInterval time.Duration // between renewals of this controller's membership lease
	MemberLeaseTTL     time.Duration // that lease's time to live
	HandoverDelay      time.Duration // how long a controller has been back when its partitions are handed to it
	RoundInterval      time.Duration // between a partition's rounds
	ReadInterval       time.Duration // between current reads of the log
	DirectReadInterval time.Duration // the same for a controller without a relay, where most read through relays
	MaxRelays          int           // controllers that read the log for the others, where there are more
	LookupInterval     time.Duration // between requests for results of jobs, and for pages when the state is read
	CloudCallInterval  time.Duration // between requests of machines, and between deletions

	HeartbeatTimeout        time.Duration // how long a machine may send no heartbeat before it is called directly
	LivenessTimeout         time.Duration // how long a machine may be silent before it is taken to have failed
	CancellationTimeout     time.Duration // how long after a cancellation a silent machine with tasks of the job is deleted
	LeaseCoversCancellation bool          // an agent's lease ends, and its tasks with it, within the time of a cancellation
	RedirectTTL             time.Duration // how soon a worker is back that was redirected to a controller which does not answer
}

// NewIntervals derives the timing from the configuration: the requests and writes that the state
// service and the cloud allow are shared out among their uses.
func NewIntervals(cfg *config.Config) Intervals {
	d := cfg.Deployment
	controllers := float64(len(cfg.Peers) + 1)
	heartbeatInterval, cancelTimeout := cfg.HeartbeatInterval(), api.Seconds(d.Workers.Cancel)
	t := Intervals{
		// A twentieth of the requests keeps all leases alive.
		LeaseRenewInterval: min(MaxLeaseRenewInterval, max(900*time.Millisecond, api.Seconds(20*controllers/d.State.RPS))),
		// Half of the write limit is for rounds, the rest for jobs, checkpoints and
		// members; a third of the requests for current reads and watches.
		RoundInterval: max(MinRoundInterval, api.Seconds(float64(d.InitialSize)/(d.State.WriteRPS*0.5))),
		ReadInterval:  max(40*time.Millisecond, api.Seconds(min(controllers, float64(relay.MaxRelays(d.State.RPS)))*3/d.State.RPS)),
		// A sixth, beside the relays' third, should all others have no relay at once.
		DirectReadInterval: max(40*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		MaxRelays:          relay.MaxRelays(d.State.RPS),
		// A sixth of the requests: a controller that restarts again and again, or is asked for
		// thousands of jobs that are over, leaves the others theirs.
		LookupInterval: max(10*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		// A third of the cloud's calls may request machines: offers are refused one by
		// one, and a burst should not wait for that.
		CloudCallInterval: max(100*time.Millisecond, api.Seconds(3/d.Cloud.RPS)),

		HeartbeatTimeout: heartbeatInterval*5/4 + 500*time.Millisecond,
		// Long enough to find the other machines of its zone silent too, and to learn it
		// from other controllers, if it is the zone that is cut off.
		LivenessTimeout: 2*heartbeatInterval + 2*WorkerTimeout,
		RedirectTTL:     max(20*time.Second, heartbeatInterval*5/2),
	}
	// A renewal may go unanswered once, and be late.
	t.MemberLeaseTTL = max(t.LeaseRenewInterval*10/3, t.LeaseRenewInterval+RenewTimeout+2*RetryDelay)
	// Time enough for a deletion that goes unanswered once, with the read before it.
	t.CancellationTimeout = max(cancelTimeout/2, cancelTimeout-2*CloudTimeout-2*SweepInterval)
	lease := cfg.WorkerLease()
	t.LeaseCoversCancellation = lease+lease/1000+leaseSlack <= cancelTimeout
	t.HandoverDelay = max(5*time.Second, t.MemberLeaseTTL)
	return t
}
