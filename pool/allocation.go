// This file divides a pool into shares of the partitions and computes the units that a partition may
// allocate.

package pool

import (
	"slices"
	"time"

	"basaltwall/api"
)

// Available returns the number of units that a partition may allocate. held is the number of held units
// by partition: exact for this partition, possibly outdated for the others.
//
// The caller must allocate under the version of the record that it read together with held, or a later
// one. Units that others allocated under an earlier version are then included in held, and under this
// version a partition can't exceed its share unless it already did. Each other partition thus holds at
// most the larger of its share and its held units; this partition may allocate the rest of the size,
// within its own share. If a share is below the held units, after a reduction of the pool or a change of
// shares based on outdated counts, no partition allocates units until enough are released.
func (p *Pool) Available(partition api.PartitionID, held []int) int {
	if p.State != Active {
		return 0
	}
	others := 0
	for other, h := range held {
		if other != int(partition) {
			others += max(h, p.Shares[other])
		}
	}
	own := held[partition]
	return max(0, min(p.Shares[partition]-own, p.Size-others-own))
}

// Demand describes pending work that requests units of a pool.
type Demand struct {
	Partition api.PartitionID
	Units     int // per start
	Starts    int
	Reserves  bool // released units are reserved for it and withheld from later demands
}

// AllocateShares divides the size of a pool into shares by partition. Each partition gets the units that
// it holds; then the demands are satisfied in order. The remaining units are divided evenly, so that new
// demands can start before the next change of shares. A demand is skipped if not even one of its starts
// fits, unless it reserves units.
func AllocateShares(size int, held []int, demands []Demand) []int {
	shares := slices.Clone(held)
	remaining := size
	for _, h := range held {
		remaining -= h
	}
	// The partitions hold more than the size: the largest shares are reduced, and no units are allocated
	// until the excess is released.
	for ; remaining < 0; remaining++ {
		shares[slices.Index(shares, slices.Max(shares))]--
	}
	for _, demand := range demands {
		if demand.Units <= 0 || demand.Units > size {
			continue
		}
		starts := min(demand.Starts, remaining/demand.Units)
		shares[demand.Partition] += starts * demand.Units
		remaining -= starts * demand.Units
		if starts < demand.Starts && demand.Reserves {
			shares[demand.Partition] += remaining
			remaining = 0
		}
	}
	for partition := range shares {
		shares[partition] += remaining / len(shares)
		if partition < remaining%len(shares) {
			shares[partition]++
		}
	}
	return shares
}

// SatisfiedUnits returns the number of requested units that the partitions can allocate under the pool's
// shares, including the units reserved for a demand that can't start yet.
func SatisfiedUnits(p *Pool, held []int, demands []Demand) int {
	free := make([]int, len(held))
	for partition := range held {
		free[partition] = p.Available(api.PartitionID(partition), held)
	}
	satisfied := 0
	for _, demand := range demands {
		if demand.Units <= 0 {
			continue
		}
		starts := min(demand.Starts, free[demand.Partition]/demand.Units)
		free[demand.Partition] -= starts * demand.Units
		satisfied += starts * demand.Units
		if starts < demand.Starts && demand.Reserves {
			return satisfied + free[demand.Partition] // reserved for the demand
		}
	}
	return satisfied
}

// ReservationInterval is the duration for which smaller demands may overtake a demand for several units.
// The demand then reserves released units for the same duration, and so on in alternation: a demand that
// can't start for another reason blocks the pool for at most half of the time.
const ReservationInterval = time.Minute

// ShouldReserve reports whether work with the given waiting time reserves released units.
func ShouldReserve(waited time.Duration) bool { return waited/ReservationInterval%2 == 1 }
