// This file composes the next record of a shard from requests.

package skipledger

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// BlockWrite is the value of a block as of a record, to be written with that record.
type BlockWrite struct {
	ID   BlockID
	Data json.RawMessage
}

// Draft is the next record of a shard, composed but not yet written.
type Draft struct {
	Record       Record
	Blocks       []BlockWrite
	Archived     []ArchivedBooking // bookings that the record drops, for the archive
	OpIndexes    []int             // by request: index of its last operation in the record, or noOps
	Results      []Result          // by request: its answer, if it needs no operation
	RequestCount int               // number of requests handled; the others wait for the next record
}

// noOps is the operation index of a request that needs no operation.
const noOps = -1

// ArchivedBooking is a closed booking as stored in the archive.
type ArchivedBooking struct {
	Depot Depot  `json:"d"`
	Skip  SkipID `json:"i"`
	Booking
}

// Limits bounds the size of a record and of its transaction.
type Limits struct {
	MaxValueBytes int // maximum size of a value
	MaxPuts       int // maximum number of writes of a transaction
}

// Compose returns a draft of the next record, with the operations of as many requests as fit, in their
// order, and due cleanup operations. It answers requests that need no operation from the state of the
// shard, which must be current for that. If the record of the draft is empty, there is nothing to write.
func (s *Shard) Compose(writerID string, requests []*Request, now api.WallTime, clockError time.Duration, l Limits) Draft {
	c := &composer{
		fork:       s.fork(),
		draft:      Draft{Record: Record{Seq: s.Seq + 1, WriterID: writerID}},
		bytes:      recordOverhead + len(writerID),
		limits:     l,
		now:        now,
		clockError: clockError,
	}
	for _, r := range requests {
		if !c.add(r) {
			break
		}
	}
	c.addCleanup()
	d := c.draft
	if len(d.Record.Ops) == 0 {
		return d
	}
	if len(d.Archived) > 0 {
		l.MaxPuts--
	}
	// Applying the whole record shows the blocks that it adds skips to or moves skips between.
	after := s.fork()
	after.ApplyRecord(&d.Record)
	written := s.resizedBlocks(after)
	if len(written) > l.MaxPuts-1 {
		return s.Compose(writerID, requests[:lastWithOps(d.OpIndexes)], now, clockError, l)
	}
	for _, blockID := range after.overdueBlocks(d.Record.Seq, written, l.MaxPuts-1-len(written)) {
		written[blockID] = true
	}
	d.Blocks = after.encodeBlocks(written, d.Record.Seq)
	return d
}

const (
	recordOverhead   = 64         // maximum size of a record without its writer id and operations, in bytes
	cleanupOpBytes   = 120        // maximum size of a cleanup operation, in bytes
	maxCleanupOps    = 16         // per record
	maxOpsForCleanup = maxOps / 2 // a record with more operations gets no cleanup
)

// composer builds a draft.
type composer struct {
	fork       *Shard // the shard with the operations of the draft applied
	draft      Draft
	bytes      int // size of the record
	limits     Limits
	now        api.WallTime
	clockError time.Duration
}

// add adds a request to the draft, and returns false if the record has no space for it.
func (c *composer) add(r *Request) bool {
	if result, known := c.fork.Duplicate(r); known {
		c.answer(result)
		return true
	}
	ops, reason := c.fork.operations(r, c.now, c.clockError)
	if reason != "" || len(ops) == 0 { // without a reason: all skips exist already
		c.answer(Result{Reason: reason})
		return true
	}
	record := &c.draft.Record
	data, err := json.Marshal(ops)
	tooLarge := c.bytes+len(data) > c.limits.MaxValueBytes
	if err != nil || len(record.Ops) == 0 && tooLarge || len(ops) >= maxOps {
		c.answer(Result{Reason: ReasonRecordTooLarge})
		return true
	}
	if tooLarge || len(record.Ops)+len(ops) >= maxOps {
		return false
	}
	c.bytes += len(data)
	for i := range ops {
		c.fork.apply(&ops[i], bookingID(record.Seq, len(record.Ops)+i+1))
	}
	record.Ops = append(record.Ops, ops...)
	c.appendRequest(len(record.Ops)-1, Result{})
	return true
}

// answer adds a request that needs no operation, with its answer.
func (c *composer) answer(result Result) { c.appendRequest(noOps, result) }

func (c *composer) appendRequest(opIndex int, result Result) {
	c.draft.OpIndexes, c.draft.Results = append(c.draft.OpIndexes, opIndex), append(c.draft.Results, result)
	c.draft.RequestCount++
}

// addCleanup adds due cleanup operations if the record has space for them.
func (c *composer) addCleanup() {
	d := &c.draft
	freeOps := (c.limits.MaxValueBytes - c.bytes) / cleanupOpBytes
	if freeOps <= 0 || len(d.Record.Ops) >= maxOpsForCleanup {
		return
	}
	ops := c.fork.cleanupOps(c.now, c.clockError, min(freeOps, maxCleanupOps))
	d.Record.Ops = append(d.Record.Ops, ops...)
	for _, op := range ops {
		if op.Type == OpDrop {
			d.Archived = append(d.Archived, ArchivedBooking{Depot: op.Depot, Skip: op.Skip, Booking: *c.fork.Get(op.Depot, op.Skip).booking(op.Booking)})
		}
	}
}

// lastWithOps returns the index of the last request that needs operations, or 0 if none does.
func lastWithOps(opIndexes []int) int {
	last := 0
	for i, opIndex := range opIndexes {
		if opIndex != noOps {
			last = i
		}
	}
	return last
}

// resizedBlocks returns the blocks that a record added skips to or moved skips between. They must be
// written with the record, so that the assignment of skips to blocks is the same for all controllers.
func (s *Shard) resizedBlocks(after *Shard) map[BlockID]bool {
	resized := map[BlockID]bool{}
	for blockID, b := range after.blocks {
		if old := s.block(blockID); old == nil || len(old.Skips) != len(b.Skips) {
			resized[blockID] = true
		}
	}
	return resized
}

// overdueBlocks returns changed blocks that must be written before the ring wraps around, besides those
// written anyway: the oldest first, few with each record, and at most limit.
func (s *Shard) overdueBlocks(seq uint64, written map[BlockID]bool, limit int) []BlockID {
	var overdue []BlockID
	for _, blockID := range s.blockIDs() {
		if b := s.block(blockID); b.dirtySince != 0 && !written[blockID] && b.dirtySince+blockWriteDelay <= seq {
			overdue = append(overdue, blockID)
		}
	}
	slices.SortStableFunc(overdue, func(a, b BlockID) int { return cmp.Compare(s.block(a).dirtySince, s.block(b).dirtySince) })
	limit = min(limit, 1+len(overdue)/blockWriteDelay)
	return overdue[:min(len(overdue), max(0, limit))]
}

// encodeBlocks returns the values of blocks as of a record, sorted by id.
func (s *Shard) encodeBlocks(blockIDs map[BlockID]bool, seq uint64) []BlockWrite {
	var out []BlockWrite
	for _, blockID := range slices.Sorted(maps.Keys(blockIDs)) {
		b := *s.block(blockID)
		b.LastSeq = seq
		data, err := json.Marshal(&b)
		if err != nil {
			continue
		}
		out = append(out, BlockWrite{ID: blockID, Data: data})
	}
	return out
}
