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

// manyPartitions is the scheduler of a controller among so many, with as many partitions.
func manyPartitions(t *testing.T, count int) *Scheduler {
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
	shared.State = clusterstate.New[core.JobTracking, core.PlacementTracking](cfg.Deployment.InitialSize)
	shared.Now = 1
	return New(shared)
}

// However many partitions write rounds, together they stay within half of the writes; those that
// write nothing leave theirs to the others. With few nothing depends on who writes.
func TestRoundsShareWriteBudget(t *testing.T) {
	for _, all := range []int{1, 3, 7, 23} {
		for active := range all + 1 {
			s := manyPartitions(t, all)
			s.ObserveRounds()
			s.core.Now = s.core.Now.Add(time.Minute)
			for i := range active {
				s.core.State.Partitions[i].RoundSeq++
			}
			s.ObserveRounds()
			pause := s.currentRoundInterval()
			if rate := float64(active) / pause.Seconds(); rate > 1.001*0.5*50 {
				t.Errorf("%d of %d partitions write %.1f rounds a second", active, all, rate)
			}
			if all <= s.core.MaxRelays && pause != s.core.RoundInterval {
				t.Errorf("%d of %d: %v, expected %v", active, all, pause, s.core.RoundInterval)
			}
			if active <= s.core.MaxRelays && all > s.core.MaxRelays && pause >= s.core.RoundInterval {
				t.Errorf("%d of %d: %v, as if all wrote", active, all, pause)
			}
			s.core.Now = s.core.Now.Add(2 * activeWindow)
			if s.ObserveRounds(); s.currentRoundInterval() > pause {
				t.Errorf("%d of %d: slower once they are idle", active, all)
			}
		}
	}
}

// A refusal makes rounds as rare as if all partitions wrote, at once, and they come back slowly.
func TestRefusalBacksOffRounds(t *testing.T) {
	s := manyPartitions(t, 23)
	s.ObserveRounds()
	fast := s.currentRoundInterval()
	s.backOffRounds()
	if got := s.currentRoundInterval(); got != s.core.RoundInterval || got <= fast {
		t.Errorf("%v after a refusal, %v before", got, fast)
	}
	last := s.currentRoundInterval()
	for range 20 {
		s.core.Now = s.core.Now.Add(time.Second)
		if got := s.currentRoundInterval(); got > last {
			t.Errorf("slower by itself: %v after %v", got, last)
		} else {
			last = got
		}
	}
	if last != fast {
		t.Errorf("%v in the end, %v before", last, fast)
	}
}
