package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// zoneLossScript generates the loss of one zone, or of two in succession, with 60 to 200 machines and
// three to seven controllers inside and outside, and two other faults at a random phase. All lost tasks
// must restart, and each class and team must be served.
func zoneLossScript(seed uint64) string {
	r, pick, line, b := newScriptBuilder(seed, 21)
	line("-- script --")
	controllerCount := drawControllers(r, pick, line)
	machines := 60 + r.IntN(141)
	line("machines %d", machines)
	line("machines 8 g8")
	line("capacity %d", machines+8+r.IntN(machines/2))
	line("team-limit red 0")
	services := machines / (4 + r.IntN(4))
	line("submit 1 run-1 service tasks=%d cpus=2 scatter priority=critical class=web team=blue times=%d every=0.05", 2+r.IntN(4), services)
	line("submit 3 run-1000 array tasks=%d cpus=2 run=%d times=20 every=4", machines/10, 10+r.IntN(30))
	line("submit 5 run-2000 gang tasks=2 cpus=4 gpus=1 run=40 types=g8 priority=high class=train together checkpoint=10 save=1 times=3 every=25")
	lost := pick("a", "b", "c")
	at, length := 30+r.IntN(20), 15+r.IntN(90)
	line("cut-zone %d %d %s %s", at, length, lost, pick("hold", "drop"))
	if r.IntN(3) == 0 {
		if other := pick("a", "b", "c"); other != lost {
			line("cut-zone %d %d %s %s", at+r.IntN(40), 20+r.IntN(60), other, pick("hold", "drop"))
		}
	}
	for range 2 {
		when := at - 5 + r.IntN(length+15)
		controllerName := fmt.Sprintf("stone-%d", r.IntN(controllerCount))
		duration := 2 + r.IntN(25)
		switch r.IntN(9) {
		case 0:
			line("crash %d %s %d", when, controllerName, 1+r.IntN(8))
		case 1:
			line("crash %d all 3", when)
		case 2:
			line("freeze %d %d %s", when, duration, controllerName)
		case 3:
			line("cut %d %d %s %s %s", when, duration, controllerName, pick("state", "workers", "peers", "cloud", "all"), pick("hold", "drop"))
		case 4:
			line("store-outage %d %d", when, 1+duration/2)
		case 5:
			line("refuse-controller %d %d %s", when, duration, controllerName)
		case 6:
			line("cloud-outage %d %d", when, duration)
		case 7:
			line("rolling-restart %d %d", when, 4+r.IntN(6))
		case 8:
			line("delay-transactions %d %d 0.2", when, duration)
		}
	}
	line("cancel %d run-%d", at+r.IntN(length), 1+r.IntN(services))
	line("min-served 0.6")
	line("end 330")
	line("expect all done")
	return b.String()
}

// drawControllers places three, five or seven controllers in random zones and returns their number.
func drawControllers(r *rand.Rand, pick func(...string) string, line func(string, ...any)) int {
	domains := make([]string, 3+2*r.IntN(3))
	for i := range domains {
		domains[i] = pick("a", "b", "c", "region")
	}
	line("controllers %s", strings.Join(domains, " "))
	return len(domains)
}

// TestRandomZoneLosses runs random scenarios of zone losses; see runRandomScripts.
func TestRandomZoneLosses(t *testing.T) { runRandomScripts(t, zoneLossScript) }

// runRandomScripts runs generated scripts with twelve seeds. BASALTWALL_RUNS overrides their number,
// BASALTWALL_FROM the first seed.
func runRandomScripts(t *testing.T, draw func(seed uint64) string) {
	count, from := 12, 0
	for name, to := range map[string]*int{"BASALTWALL_RUNS": &count, "BASALTWALL_FROM": &from} {
		if v := os.Getenv(name); v != "" {
			n, err := strconv.Atoi(v)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			*to = n
		}
	}
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := draw(uint64(seed))
			runScenario(t, []byte(script))
			if t.Failed() {
				t.Log(script)
			}
		})
	}
}

// newScriptBuilder returns a random source and functions that choose a random word and append a line.
func newScriptBuilder(seed, stream uint64) (r *rand.Rand, pick func(of ...string) string, line func(format string, args ...any), b *strings.Builder) {
	r, b = rand.New(rand.NewPCG(seed, stream)), &strings.Builder{}
	pick = func(of ...string) string { return of[r.IntN(len(of))] }
	line = func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
	return r, pick, line, b
}
