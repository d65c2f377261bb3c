package scenario

import (
	"fmt"
	"strings"
	"testing"
)

// fragmentationScript generates small models that fragment machines, large models that need whole
// machines, and gangs, with three to seven controllers and two or three faults while machines are
// reserved and models move. All replicas must be up at the end.
func fragmentationScript(seed uint64) string {
	r, pick, line, b := newScriptBuilder(seed, 31)
	controllerCount, machines := 3+2*r.IntN(3), 12+r.IntN(25)
	line("-- script --")
	line("controllers %s", strings.TrimSpace(strings.Repeat("region ", controllerCount)))
	line("teams 2 60 200")
	line("only-type g8")
	line("machines %d g8", machines)
	line("capacity %d", machines+r.IntN(3))
	small := machines + machines/4
	line("submit 2 run-100 service team=team-0 tasks=1 cpus=1 gpus=1 class=small priority=high times=%d every=0.1", small)
	for i := range small {
		if r.IntN(2) == 0 {
			line("cancel %d run-%d", 70+r.IntN(8), 100+i)
		}
	}
	line("submit 90 run-300 service team=team-1 tasks=1 cpus=4 gpus=2 class=large priority=high times=%d every=1", max(1, machines/4))
	line("submit 60 run-400 gang team=team-1 tasks=2 cpus=2 gpus=1 run=%d class=train priority=%s times=%d every=3", 10+r.IntN(30), pick("normal", "high"), 5+r.IntN(15))
	for range 2 + r.IntN(2) {
		at, controllerName, length := 95+r.IntN(60), fmt.Sprintf("stone-%d", r.IntN(controllerCount)), 2+r.IntN(25)
		switch r.IntN(8) {
		case 0:
			line("crash-loop %d %s %.2f 1.5 %d", at, controllerName, 0.05+0.5*r.Float64(), 2+r.IntN(6))
		case 1:
			line("crash %d all %.1f", at, 0.1+3*r.Float64())
		case 2:
			line("freeze %d %d %s", at, length, controllerName)
		case 3:
			line("cut %d %d %s %s %s", at, length, controllerName, pick("state", "workers", "peers", "all"), pick("hold", "drop"))
		case 4:
			line("store-outage %d %d", at, 1+length/2)
		case 5:
			line("kill %d i-%06d", at, r.IntN(machines))
		case 6:
			line("delay-commands %d %d i-%06d", at, 2*length, r.IntN(machines))
		case 7:
			line("crash %d %s 50", at, controllerName)
		}
	}
	line("min-served 0.5")
	line("end 420")
	line("replicas-up 410 1")
	line("expect all done")
	return b.String()
}

// TestRandomFragmentation runs random scenarios of fragmented machines; see runRandomScripts.
func TestRandomFragmentation(t *testing.T) { runRandomScripts(t, fragmentationScript) }
