// Package golden supports tests of compatibility between versions. It keeps encoded values in golden
// files, fills values so that no field is zero, and compares values field by field.
//
// A section of a golden file is never changed, because older versions run beside this one during an
// upgrade, and data that they stored is read afterwards. When a type gets a new field, add a section and
// compare the existing one with a value without the field. Only text that no other version reads, such
// as answers shown to people, may be replaced, by removing its section and adding it again.
package golden

import (
	"bytes"
	"encoding/base64"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"basaltwall/internal/exactjson"
)

// Variable is the environment variable that makes tests add missing sections to golden files if it is
// set to "add". Existing sections are never overwritten.
const Variable = "BASALTWALL_GOLDEN"

// File is a golden file with named sections.
type File struct {
	t       testing.TB
	path    string
	archive *txtar.Archive
	read    map[string]bool // by section
	added   bool
}

// Open reads the golden file of a test. The test fails if it does not read every section.
func Open(t testing.TB) *File {
	t.Helper()
	path := filepath.Join("testdata", "golden", t.Name()+".txtar")
	f := &File{t: t, path: path, archive: &txtar.Archive{Comment: []byte("What a version wrote that others must read. It is added to, not changed.\n")}, read: map[string]bool{}}
	data, err := os.ReadFile(path)
	switch {
	case err == nil:
		f.archive = txtar.Parse(data)
	case !errors.Is(err, fs.ErrNotExist):
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return f
}

func (f *File) close() {
	for _, s := range f.archive.Files {
		if !f.read[s.Name] {
			f.t.Errorf("section %q of %s is not read", s.Name, f.path)
		}
	}
	if !f.added {
		return
	}
	err := os.MkdirAll(filepath.Dir(f.path), 0o755)
	if err == nil {
		err = os.WriteFile(f.path, txtar.Format(f.archive), 0o644)
	}
	if err != nil {
		f.t.Error(err)
	}
}

// Section returns the content of a section without its last line break. If the section is missing and
// may be added, it adds and returns the current content.
func (f *File) Section(name, current string) string {
	f.t.Helper()
	if f.read[name] {
		f.t.Fatalf("section %q is read twice", name)
	}
	f.read[name] = true
	for _, s := range f.archive.Files {
		if s.Name == name {
			return strings.TrimSuffix(string(s.Data), "\n")
		}
	}
	if os.Getenv(Variable) != "add" {
		f.t.Fatalf("%s has no section %q; set %s=add to add it", f.path, name, Variable)
	}
	f.added = true
	f.archive.Files = append(f.archive.Files, txtar.File{Name: name, Data: []byte(current + "\n")})
	return current
}

// Text requires that a text equals the section.
func (f *File) Text(name, current string) {
	f.t.Helper()
	if golden := f.Section(name, current); golden != current {
		f.t.Errorf("%s: text is\n%s\nexpected\n%s", name, current, golden)
	}
}

// JSON requires that the JSON encoding of a value equals the section, and that the section decodes to
// the value. It returns the section.
func JSON[T any](f *File, name string, want T) []byte {
	f.t.Helper()
	current, err := json.Marshal(want)
	if err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
	golden := f.Section(name, string(current))
	if golden != string(current) {
		f.t.Errorf("%s: encoding is\n%s\nexpected\n%s", name, current, golden)
	}
	var got T
	if err := exactjson.Decode([]byte(golden), &got); err != nil {
		f.t.Errorf("%s: %v", name, err)
	}
	Same(f.t, name, got, want)
	return []byte(golden)
}

// Gob requires that the section, in the encoding of encoding/gob, decodes to a value, and that the type
// Old, a copy of an older version of the value's type, is compatible with it in both directions. It
// returns the section. The bytes are not compared, as the order of map entries varies.
func Gob[T, Old any](f *File, name string, want T) []byte {
	f.t.Helper()
	current := encode(f.t, name, want)
	golden, err := base64.StdEncoding.DecodeString(f.Section(name, base64.StdEncoding.EncodeToString(current)))
	if err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
	var oldFromGolden, oldFromCurrent Old
	var fromGolden, fromOld T
	decode(f.t, name+", golden data", golden, &fromGolden)
	Same(f.t, name+", golden data", fromGolden, want)
	decode(f.t, name+", golden data decoded by the old type", golden, &oldFromGolden)
	Same(f.t, name+", golden data decoded by the old type", oldFromGolden, want)
	decode(f.t, name+", current data decoded by the old type", current, &oldFromCurrent)
	Same(f.t, name+", current data decoded by the old type", oldFromCurrent, want)
	decode(f.t, name+", data encoded by the old type", encode(f.t, name, oldFromGolden), &fromOld)
	Same(f.t, name+", data encoded by the old type", fromOld, want)
	return golden
}

func encode(t testing.TB, name string, v any) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return b.Bytes()
}

func decode(t testing.TB, name string, data []byte, to any) {
	t.Helper()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(to); err != nil {
		t.Errorf("%s: %v", name, err)
	}
}

// Filled returns a value without zero exported fields, in which all numbers and strings differ. The
// result is deterministic and independent of the names of types and fields. Fields of the type of a
// value in preset get that value.
func Filled[T any](t testing.TB, preset ...any) T {
	t.Helper()
	f := filler{t: t, preset: map[reflect.Type]reflect.Value{}, depths: map[reflect.Type]int{}}
	for _, v := range preset {
		f.preset[reflect.TypeOf(v)] = reflect.ValueOf(v)
	}
	var v T
	f.fill(reflect.ValueOf(&v).Elem())
	return v
}

