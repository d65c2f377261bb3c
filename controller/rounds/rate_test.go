package rounds

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
)

// newTestScheduler returns the scheduler of one of count controllers, with count partitions.
func newTestScheduler(t *testing.T, count int) *Scheduler {
	t.Helper()
	var peers []string
	for i := range count - 1 {
		peers = append(peers, fmt.Sprintf(`{"label":"n-%02d","domain":"z%d","peer_addr":"10.0.0.2:8081"}`, i, i%4))
	}
	cfg, err := config.Parse(fmt.Appendf(nil, `{"label":"self","domain":"z0","api_addr":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","peers":[%s],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"deployment":{"initial_size":%d,"zones":["z0"],"teams":[{"name":"red"}],
"workers":{"report_s":3,"lease_s":30,"cancel_s":60},"state":{"rps":150,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`,
		strings.Join(peers, ","), count))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](cfg.Deployment.InitialSize)
	shared.Now = 1
	return New(shared)
}

// All active partitions together stay within half of the write limit. Idle partitions leave their
// share to the others. With few partitions the interval is constant.
func TestRoundsShareWriteBudget(t *testing.T) {
	for _, all := range []int{1, 3, 7, 23} {
		for active := range all + 1 {
			s := newTestScheduler(t, all)
			s.ObserveRounds()
			s.core.Now = s.core.Now.Add(time.Minute)
			for i := range active {
				s.core.State.Partitions[i].RoundSeq++
			}
			s.ObserveRounds()
			interval := s.currentRoundInterval()
			if rate := float64(active) / interval.Seconds(); rate > 1.001*0.5*50 {
				t.Errorf("%d of %d partitions write %.1f rounds a second", active, all, rate)
			}
			if all <= s.core.MaxRelays && interval != s.core.RoundInterval {
				t.Errorf("%d of %d partitions active: interval %v, expected %v", active, all, interval, s.core.RoundInterval)
			}
			if active <= s.core.MaxRelays && all > s.core.MaxRelays && interval >= s.core.RoundInterval {
				t.Errorf("%d of %d partitions active: interval %v, as if all were active", active, all, interval)
			}
			s.core.Now = s.core.Now.Add(2 * activeWindow)
			if s.ObserveRounds(); s.currentRoundInterval() > interval {
				t.Errorf("%d of %d partitions active: interval grows once they are idle", active, all)
			}
		}
	}
}

// A refusal lengthens the interval at once, as if all partitions were active; the interval recovers
// gradually.
func TestRefusalBacksOffRounds(t *testing.T) {
	s := newTestScheduler(t, 23)
	s.ObserveRounds()
	fast := s.currentRoundInterval()
	s.backOffRounds()
	if got := s.currentRoundInterval(); got != s.core.RoundInterval || got <= fast {
		t.Errorf("interval %v after a refusal, %v before", got, fast)
	}
	last := s.currentRoundInterval()
	for range 20 {
		s.core.Now = s.core.Now.Add(time.Second)
		if got := s.currentRoundInterval(); got > last {
			t.Errorf("interval grows during recovery: %v after %v", got, last)
		} else {
			last = got
		}
	}
	if last != fast {
		t.Errorf("interval %v after recovery, %v before the refusal", last, fast)
	}
}
