package clusterstate

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"basaltwall/api"
)

// Placement is a task's durable start that has not been proven over. P is what its owner
// notes of it.
type Placement[J, P any] struct {
	Task       api.TaskID
	Partition  api.PartitionID
	Machine    api.MachineID
	Epoch      api.Epoch
	Attempt    api.Attempt
	Job        *Job[J, P]
	Finishing  bool // evidence is collected, its record not yet durable; see SetOver
	OwnerState P

	transferred bool // in another part than the one that starts the task, see transfer
}

// Job is an accepted job that is not yet put away. J is what owners note of it.
type Job[J, P any] struct {
	JobValue
	ID              api.JobID
	Demand          api.Resources
	Version         api.Revision
	Completed       TaskSet
	CompletedCount  int
	Placements      map[int]*Placement[J, P] // by task
	PlacementCounts map[api.PartitionID]int  // how many places by part
	FinishingCount  int                      // places that are over but not yet recorded so
	RetryCount      int                      // starts that ended otherwise than by completing, since this process knows the job
	OwnerState      J

	completedBy              map[api.PartitionID]*TaskSet
	liveCount                int                      // places that are not over
	transferredCount         int                      // places in another part than the one that starts the task
	cancellationAcknowledged map[api.PartitionID]bool // parts whose owner has recorded that it stops the job's tasks
}

// State is what users are told. A job all of whose tasks are done is done even
// when a cancellation is recorded too: no completion is recorded after a
// cancellation, so the completion came first. A cancellation is not told before all who
// could keep its tasks alive know of it, see Told.
func (j *Job[J, P]) State() api.JobState {
	switch {
	case j.CompletedCount >= j.Spec.Tasks:
		return api.JobDone
	case j.Cancelled && j.CancellationConfirmed():
		return api.JobCancelled
	case len(j.Placements) > 0:
		return api.JobRunning
	}
	return api.JobPending
}

// CancellationConfirmed reports whether a recorded cancellation may be told: in each part that holds places of
// the job, the owner has recorded that it knows of the cancellation and alone commands their
// machines. Both the places, of which none is added after a cancellation, and what owners have
// recorded are of the record, so that once this holds for one controller it does for all that
// read later.
func (j *Job[J, P]) CancellationConfirmed() bool {
	for partition, count := range j.PlacementCounts {
		if count > 0 && !j.cancellationAcknowledged[partition] {
			return false
		}
	}
	return true
}

// CancellationAcknowledged reports whether a part's owner has recorded that it knows of the job's cancellation.
func (j *Job[J, P]) CancellationAcknowledged(partition api.PartitionID) bool {
	return j.cancellationAcknowledged[partition]
}

// Terminal reports whether the job is done or cancelled, for whoever plans: users are told State.
func (j *Job[J, P]) Terminal() bool { return j.CompletedCount >= j.Spec.Tasks || j.Cancelled }

// HasPendingTasks reports whether some task of the job is neither done nor placed, places that
// are over aside.
func (j *Job[J, P]) HasPendingTasks() bool {
	return j.CompletedCount+len(j.Placements)-j.FinishingCount < j.Spec.Tasks
}

// PendingTasks counts the job's tasks in a part that are neither done nor placed. It
// does not look at each task: there may be very many.
func (j *Job[J, P]) PendingTasks(partition api.PartitionID) int {
	if j.CompletedCount+len(j.Placements) >= j.Spec.Tasks {
		return 0
	}
	c := 0
	for _, r := range j.Split {
		if r.Partition == partition {
			c += r.To - r.From - j.Completed.Count(r.From, r.To)
		}
	}
	return max(0, c-j.PlacementCounts[partition]+j.transferAdjustment(partition))
}

func (j *Job[J, P]) markCompleted(partition api.PartitionID, i int) {
	if i < 0 || i >= j.Spec.Tasks {
		return
	}
	if j.completedBy[partition] == nil {
		j.completedBy[partition] = &TaskSet{}
	}
	j.completedBy[partition].Add(i)
	if j.Completed.Add(i) {
		j.CompletedCount++
	}
}

