package scenario

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/internal/emulator"
)

var transcripts = flag.String("transcripts", "", "`directory` for a file per scenario with the number and the digest of its effects")

// transcript is the digest of all effects that the controllers' Step returned in a scenario, in
// order, each with its controller and the simulated time. It does not depend on the names of Go types
// and fields, so renaming them does not change it.
type transcript struct {
	hash  hash.Hash
	count int
	buf   []byte
}

// newTranscript returns nil unless the flag transcripts is set.
func newTranscript() *transcript {
	if *transcripts == "" {
		return nil
	}
	return &transcript{hash: sha256.New()}
}

func (tr *transcript) watch(sim *emulator.Simulation) {
	if tr == nil {
		return
	}
	sim.OnStep = func(name string, effects []message.Effect) {
		for _, e := range effects {
			tr.add(name, sim.Now, e)
		}
	}
}

func (tr *transcript) add(name string, now time.Duration, e message.Effect) {
	tr.count++
	b := appendText(tr.buf[:0], name)
	b = binary.BigEndian.AppendUint64(b, uint64(now))
	b = appendValue(b, reflect.ValueOf(plain(e)))
	tr.hash.Write(b)
	tr.buf = b
}

// plain returns an effect with its name. It decodes messages that are embedded in messages to other
// controllers, as their encodings contain the names of Go types and fields.
func plain(e message.Effect) []any {
	switch e := e.(type) {
	case message.Reply:
		return []any{"reply", e}
	case message.StoreCall:
		return []any{"state", e}
	case message.WorkerCall:
		return []any{"worker", e}
	case message.CloudCall:
		return []any{"cloud", e}
	case message.PeerCall:
		f := e.Message.Forward
		if f == nil {
			return []any{"peer", e}
		}
		switch f.Kind {
		case tenancy.ForwardKind:
			return []any{"hosted", e.ID, e.To, e.Timeout, f.Ref, tenancy.DecodeForward(f.Body, 0)}
		case message.ForwardSkips:
			var ask message.AdminRequest
			if err := json.Unmarshal(f.Body, &ask); err != nil {
				panic(fmt.Sprintf("transcript: %v", err))
			}
			return []any{"skips", e.ID, e.To, e.Timeout, f.Ref, ask}
		}
		return []any{"peer", e}
	}
	panic(fmt.Sprintf("transcript: unknown effect %T", e))
}

// appendText appends a string or bytes with their length.
func appendText[T string | []byte](b []byte, s T) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(s)))
	return append(b, s...)
}

// appendValue appends a value's kind and content. All fields of a struct are in declaration order,
// the entries of a map in the order of their encoded keys.
func appendValue(b []byte, v reflect.Value) []byte {
	b = append(b, byte(v.Kind()))
	switch v.Kind() {
	case reflect.Invalid: // an empty interface
	case reflect.Bool:
		if v.Bool() {
			return append(b, 1)
		}
		return append(b, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.BigEndian.AppendUint64(b, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.BigEndian.AppendUint64(b, v.Uint())
	case reflect.Float32, reflect.Float64:
		return binary.BigEndian.AppendUint64(b, math.Float64bits(v.Float()))
	case reflect.String:
		return appendText(b, v.String())
	case reflect.Interface:
		return appendValue(b, v.Elem())
	case reflect.Pointer:
		if v.IsNil() {
			return append(b, 0)
		}
		return appendValue(append(b, 1), v.Elem())
	case reflect.Slice:
		if v.IsNil() {
			return append(b, 0)
		}
		b = append(b, 1)
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return appendText(b, v.Bytes())
		}
		return appendElements(b, v)
	case reflect.Array:
		return appendElements(b, v)
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			return binary.BigEndian.AppendUint64(b, uint64(v.Interface().(time.Time).UnixNano()))
		}
		b = binary.BigEndian.AppendUint64(b, uint64(v.NumField()))
		for i := range v.NumField() {
			b = appendValue(b, v.Field(i))
		}
		return b
	case reflect.Map:
		if v.IsNil() {
			return append(b, 0)
		}
		return appendMap(append(b, 1), v)
	default:
		panic(fmt.Sprintf("transcript: unsupported kind %s", v.Kind()))
	}
	return b
}

func appendElements(b []byte, v reflect.Value) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(v.Len()))
	for i := range v.Len() {
		b = appendValue(b, v.Index(i))
	}
	return b
}

func appendMap(b []byte, v reflect.Value) []byte {
	type entry struct{ key, value []byte }
	var entries []entry
	for it := v.MapRange(); it.Next(); {
		entries = append(entries, entry{appendValue(nil, it.Key()), appendValue(nil, it.Value())})
	}
	slices.SortFunc(entries, func(x, y entry) int { return bytes.Compare(x.key, y.key) })
	b = binary.BigEndian.AppendUint64(b, uint64(len(entries)))
	for _, e := range entries {
		b = append(append(b, e.key...), e.value...)
	}
	return b
}

// save writes the transcript of the test's scenario to its file.
func (tr *transcript) save(t *testing.T) {
	t.Helper()
	if tr == nil {
		return
	}
	if err := os.MkdirAll(*transcripts, 0o755); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(*transcripts, strings.ReplaceAll(t.Name(), "/", ".")+".txt")
	if err := os.WriteFile(file, fmt.Appendf(nil, "effects %d\nsha256 %x\n", tr.count, tr.hash.Sum(nil)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestTranscriptEncoding checks that different values have different encodings, regardless of Go names
// and map order.
func TestTranscriptEncoding(t *testing.T) {
	type one struct {
		A int
		B map[string]int
		c *[]byte
	}
	type other struct {
		X int
		Y map[string]int
		z *[]byte
	}
	digest := func(v any) string { return string(appendValue(nil, reflect.ValueOf(v))) }
	data := []byte("data")
	m := map[string]int{}
	for i := range 100 {
		m[fmt.Sprint(i)] = i
	}
	want := digest(one{1, m, &data})
	for range 20 {
		if got := digest(other{1, m, &data}); got != want {
			t.Fatal("encoding depends on names or map order")
		}
	}
	seen := map[string]int{}
	for i, v := range []any{
		one{1, m, &data}, one{2, m, &data}, one{1, nil, &data}, one{1, map[string]int{}, &data}, one{1, map[string]int{"a": 1}, &data},
		one{1, map[string]int{"a": 2}, &data}, one{1, map[string]int{"b": 1}, &data}, one{1, m, nil}, one{1, m, new([]byte)},
		[]string{"a", "b"}, []string{"ab"}, []string{"", "ab"}, []string{}, []string(nil), [2]string{"a", "b"}, 1, uint(1), 1.0, "1", true, false,
		json.RawMessage("1"), time.Unix(1, 0), time.Unix(2, 0), []any{1, nil}, []any{nil, 1}, []any{1},
	} {
		d := digest(v)
		if j, ok := seen[d]; ok {
			t.Errorf("values %d and %d have the same encoding", j, i)
		}
		seen[d] = i
	}
}
