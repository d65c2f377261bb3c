package controller

import (
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/relay"
)

// Timing that no setting bears on. None is needed for safety.
const (
	storeTimeout     = 1500 * time.Millisecond // answers take a few hundred milliseconds at most
	renewTimeout     = time.Second
	watchPollTimeout = 10 * time.Second
	workerTimeout    = 1500 * time.Millisecond
	cloudTimeout     = 6 * time.Second
	peerTimeout      = 2 * time.Second
	gossipInterval   = 500 * time.Millisecond
	retryDelay       = 200 * time.Millisecond
)

// minRoundInterval is the least time between two rounds of a partition.
const minRoundInterval = 50 * time.Millisecond

// intervals is how often and how long, as the settings allow. TestTimetableFitsSettings holds
// it for every setting that is accepted. None is needed for safety.
type intervals struct {
	leaseRenewInterval time.Duration // of our lease
	memberLeaseTTL     time.Duration // that lease's life
	handoverDelay      time.Duration // a returned node's parts go home after this
	roundInterval      time.Duration // between a part's rounds
	readInterval       time.Duration // between current reads
	directReadInterval time.Duration // the same where most read through relays, of who has none
	maxRelays          int           // controllers that read the log for the others, where there are more
	lookupInterval     time.Duration // between requests for final states, and for pages when the state is read
	cloudCallInterval  time.Duration // between rentals, and between deletions

	heartbeatTimeout        time.Duration // how long no report may come before a machine is asked
	livenessTimeout         time.Duration // how long a machine may be silent, see checkSilence
	cancellationTimeout     time.Duration // how long after a cancellation a machine that is silent is deleted for it
	leaseCoversCancellation bool          // a machine that nobody renews is empty within the time of a cancellation
	redirectTTL             time.Duration // how soon a worker is back that was sent to a node which does not answer
}

func intervalsFor(cfg *config.Config) intervals {
	d := cfg.Deployment
	controllers := float64(len(cfg.Peers) + 1)
	heartbeatInterval, cancelTimeout := cfg.HeartbeatInterval(), api.Seconds(d.Workers.Cancel)
	t := intervals{
		// A twentieth of the requests keeps all leases alive.
		leaseRenewInterval: min(maxLeaseRenewInterval, max(900*time.Millisecond, api.Seconds(20*controllers/d.State.RPS))),
		// Half of the write limit is for rounds, the rest for jobs, checkpoints and
		// members; a third of the requests for current reads and watches.
		roundInterval: max(minRoundInterval, api.Seconds(float64(d.InitialSize)/(d.State.WriteRPS*0.5))),
		readInterval:  max(40*time.Millisecond, api.Seconds(min(controllers, float64(relay.MaxRelays(d.State.RPS)))*3/d.State.RPS)),
		// A sixth, beside the relays' third, should all others have no relay at once.
		directReadInterval: max(40*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		maxRelays:          relay.MaxRelays(d.State.RPS),
		// A sixth of the requests: who starts again and again, or is asked for thousands of
		// jobs that are over, leaves the others theirs.
		lookupInterval: max(10*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		// A third of the cloud's calls may be rentals: offers are refused one by
		// one, and a burst should not wait for that.
		cloudCallInterval: max(100*time.Millisecond, api.Seconds(3/d.Cloud.RPS)),

		heartbeatTimeout: heartbeatInterval*5/4 + 500*time.Millisecond,
		// Long enough for the others of its zone to be found silent too, and that to
		// be told, if it is the zone that is cut off.
		livenessTimeout: 2*heartbeatInterval + 2*workerTimeout,
		redirectTTL:     max(20*time.Second, heartbeatInterval*5/2),
	}
	// A renewal may go unanswered once, and be late.
	t.memberLeaseTTL = max(t.leaseRenewInterval*10/3, t.leaseRenewInterval+renewTimeout+2*retryDelay)
	// Time enough for a deletion that goes unanswered once, with the read before it.
	t.cancellationTimeout = max(cancelTimeout/2, cancelTimeout-2*cloudTimeout-2*sweepInterval)
	lease := cfg.WorkerLease()
	t.leaseCoversCancellation = lease+lease/1000+leaseSlack <= cancelTimeout
	t.handoverDelay = max(5*time.Second, t.memberLeaseTTL)
	return t
}

// leaseSlack is what a worker may take to notice that its lease is over. Its clock may be off
// by a two-thousandth, so a thousandth of the lease is allowed for beside it.
const leaseSlack = time.Second

// maxLeaseRenewInterval keeps a lease's life within the ten minutes that the state service allows.
const maxLeaseRenewInterval = 2 * time.Minute
