package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/standin"
)

// sizeScript loses one of three zones for 70 s, with leases of 30 s; a quarter of the room is
// services', and most of the rest short arrays'.
const sizeScript = `
-- script --
controllers region region region
machines %d
capacity %d
submit 1 run-1000 service tasks=4 cpus=2 scatter priority=critical times=%d every=%.4f
cutzone 90 70 b hold
end 240
`

const sizeArrays = "submit 32 run-100000 array tasks=24 cpus=2 run=20 deadline=70 times=%d every=%.4f\n"

// TestLossAtSize measures by hand what the loss of a zone costs with as many machines as
// BASALTWALL_SIZES names, separated by commas; with BASALTWALL_ARRAYS=no of services alone, so
// that the writes are those of the loss. It judges nothing but the rules.
func TestLossAtSize(t *testing.T) {
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
			m := &measured{lowest: 1}
			script := fmt.Sprintf(sizeScript, n, n+n/8, services, 24/float64(services))
			if os.Getenv("BASALTWALL_ARRAYS") != "no" {
				script += fmt.Sprintf(sizeArrays, arrays, 180/float64(arrays))
			}
			res, err := run([]byte(script), func(w *standin.World) { m.watch(w) })
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range res.Problems {
				t.Log(p)
			}
			w := res.World
			late := 0
			for ref := range w.Users.Accepted {
				if len(ref) == len("run-100000") {
					if d, ok := w.Users.DoneAt[ref]; !ok || d-w.Users.Accepted[ref] > api.Seconds(75) {
						late++
					}
				}
			}
			classes, _ := w.Check.Served(w.Now)
			up, due := w.Check.Replicas(w.Now)
			t.Logf("%d of %d replicas at the end", up, due)
			fmt.Printf("emulated %5d machines: replica-s missed %7.0f, lowest up %.3f, 50/90/100%% back after %v/%v/%v, arrays late %d of %d, served %.3f, writes %d, requests %d, calls %d, rented %d, deleted %d; lost %d replicas, %d writes from the leases' end until all were back\n",
				n, m.missed, m.lowest, m.back[0], m.back[1], m.back[2], late, arrays, classes["batch"].Share(), w.State.Writes-m.writes, w.State.Requests-m.requests, w.Cloud.Calls-m.calls, w.Cloud.Rented, w.Cloud.Deleted, m.most, m.until-m.writesThen)
		})
	}
}

type measured struct {
	missed, lowest          float64
	most                    int
	back                    [3]time.Duration // from the end of the leases
	writes, requests, calls int
	writesThen, until       int // writes at the end of the leases, and when all were back
}

func (m *measured) watch(w *standin.World) {
	const from, lease, every = 90 * time.Second, 30 * time.Second, 250 * time.Millisecond
	w.After(from, func() { m.writes, m.requests, m.calls = w.State.Writes, w.State.Requests, w.Cloud.Calls })
	w.After(from+lease-5*time.Second, func() { m.writesThen = w.State.Writes }) // the first leases end sooner
	var look func()
	look = func() {
		up, due := w.Check.Replicas(w.Now)
		m.missed += float64(due-up) * every.Seconds()
		m.lowest = min(m.lowest, float64(up)/float64(max(1, due)))
		if gone := due - up; gone > m.most {
			m.most, m.back = gone, [3]time.Duration{}
		}
		for i, share := range []float64{0.5, 0.9, 1} {
			if m.most > 0 && m.back[i] == 0 && float64(m.most-(due-up)) >= share*float64(m.most) {
				m.back[i] = w.Now - from - lease
				m.until = w.State.Writes
			}
		}
		w.After(every, look)
	}
	w.After(from, look)
}
