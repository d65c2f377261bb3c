package core

import (
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/relay"
)

// Timing that no setting bears on. None is needed for safety.
const (
	StoreTimeout     = 1500 * time.Millisecond // answers take a few hundred milliseconds at most
	RenewTimeout     = time.Second
	WatchPollTimeout = 10 * time.Second
	WorkerTimeout    = 1500 * time.Millisecond
	CloudTimeout     = 6 * time.Second
	PeerTimeout      = 2 * time.Second
	GossipInterval   = 500 * time.Millisecond
	RetryDelay       = 200 * time.Millisecond
)

// MinRoundInterval is the least time between two rounds of a partition.
const MinRoundInterval = 50 * time.Millisecond

// Intervals is how often and how long, as the settings allow. TestTimetableFitsSettings holds
// it for every setting that is accepted. None is needed for safety.
type Intervals struct {
	LeaseRenewInterval time.Duration // of our lease
	MemberLeaseTTL     time.Duration // that lease's life
	HandoverDelay      time.Duration // a returned node's parts go home after this
	RoundInterval      time.Duration // between a part's rounds
	ReadInterval       time.Duration // between current reads
	DirectReadInterval time.Duration // the same where most read through relays, of who has none
	MaxRelays          int           // controllers that read the log for the others, where there are more
	LookupInterval     time.Duration // between requests for final states, and for pages when the state is read
	CloudCallInterval  time.Duration // between rentals, and between deletions

	HeartbeatTimeout        time.Duration // how long no report may come before a machine is asked
	LivenessTimeout         time.Duration // how long a machine may be silent, see checkSilence
	CancellationTimeout     time.Duration // how long after a cancellation a machine that is silent is deleted for it
	LeaseCoversCancellation bool          // a machine that nobody renews is empty within the time of a cancellation
	RedirectTTL             time.Duration // how soon a worker is back that was sent to a node which does not answer
}

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
		// A sixth of the requests: who starts again and again, or is asked for thousands of
		// jobs that are over, leaves the others theirs.
		LookupInterval: max(10*time.Millisecond, api.Seconds(controllers*6/d.State.RPS)),
		// A third of the cloud's calls may be rentals: offers are refused one by
		// one, and a burst should not wait for that.
		CloudCallInterval: max(100*time.Millisecond, api.Seconds(3/d.Cloud.RPS)),

		HeartbeatTimeout: heartbeatInterval*5/4 + 500*time.Millisecond,
		// Long enough for the others of its zone to be found silent too, and that to
		// be told, if it is the zone that is cut off.
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

// leaseSlack is what a worker may take to notice that its lease is over. Its clock may be off
// by a two-thousandth, so a thousandth of the lease is allowed for beside it.
const leaseSlack = time.Second

// MaxLeaseRenewInterval keeps a lease's life within the ten minutes that the state service allows.
const MaxLeaseRenewInterval = 2 * time.Minute

// SweepInterval is how often each machine is looked at when nothing calls for it.
const SweepInterval = time.Second
