package scenario

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"basaltwall/internal/emulator"
)

// TestReservationsAtSize runs only with BASALTWALL_SKIPS set. It reports latencies and store requests with
// 20,000 skips of 200 depots and a hundred reservation requests per second for a minute, half of them for
// the same ten skips, beside a loaded cluster of 300 machines. It logs problems and does not fail on them.
func TestReservationsAtSize(t *testing.T) {
	if os.Getenv("BASALTWALL_SKIPS") == "" {
		t.Skip("BASALTWALL_SKIPS is not set")
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("-- script --\nstore-limits\ncontrollers region region region\nmachines 300\ncapacity 300")
	line("submit 2 run-1 service tasks=4 cpus=2 scatter priority=critical times=60 every=0.2")
	line("submit 20 run-1000 array tasks=40 cpus=2 run=10 times=300 every=1")
	for d := range 200 {
		line("import-skips %.1f depot-%d six 100", 1+float64(d), d)
	}
	for d := range 200 {
		line("request-skips 240 300 depot-%d six 4 60", d)
	}
	line("import-skips 1 hof-nord six 10\nrequest-skips 240 300 hof-nord six 0.02 30")
	line("crash 330 all 0.2\nmin-served 0\nend 400")
	var before, during [4]int
	res, err := run([]byte(b.String()), func(sim *emulator.Simulation) {
		sim.After(240e9, func() {
			before = [4]int{sim.Store.Writes, sim.Store.Requests, sim.SkipClients.Unanswered, sim.SkipClients.Responses}
		})
		sim.After(300e9, func() {
			during = [4]int{sim.Store.Writes - before[0], sim.Store.Requests - before[1], sim.SkipClients.Unanswered - before[2], sim.SkipClients.Responses - before[3]}
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range res.Problems {
		t.Log(p)
	}
	o, s := res.Simulation.SkipClients, res.Simulation.Store
	fmt.Printf("emulated: %d granted, %d refused, %v a request, the slowest %v; in the minute %.1f requests of clients answered and %.1f to be repeated, %.1f writes and %.1f requests to the store per second; largest value %d bytes, %d requests throttled, keys of the ledger %d KB\n",
		o.Granted, o.Refused, o.MeanLatency(), o.MaxLatency, float64(during[3])/60, float64(during[2])/60, float64(during[0])/60, float64(during[1])/60, s.LargestValue, s.ThrottledRequests, s.BytesUnder("s/")>>10)
}
