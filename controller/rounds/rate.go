package rounds

// This file says how often rounds are written. Rounds may take half of the state service's
// writes. That is shared by the partitions that write rounds, as the log tells, and not by all
// there are: of many most have nothing to do at a time.

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// roundRate is what the rate of rounds follows from.
type roundRate struct {
	lastSequence []uint64   // by partition, its latest round
	observedAt   []api.Time // and when that was first known here
	refusedAt    api.Time   // the state service last refused a round for its limits
}

const (
	// activeWindow is how long after a round a partition counts as one that writes.
	activeWindow = 2 * time.Second
	// backoffHold is how long after a refusal the writes are shared by all partitions, and
	// backoffRecovery how long it takes from then on until only those that write count.
	backoffHold     = 3 * time.Second
	backoffRecovery = 10 * time.Second
)

// ObserveRounds notes which partitions write rounds.
func (s *Scheduler) ObserveRounds() {
	partitions := s.core.State.Partitions
	rate := &s.roundRate
	if rate.lastSequence == nil {
		rate.lastSequence, rate.observedAt = make([]uint64, len(partitions)), make([]api.Time, len(partitions))
	}
	for i := range partitions {
		if sequence := partitions[i].RoundSeq; sequence != rate.lastSequence[i] {
			rate.lastSequence[i], rate.observedAt[i] = sequence, s.core.Now
		}
	}
}

// activePartitions counts the partitions that have written a round lately.
func (s *Scheduler) activePartitions() int {
	active := 0
	for _, at := range s.roundRate.observedAt {
		if at != 0 && s.core.Now.Sub(at) <= activeWindow {
			active++
		}
	}
	return active
}

// currentRoundInterval is the time between two rounds of a partition, as of now. It assumes at
// least as many partitions that write as there are relays: some that begin at the same moment
// are within the limit, and with no more partitions than that nothing depends on who writes.
func (s *Scheduler) currentRoundInterval() time.Duration {
	partitionCount := len(s.core.State.Partitions)
	writers := min(partitionCount, max(s.activePartitions(), s.core.MaxRelays))
	shared := s.core.RoundInterval * time.Duration(writers) / time.Duration(partitionCount)
	shared = max(shared, min(s.core.RoundInterval, core.MinRoundInterval))
	if s.roundRate.refusedAt == 0 {
		return shared
	}
	sinceRefusal := s.core.Now.Sub(s.roundRate.refusedAt)
	recovered := min(1, max(0, float64(sinceRefusal-backoffHold)/float64(backoffRecovery)))
	return s.core.RoundInterval - time.Duration(recovered*float64(s.core.RoundInterval-shared))
}

// backOffRounds notes that the state service refused a round for its limits.
func (s *Scheduler) backOffRounds() { s.roundRate.refusedAt = s.core.Now }
