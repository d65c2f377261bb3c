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

// drawConfig draws settings, from the smallest that are accepted to very large ones.
func drawConfig(t *rapid.T) *config.Config {
	spread := func(name string, low, high float64) float64 { // as likely small as large
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
			"workers": map[string]float64{"report_s": spread("report", 0.2, 600), "lease_s": spread("lease", 1, 3600), "cancel_s": spread("cancel", 1, 3600)},
			"state": map[string]float64{"rps": spread("rps", 0.5, 1e5), "write_rps": spread("writes", 0.2, 1e5),
				"value_kb": spread("value", 1, 1024), "txn_ops": float64(rapid.IntRange(2, 500).Draw(t, "ops"))},
			"cloud": map[string]float64{"rps": spread("cloud", 0.05, 1000)},
		}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(data)
	if err != nil {
		t.Fatalf("settings that should be accepted: %v", err)
	}
	return c
}

// Whatever settings are accepted, what all controllers do of themselves stays within
// their limits, a lease outlives a renewal that goes unanswered, and silence is asked
// about before it is acted on.
func TestIntervalsFitSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		d := c.Deployment
		controllers := float64(len(c.Peers) + 1)
		tt := core.NewIntervals(c)
		perSecond := func(each float64, every time.Duration) float64 { return each / every.Seconds() }
		const slack = 1.0001                               // durations are whole nanoseconds
		readers := min(controllers, float64(tt.MaxRelays)) // the others read through these
		asked := perSecond(controllers, tt.LeaseRenewInterval) + perSecond(readers, tt.ReadInterval)
		if asked > slack*0.4*d.State.RPS && tt.LeaseRenewInterval < core.MaxLeaseRenewInterval {
			t.Errorf("%.2f renewals and reads a second of %.2f", asked, d.State.RPS)
		}
		if got := asked + perSecond(controllers-readers, tt.DirectReadInterval); got > slack*0.6*d.State.RPS && tt.LeaseRenewInterval < core.MaxLeaseRenewInterval {
			t.Errorf("%.2f a second of %.2f when nobody has a relay", got, d.State.RPS)
		}
		if got := perSecond(controllers, tt.LeaseRenewInterval) + perSecond(controllers, New(c, 1).follower.PageReadInterval()); got > slack*0.4*d.State.RPS && tt.LeaseRenewInterval < core.MaxLeaseRenewInterval {
			t.Errorf("%.2f a second of %.2f while versions change", got, d.State.RPS)
		}
		if got := perSecond(float64(d.InitialSize), tt.RoundInterval); got > slack*0.5*d.State.WriteRPS {
			t.Errorf("%.2f rounds a second of %.2f writes", got, d.State.WriteRPS)
		}
		if got := perSecond(1, tt.CloudCallInterval); got > slack*d.Cloud.RPS/3 {
			t.Errorf("%.2f rentals a second of %.2f calls", got, d.Cloud.RPS)
		}
		if tt.MemberLeaseTTL < tt.LeaseRenewInterval+core.RenewTimeout+2*core.RetryDelay || tt.MemberLeaseTTL > 10*time.Minute || tt.MemberLeaseTTL < 100*time.Millisecond {
			t.Errorf("a lease of %v is renewed every %v", tt.MemberLeaseTTL, tt.LeaseRenewInterval)
		}
		if tt.HandoverDelay < tt.MemberLeaseTTL {
			t.Errorf("parts go home after %v, while a lease lasts %v", tt.HandoverDelay, tt.MemberLeaseTTL)
		}
		if cancel := api.Seconds(d.Workers.Cancel); tt.CancellationTimeout >= cancel || tt.CancellationTimeout < cancel/2 || cancel > 30*time.Second && tt.CancellationTimeout+2*core.CloudTimeout >= cancel {
			t.Errorf("cancelled tasks have %v, their machine is deleted after %v", cancel, tt.CancellationTimeout)
		}
		report := api.Seconds(d.Workers.Report)
		if latest := report * 5 / 4; tt.HeartbeatTimeout <= latest || tt.LivenessTimeout <= tt.HeartbeatTimeout || tt.RedirectTTL < latest {
			t.Errorf("reports come every %v; silent after %v, given up after %v, back within %v", report, tt.HeartbeatTimeout, tt.LivenessTimeout, tt.RedirectTTL)
		}
	})
}

// The smallest values and transactions that are accepted hold a round with a start:
// a deployment would otherwise accept jobs and never run them.
func TestSmallestSettingsFitARound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		n := New(c, 1)
		if room, conditions := n.scheduler.RoundByteBudget(), n.scheduler.RoundConditionBudget(); room < 64 || conditions < 2 {
			t.Errorf("%.2f KB and %d writes leave %d bytes and %d conditions", c.Deployment.State.ValueKB, c.Deployment.State.TxnOps, room, conditions)
		}
	})
}