// Partition is a part of the machines by the record.
type Partition struct {
	TeamUsage        map[api.Team]api.Resources // of the places that are not over
	PoolUsage        map[api.PoolName]int       // units that the same hold
	CountByRank      [4]int                     // places by priority, gangs' aside
	Owner            api.ControllerID
	Term             api.Revision
	RoundSeq         uint64 // its latest round
	CheckpointHead   CheckpointHeadValue
	Reservations     map[api.MachineID]Reservation
	quotaTransferred map[api.PartitionID]map[api.Team]api.Resources
}

// machinePlacements is what a machine holds by the durable record, in order of task.
type machinePlacements[J, P any] struct {
	placements []*Placement[J, P]
	allocated  api.Resources // of the places that are not over
}

// State is the durable state up to a revision.
type State[J, P any] struct {
	Revision              api.Revision
	Members               map[api.ControllerID]MemberValue
	Partitions            []Partition
	Jobs                  map[api.JobID]*Job[J, P]
	PlacementsByPartition []map[*Placement[J, P]]bool         // places by part
	PendingJobs           map[api.JobID]*Job[J, P]            // with tasks that wait
	FinishedJobs          map[api.JobID]*Job[J, P]            // over, no place left, not yet put away
	CancellingJobs        map[api.JobID]*Job[J, P]            // cancelled, with places left
	JobsByTenant          map[string]map[api.JobID]*Job[J, P] // the jobs by tenant, of a hosted service
	Loans                 map[api.MachineID]Loan              // machines that were given to another part
	LoanGeneration        int                                 // changes to Lent, so that what follows from it can be kept
	JobResults            map[api.JobID]api.JobState          // of late, at most maxFinals

	recordKinds []RecordKind
	versions    map[string]api.Revision
	rawValues   map[string]json.RawMessage // only while loading
	machines    map[api.MachineID]*machinePlacements[J, P]
	resultOrder []api.JobID // finals in the order they came, to bound them
}

const maxJobResults = 50_000

