// Package clusterstate owns the replicated state of the cluster as a controller knows it: every key
// under Root in the consensus-backed key-value store, applied in the order of revisions. Two states
// at the same revision are equal. It decides nothing; what the owner of a partition tracks of jobs and
// placements beyond their records is of the type parameters J and P.
//
// Not safe for concurrent use: the controller's single owner goroutine holds it.
package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"

	"basaltwall/api"
)

// State is the replicated state up to a revision. Its exported fields are for reading only, except
// Revision, which whoever follows the log advances.
type State[J, P any] struct {
	Revision              api.Revision
	Members               map[api.ControllerID]MemberValue
	Partitions            []Partition
	Jobs                  map[api.JobID]*Job[J, P]
	PlacementsByPartition []map[*Placement[J, P]]bool
	PendingJobs           map[api.JobID]*Job[J, P]            // with pending tasks
	FinishedJobs          map[api.JobID]*Job[J, P]            // terminal, without placements, not yet archived
	CancellingJobs        map[api.JobID]*Job[J, P]            // cancelled, with placements left
	JobsByTenant          map[string]map[api.JobID]*Job[J, P] // of a hosted service
	Loans                 map[api.MachineID]Loan              // machines on loan to another partition
	LoanGeneration        int                                 // grows with each change of Loans, so that what is derived from them can be cached
	JobResults            map[api.JobID]api.JobState          // the latest, at most maxJobResults

	recordKinds []RecordKind
	versions    map[string]api.Revision
	rawValues   map[string]json.RawMessage // only while loading
	machines    map[api.MachineID]*machinePlacements[J, P]
	resultOrder []api.JobID // of JobResults, oldest first
}

// New returns an empty state of so many partitions, which applies the given kinds of records beside
// its own.
func New[J, P any](partitions int, recordKinds ...RecordKind) *State[J, P] {
	s := &State[J, P]{
		Members:               map[api.ControllerID]MemberValue{},
		Partitions:            make([]Partition, partitions),
		Jobs:                  map[api.JobID]*Job[J, P]{},
		PlacementsByPartition: make([]map[*Placement[J, P]]bool, partitions),
		PendingJobs:           map[api.JobID]*Job[J, P]{},
		FinishedJobs:          map[api.JobID]*Job[J, P]{},
		CancellingJobs:        map[api.JobID]*Job[J, P]{},
		JobsByTenant:          map[string]map[api.JobID]*Job[J, P]{},
		Loans:                 map[api.MachineID]Loan{},
		JobResults:            map[api.JobID]api.JobState{},
		versions:              map[string]api.Revision{},
		machines:              map[api.MachineID]*machinePlacements[J, P]{},
	}
	for i := range s.Partitions {
		s.Partitions[i].quotaTransferred = map[api.PartitionID]map[api.Team]api.Resources{}
		s.Partitions[i].Reservations = map[api.MachineID]Reservation{}
		s.Partitions[i].TeamUsage, s.Partitions[i].PoolUsage = map[api.Team]api.Resources{}, map[api.PoolName]int{}
		s.PlacementsByPartition[i] = map[*Placement[J, P]]bool{}
	}
	s.recordKinds = append([]RecordKind{
		{Prefix: KeyMember, Put: s.putMember, Delete: s.deleteMember},
		{Prefix: KeyPartition, Put: s.putPartition},
		{Prefix: KeyCheckpointHead, Put: s.putCheckpointHead},
		{Prefix: KeyRound, Put: s.putRound},
		{Prefix: KeyJob, Put: s.putJob, Delete: s.deleteJob},
		{Prefix: KeyLoan, Put: s.putLoan, Delete: s.deleteLoan},
	}, recordKinds...)
	return s
}

// recordKindOf finds the kind of a key and what follows its prefix.
func (s *State[J, P]) recordKindOf(key string) (*RecordKind, string) {
	for i := range s.recordKinds {
		if name, ok := cutPrefix(key, s.recordKinds[i].Prefix); ok {
			return &s.recordKinds[i], name
		}
	}
	return nil, ""
}

// cutPrefix is strings.CutPrefix, but a prefix that does not end with a slash must be
// the whole key.
func cutPrefix(key, prefix string) (string, bool) {
	name, ok := strings.CutPrefix(key, prefix)
	return name, ok && (name == "" || strings.HasSuffix(prefix, "/"))
}

// VersionCondition is the compare-and-swap condition that a key is as it was last applied, or absent.
func (s *State[J, P]) VersionCondition(key string) api.Condition {
	return api.Condition{Key: key, Version: s.versions[key]}
}

// Version is the revision of a key's latest change, 0 if it does not exist.
func (s *State[J, P]) Version(key string) api.Revision { return s.versions[key] }

// SetVersion notes the version of a key that this controller wrote, so that the next write
// need not wait for the log.
func (s *State[J, P]) SetVersion(key string, revision api.Revision) {
	s.versions[key] = max(s.versions[key], revision)
}

// Put applies a changed key; a version that is not newer than the known one is ignored. While the
// state is loading, values are only collected.
func (s *State[J, P]) Put(key string, value json.RawMessage, version api.Revision) error {
	if s.versions[key] >= version {
		return nil
	}
	s.versions[key] = version
	if s.rawValues != nil {
		s.rawValues[key] = value
		return nil
	}
	return s.apply(key, value, version)
}

// apply applies the value of a key, if keys of its kind are followed.
func (s *State[J, P]) apply(key string, value json.RawMessage, version api.Revision) error {
	if k, name := s.recordKindOf(key); k != nil {
		if err := k.Put(name, value, version); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
	}
	return nil
}

// Delete applies a deletion.
func (s *State[J, P]) Delete(key string, version api.Revision) {
	if s.versions[key] > version {
		return
	}
	delete(s.versions, key)
	if s.rawValues != nil {
		delete(s.rawValues, key)
		return
	}
	if k, name := s.recordKindOf(key); k != nil && k.Delete != nil {
		k.Delete(name)
	}
}

// putMember applies the key of a live controller.
func (s *State[J, P]) putMember(name string, value json.RawMessage, _ api.Revision) error {
	var m MemberValue
	if err := json.Unmarshal(value, &m); err != nil {
		return err
	}
	s.Members[api.ControllerID(name)] = m
	return nil
}

func (s *State[J, P]) deleteMember(name string) { delete(s.Members, api.ControllerID(name)) }