type filler struct {
	t       testing.TB
	preset  map[reflect.Type]reflect.Value
	counter int                  // source of distinct numbers and strings
	depths  map[reflect.Type]int // nesting depth by struct type
}

// fill reports whether it filled the value: recursive types are filled to the second level.
func (f *filler) fill(v reflect.Value) bool {
	if preset, ok := f.preset[v.Type()]; ok {
		v.Set(preset)
		return true
	}
	f.counter++
	switch v.Interface().(type) {
	case netip.Addr:
		v.Set(reflect.ValueOf(netip.AddrFrom4([4]byte{10, 0, byte(f.counter >> 8), byte(f.counter)})))
		return true
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, f.counter))
		return true
	}
	switch v.Kind() {
	case reflect.Pointer:
		to := reflect.New(v.Type().Elem())
		if !f.fill(to.Elem()) {
			return false
		}
		v.Set(to)
		return true
	case reflect.Slice:
		return f.fillSlice(v)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
		return true
	case reflect.Map:
		return f.fillMap(v)
	case reflect.Struct:
		return f.fillStruct(v)
	default:
		f.fillScalar(v)
		return true
	}
}

func (f *filler) fillScalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.counter))
	case reflect.Uint8:
		v.SetUint(uint64(f.counter%255 + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.counter))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.counter) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("v%d", f.counter))
	default:
		f.t.Fatalf("can't fill a value of type %v: pass a preset", v.Type())
	}
}

func (f *filler) fillSlice(v reflect.Value) bool {
	list := reflect.MakeSlice(v.Type(), 2, 2)
	for i := range 2 {
		if !f.fill(list.Index(i)) {
			return false
		}
	}
	v.Set(list)
	return true
}

func (f *filler) fillMap(v reflect.Value) bool {
	m := reflect.MakeMap(v.Type())
	for range 2 {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		if !f.fill(key) || !f.fill(value) {
			return false
		}
		m.SetMapIndex(key, value)
	}
	v.Set(m)
	return true
}

func (f *filler) fillStruct(v reflect.Value) bool {
	if f.depths[v.Type()] == 2 {
		return false
	}
	f.depths[v.Type()]++
	defer func() { f.depths[v.Type()]-- }()
	exported := 0
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			exported++
			f.fill(v.Field(i))
		}
	}
	if exported == 0 {
		f.t.Fatalf("can't fill a value of type %v: pass a preset", v.Type())
	}
	return true
}

// Same requires that two values are equal field by field. Structs of different types are compared by
// the order of their exported fields, regardless of names.
func Same(t testing.TB, what string, got, want any) {
	t.Helper()
	if d := differ("", reflect.ValueOf(got), reflect.ValueOf(want)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// differ describes the first difference between two values; "" if they are equal.
func differ(at string, a, b reflect.Value) string {
	if a.IsValid() != b.IsValid() {
		return mismatch(at, a, b)
	}
	if !a.IsValid() {
		return ""
	}
	if a.Kind() != b.Kind() {
		return mismatch(at, a.Type(), b.Type())
	}
	switch a.Kind() {
	case reflect.Interface, reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			if a.IsNil() != b.IsNil() {
				return mismatch(at, a, b)
			}
			return ""
		}
		if a.Kind() == reflect.Pointer && a.Pointer() == b.Pointer() {
			return ""
		}
		return differ(at, a.Elem(), b.Elem())
	case reflect.Slice, reflect.Array:
		return differInList(at, a, b)
	case reflect.Map:
		return differInMap(at, a, b)
	case reflect.Struct:
		return differInStruct(at, a, b)
	default:
		if !a.Equal(b.Convert(a.Type())) {
			return mismatch(at, a, b)
		}
		return ""
	}
}

func mismatch(at string, got, want any) string {
	return fmt.Sprintf("%s is %v, expected %v", at, got, want)
}

func differInList(at string, a, b reflect.Value) string {
	if a.Kind() == reflect.Slice && a.IsNil() != b.IsNil() || a.Len() != b.Len() {
		return mismatch(at, a, b)
	}
	for i := range a.Len() {
		if d := differ(fmt.Sprintf("%s[%d]", at, i), a.Index(i), b.Index(i)); d != "" {
			return d
		}
	}
	return ""
}

func differInMap(at string, a, b reflect.Value) string {
	if a.IsNil() != b.IsNil() || a.Len() != b.Len() {
		return mismatch(at, a, b)
	}
	for _, key := range b.MapKeys() {
		in := at + fmt.Sprintf("[%v]", key)
		value, ok := lookUp(a, key)
		if !ok {
			return in + " is missing"
		}
		if d := differ(in, value, b.MapIndex(key)); d != "" {
			return d
		}
	}
	return ""
}

func differInStruct(at string, a, b reflect.Value) string {
	if a.NumField() != b.NumField() {
		return fmt.Sprintf("%s has %d fields, expected %d", at, a.NumField(), b.NumField())
	}
	for i := range a.NumField() {
		if a.Type() != b.Type() && !b.Type().Field(i).IsExported() {
			continue
		}
		if d := differ(at+"."+b.Type().Field(i).Name, a.Field(i), b.Field(i)); d != "" {
			return d
		}
	}
	return ""
}

// lookUp returns a map's value for a key of another map, whose type may have another name.
func lookUp(m, key reflect.Value) (reflect.Value, bool) {
	for _, k := range m.MapKeys() {
		if differ("", k, key) == "" {
			return m.MapIndex(k), true
		}
	}
	return reflect.Value{}, false
}