// New returns an empty book of so many parts that folds the given kinds of records
// beside its own.
func New[J, P any](partitions int, recordKinds ...RecordKind) *State[J, P] {
	s := &State[J, P]{
		versions: map[string]api.Revision{}, Members: map[api.ControllerID]MemberValue{},
		Partitions: make([]Partition, partitions), Jobs: map[api.JobID]*Job[J, P]{},
		PlacementsByPartition: make([]map[*Placement[J, P]]bool, partitions), machines: map[api.MachineID]*machinePlacements[J, P]{},
		PendingJobs: map[api.JobID]*Job[J, P]{}, FinishedJobs: map[api.JobID]*Job[J, P]{}, CancellingJobs: map[api.JobID]*Job[J, P]{},
		JobsByTenant: map[string]map[api.JobID]*Job[J, P]{}, JobResults: map[api.JobID]api.JobState{}, Loans: map[api.MachineID]Loan{},
	}
	for i := range s.Partitions {
		s.Partitions[i].quotaTransferred = map[api.PartitionID]map[api.Team]api.Resources{}
		s.Partitions[i].Reservations = map[api.MachineID]Reservation{}
		s.Partitions[i].TeamUsage, s.Partitions[i].PoolUsage = map[api.Team]api.Resources{}, map[api.PoolName]int{}
		s.PlacementsByPartition[i] = map[*Placement[J, P]]bool{}
	}
	s.recordKinds = append([]RecordKind{
		{KeyMember, s.putMember, func(name string) { delete(s.Members, api.ControllerID(name)) }},
		{KeyPartition, s.putPartition, nil},
		{KeyCheckpointHead, s.putCheckpointHead, nil},
		{KeyRound, s.putRound, nil},
		{KeyJob, s.putJob, s.deleteJob},
		{KeyLoan, s.putLoan, func(name string) {
			delete(s.Loans, api.MachineID(name))
			s.LoanGeneration++
		}},
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

// VersionCondition is the condition that a key is as it was folded, or absent.
func (s *State[J, P]) VersionCondition(key string) api.Condition {
	return api.Condition{Key: key, Version: s.versions[key]}
}

// Version is the revision of a key's latest change, 0 if it does not exist.
func (s *State[J, P]) Version(key string) api.Revision { return s.versions[key] }

// SetVersion notes the version of a key that its owner wrote itself, so that the next write
// need not wait for the log.
func (s *State[J, P]) SetVersion(key string, revision api.Revision) {
	s.versions[key] = max(s.versions[key], revision)
}

// Put applies a changed key. While loading, it only gathers.
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

func (s *State[J, P]) putMember(name string, value json.RawMessage, _ api.Revision) error {
	var m MemberValue
	if err := json.Unmarshal(value, &m); err != nil {
		return err
	}
	s.Members[api.ControllerID(name)] = m
	return nil
}

func (s *State[J, P]) putPartition(name string, value json.RawMessage, version api.Revision) error {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return err
	}
	var v PartitionValue
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	s.Partitions[partition].Owner, s.Partitions[partition].Term = v.Owner, version
	return nil
}

func (s *State[J, P]) putCheckpointHead(name string, value json.RawMessage, _ api.Revision) error {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return err
	}
	var v CheckpointHeadValue
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	s.Partitions[partition].CheckpointHead = v
	return nil
}

func (s *State[J, P]) putRound(name string, value json.RawMessage, _ api.Revision) error {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return err
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	s.ApplyRecord(partition, &r)
	return nil
}

func (s *State[J, P]) putJob(name string, value json.RawMessage, version api.Revision) error {
	var v JobValue
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	if v.Spec == nil {
		return errors.New("no job in it")
	}
	jobID := api.JobID(name)
	j := s.Jobs[jobID]
	if j == nil {
		j = &Job[J, P]{ID: jobID, completedBy: map[api.PartitionID]*TaskSet{}, Placements: map[int]*Placement[J, P]{}, PlacementCounts: map[api.PartitionID]int{}, cancellationAcknowledged: map[api.PartitionID]bool{}}
		s.Jobs[jobID] = j
	}
	j.JobValue, j.Demand, j.Version = v, v.Spec.Demand(), version
	if v.Tenant != "" {
		if s.JobsByTenant[v.Tenant] == nil {
			s.JobsByTenant[v.Tenant] = map[api.JobID]*Job[J, P]{}
		}
		s.JobsByTenant[v.Tenant][jobID] = j
	}
	s.reindex(j)
	return nil
}

func (s *State[J, P]) deleteJob(name string) {
	jobID := api.JobID(name)
	j := s.Jobs[jobID]
	if j == nil {
		return
	}
	if j.Terminal() {
		s.SetJobResult(jobID, j.State())
	}
	for _, p := range j.Placements {
		s.removePlacement(p)
	}
	if of := s.JobsByTenant[j.Tenant]; of != nil {
		if delete(of, jobID); len(of) == 0 {
			delete(s.JobsByTenant, j.Tenant)
		}
	}
	delete(s.Jobs, jobID)
	delete(s.PendingJobs, jobID)
	delete(s.FinishedJobs, jobID)
	delete(s.CancellingJobs, jobID)
}

// AttemptNumber numbers the starts of a round: unique for a task wherever it moves.
func (s *State[J, P]) AttemptNumber(partition api.PartitionID, seq uint64) api.Attempt {
	return api.Attempt(seq*uint64(len(s.Partitions)) + uint64(partition) + 1)
}

// comparePlacements orders the places on a machine.
func comparePlacements[J, P any](a, b *Placement[J, P]) int {
	return cmp.Or(strings.Compare(string(a.Task.Job), string(b.Task.Job)), cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt, b.Attempt))
}

