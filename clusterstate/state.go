// Package clusterstate owns a controller's replica of the cluster state: all keys under Root in the
// consensus-backed key-value store, applied in the order of revisions. Replicas at the same revision are
// equal. The package makes no scheduling decisions. The type parameters J and P are the types of the state
// that the owner of a partition tracks for jobs and placements without recording it.
//
// A State is not safe for concurrent use.
package clusterstate

import (
	"encoding/json"
	"fmt"
	"strings"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// State is the replicated state up to a revision. Exported fields are read-only for other packages, except
// Revision, which is advanced by the component that follows the log.
type State[J, P any] struct {
	Revision              api.Revision
	Members               map[api.ControllerID]MemberValue
	Partitions            []Partition
	Jobs                  map[api.JobID]*Job[J, P]
	PlacementsByPartition []map[*Placement[J, P]]bool
	PendingJobs           map[api.JobID]*Job[J, P]            // jobs with pending tasks
	FinishedJobs          map[api.JobID]*Job[J, P]            // terminal jobs without placements that are not yet archived
	CancellingJobs        map[api.JobID]*Job[J, P]            // cancelled jobs with remaining placements
	JobsByTenant          map[string]map[api.JobID]*Job[J, P] // jobs of tenants of a hosted service
	Loans                 map[api.MachineID]Loan              // machines on loan to another partition
	LoanGeneration        int                                 // incremented with each change of Loans, to invalidate caches
	JobResults            map[api.JobID]api.JobState          // latest results of archived jobs, at most maxJobResults

	recordKinds []RecordKind
	versions    map[string]api.Revision
	rawValues   map[string]json.RawMessage // values collected during a load, nil otherwise
	machines    map[api.MachineID]*machinePlacements[J, P]
	resultOrder []api.JobID // keys of JobResults, oldest first
}

// New returns an empty state with the given number of partitions. It applies recordKinds in addition to
// its own record kinds.
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

// recordKindOf returns the record kind of a key, nil if there is none, and the key without its prefix.
func (s *State[J, P]) recordKindOf(key string) (*RecordKind, string) {
	for i := range s.recordKinds {
		if name, ok := cutPrefix(key, s.recordKinds[i].Prefix); ok {
			return &s.recordKinds[i], name
		}
	}
	return nil, ""
}

// cutPrefix is like strings.CutPrefix, but a prefix that does not end in a slash must equal the key.
func cutPrefix(key, prefix string) (string, bool) {
	name, ok := strings.CutPrefix(key, prefix)
	return name, ok && (name == "" || strings.HasSuffix(prefix, "/"))
}

// VersionCondition returns the compare-and-swap condition that a key has not changed since it was last
// applied.
func (s *State[J, P]) VersionCondition(key string) api.Condition {
	return api.Condition{Key: key, Version: s.versions[key]}
}

// Version returns the revision of a key's latest change, 0 if the key does not exist.
func (s *State[J, P]) Version(key string) api.Revision { return s.versions[key] }

// SetVersion sets the version of a key that this controller has written, so that its next write of the key
// does not have to wait for the log.
func (s *State[J, P]) SetVersion(key string, revision api.Revision) {
	s.versions[key] = max(s.versions[key], revision)
}

// Put applies the value of a key if its version is newer than the known one. During a load, values are
// only collected.
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

// apply applies the value of a key; keys without a record kind are ignored.
func (s *State[J, P]) apply(key string, value json.RawMessage, version api.Revision) error {
	if k, name := s.recordKindOf(key); k != nil {
		if err := k.Put(name, value, version); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
	}
	return nil
}

// Delete applies the deletion of a key unless the known version is newer.
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

// putMember applies the value of a live controller's member key.
func (s *State[J, P]) putMember(name string, value json.RawMessage, _ api.Revision) error {
	var m MemberValue
	if err := exactjson.Decode(value, &m); err != nil {
		return err
	}
	s.Members[api.ControllerID(name)] = m
	return nil
}

func (s *State[J, P]) deleteMember(name string) { delete(s.Members, api.ControllerID(name)) }
