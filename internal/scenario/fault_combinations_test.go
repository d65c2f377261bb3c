package scenario

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// faultCombinationScript generates repeated combinations of two to four overlapping faults with three to
// seven controllers, while arrays, services and gangs run and many are cancelled through any controller.
// It has no expectations of service levels, as the cluster may be down for most of the time: no invariant
// may break, and each cancellation must be acknowledged.
func faultCombinationScript(seed uint64) string {
	r, pick, line, b := newScriptBuilder(seed, 30)
	line("-- script --")
	controllerCount := drawControllers(r, pick, line)
	machines := 9 + r.IntN(16)
	line("machines %d", machines)
	line("machines %d spot", 1+r.IntN(4))
	line("machines 2 g8")
	line("capacity %d", machines+12)
	line("team-limit red %d", 4*machines)
	last := 250.0
	job := 1
	for at := 1.0; at < last-30; at += 1 + 8*r.Float64() {
		kind := pick("array", "array", "service", "gang")
		run := 3 + r.IntN(40)
		if r.IntN(3) == 0 {
			run = 100 + r.IntN(120)
		}
		more := pick("", " scatter", " together")
		if kind == "gang" {
			more = pick("", " together") + " checkpoint=5 save=1"
		}
		line("submit %.2f run-%d %s tasks=%d cpus=%d run=%d team=%s priority=%s%s%s", at, job, kind, 2+r.IntN(6), 1+r.IntN(3), run,
			pick("red", "blue"), pick("normal", "high", "critical", "idle"), pick("", " spot"), more)
		if r.IntN(2) == 0 {
			line("cancel %.2f run-%d", at+0.1+90*r.Float64()*r.Float64(), job)
		}
		job++
	}
	for at := 8 + 10*r.Float64(); at < last-90; at += 30 + 60*r.Float64() {
		controllerName := fmt.Sprintf("stone-%d", r.IntN(controllerCount)) // several faults may hit this one
		for range 2 + r.IntN(3) {
			when, length := at+8*r.Float64()*r.Float64(), 3+float64(r.IntN(30))
			if r.IntN(3) == 0 {
				controllerName = fmt.Sprintf("stone-%d", r.IntN(controllerCount))
			}
			machine := fmt.Sprintf("i-%06d", r.IntN(machines))
			mode := pick("hold", "drop")
			drawFault(r, pick, line, combinedFault{controllerName, machine, when, length, mode})
		}
	}
	line("min-served 0")
	line("max-start-wait 0")
	line("end 420")
	return b.String()
}

// combinedFault has the random parameters of one fault of a combination.
type combinedFault struct {
	controller, machine string
	when, length        float64
	mode                string // of a cut: hold or drop
}

// drawFault chooses a random fault and writes its steps.
func drawFault(r *rand.Rand, pick func(...string) string, line func(string, ...any), f combinedFault) {
	switch r.IntN(25) {
	case 0, 1:
		line("refuse-controller %.2f %.2f %s", f.when, f.length, f.controller)
		line("store-outage %.2f %.2f", f.when+f.length*r.Float64(), outageLength(r.IntN(3), f.length))
	case 2:
		line("store-outage %.2f %.2f", f.when, outageLength(r.IntN(3), f.length))
	case 3:
		line("cut %.2f %.2f %s state %s", f.when, f.length, f.controller, f.mode)
		line("cut %.2f %.2f %s peers %s", f.when, f.length, f.controller, f.mode)
	case 4:
		line("cut %.2f %.2f %s %s %s", f.when, f.length, f.controller, pick("workers", "peers", "state", "users", "cloud", "all"), f.mode)
	case 5:
		line("crash %.2f %s %s", f.when, f.controller, pick("0.2", "0.2", "3", "15"))
	case 6:
		line("crash %.2f all %s", f.when, pick("0.2", "3"))
	case 7:
		line("crash-loop %.2f %s 0.2 %.1f 6", f.when, pick(f.controller, "all"), 0.5+3*r.Float64())
	case 8:
		line("freeze %.2f %.2f %s", f.when, f.length, f.controller)
	case 9:
		line("delay-transactions %.2f %.2f %.2f", f.when, f.length, 0.1+0.5*r.Float64())
	case 10:
		line("lose-replies %.2f %.2f %.2f", f.when, f.length, 0.1+0.5*r.Float64())
	case 11:
		line("stale-heartbeats %.2f %.2f %.2f", f.when, f.length, 0.1+0.5*r.Float64())
	case 12:
		line("cut-inbound %.2f %.2f %s", f.when, 2*f.length, pick(f.machine, f.machine, f.machine, "all"))
	case 13:
		line("delay-commands %.2f %.2f %s", f.when, 3*f.length, f.machine)
	case 14:
		line("hang %.2f %.2f %s", f.when, 2*f.length, f.machine)
	case 15:
		line("cut-zone %.2f %.2f %s %s", f.when, 2*f.length, pick("a", "b", "c"), f.mode)
	case 16:
		line("kill %.2f %s", f.when, f.machine)
	case 17:
		line("cut-outbound %.2f %.2f %s", f.when, 2*f.length, pick(f.machine, f.machine, f.machine, "all"))
	case 18:
		line("hold-heartbeats %.2f %.2f %.2f", f.when, f.length+10, 0.3+0.6*r.Float64())
	case 19:
		line("cancel-running %.2f %d %s", f.when, 1+r.IntN(6), pick("0", "20", "35"))
	case 20:
		line("cancel-running %.2f %d %s", f.when, 1+r.IntN(6), pick("0", "35"))
		line("refuse-controller %.2f %.2f %s", f.when, f.length, f.controller)
		line("store-outage %.2f 70", f.when+1)
	case 21:
		line("cancel-at-end %.2f %.2f %.2f", f.when, f.length, 0.3+0.6*r.Float64())
	case 22:
		line("poll-on-change %.2f %.2f %s", f.when, f.length, pick("0", "0.2"))
	case 23:
		line("irregular-requests %.2f %.2f", f.when, f.length)
	case 24:
		line("add-latency %.2f %.2f %.2f", f.when, f.length, 0.02+0.2*r.Float64())
	}
}

// outageLength returns the duration of an outage: that of the fault beside it, longer than a lease, or
// longer than the time limit of a cancellation.
func outageLength(which int, length float64) float64 {
	return []float64{length, 30 + length, 60 + length}[which]
}

func TestRandomFaultCombinations(t *testing.T) { runRandomScripts(t, faultCombinationScript) }