// AddPlacement takes in a start.
func (s *State[J, P]) AddPlacement(p *Placement[J, P]) {
	p.Job.Placements[p.Task.Index] = p
	s.countPlacement(p, 1)
	h := s.machines[p.Machine]
	if h == nil {
		h = &machinePlacements[J, P]{}
		s.machines[p.Machine] = h
	}
	i, _ := slices.BinarySearchFunc(h.placements, p, comparePlacements)
	h.placements = slices.Insert(h.placements, i, p)
	s.addUsage(p, 1)
	s.reindex(p.Job)
}

func (s *State[J, P]) removePlacement(p *Placement[J, P]) {
	s.SetFinishing(p, true)
	p.Job.FinishingCount--
	delete(p.Job.Placements, p.Task.Index)
	s.countPlacement(p, -1)
	if h := s.machines[p.Machine]; h != nil {
		if i := slices.Index(h.placements, p); i >= 0 {
			h.placements = slices.Delete(h.placements, i, i+1)
		}
		if len(h.placements) == 0 {
			delete(s.machines, p.Machine)
		}
	}
	s.reindex(p.Job)
}

// addUsage counts what a place takes, or no longer takes, of its machine and of
// its team's limit.
func (s *State[J, P]) addUsage(p *Placement[J, P], n int) {
	need := p.Job.Demand.Times(n)
	if h := s.machines[p.Machine]; h != nil {
		h.allocated = h.allocated.Plus(need)
	}
	use := s.Partitions[p.Partition].TeamUsage
	use[p.Job.Spec.Team] = use[p.Job.Spec.Team].Plus(need)
	before := p.Job.liveCount
	p.Job.liveCount += n
	for _, x := range p.Job.Spec.Needs {
		s.Partitions[p.Partition].PoolUsage[x.Pool] += n * x.Task
		if before == 0 || p.Job.liveCount == 0 { // the job's own, with the first and the last
			s.Partitions[p.Partition].PoolUsage[x.Pool] += n * x.Job
		}
	}
}

// LiveCount is how many of the job's places are not over.
func (j *Job[J, P]) LiveCount() int { return j.liveCount }

// SetFinishing notes whether there is evidence that a place is over.
func (s *State[J, P]) SetFinishing(p *Placement[J, P], over bool) {
	if p.Finishing == over {
		return
	}
	p.Finishing = over
	if over {
		p.Job.FinishingCount++
		s.addUsage(p, -1)
	} else {
		p.Job.FinishingCount--
		s.addUsage(p, 1)
	}
	s.reindex(p.Job)
}

// reindex keeps the sets of jobs by what is still to be done for them, so that
// no round looks at the many that need nothing.
func (s *State[J, P]) reindex(j *Job[J, P]) {
	delete(s.PendingJobs, j.ID)
	delete(s.FinishedJobs, j.ID)
	delete(s.CancellingJobs, j.ID)
	switch {
	case j.Terminal() && len(j.Placements) == 0:
		s.FinishedJobs[j.ID] = j
	case j.Cancelled && len(j.Placements) > 0:
		s.CancellingJobs[j.ID] = j
	case !j.Terminal() && j.HasPendingTasks():
		s.PendingJobs[j.ID] = j
	}
}

// PlacementsOn lists the places on a machine, in order.
func (s *State[J, P]) PlacementsOn(id api.MachineID) []*Placement[J, P] {
	if h := s.machines[id]; h != nil {
		return h.placements
	}
	return nil
}

// Allocated is what the places on a machine take, those that are over aside.
func (s *State[J, P]) Allocated(id api.MachineID) api.Resources {
	if h := s.machines[id]; h != nil {
		return h.allocated
	}
	return api.Resources{}
}

