package book

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"basaltwall/api"
)

// Checkpoint describes a part's whole state.
func (b *Book[J, P]) Checkpoint(part api.PartID) Record {
	c := Record{Seq: b.Parts[part].Seq}
	for _, ref := range slices.Sorted(maps.Keys(b.Jobs)) {
		j := b.Jobs[ref]
		d := JobDelta{Job: ref, Knows: j.knows[part]}
		if set := j.doneBy[part]; set != nil {
			d.Bits = set.bytes()
		}
		for _, i := range slices.Sorted(maps.Keys(j.Places)) {
			if p := j.Places[i]; p.Part == part {
				d.Starts = append(d.Starts, StartEntry{i, p.Machine, p.Session, p.Attempt})
			}
		}
		if len(d.Bits) > 0 || len(d.Starts) > 0 {
			c.Jobs = append(c.Jobs, d)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(b.Parts[part].given)) {
		teams := b.Parts[part].given[to]
		for _, t := range slices.Sorted(maps.Keys(teams)) {
			c.Gifts = append(c.Gifts, Gift{to, t, teams[t]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.Parts[part].Kept)) {
		c.Keeps = append(c.Keeps, b.Parts[part].Kept[id])
	}
	return c
}

// Pieces are the writes of a part's checkpoint, none larger than size bytes; the last
// one, the head, makes them count.
func (b *Book[J, P]) Pieces(part api.PartID, size int) ([]api.Write, error) {
	c := b.Checkpoint(part)
	blob, err := pack(c)
	if err != nil {
		return nil, err
	}
	size = size / 4 * 3 // base64 makes four bytes of three
	head := HeadValue{Seq: c.Seq, Gen: b.Parts[part].Head.Gen + 1}
	var writes []api.Write
	for len(blob) > 0 {
		k := min(size, len(blob))
		v, err := json.Marshal(blob[:k])
		if err != nil {
			return nil, fmt.Errorf("checkpoint: %w", err)
		}
		writes = append(writes, api.Write{Put: SnapKey(part, head.Gen, head.Chunks), Value: v})
		blob = blob[k:]
		head.Chunks++
	}
	v, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	return append(writes, api.Write{Put: PartKey(KeyHead, part), Value: v}), nil
}

// pack makes a checkpoint small: it names the same jobs and machines over and
// over, and the state service's writes are scarce.
func pack(c Record) ([]byte, error) {
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

func unpack(blob []byte) (Record, error) {
	var c Record
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(blob)))
	if err != nil {
		return c, fmt.Errorf("unpacking: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("unpacking: %w", err)
	}
	return c, nil
}

// Load begins to read everything anew: until FinishLoad, what is put only gathers, since
// a part's rounds can't be folded before its checkpoint.
func (b *Book[J, P]) Load() { b.raw = map[string]json.RawMessage{} }

// FinishLoad folds the gathered keys: first all that stand for themselves, then each
// part's checkpoint and the rounds after it.
func (b *Book[J, P]) FinishLoad() error {
	raw := b.raw
	b.raw = nil
	rounds := make([][]Record, len(b.Parts))
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		if name, ok := cutPrefix(key, KeyRound); ok {
			p, err := partOf(name, len(b.Parts))
			if err != nil {
				return fmt.Errorf("key %s: %w", key, err)
			}
			var r Record
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
	for i := range b.Parts {
		p := api.PartID(i)
		ps := &b.Parts[i]
		if ps.Head.Chunks > 0 {
			var blob []byte
			for k := range ps.Head.Chunks {
				var chunk []byte
				if err := json.Unmarshal(raw[SnapKey(p, ps.Head.Gen, k)], &chunk); err != nil {
					return fmt.Errorf("checkpoint of part %d, piece %d: %w", i, k, err)
				}
				blob = append(blob, chunk...)
			}
			c, err := unpack(blob)
			if err != nil {
				return fmt.Errorf("checkpoint of part %d: %w", i, err)
			}
			ps.Seq = c.Seq
			b.fold(p, c.Seq, c.Jobs)
			b.addGifts(p, c.Gifts)
			b.addKeeps(p, c.Keeps)
		}
		slices.SortFunc(rounds[i], func(x, y Record) int { return int(int64(x.Seq) - int64(y.Seq)) })
		for k := range rounds[i] {
			if r := &rounds[i][k]; r.Seq > ps.Seq {
				if r.Seq != ps.Seq+1 {
					return fmt.Errorf("part %d: round %d follows %d", i, r.Seq, ps.Seq)
				}
				b.FoldRecord(p, r)
			}
		}
	}
	return nil
}
