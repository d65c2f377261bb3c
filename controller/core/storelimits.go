package core

// This file divides the state service's write rate among components and checks its limits on the
// sizes of values and transactions. The service refuses a request beyond a limit for good, so a write
// whose size depends on what is pending must be composed within the limits, and one that was refused must
// be made smaller.

import (
	"encoding/json"
	"log/slog"
	"slices"

	"basaltwall/api"
)

// Shares of the state service's write rate. The service refuses writes beyond the rate, including
// renewals of this controller's lease.
const (
	// SubmissionWriteShare is the share of submissions.
	SubmissionWriteShare = 0.85
	// LedgerWriteShare is the share of the ledger of skips; submissions leave it free while the
	// ledger writes.
	LedgerWriteShare = 0.2
)

// bytesPerKB converts the deployment's limit on the size of a value to bytes.
const bytesPerKB = 1024

// cancellationReserveBytes bounds the bytes that a cancellation adds to a job's record.
const cancellationReserveBytes = 64

const (
	// TxnReserveBytes is the part of a transaction's size that a large value leaves for the encoding of the
	// transaction and for the conditions that do not depend on the number of entries.
	TxnReserveBytes = 4 * bytesPerKB
	// conditionsPerWrite is the service's limit on conditions, as a multiple of its limit on writes.
	conditionsPerWrite = 4
)

// MaxValueBytes returns the maximum size of a value, which must fit into a transaction.
func (k *Core) MaxValueBytes() int {
	return min(int(k.Config.Deployment.State.ValueKB*bytesPerKB), api.MaxTxnBytes-TxnReserveBytes)
}

// MaxConditions returns the maximum number of conditions of a transaction.
func (k *Core) MaxConditions() int { return conditionsPerWrite * k.Config.Deployment.State.TxnOps }

// ExceedsValueSize reports whether data is too large to be written as one value.
func (k *Core) ExceedsValueSize(data []byte) bool { return len(data) > k.MaxValueBytes() }

// TxnFits reports whether a transaction is within the service's limits.
func (k *Core) TxnFits(txn api.Txn) bool {
	if len(txn.Writes) > k.Config.Deployment.State.TxnOps || len(txn.If) > k.MaxConditions() {
		return false
	}
	return !slices.ContainsFunc(txn.Writes, k.exceedsValueSize) && EncodedBytes(txn) <= api.MaxTxnBytes
}

// EncodedBytes returns the size of a part of a transaction or record, which can always be encoded.
func EncodedBytes(part any) int {
	data, _ := json.Marshal(part)
	return len(data)
}

// LargestFittingTxn returns the longest prefix of a list of units, each with its conditions and writes,
// that fits into one transaction with the given conditions, and its length. After refusals it returns a
// shorter one.
func (k *Core) LargestFittingTxn(conditions []api.Condition, units []api.Txn, reduction WriteReduction) (txn api.Txn, count int) {
	count = k.fittingUnits(conditions, units)
	if count > 0 {
		count = reduction.Apply(count)
	}
	txn.If = slices.Clone(conditions)
	for _, unit := range units[:count] {
		txn.If = append(txn.If, unit.If...)
		txn.Writes = append(txn.Writes, unit.Writes...)
	}
	return txn, count
}

// fittingUnits returns the number of units that fit into one transaction with the given conditions.
func (k *Core) fittingUnits(conditions []api.Condition, units []api.Txn) int {
	conditionsLeft, writesLeft := k.MaxConditions()-len(conditions), k.Config.Deployment.State.TxnOps
	bytesLeft := api.MaxTxnBytes - EncodedBytes(api.Txn{If: conditions, Writes: []api.Write{}})
	for i, unit := range units {
		conditionsLeft, writesLeft = conditionsLeft-len(unit.If), writesLeft-len(unit.Writes)
		for _, condition := range unit.If {
			bytesLeft -= EncodedBytes(condition) + len(",")
		}
		for _, write := range unit.Writes {
			bytesLeft -= EncodedBytes(write) + len(",")
		}
		if conditionsLeft < 0 || writesLeft < 0 || bytesLeft < 0 || slices.ContainsFunc(unit.Writes, k.exceedsValueSize) {
			return i
		}
	}
	return len(units)
}

// exceedsValueSize reports whether the value of a write is too large.
func (k *Core) exceedsValueSize(write api.Write) bool { return k.ExceedsValueSize(write.Value) }

// ReportRejectedTxn logs and counts a transaction that the service has refused for good, or would refuse.
func (o *Outbox) ReportRejectedTxn(txn *api.Txn) {
	o.metrics.StoreRejections++
	key, largest := "", 0
	for _, write := range txn.Writes {
		largest = max(largest, len(write.Value))
		if key == "" {
			key = write.Put + write.Drop
		}
	}
	slog.Error("transaction rejected by the state service", "first_key", key, "writes", len(txn.Writes), "conditions", len(txn.If),
		"largest_value", largest, "bytes", EncodedBytes(txn))
}

// maxHalvings bounds how often writes are halved after refusals.
const maxHalvings = 6

// WriteReduction makes writes of one kind smaller after the state service has refused one for good.
type WriteReduction struct{ halvings int }

// Apply returns the reduced limit of a write, at least 1.
func (r WriteReduction) Apply(limit int) int { return max(1, limit>>r.halvings) }

// Rejected halves the following writes.
func (r *WriteReduction) Rejected() { r.halvings = min(r.halvings+1, maxHalvings) }

// Accepted lets the following writes grow again.
func (r *WriteReduction) Accepted() { r.halvings = max(0, r.halvings-1) }

// JobExceedsValueSize reports whether a job's record is too large to be written, including the
// bytes that a cancellation adds: without them the job could never be cancelled.
func (k *Core) JobExceedsValueSize(data []byte) bool {
	return len(data)+cancellationReserveBytes > k.MaxValueBytes()
}
