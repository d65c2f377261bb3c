// Allocation: the shares of partitions, and what a partition may allocate within them.

package pool

import (
	"slices"
	"time"

	"basaltwall/api"
)

// Available is how many units a partition may allocate. held is by partition: exact for this one,
// while the others may hold more by now than it says, or less.
//
// It must be used under the version of the record that was read together with held, or
// later. What the others allocated under an earlier version is then in held, and under
// this version no partition comes to hold more than its share unless it did before. So each of the
// others holds at most the larger of the two; what that leaves of the size may be
// allocated here, within the partition's own share. If shares are below what is held, after the pool
// was made smaller or its shares were moved on outdated knowledge, no partition allocates anything
// until enough units are released.
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

// Demand is pending work that requests units.
type Demand struct {
	Partition api.PartitionID
	Units     int // of each start
	Starts    int
	Reserves  bool // it has waited for long enough: what it lacks is withheld from those after it
}

// AllocateShares divides a pool into shares by partition: each gets what it holds, then the demands are
// met in their order, and what is left is divided evenly, so that the next demand need not wait for a
// change of shares. A demand of which not even one start fits is skipped unless it reserves.
func AllocateShares(size int, held []int, demands []Demand) []int {
	shares := slices.Clone(held)
	remaining := size
	for _, h := range held {
		remaining -= h
	}
	// More is held than there is: the shares are cut, the largest first, and nothing is
	// allocated until that many units are released.
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

// SatisfiedUnits is how many of the requested units the partitions could allocate under the pool's
// shares, counting those that are gathered for a demand that reserves.
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
			return satisfied + free[demand.Partition] // gathered for it
		}
	}
	return satisfied
}

// ReservationInterval is for how long work that requests several units may be overtaken by work that
// requests fewer. After that it reserves released units for as long, and so on in alternation: work
// that can't start for another reason thus withholds at most half of the pool's use from others.
const ReservationInterval = time.Minute

// ShouldReserve reports whether work that has waited so long reserves released units.
func ShouldReserve(waited time.Duration) bool { return waited/ReservationInterval%2 == 1 }
