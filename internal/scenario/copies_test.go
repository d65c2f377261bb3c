package scenario

import "testing"

// A direct call that was executed and answered may arrive again at any later time.
func TestAnsweredCallArrivesAgain(t *testing.T) {
	runScenarioFiles(t, "testdata/copies/*.txtar")
}

// copyRequests makes copies of a tenth of all requests arrive at their receivers again.
const copyRequests = "\ncopy-requests 5 125 0.1 all\n"

// No rule is broken whichever requests arrive again.
func TestRandomFaultsCopiedRequests(t *testing.T) {
	runSeeds(t, randomScript+copyRequests, 12)
	t.Run("hosted", func(t *testing.T) { runSeeds(t, hostedScript+copyRequests, 4) })
	t.Run("pools", func(t *testing.T) { runSeeds(t, poolsScript+copyRequests, 4) })
}
