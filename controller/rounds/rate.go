package rounds

// This file limits the rate of rounds to half of the state service's write limit. That half is
// divided among the partitions that write rounds, according to the log, and not among all
// partitions, since most of many partitions are idle at any time.

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// roundRate is the state from which the interval between rounds is computed.
type roundRate struct {
	lastSequence []uint64   // sequence number of the latest round, by partition
	observedAt   []api.Time // when that round was first observed, by partition
	refusedAt    api.Time   // when the state service last refused a round because of its rate limit
}

const (
	// activeWindow is the time after a round during which a partition counts as active.
	activeWindow = 2 * time.Second
	// backoffHold is the time after a refusal during which all partitions count as active. Over the
	// subsequent backoffRecovery, the interval returns to that of the active partitions.
	backoffHold     = 3 * time.Second
	backoffRecovery = 10 * time.Second
)

// ObserveRounds updates the latest round of each partition.
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

// activePartitions counts the partitions that wrote a round within activeWindow.
func (s *Scheduler) activePartitions() int {
	active := 0
	for _, at := range s.roundRate.observedAt {
		if at != 0 && s.core.Now.Sub(at) <= activeWindow {
			active++
		}
	}
	return active
}

// currentRoundInterval returns the current time between two rounds of a partition. It counts at
// least MaxRelays partitions as active, so that partitions which become active at the same time
// stay within the limit. With no more partitions than that, the interval is constant.
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

// backOffRounds notes that the state service refused a round because of its rate limit.
func (s *Scheduler) backOffRounds() { s.roundRate.refusedAt = s.core.Now }
