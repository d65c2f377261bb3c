package core

import "basaltwall/api"

// PreemptorRank is the priority rank from which on work may preempt other work.
var PreemptorRank = api.High.Rank()
