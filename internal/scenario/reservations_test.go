package scenario

import (
	"fmt"
	"strings"
	"testing"
)

// reservationScript generates reservation requests for few skips of two depots and random faults, with
// three to seven controllers.
func reservationScript(seed uint64) string {
	r, pick, line, b := newScriptBuilder(seed, 27)
	controllerCount := 3 + 2*r.IntN(3)
	line("-- script --")
	line("controllers %s", strings.TrimSpace(strings.Repeat("region ", controllerCount)))
	line("machines %d", controllerCount)
	if r.IntN(2) == 0 {
		line("store-limits")
	}
	line("import-skips 1 hof-nord six %d", 2+r.IntN(12))
	line("import-skips 1 hof-sued six %d", 5+r.IntN(60))
	line("request-skips 6 100 hof-nord six 0.3 %d", 3+r.IntN(12))
	line("request-skips 6 100 hof-sued six 0.3 %d", 3+r.IntN(20))
	for range 2 + r.IntN(4) {
		at, controllerName, length := 8+r.IntN(85), fmt.Sprintf("stone-%d", r.IntN(controllerCount)), 2+r.IntN(30)
		switch r.IntN(9) {
		case 0:
			line("crash-loop %d %s %.2f %.1f %d", at, controllerName, 0.05+0.5*r.Float64(), 0.5+3*r.Float64(), 2+r.IntN(8))
		case 1:
			line("crash %d all %.1f", at, 0.1+3*r.Float64())
		case 2:
			line("freeze %d %d %s", at, length, controllerName)
		case 3:
			line("cut %d %d %s %s %s", at, length, controllerName, pick("state", "peers", "users", "all"), pick("hold", "drop"))
		case 4:
			line("store-outage %d %d", at, 1+length/3)
		case 5:
			line("refuse-controller %d %d %s", at, length, controllerName)
		case 6:
			line("delay-transactions %d %d 0.4", at, length)
		case 7:
			line("lose-replies %d %d 0.4", at, length)
		case 8:
			line("skip-availability %d hof-nord %s six-0000", at, pick("out", "in"))
		}
	}
	line("min-served 0")
	line("end 220")
	line("granted 40 900")
	return b.String()
}

// TestRandomReservations runs random scenarios of reservations; see runRandomScripts.
func TestRandomReservations(t *testing.T) { runRandomScripts(t, reservationScript) }
