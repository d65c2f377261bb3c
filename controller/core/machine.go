package core

import (
	"hash/fnv"
	"strconv"
	"strings"

	"basaltwall/api"
	"basaltwall/sched"
)

type AttemptKey struct {
	Task    api.TaskID
	Attempt api.Attempt
}

// Machine is what the owner of a machine's part knows of it.
type Machine struct {
	ID          api.MachineID
	Address     string
	MachineType api.MachineTypeName
	Zone        api.Zone
	Spot        bool

	Epoch           api.Epoch
	Sequence        api.Seq
	ReportedToken   api.FencingToken // highest it has shown
	CommandToken    api.FencingToken // the one we command it with; 0: none yet
	UncertainToken  api.FencingToken // direct commands up to this token may still arrive
	LastHeartbeat   api.Time         // last newer report
	LeaseRenewedAt  api.Time         // last report of its own that reached us: an answer to one renews its lease, a direct call does not
	FirstHeartbeat  api.Time         // first report
	DiscoveredAt    api.Time         // first known to us
	SuspectSince    api.Time         // heard again after a silence, by a report that may be late; 0: not so
	ReclaimNotice   bool
	ReportedTasks   map[AttemptKey]api.TaskStatus
	UntrackedUsage  api.Resources // what tasks on it take that the book does not know
	HasUnknownTasks bool          // a task of an unknown job is on it

	CallInFlight       bool
	NextCallAt         api.Time
	LastDirectReply    api.Time // last direct call that was answered
	ContactPending     bool     // something is to be told at once
	MissedCalls        int      // direct calls without an answer, in a row
	HeartbeatForwarded bool     // its last report came by way of a peer
	Deleting           bool
	Unreachable        bool     // it is deleted because it can't be reached
	IdleSince          api.Time // since when it has had nothing that it is kept for
	ScaleInCandidate   bool     // idle for long: nothing that could go elsewhere starts on it
	Surplus            bool     // more than the load needs: used last, see markSurplus
	ConsolidatingUntil api.Time // until when its services are moving elsewhere, see gather
	CachedImages       map[api.Image]sched.CachedImage
	RecentFailures     map[api.JobID]api.Time
	QuarantinedUntil   api.Time
	FullUntil          api.Time
	RelativeRuntime    float64   // see learnPace
	ReservedFor        api.JobID // others made way for this job here, or room is gathered for it
	SoftReservation    bool      // work of a higher rank than keptOf may start here all the same
	ReservationRank    int
	ReservedUntil      api.Time
	Consolidated       bool // it is kept because room is gathered

	ConsolidatedAt api.Time
	LoanRevision   api.Revision
}

// HashPartition says which part a machine belongs to unless it was lent. Names are
// numbered in order of creation, so the number spreads machines rented together
// evenly; turning by one after each turn keeps zones rented in rotation apart.
func HashPartition(id api.MachineID, parts int) api.PartitionID {
	s := string(id)
	digits := s[strings.LastIndexByte(s, '-')+1:]
	if v, err := strconv.ParseUint(digits, 10, 64); err == nil {
		return api.PartitionID((v + v/uint64(parts)) % uint64(parts))
	}
	h := fnv.New32a()
	h.Write([]byte(s))
	return api.PartitionID(h.Sum32() % uint32(parts))
}

// ApplyListing takes from the cloud's list what a machine has not told yet.
func (m *Machine) ApplyListing(h api.Instance) {
	if m.Address == "" {
		m.Address, m.MachineType, m.Zone, m.Spot = h.Address, h.Type, h.Zone, h.Spot
	}
}

func (k *Core) PartitionOf(id api.MachineID) api.PartitionID {
	if loan, ok := k.State.Loans[id]; ok {
		return loan.Partition
	}
	return HashPartition(id, len(k.State.Partitions))
}

// MinToken is the lowest token under which the owner of a part may command a
// machine: its term or, for a machine lent to it since, the lending's revision.
func (k *Core) MinToken(owned *OwnedPartition, id api.MachineID) api.FencingToken {
	return api.FencingToken(max(owned.Term, k.State.Loans[id].Revision))
}
