package control

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"basaltwall/api"
)

// Keys in the state service. Everything a controller follows lies under root;
// final states lie outside, so that what a restart reads stays bounded.
const (
	root        = "b/"
	keyMember   = root + "member/"
	keyPart     = root + "part/"
	keyHead     = root + "head/"
	keySnap     = root + "snap/"
	keyRound    = root + "round/"
	keyJob      = root + "job/"
	keyLend     = root + "lend/"
	keyTypes    = root + "types"
	keyFinal    = "final/"
	keySettings = root + "settings"
)

// ringSize is how many round records a part keeps before their keys are used
// again; a checkpoint must have covered a record by then. A checkpoint grows with
// the tasks that run, a record with those that start or end, so checkpoints must
// be much rarer than rounds, or they would use up the writes; what is read after
// a crash stays some hundred records.
const ringSize = 128

func partKey(prefix string, p api.PartID) string { return prefix + strconv.Itoa(int(p)) }

func roundKey(p api.PartID, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", keyRound, p, seq%ringSize)
}

func snapKey(p api.PartID, gen uint64, i int) string {
	return fmt.Sprintf("%s%d/%d/%d", keySnap, p, gen%2, i)
}

// Range is a run of a job's tasks, From included and To not, held by a part.
type Range struct {
	From, To int
	Part     api.PartID
}

// MarshalJSON writes a range as three numbers.
func (r Range) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]int{r.From, r.To, int(r.Part)})
}

// UnmarshalJSON reads three numbers.
func (r *Range) UnmarshalJSON(b []byte) error {
	var v [3]int
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	*r = Range{v[0], v[1], api.PartID(v[2])}
	return nil
}

// jobValue is a job's key.
type jobValue struct {
	Spec        *api.JobSpec `json:"s"`
	Split       []Range      `json:"p"`
	Cancelled   bool         `json:"x,omitempty"`
	CancelledAt api.Wall     `json:"c,omitempty"` // when it was cancelled
	Accepted    api.Wall     `json:"t"`
}

type memberValue struct {
	Born int64 `json:"born"` // tells one run of a process from the next
}

type partValue struct {
	Owner api.Label `json:"owner"`
}

type headValue struct {
	Seq    uint64 `json:"seq"`
	Gen    uint64 `json:"gen"`
	Chunks int    `json:"chunks"`
}

// lendValue is the key of a machine that was given to another part.
type lendValue struct {
	Part api.PartID `json:"part"`
	For  api.JobRef `json:"for,omitempty"`
}

type lent struct {
	part api.PartID
	rev  api.Revision
	ref  api.JobRef // for whom
}

// startEntry is a durable start: the task, its machine and that machine's session.
type startEntry struct {
	Task    int           `json:"i"`
	Machine api.MachineID `json:"m"`
	Session api.Session   `json:"s"`
	Attempt api.Attempt   `json:"a,omitempty"` // in checkpoints only
}

// jobDelta is what a record or a checkpoint says of a job.
type jobDelta struct {
	Job    api.JobRef   `json:"j"`
	Starts []startEntry `json:"+,omitempty"`
	Done   []int        `json:"d,omitempty"` // ended and done
	Lost   []int        `json:"l,omitempty"` // ended otherwise
	Bits   []byte       `json:"b,omitempty"` // in checkpoints: all that this part completed
}

// gift moves a share of a team's limit to another part.
type gift struct {
	To     api.PartID    `json:"to"`
	Team   api.Team      `json:"team"`
	Amount api.Resources `json:"n"`
}

// record is a part's round.
type record struct {
	Seq   uint64     `json:"q"`
	Jobs  []jobDelta `json:"j,omitempty"`
	Gifts []gift     `json:"g,omitempty"`
}

// checkpoint is a part's whole state. Gifts are totals since the beginning.
type checkpoint struct {
	Seq   uint64     `json:"q"`
	Jobs  []jobDelta `json:"j,omitempty"`
	Gifts []gift     `json:"g,omitempty"`
}

// bitset is a set of task numbers.
type bitset []uint64

func (b *bitset) set(i int) bool {
	for len(*b) <= i/64 {
		*b = append(*b, 0)
	}
	old := (*b)[i/64]
	(*b)[i/64] |= 1 << (i % 64)
	return old != (*b)[i/64]
}

func (b bitset) has(i int) bool { return i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0 }

