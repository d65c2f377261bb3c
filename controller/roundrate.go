package controller

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// Rounds may take half of the state service's writes. That is shared by the partitions that write
// rounds, as the log tells, and not by all there are: of many most have nothing to do at a time.

// roundRate is how often a partition may write its round.
type roundRate struct {
	lastSequence []uint64   // by partition, its latest round
	observedAt   []api.Time // and when that was first known here
	refusedAt    api.Time   // the state service last refused a round for its limits
}

const (
	// activeWindow is how long after a round a partition counts as one that writes.
	activeWindow = 2 * time.Second
	// backoffHold is how long after a refusal the writes are shared by all partitions, and
	// recoverFor how long it takes from then on until only those that write count.
	backoffHold     = 3 * time.Second
	backoffRecovery = 10 * time.Second
)

// ObserveRounds notes which partitions write rounds.
func (rs *RoundScheduler) ObserveRounds() {
	p := &rs.roundRate
	if p.lastSequence == nil {
		p.lastSequence, p.observedAt = make([]uint64, len(rs.core.State.Partitions)), make([]api.Time, len(rs.core.State.Partitions))
	}
	for i := range rs.core.State.Partitions {
		if seq := rs.core.State.Partitions[i].RoundSeq; seq != p.lastSequence[i] {
			p.lastSequence[i], p.observedAt[i] = seq, rs.core.Now
		}
	}
}

// currentRoundInterval is the time between two rounds of a partition, as of now. It reckons with as many that
// write as there are relays at least: some that begin at the same moment are within the limit, and
// with no more partitions than that nothing depends on who writes.
func (rs *RoundScheduler) currentRoundInterval() time.Duration {
	active := 0
	for _, at := range rs.roundRate.observedAt {
		if at != 0 && rs.core.Now.Sub(at) <= activeWindow {
			active++
		}
	}
	partitionCount := len(rs.core.State.Partitions)
	shared := rs.core.RoundInterval * time.Duration(min(partitionCount, max(active, rs.core.MaxRelays))) / time.Duration(partitionCount)
	shared = max(shared, min(rs.core.RoundInterval, core.MinRoundInterval))
	if rs.roundRate.refusedAt == 0 {
		return shared
	}
	recovered := min(1, max(0, float64(rs.core.Now.Sub(rs.roundRate.refusedAt)-backoffHold)/float64(backoffRecovery)))
	return rs.core.RoundInterval - time.Duration(recovered*float64(rs.core.RoundInterval-shared))
}

// backOffRounds notes that the state service refused a round for its limits.
func (rs *RoundScheduler) backOffRounds() { rs.roundRate.refusedAt = rs.core.Now }
