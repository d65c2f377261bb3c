// Starts of tasks in records: a list, or runs of tasks in a packed form for large gangs.

package clusterstate

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// TaskStarts is a list of starts. It is stored as a list or, see RoundRecord.SetPacked, in a packed form: the
// compressed runs of consecutive tasks on a machine. The packed form is a string, so that versions without support
// for FormatPackedStarts fail to read the record instead of misinterpreting it.
type TaskStarts []TaskStart

// startRun is the starts of consecutive tasks on a machine.
type startRun struct {
	From    int           `json:"i"`
	Count   int           `json:"n"`
	Machine api.MachineID `json:"m"`
	Epoch   api.Epoch     `json:"s"`
}

// PackedStarts is the packed form of starts that have no attempt numbers.
type PackedStarts []byte

// Pack returns the packed form of starts.
func (s TaskStarts) Pack() (PackedStarts, error) {
	var runs []startRun
	for _, start := range s {
		if last := len(runs) - 1; last >= 0 && runs[last].continuedBy(start) {
			runs[last].Count++
			continue
		}
		runs = append(runs, startRun{From: start.Task, Count: 1, Machine: start.Machine, Epoch: start.Epoch})
	}
	return compressJSON(runs)
}

// continuedBy reports whether a start is that of the next task, on the same machine.
func (r startRun) continuedBy(start TaskStart) bool {
	return start.Task == r.From+r.Count && start.Machine == r.Machine && start.Epoch == r.Epoch
}

// UnmarshalJSON decodes starts in either form.
func (s *TaskStarts) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return exactjson.Decode(data, (*[]TaskStart)(s))
	}
	var packed PackedStarts
	if err := exactjson.Decode(data, &packed); err != nil {
		return err
	}
	var runs []startRun
	if err := decompressJSON(packed, &runs); err != nil {
		return fmt.Errorf("packed starts: %w", err)
	}
	*s = nil
	for _, r := range runs {
		for i := range r.Count {
			*s = append(*s, TaskStart{Task: r.From + i, Machine: r.Machine, Epoch: r.Epoch})
		}
	}
	return nil
}

// packedDelta is the stored form of a JobDelta whose starts may be packed.
type packedDelta struct {
	JobDelta
	Starts any `json:"+,omitempty"` // TaskStarts or PackedStarts
}

// packedRecord is the stored form of a RoundRecord with packed starts.
type packedRecord struct {
	RoundRecord
	Jobs []packedDelta `json:"j,omitempty"`
}

// SetPacked has the starts of a job encoded in the packed form, which must be that of the same starts.
func (r *RoundRecord) SetPacked(id api.JobID, packed PackedStarts) {
	if r.packed == nil {
		r.packed = map[api.JobID]PackedStarts{}
	}
	r.packed[id] = packed
}

// Encode returns the record as it is stored.
func (r *RoundRecord) Encode() ([]byte, error) {
	if len(r.packed) == 0 {
		return json.Marshal(r)
	}
	stored := packedRecord{RoundRecord: *r}
	for _, delta := range r.Jobs {
		d := packedDelta{JobDelta: delta}
		if packed := r.packed[delta.Job]; packed != nil {
			d.Starts = packed
		} else if len(delta.Starts) > 0 {
			d.Starts = delta.Starts
		}
		stored.Jobs = append(stored.Jobs, d)
	}
	return json.Marshal(stored)
}

// compressJSON returns the compressed JSON of a value.
func compressJSON(value any) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	return buf.Bytes(), nil
}

// decompressJSON decodes the result of compressJSON into target.
func decompressJSON(blob []byte, target any) error {
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(blob)))
	if err != nil {
		return fmt.Errorf("decompressing: %w", err)
	}
	if err := exactjson.Decode(text, target); err != nil {
		return fmt.Errorf("decoding: %w", err)
	}
	return nil
}