// count is how many members lie from one number up to another.
func (b bitset) count(from, to int) int {
	n := 0
	for w := from / 64; w < len(b) && w*64 < to; w++ {
		word := b[w]
		if w*64 < from {
			word &= ^uint64(0) << (from % 64)
		}
		if to-w*64 < 64 {
			word &= 1<<(to%64) - 1
		}
		n += bits.OnesCount64(word)
	}
	return n
}

func (b bitset) bytes() []byte {
	out := make([]byte, 0, len(b)*8)
	for _, w := range b {
		for k := range 8 {
			out = append(out, byte(w>>(8*k)))
		}
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

func (b *bitset) addBytes(in []byte, limit int) {
	for i, c := range in {
		for k := range 8 {
			if c&(1<<k) != 0 && i*8+k < limit {
				b.set(i*8 + k)
			}
		}
	}
}

// Place is a task's durable start that has not been proven over.
type Place struct {
	Task    api.TaskID
	Part    api.PartID
	Machine api.MachineID
	Session api.Session
	Attempt api.Attempt
	job     *Job

	// What the owner knows beyond the durable record.
	sent     api.Token // highest token under which a launch may be on its way
	reported bool
	state    api.TaskState
	since    api.Time // placed, as far as this process knows
	running  api.Time // first seen running
	stop     bool
	stopAt   api.Time
	grace    float64
	over     bool // evidence is collected, its record not yet durable
}

// Job is an accepted job that is not yet put away.
type Job struct {
	jobValue
	ref    api.JobRef
	demand api.Resources
	ver    api.Revision
	done   bitset
	doneN  int
	doneBy map[api.PartID]*bitset
	places map[int]*Place
	placed map[api.PartID]int // how many places by part
	overN  int                // places that are over but not yet recorded so
	again  int                // starts that ended otherwise than by completing, since this process knows the job

	// Owner's working notes.
	hold     api.Time // no new starts before, after failures
	fails    int
	failedOn map[api.MachineID]bool
	moved    api.Time
	wayAt    api.Time // others are not made to give way before
	quick    bool     // others were made to give way so that it starts soon
	begun    bool     // a start was planned here
	lostWith int      // tasks that our parts lost with their machines
	lostAt   api.Time // when the last of them was known to be lost
	madeWay  int      // tasks that our parts stopped for more urgent work
	ran      float64  // seconds that tasks took which were seen to complete
	runs     int      // and how many they were
}

// state is what users are told. A job all of whose tasks are done is done even
// when a cancellation is recorded too: no completion is recorded after a
// cancellation, so the completion came first.
func (j *Job) state() api.JobState {
	switch {
	case j.doneN >= j.Spec.Tasks:
		return api.JobDone
	case j.Cancelled:
		return api.JobCancelled
	case len(j.places) > 0:
		return api.JobRunning
	}
	return api.JobPending
}

func (j *Job) final() bool { return j.doneN >= j.Spec.Tasks || j.Cancelled }

// book is the durable state as this node knows it: the fold of every key under
// root up to rev. All nodes fold the same changes and agree.
type book struct {
	rev      api.Revision
	vers     map[string]api.Revision
	raw      map[string]json.RawMessage // only while loading
	members  map[api.Label]memberValue
	parts    []partState
	jobs     map[api.JobRef]*Job
	onPart   []map[*Place]bool // places by part
	onHost   map[api.MachineID]*hosted
	open     map[api.JobRef]*Job // with tasks that wait
	ended    map[api.JobRef]*Job // over, no place left, not yet put away
	lent     map[api.MachineID]lent
	lends    int // changes to lent, so that what follows from it can be kept
	types    []api.MachineType
	finals   map[api.JobRef]api.JobState
	settings Settings
	oldest   []api.JobRef // finals in the order they came, to bound them
}

// hosted is what a machine holds by the durable record, in order of task.
type hosted struct {
	places []*Place
	need   api.Resources // of the places that are not over
}

type partState struct {
	use   map[api.Team]api.Resources // of the places that are not over
	ranks [4]int                     // places by priority, gangs' aside
	owner api.Label
	term  api.Revision
	seq   uint64
	head  headValue
	given map[api.PartID]map[api.Team]api.Resources
}

const maxFinals = 50_000

func newBook(parts int) *book {
	b := &book{
		vers: map[string]api.Revision{}, members: map[api.Label]memberValue{},
		parts: make([]partState, parts), jobs: map[api.JobRef]*Job{},
		onPart: make([]map[*Place]bool, parts), onHost: map[api.MachineID]*hosted{},
		open: map[api.JobRef]*Job{}, ended: map[api.JobRef]*Job{},
		finals: map[api.JobRef]api.JobState{}, lent: map[api.MachineID]lent{},
	}
	for i := range b.parts {
		b.parts[i].given = map[api.PartID]map[api.Team]api.Resources{}
		b.parts[i].use = map[api.Team]api.Resources{}
		b.onPart[i] = map[*Place]bool{}
	}
	return b
}

// attemptOf numbers the starts of a round: unique for a task wherever it moves.
func (b *book) attemptOf(p api.PartID, seq uint64) api.Attempt {
	return api.Attempt(seq*uint64(len(b.parts)) + uint64(p) + 1)
}

// comparePlaces orders the places on a machine.
func comparePlaces(a, b *Place) int {
	return cmp.Or(strings.Compare(string(a.Task.Job), string(b.Task.Job)), cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt, b.Attempt))
}

func (b *book) addPlace(p *Place) {
	p.job.places[p.Task.Index] = p
	p.job.placed[p.Part]++
	b.onPart[p.Part][p] = true
	h := b.onHost[p.Machine]
	if h == nil {
		h = &hosted{}
		b.onHost[p.Machine] = h
	}
	i, _ := slices.BinarySearchFunc(h.places, p, comparePlaces)
	h.places = slices.Insert(h.places, i, p)
	b.weigh(p, 1)
	if p.job.Spec.Kind != api.Gang {
		b.parts[p.Part].ranks[p.job.Spec.Priority.Rank()]++
	}
	b.index(p.job)
}

func (b *book) dropPlace(p *Place) {
	b.setOver(p, true)
	p.job.overN--
	delete(p.job.places, p.Task.Index)
	p.job.placed[p.Part]--
	delete(b.onPart[p.Part], p)
	if h := b.onHost[p.Machine]; h != nil {
		if i := slices.Index(h.places, p); i >= 0 {
			h.places = slices.Delete(h.places, i, i+1)
		}
		if len(h.places) == 0 {
			delete(b.onHost, p.Machine)
		}
	}
	if p.job.Spec.Kind != api.Gang {
		b.parts[p.Part].ranks[p.job.Spec.Priority.Rank()]--
	}
	b.index(p.job)
}

// weigh counts what a place takes, or no longer takes, of its machine and of
// its team's limit.
func (b *book) weigh(p *Place, n int) {
	need := p.job.demand.Times(n)
	if h := b.onHost[p.Machine]; h != nil {
		h.need = h.need.Plus(need)
	}
	use := b.parts[p.Part].use
	use[p.job.Spec.Team] = use[p.job.Spec.Team].Plus(need)
}

// setOver notes whether there is evidence that a place is over.
func (b *book) setOver(p *Place, over bool) {
	if p.over == over {
		return
	}
	p.over = over
	if over {
		p.job.overN++
		b.weigh(p, -1)
	} else {
		p.job.overN--
		b.weigh(p, 1)
	}
	b.index(p.job)
}

// index keeps the sets of jobs by what is still to be done for them, so that
// no round looks at the many that need nothing.
func (b *book) index(j *Job) {
	delete(b.open, j.ref)
	delete(b.ended, j.ref)
	switch {
	case j.final() && len(j.places) == 0:
		b.ended[j.ref] = j
	case !j.final() && j.doneN+len(j.places)-j.overN < j.Spec.Tasks:
		b.open[j.ref] = j
	}
}

// on lists the places on a machine, in order.
func (b *book) on(id api.MachineID) []*Place {
	if h := b.onHost[id]; h != nil {
		return h.places
	}
	return nil
}

func (j *Job) complete(part api.PartID, i int) {
	if i < 0 || i >= j.Spec.Tasks {
		return
	}
	if j.doneBy[part] == nil {
		j.doneBy[part] = &bitset{}
	}
	j.doneBy[part].set(i)
	if j.done.set(i) {
		j.doneN++
	}
}

// fold applies a part's deltas.
func (b *book) fold(part api.PartID, seq uint64, deltas []jobDelta) {
	for _, d := range deltas {
		j := b.jobs[d.Job]
		if j == nil {
			continue
		}
		for _, i := range slices.Concat(d.Done, d.Lost) {
			if p := j.places[i]; p != nil && p.Part == part {
				b.dropPlace(p)
			}
		}
		j.again += len(d.Lost)
		for _, i := range d.Done {
			j.complete(part, i)
		}
		if len(d.Bits) > 0 {
			var set bitset
			set.addBytes(d.Bits, j.Spec.Tasks)
			for i := range j.Spec.Tasks {
				if set.has(i) {
					j.complete(part, i)
				}
			}
		}
		for _, s := range d.Starts {
			attempt := s.Attempt
			if attempt == 0 {
				attempt = b.attemptOf(part, seq)
			}
			if s.Task < 0 || s.Task >= j.Spec.Tasks || j.places[s.Task] != nil {
				continue
			}
			b.addPlace(&Place{Task: api.TaskID{Job: d.Job, Index: s.Task}, Part: part, Machine: s.Machine,
				Session: s.Session, Attempt: attempt, job: j})
		}
		b.index(j)
	}
}

func (b *book) addGifts(part api.PartID, gifts []gift) {
	for _, g := range gifts {
		m := b.parts[part].given[g.To]
		if m == nil {
			m = map[api.Team]api.Resources{}
			b.parts[part].given[g.To] = m
		}
		m[g.Team] = m[g.Team].Plus(g.Amount)
	}
}

// foldRecord applies a round unless it was applied before.
func (b *book) foldRecord(part api.PartID, r *record) {
	ps := &b.parts[part]
	if r.Seq != ps.seq+1 {
		return
	}
	ps.seq = r.Seq
	b.fold(part, r.Seq, r.Jobs)
	b.addGifts(part, r.Gifts)
}

// checkpointOf describes a part's state.
func (b *book) checkpointOf(part api.PartID) checkpoint {
	c := checkpoint{Seq: b.parts[part].seq}
	for _, ref := range slices.Sorted(maps.Keys(b.jobs)) {
		j := b.jobs[ref]
		d := jobDelta{Job: ref}
		if set := j.doneBy[part]; set != nil {
			d.Bits = set.bytes()
		}
		for _, i := range slices.Sorted(maps.Keys(j.places)) {
			if p := j.places[i]; p.Part == part {
				d.Starts = append(d.Starts, startEntry{i, p.Machine, p.Session, p.Attempt})
			}
		}
		if len(d.Bits) > 0 || len(d.Starts) > 0 {
			c.Jobs = append(c.Jobs, d)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(b.parts[part].given)) {
		teams := b.parts[part].given[to]
		for _, t := range slices.Sorted(maps.Keys(teams)) {
			c.Gifts = append(c.Gifts, gift{to, t, teams[t]})
		}
	}
	return c
}

// pack makes a checkpoint small: it names the same jobs and machines over and
// over, and the state service's writes are scarce.
func pack(c checkpoint) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	return buf.Bytes(), nil
}

func unpack(blob []byte) (checkpoint, error) {
	var c checkpoint
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(blob)))
	if err != nil {
		return c, fmt.Errorf("unpacking: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("unpacking: %w", err)
	}
	return c, nil
}

