package core

import (
	"math"

	"basaltwall/api"
)

// PreemptorRank is the priority rank from which on work may preempt other work.
var PreemptorRank = api.High.Rank()

// BoolToInt is 1 for true and 0 for false, for comparison functions.
func BoolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// RoundToTenth rounds seconds to a tenth, as views show them.
func RoundToTenth(seconds float64) float64 { return math.Round(seconds*10) / 10 }