// applyDeltas applies a part's deltas as they stood at a revision; 0: now.
func (s *State[J, P]) applyDeltas(partition api.PartitionID, seq uint64, deltas []JobDelta, at api.Revision) {
	for _, d := range deltas {
		j := s.Jobs[d.Job]
		if j == nil {
			continue
		}
		for _, i := range slices.Concat(d.Completed, d.Terminated) {
			if p := j.Placements[i]; p != nil && p.Partition == partition {
				s.removePlacement(p)
			}
		}
		if d.CancellationAcknowledged {
			j.cancellationAcknowledged[partition] = true
		}
		j.RetryCount += len(d.Terminated)
		for _, i := range d.Completed {
			j.markCompleted(partition, i)
		}
		if len(d.CompletedBits) > 0 {
			var set TaskSet
			set.addBytes(d.CompletedBits, j.Spec.Tasks)
			for i := range j.Spec.Tasks {
				if set.Has(i) {
					j.markCompleted(partition, i)
				}
			}
		}
		for _, start := range d.Starts {
			attempt := start.Attempt
			if attempt == 0 {
				attempt = s.AttemptNumber(partition, seq)
			}
			if start.Task < 0 || start.Task >= j.Spec.Tasks || j.Placements[start.Task] != nil || s.transferredSince(start.Machine, at) {
				continue
			}
			s.AddPlacement(&Placement[J, P]{Task: api.TaskID{Job: d.Job, Index: start.Task}, Partition: partition, Machine: start.Machine,
				Epoch: start.Epoch, Attempt: attempt, Job: j})
		}
		s.reindex(j)
	}
}

func (s *State[J, P]) addQuotaTransfers(partition api.PartitionID, transfers []QuotaTransfer) {
	for _, g := range transfers {
		m := s.Partitions[partition].quotaTransferred[g.To]
		if m == nil {
			m = map[api.Team]api.Resources{}
			s.Partitions[partition].quotaTransferred[g.To] = m
		}
		m[g.Team] = m[g.Team].Plus(g.Amount)
	}
}

// ApplyRecord applies a round unless it was applied before.
func (s *State[J, P]) ApplyRecord(partition api.PartitionID, r *Record) {
	s.applyRound(partition, r, 0)
}

// applyRound applies a round as it stood at a revision; 0: now.
func (s *State[J, P]) applyRound(partition api.PartitionID, r *Record, at api.Revision) {
	ps := &s.Partitions[partition]
	if r.Seq != ps.RoundSeq+1 {
		return
	}
	ps.RoundSeq = r.Seq
	s.applyDeltas(partition, r.Seq, r.Jobs, at)
	s.addQuotaTransfers(partition, r.QuotaTransfers)
	s.applyReservations(partition, r.Reservations)
}

func (s *State[J, P]) applyReservations(partition api.PartitionID, reservations []Reservation) {
	for _, k := range reservations {
		if k.Job == "" {
			delete(s.Partitions[partition].Reservations, k.Machine)
		} else {
			s.Partitions[partition].Reservations[k.Machine] = k
		}
	}
}

// SetJobResult notes a job's final state, for some time.
func (s *State[J, P]) SetJobResult(jobID api.JobID, state api.JobState) {
	if _, known := s.JobResults[jobID]; !known {
		s.resultOrder = append(s.resultOrder, jobID)
		if len(s.resultOrder) > maxJobResults {
			delete(s.JobResults, s.resultOrder[0])
			s.resultOrder = s.resultOrder[1:]
		}
	}
	s.JobResults[jobID] = state
}

// QuotaShare is the part of a team's limit that a part may use.
func (s *State[J, P]) QuotaShare(partition api.PartitionID, team api.Team, limit api.Resources) api.Resources {
	n := api.Quantity(len(s.Partitions))
	share := api.Resources{CPU: limit.CPU / n, GPU: limit.GPU / n}
	if partition == 0 { // what can't be divided
		share.CPU += limit.CPU % n
		share.GPU += limit.GPU % n
	}
	for i := range s.Partitions {
		if api.PartitionID(i) != partition {
			share = share.Plus(s.Partitions[i].quotaTransferred[partition][team])
		}
	}
	for _, teams := range s.Partitions[partition].quotaTransferred {
		share = share.Minus(teams[team])
	}
	return share
}
