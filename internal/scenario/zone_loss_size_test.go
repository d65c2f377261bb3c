package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// sizeScript cuts off one of three zones for 70 s, with leases of 30 s. Services use a quarter of the
// capacity, and short arrays most of the rest.
const sizeScript = `
-- script --
controllers region region region
machines %d
capacity %d
submit 1 run-1000 service tasks=4 cpus=2 scatter priority=critical times=%d every=%.4f
cut-zone 90 70 b hold
end 240
`

const sizeArrays = "submit 32 run-100000 array tasks=24 cpus=2 run=20 deadline=70 times=%d every=%.4f\n"

// TestZoneLossAtSize runs only with BASALTWALL_SIZES set to comma-separated numbers of machines. It
// reports the effects of the loss of a zone; with BASALTWALL_ARRAYS=no only services run, so that all
// writes are due to the loss. It logs problems and does not fail on them.
func TestZoneLossAtSize(t *testing.T) {
	sizes := os.Getenv("BASALTWALL_SIZES")
	if sizes == "" {
		t.Skip("BASALTWALL_SIZES is not set")
	}
	for _, word := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(word, func(t *testing.T) {
			t.Parallel()
			services, arrays := n/4, n*2/3
			m := &zoneLossStats{minUpShare: 1}
			script := fmt.Sprintf(sizeScript, n, n+n/8, services, 24/float64(services))
			if os.Getenv("BASALTWALL_ARRAYS") != "no" {
				script += fmt.Sprintf(sizeArrays, arrays, 180/float64(arrays))
			}
			res, err := run([]byte(script), func(sim *emulator.Simulation) { m.observe(sim) })
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range res.Problems {
				t.Log(p)
			}
			sim := res.Simulation
			late := 0
			for ref := range sim.Users.AcceptedAt {
				if len(ref) == len("run-100000") {
					if d, ok := sim.Users.DoneAt[ref]; !ok || d-sim.Users.AcceptedAt[ref] > api.Seconds(75) {
						late++
					}
				}
			}
			classes, _ := sim.Checker.ServiceLevels(sim.Now)
			up, due := sim.Checker.ReplicaCounts(sim.Now)
			t.Logf("%d of %d replicas are up at the end", up, due)
			fmt.Printf("emulated %5d machines: replica-seconds missed %7.0f, lowest share up %.3f, 50/90/100%% recovered after %v/%v/%v, arrays late %d of %d, served %.3f, writes %d, requests %d, cloud calls %d, launched %d, deleted %d; lost %d replicas, %d writes between lease expiry and recovery\n",
				n, m.missedReplicaSeconds, m.minUpShare, m.recoveryTimes[0], m.recoveryTimes[1], m.recoveryTimes[2], late, arrays, classes["batch"].Share(), sim.Store.Writes-m.writes, sim.Store.Requests-m.requests, sim.Cloud.Calls-m.calls, sim.Cloud.LaunchedMachines, sim.Cloud.DeletedMachines, m.maxLost, m.writesAtRecovery-m.writesAtLeaseExpiry)
		})
	}
}

type zoneLossStats struct {
	missedReplicaSeconds, minUpShare      float64
	maxLost                               int
	recoveryTimes                         [3]time.Duration // since lease expiry, for 50, 90 and 100 % of the replicas
	writes, requests, calls               int
	writesAtLeaseExpiry, writesAtRecovery int
}

func (m *zoneLossStats) observe(sim *emulator.Simulation) {
	const from, lease, every = 90 * time.Second, 30 * time.Second, 250 * time.Millisecond
	sim.After(from, func() { m.writes, m.requests, m.calls = sim.Store.Writes, sim.Store.Requests, sim.Cloud.Calls })
	sim.After(from+lease-5*time.Second, func() { m.writesAtLeaseExpiry = sim.Store.Writes }) // the first leases expire earlier
	var sample func()
	sample = func() {
		up, due := sim.Checker.ReplicaCounts(sim.Now)
		m.missedReplicaSeconds += float64(due-up) * every.Seconds()
		m.minUpShare = min(m.minUpShare, float64(up)/float64(max(1, due)))
		if gone := due - up; gone > m.maxLost {
			m.maxLost, m.recoveryTimes = gone, [3]time.Duration{}
		}
		for i, share := range []float64{0.5, 0.9, 1} {
			if m.maxLost > 0 && m.recoveryTimes[i] == 0 && float64(m.maxLost-(due-up)) >= share*float64(m.maxLost) {
				m.recoveryTimes[i] = sim.Now - from - lease
				m.writesAtRecovery = sim.Store.Writes
			}
		}
		sim.After(every, sample)
	}
	sim.After(from, sample)
}