func (b *book) setFinal(ref api.JobRef, s api.JobState) {
	if _, known := b.finals[ref]; !known {
		b.oldest = append(b.oldest, ref)
		if len(b.oldest) > maxFinals {
			delete(b.finals, b.oldest[0])
			b.oldest = b.oldest[1:]
		}
	}
	b.finals[ref] = s
}

func partOf(key, prefix string, parts int) (api.PartID, string, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, "", false
	}
	num, tail, _ := strings.Cut(rest, "/")
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= parts {
		return 0, "", false
	}
	return api.PartID(n), tail, true
}

// put applies a changed key. While loading, rounds and checkpoints only gather
// in raw and are folded at the end.
func (b *book) put(key string, value json.RawMessage, ver api.Revision) error {
	if b.vers[key] >= ver {
		return nil
	}
	b.vers[key] = ver
	if b.raw != nil {
		b.raw[key] = value
		return nil
	}
	return b.apply(key, value, ver)
}

func (b *book) apply(key string, value json.RawMessage, ver api.Revision) error {
	n := len(b.parts)
	switch {
	case strings.HasPrefix(key, keyMember):
		var m memberValue
		if err := json.Unmarshal(value, &m); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.members[api.Label(key[len(keyMember):])] = m
	case strings.HasPrefix(key, keyJob):
		var v jobValue
		if err := json.Unmarshal(value, &v); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
		if v.Spec == nil {
			return fmt.Errorf("key %s: no job in it", key)
		}
		ref := api.JobRef(key[len(keyJob):])
		j := b.jobs[ref]
		if j == nil {
			j = &Job{ref: ref, doneBy: map[api.PartID]*bitset{}, places: map[int]*Place{}, placed: map[api.PartID]int{}}
			b.jobs[ref] = j
		}
		j.jobValue, j.demand, j.ver = v, v.Spec.Demand(), ver
		b.index(j)
	case strings.HasPrefix(key, keyPart):
		p, _, ok := partOf(key, keyPart, n)
		var v partValue
		if err := json.Unmarshal(value, &v); err != nil || !ok {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.parts[p].owner, b.parts[p].term = v.Owner, ver
	case strings.HasPrefix(key, keyHead):
		p, _, ok := partOf(key, keyHead, n)
		var v headValue
		if err := json.Unmarshal(value, &v); err != nil || !ok {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.parts[p].head = v
	case strings.HasPrefix(key, keyRound):
		p, _, ok := partOf(key, keyRound, n)
		var r record
		if err := json.Unmarshal(value, &r); err != nil || !ok {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.foldRecord(p, &r)
	case strings.HasPrefix(key, keyLend):
		var v lendValue
		if err := json.Unmarshal(value, &v); err != nil || v.Part < 0 || int(v.Part) >= n {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.lent[api.MachineID(key[len(keyLend):])] = lent{v.Part, ver, v.For}
		b.lends++
	case key == keySettings:
		var v Settings
		if err := json.Unmarshal(value, &v); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.settings = v
	case key == keyTypes:
		var v api.MachineTypes
		if err := json.Unmarshal(value, &v); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
		b.types = v.Types
	}
	return nil
}

func (b *book) drop(key string, ver api.Revision) {
	if b.vers[key] > ver {
		return
	}
	delete(b.vers, key)
	if b.raw != nil {
		delete(b.raw, key)
		return
	}
	switch {
	case strings.HasPrefix(key, keyMember):
		delete(b.members, api.Label(key[len(keyMember):]))
	case strings.HasPrefix(key, keyLend):
		delete(b.lent, api.MachineID(key[len(keyLend):]))
		b.lends++
	case strings.HasPrefix(key, keyJob):
		ref := api.JobRef(key[len(keyJob):])
		if j := b.jobs[ref]; j != nil {
			if j.final() {
				b.setFinal(ref, j.state())
			}
			for _, p := range j.places {
				b.dropPlace(p)
			}
			delete(b.jobs, ref)
			delete(b.open, ref)
			delete(b.ended, ref)
		}
	}
}

// finishLoad folds the gathered keys: jobs first, then each part's checkpoint
// and the rounds after it.
func (b *book) finishLoad() error {
	raw := b.raw
	b.raw = nil
	rounds := make([][]record, len(b.parts))
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		if p, _, ok := partOf(key, keyRound, len(b.parts)); ok {
			var r record
			if err := json.Unmarshal(raw[key], &r); err != nil {
				return fmt.Errorf("key %s: %w", key, err)
			}
			rounds[p] = append(rounds[p], r)
			continue
		}
		if err := b.apply(key, raw[key], b.vers[key]); err != nil {
			return err
		}
	}
	for i := range b.parts {
		p := api.PartID(i)
		ps := &b.parts[i]
		if ps.head.Chunks > 0 {
			var blob []byte
			for k := range ps.head.Chunks {
				var chunk []byte
				if err := json.Unmarshal(raw[snapKey(p, ps.head.Gen, k)], &chunk); err != nil {
					return fmt.Errorf("checkpoint of part %d, piece %d: %w", i, k, err)
				}
				blob = append(blob, chunk...)
			}
			c, err := unpack(blob)
			if err != nil {
				return fmt.Errorf("checkpoint of part %d: %w", i, err)
			}
			ps.seq = c.Seq
			b.fold(p, c.Seq, c.Jobs)
			b.addGifts(p, c.Gifts)
		}
		slices.SortFunc(rounds[i], func(x, y record) int { return int(int64(x.Seq) - int64(y.Seq)) })
		for k := range rounds[i] {
			if r := &rounds[i][k]; r.Seq > ps.seq {
				if r.Seq != ps.seq+1 {
					return fmt.Errorf("part %d: round %d follows %d", i, r.Seq, ps.seq)
				}
				b.foldRecord(p, r)
			}
		}
	}
	return nil
}

// share is the part of a team's limit that a part may use.
func (b *book) share(p api.PartID, team api.Team, limit api.Resources) api.Resources {
	n := api.Amount(len(b.parts))
	s := api.Resources{CPU: limit.CPU / n, GPU: limit.GPU / n}
	if p == 0 { // what can't be divided
		s.CPU += limit.CPU % n
		s.GPU += limit.GPU % n
	}
	for i := range b.parts {
		if api.PartID(i) != p {
			s = s.Plus(b.parts[i].given[p][team])
		}
	}
	for _, teams := range b.parts[p].given {
		s = s.Minus(teams[team])
	}
	return s
}
