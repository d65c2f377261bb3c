package controller

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"

	_ "basaltwall/internal/proptest"
)

// drawConfig draws valid settings, from the smallest accepted values to very large ones.
func drawConfig(t *rapid.T) *config.Config {
	logUniform := func(name string, low, high float64) float64 {
		return math.Exp(rapid.Float64Range(math.Log(low), math.Log(high)).Draw(t, name))
	}
	controllers := rapid.IntRange(1, 15).Draw(t, "controllers")
	peers := []map[string]string{}
	for i := range controllers - 1 {
		peers = append(peers, map[string]string{"label": fmt.Sprintf("n-%d", i), "peer_addr": "10.0.0.2:8081"})
	}
	data, err := json.Marshal(map[string]any{
		"label": "self", "api_addr": "10.0.0.1:8080", "peer_listen": "10.0.0.1:8081", "peers": peers,
		"external": map[string]string{"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
		"deployment": map[string]any{
			"initial_size": controllers, "zones": []string{"a", "b"}, "teams": []map[string]any{{"name": "red"}},
			"workers": map[string]float64{"report_s": logUniform("report", 0.2, 600), "lease_s": logUniform("lease", 1, 3600), "cancel_s": logUniform("cancel", 1, 3600)},
			"state": map[string]float64{"rps": logUniform("rps", 0.5, 1e5), "write_rps": logUniform("writes", 0.2, 1e5),
				"value_kb": logUniform("value", 1, 1024), "txn_ops": float64(rapid.IntRange(2, 500).Draw(t, "ops"))},
			"cloud": map[string]float64{"rps": logUniform("cloud", 0.05, 1000)},
		}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(data)
	if err != nil {
		t.Fatalf("valid settings are rejected: %v", err)
	}
	return c
}

// For any valid settings, the controllers' periodic calls stay within the rate limits, a lease
// outlives an unanswered renewal, and a machine without heartbeats is contacted before it counts as failed.
func TestIntervalsFitSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		d := c.Deployment
		controllers := float64(len(c.Peers) + 1)
		intervals := core.NewIntervals(c)
		perSecond := func(each float64, every time.Duration) float64 { return each / every.Seconds() }
		const slack = 1.0001                                      // durations are whole nanoseconds
		readers := min(controllers, float64(intervals.MaxRelays)) // the other controllers read through these relays
		requests := perSecond(controllers, intervals.LeaseRenewInterval) + perSecond(readers, intervals.ReadInterval)
		if requests > slack*0.4*d.State.RPS && intervals.LeaseRenewInterval < core.MaxLeaseRenewInterval {
			t.Errorf("%.2f renewals and reads per second, the limit is %.2f requests", requests, d.State.RPS)
		}
		if got := requests + perSecond(controllers-readers, intervals.DirectReadInterval); got > slack*0.6*d.State.RPS && intervals.LeaseRenewInterval < core.MaxLeaseRenewInterval {
			t.Errorf("%.2f requests per second without relays, the limit is %.2f", got, d.State.RPS)
		}
		if got := perSecond(controllers, intervals.LeaseRenewInterval) + perSecond(controllers, New(c, 1).follower.PageReadInterval()); got > slack*0.4*d.State.RPS && intervals.LeaseRenewInterval < core.MaxLeaseRenewInterval {
			t.Errorf("%.2f requests per second while all controllers read pages, the limit is %.2f", got, d.State.RPS)
		}
		if got := perSecond(float64(d.InitialSize), intervals.RoundInterval); got > slack*0.5*d.State.WriteRPS {
			t.Errorf("%.2f rounds per second, the limit is %.2f writes", got, d.State.WriteRPS)
		}
		if got := perSecond(1, intervals.CloudCallInterval); got > slack*d.Cloud.RPS/3 {
			t.Errorf("%.2f scale-out requests per second, the limit is %.2f cloud calls", got, d.Cloud.RPS)
		}
		if intervals.MemberLeaseTTL < intervals.LeaseRenewInterval+core.RenewTimeout+2*core.RetryDelay || intervals.MemberLeaseTTL > 10*time.Minute || intervals.MemberLeaseTTL < 100*time.Millisecond {
			t.Errorf("a lease of %v is renewed every %v", intervals.MemberLeaseTTL, intervals.LeaseRenewInterval)
		}
		if intervals.HandoverDelay < intervals.MemberLeaseTTL {
			t.Errorf("partitions are handed over after %v, before a lease of %v expires", intervals.HandoverDelay, intervals.MemberLeaseTTL)
		}
		if cancel := api.Seconds(d.Workers.Cancel); intervals.CancellationTimeout >= cancel || intervals.CancellationTimeout < cancel/2 || cancel > 30*time.Second && intervals.CancellationTimeout+2*core.CloudTimeout >= cancel {
			t.Errorf("cancelled tasks must end within %v, their machine is deleted after %v", cancel, intervals.CancellationTimeout)
		}
		heartbeat := api.Seconds(d.Workers.HeartbeatInterval)
		if latest := heartbeat * 5 / 4; intervals.HeartbeatTimeout <= latest || intervals.LivenessTimeout <= intervals.HeartbeatTimeout || intervals.RedirectTTL < latest {
			t.Errorf("heartbeat interval %v, heartbeat timeout %v, liveness timeout %v, redirect TTL %v", heartbeat, intervals.HeartbeatTimeout, intervals.LivenessTimeout, intervals.RedirectTTL)
		}
	})
}

// A round with one start fits the smallest valid value size and transaction size. A deployment would
// otherwise accept jobs and never run them.
func TestSmallestSettingsFitARound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		n := New(c, 1)
		if bytes, conditions := n.scheduler.RoundByteBudget(), n.scheduler.RoundConditionBudget(); bytes < 64 || conditions < 2 {
			t.Errorf("values of %.2f KB and transactions of %d operations leave %d bytes and %d conditions", c.Deployment.State.ValueKB, c.Deployment.State.TxnOps, bytes, conditions)
		}
	})
}
